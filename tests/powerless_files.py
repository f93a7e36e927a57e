"""A folder that loses power: what its names and files may hold afterwards, each in every way that is allowed.

A file holds what its last sync covered; each later write or cut is there, missing or torn. Each name that was made,
changed or removed since the folder was last synced stands as before or after that, by itself.
"""

from __future__ import annotations

import errno
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from pearhead.runtime.disk import FileSystem, FolderDisk

AnyT = TypeVar("AnyT")


@dataclass(frozen=True)
class Write:
    offset: int
    content_bytes: bytes


@dataclass(frozen=True)
class Cut:
    size: int


FileStep = Write | Cut


@dataclass
class File:
    synced_bytes: bytes = b""
    steps: list[FileStep] = field(default_factory=list)

    def present_bytes(self) -> bytes:
        return _content(self.synced_bytes, self.steps)


def _content(start_bytes: bytes, steps: list[FileStep]) -> bytes:
    content = bytearray(start_bytes)
    for step in steps:
        if isinstance(step, Cut):
            del content[step.size :]
            continue
        if len(content) < step.offset:
            content += bytes(step.offset - len(content))
        content[step.offset : step.offset + len(step.content_bytes)] = step.content_bytes
    return bytes(content)


def _outcomes(step: FileStep) -> list[FileStep | None]:
    """Missing, torn in the middle, torn before its last byte, present."""
    if isinstance(step, Cut):
        return [None, step]
    sizes = {len(step.content_bytes) // 2, len(step.content_bytes) - 1}
    torn: list[FileStep | None] = [Write(step.offset, step.content_bytes[:size]) for size in sorted(sizes) if size > 0]
    return [None, *torn, step]


class PowerlessFiles:
    """`FileSystem` in memory. Before each step, `before_step` is called: there a test takes copies, to stop in them."""

    def __init__(self) -> None:
        self.held: dict[str, File] = {}
        self.synced_names: dict[str, File] = {}
        self.changed_names: dict[str, list[File | None]] = {}
        self.before_step: Callable[[], None] = lambda: None
        self.room: int | None = None

    # ---- FileSystem -------------------------------------------------------------------------------

    def names(self) -> list[str]:
        return sorted(self.held)

    def holds(self, file_name: str) -> bool:
        return file_name in self.held

    def read(self, file_name: str) -> bytes:
        return self.held[file_name].present_bytes()

    def write(self, file_name: str, content_bytes: bytes, at_end: bool) -> None:
        if file_name not in self.held:
            self.before_step()
            self._set_name(file_name, File())
        written_file = self.held[file_name]
        if not at_end and written_file.present_bytes():
            self.before_step()
            written_file.steps.append(Cut(0))
        self.before_step()
        taken_bytes = content_bytes if self.room is None else content_bytes[: self.room]
        written_file.steps.append(Write(len(written_file.present_bytes()), taken_bytes))
        if len(taken_bytes) < len(content_bytes):
            raise OSError(errno.ENOSPC, "no space left")
        self.sync(file_name)

    def truncate(self, file_name: str, kept_size: int) -> None:
        self.before_step()
        self.held[file_name].steps.append(Cut(kept_size))
        self.sync(file_name)

    def sync(self, file_name: str) -> None:
        self.before_step()
        synced_file = self.held[file_name]
        synced_file.synced_bytes = synced_file.present_bytes()
        synced_file.steps = []

    def rename(self, old_name: str, new_name: str) -> None:
        self.before_step()
        moved_file = self.held[old_name]
        self._set_name(old_name, None)
        self._set_name(new_name, moved_file)

    def remove(self, file_name: str) -> None:
        self.before_step()
        if file_name in self.held:
            self._set_name(file_name, None)

    def sync_folder(self) -> None:
        self.before_step()
        self.synced_names = dict(self.held)
        self.changed_names = {}

    # ---- the power ---------------------------------------------------------------------------------

    def _set_name(self, file_name: str, new_file: File | None) -> None:
        before = self.changed_names.setdefault(file_name, [self.synced_names.get(file_name)])
        before.append(new_file)
        if new_file is None:
            del self.held[file_name]
        else:
            self.held[file_name] = new_file

    def copy(self) -> PowerlessFiles:
        """As after a kill of the process alone: nothing is lost, and nothing more is synced."""
        copies: dict[int, File] = {}

        def copied(held_file: File) -> File:
            return copies.setdefault(id(held_file), File(held_file.synced_bytes, list(held_file.steps)))

        other = PowerlessFiles()
        other.held = {n: copied(f) for n, f in self.held.items()}
        other.synced_names = {n: copied(f) for n, f in self.synced_names.items()}
        other.changed_names = {n: [f and copied(f) for f in files] for n, files in self.changed_names.items()}
        return other

    def survivors(self, chance: random.Random, most: int) -> Iterator[PowerlessFiles]:
        """What may be there after a loss of power: all of it, or a sample where that is more than `most`."""
        name_choices = {n: _distinct(files) for n, files in self.changed_names.items()}
        for name, held_file in self.synced_names.items():
            name_choices.setdefault(name, [held_file])
        files = {id(f): f for choices in name_choices.values() for f in choices if f is not None}
        file_choices = {
            key: sorted({_content(f.synced_bytes, list(filter(None, c))) for c in itertools.product(*_all_outcomes(f))})
            for key, f in files.items()
        }
        axes: list[list[object]] = [[*choices] for choices in name_choices.values()]
        axes += [[*choices] for choices in file_choices.values()]
        for picked in _picks(axes, chance, most):
            names = dict(zip(name_choices, picked[: len(name_choices)], strict=True))
            contents = dict(zip(file_choices, picked[len(name_choices) :], strict=True))
            other = PowerlessFiles()
            for name, kept_file in names.items():
                if kept_file is not None:
                    content = contents[id(kept_file)]
                    assert isinstance(content, bytes)
                    other.held[name] = File(content)
            other.synced_names = dict(other.held)
            yield other


def _all_outcomes(held_file: File) -> list[list[FileStep | None]]:
    return [_outcomes(step) for step in held_file.steps]


def _distinct(files: list[File | None]) -> list[File | None]:
    return list({id(f): f for f in files}.values())


def _picks(axes: list[list[object]], chance: random.Random, most: int) -> Iterator[tuple[object, ...]]:
    count = 1
    for axis in axes:
        count *= len(axis)
    if count <= most:
        yield from itertools.product(*axes)
        return
    for _ in range(most):
        yield tuple(chance.choice(axis) for axis in axes)


class PowerlessDisk(FolderDisk):
    """The product's own folder disk on such files, without its thread and its lock."""

    def __init__(self, files: FileSystem) -> None:
        self._begin(files)

    async def _off_loop(self, call: Callable[[], AnyT]) -> AnyT:
        return call()
