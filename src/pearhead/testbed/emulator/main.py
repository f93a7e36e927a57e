"""Programs of the emulated platform (§9.13): `engine`, `store` and `cloud`, each from a settings file of the plan."""

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
from pearhead.testbed.emulator.enginedriver import EngineDriver, HttpPartLink
from pearhead.testbed.emulator.enginefront import EngineSite, build_engine_server
from pearhead.testbed.emulator.ledger import LedgerFile
from pearhead.testbed.emulator.store import StoreModel, StoreSite, build_store
from pearhead.testbed.emulator.wire import ask

BEAT_MICROS = 250 * MILLI
LINGER_MICROS = 1_500 * MILLI


def stop_event() -> asyncio.Event:
    event = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, event.set)
    return event


class EngineProgram:
    """One life of a worker: it tells the list that it lives, and drains before it ends."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.clock = BootClock()
        self.chance = random.Random()
        self.version_path = Path(settings["version_file"])

    async def serve(self) -> None:
        stopped = stop_event()
        found = await ask(self.settings["cloud"], "GET", "/site/name")
        named = (found.fields() if found else {}).get(self.settings["model"], [1])
        version = int(self.version_path.read_text()) if self.version_path.exists() else max(named)
        site = self._build(version)
        for known in named:
            site.driver.model.name_version(known)
        server = build_engine_server(site, self.settings["probe"])
        host_name, port_number = split_address(self.settings["address"])
        server.listen(port_number, host_name)
        while not stopped.is_set():
            await self._beat(site)
            await sleep_for(self.clock, BEAT_MICROS)
        site.is_draining = True
        end_at = self.clock.now() + self.settings["drain_micros"] + LINGER_MICROS
        while self.clock.now() < end_at:
            await self._beat(site)
            await sleep_for(self.clock, BEAT_MICROS)

    def _build(self, version: int) -> EngineSite:
        settings = self.settings
        sink = LedgerFile(Path(settings["ledger"]))
        model = EngineModel(
            EngineSettings(**settings["engine"]),
            settings["name"],
            f"i-{self.chance.randbytes(4).hex()}",
            settings["service"],
            settings["model"],
            version,
            self.chance,
            sink,
        )
        driver = EngineDriver(model, self.clock, HttpPartLink(), settings["zone"])
        return EngineSite(driver, self.clock, self.chance, sink, settings["readers"], settings["connections"])

    def _keep_version(self, version: int) -> None:
        """Whole or not at all, as the worker may be killed at any moment."""
        new_path = self.version_path.with_suffix(".new")
        new_path.write_text(str(version))
        new_path.replace(self.version_path)

    async def _beat(self, site: EngineSite) -> None:
        model, settings = site.driver.model, self.settings
        site.driver.kick()
        self._keep_version(model.version)
        state = model.state()
        answer = await ask(
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
                "State": "draining" if site.is_draining else "ready",
                "ColdLeftMs": 0,
                "Phase": state["Phase"],
                "Models": state["Models"],
                "Loading": model.load is not None,
            },
        )
        if answer is not None:
            told = answer.fields()
            for version in told.get("Named", {}).get(model.model, []):
                model.name_version(version)
            model.load_slowness = max(1.0, told.get("Loading", 0) / settings["loads_at_once"])


class StoreProgram:
    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings

    async def serve(self) -> None:
        settings = self.settings
        model = StoreModel(settings["cache_tokens"], random.Random())
        server = HTTPServer(
            build_store(StoreSite(model, BootClock(), settings["zone"], settings["readers"])),
            max_body_size=64 * 1024 * 1024,
        )
        host_name, port_number = split_address(settings["address"])
        server.listen(port_number, host_name)
        await stop_event().wait()


class CloudProgram:
    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings

    async def serve(self) -> None:
        settings = self.settings
        clock = BootClock()
        sink = LedgerFile(Path(settings["ledger"]))
        model = CloudModel(settings["lag_micros"], settings["per_second"], settings["page_size"], sink)
        host_name, port_number = split_address(settings["address"])
        HTTPServer(build_cloud(model, clock)).listen(port_number, host_name)
        await stop_event().wait()


PROGRAMS: dict[str, type[EngineProgram | StoreProgram | CloudProgram]] = {
    "engine": EngineProgram,
    "store": StoreProgram,
    "cloud": CloudProgram,
}


def main() -> None:
    """Arguments: the program's name and its settings file."""
    program_name, settings_path = sys.argv[1:3]
    settings = json.loads(Path(settings_path).read_text())
    asyncio.run(PROGRAMS[program_name](settings).serve())


if __name__ == "__main__":
    main()
