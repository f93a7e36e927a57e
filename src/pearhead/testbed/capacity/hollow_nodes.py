"""HollowNodes (§9.12): nodes that greet and keep their term as real ones do, many in one process.

What is left out: the HTTP edge, purge, holds and nomination. What is real: the transport, the courier, the
view_replica of the term and the messages. The directory is one table for all hollow nodes of a process.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from pearhead.discovery.directory import GOSSIP_FANOUT, HELLO_INTERVAL_MICROS, Directory
from pearhead.router.view_replica import ViewReplica
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Envelope, Hello, HelloResult, Record
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, BootClock, Clock, sleep_for
from pearhead.runtime.daemon import configure_logging, serve_until_stopped
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.runtime.net import Net
from pearhead.runtime.socketnet import SocketNet, split_address

FRESH_MICROS = 200 * MILLI
LOOK_MICROS = 10 * MILLI


class SharedDirectory(Directory):
    """The table of all hollow nodes of a process, sorted five times a second and not for each reader."""

    def __init__(self, own_records: list[Record], seeds: list[str], clock: Clock, chance: random.Random) -> None:
        bench = FakeRuntime()
        super().__init__(own_records[0], seeds, RpcEndpoint("", "", bench, bench), clock, chance)
        self.own_records = own_records
        self.fresh_until = -1
        self.by_role: dict[str | None, list[Record]] = {}
        self.known_hash = ""

    def members(self, role: str | None = None) -> list[Record]:
        if self.clock.now() >= self.fresh_until:
            self.refresh()
        return self.by_role.get(role, [])

    def refresh(self) -> None:
        """All own records are alive: they share this process."""
        for record in self.own_records:
            self._merge_record(record, 0)
        found = super().members()
        self.by_role = {None: found}
        for record in found:
            self.by_role.setdefault(record.role, []).append(record)
        self.fresh_until = self.clock.now() + FRESH_MICROS
        self.known_hash = self._known_hash()

    def make_result(self, hello: Hello) -> HelloResult | None:
        """What a node answers to a hello (§3.2); None if nothing is asked."""
        self._merge_record(hello.self, 0)
        if not hello.wants_known:
            return None
        if hello.known_hash == self.known_hash:
            ages = [self.clock.now() - self.records[r.identity][1] for r in self.members()]
            return HelloResult(is_same=True, oldest_age_micros=max(ages, default=0))
        return HelloResult(known=[*self._records_with_age(), self.self_record])


class CountingCourier(RpcEndpoint):
    """Counts what comes in by its body, as the courier counts what goes out."""

    def __init__(self, identity: str, own_address: str, net: Net, clock: Clock) -> None:
        super().__init__(identity, own_address, net, clock)
        self.received_counts: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()

    def _receive(self, frame_bytes: bytes) -> None:
        name = Envelope.FromString(frame_bytes).WhichOneof("body") or "unknown"
        self.received_counts[name] += 1
        self.received_bytes[name] += len(frame_bytes)
        super()._receive(frame_bytes)


class HollowNode:
    """One node's hellos and term questions, over a socket of its own."""

    def __init__(self, record: Record, clock: Clock, chance: random.Random, task_group: BackgroundTaskGroup) -> None:
        self.record = record
        self.clock = clock
        self.chance = chance
        self.net = SocketNet(record.address)
        self.rpc_endpoint = CountingCourier(record.identity, record.address, self.net, clock)
        self.task_group = task_group
        self.directory: SharedDirectory
        self.view_replica: ViewReplica
        self.reached: list[tuple[int, int]] = []
        self.lost_count = 0
        self.is_lost = True

    async def run(self, directory: SharedDirectory, term_micros: int) -> None:
        """Starts within one round of the others, as processes on many machines do."""
        self.directory = directory
        self.view_replica = ViewReplica(
            self.rpc_endpoint, directory, self.clock, self.chance, self.task_group, term_micros
        )
        self.rpc_endpoint.on_message("hello", self._take_hello)
        self.rpc_endpoint.on_message("hello_result", directory._handle_hello_result)
        await self.net.open()
        await sleep_for(self.clock, self.chance.randrange(HELLO_INTERVAL_MICROS))
        self.task_group.start(self.view_replica.run())
        round_number = 0
        while True:
            self._greet(round_number)
            round_number += 1
            await sleep_for(self.clock, HELLO_INTERVAL_MICROS)

    def look(self) -> None:
        """Notes when a view came in force here, and when the term was lost."""
        index = self.view_replica.view.index
        if index and (not self.reached or self.reached[-1][1] != index):
            self.reached.append((self.clock.now(), index))
        was_lost, self.is_lost = self.is_lost, not self.view_replica.is_current()
        self.lost_count += self.is_lost and not was_lost

    def _greet(self, round_number: int) -> None:
        cores = [r.address for r in self.directory.members("control_plane")]
        others = [r.address for r in self.directory.members("router") if r.address != self.record.address]
        peers = self.chance.sample(others, min(GOSSIP_FANOUT, len(others)))
        targets = (cores or self.directory.seed_addresses) + peers
        for position, address in enumerate(targets):
            is_asked = position == round_number % len(targets)
            hello = Hello(known_hash=self.directory.known_hash if is_asked else "", wants_known=is_asked)
            hello.self.CopyFrom(self.record)
            self.rpc_endpoint.send_message(address, "hello", hello)

    def _take_hello(self, identity: str, address: str, hello: Hello) -> None:
        result = self.directory.make_result(hello)
        if result is not None:
            self.rpc_endpoint.send_message(address, "hello_result", result)


