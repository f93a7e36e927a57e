"""The fleet of a soak run: an emulated site whose links to callers, workers, list and operator pass fault proxies.

Messages between the product's own processes are not proxied: each process tells the others the address at which it
listens itself, and there is no setting for another one.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from typing import Any

from pearhead.runtime.clock import SECOND, sleep_for
from pearhead.testbed.emulator.entry import Entry
from pearhead.testbed.emulator.launcher import SiteLauncher
from pearhead.testbed.emulator.ledger import LedgerFile
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
from pearhead.testbed.emulator.wire import ask
from pearhead.testbed.launcher import Launcher, find_deployment
from pearhead.testbed.soak.faultproxy import SOUND_LINK, FaultProxy, LinkFault
from pearhead.testbed.soak.schedule import SoakProfile

PROXY_OFFSET = 100
PROXIED_PORTS = {"control_plane": CONTROL_PORT, "router": FRONT_PORT, "engine": WORKER_PORT, "cloud": CLOUD_PORT}
POLL_MICROS = 50_000
READY_MICROS = 60 * SECOND
# Long enough for what a worker is still sent once the list shows that it leaves, and within `GraceS`.
WORKER_DRAIN_MICROS = 6 * SECOND
LONG_OUTPUT_TOKENS = 500
LONG_SHARE = 0.4
LEAST_TRIES = 2


class NotReadyError(Exception):
    """The fleet did not become ready in time."""


def proxy_ip(ip: str) -> str:
    """Where the proxy of a machine listens: in the same block, with a third number of its own."""
    first, second, third, fourth = ip.split(".")
    return f"{first}.{second}.{int(third) + PROXY_OFFSET}.{fourth}"


class ProxiedEntry(Entry):
    """Callers reach front nodes through their proxies."""

    def address(self, node: Machine) -> str:
        """The proxy's address."""
        return f"{proxy_ip(node.ip)}:{FRONT_PORT}"


