"""Scenarios (§9.7) with faults of cores: kills, cuts, lost and full disks, replacements."""

from __future__ import annotations

import dataclasses

from result import Err

from pearhead.control_plane.quorum_loss_recovery import REQUIRED_CONSENT, QuorumLossRecovery
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    expect_no_node_serves,
    scenario,
    wait_for_recovery,
)
from pearhead.testbed.simulator.world import pause


@scenario
async def leader_killed(fleet: SimFleet) -> None:
    """The leading core is killed, and started again."""
    name = fleet.leader()
    fleet.kill(name)
    await wait_for_recovery(fleet)
    fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def core_cut_in_two(fleet: SimFleet) -> None:
    """The leader is cut off from the other cores, while the description and the weights change."""
    leader = fleet.leader()
    others = [n for n in sorted(fleet.cores) if n != leader]
    fleet.world.trace_event(f"cuts {leader} off from {others}")
    fleet.cut([leader], others)
    await fleet.apply(fleet.marked_description("a"))
    await pause(fleet.world, 5 * SECOND)
    await fleet.name_weights("w2")
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def core_cut_off_from_nodes(fleet: SimFleet) -> None:
    """The cores are healthy, but no node reaches them.

    All nodes must refuse: each of them might be the only one that is cut off.
    """
    fleet.cut(sorted(fleet.cores), sorted(fleet.nodes))
    await fleet.apply(fleet.marked_description("a"))
    await pause(fleet.world, 6 * SECOND)
    expect_no_node_serves(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def power_lost_after_yes(fleet: SimFleet) -> None:
    """The leader loses power right after an acknowledgement, four times."""
    for number in range(4):
        await fleet.apply(fleet.marked_description(str(number)))
        name = fleet.leader() or "core-1"
        fleet.kill(name, loses_power=True)
        await pause(fleet.world, 3 * SECOND)
        fleet.start(name)
        await pause(fleet.world, 2 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def disk_lost_after_yes(fleet: SimFleet) -> None:
    """The leader's disk is lost right after an acknowledgement, three times.

    Each time an empty machine at a new address replaces it.
    """
    # The replacement of a core counts as planned work: no job may be dropped by it.
    fleet.ledger.planned_operation_count += 1
    for number in range(3):
        await fleet.apply(fleet.marked_description(str(number)))
        name = fleet.leader()
        fleet.destroy_core(name)
        fleet.add_core(f"core-{number + 4}")
        await fleet.wait_until(
            lambda: (
                len(fleet.cores) == 3
                and all(
                    hasattr(c, "raft") and c.identity in c.raft.voters() and len(c.raft.voters()) == 3
                    for c in fleet.cores.values()
                )
            ),
            f"core-{number + 4} replaces {name}",
            20 * SECOND,
        )
    await wait_for_recovery(fleet)


@scenario
async def disk_back_empty(fleet: SimFleet) -> None:
    """A core's disk is lost, and its machine comes back empty at its old address (§4.9).

    The cores are not told their founders, as on any start but the first.
    """
    for name in fleet.cores:
        fleet.startups[name] = dataclasses.replace(fleet.startups[name], founders=[])
    for number in range(4):
        await fleet.apply(fleet.marked_description(str(number)))
        name = fleet.leader() if number % 2 else f"core-{number // 2 + 1}"
        fleet.kill(name, loses_power=True)
        fleet.world.machine(name).disk.empty()
        await pause(fleet.world, fleet.world.rng.randrange(300 * MILLI, 4 * SECOND))
        fleet.start(name)
        await fleet.wait_until(
            lambda: all(
                hasattr(c, "raft") and c.raft.voters().keys() == {o.identity for o in fleet.cores.values()}
                for c in fleet.cores.values()
            ),
            f"{name} votes again",
            2 * SECOND,
        )
        if fleet.ledger.breaches:
            # The wiped core doesn't vote yet. Another lost disk would lose the majority, for good.
            return
    await wait_for_recovery(fleet)


@scenario
async def disks_fail(fleet: SimFleet) -> None:
    """The leader's disk stalls, then the next leader's is full; at last all cores' disks are slow."""
    for mark, kind in (("a", "stalled"), ("b", "full")):
        name = fleet.leader()
        fleet.set_disk(name, kind, True)
        await fleet.apply(fleet.marked_description(mark))
        await wait_for_recovery(fleet)
        fleet.set_disk(name, kind, False)
        await pause(fleet.world, SECOND)
    for core_name in sorted(fleet.cores):
        fleet.world.machine(core_name).disk.slowness = 20
    await fleet.apply(fleet.marked_description("c"))
    await wait_for_recovery(fleet)


@scenario
async def two_disks_fail_at_once(fleet: SimFleet) -> None:
    """The disks of a majority of the cores stall, then are full, while many changes are made and a snapshot may be due.

    What is not on a majority of disks must not be acknowledged. Nodes serve on as long as their view is current, and
    all recovers with the disks.
    """
    names = sorted(fleet.cores, key=lambda n: n != fleet.leader())
    for kind in ("stalled", "full"):
        for name in names[:2]:
            fleet.set_disk(name, kind, True)
        apply_task = fleet.world.loop.create_task(fleet.apply(fleet.marked_description(kind)))
        bump_tasks = [
            fleet.world.loop.create_task(
                fleet.nodes["node-1"].revision_listener.bump(
                    f"tenant:{fleet.deployment.tenant_names[0]}", fleet.deployment.line, part
                )
            )
            for part in range(60)
        ]
        await pause(fleet.world, fleet.world.rng.randrange(2 * SECOND, 5 * SECOND))
        if apply_task.done():
            fleet.ledger.breaches.append("an apply was acknowledged by one disk of three")
        for name in names[:2]:
            fleet.set_disk(name, kind, False)
        await apply_task
        for bump_task in bump_tasks:
            await bump_task
        await pause(fleet.world, 2 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def digest_catches_up(fleet: SimFleet) -> None:
    """A core is down until the leader has truncated the log that it lacks.

    It must catch up from a snapshot and hold the same part revisions as the leader.
    """
    lagging = next(n for n in sorted(fleet.cores) if n != fleet.leader())
    fleet.kill(lagging, loses_power=True)
    bumping_node = fleet.nodes["node-1"]
    owner = f"tenant:{fleet.deployment.tenant_names[0]}"
    for number in range(1_200):
        fleet.world.machine("node-1").task_group.start(
            bumping_node.revision_listener.bump(owner, fleet.deployment.line, number)
        )
        if number % 60 == 0:
            await pause(fleet.world, 200 * MILLI)
    fleet.start(lagging)
    if fleet.cores[fleet.leader()].raft.log.base_index == 0:
        fleet.ledger.breaches.append("no log was ever truncated")
    await fleet.wait_until(
        lambda: (
            hasattr(fleet.cores[lagging], "raft")
            and bool(fleet.leader())
            and fleet.cores[lagging].fleet.index >= fleet.cores[fleet.leader()].raft.commit_index - 50
        ),
        f"{lagging} has caught up",
    )
    await wait_for_recovery(fleet)
    restored_fleet, leader_fleet = fleet.cores[lagging].fleet, fleet.cores[fleet.leader()].fleet
    if restored_fleet.parts != leader_fleet.parts:
        fleet.ledger.breaches.append(f"{lagging} holds other part revisions than the leader")


@scenario
async def old_disk_returns(fleet: SimFleet) -> None:
    """A core is replaced, and later started again from its old disk, beside its replacement.

    It must not vote, nor force a new term.
    """
    old_core = next(n for n in sorted(fleet.cores) if n != fleet.leader())
    old_identity = fleet.cores[old_core].identity
    fleet.kill(old_core)
    # In the same area, as votes are spread over the areas: with the replacement in another one, the old core would
    # rightly get its vote back once it has caught up.
    fleet.add_core("core-4", like=old_core)
    await fleet.wait_until(
        lambda: (
            fleet.leader() != ""
            and old_identity not in fleet.cores[fleet.leader()].raft.voters()
            and len(fleet.cores[fleet.leader()].raft.voters()) == 3
        ),
        "core-4 replaces it",
        30 * SECOND,
    )
    leader = fleet.leader()
    term_before = fleet.cores[leader].raft.term
    fleet.start(old_core)
    await pause(fleet.world, 6 * SECOND)
    raft = fleet.cores[fleet.leader()].raft
    if old_identity in raft.voters() or raft.term != term_before:
        fleet.ledger.breaches.append(
            f"the core with the old disk votes, or disturbed the leader: term {term_before}, then {raft.term}"
        )
    await wait_for_recovery(fleet)


@scenario
async def seeds_swapped(fleet: SimFleet) -> None:
    """All original cores are replaced, one by one.

    Running nodes must go on, and a node that knows only the new cores must be able to join.
    """
    await disk_lost_after_yes(fleet)
    fleet.add_node("node-10")
    await pause(fleet.world, 4 * SECOND)
    if not fleet.nodes["node-10"].view_replica.is_current():
        fleet.ledger.breaches.append("a new node did not join through the new seeds")
    await wait_for_recovery(fleet)


@scenario
async def quorum_lost(fleet: SimFleet) -> None:
    """Two of three cores are down for a while: nodes must refuse, and serve again afterwards."""
    names = sorted(fleet.cores)[:2]
    for name in names:
        fleet.kill(name)
    await pause(fleet.world, 6 * SECOND)
    expect_no_node_serves(fleet)
    for name in names:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def two_disks_lost(fleet: SimFleet) -> None:
    """Two of three core disks are lost at once: nodes refuse until an operator recovers from the third.

    A recovery with a wrong identity, or without the required consent, must be refused.
    """
    await fleet.apply(fleet.marked_description("a"))
    survivor, *lost = [fleet.leader(), *(n for n in sorted(fleet.cores) if n != fleet.leader())]
    for name in lost:
        fleet.destroy_core(name)
    await pause(fleet.world, 3 * SECOND)
    fleet.kill(survivor)
    identity = fleet.cores[survivor].identity
    machine = fleet.world.machine(survivor)
    machine.boot()
    quorum_recovery = QuorumLossRecovery(machine.disk)
    for wrong_arguments in ((identity, "yes"), ("another", REQUIRED_CONSENT)):
        if not isinstance(await quorum_recovery.run(wrong_arguments[0], f"{survivor}:1", wrong_arguments[1]), Err):
            fleet.ledger.breaches.append("a recovery ran with a wrong identity or without consent")
    (await quorum_recovery.run(identity, f"{survivor}:1", REQUIRED_CONSENT)).unwrap()
    fleet.start(survivor)
    fleet.add_core("core-4")
    fleet.add_core("core-5")
    await fleet.wait_until(
        lambda: fleet.leader() != "" and len(fleet.cores[fleet.leader()].raft.voters()) == 3, "three cores vote again"
    )
    await fleet.apply(fleet.marked_description("b"))
    await wait_for_recovery(fleet)
