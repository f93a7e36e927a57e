"""A simulated folder that loses power, with every state of its names and files that is allowed afterwards.

A file holds what its last sync covered; each later write or truncation may be present, missing or torn. Each name that
was created, changed or removed since the folder was last synced may be in any of its states since then, independently
of the others.
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
class Truncation:
    size: int


FileStep = Write | Truncation


@dataclass
class SimulatedFile:
    synced_bytes: bytes = b""
    steps: list[FileStep] = field(default_factory=list)

    def present_bytes(self) -> bytes:
        return _content(self.synced_bytes, self.steps)


def _content(start_bytes: bytes, steps: list[FileStep]) -> bytes:
    content = bytearray(start_bytes)
    for step in steps:
        if isinstance(step, Truncation):
            del content[step.size :]
            continue
        if len(content) < step.offset:
            content += bytes(step.offset - len(content))
        content[step.offset : step.offset + len(step.content_bytes)] = step.content_bytes
    return bytes(content)


def _outcomes(step: FileStep) -> list[FileStep | None]:
    """What may be left of a step: nothing, a part torn in the middle or before the last byte, or all of it."""
    if isinstance(step, Truncation):
        return [None, step]
    sizes = {len(step.content_bytes) // 2, len(step.content_bytes) - 1}
    torn: list[FileStep | None] = [Write(step.offset, step.content_bytes[:size]) for size in sorted(sizes) if size > 0]
    return [None, *torn, step]


class PowerlessFiles:
    """A `FileSystem` in memory. `before_step` is called before each operation, so a test can copy the files there."""

    def __init__(self) -> None:
        self.files: dict[str, SimulatedFile] = {}
        self.synced_names: dict[str, SimulatedFile] = {}
        self.changed_names: dict[str, list[SimulatedFile | None]] = {}
        self.before_step: Callable[[], None] = lambda: None
        self.write_limit: int | None = None

    # ---- FileSystem -------------------------------------------------------------------------------

    def names(self) -> list[str]:
        return sorted(self.files)

    def exists(self, file_name: str) -> bool:
        return file_name in self.files

    def read(self, file_name: str) -> bytes:
        return self.files[file_name].present_bytes()

    def write(self, file_name: str, content_bytes: bytes, at_end: bool) -> None:
        if file_name not in self.files:
            self.before_step()
            self._set_name(file_name, SimulatedFile())
        written_file = self.files[file_name]
        if not at_end and written_file.present_bytes():
            self.before_step()
            written_file.steps.append(Truncation(0))
        self.before_step()
        taken_bytes = content_bytes if self.write_limit is None else content_bytes[: self.write_limit]
        written_file.steps.append(Write(len(written_file.present_bytes()), taken_bytes))
        if len(taken_bytes) < len(content_bytes):
            raise OSError(errno.ENOSPC, "no space left")
        self.sync(file_name)

    def truncate(self, file_name: str, kept_size: int) -> None:
        self.before_step()
        self.files[file_name].steps.append(Truncation(kept_size))
        self.sync(file_name)

    def sync(self, file_name: str) -> None:
        self.before_step()
        synced_file = self.files[file_name]
        synced_file.synced_bytes = synced_file.present_bytes()
        synced_file.steps = []

    def rename(self, old_name: str, new_name: str) -> None:
        self.before_step()
        moved_file = self.files[old_name]
        self._set_name(old_name, None)
        self._set_name(new_name, moved_file)

    def remove(self, file_name: str) -> None:
        self.before_step()
        if file_name in self.files:
            self._set_name(file_name, None)

    def sync_folder(self) -> None:
        self.before_step()
        self.synced_names = dict(self.files)
        self.changed_names = {}

    # ---- loss of power -----------------------------------------------------------------------------

    def _set_name(self, file_name: str, new_file: SimulatedFile | None) -> None:
        before = self.changed_names.setdefault(file_name, [self.synced_names.get(file_name)])
        before.append(new_file)
        if new_file is None:
            del self.files[file_name]
        else:
            self.files[file_name] = new_file

    def copy(self) -> PowerlessFiles:
        """The files after a kill of the process alone: nothing is lost, and nothing more is synced."""
        copies: dict[int, SimulatedFile] = {}

        def copied(held_file: SimulatedFile) -> SimulatedFile:
            return copies.setdefault(id(held_file), SimulatedFile(held_file.synced_bytes, list(held_file.steps)))

        other = PowerlessFiles()
        other.files = {n: copied(f) for n, f in self.files.items()}
        other.synced_names = {n: copied(f) for n, f in self.synced_names.items()}
        other.changed_names = {n: [f and copied(f) for f in files] for n, files in self.changed_names.items()}
        return other

    def survivors(self, random_source: random.Random, maximum_count: int) -> Iterator[PowerlessFiles]:
        """The possible states after a loss of power; a random sample if there are more than `maximum_count`."""
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
        for chosen in _choose_combinations(axes, random_source, maximum_count):
            names = dict(zip(name_choices, chosen[: len(name_choices)], strict=True))
            contents = dict(zip(file_choices, chosen[len(name_choices) :], strict=True))
            other = PowerlessFiles()
            for name, kept_file in names.items():
                if kept_file is not None:
                    content = contents[id(kept_file)]
                    assert isinstance(content, bytes)
                    other.files[name] = SimulatedFile(content)
            other.synced_names = dict(other.files)
            yield other


def _all_outcomes(held_file: SimulatedFile) -> list[list[FileStep | None]]:
    return [_outcomes(step) for step in held_file.steps]


def _distinct(files: list[SimulatedFile | None]) -> list[SimulatedFile | None]:
    return list({id(f): f for f in files}.values())


def _choose_combinations(
    axes: list[list[object]], random_source: random.Random, maximum_count: int
) -> Iterator[tuple[object, ...]]:
    count = 1
    for axis in axes:
        count *= len(axis)
    if count <= maximum_count:
        yield from itertools.product(*axes)
        return
    for _ in range(maximum_count):
        yield tuple(random_source.choice(axis) for axis in axes)


class PowerlessDisk(FolderDisk):
    """The product's FolderDisk on simulated files, without its thread and its lock."""

    def __init__(self, files: FileSystem) -> None:
        self._attach_file_system(files)

    async def _run_in_thread(self, call: Callable[[], AnyT]) -> AnyT:
        return call()
