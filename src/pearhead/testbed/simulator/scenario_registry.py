"""Registry of the scenarios (§9.7), and what several of them do."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import Any

from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.ledger import RECOVERY_LIMIT_MICROS
from pearhead.testbed.simulator.world import Machine, pause

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


def machines_in_area(fleet: SimFleet, area: str) -> list[str]:
    """Names of all machines in an area, sorted."""
    return [n for n in sorted(fleet.world.machines) if fleet.area_of(n) == area]


def isolate_machines(fleet: SimFleet, names: list[str]) -> None:
    """Cuts these machines off from all others, but not from one another."""
    fleet.cut(names, [n for n in sorted(fleet.world.machines) if n not in names])
