"""The write-ahead log (§4.3): Raft's log on disk in segments of checksummed records, with snapshot files beside it.

A record is a header `magic, length, checksum, batch number, number of records left in the batch`, followed by a
serialized LogRecord. Each batch is synced before the next one is written. A bad record that is followed by a good one
of a later batch is therefore damage to synced data and can't be a torn tail.

Stored data and messages have older names: a snapshot is a digest, a term is an epoch, and a mark is the term and vote.
"""

from __future__ import annotations

import asyncio
import logging
import re
import struct
import zlib
from dataclasses import dataclass, field

from pearhead.rpc.wire_pb2 import DigestFile, Entry, LogRecord, Mark
from pearhead.runtime.disk import Disk

LOGGER = logging.getLogger("pearhead")
MAGIC = b"\xa7PH1"
HEADER = struct.Struct(">4sIIQI")
MAXIMUM_SEGMENT_BYTES = 4 * 1024 * 1024
KEPT_SNAPSHOTS = 2
SEGMENT_PATTERN = re.compile(r"log-\d{12}")
SNAPSHOT_PATTERN = re.compile(r"digest-\d{20}")


class WalCorruptError(Exception):
    """Synced data of the log is damaged or missing; the process must not serve from it."""


@dataclass
class RecoveredLog:
    """What recovery found on disk: the last term and vote, the latest snapshot, and the entries after it."""

    mark: Mark = field(default_factory=Mark)
    snapshot: DigestFile | None = None
    entries: list[Entry] = field(default_factory=list)


@dataclass
class ParsedRecord:
    """A record read from a segment, with its batch, how many records of it follow, and the offset of its end."""

    record: LogRecord
    batch_number: int
    remaining_count: int
    end_offset: int


def encode_record(record: LogRecord, batch_number: int, remaining_count: int = 0) -> bytes:
    """Encodes one record; `remaining_count` is the number of records that follow it in its batch."""
    payload_bytes = record.SerializeToString()
    check_sum = zlib.crc32(struct.pack(">QI", batch_number, remaining_count) + payload_bytes)
    return HEADER.pack(MAGIC, len(payload_bytes), check_sum, batch_number, remaining_count) + payload_bytes


def encode_batch(records: list[LogRecord], batch_number: int) -> bytes:
    """Encodes all records of one batch."""
    return b"".join(
        encode_record(record, batch_number, len(records) - position - 1) for position, record in enumerate(records)
    )


def read_record(segment_bytes: bytes, offset: int) -> ParsedRecord | None:
    """Decodes the record at an offset; None if it is incomplete or damaged."""
    if offset + HEADER.size > len(segment_bytes):
        return None
    magic, payload_size, check_sum, batch_number, remaining_count = HEADER.unpack_from(segment_bytes, offset)
    end_offset = offset + HEADER.size + payload_size
    if magic != MAGIC or end_offset > len(segment_bytes):
        return None
    payload_bytes = segment_bytes[offset + HEADER.size : end_offset]
    if zlib.crc32(struct.pack(">QI", batch_number, remaining_count) + payload_bytes) != check_sum:
        return None
    return ParsedRecord(LogRecord.FromString(payload_bytes), batch_number, remaining_count, end_offset)


def segment_name(segment_number: int) -> str:
    """The file name of a segment."""
    return f"log-{segment_number:012d}"


def snapshot_file_name(index: int) -> str:
    """The file name of the snapshot whose last entry has this index."""
    return f"digest-{index:020d}"


