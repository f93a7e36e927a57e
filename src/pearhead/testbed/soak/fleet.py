"""The fleet of a soak run: an emulated site with fault proxies in front of its processes.

The proxies carry the connections from clients to front nodes, from operators to core nodes, and to the workers and the
cloud API's list of workers. Messages between the product's own processes are not proxied: each process announces the
address at which it listens, and no setting announces a different one.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from typing import Any

from pearhead.runtime.clock import SECOND, sleep_for
from pearhead.testbed.emulator.launcher import SiteLauncher
from pearhead.testbed.emulator.ledger import LedgerFile
from pearhead.testbed.emulator.node_selector import NodeSelector
from pearhead.testbed.emulator.operator import SiteOperator
from pearhead.testbed.emulator.plan import (
    BOUNDS,
    CLOUD_PORT,
    CONTROL_PORT,
    FRONT_PORT,
    READINESS_PORT,
    WORKER_PORT,
    Machine,
    RequestKind,
    SiteSize,
)
from pearhead.testbed.emulator.raw_http import send_request
from pearhead.testbed.launcher import Launcher, find_deployment
from pearhead.testbed.soak.fault_proxy import NO_LINK_FAULT, FaultProxy, LinkFault
from pearhead.testbed.soak.schedule import SoakProfile

PROXY_OCTET_OFFSET = 100
PROXIED_PORTS = {"control_plane": CONTROL_PORT, "router": FRONT_PORT, "engine": WORKER_PORT, "cloud": CLOUD_PORT}
POLL_INTERVAL_MICROS = 50_000
# For the front nodes to become ready, and for a process to disappear after SIGKILL.
PROCESS_TIMEOUT_MICROS = 60 * SECOND
# Long enough for the requests that a worker still gets once the list shows that it is leaving, and less than `GraceS`.
WORKER_DRAIN_MICROS = 6 * SECOND
LONG_OUTPUT_TOKENS = 500
LONG_REQUEST_SHARE = 0.4
MIN_TRIES = 2


class NotReadyError(Exception):
    """The front nodes that the message names did not become ready in time."""


def proxy_ip(ip: str) -> str:
    """The address of a machine's proxy: in the same address block, with another third octet."""
    first, second, third, fourth = ip.split(".")
    return f"{first}.{second}.{int(third) + PROXY_OCTET_OFFSET}.{fourth}"


class ProxiedNodeSelector(NodeSelector):
    """Sends clients to the front nodes' proxies instead of the nodes themselves."""

    def address(self, node: Machine) -> str:
        """Address and port of the node's proxy."""
        return f"{proxy_ip(node.ip)}:{FRONT_PORT}"


