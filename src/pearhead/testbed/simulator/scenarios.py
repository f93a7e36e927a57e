"""Scenarios (§9.7): each causes one kind of failure in a fleet under load, whose ledger then finds breaches."""

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
from pearhead.testbed.simulator.simulated_clients import COMMAND_CONNECTION, JOB_CONNECTION, SimCacheTransfer
from pearhead.testbed.simulator.world import Machine, World, pause, run_in_virtual_time
from pearhead.testbed.workermodel import ApplicationModel, StoreModel

JOBS_PER_SECOND = 25.0
ScenarioBody = Callable[[SimFleet], Awaitable[None]]
SCENARIOS: dict[str, ScenarioBody] = {}


def scenario(body: ScenarioBody) -> ScenarioBody:
    """Registers a scenario under its function's name, with hyphens for underscores."""
    SCENARIOS[body.__name__.replace("_", "-")] = body
    return body


async def wait_for_recovery(fleet: SimFleet) -> None:
    """Waits for 15 s after a fault began or ended.

    Jobs sent from 12 s after that on must be served, also while the fault lasts; the ledger checks them.
    """
    await pause(fleet.world, RECOVERY_LIMIT_MICROS + 3 * SECOND)


def expect_no_node_serves(fleet: SimFleet) -> None:
    """Records a breach if any node takes its view for current, and so serves."""
    if any(n.view_replica.is_current() for n in fleet.nodes.values()):
        fleet.ledger.breaches.append("a node serves although it reaches no majority of the cores")


