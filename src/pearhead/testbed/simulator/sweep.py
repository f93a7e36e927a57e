"""Runs many seeds in parallel, resumes from a journal and minimizes failing runs (§9.7)."""

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
    """Runs all specs in a process pool and yields each result as soon as it is there, in any order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context) as pool:
        for future in concurrent.futures.as_completed([pool.submit(run_spec, spec) for spec in specs]):
            yield future.result()


def failed_checks(result: RunResult) -> set[str]:
    """Returns the names of the checks that a run failed: the part of each breach before its first colon."""
    return {breach.partition(":")[0] for breach in result.breaches}


class FailureMinimizer:
    """Removes faults from a failing run, as long as it still fails one of the checks that it failed at first."""

    def __init__(self, run_many: RunMany) -> None:
        self.run_many = run_many

    def minimize_failure(self, failed: RunResult) -> RunResult:
        """Returns the run with the fewest faults found, or `failed` itself if none can be left out.

        Only runs of OVERLAPPING_FAULTS_SCENARIO have faults to leave out.
        """
        if failed.spec.scenario != OVERLAPPING_FAULTS_SCENARIO:
            return failed
        numbers = [f.number for f in SimFaultSchedule().generate(failed.spec.seed)]
        original_checks = failed_checks(failed)
        minimal_result = failed
        was_reduced = True
        while was_reduced:
            was_reduced = False
            remaining = [n for n in numbers if n not in minimal_result.spec.excluded_faults]
            candidates = [
                replace(minimal_result.spec, excluded_faults=minimal_result.spec.excluded_faults | {n})
                for n in remaining
            ]
            still_failing = [r for r in self.run_many(candidates) if failed_checks(r) & original_checks]
            if still_failing:
                # The shortest run is the easiest to read.
                minimal_result = min(still_failing, key=lambda r: (r.virtual_seconds, sorted(r.spec.excluded_faults)))
                was_reduced = True
        return minimal_result


class Sweep:
    """Runs a list of specs and skips those whose results are in the journal.

    Attributes:
        journal_path: File with one JSON object per finished run; None keeps no journal.
        run_many: Runs specs and returns or yields their results in any order.
        report_line: Called with each line of the report.
    """

    def __init__(self, journal_path: Path | None, run_many: RunMany, report_line: Callable[[str], None]) -> None:
        self.journal_path = journal_path
        self.run_many = run_many
        self.report_line = report_line

    def run(self, specs: list[RunSpec]) -> int:
        """Returns how many of the runs failed, now or according to the journal.

        Reports a line for each run that fails now, its minimized form if there is one, and the summary.
        """
        done = self._read_journal()
        failed_count = sum(int(done.get(s.command(), {}).get("breaches", 0)) > 0 for s in specs)
        pending_specs = [s for s in specs if s.command() not in done]
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
                self.report_line("minimized:")
                self.report_line(minimal_result.failure_report())
        for line in self.summary(specs):
            self.report_line(line)
        return failed_count + len(failures)

    def summary(self, specs: list[RunSpec]) -> list[str]:
        """Returns a Markdown table with a row per scenario and deployment; no lines if the journal has no such run.

        Times are recovery times in seconds over all requested seeds; only runs in the journal are counted.
        """
        done = self._read_journal()
        rows: dict[tuple[str, str], list[dict[str, Any]]] = {}
        for spec in specs:
            if spec.command() in done:
                rows.setdefault((spec.scenario, spec.deployment), []).append(done[spec.command()])
        lines = ["| scenario | deployment | runs | failed | recovery, s: mean | worst | retries |"]
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
                continue  # The sweep was stopped while it wrote this line.
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
