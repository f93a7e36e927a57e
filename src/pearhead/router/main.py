"""The `router` command (§3.4): starts a router node for the job API, or checks its configuration."""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Any

from result import Err
from tornado.netutil import bind_sockets

from pearhead.config.startup import StartupConfig, exit_with_errors, read_startup, startup_help
from pearhead.router.job_api import build_job_api
from pearhead.router.metrics import build_node_registry
from pearhead.router.node_process import NodeProcess
from pearhead.router.tornado_transport import TornadoJobTransport, TornadoWorkerClient
from pearhead.runtime.clock import SECOND, BootClock
from pearhead.runtime.command_line import run_command
from pearhead.runtime.daemon import configure_logging, serve_until_stopped
from pearhead.runtime.draining_server import DrainingServer
from pearhead.runtime.socketnet import SocketNet, split_address

FINAL_RESPONSE_MICROS = SECOND


async def _serve(startup: StartupConfig) -> int:
    clock = BootClock()
    net = SocketNet(startup.address)
    node = NodeProcess(startup, clock, net, TornadoJobTransport(), TornadoWorkerClient(), random.SystemRandom())
    server = DrainingServer(
        build_job_api(node, startup, build_node_registry(node, net)),
        max_body_size=startup.bodyLimitBytes,
        max_header_size=startup.headerLimitBytes,
        idle_connection_timeout=60,
        body_timeout=30,
    )
    host_name, port_number = split_address(startup.httpAddress)
    try:
        await net.open()
        # Binds now, so that a port in use is reported at startup; accepts connections once jobs can be placed (§8.1).
        bound_sockets = bind_sockets(port_number, host_name)
    except OSError as error:
        print(f"router: can't listen: {error}", file=sys.stderr)
        return 2
    node.start()

    async def start_accepting() -> None:
        await node.wait_until_placeable()
        server.add_sockets(bound_sockets)

    node.task_group.start(start_accepting())

    async def drain() -> None:
        server.begin_drain()
        await node.drain()
        # All jobs have ended, but their last lines and refusals may not be flushed yet.
        await server.finish_drain(clock, FINAL_RESPONSE_MICROS)

    status = await serve_until_stopped(drain, asyncio.Event())
    node.stop()
    net.close()
    return status


class RouterCommand:
    """A router node of pearhead."""

    def run(self, startup: str = "", **flags: Any) -> None:
        """Serves until SIGTERM. Flags are startup fields, such as --address=127.0.0.1:7001."""
        if "help" in flags:
            print(startup_help("router"))
            return None
        checked = read_startup(startup, flags, requires_data_folder=False)
        if isinstance(checked, Err):
            return exit_with_errors("router", checked.err_value)
        configure_logging(checked.ok_value.logLevel)
        raise SystemExit(asyncio.run(_serve(checked.ok_value)))

    def check(self, startup: str = "", **flags: Any) -> None:
        """Checks a startup file and flags, and lists every fault."""
        if "help" in flags:
            print(startup_help("router"))
            return None
        checked = read_startup(startup, flags, requires_data_folder=False)
        if isinstance(checked, Err):
            return exit_with_errors("router", checked.err_value)
        print("router: the startup configuration is valid")


def main() -> None:
    """Runs the `router` command line."""
    run_command(RouterCommand, "router")


if __name__ == "__main__":
    main()
