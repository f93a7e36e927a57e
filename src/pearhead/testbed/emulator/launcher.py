"""SiteLauncher (§9.13): runs the programs in `platform/` inside the emulated platform, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND, BootClock
from pearhead.testbed.deployment import Deployment
from pearhead.testbed.emulator.address_block import AddressBlock, BlockTakenError, claim_free_block
from pearhead.testbed.emulator.checkers import find_breaches
from pearhead.testbed.emulator.client import CallReport, SiteLoadGenerator
from pearhead.testbed.emulator.ledger import LedgerFile, Life, SiteLedger, Trouble, read_ledger
from pearhead.testbed.emulator.operator import SiteOperator, apply_patch
from pearhead.testbed.emulator.plan import (
    BOUNDS,
    CLOUD_PORT,
    CONTROL_PORT,
    FRONT_PORT,
    INTERNAL_PORTS,
    READINESS_PORT,
    STORE_PORT,
    WORKER_PORT,
    Machine,
    PlanMaker,
    SitePlan,
    SiteSize,
    node_settings,
    program_settings,
    read_plan,
)
from pearhead.testbed.emulator.raw_http import send_request
from pearhead.testbed.launcher import Launcher

ROOT = Path(__file__).resolve().parents[4]
PORTS = {
    "control_plane": CONTROL_PORT,
    "router": FRONT_PORT,
    "engine": WORKER_PORT,
    "store": STORE_PORT,
    "cloud": CLOUD_PORT,
}
CLAIMED_PORTS = (*PORTS.values(), READINESS_PORT, INTERNAL_PORTS[0])
PLATFORM_PROGRAMS = ("control_plane", "router")
START_ORDER = ("cloud", "store", "engine", "control_plane", "router")
TROUBLE_BY_SIGNAL = {
    signal.SIGKILL: "killed",
    signal.SIGTERM: "stopped",
    signal.SIGSTOP: "frozen",
    signal.SIGCONT: "woken",
    signal.SIGHUP: "reloaded",
}
LISTENING_LINE = re.compile(r" Listens\. node=(\w+) address=([\d.]+):")
INHERITED_VARIABLES = ("PATH", "HOME", "LANG")


class SiteLauncher(Launcher):
    """Starts, stops, observes and disturbs one emulated site, whose files are all in one folder.

    The state that outlives this object is in `plan`, which is saved after each change. Methods that wait raise
    RuntimeError if what they wait for does not happen in time.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.clock = BootClock()
        self.address_block: AddressBlock | None = None

    @property
    def site(self) -> SitePlan:
        """The saved plan of the site, as a new object; changes to it must be saved explicitly."""
        return read_plan(self.plan["site"])

    @property
    def ledger_path(self) -> Path:
        """The folder with the ledger files of all processes."""
        return self.folder_path / "ledger"

    def make_site(self, deployment: Deployment, size: SiteSize, seed: int) -> None:
        """Claims an address block, draws a plan for it from the seed, and saves the plan. Starts nothing."""
        self.folder_path.mkdir(parents=True, exist_ok=True)
        self.release_block()
        self.address_block = claim_free_block(CLAIMED_PORTS, os.getpid())
        site = PlanMaker(deployment, size, seed, self.address_block.number).make()
        machines = sorted(site.machines, key=lambda m: START_ORDER.index(m.program))
        self.plan = {
            "deployment": deployment.name,
            "interface": "platform",
            "site": site.fields(),
            "seed": seed,
            "ids": {},
            "is_begun": False,
            "changes": 0,
            "frozen": [],
            "retired": {},
            "listed": [[0, site.addresses("control_plane", CONTROL_PORT)]],
            "config": site.config,
            "processes": {
                m.name: {"program": m.program, "httpAddress": f"{m.ip}:{PORTS[m.program]}"} for m in machines
            },
        }
        self._save_plan()

    # ---- addresses ---------------------------------------------------------------------------------

    def claim_block(self) -> None:
        """Claims the site's address block again, unless it is still held or a process of the site is running.

        Raises RuntimeError if another site has taken the block meanwhile.
        """
        if self.address_block is not None or any(self.is_alive(name) for name in self.plan["processes"]):
            return
        number = int(self.site.machines[0].ip.split(".")[1])
        try:
            self.address_block = AddressBlock(number, CLAIMED_PORTS)
        except BlockTakenError as fault:
            raise RuntimeError(f"the site's addresses are in use: {fault}") from fault

    def release_block(self) -> None:
        """Releases the address block; from now on only the site's running processes occupy its addresses."""
        if self.address_block is not None:
            self.address_block.release()
            self.address_block = None

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Writes the settings file of a process, starts the process, and records the start."""
        settings_path = self.folder_path / f"{name}.json"
        settings_path.write_text(json.dumps(self.settings_of(name), indent=2))
        self.plan["ids"][name] = self._spawn(name, settings_path)
        self._save_plan()
        self._record_trouble(name, "started")

    def settings_of(self, name: str) -> dict[str, Any]:
        """The contents of a process's settings file if it started now. Creates a node's data folder if missing."""
        site = self.site
        machine = next(m for m in site.machines if m.name == name)
        if machine.program not in PLATFORM_PROGRAMS:
            return program_settings(site, machine, str(self.folder_path))
        data_path = self.folder_path / f"{name}.data"
        data_path.mkdir(exist_ok=True)
        return node_settings(site, machine, str(data_path), not self.plan["is_begun"], self.listed_control_addresses())

    def _spawn(self, name: str, settings_path: Path) -> int:
        """Starts the program of a process and returns the process id."""
        program = self.plan["processes"][name]["program"]
        if program in PLATFORM_PROGRAMS:
            arguments = [f"platform/run_{program}.py"]
            if not (ROOT / arguments[0]).exists():
                raise RuntimeError(
                    f"{arguments[0]} is missing: the platform's programs exist only in a source checkout"
                )
        else:
            arguments = ["-m", "pearhead.testbed.emulator.main", program, str(settings_path)]
        environment = {k: v for k, v in os.environ.items() if k in INHERITED_VARIABLES}
        environment |= {"PEARHEAD_NODE_FILE": str(settings_path), "PYTHONPATH": str(ROOT / "src")}
        with (self.folder_path / f"{name}.log").open("ab") as log_file:
            started = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                cwd=ROOT,
                env=environment,
            )
        return started.pid

    def up(self) -> None:
        """Starts all processes that are not running."""
        self.claim_block()
        super().up()
        self.plan["is_begun"] = True
        self._save_plan()

    def send_signal(self, name: str, signal_number: int) -> bool:
        """Sends a signal to a process and records its effect. Returns whether the process was alive."""
        is_sent = super().send_signal(name, signal_number)
        if is_sent and signal_number in TROUBLE_BY_SIGNAL and self._update_frozen(name, signal_number):
            self._record_trouble(name, TROUBLE_BY_SIGNAL[signal.Signals(signal_number)])
        return is_sent

    def _update_frozen(self, name: str, signal_number: int) -> bool:
        """Updates the list of frozen processes. Returns False for a SIGCONT to a process that was not frozen."""
        frozen = self.plan["frozen"]
        if signal_number == signal.SIGSTOP:
            frozen.append(name)
        if signal_number != signal.SIGCONT:
            return True
        was_frozen = name in frozen
        self.plan["frozen"] = [n for n in frozen if n != name]
        return was_frozen

    def down(self) -> None:
        """Stops all processes, those of the emulated platform by SIGKILL, and releases the address block."""
        for name, process in self.plan["processes"].items():
            if process["program"] in ("engine", "store", "cloud"):
                self.send_signal(name, signal.SIGKILL)
        super().down()
        self.release_block()

    def _record_trouble(self, name: str, what: str) -> None:
        """Records a trouble of a process, also of a removed machine, in the ledger."""
        process = {**self.plan["processes"], **self.plan["retired"]}[name]
        sink = LedgerFile(self.ledger_path / "troubles.jsonl")
        ip = process["httpAddress"].partition(":")[0]
        sink.record(Trouble(self.clock.now(), name, process["program"], what, ip))
        sink.close()

    # ---- machines that come and go -----------------------------------------------------------------

    def add_core(self) -> str:
        """Adds and starts a core machine with an empty disk, at an address never used before. Returns its name."""
        site = self.site
        number = 1 + sum(
            process["program"] == "control_plane"
            for process in (*self.plan["processes"].values(), *self.plan["retired"].values())
        )
        first = site.machines_of("control_plane")[0]
        ip = f"{first.ip.rpartition('.')[0]}.{number}"
        machine = Machine(f"core-{number}", "control_plane", ip, site.zones[(number - 1) % len(site.zones)])
        site.machines.append(machine)
        self.plan["processes"][machine.name] = {
            "program": "control_plane",
            "httpAddress": f"{ip}:{CONTROL_PORT}",
        }
        self._save_site(site)
        self.start(machine.name)
        return machine.name

    def remove_core(self, name: str) -> None:
        """Removes the core machine of a process that has ended, with its disk. Its address is not used again."""
        site = self.site
        site.machines = [m for m in site.machines if m.name != name]
        self.plan["retired"][name] = self.plan["processes"].pop(name)
        self.wipe(name)
        self._save_site(site)

    def wipe(self, name: str) -> None:
        """Deletes the disk contents of a process that has ended, and records this."""
        shutil.rmtree(self.folder_path / f"{name}.data")
        self._record_trouble(name, "wiped")

    def listed_control_addresses(self) -> list[str]:
        """The control addresses of the core by the platform's list, which lags behind by `SeedLagS`."""
        shown_until = self.clock.now() - BOUNDS["SeedLagS"] * SECOND
        shown = [addresses for at, addresses in self.plan["listed"] if at <= shown_until]
        return list(shown[-1] if shown else self.plan["listed"][0][1])

    def _save_site(self, site: SitePlan) -> None:
        """Saves a changed site plan, and when its list of core machines changed."""
        self.plan["site"] = site.fields()
        self.plan["listed"].append([self.clock.now(), site.addresses("control_plane", CONTROL_PORT)])
        self._save_plan()

    # ---- the operator ------------------------------------------------------------------------------

    @contextmanager
    def operator(self, lost_answers: int = 0) -> Iterator[SiteOperator]:
        """An operator that records to the ledger. `lost_answers`: how many answers to its changes are lost."""
        sink = LedgerFile(self.ledger_path / "operator.jsonl")
        rng = random.Random(f"{self.plan['seed']} {sink.file.tell()}")
        try:
            yield SiteOperator(self.listed_control_addresses, self.clock, sink, rng, lost_answers)
        finally:
            sink.close()

    def apply_initial_configuration(self) -> None:
        """Sends the first configuration, for up to 60 s; one that is in force already is no error.

        Raises RuntimeError if it was not accepted.
        """
        with self.operator() as operator:
            status = asyncio.run(operator.put(self.plan["config"], 0, 60_000_000))
        if status not in (200, 412):
            raise RuntimeError(f"the first configuration was not accepted: {status}")

    def put(self, config: dict[str, Any], lost_answers: int = 0) -> int:
        """Sends a whole configuration, based on the last one accepted here. Returns the status; 0 if none came."""
        return self.put_on_base(config, self.plan["config"]["Revision"], lost_answers=lost_answers)

    def put_on_base(self, config: dict[str, Any], base: int, is_valid: bool = True, lost_answers: int = 0) -> int:
        """Sends a whole configuration, based on any revision number. Returns the status; 0 if none came.

        `is_valid`: whether the platform's rules allow its contents.
        """
        with self.operator(lost_answers) as operator:
            status = asyncio.run(operator.put(config, base, is_valid=is_valid))
        self._save_if_accepted(config, status)
        return status

    def put_concurrently(self, configs: list[dict[str, Any]], lost_answers: int = 0) -> list[int]:
        """Sends configurations concurrently, each by its own operator and based on the last one accepted here.

        `lost_answers`: how many answers each operator loses. Returns the statuses in the order of `configs`.
        """
        base = self.plan["config"]["Revision"]

        async def put_all(operators: list[SiteOperator]) -> list[int]:
            pairs = zip(operators, configs, strict=True)
            return await asyncio.gather(*(operator.put(config, base) for operator, config in pairs))

        with ExitStack() as stack:
            operators = [stack.enter_context(self.operator(lost_answers)) for _ in configs]
            statuses = asyncio.run(put_all(operators))
        for config, status in zip(configs, statuses, strict=True):
            self._save_if_accepted(config, status)
        return statuses

    def put_during(self, config: dict[str, Any], work: Callable[[], None]) -> int:
        """Runs `work` while a whole configuration is being sent. Returns the configuration's status; 0 if none came."""
        base, statuses = self.plan["config"]["Revision"], []
        with self.operator() as operator:
            sender = threading.Thread(target=lambda: statuses.append(asyncio.run(operator.put(config, base))))
            sender.start()
            work()
            sender.join()
        self._save_if_accepted(config, statuses[0])
        return statuses[0]

    def patch(self, patch: dict[str, Any], lost_answers: int = 0) -> int:
        """Sends a change by item name, based on the last configuration accepted here. Returns the status."""
        base_config = self.plan["config"]
        with self.operator(lost_answers) as operator:
            status = asyncio.run(operator.patch(patch, base_config))
        self._save_if_accepted(apply_patch(base_config, patch), status)
        return status

    def read_config(self) -> dict[str, Any]:
        """Reads the configuration in force from the core; empty if no answer came in time."""
        with self.operator() as operator:
            return asyncio.run(operator.read())

    def name_version(self, version: int) -> int:
        """Announces a new version of the model's weights. Returns the core's status; 0 if none came."""
        site = self.site
        cloud = site.addresses("cloud", CLOUD_PORT)[0]
        workers = site.addresses("engine", WORKER_PORT)
        with self.operator() as operator:
            return asyncio.run(operator.name_version(site.model, version, cloud, workers))

    def _save_if_accepted(self, config: dict[str, Any], status: int) -> None:
        """Saves a configuration as the last accepted one if its status is 200."""
        if status == 200:
            self.plan["config"] = config
            self._save_plan()

    # ---- readiness, requests and ledger ------------------------------------------------------------

    def wait_ready(self) -> None:
        """Waits until the readiness endpoint of every front node answers 200."""
        fronts = self.site.machines_of("router")

        async def ask_all() -> bool:
            answers = [await send_request(f"{m.ip}:{READINESS_PORT}", "GET", "/v1/readiness") for m in fronts]
            return all(a is not None and a.head.status == 200 for a in answers)

        self.wait_until(lambda: asyncio.run(ask_all()), "every front node ready")

    def version_of(self, name: str) -> int:
        """The version of the weights that one emulated worker reports; 0 if it does not answer."""
        answer = asyncio.run(send_request(self.plan["processes"][name]["httpAddress"], "GET", "/v1/report"))
        models = answer.fields().get("Models", []) if answer is not None else []
        return int(models[0]["Revision"]) if models else 0

    def inject_worker_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Sets faults of one emulated worker, by the field names of EngineFaults, and records this."""
        address = self.plan["processes"][name]["httpAddress"]
        self._record_trouble(name, "commanded")
        asyncio.run(send_request(address, "POST", "/site/command", faults))

    def send_requests(self, request_count: int, concurrency: int, seed: int) -> CallReport:
        """Sends requests, `concurrency` of them at a time, and checks and records their answers.

        The random source also depends on the length of the ledger file, so that repeated calls with one seed don't
        reuse request ids.
        """
        sink = LedgerFile(self.ledger_path / "clients.jsonl")
        rng = random.Random(f"{seed} {sink.file.tell()}")
        caller = SiteLoadGenerator(self.site, self.clock, rng, sink)
        try:
            return asyncio.run(caller.run(request_count, concurrency, self.plan["config"]))
        finally:
            sink.close()

    def ledger(self) -> SiteLedger:
        """All records of the site, with the identities of nodes as found in their logs."""
        ledger = read_ledger(self.ledger_path)
        for log_path in sorted(self.folder_path.glob("*.log")):
            for life in read_lives(log_path.read_text(errors="replace")):
                ledger.record(life)
        return ledger


def read_lives(log_text: str) -> list[Life]:
    """The runs of a node's process found in its log: the beginning of its identity, and its machine's address.

    Their start times are not known: `at` is 0.
    """
    return [Life(0, ip, prefix) for prefix, ip in LISTENING_LINE.findall(log_text)]


def is_site(folder: str) -> bool:
    """Whether the folder holds an emulated site, rather than a fleet of the plain Launcher."""
    return Launcher(folder).plan.get("interface") == "platform"


def open_launcher(folder: str) -> Launcher:
    """The launcher that fits the kind of fleet in the folder."""
    return SiteLauncher(folder) if is_site(folder) else Launcher(folder)


def start_site(folder: str, deployment: Deployment, size: SiteSize, seed: int) -> list[str]:
    """Starts a site, sends its first configuration, and waits until its front nodes are ready.

    Returns lines to show: the addresses of its core and of its front nodes.
    """
    launcher = SiteLauncher(folder)
    if not launcher.plan:
        launcher.make_site(deployment, size, seed)
    launcher.up()
    launcher.apply_initial_configuration()
    launcher.wait_ready()
    site = launcher.site
    return [
        "control  " + ",".join(site.addresses("control_plane", CONTROL_PORT)),
        "front    " + ",".join(site.addresses("router", FRONT_PORT)),
    ]


def call_site(folder: str, request_count: int, concurrency: int, seed: int) -> tuple[list[str], int]:
    """Sends requests to a site. Returns lines to show, and how many faults the clients found in answers."""
    report = SiteLauncher(folder).send_requests(request_count, concurrency, seed)
    lines = [f"{outcome}: {count}" for outcome, count in sorted(report.outcomes.items())]
    if report.first_piece_micros:
        in_order = sorted(report.first_piece_micros)
        lines.append(f"first event, median: {in_order[len(in_order) // 2] // 1_000} ms")
    lines.append(f"faults: {len(report.faults)}")
    return [*lines, *(f"  {fault}" for fault in report.faults[:20])], len(report.faults)


def check_site(folder: str) -> tuple[list[str], int]:
    """Checks the ledger of a site. Returns lines to show, and how many breaches of rules were found."""
    ledger = SiteLauncher(folder).ledger()
    breaches = find_breaches(ledger)
    lines = [
        f"{len(ledger.tries)} tries, {len(ledger.runs)} runs, {len(ledger.orders)} orders: {len(breaches)} breaches"
    ]
    return [*lines, *(f"  {breach.line()}" for breach in breaches)], len(breaches)


def print_site_result(result: tuple[list[str], int]) -> None:
    """Prints the lines of a result; exits with status 1 if its count is not 0."""
    lines, count = result
    print("\n".join(lines))
    if count:
        raise SystemExit(1)
