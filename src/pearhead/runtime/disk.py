"""Disk (§2.1): files under one data folder, which last only once they are synced."""

from __future__ import annotations

import asyncio
import concurrent.futures
import fcntl
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

LOGGER = logging.getLogger("pearhead")
AnyT = TypeVar("AnyT")
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".part"


class FolderBusyError(Exception):
    """Another process holds the data folder."""


class Disk(Protocol):
    """Durable files in one flat folder."""

    def names(self) -> list[str]:
        """The names of all files, sorted."""

    def read(self, file_name: str) -> bytes:
        """The whole content of a file."""

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """Appends and syncs; a file made by this is synced into its folder too."""

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """Writes beside, syncs, renames over and syncs the folder."""

    async def remove(self, file_name: str) -> None:
        """Deletes a file, if it exists, and syncs the folder."""

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """Cuts a file to `kept_size` bytes and syncs it."""


class FileSystem(Protocol):
    """What the data folder asks of the operating system: tests put one in its place that loses power."""

    def names(self) -> list[str]:
        """The names of all files but the lock, sorted."""

    def holds(self, file_name: str) -> bool:
        """Whether a file of that name exists."""

    def read(self, file_name: str) -> bytes:
        """The whole content of a file."""

    def write(self, file_name: str, content_bytes: bytes, at_end: bool) -> None:
        """Writes and syncs what the file holds, not its name; without `at_end` it begins anew."""

    def truncate(self, file_name: str, kept_size: int) -> None:
        """Cuts and syncs."""

    def sync(self, file_name: str) -> None:
        """Syncs what the file holds."""

    def rename(self, old_name: str, new_name: str) -> None:
        """Renames a file, replacing any file of the new name."""

    def remove(self, file_name: str) -> None:
        """Deletes a file, if it exists."""

    def sync_folder(self) -> None:
        """After this, names made, changed and removed before last."""


class FolderFileSystem:
    """The calls on a real folder."""

    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path

    def names(self) -> list[str]:
        """See `FileSystem.names`."""
        return sorted(path.name for path in self.folder_path.iterdir() if path.name != LOCK_FILE)

    def holds(self, file_name: str) -> bool:
        """See `FileSystem.holds`."""
        return (self.folder_path / file_name).exists()

    def read(self, file_name: str) -> bytes:
        """See `FileSystem.read`."""
        return (self.folder_path / file_name).read_bytes()

    def write(self, file_name: str, content_bytes: bytes, at_end: bool) -> None:
        """See `FileSystem.write`."""
        with open(self.folder_path / file_name, "ab" if at_end else "wb") as open_file:
            open_file.write(content_bytes)
            open_file.flush()
            os.fsync(open_file.fileno())

    def truncate(self, file_name: str, kept_size: int) -> None:
        """See `FileSystem.truncate`."""
        with open(self.folder_path / file_name, "r+b") as open_file:
            open_file.truncate(kept_size)
            os.fsync(open_file.fileno())

    def sync(self, file_name: str) -> None:
        """See `FileSystem.sync`."""
        with open(self.folder_path / file_name, "rb") as open_file:
            os.fsync(open_file.fileno())

    def rename(self, old_name: str, new_name: str) -> None:
        """See `FileSystem.rename`."""
        os.replace(self.folder_path / old_name, self.folder_path / new_name)

    def remove(self, file_name: str) -> None:
        """See `FileSystem.remove`."""
        (self.folder_path / file_name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """See `FileSystem.sync_folder`."""
        folder_descriptor = os.open(self.folder_path, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)


class FolderDisk:
    """The real folder. Every call that syncs runs on one thread, off the event loop."""

    def __init__(self, folder_path: Path) -> None:
        folder_path.mkdir(parents=True, exist_ok=True)
        self.lock_file = open(folder_path / LOCK_FILE, "a+b")  # noqa: SIM115 - held for life
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as busy_error:
            raise FolderBusyError(f"data folder {folder_path} is held by another process") from busy_error
        except OSError as lock_error:
            LOGGER.warning("disk: The folder can't be locked, going on without. fault=%r", lock_error)
        self.worker = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self._begin(FolderFileSystem(folder_path))

    def _begin(self, files: FileSystem) -> None:
        self.files = files
        # Made by an append that failed before the folder was synced.
        self.unsynced_names: set[str] = set()
        self._sync_leftover_files()

    def _sync_leftover_files(self) -> None:
        """Syncs what the life before left: it may have been killed before it did, and this one will act on it."""
        for file_name in self.files.names():
            if file_name.endswith(TEMPORARY_SUFFIX):
                self.files.remove(file_name)
            else:
                self.files.sync(file_name)
        self._sync_folder()

    def names(self) -> list[str]:
        """The names of all files but unfinished replacements, sorted."""
        return [name for name in self.files.names() if not name.endswith(TEMPORARY_SUFFIX)]

    def read(self, file_name: str) -> bytes:
        """See `Disk.read`."""
        return self.files.read(file_name)

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """See `Disk.append`."""
        await self._off_loop(lambda: self._append(file_name, content_bytes))

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """See `Disk.replace`."""
        await self._off_loop(lambda: self._replace(file_name, content_bytes))

    async def remove(self, file_name: str) -> None:
        """See `Disk.remove`."""
        await self._off_loop(lambda: self._remove(file_name))

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """See `Disk.truncate`."""
        await self._off_loop(lambda: self._truncate(file_name, kept_size))

    async def _off_loop(self, call: Callable[[], AnyT]) -> AnyT:
        return await asyncio.get_running_loop().run_in_executor(self.worker, call)

    def _append(self, file_name: str, content_bytes: bytes) -> None:
        if not self.files.holds(file_name):
            self.unsynced_names.add(file_name)
        self.files.write(file_name, content_bytes, at_end=True)
        if file_name in self.unsynced_names:
            self._sync_folder()

    def _replace(self, file_name: str, content_bytes: bytes) -> None:
        temporary_name = file_name + TEMPORARY_SUFFIX
        self.files.write(temporary_name, content_bytes, at_end=False)
        self.files.rename(temporary_name, file_name)
        self._sync_folder()

    def _remove(self, file_name: str) -> None:
        self.files.remove(file_name)
        self._sync_folder()

    def _truncate(self, file_name: str, kept_size: int) -> None:
        self.files.truncate(file_name, kept_size)

    def _sync_folder(self) -> None:
        self.files.sync_folder()
        self.unsynced_names.clear()
