"""Simulates operators that change and read the description concurrently, at any core (§9.5).

Each attempt and each read is recorded in the run's history.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from result import Err

from pearhead.rpc.wire_pb2 import Command, CommandResult
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import EXTERNAL_HOST, SimFleet
from pearhead.testbed.simulator.history import (
    DEFINITE_REFUSALS,
    DONE,
    NO_ANSWER,
    Change,
    ChangeAttempt,
    Read,
)
from pearhead.testbed.simulator.world import pause

REQUEST_TIMEOUT_MICROS = SECOND
RETRY_PAUSE_MICROS = 100 * MILLI
READ_PAUSE_MICROS = (150 * MILLI, 400 * MILLI)
READER_COUNT = 1
MARKER_TENANT_PREFIX = "mark-"


def build_command(change: Change) -> Command:
    """Builds the command for a change; that of a marked change also adds a tenant named after its content."""
    command = Command()
    command.change.base_number, command.change.number = change.base, change.number
    document: dict[str, Any] = {"source": change.content}
    if change.is_marked:
        document["put"] = {"tenants": [{"name": MARKER_TENANT_PREFIX + change.content, "keyHashes": []}]}
    command.change.document = json.dumps(document).encode()
    command.change.by_name = True
    return command


class Operators:
    """Several operators of one fleet.

    Attributes:
        highest_number: The highest change number that an acknowledgement or refresh_number() has shown.
        content_number: Number of contents handed out.
    """

    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.history = fleet.ledger.history
        self.highest_number = 0
        self.content_number = 0

    def next_content(self) -> str:
        """Returns a content that no other change has."""
        self.content_number += 1
        return f"c{self.content_number}"

    async def send_change(
        self, change: Change, core_name: str, request_timeout_micros: int = REQUEST_TIMEOUT_MICROS
    ) -> ChangeAttempt:
        """Sends a change once, to one core, and records the attempt.

        After a timeout the status stays NO_ANSWER, and the change may still be applied later.
        """
        attempt = ChangeAttempt(change, core_name, self.world.now())
        self.history.change_attempts.append(attempt)

        async def work() -> CommandResult:
            return await self.fleet.cores[core_name].execute(build_command(change))

        answer = await self.world.run_on_machine(
            self.world.machine(core_name), EXTERNAL_HOST, work, request_timeout_micros
        )
        attempt.end_micros = self.world.now()
        if not isinstance(answer, Err):
            result: CommandResult = answer.ok_value
            attempt.status = result.status
            body = json.loads(result.body or b"{}")
            attempt.reported_number = body.get("number", 0)
        if attempt.status == DONE:
            self.highest_number = max(self.highest_number, change.number)
            self.fleet.ledger.acknowledged_applies.append((body["revision"], attempt.end_micros))
        return attempt

    async def retry_until_decided(
        self, change: Change, limit_micros: int = 30 * SECOND, first_timeout_micros: int = 0
    ) -> str:
        """Sends a change to randomly chosen cores until one accepts or definitely refuses it; returns that status.

        Returns NO_ANSWER after `limit_micros`. `first_timeout_micros` shortens the timeout of the first attempt, so
        that its answer may be lost; 0 keeps the usual one.
        """
        end_micros = self.world.now() + limit_micros
        request_timeout_micros = first_timeout_micros or REQUEST_TIMEOUT_MICROS
        while self.world.now() < end_micros:
            core_name = self.world.rng.choice(sorted(self.fleet.cores))
            attempt = await self.send_change(change, core_name, request_timeout_micros)
            if attempt.status in (DONE, *DEFINITE_REFUSALS):
                return attempt.status
            request_timeout_micros = REQUEST_TIMEOUT_MICROS
            await pause(self.world, RETRY_PAUSE_MICROS)
        return NO_ANSWER

    async def submit_next_change(self, limit_micros: int = 30 * SECOND, is_marked: bool = True) -> Change | None:
        """Makes a change of new content and returns it; None if it was not accepted in time.

        When another operator's change came first, it reads the current number and retries with the next.
        """
        end_micros = self.world.now() + limit_micros
        content = self.next_content()
        while self.world.now() < end_micros:
            change = Change(self.highest_number, self.highest_number + 1, content, is_marked)
            status = await self.retry_until_decided(change, end_micros - self.world.now())
            if status == DONE:
                return change
            await self.refresh_number()
        return None

    async def refresh_number(self) -> None:
        """Reads the description at every core and keeps the highest change number."""
        for core_name in sorted(self.fleet.cores):
            read = await self.read(core_name)
            if read is not None:
                self.highest_number = max(self.highest_number, read.number)

    async def read(self, core_name: str, request_timeout_micros: int = REQUEST_TIMEOUT_MICROS) -> Read | None:
        """Reads the description at a core and records the read; None without an answer that the core could confirm."""
        start_micros = self.world.now()

        async def work() -> dict[str, Any] | None:
            core = self.fleet.cores[core_name]
            return await core.read_description() if hasattr(core, "raft") else None

        answer = await self.world.run_on_machine(
            self.world.machine(core_name), EXTERNAL_HOST, work, request_timeout_micros
        )
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        description = answer.ok_value["description"]
        names = [tenant["name"] for tenant in description.get("tenants", [])]
        read = Read(
            core_name,
            start_micros,
            self.world.now(),
            answer.ok_value["number"],
            description.get("source", ""),
            frozenset(
                name.removeprefix(MARKER_TENANT_PREFIX) for name in names if name.startswith(MARKER_TENANT_PREFIX)
            ),
        )
        self.history.reads.append(read)
        return read

    def start_periodic_reads(self) -> None:
        """Starts background reads at randomly chosen cores, including those that are cut off."""
        self.fleet.background_tasks.extend(
            self.world.loop.create_task(self._read_periodically()) for _ in range(READER_COUNT)
        )

    async def _read_periodically(self) -> None:
        while True:
            await pause(self.world, self.world.rng.randrange(*READ_PAUSE_MICROS))
            await self.read(self.world.rng.choice(sorted(self.fleet.cores)))

    async def submit_conflicting_changes(self, count: int = 8) -> None:
        """Sends `count` conflicting changes concurrently, all on one base.

        Most have the same number and different contents. One repeats a content under another number, and one repeats a
        change. Some of the first timeouts are too short for an answer, so that the change is sent again, mostly to
        other cores.
        """
        base = self.highest_number
        contents = [self.next_content() for _ in range(count - 2)]
        changes = [Change(base, base + 1, content) for content in contents]
        changes += [Change(base, base + 2, contents[0]), Change(base, base + 1, contents[1])]
        rng = self.world.rng
        first_timeouts = [rng.randrange(1 * MILLI, 15 * MILLI) if rng.random() < 0.5 else 0 for _ in changes]
        changes_and_timeouts = zip(changes, first_timeouts, strict=True)
        await asyncio.gather(
            *(
                self.retry_until_decided(change, first_timeout_micros=first_timeout)
                for change, first_timeout in changes_and_timeouts
            )
        )
        await self.refresh_number()

    async def resend_to_all_cores(self, change: Change) -> None:
        """Sends an accepted change again to each core, each time followed by another content under its number."""
        for core_name in sorted(self.fleet.cores):
            await self.send_change(change, core_name)
            await self.send_change(Change(change.base, change.number, f"not-{change.content}"), core_name)

    def acknowledged_changes(self) -> list[Change]:
        """Returns the acknowledged changes, ordered by number."""
        return sorted(
            {attempt.change for attempt in self.history.change_attempts if attempt.status == DONE},
            key=lambda change: change.number,
        )
