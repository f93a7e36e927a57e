"""WALL: front nodes that the core can't tell of a wall go on without it, for as long as the core is down."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed2 import (  # noqa: E402
    BOUNDS,
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

CLIENTS = 8
PIECES = 3
SUBJECTS = 3
WARM_SECONDS = 4.0
DOWN_SECONDS = 10.0
# A front node that reaches the core no more may lag behind an acknowledgement by ApplyMs and StretchMs.
EXCUSED_SECONDS = (BOUNDS["ApplyMs"] + BOUNDS["StretchMs"]) / 1000


class ModelWorker:
    """A sound worker: keeps the parts of a prompt under the salt, for the tenant whose request made them."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.name = site, f"i-{number}"
        self.address = f"{site.block}.{21 + number}:{WORKER}"
        self.parts: dict[tuple[str, str], str] = {}
        self.uses: list[tuple[float, str, str]] = []
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
        self.site.record.line(
            f"{self.name} runs {request} X-Tenant={tenant} salt={salt} uses={','.join(makers) or '-'}"
        )
        self.uses.extend((time.monotonic(), tenant, maker) for maker in set(makers) if maker != tenant)
        await asyncio.sleep(0.01)
        pieces = b"".join(f"id: {n}\ndata: {request}/{n}\n\n".encode() for n in range(1, PIECES + 1))
        head = {"X-Answer-Seal": f"s.{request}.{PIECES}.200", "X-Weight-Versions": "1", "Keep-Alive": "timeout=20"}
        call.answer(200, echo | head | {"Content-Type": "text/event-stream"}, pieces)


def tenants(is_isolated: bool) -> list[dict[str, Any]]:
    """Two tenants, the second of which is isolated or not."""
    return [
        {"Name": "tenant-a", "Keys": ["k-a"], "Urgency": 1, "Isolated": False},
        {"Name": "tenant-b", "Keys": ["k-b"], "Urgency": 1, "Isolated": is_isolated},
    ]


async def send_requests(site: Site, number: int, statuses: dict[str, int]) -> None:
    """One client of one tenant, with a kept connection to its front node, until it is cancelled."""
    rng = random.Random(number)
    front = site.fronts[number % len(site.fronts)]
    reader = writer = None
    while True:
        request = rng.randbytes(8).hex()
        key = ("k-a", "k-b")[number // 2 % 2]
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
        await asyncio.sleep(rng.uniform(0.05, 0.2))


async def case(record: Record, has_trouble: bool) -> int:
    """Has a tenant become isolated and the core go down; returns 1 if the tenant still uses the other's memory."""
    site = Site(record, fronts=2)
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
        statuses: dict[str, int] = {}
        clients = [asyncio.ensure_future(send_requests(site, number, statuses)) for number in range(CLIENTS)]
        await asyncio.sleep(WARM_SECONDS)
        change = {"Revision": 2, "Upsert": {"Tenants": tenants(True)[1:]}}
        if await site.configure("PATCH", change, 1) != 200:
            return 2
        acknowledged = time.monotonic()
        if has_trouble:
            for core in site.cores:
                core.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS)
        if has_trouble:
            for core in site.cores:
                core.start()
        back = time.monotonic()
        for client in clients:
            client.cancel()
        late = [
            (at - acknowledged, tenant, maker)
            for worker in workers
            for at, tenant, maker in worker.uses
            if acknowledged + EXCUSED_SECONDS < at < back
        ]
        for seconds, tenant, maker in late:
            record.line(
                f"BROKEN {seconds:.2f} s after the acknowledgement a request of {tenant} used memory of {maker}"
            )
        record.result = (
            f"{len(late)} requests used memory across the wall later than {EXCUSED_SECONDS:.0f} s after its "
            f"acknowledgement; answers {statuses}"
        )
        return 1 if late else 0
    finally:
        site.close()


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent))
