"""Measurements (§9.9): counts and simulated times over seeds, printed as the tables of the docs."""

from __future__ import annotations

import statistics
from collections.abc import Awaitable, Callable
from typing import Any

from pearhead.anvil.core import CoreProcess
from pearhead.awl.clock import MILLI, SECOND
from pearhead.jig.deployment import DEPLOYMENTS
from pearhead.jig.sim.fleet import SimFleet
from pearhead.jig.sim.ledger import JobTrace
from pearhead.jig.sim.world import World, pause, run_virtual
from pearhead.lathe.node import NodeProcess

Figures = dict[str, float]
Measure = Callable[[SimFleet], Awaitable[Figures]]
JOBS_A_SECOND = 25.0
LONG_SECONDS = 20


def _sent(fleet: SimFleet, name: str) -> tuple[int, int]:
    processes: list[CoreProcess | NodeProcess] = [*fleet.cores.values(), *fleet.nodes.values()]
    return (
        sum(p.courier.sentCounts.get(name, 0) for p in processes),
        sum(p.courier.sentBytes.get(name, 0) for p in processes),
    )


async def measure_purge(fleet: SimFleet) -> Figures:
    """Datagrams and bytes a bump and a table, with every node listening to the volume."""
    owner, line = f"tenant:{fleet.deployment.tenantNames[0]}", fleet.deployment.line
    for node in fleet.nodes.values():
        for part in range(1, 21):
            node.listener.revision_of(owner, line, part)
    await pause(fleet.world, 4 * SECOND)
    quietCount, quietBytes = _sent(fleet, "purgeNote")
    await pause(fleet.world, 60 * SECOND)
    for node in fleet.nodes.values():
        node.listener.revision_of(owner, line, 1)
    tableCount, tableBytes = _sent(fleet, "purgeNote")
    nodes = list(fleet.nodes.values())
    for part in range(1, 21):
        await nodes[part % len(nodes)].listener.bump(owner, line, part)
    bumpCount, bumpBytes = _sent(fleet, "purgeNote")
    return {
        "datagrams a bump": (bumpCount - tableCount) / 20,
        "bytes a bump": (bumpBytes - tableBytes) / 20,
        "datagrams a volume a minute for tables": float(tableCount - quietCount),
        "bytes a volume a minute for tables": float(tableBytes - quietBytes),
    }


async def _saved(fleet: SimFleet, usesIndex: bool) -> Figures:
    for node in fleet.nodes.values():
        node.nominator.usesIndex = usesIndex
    fleet.start_load(JOBS_A_SECOND)
    await pause(fleet.world, LONG_SECONDS * SECOND)
    await fleet.end_load()
    prefixTokens = sum(n.prefixTokens for n in fleet.nodes.values())
    reusedTokens = sum(n.reusedTokens for n in fleet.nodes.values())
    times = [t.endMicros - t.sentMicros for t in fleet.ledger.jobs.values()
             if t.outcome == "done" and t.job["kind"] == fleet.deployment.longKind]
    label = "with index" if usesIndex else "without index"
    return {
        f"prefill tokens saved {label}, share": reusedTokens / max(1, prefixTokens),
        f"median time of long jobs {label}, ms": statistics.median(times) / MILLI,
    }


async def measure_index(fleet: SimFleet) -> Figures:
    return await _saved(fleet, True)


async def measure_no_index(fleet: SimFleet) -> Figures:
    return await _saved(fleet, False)


async def measure_spread(fleet: SimFleet) -> Figures:
    """Six times the usual load, after 8 s to warm up: how evenly workers are used, and how long jobs take."""
    fleet.start_load(6 * JOBS_A_SECOND)
    await pause(fleet.world, 8 * SECOND)
    warmMicros = fleet.world.now()
    await pause(fleet.world, LONG_SECONDS * SECOND)
    await fleet.end_load()
    counts = {f"worker-{n + 1}": 0 for n in range(fleet.workerCount)}
    for worker, record in fleet.ledger.runs:
        if worker in counts and record.atMicros > warmMicros:
            counts[worker] += 1
    figures: Figures = {"busiest worker against the mean": max(counts.values()) / statistics.mean(counts.values())}
    warmJobs = [t for t in fleet.ledger.jobs.values() if t.sentMicros > warmMicros]
    for kind in (fleet.deployment.shortKind, fleet.deployment.longKind):
        times = [t.endMicros - t.sentMicros for t in warmJobs if t.outcome == "done" and t.job["kind"] == kind]
        figures[f"{kind}, median ms"] = statistics.median(times) / MILLI
        figures[f"{kind}, 99th of 100 ms"] = statistics.quantiles(times, n=100)[98] / MILLI
    figures["jobs not done, share"] = sum(t.outcome != "done" for t in warmJobs) / len(warmJobs)
    reusedTokens = sum(n.reusedTokens for n in fleet.nodes.values())
    prefixTokens = sum(n.prefixTokens for n in fleet.nodes.values())
    figures["prefill tokens saved, share"] = reusedTokens / max(1, prefixTokens)
    return figures


