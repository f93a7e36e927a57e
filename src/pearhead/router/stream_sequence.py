"""StreamSequence (§8.9): the invariant of a streamed answer, which one or several runs of workers may produce.

The event ids given to a caller only rise, and the version of the weights that made the events never goes back. A later
run is joined only directly after the last event that was given out, and an answer is complete only if its last run
continued from there. Whatever would break this is a `StreamViolation`: nothing of that run is given out from then on.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from result import Err, Ok, Result

# An id with more digits is no number that a worker counts events by.
MAX_EVENT_ID_DIGITS = 18
# So many equal steps between ids show that each following event is one such step further.
MIN_EQUAL_STEPS = 2


class StreamViolation(enum.Enum):
    """How a run would break the sequence; the values are names of counters."""

    ID_NOT_RISING = "stream_id_not_rising"
    GAP = "stream_gap"
    POSITION_MISSED = "stream_position_missed"
    POSITION_UNKNOWN = "stream_position_unknown"
    ENDED_EARLY = "stream_ended_early"
    VERSION_WENT_BACK = "stream_version_went_back"


class EventAction(enum.Enum):
    """What becomes of an event that breaks nothing."""

    FORWARD = "forward"
    SKIP = "skip"


@dataclass(frozen=True)
class EventFields:
    """What the sequence needs to know of an event. Comments and empty events have no data.

    `version` is that of the weights from this event on, where the event tells that it changes.
    """

    event_id: str
    has_data: bool
    version: int | None = None


class EventIdStepTracker:
    """Learns from the ids given out how far apart consecutive events are."""

    def __init__(self) -> None:
        self.step = 0
        self.equal_steps = 0
        self.is_regular = True

    def record_step(self, step: int) -> None:
        """Records the distance of an event to the one before."""
        if self.equal_steps and step != self.step:
            self.is_regular = False
        self.step = step
        self.equal_steps += 1

    def is_gap(self, step: int) -> bool:
        """Whether an event so far behind the last one must have others before it."""
        return self.is_regular and self.equal_steps >= MIN_EQUAL_STEPS and step > self.step


class StreamSequence:
    """The position of one answer, across its runs.

    `last_id` is the id of the last event that the caller has, its own `Last-Event-Id` at first. `version` is that of
    the weights of the run that produced the last event.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.version: int | None = None
        self.steps = EventIdStepTracker()
        self.has_forwarded = False
        self.is_position_known = True
        self.is_event_missing = False
        self._run_version: int | None = None
        self._is_joining = False
        self._has_skipped = False
        self._has_reached_last = False

    def begin_run(self, version: int | None = None) -> None:
        """A run begins that was asked to continue after `last_id`; `version` is that of the weights it says it has."""
        self._run_version = version
        # An id of the caller's own that is no number can't be compared with others.
        self._is_joining = _is_number(self.last_id)
        self._has_skipped = self._has_reached_last = False

    def is_resumable(self) -> bool:
        """Whether another run can be told after which event to continue."""
        return self.is_position_known and (not self.has_forwarded or not self.last_id or _is_number(self.last_id))

    def accepts_version(self, version: int | None) -> bool:
        """Whether a run on these weights may continue: the version never goes back within an answer."""
        if not self.has_forwarded or version is None or self.version is None:
            return True
        return version >= self.version

    def note_partial_event(self) -> None:
        """A run broke off inside an event, so at least one more belongs to the answer."""
        self.is_event_missing = True

    def process_event(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        """What to do with the next whole event of the run."""
        if event.version is not None:
            self._run_version = event.version
        if not event.event_id:
            return self._take_without_id(event)
        if self._is_joining:
            return self._join(event.event_id)
        if _is_number(event.event_id) and _is_number(self.last_id) and int(event.event_id) <= int(self.last_id):
            return Err(StreamViolation.ID_NOT_RISING)
        return self._forward(event.event_id)

    def end_run(self) -> StreamViolation | None:
        """The run's framing was complete; whether the answer may end as complete, too."""
        if self._is_joining and self._has_skipped and not self._has_reached_last:
            return StreamViolation.POSITION_MISSED
        return StreamViolation.ENDED_EARLY if self.is_event_missing else None

    def _take_without_id(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        if not event.has_data:
            return Ok(EventAction.SKIP if self._is_joining else EventAction.FORWARD)
        if self._is_joining and self.has_forwarded:
            return Err(StreamViolation.POSITION_UNKNOWN)
        if not self.accepts_version(self._run_version):
            return Err(StreamViolation.VERSION_WENT_BACK)
        self.is_position_known = False
        return Ok(self._record_forwarded())

    def _join(self, event_id: str) -> Result[EventAction, StreamViolation]:
        """Skips what the caller has, and verifies that the first event that it hasn't follows directly."""
        if not _is_number(event_id):
            return Err(StreamViolation.POSITION_UNKNOWN)
        step = int(event_id) - int(self.last_id)
        if step <= 0:
            self._has_skipped = True
            self._has_reached_last = self._has_reached_last or step == 0
            return Ok(EventAction.SKIP)
        if self._has_skipped and not self._has_reached_last:
            return Err(StreamViolation.POSITION_MISSED)
        if not self._has_skipped and self.steps.is_gap(step):
            return Err(StreamViolation.GAP)
        self._is_joining = False
        return self._forward(event_id)

    def _forward(self, event_id: str) -> Result[EventAction, StreamViolation]:
        if not self.accepts_version(self._run_version):
            return Err(StreamViolation.VERSION_WENT_BACK)
        if self.has_forwarded and _is_number(event_id) and _is_number(self.last_id):
            self.steps.record_step(int(event_id) - int(self.last_id))
        self.last_id = event_id
        self.is_position_known = True
        return Ok(self._record_forwarded())

    def _record_forwarded(self) -> EventAction:
        self.has_forwarded = True
        self.is_event_missing = False
        if self._run_version is not None:
            self.version = self._run_version
        return EventAction.FORWARD


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
