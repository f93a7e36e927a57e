"""The log through losses of power at each step of each of its operations, and through kills before them (§4.3)."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, TypeVar
from unittest import mock

from pearhead.consensus import wal as wal_module
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import DigestFile, Entry, LogRecord, Mark
from tests.powerless_files import PowerlessDisk, PowerlessFiles

AnyT = TypeVar("AnyT")
SMALL_SEGMENT_BYTES = 150
MOST_SURVIVORS = 12
MOST_LATER_SURVIVORS = 4


def run_now(work: Coroutine[Any, Any, AnyT]) -> AnyT:
    """Runs what never waits, without a loop."""
    try:
        work.send(None)
    except StopIteration as end:
        result: AnyT = end.value
        return result
    raise AssertionError("it waits")


@dataclass(frozen=True)
class LogState:
    """What a log means: the last mark, the snapshot, and the (index, term) of each entry after it."""

    term: int = 0
    snapshot: tuple[int, int] = (0, 0)
    entries: tuple[tuple[int, int], ...] = ()

    def with_record(self, record: LogRecord) -> LogState:
        if record.HasField("mark"):
            return replace(self, term=record.mark.epoch)
        if record.HasField("entry"):
            if record.entry.index <= self.snapshot[0]:
                return self
            return replace(self, entries=(*self.entries, (record.entry.index, record.entry.epoch)))
        return replace(self, entries=tuple(e for e in self.entries if e[0] < record.cut_from))


@dataclass(frozen=True)
class Step:
    """One operation on the log, and the states that may stand while it is under way; the last one when it is done."""

    name: str
    run: Callable[[Wal, PowerlessFiles], Coroutine[Any, Any, None]]
    states: Callable[[LogState], list[LogState]]
    # What it was refused may still be found until the next step cuts it off: nobody was told of it.
    is_refused: bool = False


def entry(index: int, term: int) -> LogRecord:
    return LogRecord(entry=Entry(index=index, epoch=term, kind=1, payload=b"p" * 20))


def snapshot(index: int, term: int) -> DigestFile:
    return DigestFile(index=index, epoch=term, state=b"state of %d" % index)


def append(*records: LogRecord) -> Step:
    async def run(wal: Wal, files: PowerlessFiles) -> None:
        await wal.append(list(records))

    def states(before: LogState) -> list[LogState]:
        found = [before]
        for record in records:
            found.append(found[-1].with_record(record))
        return found

    return Step(f"append {len(records)}", run, states)


def keep(index: int, term: int) -> Step:
    async def run(wal: Wal, files: PowerlessFiles) -> None:
        await wal.save_snapshot(snapshot(index, term))

    def states(before: LogState) -> list[LogState]:
        kept = tuple(e for e in before.entries if e[0] > index)
        return [before, replace(before, snapshot=(index, term), entries=kept)]

    return Step(f"keep {index}", run, states)


def take_over(index: int, term: int, *kept: LogRecord) -> Step:
    async def run(wal: Wal, files: PowerlessFiles) -> None:
        await wal.reset_to_snapshot(snapshot(index, term), [record.entry for record in kept])

    def states(before: LogState) -> list[LogState]:
        entries = tuple((record.entry.index, record.entry.epoch) for record in kept)
        return [before, replace(before, snapshot=(index, term), entries=entries)]

    return Step(f"take over {index}", run, states)


def fail_append(room: int, *records: LogRecord) -> Step:
    """The disk is full in the middle of a batch, and has room again afterwards."""

    async def run(wal: Wal, files: PowerlessFiles) -> None:
        files.room = room
        try:
            await wal.append(list(records))
        except OSError:
            return
        finally:
            files.room = None
        raise AssertionError("the disk took it")

    def states(before: LogState) -> list[LogState]:
        return [*append(*records).states(before), before]

    return Step(f"fail {len(records)}", run, states, is_refused=True)


def mark(term: int) -> LogRecord:
    return LogRecord(mark=Mark(epoch=term, voted_for="x"))


COURSES = {
    "a life of its own": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1), entry(3, 1)),
        append(entry(4, 1), entry(5, 1)),
        append(LogRecord(cut_from=5), entry(5, 2)),
        keep(3, 1),
        append(mark(2), entry(6, 2)),
        append(entry(7, 2)),
        keep(6, 2),
        append(entry(8, 2)),
        keep(8, 2),
    ],
    "a snapshot over entries that conflict": [
        append(mark(1), entry(1, 1)),
        append(*[entry(index, 1) for index in range(2, 5)]),
        append(*[entry(index, 1) for index in range(5, 8)]),
        append(*[entry(index, 1) for index in range(8, 10)]),
        append(mark(9)),
        take_over(6, 9),
        append(entry(7, 9)),
    ],
    "a snapshot just before entries that conflict": [
        append(mark(1), *[entry(index, 1) for index in range(1, 5)]),
        append(*[entry(index, 1) for index in range(5, 7)]),
        append(mark(9)),
        take_over(4, 9),
        append(entry(5, 9)),
    ],
    "a snapshot far ahead, then one with entries kept": [
        append(mark(1), entry(1, 1)),
        take_over(20, 3),
        append(mark(3), entry(21, 3)),
        append(entry(22, 3), entry(23, 3)),
        take_over(21, 3, entry(22, 3), entry(23, 3)),
        append(entry(24, 3)),
        keep(23, 3),
    ],
    "a full disk, then a snapshot": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1)),
        fail_append(70, entry(3, 1), entry(4, 1)),
        keep(1, 1),
        append(entry(3, 1)),
        fail_append(10, entry(4, 1)),
        take_over(9, 2),
        append(entry(10, 2)),
    ],
    "a snapshot ahead of what is on disk": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1)),
        keep(4, 1),
        append(entry(3, 1), entry(4, 1), entry(5, 1)),
        keep(5, 1),
        append(entry(6, 1)),
    ],
}


def later_steps(state: LogState) -> list[Step]:
    """What the next life does: it appends, keeps a snapshot of that, and takes one over."""
    last_index = state.entries[-1][0] if state.entries else state.snapshot[0]
    return [
        append(mark(20), entry(last_index + 1, 20)),
        keep(last_index + 1, 20),
        append(entry(last_index + 2, 20), entry(last_index + 3, 20)),
        take_over(last_index + 2, 21),
    ]


def recover(files: PowerlessFiles) -> tuple[Wal, LogState]:
    wal = Wal(PowerlessDisk(files))
    recovered = run_now(wal.recover())
    found = recovered.digest
    if found is not None:
        assert found.state == snapshot(found.index, found.epoch).state
    entries = tuple((e.index, e.epoch) for e in recovered.entries)
    return wal, LogState(recovered.mark.epoch, (found.index, found.epoch) if found else (0, 0), entries)


@dataclass(frozen=True)
class Stop:
    """A machine that stopped before a step: its files, and the states that may be found in them."""

    step_number: int
    files: PowerlessFiles
    allowed: list[LogState]


def play(files: PowerlessFiles, steps: list[Step]) -> list[Stop]:
    """Plays all steps; gives the stops before each step of the files, and the one after the last."""
    wal, state = recover(files)
    stops: list[Stop] = []
    allowed = [state]

    def stop_here() -> None:
        stops.append(Stop(len(stops), files.copy(), allowed))

    files.before_step = stop_here
    refused: list[LogState] = []
    for step in steps:
        step_states = step.states(state)
        allowed = refused + step_states
        run_now(step.run(wal, files))
        state = step_states[-1]
        refused = step_states if step.is_refused else []
    allowed = [state]
    stop_here()
    return stops


class WalPowerLossTest(unittest.TestCase):
    def setUp(self) -> None:
        patched = mock.patch.object(wal_module, "MAXIMUM_SEGMENT_BYTES", SMALL_SEGMENT_BYTES)
        patched.start()
        self.addCleanup(patched.stop)
        self.chance = random.Random(1)

    def test_power_lost_at_each_step(self) -> None:
        """And lost again at each step of the recovery after it."""
        for name, steps in COURSES.items():
            with self.subTest(course=name):
                for stop in play(PowerlessFiles(), steps):
                    where = f"{name}: stopped at step {stop.step_number}"
                    for number, survivor in enumerate(stop.files.survivors(self.chance, MOST_SURVIVORS)):
                        self.check_broken_recoveries(survivor, stop.allowed, f"{where}, survivor {number}")

    def test_a_kill_and_then_a_loss_of_power(self) -> None:
        """What a life found after a kill it may have told others: it must outlast a loss of power after that."""
        for name, steps in COURSES.items():
            with self.subTest(course=name):
                for stop in play(PowerlessFiles(), steps):
                    where = f"{name}: killed at step {stop.step_number}"
                    self.check_broken_recoveries(stop.files.copy(), stop.allowed, where)
                    state = self.check(stop.files, stop.allowed, where)
                    for later in play(stop.files, later_steps(state)):
                        where_later = f"{where}, then without power at step {later.step_number}"
                        self.check_survivors(later.files, later.allowed, where_later)

    def test_a_file_whose_first_append_failed_is_kept_by_the_next(self) -> None:
        """The disk was full as the file was made: its name must be synced by the append that succeeds."""
        files = PowerlessFiles()
        disk = PowerlessDisk(files)
        files.room = 2
        with self.assertRaises(OSError):
            run_now(disk.append("a", b"one"))
        files.room = None
        run_now(disk.truncate("a", 0))
        run_now(disk.append("a", b"two"))
        for survivor in files.survivors(self.chance, MOST_SURVIVORS):
            self.assertEqual(PowerlessDisk(survivor).read("a"), b"two")

    def check(self, files: PowerlessFiles, allowed: list[LogState], where: str) -> LogState:
        try:
            _, state = recover(files)
        except Exception as fault:
            raise AssertionError(f"{where}: {fault!r}") from fault
        self.assertIn(state, allowed, where)
        return state

    def check_survivors(self, files: PowerlessFiles, allowed: list[LogState], where: str) -> None:
        for number, survivor in enumerate(files.survivors(self.chance, MOST_LATER_SURVIVORS)):
            self.check(survivor, allowed, f"{where}, survivor {number}")

    def check_broken_recoveries(self, files: PowerlessFiles, allowed: list[LogState], where: str) -> None:
        stops: list[PowerlessFiles] = []
        files.before_step = lambda: stops.append(files.copy())
        self.check(files, allowed, where)
        for number, stopped in enumerate(stops):
            self.check_survivors(stopped, allowed, f"{where}, recovery stopped at step {number}")
