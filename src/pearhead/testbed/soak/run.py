"""One soak run: starts a fleet, plays a schedule under traffic, and judges what all sides saw.

Its seed and profile give the schedule. The timing of processes is their own, so a failure may need several plays.
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
from pearhead.testbed.emulator.rules import Breach, SiteBounds, Touch
from pearhead.testbed.launcher import Launcher
from pearhead.testbed.soak.faults import FaultRunner
from pearhead.testbed.soak.fleet import NotReadyError, SoakFleet
from pearhead.testbed.soak.logscan import LogScan
from pearhead.testbed.soak.schedule import ScheduledFault, ScheduleMaker, SoakProfile
from pearhead.testbed.soak.traffic import SoakTraffic

CALM_MICROS = 3 * SECOND
FIRST_CONFIG_MICROS = 60 * SECOND
SCHEDULE_FILE, VERDICT_FILE = "schedule.json", "verdict.json"


@dataclass(frozen=True)
class SoakResult:
    """What came of one seed. `folder`: where a failed run is kept; empty for one that broke nothing."""

    seed: int
    breaches: list[Breach]
    faults: dict[str, int]
    outcomes: dict[str, int]
    runs: int
    folder: str = ""

    def line(self) -> str:
        """The result in one line."""
        rules = Counter(b.rule for b in self.breaches)
        verdict = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "sound"
        served = f"{self.outcomes.get('done', 0)} of {sum(self.outcomes.values())} requests done"
        return f"seed {self.seed}: {verdict}; {sum(self.faults.values())} faults, {served}, {self.runs} runs"

    def report(self) -> list[str]:
        """The result with each breach in a line of its own."""
        kept = [f"  kept in {self.folder}; again: testbed soak --seed {self.seed} --seeds 1"] if self.folder else []
        return [self.line(), *(f"  {breach.line()}" for breach in self.breaches), *kept]

    def fields(self) -> dict[str, Any]:
        """As JSON."""
        return asdict(self)


@dataclass
class SoakRun:
    """One seed on one fleet in a folder of its own."""

    seed: int
    profile: SoakProfile
    folder_path: Path
    schedule: list[ScheduledFault] = field(init=False)

    def __post_init__(self) -> None:
        self.schedule = ScheduleMaker(self.profile, self.seed).make()

    def play(self) -> SoakResult:
        """Runs the whole story and judges it. All processes have ended when it returns."""
        fleet = SoakFleet(str(self.folder_path))
        fleet.make(self.profile, self.seed)
        held = [f.fields() for f in self.schedule]
        (self.folder_path / SCHEDULE_FILE).write_text(json.dumps({"seed": self.seed, "faults": held}, indent=1))
        breaches: list[Breach] = []
        outcomes: Counter[str] = Counter()
        try:
            outcomes = asyncio.run(self._play(fleet, breaches))
        except NotReadyError as fault:
            breaches.append(Breach("READY", f"not ready in time: {fault}"))
        finally:
            fleet.down_now()
        return self._judge(fleet, breaches, outcomes)

    async def _play(self, fleet: SoakFleet, breaches: list[Breach]) -> Counter[str]:
        await fleet.open_proxies(random.Random(f"links {self.seed}"))
        sinks = [LedgerFile(fleet.ledger_path / f"{name}.jsonl") for name in ("clients", "operator")]
        try:
            await self._begin(fleet, sinks[1])
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
            await self._end(fleet, traffic, sinks[1])
            await traffic_task
            breaches.extend(Breach("ENDED", f"{name} ended by itself") for name in runner.ended_by_themselves)
            breaches.extend(look_at_the_end(fleet, traffic.report))
            return traffic.report.outcomes
        finally:
            await fleet.close_proxies()
            for sink in sinks:
                sink.close()

    async def _begin(self, fleet: SoakFleet, sink: LedgerFile) -> None:
        fleet.up()
        operator = fleet.open_operator(sink, 0, f"first {self.seed}")
        await operator.put(fleet.plan["config"], 0, FIRST_CONFIG_MICROS)
        await fleet.wait_all_ready()

    async def _end(self, fleet: SoakFleet, traffic: SoakTraffic, sink: LedgerFile) -> None:
        """A calm at the end, then the configuration is read back."""
        await fleet.wait_all_ready()
        await sleep_for(fleet.clock, CALM_MICROS)
        await fleet.open_operator(sink, 0, f"last {self.seed}").read()
        traffic.stop()

    def _judge(self, fleet: SoakFleet, breaches: list[Breach], outcomes: Counter[str]) -> SoakResult:
        ledger = fleet.ledger()
        boot_micros = time.time_ns() // 1_000 - fleet.clock.now()
        logs = LogScan(self.folder_path, Touch(ledger, SiteBounds()), boot_micros)
        found = [*breaches, *find_breaches(ledger), *(Breach("LOGS", told) for told in logs.find())]
        faults = Counter(f.kind.value for f in self.schedule)
        return SoakResult(
            self.seed,
            found,
            dict(faults),
            dict(outcomes),
            len(ledger.runs),
            str(self.folder_path) if found else "",
        )


def look_at_the_end(fleet: Launcher, report: CallReport) -> list[Breach]:
    """What must hold once all faults are over: every process lives, and requests were served."""
    dead = [name for name in fleet.plan["processes"] if not fleet.is_alive(name)]
    found = [Breach("ENDED", f"{name} is down at the end") for name in dead]
    if not report.outcomes["done"]:
        found.append(Breach("SERVED", "no request was served"))
    return found


def play_seed(seed: int, profile: SoakProfile, kept_path: Path) -> SoakResult:
    """Plays one seed; a failed run stays under `kept_path` with its seed, schedule, ledger and logs."""
    kept_path.mkdir(parents=True, exist_ok=True)
    folder_path = Path(tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=kept_path))
    result = SoakRun(seed, profile, folder_path).play()
    if result.breaches:
        (folder_path / VERDICT_FILE).write_text(json.dumps(result.fields(), indent=1))
    else:
        shutil.rmtree(folder_path)
    return result


def soak(
    seeds: list[int], profile: SoakProfile, kept_path: Path, journal_path: Path | None, show: Callable[[str], None]
) -> int:
    """Plays seeds one after another, writes each result to the journal, and returns how many failed."""
    failed_count = 0
    for seed in seeds:
        result = play_seed(seed, profile, kept_path)
        failed_count += bool(result.breaches)
        if journal_path is not None:
            with journal_path.open("a") as journal_file:
                journal_file.write(json.dumps(result.fields()) + "\n")
        for line in result.report():
            show(line)
    return failed_count
