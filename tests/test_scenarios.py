"""Runs every scenario on both deployments, and every mutation in its scenario.

Guards against breaches in any scenario, checks that never fail (each must find its mutations), and runs that a seed
does not repeat. Breaches listed in KNOWN-RED.txt are printed and passed over, and nothing else.
"""

from __future__ import annotations

import unittest

from pearhead.testbed.deployment import DEPLOYMENTS
from pearhead.testbed.simulator.mutations import MUTATIONS
from pearhead.testbed.simulator.runner import RunSpec, run_specs
from pearhead.testbed.simulator.scenarios import SCENARIOS
from tests.known_red import KNOWN_RED_FILE, is_known, read_known_red

SEEDS = (1, 2)


class ScenariosTest(unittest.TestCase):
    def test_no_scenario_breaks_a_rule(self) -> None:
        specs = [RunSpec(s, d, seed) for s in SCENARIOS for d in DEPLOYMENTS for seed in SEEDS]
        results = run_specs(specs)
        known = read_known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")
        failures = []
        for result in results:
            if result.breaches and is_known(result.failure_report(), result.breaches, known):
                print(f"known red: {result.failure_report().splitlines()[0]}", flush=True)
            elif result.breaches:
                failures.append(result.failure_report())
        self.assertEqual(len(results), len(specs))
        self.assertEqual(failures, [], "\n\n".join(failures))

    def test_only_what_is_listed_is_passed_over(self) -> None:
        known = read_known_red("testbed sim a --seed 2 | commands: why | issue 1\n")
        self.assertTrue(is_known("testbed sim a --seed 2\nmore", ["commands: x", "commands: y"], known))
        self.assertFalse(is_known("testbed sim a --seed 2\nmore", ["commands: x", "owners: y"], known))
        self.assertFalse(is_known("testbed sim a --seed 21\nmore", ["commands: x"], known))
        self.assertFalse(is_known("testbed sim a --seed 2", [], known))
        with self.assertRaises(ValueError):
            read_known_red("testbed sim a | no checker | issue 1")
        read_known_red(KNOWN_RED_FILE.read_text())

    def test_each_checker_finds_a_broken_build(self) -> None:
        specs = [RunSpec(m.scenario, "klippvik", 1, name, 3) for name, m in MUTATIONS.items()]
        for result in run_specs(specs):
            wanted = MUTATIONS[result.spec.mutation].expected_check
            found_checks = {breach.split(":")[0] for breach in result.breaches}
            with self.subTest(result.spec.mutation):
                self.assertIn(wanted, found_checks, result.breaches[:3])

    def test_a_seed_gives_the_same_run(self) -> None:
        specs = [RunSpec("mixed-faults", "klippvik", 5, node_count=3)] * 2 + [
            RunSpec("mixed-faults", "klippvik", 6, node_count=3)
        ]
        first, again, other = run_specs(specs)
        self.assertEqual((first.run_hash, first.outcomes), (again.run_hash, again.outcomes))
        self.assertNotEqual(first.run_hash, other.run_hash)
