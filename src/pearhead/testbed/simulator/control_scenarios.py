"""Control scenarios (§9.7): partitions, concurrent operators and successive losses of cores, without job load."""

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
# A replacement counts as settled STABILIZATION_MICROS after its start. A core may be removed as lost when it was silent
# for LOST_AFTER_MICROS times MEMBER_REMOVAL_FACTOR (§4.9).
LOST_AFTER_MICROS = STABILIZATION_MICROS + SECOND
DELAY_AFTER_PLANNED_MICROS = 15 * SECOND
LONG_PAUSE_MICROS = 3 * SECOND
LOSS_ROUNDS = 3
FOLLOWING_CHANGE_COUNT = 258
DIVERGENT_LOG_ROUNDS = 3

ControlScenarioBody = Callable[["ControlScenarioRun"], Awaitable[None]]


@dataclass(frozen=True)
class ControlScenario:
    """One scenario of the control plane: its steps, the number of cores, and the entries between two snapshots."""

    body: ControlScenarioBody
    core_count: int
    entries_per_snapshot: int

    async def run(self, fleet: SimFleet) -> None:
        """Runs the steps between the checks that all control scenarios share."""
        scenario_run = ControlScenarioRun(fleet)
        scenario_run.begin()
        await self.body(scenario_run)
        await scenario_run.end()


CONTROL_SCENARIOS: dict[str, ControlScenario] = {}


def control_scenario(
    core_count: int = 3, entries_per_snapshot: int = 400
) -> Callable[[ControlScenarioBody], ControlScenarioBody]:
    """Registers a control scenario under its function's name, with hyphens for underscores."""

    def register(body: ControlScenarioBody) -> ControlScenarioBody:
        name = body.__name__.replace("_", "-")
        CONTROL_SCENARIOS[name] = ControlScenario(body, core_count, entries_per_snapshot)
        return body

    return register


