"""Scenarios (§9.7) with faults of many machines, overlapping faults, and faults that last to the end."""

from __future__ import annotations

from collections.abc import Callable

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fault_injector import SimFaultInjector
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    SCENARIOS,
    isolate_machines,
    machines_in_area,
    scenario,
    wait_for_recovery,
    withdraw_tenant_key,
)
from pearhead.testbed.simulator.world import pause


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


def cut_area_power(fleet: SimFleet, area: str) -> None:
    """Lets all machines in an area lose power."""
    for name in machines_in_area(fleet, area):
        fleet.kill(name, loses_power=True)


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
