"""The `control_plane` command (§3.4): runs a core, and checks, inspects or repairs what it starts from."""

from __future__ import annotations

import asyncio
import logging
import random
import sys
from pathlib import Path
from typing import Any

from result import Err

from pearhead.config.description import MAX_DESCRIPTION_BYTES
from pearhead.config.startup import StartupConfig, exit_with_errors, read_startup, startup_help
from pearhead.consensus.wal import WalCorruptError
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.data_folder_inspector import DataFolderInspector
from pearhead.control_plane.event_publisher import EventPublisher, http_post
from pearhead.control_plane.metrics import build_core_registry
from pearhead.control_plane.operator_api import build_operator_api
from pearhead.control_plane.quorum_loss_recovery import QuorumLossRecovery
from pearhead.runtime.clock import BootClock
from pearhead.runtime.command_line import run_command
from pearhead.runtime.daemon import configure_logging, serve_until_stopped
from pearhead.runtime.disk import FolderBusyError, FolderDisk
from pearhead.runtime.draining_server import DrainingServer
from pearhead.runtime.socketnet import SocketNet, split_address

LOGGER = logging.getLogger("pearhead")


async def _serve(startup: StartupConfig) -> int:
    try:
        disk = FolderDisk(Path(startup.dataFolder))
    except (FolderBusyError, OSError) as fault:
        print(f"control_plane: {fault}", file=sys.stderr)
        return 2
    failed = asyncio.Event()

    def fail(reason: str) -> None:
        LOGGER.error("control_plane: Stopping after a fatal error. reason=%r", reason)
        failed.set()

    clock = BootClock()
    net = SocketNet(startup.address)
    core = CoreProcess(startup, clock, net, disk, random.SystemRandom(), fail)
    server = DrainingServer(
        build_operator_api(core, startup, build_core_registry(core, net)),
        max_body_size=2 * MAX_DESCRIPTION_BYTES,
        max_header_size=startup.headerLimitBytes,
    )
    host_name, port_number = split_address(startup.httpAddress)
    try:
        await net.open()
        await core.start()
        server.listen(port_number, host_name)
    except WalCorruptError as fault:
        print(f"control_plane: {startup.dataFolder}: {fault}", file=sys.stderr)
        return 3
    except OSError as fault:
        print(f"control_plane: can't start: {fault}", file=sys.stderr)
        return 2
    if startup.eventSink:
        publisher = EventPublisher(http_post(startup.eventSink))
        core.publish_event = publisher.publish
        core.task_group.supervise("event_publisher", clock, publisher.run)

    async def drain() -> None:
        await server.drain_with_process(clock, startup.drainMicros, core.drain)

    status = await serve_until_stopped(drain, failed)
    core.stop()
    net.close()
    return status


class ControlPlaneCommand:
    """Runs a control-plane process of pearhead, called a core, or checks, inspects or repairs its files."""

    def run(self, startup: str = "", **flags: Any) -> None:
        """Serves until SIGTERM. Flags are fields of the startup file, such as --address=127.0.0.1:7001."""
        if "help" in flags:
            print(startup_help("control_plane"))
            return None
        checked = read_startup(startup, flags, requires_data_folder=True)
        if isinstance(checked, Err):
            return exit_with_errors("control_plane", checked.err_value)
        configure_logging(checked.ok_value.logLevel)
        raise SystemExit(asyncio.run(_serve(checked.ok_value)))

    def inspect(self, folder: str) -> None:
        """Inspects a data folder, read-only: log, snapshots, epochs, members. Exits with 3 if it finds faults."""
        folder_path = Path(folder)
        if not folder_path.is_dir():
            return exit_with_errors("control_plane", [f"{folder}: no such folder"])
        inspector = DataFolderInspector(folder_path)
        report = asyncio.run(inspector.read())
        print(inspector.text(report))
        if report.faults:
            raise SystemExit(3)

    def rescue(self, folder: str, identity: str, address: str, consent: str) -> None:
        """Last resort after a majority of the cores is lost: makes the core of this folder the only voter."""
        try:
            disk = FolderDisk(Path(folder))
        except (FolderBusyError, OSError) as fault:
            return exit_with_errors("control_plane", [str(fault)])
        outcome = asyncio.run(QuorumLossRecovery(disk).run(str(identity), address, consent))
        if isinstance(outcome, Err):
            return exit_with_errors("control_plane", [outcome.err_value])
        print(f"control_plane: core {identity} is the only voter from log entry {outcome.ok_value} onwards")

    def check(self, startup: str = "", **flags: Any) -> None:
        """Checks a startup file and flags, and lists every error."""
        if "help" in flags:
            print(startup_help("control_plane"))
            return None
        checked = read_startup(startup, flags, requires_data_folder=True)
        if isinstance(checked, Err):
            return exit_with_errors("control_plane", checked.err_value)
        print("control_plane: the startup configuration is valid")


def main() -> None:
    """Runs the command line."""
    run_command(ControlPlaneCommand, "control_plane")


if __name__ == "__main__":
    main()
