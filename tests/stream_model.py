"""A reference model of a streamed answer, as its caller sees it, and a driver that holds EventSplitter against it.

The model shares no code with the product: it knows what the workers wrote, parses by itself what the caller got, and
says what is wrong with it. CI draws a fixed set of answers; more of them: `python -m tests.stream_model --examples N`.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pearhead.router.event_stream import EventSplitter

MOST_PIECES = 9
MOST_RUNS = 4
MOST_STEP = 7
MOST_CHUNK = 60
BREAKING_SHARE = 0.75
VERSION_LINE = b"x-weight-versions: "
MakeSplitter = Callable[[str, Callable[[bytes], int | None]], EventSplitter]


@dataclass(frozen=True)
class DrawnRun:
    """One worker's answer: its pieces from the one asked for (or from the first, where it begins anew), on weights that
    change at one piece. It breaks off after `kept_share` of its bytes, with its framing complete if `is_framed`, which
    only a break inside an event may be. `repeated`: a piece that it writes twice; 0: none.
    """

    version: int
    changes_at: int
    begins_anew: bool
    kept_share: float
    is_framed: bool
    repeated: int
    newline: bytes
    chunk_bytes: int

    def version_at(self, piece: int) -> int:
        return self.version + int(0 < self.changes_at <= piece)


@dataclass(frozen=True)
class DrawnAnswer:
    """`had`: pieces that the caller had before. Ids are `step` apart."""

    pieces: int
    step: int
    had: int
    runs: tuple[DrawnRun, ...]


@dataclass
class Received:
    """What the caller got."""

    body: bytes = b""
    is_whole: bool = False
    faults: list[str] = field(default_factory=list)


def draw_answer(chance: random.Random) -> DrawnAnswer:
    pieces = chance.randint(1, MOST_PIECES)
    runs = tuple(draw_run(chance, pieces) for _ in range(chance.randint(1, MOST_RUNS)))
    return DrawnAnswer(pieces, chance.randint(1, MOST_STEP), chance.choice([0, 0, chance.randrange(pieces)]), runs)


def draw_run(chance: random.Random, pieces: int) -> DrawnRun:
    return DrawnRun(
        version=chance.randint(1, 3),
        changes_at=chance.choice([0, chance.randint(1, pieces)]),
        begins_anew=chance.random() < 0.3,
        kept_share=chance.random() if chance.random() < BREAKING_SHARE else 1.0,
        is_framed=chance.random() < 0.3,
        repeated=chance.choice([0, 0, 0, chance.randint(1, pieces)]),
        newline=chance.choice([b"\n", b"\r\n"]),
        chunk_bytes=chance.randint(1, MOST_CHUNK),
    )


def write_event(answer: DrawnAnswer, run: DrawnRun, piece: int) -> bytes:
    lines = [b"id: %d" % (piece * answer.step), b"data: %d of %d" % (piece, run.version_at(piece)), b"", b""]
    if run.changes_at == piece:
        lines.insert(0, VERSION_LINE + b"%d" % run.version_at(piece))
    return run.newline.join(lines)


def first_piece(run: DrawnRun, asked_after: int) -> int:
    return 1 if run.begins_anew else asked_after + 1


def write_run(answer: DrawnAnswer, run: DrawnRun, asked_after: int) -> tuple[bytes, bool]:
    """The bytes that the worker writes before it breaks off or ends, and whether its framing is complete."""
    events = []
    for piece in range(first_piece(run, asked_after), answer.pieces + 1):
        events += [write_event(answer, run, piece)] * (2 if piece == run.repeated else 1)
    body = b"".join(events)
    kept = body[: int(len(body) * run.kept_share)]
    if len(kept) == len(body):
        return body, True
    return kept, run.is_framed and _is_inside(events, len(kept))


def _is_inside(events: list[bytes], length: int) -> bool:
    """Whether so many bytes end inside an event, past its first byte."""
    for event in events:
        if length < len(event):
            return length > 0
        length -= len(event)
    return False


def read_version(event: bytes) -> int | None:
    first, _, _ = event.partition(b"\n")
    return int(first.removeprefix(VERSION_LINE)) if first.startswith(VERSION_LINE) else None


def serve(answer: DrawnAnswer, make_splitter: MakeSplitter = EventSplitter) -> Received:
    """Passes the runs through a splitter as a gate does, until one is whole, and judges what came out."""
    splitter = make_splitter(str(answer.had * answer.step) if answer.had else "", read_version)
    received = Received()
    for run in answer.runs:
        asked_after = int(splitter.last_id or 0) // answer.step
        told_version = run.version_at(first_piece(run, asked_after))
        if not splitter.sequence.accepts_version(told_version):
            continue
        body, is_framed = write_run(answer, run, asked_after)
        splitter.begin_run(told_version)
        for start in range(0, len(body), run.chunk_bytes):
            received.body += splitter.feed(body[start : start + run.chunk_bytes])
            if splitter.violation is not None:
                break
        if is_framed and splitter.end_run():
            received.is_whole = True
            break
    received.faults = judge(answer, received)
    return received


def judge(answer: DrawnAnswer, received: Received) -> list[str]:
    """What is wrong with the answer, by the order of its pieces and of the weights that made them."""
    faults: list[str] = []
    piece, version = answer.had, 0
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
        number, _, made_by = data[0].partition(b" of ")
        if int(number) != piece + 1:
            faults.append(f"piece {int(number)} follows piece {piece}")
        if int(made_by) < version:
            faults.append(f"weights {int(made_by)} follow weights {version}")
        piece, version = int(number), int(made_by)
    if received.is_whole and piece != answer.pieces:
        faults.append(f"ended as whole after {piece} of {answer.pieces} pieces")
    return faults


def first_fault(
    seed: int, examples: int, make_splitter: MakeSplitter = EventSplitter
) -> tuple[DrawnAnswer, Received] | None:
    """The first drawn answer that came out wrong; None if none did."""
    chance = random.Random(seed)
    for _ in range(examples):
        answer = draw_answer(chance)
        received = serve(answer, make_splitter)
        if received.faults:
            return answer, received
    return None


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=200_000)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    found = first_fault(told.seed, told.examples)
    print(f"{told.examples} answers, seed {told.seed}: {'none came out wrong' if found is None else found}")


if __name__ == "__main__":
    main()
