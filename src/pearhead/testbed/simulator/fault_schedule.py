"""Strikes (§9.7): overlapping faults, drawn from a seed by themselves so that any may be left out."""

from __future__ import annotations

import random
from dataclasses import dataclass

from pearhead.runtime.clock import MILLI, SECOND

SIM_FAULT_COUNT = 14
FAULT_WINDOW_MICROS = 30 * SECOND
# Kinds that take a disk machine or the core's unity away: never two of these at a time.
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
    number: int
    kind: str
    at_micros: int
    fault_duration_micros: int
    target_index: int
    is_permanent: bool = False

    def text(self) -> str:
        duration_text = "for good" if self.is_permanent else f"for {self.fault_duration_micros / SECOND:.1f} s"
        start_text = f"{self.at_micros / SECOND:.1f} s"
        return f"strike {self.number}: {self.kind} ({self.target_index}) at {start_text} {duration_text}"


class SimFaultSchedule:
    """Draws strikes that overlap as they fall; core strikes wait for one another; the last one stays on."""

    def generate(self, seed: int) -> list[SimFault]:
        chance = random.Random(f"strikes/{seed}")
        sim_faults: list[SimFault] = []
        core_free_at = 0
        for number in range(SIM_FAULT_COUNT):
            is_core = chance.random() < 0.35
            kind = chance.choice(CORE_FAULT_KINDS if is_core else OTHER_FAULT_KINDS)
            at_micros = chance.randrange(FAULT_WINDOW_MICROS)
            fault_duration_micros = chance.randrange(500 * MILLI, 7 * SECOND)
            if is_core:
                at_micros = core_free_at + chance.randrange(2 * SECOND)
                if at_micros > FAULT_WINDOW_MICROS:
                    continue
                # A replaced core has its vote some time after it came; a frozen one its log.
                core_free_at = at_micros + (
                    12 * SECOND if kind == "core-replaced" else fault_duration_micros + 2 * SECOND
                )
            sim_faults.append(SimFault(number, kind, at_micros, fault_duration_micros, chance.randrange(1_000)))
        last_micros = max(s.at_micros + s.fault_duration_micros for s in sim_faults) + chance.randrange(
            SECOND, 16 * SECOND
        )
        last_micros = max(last_micros, core_free_at)
        sim_faults.append(
            SimFault(
                SIM_FAULT_COUNT,
                chance.choice(FINAL_FAULT_KINDS),
                last_micros,
                0,
                chance.randrange(1_000),
                is_permanent=True,
            )
        )
        return sorted(sim_faults, key=lambda s: (s.at_micros, s.number))
