"""FaultBook: which machines are sound while faults last."""

from __future__ import annotations

import unittest

from pearhead.testbed.simulator.faultbook import FaultBook


class FaultBookTest(unittest.TestCase):
    def test_who_is_sound_while_faults_stand(self) -> None:
        book = FaultBook()
        cores, nodes, workers = {"c1", "c2", "c3"}, {"n1", "n2"}, {"w1", "w2", "w3"}
        book.machine_names = cores | nodes | workers
        self.assertEqual(book.sound_nodes(0, nodes, cores, workers), nodes)
        book.begin("dead", ("c1",), 10)
        book.begin("frozen", ("n1",), 10)
        self.assertEqual(book.sound_nodes(20, nodes, cores, workers), {"n2"})
        self.assertEqual(book.sound_nodes(5, nodes, cores, workers), nodes)
        book.begin("cut", ("c2", "c3"), 30)
        self.assertEqual(book.sound_nodes(40, nodes, cores, workers), set(), "no majority reaches one another")
        book.end("dead", ("c1",), 50)
        self.assertEqual(len(book.good_cores(60, cores)), 2)
        self.assertEqual(book.sound_nodes(60, nodes, cores, workers), {"n2"})
        self.assertTrue(book.froze_between("n1", 0, 10))
        self.assertFalse(book.froze_between("n1", 0, 9))
        self.assertTrue(book.is_quiet(49, 18) and not book.is_quiet(49, 20))
        for worker in workers:
            book.begin("dead", (worker,), 70)
        self.assertEqual(book.sound_nodes(80, nodes, cores, workers), set())
