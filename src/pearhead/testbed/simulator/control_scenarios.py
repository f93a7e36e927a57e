"""Worst days of the control side (§9.7): a core cut off, operators who contend, loss upon loss; without callers."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.history import DONE, NO_ANSWER, Change
from pearhead.testbed.simulator.ledger import CONFIG_PROPAGATION_LIMIT_MICROS
from pearhead.testbed.simulator.operators import Operators
from pearhead.testbed.simulator.world import pause

NODE_COUNT = 1
WORKER_COUNT = 2
PARTITION_MICROS = 20 * SECOND
ANSWER_LIMIT_MICROS = 1_100 * MILLI
LONG_REQUEST_TIMEOUT_MICROS = 6 * SECOND
CATCH_UP_LIMIT_MICROS = 2 * SECOND
ELECTION_LIMIT_MICROS = 2 * SECOND
STABLE_LEADER_MICROS = 3 * SECOND
FINE_POLL_MICROS = 100
NODE_CHECK_INTERVAL_MICROS = 100 * MILLI
REQUEST_INTERVAL_MICROS = SECOND
STABILIZATION_MICROS = 4 * SECOND
# A replaced machine counts as back this long after its start; who is silent this long is let go (§4.9).
LOST_AFTER_MICROS = STABILIZATION_MICROS + SECOND
DELAY_AFTER_PLANNED_MICROS = 15 * SECOND
LONG_PAUSE_MICROS = 3 * SECOND
LOSS_ROUNDS = 3
FOLLOWING_CHANGE_COUNT = 258
DIVERGENT_LOG_ROUNDS = 3

ControlScenarioBody = Callable[["ControlScenarioRun"], Awaitable[None]]


@dataclass(frozen=True)
class ControlScenario:
    play: ControlScenarioBody
    core_count: int
    digest_every: int

    async def run(self, fleet: SimFleet) -> None:
        scenario_run = ControlScenarioRun(fleet)
        scenario_run.begin()
        await self.play(scenario_run)
        await scenario_run.end()


CONTROL_SCENARIOS: dict[str, ControlScenario] = {}


def control_scenario(
    core_count: int = 3, digest_every: int = 400
) -> Callable[[ControlScenarioBody], ControlScenarioBody]:
    def register(play: ControlScenarioBody) -> ControlScenarioBody:
        name = play.__name__.replace("_", "-")
        CONTROL_SCENARIOS[name] = ControlScenario(play, core_count, digest_every)
        return play

    return register


class ControlScenarioRun:
    """One fleet with its operators, and the checks that these scenarios share."""

    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.operators = Operators(fleet)
        self.core_number = len(fleet.cores)

    def begin(self) -> None:
        """From here on no core is told of founders, as on any start but the first."""
        for name, startup in self.fleet.startups.items():
            if name.startswith("core-"):
                self.fleet.startups[name] = dataclasses.replace(startup, founders=[], lostAfterMicros=LOST_AFTER_MICROS)
        self.operators.start_periodic_reads()
        self.fleet.background_tasks.append(self.world.loop.create_task(self._check_node_configs()))

    async def _check_node_configs(self) -> None:
        """A node that holds itself to be current has what was acknowledged a while before."""
        while True:
            await pause(self.world, NODE_CHECK_INTERVAL_MICROS)
            known_micros = self.world.now() - CONFIG_PROPAGATION_LIMIT_MICROS
            newest = max(
                (r for r, ack_micros in self.fleet.ledger.acknowledged_applies if ack_micros < known_micros), default=0
            )
            for name, node in self.fleet.nodes.items():
                if node.view_replica.is_current() and node.view_replica.view.description_revision < newest:
                    self.breach("old configuration", f"{name} serves without {newest}")

    async def end(self) -> None:
        """What was acknowledged is there at the end, at each member."""
        if await self.operators.submit_next_change(4 * SECOND) is None:
            self.breach("not led in time", "no order was acknowledged at the end")
        for name in sorted(self.fleet.cores):
            await self.operators.read(name)

    def breach(self, check: str, fault: str) -> None:
        self.fleet.ledger.breaches.append(f"{check}: {fault}")
        self.world.note(f"breach of {check}: {fault}")

    def followers(self) -> list[str]:
        return [name for name in self.fleet.live_cores() if name != self.fleet.leader()]

    async def expect_leader(self, what: str, names: list[str] | None = None) -> None:
        """A leader, and then an order acknowledged, soon wherever a majority stands."""
        start_micros = self.world.now()
        while not self.fleet.leader() and self.world.now() - start_micros <= ELECTION_LIMIT_MICROS:
            await pause(self.world, 20 * MILLI)
        if not self.fleet.leader():
            self.breach("not led in time", f"no leader {ELECTION_LIMIT_MICROS // SECOND} s after {what}")
        elif await self.operators.submit_next_change(ELECTION_LIMIT_MICROS) is None:
            self.breach("not led in time", f"no order was acknowledged after {what}")

    async def poll_until(self, is_reached: Callable[[], bool]) -> None:
        end_micros = self.world.now() + STABILIZATION_MICROS
        while not is_reached():
            if self.world.now() > end_micros:
                self.breach("not led in time", "members did not change as they should")
                return
            await pause(self.world, FINE_POLL_MICROS)

    # ---- a core cut off ------------------------------------------------------------------------------

    async def isolate_machines(self, victim: str, is_inbound_open: bool, is_outbound_open: bool) -> None:
        """For 20 s with the node beside it, and a change right before, during and after."""
        others = [name for name in sorted(self.fleet.cores) if name != victim]
        cut_names = [victim, *sorted(self.fleet.nodes)]
        self.world.note(f"cuts {victim} off: comes in {is_inbound_open}, goes out {is_outbound_open}")
        before = self.world.loop.create_task(self.operators.submit_next_change())
        await pause(self.world, self.world.chance.randrange(8 * MILLI))
        pairs: list[tuple[str, str]] = []
        if not is_outbound_open:
            pairs += self.fleet.cut(cut_names, others, both_ways=False)
        if not is_inbound_open:
            pairs += self.fleet.cut(others, cut_names, both_ways=False)
        end_micros = self.world.now() + PARTITION_MICROS
        await self._request_at(victim)
        await before
        while self.world.now() < end_micros - REQUEST_INTERVAL_MICROS:
            await self._request_at(victim)
            if await self.operators.submit_next_change(5 * SECOND, is_marked=False) is None:
                self.breach("not led in time", f"no order was acknowledged while {victim} was cut off")
            await pause(self.world, REQUEST_INTERVAL_MICROS)
        after = self.world.loop.create_task(self._request_at(victim))
        await pause(self.world, 5 * MILLI)
        await self._reconnect(victim, pairs)
        await after

    async def _request_at(self, victim: str) -> None:
        """Whether it runs or not, the operator is told soon."""
        content = self.operators.next_content()
        change = Change(self.operators.number, self.operators.number + 1, content, is_marked=False)
        attempt = await self.operators.ask(change, victim, LONG_REQUEST_TIMEOUT_MICROS)
        took_micros = attempt.end_micros - attempt.start_micros
        if attempt.status == NO_ANSWER or took_micros > ANSWER_LIMIT_MICROS:
            self.breach("late answer", f"{victim} told {attempt.status} after {took_micros / SECOND:.2f} s")

    async def _reconnect(self, victim: str, pairs: list[tuple[str, str]]) -> None:
        leader = self.fleet.leader()
        epoch = self.fleet.cores[leader].raft.term if leader else 0
        commit_index = self.fleet.cores[leader].raft.commit_index if leader else 0
        if leader in ("", victim):
            self.breach("not led in time", f"{leader or 'nobody'} leads while {victim} is cut off")
        self.fleet.restore_links(pairs)
        heal_micros = self.world.now()
        raft = self.fleet.cores[victim].raft
        while raft.commit_index < commit_index and self.world.now() - heal_micros <= CATCH_UP_LIMIT_MICROS:
            await pause(self.world, 20 * MILLI)
        if raft.commit_index < commit_index:
            self.breach("not in step", f"{victim} has {raft.commit_index} of {commit_index}")
        if await self.operators.read(victim) is None:
            self.breach("not in step", f"{victim} can tell no description")
        change = await self.operators.submit_next_change(CATCH_UP_LIMIT_MICROS)
        if change is None or (await self.operators.ask(change, victim)).status != DONE:
            self.breach("not in step", f"{victim} acknowledges no order")
        await pause(self.world, STABLE_LEADER_MICROS)
        now_leader = self.fleet.leader()
        now_epoch = self.fleet.cores[now_leader].raft.term if now_leader else 0
        if (now_leader, now_epoch) != (leader, epoch):
            self.breach("disturbed", f"{leader} led in {epoch}, {now_leader} in {now_epoch} since {victim} is back")

    # ---- machines that come and go ---------------------------------------------------------------------

    def add_replacement_core(self) -> str:
        """An empty machine at a new address, whose seeds are those of now."""
        self.core_number += 1
        name = f"core-{self.core_number}"
        seeds = [self.fleet.startups[n].address for n in self.fleet.live_cores()]
        template_startup = self.fleet.startups[sorted(self.fleet.cores)[0]]
        self.fleet.startups[name] = dataclasses.replace(
            template_startup, address=f"{name}:1", httpAddress=f"{name}:2", area=self.fleet.area_of(name), seeds=seeds
        )
        self.fleet.start(name)
        return name

    def destroy_machine(self, name: str) -> None:
        self.fleet.destroy_core(name)

    async def replace_as_planned(self, name: str) -> None:
        """The new machine first; then the old one drains and goes for good."""
        self.add_replacement_core()
        await pause(self.world, STABILIZATION_MICROS)
        await self.fleet.stop_planned(name)
        self.fleet.forget_core(name)
        await self.expect_leader(f"{name} went as planned")

    async def destroy_and_replace(self, names: list[str], pause_micros: int) -> None:
        for name in names:
            self.destroy_machine(name)
        await pause(self.world, pause_micros)
        for _ in names:
            self.add_replacement_core()

    async def erase_disks(self, names: list[str]) -> None:
        for name in names:
            self.fleet.kill(name, loses_power=True)
            self.world.machine(name).disk.empty()
        await pause(self.world, self.world.chance.randrange(200 * MILLI, LONG_PAUSE_MICROS))
        for name in names:
            self.fleet.start(name)

    async def lose_power_everywhere(self) -> None:
        names = sorted(self.fleet.cores)
        for name in names:
            self.fleet.kill(name, loses_power=True)
        await pause(self.world, 500 * MILLI)
        self.world.chance.shuffle(names)
        for name in names:
            self.fleet.start(name)
        await self.expect_leader("all lost power")


# ---- point 1: cut off for 20 s -------------------------------------------------------------------------


@control_scenario()
async def follower_cut_off(scenario_run: ControlScenarioRun) -> None:
    await scenario_run.isolate_machines(
        scenario_run.world.chance.choice(scenario_run.followers()), is_inbound_open=False, is_outbound_open=False
    )


@control_scenario()
async def leader_cut_off(scenario_run: ControlScenarioRun) -> None:
    await scenario_run.isolate_machines(scenario_run.fleet.leader(), is_inbound_open=False, is_outbound_open=False)


@control_scenario()
async def core_hears_nobody(scenario_run: ControlScenarioRun) -> None:
    """The leader as often as not."""
    victim = scenario_run.world.chance.choice([scenario_run.fleet.leader(), scenario_run.followers()[0]])
    await scenario_run.isolate_machines(victim, is_inbound_open=False, is_outbound_open=True)


@control_scenario()
async def core_heard_by_nobody(scenario_run: ControlScenarioRun) -> None:
    victim = scenario_run.world.chance.choice([scenario_run.fleet.leader(), scenario_run.followers()[0]])
    await scenario_run.isolate_machines(victim, is_inbound_open=True, is_outbound_open=False)


# ---- point 2: one number, one winner ---------------------------------------------------------------------


async def contend_through_faults(scenario_run: ControlScenarioRun, round_count: int) -> None:
    """Eight at once, again and again: through a new leader, a restart of all, and snapshots taken."""
    operators, chance = scenario_run.operators, scenario_run.world.chance
    first = await operators.submit_next_change()
    for number in range(round_count):
        round_task = scenario_run.world.loop.create_task(operators.submit_conflicting_changes())
        await pause(scenario_run.world, chance.randrange(12 * MILLI))
        if number == 2 and scenario_run.fleet.leader():
            gone = scenario_run.fleet.leader()
            scenario_run.fleet.kill(gone, loses_power=True)
            await pause(scenario_run.world, 2 * SECOND)
            scenario_run.fleet.start(gone)
        if number == 4:
            await scenario_run.lose_power_everywhere()
        await round_task
    taken = operators.taken()
    if first is None or len(taken) < round_count:
        scenario_run.breach("not led in time", f"only {len(taken)} of {round_count} rounds had a winner")
    if not all(core.raft.log.base_index for core in scenario_run.fleet.cores.values()):
        scenario_run.breach("not led in time", "no log was ever cut")
    for change in taken:
        await operators.resend_to_all_cores(change)


@control_scenario(digest_every=10)
async def operators_contend(scenario_run: ControlScenarioRun) -> None:
    await contend_through_faults(scenario_run, 8)


@control_scenario(core_count=5, digest_every=10)
async def operators_contend_at_five_cores(scenario_run: ControlScenarioRun) -> None:
    await contend_through_faults(scenario_run, 5)


@control_scenario(digest_every=40)
async def repeats_after_hundreds_of_changes(scenario_run: ControlScenarioRun) -> None:
    """The first ones are sent again to each member, also after a restart of all."""
    first = await scenario_run.operators.submit_next_change()
    others = [await scenario_run.operators.submit_next_change(is_marked=False) for _ in range(FOLLOWING_CHANGE_COUNT)]
    for change in [first, others[0], others[-1]]:
        if change is None:
            scenario_run.breach("not led in time", "a change was not acknowledged")
            return
        await scenario_run.operators.resend_to_all_cores(change)
    await scenario_run.lose_power_everywhere()
    if first is not None:
        await scenario_run.operators.resend_to_all_cores(first)


# ---- point 3: loss upon loss -------------------------------------------------------------------------------


async def destroy_after_planned(scenario_run: ControlScenarioRun, planned_count: int, loss_count: int) -> None:
    """Planned replacements, losses with replacements 15 s later, wiped disks as soon as these are back, then power."""
    for _ in range(planned_count):
        await scenario_run.replace_as_planned(scenario_run.world.chance.choice(sorted(scenario_run.fleet.cores)))
    await pause(scenario_run.world, DELAY_AFTER_PLANNED_MICROS - STABILIZATION_MICROS)
    await scenario_run.destroy_and_replace(
        scenario_run.world.chance.sample(sorted(scenario_run.fleet.cores), loss_count), SECOND
    )
    await pause(scenario_run.world, STABILIZATION_MICROS)
    await scenario_run.erase_disks(scenario_run.world.chance.sample(sorted(scenario_run.fleet.cores), loss_count))
    await scenario_run.expect_leader("a wiped disk after a loss after a planned replacement")
    await pause(scenario_run.world, STABILIZATION_MICROS)
    await scenario_run.expect_leader("a wiped disk")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def losses_after_a_planned_replacement(scenario_run: ControlScenarioRun) -> None:
    await destroy_after_planned(scenario_run, 1, 1)


@control_scenario(core_count=5)
async def losses_after_planned_replacements_at_five_cores(scenario_run: ControlScenarioRun) -> None:
    await destroy_after_planned(scenario_run, 2, 2)


async def destroy_repeatedly(scenario_run: ControlScenarioRun, loss_count: int) -> None:
    """The next one goes at the moment when its forerunner's successor counts as back."""
    for _ in range(LOSS_ROUNDS):
        names = scenario_run.world.chance.sample(sorted(scenario_run.fleet.cores), loss_count)
        pause_micros = scenario_run.world.chance.choice([0, SECOND, 2 * SECOND, LONG_PAUSE_MICROS])
        await scenario_run.destroy_and_replace(names, pause_micros)
        loss_description = f"{names} were lost, and others came {pause_micros / SECOND:.0f} s later"
        start_micros = scenario_run.world.now()
        await scenario_run.expect_leader(loss_description)
        await pause(scenario_run.world, max(0, start_micros + STABILIZATION_MICROS - scenario_run.world.now()))
    await scenario_run.expect_leader("the last loss")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def losses_as_soon_as_settled(scenario_run: ControlScenarioRun) -> None:
    await destroy_repeatedly(scenario_run, 1)


