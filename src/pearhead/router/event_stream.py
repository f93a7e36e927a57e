"""Event stream parsing (§8.9): splits a byte stream into complete events, so that another run can continue it."""

from __future__ import annotations

import re
from collections.abc import Callable

from result import Err

from pearhead.router.stream_sequence import EventAction, EventFields, StreamSequence, StreamViolation

EVENT_ID = re.compile(rb"^id(?:: ?([^\r\n]*))?\r?$", re.MULTILINE)
EVENT_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# A field other than `event` and `retry`. A block with only those two fields is not an event to the client.
EVENT_DATA = re.compile(rb"^(?!(?:event|retry)(?::|\r?$))[^:\r\n]", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
# Returns the weights version that a complete event announces, from this event on; None if it announces none.
VersionReader = Callable[[bytes], int | None]


def _no_event_version(event: bytes) -> int | None:
    return None


class EventSplitter:
    """Turns the byte chunks of one or several runs into the complete events to forward to the client.

    `pending` holds the bytes after the last complete event. Once `violation` is set, nothing more of the run is
    forwarded.
    """

    def __init__(self, last_id: str = "", read_version: VersionReader = _no_event_version) -> None:
        self.sequence = StreamSequence(last_id)
        self.read_version = read_version
        self.pending = b""
        self.violation: StreamViolation | None = None

    @property
    def last_id(self) -> str:
        """The id of the last forwarded event; at first the client's `Last-Event-Id`."""
        return self.sequence.last_id

    def begin_run(self, version: int | None = None) -> None:
        """Starts another run; a partial event of the previous run is dropped, as no event may span two runs."""
        if EVENT_FIELD.search(self.pending):
            self.sequence.note_partial_event()
        self.pending = b""
        self.violation = None
        self.sequence.begin_run(version)

    def feed(self, chunk: bytes) -> bytes:
        """Adds a chunk of the run and returns the complete events to forward to the client."""
        self.pending += chunk
        complete_events: list[bytes] = []
        while self.violation is None:
            end = EVENT_END.search(self.pending)
            if end is None:
                break
            event, self.pending = self.pending[: end.end()], self.pending[end.end() :]
            action = self.sequence.process_event(parse_event_fields(event, self.read_version(event)))
            if isinstance(action, Err):
                self.violation = action.err_value
            elif action.ok_value is EventAction.FORWARD:
                complete_events.append(event)
        return b"".join(complete_events)

    def end_run(self) -> bool:
        """Called when the run's framing is complete; whether the response is complete, too, so not inside an event."""
        if self.violation is None:
            self.violation = self.sequence.end_run()
        return self.violation is None and not self.pending


def parse_event_fields(event: bytes, version: int | None = None) -> EventFields:
    """Reads the fields of one event. Of several ids the last one counts, as the event stream format requires."""
    ids = EVENT_ID.findall(event)
    event_id = ids[-1].decode("latin1").strip() if ids else ""
    return EventFields(event_id, EVENT_DATA.search(event) is not None, version)
