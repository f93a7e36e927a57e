"""Waves (§7.3): which workers of a service load first, told alike by every node from the view."""

from __future__ import annotations

import math
import unittest

from pearhead.awl.clock import MILLI
from pearhead.awl.view import View, WorkerFact

# By then every node that may serve has seen a change: a round of the term and some.
SPREAD_MICROS = 500 * MILLI
# The rest does not wait longer for a wave that is late.
WAVE_MICROS = 7_500 * MILLI
# Running jobs of the first wave have until then to end; what still runs is loaded over (§7.3).
DRAIN_MICROS = 5_000 * MILLI
# The second wave takes no new jobs by then, and its last ones have had their deadlines.
LAST_DRAIN_MICROS = 16_000 * MILLI


def first_wave(view: View, service: str) -> list[str]:
    """Half of the workers that stay, rounded up; leaving ones wait for nobody."""
    names = sorted(n for n, w in view.workers.items() if w.service == service and not w.leaving)
    return names[: math.ceil(len(names) / 2)]


def is_wave_serving(view: View, service: str, revision: int) -> bool:
    """Whether all of the first wave are loaded with these weights."""
    return all(
        n in view.loads and view.loads[n].weightsRevision == revision for n in first_wave(view, service)
    )


class FirstWaveTest(unittest.TestCase):
    def test_half_of_those_that_stay(self) -> None:
        view = View()
        workers = {f"w{n}": WorkerFact(f"w{n}", "a", "z", "s", leaving=n == 0) for n in range(6)}
        workers["x"] = WorkerFact("x", "a", "z", "other", leaving=False)
        view.__dict__["workers"] = workers
        self.assertEqual(first_wave(view, "s"), ["w1", "w2", "w3"])