class ControlScenarioRun:
    """A fleet with its operators, and the steps and checks that control scenarios share."""

    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.operators = Operators(fleet)
        self.core_number = len(fleet.cores)

    def begin(self) -> None:
        """Starts the checks that run throughout.

        Cores that start from here on are not told their founders, as on any start but the first.
        """
        for name, startup in self.fleet.startups.items():
            if name.startswith("core-"):
                self.fleet.startups[name] = dataclasses.replace(startup, founders=[], lostAfterMicros=LOST_AFTER_MICROS)
        self.operators.start_periodic_reads()
        self.fleet.background_tasks.append(self.world.loop.create_task(self._check_node_configs()))

    async def _check_node_configs(self) -> None:
        """A node with a current view must have each description some time after it was acknowledged."""
        while True:
            await pause(self.world, NODE_CHECK_INTERVAL_MICROS)
            due_before_micros = self.world.now() - CONFIG_PROPAGATION_LIMIT_MICROS
            newest = max(
                (r for r, ack_micros in self.fleet.ledger.acknowledged_applies if ack_micros < due_before_micros),
                default=0,
            )
            for name, node in self.fleet.nodes.items():
                if node.view_replica.is_current() and node.view_replica.view.description_revision < newest:
                    self.breach("old configuration", f"{name} serves without {newest}")

    async def end(self) -> None:
        """One more change must be acknowledged; then each core's description is read into the history to check it."""
        if await self.operators.submit_next_change(4 * SECOND) is None:
            self.breach("not led in time", "no change was acknowledged at the end")
        for name in sorted(self.fleet.cores):
            await self.operators.read(name)

    def breach(self, check: str, fault: str) -> None:
        """Records a breach of the check of this name in the ledger and the trace."""
        self.fleet.ledger.breaches.append(f"{check}: {fault}")
        self.world.trace_event(f"breach of {check}: {fault}")

    def followers(self) -> list[str]:
        """Names of the cores that run and do not lead, sorted."""
        return [name for name in self.fleet.live_cores() if name != self.fleet.leader()]

    async def expect_leader(self, what: str, names: list[str] | None = None) -> None:
        """A leader must be elected within ELECTION_LIMIT_MICROS, and then a change be acknowledged as fast.

        `what` says what happened before, for the message.
        """
        start_micros = self.world.now()
        while not self.fleet.leader() and self.world.now() - start_micros <= ELECTION_LIMIT_MICROS:
            await pause(self.world, 20 * MILLI)
        if not self.fleet.leader():
            self.breach("not led in time", f"no leader {ELECTION_LIMIT_MICROS // SECOND} s after {what}")
        elif await self.operators.submit_next_change(ELECTION_LIMIT_MICROS) is None:
            self.breach("not led in time", f"no change was acknowledged after {what}")

    async def poll_until(self, is_reached: Callable[[], bool]) -> None:
        """Polls every 100 µs, to act at the very moment when the condition holds.

        Records a breach if that takes longer than STABILIZATION_MICROS.
        """
        end_micros = self.world.now() + STABILIZATION_MICROS
        while not is_reached():
            if self.world.now() > end_micros:
                self.breach("not led in time", "the membership did not change as expected")
                return
            await pause(self.world, FINE_POLL_MICROS)

    # ---- partitions ----------------------------------------------------------------------------------

    async def isolate_machines(self, victim: str, is_inbound_open: bool, is_outbound_open: bool) -> None:
        """Cuts a core and all nodes off from the other cores for 20 s, in one direction or both.

        Changes are requested right before the cut, during it, and right before it ends.
        """
        others = [name for name in sorted(self.fleet.cores) if name != victim]
        cut_names = [victim, *sorted(self.fleet.nodes)]
        self.world.trace_event(f"cuts {victim} off: comes in {is_inbound_open}, goes out {is_outbound_open}")
        before = self.world.loop.create_task(self.operators.submit_next_change())
        await pause(self.world, self.world.rng.randrange(8 * MILLI))
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
                self.breach("not led in time", f"no change was acknowledged while {victim} was cut off")
            await pause(self.world, REQUEST_INTERVAL_MICROS)
        after = self.world.loop.create_task(self._request_at(victim))
        await pause(self.world, 5 * MILLI)
        await self._reconnect(victim, pairs)
        await after

    async def _request_at(self, victim: str) -> None:
        """Requests a change at this core, which must answer soon, whether it applies the change or not."""
        content = self.operators.next_content()
        change = Change(self.operators.highest_number, self.operators.highest_number + 1, content, is_marked=False)
        attempt = await self.operators.send_change(change, victim, LONG_REQUEST_TIMEOUT_MICROS)
        took_micros = attempt.end_micros - attempt.start_micros
        if attempt.status == NO_ANSWER or took_micros > ANSWER_LIMIT_MICROS:
            self.breach("late answer", f"{victim} answered {attempt.status} after {took_micros / SECOND:.2f} s")

    async def _reconnect(self, victim: str, pairs: list[tuple[str, str]]) -> None:
        """Restores the links; the core must catch up and answer, and must not disturb the leader and its term."""
        leader = self.fleet.leader()
        term = self.fleet.cores[leader].raft.term if leader else 0
        commit_index = self.fleet.cores[leader].raft.commit_index if leader else 0
        if leader in ("", victim):
            self.breach("not led in time", f"{leader or 'no core'} leads while {victim} is cut off")
        self.fleet.restore_links(pairs)
        heal_micros = self.world.now()
        raft = self.fleet.cores[victim].raft
        while raft.commit_index < commit_index and self.world.now() - heal_micros <= CATCH_UP_LIMIT_MICROS:
            await pause(self.world, 20 * MILLI)
        if raft.commit_index < commit_index:
            self.breach("not in step", f"{victim} has {raft.commit_index} of {commit_index}")
        if await self.operators.read(victim) is None:
            self.breach("not in step", f"{victim} answers no read of the description")
        change = await self.operators.submit_next_change(CATCH_UP_LIMIT_MICROS)
        if change is None or (await self.operators.send_change(change, victim)).status != DONE:
            self.breach("not in step", f"{victim} acknowledges no repeat of a change")
        await pause(self.world, STABLE_LEADER_MICROS)
        new_leader = self.fleet.leader()
        new_term = self.fleet.cores[new_leader].raft.term if new_leader else 0
        if (new_leader, new_term) != (leader, term):
            self.breach(
                "disturbed", f"{leader} led term {term}, {new_leader} leads term {new_term} since {victim} is back"
            )

    # ---- losses and replacements -----------------------------------------------------------------------

    def add_replacement_core(self) -> str:
        """Starts an empty machine at a new address, whose seeds are the running cores; returns its name."""
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
        """Destroys a core's machine with its disk."""
        self.fleet.destroy_core(name)

    async def replace_as_planned(self, name: str) -> None:
        """Starts a replacement first; then the old core drains and stops for good."""
        self.add_replacement_core()
        await pause(self.world, STABILIZATION_MICROS)
        await self.fleet.stop_planned(name)
        self.fleet.remove_core(name)
        await self.expect_leader(f"{name} left as planned")

    async def destroy_and_replace(self, names: list[str], pause_micros: int) -> None:
        """Destroys these cores at once, and adds as many empty ones after the pause."""
        for name in names:
            self.destroy_machine(name)
        await pause(self.world, pause_micros)
        for _ in names:
            self.add_replacement_core()

    async def erase_disks(self, names: list[str]) -> None:
        """Lets these cores lose power and disk at once; they start again, empty, 0.2 to 3 s later."""
        for name in names:
            self.fleet.kill(name, loses_power=True)
            self.world.machine(name).disk.empty()
        await pause(self.world, self.world.rng.randrange(200 * MILLI, LONG_PAUSE_MICROS))
        for name in names:
            self.fleet.start(name)

    async def lose_power_everywhere(self) -> None:
        """Lets all cores lose power; they start again in random order, and must elect a leader."""
        names = sorted(self.fleet.cores)
        for name in names:
            self.fleet.kill(name, loses_power=True)
        await pause(self.world, 500 * MILLI)
        self.world.rng.shuffle(names)
        for name in names:
            self.fleet.start(name)
        await self.expect_leader("all cores lost power")


