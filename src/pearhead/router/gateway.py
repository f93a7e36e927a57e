"""GatewayProcess (§8.7): a front node for opaque requests, put together from its controllers."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass

from pearhead.config.startup import StartupConfig
from pearhead.config.view import View
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.cache_salt_builder import CacheSaltBuilder
from pearhead.router.client_http_server import ClientLimits
from pearhead.router.core_command_client import CoreCommandClient
from pearhead.router.drain import DrainSchedule, DrainState
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.node_count import NodeCountTracker
from pearhead.router.opaque_request import ProtocolAdapter, ResponseHead
from pearhead.router.prefill_tracker import PrefillTracker
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.prefix_cache_poller import PrefixCachePoller
from pearhead.router.relay import Relay
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.roster_publisher import RosterPublisher
from pearhead.router.roster_synchronizer import RosterSynchronizer
from pearhead.router.stats_log import StatsLog
from pearhead.router.upstream_pool import UpstreamPool
from pearhead.router.view_replica import ViewReplica
from pearhead.router.weights_grace_period import WeightsGracePeriod
from pearhead.router.weights_rollout import WeightsRollout
from pearhead.router.worker_control import Backend, WorkerControl
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerSelector
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import KeptNote, ReadNote, Record, UseNote
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.runtime.invariants import Invariant, InvariantCounters
from pearhead.runtime.loop_lag import LoopLag
from pearhead.runtime.net import Net

LOGGER = logging.getLogger("pearhead")
USE_PERIOD_MICROS = 50 * MILLI
USE_REPEAT_MICROS = 600 * MILLI
SWEEP_MICROS = SECOND
SAMPLE_SIZE = 3
# From the choice of a worker until the request arrives there.
REQUEST_TRANSIT_MICROS = 500 * MILLI
# How long after SIGTERM the process is killed, where nobody tells it.
GRACE_MICROS = 8 * SECOND


@dataclass(frozen=True)
class GatewaySettings:
    """`max_view_age_micros`: how long a node serves by a view that it could not confirm since (§5.5).

    `key_trust_micros`: how long it accepts tenants' keys by such a view, where a key that was taken away must end in a
    time of its own at every node, also one that hears of no core; 0: as long as it serves.
    `log_stats_micros`: how often a line of counts is logged; never if it is 0. `leaving_micros`: how long a worker
    serves on once the list shows that it leaves.
    """

    retry_ratio: float = 0.1
    retry_slack: int = 10
    retry_window_micros: int = 10 * SECOND
    max_view_age_micros: int = 60 * SECOND
    key_trust_micros: int = 0
    list_interval_micros: int = SECOND
    min_cached_part_tokens: int = 512
    log_stats_micros: int = 60 * SECOND
    leaving_micros: int = 3 * SECOND
    drain_schedule: DrainSchedule = DrainSchedule.for_grace_period(GRACE_MICROS)


class GatewayProcess:
    def __init__(
        self,
        startup: StartupConfig,
        settings: GatewaySettings,
        clock: Clock,
        net: Net,
        control: WorkerControl,
        dialect: ProtocolAdapter,
        chance: random.Random,
    ) -> None:
        self.startup = startup
        self.settings = settings
        self.clock = clock
        self.chance = chance
        self.task_group = BackgroundTaskGroup("router")
        self.invariants = InvariantCounters(clock)
        self.loop_lag = LoopLag(clock)
        self.identity = chance.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, startup.address, net, clock)
        record = Record(
            identity=self.identity,
            address=startup.address,
            role="router",
            area=startup.area,
            httpAddress=startup.httpAddress,
        )
        self.directory = Directory(record, startup.seeds, self.rpc_endpoint, clock, chance)
        self.view_replica = ViewReplica(
            self.rpc_endpoint, self.directory, clock, chance, self.task_group, startup.termMicros
        )
        self.listener = RevisionListener(
            self.rpc_endpoint, self.directory, clock, chance, self.task_group, startup.tableLifetimeMicros
        )
        self.node_count_tracker = NodeCountTracker(clock, settings.max_view_age_micros)
        self.loads = WorkerLoadTracker(clock)
        self.index = PrefixCacheIndex()
        self.version_table = WorkerVersionTable(clock)
        self.weights_grace_period = WeightsGracePeriod(clock, self.view_replica, startup.oldWeightsMicros)
        self.rosters = RosterSynchronizer(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            chance,
            self.task_group,
            control,
            settings.list_interval_micros,
            self.invariants,
        )
        self.rosters.watchers.append(self.version_table.apply_roster)
        self.cache_poller = PrefixCachePoller(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.task_group,
            control,
            self.rosters,
            self.view_replica,
            self.index,
            relay_callback=self._relay_cache_note,
            min_part_tokens=settings.min_cached_part_tokens,
        )
        self.relay = Relay(
            self.identity,
            startup.area,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.loads,
            self.cache_poller.apply_note,
        )
        command_client = CoreCommandClient(self.view_replica, self.rpc_endpoint, chance)
        self.publisher = RosterPublisher(self.rosters, self.view_replica, command_client, clock)
        self.roll_out = WeightsRollout(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.task_group,
            control,
            self.rosters,
            self.view_replica,
            command_client,
            self.version_table,
            startup.holdMicros,
        )
        self.pool = UpstreamPool(clock)
        self.placer = WorkerSelector(
            clock,
            startup.area,
            lambda: self.rosters.roster,
            self.version_table,
            self.index,
            self.loads,
            CacheSaltBuilder(self.listener),
            self.weights_grace_period.may_use,
            self._sample,
            self.relay.is_active,
        )
        budget = FleetRetryBudget(clock, settings.retry_ratio, settings.retry_slack, settings.retry_window_micros)
        self.reads = PrefillTracker(clock, self.placer.expect_cached, self._announce_read)
        self.rpc_endpoint.on_message("read_note", self._handle_read_note)
        self.drain = DrainState(clock, settings.drain_schedule, self._record_drain_violation)
        self.gate = RequestProxy(
            clock,
            self,
            self.placer,
            self.loads,
            self.pool,
            budget,
            dialect,
            self.node_count,
            self._record_versions,
            self.reads,
            self.drain,
            check_send=self._check_roster,
            trusts_keys=self.trusts_keys,
        )
        self.stats_log = StatsLog(clock, self.gate, self.pool, budget, settings.log_stats_micros)
        self.taken_before_drain = 0
        self.cached_limits: tuple[bytes | None, ClientLimits] = (None, ClientLimits())
        self.rpc_endpoint.on_message("use_note", self._handle_use_note)

    def start(self) -> None:
        for work in (
            self.directory.run(),
            self.view_replica.run(),
            self.listener.run(),
            self.rosters.run(),
            self.publisher.run(),
            self.cache_poller.run(),
            self.roll_out.run(),
            self._announce_use(),
            self.relay.run(),
            self._sweep(),
            self.stats_log.run(),
        ):
            self.task_group.start(work)
        LOGGER.info("router: Listens. node=%s address=%s", self.identity[:8], self.startup.address)

    def stop(self) -> None:
        self.task_group.stop()
        self.rpc_endpoint.stop()

    def begin_drain(self) -> None:
        """From now on it is not ready, and orders no more loads."""
        self.roll_out.is_draining = True
        self.taken_before_drain = self.gate.accepted_count
        self.drain.begin()

    def taken_while_draining(self) -> int:
        """Requests taken since the drain began."""
        return self.gate.accepted_count - self.taken_before_drain if self.drain.is_draining() else 0

    def is_ready(self) -> bool:
        """Knows what is in force, and a worker; a draining node takes no new connections."""
        return not self.drain.is_draining() and self.view() is not None and bool(self.rosters.roster.backends)

    def view(self) -> View | None:
        """What is in force as last known: serves on for a bounded time without the cores (§5.5)."""
        view_replica = self.view_replica
        if not view_replica.has_view or view_replica.view.number == 0:
            return None
        is_known = self.clock.now() - view_replica.current_at <= self.settings.max_view_age_micros
        return view_replica.view if is_known else None

    def trusts_keys(self) -> bool:
        """Whether a key that the view holds is surely in force, or was until so lately that it may still be used."""
        bound_micros = self.settings.key_trust_micros
        return not bound_micros or self.clock.now() - self.view_replica.current_at <= bound_micros

    def client_limits(self) -> ClientLimits:
        """The limits of the description last known; read anew only when that changed."""
        body = self.view_replica.view.sections["description"][1]
        if self.cached_limits[0] is not body:
            self.cached_limits = (body, ClientLimits.of(self.view_replica.view.description.limits))
        return self.cached_limits[1]

    def node_count(self) -> int:
        """Front nodes that this one shares with, itself among them."""
        return self.node_count_tracker.record(len(self.directory.members("router")) + 1)

    def _record_versions(self, worker: str, head: ResponseHead) -> None:
        for line, version in head.versions.items():
            self.roll_out.record_version(worker, line, version)

    def _handle_use_note(self, identity: str, address: str, note: UseNote) -> None:
        self.loads.apply_report(identity, note)

    def _record_drain_violation(self, detail: str) -> None:
        self.invariants.check(Invariant.DRAIN_FINISHES, False, detail)

    def _check_roster(self) -> None:
        """Called as a request is sent: the list behind its placement must be young enough to know who leaves."""
        bound_micros = max(self.settings.leaving_micros - REQUEST_TRANSIT_MICROS, SECOND)
        is_fresh = self.rosters.is_fresh_within(bound_micros)
        self.invariants.check(Invariant.ROSTER_IS_FRESH, is_fresh, self.rosters.age_micros())

    def _sample(self, backends: list[Backend]) -> list[Backend]:
        """Many nodes with the same late word of all would all send to the same worker: each looks at a few (§8.8)."""
        if not self.relay.is_active() or len(backends) <= SAMPLE_SIZE:
            return backends
        return self.chance.sample(backends, SAMPLE_SIZE)

    def _relay_cache_note(self, note: KeptNote) -> bool:
        return self.relay.relay_cache_note(note)

    async def _announce_use(self) -> None:
        """What this node has at workers, to all nodes, when it changed and now and then (§8.8)."""
        told_micros = 0
        while True:
            await self.loop_lag.sleep_for(USE_PERIOD_MICROS)
            now_micros = self.clock.now()
            if self.relay.is_active():
                continue
            if self.loads.is_changed or (self.loads.own and now_micros - told_micros > USE_REPEAT_MICROS):
                told_micros = now_micros
                self._broadcast_use()

    def _announce_read(self, note: ReadNote) -> None:
        """At once: until the next round, other nodes would send long prompts to the same worker (§8.8)."""
        if not self.relay.is_active():
            self._broadcast_use()
            self.rpc_endpoint.multicast([r.address for r in self.directory.members("router")], "read_note", note)

    def _handle_read_note(self, identity: str, address: str, note: ReadNote) -> None:
        self.reads.apply_note(note)

    def _broadcast_use(self) -> None:
        addresses = [r.address for r in self.directory.members("router")]
        if addresses:
            self.rpc_endpoint.multicast(addresses, "use_note", self.loads.note())

    async def _sweep(self) -> None:
        known: dict[str, str] = {}
        while True:
            await sleep_for(self.clock, SWEEP_MICROS)
            self.pool.sweep()
            backends = self.rosters.roster.backends
            now_known = {name: backend.address for name, backend in backends.items()}
            for name, address in known.items():
                if name not in now_known:
                    self.pool.forget(address)
                    self.index.forget(name)
            known = now_known
