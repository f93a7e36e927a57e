"""The `testbed` command (§9): stand-ins, a one-machine fleet, callers."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from pathlib import Path

from tornado.httpserver import HTTPServer

from pearhead.runtime.command_line import run_command
from pearhead.runtime.socketnet import split_address
from pearhead.testbed.caller import Caller
from pearhead.testbed.deployment import DEPLOYMENTS, description_text
from pearhead.testbed.emulator.launcher import (
    SiteLauncher,
    call_site,
    finish_site,
    is_site,
    judge_site,
    open_launcher,
    start_site,
)
from pearhead.testbed.emulator.plan import SiteSize
from pearhead.testbed.emulator.strikes import SiteStrikes
from pearhead.testbed.launcher import Launcher, find_deployment
from pearhead.testbed.simulator.measurements import MEASURES, run_measure, summary_rows
from pearhead.testbed.simulator.recording import compare_replay, preview_description, read_recording, replay
from pearhead.testbed.simulator.runner import RunSpec, run_isolated, run_spec, run_specs
from pearhead.testbed.simulator.scaling_costs import markdown_table, measure_entry_scaling, measure_node_scaling
from pearhead.testbed.simulator.scenarios import SCENARIOS
from pearhead.testbed.simulator.sweep import Sweep, run_as_completed
from pearhead.testbed.soak.run import soak
from pearhead.testbed.soak.schedule import SHORT_PROFILE, SoakProfile
from pearhead.testbed.standin import build_stand_in

SIGNALS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP, "wake": signal.SIGCONT}


class TestbedCommand:
    """Tries a fleet out on one machine."""

    def up(
        self,
        folder: str,
        deployment: str = "academy",
        nodes: int = 9,
        workers: int = 0,
        interface: str = "own",
        seed: int = 1,
    ) -> None:
        """Starts a whole fleet in a folder, gives it its description, and waits until it serves.

        --interface platform starts the programs behind platform/, inside an emulation of the users' platform.
        """
        chosen_deployment = find_deployment(deployment)
        if interface == "platform" or is_site(folder):
            size = SiteSize(chosen_deployment.core_count, nodes, workers or chosen_deployment.worker_count)
            print("\n".join(start_site(folder, chosen_deployment, size, seed)))
            return
        if interface != "own":
            raise SystemExit(f"testbed: no interface {interface!r}; there are own, platform")
        launcher = Launcher(folder)
        if not launcher.plan:
            launcher.make_plan(
                chosen_deployment, nodes, workers or chosen_deployment.worker_count, chosen_deployment.core_count
            )
        launcher.up()
        launcher.set_up()
        launcher.wait_ready()
        print("cores  " + ",".join(launcher.addresses_of("control_plane")))
        print("nodes  " + ",".join(launcher.addresses_of("router")))

    def down(self, folder: str) -> None:
        """Stops every process of the fleet."""
        open_launcher(folder).down()

    def status(self, folder: str) -> None:
        """Shows each process and whether it lives."""
        launcher = open_launcher(folder)
        for name, process in launcher.plan.get("processes", {}).items():
            lives = "lives" if launcher.is_alive(name) else "is down"
            print(f"{name:<10} {process['program']:<12} {process['httpAddress']:<22} {lives}")

    def start(self, folder: str, name: str) -> None:
        """Starts one process again."""
        open_launcher(folder).start(name)

    def stop(self, folder: str, name: str) -> None:
        """Stops one process as planned work does."""
        open_launcher(folder).stop(name)

    def kill(self, folder: str, name: str) -> None:
        """Kills one process."""
        open_launcher(folder).send_signal(name, SIGNALS["kill"])

    def freeze(self, folder: str, name: str) -> None:
        """Freezes one process."""
        open_launcher(folder).send_signal(name, SIGNALS["freeze"])

    def wake(self, folder: str, name: str) -> None:
        """Wakes a frozen process."""
        open_launcher(folder).send_signal(name, SIGNALS["wake"])

    def call(self, folder: str, jobs: int = 500, at_once: int = 20, seed: int = 1, first: int = 0) -> None:
        """Sends jobs to the nodes and checks every stream."""
        if is_site(folder):
            finish_site(call_site(folder, jobs, at_once, seed))
            return
        launcher = Launcher(folder)
        caller = Caller(
            find_deployment(launcher.plan["deployment"]), launcher.addresses_of("router"), random.Random(seed)
        )
        report = asyncio.run(caller.run(jobs, at_once, first))
        for outcome, count in sorted(report.outcomes.items()):
            print(f"{outcome}: {count}")
        print(f"prefix tokens: {report.prefix_tokens}, reused: {report.reused_tokens}")
        print(f"faults: {len(report.faults)}")
        for fault in report.faults[:20]:
            print(f"  {fault}")
        if report.faults:
            raise SystemExit(1)

    def judge(self, folder: str) -> None:
        """Judges what callers, workers and operators of an emulated site saw, by the platform's rules."""
        finish_site(judge_site(folder))

    def strike(self, folder: str, rounds: int = 10, seed: int = 1, jobs: int = 300, at_once: int = 16) -> None:
        """Strikes an emulated site at random under checked requests, and judges it in the end."""
        strikes = SiteStrikes(SiteLauncher(folder), seed)
        for number in range(rounds):
            word, report = strikes.strike(number, jobs, at_once)
            print(f"{word}: {dict(report.outcomes)}", flush=True)
        strikes.launcher.wait_ready()
        finish_site(judge_site(folder))

    def soak(
        self,
        seeds: int = 1,
        seed: int = 1,
        seconds: float = 40.0,
        journal: str = "",
        kept: str = "soak-failures",
        short: bool = False,
    ) -> None:
        """Runs real processes under overlapping faults, one fleet a seed, and judges them by the platform's rules.

        A run that breaks a rule stays in the folder --kept with its schedule, ledger and logs. --short plays the form
        that CI plays.
        """
        failed_count = soak(
            list(range(seed, seed + seeds)),
            SHORT_PROFILE if short else SoakProfile(seconds=seconds),
            Path(kept).absolute(),
            Path(journal) if journal else None,
            lambda line: print(line, flush=True),
        )
        print(f"{seeds} runs, {failed_count} broke a rule")
        if failed_count:
            raise SystemExit(1)

    def name_weights(self, folder: str, version: int) -> None:
        """Names new weights at an emulated site, as its operator does."""
        print(SiteLauncher(folder).name_version(version))

    def sim(
        self,
        scenario: str,
        deployment: str = "academy",
        seed: int = 1,
        seeds: int = 1,
        record: str = "",
        without: str = "",
    ) -> None:
        """Runs a scenario, or `all`, on virtual time for one or more seeds, and looks for breaches.

        --without leaves out strikes of overlapping-faults by their numbers.
        """
        excluded_faults = frozenset(int(n) for n in str(without).strip("()").replace(" ", "").split(",") if n)
        deployment_names = list(DEPLOYMENTS) if deployment == "all" else [find_deployment(deployment).name]
        if scenario != "all" and scenario not in SCENARIOS:
            raise SystemExit(f"testbed: no scenario {scenario!r}; there are {', '.join(SCENARIOS)}")
        orders = [
            RunSpec(name, deployment_name, seed + extra, record_path=record, excluded_faults=excluded_faults)
            for name in (SCENARIOS if scenario == "all" else [scenario])
            for deployment_name in deployment_names
            for extra in range(seeds)
        ]
        results = run_specs(orders) if len(orders) > 1 else [run_spec(orders[0])]
        for result in results:
            print(result.line())
        if len(results) == 1 and not results[0].breaches:
            print("\n".join(results[0].trace))
        for result in results:
            if result.breaches:
                print(result.failure())
        if any(r.breaches for r in results):
            raise SystemExit(1)

    def sweep(
        self,
        scenario: str = "overlapping-faults",
        deployment: str = "all",
        seeds: int = 100,
        first: int = 1,
        journal: str = "",
    ) -> None:
        """Runs many seeds in parallel; goes on from --journal; one line a failing run, and a shortened one."""
        deployment_names = list(DEPLOYMENTS) if deployment == "all" else [find_deployment(deployment).name]
        names = list(SCENARIOS) if scenario == "all" else [scenario]
        if set(names) - set(SCENARIOS):
            raise SystemExit(f"testbed: no scenario {scenario!r}; there are {', '.join(SCENARIOS)}")
        orders = [RunSpec(n, d, first + extra) for extra in range(seeds) for n in names for d in deployment_names]
        failed_count = Sweep(Path(journal) if journal else None, run_as_completed, print).run(orders)
        print(f"{len(orders)} runs, {failed_count} broke a rule")
        if failed_count:
            raise SystemExit(1)

    def replay(self, recording: str, description: str = "", faults: bool = True) -> None:
        """Plays a recording again, on another description or this build, and shows the difference."""
        held = read_recording(recording)
        given = json.loads(Path(description).read_text()) if description else None
        print("\n".join(compare_replay(held, replay(held, given, faults))))

    def plan(self, recording: str, description: str) -> None:
        """Tells what a description would do with a recorded load, before it is applied."""
        print("\n".join(preview_description(read_recording(recording), json.loads(Path(description).read_text()))))

    def measure(self, name: str = "all", deployment: str = "all", seeds: int = 5, nodes: int = 0) -> None:
        """Prints a table of a measurement: mean, least and most over seeds."""
        for measure_name in MEASURES if name == "all" else [name]:
            for deployment_name in DEPLOYMENTS if deployment == "all" else [find_deployment(deployment).name]:
                orders = [(measure_name, deployment_name, seed + 1, nodes) for seed in range(seeds)]
                rows = run_isolated(run_measure, orders)
                print(f"| {measure_name}, {deployment_name}, {seeds} seeds | mean | least | most |")
                print("| --- | --- | --- | --- |")
                print("\n".join(summary_rows(rows)))
                print()

    def scale(self, nodes: str = "12,50,100,200", entries: str = "10,100,1000,10000") -> None:
        """Prints what a fleet costs by its size, and a description by its entries."""
        for run_row, sizes_text in ((measure_node_scaling, nodes), (measure_entry_scaling, entries)):
            sizes = [int(x) for x in (sizes_text.split(",") if isinstance(sizes_text, str) else sizes_text)]
            print("\n".join(markdown_table(run_isolated(run_row, sizes))))
            print()

    def scale_run(self, axis: str, sizes: str = "", kept: str = "", plot: str = "") -> None:
        """Grows a real fleet, or one table, along an axis on loopback; prints costs, slopes and their check.

        Needs the extra `scale`. --kept names a file that holds what was measured; a later run goes on from it.
        """
        # Imported here: the fits and plots need libraries that no other command needs.
        from pearhead.testbed.capacity.axes import AXES
        from pearhead.testbed.capacity.scale_run import ScaleRun, install_stop_handlers

        if axis not in AXES:
            raise SystemExit(f"testbed: no axis {axis!r}; there are {', '.join(AXES)}")
        chosen = AXES[axis]
        given = sizes.split(",") if isinstance(sizes, str) else sizes if isinstance(sizes, (list, tuple)) else [sizes]
        install_stop_handlers()
        run = ScaleRun(axis, chosen, print, Path(kept) if kept else None)
        run.run([int(x) for x in given if x != ""] or chosen.sizes, Path(plot) if plot else None)

    def scale_page(self, kept: str = "docs/capacity.json") -> None:
        """Prints the tables of docs/CAPACITY.md anew from what the scale runs measured. Needs the extra `scale`."""
        from pearhead.testbed.capacity.page import page_lines

        print("\n".join(page_lines(json.loads(Path(kept).read_text()))))

    def description(self, deployment: str) -> None:
        """Prints the description file of an example deployment."""
        print(description_text(find_deployment(deployment)), end="")

    def stand_in(self, role: str, address: str, store: str = "") -> None:
        """Serves as a worker, a store or an application service."""

        async def serve() -> None:
            host_name, port_number = split_address(address)
            server = HTTPServer(build_stand_in(role, store), max_body_size=8 * 1024 * 1024)
            server.listen(port_number, host_name)
            stop_event = asyncio.Event()
            for signal_number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(signal_number, stop_event.set)
            await stop_event.wait()

        asyncio.run(serve())


def main() -> None:
    run_command(TestbedCommand, "testbed")


if __name__ == "__main__":
    main()
