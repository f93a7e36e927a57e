"""ViewReplica over slow links: a large change of the view arrives in time and is sent once (§5.2, §5.3).

Guards against uncompressed deltas on a busy link: the transfer takes longer than the request's timeout, so the node
requests the same delta again and again, and the change takes effect late.
"""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections.abc import Callable
from typing import Any, cast

from result import Err, Ok, Result

from pearhead.config.view import View, hash_sections
from pearhead.discovery.directory import Directory
from pearhead.router.view_replica import NO_DELTA, ViewReplica
from pearhead.rpc.delta_compression import DeltaCompressor
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Member, Members, Record, Section, TermAsk, TermResult, ViewDelta
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND, Timer, sleep_for
from pearhead.testbed.simulator.virtual_loop import VirtualLoop

CORES = ("c1:1", "c2:1", "c3:1")
LINK_BYTES_PER_SECOND = 100_000  # The rest of a 5 Mbit/s link that is busy with client traffic.


class LoopClock:
    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return self.loop.now()

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        return self.loop.call_later(max(delay_micros, 0) / SECOND, callback)


class UncompressedDeltas(DeltaCompressor):
    """Sends the delta uncompressed, as earlier versions did."""

    def put(self, result: TermResult, delta: ViewDelta | None) -> None:
        if delta is not None:
            result.delta.CopyFrom(delta)


class SlowLink:
    """Sends the cores' answers one after another over the node's slow link; a silent core never answers a fetch."""

    def __init__(self, clock: LoopClock, compressor: DeltaCompressor, silent: frozenset[str]) -> None:
        self.clock = clock
        self.compressor = compressor
        self.silent = silent
        self.free_micros = 0
        self.sent = 0
        routes = [
            {
                "name": f"r{n}",
                "host": f"h{n % 9}",
                "prefix": f"/{n * 7919}/",
                "splits": [{"service": "s"}],
                "deadline_micros": 3_000_000,
                "aim_micros": 300_000,
                "stream": True,
            }
            for n in range(1_400)
        ]
        self.sections = {**View().sections, "routes-00": (9, json.dumps(routes).encode())}

    def on_request(self, body_name: str, handler: object) -> None:
        return None

    async def call(self, address: str, body_name: str, ask: TermAsk, limit_micros: int) -> Result[Any, str]:
        is_fetch = ask.have_index != NO_DELTA
        if is_fetch and address in self.silent:
            await sleep_for(self.clock, limit_micros)
            return Err("silent")
        result = TermResult(
            member=True,
            last_visible_index=9,
            members_index=1,
            members=Members(member=[Member(identity=core, address=core, voter=True) for core in CORES]),
        )
        if is_fetch:
            delta = ViewDelta(index=9, hash=hash_sections(self.sections))
            delta.section.extend(Section(name=n, index=i, body=b) for n, (i, b) in self.sections.items() if i)
            self.compressor.put(result, delta)
        size = result.ByteSize()
        self.sent += size
        self.free_micros = max(self.free_micros, self.clock.now()) + size * SECOND // LINK_BYTES_PER_SECOND
        wait_micros = self.free_micros - self.clock.now()
        await sleep_for(self.clock, min(wait_micros, limit_micros))
        return Ok(result) if wait_micros <= limit_micros else Err("late")


class ThreeCores:
    def members(self, role: str | None = None) -> list[Record]:
        return (
            [Record(identity=core, address=core, role="control_plane") for core in CORES]
            if role == "control_plane"
            else []
        )


class TermLinksTest(unittest.TestCase):
    def run_update(self, compressor: DeltaCompressor, silent: frozenset[str] = frozenset()) -> tuple[int, SlowLink]:
        """Returns the time in microseconds at which the node had the change, at most 12 s, and the link."""
        loop = VirtualLoop()
        clock = LoopClock(loop)
        link = SlowLink(clock, compressor, silent)

        async def run() -> int:
            task_group = BackgroundTaskGroup("test")
            view_replica = ViewReplica(
                cast(RpcEndpoint, link), cast(Directory, ThreeCores()), clock, random.Random(3), task_group, 2 * SECOND
            )
            task_group.start(view_replica.run())
            while view_replica.view.index != 9 and clock.now() < 12 * SECOND:
                await sleep_for(clock, 10_000)
            applied_micros = clock.now()
            task_group.stop()
            await asyncio.gather(*task_group.owned_tasks, return_exceptions=True)
            return applied_micros

        try:
            return loop.run_until_complete(run()), link
        finally:
            loop.close()

    def test_a_large_change_is_in_force_in_time_over_a_busy_link(self) -> None:
        applied_micros, link = self.run_update(DeltaCompressor())
        self.assertLess(applied_micros, 1_500_000)
        self.assertLess(link.sent, 100_000)

    def test_as_it_was_it_came_late_and_again_and_again(self) -> None:
        applied_micros, link = self.run_update(UncompressedDeltas())
        self.assertGreater(applied_micros, 2_500_000)
        self.assertGreater(link.sent, 200_000)

    def test_another_core_is_asked_when_one_is_silent(self) -> None:
        for silent in CORES:
            applied_micros, _ = self.run_update(DeltaCompressor(), frozenset({silent}))
            self.assertLess(applied_micros, 1_800_000)


if __name__ == "__main__":
    unittest.main()
