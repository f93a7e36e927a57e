"""Scaling costs (§9.12): what a fleet of 12 to 200 nodes costs, by counts of messages on virtual time."""

from __future__ import annotations

import random
import time
from typing import Any

from pearhead.config.description import description_from_checked_data
from pearhead.config.view import View
from pearhead.control_plane.core_process import CoreProcess
from pearhead.invalidation.channel import object_channel
from pearhead.router.node_process import NodeProcess
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

Row = dict[str, Any]
BROADCAST_TRIALS = 200
DATAGRAM_LOSS_SHARE = 0.3


def _sent_totals(fleet: SimFleet) -> dict[str, tuple[int, int]]:
    """Number and bytes of all messages that the fleet's cores and nodes have sent, by message name."""
    totals: dict[str, tuple[int, int]] = {}
    processes: list[CoreProcess | NodeProcess] = [*fleet.cores.values(), *fleet.nodes.values()]
    for process in processes:
        for name, count in process.rpc_endpoint.sent_counts.items():
            previous_count, previous_bytes = totals.get(name, (0, 0))
            totals[name] = (previous_count + count, previous_bytes + process.rpc_endpoint.sent_bytes[name])
    return totals


def _measure_fan_out(fleet: SimFleet, owner: str) -> Row:
    """Compares two ways to multicast on an object's channel: directly, or through one relay per area.

    The listeners are taken from the directory of a running node; a relay is one of them. `reached` is the mean over 200
    multicasts with 30% of datagrams lost.
    """
    sender = fleet.nodes["node-1"].directory
    listeners = set(sender.listeners(object_channel(owner, fleet.deployment.line, 1)))
    by_area: dict[str, list[str]] = {}
    for record in sender.members():
        if record.address in listeners:
            by_area.setdefault(record.area, []).append(record.address)
    rng = random.Random(1)
    direct_reached_count = relay_reached_count = relay_sent_count = 0
    for _ in range(BROADCAST_TRIALS):
        direct_reached_count += sum(rng.random() >= DATAGRAM_LOSS_SHARE for _ in listeners)
        for addresses in by_area.values():
            relay_sent_count += 1
            if rng.random() >= DATAGRAM_LOSS_SHARE:
                relay_sent_count += len(addresses) - 1
                relay_reached_count += 1 + sum(rng.random() >= DATAGRAM_LOSS_SHARE for _ in addresses[1:])
    return {
        "sender's burst, direct": len(listeners),
        "sender's burst, relays": len(by_area),
        "reached, direct": direct_reached_count / BROADCAST_TRIALS / max(1, len(listeners)),
        "reached, relays": relay_reached_count / BROADCAST_TRIALS / max(1, len(listeners)),
        "datagrams a cast, relays": relay_sent_count / BROADCAST_TRIALS,
    }


def measure_node_scaling(node_count: int) -> Row:
    """Costs of ten idle seconds, one apply and one revision bump in a fleet of this many nodes."""

    async def run_in_world(world: World) -> Row:
        fleet = SimFleet(world, ACADEMY, node_count)
        await fleet.start_all()
        await pause(world, 2 * SECOND)
        before = _sent_totals(fleet)
        await pause(world, 10 * SECOND)
        quiet = _sent_totals(fleet)

        def rate_per_second(*names: str) -> tuple[float, float]:
            counts = [(quiet[n][0] - before[n][0], quiet[n][1] - before[n][1]) for n in names if n in before]
            return sum(c for c, _ in counts) / 10, sum(b for _, b in counts) / 10

        term_count, term_bytes = rate_per_second("term_ask", "term_result")
        hello_count, hello_bytes = rate_per_second("hello", "hello_result")
        owner = f"tenant:{fleet.deployment.tenant_names[0]}"
        for node in fleet.nodes.values():
            node.revision_listener.revision_of(owner, fleet.deployment.line, 1)
        await pause(world, 3 * SECOND)
        bump_before = _sent_totals(fleet)["purge_note"]
        await fleet.nodes["node-1"].revision_listener.bump(owner, fleet.deployment.line, 1)
        bump_after = _sent_totals(fleet)["purge_note"]
        fan_out = _measure_fan_out(fleet, owner)
        apply_before = _sent_totals(fleet)["term_result"]
        await fleet.apply(fleet.marked_description("a"))
        start_micros = world.now()
        while any(n.view_replica.view.description_revision < fleet.description_revision for n in fleet.nodes.values()):
            await pause(world, 5 * MILLI)
        apply_after = _sent_totals(fleet)["term_result"]
        return {
            "nodes": node_count,
            "term messages/s a node": term_count / node_count,
            "term bytes/s at a core": term_bytes / 3,
            "hello messages/s": hello_count,
            "hello bytes/s": hello_bytes,
            "datagrams a bump": bump_after[0] - bump_before[0],
            "bytes a bump": bump_after[1] - bump_before[1],
            "apply in force, ms": (world.now() - start_micros) / MILLI,
            "bytes of an apply": apply_after[1] - apply_before[1],
            **fan_out,
        }

    row: Row = run_in_virtual_time(1, run_in_world)
    return row


def measure_entry_scaling(entry_count: int) -> Row:
    """Costs of two small changes, each by itself, in a fleet whose description has this many more entries.

    The bytes are those sent to 12 nodes. The time to find the entry of a job is real time on this machine.
    """

    async def run_in_world(world: World) -> Row:
        fleet = SimFleet(world, ACADEMY, 12)
        await fleet.start_all()
        description = fleet.marked_description("a")
        for number in range(entry_count):
            description["entries"].append(
                {
                    "name": f"more-{number}",
                    "line": ACADEMY.line,
                    "tenants": ["*"],
                    "kinds": [f"kind-{number}"],
                    "service": "models",
                }
            )
        await fleet.apply(description)
        await pause(world, 3 * SECOND)
        sizes = []
        for change in (fleet.name_weights("w2"), fleet.apply({**description, "limits": {"retryShare": 0.05}})):
            before = _sent_totals(fleet)["term_result"][1]
            await change
            await pause(world, 2 * SECOND)
            sizes.append(_sent_totals(fleet)["term_result"][1] - before)
        parsed_description = description_from_checked_data(description)
        view = View()
        view.__dict__["description"] = parsed_description
        view.find_entry(ACADEMY.line, "trial", "kind-0")
        start_seconds = time.perf_counter()
        for _ in range(10_000):
            view.find_entry(ACADEMY.line, "trial", "kind-0")
        return {
            "entries": entry_count,
            "bytes to 12 nodes, weights named": sizes[0],
            "bytes to 12 nodes, one field changed": sizes[1],
            "match, microseconds here": (time.perf_counter() - start_seconds) * 100,
        }

    row: Row = run_in_virtual_time(1, run_in_world)
    return row


def markdown_table(rows: list[Row]) -> list[str]:
    """Formats rows of the same columns as the lines of a Markdown table."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    return lines + ["| " + " | ".join(f"{row[n]:.4g}" for n in names) + " |" for row in rows]
