"""MembershipController (§4.9): founds the core, takes machines in, and decides who votes."""

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
FOUNDING_GRACE_MICROS = (1_500 * MILLI, 8 * SECOND)
# A silent voter is exchanged for a level learner after this; the other way round it costs nothing but two entries.
EXCHANGE_MICROS = 1_500 * MILLI
LEAVE_TIMEOUT_MICROS = 1_500 * MILLI
VOTER_EXCLUSION_MICROS = 10 * SECOND
MEMBER_REMOVAL_FACTOR = 3
MIN_VOTERS = 3
NEVER_CAUGHT_UP_INDEX = 2**62


@dataclass(frozen=True)
class VoterReplacement:
    """A voter that becomes a learner, and the learner that takes its vote."""

    outgoing: str
    incoming: str


class MembershipController:
    """Keeps as many voters as the deployment's promise needs, 2 f + 1; other level members stand by as learners."""

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
        self.leader_since = 0
        self.caught_up_index = NEVER_CAUGHT_UP_INDEX
        self.is_leaving = False
        self.leaving_until: dict[str, int] = {}

    # ---- founding and joining ----------------------------------------------------------------------

    async def run(self) -> None:
        """An empty member founds if it is first and all founders are empty; else it asks to join."""
        while True:
            if not self.is_leaving and not self._has_current_leader():
                if self.raft.is_empty() and await self._may_bootstrap():
                    LOGGER.info("control_plane: Founds the core.")
                    await self._bootstrap_cluster()
                else:
                    await self._request_join()
            await sleep_for(self.clock, JOIN_RETRY_MICROS)

    def _has_current_leader(self) -> bool:
        """A member by its own log may have been let go since: then nobody leads it any more."""
        if self.raft.is_leader():
            return True
        was_heard = self.clock.now() - self.raft.heard_leader_micros <= MAX_LEADER_SILENCE_MICROS
        return was_heard and self.identity in self.raft.membership().addresses

    async def _bootstrap_cluster(self) -> None:
        try:
            await self.raft.bootstrap(self.startup.address, len(self.founders), self.startup.area)
        except OSError as disk_error:
            if disk_error.errno != errno.ENOSPC:
                self.fail(f"the disk failed: {disk_error}")
            LOGGER.error("control_plane: The disk is full, so nothing is founded yet.")

    async def _may_bootstrap(self) -> bool:
        founders = self.founders
        if not founders or founders[0] != self.startup.address:
            return False
        given_results = await asyncio.gather(
            *(self.rpc_endpoint.call(a, "found_ask", FoundAsk(), JOIN_REQUEST_TIMEOUT_MICROS) for a in founders[1:])
        )
        return all(not isinstance(a, Err) and a.ok_value.empty for a in given_results)

    async def _request_join(self) -> None:
        """All that may know the leader are asked at once, so that one in the dark holds nothing up."""
        known = [r.address for r in self.directory.members("control_plane")]
        known += self.raft.voters().values()
        addresses = {*known, *self.startup.seeds} - {self.startup.address}
        join_ask = JoinAsk(address=self.startup.address, zone=self.startup.area)
        given_results = await asyncio.gather(
            *(self.rpc_endpoint.call(a, "join_ask", join_ask, JOIN_REQUEST_TIMEOUT_MICROS) for a in sorted(addresses))
        )
        leaders = {r.ok_value.leader_address for r in given_results if not isinstance(r, Err)}
        for leader in sorted(leaders - addresses - {"", self.startup.address}):
            await self.rpc_endpoint.call(leader, "join_ask", join_ask, JOIN_REQUEST_TIMEOUT_MICROS)

    async def make_found_result(self, identity: str, address: str, ask: FoundAsk) -> FoundResult:
        """Whether this core knows of nothing founded yet."""
        return FoundResult(empty=self.raft.is_empty())

    async def make_join_result(self, identity: str, address: str, ask: JoinAsk) -> JoinResult:
        """Takes a machine in as a learner, if this core leads; else it names the leader that it knows."""
        end_micros = self.clock.now() + JOIN_REQUEST_TIMEOUT_MICROS
        while self.raft.is_leader() and self.clock.now() < end_micros:
            members = self.raft.members()
            if any(m.identity == identity for m in members.member):
                return JoinResult(taken=True)
            # Who else was at this address is gone for good, and its disk with it.
            staying = [m for m in members.member if m.address != ask.address]
            learner = Member(identity=identity, address=ask.address, zone=ask.zone)
            if await self._submit_membership([*staying, learner]):
                LOGGER.info("control_plane: Takes in a core as a learner. core=%s", identity[:8])
                return JoinResult(taken=True)
            await sleep_for(self.clock, RECONCILE_INTERVAL_MICROS)
        return JoinResult(leader_address=self.raft.leader_address())

    # ---- how many vote, and whether enough do --------------------------------------------------------

    def target_voter_count(self) -> int:
        """2 f + 1 for the losses f that the deployment promises to bear; as founded where it does not say."""
        if self.startup.toleratedLosses:
            return 2 * self.startup.toleratedLosses + 1
        members = self.raft.members()
        return members.wanted or max(sum(m.voter for m in members.member), len(self.founders) or MIN_VOTERS)

    def is_bootstrap_complete(self) -> bool:
        """Nothing is acknowledged before so many vote that a loss does not matter, nor while more come in."""
        return (
            len(self.raft.voters()) >= min(self.target_voter_count(), MIN_VOTERS) and not self._is_awaiting_founders()
        )

    def _is_awaiting_founders(self) -> bool:
        """Other empty cores may be on their way in: what is acknowledged must be theirs as well."""
        if len(self.founders) == 1:
            return False
        leading_micros = self.clock.now() - self.leader_since
        voters = self.raft.voters()
        is_known = any(r.identity not in voters for r in self.directory.members("control_plane"))
        is_awaiting_members = is_known and len(voters) < self.target_voter_count()
        return leading_micros < FOUNDING_GRACE_MICROS[0] or (
            is_awaiting_members and leading_micros < FOUNDING_GRACE_MICROS[1]
        )

    def on_leadership_change(self, leads: bool) -> None:
        """What a former leader knew of others counts no more."""
        self.leader_since = self.clock.now()
        self.caught_up_index = NEVER_CAUGHT_UP_INDEX

    # ---- leaving ---------------------------------------------------------------------------------------

    async def leave(self) -> None:
        """Before a planned end: gives the vote to a member that stands by, then leadership to another."""
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
        """Whether the asker votes no more. A mere restart, with nobody standing by, keeps its vote."""
        return LeaveResult(left=await self._release_vote(identity))

    async def _release_vote(self, identity: str) -> bool:
        end_micros = self.clock.now() + LEAVE_TIMEOUT_MICROS
        self.leaving_until[identity] = self.clock.now() + VOTER_EXCLUSION_MICROS
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

    # ---- looking after the members -----------------------------------------------------------------------

    async def reconcile(self) -> None:
        """As long as this core leads: one agreed change after the other until nothing is left to do."""
        while True:
            await sleep_for(self.clock, RECONCILE_INTERVAL_MICROS)
            if self.raft.settled():
                caught_up_index = self.raft.commit_index
                while self.raft.settled() and await self._reconcile_once():
                    pass
                self.caught_up_index = caught_up_index

    async def _reconcile_once(self) -> bool:
        members = self.raft.members()
        if members.joint:
            return False
        voters = [m for m in members.member if m.voter]
        target = self.target_voter_count()
        lost = [m.identity for m in voters if self._micros_since_heard(m.identity) > EXCHANGE_MICROS]
        if len(voters) > target:
            excess_voter = lost[0] if lost else self._most_dispensable_voter(voters)
            return await self._set_votes({excess_voter: False})
        replacement_voter = self._choose_replacement_voter(lost[0] if lost else "")
        if replacement_voter is not None and len(voters) < target:
            return await self._set_votes({replacement_voter: True})
        if replacement_voter is not None and lost:
            return await self._replace_voter(VoterReplacement(lost[0], replacement_voter))
        if replacement_voter is not None and (
            overrepresented := self._overrepresented_voter(voters, replacement_voter)
        ):
            return await self._replace_voter(VoterReplacement(overrepresented, replacement_voter))
        return await self._remove_unresponsive_member(voters)

    async def _remove_unresponsive_member(self, voters: list[Member]) -> bool:
        """A learner that was silent for long goes; so does a voter, while more than three vote."""
        limit_micros = MEMBER_REMOVAL_FACTOR * self.startup.lostAfterMicros
        for member in self.raft.members().member:
            may_go = not member.voter or len(voters) > MIN_VOTERS
            if may_go and self._micros_since_heard(member.identity) > limit_micros:
                LOGGER.info("control_plane: Lets go of a core. core=%s", member.identity[:8])
                return await self._submit_membership([m for m in self.raft.members().member if m != member])
        return False

    async def _set_votes(self, votes: dict[str, bool]) -> bool:
        for identity, is_voter in votes.items():
            LOGGER.info("control_plane: Changes a vote. core=%s votes=%s", identity[:8], is_voter)
        return await self._submit_membership(
            [
                Member(identity=m.identity, address=m.address, zone=m.zone, voter=votes.get(m.identity, m.voter))
                for m in self.raft.members().member
            ]
        )

    async def _replace_voter(self, replacement: VoterReplacement) -> bool:
        """One joint change: at no moment are more members needed than before it (§4.1)."""
        return await self._set_votes({replacement.outgoing: False, replacement.incoming: True})

    async def _submit_membership(self, changed: Iterable[Member]) -> bool:
        outcome = await self.raft.change_members(Members(member=changed, wanted=self.target_voter_count()))
        return not isinstance(outcome, Err)

    def _choose_replacement_voter(self, outgoing: str) -> str | None:
        """A level learner, from the zone where the fewest of the other voters are."""
        members = self.raft.members().member
        voters_by_zone = Counter(m.zone for m in members if m.voter and m.identity != outgoing)
        replacement_candidates = [
            m for m in members if not m.voter and self._may_vote(m) and self._is_caught_up(m.identity)
        ]
        chosen = min(replacement_candidates, key=lambda m: (voters_by_zone[m.zone], m.address), default=None)
        return chosen.identity if chosen is not None else None

    def _may_vote(self, member: Member) -> bool:
        return self.leaving_until.get(member.identity, 0) <= self.clock.now()

    def _overrepresented_voter(self, voters: list[Member], replacement_voter: str) -> str:
        """A voter whose zone has at least two more than that of the member that stands by; empty if there is none."""
        voters_by_zone = Counter(m.zone for m in voters)
        replacement_zone = next(m.zone for m in self.raft.members().member if m.identity == replacement_voter)
        overrepresented = [m for m in voters if voters_by_zone[m.zone] >= voters_by_zone[replacement_zone] + 2]
        return self._most_dispensable_voter(overrepresented) if overrepresented else ""

    def _most_dispensable_voter(self, voters: list[Member]) -> str:
        voters_by_zone = Counter(m.zone for m in voters)
        return max(voters, key=lambda m: (m.identity != self.identity, voters_by_zone[m.zone], m.address)).identity

    def _micros_since_heard(self, identity: str) -> int:
        """How long nothing was heard of a member, in microseconds; at most since this core leads."""
        follower = self.raft.followers.get(identity)
        return self.clock.now() - follower.heard_micros if follower is not None else 0

    def _is_caught_up(self, identity: str) -> bool:
        """Has all that was committed when members were last looked after, and answers."""
        return self._is_responsive(identity) and self.raft.followers[identity].match_index >= self.caught_up_index

    def _is_responsive(self, identity: str) -> bool:
        if identity == self.identity:
            return True
        follower = self.raft.followers.get(identity)
        if follower is None or not follower.has_answered:
            return False
        return self.clock.now() - follower.heard_micros < RESPONSIVE_WITHIN_MICROS
