"""Scenarios (§9.7) with faults of workers, and with new weights."""

from __future__ import annotations

from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    freeze_nodes_on_connect,
    scenario,
    wait_for_recovery,
)
from pearhead.testbed.simulator.simulated_clients import COMMAND_CONNECTION, SimCacheTransfer
from pearhead.testbed.simulator.world import pause


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
async def worker_freezes(fleet: SimFleet) -> None:
    """A worker freezes: only its process, so that its kernel still accepts connections, or its whole machine."""
    name = f"worker-{fleet.world.rng.randrange(fleet.worker_count) + 1}"
    fleet.world.machine(name).kernel_accepts_connections = fleet.world.rng.random() < 0.7
    fleet.freeze(name)
    await wait_for_recovery(fleet)
    fleet.wake(name)
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
async def worker_links_slow(fleet: SimFleet) -> None:
    """Workers fetch cached parts 50 times more slowly."""
    for address, back_end in sorted(fleet.back_ends.items()):
        if address.startswith("worker-"):
            cache_transfer = fleet.worker(back_end.machine.name).cache_transfer
            assert isinstance(cache_transfer, SimCacheTransfer)
            cache_transfer.slowness = 50
    await pause(fleet.world, 6 * SECOND)
    await wait_for_recovery(fleet)
