"""Prometheus collectors (§3.4) of router nodes: worker list, requests, connections, relay and view."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.registry import Collector

from pearhead.router.client_http_server import ClientConnectionManager
from pearhead.router.gateway import GatewayProcess
from pearhead.router.node_process import NodeProcess
from pearhead.router.roster_synchronizer import RosterSynchronizer
from pearhead.router.view_replica import NEVER_CONFIRMED, ViewReplica
from pearhead.rpc.metrics import MessageCollector
from pearhead.runtime.clock import SECOND
from pearhead.runtime.collectors import BackgroundLoopCollector, InvariantCollector, LinkCollector, LoopLagCollector
from pearhead.runtime.metrics import build_registry, counter, gauge, labelled_counter, labelled_gauge
from pearhead.runtime.socketnet import SocketNet


class ViewCollector(Collector):
    """Number, log index and age of the node's view of the cluster state."""

    def __init__(self, view_replica: ViewReplica) -> None:
        self.view_replica = view_replica

    def collect(self) -> Iterable[Metric]:
        """Yields the view's metrics; the age has no sample until the view is confirmed for the first time."""
        view = self.view_replica.view
        yield gauge("view_number", "The operators' number of the description in force.", view.description_number)
        yield gauge("view_index", "The index of the log that the view stands at.", view.index)
        yield gauge("view_age_seconds", "Time since the view was known to be current.", self._age_seconds())

    def _age_seconds(self) -> float | None:
        view_replica = self.view_replica
        return (
            None
            if view_replica.confirmed_micros == NEVER_CONFIRMED
            else (view_replica.clock.now() - view_replica.confirmed_micros) / SECOND
        )


class RosterCollector(Collector):
    """Workers known to the node and the age of that knowledge."""

    def __init__(self, synchronizer: RosterSynchronizer) -> None:
        self.synchronizer = synchronizer

    def collect(self) -> Iterable[Metric]:
        """Yields the roster's metrics, and whether this node polls the worker list for the fleet."""
        synchronizer = self.synchronizer
        backends = synchronizer.roster.backends
        leaving_count = sum(backend.is_leaving for backend in backends.values())
        age_micros = synchronizer.age_micros()
        age_seconds = None if age_micros is None else age_micros / SECOND
        yield gauge("roster_age_seconds", "Time since the list behind the roster was asked.", age_seconds)
        yield gauge("roster_asker", "1 while this node asks the list for the fleet.", synchronizer.is_asker)
        yield counter("roster_list_requests", "Times that this node asked the list.", synchronizer.list_request_count)
        yield labelled_gauge(
            "workers",
            "Workers known, by state.",
            "state",
            {"serving": len(backends) - leaving_count, "leaving": leaving_count},
        )


class GatewayCollector(Collector):
    """Requests and connections of a gateway, the router node for opaque requests."""

    def __init__(self, gateway: GatewayProcess, connection_manager: ClientConnectionManager) -> None:
        self.gateway = gateway
        self.connection_manager = connection_manager

    def collect(self) -> Iterable[Metric]:
        """Yields the metrics of the request proxy, client connections, upstream pool and relay."""
        gateway, request_proxy, relay = self.gateway, self.gateway.request_proxy, self.gateway.relay
        worker_connections = sum(len(streams) for streams in gateway.pool.open_streams.values())
        yield gauge("draining", "1 once SIGTERM came.", gateway.drain.is_draining())
        yield gauge("open_requests", "Requests under way.", request_proxy.open_count())
        yield counter("requests_taken", "Requests read whole.", request_proxy.accepted_count)
        yield counter(
            "requests_taken_draining", "Requests read whole since the drain began.", gateway.accepted_while_draining()
        )
        yield labelled_counter("requests_ended", "Requests by outcome.", "outcome", request_proxy.outcomes)
        yield counter(
            "unconfirmed_salts",
            "Cache salts made while the view was not known to be current.",
            gateway.salt_builder.unconfirmed_count,
        )
        yield labelled_counter(
            "record_failures",
            "Updates of the node's own records that failed.",
            "record",
            request_proxy.bookkeeping.failures,
        )
        yield gauge("client_connections", "Callers' connections open.", len(self.connection_manager.streams))
        yield gauge("worker_connections", "Connections to workers, in use and kept.", worker_connections)
        yield counter("worker_connections_opened", "Connections to workers opened.", gateway.pool.opened_count)
        yield counter("worker_connections_reused", "Requests sent on a kept connection.", gateway.pool.reused_count)
        yield gauge("zone_relay", "1 while this node relays for its zone.", relay.is_relaying)
        yield gauge("zone_relay_members", "Nodes that sent this relay their use of late.", len(relay.members))
        yield gauge("router_members", "Front nodes known, this one too.", gateway.node_count())


class NodeCollector(Collector):
    """Jobs of a router node for the job API."""

    def __init__(self, node: NodeProcess) -> None:
        self.node = node

    def collect(self) -> Iterable[Metric]:
        """Yields the node's job metrics."""
        yield gauge("draining", "1 once SIGTERM came.", self.node.is_draining)
        yield gauge("open_requests", "Jobs under way.", self.node.open_jobs)
        yield labelled_counter("requests_ended", "Jobs by outcome.", "outcome", self.node.outcome_counts)


def build_gateway_registry(
    gateway: GatewayProcess, connection_manager: ClientConnectionManager, net: SocketNet
) -> CollectorRegistry:
    """Registry with all metrics of a gateway."""
    return build_registry(
        [
            RosterCollector(gateway.roster_synchronizer),
            GatewayCollector(gateway, connection_manager),
            ViewCollector(gateway.view_replica),
            MessageCollector(gateway.rpc_endpoint),
            LinkCollector(net),
            LoopLagCollector(gateway.loop_lag),
            BackgroundLoopCollector(gateway.task_group),
            InvariantCollector(gateway.invariants),
        ]
    )


def build_node_registry(node: NodeProcess, net: SocketNet) -> CollectorRegistry:
    """Registry with all metrics of a router node for the job API."""
    return build_registry(
        [NodeCollector(node), ViewCollector(node.view_replica), MessageCollector(node.rpc_endpoint), LinkCollector(net)]
    )
