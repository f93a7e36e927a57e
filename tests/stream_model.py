"""A reference model of a streamed response as the caller sees it, and a driver that checks EventSplitter against it.

The model shares no code with the product: it knows what the workers wrote, parses the caller's bytes itself, and
lists what is wrong with them. CI generates a fixed set of responses; `python -m tests.stream_model --examples N`
generates more.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pearhead.router.event_stream import EventSplitter

MAX_PIECES = 9
MAX_RUNS = 4
MAX_STEP = 7
MAX_CHUNK_BYTES = 60
BREAK_PROBABILITY = 0.75
VERSION_LINE = b"x-weight-versions: "
MakeSplitter = Callable[[str, Callable[[bytes], int | None]], EventSplitter]


@dataclass(frozen=True)
class GeneratedRun:
    """One worker's run: its pieces from the requested one on, or from the first one if it `restarts`.

    The weights change at piece `changes_at` (0: never). The run breaks off after `sent_share` of its bytes; with
    `is_framed` its framing is complete all the same, if it breaks off inside an event. `repeated` is a piece that it
    writes twice (0: none).
    """

    version: int
    changes_at: int
    restarts: bool
    sent_share: float
    is_framed: bool
    repeated: int
    newline: bytes
    chunk_bytes: int

    def version_at(self, piece: int) -> int:
        return self.version + int(0 < self.changes_at <= piece)


@dataclass(frozen=True)
class GeneratedResponse:
    """A response of numbered pieces whose event ids are `step` apart.

    `already_received` counts the pieces that the caller had before its request.
    """

    pieces: int
    step: int
    already_received: int
    runs: tuple[GeneratedRun, ...]


@dataclass
class Received:
    """What the caller received."""

    body: bytes = b""
    is_whole: bool = False
    faults: list[str] = field(default_factory=list)


def generate_response(rng: random.Random) -> GeneratedResponse:
    pieces = rng.randint(1, MAX_PIECES)
    runs = tuple(generate_run(rng, pieces) for _ in range(rng.randint(1, MAX_RUNS)))
    return GeneratedResponse(pieces, rng.randint(1, MAX_STEP), rng.choice([0, 0, rng.randrange(pieces)]), runs)


def generate_run(rng: random.Random, pieces: int) -> GeneratedRun:
    return GeneratedRun(
        version=rng.randint(1, 3),
        changes_at=rng.choice([0, rng.randint(1, pieces)]),
        restarts=rng.random() < 0.3,
        sent_share=rng.random() if rng.random() < BREAK_PROBABILITY else 1.0,
        is_framed=rng.random() < 0.3,
        repeated=rng.choice([0, 0, 0, rng.randint(1, pieces)]),
        newline=rng.choice([b"\n", b"\r\n"]),
        chunk_bytes=rng.randint(1, MAX_CHUNK_BYTES),
    )


def write_event(answer: GeneratedResponse, run: GeneratedRun, piece: int) -> bytes:
    lines = [b"id: %d" % (piece * answer.step), b"data: %d of %d" % (piece, run.version_at(piece)), b"", b""]
    if run.changes_at == piece:
        lines.insert(0, VERSION_LINE + b"%d" % run.version_at(piece))
    return run.newline.join(lines)


def first_piece(run: GeneratedRun, requested_after: int) -> int:
    return 1 if run.restarts else requested_after + 1


def write_run(answer: GeneratedResponse, run: GeneratedRun, requested_after: int) -> tuple[bytes, bool]:
    """Returns the bytes that the worker writes before it breaks off or ends, and whether its framing is complete."""
    events = []
    for piece in range(first_piece(run, requested_after), answer.pieces + 1):
        events += [write_event(answer, run, piece)] * (2 if piece == run.repeated else 1)
    body = b"".join(events)
    sent = body[: int(len(body) * run.sent_share)]
    if len(sent) == len(body):
        return body, True
    return sent, run.is_framed and _is_inside(events, len(sent))


def _is_inside(events: list[bytes], length: int) -> bool:
    """Whether this many bytes end inside an event, after its first byte."""
    for event in events:
        if length < len(event):
            return length > 0
        length -= len(event)
    return False


def read_version(event: bytes) -> int | None:
    first, _, _ = event.partition(b"\n")
    return int(first.removeprefix(VERSION_LINE)) if first.startswith(VERSION_LINE) else None


def serve(answer: GeneratedResponse, make_splitter: MakeSplitter = EventSplitter) -> Received:
    """Passes the runs through a splitter as the request proxy does, until one is complete, and judges the result."""
    splitter = make_splitter(
        str(answer.already_received * answer.step) if answer.already_received else "", read_version
    )
    received = Received()
    for run in answer.runs:
        requested_after = int(splitter.last_id or 0) // answer.step
        reported_version = run.version_at(first_piece(run, requested_after))
        if not splitter.sequence.accepts_version(reported_version):
            continue
        body, is_framed = write_run(answer, run, requested_after)
        splitter.begin_run(reported_version)
        for start in range(0, len(body), run.chunk_bytes):
            received.body += splitter.feed(body[start : start + run.chunk_bytes])
            if splitter.violation is not None:
                break
        if is_framed and splitter.end_run():
            received.is_whole = True
            break
    received.faults = judge(answer, received)
    return received


def judge(answer: GeneratedResponse, received: Received) -> list[str]:
    """Returns what is wrong with the response: the order of its pieces and of the weights that produced them."""
    faults: list[str] = []
    piece, version = answer.already_received, 0
    text = received.body.replace(b"\r\n", b"\n")
    blocks = text.split(b"\n\n")
    if blocks.pop():
        faults.append("a part of an event")
    for block in blocks:
        lines = block.split(b"\n")
        data = [line.removeprefix(b"data: ") for line in lines if line.startswith(b"data: ")]
        if len(data) != 1 or len(lines) > 3:
            faults.append(f"no event of any worker: {block!r}")
            continue
        number, _, event_version = data[0].partition(b" of ")
        if int(number) != piece + 1:
            faults.append(f"piece {int(number)} follows piece {piece}")
        if int(event_version) < version:
            faults.append(f"weights {int(event_version)} follow weights {version}")
        piece, version = int(number), int(event_version)
    if received.is_whole and piece != answer.pieces:
        faults.append(f"ended as whole after {piece} of {answer.pieces} pieces")
    return faults


def first_fault(
    seed: int, examples: int, make_splitter: MakeSplitter = EventSplitter
) -> tuple[GeneratedResponse, Received] | None:
    """Returns the first generated response that came out wrong; None if none did."""
    rng = random.Random(seed)
    for _ in range(examples):
        answer = generate_response(rng)
        received = serve(answer, make_splitter)
        if received.faults:
            return answer, received
    return None


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=200_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    found = first_fault(options.seed, options.examples)
    print(f"{options.examples} answers, seed {options.seed}: {'none came out wrong' if found is None else found}")


if __name__ == "__main__":
    main()
