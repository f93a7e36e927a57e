"""CoreCommandClient (§4.5): asks the cores to take a command; the one that answered last goes first."""

from __future__ import annotations

import random
from typing import Protocol

from result import Err, Ok, Result

from pearhead.config.view import View
from pearhead.router.command_session import CommandSession
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Command, CommandAsk, CommandResult
from pearhead.runtime.clock import MILLI

COMMAND_TIMEOUT_MICROS = 700 * MILLI
FAILED_COMMAND_STATUSES = ("unavailable", "unknown")


class ViewSource(Protocol):
    """What this file's users need of a `ViewReplica` (§5.3)."""

    @property
    def view(self) -> View: ...

    def is_current(self) -> bool: ...

    def core_addresses(self) -> list[str]: ...


class CommandClient(Protocol):
    async def command(self, command: Command) -> Result[CommandResult, str]:
        """A core's answer within 0.7 s; an Err may have run."""


class CoreCommandClient:
    def __init__(self, view_source: ViewSource, rpc_endpoint: RpcEndpoint, chance: random.Random) -> None:
        self.view_source = view_source
        self.rpc_endpoint = rpc_endpoint
        self.chance = chance
        self.preferred_core = ""
        self.session = CommandSession(rpc_endpoint.identity)

    async def command(self, command: Command) -> Result[CommandResult, str]:
        self.session.assign_number(command)
        addresses = self.view_source.core_addresses()
        if not addresses:
            return Err("no core is known")
        if self.preferred_core not in addresses:
            self.preferred_core = self.chance.choice(addresses)
        asked_core = self.preferred_core
        ask = CommandAsk(command=command.SerializeToString())
        given = await self.rpc_endpoint.call(asked_core, "command_ask", ask, COMMAND_TIMEOUT_MICROS)
        has_core_answered = not isinstance(given, Err) and given.ok_value.status not in FAILED_COMMAND_STATUSES
        if not has_core_answered and self.preferred_core == asked_core:
            self.preferred_core = addresses[(addresses.index(asked_core) + 1) % len(addresses)]
        if isinstance(given, Err):
            return given
        result: CommandResult = given.ok_value
        return Ok(result)