@dataclass(frozen=True)
class HollowNodesOrder:
    """What one process of hollow nodes is told. It ends by itself after `limit_seconds`."""

    addresses: list[str]
    areas: list[str]
    seeds: list[str]
    control_address: str
    seed: int
    limit_seconds: int
    term_micros: int = 2 * SECOND


class HollowNodes:
    """The hollow nodes of one process."""

    def __init__(self, order: HollowNodesOrder, clock: Clock) -> None:
        self.clock = clock
        self.order = order
        self.task_group = BackgroundTaskGroup("testbed")
        chance = random.Random(order.seed)
        records = [
            Record(
                identity=chance.randbytes(12).hex(),
                address=address,
                role="router",
                area=order.areas[number % len(order.areas)],
                httpAddress=address,
            )
            for number, address in enumerate(order.addresses)
        ]
        self.directory = SharedDirectory(records, order.seeds, clock, chance)
        self.nodes = [HollowNode(r, clock, random.Random(chance.random()), self.task_group) for r in records]

    async def run(self) -> None:
        for node in self.nodes:
            self.task_group.start(node.run(self.directory, self.order.term_micros))
        while True:
            await sleep_for(self.clock, LOOK_MICROS)
            for node in self.nodes:
                if hasattr(node, "view_replica"):
                    node.look()

    def state(self, index: int) -> dict[str, Any]:
        """Counts of messages and bytes; who holds the view of an index, and when the last came to it (µs)."""
        times = [next((at for at, held in n.reached if held >= index), None) for n in self.nodes]
        known = [at for at in times if at is not None]
        sent: Counter[str] = Counter()
        sent_bytes: Counter[str] = Counter()
        received: Counter[str] = Counter()
        received_bytes: Counter[str] = Counter()
        for node in self.nodes:
            sent.update(node.rpc_endpoint.sent_counts)
            sent_bytes.update(node.rpc_endpoint.sent_bytes)
            received.update(node.rpc_endpoint.received_counts)
            received_bytes.update(node.rpc_endpoint.received_bytes)
        return {
            "nodes": len(self.nodes),
            "known": len(self.directory.members()) + 1,
            "at_index": len(known),
            "last_micros": max(known, default=0),
            "lost": sum(n.is_lost for n in self.nodes),
            "lost_count": sum(n.lost_count for n in self.nodes),
            "faults": [repr(f) for f in self.task_group.faults[:3]],
            "sent": dict(sent),
            "sent_bytes": dict(sent_bytes),
            "received": dict(received),
            "received_bytes": dict(received_bytes),
        }


class StateHandler(RequestHandler):
    def initialize(self, hollow: HollowNodes) -> None:
        self.hollow = hollow

    def get(self) -> None:
        self.finish(self.hollow.state(int(self.get_argument("index", "1"))))


async def serve(order: HollowNodesOrder) -> int:
    """Serves until SIGTERM or the limit of the order."""
    hollow = HollowNodes(order, BootClock())
    application = Application([("/state", StateHandler, {"hollow": hollow})], log_function=lambda handler: None)
    host, port = split_address(order.control_address)
    HTTPServer(application).listen(port, host)
    ended = asyncio.Event()
    asyncio.get_running_loop().call_later(order.limit_seconds, ended.set)
    hollow.task_group.start(hollow.run())

    async def drain() -> None:
        hollow.task_group.stop()

    return await serve_until_stopped(drain, ended)


def order_text(order: HollowNodesOrder) -> str:
    return json.dumps(asdict(order))


def main() -> None:
    configure_logging("WARNING")
    raise SystemExit(asyncio.run(serve(HollowNodesOrder(**json.loads(sys.argv[1])))))


if __name__ == "__main__":
    main()
