"""Sweep (§9.7): many seeds in parallel, resumable by a journal; a failing run is shortened."""

from __future__ import annotations

import concurrent.futures
import json
import multiprocessing
import statistics
import tempfile
import unittest
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from pearhead.awl.clock import SECOND
from pearhead.jig.sim.runner import RunOrder, RunResult, run_order
from pearhead.jig.sim.strikes import StrikePlan

OVERLAPPING = "overlapping-faults"
RunMany = Callable[[list[RunOrder]], Iterable[RunResult]]


def run_as_they_end(orders: list[RunOrder]) -> Iterator[RunResult]:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context) as pool:
        for future in concurrent.futures.as_completed([pool.submit(run_order, order) for order in orders]):
            yield future.result()


def checks_of(result: RunResult) -> set[str]:
    return {breach.partition(":")[0] for breach in result.breaches}


class Shortener:
    """Leaves out strikes, as long as the run still breaks one of the rules it broke at first."""

    def __init__(self, runMany: RunMany) -> None:
        self.runMany = runMany

    def shorten(self, failed: RunResult) -> RunResult:
        if failed.order.scenario != OVERLAPPING:
            return failed
        numbers = [s.number for s in StrikePlan().draw(failed.order.seed)]
        wanted = checks_of(failed)
        shortest = failed
        isShorter = True
        while isShorter:
            isShorter = False
            left = [n for n in numbers if n not in shortest.order.leftOut]
            tries = [replace(shortest.order, leftOut=shortest.order.leftOut | {n}) for n in left]
            stillFailing = [r for r in self.runMany(tries) if checks_of(r) & wanted]
            if stillFailing:
                # The one that needs the least time is the easiest to read.
                shortest = min(stillFailing, key=lambda r: (r.virtualSeconds, sorted(r.order.leftOut)))
                isShorter = True
        return shortest


class Sweep:
    def __init__(self, journalPath: Path | None, runMany: RunMany, tell: Callable[[str], None]) -> None:
        self.journalPath = journalPath
        self.runMany = runMany
        self.tell = tell

    def run(self, orders: list[RunOrder]) -> int:
        """How many of the orders broke a rule, now or in the journal; one line for each that did."""
        done = self._read_journal()
        failedCount = sum(int(done.get(o.command(), {}).get("breaches", 0)) > 0 for o in orders)
        open_ = [o for o in orders if o.command() not in done]
        self.tell(f"{len(orders)} runs, {len(orders) - len(open_)} in the journal")
        failures: list[RunResult] = []
        for result in self.runMany(open_):
            self._note(result)
            if result.breaches:
                failures.append(result)
                self.tell(f"{result.order.command()}: {result.breaches[0].splitlines()[-1][:200]}")
        for failure in failures:
            shortest = Shortener(self.runMany).shorten(failure)
            if shortest is not failure:
                self.tell("shortened:")
                self.tell(shortest.failure())
        for line in self.summary(orders):
            self.tell(line)
        return failedCount + len(failures)

    def summary(self, orders: list[RunOrder]) -> list[str]:
        """A row a scenario and deployment, of all seeds asked for: how long service took to come back."""
        done = self._read_journal()
        rows: dict[tuple[str, str], list[dict[str, Any]]] = {}
        for order in orders:
            if order.command() in done:
                rows.setdefault((order.scenario, order.deployment), []).append(done[order.command()])
        lines = ["| scenario | deployment | runs | broke a rule | back after, s: mean | worst | retries |"]
        lines += ["| --- | --- | --- | --- | --- | --- | --- |"] if rows else []
        for (scenario, deployment), group in sorted(rows.items()):
            seconds = [(row["recoveryMicros"] or 0) / SECOND for row in group]
            retryShare = sum(row["retries"] for row in group) / max(1, sum(row["carried"] for row in group))
            lines.append(
                f"| {scenario} | {deployment} | {len(group)} | {sum(row['breaches'] > 0 for row in group)} | "
                f"{statistics.mean(seconds):.1f} | {max(seconds):.1f} | {retryShare:.1%} |"
            )
        return lines if rows else []

    def _read_journal(self) -> dict[str, Any]:
        if self.journalPath is None or not self.journalPath.exists():
            return {}
        rows: dict[str, Any] = {}
        for line in self.journalPath.read_text().splitlines():
            try:
                row = json.loads(line)
                rows[row["command"]] = row
            except (ValueError, KeyError):
                continue  # The sweep was stopped while it wrote this one.
        return rows

    def _note(self, result: RunResult) -> None:
        if self.journalPath is None:
            return
        row = {
            "command": result.order.command(), "breaches": len(result.breaches), "checks": sorted(checks_of(result)),
            "recoveryMicros": result.recoveryMicros, "outcomes": result.outcomes, "retries": result.retryCount,
            "carried": result.carriedCount, "hash": result.runHash,
        }
        with self.journalPath.open("a") as journal:
            journal.write(json.dumps(row) + "\n")


class SweepTest(unittest.TestCase):
    def test_a_sweep_goes_on_where_it_stopped_and_shortens_what_failed(self) -> None:
        ran: list[RunOrder] = []

        def run_many(orders: list[RunOrder]) -> list[RunResult]:
            ran.extend(orders)
            # Strikes 3 and 5 together break a rule in seed 2.
            return [
                RunResult(o, ["force: x"] if o.seed == 2 and not o.leftOut & {3, 5} else []) for o in orders
            ]

        said: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            journalPath = Path(folder) / "journal"
            orders = [RunOrder(OVERLAPPING, "academy", seed) for seed in (1, 2)]
            self.assertEqual(Sweep(journalPath, run_many, said.append).run(orders[:1]), 0)
            with journalPath.open("a") as journal:
                journal.write('{"command": "jig si')
            journalPath.write_text(journalPath.read_text() + "\n")
            ran.clear()
            self.assertEqual(Sweep(journalPath, run_many, said.append).run(orders), 1)
            self.assertEqual(ran[0], orders[1], "the first one stood in the journal")
            drawn = {s.number for s in StrikePlan().draw(2)}
            self.assertEqual(drawn - ran[-1].leftOut - {3, 5}, set())
            self.assertEqual(Sweep(journalPath, run_many, said.append).run(orders), 1, "a failure is not forgotten")
            self.assertIn("| overlapping-faults | academy | 2 | 1 | 0.0 | 0.0 | 0.0% |", said)
