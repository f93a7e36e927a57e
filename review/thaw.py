"""The order of events that cases 2 and 3 share: the configuration changes while one front node is frozen.

A client then sends a request on the connection that it holds to that node, and the node wakes.
"""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass
from typing import Any

from harness import Ask, CaseError, Client, Record, ReviewSite, has_trouble

# Of the site's page: ApplyMs, and the longest freeze that `node_freeze` names there.
APPLY_SECONDS = 2.0
FREEZE_SECONDS = 3.5
# Clients give up a repeatable request that no node has read after a second: the node wakes sooner than that.
SENT_AFTER_ACK_SECONDS = 2.5
MARGIN_SECONDS = 0.3
FRONT_PORT = 8167
REQUEST_ID = "cccccccc00000003"


@dataclass(frozen=True)
class Thawed:
    """What came of the request: its id, and how long after the acknowledgement it was sent."""

    request_id: str
    sent_after_ack_seconds: float


async def play_thaw(site: ReviewSite, record: Record, key: str, other_key: str, upserted: dict[str, Any]) -> Thawed:
    """Sends a request with `key` to a node that was frozen while `upsert` was acknowledged, after `ApplyMs`.

    Before, the tenant of `other_key` and that of `key` are served once each, on prompts that begin with the same part.
    """
    plan, config = site.site, site.plan["config"]
    route = next(r for r in config["RouteTable"] if not r["Resume"])
    fronts = plan.machines_of("router")
    front = fronts[1]

    def ask_of(some_key: str) -> Ask:
        return Ask(route, plan.model, some_key, "ab12cd34", 13_300, 300, 20)

    async def call(address: str, some_key: str, request_id: str) -> Client:
        client = Client(address)
        await client.open()
        result = await client.call(ask_of(some_key), request_id)
        record.note(f"{request_id} to {address}: {result.status}, {result.events} events, whole={result.is_whole}")
        if result.status != 200 or not result.is_whole:
            raise CaseError(f"{request_id} was not served")
        return client

    (await call(f"{fronts[0].ip}:{FRONT_PORT}", other_key, "aaaaaaaa00000001")).close()
    client = await call(f"{front.ip}:{FRONT_PORT}", key, "bbbbbbbb00000002")
    await asyncio.sleep(2.0)
    frozen_at = time.monotonic()
    if has_trouble():
        record.note(f"freezes {front.name}")
        site.send_signal(front.name, signal.SIGSTOP)
    patch = {"Revision": config["Revision"] + 1, "Upsert": upserted}
    status = await asyncio.to_thread(site.patch, patch)
    acked_at = time.monotonic()
    record.note(f"PATCH, number {patch['Revision']}: {status}")
    if status != 200:
        raise CaseError(f"the change was not acknowledged: {status}")
    await asyncio.sleep(max(0.0, acked_at + SENT_AFTER_ACK_SECONDS - time.monotonic()))
    sent_after_ack = time.monotonic() - acked_at
    record.note(f"{REQUEST_ID} is sent on the kept connection to {front.name}, {sent_after_ack:.2f} s after the 200")
    waiting = asyncio.ensure_future(client.call(ask_of(key), REQUEST_ID))
    if has_trouble():
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - MARGIN_SECONDS - time.monotonic()))
        site.send_signal(front.name, signal.SIGCONT)
        frozen_seconds = time.monotonic() - frozen_at
        record.note(f"wakes {front.name} after {frozen_seconds:.2f} s")
        if frozen_seconds > FREEZE_SECONDS:
            raise CaseError("it was frozen for longer than the page says")
    result = await waiting
    record.note(f"{REQUEST_ID}: {result.status}, {result.events} events, whole={result.is_whole}")
    client.close()
    if sent_after_ack <= APPLY_SECONDS:
        raise CaseError("the request was sent too early")
    # The workers' last records.
    await asyncio.sleep(0.3)
    return Thawed(REQUEST_ID, sent_after_ack)
