"""Hollow workers (§9.1): workers without an engine, many in one process, each at an address of its own.

They answer claims, loads and polls for cached blocks as the testbed's stand-in workers do, and stream a line every
5 ms.
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

LINE_INTERVAL_MICROS = 5 * MILLI


@dataclass(frozen=True)
class HollowWorkersConfig:
    """The settings of one process of hollow workers, passed as JSON on its command line.

    The process stops itself after `limit_seconds`.
    """

    addresses: list[str]
    events_a_second: float
    lines_a_job: int
    seed: int
    limit_seconds: int


class HollowWorker:
    """Reports a steady stream of new cached blocks: each poll returns those since the one before."""

    def __init__(self, clock: Clock, rng: random.Random, config: HollowWorkersConfig) -> None:
        self.clock = clock
        self.config = config
        self.life = rng.randbytes(8).hex()
        self.prefix = rng.randbytes(12).hex()
        self.fence = 0
        self.loaded_at = 0

    def sequence(self) -> int:
        """The number of the newest cached block; 1 until the weights are loaded."""
        if not self.loaded_at:
            return 1
        return 1 + int((self.clock.now() - self.loaded_at) * self.config.events_a_second / SECOND)

    def load(self) -> dict[str, Any]:
        """Loads the weights at once; the stream of cached blocks begins with the first load."""
        self.loaded_at = self.loaded_at or self.clock.now()
        return {"life": self.life, "sequence": self.sequence()}

    def events(self, life: str, after: int) -> dict[str, Any]:
        """The cached blocks after a sequence number; only the newest one if `life` is not this worker's.

        Keys are 16 bytes in hexadecimal, as those of `chain_keys` (§6.6).
        """
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
    """Serves polls for cached blocks."""

    def initialize(self, worker: HollowWorker) -> None:
        """Takes over the worker that answers."""
        self.worker = worker

    def get(self) -> None:
        """Answers a poll with the arguments `life` and `after`."""
        self.finish(self.worker.events(self.get_argument("life", ""), int(self.get_argument("after", "0"))))


class ClaimHandler(WorkerHandler):
    """Serves claims of a lease holder."""

    def post(self) -> None:
        """Accepts any claim, and answers with the highest fence seen."""
        self.worker.fence = max(self.worker.fence, int(json.loads(self.request.body)["fence"]))
        self.finish({"life": self.worker.life, "fence": self.worker.fence})


class LoadHandler(WorkerHandler):
    """Serves orders to load weights."""

    def post(self) -> None:
        """Accepts any load, and answers as loaded at once."""
        self.finish(self.worker.load())


class CompletionsHandler(WorkerHandler):
    """Serves completions as a stream of server-sent events."""

    async def post(self) -> None:
        """Streams one token per line and the token usage; stops if the client disconnects."""
        identity = f"cmpl-{self.request.headers['X-Request-Id']}"
        line_count = self.worker.config.lines_a_job
        self.set_header("Content-Type", "text/event-stream")
        try:
            for number in range(line_count):
                self.write("data: " + json.dumps({"id": identity, "choices": [{"text": f"w{number}"}]}) + "\n\n")
                # One write per token, as an engine emits one token per step.
                await self.flush()
                await sleep_for(self.worker.clock, LINE_INTERVAL_MICROS)
            self.write(
                "data: " + json.dumps({"id": identity, "choices": [], "usage": {"completion_tokens": line_count}})
            )
            self.finish("\n\ndata: [DONE]\n\n")
        except StreamClosedError:
            return


def build_application(worker: HollowWorker) -> Application:
    """The HTTP application of one worker."""
    handler_arguments = {"worker": worker}
    return Application(
        [
            ("/v1/kv_events", WorkerHandler, handler_arguments),
            ("/v1/claim", ClaimHandler, handler_arguments),
            ("/v1/load", LoadHandler, handler_arguments),
            ("/v1/completions", CompletionsHandler, handler_arguments),
        ],
        log_function=lambda handler: None,
    )


async def serve(config: HollowWorkersConfig) -> int:
    """Serves until SIGTERM or the limit of the settings; returns the exit code."""
    rng, clock = random.Random(config.seed), BootClock()
    for address in config.addresses:
        host, port = split_address(address)
        HTTPServer(build_application(HollowWorker(clock, rng, config))).listen(port, host)
    limit_reached = asyncio.Event()
    asyncio.get_running_loop().call_later(config.limit_seconds, limit_reached.set)

    async def drain() -> None:
        return None

    return await serve_until_stopped(drain, limit_reached)


def config_text(config: HollowWorkersConfig) -> str:
    """The settings as the JSON text that `main` reads."""
    return json.dumps(asdict(config))


def main() -> None:
    """Runs hollow workers with the settings of the first command line argument."""
    configure_logging("WARNING")
    raise SystemExit(asyncio.run(serve(HollowWorkersConfig(**json.loads(sys.argv[1])))))


if __name__ == "__main__":
    main()