class SoakFleet(SiteLauncher):
    """Starts, signals and awaits the processes of one run, inside one event loop."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.proxies: dict[str, FaultProxy] = {}

    def make(self, profile: SoakProfile, seed: int) -> None:
        """Draws the site; some of its requests last for seconds, as those at work matter when a node drains."""
        self.make_site(find_deployment("academy"), SiteSize(profile.cores, profile.fronts, profile.workers), seed)
        site = self.site
        short, long = site.kinds
        site.kinds = [
            RequestKind(**{**vars(short), "share": 1 - LONG_SHARE}),
            RequestKind(**{**vars(long), "share": LONG_SHARE, "output_tokens": LONG_OUTPUT_TOKENS}),
        ]
        for route in site.config["RouteTable"]:
            # Without a second try nothing would show whether what may have run is sent once more.
            route["Tries"] = max(LEAST_TRIES, route["Tries"])
        self.plan["site"] = site.fields()
        self.plan["config"] = site.config
        self._save_plan()

    def settings_of(self, name: str) -> dict[str, Any]:
        """As the platform writes them, with the addresses of proxies where others are told of one."""
        settings = super().settings_of(name)
        program = self.plan["processes"][name]["program"]
        if program == "engine":
            host_name = settings["address"].partition(":")[0]
            settings["listed_address"] = f"{proxy_ip(host_name)}:{WORKER_PORT}"
            settings["drain_micros"] = WORKER_DRAIN_MICROS
        elif program in ("control_plane", "router"):
            list_ip = self.site.of("cloud")[0].ip
            settings["CloudApi"]["Address"] = f"{proxy_ip(list_ip)}:{CLOUD_PORT}"
        return settings

    # ---- proxies -----------------------------------------------------------------------------------

    async def open_proxies(self, chance: random.Random) -> None:
        """One proxy for each machine that callers, front nodes or operators connect to."""
        for machine in self.site.of(*PROXIED_PORTS):
            port = PROXIED_PORTS[machine.program]
            proxy = FaultProxy(f"{proxy_ip(machine.ip)}:{port}", f"{machine.ip}:{port}", chance)
            await proxy.open()
            self.proxies[machine.name] = proxy

    async def close_proxies(self) -> None:
        """Ends all proxies."""
        await asyncio.gather(*(proxy.close() for proxy in self.proxies.values()))

    def disturb_link(self, name: str, fault: LinkFault) -> None:
        """Begins a fault of the link to a process and records it."""
        self._note(name, "cut")
        self.proxies[name].set_fault(fault)

    def heal_link(self, name: str) -> None:
        """Ends the fault of a link and records it."""
        self.proxies[name].set_fault(SOUND_LINK)
        self._note(name, "healed")

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Raises RuntimeError if the process lives: a second one would never be ended."""
        if self.is_alive(name):
            raise RuntimeError(f"{name} lives already")
        super().start(name)

    async def kill(self, name: str) -> None:
        """SIGKILL; returns once the process is gone."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_gone(name, READY_MICROS)

    async def stop_planned(self, name: str) -> None:
        """SIGTERM as planned work, and SIGKILL once `GraceS` is over."""
        if not self.send_signal(name, signal.SIGTERM):
            return
        if not await self.wait_gone(name, BOUNDS["GraceS"] * SECOND):
            # Not recorded as unplanned: what it cuts is a consequence of the planned stop.
            Launcher.send_signal(self, name, signal.SIGKILL)
            self._note(name, "overran")
            await self.wait_gone(name, READY_MICROS)

    async def wait_gone(self, name: str, limit_micros: int) -> bool:
        """Whether the process has ended within the limit."""
        end_at = self.clock.now() + limit_micros
        while self.is_alive(name):
            if self.clock.now() >= end_at:
                return False
            await sleep_for(self.clock, POLL_MICROS)
        return True

    def note_faulty(self, name: str, is_faulty: bool) -> None:
        """Records that a worker begins or ends to give faulty answers."""
        self._note(name, "faulty" if is_faulty else "sound")

    def thaw_all(self) -> None:
        """Wakes what is still frozen."""
        for name in list(self.plan["frozen"]):
            self.send_signal(name, signal.SIGCONT)

    async def wait_all_ready(self, limit_micros: int = READY_MICROS) -> None:
        """Raises NotReadyError if a front node does not become ready within the limit."""
        end_at = self.clock.now() + limit_micros
        while unready := await self._unready():
            if self.clock.now() > end_at:
                raise NotReadyError(", ".join(unready))
            await sleep_for(self.clock, POLL_MICROS)

    async def _unready(self) -> list[str]:
        fronts = self.site.of("router")
        asked = [ask(f"{m.ip}:{READINESS_PORT}", "GET", "/v1/readiness") for m in fronts]
        answers = await asyncio.gather(*asked)
        pairs = zip(fronts, answers, strict=True)
        return [m.name for m, answer in pairs if answer is None or answer.head.status != 200]

    # ---- the operator ------------------------------------------------------------------------------

    def proxied_controls(self) -> list[str]:
        """Where the operator sends orders: the proxies of the listed core nodes."""
        listed = (address.rpartition(":") for address in self.listed_controls())
        return [f"{proxy_ip(ip)}:{port}" for ip, _, port in listed]

    def open_operator(self, sink: LedgerFile, lost_answers: int, seed_text: str) -> SiteOperator:
        """An operator whose answers may be lost so many times."""
        return SiteOperator(self.proxied_controls, self.clock, sink, random.Random(seed_text), lost_answers)

    def hold_config(self, config: dict[str, Any], status: int) -> None:
        """Remembers a configuration that was acknowledged."""
        self._hold(config, status)

    def process_count(self) -> int:
        """How many processes of this fleet live."""
        return sum(self.is_alive(name) for name in self.plan["processes"])

    def down_now(self) -> None:
        """Kills all that lives; nothing is judged any more."""
        for name in self.plan["ids"]:
            if self.is_alive(name):
                os.kill(self.plan["ids"][name], signal.SIGKILL)
        self.release_block()
