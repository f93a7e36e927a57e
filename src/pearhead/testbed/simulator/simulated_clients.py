"""Simulated replacements for the HTTP clients of the fleet, with the same interfaces (§9.5)."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncGenerator, Callable, Coroutine
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from result import Err, Result

from pearhead.router.job_transport import (
    CUT,
    NOT_SENT,
    REFUSED,
    WITHDRAWN,
    JobTransportError,
    SendPrecondition,
    UpstreamJob,
)
from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.world import LINK_LATENCY_MICROS, Machine
from pearhead.testbed.workermodel import (
    FETCH_MICROS_PER_TOKEN,
    ApplicationModel,
    CachedPart,
    StoreModel,
    WorkerModel,
    WorkerRefusalError,
)


@dataclass
class BackEnd:
    """A simulated worker, application or store on its machine. The model is replaced at each start."""

    machine: Machine
    model: WorkerModel | ApplicationModel | StoreModel


BackEnds = dict[str, BackEnd]
STREAM_END = object()
CONNECT_MICROS = SECOND
RESEND_MICROS = SECOND // 5
JOB_CONNECTION = "job"
COMMAND_CONNECTION = "command"


def simulate_connect(
    node: Machine,
    worker: Machine,
    purpose: str,
    limit_micros: int,
    begin: Callable[[], None],
    fail: Callable[[str], None],
) -> None:
    """Simulates the handshake that opens a connection from a node to a worker.

    One of two callbacks runs on the node: `begin` when the connection is open, or `fail` with the reason when it is
    refused or not open in time. It is deferred while the node is frozen, and dropped if the node's process has ended.

    `purpose` is JOB_CONNECTION or COMMAND_CONNECTION and selects the connect hook to run. `limit_micros` bounds the
    wait, which is CONNECT_MICROS at most.
    """
    world = node.world
    is_settled = False

    def settle(action: Callable[[], None]) -> Callable[[], None]:
        def settle_once() -> None:
            nonlocal is_settled
            if not is_settled:
                is_settled = True
                action()

        return settle_once

    def send_reply(action: Callable[[], None]) -> None:
        if not world.is_cut(worker.name, node.name):
            world.loop.call_later(world.link_micros() / SECOND, node.guard_callback(settle(action)))

    def arrive() -> None:
        if world.is_cut(node.name, worker.name):
            return
        if not worker.is_alive:
            send_reply(lambda: fail("connection refused"))
        elif not worker.is_frozen or worker.kernel_accepts_connections:
            connect_hook = world.connect_hooks.pop((node.name, purpose), None)
            if connect_hook is not None:
                connect_hook(worker)
            send_reply(begin)

    world.loop.call_later(world.link_micros() / SECOND, arrive)
    node.after(min(CONNECT_MICROS, limit_micros), settle(lambda: fail("no connection")))


class SimUpstreamClient:
    """Sends jobs from one node to workers and applications, over simulated connections.

    `observer` is called with the job's upstream id and the worker's name when the first byte of a job is sent.
    """

    def __init__(self, machine: Machine, back_ends: BackEnds, observer: Callable[[str, str], None]) -> None:
        self.machine = machine
        self.world = machine.world
        self.back_ends = back_ends
        self.observer = observer

    async def send_job(
        self, worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Sends a job and yields the events of its answer.

        `may_begin` is asked right before the first byte. Raises JobTransportError, as the real client does.
        """
        worker, node, world = self.back_ends[worker_address].machine, self.machine, self.world
        events: asyncio.Queue[Any] = asyncio.Queue()
        run_tasks: list[asyncio.Task[Any]] = []
        last_arrival = 0
        is_closed = False
        unsent_replies: list[Any] = []

        def queue_reply(item: Any) -> None:
            unsent_replies.append(item)
            if len(unsent_replies) == 1:
                flush_replies()

        def flush_replies() -> None:
            """Delivers queued replies to the node in order; during a cut, retries until the link is back."""
            nonlocal last_arrival
            if not worker.is_alive and world.is_cut(worker.name, node.name):
                return
            while unsent_replies:
                if world.is_cut(worker.name, node.name):
                    if not is_closed:
                        world.loop.call_later(RESEND_MICROS / SECOND, flush_replies)
                    return
                last_arrival = max(last_arrival + 1, world.now() + world.link_micros())
                deliver = node.guard_callback(functools.partial(events.put_nowait, unsent_replies.pop(0)))
                world.loop.call_later((last_arrival - world.now()) / SECOND, deliver)

        async def run() -> None:
            try:
                model = self.back_ends[worker_address].model
                assert not isinstance(model, StoreModel)
                run_events = model.run(upstream_job.to_request(), upstream_job.upstream_id)
                async with aclosing(run_events) as open_events:
                    async for event in open_events:
                        queue_reply(event)
                queue_reply(STREAM_END)
            except WorkerRefusalError as refusal:
                queue_reply(JobTransportError(REFUSED, refusal.why))
            except asyncio.CancelledError:
                queue_reply(JobTransportError(CUT, "reset"))
                raise

        def send() -> None:
            """Checks the precondition and sends the first byte in one step: the node can't freeze in between."""
            if is_closed:
                return
            if not may_begin():
                events.put_nowait(JobTransportError(WITHDRAWN, "it may not begin any more"))
                return
            self.observer(upstream_job.upstream_id, worker.name)
            worker_boot_count = worker.boot_count

            def arrive() -> None:
                if world.is_cut(node.name, worker.name):
                    return
                if not worker.is_alive or worker.boot_count != worker_boot_count:
                    queue_reply(JobTransportError(CUT, "reset"))
                    return
                worker.guard_callback(lambda: run_tasks.append(worker.task_group.start(run())))()

            world.loop.call_later(world.link_micros() / SECOND, arrive)

        def fail(why: str) -> None:
            events.put_nowait(JobTransportError(NOT_SENT, why))

        simulate_connect(node, worker, JOB_CONNECTION, upstream_job.limit_micros, send, fail)
        node.after(upstream_job.limit_micros, lambda: events.put_nowait(JobTransportError(CUT, "deadline")))
        try:
            while True:
                item = await events.get()
                if item is STREAM_END:
                    return
                if isinstance(item, JobTransportError):
                    raise item
                yield item
        finally:
            # The node closes its connection; the worker stops the job when the close arrives.
            is_closed = True

            def stop_runs() -> None:
                for run_task in run_tasks:
                    # A request that the worker read before the close has started by then.
                    world.loop.call_later(1 / SECOND, run_task.cancel)

            def arrive_close() -> None:
                if not world.is_cut(node.name, worker.name):
                    worker.guard_callback(stop_runs)()

            world.loop.call_later(2 * LINK_LATENCY_MICROS[1] / SECOND, arrive_close)


