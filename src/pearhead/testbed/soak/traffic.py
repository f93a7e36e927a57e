"""The clients of a soak run: they keep their connections open and pause between requests, as real ones do."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.testbed.emulator.client import AttemptOutcome, CallReport, RequestGenerator, SiteClient, SiteRequest
from pearhead.testbed.emulator.ledger import RecordSink
from pearhead.testbed.emulator.plan import SitePlan
from pearhead.testbed.emulator.raw_http import RawConnection
from pearhead.testbed.soak.fault_proxy import FaultProxy
from pearhead.testbed.soak.fleet import ProxiedNodeSelector

MIN_PAUSE_MICROS = 100 * MILLI
LONG_PAUSE_PROBABILITY = 0.5
OLD_CONFIG_PROBABILITY = 0.1


class RequestSource:
    """Draws requests for the newest configuration, and some for an older one, whose keys may be revoked."""

    def __init__(self, plan: SitePlan, config: dict[str, Any], rng: random.Random) -> None:
        self.plan, self.rng = plan, rng
        self.generators: list[RequestGenerator] = []
        self.use_config(config)

    def use_config(self, config: dict[str, Any]) -> None:
        """Makes this the newest configuration."""
        known_routes = {kind.route for kind in self.plan.kinds}
        added_routes = [r["Name"] for r in config["RouteTable"] if r["Name"] not in known_routes]
        template = self.plan.kinds[0]
        kinds = [*self.plan.kinds, *(replace(template, route=name, share=0.1) for name in added_routes)]
        self.generators.append(RequestGenerator(replace(self.plan, kinds=kinds), config, self.rng))

    def pick_generator(self) -> RequestGenerator:
        """Returns the generator to draw the next request from."""
        is_old = len(self.generators) > 1 and self.rng.random() < OLD_CONFIG_PROBABILITY
        return self.rng.choice(self.generators[:-1]) if is_old else self.generators[-1]


class SoakClient(SiteClient):
    """A client that connects through proxies.

    A connection that a proxy accepted but no node did counts as refused: no node has read the request.
    """

    proxies: dict[str, FaultProxy]

    async def _exchange(
        self, request: SiteRequest, request_id: str, connection: RawConnection, resumed_from: int, end_at: int
    ) -> AttemptOutcome:
        own_address = connection.writer.get_extra_info("sockname")
        outcome = await super()._exchange(request, request_id, connection, resumed_from, end_at)
        proxy = self.proxies.get(connection.address)
        if not outcome.status and proxy is not None and own_address in proxy.refused_clients:
            outcome.is_unread = True
        return outcome


class SoakTraffic:
    """Many clients that send requests until they are told to stop.

    `pause_seconds` is the longest pause between two requests of a client.
    """

    def __init__(
        self,
        plan: SitePlan,
        config: dict[str, Any],
        clock: Clock,
        sink: RecordSink,
        seed: int,
        pause_seconds: float,
        proxies: Iterable[FaultProxy],
    ) -> None:
        self.proxies = {proxy.address: proxy for proxy in proxies}
        self.clock, self.sink, self.seed = clock, sink, seed
        self.longest_pause_micros = round(pause_seconds * SECOND)
        self.source = RequestSource(plan, config, random.Random(f"requests {seed}"))
        self.node_selector = ProxiedNodeSelector(plan.machines_of("router"))
        self.report = CallReport()
        self.stop_requested = asyncio.Event()

    async def run(self, client_count: int) -> None:
        """Runs the clients; returns when each has finished its last request after `stop`."""
        await self.node_selector.poll()
        await self.node_selector.poll()
        poll_task = asyncio.ensure_future(self.node_selector.run(self.clock))
        try:
            await asyncio.gather(*(self._run_client(number) for number in range(client_count)))
        finally:
            poll_task.cancel()

    def stop(self) -> None:
        """Lets the clients finish their current requests and send no more."""
        self.stop_requested.set()

    async def _run_client(self, number: int) -> None:
        rng = random.Random(f"client {self.seed} {number} {self.clock.now()}")
        client = SoakClient(f"client-{number}", self.node_selector, self.clock, rng, self.sink)
        client.proxies = self.proxies
        while True:
            await self._pause(rng)
            if self.stop_requested.is_set():
                break
            await client.call(self.source.pick_generator().draw(), self.report)
        client.close()

    async def _pause(self, rng: random.Random) -> None:
        is_long = rng.random() < LONG_PAUSE_PROBABILITY
        max_pause_micros = self.longest_pause_micros if is_long else SECOND
        pause_task = asyncio.ensure_future(sleep_for(self.clock, rng.randrange(MIN_PAUSE_MICROS, max_pause_micros)))
        stop_task = asyncio.ensure_future(self.stop_requested.wait())
        await asyncio.wait([pause_task, stop_task], return_when=asyncio.FIRST_COMPLETED)
        pause_task.cancel()
        stop_task.cancel()
