"""Records the jobs and faults of a run in a file, and replays them with another description or build (§9.11)."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND
from pearhead.testbed.deployment import DEPLOYMENTS, build_description
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.ledger import Ledger
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

RECORDING_FORMAT = 1
FAULT_ACTIONS = ("kill", "power", "start", "freeze", "wake", "cut", "heal")


@dataclass
class Recording:
    """A recorded run. Its file has one JSON object per line: a header, then the events.

    Attributes:
        deployment: Name of the simulated deployment.
        seed: Seed of the run.
        node_count: Number of router nodes.
        events: Jobs with their outcomes, faults and weights changes, ordered by `at`: microseconds since the recording
            began. Other actions, such as disk faults, lost datagrams and applied descriptions, are not recorded.
    """

    deployment: str
    seed: int = 1
    node_count: int = 0
    events: list[dict[str, Any]] = field(default_factory=list)

    def write(self, file_path: str) -> None:
        """Writes the recording to a file, which is replaced if it exists."""
        head = {
            "format": RECORDING_FORMAT,
            "deployment": self.deployment,
            "seed": self.seed,
            "nodeCount": self.node_count,
        }
        lines = [json.dumps(head)] + [json.dumps(event) for event in self.events]
        Path(file_path).write_text("\n".join(lines) + "\n", encoding="utf-8")

    def outcomes(self) -> dict[str, str]:
        """Returns the recorded outcome of each job, by job id."""
        return {e["job"]["jobId"]: e["outcome"] for e in self.events if e["kind"] == "job"}


def read_recording(file_path: str) -> Recording:
    """Reads a recording. Raises ValueError if it has another format, OSError if the file can't be read."""
    lines = Path(file_path).read_text(encoding="utf-8").splitlines()
    head = json.loads(lines[0])
    if head.get("format") != RECORDING_FORMAT:
        raise ValueError(f"{file_path}: not a recording of format {RECORDING_FORMAT}")
    return Recording(head["deployment"], head["seed"], head["nodeCount"], [json.loads(x) for x in lines[1:]])


def build_recording(fleet: SimFleet, start_micros: int) -> Recording:
    """Builds the recording of a finished run, from `start_micros` on for its faults."""
    events: list[dict[str, Any]] = [
        {
            "at": trace.sent_micros - start_micros,
            "kind": "job",
            "node": trace.node,
            "tenant": trace.tenant,
            "job": trace.job,
            "outcome": trace.outcome,
        }
        for trace in fleet.ledger.jobs.values()
    ]
    events += [
        {"at": at - start_micros, "kind": kind, **more} for at, kind, more in fleet.actions if at >= start_micros
    ]
    events.sort(key=lambda event: (event["at"], event["kind"]))
    return Recording(fleet.deployment.name, fleet.world.seed, fleet.node_count, events)


@dataclass
class Replay:
    """What a replay did.

    Attributes:
        ledger: Everything that was observed, for the checkers.
        outcomes: Outcome of each job, by job id.
        placements: Number of jobs that ran on each worker.
        reused_share: Share of the prefix tokens of all jobs that were reused from a cache.
    """

    ledger: Ledger
    outcomes: dict[str, str]
    placements: Counter[str]
    reused_share: float


def replay(recording: Recording, description: dict[str, Any] | None, with_faults: bool) -> Replay:
    """Runs the recorded jobs again in a new simulation, at their recorded times.

    `description` replaces the deployment's own unless it is None. `with_faults` also repeats the recorded faults and
    operator actions. Raises ValueError if the description is rejected.
    """

    async def play(world: World) -> Replay:
        fleet = SimFleet(world, DEPLOYMENTS[recording.deployment], recording.node_count)
        await fleet.start_all()
        if description is not None:
            status = await fleet.apply(description)
            if status != "done":
                raise ValueError(f"the description was rejected: {status}")
            await pause(world, 3 * SECOND)
        start_micros = world.now()
        for event in recording.events:
            await pause(world, max(0, start_micros + event["at"] - world.now()))
            if event["kind"] == "job":
                call_task = world.loop.create_task(_replay_job(fleet, event))
                fleet.open_jobs.add(call_task)
                call_task.add_done_callback(fleet.open_jobs.discard)
            elif with_faults:
                await _apply_action(fleet, event)
        await fleet.end_load()
        nodes = fleet.nodes.values()
        return Replay(
            fleet.ledger,
            {job_id: trace.outcome for job_id, trace in fleet.ledger.jobs.items()},
            Counter(worker for worker, _ in fleet.ledger.runs),
            sum(n.reused_tokens for n in nodes) / max(1, sum(n.prefix_tokens for n in nodes)),
        )

    replay_result: Replay = run_in_virtual_time(recording.seed, play)
    return replay_result


