"""Stream order (§8.9): the invariant of a streamed response, which one or several runs may produce.

A run is the stream that one worker sends for one try of the request.

The event ids forwarded to a client strictly increase, and the version of the weights that produced the events never
decreases. A later run may only continue directly after the last forwarded event, and a response is complete only if
its last run continued from there. Anything that would break this is a `StreamViolation`, after which nothing more of
that run is forwarded.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from result import Err, Ok, Result

# An id with more digits is not treated as a number by which a worker counts its events.
MAX_EVENT_ID_DIGITS = 18
# After this many equal steps between ids, the ids of the following events are assumed to increase by the same step.
MIN_EQUAL_STEPS = 2


class StreamViolation(enum.Enum):
    """How a run would break the sequence; the values are names of counters.

    - `ID_NOT_RISING`: an event id is not greater than the last forwarded one.
    - `GAP`: a continuing run starts later than directly after the last forwarded event.
    - `POSITION_MISSED`: a run that starts earlier does not contain the last forwarded event.
    - `POSITION_UNKNOWN`: a continuing run has events without a numeric id, so its position can't be verified.
    - `ENDED_EARLY`: the run ended without a further event although an earlier run broke off inside one.
    - `VERSION_WENT_BACK`: an event is from older weights than the last forwarded one.
    """

    ID_NOT_RISING = "stream_id_not_rising"
    GAP = "stream_gap"
    POSITION_MISSED = "stream_position_missed"
    POSITION_UNKNOWN = "stream_position_unknown"
    ENDED_EARLY = "stream_ended_early"
    VERSION_WENT_BACK = "stream_version_went_back"


class EventAction(enum.Enum):
    """What to do with an event that does not break the sequence."""

    FORWARD = "forward"
    SKIP = "skip"


@dataclass(frozen=True)
class EventFields:
    """The parts of an event that the sequence checks. Comments and empty events have no data.

    `version` is that of the weights from this event on, None if the event announces no change.
    """

    event_id: str
    has_data: bool
    version: int | None = None


class EventIdStepTracker:
    """Learns the distance between the ids of consecutive events from the forwarded events."""

    def __init__(self) -> None:
        self.step = 0
        self.equal_steps = 0
        self.is_regular = True

    def record_step(self, step: int) -> None:
        """Records the distance between the ids of an event and its predecessor."""
        if self.equal_steps and step != self.step:
            self.is_regular = False
        self.step = step
        self.equal_steps += 1

    def is_gap(self, step: int) -> bool:
        """Whether an event at this distance from the last one implies that events between them are missing."""
        return self.is_regular and self.equal_steps >= MIN_EQUAL_STEPS and step > self.step


class StreamSequence:
    """Checks the order of the events of one response across its runs.

    `last_id` is the id of the last event that the client has, at first its own `Last-Event-Id`. `version` is that of
    the weights that produced the last event.
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
        """Starts a run that was asked to continue after `last_id`, with weights that report the given version."""
        self._run_version = version
        # Without a numeric `last_id` there is nothing to compare the ids of the run with.
        self._is_joining = _is_number(self.last_id)
        self._has_skipped = self._has_reached_last = False

    def is_resumable(self) -> bool:
        """Whether the position is known, so that another run can be asked to continue after it."""
        return self.is_position_known and (not self.has_forwarded or not self.last_id or _is_number(self.last_id))

    def accepts_version(self, version: int | None) -> bool:
        """Whether a run on these weights may continue the response: the version never decreases within it."""
        if not self.has_forwarded or version is None or self.version is None:
            return True
        return version >= self.version

    def note_partial_event(self) -> None:
        """Notes that a run broke off inside an event, so at least one more event belongs to the response."""
        self.is_event_missing = True

    def process_event(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        """Decides what to do with the next complete event of the run."""
        if event.version is not None:
            self._run_version = event.version
        if not event.event_id:
            return self._process_without_id(event)
        if self._is_joining:
            return self._join(event.event_id)
        if _is_number(event.event_id) and _is_number(self.last_id) and int(event.event_id) <= int(self.last_id):
            return Err(StreamViolation.ID_NOT_RISING)
        return self._forward(event.event_id)

    def end_run(self) -> StreamViolation | None:
        """Called when the run's framing is complete; returns a violation if the response is not."""
        if self._is_joining and self._has_skipped and not self._has_reached_last:
            return StreamViolation.POSITION_MISSED
        return StreamViolation.ENDED_EARLY if self.is_event_missing else None

    def _process_without_id(self, event: EventFields) -> Result[EventAction, StreamViolation]:
        if not event.has_data:
            return Ok(EventAction.SKIP if self._is_joining else EventAction.FORWARD)
        if self._is_joining and self.has_forwarded:
            return Err(StreamViolation.POSITION_UNKNOWN)
        if not self.accepts_version(self._run_version):
            return Err(StreamViolation.VERSION_WENT_BACK)
        self.is_position_known = False
        return Ok(self._record_forwarded())

    def _join(self, event_id: str) -> Result[EventAction, StreamViolation]:
        """Skips events that the client already has, and verifies that the first new one follows directly."""
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
