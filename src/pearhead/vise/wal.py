"""Wal (§4.3): Raft's log on disk, in segments of checked records, with digests beside it.

A record is `magic, length, checksum, batch, records left in the batch` and a LogRecord. One batch is
synced before the next is written, so a bad record followed by a good one of a later batch can't be a
torn tail.
"""

from __future__ import annotations

import asyncio
import struct
import unittest
import zlib
from dataclasses import dataclass, field

import picologging

from pearhead.awl.disk import Disk
from pearhead.awl.wire_pb2 import DigestFile, Entry, LogRecord, Mark

LOGGER = picologging.getLogger("pearhead")
MAGIC = b"\xa7PH1"
HEADER = struct.Struct(">4sIIQI")
SEGMENT_LIMIT = 4 * 1024 * 1024
KEPT_DIGESTS = 2


class WalCorrupt(Exception):
    """The log is damaged before its tail: the process must not serve from it."""


@dataclass
class Recovered:
    mark: Mark = field(default_factory=Mark)
    digest: DigestFile | None = None
    entries: list[Entry] = field(default_factory=list)


@dataclass
class FoundRecord:
    record: LogRecord
    batchNumber: int
    leftCount: int
    endOffset: int


def seal_record(record: LogRecord, batchNumber: int, leftCount: int = 0) -> bytes:
    payloadBytes = record.SerializeToString()
    checkSum = zlib.crc32(struct.pack(">QI", batchNumber, leftCount) + payloadBytes)
    return HEADER.pack(MAGIC, len(payloadBytes), checkSum, batchNumber, leftCount) + payloadBytes


def read_record(segmentBytes: bytes, offset: int) -> FoundRecord | None:
    """The record at an offset; None if it isn't whole and sound."""
    if offset + HEADER.size > len(segmentBytes):
        return None
    magic, payloadSize, checkSum, batchNumber, leftCount = HEADER.unpack_from(segmentBytes, offset)
    endOffset = offset + HEADER.size + payloadSize
    if magic != MAGIC or endOffset > len(segmentBytes):
        return None
    payloadBytes = segmentBytes[offset + HEADER.size : endOffset]
    if zlib.crc32(struct.pack(">QI", batchNumber, leftCount) + payloadBytes) != checkSum:
        return None
    return FoundRecord(LogRecord.FromString(payloadBytes), batchNumber, leftCount, endOffset)


def segment_name(segmentNumber: int) -> str:
    return f"log-{segmentNumber:012d}"


def digest_name(index: int) -> str:
    return f"digest-{index:020d}"