class SoakFleet(SiteLauncher):
    """Starts, signals and awaits the processes of one run, and disturbs their links, inside one event loop."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.proxies: dict[str, FaultProxy] = {}

    def prepare_site(self, profile: SoakProfile, seed: int) -> None:
        """Draws the site and saves its plan.

        Some of the requests are made to last for seconds, so that nodes that drain still have requests in flight.
        """
        self.make_site(find_deployment("academy"), SiteSize(profile.cores, profile.fronts, profile.workers), seed)
        site = self.site
        short, long = site.kinds
        site.kinds = [
            RequestKind(**{**vars(short), "share": 1 - LONG_REQUEST_SHARE}),
            RequestKind(**{**vars(long), "share": LONG_REQUEST_SHARE, "output_tokens": LONG_OUTPUT_TOKENS}),
        ]
        for route in site.config["RouteTable"]:
            # With a single try a run couldn't reveal a request that is sent again although it may have run.
            route["Tries"] = max(MIN_TRIES, route["Tries"])
        self.plan["site"] = site.fields()
        self.plan["config"] = site.config
        self._save_plan()

    def settings_of(self, name: str) -> dict[str, Any]:
        """The settings as the platform writes them, with proxy addresses for the workers and the worker list."""
        settings = super().settings_of(name)
        program = self.plan["processes"][name]["program"]
        if program == "engine":
            host_name = settings["address"].partition(":")[0]
            settings["listed_address"] = f"{proxy_ip(host_name)}:{WORKER_PORT}"
            settings["drain_micros"] = WORKER_DRAIN_MICROS
        elif program in ("control_plane", "router"):
            list_ip = self.site.machines_of("cloud")[0].ip
            settings["CloudApi"]["Address"] = f"{proxy_ip(list_ip)}:{CLOUD_PORT}"
        return settings

    # ---- proxies -----------------------------------------------------------------------------------

    async def open_proxies(self, rng: random.Random) -> None:
        """Opens a proxy for each core node, front node and worker, and for the cloud API. Raises OSError."""
        for machine in self.site.machines_of(*PROXIED_PORTS):
            port = PROXIED_PORTS[machine.program]
            proxy = FaultProxy(f"{proxy_ip(machine.ip)}:{port}", f"{machine.ip}:{port}", rng)
            await proxy.open()
            self.proxies[machine.name] = proxy

    async def close_proxies(self) -> None:
        """Closes all proxies with their connections."""
        await asyncio.gather(*(proxy.close() for proxy in self.proxies.values()))

    def start_link_fault(self, name: str, fault: LinkFault) -> None:
        """Starts a fault on the link to a process and records it."""
        self._record_trouble(name, "cut")
        self.proxies[name].set_fault(fault)

    def heal_link(self, name: str) -> None:
        """Ends the fault on the link to a process and records it."""
        self.proxies[name].set_fault(NO_LINK_FAULT)
        self._record_trouble(name, "healed")

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a process. Raises RuntimeError if it runs already, as the first one would never be stopped then."""
        if self.is_alive(name):
            raise RuntimeError(f"{name} is already running")
        super().start(name)

    async def kill(self, name: str) -> None:
        """Sends SIGKILL and waits until the process is gone."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exited(name, PROCESS_TIMEOUT_MICROS)

    async def stop_gracefully(self, name: str) -> None:
        """Stops a process as planned work: SIGTERM, then SIGKILL if it still runs after `GraceS`."""
        if not self.send_signal(name, signal.SIGTERM):
            return
        if not await self.wait_exited(name, BOUNDS["GraceS"] * SECOND):
            # Not recorded as an unplanned kill: the requests that it breaks are a consequence of the planned stop.
            Launcher.send_signal(self, name, signal.SIGKILL)
            self._record_trouble(name, "overran")
            await self.wait_exited(name, PROCESS_TIMEOUT_MICROS)

    async def wait_exited(self, name: str, limit_micros: int) -> bool:
        """Waits for a process to end. Returns False if it still runs after the limit."""
        end_at = self.clock.now() + limit_micros
        while self.is_alive(name):
            if self.clock.now() >= end_at:
                return False
            await sleep_for(self.clock, POLL_INTERVAL_MICROS)
        return True

    def record_worker_faulty(self, name: str, is_faulty: bool) -> None:
        """Records that a worker starts (`is_faulty`) or stops giving faulty responses."""
        self._record_trouble(name, "faulty" if is_faulty else "sound")

    def resume_frozen(self) -> None:
        """Sends SIGCONT to all processes that are still frozen."""
        for name in list(self.plan["frozen"]):
            self.send_signal(name, signal.SIGCONT)

    async def wait_all_ready(self, limit_micros: int = PROCESS_TIMEOUT_MICROS) -> None:
        """Waits until all front nodes are ready. Raises NotReadyError if one is not within the limit."""
        end_at = self.clock.now() + limit_micros
        while unready := await self._unready_nodes():
            if self.clock.now() > end_at:
                raise NotReadyError(", ".join(unready))
            await sleep_for(self.clock, POLL_INTERVAL_MICROS)

    async def _unready_nodes(self) -> list[str]:
        fronts = self.site.machines_of("router")
        asked = [send_request(f"{m.ip}:{READINESS_PORT}", "GET", "/v1/readiness") for m in fronts]
        answers = await asyncio.gather(*asked)
        pairs = zip(fronts, answers, strict=True)
        return [m.name for m, answer in pairs if answer is None or answer.head.status != 200]

    # ---- the operator ------------------------------------------------------------------------------

    def proxied_control_addresses(self) -> list[str]:
        """Where operators send changes: the proxies of the core nodes that the platform lists."""
        listed = (address.rpartition(":") for address in self.listed_control_addresses())
        return [f"{proxy_ip(ip)}:{port}" for ip, _, port in listed]

    def make_operator(self, sink: LedgerFile, lost_answers: int, seed_text: str) -> SiteOperator:
        """Returns an operator that loses the first `lost_answers` responses to its changes.

        `seed_text` seeds its choice of core nodes.
        """
        return SiteOperator(self.proxied_control_addresses, self.clock, sink, random.Random(seed_text), lost_answers)

    def save_config(self, config: dict[str, Any], status: int) -> None:
        """Saves the configuration that later changes are based on, if `status` says that it was accepted (200)."""
        self._save_if_accepted(config, status)

    def live_process_count(self) -> int:
        """How many processes of this fleet are running."""
        return sum(self.is_alive(name) for name in self.plan["processes"])

    def kill_all(self) -> None:
        """Kills all running processes and releases the address block.

        The kills are not recorded in the ledger, as nothing that happens after them is checked.
        """
        for name in self.plan["ids"]:
            if self.is_alive(name):
                os.kill(self.plan["ids"][name], signal.SIGKILL)
        self.release_block()
