"""Control scenarios (§9.7): their fleets and checks, and how operators record the attempts of a change.

A scenario without a mutation that its checks find, or an attempt recorded with a wrong outcome, would let faults of
the control plane pass unseen.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import KLIPPVIK
from pearhead.testbed.simulator.control_scenarios import CONTROL_SCENARIOS, ControlScenarioRun
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.history import CONFLICT, DONE, NO_ANSWER, Change
from pearhead.testbed.simulator.mutations import MUTATIONS
from pearhead.testbed.simulator.scenarios import SCENARIOS, build_fleet
from pearhead.testbed.simulator.world import World, run_in_virtual_time

CHECKS = {"orders", "late answer", "not in step", "disturbed", "old configuration", "not led in time"}


def run_in_control_scenario(body: Callable[[ControlScenarioRun], Awaitable[None]]) -> None:
    async def run_in_world(world: World) -> None:
        scenario_run = ControlScenarioRun(SimFleet(world, KLIPPVIK, 1, 2))
        await scenario_run.fleet.start_all()
        await body(scenario_run)

    run_in_virtual_time(1, run_in_world)


class ControlDaysTest(unittest.TestCase):
    def test_each_is_a_scenario_on_as_many_cores_as_it_says(self) -> None:
        self.assertEqual(set(CONTROL_SCENARIOS) - set(SCENARIOS), set())

        async def body(world: World) -> None:
            for name, scenario in CONTROL_SCENARIOS.items():
                fleet = build_fleet(world, name, "academy", 9)
                self.assertEqual(len(fleet.core_addresses), scenario.core_count, name)
                self.assertEqual(fleet.node_count, 1, name)

        run_in_virtual_time(1, body)

    def test_each_check_has_a_broken_build_on_one_of_them(self) -> None:
        found = {mutation.expected_check for mutation in MUTATIONS.values() if mutation.scenario in CONTROL_SCENARIOS}
        self.assertEqual(found, CHECKS)

    def test_an_answer_given_up_is_none_and_the_repeat_elsewhere_is_acknowledged(self) -> None:
        async def body(scenario_run: ControlScenarioRun) -> None:
            change = Change(0, 1, "a")
            leader, other = scenario_run.fleet.leader(), scenario_run.followers()[0]
            unanswered = await scenario_run.operators.send_change(change, leader, 1 * MILLI)
            repeat = await scenario_run.operators.send_change(change, other)
            conflicting = await scenario_run.operators.send_change(Change(0, 1, "b"), other)
            self.assertEqual([o.status for o in (unanswered, repeat, conflicting)], [NO_ANSWER, DONE, CONFLICT])
            self.assertEqual(repeat.reported_number, 1)
            read = await scenario_run.operators.read(other)
            assert read is not None
            self.assertEqual((read.number, read.content, read.marks), (1, "a", frozenset("a")))
            self.assertEqual(scenario_run.operators.history.find_faults(), [])
            conflicting.status = DONE
            self.assertTrue(scenario_run.operators.history.find_faults())

        run_in_control_scenario(body)

    def test_an_order_that_nobody_answers_and_a_day_without_a_leader_are_told(self) -> None:
        async def body(scenario_run: ControlScenarioRun) -> None:
            silent = scenario_run.followers()[0]
            scenario_run.fleet.freeze(silent)
            await scenario_run._request_at(silent)
            self.assertIn("late answer", scenario_run.fleet.ledger.breaches[0])
            for name in scenario_run.fleet.live_cores():
                scenario_run.fleet.kill(name)
            start_micros = scenario_run.world.now()
            await scenario_run.expect_leader("all were killed")
            self.assertIn("not led in time", scenario_run.fleet.ledger.breaches[1])
            self.assertLess(scenario_run.world.now() - start_micros, 3 * SECOND)

        run_in_control_scenario(body)
