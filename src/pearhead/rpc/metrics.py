"""MessageCollector (§3.4): metrics of the messages that a process sends to others, by kind of message."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import Metric
from prometheus_client.registry import Collector

from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.runtime.metrics import labelled_counter


class MessageCollector(Collector):
    """Messages and bytes sent, by kind of message; connections and datagrams are counted together."""

    def __init__(self, rpc_endpoint: RpcEndpoint) -> None:
        self.rpc_endpoint = rpc_endpoint

    def collect(self) -> Iterable[Metric]:
        """Reads the endpoint's counts."""
        yield labelled_counter("messages_sent", "Messages sent.", "kind", self.rpc_endpoint.sent_counts)
        yield labelled_counter("message_bytes_sent", "Bytes of messages sent.", "kind", self.rpc_endpoint.sent_bytes)
