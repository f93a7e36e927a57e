"""Membership of the core group (§4.9): its bootstrap, joining and leaving, and which members vote."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err

from pearhead.config.startup import StartupConfig
from pearhead.consensus.raft import RaftMember
from pearhead.discovery.directory import Directory
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    FoundAsk,
    FoundResult,
    JoinAsk,
    JoinResult,
    LeaveAsk,
    LeaveResult,
    Member,
    Members,
)
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
RECONCILE_INTERVAL_MICROS = 100 * MILLI
JOIN_RETRY_MICROS = 300 * MILLI
JOIN_REQUEST_TIMEOUT_MICROS = 600 * MILLI
MAX_LEADER_SILENCE_MICROS = 2 * SECOND
RESPONSIVE_WITHIN_MICROS = 400 * MILLI
# How long a new leader refuses the first command of the core group because other founders may still join: in any case,
# and while it knows of cores that have no vote yet although voters are missing.
BOOTSTRAP_GRACE_MICROS = (1_500 * MILLI, 8 * SECOND)
# A voter that was silent for this long is replaced by a caught-up learner; undoing that costs only two log entries.
EXCHANGE_MICROS = 1_500 * MILLI
LEAVE_TIMEOUT_MICROS = 1_500 * MILLI
VOTER_EXCLUSION_MICROS = 10 * SECOND
MEMBER_REMOVAL_FACTOR = 3
MIN_VOTERS = 3
NEVER_CAUGHT_UP_INDEX = 2**62


@dataclass(frozen=True)
class VoterReplacement:
    """Identities of a voter that becomes a learner, and of the learner that becomes a voter in its place."""

    outgoing: str
    incoming: str


class MembershipController:
    """Keeps 2 f + 1 voters for the f losses that the deployment must tolerate; other members stand by as learners.

    `fail` is called with a reason when the process must stop.
    """

    def __init__(
        self,
        identity: str,
        startup: StartupConfig,
        founders: list[str],
        raft: RaftMember,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        fail: Callable[[str], None],
    ) -> None:
        self.identity = identity
        self.startup = startup
        self.founders = founders
        self.raft = raft
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.fail = fail
        self.leader_since_micros = 0
        self.caught_up_index = NEVER_CAUGHT_UP_INDEX
        self.is_leaving = False
        self.excluded_until_micros: dict[str, int] = {}

    # ---- bootstrap and joining ---------------------------------------------------------------------

    async def run(self) -> None:
        """Bootstraps the core group or asks to join it, whenever this core has no leader.

        An empty core bootstraps if it is the first of the founders and all others are empty as well.
        """
        while True:
            if not self.is_leaving and not self._has_current_leader():
                if self.raft.is_empty() and await self._may_bootstrap():
                    LOGGER.info("control_plane: Bootstraps the core group.")
                    await self._bootstrap_core_group()
                else:
                    await self._request_join()
            await sleep_for(self.clock, JOIN_RETRY_MICROS)

    def _has_current_leader(self) -> bool:
        """Whether this core leads, or is a member by its own log and has heard from the leader recently.

        Its own log is not enough: it may have been removed since, and then no leader contacts it any more.
        """
        if self.raft.is_leader():
            return True
        has_recent_contact = self.clock.now() - self.raft.last_leader_contact_micros <= MAX_LEADER_SILENCE_MICROS
        return has_recent_contact and self.identity in self.raft.membership().addresses

    async def _bootstrap_core_group(self) -> None:
        try:
            await self.raft.bootstrap(self.startup.address, len(self.founders), self.startup.area)
        except OSError as disk_error:
            if disk_error.errno != errno.ENOSPC:
                self.fail(f"the disk failed: {disk_error}")
            LOGGER.error("control_plane: The disk is full, so the bootstrap is tried again later.")

    async def _may_bootstrap(self) -> bool:
        founders = self.founders
        if not founders or founders[0] != self.startup.address:
            return False
        replies = await asyncio.gather(
            *(
                self.rpc_endpoint.call(address, "found_ask", FoundAsk(), JOIN_REQUEST_TIMEOUT_MICROS)
                for address in founders[1:]
            )
        )
        return all(not isinstance(reply, Err) and reply.ok_value.empty for reply in replies)

    async def _request_join(self) -> None:
        """Asks to join: first all known cores concurrently, then the leaders that they name.

        As the known cores are asked concurrently, any number of unreachable ones costs a single timeout.
        """
        known_addresses = [record.address for record in self.directory.members("control_plane")]
        known_addresses += self.raft.voters().values()
        addresses = {*known_addresses, *self.startup.seeds} - {self.startup.address}
        join_ask = JoinAsk(address=self.startup.address, zone=self.startup.area)
        replies = await asyncio.gather(
            *(
                self.rpc_endpoint.call(address, "join_ask", join_ask, JOIN_REQUEST_TIMEOUT_MICROS)
                for address in sorted(addresses)
            )
        )
        leaders = {reply.ok_value.leader_address for reply in replies if not isinstance(reply, Err)}
        for leader in sorted(leaders - addresses - {"", self.startup.address}):
            await self.rpc_endpoint.call(leader, "join_ask", join_ask, JOIN_REQUEST_TIMEOUT_MICROS)

    async def make_found_result(self, identity: str, address: str, ask: FoundAsk) -> FoundResult:
        """Tells a founder whether this core's log is still empty."""
        return FoundResult(empty=self.raft.is_empty())

    async def make_join_result(self, identity: str, address: str, ask: JoinAsk) -> JoinResult:
        """Adds the calling core as a learner if this core leads; otherwise names the leader that this core knows."""
        end_micros = self.clock.now() + JOIN_REQUEST_TIMEOUT_MICROS
        while self.raft.is_leader() and self.clock.now() < end_micros:
            members = self.raft.members()
            if any(m.identity == identity for m in members.member):
                return JoinResult(taken=True)
            # A member that had this address before is gone for good, together with its disk.
            remaining = [m for m in members.member if m.address != ask.address]
            learner = Member(identity=identity, address=ask.address, zone=ask.zone)
            if await self._submit_membership([*remaining, learner]):
                LOGGER.info("control_plane: Added a core as a learner. core=%s", identity[:8])
                return JoinResult(taken=True)
            await sleep_for(self.clock, RECONCILE_INTERVAL_MICROS)
        return JoinResult(leader_address=self.raft.leader_address())

    # ---- number of voters ----------------------------------------------------------------------------

    def target_voter_count(self) -> int:
        """2 f + 1 for the f losses that the startup file tolerates; if it does not say, as many as at the bootstrap."""
        if self.startup.toleratedLosses:
            return 2 * self.startup.toleratedLosses + 1
        members = self.raft.members()
        return members.wanted or max(sum(m.voter for m in members.member), len(self.founders) or MIN_VOTERS)

    def is_bootstrap_complete(self) -> bool:
        """Whether commands may be acknowledged: enough members vote, and no founder may still join.

        Three voters are enough, as they can lose one, and fewer if the target is lower.
        """
        return (
            len(self.raft.voters()) >= min(self.target_voter_count(), MIN_VOTERS) and not self._is_awaiting_founders()
        )

    def _is_awaiting_founders(self) -> bool:
        """Whether other empty cores may still be joining: acknowledged commands must reach them as well."""
        if len(self.founders) == 1:
            return False
        leading_micros = self.clock.now() - self.leader_since_micros
        voters = self.raft.voters()
        has_known_nonvoter = any(record.identity not in voters for record in self.directory.members("control_plane"))
        is_awaiting_members = has_known_nonvoter and len(voters) < self.target_voter_count()
        return leading_micros < BOOTSTRAP_GRACE_MICROS[0] or (
            is_awaiting_members and leading_micros < BOOTSTRAP_GRACE_MICROS[1]
        )

    def on_leadership_change(self, leads: bool) -> None:
        """Discards what this core knew about the progress of other members under an earlier leadership."""
        self.leader_since_micros = self.clock.now()
        self.caught_up_index = NEVER_CAUGHT_UP_INDEX

    # ---- leaving ---------------------------------------------------------------------------------------

    async def leave(self) -> None:
        """Before a planned stop: hands the vote to a learner, if there is one, and the leadership to another voter."""
        self.is_leaving = True
        if self.raft.is_leader():
            await self._release_vote(self.identity)
        elif self.raft.leader_address():
            await self.rpc_endpoint.call(
                self.raft.leader_address(), "leave_ask", LeaveAsk(), LEAVE_TIMEOUT_MICROS + JOIN_REQUEST_TIMEOUT_MICROS
            )
        if self.raft.transfer_leadership():
            end_micros = self.clock.now() + 2 * SECOND
            while self.raft.is_leader() and self.clock.now() < end_micros:
                await sleep_for(self.clock, 20 * MILLI)

    async def make_leave_result(self, identity: str, address: str, ask: LeaveAsk) -> LeaveResult:
        """Hands the vote of the calling core to a learner; `left` tells whether the caller has no vote any more.

        Without a learner to replace it, as in a plain restart, the caller keeps its vote.
        """
        return LeaveResult(left=await self._release_vote(identity))

    async def _release_vote(self, identity: str) -> bool:
        end_micros = self.clock.now() + LEAVE_TIMEOUT_MICROS
        self.excluded_until_micros[identity] = self.clock.now() + VOTER_EXCLUSION_MICROS
        while self.raft.is_leader() and self.clock.now() < end_micros:
            if identity not in self.raft.voters():
                return True
            learners = [m for m in self.raft.members().member if not m.voter and self._is_responsive(m.identity)]
            if not any(self._may_vote(m) for m in learners):
                return False
            replacement_voter = self._choose_replacement_voter(identity)
            if replacement_voter is not None and await self._replace_voter(
                VoterReplacement(identity, replacement_voter)
            ):
                return True
            await sleep_for(self.clock, RECONCILE_INTERVAL_MICROS)
        return False

    # ---- reconciliation ----------------------------------------------------------------------------------

    async def reconcile(self) -> None:
        """While this core leads, brings the membership to its target, by one committed change after the other."""
        while True:
            await sleep_for(self.clock, RECONCILE_INTERVAL_MICROS)
            if self.raft.is_settled():
                caught_up_index = self.raft.commit_index
                while self.raft.is_settled() and await self._reconcile_once():
                    pass
                self.caught_up_index = caught_up_index

    async def _reconcile_once(self) -> bool:
        members = self.raft.members()
        if members.joint:
            return False
        voters = [m for m in members.member if m.voter]
        target_count = self.target_voter_count()
        silent_voters = [m.identity for m in voters if self._micros_since_contact(m.identity) > EXCHANGE_MICROS]
        if len(voters) > target_count:
            excess_voter = silent_voters[0] if silent_voters else self._most_dispensable_voter(voters)
            return await self._set_votes({excess_voter: False})
        replacement_voter = self._choose_replacement_voter(silent_voters[0] if silent_voters else "")
        if replacement_voter is not None and len(voters) < target_count:
            return await self._set_votes({replacement_voter: True})
        if replacement_voter is not None and silent_voters:
            return await self._replace_voter(VoterReplacement(silent_voters[0], replacement_voter))
        if replacement_voter is not None and (
            overrepresented := self._overrepresented_voter(voters, replacement_voter)
        ):
            return await self._replace_voter(VoterReplacement(overrepresented, replacement_voter))
        return await self._remove_unresponsive_member(voters)

    async def _remove_unresponsive_member(self, voters: list[Member]) -> bool:
        """Removes a learner that was silent for too long, or a voter while more than three vote."""
        limit_micros = MEMBER_REMOVAL_FACTOR * self.startup.lostAfterMicros
        for member in self.raft.members().member:
            is_removable = not member.voter or len(voters) > MIN_VOTERS
            if is_removable and self._micros_since_contact(member.identity) > limit_micros:
                LOGGER.info("control_plane: Removes an unresponsive core. core=%s", member.identity[:8])
                return await self._submit_membership([m for m in self.raft.members().member if m != member])
        return False

    async def _set_votes(self, votes: dict[str, bool]) -> bool:
        for identity, is_voter in votes.items():
            LOGGER.info("control_plane: Changes whether a core votes. core=%s votes=%s", identity[:8], is_voter)
        return await self._submit_membership(
            [
                Member(identity=m.identity, address=m.address, zone=m.zone, voter=votes.get(m.identity, m.voter))
                for m in self.raft.members().member
            ]
        )

    async def _replace_voter(self, replacement: VoterReplacement) -> bool:
        """Swaps the votes in one joint change: at no point of it are more members needed than before (§4.1)."""
        return await self._set_votes({replacement.outgoing: False, replacement.incoming: True})

    async def _submit_membership(self, changed: Iterable[Member]) -> bool:
        outcome = await self.raft.change_members(Members(member=changed, wanted=self.target_voter_count()))
        return not isinstance(outcome, Err)

    def _choose_replacement_voter(self, outgoing: str) -> str | None:
        """A caught-up learner from the zone with the fewest voters, not counting `outgoing`; None if there is none."""
        members = self.raft.members().member
        voters_by_zone = Counter(m.zone for m in members if m.voter and m.identity != outgoing)
        replacement_candidates = [
            m for m in members if not m.voter and self._may_vote(m) and self._is_caught_up(m.identity)
        ]
        chosen = min(replacement_candidates, key=lambda m: (voters_by_zone[m.zone], m.address), default=None)
        return chosen.identity if chosen is not None else None

    def _may_vote(self, member: Member) -> bool:
        """Whether a member may get a vote: not soon after it asked to leave, as it is about to stop."""
        return self.excluded_until_micros.get(member.identity, 0) <= self.clock.now()

    def _overrepresented_voter(self, voters: list[Member], replacement_voter: str) -> str:
        """A voter whose zone has at least two more voters than that of the replacement; empty if there is none."""
        voters_by_zone = Counter(m.zone for m in voters)
        replacement_zone = next(m.zone for m in self.raft.members().member if m.identity == replacement_voter)
        overrepresented = [m for m in voters if voters_by_zone[m.zone] >= voters_by_zone[replacement_zone] + 2]
        return self._most_dispensable_voter(overrepresented) if overrepresented else ""

    def _most_dispensable_voter(self, voters: list[Member]) -> str:
        """A voter from the zone with the most voters; this core itself only if there is no other."""
        voters_by_zone = Counter(m.zone for m in voters)
        return max(voters, key=lambda m: (m.identity != self.identity, voters_by_zone[m.zone], m.address)).identity

    def _micros_since_contact(self, identity: str) -> int:
        """Microseconds since a member was last heard, or if less, since this core leads; 0 for this core itself."""
        follower = self.raft.followers.get(identity)
        return self.clock.now() - follower.last_contact_micros if follower is not None else 0

    def _is_caught_up(self, identity: str) -> bool:
        """Whether a member answers and has all entries that were committed when the last reconciliation began."""
        return self._is_responsive(identity) and self.raft.followers[identity].match_index >= self.caught_up_index

    def _is_responsive(self, identity: str) -> bool:
        if identity == self.identity:
            return True
        follower = self.raft.followers.get(identity)
        if follower is None or not follower.has_answered:
            return False
        return self.clock.now() - follower.last_contact_micros < RESPONSIVE_WITHIN_MICROS
