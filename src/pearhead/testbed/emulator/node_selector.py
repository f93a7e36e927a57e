"""Choice of the front node for a client's new connection (§9.13): by a hash, among the nodes that are ready."""

from __future__ import annotations

import asyncio
import hashlib

from pearhead.runtime.clock import SECOND, Clock, sleep_for
from pearhead.testbed.emulator.plan import FRONT_PORT, READINESS_PORT, Machine
from pearhead.testbed.emulator.raw_http import send_request

MISS_LIMIT = 2


class NodeSelector:
    """Front nodes and their readiness, polled every second.

    A node that misses MISS_LIMIT polls in a row is left out. If fewer than half would be left, all nodes are used.
    """

    def __init__(self, fronts: list[Machine]) -> None:
        self.fronts = fronts
        self.missed_polls = dict.fromkeys((m.name for m in fronts), 0)

    def record_poll(self, name: str, is_ready: bool) -> None:
        """Records the result of one readiness poll."""
        self.missed_polls[name] = 0 if is_ready else self.missed_polls[name] + 1

    def in_use(self) -> list[Machine]:
        """The nodes that new connections may go to."""
        nodes = [m for m in self.fronts if self.missed_polls[m.name] < MISS_LIMIT]
        return nodes if 2 * len(nodes) >= len(self.fronts) else self.fronts

    def pick(self, client: str, attempt: int, tried: list[str]) -> Machine:
        """Returns the node for a client's attempt; a retry goes to a node not yet tried, while there is one."""
        nodes = self.in_use()
        nodes = [m for m in nodes if m.name not in tried] or nodes
        return max(nodes, key=lambda m: hashlib.sha256(f"{client} {attempt} {m.name}".encode()).digest())

    def address(self, node: Machine) -> str:
        """Where a client connects to reach a node."""
        return f"{node.ip}:{FRONT_PORT}"

    async def poll(self) -> None:
        """Polls the readiness of all nodes once."""

        async def poll_node(node: Machine) -> None:
            answer = await send_request(f"{node.ip}:{READINESS_PORT}", "GET", "/v1/readiness")
            self.record_poll(node.name, answer is not None and answer.head.status == 200)

        await asyncio.gather(*(poll_node(m) for m in self.fronts))

    async def run(self, clock: Clock) -> None:
        """Polls every second until it is cancelled."""
        while True:
            await self.poll()
            await sleep_for(clock, SECOND)
