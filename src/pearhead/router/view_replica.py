"""ViewReplica (§5.3): a node's copy of the view, and how recently it was confirmed to be current."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from result import Err

from pearhead.config.view import View
from pearhead.consensus.membership import Membership
from pearhead.discovery.directory import Directory
from pearhead.rpc.delta_compression import DeltaCompressor, extract_delta
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Members, TermAsk, TermResult
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
ROUND_MICROS = 300 * MILLI
LARGE_FLEET_NODES = 16
VIEW_ASK_TIMEOUT_MICROS = 800 * MILLI
DELTA_FETCH_TIMEOUT_MICROS = 2 * SECOND
FETCH_FALLBACK_MICROS = 500 * MILLI
PEER_FALLBACK_MICROS = 1_000 * MILLI
PEER_FALLBACK_COUNT = 2
RETRY_AFTER_LIMIT_MICROS = 12 * SECOND
NEVER_CONFIRMED = -1
DISTANT_PAST_MICROS = -(10**12)
NO_DELTA = 2**62


class ViewReplica:
    """Polls the cores for the last visible log index and fetches changes of the view.

    The view is confirmed by a majority of the voters, as of the time when the poll was sent. While the cores are
    silent, the node also asks a few other router nodes.
    """

    def __init__(
        self,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        task_group: BackgroundTaskGroup,
        term_micros: int,
    ) -> None:
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.rng = rng
        self.task_group = task_group
        self.term_micros = term_micros
        self.view = View()
        # The last known membership: a poll counts once a majority of its voters answered (§5.3).
        self.membership = Membership(0, Members())
        self.confirmed_micros = NEVER_CONFIRMED
        self.pending_confirmations: list[tuple[int, int]] = []
        self.needs_full_view = False
        self.fetch_started_micros: dict[str, int] = {}
        self.first_seen_micros: dict[tuple[str, int], int] = {}
        self.not_acknowledged_before: dict[tuple[str, int], int] = {}
        self.has_view = False
        # Called with each new view, after the fields above were updated.
        self.view_observers: list[Callable[[View], None]] = []
        self.delta_compressor = DeltaCompressor()
        rpc_endpoint.on_request("term_ask", self._answer_peer_ask)

    def is_current(self) -> bool:
        """Whether the view was confirmed within the last `term_micros`."""
        return self.confirmed_micros != NEVER_CONFIRMED and self.clock.now() - self.confirmed_micros <= self.term_micros

    def retry_after_micros(self) -> int:
        """How long a refused client should wait: as long as the view has been unconfirmed, from 1.1 s to 12 s (§8.2).

        A node that has been without the cores for long is likely to stay so for as long again.
        """
        unconfirmed_micros = self.clock.now() - self.confirmed_micros if self.confirmed_micros != NEVER_CONFIRMED else 0
        return min(max(unconfirmed_micros, ROUND_MICROS + VIEW_ASK_TIMEOUT_MICROS), RETRY_AFTER_LIMIT_MICROS)

    def superseded_since(self, line: str, revision: int) -> int | None:
        """A time at or before the acknowledgement of the first newer revision; None while none is known.

        The first newer revision counts, not the last: otherwise each later one would extend the grace period of the
        old weights.
        """
        return min(
            (
                at_micros
                for (line_name, r), at_micros in self.not_acknowledged_before.items()
                if line_name == line and r > revision
            ),
            default=None,
        )

    def core_addresses(self) -> list[str]:
        """Addresses of the voters, or of the cores in the directory while the membership is unknown."""
        known = list(self.membership.voters.values())
        return known or [r.address for r in self.directory.members("control_plane")]

    async def run(self) -> None:
        """Starts a round of requests every 0.3 s (0.6 s in a large fleet), without waiting for the previous one."""
        while True:
            self.task_group.start(self._ask_round())
            if self.clock.now() - self.confirmed_micros > PEER_FALLBACK_MICROS:
                self.task_group.start(self._ask_peer_views())
            # Nodes of a large fleet ask half as often: the cores answer each one, and `term_micros` leaves room (§5.3).
            is_large_fleet = len(self.directory.members("router")) > LARGE_FLEET_NODES
            await sleep_for(self.clock, 2 * ROUND_MICROS if is_large_fleet else ROUND_MICROS)

    async def _ask_round(self) -> None:
        """Asks all cores for the last visible index of their logs; the highest of any majority is current (§5.3)."""
        asked_micros = self.clock.now()
        asked_addresses = list(
            dict.fromkeys(self.core_addresses() + [r.address for r in self.directory.members("control_plane")])
        )
        reported_indexes: dict[str, int] = {}
        is_counted = False

        async def ask_core(address: str) -> None:
            nonlocal is_counted
            response = await self.rpc_endpoint.call(
                address, "term_ask", TermAsk(have_index=NO_DELTA), VIEW_ASK_TIMEOUT_MICROS
            )
            if isinstance(response, Err):
                return
            result: TermResult = response.ok_value
            self._apply_members(result)
            if result.last_visible_index > self.view.index and self._may_fetch(address):
                self.fetch_started_micros[address] = self.clock.now()
                self.task_group.start(self._fetch_delta(address))
            if result.member:
                reported_indexes[address] = result.last_visible_index
            reporting_voters = {i: a for i, a in self.membership.voters.items() if a in reported_indexes}
            if not is_counted and self.membership.has_quorum(reporting_voters):
                is_counted = True
                self.pending_confirmations.append(
                    (asked_micros, max(reported_indexes[a] for a in reporting_voters.values()))
                )
            self._confirm_view()

        for address in asked_addresses:
            self.task_group.start(ask_core(address))

    def _may_fetch(self, address: str) -> bool:
        """Fetches from one core at a time, and from another as well when that one is slow, as it may be down."""
        now_micros = self.clock.now()
        return address not in self.fetch_started_micros and all(
            now_micros - since > FETCH_FALLBACK_MICROS for since in self.fetch_started_micros.values()
        )

    async def _fetch_delta(self, address: str) -> None:
        """Fetches the change from one core only: asked of each of three cores, it would be sent three times."""
        try:
            # A large delta takes long over a slow link; a shorter timeout would make it be sent again from the start.
            response = await self.rpc_endpoint.call(address, "term_ask", self._term_ask(), DELTA_FETCH_TIMEOUT_MICROS)
            if not isinstance(response, Err):
                self._apply_view_delta(response.ok_value)
                self._confirm_view()
        finally:
            self.fetch_started_micros.pop(address, None)

    async def _ask_peer_views(self) -> None:
        peer_node_addresses = [r.address for r in self.directory.members("router")]
        for address in self.rng.sample(peer_node_addresses, min(PEER_FALLBACK_COUNT, len(peer_node_addresses))):
            self.task_group.start(self._ask_peer_view(address))

    async def _ask_peer_view(self, address: str) -> None:
        asked_micros = self.clock.now()
        request = self._term_ask()
        request.relay = True
        response = await self.rpc_endpoint.call(address, "term_ask", request, VIEW_ASK_TIMEOUT_MICROS)
        if isinstance(response, Err):
            return
        result: TermResult = response.ok_value
        self._apply_members(result)
        self._apply_view_delta(result)
        if result.held:
            # The peer's view was confirmed held_micros before it answered, so it was current at this time or later.
            self.pending_confirmations.append((asked_micros - result.held_micros, result.last_visible_index))
            self._confirm_view()

    def _term_ask(self) -> TermAsk:
        if self.needs_full_view:
            return TermAsk()
        return TermAsk(have_index=self.view.index, have_hash=self.view.hash if self.view.index else "")

    async def _answer_peer_ask(self, identity: str, address: str, request: TermAsk) -> TermResult:
        result = TermResult(
            held=self.is_current(),
            held_micros=max(self.clock.now() - self.confirmed_micros, 0),
            last_visible_index=self.view.index,
            members=self.membership.members,
            members_index=self.membership.index,
        )
        delta = self.view.full_delta_if_newer(request.have_index)
        self.delta_compressor.put(result, delta)
        return result

    def _apply_members(self, result: TermResult) -> None:
        is_known = result.members_index == self.membership.index and result.members == self.membership.members
        if result.members_index >= self.membership.index and result.members.member and not is_known:
            self.membership = Membership(result.members_index, result.members)

    def _apply_view_delta(self, result: TermResult) -> None:
        delta = extract_delta(result)
        if delta is None or delta.index <= self.view.index:
            return
        next_view = self.view.with_delta(delta)
        if next_view is None:
            # Another delta may have been applied since the request; if not, the full view is requested next.
            self.needs_full_view = delta.base_index == self.view.index
            return
        self.needs_full_view = False
        old_revision = self.view.description_revision
        self.view = next_view
        for line_name, weights_record in next_view.weights.items():
            # A node that just started can't tell how old a rollout is: it takes the time limits of its waves as passed
            # and grants old weights no grace period (§7.4).
            self.first_seen_micros.setdefault(
                (line_name, weights_record.revision), self.clock.now() if self.has_view else DISTANT_PAST_MICROS
            )
            # The last confirmed view lacked this revision, so the revision was not acknowledged before that time.
            self.not_acknowledged_before.setdefault(
                (line_name, weights_record.revision), self.confirmed_micros if self.has_view else DISTANT_PAST_MICROS
            )
        self.has_view = True
        for observer in self.view_observers:
            observer(next_view)
        if next_view.description_revision != old_revision:
            LOGGER.info(
                "router: A description is in force. revision=%d number=%d",
                next_view.description_revision,
                next_view.description_number,
            )

    def _confirm_view(self) -> None:
        now_micros = self.clock.now()
        still_unconfirmed = []
        for asked_micros, required_index in self.pending_confirmations:
            if self.view.index >= required_index:
                self.confirmed_micros = max(self.confirmed_micros, asked_micros)
            elif now_micros - asked_micros <= self.term_micros:
                still_unconfirmed.append((asked_micros, required_index))
        self.pending_confirmations = still_unconfirmed
