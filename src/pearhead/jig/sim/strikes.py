"""Strikes (§9.7): overlapping faults, drawn from a seed by themselves so that any may be left out."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass

from pearhead.awl.clock import MILLI, SECOND

STRIKE_COUNT = 14
SPAN_MICROS = 30 * SECOND
# Kinds that take a disk machine or the core's unity away: never two of these at a time.
CORE_KINDS = (
    "core-killed", "core-power", "core-frozen", "core-isolated", "core-stalled", "core-full", "core-replaced",
    "core-split", "cores-slow", "all-cores-killed", "all-killed", "area-cut-off",
)
OTHER_KINDS = (
    "node-killed", "node-frozen", "node-isolated", "node-cut-from-cores", "node-deaf", "node-frozen-connecting",
    "nodes-killed", "worker-killed", "worker-frozen", "worker-isolated", "worker-slow", "worker-hangs", "worker-fails",
    "worker-silent", "worker-replaced", "worker-leaving", "links-slow", "store-empty", "casts-lost", "apply", "race",
    "grows", "weights", "weights-twice", "key-withdrawn", "holder-frozen-commanding",
)
LAST_KINDS = (
    "core-power", "core-frozen", "core-isolated", "core-stalled", "core-full", "node-killed", "node-frozen",
    "node-isolated", "worker-killed", "worker-frozen", "worker-isolated", "store-empty", "area-cut-off",
)


@dataclass(frozen=True)
class Strike:
    number: int
    kind: str
    atMicros: int
    lastsMicros: int
    pick: int
    staysOn: bool = False

    def text(self) -> str:
        lasts = "for good" if self.staysOn else f"for {self.lastsMicros / SECOND:.1f} s"
        return f"strike {self.number}: {self.kind} ({self.pick}) at {self.atMicros / SECOND:.1f} s {lasts}"


class StrikePlan:
    """Draws strikes that overlap as they fall; core strikes wait for one another; the last one stays on."""

    def draw(self, seed: int) -> list[Strike]:
        chance = random.Random(f"strikes/{seed}")
        strikes: list[Strike] = []
        coreFreeAt = 0
        for number in range(STRIKE_COUNT):
            isCore = chance.random() < 0.35
            kind = chance.choice(CORE_KINDS if isCore else OTHER_KINDS)
            atMicros = chance.randrange(SPAN_MICROS)
            lastsMicros = chance.randrange(500 * MILLI, 7 * SECOND)
            if isCore:
                atMicros = coreFreeAt + chance.randrange(2 * SECOND)
                if atMicros > SPAN_MICROS:
                    continue
                # A replaced core has its vote some time after it came; a frozen one its log.
                coreFreeAt = atMicros + (12 * SECOND if kind == "core-replaced" else lastsMicros + 2 * SECOND)
            strikes.append(Strike(number, kind, atMicros, lastsMicros, chance.randrange(1_000)))
        lastMicros = max(s.atMicros + s.lastsMicros for s in strikes) + chance.randrange(SECOND, 16 * SECOND)
        lastMicros = max(lastMicros, coreFreeAt)
        strikes.append(Strike(
            STRIKE_COUNT, chance.choice(LAST_KINDS), lastMicros, 0, chance.randrange(1_000), staysOn=True
        ))
        return sorted(strikes, key=lambda s: (s.atMicros, s.number))


class StrikePlanTest(unittest.TestCase):
    def test_core_strikes_never_overlap_and_others_do(self) -> None:
        overlapCount = 0
        for seed in range(200):
            strikes = StrikePlan().draw(seed)
            self.assertEqual(strikes, StrikePlan().draw(seed))
            self.assertTrue(strikes[-1].staysOn)
            cores = [s for s in strikes if s.kind in CORE_KINDS]
            for first, second in zip(cores, cores[1:], strict=False):
                self.assertGreater(second.atMicros, first.atMicros + first.lastsMicros)
            overlapCount += sum(
                a.atMicros < b.atMicros < a.atMicros + a.lastsMicros for a in strikes for b in strikes
            )
        self.assertGreater(overlapCount, 1_000)
