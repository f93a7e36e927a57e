"""Wal (§4.3): Raft's log on disk, in segments of checked records, with digests beside it.

A record is `magic, length, checksum, batch, records left in the batch` and a LogRecord. One batch is
synced before the next is written, so a bad record followed by a good one of a later batch can't be a
torn tail.
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
    """The log is damaged before its tail: the process must not serve from it."""


@dataclass
class RecoveredLog:
    """What the files held: the last term and vote, the latest snapshot, and the entries after it."""

    mark: Mark = field(default_factory=Mark)
    digest: DigestFile | None = None
    entries: list[Entry] = field(default_factory=list)


@dataclass
class ParsedRecord:
    """A record read from a segment, with its place in its batch and where it ends."""

    record: LogRecord
    batch_number: int
    remaining_count: int
    end_offset: int


def encode_record(record: LogRecord, batch_number: int, remaining_count: int = 0) -> bytes:
    """The bytes of one record, after which so many others of its batch follow."""
    payload_bytes = record.SerializeToString()
    check_sum = zlib.crc32(struct.pack(">QI", batch_number, remaining_count) + payload_bytes)
    return HEADER.pack(MAGIC, len(payload_bytes), check_sum, batch_number, remaining_count) + payload_bytes


def encode_batch(records: list[LogRecord], batch_number: int) -> bytes:
    """The bytes of all records of one batch."""
    return b"".join(
        encode_record(record, batch_number, len(records) - position - 1) for position, record in enumerate(records)
    )


def read_record(segment_bytes: bytes, offset: int) -> ParsedRecord | None:
    """The record at an offset; None if it isn't whole and sound."""
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
    """The write-ahead log of one member: it is recovered once, then written batch by batch."""

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
        # What the next batch must begin with: the end of a takeover that was interrupted.
        self.deferred_records: list[LogRecord] = []
        self.write_lock = asyncio.Lock()

    async def recover(self) -> RecoveredLog:
        """Reads all files, cuts a torn tail off, and raises WalCorruptError at damage before it."""
        recovered = RecoveredLog()
        file_names = self.disk.names()
        snapshot_file_names = [n for n in file_names if SNAPSHOT_PATTERN.fullmatch(n)]
        if snapshot_file_names:
            recovered.digest = self._read_snapshot_file(snapshot_file_names[-1])
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
        """Leaves the entries after the digest, if they are of its history, and checks that none is missing."""
        digest = recovered.digest or DigestFile()
        held = next((e for e in recovered.entries if e.index == digest.index), None)
        recovered.entries = [e for e in recovered.entries if e.index > digest.index]
        is_diverged = held is not None and held.epoch != digest.epoch
        if recovered.entries and (is_diverged or recovered.entries[0].epoch < digest.epoch):
            # The digest was taken over from a leader, and power was lost before these entries were cut.
            recovered.entries = []
            self.deferred_records = [LogRecord(cut_from=1)]
        for position, entry in enumerate(recovered.entries):
            if entry.index != digest.index + 1 + position:
                raise WalCorruptError(f"the log has a gap before entry {entry.index} after digest {digest.index}")
        self.next_index = digest.index + 1 + len(recovered.entries)

    async def append(self, records: list[LogRecord]) -> None:
        """Writes one batch and syncs it. Only one batch is under way at a time."""
        async with self.write_lock:
            await self._cut_dirty_tail()
            if self.segment_number == 0 or self.segment_size > MAXIMUM_SEGMENT_BYTES:
                await self._open_segment([])
            written_records = self.deferred_records + records
            batch_bytes = encode_batch(written_records, self.batch_number + 1)
            # What a full disk took of a batch is cut off before the next try.
            self.has_dirty_tail = True
            await self.disk.append(segment_name(self.segment_number), batch_bytes)
            self.has_dirty_tail = False
            self.batch_number += 1
            self.segment_size += len(batch_bytes)
            self.deferred_records = []
            for record in written_records:
                self._track_record(record)

    async def save_snapshot(self, digest: DigestFile) -> None:
        """Writes a digest, then lets go of the segments that it covers."""
        async with self.write_lock:
            # A torn tail is allowed in the last segment only.
            await self._cut_dirty_tail()
            await self._write_snapshot_file(digest)
            await self._open_segment([])
            for segment_number in sorted(self.first_indexes):
                next_first = self.first_indexes.get(segment_number + 1)
                # A segment goes only when all it holds lies at or below the digest.
                if next_first is None or next_first > digest.index + 1:
                    break
                await self._remove_segment(segment_number)
            await self._remove_old_snapshots()

    async def reset_to_snapshot(self, digest: DigestFile, kept_entries: list[Entry]) -> None:
        """Takes over a digest received from a leader: what the log held before no longer counts.

        The cut and the entries that are kept come with one segment, whole or not at all, and only then older segments
        go. If it ends after the digest, `recover` sees by the entry at the digest's index which history the log is of.
        """
        async with self.write_lock:
            # A torn tail is allowed in the last segment only.
            await self._cut_dirty_tail()
            await self._write_snapshot_file(digest)
            await self._open_segment([LogRecord(cut_from=1), *(LogRecord(entry=entry) for entry in kept_entries)])
            self.next_index = digest.index + 1 + len(kept_entries)
            for segment_number in sorted(self.first_indexes)[:-1]:
                await self._remove_segment(segment_number)
            await self._remove_old_snapshots()

    async def _cut_dirty_tail(self) -> None:
        if self.has_dirty_tail:
            await self.disk.truncate(segment_name(self.segment_number), self.segment_size)
            self.has_dirty_tail = False

    async def _write_snapshot_file(self, digest: DigestFile) -> None:
        digest_bytes = digest.SerializeToString()
        checksummed_bytes = struct.pack(">I", zlib.crc32(digest_bytes)) + digest_bytes
        await self.disk.replace(snapshot_file_name(digest.index), checksummed_bytes)

    async def _remove_segment(self, segment_number: int) -> None:
        await self.disk.remove(segment_name(segment_number))
        del self.first_indexes[segment_number]

    async def _remove_old_snapshots(self) -> None:
        snapshot_file_names = [n for n in self.disk.names() if SNAPSHOT_PATTERN.fullmatch(n)]
        for file_name in snapshot_file_names[:-KEPT_SNAPSHOTS]:
            await self.disk.remove(file_name)

    async def _open_segment(self, records: list[LogRecord]) -> None:
        # The mark leads each segment, so removing older ones loses no vote.
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
                LOGGER.warning("consensus: Cut a torn tail. bytes=%d", len(segment_bytes) - offset)
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
        where = f"{segment_name(segment_number)} at byte {offset}"
        if not is_last:
            raise WalCorruptError(f"{where} is damaged, and later segments follow")
        torn_batch = self.batch_number + 1 if self.is_batch_complete else self.batch_number
        search_offset = segment_bytes.find(MAGIC, offset + 1)
        while search_offset >= 0:
            found = read_record(segment_bytes, search_offset)
            if found is not None and found.batch_number > torn_batch:
                raise WalCorruptError(f"{where} is damaged, and synced records follow it")
            search_offset = segment_bytes.find(MAGIC, search_offset + 1)