async def _replay_job(fleet: SimFleet, event: dict[str, Any]) -> None:
    await fleet.call(event["node"], event["tenant"], event["job"])


async def _apply_action(fleet: SimFleet, event: dict[str, Any]) -> None:
    """Repeats a recorded fault or operator action."""
    kind, name = event["kind"], event.get("name", "")
    if kind in ("kill", "power"):
        fleet.kill(name, loses_power=kind == "power")
    elif kind == "start":
        fleet.start(name)
    elif kind == "freeze":
        fleet.freeze(name)
    elif kind == "wake":
        fleet.wake(name)
    elif kind == "cut":
        fleet.world.cuts.update((a, b) for a, b in event["pairs"])
    elif kind == "mend":
        fleet.world.cuts.difference_update((a, b) for a, b in event["pairs"])
    elif kind == "heal":
        fleet.world.heal()
    elif kind == "weights":
        fleet.open_jobs.add(fleet.world.loop.create_task(_name_weights(fleet, event["weights"])))


async def _name_weights(fleet: SimFleet, weights: str) -> None:
    await fleet.name_weights(weights)


def compare_replay(recording: Recording, replay_result: Replay) -> list[str]:
    """Returns a report of how a replay differs from its recording: jobs by outcome, then the first 20 changed jobs."""
    before, after = recording.outcomes(), replay_result.outcomes
    lines = [f"{'outcome':<18} {'recorded':>9} {'replayed':>9}"]
    counts = Counter(before.values()), Counter(after.values())
    for outcome in sorted(set(counts[0]) | set(counts[1])):
        lines.append(f"{outcome:<18} {counts[0][outcome]:>9} {counts[1][outcome]:>9}")
    changed = [job_id for job_id in before if before[job_id] != after.get(job_id)]
    lines.append(f"{len(changed)} of {len(before)} jobs have another outcome")
    lines += [f"  {job_id}: {before[job_id]} -> {after.get(job_id, 'not sent')}" for job_id in changed[:20]]
    return lines


def preview_description(recording: Recording, description: dict[str, Any]) -> list[str]:
    """Returns a report that compares a description with the deployment's own on a recorded load, without its faults.

    It shows the outcomes by tenant and kind, the share of reused prefix tokens, and the jobs by worker.
    """
    present = replay(recording, build_description(DEPLOYMENTS[recording.deployment]), with_faults=False)
    planned = replay(recording, description, with_faults=False)
    rows: dict[tuple[str, str], list[Counter[str]]] = {}
    for event in recording.events:
        if event["kind"] == "job":
            key = (event["tenant"], event["job"]["kind"])
            row = rows.setdefault(key, [Counter(), Counter()])
            row[0][present.outcomes.get(event["job"]["jobId"], "not sent")] += 1
            row[1][planned.outcomes.get(event["job"]["jobId"], "not sent")] += 1
    lines = [f"{'tenant':<18} {'kind':<18} {'present':<34} planned"]
    for (tenant, kind), (before, after) in sorted(rows.items()):
        lines.append(f"{tenant:<18} {kind:<18} {_format_counts(before):<34} {_format_counts(after)}")
    lines.append(f"prefix tokens reused: {present.reused_share:.3f} present, {planned.reused_share:.3f} planned")
    workers = sorted(set(present.placements) | set(planned.placements))
    lines += [f"{w:<18} jobs {present.placements[w]:>6} present {planned.placements[w]:>6} planned" for w in workers]
    return lines


def _format_counts(counter: Counter[str]) -> str:
    return " ".join(f"{name}={count}" for name, count in sorted(counter.items()))