# ---- a core cut off for 20 s ---------------------------------------------------------------------------


@control_scenario()
async def follower_cut_off(scenario_run: ControlScenarioRun) -> None:
    """A follower is cut off in both directions."""
    await scenario_run.isolate_machines(
        scenario_run.world.rng.choice(scenario_run.followers()), is_inbound_open=False, is_outbound_open=False
    )


@control_scenario()
async def leader_cut_off(scenario_run: ControlScenarioRun) -> None:
    """The leader is cut off in both directions."""
    await scenario_run.isolate_machines(scenario_run.fleet.leader(), is_inbound_open=False, is_outbound_open=False)


@control_scenario()
async def core_hears_nobody(scenario_run: ControlScenarioRun) -> None:
    """What a core sends arrives, but it receives nothing; it is the leader in half of the runs."""
    victim = scenario_run.world.rng.choice([scenario_run.fleet.leader(), scenario_run.followers()[0]])
    await scenario_run.isolate_machines(victim, is_inbound_open=False, is_outbound_open=True)


@control_scenario()
async def core_heard_by_nobody(scenario_run: ControlScenarioRun) -> None:
    """A core receives, but nothing that it sends arrives; it is the leader in half of the runs."""
    victim = scenario_run.world.rng.choice([scenario_run.fleet.leader(), scenario_run.followers()[0]])
    await scenario_run.isolate_machines(victim, is_inbound_open=True, is_outbound_open=False)


# ---- concurrent changes under one number -----------------------------------------------------------------


async def contend_through_faults(scenario_run: ControlScenarioRun, round_count: int) -> None:
    """Eight concurrent changes a round, while the leader is killed, all cores restart, and snapshots are taken.

    In the end each acknowledged change is sent again to every core.
    """
    operators, rng = scenario_run.operators, scenario_run.world.rng
    first_change = await operators.submit_next_change()
    for number in range(round_count):
        round_task = scenario_run.world.loop.create_task(operators.submit_conflicting_changes())
        await pause(scenario_run.world, rng.randrange(12 * MILLI))
        if number == 2 and scenario_run.fleet.leader():
            killed_leader = scenario_run.fleet.leader()
            scenario_run.fleet.kill(killed_leader, loses_power=True)
            await pause(scenario_run.world, 2 * SECOND)
            scenario_run.fleet.start(killed_leader)
        if number == 4:
            await scenario_run.lose_power_everywhere()
        await round_task
    acknowledged = operators.acknowledged_changes()
    if first_change is None or len(acknowledged) < round_count:
        scenario_run.breach(
            "not led in time", f"only {len(acknowledged)} of {round_count} rounds had an acknowledged change"
        )
    if not all(core.raft.log.base_index for core in scenario_run.fleet.cores.values()):
        scenario_run.breach("not led in time", "no log was ever truncated")
    for change in acknowledged:
        await operators.resend_to_all_cores(change)


