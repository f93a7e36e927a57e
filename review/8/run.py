"""LOST: requests that allow any number of tokens out are passed on to a worker, and their connections closed."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed2 import (  # noqa: E402
    FRONT,
    LIMITS,
    WORKER,
    ZONES,
    Call,
    Record,
    Site,
    model_service,
    read_body,
    read_head,
    run_case,
    stream_route,
)

TRAFFIC_SECONDS = 40.0
CLIENTS = 8
SHARED_TOKENS, OWN_TOKENS, TOKENS_OUT = 13_300, 3_720, 119
# The largest number of 64 bits: "as many as the model likes".
ANY_NUMBER = 2**64 - 1
CACHE_TOKENS = 149_454
PROMPT_TOKENS_PER_MS = 61.2
PIECES = 4
# More than so many requests of kept connections break the rule.
ALLOWED = 3


class ModelWorker:
    """A sound worker: reads a prompt, then streams; turns away a request larger than its memory, as if it were full."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.name = site, f"i-{number}"
        self.address = f"{site.block}.{21 + number}:{WORKER}"
        self.models = [{"Name": "m0", "Revision": 1, "Adapters": []}]
        self.entry: dict[str, Any] = {
            "Id": self.name,
            "Service": "models",
            "Address": self.address,
            "Zone": ZONES[number % len(ZONES)],
            "Revision": "v1",
            "Capacity": 24,
            "State": "ready",
            "ColdLeftMs": 0,
            "Phase": "both",
            "Models": self.models,
        }
        self.arrived: dict[str, str] = {}

    async def handle(self, call: Call) -> None:
        """Answers one call."""
        path = call.path.partition("?")[0]
        if path == "/v1/kv-events":
            await asyncio.sleep(min(int(call.headers.get("wait-ms", "0")), 1000) / 1000)
            call.answer_json(200, {"Incarnation": 1, "NextPage": 0, "Dropped": False, "Events": []})
        elif path == "/v1/kv-list":
            call.answer_json(200, {"Incarnation": 1, "NextPage": 0, "Held": []})
        elif path == "/v1/report":
            loads = {"Queued": 0, "Active": 0, "CacheUsed": 0, "CacheTotal": CACHE_TOKENS, "Handles": 0}
            call.answer_json(200, {"Phase": "both", "Models": self.models, "Saturated": False, "CallSeq": 0} | loads)
        elif path in ("/health", "/v1/order"):
            call.answer_json(200, {}, {"X-Instance": self.name})
        else:
            await self._run(call)

    async def _run(self, call: Call) -> None:
        request = call.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request, "X-Instance": self.name}
        if call.headers.get("x-expect-instance", self.name) != self.name:
            call.answer(421, echo | {"X-Not-Run": "1"})
            return
        prompt, out = (int(text) for text in call.headers["x-token-count"].split(","))
        if prompt + out > CACHE_TOKENS:
            self._note(request, "turns it away with 503, as larger than its memory")
            call.answer(503, echo | {"X-Not-Run": "1"})
            return
        self._note(request, "runs it")
        await asyncio.sleep(prompt / PROMPT_TOKENS_PER_MS / 1000)
        pieces = b"".join(f"id: {n}\ndata: {request}/{n}\n\n".encode() for n in range(1, PIECES + 1))
        head = {"X-Answer-Seal": f"s.{request}.{PIECES}.200", "X-Weight-Versions": "1", "Keep-Alive": "timeout=20"}
        call.answer(200, echo | head | {"Content-Type": "text/event-stream"}, pieces)

    def _note(self, request: str, what: str) -> None:
        self.arrived[request] = what
        self.site.record.line(f"{self.name} gets {request} and {what}")


