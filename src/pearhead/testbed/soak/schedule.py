"""The schedule of a soak run: which faults begin when, and on which processes, drawn from a seed.

The same seed and profile give the same schedule. Times are whole microseconds from the start of the schedule.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from itertools import cycle
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND

# A stretch is filled with parallel lanes; in each lane one fault follows another after a random gap.
LANE_GAP_MICROS = 300 * MILLI
LANES = 3
# How many random faults are drawn for one moment in search of one whose processes are free of earlier faults.
MAX_DRAWS = 20
CLOUD_PROCESS = "cloud"


class FaultKind(StrEnum):
    """Kinds of faults, with their names in schedules and journals.

    Planned work, which an operator does on purpose, is scheduled like a fault. "Core" is a control plane node, "front"
    a router node, and "list" the cloud API that lists the workers.
    """

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
    LIST_RATE_LIMITS = "list answers 429"
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
# For planned work that takes longer than its scheduled duration: the longest time from its beginning until the next
# fault of the same process may begin.
SETTLING_MICROS = {
    FaultKind.ROLLING_RESTART: 12 * SECOND,
    FaultKind.WORKER_LEAVES: 12 * SECOND,
}


@dataclass(frozen=True)
class ScheduledFault:
    """A fault on some processes. `count`: how many responses to a change are lost, or the variant of another kind."""

    begin_micros: int
    duration_micros: int
    kind: FaultKind
    targets: tuple[str, ...]
    count: int = 0

    @property
    def end_micros(self) -> int:
        """When the next fault of its processes may begin."""
        return self.begin_micros + max(self.duration_micros, SETTLING_MICROS.get(self.kind, 0))

    def fields(self) -> dict[str, Any]:
        """The fault as a JSON object."""
        return asdict(self)


@dataclass(frozen=True)
class SoakProfile:
    """The size of a fleet, its load, how long it runs, and the faults that it gets.

    Attributes:
        cores: Number of core nodes.
        fronts: Number of front nodes.
        workers: Number of workers.
        clients: Number of concurrent clients.
        seconds: Length of the schedule.
        longest_pause_seconds: Longest pause of a client between two requests.
        stretch_seconds: Length of a stretch, a period with overlapping faults.
        calm_seconds: Length of the period without new faults after each stretch.
        stretches: The kinds of faults that each stretch draws from; repeated in this order. Planned work has stretches
            of its own, as the rules for it hold only while nothing else is wrong.
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
            FaultKind.LIST_RATE_LIMITS,
            FaultKind.CUT_LINK,
            FaultKind.RESET_ANSWERS,
            FaultKind.CONFIG_CHANGE,
        ),
    ),
)


@dataclass
class _ScheduleDraft:
    """The faults drawn so far, and until when each process is taken up by one."""

    faults: list[ScheduledFault] = field(default_factory=list)
    taken_until: dict[str, int] = field(default_factory=dict)

    def are_free(self, names: tuple[str, ...], at: int) -> bool:
        return all(self.taken_until.get(name, 0) <= at for name in names)

    def add(self, fault: ScheduledFault) -> None:
        self.faults.append(fault)
        for name in fault.targets:
            self.taken_until[name] = max(self.taken_until.get(name, 0), fault.end_micros)


