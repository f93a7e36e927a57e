"""Scenarios (§9.7): each causes one kind of failure in a fleet under load, whose ledger then finds breaches."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from pearhead.runtime.clock import SECOND
from pearhead.testbed.deployment import DEPLOYMENTS
from pearhead.testbed.simulator import (
    cache_scenarios,
    core_scenarios,
    fleet_scenarios,
    node_scenarios,
    operator_scenarios,
    worker_scenarios,
)
from pearhead.testbed.simulator.control_scenarios import CONTROL_SCENARIOS, NODE_COUNT, WORKER_COUNT
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.ledger import Ledger
from pearhead.testbed.simulator.recording import build_recording
from pearhead.testbed.simulator.scenario_registry import SCENARIOS
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

__all__ = ["SCENARIOS", "build_fleet", "run_scenario"]

JOBS_PER_SECOND = 25.0

# Importing them registers their scenarios.
SCENARIO_MODULES = (
    core_scenarios,
    node_scenarios,
    worker_scenarios,
    cache_scenarios,
    operator_scenarios,
    fleet_scenarios,
)

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
