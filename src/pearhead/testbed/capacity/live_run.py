"""Measurements of a live fleet of one size (§9.12): what each role costs."""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.capacity.live_fleet import FleetSize, LiveFleet, mean_cores_used, mean_resident_bytes
from pearhead.testbed.capacity.process_stat import read_busy_micros

Row = dict[str, float]
SETTLE_SECONDS = 6.0
WINDOW_SECONDS = 10.0
APPLY_COUNT = 3
RETRY_AFTER_SECONDS = 0.5
TERM_NAMES = ("term_ask", "term_result")
HELLO_NAMES = ("hello", "hello_result")


def _sum(states: list[dict[str, Any]], name: str) -> Counter[str]:
    total: Counter[str] = Counter()
    for state in states:
        total.update(state[name])
    return total


def _rate(
    before: list[dict[str, Any]], after: list[dict[str, Any]], name: str, bodies: tuple[str, ...], seconds: float
) -> float:
    """Sum of one counter over all states and the given message bodies, as a rate per second."""
    first, last = _sum(before, name), _sum(after, name)
    return sum(last[b] - first[b] for b in bodies) / seconds


def measure_idle(fleet: LiveFleet, window_seconds: float) -> Row:
    """Processor time, memory and traffic of a fleet without jobs and changes, over a window."""
    hollow, nodes, busy = fleet.hollow_states(), fleet.node_states(), read_busy_micros()
    stats, start = fleet.processes.stats(), fleet.clock.now()
    fleet.sleep(window_seconds)
    later, elapsed = fleet.processes.stats(), fleet.clock.now() - start
    later_hollow, later_nodes, later_busy = fleet.hollow_states(), fleet.node_states(), read_busy_micros()
    seconds, hollow_count = elapsed / SECOND, max(1, fleet.size.hollow_nodes)
    names = TERM_NAMES + HELLO_NAMES
    row: Row = {
        "core, cores": mean_cores_used(stats, later, elapsed, "core-"),
        "core, most, cores": max(
            (later[n].cpu_micros - stats[n].cpu_micros) / elapsed for n in later if n.startswith("core-")
        ),
        "core, MB": mean_resident_bytes(later, "core-") / 1e6,
        "node, cores": mean_cores_used(stats, later, elapsed, "node-"),
        "node, MB": mean_resident_bytes(later, "node-") / 1e6,
        "node, descriptors": statistics.mean(s.descriptors for n, s in later.items() if n.startswith("node-")),
        "core, descriptors": statistics.mean(s.descriptors for n, s in later.items() if n.startswith("core-")),
        "node out, B/s": _rate(nodes, later_nodes, "sentBytes", names, seconds) / fleet.size.real_nodes,
        "node out, messages/s": _rate(nodes, later_nodes, "sent", names, seconds) / fleet.size.real_nodes,
        "node out, purge and copies, B/s": _rate(nodes, later_nodes, "sentBytes", ("purge_note",), seconds)
        / fleet.size.real_nodes,
        "node out, holds, messages/s": _rate(nodes, later_nodes, "sent", ("command_ask",), seconds)
        / fleet.size.real_nodes,
        "machine in all, cores": (later_busy - busy) / elapsed,
        "all, cores": sum(later[n].cpu_micros - s.cpu_micros for n, s in stats.items() if n in later) / elapsed,
    }
    if fleet.size.hollow_nodes:
        row |= {
            "hollow node, cores": mean_cores_used(stats, later, elapsed, "hollow-")
            * len(fleet.host_control_addresses)
            / hollow_count,
            "term in a node, B/s": _rate(hollow, later_hollow, "received_bytes", ("term_result",), seconds)
            / hollow_count,
            "term out a node, B/s": _rate(hollow, later_hollow, "sent_bytes", ("term_ask",), seconds) / hollow_count,
            "hello in a node, B/s": _rate(hollow, later_hollow, "received_bytes", HELLO_NAMES, seconds) / hollow_count,
            "hello out a node, B/s": _rate(hollow, later_hollow, "sent_bytes", HELLO_NAMES, seconds) / hollow_count,
            "term questions at a core, a second": _rate(hollow, later_hollow, "sent", ("term_ask",), seconds)
            / fleet.size.cores
            / hollow_count
            * fleet.size.nodes(),
        }
        row["node in and out, B/s"] = sum(
            row[n]
            for n in ("term in a node, B/s", "term out a node, B/s", "hello in a node, B/s", "hello out a node, B/s")
        )
    return row


def measure_applies(fleet: LiveFleet) -> Row:
    """Time from an acknowledgement until the last node has the change, and the bytes that a node receives for it."""
    times, sizes = [], []
    for _ in range(APPLY_COUNT):
        before = _sum(fleet.hollow_states(), "received_bytes")["term_result"]
        start = fleet.clock.now()
        acknowledged = fleet.apply()
        last = fleet.wait_until_in_force()
        after = _sum(fleet.hollow_states(), "received_bytes")["term_result"]
        times.append(max(0, last - acknowledged) / MILLI)
        # Includes the regular answers during that time, about 2 kB/s.
        sizes.append((after - before) / max(1, fleet.size.hollow_nodes))
        # Spreads the applies over different phases of the nodes' rounds.
        fleet.sleep(max(0.0, 0.37 - (fleet.clock.now() - start) / SECOND))
    return {
        "apply in force, median ms": statistics.median(times),
        "apply in force, worst ms": max(times),
        "bytes of an apply a node": statistics.median(sizes),
    }


def measure_killed_leader(fleet: LiveFleet) -> Row:
    """Time from the kill of the leader to the next acknowledged change, and until it is in force everywhere.

    A follower that still follows the lost leader would keep the command for 5 s, so another core is asked after
    `RETRY_AFTER_SECONDS`.
    """
    lost_before = sum(s["lost_count"] for s in fleet.hollow_states())
    leader = fleet.leader()
    killed = fleet.clock.now()
    fleet.processes.kill(leader)
    acknowledged = fleet.apply(RETRY_AFTER_SECONDS)
    last = fleet.wait_until_in_force()
    lost_after = sum(s["lost_count"] for s in fleet.hollow_states())
    return {
        "leader killed to a change acknowledged, ms": (acknowledged - killed) / MILLI,
        "leader killed to a change in force, ms": (max(last, acknowledged) - killed) / MILLI,
        "nodes that lost their term": float(lost_after - lost_before),
    }


Measurement = Callable[[LiveFleet], Row]


class LiveRun:
    """Runs one fleet of one size from start to stop."""

    def __init__(
        self,
        settle_seconds: float = SETTLE_SECONDS,
        window_seconds: float = WINDOW_SECONDS,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.sleep = sleep
        self.settle_seconds = settle_seconds
        self.window_seconds = window_seconds

    def run(self, size: FleetSize, measurements: tuple[Measurement, ...] = ()) -> Row:
        """Returns the measured figures by name.

        Raises FleetTimeoutError if the fleet does not come up, OverLimitError if it is too large.
        """
        fleet = LiveFleet(size, self.sleep)
        try:
            start = fleet.clock.now()
            fleet.start()
            row: Row = {"up, s": (fleet.clock.now() - start) / SECOND}
            fleet.sleep(self.settle_seconds)
            row |= measure_idle(fleet, self.window_seconds)
            for measurement in measurements:
                row |= measurement(fleet)
            fleet.processes.stats()
            return row | {
                "run, MB": fleet.processes.peak_bytes / 1e6,
                "run, processes": float(fleet.processes.peak_processes),
            }
        finally:
            fleet.stop()
