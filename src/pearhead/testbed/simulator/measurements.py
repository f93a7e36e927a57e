"""Measurements (§9.9): counts and simulated times over several seeds, printed as the tables of the docs."""

from __future__ import annotations

import statistics
from collections.abc import Awaitable, Callable
from typing import Any

from pearhead.control_plane.core_process import CoreProcess
from pearhead.router.node_process import NodeProcess
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import DEPLOYMENTS
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.ledger import JobTrace
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

Figures = dict[str, float]
MeasureFunction = Callable[[SimFleet], Awaitable[Figures]]
JOBS_PER_SECOND = 25.0
LOAD_SECONDS = 20


def _sent_totals(fleet: SimFleet, name: str) -> tuple[int, int]:
    """Number and bytes of the messages of this name that all current cores and nodes have sent."""
    processes: list[CoreProcess | NodeProcess] = [*fleet.cores.values(), *fleet.nodes.values()]
    return (
        sum(p.rpc_endpoint.sent_counts.get(name, 0) for p in processes),
        sum(p.rpc_endpoint.sent_bytes.get(name, 0) for p in processes),
    )


async def measure_purge(fleet: SimFleet) -> Figures:
    """Datagrams and bytes per revision bump, and per minute for revision tables.

    Every node listens to the volume.
    """
    owner, line = f"tenant:{fleet.deployment.tenant_names[0]}", fleet.deployment.line
    for node in fleet.nodes.values():
        for part in range(1, 21):
            node.revision_listener.revision_of(owner, line, part)
    await pause(fleet.world, 4 * SECOND)
    quiet_count, quiet_bytes = _sent_totals(fleet, "purge_note")
    await pause(fleet.world, 60 * SECOND)
    for node in fleet.nodes.values():
        node.revision_listener.revision_of(owner, line, 1)
    table_count, table_bytes = _sent_totals(fleet, "purge_note")
    nodes = list(fleet.nodes.values())
    for part in range(1, 21):
        await nodes[part % len(nodes)].revision_listener.bump(owner, line, part)
    bump_count, bump_bytes = _sent_totals(fleet, "purge_note")
    return {
        "datagrams a bump": (bump_count - table_count) / 20,
        "bytes a bump": (bump_bytes - table_bytes) / 20,
        "datagrams a volume a minute for tables": float(table_count - quiet_count),
        "bytes a volume a minute for tables": float(table_bytes - quiet_bytes),
    }


async def _measure_prefill_savings(fleet: SimFleet, uses_index: bool) -> Figures:
    """Share of prefill tokens saved, and median time of long jobs, with or without the cache index."""
    for node in fleet.nodes.values():
        node.scheduler.uses_index = uses_index
    fleet.start_load(JOBS_PER_SECOND)
    await pause(fleet.world, LOAD_SECONDS * SECOND)
    await fleet.end_load()
    prefix_tokens = sum(n.prefix_tokens for n in fleet.nodes.values())
    reused_tokens = sum(n.reused_tokens for n in fleet.nodes.values())
    times = [
        t.end_micros - t.sent_micros
        for t in fleet.ledger.jobs.values()
        if t.outcome == "done" and t.job["kind"] == fleet.deployment.long_kind
    ]
    label = "with index" if uses_index else "without index"
    return {
        f"prefill tokens saved {label}, share": reused_tokens / max(1, prefix_tokens),
        f"median time of long jobs {label}, ms": statistics.median(times) / MILLI,
    }


async def measure_index(fleet: SimFleet) -> Figures:
    """Prefill savings and times with workers chosen by the index of cached prefixes."""
    return await _measure_prefill_savings(fleet, True)


async def measure_no_index(fleet: SimFleet) -> Figures:
    """The same without the index, for comparison."""
    return await _measure_prefill_savings(fleet, False)


async def measure_load_balance(fleet: SimFleet) -> Figures:
    """How evenly workers are used, and how long jobs take, at six times the usual load, after 8 s of warm-up."""
    fleet.start_load(6 * JOBS_PER_SECOND)
    await pause(fleet.world, 8 * SECOND)
    warm_micros = fleet.world.now()
    await pause(fleet.world, LOAD_SECONDS * SECOND)
    await fleet.end_load()
    counts = {f"worker-{n + 1}": 0 for n in range(fleet.worker_count)}
    for worker, record in fleet.ledger.runs:
        if worker in counts and record.at_micros > warm_micros:
            counts[worker] += 1
    figures: Figures = {"busiest worker against the mean": max(counts.values()) / statistics.mean(counts.values())}
    warm_jobs = [t for t in fleet.ledger.jobs.values() if t.sent_micros > warm_micros]
    for kind in (fleet.deployment.short_kind, fleet.deployment.long_kind):
        times = [t.end_micros - t.sent_micros for t in warm_jobs if t.outcome == "done" and t.job["kind"] == kind]
        figures[f"{kind}, median ms"] = statistics.median(times) / MILLI
        figures[f"{kind}, 99th of 100 ms"] = statistics.quantiles(times, n=100)[98] / MILLI
    figures["jobs not done, share"] = sum(t.outcome != "done" for t in warm_jobs) / len(warm_jobs)
    reused_tokens = sum(n.reused_tokens for n in fleet.nodes.values())
    prefix_tokens = sum(n.prefix_tokens for n in fleet.nodes.values())
    figures["prefill tokens saved, share"] = reused_tokens / max(1, prefix_tokens)
    return figures


