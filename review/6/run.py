"""WALL: a key moves from one isolated tenant to another while requests with it are on their way."""

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

TRAFFIC_SECONDS = 95.0
MOVE_SECONDS = 0.5
CLIENTS = 36
PIECES = 3
SUBJECTS = 3


class ModelWorker:
    """A sound worker: keeps the parts of a prompt under the salt, for the tenant whose request made them.

    Its answers say that idle connections are closed after a second.
    """

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.name = site, f"i-{number}"
        self.address = f"{site.block}.{21 + number}:{WORKER}"
        self.parts: dict[tuple[str, str], str] = {}
        self.foreign: list[str] = []
        self.runs = 0
        self.entry = {
            "Id": self.name,
            "Service": "models",
            "Address": self.address,
            "Zone": ZONES[number % len(ZONES)],
            "Revision": "v1",
            "Capacity": 24,
            "State": "ready",
            "ColdLeftMs": 0,
            "Phase": "both",
            "Models": self._models(),
        }

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": "m0", "Revision": 1, "Adapters": []}]

    async def handle(self, call: Call) -> None:
        """Answers one call."""
        path = call.path.partition("?")[0]
        if path == "/v1/kv-events":
            await asyncio.sleep(min(int(call.headers.get("wait-ms", "0")), 1000) / 1000)
            call.answer_json(200, {"Incarnation": 1, "NextPage": 0, "Dropped": False, "Events": []})
        elif path == "/v1/kv-list":
            call.answer_json(200, {"Incarnation": 1, "NextPage": 0, "Held": []})
        elif path == "/v1/report":
            loads = {"Queued": 0, "Active": 0, "CacheUsed": 0, "CacheTotal": 149454, "Handles": 0}
            state = {"Phase": "both", "Models": self._models(), "Saturated": False, "CallSeq": 0}
            call.answer_json(200, state | loads)
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
        salt, tenant = call.headers.get("x-cache-salt", ""), call.headers.get("x-tenant", "")
        parts = [item.partition(":")[0] for item in call.headers.get("x-prompt-prefix", "").split(",")]
        makers = []
        for part in parts:
            if (salt, part) not in self.parts:
                break
            makers.append(self.parts[salt, part])
        for part in parts:
            self.parts.setdefault((salt, part), tenant)
        self.runs += 1
        self.site.record.line(
            f"{self.name} runs {request} X-Tenant={tenant} salt={salt} uses={','.join(makers) or '-'}"
        )
        if any(maker != tenant for maker in makers):
            self.foreign.append(request)
            self.site.record.line(f"BROKEN {request} of {tenant} uses memory made by {makers} at {self.name}")
        await asyncio.sleep(0.01)
        pieces = b"".join(f"id: {n}\ndata: {request}/{n}\n\n".encode() for n in range(1, PIECES + 1))
        head = {"X-Answer-Seal": f"s.{request}.{PIECES}.200", "X-Weight-Versions": "1", "Keep-Alive": "timeout=1"}
        call.answer(200, echo | head | {"Content-Type": "text/event-stream"}, pieces)


def tenants(is_moved: bool) -> list[dict[str, Any]]:
    """Two isolated tenants; the key `k-moving` belongs to the second one if it is moved, else to the first."""
    keys = (["k-a"], ["k-b", "k-moving"]) if is_moved else (["k-a", "k-moving"], ["k-b"])
    return [
        {"Name": name, "Keys": held, "Urgency": 1, "Isolated": True}
        for name, held in zip(("tenant-a", "tenant-b"), keys, strict=True)
    ]


async def send_requests(site: Site, number: int, end: float, statuses: dict[str, int]) -> None:
    """One client, with a kept connection to its front node and one request at a time."""
    rng = random.Random(number)
    front = site.fronts[number % len(site.fronts)]
    reader = writer = None
    while time.monotonic() < end:
        request = rng.randbytes(8).hex()
        key = rng.choice(["k-moving", "k-moving", "k-a", "k-b"])
        head = (
            f"POST /p/{number} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request}\r\nX-Model: m0\r\n"
            f"X-Token-Count: 400,20\r\nX-Prompt-Prefix: a{rng.randrange(SUBJECTS)}:300,{request[:8]}:100\r\n"
            f"X-Deadline: 4000\r\nAuthorization: Token {key}\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(front.ip, FRONT)
            writer.write(head.encode())
            async with asyncio.timeout(5):
                first, headers = await read_head(reader)
                await read_body(reader, headers)
            outcome = first.split(" ")[1]
            is_closed = headers.get("connection", "").lower() == "close"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            outcome, is_closed = "cut", True
        site.record.line(f"client sent {request} Token={key} to {front.name}: {outcome}")
        statuses[outcome] = statuses.get(outcome, 0) + 1
        if is_closed and writer is not None:
            writer.close()
            writer = None
        await asyncio.sleep(rng.uniform(0, 0.16))
    if writer is not None:
        writer.close()


async def move_key(site: Site, end: float) -> int:
    """Moves the key to and fro, each time by one change of the two tenants; returns the number of moves."""
    moves = 0
    await asyncio.sleep(2)
    while time.monotonic() < end - 1:
        change = {"Revision": moves + 2, "Upsert": {"Tenants": tenants(moves % 2 == 0)}}
        if await site.configure("PATCH", change, moves + 1) != 200:
            break
        moves += 1
        await asyncio.sleep(MOVE_SECONDS)
    return moves


async def case(record: Record, has_trouble: bool) -> int:
    """Serves requests of both tenants while the key moves; returns 1 if a tenant's memory served the other."""
    site = Site(record)
    try:
        workers = [ModelWorker(site, number) for number in range(2)]
        site.listed = [worker.entry for worker in workers]
        await site.serve_list()
        for worker in workers:
            await site.serve(worker.address, worker.handle)
        for node in (*site.cores, *site.fronts):
            node.start(is_first=True)
        config = {
            "Revision": 1,
            "RouteTable": [stream_route("r1", "h.example", "/p/", "models")],
            "Services": [model_service("models", "m0")],
            "Limits": LIMITS,
            "Tenants": tenants(False),
        }
        if await site.configure("PUT", config, 0) != 200:
            return 2
        await site.wait_ready()
        end, statuses = time.monotonic() + TRAFFIC_SECONDS, {}
        clients = [asyncio.ensure_future(send_requests(site, n, end, statuses)) for n in range(CLIENTS)]
        moves = await move_key(site, end) if has_trouble else 0
        await asyncio.gather(*clients)
        foreign = sum(len(worker.foreign) for worker in workers)
        record.result = (
            f"{sum(worker.runs for worker in workers)} runs, answers {statuses}, {moves} moves of the key: "
            f"{foreign} requests used memory of the other isolated tenant"
        )
        return 1 if foreign else 0
    finally:
        site.close()


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent))
