"""Measures what one change of the configuration costs three Raft members as the log grows.

Run it as `python -m pearhead.testbed.capacity.change_costs small`.

The production classes RaftMember, Wal and FleetState run in one process, over links that deliver at once and with disks
in memory. Time advances only by the Raft ticks that bring the next heartbeat, so the counts belong to the change alone.
Processor time is the process's own, for all three members together, without the leader's check of the configuration.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import Message

from pearhead.consensus.raft import TICK_MICROS, RaftMember
from pearhead.consensus.wal import Wal
from pearhead.control_plane.fleet_state import FleetState
from pearhead.rpc.wire_pb2 import Command, ElectNow, Item, Member, Members
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import Timer

MEMBER_COUNT = 3
ROUTE_COUNT = 1_400
ROUTE_SOURCE_BYTES = 200
WINDOW_CHANGES = 10
MEASURED_CHANGES = (10, 100, 300, 1_000)
LOOKUP_COUNT = 1_000
KIBIBYTE = 1_024
TURNS_PER_STEP = 10
MAX_TURNS = 20_000


class _StepTimer:
    def __init__(self, due_micros: int, callback: Callable[[], None]) -> None:
        self.due_micros = due_micros
        self.callback = callback

    def cancel(self) -> None:
        self.callback = lambda: None


class StepClock:
    """A clock that advances only by calls of `step`, by one Raft tick each."""

    def __init__(self) -> None:
        self.now_micros = 0
        self.timers: list[_StepTimer] = []

    def now(self) -> int:
        """The present time in microseconds."""
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls back in the first step that is `delay_micros` or more from now."""
        timer = _StepTimer(self.now_micros + delay_micros, callback)
        self.timers.append(timer)
        return timer

    def step(self) -> None:
        """Advances by one Raft tick and runs the timers that are due."""
        self.now_micros += TICK_MICROS
        due = [timer for timer in self.timers if timer.due_micros <= self.now_micros]
        self.timers = [timer for timer in self.timers if timer.due_micros > self.now_micros]
        for timer in due:
            timer.callback()


