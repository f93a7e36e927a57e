"""Takes snapshots of the state machine, writes them to disk and compacts the log up to them (§4.3)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pearhead.consensus.persistence import LogWriter
from pearhead.consensus.state import RaftState, StateMachine
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import DigestFile, Entry
from pearhead.runtime.background_task_group import BackgroundTaskGroup


@dataclass(frozen=True)
class SnapshotLimits:
    """When a snapshot is due, by applied entries or their bytes, and how many entries before it stay in the log.

    `bytes_per_snapshot` also limits the bytes of the entries that stay.
    """

    entries_per_snapshot: int = 4_096
    kept_entries: int = 1_024
    bytes_per_snapshot: int = 8 * 1024 * 1024


DEFAULT_SNAPSHOT_LIMITS = SnapshotLimits()


class SnapshotStore:
    """The snapshots of one member; only one at a time is written."""

    def __init__(
        self,
        state: RaftState,
        machine: StateMachine,
        wal: Wal,
        writer: LogWriter,
        task_group: BackgroundTaskGroup,
        limits: SnapshotLimits,
    ) -> None:
        self.state = state
        self.machine = machine
        self.wal = wal
        self.writer = writer
        self.task_group = task_group
        self.limits = limits
        self.snapshot_index = 0
        self.applied_bytes = 0
        # Whether a snapshot is being written, this member's own or one from the leader.
        self.is_busy = False

    def count_applied_entry(self, entry: Entry) -> None:
        """Counts an applied entry towards the next snapshot."""
        self.applied_bytes += len(entry.payload)

    def snapshot_if_due(self) -> None:
        """Starts writing a snapshot if enough entries or bytes were applied since the last one."""
        applied_entries = self.state.applied_index - self.snapshot_index
        is_due = (
            applied_entries >= self.limits.entries_per_snapshot or self.applied_bytes >= self.limits.bytes_per_snapshot
        )
        if is_due and applied_entries > 0 and not self.is_busy:
            self.is_busy = True
            self.applied_bytes = 0
            self.task_group.start(self.write_snapshot(self.build()))

    def build(self) -> DigestFile:
        """Builds a snapshot of everything applied so far."""
        applied_index = self.state.applied_index
        snapshot = DigestFile(
            index=applied_index,
            epoch=self.state.log.term_at(applied_index),
            state=self.machine.build_snapshot(),
        )
        snapshot.members.CopyFrom(self.state.log.membership_at(applied_index).members)
        return snapshot

    async def write_snapshot(self, snapshot: DigestFile) -> None:
        """Writes a snapshot, then compacts the log; disk errors are passed to the LogWriter."""
        try:
            await self.wal.save_snapshot(snapshot)
            self.snapshot_index = snapshot.index
            self._compact_log(snapshot.index)
        except OSError as disk_error:
            self.writer.handle_snapshot_error(disk_error)
        finally:
            self.is_busy = False

    def _compact_log(self, snapshot_index: int) -> None:
        log = self.state.log
        new_base_index = min(snapshot_index, max(log.base_index, snapshot_index - self.limits.kept_entries))
        new_base_index = max(new_base_index, self._base_index_by_bytes(snapshot_index))
        if new_base_index > log.base_index:
            log.compact_to(new_base_index)

    def _base_index_by_bytes(self, index: int) -> int:
        """The base index that keeps at most `bytes_per_snapshot` bytes of entries before a snapshot (§4.3)."""
        kept_bytes = 0
        while index > self.state.log.base_index:
            entry = self.state.log.entry_at(index)
            assert entry is not None
            kept_bytes += len(entry.payload)
            if kept_bytes > self.limits.bytes_per_snapshot:
                break
            index -= 1
        return index

    def start_install(self, snapshot: DigestFile, on_installed: Callable[[], None]) -> None:
        """Starts replacing the log with a snapshot from the leader; the callback runs once that is on disk."""
        self.is_busy = self.state.is_installing_snapshot = True
        self.task_group.start(self._install(snapshot, on_installed))

    async def _install(self, snapshot: DigestFile, on_installed: Callable[[], None]) -> None:
        try:
            # Queued records are written first; no new entries are accepted while the snapshot is installed.
            await self.writer.drain()
            kept_entries = self._entries_after(snapshot)
            await self.wal.reset_to_snapshot(snapshot, kept_entries)
            if snapshot.index > self.state.commit_index:
                self.load(snapshot)
                self.state.log.replace_entries(kept_entries)
            on_installed()
        except OSError as disk_error:
            self.writer.handle_snapshot_error(disk_error)
        finally:
            self.is_busy = self.state.is_installing_snapshot = False

    def _entries_after(self, snapshot: DigestFile) -> list[Entry]:
        """The entries after the snapshot; none if this log does not hold the snapshot's last entry."""
        log = self.state.log
        if snapshot.index > log.last_index() or log.term_at(snapshot.index) != snapshot.epoch:
            return []
        return log.entries[snapshot.index - log.base_index :]

    def load(self, snapshot: DigestFile) -> None:
        """Replaces the state machine and the log with a snapshot that is already on disk."""
        self.machine.load_snapshot(snapshot.state)
        self.state.log.restore(snapshot)
        self.state.commit_index = self.state.applied_index = snapshot.index
        self.snapshot_index = snapshot.index
        self.applied_bytes = 0
