"""Metrics (§3.4): serves the counters that a process keeps anyway, in the Prometheus text exposition format.

Nothing is computed between scrapes: each scrape makes the collectors read the counters of the process's objects.
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
    """Returns a gauge; it has no sample if `value` is None, which means not known."""
    return GaugeMetricFamily(NAME_PREFIX + name, documentation, value=value)


def labelled_gauge(name: str, documentation: str, label: str, values: Mapping[str, float]) -> Metric:
    """Returns a gauge with one sample for each value of its label."""
    family = GaugeMetricFamily(NAME_PREFIX + name, documentation, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family


def counter(name: str, documentation: str, value: float) -> Metric:
    """Returns a counter since the start of the process; the library appends `_total` to the name of its sample."""
    return CounterMetricFamily(NAME_PREFIX + name, documentation, value=value)


def labelled_counter(name: str, documentation: str, label: str, values: Mapping[str, float]) -> Metric:
    """Returns a counter with one sample for each value of its label."""
    family = CounterMetricFamily(NAME_PREFIX + name, documentation, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family


def build_registry(collectors: Iterable[Collector]) -> CollectorRegistry:
    """Returns a registry of these collectors only, without the library's default process metrics."""
    registry = CollectorRegistry()
    for collector in collectors:
        registry.register(collector)
    return registry


class MetricsHandler(RequestHandler):
    """Answers GET with the current metrics."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Sets the registry; Tornado calls this for each request in place of a constructor."""
        self.registry = registry

    def get(self) -> None:
        """Serves one scrape."""
        self.set_header("Content-Type", CONTENT_TYPE_PLAIN_0_0_4)
        self.finish(generate_latest(self.registry))


def metrics_routes(registry: CollectorRegistry) -> list[Any]:
    """Returns the routes of a Tornado application that serves the metrics of a registry."""
    return [(METRICS_PATH, MetricsHandler, {"registry": registry})]


def serve_metrics(address: str, registry: CollectorRegistry) -> HTTPServer | None:
    """Serves the metrics at IP:PORT.

    Returns None if the address is empty or can't be bound; the process then runs without serving metrics.
    """
    if not address:
        LOGGER.warning("daemon: No address for the metrics is set.")
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
    except (OSError, OverflowError) as bind_error:
        LOGGER.warning("daemon: The metrics can't be served. address=%s fault=%r", address, bind_error)
        return None
    return server
