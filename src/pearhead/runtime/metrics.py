"""Metrics (§3.4): what a process counts anyway, as text in the Prometheus exposition format.

Nothing is gathered before somebody asks: collectors read the counters that the objects of the process keep.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.registry import Collector
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pearhead.runtime.socketnet import split_address

LOGGER = logging.getLogger("pearhead")
NAME_PREFIX = "pearhead_"
METRICS_PATH = "/metrics"
IDLE_SECONDS = 30.0
MAXIMUM_REQUEST_BYTES = 4_096


def gauge(name: str, documentation: str, value: float | None) -> Metric:
    """A figure that rises and falls; without a sample while it is not known."""
    return GaugeMetricFamily(NAME_PREFIX + name, documentation, value=value)


def labelled_gauge(name: str, documentation: str, label: str, values: Mapping[str, float]) -> Metric:
    """A gauge with a sample for each value of its label."""
    family = GaugeMetricFamily(NAME_PREFIX + name, documentation, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family


def counter(name: str, documentation: str, value: float) -> Metric:
    """A count since the start of the process; its samples get the suffix `_total`."""
    return CounterMetricFamily(NAME_PREFIX + name, documentation, value=value)


def labelled_counter(name: str, documentation: str, label: str, values: Mapping[str, float]) -> Metric:
    """A counter with a sample for each value of its label."""
    family = CounterMetricFamily(NAME_PREFIX + name, documentation, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family


def build_registry(collectors: Iterable[Collector]) -> CollectorRegistry:
    """A registry of these collectors only: the library's own figures of the process are left out."""
    registry = CollectorRegistry()
    for collector in collectors:
        registry.register(collector)
    return registry


class MetricsHandler(RequestHandler):
    """Answers with the figures as they are now."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Tornado's constructor for each request."""
        self.registry = registry

    def get(self) -> None:
        """Serves one fetch."""
        self.set_header("Content-Type", CONTENT_TYPE_PLAIN_0_0_4)
        self.finish(generate_latest(self.registry))


def metrics_routes(registry: CollectorRegistry) -> list[Any]:
    """The routes of an application that serves these figures."""
    return [(METRICS_PATH, MetricsHandler, {"registry": registry})]


def serve_metrics(address: str, registry: CollectorRegistry) -> HTTPServer | None:
    """Serves the figures at IP:PORT. A process runs on without them where that can't be bound, or is not told."""
    if not address:
        LOGGER.warning("daemon: There is no port for the metrics.")
        return None
    application = Application(metrics_routes(registry), log_function=lambda handler: None)
    server = HTTPServer(
        application,
        idle_connection_timeout=IDLE_SECONDS,
        max_body_size=MAXIMUM_REQUEST_BYTES,
        max_header_size=MAXIMUM_REQUEST_BYTES,
    )
    host_name, port_number = split_address(address)
    try:
        server.add_sockets(bind_sockets(port_number, host_name))
    except (OSError, OverflowError) as fault:
        LOGGER.warning("daemon: The metrics can't be served. address=%s fault=%r", address, fault)
        return None
    return server
