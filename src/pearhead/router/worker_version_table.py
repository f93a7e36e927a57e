"""Weights versions of workers (§7.7): which version each worker runs, by everything reported about it."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearhead.router.roster_merge import Roster
from pearhead.rpc.wire_pb2 import ModelNote
from pearhead.runtime.clock import SECOND, Clock

LOADING_NOTE_TTL_MICROS = 3 * SECOND


@dataclass
class _WorkerVersions:
    """Known versions by line, and loads in progress by line, as version and expiry time."""

    versions: dict[str, int] = field(default_factory=dict)
    loading: dict[str, tuple[int, int]] = field(default_factory=dict)


class WorkerVersionTable:
    """The highest version of each line reported for each worker, and the loads in progress.

    A worker's version never decreases during its life, and a restarted worker has a new name. So late and duplicate
    reports have no effect.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: dict[str, _WorkerVersions] = {}

    def version_of(self, worker: str, line: str) -> int | None:
        """The highest version reported; None if there is no report."""
        known = self.workers.get(worker)
        return None if known is None else known.versions.get(line)

    def is_loading(self, worker: str) -> bool:
        """Whether a load is in progress, so that requests avoid the worker; ends by a note, or 3 s after the last."""
        known = self.workers.get(worker)
        if known is None:
            return False
        now_micros = self.clock.now()
        return any(expiry_micros > now_micros for _, expiry_micros in known.loading.values())

    def record(self, worker: str, line: str, version: int) -> bool:
        """Records a version from the worker list, a note about a load, or a response to a request.

        Returns whether it is higher than what was known.
        """
        known = self.workers.setdefault(worker, _WorkerVersions())
        if version <= known.versions.get(line, -1):
            return False
        known.versions[line] = version
        if line in known.loading and known.loading[line][0] <= version:
            del known.loading[line]
        return True

    def apply_note(self, note: ModelNote) -> bool:
        """Applies a note from a node that orders a load, sent when the load begins and ends.

        Returns whether the note contained anything new.
        """
        known = self.workers.setdefault(note.worker, _WorkerVersions())
        if note.loading:
            if note.version <= known.versions.get(note.line, -1):
                return False
            known.loading[note.line] = (note.version, self.clock.now() + LOADING_NOTE_TTL_MICROS)
            return True
        was_loading = known.loading.pop(note.line, None) is not None
        return self.record(note.worker, note.line, note.version) or was_loading

    def apply_roster(self, roster: Roster) -> None:
        """Forgets workers that the roster no longer names; records its versions where no newer one is known."""
        for name in set(self.workers) - set(roster.backends):
            del self.workers[name]
        for backend in roster.backends.values():
            for line, version in backend.versions.items():
                self.record(backend.name, line, version)
