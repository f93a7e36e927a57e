"""Programs of the emulated platform (§9.13): `engine`, `store` and `cloud`.

Each reads a settings file that the launcher writes from the plan.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from pearhead.runtime.clock import MILLI, BootClock, sleep_for
from pearhead.runtime.socketnet import split_address
from pearhead.testbed.emulator.cloud import CloudModel, build_cloud
from pearhead.testbed.emulator.engine import EngineModel, EngineSettings
from pearhead.testbed.emulator.engine_driver import EngineDriver, HttpPartTransfer
from pearhead.testbed.emulator.engine_server import EngineContext, build_engine_server
from pearhead.testbed.emulator.ledger import LedgerFile
from pearhead.testbed.emulator.named_versions import fetch_from_cloud, read_control_addresses
from pearhead.testbed.emulator.raw_http import send_request
from pearhead.testbed.emulator.store import StoreContext, StoreModel, build_store

HEARTBEAT_INTERVAL_MICROS = 250 * MILLI
DRAIN_MARGIN_MICROS = 1_500 * MILLI


def stop_event() -> asyncio.Event:
    """An event that is set by SIGTERM or SIGINT; replaces the handlers of both in the running loop."""
    event = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, event.set)
    return event


class EngineProgram:
    """An emulated model worker: sends heartbeats to the worker list, and drains before it ends."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.clock = BootClock()
        self.rng = random.Random()
        self.version_path = Path(settings["version_file"])

    async def serve(self) -> None:
        """Serves requests until SIGTERM or SIGINT, then drains for `drain_micros` and `DRAIN_MARGIN_MICROS`.

        The weights version is that of the previous run, or the newest announced one if there was none.
        """
        stopped = stop_event()
        named = await fetch_from_cloud(self.settings["cloud"], self.settings["model"]) or [1]
        version = int(self.version_path.read_text()) if self.version_path.exists() else max(named)
        context = self._build(version)
        for known_version in named:
            context.driver.model.name_version(known_version)
        server = build_engine_server(context, self.settings["probe"])
        host_name, port_number = split_address(self.settings["address"])
        server.listen(port_number, host_name)
        while not stopped.is_set():
            await self._send_heartbeat(context)
            await sleep_for(self.clock, HEARTBEAT_INTERVAL_MICROS)
        context.is_draining = True
        end_at = self.clock.now() + self.settings["drain_micros"] + DRAIN_MARGIN_MICROS
        while self.clock.now() < end_at:
            await self._send_heartbeat(context)
            await sleep_for(self.clock, HEARTBEAT_INTERVAL_MICROS)

    def _build(self, version: int) -> EngineContext:
        settings = self.settings
        sink = LedgerFile(Path(settings["ledger"]))
        model = EngineModel(
            EngineSettings(**settings["engine"]),
            settings["name"],
            f"i-{self.rng.randbytes(4).hex()}",
            settings["service"],
            settings["model"],
            version,
            self.rng,
            sink,
        )
        driver = EngineDriver(model, self.clock, HttpPartTransfer(), settings["zone"])
        context = EngineContext(driver, self.clock, self.rng, sink, settings["readers"], settings["connections"])
        context.fetch_named_versions = lambda: fetch_from_cloud(settings["cloud"], settings["model"])
        return context

    def _save_version(self, version: int) -> None:
        """Replaces the version file atomically, as the worker may be killed at any moment."""
        new_path = self.version_path.with_suffix(".new")
        new_path.write_text(str(version))
        new_path.replace(self.version_path)

    async def _send_heartbeat(self, context: EngineContext) -> None:
        """Reports the worker's state to the worker list.

        Learns from the answer which versions are announced, and how many workers load at once, which slows its own
        loading beyond `loads_at_once`.
        """
        model, settings = context.driver.model, self.settings
        context.driver.advance_to_now()
        self._save_version(model.version)
        state = model.state()
        answer = await send_request(
            settings["cloud"],
            "POST",
            "/site/beat",
            {
                "Id": model.instance,
                "Service": settings["service"],
                "Address": settings.get("listed_address", settings["address"]),
                "Zone": settings["zone"],
                "Revision": "v1",
                "Capacity": model.settings.capacity,
                "State": "draining" if context.is_draining else "ready",
                "ColdLeftMs": 0,
                "Phase": state["Phase"],
                "Models": state["Models"],
                "Loading": model.load is not None,
            },
        )
        if answer is not None:
            reply = answer.fields()
            for version in reply.get("Named", {}).get(model.model, []):
                model.name_version(version)
            model.load_slowness = max(1.0, reply.get("Loading", 0) / settings["loads_at_once"])


class StoreProgram:
    """The emulated store of cached prefix parts."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings

    async def serve(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        settings = self.settings
        model = StoreModel(settings["cache_tokens"], random.Random())
        server = HTTPServer(
            build_store(StoreContext(model, BootClock(), settings["zone"], settings["readers"])),
            max_body_size=64 * 1024 * 1024,
        )
        host_name, port_number = split_address(settings["address"])
        server.listen(port_number, host_name)
        await stop_event().wait()


class CloudProgram:
    """The emulated platform's list of workers."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings

    async def serve(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        settings = self.settings
        clock = BootClock()
        sink = LedgerFile(Path(settings["ledger"]))
        model = CloudModel(settings["lag_micros"], settings["per_second"], settings["page_size"], sink)
        host_name, port_number = split_address(settings["address"])
        plan_path = Path(settings["plan"])
        HTTPServer(build_cloud(model, clock, lambda: read_control_addresses(plan_path))).listen(port_number, host_name)
        await stop_event().wait()


PROGRAMS: dict[str, type[EngineProgram | StoreProgram | CloudProgram]] = {
    "engine": EngineProgram,
    "store": StoreProgram,
    "cloud": CloudProgram,
}


def main() -> None:
    """Runs a program. Command line arguments: the program's name and the path of its settings file."""
    program_name, settings_path = sys.argv[1:3]
    settings = json.loads(Path(settings_path).read_text())
    asyncio.run(PROGRAMS[program_name](settings).serve())


if __name__ == "__main__":
    main()
