"""Metrics of a core (§3.4): its Raft state, its disk, its messages and its links to other processes."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.registry import Collector

from pearhead.consensus.state import Role
from pearhead.control_plane.core_process import CoreProcess
from pearhead.rpc.metrics import MessageCollector
from pearhead.runtime.clock import SECOND
from pearhead.runtime.collectors import BackgroundLoopCollector, LinkCollector
from pearhead.runtime.metrics import build_registry, counter, gauge, labelled_gauge
from pearhead.runtime.socketnet import SocketNet


class CoreCollector(Collector):
    """Reads the Raft member and the endpoint of a core whenever metrics are requested."""

    def __init__(self, core: CoreProcess) -> None:
        self.core = core

    def collect(self) -> Iterable[Metric]:
        """Yields role, term, log positions, members, disk state and message counts."""
        raft = self.core.raft
        yield labelled_gauge(
            "raft_role", "1 for the present role.", "role", {role.value: raft.role == role for role in Role}
        )
        yield gauge("raft_term", "The term (epoch) of this core.", raft.term)
        yield gauge("raft_commit_index", "The last committed entry.", raft.commit_index)
        yield gauge("raft_applied_index", "The last applied entry.", raft.applied_index)
        yield gauge("raft_last_index", "The last entry of the log.", raft.last_index())
        yield gauge("raft_members", "Members, learners among them.", len(raft.members().member))
        yield gauge("raft_voters", "Members with a vote.", len(raft.voters()))
        yield counter(
            "raft_elections", "Elections that this core began, without trial votes.", raft.elections.election_count
        )
        yield gauge("raft_flush_seconds", "For how long the present write of the log lasts.", self._flush_seconds())
        yield gauge("disk_full", "1 while the disk is full.", raft.disk_full)
        yield from MessageCollector(self.core.rpc_endpoint).collect()

    def _flush_seconds(self) -> float:
        """How long the present write of the log has been under way; 0 if there is none."""
        started_micros = self.core.raft.writer.flush_started_micros
        return 0.0 if started_micros is None else (self.core.clock.now() - started_micros) / SECOND


def build_core_registry(core: CoreProcess, net: SocketNet) -> CollectorRegistry:
    """The registry with all metrics of a core; they can be read once the core has started."""
    return build_registry([CoreCollector(core), LinkCollector(net), BackgroundLoopCollector(core.task_group)])
