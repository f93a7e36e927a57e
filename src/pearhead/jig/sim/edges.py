"""SimCarrier, SimLink, SimFetch (§9.5): the HTTP edges of the real fleet, replaced one for one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from result import Err, Result

from pearhead.awl.clock import SECOND
from pearhead.jig.sim.world import Machine
from pearhead.jig.workermodel import (
    FETCH_MICROS_A_TOKEN,
    ApplicationModel,
    Kept,
    StoreModel,
    WorkerModel,
    WorkerRefusal,
)
from pearhead.lathe.carry import CUT, NOT_SENT, REFUSED, CarryFault, UpstreamJob


@dataclass
class BackEnd:
    """A stand-in on its machine; the model is made anew at each start."""

    machine: Machine
    model: WorkerModel | ApplicationModel | StoreModel


BackEnds = dict[str, BackEnd]
END = object()


class SimCarrier:
    def __init__(self, machine: Machine, backEnds: BackEnds) -> None:
        self.machine = machine
        self.world = machine.world
        self.backEnds = backEnds

    async def carry(self, workerAddress: str, upstreamJob: UpstreamJob) -> AsyncGenerator[dict[str, Any], None]:
        backEnd = self.backEnds[workerAddress]
        worker, node, world = backEnd.machine, self.machine, self.world
        events: asyncio.Queue[Any] = asyncio.Queue()
        runTasks: list[asyncio.Task[Any]] = []
        lastArrival = 0

        def hand_back(item: Any) -> None:
            """Over the link in order, and through the node's gate."""
            nonlocal lastArrival
            lastArrival = max(lastArrival + 1, world.now() + world.link_micros())
            if not world.is_cut(worker.name, node.name):
                deliver = node.gate(lambda: events.put_nowait(item))
                world.loop.call_later((lastArrival - world.now()) / SECOND, deliver)

        async def run() -> None:
            try:
                assert not isinstance(backEnd.model, StoreModel)
                runEvents = backEnd.model.run(upstreamJob.to_request(), upstreamJob.upstreamId)
                async with aclosing(runEvents) as openEvents:
                    async for event in openEvents:
                        hand_back(event)
                hand_back(END)
            except WorkerRefusal as refusal:
                hand_back(CarryFault(REFUSED, refusal.why))
            except asyncio.CancelledError:
                hand_back(CarryFault(CUT, "reset"))
                raise

        hasLink = not world.is_cut(node.name, worker.name) and not world.is_cut(worker.name, node.name)

        def arrive() -> None:
            # A handshake needs both ways; a cut that begins after it loses the request.
            if not hasLink or world.is_cut(node.name, worker.name):
                return
            if not worker.isAlive:
                hand_back(CarryFault(NOT_SENT, "connection refused"))
                return
            worker.gate(lambda: runTasks.append(worker.crew.start(run())))()

        world.loop.call_later(world.link_micros() / SECOND, arrive)
        if not hasLink:
            # No connection comes about, so nothing was sent.
            node.after(min(SECOND, upstreamJob.limitMicros),
                       lambda: events.put_nowait(CarryFault(NOT_SENT, "no connection")))
        node.after(upstreamJob.limitMicros, lambda: events.put_nowait(CarryFault(CUT, "deadline")))
        try:
            while True:
                item = await events.get()
                if item is END:
                    return
                if isinstance(item, CarryFault):
                    raise item
                yield item
        finally:
            # The node closes its connection; the worker stops unless the link is cut.
            for runTask in runTasks:
                if not world.is_cut(node.name, worker.name):
                    world.loop.call_later(world.link_micros() / SECOND, runTask.cancel)


class SimLink:
    """Commands and reports, noted with the node that gave them."""

    def __init__(self, machine: Machine, backEnds: BackEnds, watch: Callable[[str, str, int], None]) -> None:
        self.machine = machine
        self.world = machine.world
        self.backEnds = backEnds
        self.watch = watch

    async def load(
        self, address: str, fence: int, line: str, weights: str, limitMicros: int
    ) -> Result[dict[str, Any], str]:
        backEnd = self.backEnds[address]

        async def work() -> dict[str, Any]:
            assert isinstance(backEnd.model, WorkerModel)
            self.watch(self.machine.name, backEnd.machine.name, fence)
            return await backEnd.model.load(fence, f"{line}@{weights}")

        return await self._call(backEnd, work, limitMicros)

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        backEnd = self.backEnds[address]

        async def work() -> dict[str, Any]:
            assert not isinstance(backEnd.model, ApplicationModel)
            return backEnd.model.events(life, after)

        return await self._call(backEnd, work, SECOND)

    async def _call(self, backEnd: BackEnd, work: Any, limitMicros: int) -> Result[dict[str, Any], str]:
        resultFuture: asyncio.Future[Result[dict[str, Any], str]] = self.world.loop.create_future()

        async def ask() -> None:
            givenResult = await self.world.call_into(backEnd.machine, self.machine.name, work, limitMicros)

            def settle() -> None:
                if not resultFuture.done():
                    resultFuture.set_result(givenResult)

            self.machine.gate(settle)()

        self.machine.crew.start(ask())
        return await resultFuture


class SimFetch:
    def __init__(self, machine: Machine, backEnds: BackEnds, storeAddress: str) -> None:
        self.machine = machine
        self.world = machine.world
        self.backEnds = backEnds
        self.storeAddress = storeAddress
        self.slowness = 1

    async def fetch(self, remoteAddress: str, key: str, limitMicros: int) -> Kept | None:
        remote = self.backEnds[remoteAddress]

        async def work() -> Kept | None:
            if isinstance(remote.model, StoreModel):
                return remote.model.get(key)
            assert isinstance(remote.model, WorkerModel)
            return remote.model.cache.get(key)

        givenResult = await self.world.call_into(remote.machine, self.machine.name, work, limitMicros)
        if isinstance(givenResult, Err) or givenResult.ok_value is None:
            return None
        kept: Kept = givenResult.ok_value
        linkMicros = kept.tokens * FETCH_MICROS_A_TOKEN * self.slowness
        await asyncio.sleep(min(linkMicros, limitMicros) / SECOND)
        return kept if linkMicros <= limitMicros else None

    async def keep_in_store(self, key: str, kept: Kept) -> None:
        store = self.backEnds[self.storeAddress]

        async def work() -> None:
            assert isinstance(store.model, StoreModel)
            store.model.put(key, kept)

        self.machine.crew.start(self.world.call_into(store.machine, self.machine.name, work, SECOND))
