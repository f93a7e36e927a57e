"""FolderDisk: only one process uses a data folder, and writes are synced off the event loop (§2.1)."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from pearhead.runtime.disk import FolderBusyError, FolderDisk


class FolderDiskTest(unittest.TestCase):
    def test_second_holder_is_refused_and_files_come_back(self) -> None:
        folder_path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder_path)
        first_disk = FolderDisk(folder_path)
        with self.assertRaises(FolderBusyError):
            FolderDisk(folder_path)

        async def write() -> None:
            await first_disk.append("a", b"one")
            await first_disk.append("a", b"two")
            await first_disk.replace("b", b"x")
            await first_disk.truncate("a", 4)

        asyncio.run(write())
        self.assertEqual((first_disk.read("a"), first_disk.names()), (b"onet", ["a", "b"]))

    def test_a_folder_without_locks_is_used_all_the_same(self) -> None:
        folder_path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder_path)
        with mock.patch("fcntl.flock", side_effect=OSError(38, "not implemented")):
            self.assertEqual(FolderDisk(folder_path).names(), [])

    def test_the_loop_runs_on_while_the_disk_stalls(self) -> None:
        """Every call that writes or syncs waits off the event loop (§2.1), so that other work goes on meanwhile."""
        folder_path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder_path)
        disk = FolderDisk(folder_path)
        released = threading.Event()

        async def write_all() -> None:
            with mock.patch("os.fsync", side_effect=lambda descriptor: released.wait(10)):
                calls = [
                    asyncio.ensure_future(call)
                    for call in (
                        disk.append("a", b"one"),
                        disk.replace("b", b"x"),
                        disk.truncate("a", 1),
                        disk.remove("b"),
                    )
                ]
                done, _ = await asyncio.wait(calls, timeout=0.2)
                self.assertFalse(done, "a call returned before its sync")
                released.set()
                await asyncio.gather(*calls)

        asyncio.run(write_all())
        self.assertEqual((disk.names(), disk.read("a")), (["a"], b"o"))