async def measure_config_propagation(fleet: SimFleet) -> Figures:
    """Time from an acknowledged description until all nodes serve by it."""
    times = []
    for number in range(8):
        await fleet.apply(fleet.marked_description(str(number)))
        start_micros = fleet.world.now()
        revision = fleet.description_revision
        while any(n.view_replica.view.description_revision < revision for n in fleet.nodes.values()):
            await pause(fleet.world, 5 * MILLI)
        times.append((fleet.world.now() - start_micros) / MILLI)
        await pause(fleet.world, fleet.world.rng.randrange(SECOND))
    return {
        "acknowledged to in force on all nodes, ms (mean)": statistics.mean(times),
        "acknowledged to in force on all nodes, ms (worst)": max(times),
    }


async def measure_weights(fleet: SimFleet) -> Figures:
    """Time from an acknowledged weights change to the first job on the new weights, and to the last on the old ones."""
    fleet.start_load(JOBS_PER_SECOND)
    await pause(fleet.world, 2 * SECOND)
    await fleet.name_weights("w2")
    start_micros = fleet.world.now()
    await pause(fleet.world, 12 * SECOND)
    await fleet.end_load()
    model_runs = [r for _, r in fleet.ledger.runs if r.at_micros > start_micros and "@" in r.loaded_model]
    new_times = [r.at_micros for r in model_runs if r.loaded_model.endswith("@w2")]
    old_times = [r.at_micros for r in model_runs if not r.loaded_model.endswith("@w2")]
    failed_count = sum(t.outcome != "done" for t in fleet.ledger.jobs.values())
    return {
        "naming to first job on new weights, s": (min(new_times) - start_micros) / SECOND,
        "naming to last job on old weights, s": (max(old_times) - start_micros) / SECOND,
        "jobs not done during a roll-out": float(failed_count),
    }


async def measure_leader(fleet: SimFleet) -> Figures:
    """Time from the kill of the leader until a new one is settled, and the jobs not done in the run."""
    fleet.start_load(JOBS_PER_SECOND)
    await pause(fleet.world, 2 * SECOND)
    fleet.kill(fleet.leader())
    start_micros = fleet.world.now()
    while not fleet.leader() or not fleet.cores[fleet.leader()].raft.is_settled():
        await pause(fleet.world, 5 * MILLI)
    elected_micros = fleet.world.now()
    await pause(fleet.world, 5 * SECOND)
    await fleet.end_load()
    return {
        "leader killed to settled leader, s": (elected_micros - start_micros) / SECOND,
        "jobs not done around it": float(sum(t.outcome != "done" for t in fleet.ledger.jobs.values())),
    }


async def measure_retries(fleet: SimFleet) -> Figures:
    """Retries as a share of the jobs, with four workers down for 8 s."""
    fleet.start_load(JOBS_PER_SECOND)
    await pause(fleet.world, 3 * SECOND)
    for number in range(4):
        fleet.kill(f"worker-{number + 1}")
    await pause(fleet.world, 8 * SECOND)
    for number in range(4):
        fleet.start(f"worker-{number + 1}")
    await pause(fleet.world, 6 * SECOND)
    await fleet.end_load()
    done_count = sum(t.outcome == "done" for t in fleet.ledger.jobs.values())
    return {
        "retries, share of jobs": fleet.ledger.retry_count / max(1, fleet.ledger.budgeted_job_count),
        "jobs done, share": done_count / max(1, len(fleet.ledger.jobs)),
    }