class CountingDisk:
    """A disk in memory that counts the bytes and the synchronous writes, and holds the files."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.written_bytes = 0
        self.sync_count = 0

    def names(self) -> list[str]:
        """Names of all files, sorted."""
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        """The content of a file. KeyError if there is none."""
        return bytes(self.files[file_name])

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """Appends to a file, which is created if there is none."""
        self.files.setdefault(file_name, bytearray()).extend(content_bytes)
        self._count_write(content_bytes)

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """Replaces the whole content of a file."""
        self.files[file_name] = bytearray(content_bytes)
        self._count_write(content_bytes)

    async def remove(self, file_name: str) -> None:
        """Removes a file, if there is one."""
        self.files.pop(file_name, None)
        self._count_write(b"")

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """Cuts a file to its first `kept_size` bytes. KeyError if there is none."""
        del self.files[file_name][kept_size:]
        self._count_write(b"")

    def disk_bytes(self) -> int:
        """Size of all files in bytes."""
        return sum(map(len, self.files.values()))

    def _count_write(self, content_bytes: bytes) -> None:
        self.written_bytes += len(content_bytes)
        self.sync_count += 1


class ThreeMemberGroup:
    """A Raft group of three members in one process; the first one leads."""

    def __init__(self) -> None:
        self.task_group = BackgroundTaskGroup("change_costs")
        self.clock = StepClock()
        self.disks = [CountingDisk() for _ in range(MEMBER_COUNT)]
        self.fleet_states = [FleetState() for _ in range(MEMBER_COUNT)]
        self.sent_bytes = 0
        self.sent_count = 0
        self.members = [self._build_member(number) for number in range(MEMBER_COUNT)]

    def _build_member(self, number: int) -> RaftMember:
        def send(address: str, body_name: str, body: Message) -> None:
            body_bytes = body.SerializeToString()
            self.sent_bytes += len(body_bytes)
            self.sent_count += 1
            handler = getattr(self.members[int(address)], f"take_{body_name}")
            copied = type(body).FromString(body_bytes)
            asyncio.get_running_loop().call_soon(handler, str(number), str(number), copied)

        def fail(reason: str) -> None:
            raise RuntimeError(reason)

        wal = Wal(self.disks[number])
        fleet, rng = self.fleet_states[number], random.Random(number)
        return RaftMember(str(number), wal, fleet, send, self.clock, rng, self.task_group, fail)

    @property
    def leader(self) -> RaftMember:
        """The member that was elected at the start."""
        return self.members[0]

    async def start(self) -> None:
        """Bootstraps the first member, elects it, and adds the other two."""
        for member in self.members:
            await member.recover()
        await self.leader.bootstrap("0")
        for member in self.members:
            member.start()
        self.leader.take_elect_now("0", "0", ElectNow(epoch=self.leader.term))
        await self.wait_until(self.leader.is_settled)
        for count in range(2, MEMBER_COUNT + 1):
            changed = [Member(identity=str(n), address=str(n), voter=True) for n in range(count)]
            await self.leader.change_members(Members(member=changed, wanted=count))
        await self.wait_until(self.is_caught_up)

    async def wait_until(self, is_reached: Callable[[], bool]) -> None:
        """Lets pending callbacks run, and steps the clock every `TURNS_PER_STEP` turns, until the condition holds.

        RuntimeError if it does not hold within `MAX_TURNS` turns of the event loop.
        """
        for turn in range(MAX_TURNS):
            if is_reached():
                return
            if turn % TURNS_PER_STEP == TURNS_PER_STEP - 1:
                self.clock.step()
            await asyncio.sleep(0)
        raise RuntimeError("the members did not reach the expected state")

    def is_caught_up(self) -> bool:
        """Whether all members have applied the same entries."""
        return len({member.applied_index for member in self.members}) == 1

    async def change(self, command: Command) -> None:
        """Proposes one change and waits until all three members have applied it.

        RuntimeError if its outcome is not `done`.
        """
        command.change.checked_revision = self.fleet_states[0].description_revision
        outcome = await self.leader.propose(command.SerializeToString())
        status = outcome.unwrap()[1]["status"]
        if status != "done":
            raise RuntimeError(f"a change ended with status {status}")
        await self.wait_until(self.is_caught_up)

    def stop(self) -> None:
        """Stops the background tasks of all members."""
        self.task_group.stop()


def _route_item(number: int, serial: int) -> Item:
    shown = {
        "name": f"route-{number}",
        "host": f"host-{number}.example",
        "prefix": f"/service/{number}/",
        "splits": [{"service": "s", "share": 1}],
        "deadline_micros": 5_000_000 + serial,
    }
    source = f"# of change {serial} ".ljust(ROUTE_SOURCE_BYTES, "x")
    return Item(name=f"route-{number}", shown=json.dumps(shown).encode(), source=source.encode())


def _new_change_command(number: int) -> Command:
    command = Command()
    command.change.base_number, command.change.number = number - 1, number
    return command


def small_change(number: int) -> Command:
    """A whole configuration of a few hundred bytes."""
    command = _new_change_command(number)
    document = {"services": [{"name": "s", "role": "model", "lines": ["m"]}], "limits": {"body_bytes": number}}
    command.change.document = json.dumps(document).encode()
    return command


def whole_change(number: int) -> Command:
    """A whole configuration with 1,400 routes, each of them different from what it was in the change before."""
    command = small_change(number)
    command.change.route.extend(_route_item(n, number) for n in range(ROUTE_COUNT))
    return command


def one_route_change(number: int) -> Command:
    """A change of one route of 1,400 by its name; the first change brings all of them."""
    if number == 1:
        return whole_change(number)
    command = _new_change_command(number)
    command.change.by_name = True
    command.change.document = b"{}"
    command.change.route.append(_route_item(number % ROUTE_COUNT, number))
    return command


CHANGES_BY_KIND = {"small": small_change, "one-route": one_route_change, "whole": whole_change}


@dataclass(frozen=True)
class ChangeCosts:
    """The costs of a change, as means over the last `WINDOW_CHANGES` changes.

    `disk_bytes`, `entry_count` and the snapshot are those of the leader after the last change; `lookup_micros` is one
    look-up of the members at the leader, and `peak_kibibytes` the peak memory of the whole process.
    """

    number: int
    processor_micros: float
    sent_bytes: float
    written_bytes: float
    disk_bytes: int
    entry_count: int
    snapshot_bytes: int
    snapshot_micros: float
    lookup_micros: float
    peak_kibibytes: int


def _processor_micros(work: Callable[[], Any]) -> float:
    start = time.process_time_ns()
    work()
    return (time.process_time_ns() - start) / 1_000


def _look_up(member: RaftMember) -> None:
    for _ in range(LOOKUP_COUNT):
        member.members()


async def measure(kind: str, last_number: int) -> list[ChangeCosts]:
    """Makes changes up to the last number and measures the last few before each number in `MEASURED_CHANGES`."""
    group = ThreeMemberGroup()
    await group.start()
    rows = []
    start = (0, 0, 0)
    for number in range(1, last_number + 1):
        if any(number == at - WINDOW_CHANGES + 1 for at in MEASURED_CHANGES):
            start = (time.process_time_ns(), group.sent_bytes, sum(d.written_bytes for d in group.disks))
        await group.change(CHANGES_BY_KIND[kind](number))
        if number in MEASURED_CHANGES:
            end = (time.process_time_ns(), group.sent_bytes, sum(d.written_bytes for d in group.disks))
            nanos, sent, written = ((b - a) / WINDOW_CHANGES for a, b in zip(start, end, strict=True))
            rows.append(_collect_costs(group, number, nanos / 1_000, sent, written))
    group.stop()
    return rows


def _collect_costs(
    group: ThreeMemberGroup, number: int, processor_micros: float, sent: float, written: float
) -> ChangeCosts:
    leader, fleet = group.leader, group.fleet_states[0]
    return ChangeCosts(
        number=number,
        processor_micros=processor_micros,
        sent_bytes=sent,
        written_bytes=written,
        disk_bytes=group.disks[0].disk_bytes(),
        entry_count=len(leader.log.entries),
        snapshot_bytes=len(fleet.build_snapshot()),
        snapshot_micros=_processor_micros(fleet.build_snapshot),
        lookup_micros=_processor_micros(lambda: _look_up(leader)) / LOOKUP_COUNT,
        peak_kibibytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    )


def table(kind: str, rows: list[ChangeCosts]) -> str:
    """The measured rows as a Markdown table."""
    lines = [
        f"| {kind}, change | processor, ms | told, kB | written, kB | held on disk, kB | entries held "
        "| snapshot, kB | snapshot, ms | look-up, µs | peak memory, MB |",
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for row in rows:
        lines.append(
            f"| {row.number:,} | {row.processor_micros / 1_000:.2f} | {row.sent_bytes / 1_000:.1f} "
            f"| {row.written_bytes / 1_000:.1f} | {row.disk_bytes / 1_000:,.0f} | {row.entry_count:,} "
            f"| {row.snapshot_bytes / 1_000:,.0f} | {row.snapshot_micros / 1_000:.2f} "
            f"| {row.lookup_micros:.2f} | {row.peak_kibibytes / KIBIBYTE:.0f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Measures one kind of change: `small`, `one-route` or `whole`, up to the 1,000th or the number given."""
    kind = sys.argv[1] if len(sys.argv) > 1 else "small"
    last_number = int(sys.argv[2]) if len(sys.argv) > 2 else MEASURED_CHANGES[-1]
    print(table(kind, asyncio.run(measure(kind, last_number))))


if __name__ == "__main__":
    main()
