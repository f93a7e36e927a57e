"""Incidents that users recorded (docs/incidents/), reproduced on virtual time without the users' test bench."""

from __future__ import annotations

import dataclasses
import unittest

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import KLIPPVIK
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

SEEDS = 6
RECOVERY_MICROS = 4 * SECOND


class TwiceWipedTest(unittest.TestCase):
    """docs/incidents/klippvik.md: one core loses its disk twice, each time right after a change was acknowledged.

    Whatever was acknowledged must be in force at all cores and the node after the second loss.
    """

    async def wait_for_leader(self, fleet: SimFleet, names: list[str], limit_micros: int) -> None:
        """Waits until a core leads and all have a description history of the same length, or until the limit."""
        end_micros = fleet.world.now() + limit_micros
        while fleet.world.now() < end_micros:
            await pause(fleet.world, 20 * MILLI)
            indexes = {len(fleet.cores[n].fleet.history) if hasattr(fleet.cores[n], "fleet") else -1 for n in names}
            if fleet.leader() and len(indexes) == 1:
                return

    async def wait_for_vote(self, fleet: SimFleet, name: str) -> None:
        """Waits until this core is a voter according to the leader's log, or until the limit."""
        end_micros = fleet.world.now() + 10 * SECOND
        while fleet.world.now() < end_micros:
            leader = fleet.cores.get(fleet.leader())
            if leader is not None and fleet.cores[name].identity in leader.raft.voters():
                return
            await pause(fleet.world, 5 * MILLI)

    async def run_incident(self, fleet: SimFleet, back_micros: int, calm_micros: int | None) -> tuple[int, list[int]]:
        """Runs the incident: a core loses its disk, comes back, and loses it again as all cores lose power.

        Returns how many descriptions were acknowledged, and how many each core and the node have after the restart.
        `calm_micros` is the time between the core's return and the second change; None waits until it has a vote.
        """
        rng = fleet.world.rng
        names = [name for name in fleet.startups if name.startswith("core-")]
        for name in (*names, "node-1"):
            fleet.start(name)
        await self.wait_for_leader(fleet, names, 8 * SECOND)
        for name in names:
            fleet.startups[name] = dataclasses.replace(fleet.startups[name], founders=[])
        self.assertEqual(await fleet.apply(fleet.marked_description("a")), "done")
        wiped = rng.choice(names)
        fleet.kill(wiped, loses_power=True)
        fleet.world.machine(wiped).disk.empty()
        await pause(fleet.world, back_micros)
        fleet.start(wiped)
        if calm_micros is None:
            await self.wait_for_vote(fleet, wiped)
        else:
            await pause(fleet.world, calm_micros)
        self.assertEqual(await fleet.apply(fleet.marked_description("b")), "done")
        for name in names:
            fleet.kill(name, loses_power=True)
        fleet.world.machine(wiped).disk.empty()
        await pause(fleet.world, 800 * MILLI)
        for name in names:
            fleet.start(name)
        await self.wait_for_leader(fleet, names, RECOVERY_MICROS)
        await pause(fleet.world, SECOND)
        held = [len(fleet.cores[name].fleet.history) for name in names]
        return 2, [
            *held,
            int("mark-b" in {t.name for t in fleet.nodes["node-1"].view_replica.view.description.tenants}) + 1,
        ]

    def test_what_was_acknowledged_is_in_force_after_the_second_wipe(self) -> None:
        """With None, the second change follows as soon as the emptied core has a vote again, as in the incident."""
        for calm_micros in (None, 0, 1_500 * MILLI, 4 * SECOND):
            for seed in range(SEEDS):

                async def play(world: World, calm_micros: int | None = calm_micros) -> tuple[int, list[int]]:
                    fleet = SimFleet(world, KLIPPVIK, 1)
                    return await self.run_incident(fleet, world.rng.randrange(200 * MILLI, 4 * SECOND), calm_micros)

                with self.subTest(seed=seed, calm_micros=calm_micros):
                    acknowledged, held = run_in_virtual_time(seed, play)
                    self.assertEqual(held, [acknowledged] * len(held))
