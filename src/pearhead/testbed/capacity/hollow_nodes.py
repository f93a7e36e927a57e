"""Hollow nodes (§9.12): nodes that send hellos and renew their term as real ones do, many in one process.

The transport, the RPC endpoint, the view replica and the messages are the production ones. The HTTP front, purge,
worker leases and nomination are left out. All hollow nodes of a process share one directory.
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

REFRESH_INTERVAL_MICROS = 200 * MILLI
OBSERVE_INTERVAL_MICROS = 10 * MILLI


class SharedDirectory(Directory):
    """The directory of all hollow nodes of a process.

    It is sorted and hashed five times a second, not at each read, so that many nodes fit into one process.
    """

    def __init__(self, own_records: list[Record], seeds: list[str], clock: Clock, rng: random.Random) -> None:
        fake_runtime = FakeRuntime()
        super().__init__(own_records[0], seeds, RpcEndpoint("", "", fake_runtime, fake_runtime), clock, rng)
        self.own_records = own_records
        self.fresh_until = -1
        self.by_role: dict[str | None, list[Record]] = {}
        self.known_hash = ""

    def members(self, role: str | None = None) -> list[Record]:
        """Records of a role, or of all roles, at most `REFRESH_INTERVAL_MICROS` old."""
        if self.clock.now() >= self.fresh_until:
            self.refresh()
        return self.by_role.get(role, [])

    def refresh(self) -> None:
        """Sorts and hashes the records. The own records count as alive, as their nodes share this process."""
        for record in self.own_records:
            self._merge_record(record, 0)
        records = super().members()
        self.by_role = {None: records}
        for record in records:
            self.by_role.setdefault(record.role, []).append(record)
        self.fresh_until = self.clock.now() + REFRESH_INTERVAL_MICROS
        self.known_hash = self._known_hash()

    def make_result(self, hello: Hello) -> HelloResult | None:
        """The answer of a node to a hello (§3.2); None if the hello asks for none."""
        self._merge_record(hello.self, 0)
        if not hello.wants_known:
            return None
        if hello.known_hash == self.known_hash:
            ages = [self.clock.now() - self.records[r.identity][1] for r in self.members()]
            return HelloResult(is_same=True, oldest_age_micros=max(ages, default=0))
        return HelloResult(known=[*self._records_with_age(), self.self_record])


class CountingRpcEndpoint(RpcEndpoint):
    """An RPC endpoint that also counts received messages and bytes by body, as it does for sent ones."""

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
    """The hellos and term requests of one node, over a socket of its own."""

    def __init__(self, record: Record, clock: Clock, rng: random.Random, task_group: BackgroundTaskGroup) -> None:
        self.record = record
        self.clock = clock
        self.rng = rng
        self.net = SocketNet(record.address)
        self.rpc_endpoint = CountingRpcEndpoint(record.identity, record.address, self.net, clock)
        self.task_group = task_group
        self.directory: SharedDirectory
        self.view_replica: ViewReplica
        self.view_arrivals: list[tuple[int, int]] = []
        self.lost_count = 0
        self.is_term_lost = True

    async def run(self, directory: SharedDirectory, term_micros: int) -> None:
        """Runs until cancelled, from a random moment of the first hello interval.

        The nodes of a fleet are therefore out of step with each other, as processes on many machines are.
        """
        self.directory = directory
        self.view_replica = ViewReplica(
            self.rpc_endpoint, directory, self.clock, self.rng, self.task_group, term_micros
        )
        self.rpc_endpoint.on_message("hello", self._handle_hello)
        self.rpc_endpoint.on_message("hello_result", directory._handle_hello_result)
        await self.net.open()
        await sleep_for(self.clock, self.rng.randrange(HELLO_INTERVAL_MICROS))
        self.task_group.start(self.view_replica.run())
        round_number = 0
        while True:
            self._send_hellos(round_number)
            round_number += 1
            await sleep_for(self.clock, HELLO_INTERVAL_MICROS)

    def observe(self) -> None:
        """Records when a new view took effect here, and counts the losses of the term."""
        index = self.view_replica.view.index
        if index and (not self.view_arrivals or self.view_arrivals[-1][1] != index):
            self.view_arrivals.append((self.clock.now(), index))
        was_term_lost, self.is_term_lost = self.is_term_lost, not self.view_replica.is_current()
        self.lost_count += self.is_term_lost and not was_term_lost

    def _send_hellos(self, round_number: int) -> None:
        cores = [r.address for r in self.directory.members("control_plane")]
        others = [r.address for r in self.directory.members("router") if r.address != self.record.address]
        peers = self.rng.sample(others, min(GOSSIP_FANOUT, len(others)))
        targets = (cores or self.directory.seed_addresses) + peers
        for position, address in enumerate(targets):
            asks_for_known = position == round_number % len(targets)
            hello = Hello(known_hash=self.directory.known_hash if asks_for_known else "", wants_known=asks_for_known)
            hello.self.CopyFrom(self.record)
            self.rpc_endpoint.send_message(address, "hello", hello)

    def _handle_hello(self, identity: str, address: str, hello: Hello) -> None:
        result = self.directory.make_result(hello)
        if result is not None:
            self.rpc_endpoint.send_message(address, "hello_result", result)


@dataclass(frozen=True)
class HollowNodesConfig:
    """The settings of one process of hollow nodes, passed as JSON on its command line.

    The process stops itself after `limit_seconds`.
    """

    addresses: list[str]
    areas: list[str]
    seeds: list[str]
    control_address: str
    seed: int
    limit_seconds: int
    term_micros: int = 2 * SECOND


class HollowNodeHost:
    """The hollow nodes of one process."""

    def __init__(self, config: HollowNodesConfig, clock: Clock) -> None:
        self.clock = clock
        self.config = config
        self.task_group = BackgroundTaskGroup("testbed")
        rng = random.Random(config.seed)
        records = [
            Record(
                identity=rng.randbytes(12).hex(),
                address=address,
                role="router",
                area=config.areas[number % len(config.areas)],
                httpAddress=address,
            )
            for number, address in enumerate(config.addresses)
        ]
        self.directory = SharedDirectory(records, config.seeds, clock, rng)
        self.nodes = [HollowNode(r, clock, random.Random(rng.random()), self.task_group) for r in records]

    async def run(self) -> None:
        """Runs all nodes and observes them every `OBSERVE_INTERVAL_MICROS`, until cancelled."""
        for node in self.nodes:
            self.task_group.start(node.run(self.directory, self.config.term_micros))
        while True:
            await sleep_for(self.clock, OBSERVE_INTERVAL_MICROS)
            for node in self.nodes:
                if hasattr(node, "view_replica"):
                    node.observe()

    def state(self, index: int) -> dict[str, Any]:
        """Counts of messages and bytes, and the progress of a view over the nodes.

        `at_index` is how many nodes have reached the index, `last_micros` the clock when the last of them did.
        """
        arrival_times = [
            next((at for at, reached_index in n.view_arrivals if reached_index >= index), None) for n in self.nodes
        ]
        arrivals = [at for at in arrival_times if at is not None]
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
            "at_index": len(arrivals),
            "last_micros": max(arrivals, default=0),
            "lost": sum(n.is_term_lost for n in self.nodes),
            "lost_count": sum(n.lost_count for n in self.nodes),
            "faults": [repr(f) for f in self.task_group.exceptions[:3]],
            "sent": dict(sent),
            "sent_bytes": dict(sent_bytes),
            "received": dict(received),
            "received_bytes": dict(received_bytes),
        }


class StateHandler(RequestHandler):
    """Serves the state of the hollow nodes as JSON."""

    def initialize(self, node_host: HollowNodeHost) -> None:
        """Takes over the hollow nodes whose state is served."""
        self.node_host = node_host

    def get(self) -> None:
        """Answers with the state for the view index in the argument `index`, 1 by default."""
        self.finish(self.node_host.state(int(self.get_argument("index", "1"))))


async def serve(config: HollowNodesConfig) -> int:
    """Serves until SIGTERM or the limit of the settings; returns the exit code."""
    node_host = HollowNodeHost(config, BootClock())
    application = Application([("/state", StateHandler, {"node_host": node_host})], log_function=lambda handler: None)
    host, port = split_address(config.control_address)
    HTTPServer(application).listen(port, host)
    limit_reached = asyncio.Event()
    asyncio.get_running_loop().call_later(config.limit_seconds, limit_reached.set)
    node_host.task_group.start(node_host.run())

    async def drain() -> None:
        node_host.task_group.stop()

    return await serve_until_stopped(drain, limit_reached)


def config_text(config: HollowNodesConfig) -> str:
    """The settings as the JSON text that `main` reads."""
    return json.dumps(asdict(config))


def main() -> None:
    """Runs hollow nodes with the settings of the first command line argument."""
    configure_logging("WARNING")
    raise SystemExit(asyncio.run(serve(HollowNodesConfig(**json.loads(sys.argv[1])))))


if __name__ == "__main__":
    main()
