"""RosterPublisher (§7.6): reports the roster to the core, so that leases and operators can refer to workers by name."""

from __future__ import annotations

import logging
from typing import Protocol

from result import Err

from pearhead.config.view import View
from pearhead.router.core_command_client import CommandClient, ViewSource
from pearhead.router.roster_merge import Roster
from pearhead.rpc.wire_pb2 import Command, SetWorkers, Worker
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
ROUND_MICROS = 250 * MILLI
PUBLISH_PAUSE_MICROS = SECOND


class RosterSource(Protocol):
    """Where the publisher reads the roster."""

    @property
    def roster(self) -> Roster:
        """The current roster."""

    def acts_for_fleet(self) -> bool:
        """Whether this node acts for the fleet; other nodes do not publish."""


class RosterPublisher:
    """Sends the core the changes of the roster, at most once a second.

    Only a node that polls the list, or is ranked first to do so, publishes. Serving requests does not depend on it.
    """

    def __init__(
        self, source: RosterSource, view_source: ViewSource, command_client: CommandClient, clock: Clock
    ) -> None:
        self.source = source
        self.view_source = view_source
        self.command_client = command_client
        self.clock = clock

    async def run(self) -> None:
        """Compares the roster with the view in rounds, and sends the core the difference."""
        while True:
            await sleep_for(self.clock, ROUND_MICROS)
            if not (self.view_source.is_current() and self.source.acts_for_fleet() and self.source.roster.backends):
                continue
            change = find_roster_change(self.source.roster, self.view_source.view)
            if change is None:
                continue
            command_result = await self.command_client.command(Command(workers=change))
            if isinstance(command_result, Err) or command_result.ok_value.status != "done":
                LOGGER.warning("router: A roster change was not confirmed by the core.")
            # Leaves time for the change to show in the view; until then it would be sent again.
            await sleep_for(self.clock, PUBLISH_PAUSE_MICROS)


def find_roster_change(roster: Roster, view: View) -> SetWorkers | None:
    """Returns the changes that bring the core's workers up to the roster; None if there are none.

    A worker that operators marked as leaving does not count as different for that (§7.6).
    """
    change = SetWorkers(partial=True, removed=sorted(view.workers.keys() - roster.backends.keys()))
    for name, backend in sorted(roster.backends.items()):
        known = view.workers.get(name)
        is_known = (
            known is not None
            and known.address == backend.address
            and known.area == backend.zone
            and known.service == backend.service
            and (known.leaving or not backend.is_leaving)
        )
        if not is_known:
            change.worker.append(
                Worker(
                    name=name,
                    address=backend.address,
                    area=backend.zone,
                    service=backend.service,
                    leaving=backend.is_leaving,
                )
            )
    return change if change.worker or change.removed else None
