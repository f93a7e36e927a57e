"""Growth axes of the capacity measurements (§9.12): measured sizes, target size and fitted figures of each axis."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pearhead.testbed.capacity.job_load import measure_jobs
from pearhead.testbed.capacity.live_fleet import FleetSize
from pearhead.testbed.capacity.live_run import LiveRun, measure_applies, measure_killed_leader
from pearhead.testbed.capacity.part_costs import (
    measure_blocks,
    measure_directory,
    measure_state,
    measure_volumes,
    run_in_own_process,
)
from pearhead.testbed.simulator.measurements import run_measure

Row = dict[str, float]
REAL_NODES = 2
EVENTS_PER_SECOND = 20.0


@dataclass(frozen=True)
class Axis:
    """One dimension along which the fleet, or a single table, grows.

    `run` measures the figures at one of the `sizes`, which are given in `unit`. `target` is the size expected in two
    years. `fitted_figures` maps the name of a figure to whether its fit has a quadratic term.
    """

    sizes: tuple[int, ...]
    unit: str
    target: float
    run: Callable[[int], Row]
    fitted_figures: dict[str, bool]


def run_nodes(nodes: int) -> Row:
    """Runs real cores and two real nodes beside hollow nodes: three applies, then the leader is killed."""
    return LiveRun().run(FleetSize(nodes - REAL_NODES), (measure_applies, measure_killed_leader))


def run_workers(workers: int) -> Row:
    """Runs two real nodes that hold the leases of all workers; each worker reports 20 cached blocks a second."""
    row = LiveRun().run(FleetSize(0, hollow_workers=workers, events_a_second=EVENTS_PER_SECOND), (measure_applies,))
    return {"held by a node": workers / REAL_NODES, **row}


def run_unheld(workers: int) -> Row:
    """Runs 98 hollow nodes and two real ones; the real ones check five times a second who should hold a worker (§7.2).

    Hollow nodes take no leases, so most workers are held by nobody and the figure is the cost of these checks.
    """
    return LiveRun().run(FleetSize(98, hollow_workers=workers, is_unheld=True))


def run_tenants(tenants: int) -> Row:
    """Runs 48 hollow nodes and two real ones with a description of so many tenants: three applies."""
    return LiveRun().run(FleetSize(48, tenants=tenants), (measure_applies,))


def run_lines(lines: int) -> Row:
    """Runs sixteen jobs at a time on a real node and four hollow workers; a job streams `lines` lines of one token."""
    return LiveRun(1.0, 1.0).run(FleetSize(0, 1, hollow_workers=4, lines_a_job=lines), (measure_jobs,))


def run_purge(nodes: int) -> Row:
    """Runs the simulator: every node listens to one volume of 20 parts (§9.9).

    The counts are taken on virtual time, with seed 1.
    """
    return run_measure(("purge", "academy", 1, nodes))


AXES: dict[str, Axis] = {
    "nodes": Axis(
        (12, 50, 100, 200, 350),
        "nodes",
        1_200,
        run_nodes,
        {
            "core, cores": False,
            "core, MB": False,
            "core, descriptors": False,
            "node, cores": False,
            "node, MB": False,
            "node in and out, B/s": False,
            "term questions at a core, a second": False,
            "term in a node, B/s": False,
            "term out a node, B/s": False,
            "hello in a node, B/s": False,
            "hello out a node, B/s": False,
            "apply in force, median ms": False,
            "leader killed to a change in force, ms": False,
        },
    ),
    "workers": Axis(
        (10, 50, 100, 150, 250),
        "workers",
        10_000,
        run_workers,
        {
            "core, cores": False,
            "core, MB": False,
            "node, cores": False,
            "node, MB": False,
            "node out, purge and copies, B/s": False,
            "node out, holds, messages/s": False,
        },
    ),
    "unheld": Axis((10, 25, 50, 100, 200), "workers", 10_000, run_unheld, {"node, cores": False}),
    "tenants": Axis(
        (1, 100, 500, 1_000, 2_000),
        "tenants",
        2_000,
        run_tenants,
        {
            "bytes of an apply a node": False,
            "apply in force, median ms": False,
            "core, MB": False,
            "node, MB": False,
        },
    ),
    "lines": Axis((2, 20, 50, 100, 200), "lines a job", 270, run_lines, {"a job at a node, µs": False}),
    "directory": Axis(
        (12, 50, 100, 200, 400, 800, 1_200),
        "records",
        1_200,
        lambda n: run_in_own_process(measure_directory, n),
        {
            "members, µs": False,
            "hash of what is known, µs": False,
            "listeners of a channel, µs": False,
            "who is first for a worker, µs": False,
            "a cast to all, µs": False,
            "bytes of a whole answer": False,
        },
    ),
    "blocks": Axis(
        (10_000, 100_000, 1_000_000, 3_000_000, 10_000_000),
        "kept blocks",
        730e6,
        lambda n: run_in_own_process(measure_blocks, n),
        {
            "memory, MB": False,
            "taking an event in, µs": False,
            "reading an event off the wire, µs": False,
            "bytes of an event on the wire": False,
        },
    ),
    "volumes": Axis(
        (1, 100, 300, 1_000, 2_000),
        "volumes",
        20_000,
        lambda n: run_in_own_process(measure_volumes, n),
        {
            "node, cores": False,
            "serializer, cores": False,
            "requests, datagrams/s": False,
            "requests, B/s": False,
            "memory, MB": False,
        },
    ),
    "purge": Axis(
        (6, 9, 12, 18, 27),
        "nodes",
        1_200,
        run_purge,
        {
            "datagrams a bump": False,
            "datagrams a volume a minute for tables": True,
            "bytes a volume a minute for tables": True,
        },
    ),
    "state": Axis(
        (10, 100, 1_000, 3_000, 10_000),
        "workers",
        10_000,
        lambda n: run_in_own_process(measure_state, n),
        {
            "core's state, MB": False,
            "digest, KB": False,
            "making a digest, ms": False,
            "a confirmed load at a core, ms": False,
            "bytes to a node a confirmed load": False,
            "taking a confirmed load in at a node, ms": False,
        },
    ),
}
