"""HollowWorkers (§9.1): workers without an engine, many in one process, each at an address of its own.

They answer claims, loads and polls for kept parts as the stand-ins do, and stream a line each 5 ms.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import asdict, dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import MILLI, SECOND, BootClock, Clock, sleep_for
from pearhead.runtime.daemon import configure_logging, serve_until_stopped
from pearhead.runtime.socketnet import split_address

LINE_MICROS = 5 * MILLI


@dataclass(frozen=True)
class HollowWorkersOrder:
    """What one process of hollow workers is told. It ends by itself after `limit_seconds`."""

    addresses: list[str]
    events_a_second: float
    lines_a_job: int
    seed: int
    limit_seconds: int


class HollowWorker:
    """Reports a steady stream of kept blocks: each poll tells those since the one before."""

    def __init__(self, clock: Clock, chance: random.Random, order: HollowWorkersOrder) -> None:
        self.clock = clock
        self.order = order
        self.life = chance.randbytes(8).hex()
        self.prefix = chance.randbytes(12).hex()
        self.fence = 0
        self.loaded_at = 0

    def sequence(self) -> int:
        if not self.loaded_at:
            return 1
        return 1 + int((self.clock.now() - self.loaded_at) * self.order.events_a_second / SECOND)

    def load(self) -> dict[str, Any]:
        self.loaded_at = self.loaded_at or self.clock.now()
        return {"life": self.life, "sequence": self.sequence()}

    def events(self, life: str, after: int) -> dict[str, Any]:
        """Keys of 16 bytes in hexadecimal, as `chain_keys` gives them (§6.6)."""
        sequence = self.sequence()
        first = max(after, 0) + 1 if life == self.life else sequence
        return {
            "life": self.life,
            "sequence": sequence,
            "whole": life != self.life,
            "dropped": [],
            "changed": [],
            "kept": [f"{self.prefix}{number:08x}" for number in range(first, sequence + 1)],
            "running": 0,
            "waiting_tokens": 0,
        }


class WorkerHandler(RequestHandler):
    def initialize(self, worker: HollowWorker) -> None:
        self.worker = worker

    def get(self) -> None:
        self.finish(self.worker.events(self.get_argument("life", ""), int(self.get_argument("after", "0"))))


class ClaimHandler(WorkerHandler):
    def post(self) -> None:
        self.worker.fence = max(self.worker.fence, int(json.loads(self.request.body)["fence"]))
        self.finish({"life": self.worker.life, "fence": self.worker.fence})


class LoadHandler(WorkerHandler):
    def post(self) -> None:
        self.finish(self.worker.load())


class CompletionsHandler(WorkerHandler):
    async def post(self) -> None:
        identity = f"cmpl-{self.request.headers['X-Request-Id']}"
        lines = self.worker.order.lines_a_job
        self.set_header("Content-Type", "text/event-stream")
        try:
            for number in range(lines):
                self.write("data: " + json.dumps({"id": identity, "choices": [{"text": f"w{number}"}]}) + "\n\n")
                # Each token leaves alone, as an engine's step gives it.
                await self.flush()
                await sleep_for(self.worker.clock, LINE_MICROS)
            self.write("data: " + json.dumps({"id": identity, "choices": [], "usage": {"completion_tokens": lines}}))
            self.finish("\n\ndata: [DONE]\n\n")
        except StreamClosedError:
            return


def build_worker(worker: HollowWorker) -> Application:
    parts = {"worker": worker}
    return Application(
        [
            ("/v1/kv_events", WorkerHandler, parts),
            ("/v1/claim", ClaimHandler, parts),
            ("/v1/load", LoadHandler, parts),
            ("/v1/completions", CompletionsHandler, parts),
        ],
        log_function=lambda handler: None,
    )


async def serve(order: HollowWorkersOrder) -> int:
    """Serves until SIGTERM or the limit of the order."""
    chance, clock = random.Random(order.seed), BootClock()
    for address in order.addresses:
        host, port = split_address(address)
        HTTPServer(build_worker(HollowWorker(clock, chance, order))).listen(port, host)
    ended = asyncio.Event()
    asyncio.get_running_loop().call_later(order.limit_seconds, ended.set)

    async def drain() -> None:
        return None

    return await serve_until_stopped(drain, ended)


def order_text(order: HollowWorkersOrder) -> str:
    return json.dumps(asdict(order))


def main() -> None:
    configure_logging("WARNING")
    raise SystemExit(asyncio.run(serve(HollowWorkersOrder(**json.loads(sys.argv[1])))))


if __name__ == "__main__":
    main()
