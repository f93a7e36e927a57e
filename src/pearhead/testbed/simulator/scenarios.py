"""Scenarios (§9.7): each brings about one failure of the brief under load, then looks for breaches."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err

from pearhead.control_plane.quorum_loss_recovery import REQUIRED_CONSENT, QuorumLossRecovery
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import DEPLOYMENTS
from pearhead.testbed.simulator.control_scenarios import CONTROL_SCENARIOS, NODE_COUNT, WORKER_COUNT
from pearhead.testbed.simulator.fault_injector import SimFaultInjector
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.ledger import RECOVERY_LIMIT_MICROS, Ledger
from pearhead.testbed.simulator.recording import build_recording
from pearhead.testbed.simulator.simulated_clients import COMMAND_CONNECTION, JOB_CONNECTION, SimCacheFetcher
from pearhead.testbed.simulator.world import Machine, World, pause, run_in_virtual_time
from pearhead.testbed.workermodel import ApplicationModel, StoreModel

JOBS_PER_SECOND = 25.0
ScenarioBody = Callable[[SimFleet], Awaitable[None]]
SCENARIOS: dict[str, ScenarioBody] = {}


def scenario(play: ScenarioBody) -> ScenarioBody:
    SCENARIOS[play.__name__.replace("_", "-")] = play
    return play


async def wait_for_recovery(fleet: SimFleet) -> None:
    """What comes from 12 s after the last fault came or went must be served, while it stands and after."""
    await pause(fleet.world, RECOVERY_LIMIT_MICROS + 3 * SECOND)


def expect_no_node_serves(fleet: SimFleet) -> None:
    if any(n.view_replica.is_current() for n in fleet.nodes.values()):
        fleet.ledger.breaches.append("a node serves without a majority in reach")


@scenario
async def calm(fleet: SimFleet) -> None:
    await pause(fleet.world, 5 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def leader_killed(fleet: SimFleet) -> None:
    name = fleet.leader()
    fleet.kill(name)
    await wait_for_recovery(fleet)
    fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def node_killed(fleet: SimFleet) -> None:
    fleet.kill("node-1")
    fleet.kill("node-2")
    await wait_for_recovery(fleet)
    fleet.start("node-1")
    fleet.start("node-2")
    await wait_for_recovery(fleet)


@scenario
async def all_killed(fleet: SimFleet) -> None:
    names = [*sorted(fleet.cores), *sorted(fleet.nodes)]
    await fleet.apply(fleet.marked_description("a"))
    for name in names:
        fleet.kill(name, loses_power=True)
    await pause(fleet.world, 2 * SECOND)
    for name in names:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def everything_loses_power(fleet: SimFleet) -> None:
    """Every machine, workers and store too, right after a naming; they come back in any order over a second."""
    await fleet.apply(fleet.marked_description("a"))
    await fleet.name_weights("w2")
    names = sorted(fleet.world.machines)
    for name in names:
        fleet.kill(name, loses_power=True)
    await pause(fleet.world, 2 * SECOND)
    fleet.world.chance.shuffle(names)
    for name in names:
        fleet.start(name)
        await pause(fleet.world, SECOND // len(names))
    await wait_for_recovery(fleet)


@scenario
async def all_workers_killed(fleet: SimFleet) -> None:
    """All at once, with the nodes that hold most of them, while weights are named."""
    holders = [n for n, node in sorted(fleet.nodes.items()) if node.lease_controller.leases][:3]
    names = [*fleet.current_workers(), *holders]
    for name in names:
        fleet.kill(name, loses_power=True)
    await fleet.name_weights("w2")
    await pause(fleet.world, 3 * SECOND)
    for name in names:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def core_cut_in_two(fleet: SimFleet) -> None:
    leader = fleet.leader()
    others = [n for n in sorted(fleet.cores) if n != leader]
    fleet.world.note(f"cuts {leader} off from {others}")
    fleet.cut([leader], others)
    await fleet.apply(fleet.marked_description("a"))
    await pause(fleet.world, 5 * SECOND)
    await fleet.name_weights("w2")
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def node_isolated(fleet: SimFleet) -> None:
    all_machine_names = sorted(fleet.world.machines)
    fleet.world.note("isolates node-3")
    fleet.cut(["node-3"], all_machine_names)
    description = fleet.marked_description("a")
    withdrawn = fleet.deployment.tenant_names[-1]
    description["tenants"] = [t for t in description["tenants"] if t["name"] != withdrawn]
    await fleet.apply(description)
    fleet.ledger.withdrawals.append((withdrawn, fleet.world.now()))
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


async def withdraw_tenant_key(fleet: SimFleet, tenant_name: str, description: dict[str, Any] | None = None) -> None:
    description = description or fleet.marked_description("withdrawn")
    description["tenants"] = [t for t in description["tenants"] if t["name"] != tenant_name]
    await fleet.apply(description)
    fleet.ledger.withdrawals.append((tenant_name, fleet.world.now()))


def freeze_nodes_on_connect(fleet: SimFleet, purpose: str, names: list[str]) -> list[tuple[str, str]]:
    """Each of these nodes freezes as its next connection stands, before it sends a byte."""
    caught: list[tuple[str, str]] = []

    def connect_hook(name: str, worker: Machine) -> None:
        fleet.freeze(name)
        caught.append((name, worker.name))

    for name in names:
        fleet.world.connect_hooks[name, purpose] = functools.partial(connect_hook, name)
    return caught


@scenario
async def nodes_freeze_as_they_connect(fleet: SimFleet) -> None:
    """Keys, workers and weights go while connections stand that no byte has left by."""
    names = sorted(fleet.nodes)[: len(fleet.nodes) // 2]
    caught = freeze_nodes_on_connect(fleet, JOB_CONNECTION, names)
    await fleet.wait_until(lambda: len(caught) == len(names), "all are caught as they connect")
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.mark_leaving(*sorted({worker for _, worker in caught if worker != "desk"})[:2])
    await fleet.name_weights("w2")
    for name in names:
        await pause(fleet.world, 4 * SECOND)
        fleet.wake(name)
    await wait_for_recovery(fleet)


@scenario
async def holder_freezes_as_it_commands(fleet: SimFleet) -> None:
    """Each holder freezes between its check and its command, and wakes when another holds its workers."""
    # Those that hold most go first: a node that holds nothing commands nothing, and is never caught.
    names = sorted(fleet.nodes, key=lambda name: (-len(fleet.nodes[name].lease_controller.leases), name))
    caught = freeze_nodes_on_connect(fleet, COMMAND_CONNECTION, names[: len(names) - 2])
    await fleet.name_weights("w2")
    await fleet.wait_until(lambda: bool(caught), "a holder is caught as it commands")
    await pause(fleet.world, fleet.world.chance.randrange(5 * SECOND, 10 * SECOND))
    fleet.world.connect_hooks.clear()
    for name, _ in caught:
        fleet.wake(name)
    await wait_for_recovery(fleet)


@scenario
async def entries_move_while_jobs_queue(fleet: SimFleet) -> None:
    """Queues are long; then an entry points elsewhere, another shuts a tenant out, and a key is withdrawn."""
    desk = fleet.back_ends["desk:2"].model
    assert isinstance(desk, ApplicationModel)
    desk.line_micros = 150 * MILLI
    bursting_tenant, other = fleet.deployment.tenant_names[0], fleet.deployment.tenant_names[1]
    description = fleet.marked_description("a")
    description["entries"][2].update(concurrency=1, queueLimit=64, deadlineMicros=8 * SECOND)
    await fleet.apply(description)
    await pause(fleet.world, 2 * SECOND)
    fleet.start_burst(bursting_tenant, 80.0, "notice")
    fleet.start_burst(other, 40.0, "notice")
    await pause(fleet.world, 3 * SECOND)
    await withdraw_tenant_key(fleet, bursting_tenant, description)
    await pause(fleet.world, 4 * SECOND)
    description["entries"][2]["tenants"] = [
        n for n in fleet.deployment.tenant_names if n not in (bursting_tenant, other)
    ]
    await fleet.apply(description)
    await pause(fleet.world, 4 * SECOND)
    description["entries"][2].update(tenants=["*"], service="models")
    await fleet.apply(description)
    await pause(fleet.world, 4 * SECOND)
    fleet.end_bursts()
    await wait_for_recovery(fleet)


@scenario
async def node_cut_off_from_cores(fleet: SimFleet) -> None:
    """A node reaches callers and workers, and neither cores nor colleagues, while all it knows changes."""
    name = fleet.world.chance.choice(sorted(fleet.nodes))
    fleet.world.note(f"cuts {name} off from cores and nodes")
    fleet.cut([name], [*sorted(fleet.cores), *sorted(fleet.nodes)])
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.mark_leaving("worker-1", "worker-2")
    await fleet.name_weights("w2")
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def core_cut_off_from_nodes(fleet: SimFleet) -> None:
    """The core is sound and no node reaches it: nodes refuse, as each of them might be the one cut off."""
    fleet.cut(sorted(fleet.cores), sorted(fleet.nodes))
    await fleet.apply(fleet.marked_description("a"))
    await pause(fleet.world, 6 * SECOND)
    expect_no_node_serves(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def worker_freezes(fleet: SimFleet) -> None:
    """A stopped process, whose kernel takes connections on, or a stopped machine."""
    name = f"worker-{fleet.world.chance.randrange(fleet.worker_count) + 1}"
    fleet.world.machine(name).kernel_accepts_connections = fleet.world.chance.random() < 0.7
    fleet.freeze(name)
    await wait_for_recovery(fleet)
    fleet.wake(name)
    await wait_for_recovery(fleet)


def register_final_fault(kind: str, inject_fault: Callable[[SimFleet, str], None]) -> None:
    """A day that ends with one last fault: it is never healed, and the rest serves on."""

    async def play(fleet: SimFleet) -> None:
        await fleet.name_weights("w2")
        await pause(fleet.world, fleet.world.chance.randrange(15 * SECOND))
        number = fleet.world.chance.randrange(100)
        names = {
            "leader": [fleet.leader() or "core-1"],
            "node": sorted(fleet.nodes),
            "store": ["store"],
            "worker": [f"worker-{n + 1}" for n in range(fleet.worker_count)],
            "core": sorted(fleet.cores),
            "area": list(fleet.deployment.areas),
        }[kind.split("-")[0]]
        inject_fault(fleet, names[number % len(names)])
        await wait_for_recovery(fleet)

    SCENARIOS[f"ends-on-{kind}"] = play


def machines_in_area(fleet: SimFleet, area: str) -> list[str]:
    return [n for n in sorted(fleet.world.machines) if fleet.area_of(n) == area]


def cut_area_power(fleet: SimFleet, area: str) -> None:
    for name in machines_in_area(fleet, area):
        fleet.kill(name, loses_power=True)


def isolate_machines(fleet: SimFleet, names: list[str]) -> None:
    fleet.cut(names, [n for n in sorted(fleet.world.machines) if n not in names])


register_final_fault("leader-lost", lambda fleet, name: fleet.destroy_core(name))
register_final_fault("leader-frozen", lambda fleet, name: fleet.freeze(name))
register_final_fault("leader-isolated", lambda fleet, name: isolate_machines(fleet, [name]))
register_final_fault("node-isolated", lambda fleet, name: isolate_machines(fleet, [name]))
register_final_fault("node-frozen", lambda fleet, name: fleet.freeze(name))
register_final_fault("worker-lost", lambda fleet, name: fleet.kill(name, loses_power=True))
register_final_fault("worker-frozen", lambda fleet, name: fleet.freeze(name))
register_final_fault("worker-isolated", lambda fleet, name: isolate_machines(fleet, [name]))
register_final_fault("store-lost", lambda fleet, name: fleet.kill(name, loses_power=True))
register_final_fault("core-disk-stalled", lambda fleet, name: fleet.set_disk(name, "stalled", True))
register_final_fault("core-disk-full", lambda fleet, name: fleet.set_disk(name, "full", True))
register_final_fault("area-lost", cut_area_power)
register_final_fault("area-cut-off", lambda fleet, area: isolate_machines(fleet, machines_in_area(fleet, area)))


@scenario
async def node_sees_no_workers(fleet: SimFleet) -> None:
    """A one-way loss: answers of workers don't reach one node."""
    workers = [n for n in sorted(fleet.world.machines) if n.startswith("worker-")]
    fleet.cut(workers, ["node-4"], both_ways=False)
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def power_lost_after_yes(fleet: SimFleet) -> None:
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
    """A core's disk goes right after an acknowledgement; a machine comes back empty, at a new address."""
    # Replacing a core is planned work too: no job may be dropped by it.
    fleet.ledger.planned_count += 1
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
    """Founders were told once; a core's disk goes, and its machine is back empty at its old address (§4.9)."""
    for name in fleet.cores:
        fleet.startups[name] = dataclasses.replace(fleet.startups[name], founders=[])
    for number in range(4):
        await fleet.apply(fleet.marked_description(str(number)))
        name = fleet.leader() if number % 2 else f"core-{number // 2 + 1}"
        fleet.kill(name, loses_power=True)
        fleet.world.machine(name).disk.empty()
        await pause(fleet.world, fleet.world.chance.randrange(300 * MILLI, 4 * SECOND))
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
            return  # The next disk would be lost beside this one, which no core survives.
    await wait_for_recovery(fleet)


