"""Metrics collectors (§3.4) that all processes share: outgoing connections, event loop lag and invariants."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import Metric
from prometheus_client.registry import Collector

from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.invariants import InvariantCounters
from pearhead.runtime.loop_lag import LoopLag
from pearhead.runtime.metrics import counter, gauge, labelled_counter
from pearhead.runtime.socketnet import SocketNet


class LinkCollector(Collector):
    """Outgoing connections to other processes, and datagrams."""

    def __init__(self, net: SocketNet) -> None:
        self.net = net

    def collect(self) -> Iterable[Metric]:
        """Yields the queue lengths and the loss counts."""
        links, losses = self.net.outgoing_connections.values(), self.net.losses
        yield gauge("links", "Connections out, kept or tried.", len(links))
        yield gauge(
            "link_queued_frames", "Frames that wait on connections out.", sum(len(link.queued_frames) for link in links)
        )
        yield gauge(
            "link_queued_bytes", "Bytes that wait on connections out.", sum(link.queued_byte_count for link in links)
        )
        yield gauge(
            "link_longest_queue_bytes", "The longest queue.", max((link.queued_byte_count for link in links), default=0)
        )
        yield labelled_counter(
            "link_frames_dropped",
            "Frames that were given up before they were written.",
            "reason",
            {"stale": losses.stale_frames, "queue_full": losses.overflow_frames},
        )
        yield counter("link_write_failures", "Writes that ended a connection out.", losses.failed_writes)
        yield counter("datagram_errors", "Datagrams that the system refused.", losses.refused_datagrams)
        yield gauge("datagram_queued_bytes", "Bytes of datagrams that wait.", self.net.datagram_backlog_bytes())


class LoopLagCollector(Collector):
    """How late the event loop runs its timers."""

    def __init__(self, loop_lag: LoopLag) -> None:
        self.loop_lag = loop_lag

    def collect(self) -> Iterable[Metric]:
        """Yields the greatest recent lateness, in seconds."""
        lag_seconds = self.loop_lag.maximum_micros() / SECOND
        yield gauge("event_loop_lag_seconds", "The greatest lateness of a timer in the last 10 to 20 s.", lag_seconds)


class BackgroundLoopCollector(Collector):
    """Failures of the loops that a process supervises."""

    def __init__(self, task_group: BackgroundTaskGroup) -> None:
        self.task_group = task_group

    def collect(self) -> Iterable[Metric]:
        """Yields the count of every supervised loop, also of those that never failed."""
        yield labelled_counter(
            "background_loop_failures",
            "Times that a loop failed and was started again.",
            "loop",
            self.task_group.supervised_failures,
        )


class InvariantCollector(Collector):
    """Counts of invariant violations."""

    def __init__(self, invariants: InvariantCounters) -> None:
        self.invariants = invariants

    def collect(self) -> Iterable[Metric]:
        """Yields the count of every invariant, also of those that were never violated."""
        counts = {invariant.value: count for invariant, count in self.invariants.violations.items()}
        yield labelled_counter("invariant_violations", "Checks that did not hold.", "invariant", counts)
