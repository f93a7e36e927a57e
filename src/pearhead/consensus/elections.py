"""Elections with pre-votes: requests, grants and counts votes.

In messages, a pre-vote is called a trial, a term an epoch and a leadership transfer a handover.
"""

from __future__ import annotations

from pearhead.consensus.election_timer import ElectionTimer
from pearhead.consensus.persistence import LogWriter
from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.state import RaftState, Role, Send
from pearhead.rpc.wire_pb2 import ElectNow, VoteAsk, VoteResult


class Elections:
    """A member's role in elections, as candidate and as voter."""

    def __init__(
        self, state: RaftState, writer: LogWriter, timer: ElectionTimer, roles: RoleChanges, send: Send
    ) -> None:
        self.state = state
        self.writer = writer
        self.timer = timer
        self.roles = roles
        self.send = send
        self.granting_identities: set[str] = set()
        self.is_pre_vote = False
        self.election_count = 0

    # ---- voter -----------------------------------------------------------------------------------

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        """Handles a request for a vote or a pre-vote.

        Refuses it while a leader is present, unless that leader transfers its leadership. Whether this member knows the
        candidate as a voter does not matter: the entry that promoted the candidate may be missing from this member's
        log (§4.1).
        """
        if (self.timer.is_leader_present() or self.state.is_leader()) and not ask.handover:
            self.answer(address, ask, is_granted=False)
            return
        if not ask.trial and ask.epoch > self.state.term:
            self.roles.become_follower(ask.epoch)
        is_up_to_date = self._is_up_to_date(ask)
        if ask.trial:
            self.answer(address, ask, is_granted=is_up_to_date and ask.epoch > self.state.term)
            return
        is_vote_available = self.state.voted_for in ("", identity)
        if not (is_up_to_date and ask.epoch == self.state.term and is_vote_available):
            self.answer(address, ask, is_granted=False)
            return
        self._vote_for(identity, address, ask)

    def _is_up_to_date(self, ask: VoteAsk) -> bool:
        log = self.state.log
        return (ask.last_epoch, ask.last_index) >= (log.last_term(), log.last_index())

    def _vote_for(self, identity: str, address: str, ask: VoteAsk) -> None:
        self.state.voted_for = identity
        self.timer.reset()
        vote_term = self.state.term
        self.writer.persist_vote(lambda: self.answer(address, ask, is_granted=self.state.term == vote_term))

    def answer(self, address: str, ask: VoteAsk, is_granted: bool) -> None:
        """Sends the response to a vote request, always with this member's own term.

        No member is in the term that a pre-vote asks about yet, so no member may adopt it from a response.
        """
        result = VoteResult(epoch=self.state.term, granted=is_granted, trial=ask.trial, asked=ask.epoch)
        self.send(address, "vote_result", result)

    # ---- candidate -------------------------------------------------------------------------------

    def handle_election_timeout(self) -> None:
        """Starts a pre-vote if this member may campaign and its disk is not stalled; otherwise resets the timer."""
        if self.can_campaign() and not self.writer.is_stalled():
            self.start(is_pre_vote=True, is_transfer=False)
        else:
            self.timer.reset()

    def can_campaign(self) -> bool:
        """Whether this member may start an election.

        A voter that an uncommitted membership change removes may hold the longest log, and then no other member can
        win. So it may campaign until the change is committed.
        """
        if self.state.is_installing_snapshot:
            return False
        identity, log = self.state.identity, self.state.log
        latest = log.membership()
        if latest.index <= self.state.commit_index:
            return identity in latest.voters
        return identity in latest.voters or identity in log.membership_at(latest.index - 1).voters

    def take_elect_now(self, ask: ElectNow) -> None:
        """Starts an election at once, without a pre-vote, because the leader of this term transfers its leadership."""
        is_voter = self.state.identity in self.state.log.membership().voters
        if ask.epoch == self.state.term and is_voter and not self.state.is_installing_snapshot:
            self.start(is_pre_vote=False, is_transfer=True)

    def start(self, is_pre_vote: bool, is_transfer: bool) -> None:
        """Becomes a candidate and requests pre-votes at once, or votes once the vote for itself is synced."""
        self.timer.retry_soon(is_pre_vote)
        self.state.role = Role.CANDIDATE
        self.state.leader_identity = ""
        self.is_pre_vote = is_pre_vote
        self.granting_identities = set()
        ask = self._build_ask(is_pre_vote, is_transfer)
        if is_pre_vote:
            self._request_votes(ask)
            return
        self.state.term += 1
        self.election_count += 1
        self.state.voted_for = self.state.identity
        vote_term = self.state.term

        def send_vote_requests() -> None:
            if self.state.term == vote_term and self.state.role == Role.CANDIDATE:
                self._request_votes(ask)

        self.writer.persist_vote(send_vote_requests)

    def _build_ask(self, is_pre_vote: bool, is_transfer: bool) -> VoteAsk:
        return VoteAsk(
            epoch=self.state.term + 1,
            last_index=self.state.log.last_index(),
            last_epoch=self.state.log.last_term(),
            trial=is_pre_vote,
            handover=is_transfer,
        )

    def _request_votes(self, ask: VoteAsk) -> None:
        self.granting_identities.add(self.state.identity)
        for voter_identity, voter_address in self.state.log.membership().voters.items():
            if voter_identity != self.state.identity:
                self.send(voter_address, "vote_ask", ask)
        self.count_votes()

    def take_vote_result(self, identity: str, result: VoteResult) -> None:
        """Handles the response to a vote request; counts a vote granted in the current election."""
        if result.epoch > self.state.term:
            self.roles.become_follower(result.epoch)
            # A request refused only for its old term may win in a newer one, so this member retries soon.
            self.timer.retry_soon(is_pre_vote=True)
            return
        if self.state.role != Role.CANDIDATE or not result.granted or result.trial != self.is_pre_vote:
            return
        if result.asked != self.state.term + (1 if self.is_pre_vote else 0):
            return
        self.granting_identities.add(identity)
        self.count_votes()

    def count_votes(self) -> None:
        """Starts the real vote after a majority of pre-votes, and becomes leader after a majority of votes."""
        if not self.state.log.membership().has_quorum(self.granting_identities):
            return
        if self.is_pre_vote:
            self.start(is_pre_vote=False, is_transfer=False)
        else:
            self.roles.become_leader()