class Wal:
    """The write-ahead log of one member: recovered once at startup, then written batch by batch."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.segment_number = 0
        self.segment_size = 0
        self.batch_number = 0
        self.is_batch_complete = True
        self.next_index = 1
        self.has_dirty_tail = False
        self.mark = Mark()
        self.first_indexes: dict[int, int] = {}
        # Records that the next batch must begin with: they complete a `reset_to_snapshot` that was interrupted.
        self.deferred_records: list[LogRecord] = []
        self.write_lock = asyncio.Lock()

    async def recover(self) -> RecoveredLog:
        """Reads all files and truncates a torn tail.

        Raises WalCorruptError if the latest snapshot or a record before the tail is damaged, or if a segment or an
        entry is missing.
        """
        recovered = RecoveredLog()
        file_names = self.disk.names()
        snapshot_file_names = [n for n in file_names if SNAPSHOT_PATTERN.fullmatch(n)]
        if snapshot_file_names:
            recovered.snapshot = self._read_snapshot_file(snapshot_file_names[-1])
        segment_numbers = [int(n[4:]) for n in file_names if SEGMENT_PATTERN.fullmatch(n)]
        for segment_number in segment_numbers:
            await self._recover_segment(segment_number, segment_number == segment_numbers[-1], recovered)
        if segment_numbers and segment_numbers != list(range(segment_numbers[0], segment_numbers[-1] + 1)):
            raise WalCorruptError(f"a log segment is missing among {segment_numbers}")
        self._retain_entries_after_snapshot(recovered)
        self.mark.CopyFrom(recovered.mark)
        self.segment_number = segment_numbers[-1] if segment_numbers else 0
        return recovered

    def _retain_entries_after_snapshot(self, recovered: RecoveredLog) -> None:
        """Keeps only the entries after the snapshot, none if they belong to another history.

        Raises WalCorruptError if an entry is missing.
        """
        snapshot = recovered.snapshot or DigestFile()
        entry_at_snapshot = next((e for e in recovered.entries if e.index == snapshot.index), None)
        recovered.entries = [e for e in recovered.entries if e.index > snapshot.index]
        is_diverged = entry_at_snapshot is not None and entry_at_snapshot.epoch != snapshot.epoch
        if recovered.entries and (is_diverged or recovered.entries[0].epoch < snapshot.epoch):
            # The snapshot came from a leader, and power was lost before the conflicting entries were truncated.
            recovered.entries = []
            self.deferred_records = [LogRecord(cut_from=1)]
        for position, entry in enumerate(recovered.entries):
            if entry.index != snapshot.index + 1 + position:
                raise WalCorruptError(f"the log has a gap before entry {entry.index} after digest {snapshot.index}")
        self.next_index = snapshot.index + 1 + len(recovered.entries)

    async def append(self, records: list[LogRecord]) -> None:
        """Writes one batch of records and syncs it; concurrent calls run one after another.

        Raises OSError if the disk fails. After that, the next write first truncates what was written of the batch.
        """
        async with self.write_lock:
            await self._truncate_dirty_tail()
            if self.segment_number == 0 or self.segment_size > MAXIMUM_SEGMENT_BYTES:
                await self._open_segment([])
            written_records = self.deferred_records + records
            batch_bytes = encode_batch(written_records, self.batch_number + 1)
            # A full disk may accept part of a batch; that part is truncated before the next write.
            self.has_dirty_tail = True
            await self.disk.append(segment_name(self.segment_number), batch_bytes)
            self.has_dirty_tail = False
            self.batch_number += 1
            self.segment_size += len(batch_bytes)
            self.deferred_records = []
            for record in written_records:
                self._track_record(record)

    async def save_snapshot(self, snapshot: DigestFile) -> None:
        """Writes a snapshot, then removes the segments that it covers and all but the latest KEPT_SNAPSHOTS snapshots.

        Raises OSError if the disk fails.
        """
        async with self.write_lock:
            # A torn tail is allowed in the last segment only, and a new segment is opened below.
            await self._truncate_dirty_tail()
            await self._write_snapshot_file(snapshot)
            await self._open_segment([])
            for segment_number in sorted(self.first_indexes):
                next_first = self.first_indexes.get(segment_number + 1)
                # A segment is removed only if all its entries are covered by the snapshot.
                if next_first is None or next_first > snapshot.index + 1:
                    break
                await self._remove_segment(segment_number)
            await self._remove_old_snapshots()

    async def reset_to_snapshot(self, snapshot: DigestFile, kept_entries: list[Entry]) -> None:
        """Replaces the log with a snapshot received from a leader and the entries that are kept after it.

        The truncation and the kept entries are written as one new segment, atomically; older segments are removed only
        after that. If power is lost after the snapshot was written but before the segment, `recover` compares the entry
        at the snapshot's index to see whether the log belongs to the same history. Raises OSError if the disk fails.
        """
        async with self.write_lock:
            # A torn tail is allowed in the last segment only, and a new segment is opened below.
            await self._truncate_dirty_tail()
            await self._write_snapshot_file(snapshot)
            await self._open_segment([LogRecord(cut_from=1), *(LogRecord(entry=entry) for entry in kept_entries)])
            self.next_index = snapshot.index + 1 + len(kept_entries)
            for segment_number in sorted(self.first_indexes)[:-1]:
                await self._remove_segment(segment_number)
            await self._remove_old_snapshots()

    async def _truncate_dirty_tail(self) -> None:
        if self.has_dirty_tail:
            await self.disk.truncate(segment_name(self.segment_number), self.segment_size)
            self.has_dirty_tail = False

    async def _write_snapshot_file(self, snapshot: DigestFile) -> None:
        snapshot_bytes = snapshot.SerializeToString()
        checksummed_bytes = struct.pack(">I", zlib.crc32(snapshot_bytes)) + snapshot_bytes
        await self.disk.replace(snapshot_file_name(snapshot.index), checksummed_bytes)

    async def _remove_segment(self, segment_number: int) -> None:
        await self.disk.remove(segment_name(segment_number))
        del self.first_indexes[segment_number]

    async def _remove_old_snapshots(self) -> None:
        snapshot_file_names = [n for n in self.disk.names() if SNAPSHOT_PATTERN.fullmatch(n)]
        for file_name in snapshot_file_names[:-KEPT_SNAPSHOTS]:
            await self.disk.remove(file_name)

    async def _open_segment(self, records: list[LogRecord]) -> None:
        # Each segment begins with the term and vote, so removing older segments loses neither.
        batch = [LogRecord(mark=self.mark), *self.deferred_records, *records]
        batch_bytes = encode_batch(batch, self.batch_number + 1)
        await self.disk.replace(segment_name(self.segment_number + 1), batch_bytes)
        self.segment_number += 1
        self.batch_number += 1
        self.segment_size = len(batch_bytes)
        self.first_indexes[self.segment_number] = self.next_index
        self.deferred_records = []

    def _track_record(self, record: LogRecord) -> None:
        if record.HasField("mark"):
            self.mark.CopyFrom(record.mark)
        elif record.HasField("entry"):
            self.next_index = record.entry.index + 1
        else:
            self.next_index = record.cut_from

    def _read_snapshot_file(self, file_name: str) -> DigestFile:
        checksummed_bytes = self.disk.read(file_name)
        (check_sum,) = struct.unpack(">I", checksummed_bytes[:4])
        if zlib.crc32(checksummed_bytes[4:]) != check_sum:
            raise WalCorruptError(f"{file_name} fails its checksum")
        return DigestFile.FromString(checksummed_bytes[4:])

    async def _recover_segment(self, segment_number: int, is_last: bool, recovered: RecoveredLog) -> None:
        segment_bytes = self.disk.read(segment_name(segment_number))
        self.first_indexes[segment_number] = self.next_index
        offset = 0
        while offset < len(segment_bytes):
            found = read_record(segment_bytes, offset)
            if found is None:
                self._check_tail(segment_number, segment_bytes, offset, is_last)
                LOGGER.warning(
                    "consensus: Truncated an incomplete write at the end of the log. bytes=%d",
                    len(segment_bytes) - offset,
                )
                await self.disk.truncate(segment_name(segment_number), offset)
                break
            record, offset = found.record, found.end_offset
            self.batch_number, self.is_batch_complete = found.batch_number, found.remaining_count == 0
            self._track_record(record)
            if record.HasField("mark"):
                recovered.mark.CopyFrom(record.mark)
            elif record.HasField("entry"):
                recovered.entries.append(record.entry)
            else:
                recovered.entries = [e for e in recovered.entries if e.index < record.cut_from]
        self.segment_size = offset

    def _check_tail(self, segment_number: int, segment_bytes: bytes, offset: int, is_last: bool) -> None:
        """Raises WalCorruptError unless what begins at the offset can be the torn tail of the last batch."""
        location = f"{segment_name(segment_number)} at byte {offset}"
        if not is_last:
            raise WalCorruptError(f"{location} is damaged, and later segments follow")
        torn_batch = self.batch_number + 1 if self.is_batch_complete else self.batch_number
        search_offset = segment_bytes.find(MAGIC, offset + 1)
        while search_offset >= 0:
            found = read_record(segment_bytes, search_offset)
            if found is not None and found.batch_number > torn_batch:
                raise WalCorruptError(f"{location} is damaged, and synced records follow it")
            search_offset = segment_bytes.find(MAGIC, search_offset + 1)
