"""The `testbed` command (§9): fleets of real processes on one machine, simulated fleets, and measurements."""

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
    check_site,
    is_site,
    open_launcher,
    print_site_result,
    start_site,
)
from pearhead.testbed.emulator.plan import SiteSize
from pearhead.testbed.emulator.sitefaults import SiteFaultInjector
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
    """Runs fleets on one machine, as real processes or simulated, injects faults and checks what clients see."""

    def up(
        self,
        folder: str,
        deployment: str = "academy",
        nodes: int = 9,
        workers: int = 0,
        interface: str = "own",
        seed: int = 1,
    ) -> None:
        """Starts a fleet in a folder, applies its description, and waits until it serves.

        --interface own starts the stand-ins of the test bed; --interface platform starts the programs behind platform/,
        inside an emulation of the users' platform. --workers 0 means as many as the deployment has. A folder that holds
        a fleet already keeps its plan: processes that don't run are started again.
        """
        chosen_deployment = find_deployment(deployment)
        if interface == "platform" or is_site(folder):
            size = SiteSize(chosen_deployment.core_count, nodes, workers or chosen_deployment.worker_count)
            print("\n".join(start_site(folder, chosen_deployment, size, seed)))
            return
        if interface != "own":
            raise SystemExit(f"testbed: unknown interface {interface!r}; choose one of own, platform")
        launcher = Launcher(folder)
        if not launcher.plan:
            launcher.make_plan(
                chosen_deployment, nodes, workers or chosen_deployment.worker_count, chosen_deployment.core_count
            )
        launcher.up()
        launcher.apply_initial_configuration()
        launcher.wait_ready()
        print("cores  " + ",".join(launcher.addresses_of("control_plane")))
        print("nodes  " + ",".join(launcher.addresses_of("router")))

    def down(self, folder: str) -> None:
        """Stops every process of the fleet."""
        open_launcher(folder).down()

    def status(self, folder: str) -> None:
        """Shows the program and HTTP address of each process, and whether it runs."""
        launcher = open_launcher(folder)
        for name, process in launcher.plan.get("processes", {}).items():
            state = "running" if launcher.is_alive(name) else "not running"
            print(f"{name:<10} {process['program']:<12} {process['httpAddress']:<22} {state}")

    def start(self, folder: str, name: str) -> None:
        """Starts one process of a fleet that was planned by `up`."""
        open_launcher(folder).start(name)

    def stop(self, folder: str, name: str) -> None:
        """Stops one process with SIGTERM, as for planned maintenance, so that it can drain."""
        open_launcher(folder).stop(name)

    def kill(self, folder: str, name: str) -> None:
        """Kills one process with SIGKILL."""
        open_launcher(folder).send_signal(name, SIGNALS["kill"])

    def freeze(self, folder: str, name: str) -> None:
        """Freezes one process with SIGSTOP, until `wake`."""
        open_launcher(folder).send_signal(name, SIGNALS["freeze"])

    def wake(self, folder: str, name: str) -> None:
        """Lets a frozen process continue."""
        open_launcher(folder).send_signal(name, SIGNALS["wake"])

    def call(self, folder: str, jobs: int = 500, at_once: int = 20, seed: int = 1, first: int = 0) -> None:
        """Sends jobs to the nodes, checks every answer, and fails if any is wrong.

        --first is the number in the id of the first job; an emulated site ignores it.
        """
        if is_site(folder):
            print_site_result(call_site(folder, jobs, at_once, seed))
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
        """Checks what callers, workers and operators of an emulated site recorded, by the platform's rules."""
        print_site_result(check_site(folder))

    def strike(self, folder: str, rounds: int = 10, seed: int = 1, jobs: int = 300, at_once: int = 16) -> None:
        """Injects random faults into an emulated site while it serves checked requests, then runs `judge`."""
        fault_injector = SiteFaultInjector(SiteLauncher(folder), seed)
        for number in range(rounds):
            fault_text, report = fault_injector.strike(number, jobs, at_once)
            print(f"{fault_text}: {dict(report.outcomes)}", flush=True)
        fault_injector.launcher.wait_ready()
        print_site_result(check_site(folder))

    def soak(
        self,
        seeds: int = 1,
        seed: int = 1,
        seconds: float = 40.0,
        journal: str = "",
        kept: str = "soak-failures",
        short: bool = False,
    ) -> None:
        """Runs a fleet of real processes per seed under overlapping faults, and checks it by the platform's rules.

        The schedule, ledger and logs of a run that breaks a rule stay in the folder --kept. --journal names a file to
        which each result is appended. --short runs the small fleet and short schedule that CI runs.
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
        """Sets the version of the weights at an emulated site, as its operator does."""
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
        """Simulates a scenario, or `all`, in virtual time for one or more seeds, and fails if a rule is broken.

        --without leaves out faults of overlapping-faults by their numbers, separated by commas. --record names a file
        for a recording that `replay` and `plan` can read.
        """
        excluded_faults = frozenset(int(n) for n in str(without).strip("()").replace(" ", "").split(",") if n)
        deployment_names = list(DEPLOYMENTS) if deployment == "all" else [find_deployment(deployment).name]
        if scenario != "all" and scenario not in SCENARIOS:
            raise SystemExit(f"testbed: unknown scenario {scenario!r}; choose one of {', '.join(SCENARIOS)}")
        specs = [
            RunSpec(name, deployment_name, seed + seed_offset, record_path=record, excluded_faults=excluded_faults)
            for name in (SCENARIOS if scenario == "all" else [scenario])
            for deployment_name in deployment_names
            for seed_offset in range(seeds)
        ]
        results = run_specs(specs) if len(specs) > 1 else [run_spec(specs[0])]
        for result in results:
            print(result.summary_line())
        if len(results) == 1 and not results[0].breaches:
            print("\n".join(results[0].trace))
        for result in results:
            if result.breaches:
                print(result.failure_report())
        if any(result.breaches for result in results):
            raise SystemExit(1)

    def sweep(
        self,
        scenario: str = "overlapping-faults",
        deployment: str = "all",
        seeds: int = 100,
        first: int = 1,
        journal: str = "",
    ) -> None:
        """Simulates a scenario, or `all`, for many seeds in parallel, and fails if a rule is broken.

        Prints each failing run, and the same run with as few faults as still break a rule. --journal names a file of
        results; runs that are in it already are not run again. --first is the first seed.
        """
        deployment_names = list(DEPLOYMENTS) if deployment == "all" else [find_deployment(deployment).name]
        scenario_names = list(SCENARIOS) if scenario == "all" else [scenario]
        if set(scenario_names) - set(SCENARIOS):
            raise SystemExit(f"testbed: unknown scenario {scenario!r}; choose one of {', '.join(SCENARIOS)}")
        specs = [
            RunSpec(scenario_name, deployment_name, first + seed_offset)
            for seed_offset in range(seeds)
            for scenario_name in scenario_names
            for deployment_name in deployment_names
        ]
        failed_count = Sweep(Path(journal) if journal else None, run_as_completed, print).run(specs)
        print(f"{len(specs)} runs, {failed_count} broke a rule")
        if failed_count:
            raise SystemExit(1)

    def replay(self, recording: str, description: str = "", faults: bool = True) -> None:
        """Replays a recorded run with this build, and shows which jobs end differently.

        --description names another description to use. --faults=False leaves out the recorded faults.
        """
        loaded_recording = read_recording(recording)
        new_description = json.loads(Path(description).read_text()) if description else None
        print("\n".join(compare_replay(loaded_recording, replay(loaded_recording, new_description, faults))))

    def plan(self, recording: str, description: str) -> None:
        """Shows what a description would do with a recorded load, beside the example deployment's own."""
        print("\n".join(preview_description(read_recording(recording), json.loads(Path(description).read_text()))))

    def measure(self, name: str = "all", deployment: str = "all", seeds: int = 5, nodes: int = 0) -> None:
        """Prints a table of a measurement, or of `all`, with the mean, least and greatest value over seeds."""
        for measure_name in MEASURES if name == "all" else [name]:
            for deployment_name in DEPLOYMENTS if deployment == "all" else [find_deployment(deployment).name]:
                measure_runs = [(measure_name, deployment_name, seed + 1, nodes) for seed in range(seeds)]
                rows = run_isolated(run_measure, measure_runs)
                print(f"| {measure_name}, {deployment_name}, {seeds} seeds | mean | least | most |")
                print("| --- | --- | --- | --- |")
                print("\n".join(summary_rows(rows)))
                print()

    def scale(self, nodes: str = "12,50,100,200", entries: str = "10,100,1000,10000") -> None:
        """Prints the simulated costs of a fleet by its number of nodes, and of a description by its entries."""
        for measure_size, sizes_text in ((measure_node_scaling, nodes), (measure_entry_scaling, entries)):
            sizes = [int(size) for size in (sizes_text.split(",") if isinstance(sizes_text, str) else sizes_text)]
            print("\n".join(markdown_table(run_isolated(measure_size, sizes))))
            print()

    def scale_run(self, axis: str, sizes: str = "", kept: str = "", plot: str = "") -> None:
        """Measures a real fleet, or one table, at growing sizes; prints costs, fitted slopes and the check of the fit.

        All processes and addresses are on loopback. --kept names a file of measurements, from which a later run
        continues; --plot a file for a plot. Needs the extra `scale`.
        """
        # Imported here because the fits and plots need libraries that no other command needs.
        from pearhead.testbed.capacity.axes import AXES
        from pearhead.testbed.capacity.scale_run import ScaleRun, install_stop_handlers

        if axis not in AXES:
            raise SystemExit(f"testbed: unknown axis {axis!r}; choose one of {', '.join(AXES)}")
        chosen_axis = AXES[axis]
        given_sizes = (
            sizes.split(",") if isinstance(sizes, str) else sizes if isinstance(sizes, (list, tuple)) else [sizes]
        )
        install_stop_handlers()
        run = ScaleRun(axis, chosen_axis, print, Path(kept) if kept else None)
        run.run([int(size) for size in given_sizes if size != ""] or chosen_axis.sizes, Path(plot) if plot else None)

    def scale_page(self, kept: str = "docs/capacity.json") -> None:
        """Prints the tables of docs/CAPACITY.md from the measurements of `scale_run`. Needs the extra `scale`."""
        from pearhead.testbed.capacity.page import page_lines

        print("\n".join(page_lines(json.loads(Path(kept).read_text()))))

    def description(self, deployment: str) -> None:
        """Prints the description file of an example deployment."""
        print(description_text(find_deployment(deployment)), end="")

    def stand_in(self, role: str, address: str, store: str = "") -> None:
        """Serves as a stand-in, with the role `worker`, `store` or `application`, until SIGTERM or SIGINT."""

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
    """Runs the `testbed` command line."""
    run_command(TestbedCommand, "testbed")


if __name__ == "__main__":
    main()
