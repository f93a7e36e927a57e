"""Disk (§2.1): the files of one data folder, which are durable only once they are synced."""

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
    """Another process has locked the data folder."""


class Disk(Protocol):
    """Durable files in one flat folder."""

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""

    def read(self, file_name: str) -> bytes:
        """Returns the whole content of a file."""

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """Appends and syncs; if this creates the file, its folder is synced too."""

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder."""

    async def remove(self, file_name: str) -> None:
        """Deletes a file if it exists, and syncs the folder."""

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """Truncates a file to `kept_size` bytes and syncs it."""


class FileSystem(Protocol):
    """The operating system calls that `FolderDisk` uses; tests substitute one that simulates power loss."""

    def names(self) -> list[str]:
        """Returns the names of all files except the lock file, sorted."""

    def exists(self, file_name: str) -> bool:
        """Whether a file of that name exists."""

    def read(self, file_name: str) -> bytes:
        """Returns the whole content of a file."""

    def write(self, file_name: str, content_bytes: bytes, at_end: bool) -> None:
        """Appends to a file if `at_end`, else overwrites it; syncs its content, but not its name in the folder."""

    def truncate(self, file_name: str, kept_size: int) -> None:
        """Truncates a file to `kept_size` bytes and syncs it."""

    def sync(self, file_name: str) -> None:
        """Syncs the content of a file."""

    def rename(self, old_name: str, new_name: str) -> None:
        """Renames a file and replaces any file that has the new name."""

    def remove(self, file_name: str) -> None:
        """Deletes a file if it exists."""

    def sync_folder(self) -> None:
        """Syncs the folder: names that were created, renamed and removed before are durable after this."""


class FolderFileSystem:
    """A `FileSystem` on a real folder."""

    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path

    def names(self) -> list[str]:
        """See `FileSystem.names`."""
        return sorted(path.name for path in self.folder_path.iterdir() if path.name != LOCK_FILE)

    def exists(self, file_name: str) -> bool:
        """See `FileSystem.exists`."""
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
    """A `Disk` on a real folder, which it locks for the life of the process.

    Every asynchronous call runs on one worker thread, so that a slow sync does not block the event loop. Raises
    FolderBusyError if another process has locked the folder. Where the folder can't be locked at all, as on some file
    systems, it is used without a lock.
    """

    def __init__(self, folder_path: Path) -> None:
        folder_path.mkdir(parents=True, exist_ok=True)
        self.lock_file = open(folder_path / LOCK_FILE, "a+b")  # noqa: SIM115 - open for the life of the process
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as busy_error:
            raise FolderBusyError(f"data folder {folder_path} is held by another process") from busy_error
        except OSError as lock_error:
            LOGGER.warning("disk: The data folder can't be locked and is used without a lock. fault=%r", lock_error)
        self.worker = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self._attach_file_system(FolderFileSystem(folder_path))

    def _attach_file_system(self, files: FileSystem) -> None:
        self.files = files
        # Names of files created by an append after which the folder has not been synced yet, e.g. because syncing it
        # failed.
        self.unsynced_names: set[str] = set()
        self._sync_leftover_files()

    def _sync_leftover_files(self) -> None:
        """Syncs the files that the former process left and removes its unfinished replacements.

        It may have been killed before it synced them, and this process is going to rely on their content.
        """
        for file_name in self.files.names():
            if file_name.endswith(TEMPORARY_SUFFIX):
                self.files.remove(file_name)
            else:
                self.files.sync(file_name)
        self._sync_folder()

    def names(self) -> list[str]:
        """Returns the names of all files except unfinished replacements, sorted."""
        return [name for name in self.files.names() if not name.endswith(TEMPORARY_SUFFIX)]

    def read(self, file_name: str) -> bytes:
        """See `Disk.read`."""
        return self.files.read(file_name)

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """See `Disk.append`."""
        await self._run_in_thread(lambda: self._append(file_name, content_bytes))

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """See `Disk.replace`."""
        await self._run_in_thread(lambda: self._replace(file_name, content_bytes))

    async def remove(self, file_name: str) -> None:
        """See `Disk.remove`."""
        await self._run_in_thread(lambda: self._remove(file_name))

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """See `Disk.truncate`."""
        await self._run_in_thread(lambda: self._truncate(file_name, kept_size))

    async def _run_in_thread(self, call: Callable[[], AnyT]) -> AnyT:
        return await asyncio.get_running_loop().run_in_executor(self.worker, call)

    def _append(self, file_name: str, content_bytes: bytes) -> None:
        if not self.files.exists(file_name):
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
