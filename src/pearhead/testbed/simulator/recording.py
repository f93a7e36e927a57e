"""Recording (§9.11): a run's jobs and faults in a file, played again on another description or build."""

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
    """One JSON object a line: a head, then jobs with their outcomes and faults, by time since the start."""

    deployment: str
    seed: int = 1
    node_count: int = 0
    events: list[dict[str, Any]] = field(default_factory=list)

    def write(self, file_path: str) -> None:
        head = {
            "format": RECORDING_FORMAT,
            "deployment": self.deployment,
            "seed": self.seed,
            "nodeCount": self.node_count,
        }
        lines = [json.dumps(head)] + [json.dumps(event) for event in self.events]
        Path(file_path).write_text("\n".join(lines) + "\n", encoding="utf-8")

    def outcomes(self) -> dict[str, str]:
        return {e["job"]["jobId"]: e["outcome"] for e in self.events if e["kind"] == "job"}


def read_recording(file_path: str) -> Recording:
    lines = Path(file_path).read_text(encoding="utf-8").splitlines()
    head = json.loads(lines[0])
    if head.get("format") != RECORDING_FORMAT:
        raise ValueError(f"{file_path}: not a recording of format {RECORDING_FORMAT}")
    return Recording(head["deployment"], head["seed"], head["nodeCount"], [json.loads(x) for x in lines[1:]])


def build_recording(fleet: SimFleet, start_micros: int) -> Recording:
    """What a finished run did, in order of time."""
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
    ledger: Ledger
    outcomes: dict[str, str]
    placements: Counter[str]
    reused_share: float


def replay(recording: Recording, description: dict[str, Any] | None, with_faults: bool) -> Replay:
    async def play(world: World) -> Replay:
        fleet = SimFleet(world, DEPLOYMENTS[recording.deployment], recording.node_count)
        await fleet.up()
        if description is not None:
            status = await fleet.apply(description)
            if status != "done":
                raise ValueError(f"the description was not taken: {status}")
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
            {j: t.outcome for j, t in fleet.ledger.jobs.items()},
            Counter(worker for worker, _ in fleet.ledger.runs),
            sum(n.reused_tokens for n in nodes) / max(1, sum(n.prefix_tokens for n in nodes)),
        )

    replay_result: Replay = run_in_virtual_time(recording.seed, play)
    return replay_result


async def _replay_job(fleet: SimFleet, event: dict[str, Any]) -> None:
    await fleet.call(event["node"], event["tenant"], event["job"])


async def _apply_action(fleet: SimFleet, event: dict[str, Any]) -> None:
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
    """The difference, in counts and then job by job."""
    before, after = recording.outcomes(), replay_result.outcomes
    lines = [f"{'outcome':<18} {'recorded':>9} {'replayed':>9}"]
    counts = Counter(before.values()), Counter(after.values())
    for outcome in sorted(set(counts[0]) | set(counts[1])):
        lines.append(f"{outcome:<18} {counts[0][outcome]:>9} {counts[1][outcome]:>9}")
    changed = [j for j in before if before[j] != after.get(j)]
    lines.append(f"{len(changed)} of {len(before)} jobs ended otherwise")
    lines += [f"  {j}: {before[j]} -> {after.get(j, 'not sent')}" for j in changed[:20]]
    return lines


def preview_description(recording: Recording, description: dict[str, Any]) -> list[str]:
    """What a description would do with a recorded load, beside the one that the example ships."""
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
        lines.append(f"{tenant:<18} {kind:<18} {_counts(before):<34} {_counts(after)}")
    lines.append(f"prefix tokens reused: {present.reused_share:.3f} present, {planned.reused_share:.3f} planned")
    workers = sorted(set(present.placements) | set(planned.placements))
    lines += [f"{w:<18} jobs {present.placements[w]:>6} present {planned.placements[w]:>6} planned" for w in workers]
    return lines


def _counts(counter: Counter[str]) -> str:
    return " ".join(f"{name}={count}" for name, count in sorted(counter.items()))
