"""Disk (§2.1): files under one data folder, which last only once they are synced."""

from __future__ import annotations

import asyncio
import concurrent.futures
import fcntl
import os
import shutil
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar
from unittest import mock

import picologging

LOGGER = picologging.getLogger("pearhead")
AnyT = TypeVar("AnyT")


class FolderBusy(Exception):
    """Another process holds the data folder."""


class Disk(Protocol):
    def names(self) -> list[str]: ...

    def read(self, fileName: str) -> bytes: ...

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        """Appends and syncs; a file made by this is synced into its folder too."""

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        """Writes beside, syncs, renames over and syncs the folder."""

    async def remove(self, fileName: str) -> None: ...

    async def truncate(self, fileName: str, keptSize: int) -> None: ...


class FolderDisk:
    """The real folder. Every call that syncs runs on one thread, off the event loop."""

    def __init__(self, folderPath: Path) -> None:
        self.folderPath = folderPath
        folderPath.mkdir(parents=True, exist_ok=True)
        self.lockFile = open(folderPath / "lock", "a+b")  # noqa: SIM115 - held for life
        try:
            fcntl.flock(self.lockFile, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as lockError:
            raise FolderBusy(f"data folder {folderPath} is held by another process") from lockError
        except OSError as lock_error:
            LOGGER.warning("disk: The folder can't be locked, going on without. fault=%r", lock_error)
        self.worker = concurrent.futures.ThreadPoolExecutor(1, "disk")

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folderPath.iterdir() if p.name != "lock" and p.suffix != ".part")

    def read(self, fileName: str) -> bytes:
        return (self.folderPath / fileName).read_bytes()

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        await self._off_loop(lambda: self._append(fileName, contentBytes))

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        await self._off_loop(lambda: self._replace(fileName, contentBytes))

    async def remove(self, fileName: str) -> None:
        await self._off_loop(lambda: self._remove(fileName))

    async def truncate(self, fileName: str, keptSize: int) -> None:
        await self._off_loop(lambda: self._truncate(fileName, keptSize))

    async def _off_loop(self, call: Callable[[], AnyT]) -> AnyT:
        return await asyncio.get_running_loop().run_in_executor(self.worker, call)

    def _append(self, fileName: str, contentBytes: bytes) -> None:
        filePath = self.folderPath / fileName
        isNew = not filePath.exists()
        with open(filePath, "ab") as openFile:
            openFile.write(contentBytes)
            openFile.flush()
            os.fsync(openFile.fileno())
        if isNew:
            self._sync_folder()

    def _replace(self, fileName: str, contentBytes: bytes) -> None:
        partPath = self.folderPath / (fileName + ".part")
        with open(partPath, "wb") as openFile:
            openFile.write(contentBytes)
            openFile.flush()
            os.fsync(openFile.fileno())
        os.replace(partPath, self.folderPath / fileName)
        self._sync_folder()

    def _remove(self, fileName: str) -> None:
        (self.folderPath / fileName).unlink(missing_ok=True)
        self._sync_folder()

    def _truncate(self, fileName: str, keptSize: int) -> None:
        with open(self.folderPath / fileName, "r+b") as openFile:
            openFile.truncate(keptSize)
            os.fsync(openFile.fileno())

    def _sync_folder(self) -> None:
        folderDescriptor = os.open(self.folderPath, os.O_RDONLY)
        try:
            os.fsync(folderDescriptor)
        finally:
            os.close(folderDescriptor)


class FolderDiskTest(unittest.TestCase):
    def test_second_holder_is_refused_and_files_come_back(self) -> None:
        folderPath = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folderPath)
        firstDisk = FolderDisk(folderPath)
        with self.assertRaises(FolderBusy):
            FolderDisk(folderPath)

        async def write() -> None:
            await firstDisk.append("a", b"one")
            await firstDisk.append("a", b"two")
            await firstDisk.replace("b", b"x")
            await firstDisk.truncate("a", 4)

        asyncio.run(write())
        self.assertEqual((firstDisk.read("a"), firstDisk.names()), (b"onet", ["a", "b"]))

    def test_a_folder_without_locks_is_used_all_the_same(self) -> None:
        folder_path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder_path)
        with mock.patch("fcntl.flock", side_effect=OSError(38, "not implemented")):
            self.assertEqual(FolderDisk(folder_path).names(), [])

    def test_the_loop_runs_on_while_the_disk_stalls(self) -> None:
        """Every call that writes or syncs waits off the loop (§2.1): whatever it is, others are served meanwhile."""
        folder_path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder_path)
        disk = FolderDisk(folder_path)
        released = threading.Event()

        async def write_all() -> None:
            with mock.patch("os.fsync", side_effect=lambda descriptor: released.wait(10)):
                calls = [
                    asyncio.ensure_future(call) for call in (
                        disk.append("a", b"one"), disk.replace("b", b"x"), disk.truncate("a", 1), disk.remove("b"),
                    )
                ]
                done, _ = await asyncio.wait(calls, timeout=0.2)
                self.assertFalse(done, "a sync that hangs was not waited for")
                released.set()
                await asyncio.gather(*calls)

        asyncio.run(write_all())
        self.assertEqual((disk.names(), disk.read("a")), (["a"], b"o"))
