"""RosterMerge (§7.7): merges successive worker lists into one roster that never reverts to older facts."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from pearhead.router.worker_control import Backend
from pearhead.rpc.wire_pb2 import ListedWorker, LoadedModel
from pearhead.runtime.clock import MILLI, SECOND

# A worker is removed when it is absent from lists whose requests lie at least this far apart.
ABSENT_MICROS = 400 * MILLI
# A removed worker is not added again for this long.
ROSTER_EXCLUSION_MICROS = 60 * SECOND
# Stands for a time before any list was read.
DISTANT_PAST_MICROS = -(10**12)


@dataclass(frozen=True)
class Roster:
    """An immutable set of workers by name, replaced as a whole.

    `requested_micros` is when the list behind it was requested, by this node's clock.
    """

    backends: Mapping[str, Backend] = field(default_factory=dict)
    requested_micros: int = DISTANT_PAST_MICROS


def pack_backend(backend: Backend) -> ListedWorker:
    """Encodes a worker for a note to other nodes."""
    return ListedWorker(
        name=backend.name,
        address=backend.address,
        zone=backend.zone,
        service=backend.service,
        capacity=backend.capacity,
        leaving=backend.is_leaving,
        cold_left_micros=backend.cold_left_micros,
        model=[LoadedModel(line=line, version=version) for line, version in sorted(backend.versions.items())],
    )


def unpack_backend(listed: ListedWorker) -> Backend:
    """Decodes a worker from a note of another node."""
    return Backend(
        listed.name,
        listed.address,
        listed.zone,
        listed.service,
        listed.capacity,
        listed.leaving,
        {model.line: model.version for model in listed.model},
        listed.cold_left_micros,
    )


class RosterMerge:
    """Merges worker lists so that a worker's state only moves forward.

    A worker once seen leaving stays leaving. One that is absent from two lists requested at least 0.4 s apart is
    removed, and stays out for 60 s. A single absence is not enough: the pages of a list are read one after another, so
    an entry that moves between pages can be missing although the worker is there. Waiting for the next list, a second
    later, still leaves time within the 3 s that a leaving worker takes to go. An empty list is ignored.
    """

    def __init__(self) -> None:
        self.roster = Roster()
        self.leaving_names: set[str] = set()
        self.absent_since: dict[str, int] = {}
        self.excluded_until: dict[str, int] = {}

    def merge_list(self, listed: Iterable[Backend], requested_micros: int, now_micros: int) -> bool:
        """Merges a list and returns whether it was newer than the roster.

        From an older list only the marks of leaving workers are taken.
        """
        listed_by_name = {backend.name: backend for backend in listed}
        self.leaving_names |= {name for name, backend in listed_by_name.items() if backend.is_leaving}
        is_newer = bool(listed_by_name) and requested_micros > self.roster.requested_micros
        merged = dict(self.roster.backends)
        if is_newer:
            self.excluded_until = {name: end for name, end in self.excluded_until.items() if end > now_micros}
            merged = {name: b for name, b in listed_by_name.items() if name not in self.excluded_until}
            for name, backend in self.roster.backends.items():
                if name in listed_by_name:
                    self.absent_since.pop(name, None)
                elif requested_micros - self.absent_since.setdefault(name, requested_micros) >= ABSENT_MICROS:
                    self.absent_since.pop(name)
                    self.excluded_until[name] = now_micros + ROSTER_EXCLUSION_MICROS
                else:
                    merged[name] = backend
            self.leaving_names &= set(merged) | set(listed_by_name)
        for name in self.leaving_names & set(merged):
            if not merged[name].is_leaving:
                merged[name] = dataclasses.replace(merged[name], is_leaving=True)
        self.roster = Roster(merged, requested_micros if is_newer else self.roster.requested_micros)
        return is_newer

    def add_from_peer(self, listed: Iterable[Backend], requested_micros: int, now_micros: int) -> None:
        """Adds the workers of a peer's roster that this node does not know; removes none.

        Also takes its marks of leaving workers. If this node has no roster yet, the peer's is merged like a list.
        """
        peer_backends = list(listed)
        if not self.roster.backends:
            self.merge_list(peer_backends, requested_micros, now_micros)
            return
        self.leaving_names |= {backend.name for backend in peer_backends if backend.is_leaving}
        added = {
            b.name: b
            for b in peer_backends
            if b.name not in self.roster.backends and self.excluded_until.get(b.name, now_micros) <= now_micros
        }
        self.roster = Roster({**self.roster.backends, **added}, self.roster.requested_micros)
