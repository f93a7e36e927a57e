"""What one change of the configuration costs three members as the log grows: `python -m ...change_costs small`.

The product's own RaftMember, Wal and FleetState run in one process over links that deliver at once and disks in memory.
Time stands, but for the ticks to the next heartbeat, so what is counted is the change's own. Processor time is the
process's own, for all three members together, the leader's check of the configuration left out.
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
MEASURED_AT = (10, 100, 300, 1_000)
LOOKUP_COUNT = 1_000
KIBIBYTE = 1_024
TURNS_A_STEP = 10
MOST_TURNS = 20_000


class _StepTimer:
    def __init__(self, due_micros: int, callback: Callable[[], None]) -> None:
        self.due_micros = due_micros
        self.callback = callback

    def cancel(self) -> None:
        self.callback = lambda: None


class StepClock:
    """A clock that moves only when it is told to: by as much as brings the next heartbeat."""

    def __init__(self) -> None:
        self.now_micros = 0
        self.timers: list[_StepTimer] = []

    def now(self) -> int:
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        timer = _StepTimer(self.now_micros + delay_micros, callback)
        self.timers.append(timer)
        return timer

    def step(self) -> None:
        self.now_micros += TICK_MICROS
        due = [timer for timer in self.timers if timer.due_micros <= self.now_micros]
        self.timers = [timer for timer in self.timers if timer.due_micros > self.now_micros]
        for timer in due:
            timer.callback()


class CountingDisk:
    """A disk in memory that counts what is written and knows what it holds."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.written_bytes = 0
        self.sync_count = 0

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        return bytes(self.files[file_name])

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        self.files.setdefault(file_name, bytearray()).extend(content_bytes)
        self._note(content_bytes)

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        self.files[file_name] = bytearray(content_bytes)
        self._note(content_bytes)

    async def remove(self, file_name: str) -> None:
        self.files.pop(file_name, None)
        self._note(b"")

    async def truncate(self, file_name: str, kept_size: int) -> None:
        del self.files[file_name][kept_size:]
        self._note(b"")

    def held_bytes(self) -> int:
        return sum(map(len, self.files.values()))

    def _note(self, content_bytes: bytes) -> None:
        self.written_bytes += len(content_bytes)
        self.sync_count += 1


class Trio:
    """Three members that agree, the first of them leading."""

    def __init__(self) -> None:
        self.task_group = BackgroundTaskGroup("change_costs")
        self.clock = StepClock()
        self.disks = [CountingDisk() for _ in range(MEMBER_COUNT)]
        self.fleets = [FleetState() for _ in range(MEMBER_COUNT)]
        self.told_bytes = 0
        self.told_count = 0
        self.members = [self._build_member(number) for number in range(MEMBER_COUNT)]

    def _build_member(self, number: int) -> RaftMember:
        def tell(address: str, body_name: str, body: Message) -> None:
            body_bytes = body.SerializeToString()
            self.told_bytes += len(body_bytes)
            self.told_count += 1
            take = getattr(self.members[int(address)], f"take_{body_name}")
            copied = type(body).FromString(body_bytes)
            asyncio.get_running_loop().call_soon(take, str(number), str(number), copied)

        def fail(reason: str) -> None:
            raise RuntimeError(reason)

        wal = Wal(self.disks[number])
        fleet, chance = self.fleets[number], random.Random(number)
        return RaftMember(str(number), wal, fleet, tell, self.clock, chance, self.task_group, fail)

    @property
    def leader(self) -> RaftMember:
        return self.members[0]

    async def start(self) -> None:
        for member in self.members:
            await member.recover()
        await self.leader.bootstrap("0")
        for member in self.members:
            member.start()
        self.leader.take_elect_now("0", "0", ElectNow(epoch=self.leader.term))
        await self.until(self.leader.settled)
        for count in range(2, MEMBER_COUNT + 1):
            changed = [Member(identity=str(n), address=str(n), voter=True) for n in range(count)]
            await self.leader.change_members(Members(member=changed, wanted=count))
        await self.until(self.is_level)

    async def until(self, is_reached: Callable[[], bool]) -> None:
        """Lets all that can happen at once happen, and then the clock step, until it is so."""
        for turn in range(MOST_TURNS):
            if is_reached():
                return
            if turn % TURNS_A_STEP == TURNS_A_STEP - 1:
                self.clock.step()
            await asyncio.sleep(0)
        raise RuntimeError("the members don't come there")

    def is_level(self) -> bool:
        return len({member.applied_index for member in self.members}) == 1

    async def change(self, command: Command) -> None:
        """One change, to its end at all three."""
        command.change.checked_revision = self.fleets[0].description_revision
        outcome = await self.leader.propose(command.SerializeToString())
        status = outcome.unwrap()[1]["status"]
        if status != "done":
            raise RuntimeError(f"a change came out as {status}")
        await self.until(self.is_level)

    def stop(self) -> None:
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