@scenario
async def operators_race(fleet: SimFleet) -> None:
    tasks = []
    for number in range(4):
        base = fleet.description_revision
        for operator in ("x", "y"):
            description = fleet.marked_description(f"{operator}{number}")
            tasks.append(fleet.world.loop.create_task(fleet.apply(description, base)))
        statuses = [await t for t in tasks[-2:]]
        if sorted(statuses) != ["conflict", "done"]:
            fleet.ledger.breaches.append(f"a race ended {statuses}")
        if number == 1:
            fleet.kill(fleet.leader())
    for name in sorted(fleet.cores):
        if not fleet.world.machine(name).is_alive:
            fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def weights_under_load(fleet: SimFleet) -> None:
    await fleet.name_weights("w2")
    await pause(fleet.world, 2 * SECOND)
    await fleet.name_weights("w3")
    await pause(fleet.world, 15 * SECOND)
    fleet.kill("worker-2")
    await fleet.name_weights("w4")
    await pause(fleet.world, 4 * SECOND)
    fleet.start("worker-2")
    await wait_for_recovery(fleet)


@scenario
async def weights_named_again_and_again(fleet: SimFleet) -> None:
    """Each naming comes before the last roll-out is over, and a node is out of reach for some of them."""
    chance = fleet.world.chance
    names = sorted(fleet.nodes)[:2]
    fleet.world.note(f"cuts {names} off from cores and nodes")
    pairs = fleet.cut(names, [*sorted(fleet.cores), *sorted(fleet.nodes)])
    for number in range(4):
        await fleet.name_weights(f"w{number + 2}")
        await pause(fleet.world, chance.randrange(4 * SECOND, 8 * SECOND))
        if number == 1:
            fleet.restore_links(pairs)
    await wait_for_recovery(fleet)