@control_scenario(entries_per_snapshot=10)
async def operators_contend(scenario_run: ControlScenarioRun) -> None:
    """Operators contend for the next number at three cores."""
    await contend_through_faults(scenario_run, 8)


@control_scenario(core_count=5, entries_per_snapshot=10)
async def operators_contend_at_five_cores(scenario_run: ControlScenarioRun) -> None:
    """Operators contend for the next number at five cores."""
    await contend_through_faults(scenario_run, 5)


@control_scenario(entries_per_snapshot=40)
async def repeats_after_hundreds_of_changes(scenario_run: ControlScenarioRun) -> None:
    """Of 259 changes, the first two and the last are sent again to each core.

    The first, which is followed by 258 others, is sent again once more after a restart of all cores.
    """
    first_change = await scenario_run.operators.submit_next_change()
    later_changes = [
        await scenario_run.operators.submit_next_change(is_marked=False) for _ in range(FOLLOWING_CHANGE_COUNT)
    ]
    for change in [first_change, later_changes[0], later_changes[-1]]:
        if change is None:
            scenario_run.breach("not led in time", "a change was not acknowledged")
            return
        await scenario_run.operators.resend_to_all_cores(change)
    await scenario_run.lose_power_everywhere()
    if first_change is not None:
        await scenario_run.operators.resend_to_all_cores(first_change)


# ---- successive losses -------------------------------------------------------------------------------------


async def destroy_after_planned(scenario_run: ControlScenarioRun, planned_count: int, loss_count: int) -> None:
    """Planned replacements, then losses of cores, then wiped disks as soon as the lost cores' replacements are settled.

    The losses come about 15 s after the last planned replacement started. In the end all cores lose power.
    """
    for _ in range(planned_count):
        await scenario_run.replace_as_planned(scenario_run.world.rng.choice(sorted(scenario_run.fleet.cores)))
    await pause(scenario_run.world, DELAY_AFTER_PLANNED_MICROS - STABILIZATION_MICROS)
    await scenario_run.destroy_and_replace(
        scenario_run.world.rng.sample(sorted(scenario_run.fleet.cores), loss_count), SECOND
    )
    await pause(scenario_run.world, STABILIZATION_MICROS)
    await scenario_run.erase_disks(scenario_run.world.rng.sample(sorted(scenario_run.fleet.cores), loss_count))
    await scenario_run.expect_leader("a wiped disk after a loss after a planned replacement")
    await pause(scenario_run.world, STABILIZATION_MICROS)
    await scenario_run.expect_leader("a wiped disk")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def losses_after_a_planned_replacement(scenario_run: ControlScenarioRun) -> None:
    """One planned replacement, then one lost core and one wiped disk, of three cores."""
    await destroy_after_planned(scenario_run, 1, 1)


@control_scenario(core_count=5)
async def losses_after_planned_replacements_at_five_cores(scenario_run: ControlScenarioRun) -> None:
    """Two planned replacements, then two lost cores and two wiped disks at a time, of five cores."""
    await destroy_after_planned(scenario_run, 2, 2)


async def destroy_repeatedly(scenario_run: ControlScenarioRun, loss_count: int) -> None:
    """Destroys cores again at the moment when the replacements of the last ones count as settled."""
    for _ in range(LOSS_ROUNDS):
        names = scenario_run.world.rng.sample(sorted(scenario_run.fleet.cores), loss_count)
        pause_micros = scenario_run.world.rng.choice([0, SECOND, 2 * SECOND, LONG_PAUSE_MICROS])
        await scenario_run.destroy_and_replace(names, pause_micros)
        loss_description = f"{names} were lost, and replaced {pause_micros / SECOND:.0f} s later"
        start_micros = scenario_run.world.now()
        await scenario_run.expect_leader(loss_description)
        await pause(scenario_run.world, max(0, start_micros + STABILIZATION_MICROS - scenario_run.world.now()))
    await scenario_run.expect_leader("the last loss")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def losses_as_soon_as_settled(scenario_run: ControlScenarioRun) -> None:
    """One of three cores is lost at a time."""
    await destroy_repeatedly(scenario_run, 1)


