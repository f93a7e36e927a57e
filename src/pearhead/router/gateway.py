"""GatewayProcess (§8.7): a router node that proxies opaque requests; builds and connects its controllers."""

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
from pearhead.router.sharing_scope import SharingScopes
from pearhead.router.stats_log import StatsLog
from pearhead.router.upstream_pool import UpstreamPool
from pearhead.router.view_replica import NEVER_CONFIRMED, ViewReplica
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
# The longest time assumed between the choice of a worker and the arrival of the request there.
REQUEST_TRANSIT_MICROS = 500 * MILLI
# Default time between SIGTERM and SIGKILL, where the configuration gives none.
GRACE_MICROS = 8 * SECOND


@dataclass(frozen=True)
class GatewaySettings:
    """Tunable limits and periods of a gateway; all times are in microseconds.

    `max_view_age_micros`: how long a node serves from a view that it can't confirm (§5.5).
    `key_trust_micros`: how long it accepts tenants' keys from such a view. This bounds the life of a revoked key at
    every node, also at one that reaches no core; 0: as long as the node serves.
    `log_stats_micros`: how often a line of counters is logged; 0: never.
    `leaving_micros`: how long a worker keeps serving once the list shows it as leaving.
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
    """Owns the controllers of a router node that proxies opaque requests, and its background tasks."""

    def __init__(
        self,
        startup: StartupConfig,
        settings: GatewaySettings,
        clock: Clock,
        net: Net,
        control: WorkerControl,
        protocol_adapter: ProtocolAdapter,
        rng: random.Random,
    ) -> None:
        self.startup = startup
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.task_group = BackgroundTaskGroup("router")
        self.invariants = InvariantCounters(clock)
        self.loop_lag = LoopLag(clock)
        self.identity = rng.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, startup.address, net, clock)
        record = Record(
            identity=self.identity,
            address=startup.address,
            role="router",
            area=startup.area,
            httpAddress=startup.httpAddress,
        )
        self.directory = Directory(record, startup.seeds, self.rpc_endpoint, clock, rng)
        self.view_replica = ViewReplica(
            self.rpc_endpoint, self.directory, clock, rng, self.task_group, startup.termMicros
        )
        self.revision_listener = RevisionListener(
            self.rpc_endpoint, self.directory, clock, rng, self.task_group, startup.tableLifetimeMicros
        )
        self.node_count_tracker = NodeCountTracker(clock, settings.max_view_age_micros)
        self.load_tracker = WorkerLoadTracker(clock)
        self.prefix_cache_index = PrefixCacheIndex()
        self.version_table = WorkerVersionTable(clock)
        self.weights_grace_period = WeightsGracePeriod(clock, self.view_replica, startup.oldWeightsMicros)
        self.roster_synchronizer = RosterSynchronizer(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            rng,
            self.task_group,
            control,
            settings.list_interval_micros,
            self.invariants,
        )
        self.roster_synchronizer.roster_observers.append(self.version_table.apply_roster)
        self.cache_poller = PrefixCachePoller(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.task_group,
            control,
            self.roster_synchronizer,
            self.view_replica,
            self.prefix_cache_index,
            relay_callback=self._relay_cache_note,
            min_part_tokens=settings.min_cached_part_tokens,
        )
        self.relay = Relay(
            self.identity,
            startup.area,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.load_tracker,
            self.cache_poller.apply_note,
        )
        command_client = CoreCommandClient(self.view_replica, self.rpc_endpoint, rng)
        self.roster_publisher = RosterPublisher(self.roster_synchronizer, self.view_replica, command_client, clock)
        self.weights_rollout = WeightsRollout(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            clock,
            self.task_group,
            control,
            self.roster_synchronizer,
            self.view_replica,
            command_client,
            self.version_table,
            startup.holdMicros,
        )
        self.pool = UpstreamPool(clock)
        self.salt_builder = CacheSaltBuilder(self.revision_listener, SharingScopes(self.view_replica, self.identity))
        self.worker_selector = WorkerSelector(
            clock,
            startup.area,
            lambda: self.roster_synchronizer.roster,
            self.version_table,
            self.prefix_cache_index,
            self.load_tracker,
            self.salt_builder,
            self.weights_grace_period.may_use,
            self._sample_candidates,
            self.relay.is_active,
        )
        budget = FleetRetryBudget(clock, settings.retry_ratio, settings.retry_slack, settings.retry_window_micros)
        self.prefill_tracker = PrefillTracker(clock, self.worker_selector.expect_cached, self._announce_prefill)
        self.rpc_endpoint.on_message("read_note", self._handle_read_note)
        self.drain = DrainState(clock, settings.drain_schedule, self._record_drain_violation)
        self.request_proxy = RequestProxy(
            clock,
            self,
            self.worker_selector,
            self.load_tracker,
            self.pool,
            budget,
            protocol_adapter,
            self.node_count,
            self._record_versions,
            self.prefill_tracker,
            self.drain,
            check_send=self._check_roster,
            trusts_keys=self.trusts_keys,
        )
        self.stats_log = StatsLog(clock, self.request_proxy, self.pool, budget, settings.log_stats_micros)
        self.accepted_before_drain = 0
        self.cached_limits: tuple[bytes | None, ClientLimits] = (None, ClientLimits())
        self.rpc_endpoint.on_message("use_note", self._handle_use_note)

    def start(self) -> None:
        """Starts the background tasks."""
        for name, run_loop in (
            ("directory", self.directory.run),
            ("view_replica", self.view_replica.run),
            ("revision_listener", self.revision_listener.run),
            ("roster_synchronizer", self.roster_synchronizer.run),
            ("roster_publisher", self.roster_publisher.run),
            ("cache_poller", self.cache_poller.run),
            ("weights_rollout", self.weights_rollout.run),
            ("load_announcer", self._announce_use),
            ("relay", self.relay.run),
            ("sweep", self._sweep),
            ("stats_log", self.stats_log.run),
        ):
            self.task_group.supervise(name, self.clock, run_loop)
        LOGGER.info("router: Listens. node=%s address=%s", self.identity[:8], self.startup.address)

    def stop(self) -> None:
        """Cancels the background tasks and stops the RPC endpoint, without waiting for open requests."""
        self.task_group.stop()
        self.rpc_endpoint.stop()

    def begin_drain(self) -> None:
        """Makes the node report not ready, and stops it from ordering weight loads at workers."""
        self.weights_rollout.is_draining = True
        self.accepted_before_drain = self.request_proxy.accepted_count
        self.drain.begin()

    def accepted_while_draining(self) -> int:
        """Requests accepted since the drain began; 0 before that."""
        return self.request_proxy.accepted_count - self.accepted_before_drain if self.drain.is_draining() else 0

    def is_ready(self) -> bool:
        """Whether the node can serve new connections: it has a usable view, knows a worker and is not draining."""
        return (
            not self.drain.is_draining() and self.view() is not None and bool(self.roster_synchronizer.roster.backends)
        )

    def view(self) -> View | None:
        """The last known view, or None while there is none or it was not confirmed for `max_view_age_micros` (§5.5).

        So a node keeps serving for a bounded time without the cores. A view that was never confirmed is not served.
        """
        view_replica = self.view_replica
        if not view_replica.has_view or view_replica.view.description_number == 0:
            return None
        if view_replica.confirmed_micros == NEVER_CONFIRMED:
            return None
        is_fresh = self.clock.now() - view_replica.confirmed_micros <= self.settings.max_view_age_micros
        return view_replica.view if is_fresh else None

    def trusts_keys(self) -> bool:
        """Whether the view was confirmed recently enough for its keys to be accepted (`key_trust_micros`)."""
        bound_micros = self.settings.key_trust_micros
        return not bound_micros or self.clock.now() - self.view_replica.confirmed_micros <= bound_micros

    def client_limits(self) -> ClientLimits:
        """The client limits of the last known description, parsed again only when the description changes."""
        body = self.view_replica.view.sections["description"][1]
        if self.cached_limits[0] is not body:
            self.cached_limits = (body, ClientLimits.from_limits(self.view_replica.view.description.limits))
        return self.cached_limits[1]

    def node_count(self) -> int:
        """Router nodes that fleet-wide limits are divided among, including this one."""
        return self.node_count_tracker.record(len(self.directory.members("router")) + 1)

    def _record_versions(self, worker: str, head: ResponseHead) -> None:
        for line, version in head.versions.items():
            self.weights_rollout.record_version(worker, line, version)

    def _handle_use_note(self, identity: str, address: str, note: UseNote) -> None:
        self.load_tracker.apply_report(identity, note)

    def _record_drain_violation(self, detail: str) -> None:
        self.invariants.check(Invariant.DRAIN_FINISHES, False, detail)

    def _check_roster(self) -> None:
        """Called as a request is sent: the list used for its placement must be fresh enough to show leaving workers."""
        bound_micros = max(self.settings.leaving_micros - REQUEST_TRANSIT_MICROS, SECOND)
        is_fresh = self.roster_synchronizer.is_fresh_within(bound_micros)
        self.invariants.check(Invariant.ROSTER_IS_FRESH, is_fresh, self.roster_synchronizer.age_micros())

    def _sample_candidates(self, backends: list[Backend]) -> list[Backend]:
        """Picks a few workers at random to choose from, while load reports go through relays (§8.8).

        Relayed reports are late and the same for all nodes, which would otherwise all choose the same worker.
        """
        if not self.relay.is_active() or len(backends) <= SAMPLE_SIZE:
            return backends
        return self.rng.sample(backends, SAMPLE_SIZE)

    def _relay_cache_note(self, note: KeptNote) -> bool:
        return self.relay.relay_cache_note(note)

    async def _announce_use(self) -> None:
        """Sends this node's load per worker to all nodes, on change and periodically in between (§8.8).

        While relays are active, `Relay` sends it instead.
        """
        last_sent_micros = 0
        while True:
            await self.loop_lag.sleep_for(USE_PERIOD_MICROS)
            now_micros = self.clock.now()
            if self.relay.is_active():
                continue
            if self.load_tracker.is_changed or (
                self.load_tracker.own_loads and now_micros - last_sent_micros > USE_REPEAT_MICROS
            ):
                last_sent_micros = now_micros
                self._broadcast_use()

    def _announce_prefill(self, note: ReadNote) -> None:
        """Announces the beginning or the end of a long prefill to all nodes at once (§8.8), unless relays are active.

        Until the next periodic report other nodes would send long prompts to the same worker. A failure is logged and
        counted: the prefill itself goes on.
        """
        if self.relay.is_active():
            return
        with self.request_proxy.bookkeeping.update("prefill_announcement"):
            self._broadcast_use()
            self.rpc_endpoint.multicast([r.address for r in self.directory.members("router")], "read_note", note)

    def _handle_read_note(self, identity: str, address: str, note: ReadNote) -> None:
        self.prefill_tracker.apply_note(note)

    def _broadcast_use(self) -> None:
        addresses = [r.address for r in self.directory.members("router")]
        if addresses:
            self.rpc_endpoint.multicast(addresses, "use_note", self.load_tracker.build_report())

    async def _sweep(self) -> None:
        known_addresses: dict[str, str] = {}
        while True:
            await sleep_for(self.clock, SWEEP_MICROS)
            self.pool.sweep()
            backends = self.roster_synchronizer.roster.backends
            current_addresses = {name: backend.address for name, backend in backends.items()}
            for name, address in known_addresses.items():
                if name not in current_addresses:
                    self.pool.remove_address(address)
                    self.prefix_cache_index.clear_location(name)
            known_addresses = current_addresses
