"""The course of the users' recorded days, without their bench (docs/incidents/), on virtual time."""

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
    """docs/incidents/klippvik.md: one core loses its disk twice, each time right after an acknowledgement."""

    async def lead(self, fleet: SimFleet, names: list[str], limit_micros: int) -> None:
        """Until one leads and all hold the same description, as far as the log goes."""
        end_micros = fleet.world.now() + limit_micros
        while fleet.world.now() < end_micros:
            await pause(fleet.world, 20 * MILLI)
            indexes = {len(fleet.cores[n].fleet.history) if hasattr(fleet.cores[n], "fleet") else -1 for n in names}
            if fleet.leader() and len(indexes) == 1:
                return

    async def vote(self, fleet: SimFleet, name: str) -> None:
        """Until this core has a vote in the log of who leads."""
        end_micros = fleet.world.now() + 10 * SECOND
        while fleet.world.now() < end_micros:
            leader = fleet.cores.get(fleet.leader())
            if leader is not None and fleet.cores[name].identity in leader.raft.voters():
                return
            await pause(fleet.world, 5 * MILLI)

    async def course(self, fleet: SimFleet, back_micros: int, calm_micros: int | None) -> tuple[int, list[int]]:
        """How many descriptions were acknowledged, and how many each core and the node hold after the last start."""
        chance = fleet.world.chance
        names = [name for name in fleet.startups if name.startswith("core-")]
        for name in (*names, "node-1"):
            fleet.start(name)
        await self.lead(fleet, names, 8 * SECOND)
        for name in names:
            fleet.startups[name] = dataclasses.replace(fleet.startups[name], founders=[])
        self.assertEqual(await fleet.apply(fleet.marked_description("a")), "done")
        wiped = chance.choice(names)
        fleet.kill(wiped, loses_power=True)
        fleet.world.machine(wiped).disk.empty()
        await pause(fleet.world, back_micros)
        fleet.start(wiped)
        if calm_micros is None:
            await self.vote(fleet, wiped)
        else:
            await pause(fleet.world, calm_micros)
        self.assertEqual(await fleet.apply(fleet.marked_description("b")), "done")
        for name in names:
            fleet.kill(name, loses_power=True)
        fleet.world.machine(wiped).disk.empty()
        await pause(fleet.world, 800 * MILLI)
        for name in names:
            fleet.start(name)
        await self.lead(fleet, names, RECOVERY_MICROS)
        await pause(fleet.world, SECOND)
        held = [len(fleet.cores[name].fleet.history) for name in names]
        return 2, [
            *held,
            int("mark-b" in {t.name for t in fleet.nodes["node-1"].view_replica.view.description.tenants}) + 1,
        ]

    def test_what_was_acknowledged_is_in_force_after_the_second_wipe(self) -> None:
        """None: the second acknowledgement comes as soon as the emptied disk has a vote again, as on that day."""
        for calm_micros in (None, 0, 1_500 * MILLI, 4 * SECOND):
            for seed in range(SEEDS):

                async def play(world: World, calm_micros: int | None = calm_micros) -> tuple[int, list[int]]:
                    fleet = SimFleet(world, KLIPPVIK, 1)
                    return await self.course(fleet, world.chance.randrange(200 * MILLI, 4 * SECOND), calm_micros)

                with self.subTest(seed=seed, calm_micros=calm_micros):
                    acknowledged, held = run_in_virtual_time(seed, play)
                    self.assertEqual(held, [acknowledged] * len(held))