class Client:
    """A client with a kept connection, which sends one request at a time."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.name = site, f"client-{number}"
        self.rng = random.Random(number)
        self.front = site.fronts[number % len(site.fronts)]
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.closed: list[str] = []
        self.statuses: dict[str, int] = {}

    async def send(self, tokens_out: int) -> None:
        """Sends a long request with a subject of its own and notes how it ended."""
        request = self.rng.randbytes(8).hex()
        prompt = SHARED_TOKENS + OWN_TOKENS
        head = (
            f"POST /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request}\r\nX-Model: m0\r\n"
            f"X-Token-Count: {prompt},{tokens_out}\r\n"
            f"X-Prompt-Prefix: {request[:8]}:{SHARED_TOKENS},{request[8:]}:{OWN_TOKENS}\r\n"
            f"X-Deadline: 6000\r\nAuthorization: Token k-a\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        is_kept, has_head = self.writer is not None, False
        try:
            if self.writer is None or self.reader is None:
                self.reader, self.writer = await asyncio.open_connection(self.front.ip, FRONT)
            self.writer.write(head.encode())
            async with asyncio.timeout(7):
                first, headers = await read_head(self.reader)
                has_head = True
                await read_body(self.reader, headers)
            outcome = first.split(" ")[1]
            is_over = headers.get("connection", "").lower() == "close"
        except (OSError, asyncio.IncompleteReadError):
            outcome, is_over = "the end of the connection" + (" in the answer" if has_head else " and no answer"), True
            if is_kept and not has_head:
                self.closed.append(request)
        except TimeoutError:
            outcome, is_over = "nothing in time", True
        self.statuses[outcome] = self.statuses.get(outcome, 0) + 1
        self.site.record.line(
            f"{self.name} sent {request} X-Token-Count={prompt},{tokens_out} on a {'kept' if is_kept else 'new'} "
            f"connection to {self.front.name} and got {outcome}"
        )
        if is_over and self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def run(self, end: float, extra_tokens_out: int) -> None:
        """Sends requests until the end, each second one with `extra_tokens_out` unless that is 0."""
        while time.monotonic() < end:
            await self.send(TOKENS_OUT)
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            if extra_tokens_out:
                await self.send(extra_tokens_out)
                await asyncio.sleep(self.rng.uniform(0.1, 0.6))


async def case(record: Record, has_trouble: bool) -> int:
    """Serves long requests, those of one client without a bound on the tokens out; returns 1 if LOST is broken."""
    site = Site(record, fronts=2)
    try:
        workers = [ModelWorker(site, number) for number in range(3)]
        site.listed = [worker.entry for worker in workers]
        await site.serve_list()
        for worker in workers:
            await site.serve(worker.address, worker.handle)
        for node in (*site.cores, *site.fronts):
            node.start(is_first=True)
        config = {
            "Revision": 1,
            "RouteTable": [
                stream_route("r1", "h.example", "/p/", "models", DeadlineMs=6000, SetpointMs=600, Resume=False, Tries=1)
            ],
            "Services": [model_service("models", "m0")],
            "Limits": LIMITS,
            "Tenants": [{"Name": "tenant-a", "Keys": ["k-a"], "Urgency": 1, "Isolated": True}],
        }
        if await site.configure("PUT", config, 0) != 200:
            return 2
        await site.wait_ready()
        await asyncio.sleep(3)
        end = time.monotonic() + TRAFFIC_SECONDS
        clients = [Client(site, number) for number in range(CLIENTS)]
        bound = ANY_NUMBER if has_trouble else TOKENS_OUT
        await asyncio.gather(*(client.run(end, bound if client is clients[0] else 0) for client in clients))
        arrived = set().union(*(worker.arrived for worker in workers))
        lost = [[request for request in client.closed if request in arrived] for client in clients]
        for client, requests in zip(clients, lost, strict=True):
            for request in requests:
                record.line(f"BROKEN {request} of {client.name} reached a worker; its connection ended without answer")
        record.result = (
            f"passed on to a worker and closed without an answer: {len(lost[0])} requests of the client without a "
            f"bound, {sum(len(requests) for requests in lost[1:])} of the others; answers to the first "
            f"{clients[0].statuses}, to the second {clients[1].statuses}"
        )
        return 1 if sum(len(requests) for requests in lost) > ALLOWED else 0
    finally:
        site.close()


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent))
