"""FaultLog: which machines count as healthy while faults are active."""

from __future__ import annotations

import unittest

from pearhead.testbed.simulator.fault_log import FaultLog


class FaultLogTest(unittest.TestCase):
    def test_who_is_sound_while_faults_stand(self) -> None:
        fault_log = FaultLog()
        cores, nodes, workers = {"c1", "c2", "c3"}, {"n1", "n2"}, {"w1", "w2", "w3"}
        fault_log.machine_names = cores | nodes | workers
        self.assertEqual(fault_log.healthy_nodes(0, nodes, cores, workers), nodes)
        fault_log.begin("dead", ("c1",), 10)
        fault_log.begin("frozen", ("n1",), 10)
        self.assertEqual(fault_log.healthy_nodes(20, nodes, cores, workers), {"n2"})
        self.assertEqual(fault_log.healthy_nodes(5, nodes, cores, workers), nodes)
        fault_log.begin("cut", ("c2", "c3"), 30)
        self.assertEqual(fault_log.healthy_nodes(40, nodes, cores, workers), set(), "no majority reaches one another")
        fault_log.end("dead", ("c1",), 50)
        self.assertEqual(len(fault_log.connected_cores(60, cores)), 2)
        self.assertEqual(fault_log.healthy_nodes(60, nodes, cores, workers), {"n2"})
        self.assertTrue(fault_log.was_frozen_between("n1", 0, 10))
        self.assertFalse(fault_log.was_frozen_between("n1", 0, 9))
        self.assertTrue(fault_log.is_quiet(49, 18) and not fault_log.is_quiet(49, 20))
        for worker in workers:
            fault_log.begin("dead", (worker,), 70)
        self.assertEqual(fault_log.healthy_nodes(80, nodes, cores, workers), set())
