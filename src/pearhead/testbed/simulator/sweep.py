"""Sweep (§9.7): many seeds in parallel, resumable by a journal; a failing run is shortened."""

from __future__ import annotations

import concurrent.futures
import json
import multiprocessing
import statistics
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.fault_schedule import SimFaultSchedule
from pearhead.testbed.simulator.runner import RunResult, RunSpec, run_spec

OVERLAPPING_FAULTS_SCENARIO = "overlapping-faults"
RunMany = Callable[[list[RunSpec]], Iterable[RunResult]]


def run_as_completed(specs: list[RunSpec]) -> Iterator[RunResult]:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context) as pool:
        for future in concurrent.futures.as_completed([pool.submit(run_spec, spec) for spec in specs]):
            yield future.result()


def failed_checks(result: RunResult) -> set[str]:
    return {breach.partition(":")[0] for breach in result.breaches}


class FailureMinimizer:
    """Leaves out strikes, as long as the run still breaks one of the rules it broke at first."""

    def __init__(self, run_many: RunMany) -> None:
        self.run_many = run_many

    def minimize_failure(self, failed: RunResult) -> RunResult:
        if failed.spec.scenario != OVERLAPPING_FAULTS_SCENARIO:
            return failed
        numbers = [s.number for s in SimFaultSchedule().generate(failed.spec.seed)]
        wanted = failed_checks(failed)
        minimal_result = failed
        is_shorter = True
        while is_shorter:
            is_shorter = False
            left = [n for n in numbers if n not in minimal_result.spec.excluded_faults]
            tries = [
                replace(minimal_result.spec, excluded_faults=minimal_result.spec.excluded_faults | {n}) for n in left
            ]
            still_failing = [r for r in self.run_many(tries) if failed_checks(r) & wanted]
            if still_failing:
                # The one that needs the least time is the easiest to read.
                minimal_result = min(still_failing, key=lambda r: (r.virtual_seconds, sorted(r.spec.excluded_faults)))
                is_shorter = True
        return minimal_result


class Sweep:
    def __init__(self, journal_path: Path | None, run_many: RunMany, report_line: Callable[[str], None]) -> None:
        self.journal_path = journal_path
        self.run_many = run_many
        self.report_line = report_line

    def run(self, specs: list[RunSpec]) -> int:
        """How many of the orders broke a rule, now or in the journal; one line for each that did."""
        done = self._read_journal()
        failed_count = sum(int(done.get(o.command(), {}).get("breaches", 0)) > 0 for o in specs)
        pending_specs = [o for o in specs if o.command() not in done]
        self.report_line(f"{len(specs)} runs, {len(specs) - len(pending_specs)} in the journal")
        failures: list[RunResult] = []
        for result in self.run_many(pending_specs):
            self._append_to_journal(result)
            if result.breaches:
                failures.append(result)
                self.report_line(f"{result.spec.command()}: {result.breaches[0].splitlines()[-1][:200]}")
        for failure in failures:
            minimal_result = FailureMinimizer(self.run_many).minimize_failure(failure)
            if minimal_result is not failure:
                self.report_line("shortened:")
                self.report_line(minimal_result.failure())
        for line in self.summary(specs):
            self.report_line(line)
        return failed_count + len(failures)

    def summary(self, specs: list[RunSpec]) -> list[str]:
        """A row a scenario and deployment, of all seeds asked for: how long service took to come back."""
        done = self._read_journal()
        rows: dict[tuple[str, str], list[dict[str, Any]]] = {}
        for spec in specs:
            if spec.command() in done:
                rows.setdefault((spec.scenario, spec.deployment), []).append(done[spec.command()])
        lines = ["| scenario | deployment | runs | broke a rule | back after, s: mean | worst | retries |"]
        lines += ["| --- | --- | --- | --- | --- | --- | --- |"] if rows else []
        for (scenario, deployment), group in sorted(rows.items()):
            seconds = [(row["recoveryMicros"] or 0) / SECOND for row in group]
            retry_share = sum(row["retries"] for row in group) / max(1, sum(row["carried"] for row in group))
            lines.append(
                f"| {scenario} | {deployment} | {len(group)} | {sum(row['breaches'] > 0 for row in group)} | "
                f"{statistics.mean(seconds):.1f} | {max(seconds):.1f} | {retry_share:.1%} |"
            )
        return lines if rows else []

    def _read_journal(self) -> dict[str, Any]:
        if self.journal_path is None or not self.journal_path.exists():
            return {}
        rows: dict[str, Any] = {}
        for line in self.journal_path.read_text().splitlines():
            try:
                row = json.loads(line)
                rows[row["command"]] = row
            except (ValueError, KeyError):
                continue  # The sweep was stopped while it wrote this one.
        return rows

    def _append_to_journal(self, result: RunResult) -> None:
        if self.journal_path is None:
            return
        row = {
            "command": result.spec.command(),
            "breaches": len(result.breaches),
            "checks": sorted(failed_checks(result)),
            "recoveryMicros": result.recovery_micros,
            "outcomes": result.outcomes,
            "retries": result.retry_count,
            "carried": result.budgeted_job_count,
            "hash": result.run_hash,
        }
        with self.journal_path.open("a") as journal:
            journal.write(json.dumps(row) + "\n")
