"""The schedule of a soak run: which faults begin when, on which processes, drawn from a seed.

The same seed and profile give the same schedule. Times are whole microseconds from the start of traffic.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from itertools import cycle
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND

LANE_GAP_MICROS = 300 * MILLI
LANES = 3
DRAWS_FOR_TARGETS = 20
LIST_NAME = "cloud"


class FaultKind(StrEnum):
    """What may befall a fleet. Planned work is what an operator does on purpose."""

    ROLLING_RESTART = "rolling restart"
    RELOAD = "reload"
    CONFIG_CHANGE = "configuration change"
    KEY_REVOCATION = "key revocation"
    NAME_WEIGHTS = "name weights"
    WORKER_LEAVES = "worker leaves"
    KILL_FRONT = "kill front"
    KILL_CORE = "kill core"
    KILL_ALL_CORES = "kill all cores"
    FREEZE_FRONT = "freeze front"
    FREEZE_CORE = "freeze core"
    KILL_WORKER = "kill worker"
    FREEZE_WORKER = "freeze worker"
    FAULTY_WORKER = "faulty worker"
    LIST_SLOW = "list slow"
    LIST_REFUSES = "list refuses"
    LIST_LIMITS = "list answers 429"
    CUT_LINK = "cut link"
    DELAY_LINK = "delay link"
    LOSE_ANSWERS = "lose answers"
    RESET_ANSWERS = "reset answers"


PLANNED_KINDS = (
    FaultKind.ROLLING_RESTART,
    FaultKind.RELOAD,
    FaultKind.CONFIG_CHANGE,
    FaultKind.KEY_REVOCATION,
    FaultKind.NAME_WEIGHTS,
    FaultKind.WORKER_LEAVES,
)
UNPLANNED_KINDS = tuple(kind for kind in FaultKind if kind not in PLANNED_KINDS)
# Longest time from the beginning of a fault to the moment at which its process may be struck again.
SETTLING_MICROS = {
    FaultKind.ROLLING_RESTART: 12 * SECOND,
    FaultKind.WORKER_LEAVES: 12 * SECOND,
}


@dataclass(frozen=True)
class ScheduledFault:
    """One fault. `count`: lost acknowledgements of a change, or further details of its kind."""

    begin_micros: int
    duration_micros: int
    kind: FaultKind
    targets: tuple[str, ...]
    count: int = 0

    @property
    def end_micros(self) -> int:
        """When its processes may be struck again."""
        return self.begin_micros + max(self.duration_micros, SETTLING_MICROS.get(self.kind, 0))

    def fields(self) -> dict[str, Any]:
        """As JSON."""
        return asdict(self)


@dataclass(frozen=True)
class SoakProfile:
    """The size of a fleet, its load, how long it runs, and what may befall it.

    `stretches`: the kinds of faults that are drawn together; one stretch after another, over and over, each with a
    calm after it. Planned work has stretches of its own, as the rules around it hold only while nothing else is wrong.
    """

    cores: int = 3
    fronts: int = 5
    workers: int = 5
    clients: int = 80
    seconds: float = 40.0
    longest_pause_seconds: float = 8.0
    stretch_seconds: float = 14.0
    calm_seconds: float = 4.0
    stretches: tuple[tuple[FaultKind, ...], ...] = (PLANNED_KINDS, tuple(FaultKind))


SHORT_PROFILE = SoakProfile(
    fronts=3,
    workers=3,
    clients=24,
    seconds=9.0,
    longest_pause_seconds=5.0,
    stretch_seconds=4.0,
    calm_seconds=1.0,
    stretches=(
        (FaultKind.ROLLING_RESTART, FaultKind.CONFIG_CHANGE, FaultKind.KEY_REVOCATION, FaultKind.RELOAD),
        (
            FaultKind.KILL_FRONT,
            FaultKind.KILL_CORE,
            FaultKind.FREEZE_CORE,
            FaultKind.KILL_WORKER,
            FaultKind.LIST_LIMITS,
            FaultKind.CUT_LINK,
            FaultKind.RESET_ANSWERS,
            FaultKind.CONFIG_CHANGE,
        ),
    ),
)


@dataclass
class _Draft:
    """Faults drawn so far, and until when each process is taken."""

    faults: list[ScheduledFault] = field(default_factory=list)
    taken_until: dict[str, int] = field(default_factory=dict)

    def are_free(self, names: tuple[str, ...], at: int) -> bool:
        return all(self.taken_until.get(name, 0) <= at for name in names)

    def add(self, fault: ScheduledFault) -> None:
        self.faults.append(fault)
        for name in fault.targets:
            self.taken_until[name] = max(self.taken_until.get(name, 0), fault.end_micros)


class ScheduleMaker:
    """Draws a schedule, in which two or three faults overlap throughout each stretch."""

    def __init__(self, profile: SoakProfile, seed: int) -> None:
        self.profile = profile
        self.chance = random.Random(f"soak {seed}")
        self.names = {
            "core": tuple(f"core-{n + 1}" for n in range(profile.cores)),
            "front": tuple(f"front-{n + 1}" for n in range(profile.fronts)),
            "worker": tuple(f"engine-{n + 1}" for n in range(profile.workers)),
        }

    def make(self) -> list[ScheduledFault]:
        """All faults in the order of their beginnings."""
        draft = _Draft()
        end_micros = round(self.profile.seconds * SECOND)
        begin_micros = SECOND
        for kinds in cycle(self.profile.stretches):
            if begin_micros >= end_micros:
                break
            stretch_end = min(begin_micros + round(self.profile.stretch_seconds * SECOND), end_micros)
            for lane in range(LANES):
                self._fill_lane(draft, kinds, lane, begin_micros, stretch_end)
            begin_micros = stretch_end + round(self.profile.calm_seconds * SECOND)
        return sorted(draft.faults, key=lambda f: f.begin_micros)

    def _fill_lane(
        self, draft: _Draft, kinds: tuple[FaultKind, ...], lane: int, begin_micros: int, end_micros: int
    ) -> None:
        """One fault after another; the lanes together make two or three faults overlap."""
        at = begin_micros + self.chance.randrange(LANE_GAP_MICROS * (lane + 1))
        while kinds and at < end_micros:
            is_first = lane == 0 and at < begin_micros + SECOND and FaultKind.ROLLING_RESTART in kinds
            fault = self._draw(draft, kinds, at, end_micros, is_first)
            if fault is None:
                at += LANE_GAP_MICROS
                continue
            draft.add(fault)
            at += max(fault.duration_micros, LANE_GAP_MICROS) + self.chance.randrange(LANE_GAP_MICROS)

    def _draw(
        self, draft: _Draft, kinds: tuple[FaultKind, ...], at: int, end_micros: int, is_first: bool
    ) -> ScheduledFault | None:
        for _ in range(DRAWS_FOR_TARGETS):
            kind = FaultKind.ROLLING_RESTART if is_first else self.chance.choice(kinds)
            targets = self._draw_targets(kind)
            duration_micros = min(self._draw_duration(kind, len(targets)), end_micros - at)
            if draft.are_free(targets, at) and duration_micros > 0:
                return ScheduledFault(at, duration_micros, kind, targets, self.chance.randrange(3))
        return None

    def _draw_targets(self, kind: FaultKind) -> tuple[str, ...]:
        chance, names = self.chance, self.names
        match kind:
            case FaultKind.ROLLING_RESTART:
                most = max(1, self.profile.fronts - 1)
                return tuple(chance.sample(names["front"], chance.randint(min(2, most), most)))
            case FaultKind.RELOAD:
                every = (*names["core"], *names["front"])
                return tuple(chance.sample(every, chance.randint(1, 4)))
            case FaultKind.CONFIG_CHANGE | FaultKind.KEY_REVOCATION | FaultKind.NAME_WEIGHTS:
                return ()
            case FaultKind.KILL_ALL_CORES:
                return names["core"]
            case FaultKind.KILL_CORE | FaultKind.FREEZE_CORE:
                return (chance.choice(names["core"]),)
            case FaultKind.KILL_FRONT | FaultKind.FREEZE_FRONT:
                return tuple(chance.sample(names["front"], chance.randint(1, 2)))
            case FaultKind.LIST_SLOW | FaultKind.LIST_REFUSES | FaultKind.LIST_LIMITS:
                return (LIST_NAME,)
            case FaultKind.CUT_LINK | FaultKind.DELAY_LINK | FaultKind.LOSE_ANSWERS | FaultKind.RESET_ANSWERS:
                group = chance.choice(("core", "front", "worker"))
                return (chance.choice(names[group]),)
            case _:
                return (chance.choice(names["worker"]),)

    def _draw_duration(self, kind: FaultKind, target_count: int) -> int:
        """How long it lasts; of planned work, how much later the next may begin."""
        match kind:
            case FaultKind.ROLLING_RESTART:
                return target_count * self.chance.randrange(300 * MILLI, 1_500 * MILLI)
            case FaultKind.CONFIG_CHANGE | FaultKind.KEY_REVOCATION | FaultKind.RELOAD:
                return self.chance.randrange(1 * SECOND, 3 * SECOND)
            case FaultKind.NAME_WEIGHTS:
                return self.chance.randrange(3 * SECOND, 6 * SECOND)
            case FaultKind.WORKER_LEAVES:
                return self.chance.randrange(2 * SECOND, 4 * SECOND)
            case _:
                return self.chance.randrange(200 * MILLI, 4 * SECOND)