@control_scenario(core_count=5)
async def two_losses_at_five_cores_as_soon_as_settled(scenario_run: ControlScenarioRun) -> None:
    await destroy_repeatedly(scenario_run, 2)


@control_scenario()
async def leaders_lost_or_frozen_and_replaced(scenario_run: ControlScenarioRun) -> None:
    """Each time the leader: gone, or frozen and gone for good only when its successor counts as back."""
    for number in range(LOSS_ROUNDS):
        leader = scenario_run.fleet.leader()
        if not leader:
            scenario_run.breach("not led in time", f"nobody leads in round {number}")
            return
        if number % 2 == 0:
            scenario_run.fleet.freeze(leader)
            await pause(scenario_run.world, scenario_run.world.chance.choice([0, SECOND, LONG_PAUSE_MICROS]))
            scenario_run.add_replacement_core()
            await pause(scenario_run.world, STABILIZATION_MICROS)
            scenario_run.destroy_machine(leader)
        else:
            await scenario_run.destroy_and_replace(
                [leader], scenario_run.world.chance.choice([0, SECOND, LONG_PAUSE_MICROS])
            )
            await pause(scenario_run.world, STABILIZATION_MICROS)
        await scenario_run.expect_leader(f"the leader {leader} was replaced")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def survivors_of_unlike_logs(scenario_run: ControlScenarioRun) -> None:
    """The leader goes, and of the others only one holds the last entry: it must win soon, time after time."""
    for _ in range(DIVERGENT_LOG_ROUNDS):
        leader = scenario_run.fleet.leader()
        if not leader:
            scenario_run.breach("not led in time", "nobody leads at the start of a round")
            return
        behind = scenario_run.world.chance.choice(scenario_run.followers())
        pairs = scenario_run.fleet.cut([behind], [leader])
        await scenario_run.operators.submit_next_change(ELECTION_LIMIT_MICROS, is_marked=False)
        scenario_run.fleet.kill(leader, loses_power=True)
        scenario_run.fleet.restore_links(pairs)
        await scenario_run.expect_leader(f"{leader} went, and {behind} lacks its last entry")
        scenario_run.fleet.start(leader)
        await pause(scenario_run.world, SECOND)