class SimWorkerClient:
    """Sends commands to workers and polls their events.

    `observer` is called for each command as it runs, with the names of node and worker, the fencing token and the time
    at which it was sent.
    """

    def __init__(self, machine: Machine, back_ends: BackEnds, observer: Callable[[str, str, int, int], None]) -> None:
        self.machine = machine
        self.world = machine.world
        self.back_ends = back_ends
        self.observer = observer

    async def claim(self, address: str, fence: int, may_begin: SendPrecondition) -> Result[dict[str, Any], str]:
        """Claims a worker with a fencing token. Err with the reason if no answer came."""
        return await self._command(address, fence, lambda model: model.claim(fence), SECOND, may_begin)

    async def load(
        self, address: str, fence: int, line: str, weights: str, limit_micros: int, may_begin: SendPrecondition
    ) -> Result[dict[str, Any], str]:
        """Has a worker load these weights of a model line. Err with the reason if no answer came in time."""
        return await self._command(
            address, fence, lambda model: model.load(fence, f"{line}@{weights}"), limit_micros, may_begin
        )

    async def _command(
        self,
        address: str,
        fence: int,
        command: Callable[[WorkerModel], Coroutine[Any, Any, dict[str, Any]]],
        limit_micros: int,
        may_begin: SendPrecondition,
    ) -> Result[dict[str, Any], str]:
        """Opens a connection, asks `may_begin`, and runs the command on the worker."""
        back_end = self.back_ends[address]
        sent_micros = 0

        async def work() -> dict[str, Any]:
            model = self.back_ends[address].model
            assert isinstance(model, WorkerModel)
            self.observer(self.machine.name, back_end.machine.name, fence, sent_micros)
            return await command(model)

        begin_future: asyncio.Future[str] = self.world.loop.create_future()

        def settle(why: str) -> None:
            if not begin_future.done():
                begin_future.set_result(why)

        def begin() -> None:
            nonlocal sent_micros
            sent_micros = self.world.now()
            if may_begin():
                self.machine.task_group.start(self._run_on_back_end(back_end, work, limit_micros, result_future))
                settle("")
            else:
                settle("not within its term any more")

        result_future: asyncio.Future[Result[dict[str, Any], str]] = self.world.loop.create_future()
        simulate_connect(self.machine, back_end.machine, COMMAND_CONNECTION, limit_micros, begin, settle)
        why = await begin_future
        return Err(why) if why else await result_future

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        """Returns the cache events of a worker or store that follow number `after` of its process run `life`."""
        back_end = self.back_ends[address]

        async def work() -> dict[str, Any]:
            assert not isinstance(back_end.model, ApplicationModel)
            return back_end.model.events(life, after)

        result_future: asyncio.Future[Result[dict[str, Any], str]] = self.world.loop.create_future()
        self.machine.task_group.start(self._run_on_back_end(back_end, work, SECOND, result_future))
        return await result_future

    async def _run_on_back_end(
        self,
        back_end: BackEnd,
        work: Any,
        limit_micros: int,
        result_future: asyncio.Future[Result[dict[str, Any], str]],
    ) -> None:
        """Runs `work` on the back end's machine; its result is dropped if the node's process has ended by then."""
        outcome = await self.world.run_on_machine(back_end.machine, self.machine.name, work, limit_micros)

        def settle() -> None:
            if not result_future.done():
                result_future.set_result(outcome)

        self.machine.guard_callback(settle)()