def _begin_change(number: int) -> Command:
    command = Command()
    command.change.base_number, command.change.number = number - 1, number
    return command


def small_change(number: int) -> Command:
    """A whole configuration of a few hundred bytes."""
    command = _begin_change(number)
    document = {"services": [{"name": "s", "role": "model", "lines": ["m"]}], "limits": {"body_bytes": number}}
    command.change.document = json.dumps(document).encode()
    return command


def whole_change(number: int) -> Command:
    """A whole configuration with 1,400 routes, each of them another than before."""
    command = small_change(number)
    command.change.route.extend(_route_item(n, number) for n in range(ROUTE_COUNT))
    return command


def one_route_change(number: int) -> Command:
    """One route of 1,400, by its name; the first change brings them all."""
    if number == 1:
        return whole_change(number)
    command = _begin_change(number)
    command.change.by_name = True
    command.change.document = b"{}"
    command.change.route.append(_route_item(number % ROUTE_COUNT, number))
    return command


KINDS = {"small": small_change, "one-route": one_route_change, "whole": whole_change}


@dataclass(frozen=True)
class Costs:
    """The costs of a change, as a mean over the last few; what is held, per member."""

    number: int
    processor_micros: float
    told_bytes: float
    written_bytes: float
    held_bytes: int
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


async def measure(kind: str, last_number: int) -> list[Costs]:
    """Plays changes up to the last one and measures the few before each number in `MEASURED_AT`."""
    trio = Trio()
    await trio.start()
    found = []
    start = (0, 0, 0)
    for number in range(1, last_number + 1):
        if any(number == at - WINDOW_CHANGES + 1 for at in MEASURED_AT):
            start = (time.process_time_ns(), trio.told_bytes, sum(d.written_bytes for d in trio.disks))
        await trio.change(KINDS[kind](number))
        if number in MEASURED_AT:
            end = (time.process_time_ns(), trio.told_bytes, sum(d.written_bytes for d in trio.disks))
            nanos, told, written = ((b - a) / WINDOW_CHANGES for a, b in zip(start, end, strict=True))
            found.append(_costs(trio, number, nanos / 1_000, told, written))
    trio.stop()
    return found


def _costs(trio: Trio, number: int, processor_micros: float, told: float, written: float) -> Costs:
    leader, fleet = trio.leader, trio.fleets[0]
    return Costs(
        number=number,
        processor_micros=processor_micros,
        told_bytes=told,
        written_bytes=written,
        held_bytes=trio.disks[0].held_bytes(),
        entry_count=len(leader.log.entries),
        snapshot_bytes=len(fleet.take_digest()),
        snapshot_micros=_processor_micros(fleet.take_digest),
        lookup_micros=_processor_micros(lambda: _look_up(leader)) / LOOKUP_COUNT,
        peak_kibibytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    )


def table(kind: str, found: list[Costs]) -> str:
    """The measured rows as a table for a page."""
    lines = [
        f"| {kind}, change | processor, ms | told, kB | written, kB | held on disk, kB | entries held "
        "| snapshot, kB | snapshot, ms | look-up, µs | peak memory, MB |",
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for row in found:
        lines.append(
            f"| {row.number:,} | {row.processor_micros / 1_000:.2f} | {row.told_bytes / 1_000:.1f} "
            f"| {row.written_bytes / 1_000:.1f} | {row.held_bytes / 1_000:,.0f} | {row.entry_count:,} "
            f"| {row.snapshot_bytes / 1_000:,.0f} | {row.snapshot_micros / 1_000:.2f} "
            f"| {row.lookup_micros:.2f} | {row.peak_kibibytes / KIBIBYTE:.0f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Measures one kind of change: `small`, `one-route` or `whole`, up to the 1,000th or the number given."""
    kind = sys.argv[1] if len(sys.argv) > 1 else "small"
    last_number = int(sys.argv[2]) if len(sys.argv) > 2 else MEASURED_AT[-1]
    print(table(kind, asyncio.run(measure(kind, last_number))))


if __name__ == "__main__":
    main()
