"""The write-ahead log under losses of power and kills at each step of each operation and of recovery (§4.3).

Guards against recovering a state that was never written, or losing one that was acknowledged. Power may be lost between
any two file operations, and each unsynced write, truncation or rename may then be missing, torn or done.
"""

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
MAXIMUM_SURVIVORS = 12
MAXIMUM_LATER_SURVIVORS = 4


def run_synchronously(work: Coroutine[Any, Any, AnyT]) -> AnyT:
    """Runs a coroutine that never suspends, without an event loop."""
    try:
        work.send(None)
    except StopIteration as end:
        result: AnyT = end.value
        return result
    raise AssertionError("the coroutine suspended")


@dataclass(frozen=True)
class LogState:
    """What a log contains: the last term, the snapshot, and the (index, term) of each entry after it."""

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
    """One operation on the log, and the states that may be recovered while it runs; the last one once it is done."""

    name: str
    run: Callable[[Wal, PowerlessFiles], Coroutine[Any, Any, None]]
    states: Callable[[LogState], list[LogState]]
    # What a failed step wrote may still be recovered until the next step truncates it: it was never acknowledged.
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


def save_snapshot(index: int, term: int) -> Step:
    async def run(wal: Wal, files: PowerlessFiles) -> None:
        await wal.save_snapshot(snapshot(index, term))

    def states(before: LogState) -> list[LogState]:
        kept = tuple(e for e in before.entries if e[0] > index)
        return [before, replace(before, snapshot=(index, term), entries=kept)]

    return Step(f"save snapshot {index}", run, states)


def install_snapshot(index: int, term: int, *kept: LogRecord) -> Step:
    async def run(wal: Wal, files: PowerlessFiles) -> None:
        await wal.reset_to_snapshot(snapshot(index, term), [record.entry for record in kept])

    def states(before: LogState) -> list[LogState]:
        entries = tuple((record.entry.index, record.entry.epoch) for record in kept)
        return [before, replace(before, snapshot=(index, term), entries=entries)]

    return Step(f"install snapshot {index}", run, states)


def fail_append(write_limit: int, *records: LogRecord) -> Step:
    """The disk becomes full in the middle of a batch and has room again afterwards."""

    async def run(wal: Wal, files: PowerlessFiles) -> None:
        files.write_limit = write_limit
        try:
            await wal.append(list(records))
        except OSError:
            return
        finally:
            files.write_limit = None
        raise AssertionError("the full disk accepted the batch")

    def states(before: LogState) -> list[LogState]:
        return [*append(*records).states(before), before]

    return Step(f"fail {len(records)}", run, states, is_refused=True)


def mark(term: int) -> LogRecord:
    return LogRecord(mark=Mark(epoch=term, voted_for="x"))


SCENARIOS = {
    "appends, truncations and snapshots of its own": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1), entry(3, 1)),
        append(entry(4, 1), entry(5, 1)),
        append(LogRecord(cut_from=5), entry(5, 2)),
        save_snapshot(3, 1),
        append(mark(2), entry(6, 2)),
        append(entry(7, 2)),
        save_snapshot(6, 2),
        append(entry(8, 2)),
        save_snapshot(8, 2),
    ],
    "a snapshot over entries that conflict": [
        append(mark(1), entry(1, 1)),
        append(*[entry(index, 1) for index in range(2, 5)]),
        append(*[entry(index, 1) for index in range(5, 8)]),
        append(*[entry(index, 1) for index in range(8, 10)]),
        append(mark(9)),
        install_snapshot(6, 9),
        append(entry(7, 9)),
    ],
    "a snapshot just before entries that conflict": [
        append(mark(1), *[entry(index, 1) for index in range(1, 5)]),
        append(*[entry(index, 1) for index in range(5, 7)]),
        append(mark(9)),
        install_snapshot(4, 9),
        append(entry(5, 9)),
    ],
    "a snapshot far ahead, then one with entries kept": [
        append(mark(1), entry(1, 1)),
        install_snapshot(20, 3),
        append(mark(3), entry(21, 3)),
        append(entry(22, 3), entry(23, 3)),
        install_snapshot(21, 3, entry(22, 3), entry(23, 3)),
        append(entry(24, 3)),
        save_snapshot(23, 3),
    ],
    "a full disk, then a snapshot": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1)),
        fail_append(70, entry(3, 1), entry(4, 1)),
        save_snapshot(1, 1),
        append(entry(3, 1)),
        fail_append(10, entry(4, 1)),
        install_snapshot(9, 2),
        append(entry(10, 2)),
    ],
    "a snapshot ahead of what is on disk": [
        append(mark(1), entry(1, 1)),
        append(entry(2, 1)),
        save_snapshot(4, 1),
        append(entry(3, 1), entry(4, 1), entry(5, 1)),
        save_snapshot(5, 1),
        append(entry(6, 1)),
    ],
}


