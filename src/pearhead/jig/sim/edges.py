"""SimCarrier, SimLink, SimFetch (§9.5): the HTTP edges of the real fleet, replaced one for one."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncGenerator, Callable, Coroutine
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from result import Err, Result

from pearhead.awl.clock import SECOND
from pearhead.jig.sim.world import LINK_MICROS, Machine
from pearhead.jig.workermodel import (
    FETCH_MICROS_A_TOKEN,
    ApplicationModel,
    Kept,
    StoreModel,
    WorkerModel,
    WorkerRefusal,
)
from pearhead.lathe.carry import CUT, NOT_SENT, REFUSED, WITHDRAWN, CarryFault, MayBegin, UpstreamJob


@dataclass
class BackEnd:
    """A stand-in on its machine; the model is made anew at each start."""

    machine: Machine
    model: WorkerModel | ApplicationModel | StoreModel


BackEnds = dict[str, BackEnd]
END = object()
CONNECT_MICROS = SECOND
RESEND_MICROS = SECOND // 5
JOB = "job"
COMMAND = "command"


def open_connection(
    node: Machine, worker: Machine, purpose: str, limitMicros: int, begin: Callable[[], None],
    fail: Callable[[str], None],
) -> None:
    """A handshake of its own before any byte: `begin` runs on the node, past its gate, when it is over."""
    world = node.world
    isSettled = False

    def settle(action: Callable[[], None]) -> Callable[[], None]:
        def settle_once() -> None:
            nonlocal isSettled
            if not isSettled:
                isSettled = True
                action()

        return settle_once

    def go_back(action: Callable[[], None]) -> None:
        if not world.is_cut(worker.name, node.name):
            world.loop.call_later(world.link_micros() / SECOND, node.gate(settle(action)))

    def arrive() -> None:
        if world.is_cut(node.name, worker.name):
            return
        if not worker.isAlive:
            go_back(lambda: fail("connection refused"))
        elif not worker.isFrozen or worker.kernelAnswers:
            trap = world.connectTraps.pop((node.name, purpose), None)
            if trap is not None:
                trap(worker)
            go_back(begin)

    world.loop.call_later(world.link_micros() / SECOND, arrive)
    node.after(min(CONNECT_MICROS, limitMicros), settle(lambda: fail("no connection")))


class SimCarrier:
    def __init__(self, machine: Machine, backEnds: BackEnds, watch: Callable[[str, str], None]) -> None:
        self.machine = machine
        self.world = machine.world
        self.backEnds = backEnds
        self.watch = watch

    async def carry(
        self, workerAddress: str, upstreamJob: UpstreamJob, mayBegin: MayBegin
    ) -> AsyncGenerator[dict[str, Any], None]:
        worker, node, world = self.backEnds[workerAddress].machine, self.machine, self.world
        events: asyncio.Queue[Any] = asyncio.Queue()
        runTasks: list[asyncio.Task[Any]] = []
        lastArrival = 0
        isClosed = False
        unsent: list[Any] = []

        def hand_back(item: Any) -> None:
            unsent.append(item)
            if len(unsent) == 1:
                pump()

        def pump() -> None:
            """Over the link in order, and through the node's gate; what a cut holds up is sent again after it."""
            nonlocal lastArrival
            if not worker.isAlive and world.is_cut(worker.name, node.name):
                return
            while unsent:
                if world.is_cut(worker.name, node.name):
                    if not isClosed:
                        world.loop.call_later(RESEND_MICROS / SECOND, pump)
                    return
                lastArrival = max(lastArrival + 1, world.now() + world.link_micros())
                deliver = node.gate(functools.partial(events.put_nowait, unsent.pop(0)))
                world.loop.call_later((lastArrival - world.now()) / SECOND, deliver)

        async def run() -> None:
            try:
                model = self.backEnds[workerAddress].model
                assert not isinstance(model, StoreModel)
                runEvents = model.run(upstreamJob.to_request(), upstreamJob.upstreamId)
                async with aclosing(runEvents) as openEvents:
                    async for event in openEvents:
                        hand_back(event)
                hand_back(END)
            except WorkerRefusal as refusal:
                hand_back(CarryFault(REFUSED, refusal.why))
            except asyncio.CancelledError:
                hand_back(CarryFault(CUT, "reset"))
                raise

        def send() -> None:
            """The last check and the first byte, in one step of the node."""
            if isClosed:
                return
            if not mayBegin():
                events.put_nowait(CarryFault(WITHDRAWN, "it may not begin any more"))
                return
            self.watch(upstreamJob.upstreamId, worker.name)
            workerLife = worker.life

            def arrive() -> None:
                if world.is_cut(node.name, worker.name):
                    return
                if not worker.isAlive or worker.life != workerLife:
                    hand_back(CarryFault(CUT, "reset"))
                    return
                worker.gate(lambda: runTasks.append(worker.crew.start(run())))()

            world.loop.call_later(world.link_micros() / SECOND, arrive)

        def fail(why: str) -> None:
            events.put_nowait(CarryFault(NOT_SENT, why))

        open_connection(node, worker, JOB, upstreamJob.limitMicros, send, fail)
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
            # The node closes its connection; the worker stops, once it hears of it.
            isClosed = True

            def stop_runs() -> None:
                for runTask in runTasks:
                    # What was read before the close has begun by then.
                    world.loop.call_later(1 / SECOND, runTask.cancel)

            def arrive_close() -> None:
                if not world.is_cut(node.name, worker.name):
                    worker.gate(stop_runs)()

            world.loop.call_later(2 * LINK_MICROS[1] / SECOND, arrive_close)


