"""EventSplitter (§8.9): cuts a stream into whole events, so that a stream can go on elsewhere after a cut."""

from __future__ import annotations

import re
from collections.abc import Callable

from result import Err

from pearhead.router.stream_sequence import EventAction, EventFields, StreamSequence, StreamViolation

EVENT_ID = re.compile(rb"^id(?:: ?([^\r\n]*))?\r?$", re.MULTILINE)
EVENT_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# A block that has these alone is no event to the caller.
EVENT_DATA = re.compile(rb"^(?!(?:event|retry)(?::|\r?$))[^:\r\n]", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
# Reads from a whole event the version of the weights that it says to begin with; None where it says nothing of it.
VersionReader = Callable[[bytes], int | None]


def _no_event_version(event: bytes) -> int | None:
    return None


class EventSplitter:
    """Feeds bytes in, takes whole events out.

    `last_id` is that of the last event given out. After a `violation` nothing of the run is given out any more.
    """

    def __init__(self, last_id: str = "", read_version: VersionReader = _no_event_version) -> None:
        self.sequence = StreamSequence(last_id)
        self.read_version = read_version
        self.pending = b""
        self.violation: StreamViolation | None = None

    @property
    def last_id(self) -> str:
        return self.sequence.last_id

    def begin_run(self, version: int | None = None) -> None:
        """Another run's bytes follow: a partial event of the one before is dropped, as no event joins two runs."""
        if EVENT_FIELD.search(self.pending):
            self.sequence.note_partial_event()
        self.pending = b""
        self.violation = None
        self.sequence.begin_run(version)

    def feed(self, chunk: bytes) -> bytes:
        """The whole events that the caller is to get next."""
        self.pending += chunk
        whole: list[bytes] = []
        while self.violation is None:
            end = EVENT_END.search(self.pending)
            if end is None:
                break
            event, self.pending = self.pending[: end.end()], self.pending[end.end() :]
            action = self.sequence.process_event(parse_event_fields(event, self.read_version(event)))
            if isinstance(action, Err):
                self.violation = action.err_value
            elif action.ok_value is EventAction.FORWARD:
                whole.append(event)
        return b"".join(whole)

    def end_run(self) -> bool:
        """The run's framing was complete; whether the answer is, which it is not inside an event."""
        if self.violation is None:
            self.violation = self.sequence.end_run()
        return self.violation is None and not self.pending


def parse_event_fields(event: bytes, version: int | None = None) -> EventFields:
    """The last id counts, as the format says."""
    ids = EVENT_ID.findall(event)
    event_id = ids[-1].decode("latin1").strip() if ids else ""
    return EventFields(event_id, EVENT_DATA.search(event) is not None, version)
