"""CoreCommandClient (§4.5): submits commands to the core nodes, starting with the one that answered last."""

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
    """The part of `ViewReplica` (§5.3) that this module and its users need."""

    @property
    def view(self) -> View:
        """The last known view."""

    def is_current(self) -> bool:
        """Whether the view is known to be current."""

    def core_addresses(self) -> list[str]:
        """Addresses of the known core nodes."""


class CommandClient(Protocol):
    """Submits commands to the cores."""

    async def command(self, command: Command) -> Result[CommandResult, str]:
        """A core's answer within 0.7 s; after an Err the command may still have run."""


class CoreCommandClient:
    """Submits commands to one core; after a failure the next command goes to another core."""

    def __init__(self, view_source: ViewSource, rpc_endpoint: RpcEndpoint, rng: random.Random) -> None:
        self.view_source = view_source
        self.rpc_endpoint = rpc_endpoint
        self.rng = rng
        self.preferred_core = ""
        self.session = CommandSession(rpc_endpoint.identity)

    async def command(self, command: Command) -> Result[CommandResult, str]:
        """Numbers the command and submits it once, with a timeout of 0.7 s; after an Err it may still have run."""
        self.session.assign_number(command)
        addresses = self.view_source.core_addresses()
        if not addresses:
            return Err("no core is known")
        if self.preferred_core not in addresses:
            self.preferred_core = self.rng.choice(addresses)
        target_core = self.preferred_core
        request = CommandAsk(command=command.SerializeToString())
        response = await self.rpc_endpoint.call(target_core, "command_ask", request, COMMAND_TIMEOUT_MICROS)
        has_core_answered = not isinstance(response, Err) and response.ok_value.status not in FAILED_COMMAND_STATUSES
        if not has_core_answered and self.preferred_core == target_core:
            self.preferred_core = addresses[(addresses.index(target_core) + 1) % len(addresses)]
        if isinstance(response, Err):
            return response
        result: CommandResult = response.ok_value
        return Ok(result)
