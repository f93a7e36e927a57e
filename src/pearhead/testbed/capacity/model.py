"""The capacity model (§9.12): what each role costs at a given size, by formulas over the fits of the scale runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import numpy

from pearhead.router.copy_index import KEYS_PER_WORKER
from pearhead.testbed.capacity.axes import AXES, REAL_NODES
from pearhead.testbed.capacity.fit import Fitter, LinearFit
from pearhead.testbed.capacity.report import fit_axis, fit_table_lines, table_lines

Row = dict[str, float]
Rows = Mapping[str, Mapping[str, Row]]
DAY_SECONDS = 86_400
POLLS_PER_SECOND = 4
RENEWALS_PER_SECOND = 1
ROUNDS_PER_SECOND = 5
TERM_ROUNDS_PER_SECOND = 1 / 0.3
TABLES_PER_VOLUME_SECOND = 1 / 20
ENTRIES_PER_DIGEST = 4_096
LOG_ENTRY_BYTES = 133


@dataclass(frozen=True)
class FleetProfile:
    """A fleet and its traffic.

    `blocks` is the number of cached blocks of all workers; `events`, `jobs` and `tokens` are rates per second.
    """

    nodes: float
    workers: float
    blocks: float
    events: float
    tenants: float
    models: float
    applies_per_day: float
    jobs: float
    tokens: float
    restarts_per_day: float
    cores: float = 3

    def scaled(self, nodes: float) -> FleetProfile:
        """The same fleet with fewer nodes: all but the cores shrinks in proportion; one model at least remains."""
        share = nodes / self.nodes
        return replace(
            self,
            nodes=nodes,
            workers=self.workers * share,
            blocks=self.blocks * share,
            events=self.events * share,
            tenants=self.tenants * share,
            models=max(1.0, self.models * share),
            jobs=self.jobs * share,
            tokens=self.tokens * share,
            applies_per_day=self.applies_per_day * share,
            restarts_per_day=self.restarts_per_day * share,
        )


TARGET = FleetProfile(
    nodes=1_200,
    workers=10_000,
    blocks=730e6,
    events=13e6,
    tenants=2_000,
    models=10,
    applies_per_day=12_000,
    jobs=100_000,
    tokens=27e6,
    restarts_per_day=570,
)


class AxisFits:
    """The fits of all axes that were run, and the values measured. KeyError for a figure that no run gave."""

    def __init__(self, rows: Rows) -> None:
        self.fits: dict[tuple[str, str], LinearFit] = {}
        self.largest: dict[tuple[str, str], float] = {}
        self.points: dict[tuple[str, str], tuple[list[int], list[float]]] = {}
        for name, rows_by_size in rows.items():
            axis = AXES[name]
            sizes = sorted(int(size) for size in rows_by_size)
            for figure, has_quadratic_term in axis.fitted_figures.items():
                values = [rows_by_size[str(size)][figure] for size in sizes]
                self.fits[name, figure] = Fitter(has_quadratic_term).fit(sizes, values)
                self.largest[name, figure] = max(abs(v) for v in values)
                self.points[name, figure] = (sizes, values)

    def at(self, axis: str, figure: str, size: float) -> float:
        """A figure at a size: interpolated between the measured sizes, beyond them from the fit and never negative."""
        sizes, values = self.points[axis, figure]
        if sizes[0] <= size <= sizes[-1]:
            return float(numpy.interp(size, sizes, values))
        return max(0.0, self.fits[axis, figure].predict(size))

    def mean(self, axis: str, figure: str) -> float:
        """The mean of a figure over all sizes, for figures without a trend."""
        return float(numpy.mean(self.points[axis, figure][1]))

    def slope(self, axis: str, figure: str) -> float:
        """The linear coefficient of a figure's fit, per unit of the axis."""
        return self.fits[axis, figure].slope

    def mean_size(self, axis: str) -> float:
        """The mean of the sizes measured along an axis."""
        return float(numpy.mean(next(sizes for (name, _), (sizes, _) in self.points.items() if name == axis)))

    def at_largest(self, axis: str, figure: str) -> float:
        """A figure as measured at the largest size, for figures that don't follow a line."""
        return self.points[axis, figure][1][-1]

    def relative_residual(self, axis: str, figure: str) -> float:
        """The largest residual of the fit, as a share of the largest value measured."""
        return self.fits[axis, figure].max_residual / max(self.largest[axis, figure], 1e-12)