@scenario
async def datagrams_lost(fleet: SimFleet) -> None:
    fleet.set_datagram_loss(0.3, 0.1)
    await fleet.name_weights("w2")
    await pause(fleet.world, 12 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def machines_freeze(fleet: SimFleet) -> None:
    leader = fleet.leader()
    for name in (leader, "node-5", "worker-1"):
        fleet.freeze(name)
    await pause(fleet.world, 1 * SECOND)
    await fleet.name_weights("w2")
    await wait_for_recovery(fleet)
    for name in (leader, "node-5", "worker-1"):
        fleet.wake(name)
    await wait_for_recovery(fleet)


@scenario
async def disks_fail(fleet: SimFleet) -> None:
    """Stalled, then full, then slow; always the leader's."""
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
async def workers_come_and_go(fleet: SimFleet) -> None:
    await fleet.mark_leaving("worker-1", "worker-2", "worker-4")
    await pause(fleet.world, 7 * SECOND)
    fleet.kill("worker-1")
    fleet.kill("worker-3")
    await pause(fleet.world, 3 * SECOND)
    fleet.start("worker-3")
    fleet.start("worker-1")
    await fleet.clear_leaving("worker-1", "worker-2", "worker-4")
    await wait_for_recovery(fleet)


@scenario
async def platform_against_operators(fleet: SimFleet) -> None:
    """The platform sends its whole list again and again; operators mark workers and name weights at once."""
    list_task = fleet.world.loop.create_task(resend_worker_list(fleet))
    for number in range(3):
        name = f"worker-{number + 1}"
        await fleet.mark_leaving(name)
        await pause(fleet.world, 6 * SECOND)
        await fleet.clear_leaving(name)
    revision = await fleet.weights_revision()
    first, second = (fleet.world.loop.create_task(fleet.name_weights(w, revision)) for w in ("w2", "w3"))
    if sorted([await first, await second]) != ["conflict", "done"]:
        fleet.ledger.breaches.append("two operators named weights at once, and both were told done")
    list_task.cancel()
    await wait_for_recovery(fleet)


async def resend_worker_list(fleet: SimFleet) -> None:
    while True:
        await fleet.set_workers()
        await pause(fleet.world, 300 * MILLI)


@scenario
async def clocks_of_unlike_rate(fleet: SimFleet) -> None:
    """Each machine's clock counts up to 2 % too fast or too slow, while terms, holds, waves and tables run."""
    for name in sorted(fleet.world.machines):
        fleet.world.machine(name).set_rate(fleet.world.chance.uniform(0.98, 1.02))
    pairs = fleet.cut(["node-1"], [*sorted(fleet.cores), *sorted(fleet.nodes)])
    await fleet.mark_leaving("worker-1")
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.name_weights("w2")
    holder = fleet.world.chance.choice(sorted(fleet.nodes)[1:])
    fleet.freeze(holder)
    await pause(fleet.world, 6 * SECOND)
    fleet.restore_links(pairs)
    fleet.wake(holder)
    await pause(fleet.world, 12 * SECOND)
    fleet.kill(fleet.leader(), loses_power=True)
    await fleet.apply({**fleet.marked_description("a"), "tenants": fleet.marked_description("a")["tenants"][1:]})
    await wait_for_recovery(fleet)


@scenario
async def workers_replaced_until_none_is_left(fleet: SimFleet) -> None:
    """Planned: each comes by another name and address before the next one leaves; weights are named meanwhile."""
    fleet.ledger.planned_count += 1
    for number, name in enumerate(fleet.current_workers()):
        new_name = await fleet.add_worker()
        await fleet.wait_until(lambda new_name=new_name: fleet.is_loaded(new_name), f"{new_name} is loaded")  # type: ignore[misc]
        await fleet.mark_leaving(name)
        await pause(fleet.world, 3 * SECOND)
        await fleet.wait_until(lambda name=name: not fleet.worker(name).running_count, f"{name} is empty")  # type: ignore[misc]
        fleet.kill(name)
        fleet.removed_workers.add(name)
        await fleet.set_workers()
        if number % 3 == 1:
            await fleet.name_weights(f"w{number + 1}")
    await wait_for_recovery(fleet)


@scenario
async def two_disks_fail_at_once(fleet: SimFleet) -> None:
    """A majority of disks stalls, then is full, then a digest is cut meanwhile: nothing is acknowledged that is
    not kept, nodes serve on what they know to be current, and all is well once one disk is."""
    names = sorted(fleet.cores, key=lambda n: n != fleet.leader())
    for kind in ("stalled", "full"):
        for name in names[:2]:
            fleet.set_disk(name, kind, True)
        apply_task = fleet.world.loop.create_task(fleet.apply(fleet.marked_description(kind)))
        bump_tasks = [
            fleet.world.loop.create_task(
                fleet.nodes["node-1"].listener.bump(
                    f"tenant:{fleet.deployment.tenant_names[0]}", fleet.deployment.line, part
                )
            )
            for part in range(60)
        ]
        await pause(fleet.world, fleet.world.chance.randrange(2 * SECOND, 5 * SECOND))
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
async def workers_crash(fleet: SimFleet) -> None:
    """One after another, each with jobs running on it."""
    for number in range(8):
        name = f"worker-{number % fleet.worker_count + 1}"
        fleet.kill(name)
        await pause(fleet.world, 1 * SECOND)
        fleet.start(name)
        await pause(fleet.world, 1 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def most_workers_down(fleet: SimFleet) -> None:
    names = [f"worker-{n + 1}" for n in range(fleet.worker_count - 2)]
    for name in names:
        fleet.kill(name)
    await wait_for_recovery(fleet)
    for name in names:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def half_the_workers_down(fleet: SimFleet) -> None:
    """As many as the rest can do without: it serves all, while they are gone."""
    names = fleet.current_workers()
    fleet.world.chance.shuffle(names)
    for name in names[: len(names) // 2]:
        fleet.kill(name)
    await wait_for_recovery(fleet)
    for name in names[: len(names) // 2]:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def store_goes_and_comes_empty(fleet: SimFleet) -> None:
    fleet.kill("store")
    await wait_for_recovery(fleet)
    fleet.start("store")
    await wait_for_recovery(fleet)


@scenario
async def bumps_race(fleet: SimFleet) -> None:
    """Many nodes bump the same parts while datagrams are lost and leaders change."""
    fleet.set_datagram_loss(0.3, 0.2)
    owner = f"tenant:{fleet.deployment.tenant_names[0]}"
    tasks = []
    for number in range(30):
        node = fleet.nodes[fleet.world.chance.choice(sorted(fleet.nodes))]
        part = fleet.world.chance.randrange(1, 4)
        tasks.append(fleet.world.loop.create_task(node.listener.bump(owner, fleet.deployment.line, part)))
        await pause(fleet.world, 150 * MILLI)
        if number in (8, 20):
            fleet.kill(fleet.leader(), loses_power=True)
            await pause(fleet.world, 2 * SECOND)
            for name in sorted(fleet.cores):
                if not fleet.world.machine(name).is_alive:
                    fleet.start(name)
    given_results = [await t for t in tasks]
    if None in given_results:
        fleet.ledger.breaches.append(f"{given_results.count(None)} bumps were never answered")
    fleet.set_datagram_loss(0.0)
    await wait_for_recovery(fleet)


@scenario
async def planned_restarts(fleet: SimFleet) -> None:
    """Every core, node and worker is restarted in turn, and a description and weights land meanwhile."""
    for number, name in enumerate([*sorted(fleet.cores), *sorted(fleet.nodes), "worker-1", "worker-2"]):
        await fleet.stop_planned(name)
        await pause(fleet.world, 300 * MILLI)
        fleet.start(name)
        if name.startswith("worker-"):
            await fleet.clear_leaving(name)
        await pause(fleet.world, 1_500 * MILLI)
        if number == 3:
            await fleet.apply(fleet.marked_description("a"))
        if number == 5:
            await fleet.name_weights("w2")
    await wait_for_recovery(fleet)


@scenario
async def one_tenant_bursts(fleet: SimFleet) -> None:
    """A large tenant sends many times what the workers bear; small ones must go on."""
    bursting_tenant = fleet.deployment.tenant_names[0]
    description = fleet.marked_description("a")
    description["entries"][0].update(concurrency=2, queueLimit=16)
    await fleet.apply(description)
    await pause(fleet.world, 3 * SECOND)
    start_micros = fleet.world.now()
    fleet.start_burst(bursting_tenant, 300.0, fleet.deployment.long_kind)
    await pause(fleet.world, 5 * SECOND)
    fleet.end_bursts()
    end_micros = fleet.world.now()
    await wait_for_recovery(fleet)
    others = [
        t
        for t in fleet.ledger.jobs.values()
        if t.tenant != bursting_tenant and start_micros + SECOND < t.sent_micros < end_micros and t.outcome != "open"
    ]
    served_count = sum(t.outcome == "done" for t in others)
    refused_count = sum(t.outcome in ("tenant_busy", "overloaded") for t in fleet.ledger.jobs.values())
    if not refused_count:
        fleet.ledger.breaches.append("the burst was no overload")
    if served_count < 0.95 * len(others):
        fleet.ledger.breaches.append(f"small tenants starved: {served_count} of {len(others)} served")


@scenario
async def description_grows(fleet: SimFleet) -> None:
    description = fleet.marked_description("a")
    for number in range(3_000):
        description["entries"].append(
            {
                "name": f"more-{number}",
                "line": fleet.deployment.line,
                "tenants": ["*"],
                "kinds": [f"kind-{number}"],
                "service": "models",
            }
        )
    if await fleet.apply(description) != "done":
        fleet.ledger.breaches.append("a large description was not taken")
    await pause(fleet.world, 4 * SECOND)
    await fleet.apply({**fleet.marked_description("b"), "lines": []})
    await wait_for_recovery(fleet)


@scenario
async def digest_catches_up(fleet: SimFleet) -> None:
    """A core is away for so long that the log it needs is gone; another joins with nothing."""
    behind = next(n for n in sorted(fleet.cores) if n != fleet.leader())
    fleet.kill(behind, loses_power=True)
    leader_node = fleet.nodes["node-1"]
    owner = f"tenant:{fleet.deployment.tenant_names[0]}"
    for number in range(1_200):
        fleet.world.machine("node-1").task_group.start(leader_node.listener.bump(owner, fleet.deployment.line, number))
        if number % 60 == 0:
            await pause(fleet.world, 200 * MILLI)
    fleet.start(behind)
    if fleet.cores[fleet.leader()].raft.log.base_index == 0:
        fleet.ledger.breaches.append("no log was ever cut")
    await fleet.wait_until(
        lambda: (
            hasattr(fleet.cores[behind], "raft")
            and bool(fleet.leader())
            and fleet.cores[behind].fleet.index >= fleet.cores[fleet.leader()].raft.commit_index - 50
        ),
        f"{behind} is level again",
    )
    await wait_for_recovery(fleet)
    restored_fleet, leader_fleet = fleet.cores[behind].fleet, fleet.cores[fleet.leader()].fleet
    if restored_fleet.parts != leader_fleet.parts:
        fleet.ledger.breaches.append(f"{behind} holds other part revisions than the leader")


@scenario
async def old_disk_returns(fleet: SimFleet) -> None:
    """A core is replaced; then its old disk is found and started again beside the new one."""
    gone = next(n for n in sorted(fleet.cores) if n != fleet.leader())
    gone_identity = fleet.cores[gone].identity
    fleet.kill(gone)
    # In another area the old one would rightly vote again once it is level: votes are spread over the areas.
    fleet.add_core("core-4", like=gone)
    await fleet.wait_until(
        lambda: (
            fleet.leader() != ""
            and gone_identity not in fleet.cores[fleet.leader()].raft.voters()
            and len(fleet.cores[fleet.leader()].raft.voters()) == 3
        ),
        "core-4 replaces it",
        30 * SECOND,
    )
    leader = fleet.leader()
    epoch = fleet.cores[leader].raft.term
    fleet.start(gone)
    await pause(fleet.world, 6 * SECOND)
    raft = fleet.cores[fleet.leader()].raft
    if gone_identity in raft.voters() or raft.term != epoch:
        fleet.ledger.breaches.append(f"the old disk had a say: epoch {epoch} to {raft.term}")
    await wait_for_recovery(fleet)


@scenario
async def seeds_swapped(fleet: SimFleet) -> None:
    """No original core is left; running nodes never notice, and a new node joins by the new seeds."""
    await disk_lost_after_yes(fleet)
    fleet.add_node("node-10")
    await pause(fleet.world, 4 * SECOND)
    if not fleet.nodes["node-10"].view_replica.is_current():
        fleet.ledger.breaches.append("a new node did not come in by the new seeds")
    await wait_for_recovery(fleet)


@scenario
async def reports_late_or_never(fleet: SimFleet) -> None:
    for number in range(fleet.worker_count):
        fleet.worker(f"worker-{number + 1}").log.is_silent = True
    await fleet.name_weights("w2")
    await pause(fleet.world, 8 * SECOND)
    for number in range(fleet.worker_count):
        fleet.worker(f"worker-{number + 1}").log.is_silent = False
    await wait_for_recovery(fleet)


async def report_changed_parts(fleet: SimFleet, limit_micros: int) -> list[str]:
    """Workers and the store tell of parts that changed; once, twice, and from another one late."""
    chance = fleet.world.chance
    hot_keys = [k for _, r in fleet.ledger.runs[-200:] for k in r.reused_keys]
    keys = sorted(set(hot_keys), key=lambda k: (-hot_keys.count(k), k))[:3]
    reporting_workers = [fleet.worker(name) for name in fleet.current_workers()]
    for key in keys:
        holding_workers = [t for t in reporting_workers if key in t.cache] or reporting_workers
        first, late = holding_workers[0], holding_workers[-1]
        for _ in range(chance.choice([1, 2])):
            first.log.append_event("changed", key)
        store = fleet.back_ends["store:2"].model
        assert isinstance(store, StoreModel)
        fleet.world.loop.call_later(chance.uniform(0.1, 1.5), store.log.append_event, "changed", key)
        fleet.world.loop.call_later(chance.uniform(2.0, 4.0), late.log.append_event, "changed", key)
        fleet.ledger.changes.append((key, fleet.world.now(), limit_micros))
    if not keys:
        fleet.ledger.breaches.append("no part was in use that could change")
    return keys


@scenario
async def parts_change(fleet: SimFleet) -> None:
    """What a worker tells as changed is bumped, once or more, and its old copies are used no more."""
    await pause(fleet.world, 4 * SECOND)
    await report_changed_parts(fleet, 2 * SECOND)
    await pause(fleet.world, 4 * SECOND)
    # Then with a holder that sleeps over the report, a leader that dies, and datagrams lost: tables tell it,
    # and a holder's term, the next one's first poll and the table's lifetime bound how late.
    fleet.set_datagram_loss(0.3)
    for name in sorted(fleet.nodes)[:2]:
        fleet.freeze(name)
    await report_changed_parts(fleet, 45 * SECOND)
    await pause(fleet.world, 5 * SECOND)
    fleet.kill(fleet.leader(), loses_power=True)
    for name in sorted(fleet.nodes)[:2]:
        fleet.wake(name)
    await pause(fleet.world, 40 * SECOND)
    fleet.set_datagram_loss(0.0)
    await wait_for_recovery(fleet)
    volumes = fleet.cores[fleet.leader()].fleet.parts.values()
    if not any(revision > 1 for parts in volumes for revision in parts.values()):
        fleet.ledger.breaches.append("no report ever raised a revision")


@scenario
async def worker_links_slow(fleet: SimFleet) -> None:
    for address, back_end in sorted(fleet.back_ends.items()):
        if address.startswith("worker-"):
            link = fleet.worker(back_end.machine.name).link
            assert isinstance(link, SimCacheFetcher)
            link.slowness = 50
    await pause(fleet.world, 6 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def quorum_lost(fleet: SimFleet) -> None:
    """Two of three cores are gone for a while: nodes must refuse, and serve again after."""
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
    """Two core disks are gone at once: nodes refuse until an operator rescues the third."""
    await fleet.apply(fleet.marked_description("a"))
    left, *lost = [fleet.leader(), *(n for n in sorted(fleet.cores) if n != fleet.leader())]
    for name in lost:
        fleet.destroy_core(name)
    await pause(fleet.world, 3 * SECOND)
    fleet.kill(left)
    identity = fleet.cores[left].identity
    machine = fleet.world.machine(left)
    machine.boot()
    rescue = QuorumLossRecovery(machine.disk)
    for wrong_arguments in ((identity, "yes"), ("another", REQUIRED_CONSENT)):
        if not isinstance(await rescue.run(wrong_arguments[0], f"{left}:1", wrong_arguments[1]), Err):
            fleet.ledger.breaches.append("a rescue ran by accident")
    (await rescue.run(identity, f"{left}:1", REQUIRED_CONSENT)).unwrap()
    fleet.start(left)
    fleet.add_core("core-4")
    fleet.add_core("core-5")
    await fleet.wait_until(
        lambda: fleet.leader() != "" and len(fleet.cores[fleet.leader()].raft.voters()) == 3, "three vote again"
    )
    await fleet.apply(fleet.marked_description("b"))
    await wait_for_recovery(fleet)


@scenario
async def mixed_faults(fleet: SimFleet) -> None:
    """Random faults of every kind, one after another, each ended before the next."""
    chance = fleet.world.chance
    weights_number = 2
    for number in range(6):
        pick = chance.choice(["kill", "freeze", "cut", "apply", "weights", "power", "loss"])
        name = chance.choice([n for n in sorted(fleet.world.machines) if n not in ("store", "desk")])
        fleet.world.note(f"draws {pick} {name}")
        if pick in ("kill", "power"):
            fleet.kill(name, loses_power=pick == "power")
            await pause(fleet.world, chance.randrange(500 * MILLI, 4 * SECOND))
            fleet.start(name)
        elif pick == "freeze":
            fleet.freeze(name)
            await pause(fleet.world, chance.randrange(500 * MILLI, 6 * SECOND))
            fleet.wake(name)
        elif pick == "cut":
            fleet.cut([name], sorted(fleet.world.machines), both_ways=chance.random() < 0.6)
            await pause(fleet.world, chance.randrange(500 * MILLI, 5 * SECOND))
            fleet.heal()
        elif pick == "apply":
            await fleet.apply(fleet.marked_description(str(number)))
        elif pick == "weights":
            await fleet.name_weights(f"w{weights_number}")
            weights_number += 1
        else:
            fleet.set_datagram_loss(chance.choice([0.0, 0.1, 0.3]))
        await pause(fleet.world, chance.randrange(200 * MILLI, 3 * SECOND))
    fleet.set_datagram_loss(0.0)
    await wait_for_recovery(fleet)


@scenario
async def overlapping_faults(fleet: SimFleet) -> None:
    """Fourteen strikes of all kinds that overlap, and a last one that stays on."""
    await SimFaultInjector(fleet).inject_all()
    await wait_for_recovery(fleet)


for control_name, control_scenario in CONTROL_SCENARIOS.items():
    SCENARIOS[control_name] = control_scenario.run


def build_fleet(world: World, name: str, deployment_name: str, node_count: int) -> SimFleet:
    """The deployment whole; for the control side's days as many cores as they say, and little beside these."""
    deployment = DEPLOYMENTS[deployment_name]
    control = CONTROL_SCENARIOS.get(name)
    if control is None:
        return SimFleet(world, deployment, node_count)
    deployment = dataclasses.replace(deployment, core_count=control.core_count)
    return SimFleet(world, deployment, NODE_COUNT, WORKER_COUNT, control.digest_every)


def run_scenario(
    name: str,
    deployment_name: str,
    seed: int,
    prepare: Callable[[SimFleet], None] = lambda fleet: None,
    node_count: int = 0,
    record_path: str = "",
    excluded_faults: frozenset[int] = frozenset(),
) -> tuple[Ledger, World]:
    async def play(world: World) -> tuple[Ledger, World]:
        fleet = build_fleet(world, name, deployment_name, node_count)
        fleet.excluded_faults = excluded_faults
        prepare(fleet)
        await fleet.up()
        start_micros = world.now()
        if name not in CONTROL_SCENARIOS:
            fleet.start_load(JOBS_PER_SECOND)
        fleet.start_state_reads()
        await pause(world, 2 * SECOND)
        await SCENARIOS[name](fleet)
        await fleet.end_load()
        if record_path:
            build_recording(fleet, start_micros).write(record_path)
        for machine in world.machines.values():
            fleet.ledger.breaches.extend(f"{machine.name}: a task ended by {f!r}" for f in machine.task_group.faults)
        return fleet.ledger, world

    outcome: tuple[Ledger, World] = run_in_virtual_time(seed, play)
    return outcome
