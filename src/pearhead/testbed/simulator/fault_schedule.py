"""Generates schedules of overlapping faults (§9.7).

A schedule is drawn from a random generator of its own, so that any fault may be left out of a run without changing the
others.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from pearhead.runtime.clock import MILLI, SECOND

SIM_FAULT_COUNT = 14
FAULT_WINDOW_MICROS = 30 * SECOND
# Faults that take away a core, its disk or the connection between cores; two of these never overlap.
CORE_FAULT_KINDS = (
    "core-killed",
    "core-power",
    "core-frozen",
    "core-isolated",
    "core-stalled",
    "core-full",
    "core-replaced",
    "core-split",
    "cores-slow",
    "all-cores-killed",
    "all-killed",
    "area-cut-off",
)
OTHER_FAULT_KINDS = (
    "node-killed",
    "node-frozen",
    "node-isolated",
    "node-cut-from-cores",
    "node-deaf",
    "node-frozen-connecting",
    "nodes-killed",
    "worker-killed",
    "worker-frozen",
    "worker-isolated",
    "worker-slow",
    "worker-hangs",
    "worker-fails",
    "worker-silent",
    "worker-replaced",
    "worker-leaving",
    "links-slow",
    "store-empty",
    "casts-lost",
    "apply",
    "race",
    "grows",
    "weights",
    "weights-twice",
    "key-withdrawn",
    "holder-frozen-commanding",
)
FINAL_FAULT_KINDS = (
    "core-power",
    "core-frozen",
    "core-isolated",
    "core-stalled",
    "core-full",
    "node-killed",
    "node-frozen",
    "node-isolated",
    "worker-killed",
    "worker-frozen",
    "worker-isolated",
    "store-empty",
    "area-cut-off",
)


@dataclass(frozen=True)
class SimFault:
    """One scheduled fault.

    Attributes:
        number: Identifies the fault within its schedule; `--without` takes these numbers.
        kind: One of the kinds listed above.
        at_micros: When it begins, counted from the start of the schedule.
        fault_duration_micros: How long it lasts.
        target_index: Random number from which the injector chooses the target, and variants of some kinds.
        is_permanent: Whether it lasts until the end of the run.
    """

    number: int
    kind: str
    at_micros: int
    fault_duration_micros: int
    target_index: int
    is_permanent: bool = False

    def trace_text(self) -> str:
        """Returns the line that is noted in the trace when the fault begins."""
        duration_text = "for good" if self.is_permanent else f"for {self.fault_duration_micros / SECOND:.1f} s"
        start_text = f"{self.at_micros / SECOND:.1f} s"
        return f"strike {self.number}: {self.kind} ({self.target_index}) at {start_text} {duration_text}"


class SimFaultSchedule:
    """Draws faults that may overlap, except that core faults follow one another; the last fault is permanent."""

    def generate(self, seed: int) -> list[SimFault]:
        """Returns the faults of a seed, ordered by time and number; the same seed gives the same schedule."""
        rng = random.Random(f"strikes/{seed}")
        sim_faults: list[SimFault] = []
        next_core_fault_micros = 0
        for number in range(SIM_FAULT_COUNT):
            is_core = rng.random() < 0.35
            kind = rng.choice(CORE_FAULT_KINDS if is_core else OTHER_FAULT_KINDS)
            at_micros = rng.randrange(FAULT_WINDOW_MICROS)
            fault_duration_micros = rng.randrange(500 * MILLI, 7 * SECOND)
            if is_core:
                at_micros = next_core_fault_micros + rng.randrange(2 * SECOND)
                if at_micros > FAULT_WINDOW_MICROS:
                    continue
                # A new core becomes a voter only some time after it starts, and a frozen one has to catch up first.
                next_core_fault_micros = at_micros + (
                    12 * SECOND if kind == "core-replaced" else fault_duration_micros + 2 * SECOND
                )
            sim_faults.append(SimFault(number, kind, at_micros, fault_duration_micros, rng.randrange(1_000)))
        permanent_at_micros = max(f.at_micros + f.fault_duration_micros for f in sim_faults) + rng.randrange(
            SECOND, 16 * SECOND
        )
        permanent_at_micros = max(permanent_at_micros, next_core_fault_micros)
        sim_faults.append(
            SimFault(
                SIM_FAULT_COUNT,
                rng.choice(FINAL_FAULT_KINDS),
                permanent_at_micros,
                0,
                rng.randrange(1_000),
                is_permanent=True,
            )
        )
        return sorted(sim_faults, key=lambda f: (f.at_micros, f.number))