class SimCacheTransfer:
    """Transfers cached prefix parts between a worker, other workers and the store.

    Attributes:
        slowness: Factor on the transfer time.
    """

    def __init__(self, machine: Machine, back_ends: BackEnds, store_address: str) -> None:
        self.machine = machine
        self.world = machine.world
        self.back_ends = back_ends
        self.store_address = store_address
        self.slowness = 1

    async def fetch(self, remote_address: str, key: str, limit_micros: int) -> CachedPart | None:
        """Fetches a part from a worker or the store; None if it is not there or did not arrive in time."""
        remote = self.back_ends[remote_address]

        async def work() -> CachedPart | None:
            if isinstance(remote.model, StoreModel):
                return remote.model.get(key)
            assert isinstance(remote.model, WorkerModel)
            return remote.model.cache.get(key)

        outcome = await self.world.run_on_machine(remote.machine, self.machine.name, work, limit_micros)
        if isinstance(outcome, Err) or outcome.ok_value is None:
            return None
        part: CachedPart = outcome.ok_value
        transfer_micros = part.tokens * FETCH_MICROS_PER_TOKEN * self.slowness
        await asyncio.sleep(min(transfer_micros, limit_micros) / SECOND)
        return part if transfer_micros <= limit_micros else None

    async def write_to_store(self, key: str, cached_part: CachedPart) -> None:
        """Sends a part to the store without waiting for it to arrive."""
        store = self.back_ends[self.store_address]

        async def work() -> None:
            assert isinstance(store.model, StoreModel)
            store.model.put(key, cached_part)

        self.machine.task_group.start(self.world.run_on_machine(store.machine, self.machine.name, work, SECOND))