class SimLink:
    """Commands and reports, noted with the node that gave them."""

    def __init__(
        self, machine: Machine, backEnds: BackEnds, watch: Callable[[str, str, int, int], None]
    ) -> None:
        self.machine = machine
        self.world = machine.world
        self.backEnds = backEnds
        self.watch = watch

    async def claim(self, address: str, fence: int, mayBegin: MayBegin) -> Result[dict[str, Any], str]:
        return await self._command(address, fence, lambda model: model.claim(fence), SECOND, mayBegin)

    async def load(
        self, address: str, fence: int, line: str, weights: str, limitMicros: int, mayBegin: MayBegin
    ) -> Result[dict[str, Any], str]:
        return await self._command(
            address, fence, lambda model: model.load(fence, f"{line}@{weights}"), limitMicros, mayBegin
        )

    async def _command(
        self, address: str, fence: int, command: Callable[[WorkerModel], Coroutine[Any, Any, dict[str, Any]]],
        limitMicros: int, mayBegin: MayBegin,
    ) -> Result[dict[str, Any], str]:
        backEnd = self.backEnds[address]
        sentMicros = 0

        async def work() -> dict[str, Any]:
            model = self.backEnds[address].model
            assert isinstance(model, WorkerModel)
            self.watch(self.machine.name, backEnd.machine.name, fence, sentMicros)
            return await command(model)

        beginFuture: asyncio.Future[str] = self.world.loop.create_future()

        def settle(why: str) -> None:
            if not beginFuture.done():
                beginFuture.set_result(why)

        def begin() -> None:
            nonlocal sentMicros
            sentMicros = self.world.now()
            if mayBegin():
                self.machine.crew.start(self._ask(backEnd, work, limitMicros, resultFuture))
                settle("")
            else:
                settle("not within its term any more")

        resultFuture: asyncio.Future[Result[dict[str, Any], str]] = self.world.loop.create_future()
        open_connection(self.machine, backEnd.machine, COMMAND, limitMicros, begin, settle)
        why = await beginFuture
        return Err(why) if why else await resultFuture

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        backEnd = self.backEnds[address]

        async def work() -> dict[str, Any]:
            assert not isinstance(backEnd.model, ApplicationModel)
            return backEnd.model.events(life, after)

        resultFuture: asyncio.Future[Result[dict[str, Any], str]] = self.world.loop.create_future()
        self.machine.crew.start(self._ask(backEnd, work, SECOND, resultFuture))
        return await resultFuture

    async def _ask(
        self, backEnd: BackEnd, work: Any, limitMicros: int,
        resultFuture: asyncio.Future[Result[dict[str, Any], str]],
    ) -> None:
        givenResult = await self.world.call_into(backEnd.machine, self.machine.name, work, limitMicros)

        def settle() -> None:
            if not resultFuture.done():
                resultFuture.set_result(givenResult)

        self.machine.gate(settle)()


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
