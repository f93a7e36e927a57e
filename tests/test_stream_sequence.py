"""StreamSequence and EventSplitter: what a caller receives for generated worker runs, chunk sizes and truncations.

Guards against events that are repeated, lost, out of order or incomplete when a second run continues a stream.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Result

from pearhead.router.event_stream import EventSplitter, parse_event_fields
from pearhead.router.stream_sequence import (
    EventAction,
    EventFields,
    EventIdStepTracker,
    StreamSequence,
    StreamViolation,
)

PIECES = 8
EXAMPLES = 400


def event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


@dataclass(frozen=True)
class WorkerRun:
    """How a worker continues a stream.

    `offset` is the distance of its first event from the requested one, `kept_share` the share of its bytes that it
    sends before it breaks off, and `size` the chunk size in bytes.
    """

    offset: int
    kept_share: float
    size: int

    def chunks(self, last_id: str) -> list[bytes]:
        first = max(1, int(last_id or 0) + 1 + self.offset)
        body = events(first, PIECES)
        body = body[: round(len(body) * self.kept_share)]
        return [body[at : at + self.size] for at in range(0, len(body), self.size)]

    def is_whole(self) -> bool:
        return self.kept_share == 1.0


@dataclass
class Caller:
    """Passes runs through a splitter, as the request proxy does, until one is complete."""

    splitter: EventSplitter
    body: bytes = b""
    is_whole: bool = False

    def take(self, run: WorkerRun) -> None:
        self.splitter.begin_run()
        for chunk in run.chunks(self.splitter.last_id):
            self.body += self.splitter.feed(chunk)
            if self.splitter.violation is not None:
                return
        self.is_whole = run.is_whole() and self.splitter.end_run()

    def numbers(self) -> list[int]:
        return [int(line[4:]) for line in self.body.splitlines() if line.startswith(b"id: ")]


def shares() -> st.SearchStrategy[float]:
    return st.one_of(st.just(1.0), st.floats(0.0, 0.99))


def runs(least_offset: int, most_offset: int) -> st.SearchStrategy[list[WorkerRun]]:
    run = st.builds(WorkerRun, st.integers(least_offset, most_offset), shares(), st.integers(1, 60))
    return st.lists(run, min_size=1, max_size=5)


class AnyRunsTest(unittest.TestCase):
    def serve(self, drawn: list[WorkerRun], last_id: str = "") -> Caller:
        caller = Caller(EventSplitter(last_id))
        for run in drawn:
            caller.take(run)
            if caller.is_whole:
                break
        return caller

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(runs(-PIECES, 0), st.integers(0, PIECES))
    def test_workers_that_continue_or_begin_earlier_never_break_the_order(
        self, drawn: list[WorkerRun], had: int
    ) -> None:
        caller = self.serve(drawn, str(had) if had else "")
        self.assertTrue(events(had + 1, PIECES).startswith(caller.body))
        self.assertEqual(caller.body, b"".join(event(number) for number in caller.numbers()), "no part of an event")
        if caller.is_whole:
            self.assertEqual(caller.body, events(had + 1, PIECES))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(runs(-PIECES, 3), st.integers(3, PIECES))
    def test_nothing_is_given_out_after_a_gap(self, drawn: list[WorkerRun], given_first: int) -> None:
        """Of the first run three events came, so that it is known how far apart they lie."""
        splitter = EventSplitter()
        splitter.begin_run()
        caller = Caller(splitter, splitter.feed(events(1, given_first)))
        for run in drawn:
            caller.take(run)
        self.assertEqual(caller.numbers(), list(range(1, len(caller.numbers()) + 1)))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.lists(st.lists(st.integers(1, PIECES), max_size=PIECES), max_size=5))
    def test_ids_only_rise_whatever_workers_send(self, drawn: list[list[int]]) -> None:
        splitter = EventSplitter()
        body = b""
        for numbers in drawn:
            splitter.begin_run()
            body += splitter.feed(b"".join(map(event, numbers)))
        given_out = Caller(splitter, body).numbers()
        self.assertEqual(given_out, sorted(set(given_out)))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=6))
    def test_any_bytes_are_passed_on_whole_or_not_at_all(self, drawn: list[bytes]) -> None:
        splitter = EventSplitter()
        body = b"".join(splitter.feed(chunk) for chunk in drawn)
        if splitter.violation is None:
            self.assertEqual(body + splitter.pending, b"".join(drawn))
        else:
            self.assertTrue(b"".join(drawn).startswith(body))


class SequenceTest(unittest.TestCase):
    def process_ids(self, sequence: StreamSequence, *ids: str) -> list[Result[EventAction, StreamViolation]]:
        return [sequence.process_event(EventFields(event_id, True)) for event_id in ids]

    def test_a_violation_takes_nothing_back_and_the_next_run_continues(self) -> None:
        sequence = StreamSequence()
        sequence.begin_run()
        self.assertEqual(self.process_ids(sequence, "1", "2", "2")[-1], Err(StreamViolation.ID_NOT_RISING))
        self.assertEqual(sequence.last_id, "2")

    def test_steps_are_learned_from_two_equal_ones_only(self) -> None:
        for steps, is_known in (((), False), ((7,), False), ((7, 7), True), ((7, 7, 3), False), ((7, 3, 3), False)):
            record = EventIdStepTracker()
            for step in steps:
                record.record_step(step)
            self.assertEqual((record.is_gap(8), record.is_gap(7)), (is_known, False), steps)

    def test_ids_that_count_something_else_are_joined_too(self) -> None:
        """The documentation only promises that ids increase."""
        for ids, following in ((("1",), "8"), (("1", "8", "15"), "22"), (("3", "9", "10"), "40")):
            sequence = StreamSequence()
            sequence.begin_run()
            self.process_ids(sequence, *ids)
            sequence.begin_run()
            self.assertTrue(sequence.process_event(EventFields(following, True)).is_ok(), ids)

    def test_the_version_of_an_answer_never_goes_back(self) -> None:
        sequence = StreamSequence()
        sequence.begin_run(3)
        self.assertTrue(sequence.accepts_version(2), "nothing was forwarded yet")
        self.process_ids(sequence, "1")
        accepted = [sequence.accepts_version(version) for version in (2, 3, 4, None)]
        self.assertEqual(accepted, [False, True, True, True])
        sequence.begin_run(4)
        self.assertTrue(sequence.accepts_version(3), "nothing of the new run was forwarded yet")
        self.process_ids(sequence, "2")
        self.assertFalse(sequence.accepts_version(3))

    def test_the_version_that_an_event_tells_counts_from_that_event_on(self) -> None:
        sequence = StreamSequence()
        sequence.begin_run(3)
        self.process_ids(sequence, "1")
        self.assertTrue(sequence.accepts_version(3))
        sequence.process_event(EventFields("2", True, version=5))
        self.process_ids(sequence, "3")
        self.assertEqual([sequence.accepts_version(version) for version in (3, 4, 5)], [False, False, True])
        refused = sequence.process_event(EventFields("4", True, version=4))
        self.assertEqual(refused.err(), StreamViolation.VERSION_WENT_BACK)
        self.assertEqual(sequence.last_id, "3", "nothing of that event was forwarded")

    def test_an_id_of_too_many_digits_is_no_position(self) -> None:
        for digits, is_position in ((18, True), (19, False), (5_000, False)):
            sequence = StreamSequence()
            sequence.begin_run()
            self.process_ids(sequence, "9" * digits, "9" * digits)
            self.assertEqual(sequence.is_resumable(), is_position, digits)

    def test_a_position_is_known_again_after_an_event_with_an_id(self) -> None:
        sequence = StreamSequence()
        sequence.begin_run()
        found = []
        for event_id in ("1", "", "2", "x"):
            sequence.process_event(EventFields(event_id, True))
            found.append(sequence.is_resumable())
        self.assertEqual(found, [True, False, True, False])


class ControlBlockTest(unittest.TestCase):
    def test_a_block_that_is_no_event_does_not_keep_a_run_from_being_joined(self) -> None:
        """By the event stream format, a block without data is not an event; some servers start a run with `retry`."""
        for block in (b"retry: 2000\n\n", b"event: ping\r\n\r\n", b"retry\n: a\n\n"):
            splitter = EventSplitter()
            splitter.begin_run()
            given = splitter.feed(block + events(1, 3))
            splitter.begin_run()
            given += splitter.feed(block + events(4, 6))
            self.assertEqual((given, splitter.end_run()), (block + events(1, 6), True), block)

    def test_a_part_of_such_a_block_still_may_be_a_part_of_an_event(self) -> None:
        splitter = EventSplitter()
        splitter.begin_run()
        splitter.feed(events(1, 3) + b"event: delta")
        splitter.begin_run()
        self.assertEqual((splitter.feed(b""), splitter.end_run()), (b"", False))


class FieldsTest(unittest.TestCase):
    def test_only_a_field_named_id_counts_and_the_last_of_them(self) -> None:
        for lines, event_id in (
            (b"id: 1\ndata: a", "1"),
            (b"id:2\r\ndata: a", "2"),
            (b"x-weight-versions: 7\nid: 3\ndata: a", "3"),
            (b"data: a\nid: 4", "4"),
            (b"id: 4\nid: 5", "5"),
            (b"data: id: 6", ""),
            (b"idle: 7\nid 8\n: id: 9", ""),
            (b"id: 1\nid", ""),
            (b"id: 1\nid:", ""),
        ):
            self.assertEqual(parse_event_fields(lines + b"\n\n").event_id, event_id, lines)

    def test_comments_and_empty_lines_are_no_data(self) -> None:
        for lines, has_data in ((b": a", False), (b"", False), (b":", False), (b"data", True), (b": a\nid: 1", True)):
            self.assertEqual(parse_event_fields(lines + b"\r\n\r\n").has_data, has_data, lines)