async def measure_force(fleet: SimFleet) -> Figures:
    """From an acknowledgement to every node serving by it."""
    times = []
    for number in range(8):
        await fleet.apply(fleet.marked_description(str(number)))
        startMicros = fleet.world.now()
        revision = fleet.descriptionRevision
        while any(n.keeper.view.descriptionRevision < revision for n in fleet.nodes.values()):
            await pause(fleet.world, 5 * MILLI)
        times.append((fleet.world.now() - startMicros) / MILLI)
        await pause(fleet.world, fleet.world.chance.randrange(SECOND))
    return {"acknowledged to in force on all nodes, ms (mean)": statistics.mean(times),
            "acknowledged to in force on all nodes, ms (worst)": max(times)}


async def measure_weights(fleet: SimFleet) -> Figures:
    """From an acknowledged naming to the first job on the new weights, and to the last on the old."""
    fleet.start_load(JOBS_A_SECOND)
    await pause(fleet.world, 2 * SECOND)
    await fleet.name_weights("w2")
    startMicros = fleet.world.now()
    await pause(fleet.world, 12 * SECOND)
    await fleet.end_load()
    runs = [r for _, r in fleet.ledger.runs if r.atMicros > startMicros and "@" in r.loadedModel]
    newTimes = [r.atMicros for r in runs if r.loadedModel.endswith("@w2")]
    oldTimes = [r.atMicros for r in runs if not r.loadedModel.endswith("@w2")]
    failedCount = sum(t.outcome != "done" for t in fleet.ledger.jobs.values())
    return {
        "naming to first job on new weights, s": (min(newTimes) - startMicros) / SECOND,
        "naming to last job on old weights, s": (max(oldTimes) - startMicros) / SECOND,
        "jobs not done during a roll-out": float(failedCount),
    }


async def measure_leader(fleet: SimFleet) -> Figures:
    """From the kill of the leader to the next acknowledged command, and jobs lost meanwhile."""
    fleet.start_load(JOBS_A_SECOND)
    await pause(fleet.world, 2 * SECOND)
    fleet.kill(fleet.leader())
    startMicros = fleet.world.now()
    while not fleet.leader() or not fleet.cores[fleet.leader()].raft.settled():
        await pause(fleet.world, 5 * MILLI)
    electedMicros = fleet.world.now()
    await pause(fleet.world, 5 * SECOND)
    await fleet.end_load()
    return {
        "leader killed to settled leader, s": (electedMicros - startMicros) / SECOND,
        "jobs not done around it": float(sum(t.outcome != "done" for t in fleet.ledger.jobs.values())),
    }


async def measure_retries(fleet: SimFleet) -> Figures:
    """Four workers down for 8 s: retries as a share of the jobs."""
    fleet.start_load(JOBS_A_SECOND)
    await pause(fleet.world, 3 * SECOND)
    for number in range(4):
        fleet.kill(f"worker-{number + 1}")
    await pause(fleet.world, 8 * SECOND)
    for number in range(4):
        fleet.start(f"worker-{number + 1}")
    await pause(fleet.world, 6 * SECOND)
    await fleet.end_load()
    doneCount = sum(t.outcome == "done" for t in fleet.ledger.jobs.values())
    return {
        "retries, share of jobs": fleet.ledger.retryCount / max(1, fleet.ledger.carriedCount),
        "jobs done, share": doneCount / max(1, len(fleet.ledger.jobs)),
    }


