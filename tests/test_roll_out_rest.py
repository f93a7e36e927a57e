"""Rounds of WeightsRollout while no worker is behind: they look at no worker, and what comes next is seen at once."""

from __future__ import annotations

import unittest
from typing import Any

from pearhead.router.weights_rollout import PROGRESS_TIMEOUT_MICROS
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.world import pause
from tests.test_roll_out import orderer_of, run_fleet, versions
from tests.workerfleet import WorkerFleet


class RestTest(unittest.TestCase):
    def test_rounds_without_a_change_look_at_no_worker(self) -> None:
        async def play(fleet: WorkerFleet) -> None:
            fleet.core.name(2)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            looks = [0]
            for node in fleet.nodes:
                workers_of = node.roll_out._workers_of

                def count(line: str, workers_of: Any = workers_of) -> Any:
                    looks[0] += 1
                    return workers_of(line)

                node.roll_out._workers_of = count  # type: ignore[method-assign]
            await pause(fleet.world, 10 * SECOND)
            # 600 rounds; the roster comes anew with each list.
            self.assertLess(looks[0], 120)

        run_fleet(3, 6, play)

    def test_a_naming_after_a_long_rest_is_begun_by_the_first_alone_and_at_once(self) -> None:
        async def play(fleet: WorkerFleet) -> None:
            fleet.core.name(2)
            await pause(fleet.world, 30 * SECOND)
            first = orderer_of(fleet)
            began_micros = fleet.world.now()
            fleet.core.name(3)
            await pause(fleet.world, PROGRESS_TIMEOUT_MICROS)
            late = [order for order in fleet.platform.orders if order.version == 3]
            self.assertEqual({order.holder for order in late}, {first.identity})
            self.assertLess(min(order.at_micros for order in late) - began_micros, 400 * MILLI)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(set(versions(fleet)), {3})

        run_fleet(3, 6, play)

    def test_a_worker_that_comes_with_older_weights_is_ordered_by_the_first_alone(self) -> None:
        async def play(fleet: WorkerFleet) -> None:
            fleet.core.name(2)
            await pause(fleet.world, 10 * SECOND)
            fleet.platform.is_list_up = False  # No list brings a new roster, so no round looks again.
            fleet.platform.add("late")
            fleet.core.list_workers(fleet.platform)
            await pause(fleet.world, 20 * SECOND)
            commands = len(fleet.core.commands)
            fleet.platform.is_list_up = True
            await pause(fleet.world, 6 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            holds = [name for _, name in fleet.core.commands[commands:] if name == "hold"]
            self.assertEqual(len(holds), 1, "those whose turn it is not ask for none")
            holders = {order.holder for order in fleet.platform.orders if order.worker == "late"}
            self.assertEqual(holders, {orderer_of(fleet).identity})

        run_fleet(3, 6, play)


if __name__ == "__main__":
    unittest.main()