@control_scenario(core_count=5)
async def promotion_known_to_one_alone(scenario_run: ControlScenarioRun) -> None:
    """A successor has the vote, and none but itself knows of it when the two others go that do: three of five stand."""
    leader = scenario_run.fleet.leader()
    lost, behind, uninformed, other = scenario_run.followers()
    scenario_run.destroy_machine(lost)
    successor = scenario_run.add_replacement_core()
    await pause(scenario_run.world, SECOND)
    pairs = scenario_run.fleet.cut([behind], [name for name in sorted(scenario_run.fleet.cores) if name != behind])
    raft = scenario_run.fleet.cores[leader].raft

    def is_ended() -> bool:
        membership = raft.membership()
        return scenario_run.fleet.cores[successor].identity in membership.voters and not membership.is_joint

    await scenario_run.poll_until(is_ended)
    # The entry that ends the joint change is on its way, and does not come to this one.
    pairs += scenario_run.fleet.cut(
        [uninformed], [name for name in sorted(scenario_run.fleet.cores) if name != uninformed]
    )
    await scenario_run.poll_until(lambda: raft.commit_index >= raft.membership().index)
    scenario_run.destroy_machine(leader)
    scenario_run.destroy_machine(other)
    scenario_run.fleet.restore_links(pairs)
    await scenario_run.expect_leader(f"two went, and only {successor} knows that it votes")
