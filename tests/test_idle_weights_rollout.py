"""WeightsRollout while no worker is behind: rounds examine no worker, and the next change is still seen at once."""

from __future__ import annotations

import unittest
from typing import Any

from pearhead.router.weights_rollout import PROGRESS_TIMEOUT_MICROS
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.world import pause
from tests.test_weights_rollout import orderer_of, run_fleet, versions
from tests.workerfleet import WorkerFleet


class RestTest(unittest.TestCase):
    def test_rounds_without_a_change_look_at_no_worker(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            call_count = [0]
            for node in fleet.nodes:
                workers_of = node.rollout._workers_of

                def count(line: str, workers_of: Any = workers_of) -> Any:
                    call_count[0] += 1
                    return workers_of(line)

                node.rollout._workers_of = count  # type: ignore[method-assign]
            await pause(fleet.world, 10 * SECOND)
            # 600 rounds; only a new roster, which comes with each list, makes one examine the workers.
            self.assertLess(call_count[0], 120)

        run_fleet(3, 6, scenario)

    def test_a_naming_after_a_long_rest_is_begun_by_the_first_alone_and_at_once(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 30 * SECOND)
            first = orderer_of(fleet)
            began_micros = fleet.world.now()
            fleet.core.name_weights(3)
            await pause(fleet.world, PROGRESS_TIMEOUT_MICROS)
            new_orders = [order for order in fleet.platform.orders if order.version == 3]
            self.assertEqual({order.holder for order in new_orders}, {first.identity})
            self.assertLess(min(order.at_micros for order in new_orders) - began_micros, 400 * MILLI)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(set(versions(fleet)), {3})

        run_fleet(3, 6, scenario)

    def test_a_worker_that_comes_with_older_weights_is_ordered_by_the_first_alone(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 10 * SECOND)
            fleet.platform.is_list_up = False  # Without lists there is no new roster, so no round examines the workers.
            fleet.platform.add("late")
            fleet.core.set_workers(fleet.platform)
            await pause(fleet.world, 20 * SECOND)
            commands = len(fleet.core.commands)
            fleet.platform.is_list_up = True
            await pause(fleet.world, 6 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            holds = [name for _, name in fleet.core.commands[commands:] if name == "hold"]
            self.assertEqual(len(holds), 1, "nodes whose turn it is not request no hold")
            holders = {order.holder for order in fleet.platform.orders if order.worker == "late"}
            self.assertEqual(holders, {orderer_of(fleet).identity})

        run_fleet(3, 6, scenario)


if __name__ == "__main__":
    unittest.main()
