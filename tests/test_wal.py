"""The write-ahead log (§4.3): torn tails, damaged records, a full disk, and what remains after a snapshot.

Guards against starting from a damaged log, and against losing synced records to a torn tail or a failed append.
"""

from __future__ import annotations

import asyncio
import unittest

from pearhead.consensus.wal import KEPT_SNAPSHOTS, MAGIC, Wal, WalCorruptError
from pearhead.rpc.wire_pb2 import DigestFile, Entry, LogRecord, Mark


class MemoryDisk:
    """A disk in memory on which every write is synced at once; `fails_append` makes it full."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.fails_append = False

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        return self.files[file_name]

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        if self.fails_append:
            self.files[file_name] += content_bytes[:5]
            raise OSError(28, "no space left")
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        self.files[file_name] = content_bytes

    async def remove(self, file_name: str) -> None:
        del self.files[file_name]

    async def truncate(self, file_name: str, kept_size: int) -> None:
        self.files[file_name] = self.files[file_name][:kept_size]


class WalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = MemoryDisk()

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
        last_batch = whole.rfind(MAGIC, 0, whole.rfind(MAGIC))
        for size in range(last_batch, len(whole)):
            self.disk.files = {name: whole[:size]}
            self.assertIn(self.indexes(), ([1, 2, 3], [1, 2, 3, 4]))
            self.assertIn(self.indexes(), ([1, 2, 3], [1, 2, 3, 4]), "again, after the cut")
        for position in range(0, last_batch, 7):
            damaged = bytearray(whole)
            damaged[position] ^= 0x40
            self.disk.files = {name: bytes(damaged)}
            with self.assertRaises(WalCorruptError, msg=f"byte {position}"):
                self.indexes()

    def test_a_full_disk_leaves_no_trace_in_the_log(self) -> None:
        async def write() -> None:
            wal = Wal(self.disk)
            await wal.append([self.entry(1)])
            self.disk.fails_append = True
            with self.assertRaises(OSError):
                await wal.append([self.entry(2)])
            self.disk.fails_append = False
            await wal.append([self.entry(2), self.entry(3)])

        asyncio.run(write())
        self.assertEqual(self.indexes(), [1, 2, 3])

    def test_marks_and_entries_outlive_digests(self) -> None:
        async def write() -> None:
            wal = Wal(self.disk)
            for index in range(1, 40):
                await wal.append([LogRecord(mark=Mark(epoch=index, voted_for="x")), self.entry(index)])
                if index % 10 == 0:
                    await wal.save_snapshot(DigestFile(index=index - 2, epoch=1, state=b"s"))
            await wal.append([LogRecord(cut_from=36), self.entry(36, 2)])

        asyncio.run(write())
        recovered = asyncio.run(Wal(self.disk).recover())
        assert recovered.snapshot is not None
        self.assertEqual((recovered.snapshot.index, recovered.mark.epoch), (28, 39))
        self.assertEqual([e.index for e in recovered.entries], list(range(29, 37)))
        self.assertEqual(recovered.entries[-1].epoch, 2)
        self.assertEqual(sum(n.startswith("log-") for n in self.disk.names()), 2)
        self.assertEqual(sum(n.startswith("digest-") for n in self.disk.names()), KEPT_SNAPSHOTS)
