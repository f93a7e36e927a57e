"""RosterMerge (§7.7): what several lists of workers say, put together so that knowledge goes one way only."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from pearhead.router.worker_control import Backend
from pearhead.rpc.wire_pb2 import ListedWorker, LoadedModel
from pearhead.runtime.clock import MILLI, SECOND

# Absent from lists that were asked so far apart, a worker is out.
ABSENT_MICROS = 400 * MILLI
# So long is a worker that is out not taken in again.
ROSTER_EXCLUSION_MICROS = 60 * SECOND
LONG_AGO = -(10**12)


@dataclass(frozen=True)
class Roster:
    """Immutable and swapped whole. `at_micros`: when the list behind it was asked, by this node's clock."""

    backends: Mapping[str, Backend] = field(default_factory=dict)
    at_micros: int = LONG_AGO


def pack_backend(backend: Backend) -> ListedWorker:
    """For a note to other nodes."""
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
    """From a note of another node."""
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
    """What lists say, put together so that knowledge goes one way only.

    Seen leaving stays leaving. Absent from two lists asked 0.4 s apart or more is out, and out for 60 s: pages of one
    list are read one after another, so an entry that moves between them is missing once though it is there; a second
    list a second later still leaves time within the 3 s that a worker takes to go. A list of nobody says nothing.
    """

    def __init__(self) -> None:
        self.roster = Roster()
        self.leaving: set[str] = set()
        self.absent_since: dict[str, int] = {}
        self.excluded_until: dict[str, int] = {}

    def merge_list(self, listed: Iterable[Backend], at_micros: int, now_micros: int) -> bool:
        """Whether the list was newer than what is known. An older one can still tell who leaves."""
        listed_by_name = {backend.name: backend for backend in listed}
        self.leaving |= {name for name, backend in listed_by_name.items() if backend.is_leaving}
        is_newer = bool(listed_by_name) and at_micros > self.roster.at_micros
        merged = dict(self.roster.backends)
        if is_newer:
            self.excluded_until = {name: end for name, end in self.excluded_until.items() if end > now_micros}
            merged = {name: b for name, b in listed_by_name.items() if name not in self.excluded_until}
            for name, backend in self.roster.backends.items():
                if name in listed_by_name:
                    self.absent_since.pop(name, None)
                elif at_micros - self.absent_since.setdefault(name, at_micros) >= ABSENT_MICROS:
                    self.absent_since.pop(name)
                    self.excluded_until[name] = now_micros + ROSTER_EXCLUSION_MICROS
                else:
                    merged[name] = backend
            self.leaving &= set(merged) | set(listed_by_name)
        for name in self.leaving & set(merged):
            if not merged[name].is_leaving:
                merged[name] = dataclasses.replace(merged[name], is_leaving=True)
        self.roster = Roster(merged, at_micros if is_newer else self.roster.at_micros)
        return is_newer

    def add_from_peer(self, listed: Iterable[Backend], at_micros: int, now_micros: int) -> None:
        """What a colleague knows: it adds whom this node does not know, and takes nobody out."""
        told = list(listed)
        if not self.roster.backends:
            self.merge_list(told, at_micros, now_micros)
            return
        self.leaving |= {backend.name for backend in told if backend.is_leaving}
        added = {
            b.name: b
            for b in told
            if b.name not in self.roster.backends and self.excluded_until.get(b.name, now_micros) <= now_micros
        }
        self.roster = Roster({**self.roster.backends, **added}, self.roster.at_micros)
