"""A soak run: starts a fleet, injects the faults of a schedule under traffic, and checks what was recorded.

Seed and profile determine the schedule, but not the timing of the processes: it may take several runs of a seed to
reproduce a failure.
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND, sleep_for
from pearhead.testbed.emulator.checkers import find_breaches
from pearhead.testbed.emulator.client import CallReport
from pearhead.testbed.emulator.ledger import LedgerFile
from pearhead.testbed.emulator.rules import Breach, SiteBounds, TroubleHistory
from pearhead.testbed.launcher import Launcher
from pearhead.testbed.soak.fault_runner import FaultRunner
from pearhead.testbed.soak.fleet import NotReadyError, SoakFleet
from pearhead.testbed.soak.log_scanner import LogScanner
from pearhead.testbed.soak.schedule import ScheduledFault, ScheduleGenerator, SoakProfile
from pearhead.testbed.soak.traffic import SoakTraffic

QUIET_PERIOD_MICROS = 3 * SECOND
FIRST_CONFIG_TIMEOUT_MICROS = 60 * SECOND
SCHEDULE_FILE, VERDICT_FILE = "schedule.json", "verdict.json"


@dataclass(frozen=True)
class SoakResult:
    """The result of one seed.

    Attributes:
        seed: The seed of the run.
        breaches: The rules that were broken.
        faults: Number of scheduled faults, by kind.
        outcomes: Number of requests, by outcome.
        runs: How many times workers ran a request.
        folder: The folder of a failed run; empty if no rule was broken.
    """

    seed: int
    breaches: list[Breach]
    faults: dict[str, int]
    outcomes: dict[str, int]
    runs: int
    folder: str = ""

    def summary(self) -> str:
        """The result as one line for the console."""
        rules = Counter(b.rule for b in self.breaches)
        verdict = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "sound"
        served = f"{self.outcomes.get('done', 0)} of {sum(self.outcomes.values())} requests done"
        return f"seed {self.seed}: {verdict}; {sum(self.faults.values())} faults, {served}, {self.runs} runs"

    def report_lines(self) -> list[str]:
        """The summary, then a line for each breach, then where a failed run is kept and how to repeat it."""
        location = [f"  kept in {self.folder}; rerun: testbed soak --seed {self.seed} --seeds 1"] if self.folder else []
        return [self.summary(), *(f"  {breach.line()}" for breach in self.breaches), *location]

    def fields(self) -> dict[str, Any]:
        """The result as a JSON object."""
        return asdict(self)


@dataclass
class SoakRun:
    """A run of one seed, on a fleet in a folder of its own."""

    seed: int
    profile: SoakProfile
    folder_path: Path
    schedule: list[ScheduledFault] = field(init=False)

    def __post_init__(self) -> None:
        self.schedule = ScheduleGenerator(self.profile, self.seed).generate()

    def run(self) -> SoakResult:
        """Runs the fleet through the schedule and checks the records. All processes have ended when it returns."""
        fleet = SoakFleet(str(self.folder_path))
        fleet.prepare_site(self.profile, self.seed)
        fault_fields = [f.fields() for f in self.schedule]
        (self.folder_path / SCHEDULE_FILE).write_text(json.dumps({"seed": self.seed, "faults": fault_fields}, indent=1))
        breaches: list[Breach] = []
        outcomes: Counter[str] = Counter()
        try:
            outcomes = asyncio.run(self._run(fleet, breaches))
        except NotReadyError as fault:
            breaches.append(Breach("READY", f"not ready in time: {fault}"))
        finally:
            fleet.kill_all()
        return self._build_result(fleet, breaches, outcomes)

    async def _run(self, fleet: SoakFleet, breaches: list[Breach]) -> Counter[str]:
        await fleet.open_proxies(random.Random(f"links {self.seed}"))
        sinks = [LedgerFile(fleet.ledger_path / f"{name}.jsonl") for name in ("clients", "operator")]
        try:
            await self._start_fleet(fleet, sinks[1])
            traffic = SoakTraffic(
                fleet.site,
                fleet.plan["config"],
                fleet.clock,
                sinks[0],
                self.seed,
                self.profile.longest_pause_seconds,
                fleet.proxies.values(),
            )
            traffic_task = asyncio.ensure_future(traffic.run(self.profile.clients))
            runner = FaultRunner(fleet, self.seed, sinks[1], traffic.source.use_config)
            await runner.run(self.schedule)
            await self._finish(fleet, traffic, sinks[1])
            await traffic_task
            breaches.extend(Breach("ENDED", f"{name} ended by itself") for name in runner.unexpected_exits)
            breaches.extend(check_final_state(fleet, traffic.report))
            return traffic.report.outcomes
        finally:
            await fleet.close_proxies()
            for sink in sinks:
                sink.close()

    async def _start_fleet(self, fleet: SoakFleet, sink: LedgerFile) -> None:
        fleet.up()
        operator = fleet.make_operator(sink, 0, f"first {self.seed}")
        await operator.put(fleet.plan["config"], 0, FIRST_CONFIG_TIMEOUT_MICROS)
        await fleet.wait_all_ready()

    async def _finish(self, fleet: SoakFleet, traffic: SoakTraffic, sink: LedgerFile) -> None:
        """Waits for a quiet period without faults, reads the configuration back, and stops the traffic."""
        await fleet.wait_all_ready()
        await sleep_for(fleet.clock, QUIET_PERIOD_MICROS)
        await fleet.make_operator(sink, 0, f"last {self.seed}").read()
        traffic.stop()

    def _build_result(self, fleet: SoakFleet, breaches: list[Breach], outcomes: Counter[str]) -> SoakResult:
        ledger = fleet.ledger()
        boot_time_micros = time.time_ns() // 1_000 - fleet.clock.now()
        logs = LogScanner(self.folder_path, TroubleHistory(ledger, SiteBounds()), boot_time_micros)
        found = [*breaches, *find_breaches(ledger), *(Breach("LOGS", line) for line in logs.find_errors())]
        faults = Counter(f.kind.value for f in self.schedule)
        return SoakResult(
            self.seed,
            found,
            dict(faults),
            dict(outcomes),
            len(ledger.runs),
            str(self.folder_path) if found else "",
        )


def check_final_state(fleet: Launcher, report: CallReport) -> list[Breach]:
    """Checks what must hold once all faults are over: every process runs, and requests were served."""
    dead = [name for name in fleet.plan["processes"] if not fleet.is_alive(name)]
    found = [Breach("ENDED", f"{name} is down at the end") for name in dead]
    if not report.outcomes["done"]:
        found.append(Breach("SERVED", "no request was served"))
    return found


def run_seed(seed: int, profile: SoakProfile, failures_path: Path) -> SoakResult:
    """Runs one seed; a failed run is kept under `failures_path` with its seed, schedule, ledger and logs."""
    failures_path.mkdir(parents=True, exist_ok=True)
    folder_path = Path(tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=failures_path))
    result = SoakRun(seed, profile, folder_path).run()
    if result.breaches:
        (folder_path / VERDICT_FILE).write_text(json.dumps(result.fields(), indent=1))
    else:
        shutil.rmtree(folder_path)
    return result


def soak(
    seeds: list[int], profile: SoakProfile, failures_path: Path, journal_path: Path | None, show: Callable[[str], None]
) -> int:
    """Runs seeds one after another, appends each result to the journal, and returns how many failed."""
    failed_count = 0
    for seed in seeds:
        result = run_seed(seed, profile, failures_path)
        failed_count += bool(result.breaches)
        if journal_path is not None:
            with journal_path.open("a") as journal_file:
                journal_file.write(json.dumps(result.fields()) + "\n")
        for line in result.report_lines():
            show(line)
    return failed_count