class Wal:
    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.segmentNumber = 0
        self.segmentSize = 0
        self.batchNumber = 0
        self.batchWhole = True
        self.nextIndex = 1
        self.tailDirty = False
        self.mark = Mark()
        self.firstIndexes: dict[int, int] = {}
        self.writeLock = asyncio.Lock()

    async def recover(self) -> Recovered:
        recovered = Recovered()
        fileNames = self.disk.names()
        digestNames = [n for n in fileNames if n.startswith("digest-")]
        if digestNames:
            recovered.digest = self._read_digest(digestNames[-1])
        segmentNumbers = [int(n[4:]) for n in fileNames if n.startswith("log-")]
        for segmentNumber in segmentNumbers:
            await self._recover_segment(segmentNumber, segmentNumber == segmentNumbers[-1], recovered)
        if segmentNumbers and segmentNumbers != list(range(segmentNumbers[0], segmentNumbers[-1] + 1)):
            raise WalCorrupt(f"a log segment is missing among {segmentNumbers}")
        digestIndex = recovered.digest.index if recovered.digest else 0
        recovered.entries = [e for e in recovered.entries if e.index > digestIndex]
        if recovered.entries and recovered.entries[0].index != digestIndex + 1:
            raise WalCorrupt(f"the log has a gap after digest {digestIndex}")
        self.mark.CopyFrom(recovered.mark)
        self.nextIndex = max(self.nextIndex, digestIndex + 1)
        self.segmentNumber = segmentNumbers[-1] if segmentNumbers else 0
        return recovered

    async def append(self, records: list[LogRecord]) -> None:
        """Writes one batch and syncs it. Only one batch is under way at a time."""
        async with self.writeLock:
            if self.tailDirty:
                await self.disk.truncate(segment_name(self.segmentNumber), self.segmentSize)
                self.tailDirty = False
            if self.segmentNumber == 0 or self.segmentSize > SEGMENT_LIMIT:
                await self._open_segment()
            batchNumber = self.batchNumber + 1
            batchBytes = b"".join(
                seal_record(record, batchNumber, len(records) - position - 1)
                for position, record in enumerate(records)
            )
            # What a full disk took of a batch is cut off before the next try.
            self.tailDirty = True
            await self.disk.append(segment_name(self.segmentNumber), batchBytes)
            self.tailDirty = False
            self.batchNumber = batchNumber
            self.segmentSize += len(batchBytes)
            for record in records:
                self._note(record)

    async def keep_digest(self, digest: DigestFile) -> None:
        """Writes a digest, then lets go of the segments that it covers."""
        async with self.writeLock:
            digestBytes = digest.SerializeToString()
            sealedBytes = struct.pack(">I", zlib.crc32(digestBytes)) + digestBytes
            await self.disk.replace(digest_name(digest.index), sealedBytes)
            await self._open_segment()
            for segmentNumber in sorted(self.firstIndexes):
                nextFirst = self.firstIndexes.get(segmentNumber + 1)
                # A segment goes only when all it holds lies at or below the digest.
                if nextFirst is None or nextFirst > digest.index + 1:
                    break
                await self.disk.remove(segment_name(segmentNumber))
                del self.firstIndexes[segmentNumber]
            digestNames = [n for n in self.disk.names() if n.startswith("digest-")]
            for digestName in digestNames[:-KEPT_DIGESTS]:
                await self.disk.remove(digestName)

    async def reset_to(self, digest: DigestFile, keptEntries: list[Entry]) -> None:
        """Takes over a digest received from a leader: what the log held before no longer counts."""
        await self.keep_digest(digest)
        resetRecords = [LogRecord(cutFrom=1)] + [LogRecord(entry=e) for e in keptEntries]
        await self.append(resetRecords)

    async def _open_segment(self) -> None:
        # The mark leads each segment, so removing older ones loses no vote.
        markBytes = seal_record(LogRecord(mark=self.mark), self.batchNumber + 1)
        await self.disk.replace(segment_name(self.segmentNumber + 1), markBytes)
        self.segmentNumber += 1
        self.batchNumber += 1
        self.segmentSize = len(markBytes)
        self.firstIndexes[self.segmentNumber] = self.nextIndex

    def _note(self, record: LogRecord) -> None:
        if record.HasField("mark"):
            self.mark.CopyFrom(record.mark)
        elif record.HasField("entry"):
            self.nextIndex = record.entry.index + 1
        else:
            self.nextIndex = record.cutFrom

    def _read_digest(self, digestName: str) -> DigestFile:
        sealedBytes = self.disk.read(digestName)
        (checkSum,) = struct.unpack(">I", sealedBytes[:4])
        if zlib.crc32(sealedBytes[4:]) != checkSum:
            raise WalCorrupt(f"{digestName} fails its checksum")
        return DigestFile.FromString(sealedBytes[4:])

    async def _recover_segment(self, segmentNumber: int, isLast: bool, recovered: Recovered) -> None:
        segmentBytes = self.disk.read(segment_name(segmentNumber))
        self.firstIndexes[segmentNumber] = self.nextIndex
        offset = 0
        while offset < len(segmentBytes):
            found = read_record(segmentBytes, offset)
            if found is None:
                self._check_tail(segmentNumber, segmentBytes, offset, isLast)
                LOGGER.warning("vise: Cut a torn tail. bytes=%d", len(segmentBytes) - offset)
                await self.disk.truncate(segment_name(segmentNumber), offset)
                break
            record, offset = found.record, found.endOffset
            self.batchNumber, self.batchWhole = found.batchNumber, found.leftCount == 0
            self._note(record)
            if record.HasField("mark"):
                recovered.mark.CopyFrom(record.mark)
            elif record.HasField("entry"):
                recovered.entries.append(record.entry)
            else:
                recovered.entries = [e for e in recovered.entries if e.index < record.cutFrom]
        self.segmentSize = offset

    def _check_tail(self, segmentNumber: int, segmentBytes: bytes, offset: int, isLast: bool) -> None:
        where = f"{segment_name(segmentNumber)} at byte {offset}"
        if not isLast:
            raise WalCorrupt(f"{where} is damaged, and later segments follow")
        tornBatch = self.batchNumber + 1 if self.batchWhole else self.batchNumber
        searchOffset = segmentBytes.find(MAGIC, offset + 1)
        while searchOffset >= 0:
            found = read_record(segmentBytes, searchOffset)
            if found is not None and found.batchNumber > tornBatch:
                raise WalCorrupt(f"{where} is damaged, and synced records follow it")
            searchOffset = segmentBytes.find(MAGIC, searchOffset + 1)


