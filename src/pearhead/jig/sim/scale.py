"""Scale (§9.12): what a fleet costs from 12 to 200 nodes, by counts on virtual time."""

from __future__ import annotations

import random
import time
from typing import Any

from pearhead.anvil.core import CoreProcess
from pearhead.awl.clock import MILLI, SECOND
from pearhead.awl.description import build_checked
from pearhead.awl.view import View
from pearhead.jig.deployment import ACADEMY
from pearhead.jig.sim.fleet import SimFleet
from pearhead.jig.sim.world import World, pause, run_virtual
from pearhead.lathe.node import NodeProcess
from pearhead.rasp.channel import object_channel

Row = dict[str, Any]
CASTS = 200
LOSS = 0.3


def _totals(fleet: SimFleet) -> dict[str, tuple[int, int]]:
    totals: dict[str, tuple[int, int]] = {}
    processes: list[CoreProcess | NodeProcess] = [*fleet.cores.values(), *fleet.nodes.values()]
    for process in processes:
        for name, count in process.courier.sentCounts.items():
            heldCount, heldBytes = totals.get(name, (0, 0))
            totals[name] = (heldCount + count, heldBytes + process.courier.sentBytes[name])
    return totals


def _count_fan_out(fleet: SimFleet, owner: str) -> Row:
    """One cast on an object's channel, by the directory as it is: direct, or by one relay an area.

    A relay is one of the listeners. `reached` is counted over 200 casts with 30 % of datagrams lost.
    """
    sender = fleet.nodes["node-1"].directory
    listeners = set(sender.listeners(object_channel(owner, fleet.deployment.line, 1)))
    byArea: dict[str, list[str]] = {}
    for record in sender.members():
        if record.address in listeners:
            byArea.setdefault(record.area, []).append(record.address)
    chance = random.Random(1)
    directCount = relayCount = relaySent = 0
    for _ in range(CASTS):
        directCount += sum(chance.random() >= LOSS for _ in listeners)
        for addresses in byArea.values():
            relaySent += 1
            if chance.random() >= LOSS:
                relaySent += len(addresses) - 1
                relayCount += 1 + sum(chance.random() >= LOSS for _ in addresses[1:])
    return {
        "sender's burst, direct": len(listeners), "sender's burst, relays": len(byArea),
        "reached, direct": directCount / CASTS / max(1, len(listeners)),
        "reached, relays": relayCount / CASTS / max(1, len(listeners)),
        "datagrams a cast, relays": relaySent / CASTS,
    }


def run_nodes(nodeCount: int) -> Row:
    """Ten quiet seconds, one apply and one bump in a fleet of so many nodes."""

    async def play(world: World) -> Row:
        fleet = SimFleet(world, ACADEMY, nodeCount)
        await fleet.up()
        await pause(world, 2 * SECOND)
        before = _totals(fleet)
        await pause(world, 10 * SECOND)
        quiet = _totals(fleet)

        def a_second(*names: str) -> tuple[float, float]:
            counts = [(quiet[n][0] - before[n][0], quiet[n][1] - before[n][1]) for n in names if n in before]
            return sum(c for c, _ in counts) / 10, sum(b for _, b in counts) / 10

        termCount, termBytes = a_second("termAsk", "termResult")
        helloCount, helloBytes = a_second("hello", "helloResult")
        owner = f"tenant:{fleet.deployment.tenantNames[0]}"
        for node in fleet.nodes.values():
            node.listener.revision_of(owner, fleet.deployment.line, 1)
        await pause(world, 3 * SECOND)
        bumpBefore = _totals(fleet)["purgeNote"]
        await fleet.nodes["node-1"].listener.bump(owner, fleet.deployment.line, 1)
        bumpAfter = _totals(fleet)["purgeNote"]
        fanOut = _count_fan_out(fleet, owner)
        applyBefore = _totals(fleet)["termResult"]
        await fleet.apply(fleet.marked_description("a"))
        startMicros = world.now()
        while any(n.keeper.view.descriptionRevision < fleet.descriptionRevision for n in fleet.nodes.values()):
            await pause(world, 5 * MILLI)
        applyAfter = _totals(fleet)["termResult"]
        return {
            "nodes": nodeCount, "term messages/s a node": termCount / nodeCount,
            "term bytes/s at a core": termBytes / 3, "hello messages/s": helloCount, "hello bytes/s": helloBytes,
            "datagrams a bump": bumpAfter[0] - bumpBefore[0], "bytes a bump": bumpAfter[1] - bumpBefore[1],
            "apply in force, ms": (world.now() - startMicros) / MILLI,
            "bytes of an apply": applyAfter[1] - applyBefore[1], **fanOut,
        }

    row: Row = run_virtual(1, play)
    return row


def run_entries(entryCount: int) -> Row:
    """One small change to a description of so many entries: bytes to all nodes, and match cost."""

    async def play(world: World) -> Row:
        fleet = SimFleet(world, ACADEMY, 12)
        await fleet.up()
        description = fleet.marked_description("a")
        for number in range(entryCount):
            description["entries"].append({
                "name": f"more-{number}", "line": ACADEMY.line, "tenants": ["*"], "kinds": [f"kind-{number}"],
                "service": "models",
            })
        await fleet.apply(description)
        await pause(world, 3 * SECOND)
        sizes = []
        for change in (fleet.name_weights("w2"), fleet.apply({**description, "limits": {"retryShare": 0.05}})):
            before = _totals(fleet)["termResult"][1]
            await change
            await pause(world, 2 * SECOND)
            sizes.append(_totals(fleet)["termResult"][1] - before)
        data = build_checked(description)
        view = View()
        view.__dict__["description"] = data
        view.match(ACADEMY.line, "trial", "kind-0")
        startSeconds = time.perf_counter()
        for _ in range(10_000):
            view.match(ACADEMY.line, "trial", "kind-0")
        return {
            "entries": entryCount, "bytes to 12 nodes, weights named": sizes[0],
            "bytes to 12 nodes, one field changed": sizes[1],
            "match, microseconds here": (time.perf_counter() - startSeconds) * 100,
        }

    row: Row = run_virtual(1, play)
    return row


def table(rows: list[Row]) -> list[str]:
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    return lines + ["| " + " | ".join(f"{row[n]:.4g}" for n in names) + " |" for row in rows]