@control_scenario(core_count=5)
async def two_losses_at_five_cores_as_soon_as_settled(scenario_run: ControlScenarioRun) -> None:
    """Two of five cores are lost at a time."""
    await destroy_repeatedly(scenario_run, 2)


@control_scenario()
async def leaders_lost_or_frozen_and_replaced(scenario_run: ControlScenarioRun) -> None:
    """The leader is lost each time: destroyed, or frozen, and destroyed only when its replacement counts as settled."""
    for number in range(LOSS_ROUNDS):
        leader = scenario_run.fleet.leader()
        if not leader:
            scenario_run.breach("not led in time", f"no core leads in round {number}")
            return
        if number % 2 == 0:
            scenario_run.fleet.freeze(leader)
            await pause(scenario_run.world, scenario_run.world.rng.choice([0, SECOND, LONG_PAUSE_MICROS]))
            scenario_run.add_replacement_core()
            await pause(scenario_run.world, STABILIZATION_MICROS)
            scenario_run.destroy_machine(leader)
        else:
            await scenario_run.destroy_and_replace(
                [leader], scenario_run.world.rng.choice([0, SECOND, LONG_PAUSE_MICROS])
            )
            await pause(scenario_run.world, STABILIZATION_MICROS)
        await scenario_run.expect_leader(f"the leader {leader} was replaced")
    await scenario_run.lose_power_everywhere()


@control_scenario()
async def survivors_of_unlike_logs(scenario_run: ControlScenarioRun) -> None:
    """The leader is lost, and only one of the two others holds its last entry.

    That one must win the election in time, round after round.
    """
    for _ in range(DIVERGENT_LOG_ROUNDS):
        leader = scenario_run.fleet.leader()
        if not leader:
            scenario_run.breach("not led in time", "no core leads at the start of a round")
            return
        lagging = scenario_run.world.rng.choice(scenario_run.followers())
        pairs = scenario_run.fleet.cut([lagging], [leader])
        await scenario_run.operators.submit_next_change(ELECTION_LIMIT_MICROS, is_marked=False)
        scenario_run.fleet.kill(leader, loses_power=True)
        scenario_run.fleet.restore_links(pairs)
        await scenario_run.expect_leader(f"{leader} was lost, and {lagging} lacks its last entry")
        scenario_run.fleet.start(leader)
        await pause(scenario_run.world, SECOND)


@control_scenario(core_count=5)
async def promotion_known_to_one_alone(scenario_run: ControlScenarioRun) -> None:
    """A new voter's promotion is committed, and then the two other cores that know this are lost.

    Three of five voters are left, but only the promoted one has the entry that completes its promotion; they must elect
    a leader.
    """
    leader = scenario_run.fleet.leader()
    lost, lagging, uninformed, other = scenario_run.followers()
    scenario_run.destroy_machine(lost)
    successor = scenario_run.add_replacement_core()
    await pause(scenario_run.world, SECOND)
    pairs = scenario_run.fleet.cut([lagging], [name for name in sorted(scenario_run.fleet.cores) if name != lagging])
    raft = scenario_run.fleet.cores[leader].raft

    def is_promotion_complete() -> bool:
        membership = raft.membership()
        return scenario_run.fleet.cores[successor].identity in membership.voters and not membership.is_joint

    await scenario_run.poll_until(is_promotion_complete)
    # The entry that ends the joint change is being replicated, and does not reach this follower any more.
    pairs += scenario_run.fleet.cut(
        [uninformed], [name for name in sorted(scenario_run.fleet.cores) if name != uninformed]
    )
    await scenario_run.poll_until(lambda: raft.commit_index >= raft.membership().index)
    scenario_run.destroy_machine(leader)
    scenario_run.destroy_machine(other)
    scenario_run.fleet.restore_links(pairs)
    await scenario_run.expect_leader(f"two were lost, and only {successor} knows of its promotion")