def steps_after_restart(state: LogState) -> list[Step]:
    """What the log does after a restart: it appends, saves a snapshot of that, and installs a snapshot."""
    last_index = state.entries[-1][0] if state.entries else state.snapshot[0]
    return [
        append(mark(20), entry(last_index + 1, 20)),
        save_snapshot(last_index + 1, 20),
        append(entry(last_index + 2, 20), entry(last_index + 3, 20)),
        install_snapshot(last_index + 2, 21),
    ]


def recover(files: PowerlessFiles) -> tuple[Wal, LogState]:
    wal = Wal(PowerlessDisk(files))
    recovered = run_synchronously(wal.recover())
    found = recovered.snapshot
    if found is not None:
        assert found.state == snapshot(found.index, found.epoch).state
    entries = tuple((e.index, e.epoch) for e in recovered.entries)
    return wal, LogState(recovered.mark.epoch, (found.index, found.epoch) if found else (0, 0), entries)


@dataclass(frozen=True)
class Stop:
    """A stop before a file operation: the files, and the states that may be recovered from them."""

    step_number: int
    files: PowerlessFiles
    allowed: list[LogState]


def run_steps(files: PowerlessFiles, steps: list[Step]) -> list[Stop]:
    """Runs all steps; returns the stops before each file operation, and the one after the last."""
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
        run_synchronously(step.run(wal, files))
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
        self.random_source = random.Random(1)

    def test_power_lost_at_each_step(self) -> None:
        """Power is lost again at each step of the recovery that follows."""
        for name, steps in SCENARIOS.items():
            with self.subTest(scenario=name):
                for stop in run_steps(PowerlessFiles(), steps):
                    context = f"{name}: stopped at step {stop.step_number}"
                    for number, survivor in enumerate(stop.files.survivors(self.random_source, MAXIMUM_SURVIVORS)):
                        self.check_broken_recoveries(survivor, stop.allowed, f"{context}, survivor {number}")

    def test_a_kill_and_then_a_loss_of_power(self) -> None:
        """What was recovered after a kill may have been acknowledged, so it must survive a later loss of power."""
        for name, steps in SCENARIOS.items():
            with self.subTest(scenario=name):
                for stop in run_steps(PowerlessFiles(), steps):
                    context = f"{name}: killed at step {stop.step_number}"
                    self.check_broken_recoveries(stop.files.copy(), stop.allowed, context)
                    state = self.check(stop.files, stop.allowed, context)
                    for later in run_steps(stop.files, steps_after_restart(state)):
                        later_context = f"{context}, then without power at step {later.step_number}"
                        self.check_survivors(later.files, later.allowed, later_context)

    def test_a_file_whose_first_append_failed_is_kept_by_the_next(self) -> None:
        """The disk was full when the file was created: the append that succeeds must also sync the folder."""
        files = PowerlessFiles()
        disk = PowerlessDisk(files)
        files.write_limit = 2
        with self.assertRaises(OSError):
            run_synchronously(disk.append("a", b"one"))
        files.write_limit = None
        run_synchronously(disk.truncate("a", 0))
        run_synchronously(disk.append("a", b"two"))
        for survivor in files.survivors(self.random_source, MAXIMUM_SURVIVORS):
            self.assertEqual(PowerlessDisk(survivor).read("a"), b"two")

    def check(self, files: PowerlessFiles, allowed: list[LogState], context: str) -> LogState:
        try:
            _, state = recover(files)
        except Exception as fault:
            raise AssertionError(f"{context}: {fault!r}") from fault
        self.assertIn(state, allowed, context)
        return state

    def check_survivors(self, files: PowerlessFiles, allowed: list[LogState], context: str) -> None:
        for number, survivor in enumerate(files.survivors(self.random_source, MAXIMUM_LATER_SURVIVORS)):
            self.check(survivor, allowed, f"{context}, survivor {number}")

    def check_broken_recoveries(self, files: PowerlessFiles, allowed: list[LogState], context: str) -> None:
        stops: list[PowerlessFiles] = []
        files.before_step = lambda: stops.append(files.copy())
        self.check(files, allowed, context)
        for number, stopped in enumerate(stops):
            self.check_survivors(stopped, allowed, f"{context}, recovery stopped at step {number}")
