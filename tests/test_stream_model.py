"""Checks EventSplitter against the reference model of a caller, and that the model finds each of several faults."""

from __future__ import annotations

import unittest

from result import Ok, Result

from pearhead.router.event_stream import EventSplitter
from pearhead.router.stream_sequence import EventAction, EventFields, StreamSequence, StreamViolation
from tests.stream_model import MakeSplitter, first_fault

SEED = 20
EXAMPLES = 6_000


class AnyVersionSequence(StreamSequence):
    def accepts_version(self, version: int | None) -> bool:
        return True


class AskedVersionSequence(StreamSequence):
    """Ignores changes of the weights version within a run."""

    def process_event(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        return super().process_event(EventFields(event.event_id, event.has_data))


class UncheckedJoinSequence(StreamSequence):
    """Forwards the events that a run repeats when it restarts from the beginning."""

    def _join(self, event_id: str) -> Result[EventAction, StreamViolation]:
        self._is_joining = False
        return self._forward(event_id)


class RepeatingSequence(StreamSequence):
    """Forwards an event that arrives twice."""

    def process_event(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        action = super().process_event(event)
        return Ok(EventAction.FORWARD) if action.err() is StreamViolation.ID_NOT_RISING else action


class JoiningSplitter(EventSplitter):
    """Joins the first event of the next run to the partial event of the previous one."""

    def begin_run(self, version: int | None = None) -> None:
        partial_event = self.pending
        super().begin_run(version)
        self.pending = partial_event


class UncheckedEndSplitter(EventSplitter):
    """Treats a response as complete once the framing is, also inside an event."""

    def end_run(self) -> bool:
        return self.violation is None and self.sequence.end_run() is None


def with_sequence(sequence_type: type[StreamSequence]) -> MakeSplitter:
    def make(last_id: str, read_version: object) -> EventSplitter:
        splitter = EventSplitter(last_id, read_version)  # type: ignore[arg-type]
        splitter.sequence = sequence_type(last_id)
        return splitter

    return make


class StreamModelTest(unittest.TestCase):
    def test_no_answer_comes_out_wrong(self) -> None:
        self.assertIsNone(first_fault(SEED, EXAMPLES))

    def test_the_model_finds_each_broken_splitter(self) -> None:
        for name, make, expected_fault in (
            ("any version", with_sequence(AnyVersionSequence), "weights"),
            ("asked version", with_sequence(AskedVersionSequence), "weights"),
            ("unchecked join", with_sequence(UncheckedJoinSequence), "follows piece"),
            ("repeats", with_sequence(RepeatingSequence), "follows piece"),
            ("joins parts", JoiningSplitter, "no event of any worker"),
            ("hasty end", UncheckedEndSplitter, "ended as whole"),
        ):
            with self.subTest(name):
                found = first_fault(SEED, EXAMPLES, make)
                assert found is not None
                self.assertTrue(any(expected_fault in fault for fault in found[1].faults), found)