# In the tables below, `s` is the fits and `z` the fleet.
Value = Callable[[AxisFits, FleetProfile], float]


@dataclass(frozen=True)
class CostFigure:
    """One figure of a role, shown as a row of the role's table.

    `value` computes what `formula` says; both it and `budget` are in `unit`. `sources` are the axes and figures it is
    computed from, and `estimate` names the part of it that was not measured.
    """

    role: str
    quantity: str
    formula: str
    unit: str
    value: Value
    sources: tuple[tuple[str, str], ...] = ()
    budget: float | None = None
    budget_source: str = ""
    estimate: str = ""

    def is_over(self, axis_fits: AxisFits, size: FleetProfile) -> bool:
        """Whether the figure exceeds its budget at this size; False without a budget."""
        return self.budget is not None and self.value(axis_fits, size) > self.budget


def _workers_per_node(size: FleetProfile) -> float:
    return size.workers / size.nodes


def _event_bytes(s: AxisFits) -> float:
    return s.at_largest("blocks", "bytes of an event on the wire")


def _event_micros(s: AxisFits) -> float:
    """Processor time of one event, at the largest index that was measured.

    The cost grows as the index outgrows the processor's caches.
    """
    return s.at_largest("blocks", "reading an event off the wire, µs") + s.at_largest(
        "blocks", "taking an event in, µs"
    )


EVENT_BYTES_SOURCE = ("blocks", "bytes of an event on the wire")
EVENT_MICROS_SOURCES = (("blocks", "reading an event off the wire, µs"), ("blocks", "taking an event in, µs"))
NODE_CPU, NODE_MEMORY, NODE_BYTES = 0.028, 32e6, 3_000.0
TARGET_SOURCE = "the target"
ONE_CORE_SOURCE = "one process has one core"