class _MemoryDisk:
    """A disk for tests that syncs at once."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.failsAppend = False

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, fileName: str) -> bytes:
        return self.files[fileName]

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        if self.failsAppend:
            self.files[fileName] += contentBytes[:5]
            raise OSError(28, "no space left")
        self.files[fileName] = self.files.get(fileName, b"") + contentBytes

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        self.files[fileName] = contentBytes

    async def remove(self, fileName: str) -> None:
        del self.files[fileName]

    async def truncate(self, fileName: str, keptSize: int) -> None:
        self.files[fileName] = self.files[fileName][:keptSize]


class WalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = _MemoryDisk()

    def entry(self, index: int, epoch: int = 1) -> LogRecord:
        return LogRecord(entry=Entry(index=index, epoch=epoch, kind=1, payload=b"p" * 40))

    def write(self, *batches: list[LogRecord]) -> None:
        async def write_all() -> None:
            wal = Wal(self.disk)
            await wal.recover()
            for batch in batches:
                await wal.append(batch)

        asyncio.run(write_all())

    def indexes(self) -> list[int]:
        return [e.index for e in asyncio.run(Wal(self.disk).recover()).entries]

    def test_every_torn_tail_is_cut_and_every_earlier_damage_stops(self) -> None:
        self.write([self.entry(1)], [self.entry(2), self.entry(3)], [self.entry(4), self.entry(5)])
        (name,) = self.disk.files
        whole = self.disk.files[name]
        lastBatch = whole.rfind(MAGIC, 0, whole.rfind(MAGIC))
        for size in range(lastBatch, len(whole)):
            self.disk.files = {name: whole[:size]}
            self.assertIn(self.indexes(), ([1, 2, 3], [1, 2, 3, 4]))
            self.assertIn(self.indexes(), ([1, 2, 3], [1, 2, 3, 4]), "again, after the cut")
        for position in range(0, lastBatch, 7):
            damaged = bytearray(whole)
            damaged[position] ^= 0x40
            self.disk.files = {name: bytes(damaged)}
            with self.assertRaises(WalCorrupt, msg=f"byte {position}"):
                self.indexes()

    def test_a_full_disk_leaves_no_trace_in_the_log(self) -> None:
        async def write() -> None:
            wal = Wal(self.disk)
            await wal.append([self.entry(1)])
            self.disk.failsAppend = True
            with self.assertRaises(OSError):
                await wal.append([self.entry(2)])
            self.disk.failsAppend = False
            await wal.append([self.entry(2), self.entry(3)])

        asyncio.run(write())
        self.assertEqual(self.indexes(), [1, 2, 3])

    def test_marks_and_entries_outlive_digests(self) -> None:
        async def write() -> None:
            wal = Wal(self.disk)
            for index in range(1, 40):
                await wal.append([LogRecord(mark=Mark(epoch=index, votedFor="x")), self.entry(index)])
                if index % 10 == 0:
                    await wal.keep_digest(DigestFile(index=index - 2, epoch=1, state=b"s"))
            await wal.append([LogRecord(cutFrom=36), self.entry(36, 2)])

        asyncio.run(write())
        recovered = asyncio.run(Wal(self.disk).recover())
        assert recovered.digest is not None
        self.assertEqual((recovered.digest.index, recovered.mark.epoch), (28, 39))
        self.assertEqual([e.index for e in recovered.entries], list(range(29, 37)))
        self.assertEqual(recovered.entries[-1].epoch, 2)
        self.assertEqual(sum(n.startswith("log-") for n in self.disk.names()), 2)
        self.assertEqual(sum(n.startswith("digest-") for n in self.disk.names()), KEPT_DIGESTS)