class ScheduleGenerator:
    """Draws a schedule in which mostly two or three faults overlap throughout each stretch."""

    def __init__(self, profile: SoakProfile, seed: int) -> None:
        self.profile = profile
        self.rng = random.Random(f"soak {seed}")
        self.names = {
            "core": tuple(f"core-{n + 1}" for n in range(profile.cores)),
            "front": tuple(f"front-{n + 1}" for n in range(profile.fronts)),
            "worker": tuple(f"engine-{n + 1}" for n in range(profile.workers)),
        }

    def generate(self) -> list[ScheduledFault]:
        """Returns the faults in the order of their beginnings. To be called once: each call draws on from the seed."""
        draft = _ScheduleDraft()
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
        self, draft: _ScheduleDraft, kinds: tuple[FaultKind, ...], lane: int, begin_micros: int, end_micros: int
    ) -> None:
        """Draws faults one after another; faults of different lanes overlap."""
        at = begin_micros + self.rng.randrange(LANE_GAP_MICROS * (lane + 1))
        while kinds and at < end_micros:
            is_first = lane == 0 and at < begin_micros + SECOND and FaultKind.ROLLING_RESTART in kinds
            fault = self._draw(draft, kinds, at, end_micros, is_first)
            if fault is None:
                at += LANE_GAP_MICROS
                continue
            draft.add(fault)
            at += max(fault.duration_micros, LANE_GAP_MICROS) + self.rng.randrange(LANE_GAP_MICROS)

    def _draw(
        self, draft: _ScheduleDraft, kinds: tuple[FaultKind, ...], at: int, end_micros: int, is_first: bool
    ) -> ScheduledFault | None:
        """A fault whose processes are free at that time; None after MAX_DRAWS. `is_first`: draws a rolling restart."""
        for _ in range(MAX_DRAWS):
            kind = FaultKind.ROLLING_RESTART if is_first else self.rng.choice(kinds)
            targets = self._draw_targets(kind)
            duration_micros = min(self._draw_duration(kind, len(targets)), end_micros - at)
            if draft.are_free(targets, at) and duration_micros > 0:
                return ScheduledFault(at, duration_micros, kind, targets, self.rng.randrange(3))
        return None

    def _draw_targets(self, kind: FaultKind) -> tuple[str, ...]:
        rng, names = self.rng, self.names
        match kind:
            case FaultKind.ROLLING_RESTART:
                max_count = max(1, self.profile.fronts - 1)
                return tuple(rng.sample(names["front"], rng.randint(min(2, max_count), max_count)))
            case FaultKind.RELOAD:
                reloadable = (*names["core"], *names["front"])
                return tuple(rng.sample(reloadable, rng.randint(1, 4)))
            case FaultKind.CONFIG_CHANGE | FaultKind.KEY_REVOCATION | FaultKind.NAME_WEIGHTS:
                return ()
            case FaultKind.KILL_ALL_CORES:
                return names["core"]
            case FaultKind.KILL_CORE | FaultKind.FREEZE_CORE:
                return (rng.choice(names["core"]),)
            case FaultKind.KILL_FRONT | FaultKind.FREEZE_FRONT:
                return tuple(rng.sample(names["front"], rng.randint(1, 2)))
            case FaultKind.LIST_SLOW | FaultKind.LIST_REFUSES | FaultKind.LIST_RATE_LIMITS:
                return (CLOUD_PROCESS,)
            case FaultKind.CUT_LINK | FaultKind.DELAY_LINK | FaultKind.LOSE_ANSWERS | FaultKind.RESET_ANSWERS:
                group = rng.choice(("core", "front", "worker"))
                return (rng.choice(names[group]),)
            case _:
                return (rng.choice(names["worker"]),)

    def _draw_duration(self, kind: FaultKind, target_count: int) -> int:
        """How long a fault lasts; for planned work, the time until the next fault of its lane may begin."""
        match kind:
            case FaultKind.ROLLING_RESTART:
                return target_count * self.rng.randrange(300 * MILLI, 1_500 * MILLI)
            case FaultKind.CONFIG_CHANGE | FaultKind.KEY_REVOCATION | FaultKind.RELOAD:
                return self.rng.randrange(1 * SECOND, 3 * SECOND)
            case FaultKind.NAME_WEIGHTS:
                return self.rng.randrange(3 * SECOND, 6 * SECOND)
            case FaultKind.WORKER_LEAVES:
                return self.rng.randrange(2 * SECOND, 4 * SECOND)
            case _:
                return self.rng.randrange(200 * MILLI, 4 * SECOND)
