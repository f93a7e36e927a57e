"""WorkerVersionTable (§7.7): which weights' version each worker runs, by all that was told of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearhead.router.roster_merge import Roster
from pearhead.rpc.wire_pb2 import ModelNote
from pearhead.runtime.clock import SECOND, Clock

LOADING_NOTE_TTL_MICROS = 3 * SECOND


@dataclass
class _WorkerVersions:
    versions: dict[str, int] = field(default_factory=dict)
    loading: dict[str, tuple[int, int]] = field(default_factory=dict)


class WorkerVersionTable:
    """A version never goes down within a life, and a name is a life: whatever is told late or twice does nothing."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: dict[str, _WorkerVersions] = {}

    def version_of(self, worker: str, line: str) -> int | None:
        """The highest version told of it; None while nothing was."""
        known = self.workers.get(worker)
        return None if known is None else known.versions.get(line)

    def is_loading(self, worker: str) -> bool:
        """Whether requests should stay away; ends by word, or 3 s after the last word of it."""
        known = self.workers.get(worker)
        if known is None:
            return False
        now_micros = self.clock.now()
        return any(end_micros > now_micros for _, end_micros in known.loading.values())

    def record(self, worker: str, line: str, version: int) -> bool:
        """Told by the list, a report, an order or an answer; whether it was news."""
        known = self.workers.setdefault(worker, _WorkerVersions())
        if version <= known.versions.get(line, -1):
            return False
        known.versions[line] = version
        if line in known.loading and known.loading[line][0] <= version:
            del known.loading[line]
        return True

    def apply_note(self, note: ModelNote) -> bool:
        """A node that orders tells when a load begins and ends; whether it was news."""
        known = self.workers.setdefault(note.worker, _WorkerVersions())
        if note.loading:
            if note.version <= known.versions.get(note.line, -1):
                return False
            known.loading[note.line] = (note.version, self.clock.now() + LOADING_NOTE_TTL_MICROS)
            return True
        was_loading = known.loading.pop(note.line, None) is not None
        return self.record(note.worker, note.line, note.version) or was_loading

    def apply_roster(self, roster: Roster) -> None:
        """Whom the roster no longer names is forgotten; the list's old versions count where none newer is known."""
        for name in set(self.workers) - set(roster.backends):
            del self.workers[name]
        for backend in roster.backends.values():
            for line, version in backend.versions.items():
                self.record(backend.name, line, version)
