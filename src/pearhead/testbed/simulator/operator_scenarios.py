"""Scenarios (§9.7) in which operators and the platform change the fleet under load."""

from __future__ import annotations

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.scenario_registry import (
    scenario,
    wait_for_recovery,
    withdraw_tenant_key,
)
from pearhead.testbed.simulator.world import pause
from pearhead.testbed.workermodel import ApplicationModel


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
