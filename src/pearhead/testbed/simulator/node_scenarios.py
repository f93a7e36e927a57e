"""Scenarios (§9.7) with faults of nodes (routers), of their links and of their load."""

from __future__ import annotations

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    freeze_nodes_on_connect,
    scenario,
    wait_for_recovery,
    withdraw_tenant_key,
)
from pearhead.testbed.simulator.simulated_clients import JOB_CONNECTION
from pearhead.testbed.simulator.world import pause


@scenario
async def calm(fleet: SimFleet) -> None:
    """No fault at all."""
    await pause(fleet.world, 5 * SECOND)
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
async def node_sees_no_workers(fleet: SimFleet) -> None:
    """A one-way partition: answers of workers don't reach one node."""
    workers = [n for n in sorted(fleet.world.machines) if n.startswith("worker-")]
    fleet.cut(workers, ["node-4"], both_ways=False)
    await wait_for_recovery(fleet)
    fleet.heal()
    await wait_for_recovery(fleet)


@scenario
async def datagrams_lost(fleet: SimFleet) -> None:
    """30% of datagrams are lost and 10% duplicated, while the weights change."""
    fleet.set_datagram_loss(0.3, 0.1)
    await fleet.name_weights("w2")
    await pause(fleet.world, 12 * SECOND)
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