COST_FIGURES: tuple[CostFigure, ...] = (
    # ---- the core
    CostFigure(
        "control_plane",
        "records of the directory",
        "N + 3",
        "records",
        lambda s, z: z.nodes + z.cores,
        budget=1_000,
        budget_source="`RECORD_LIMIT` of the directory",
    ),
    CostFigure(
        "control_plane",
        "term questions in",
        "a·N",
        "messages/s",
        lambda s, z: s.at("nodes", "term questions at a core, a second", z.nodes),
        (("nodes", "term questions at a core, a second"),),
    ),
    CostFigure(
        "control_plane",
        "term traffic in and out, one core",
        "(in + out a node)·N/3",
        "B/s",
        lambda s, z: (
            (s.mean("nodes", "term in a node, B/s") + s.mean("nodes", "term out a node, B/s")) * z.nodes / z.cores
        ),
        (("nodes", "term in a node, B/s"), ("nodes", "term out a node, B/s")),
    ),
    CostFigure(
        "control_plane",
        "processor time, fleet at rest",
        "a + b·N",
        "cores",
        lambda s, z: s.at("nodes", "core, cores", z.nodes),
        (("nodes", "core, cores"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
    CostFigure(
        "control_plane",
        "processor time to compare directories",
        "N/5 · (hash + members)(N)",
        "cores",
        lambda s, z: (
            z.nodes
            / 5
            * (s.at("directory", "hash of what is known, µs", z.nodes) + s.at("directory", "members, µs", z.nodes))
            / 1e6
        ),
        (("directory", "hash of what is known, µs"), ("directory", "members, µs")),
        1.0,
        ONE_CORE_SOURCE,
        estimate="one hello of five asks; a square that the line above, measured to 350 nodes, hardly shows",
    ),
    CostFigure(
        "control_plane",
        "memory, fleet at rest",
        "a + b·N",
        "B",
        lambda s, z: s.at("nodes", "core, MB", z.nodes) * 1e6,
        (("nodes", "core, MB"),),
        296e6,
        "a core machine of the grown sites",
    ),
    CostFigure(
        "control_plane",
        "open descriptors",
        "a + b·N",
        "",
        lambda s, z: s.at("nodes", "core, descriptors", z.nodes),
        (("nodes", "core, descriptors"),),
        4_096,
        "a core machine of the grown sites",
    ),
    CostFigure(
        "control_plane",
        "renewals of holds, log entries",
        "W",
        "entries/s",
        lambda s, z: z.workers * RENEWALS_PER_SECOND,
        (("workers", "node out, holds, messages/s"),),
    ),
    CostFigure(
        "control_plane",
        "processor time for holds",
        "a·W",
        "cores",
        lambda s, z: s.slope("workers", "core, cores") * z.workers,
        (("workers", "core, cores"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
    CostFigure(
        "control_plane",
        "log written for holds",
        "133 B·W",
        "B/s",
        lambda s, z: LOG_ENTRY_BYTES * z.workers,
        estimate="133 B an entry by the message's fields",
    ),
    CostFigure(
        "control_plane",
        "digests made for holds",
        "W/4,096 · ms a digest",
        "cores",
        lambda s, z: z.workers / ENTRIES_PER_DIGEST * s.at("state", "making a digest, ms", z.workers) / 1e3,
        (("state", "making a digest, ms"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
    CostFigure(
        "control_plane",
        "state of workers, holds and loads",
        "a + b·W",
        "B",
        lambda s, z: s.at("state", "core's state, MB", z.workers) * 1e6,
        (("state", "core's state, MB"),),
        296e6,
        "a core machine of the grown sites",
    ),
    # ---- the node
    CostFigure(
        "router, control",
        "processor time, fleet at rest, no workers",
        "a + b·N",
        "cores",
        lambda s, z: s.at("nodes", "node, cores", z.nodes),
        (("nodes", "node, cores"),),
        NODE_CPU,
        TARGET_SOURCE,
    ),
    CostFigure(
        "router, control",
        "processor time to see who holds",
        "5·(W − W/N) · µs(N)",
        "cores",
        lambda s, z: (
            ROUNDS_PER_SECOND
            * (z.workers - _workers_per_node(z))
            * s.at("directory", "who is first for a worker, µs", z.nodes)
            / 1e6
        ),
        (("directory", "who is first for a worker, µs"),),
        NODE_CPU,
        TARGET_SOURCE,
    ),
    CostFigure(
        "router, control",
        "the same in a running fleet of 100 nodes",
        "a·W",
        "cores",
        lambda s, z: s.slope("unheld", "node, cores") * z.workers,
        (("unheld", "node, cores"),),
        NODE_CPU,
        TARGET_SOURCE,
        estimate="always with 100 nodes; only the workers grow",
    ),
    CostFigure(
        "router, control",
        "memory, fleet at rest",
        "a + b·N",
        "B",
        lambda s, z: s.at("nodes", "node, MB", z.nodes) * 1e6,
        (("nodes", "node, MB"),),
        NODE_MEMORY,
        TARGET_SOURCE,
    ),
    CostFigure(
        "router, control",
        "traffic, fleet at rest",
        "a, no trend in N",
        "B/s",
        lambda s, z: s.mean("nodes", "node in and out, B/s"),
        (("nodes", "node in and out, B/s"),),
        NODE_BYTES,
        TARGET_SOURCE,
    ),
    CostFigure(
        "router, control",
        "whole directories in, day's mean",
        "2 · restarts a day · bytes(N)",
        "B/s",
        lambda s, z: 2 * z.restarts_per_day * s.at("directory", "bytes of a whole answer", z.nodes) / DAY_SECONDS,
        (("directory", "bytes of a whole answer"),),
        NODE_BYTES,
        TARGET_SOURCE,
        estimate="two whole answers to each node for each record that changes",
    ),
    CostFigure(
        "router, control",
        "open descriptors after a day",
        "2·(N + 3) + 15",
        "",
        lambda s, z: 2 * (z.nodes + z.cores) + 15,
        budget=4_100,
        budget_source="a front machine of the grown sites",
        estimate="each friend drawn leaves a connection each way, and both are kept; from the code",
    ),
    CostFigure(
        "router, control",
        "memory after a day",
        "a + b(core)·N",
        "B",
        lambda s, z: 1e6 * (s.fits["nodes", "node, MB"].intercept + s.slope("nodes", "core, MB") * z.nodes),
        (("nodes", "core, MB"),),
        NODE_MEMORY,
        TARGET_SOURCE,
        estimate="by then a node keeps two connections a peer, as a core does, where they were measured",
    ),
    # ---- holder of worker leases
    CostFigure("holder", "workers held", "W/N", "workers", lambda s, z: _workers_per_node(z)),
    CostFigure("holder", "polls out", "4·W/N", "polls/s", lambda s, z: POLLS_PER_SECOND * _workers_per_node(z)),
    CostFigure(
        "holder",
        "processor time",
        "2a·W/N",
        "cores",
        lambda s, z: REAL_NODES * s.slope("workers", "node, cores") * _workers_per_node(z),
        (("workers", "node, cores"),),
        NODE_CPU,
        TARGET_SOURCE,
        estimate="of a fleet of two nodes: what each further listener adds is the next row",
    ),
    CostFigure(
        "holder",
        "processor time, with that of the fleet at rest",
        "sum",
        "cores",
        lambda s, z: (
            s.at("nodes", "node, cores", z.nodes)
            + REAL_NODES * s.slope("workers", "node, cores") * _workers_per_node(z)
        ),
        (("nodes", "node, cores"), ("workers", "node, cores")),
        NODE_CPU,
        TARGET_SOURCE,
    ),
    CostFigure(
        "holder",
        "processor time to tell all nodes",
        "4·W/N · µs(N)",
        "cores",
        lambda s, z: POLLS_PER_SECOND * _workers_per_node(z) * s.at("directory", "a cast to all, µs", z.nodes) / 1e6,
        (("directory", "a cast to all, µs"),),
        NODE_CPU,
        TARGET_SOURCE,
        estimate="one datagram a poll; the 325 events of a poll would need 13, or a frame",
    ),
    CostFigure(
        "holder",
        "reports out to all nodes",
        "E/N · a · (N − 1)",
        "B/s",
        lambda s, z: z.events / z.nodes * _event_bytes(s) * (z.nodes - 1),
        (EVENT_BYTES_SOURCE,),
        NODE_BYTES,
        TARGET_SOURCE,
    ),
    # ---- index of cached blocks
    CostFigure("index at a node", "kept blocks", "B", "blocks", lambda s, z: z.blocks),
    CostFigure(
        "index at a node",
        "kept blocks a worker",
        "B/W",
        "blocks",
        lambda s, z: z.blocks / z.workers,
        budget=KEYS_PER_WORKER,
        budget_source="`KEYS_PER_WORKER` of the index",
    ),
    CostFigure(
        "index at a node",
        "memory",
        "a·B",
        "B",
        lambda s, z: s.at("blocks", "memory, MB", z.blocks) * 1e6,
        (("blocks", "memory, MB"),),
        NODE_MEMORY,
        TARGET_SOURCE,
    ),
    CostFigure("index at a node", "events in", "E", "events/s", lambda s, z: z.events),
    CostFigure(
        "index at a node",
        "bytes in",
        "a·E",
        "B/s",
        lambda s, z: _event_bytes(s) * z.events,
        (EVENT_BYTES_SOURCE,),
        NODE_BYTES,
        TARGET_SOURCE,
    ),
    CostFigure(
        "index at a node",
        "processor time",
        "(read + take)·E",
        "cores",
        lambda s, z: _event_micros(s) * z.events / 1e6,
        EVENT_MICROS_SOURCES,
        NODE_CPU,
        TARGET_SOURCE,
    ),
    # ---- purge: tables of revisions
    CostFigure(
        "purge listener",
        "volumes",
        "T·M",
        "volumes",
        lambda s, z: z.tenants * z.models,
        estimate="every tenant uses every model at every node: the upper bound",
    ),
    CostFigure(
        "purge listener",
        "processor time",
        "a·T·M",
        "cores",
        lambda s, z: s.slope("volumes", "node, cores") * z.tenants * z.models,
        (("volumes", "node, cores"),),
        NODE_CPU,
        TARGET_SOURCE,
    ),
    CostFigure(
        "purge listener",
        "memory",
        "a·T·M",
        "B",
        lambda s, z: s.slope("volumes", "memory, MB") * z.tenants * z.models * 1e6,
        (("volumes", "memory, MB"),),
        NODE_MEMORY,
        TARGET_SOURCE,
    ),
    CostFigure(
        "purge serializer",
        "datagrams for the tables, whole fleet",
        "T·M · (a + b·N + c·N²)/60",
        "datagrams/s",
        lambda s, z: z.tenants * z.models * s.at("purge", "datagrams a volume a minute for tables", z.nodes) / 60,
        (("purge", "datagrams a volume a minute for tables"),),
        estimate="every node listens to every volume: the upper bound; extrapolated from 27 nodes",
    ),
    CostFigure(
        "purge serializer",
        "datagrams a bump",
        "a + b·N",
        "datagrams",
        lambda s, z: s.at("purge", "datagrams a bump", z.nodes),
        (("purge", "datagrams a bump"),),
    ),
    CostFigure(
        "purge serializer",
        "tables, if one request served all",
        "T·M/20 s",
        "tables/s",
        lambda s, z: z.tenants * z.models * TABLES_PER_VOLUME_SECOND,
    ),
    CostFigure(
        "purge listener",
        "traffic for tables, in and out",
        "T·M · 2 · (a + b·N + c·N²)/60/N",
        "B/s",
        lambda s, z: (
            z.tenants * z.models * 2 * s.at("purge", "bytes a volume a minute for tables", z.nodes) / 60 / z.nodes
        ),
        (("purge", "bytes a volume a minute for tables"),),
        NODE_BYTES,
        TARGET_SOURCE,
        estimate="the same upper bound",
    ),
    CostFigure(
        "purge serializer",
        "processor time without the fan-out",
        "a·T·M",
        "cores",
        lambda s, z: s.slope("volumes", "serializer, cores") * z.tenants * z.models,
        (("volumes", "serializer, cores"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
    CostFigure(
        "purge serializer",
        "processor time to find the listeners",
        "T·M/20 s · µs(N)",
        "cores",
        lambda s, z: (
            z.tenants
            * z.models
            * TABLES_PER_VOLUME_SECOND
            * s.at("directory", "listeners of a channel, µs", z.nodes)
            / 1e6
        ),
        (("directory", "listeners of a channel, µs"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
    # ---- list of workers and their loads
    CostFigure(
        "worker list",
        "bytes to a node a confirmed load",
        "a + b·W",
        "B",
        lambda s, z: s.at("state", "bytes to a node a confirmed load", z.workers),
        (("state", "bytes to a node a confirmed load"),),
    ),
    CostFigure(
        "worker list",
        "traffic in at a node, day's mean",
        "bytes · restarts a day",
        "B/s",
        lambda s, z: s.at("state", "bytes to a node a confirmed load", z.workers) * z.restarts_per_day / DAY_SECONDS,
        (("state", "bytes to a node a confirmed load"),),
        NODE_BYTES,
        TARGET_SOURCE,
    ),
    CostFigure(
        "worker list",
        "traffic in at a node, weights named",
        "bytes · 3.3 a second",
        "B/s",
        lambda s, z: s.at("state", "bytes to a node a confirmed load", z.workers) * TERM_ROUNDS_PER_SECOND,
        (("state", "bytes to a node a confirmed load"),),
        NODE_BYTES,
        TARGET_SOURCE,
        estimate="a load is confirmed in each round of 300 ms while they last",
    ),
    CostFigure(
        "worker list",
        "processor time at a node, weights named",
        "ms a load · 3.3 a second",
        "cores",
        lambda s, z: (
            s.at("state", "taking a confirmed load in at a node, ms", z.workers) * TERM_ROUNDS_PER_SECOND / 1e3
        ),
        (("state", "taking a confirmed load in at a node, ms"),),
        NODE_CPU,
        TARGET_SOURCE,
        estimate="the same",
    ),
    CostFigure(
        "worker list",
        "processor time at a core, weights named",
        "W · ms a load",
        "s",
        lambda s, z: z.workers * s.at("state", "a confirmed load at a core, ms", z.workers) / 1e3,
        (("state", "a confirmed load at a core, ms"),),
        12.0,
        "weights start within 12 s",
    ),
    # ---- operators' edge: changes of the configuration
    CostFigure(
        "operators' edge",
        "bytes of a change at a node",
        "a + b·T",
        "B",
        lambda s, z: s.at("tenants", "bytes of an apply a node", z.tenants),
        (("tenants", "bytes of an apply a node"),),
    ),
    CostFigure(
        "operators' edge",
        "traffic in at a node, day's mean",
        "bytes · changes a day",
        "B/s",
        lambda s, z: s.at("tenants", "bytes of an apply a node", z.tenants) * z.applies_per_day / DAY_SECONDS,
        (("tenants", "bytes of an apply a node"),),
        NODE_BYTES,
        TARGET_SOURCE,
    ),
    CostFigure(
        "operators' edge",
        "traffic out at one core, day's mean",
        "bytes · changes a day · N/3",
        "B/s",
        lambda s, z: (
            s.at("tenants", "bytes of an apply a node", z.tenants) * z.applies_per_day / DAY_SECONDS * z.nodes / z.cores
        ),
        (("tenants", "bytes of an apply a node"),),
    ),
    CostFigure(
        "operators' edge",
        "acknowledged to in force everywhere, by nodes",
        "a + b·N",
        "ms",
        lambda s, z: s.at("nodes", "apply in force, median ms", z.nodes),
        (("nodes", "apply in force, median ms"),),
        3_000,
        TARGET_SOURCE,
    ),
    CostFigure(
        "operators' edge",
        "acknowledged to in force everywhere, by tenants",
        "a + b·T",
        "ms",
        lambda s, z: s.at("tenants", "apply in force, median ms", z.tenants),
        (("tenants", "apply in force, median ms"),),
        3_000,
        TARGET_SOURCE,
    ),
    # ---- jobs, the traffic of clients
    CostFigure("router, jobs", "jobs", "J/N", "jobs/s", lambda s, z: z.jobs / z.nodes),
    CostFigure(
        "router, jobs",
        "processor time",
        "a·J/N + b·K/N",
        "cores",
        lambda s, z: (
            s.fits["lines", "a job at a node, µs"].intercept * z.jobs / z.nodes / 1e6
            + s.slope("lines", "a job at a node, µs") * z.tokens / z.nodes / 1e6
        ),
        (("lines", "a job at a node, µs"),),
        1.0,
        ONE_CORE_SOURCE,
    ),
)


def value_text(value: float, unit: str) -> str:
    """The value to three digits, or to the unit from 1,000 on, with its unit; bytes get the prefix that fits."""
    if unit in ("B", "B/s"):
        for factor, prefix in ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")):
            if abs(value) >= factor:
                return f"{value / factor:.3g} {prefix}{unit}"
    text = f"{value:,.0f}" if abs(value) >= 1_000 else f"{value:.3g}"
    return f"{text} {unit}".strip()


def capacity_lines(axis_fits: AxisFits, size: FleetProfile = TARGET) -> list[str]:
    """A table per role, as docs/CAPACITY.md shows them."""
    lines: list[str] = []
    for role in dict.fromkeys(c.role for c in COST_FIGURES):
        lines += [
            f"### {role}",
            "",
            "| | formula | at the target | budget | | slope from | spread | note |",
            "| --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        for cost_figure in (c for c in COST_FIGURES if c.role == role):
            budget = value_text(cost_figure.budget, cost_figure.unit) if cost_figure.budget is not None else ""
            verdict = "" if cost_figure.budget is None else "over" if cost_figure.is_over(axis_fits, size) else "within"
            axes = ", ".join(dict.fromkeys(f"`{axis}`" for axis, _ in cost_figure.sources))
            spread = max((axis_fits.relative_residual(a, f) for a, f in cost_figure.sources), default=0.0)
            note = f"estimate: {cost_figure.estimate}" if cost_figure.estimate else ""
            shown = [
                cost_figure.quantity,
                cost_figure.formula,
                value_text(cost_figure.value(axis_fits, size), cost_figure.unit),
                f"{budget} ({cost_figure.budget_source})" if budget else "",
                verdict,
                axes,
                f"{spread:.0%}" if cost_figure.sources else "",
                note,
            ]
            lines.append("| " + " | ".join(shown) + " |")
        lines.append("")
    return lines


def growth_lines(axis_fits: AxisFits, node_counts: tuple[int, ...] = (12, 60, 200, 600, 1_200)) -> list[str]:
    """Every figure with a budget at growing sizes of the fleet; it shows what exceeds its budget first."""
    lines = [
        "| role | | budget | " + " | ".join(f"{n:,} nodes" for n in node_counts) + " |",
        "| --- | --- | --- |" + " --- |" * len(node_counts),
    ]
    for cost_figure in COST_FIGURES:
        if cost_figure.budget is None:
            continue
        shown = []
        for count in node_counts:
            size = TARGET.scaled(count)
            text = value_text(cost_figure.value(axis_fits, size), cost_figure.unit)
            shown.append(f"**{text}**" if cost_figure.is_over(axis_fits, size) else text)
        lines.append(
            "| "
            + " | ".join(
                [cost_figure.role, cost_figure.quantity, value_text(cost_figure.budget, cost_figure.unit), *shown]
            )
            + " |"
        )
    return lines


def fit_lines(rows: Rows) -> list[str]:
    """Measured figures and fits by axis, with the largest size predicted from the smaller ones."""
    lines: list[str] = []
    for name, rows_by_size in rows.items():
        sizes = sorted(int(size) for size in rows_by_size)
        axis_rows = [rows_by_size[str(size)] for size in sizes]
        lines += [
            f"### `testbed scale-run {name}`",
            "",
            *table_lines(AXES[name].unit, sizes, axis_rows),
            "",
            *fit_table_lines(AXES[name], fit_axis(AXES[name], sizes, axis_rows)),
            "",
        ]
    return lines
