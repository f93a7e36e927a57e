"""first_wave: which workers load new weights first."""

from __future__ import annotations

import unittest

from pearhead.config.view import LoadRecord, View, WorkerRecord
from pearhead.router.load_waves import first_wave, is_wave_serving


class FirstWaveTest(unittest.TestCase):
    def test_half_of_those_that_stay_the_oldest_first(self) -> None:
        view = View()
        workers = {f"w{n}": WorkerRecord(f"w{n}", "a", "z", "s", leaving=n == 0) for n in range(6)}
        workers["x"] = WorkerRecord("x", "a", "z", "other", leaving=False)
        loads = {n: LoadRecord("l", "life", 1, 5, 0) for n in workers}
        view.__dict__.update(workers=workers, loads=loads)
        self.assertEqual(first_wave(view, "s", 6), ["w1", "w2", "w3"])
        loads["w1"] = LoadRecord("l", "life", 1, 6, 0)
        self.assertEqual(first_wave(view, "s", 6), ["w2", "w3"], "the wave stays the same as it loads")
        self.assertEqual(first_wave(view, "s", 7), ["w2", "w3", "w4"], "workers that have just loaded come last")
        loads["w5"] = loads["w3"] = loads["w1"]
        self.assertEqual(first_wave(view, "s", 6), [])
        self.assertTrue(is_wave_serving(view, "s", 6) and not is_wave_serving(view, "s", 7))
        workers["w9"] = WorkerRecord("w9", "a", "z", "s", leaving=False)
        self.assertTrue(is_wave_serving(view, "s", 6), "a new worker without weights does not delay the wave")