async def measure_leaving(fleet: SimFleet) -> Figures:
    """From an acknowledged mark to the last job that began on the leaving worker."""
    fleet.start_load(3 * JOBS_A_SECOND)
    await pause(fleet.world, 3 * SECOND)
    times = []
    for name in fleet.present_workers()[:4]:
        await fleet.mark_leaving(name)
        ackMicros = fleet.world.now()
        await pause(fleet.world, 4 * SECOND)
        times.append(max([r.atMicros - ackMicros for w, r in fleet.ledger.runs if w == name], default=0))
        await fleet.mark_staying(name)
    await fleet.end_load()
    return {"marked leaving to last job begun there, ms (mean)": statistics.mean(max(0, t) for t in times) / MILLI,
            "marked leaving to last job begun there, ms (worst)": max(0, *times) / MILLI}


async def measure_come_back(fleet: SimFleet) -> Figures:
    """A burst of long jobs for 6 s; each refused caller comes back once, when told, with a new job."""
    description = fleet.marked_description("a")
    description["entries"][0].update(concurrency=2, queueLimit=16)
    await fleet.apply(description)
    await pause(fleet.world, 3 * SECOND)
    fleet.start_load(JOBS_A_SECOND)
    fleet.start_burst(fleet.deployment.tenantNames[0], 60.0, fleet.deployment.longKind)
    backTraces: list[JobTrace] = []
    told: list[int] = []

    async def come_back(trace: JobTrace) -> None:
        await pause(fleet.world, trace.comeBackSeconds * SECOND)
        job = {**trace.job, "jobId": f"{trace.job['jobId']}-again"}
        backTraces.append(await fleet.call(trace.node, trace.tenant, job))

    seen: set[str] = set()
    tasks = []
    for step in range(200):
        await pause(fleet.world, 100 * MILLI)
        if step == 60:
            fleet.end_bursts()
        for jobId, trace in list(fleet.ledger.jobs.items()):
            if trace.comeBackSeconds and jobId not in seen and not jobId.endswith("-again"):
                seen.add(jobId)
                told.append(trace.comeBackSeconds)
                tasks.append(fleet.world.loop.create_task(come_back(trace)))
    await fleet.end_load()
    for task in tasks:
        await task
    kinds = fleet.ledger.outcomes()
    return {
        "refused, told when to come back": float(len(told)), "told, s (mean)": statistics.mean(told),
        "told, s (worst)": float(max(told)),
        "done when they came back as told, share": sum(t.outcome == "done" for t in backTraces) / len(backTraces),
        **{f"refused as {kind}": float(kinds[kind]) for kind in ("tenant_busy", "overloaded", "deadline_passed")},
    }


async def measure_quiet(fleet: SimFleet) -> Figures:
    """What a fleet without jobs says to itself, a second."""
    await pause(fleet.world, 2 * SECOND)
    names = ("hello", "helloResult", "termAsk", "termResult", "appendAsk", "appendResult", "commandAsk")
    before = {name: _sent(fleet, name) for name in names}
    await pause(fleet.world, 10 * SECOND)
    figures: Figures = {}
    for name in names:
        count, size = _sent(fleet, name)
        figures[f"{name} messages a second"] = (count - before[name][0]) / 10
        figures[f"{name} bytes a second"] = (size - before[name][1]) / 10
    return figures


MEASURES: dict[str, Measure] = {
    "purge": measure_purge, "index": measure_index, "no-index": measure_no_index, "force": measure_force,
    "weights": measure_weights, "leader": measure_leader, "retries": measure_retries, "quiet": measure_quiet,
    "spread": measure_spread, "leaving": measure_leaving, "come-back": measure_come_back,
}


def run_measure(order: tuple[str, str, int, int]) -> Figures:
    name, deploymentName, seed, nodeCount = order

    async def play(world: World) -> Figures:
        fleet = SimFleet(world, DEPLOYMENTS[deploymentName], nodeCount)
        await fleet.up()
        return await MEASURES[name](fleet)

    figures: Any = run_virtual(seed, play)
    return dict(figures)


def spread(rows: list[Figures]) -> list[str]:
    lines = []
    for label in rows[0]:
        values = [row[label] for row in rows]
        lines.append(
            f"| {label} | {statistics.mean(values):.3g} | {min(values):.3g} | {max(values):.3g} |"
        )
    return lines
