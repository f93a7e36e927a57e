"""Scenarios (§9.7) about cached prompt parts: the store, revisions and reports."""

from __future__ import annotations

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    scenario,
    wait_for_recovery,
)
from pearhead.testbed.simulator.world import pause
from pearhead.testbed.workermodel import StoreModel


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