async def measure_leaving(fleet: SimFleet) -> Figures:
    """Time from an acknowledged leaving mark to the last job that began on the worker."""
    fleet.start_load(3 * JOBS_PER_SECOND)
    await pause(fleet.world, 3 * SECOND)
    times = []
    for name in fleet.current_workers()[:4]:
        await fleet.mark_leaving(name)
        ack_micros = fleet.world.now()
        await pause(fleet.world, 4 * SECOND)
        times.append(max([r.at_micros - ack_micros for w, r in fleet.ledger.runs if w == name], default=0))
        await fleet.clear_leaving(name)
    await fleet.end_load()
    return {
        "marked leaving to last job begun there, ms (mean)": statistics.mean(max(0, t) for t in times) / MILLI,
        "marked leaving to last job begun there, ms (worst)": max(0, *times) / MILLI,
    }


async def measure_retry_after(fleet: SimFleet) -> Figures:
    """How well the advised retry time of refusals fits, in a burst of long jobs for 6 s.

    Each refused caller comes back once, at the advised time, with a new job.
    """
    description = fleet.marked_description("a")
    description["entries"][0].update(concurrency=2, queueLimit=16)
    await fleet.apply(description)
    await pause(fleet.world, 3 * SECOND)
    fleet.start_load(JOBS_PER_SECOND)
    fleet.start_burst(fleet.deployment.tenant_names[0], 60.0, fleet.deployment.long_kind)
    retried_traces: list[JobTrace] = []
    advised_seconds: list[int] = []

    async def retry_when_advised(trace: JobTrace) -> None:
        await pause(fleet.world, trace.retry_after_seconds * SECOND)
        job = {**trace.job, "jobId": f"{trace.job['jobId']}-again"}
        retried_traces.append(await fleet.call(trace.node, trace.tenant, job))

    retried_job_ids: set[str] = set()
    tasks = []
    for step in range(200):
        await pause(fleet.world, 100 * MILLI)
        if step == 60:
            fleet.end_bursts()
        for job_id, trace in list(fleet.ledger.jobs.items()):
            if trace.retry_after_seconds and job_id not in retried_job_ids and not job_id.endswith("-again"):
                retried_job_ids.add(job_id)
                advised_seconds.append(trace.retry_after_seconds)
                tasks.append(fleet.world.loop.create_task(retry_when_advised(trace)))
    await fleet.end_load()
    for task in tasks:
        await task
    outcomes = fleet.ledger.outcomes()
    return {
        "refused, told when to come back": float(len(advised_seconds)),
        "told, s (mean)": statistics.mean(advised_seconds),
        "told, s (worst)": float(max(advised_seconds)),
        "done when they came back as told, share": sum(t.outcome == "done" for t in retried_traces)
        / len(retried_traces),
        **{f"refused as {kind}": float(outcomes[kind]) for kind in ("tenant_busy", "overloaded", "deadline_passed")},
    }


async def measure_quiet(fleet: SimFleet) -> Figures:
    """Messages and bytes per second that an idle fleet exchanges."""
    await pause(fleet.world, 2 * SECOND)
    names = ("hello", "hello_result", "term_ask", "term_result", "append_ask", "append_result", "command_ask")
    before = {name: _sent_totals(fleet, name) for name in names}
    await pause(fleet.world, 10 * SECOND)
    figures: Figures = {}
    for name in names:
        count, byte_count = _sent_totals(fleet, name)
        figures[f"{name} messages a second"] = (count - before[name][0]) / 10
        figures[f"{name} bytes a second"] = (byte_count - before[name][1]) / 10
    return figures


MEASURES: dict[str, MeasureFunction] = {
    "purge": measure_purge,
    "index": measure_index,
    "no-index": measure_no_index,
    "force": measure_config_propagation,
    "weights": measure_weights,
    "leader": measure_leader,
    "retries": measure_retries,
    "quiet": measure_quiet,
    "spread": measure_load_balance,
    "leaving": measure_leaving,
    "come-back": measure_retry_after,
}


def run_measure(spec: tuple[str, str, int, int]) -> Figures:
    """Runs one measurement in a fresh fleet on virtual time.

    `spec` is the measurement's name, the deployment's, the seed, and the number of nodes (0: the deployment's). It is
    one value, as process pools map over single arguments.
    """
    name, deployment_name, seed, node_count = spec

    async def run_in_world(world: World) -> Figures:
        fleet = SimFleet(world, DEPLOYMENTS[deployment_name], node_count)
        await fleet.start_all()
        return await MEASURES[name](fleet)

    figures: Any = run_in_virtual_time(seed, run_in_world)
    return dict(figures)


def summary_rows(rows: list[Figures]) -> list[str]:
    """Markdown table rows with mean, least and greatest value of each figure over these runs."""
    lines = []
    for label in rows[0]:
        values = [row[label] for row in rows]
        lines.append(f"| {label} | {statistics.mean(values):.3g} | {min(values):.3g} | {max(values):.3g} |")
    return lines
