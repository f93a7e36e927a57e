"""Runs an EngineModel in real time (§9.13), and moves cached parts between workers and stores."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import asdict
from typing import Any, Protocol

from pearhead.runtime.clock import Clock, Timer
from pearhead.testbed.emulator.engine import (
    EngineModel,
    EngineOutput,
    EngineRequest,
    FetchRequested,
    RunAborted,
    SaveRequested,
)
from pearhead.testbed.emulator.part_cache import KeptPart, PartKey
from pearhead.testbed.emulator.raw_http import send_request

PartKeys = tuple[PartKey, ...]


class PartTransfer(Protocol):
    """Moves cached parts between processes."""

    async def fetch(self, address: str, keys: PartKeys) -> tuple[list[KeptPart], str] | None:
        """Returns the parts found at an address and its zone; None if it does not respond."""
        ...

    async def save(self, address: str, parts: tuple[KeptPart, ...]) -> None:
        """Sends parts to a store."""
        ...


class HttpPartTransfer:
    """Moves parts between processes of the emulator, on paths that the real platform does not have."""

    async def fetch(self, address: str, keys: PartKeys) -> tuple[list[KeptPart], str] | None:
        """Returns the parts found at an address and its zone; None without a successful response."""
        answer = await send_request(address, "POST", "/site/lend", {"keys": keys})
        if answer is None or answer.head.status != 200:
            return None
        result = answer.fields()
        return [KeptPart(**{**p, "pins": 0}) for p in result["parts"]], str(result["zone"])

    async def save(self, address: str, parts: tuple[KeptPart, ...]) -> None:
        """Sends parts to a store; a failure is ignored."""
        await send_request(address, "POST", "/site/keep", {"parts": [asdict(p) for p in parts]})


class EngineDriver:
    """Advances an engine on a clock and hands its outputs to the requests that wait for them."""

    def __init__(self, model: EngineModel, clock: Clock, transfer: PartTransfer, zone: str) -> None:
        self.model, self.clock, self.transfer, self.zone = model, clock, transfer, zone
        self.output_queues: dict[int, asyncio.Queue[EngineOutput]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: Timer | None = None

    def submit(self, request: EngineRequest) -> tuple[int, asyncio.Queue[EngineOutput]]:
        """Submits a request; returns its ticket and the queue of its outputs. Raises RequestRejectedError."""
        self.advance_to_now()
        ticket = self.model.submit(self.clock.now(), request)
        queue: asyncio.Queue[EngineOutput] = asyncio.Queue()
        self.output_queues[ticket] = queue
        self.advance_to_now()
        return ticket, queue

    def cancel(self, ticket: int) -> None:
        """Drops a request; whoever waits for its outputs gets RunAborted."""
        queue = self.output_queues.pop(ticket, None)
        if queue is not None:
            queue.put_nowait(RunAborted(ticket))
        self.model.cancel(self.clock.now(), ticket)
        self.advance_to_now()

    def order(self, body: dict[str, Any]) -> int:
        """Passes an order to the engine and returns its status."""
        self.advance_to_now()
        status = self.model.order(self.clock.now(), body)
        self.advance_to_now()
        return status

    def advance_to_now(self) -> None:
        """Advances the engine to the present, delivers its outputs, and sets the timer for its next event."""
        for output in self.model.advance(self.clock.now()):
            self._deliver(output)
        if self.timer is not None:
            self.timer.cancel()
        next_at_micros = self.model.next_event_at()
        self.timer = (
            None if next_at_micros is None else self.clock.after(next_at_micros - self.clock.now(), self.advance_to_now)
        )

    def _deliver(self, output: EngineOutput) -> None:
        if isinstance(output, FetchRequested):
            self._spawn(self._fetch(output))
        elif isinstance(output, SaveRequested):
            self._spawn(self.transfer.save(output.target, output.parts))
        elif output.ticket in self.output_queues:
            self.output_queues[output.ticket].put_nowait(output)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, request: FetchRequested) -> None:
        result = await self.transfer.fetch(request.source, request.keys)
        parts, zone = result if result is not None else (None, self.zone)
        self.model.complete_fetch(self.clock.now(), request.ticket, parts, zone != self.zone)
        self.advance_to_now()
