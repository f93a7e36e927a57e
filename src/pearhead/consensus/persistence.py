"""Writes a member's term, vote and entries to its write-ahead log in order, and calls back when they are synced."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from pearhead.consensus.state import RaftState
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import LogRecord, Mark
from pearhead.runtime.clock import MILLI, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
# While a sync has been running for longer than this, a member must not lead.
STALLED_FLUSH_MICROS = 1_500 * MILLI
# While a sync has been running for longer than this, a follower answers at once that it waits for its disk.
SLOW_FLUSH_MICROS = 50 * MILLI
# The delay before a batch is written again to a disk that was full.
DISK_FULL_RETRY_MICROS = 500 * MILLI

SyncedCallback = Callable[[], None]


def do_nothing() -> None:
    """A callback for records whose sync nothing waits for."""


class LogWriter:
    """Writes records with group commit: those queued while one batch is being synced form the next batch."""

    def __init__(self, state: RaftState, wal: Wal, clock: Clock, fail: Callable[[str], None]) -> None:
        self.state = state
        self.wal = wal
        self.clock = clock
        self.fail = fail
        self.pending_records: list[LogRecord] = []
        self.pending_callbacks: list[SyncedCallback] = []
        self.flush_started_micros: int | None = None
        self.wake = asyncio.Event()
        self.disk_full = False

    def persist(self, records: list[LogRecord], callback: SyncedCallback) -> None:
        """Queues records; the callback runs once these and all earlier ones are synced."""
        self.pending_records.extend(records)
        self.pending_callbacks.append(callback)
        self.wake.set()

    def persist_vote(self, callback: SyncedCallback) -> None:
        """Queues the current term and vote; the callback runs once they are synced."""
        mark = Mark(epoch=self.state.term, voted_for=self.state.voted_for)
        self.persist([LogRecord(mark=mark)], callback)

    async def drain(self) -> None:
        """Waits until all records queued so far are synced."""
        drained = asyncio.Event()
        self.persist([], drained.set)
        await drained.wait()

    def is_busy(self) -> bool:
        """Whether any records are queued or being synced."""
        return bool(self.pending_records) or self.flush_started_micros is not None

    def is_slow(self) -> bool:
        """Whether the sync in progress takes longer than a leader should wait for a response."""
        return self._flush_micros() > SLOW_FLUSH_MICROS

    def is_stalled(self) -> bool:
        """Whether the disk is full or the sync in progress takes so long that this member must not lead."""
        return self.disk_full or self._flush_micros() > STALLED_FLUSH_MICROS

    def _flush_micros(self) -> int:
        return self.clock.now() - self.flush_started_micros if self.flush_started_micros is not None else 0

    async def run(self) -> None:
        """Writes queued records; runs until it is cancelled.

        An unexpected exception ends the process: a member whose log is not written any more must not live on. What
        was written is recovered from the disk at the next start.
        """
        try:
            await self._write_queued()
        except Exception as fault:
            self.fail(f"the log writer failed: {fault!r}")
            raise

    async def _write_queued(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            records, self.pending_records = self.pending_records, []
            callbacks, self.pending_callbacks = self.pending_callbacks, []
            self.flush_started_micros = self.clock.now()
            if records:
                await self._write_until_done(records)
            self.flush_started_micros = None
            for callback in callbacks:
                callback()

    async def _write_until_done(self, records: list[LogRecord]) -> None:
        while True:
            try:
                await self.wal.append(records)
                self.disk_full = False
                return
            except OSError as disk_error:
                self._record_disk_error(disk_error)
                await sleep_for(self.clock, DISK_FULL_RETRY_MICROS)

    def handle_snapshot_error(self, disk_error: OSError) -> None:
        """Handles a failed write of a snapshot: records that the disk is full; any other error ends the process.

        The snapshot is not written again from here: the next one that is due is, or the last chunk that the leader
        sends again starts the installation anew.
        """
        self._record_disk_error(disk_error)
        # The writer retries this record until it succeeds. Without it, a member that has nothing else to write
        # would never notice that the disk has room again.
        self.persist_vote(do_nothing)

    def _record_disk_error(self, disk_error: OSError) -> None:
        if disk_error.errno == errno.ENOSPC:
            if not self.disk_full:
                LOGGER.error("consensus: The disk is full.")
            self.disk_full = True
            return
        # After a failed sync the content of the file is unknown; continuing could lose acknowledged records.
        self.fail(f"the disk failed: {disk_error}")
