"""The callers of a soak run: kept connections that rest between requests, as those of a platform's clients do."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.testbed.emulator.client import CallReport, Outcome, RequestDraw, SiteClient, SiteRequest
from pearhead.testbed.emulator.ledger import RecordSink
from pearhead.testbed.emulator.plan import SitePlan
from pearhead.testbed.emulator.wire import RawConnection
from pearhead.testbed.soak.faultproxy import FaultProxy
from pearhead.testbed.soak.fleet import ProxiedEntry

LEAST_PAUSE_MICROS = 100 * MILLI
LONG_PAUSE_SHARE = 0.5
OLD_CONFIG_SHARE = 0.1


class RequestSource:
    """Draws requests on the newest configuration, and at times on an older one, whose keys may be revoked."""

    def __init__(self, plan: SitePlan, config: dict[str, Any], chance: random.Random) -> None:
        self.plan, self.chance = plan, chance
        self.draws: list[RequestDraw] = []
        self.use_config(config)

    def use_config(self, config: dict[str, Any]) -> None:
        """Requests are drawn on this configuration from now on."""
        known = {kind.route for kind in self.plan.kinds}
        added = [r["Name"] for r in config["RouteTable"] if r["Name"] not in known]
        model = self.plan.kinds[0]
        kinds = [*self.plan.kinds, *(replace(model, route=name, share=0.1) for name in added)]
        self.draws.append(RequestDraw(replace(self.plan, kinds=kinds), config, self.chance))

    def draw(self) -> RequestDraw:
        """The draw of the next request."""
        is_old = len(self.draws) > 1 and self.chance.random() < OLD_CONFIG_SHARE
        return self.chance.choice(self.draws[:-1]) if is_old else self.draws[-1]


class SoakClient(SiteClient):
    """A caller behind proxies. A connection that only a proxy took counts as refused: no node read the request."""

    proxies: dict[str, FaultProxy]

    async def _exchange(
        self, request: SiteRequest, request_id: str, connection: RawConnection, resumed_from: int, end_at: int
    ) -> Outcome:
        own_address = connection.writer.get_extra_info("sockname")
        outcome = await super()._exchange(request, request_id, connection, resumed_from, end_at)
        proxy = self.proxies.get(connection.address)
        if not outcome.status and proxy is not None and own_address in proxy.refused:
            outcome.is_unread = True
        return outcome


class SoakTraffic:
    """Many clients that go on until they are told to stop."""

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
        self.entry = ProxiedEntry(plan.of("router"))
        self.report = CallReport()
        self.stopping = asyncio.Event()

    async def run(self, client_count: int) -> None:
        """Returns when each client has ended its last request."""
        await self.entry.poll()
        await self.entry.poll()
        poll_task = asyncio.ensure_future(self.entry.run(self.clock))
        try:
            await asyncio.gather(*(self._call_on(number) for number in range(client_count)))
        finally:
            poll_task.cancel()

    def stop(self) -> None:
        """No request begins after the present ones."""
        self.stopping.set()

    async def _call_on(self, number: int) -> None:
        chance = random.Random(f"client {self.seed} {number} {self.clock.now()}")
        client = SoakClient(f"client-{number}", self.entry, self.clock, chance, self.sink)
        client.proxies = self.proxies
        while True:
            await self._pause(chance)
            if self.stopping.is_set():
                break
            await client.call(self.source.draw().draw(), self.report)
        client.close()

    async def _pause(self, chance: random.Random) -> None:
        is_long = chance.random() < LONG_PAUSE_SHARE
        most = self.longest_pause_micros if is_long else SECOND
        pause_task = asyncio.ensure_future(sleep_for(self.clock, chance.randrange(LEAST_PAUSE_MICROS, most)))
        stop_task = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait([pause_task, stop_task], return_when=asyncio.FIRST_COMPLETED)
        pause_task.cancel()
        stop_task.cancel()