@scenario
async def calm(fleet: SimFleet) -> None:
    """No fault at all."""
    await pause(fleet.world, 5 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def leader_killed(fleet: SimFleet) -> None:
    """The leading core is killed, and started again."""
    name = fleet.leader()
    fleet.kill(name)
    await wait_for_recovery(fleet)
    fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def node_killed(fleet: SimFleet) -> None:
    """Two nodes are killed, and started again."""
    fleet.kill("node-1")
    fleet.kill("node-2")
    await wait_for_recovery(fleet)
    fleet.start("node-1")
    fleet.start("node-2")
    await wait_for_recovery(fleet)


@scenario
async def all_killed(fleet: SimFleet) -> None:
    """All cores and nodes lose power right after a description is acknowledged."""
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
    """All machines, also workers and the store, lose power right after a weights change.

    They start again in random order within a second.
    """
    await fleet.apply(fleet.marked_description("a"))
    await fleet.name_weights("w2")
    names = sorted(fleet.world.machines)
    for name in names:
        fleet.kill(name, loses_power=True)
    await pause(fleet.world, 2 * SECOND)
    fleet.world.rng.shuffle(names)
    for name in names:
        fleet.start(name)
        await pause(fleet.world, SECOND // len(names))
    await wait_for_recovery(fleet)


@scenario
async def all_workers_killed(fleet: SimFleet) -> None:
    """All workers lose power at once, with up to three nodes that hold their leases.

    The weights change while they are down.
    """
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
async def node_isolated(fleet: SimFleet) -> None:
    """A node is cut off from all machines while a tenant is withdrawn."""
    all_machine_names = sorted(fleet.world.machines)
    fleet.world.trace_event("isolates node-3")
    fleet.cut(["node-3"], all_machine_names)
    description = fleet.marked_description("a")
    withdrawn = fleet.deployment.tenant_names[-1]
    description["tenants"] = [t for t in description["tenants"] if t["name"] != withdrawn]
    await fleet.apply(description)
    fleet.ledger.tenant_withdrawals.append((withdrawn, fleet.world.now()))
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


async def withdraw_tenant_key(fleet: SimFleet, tenant_name: str, description: dict[str, Any] | None = None) -> None:
    """Applies a description without this tenant, and records when it was acknowledged.

    The tenant is removed from the given `description` in place; by default a newly marked one is used.
    """
    description = description or fleet.marked_description("withdrawn")
    description["tenants"] = [t for t in description["tenants"] if t["name"] != tenant_name]
    await fleet.apply(description)
    fleet.ledger.tenant_withdrawals.append((tenant_name, fleet.world.now()))


def freeze_nodes_on_connect(fleet: SimFleet, purpose: str, names: list[str]) -> list[tuple[str, str]]:
    """Makes each of these nodes freeze when its next connection of this purpose is established, before a byte is sent.

    Returns a list that fills as it happens, with the names of the node and of the machine that it connected to.
    """
    frozen_connections: list[tuple[str, str]] = []

    def freeze_on_connect(name: str, worker: Machine) -> None:
        fleet.freeze(name)
        frozen_connections.append((name, worker.name))

    for name in names:
        fleet.world.connect_hooks[name, purpose] = functools.partial(freeze_on_connect, name)
    return frozen_connections


@scenario
async def nodes_freeze_as_they_connect(fleet: SimFleet) -> None:
    """Half of the nodes freeze with established connections on which no byte was sent.

    Before they wake and may send, a tenant's key is withdrawn, workers are marked as leaving, and the weights change.
    """
    names = sorted(fleet.nodes)[: len(fleet.nodes) // 2]
    frozen_connections = freeze_nodes_on_connect(fleet, JOB_CONNECTION, names)
    await fleet.wait_until(lambda: len(frozen_connections) == len(names), "all nodes freeze as they connect")
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.mark_leaving(*sorted({worker for _, worker in frozen_connections if worker != "desk"})[:2])
    await fleet.name_weights("w2")
    for name in names:
        await pause(fleet.world, 4 * SECOND)
        fleet.wake(name)
    await wait_for_recovery(fleet)


@scenario
async def holder_freezes_as_it_commands(fleet: SimFleet) -> None:
    """Lease holders freeze while they connect to a worker, before the last check of their lease and the command.

    They wake when others hold their workers' leases.
    """
    # Nodes with the most leases first: one without a lease sends no command, so it would never freeze.
    names = sorted(fleet.nodes, key=lambda name: (-len(fleet.nodes[name].lease_controller.leases), name))
    frozen_connections = freeze_nodes_on_connect(fleet, COMMAND_CONNECTION, names[: len(names) - 2])
    await fleet.name_weights("w2")
    await fleet.wait_until(lambda: bool(frozen_connections), "a lease holder freezes as it connects to a worker")
    await pause(fleet.world, fleet.world.rng.randrange(5 * SECOND, 10 * SECOND))
    fleet.world.connect_hooks.clear()
    for name, _ in frozen_connections:
        fleet.wake(name)
    await wait_for_recovery(fleet)


@scenario
async def entries_move_while_jobs_queue(fleet: SimFleet) -> None:
    """While jobs queue, a key is withdrawn, then their entry excludes tenants, and then it uses another service."""
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
    """A node reaches callers and workers, but neither cores nor other nodes.

    Meanwhile a tenant is withdrawn, workers are marked as leaving, and the weights change.
    """
    name = fleet.world.rng.choice(sorted(fleet.nodes))
    fleet.world.trace_event(f"cuts {name} off from cores and nodes")
    fleet.cut([name], [*sorted(fleet.cores), *sorted(fleet.nodes)])
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.mark_leaving("worker-1", "worker-2")
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
async def worker_freezes(fleet: SimFleet) -> None:
    """A worker freezes: only its process, so that its kernel still accepts connections, or its whole machine."""
    name = f"worker-{fleet.world.rng.randrange(fleet.worker_count) + 1}"
    fleet.world.machine(name).kernel_accepts_connections = fleet.world.rng.random() < 0.7
    fleet.freeze(name)
    await wait_for_recovery(fleet)
    fleet.wake(name)
    await wait_for_recovery(fleet)


def register_final_fault(kind: str, inject_fault: Callable[[SimFleet, str], None]) -> None:
    """Registers the scenario `ends-on-KIND`: a single fault that lasts to the end, while the rest must serve.

    The first word of `kind` is the target's role; `inject_fault` gets the fleet and the target's name.
    """

    async def body(fleet: SimFleet) -> None:
        await fleet.name_weights("w2")
        await pause(fleet.world, fleet.world.rng.randrange(15 * SECOND))
        target_index = fleet.world.rng.randrange(100)
        names = {
            "leader": [fleet.leader() or "core-1"],
            "node": sorted(fleet.nodes),
            "store": ["store"],
            "worker": [f"worker-{n + 1}" for n in range(fleet.worker_count)],
            "core": sorted(fleet.cores),
            "area": list(fleet.deployment.areas),
        }[kind.split("-")[0]]
        inject_fault(fleet, names[target_index % len(names)])
        await wait_for_recovery(fleet)

    SCENARIOS[f"ends-on-{kind}"] = body


def machines_in_area(fleet: SimFleet, area: str) -> list[str]:
    """Names of all machines in an area, sorted."""
    return [n for n in sorted(fleet.world.machines) if fleet.area_of(n) == area]


def cut_area_power(fleet: SimFleet, area: str) -> None:
    """Lets all machines in an area lose power."""
    for name in machines_in_area(fleet, area):
        fleet.kill(name, loses_power=True)


def isolate_machines(fleet: SimFleet, names: list[str]) -> None:
    """Cuts these machines off from all others, but not from one another."""
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
    """A one-way partition: answers of workers don't reach one node."""
    workers = [n for n in sorted(fleet.world.machines) if n.startswith("worker-")]
    fleet.cut(workers, ["node-4"], both_ways=False)
    await wait_for_recovery(fleet)
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
async def operators_race(fleet: SimFleet) -> None:
    """Two operators apply descriptions on the same base at once, and exactly one of them must succeed.

    The leader is killed after the second of four rounds.
    """
    tasks = []
    for number in range(4):
        base = fleet.description_revision
        for operator in ("x", "y"):
            description = fleet.marked_description(f"{operator}{number}")
            tasks.append(fleet.world.loop.create_task(fleet.apply(description, base)))
        statuses = [await t for t in tasks[-2:]]
        if sorted(statuses) != ["conflict", "done"]:
            fleet.ledger.breaches.append(f"two concurrent operators got {statuses}")
        if number == 1:
            fleet.kill(fleet.leader())
    for name in sorted(fleet.cores):
        if not fleet.world.machine(name).is_alive:
            fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def weights_under_load(fleet: SimFleet) -> None:
    """The weights change three times; before the last change a worker is killed."""
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
    """Each weights change comes before the roll-out of the previous one is over.

    Two nodes are cut off from cores and other nodes during the first two changes.
    """
    rng = fleet.world.rng
    names = sorted(fleet.nodes)[:2]
    fleet.world.trace_event(f"cuts {names} off from cores and nodes")
    pairs = fleet.cut(names, [*sorted(fleet.cores), *sorted(fleet.nodes)])
    for number in range(4):
        await fleet.name_weights(f"w{number + 2}")
        await pause(fleet.world, rng.randrange(4 * SECOND, 8 * SECOND))
        if number == 1:
            fleet.restore_links(pairs)
    await wait_for_recovery(fleet)


@scenario
async def datagrams_lost(fleet: SimFleet) -> None:
    """30% of datagrams are lost and 10% duplicated, while the weights change."""
    fleet.set_datagram_loss(0.3, 0.1)
    await fleet.name_weights("w2")
    await pause(fleet.world, 12 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def machines_freeze(fleet: SimFleet) -> None:
    """The leader, a node and a worker freeze at once, and the weights change."""
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
async def workers_come_and_go(fleet: SimFleet) -> None:
    """Workers are marked as leaving, killed, started again, and unmarked."""
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
    """The platform sends its full worker list again and again while operators mark workers.

    Then two operators change the weights at once, and exactly one of them must succeed.
    """
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
    """Sends the platform's full worker list every 300 ms, until cancelled."""
    while True:
        await fleet.set_workers()
        await pause(fleet.world, 300 * MILLI)


@scenario
async def clocks_of_unlike_rate(fleet: SimFleet) -> None:
    """Each machine's clock runs up to 2% too fast or too slow.

    That affects view terms, worker leases, roll-out waves and revision tables, which all run during other faults.
    """
    for name in sorted(fleet.world.machines):
        fleet.world.machine(name).set_rate(fleet.world.rng.uniform(0.98, 1.02))
    pairs = fleet.cut(["node-1"], [*sorted(fleet.cores), *sorted(fleet.nodes)])
    await fleet.mark_leaving("worker-1")
    await withdraw_tenant_key(fleet, fleet.deployment.tenant_names[0])
    await fleet.name_weights("w2")
    holder = fleet.world.rng.choice(sorted(fleet.nodes)[1:])
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
    """All workers are replaced as planned, one by one.

    Each new one has another name and address, and is loaded before the old one leaves; meanwhile the weights change.
    """
    fleet.ledger.planned_operation_count += 1
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
async def workers_crash(fleet: SimFleet) -> None:
    """Workers are killed one after another, each while it runs jobs."""
    for number in range(8):
        name = f"worker-{number % fleet.worker_count + 1}"
        fleet.kill(name)
        await pause(fleet.world, 1 * SECOND)
        fleet.start(name)
        await pause(fleet.world, 1 * SECOND)
    await wait_for_recovery(fleet)


@scenario
async def most_workers_down(fleet: SimFleet) -> None:
    """All but two workers are down."""
    names = [f"worker-{n + 1}" for n in range(fleet.worker_count - 2)]
    for name in names:
        fleet.kill(name)
    await wait_for_recovery(fleet)
    for name in names:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def half_the_workers_down(fleet: SimFleet) -> None:
    """Half of the workers are down; the rest has capacity for all jobs, and must serve them meanwhile."""
    names = fleet.current_workers()
    fleet.world.rng.shuffle(names)
    for name in names[: len(names) // 2]:
        fleet.kill(name)
    await wait_for_recovery(fleet)
    for name in names[: len(names) // 2]:
        fleet.start(name)
    await wait_for_recovery(fleet)


@scenario
async def store_goes_and_comes_empty(fleet: SimFleet) -> None:
    """The store of cached parts is killed, and starts again without content."""
    fleet.kill("store")
    await wait_for_recovery(fleet)
    fleet.start("store")
    await wait_for_recovery(fleet)


@scenario
async def bumps_race(fleet: SimFleet) -> None:
    """Many nodes raise the revisions of the same parts, while datagrams are lost and leaders change."""
    fleet.set_datagram_loss(0.3, 0.2)
    owner = f"tenant:{fleet.deployment.tenant_names[0]}"
    tasks = []
    for number in range(30):
        node = fleet.nodes[fleet.world.rng.choice(sorted(fleet.nodes))]
        part = fleet.world.rng.randrange(1, 4)
        tasks.append(fleet.world.loop.create_task(node.revision_listener.bump(owner, fleet.deployment.line, part)))
        await pause(fleet.world, 150 * MILLI)
        if number in (8, 20):
            fleet.kill(fleet.leader(), loses_power=True)
            await pause(fleet.world, 2 * SECOND)
            for name in sorted(fleet.cores):
                if not fleet.world.machine(name).is_alive:
                    fleet.start(name)
    bump_results = [await t for t in tasks]
    if None in bump_results:
        fleet.ledger.breaches.append(f"{bump_results.count(None)} bumps were never answered")
    fleet.set_datagram_loss(0.0)
    await wait_for_recovery(fleet)


@scenario
async def planned_restarts(fleet: SimFleet) -> None:
    """Every core, every node and two workers restart in turn; the description and the weights change meanwhile."""
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
    """One large tenant sends many times what the workers can serve.

    Of the other tenants' jobs at least 95% must be served during the burst.
    """
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
        fleet.ledger.breaches.append("the burst caused no overload")
    if served_count < 0.95 * len(others):
        fleet.ledger.breaches.append(f"small tenants starved: {served_count} of {len(others)} served")


@scenario
async def description_grows(fleet: SimFleet) -> None:
    """A description with 3,000 more entries is applied, then one without lines."""
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
        fleet.ledger.breaches.append("a large description was not accepted")
    await pause(fleet.world, 4 * SECOND)
    await fleet.apply({**fleet.marked_description("b"), "lines": []})
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
async def reports_late_or_never(fleet: SimFleet) -> None:
    """Workers' event logs stay silent while the weights change, and for 8 s after."""
    for number in range(fleet.worker_count):
        fleet.worker(f"worker-{number + 1}").event_log.reports_suppressed = True
    await fleet.name_weights("w2")
    await pause(fleet.world, 8 * SECOND)
    for number in range(fleet.worker_count):
        fleet.worker(f"worker-{number + 1}").event_log.reports_suppressed = False
    await wait_for_recovery(fleet)


async def report_changed_parts(fleet: SimFleet, limit_micros: int) -> list[str]:
    """Lets workers and the store report up to three of the most used parts as changed; returns their keys.

    Each is reported once or twice by one holder, and later by the store and by another holder, if there is one. From
    `limit_micros` after the first report on, no job may run on the old copies; the ledger checks that.
    """
    rng = fleet.world.rng
    hot_keys = [k for _, r in fleet.ledger.runs[-200:] for k in r.reused_keys]
    keys = sorted(set(hot_keys), key=lambda k: (-hot_keys.count(k), k))[:3]
    reporting_workers = [fleet.worker(name) for name in fleet.current_workers()]
    for key in keys:
        holding_workers = [t for t in reporting_workers if key in t.cache] or reporting_workers
        first, late = holding_workers[0], holding_workers[-1]
        for _ in range(rng.choice([1, 2])):
            first.event_log.append_event("changed", key)
        store = fleet.back_ends["store:2"].model
        assert isinstance(store, StoreModel)
        fleet.world.loop.call_later(rng.uniform(0.1, 1.5), store.event_log.append_event, "changed", key)
        fleet.world.loop.call_later(rng.uniform(2.0, 4.0), late.event_log.append_event, "changed", key)
        fleet.ledger.part_changes.append((key, fleet.world.now(), limit_micros))
    if not keys:
        fleet.ledger.breaches.append("no cached part was in use that could be reported as changed")
    return keys


@scenario
async def parts_change(fleet: SimFleet) -> None:
    """Parts that workers report as changed get a new revision, and no job uses old copies any more."""
    await pause(fleet.world, 4 * SECOND)
    await report_changed_parts(fleet, 2 * SECOND)
    await pause(fleet.world, 4 * SECOND)
    # Then with frozen lease holders, a killed leader and lost datagrams. Nodes now learn of the change from the
    # revision tables, so it may take the holder's lease, the next holder's first poll and the table's lifetime.
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
        fleet.ledger.breaches.append("no report of a changed part ever raised a revision")


@scenario
async def worker_links_slow(fleet: SimFleet) -> None:
    """Workers fetch cached parts 50 times more slowly."""
    for address, back_end in sorted(fleet.back_ends.items()):
        if address.startswith("worker-"):
            cache_transfer = fleet.worker(back_end.machine.name).cache_transfer
            assert isinstance(cache_transfer, SimCacheTransfer)
            cache_transfer.slowness = 50
    await pause(fleet.world, 6 * SECOND)
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


@scenario
async def mixed_faults(fleet: SimFleet) -> None:
    """Random faults in turn; each ends before the next one begins, except for a loss of datagrams, which goes on."""
    rng = fleet.world.rng
    weights_number = 2
    for number in range(6):
        fault_kind = rng.choice(["kill", "freeze", "cut", "apply", "weights", "power", "loss"])
        name = rng.choice([n for n in sorted(fleet.world.machines) if n not in ("store", "desk")])
        fleet.world.trace_event(f"draws {fault_kind} {name}")
        if fault_kind in ("kill", "power"):
            fleet.kill(name, loses_power=fault_kind == "power")
            await pause(fleet.world, rng.randrange(500 * MILLI, 4 * SECOND))
            fleet.start(name)
        elif fault_kind == "freeze":
            fleet.freeze(name)
            await pause(fleet.world, rng.randrange(500 * MILLI, 6 * SECOND))
            fleet.wake(name)
        elif fault_kind == "cut":
            fleet.cut([name], sorted(fleet.world.machines), both_ways=rng.random() < 0.6)
            await pause(fleet.world, rng.randrange(500 * MILLI, 5 * SECOND))
            fleet.heal()
        elif fault_kind == "apply":
            await fleet.apply(fleet.marked_description(str(number)))
        elif fault_kind == "weights":
            await fleet.name_weights(f"w{weights_number}")
            weights_number += 1
        else:
            fleet.set_datagram_loss(rng.choice([0.0, 0.1, 0.3]))
        await pause(fleet.world, rng.randrange(200 * MILLI, 3 * SECOND))
    fleet.set_datagram_loss(0.0)
    await wait_for_recovery(fleet)


@scenario
async def overlapping_faults(fleet: SimFleet) -> None:
    """Up to fourteen random faults of all kinds that overlap, and a last one that does not end."""
    await SimFaultInjector(fleet).inject_all()
    await wait_for_recovery(fleet)


for control_name, control_scenario in CONTROL_SCENARIOS.items():
    SCENARIOS[control_name] = control_scenario.run


def build_fleet(world: World, name: str, deployment_name: str, node_count: int) -> SimFleet:
    """Builds the fleet for the scenario `name`.

    It has the deployment's full size; for a control scenario it has the scenario's cores, and few nodes and workers.
    """
    deployment = DEPLOYMENTS[deployment_name]
    control = CONTROL_SCENARIOS.get(name)
    if control is None:
        return SimFleet(world, deployment, node_count)
    deployment = dataclasses.replace(deployment, core_count=control.core_count)
    return SimFleet(world, deployment, NODE_COUNT, WORKER_COUNT, control.entries_per_snapshot)


def run_scenario(
    name: str,
    deployment_name: str,
    seed: int,
    prepare: Callable[[SimFleet], None] = lambda fleet: None,
    node_count: int = 0,
    record_path: str = "",
    excluded_faults: frozenset[int] = frozenset(),
) -> tuple[Ledger, World]:
    """Runs a scenario with this seed on virtual time, and returns its ledger and its world.

    `prepare` gets the fleet before it starts, as mutations need it. `record_path` names a file for a recording of the
    run. `excluded_faults` are numbers of faults that overlapping-faults leaves out.
    """

    async def run_in_world(world: World) -> tuple[Ledger, World]:
        fleet = build_fleet(world, name, deployment_name, node_count)
        fleet.excluded_faults = excluded_faults
        prepare(fleet)
        await fleet.start_all()
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
            fleet.ledger.breaches.extend(
                f"{machine.name}: a task ended by {f!r}" for f in machine.task_group.exceptions
            )
        return fleet.ledger, world

    outcome: tuple[Ledger, World] = run_in_virtual_time(seed, run_in_world)
    return outcome
