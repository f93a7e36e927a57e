"""RaftMember (§4.1): agreement among the cores, with PreVote, learners and one change at a time.

The member is driven by messages, by a tick and by its disk; it owns its log and nothing else does.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import random
import zlib
from collections.abc import Callable
from typing import Any, Protocol

from google.protobuf.message import Message
from result import Err, Ok, Result

from pearhead.consensus.membership import Membership, end_joint, list_memberships, make_joint
from pearhead.consensus.replication import Follower, IncomingSnapshot
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import (
    AppendAsk,
    AppendResult,
    DigestAsk,
    DigestFile,
    DigestResult,
    ElectNow,
    Entry,
    LogRecord,
    Mark,
    Member,
    Members,
    VoteAsk,
    VoteResult,
)
from pearhead.runtime.clock import MILLI, SECOND, Clock, rest
from pearhead.runtime.crew import Crew

LOGGER = logging.getLogger("pearhead")
KIND_NOOP, KIND_COMMAND, KIND_MEMBERS = 0, 1, 2
TICK_MICROS = 25 * MILLI
HEARTBEAT_MICROS = 100 * MILLI
ELECTION_MICROS = 500 * MILLI
ELECTION_SPREAD_MICROS = 400 * MILLI
# A heartbeat came to one follower later than to another: that must not cost a round of votes.
CALM_MICROS = ELECTION_MICROS - HEARTBEAT_MICROS
# A vote needs two syncs, a trial none.
TRIAL_RETRY_MICROS, VOTE_RETRY_MICROS = 200 * MILLI, 350 * MILLI
RETRY_SPREAD_MICROS = 250 * MILLI
UNHEARD_MICROS = SECOND
STALL_MICROS = 1_500 * MILLI
SLOW_FLUSH_MICROS = 50 * MILLI
HANDOVER_MICROS = SECOND
CHUNK_SIZE = 256 * 1024
# A smaller batch may go twice: that costs less than to know whether it is lost.
LARGE_BATCH_BYTES = 64 * 1024
BATCH_ENTRIES = 256
BATCH_BYTES = 4 * 1024 * 1024
FULL_RETRY_MICROS = 500 * MILLI

Tell = Callable[[str, str, Message], None]
Proposal = asyncio.Future[Result[tuple[int, Any], str]]


class Machine(Protocol):
    def apply(self, index: int, command_bytes: bytes) -> Any: ...

    def take_digest(self) -> bytes: ...

    def load_digest(self, digest_bytes: bytes) -> None: ...


class RaftMember:
    def __init__(
        self,
        identity: str,
        wal: Wal,
        machine: Machine,
        tell: Tell,
        clock: Clock,
        chance: random.Random,
        crew: Crew,
        fail: Callable[[str], None],
        digest_every: int = 4_096,
        kept_entries: int = 1_024,
        digest_bytes: int = 8 * 1024 * 1024,
    ) -> None:
        self.identity = identity
        self.wal = wal
        self.machine = machine
        self.tell = tell
        self.clock = clock
        self.chance = chance
        self.crew = crew
        self.fail = fail
        self.digest_every = digest_every
        self.digest_bytes = digest_bytes
        self.bytes_since_digest = 0
        self.kept_entries = kept_entries
        self.epoch = 0
        self.voted_for = ""
        self.role = "follower"
        self.leader_identity = ""
        self.entries: list[Entry] = []
        self.base_index = 0
        self.base_epoch = 0
        # The membership at the base of the log, and each later one in it: the last is in force (§4.1).
        self.memberships = [Membership(0, Members())]
        self.joint_end: Proposal | None = None
        self.digest_index = 0
        self.commit_index = 0
        self.applied_index = 0
        self.durable_index = 0
        self.pending_records: list[LogRecord] = []
        self.pending_callbacks: list[Callable[[], None]] = []
        self.flush_started: int | None = None
        self.flush_wake = asyncio.Event()
        self.disk_full = False
        self.election_deadline = 0
        # When timers ran last: a process that stood still shows it here.
        self.ticked_micros = clock.now()
        self.heard_leader = -ELECTION_MICROS
        self.granted_by: set[str] = set()
        self.trial_vote = False
        self.election_count = 0
        self.followers: dict[str, Follower] = {}
        self.round_number = 0
        self.round_waiters: list[tuple[int, asyncio.Future[bool]]] = []
        self.proposals: dict[int, tuple[int, Proposal]] = {}
        self.handover_deadline: int | None = None
        self.handover_target = ""
        self.incoming = IncomingSnapshot()
        self.digest_busy = False
        self.taking_over = False
        self.members_watcher: Callable[[int, Members], None] = lambda index, members: None
        self.leadership_watchers: list[Callable[[bool], None]] = []

    # ---- start -------------------------------------------------------------------------------

    async def recover(self) -> None:
        recovered = await self.wal.recover()
        self.epoch, self.voted_for = recovered.mark.epoch, recovered.mark.voted_for
        if recovered.digest is not None:
            self._load_digest(recovered.digest)
        self.entries = recovered.entries
        self._list_memberships()
        self.durable_index = self.last_index()

    async def found(self, own_address: str, wanted: int = 1, zone: str = "") -> None:
        """The first founder begins alone; the others join as any new member does (§4.4)."""
        founder = Member(identity=self.identity, address=own_address, voter=True, zone=zone)
        founding = Members(member=[founder], wanted=wanted)
        entry = Entry(index=1, epoch=1, kind=KIND_MEMBERS, payload=founding.SerializeToString())
        self.epoch = 1
        await self.wal.append([LogRecord(mark=Mark(epoch=1)), LogRecord(entry=entry)])
        self.entries.append(entry)
        self._note_membership(entry)
        self.durable_index = 1
        self.election_deadline = self.clock.now()

    def start(self) -> None:
        self._put_off_election()
        self.crew.start(self._flush_forever())
        self.crew.start(self._tick_forever())

    # ---- reading the log ---------------------------------------------------------------------

    def is_empty(self) -> bool:
        return self.last_index() == 0

    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    def entry_at(self, index: int) -> Entry | None:
        position = index - self.base_index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def epoch_at(self, index: int) -> int:
        if index == self.base_index:
            return self.base_epoch
        entry = self.entry_at(index)
        return entry.epoch if entry is not None else 0

    def membership(self) -> Membership:
        """The latest membership in the log counts, committed or not."""
        return self.memberships[-1]

    def members(self) -> Members:
        """The latest members in the log, learners among them."""
        return self.membership().members

    def members_index(self) -> int:
        """The index of the entry that holds the latest members."""
        return self.membership().index

    def membership_at(self, limit_index: int) -> Membership:
        """The membership that an entry at this index was written under."""
        return next((m for m in reversed(self.memberships) if m.index <= limit_index), self.memberships[0])

    def voters(self) -> dict[str, str]:
        """Addresses by identity of all who vote; during a joint change those of both sets."""
        return self.membership().voters

    def _list_memberships(self) -> None:
        self.memberships = list_memberships(self.memberships[0], self.entries, KIND_MEMBERS)

    def _note_membership(self, entry: Entry) -> None:
        if entry.kind == KIND_MEMBERS:
            self.memberships.append(Membership(entry.index, Members.FromString(entry.payload)))

    def is_leader(self) -> bool:
        return self.role == "leader"

    def leader_address(self) -> str:
        return self.membership().addresses.get(self.leader_identity, "")

    def settled(self) -> bool:
        """A leader reads and changes members only after an entry of its own epoch committed."""
        return self.is_leader() and self.epoch_at(self.commit_index) == self.epoch

    # ---- what a leader does for others ---------------------------------------------------------

    def propose(self, payload: bytes, kind: int = KIND_COMMAND) -> Proposal:
        proposal: Proposal = asyncio.get_running_loop().create_future()
        if not self.is_leader() or self.handover_deadline is not None:
            proposal.set_result(Err("not the leader"))
            return proposal
        if self.disk_full:
            proposal.set_result(Err("not the leader"))
            return proposal
        entry = Entry(index=self.last_index() + 1, epoch=self.epoch, kind=kind, payload=payload)
        self.proposals[entry.index] = (self.epoch, proposal)
        self._append_own(entry)
        return proposal

    async def change_members(self, changed: Members) -> Result[tuple[int, Any], str]:
        if not self.settled():
            return Err("not the leader")
        present = self.membership()
        if present.index > self.commit_index or present.is_joint:
            return Err("another change of members is under way")
        changed_voters = {m.identity for m in changed.member if m.voter}
        if len(present.voters.keys() ^ changed_voters) <= 1:
            return await self.propose(changed.SerializeToString(), KIND_MEMBERS)
        joint = make_joint(present.members, changed)
        begun = await self.propose(joint.SerializeToString(), KIND_MEMBERS)
        if isinstance(begun, Err) or self.joint_end is None:
            return begun
        return await self.joint_end

    def _end_joint_change(self) -> None:
        """The leader ends a joint change as soon as its first entry is committed, whoever began it."""
        present = self.membership()
        if present.is_joint and present.index <= self.commit_index and self.settled():
            self.joint_end = self.propose(end_joint(present.members).SerializeToString(), KIND_MEMBERS)

    async def confirm(self) -> bool:
        """True once a majority, asked after this call, still follows this leader (§4.1)."""
        if not self.settled():
            return False
        confirm_future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.round_number += 1
        self.round_waiters.append((self.round_number, confirm_future))
        self._broadcast()
        self._check_rounds()
        return await confirm_future

    def hand_over(self) -> bool:
        """Starts moving leadership to the voter that holds the most of the log."""
        if not self.is_leader():
            return False
        candidates = [i for i in self.voters() if i != self.identity and i in self.followers]
        if not candidates:
            return False
        self.handover_target = max(candidates, key=lambda i: (self.followers[i].match_index, i))
        self.handover_deadline = self.clock.now() + HANDOVER_MICROS
        self._try_handover()
        return True

    # ---- messages --------------------------------------------------------------------------------

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        """Term and log decide, not who is known as a voter here: this log may lack the candidate's promotion (§4.1)."""
        is_calm = self.clock.now() - self.heard_leader < CALM_MICROS
        if (is_calm or self.is_leader()) and not ask.handover:
            self._answer_vote(address, ask, is_granted=False)
            return
        if not ask.trial and ask.epoch > self.epoch:
            self._become_follower(ask.epoch, "")
        is_fresh = (ask.last_epoch, ask.last_index) >= (self.epoch_at(self.last_index()), self.last_index())
        if ask.trial:
            self._answer_vote(address, ask, is_granted=is_fresh and ask.epoch > self.epoch)
            return
        if not (is_fresh and ask.epoch == self.epoch and self.voted_for in ("", identity)):
            self._answer_vote(address, ask, is_granted=False)
            return
        self.voted_for = identity
        self._put_off_election()
        vote_epoch = self.epoch
        self._persist_mark(lambda: self._answer_vote(address, ask, is_granted=self.epoch == vote_epoch))

    def _answer_vote(self, address: str, ask: VoteAsk, is_granted: bool) -> None:
        """Always tells this member's own epoch: one that was only asked for is nobody's yet, and none may adopt it."""
        result = VoteResult(epoch=self.epoch, granted=is_granted, trial=ask.trial, asked=ask.epoch)
        self.tell(address, "vote_result", result)

    def take_vote_result(self, identity: str, address: str, result: VoteResult) -> None:
        if result.epoch > self.epoch:
            self._become_follower(result.epoch, "")
            # Refused for its epoch alone, it may well be the one to win: it asks again soon.
            self._retry_soon(is_trial=True)
            return
        if self.role != "candidate" or not result.granted or result.trial != self.trial_vote:
            return
        if result.asked != self.epoch + (1 if self.trial_vote else 0):
            return
        self.granted_by.add(identity)
        self._count_votes()

    def take_append_ask(self, identity: str, address: str, ask: AppendAsk) -> None:
        if ask.epoch < self.epoch:
            self.tell(address, "append_result", AppendResult(epoch=self.epoch, round=ask.round))
            return
        self._follow(ask.epoch, identity)
        if self.taking_over:
            # On a slow disk a snapshot takes long to be written, and that is no silence.
            self.tell(address, "append_result", AppendResult(epoch=self.epoch, round=ask.round, waiting=True))
            return
        last_index = self.last_index()
        if ask.previous_index < self.base_index:
            hint_index = self.base_index
            self.tell(
                address,
                "append_result",
                AppendResult(
                    epoch=self.epoch,
                    success=True,
                    match_index=min(hint_index, self.durable_index),
                    round=ask.round,
                ),
            )
            return
        if ask.previous_index > last_index or self.epoch_at(ask.previous_index) != ask.previous_epoch:
            hint_index = min(last_index, ask.previous_index - 1)
            # Skips back over the whole conflicting epoch.
            conflict_epoch = self.epoch_at(hint_index)
            while hint_index > self.commit_index and self.epoch_at(hint_index) == conflict_epoch:
                hint_index -= 1
            self.tell(
                address,
                "append_result",
                AppendResult(
                    epoch=self.epoch,
                    success=False,
                    match_index=max(hint_index, self.base_index),
                    round=ask.round,
                ),
            )
            return
        records: list[LogRecord] = []
        for entry in ask.entry:
            held_epoch = self.epoch_at(entry.index) if entry.index <= self.last_index() else 0
            if held_epoch == entry.epoch:
                continue
            if entry.index <= self.last_index():
                assert entry.index > self.commit_index, "a committed entry would be cut"
                self._cut_from(entry.index)
                records.append(LogRecord(cut_from=entry.index))
            self.entries.append(entry)
            self._note_membership(entry)
            records.append(LogRecord(entry=entry))
        match_index = ask.previous_index + len(ask.entry)
        ask_epoch, ask_round = self.epoch, ask.round
        leader_commit = min(ask.commit_index, match_index)

        match_epoch = self.epoch_at(match_index)

        def acknowledge() -> None:
            if self.epoch_at(match_index) == match_epoch:
                self.durable_index = max(self.durable_index, min(match_index, self.last_index()))
            if self.epoch != ask_epoch:
                return
            self.tell(
                address,
                "append_result",
                AppendResult(epoch=ask_epoch, success=True, match_index=match_index, round=ask_round),
            )

        if records or self.pending_records or self.flush_started is not None:
            self._persist(records, acknowledge)
            if self.flush_started is not None and self.clock.now() - self.flush_started > SLOW_FLUSH_MICROS:
                # A disk that stalls is no silence: reads are confirmed and nobody steps down for it.
                self.tell(address, "append_result", AppendResult(epoch=ask_epoch, round=ask_round, waiting=True))
        else:
            acknowledge()
        self._commit_to(leader_commit)

    def take_append_result(self, identity: str, address: str, result: AppendResult) -> None:
        if result.epoch > self.epoch:
            self._become_follower(result.epoch, "")
            return
        follower = self.followers.get(identity)
        if not self.is_leader() or result.epoch != self.epoch or follower is None:
            return
        follower.heard_micros = self.clock.now()
        follower.has_answered = True
        follower.heard_round = max(follower.heard_round, result.round)
        if result.waiting:
            self._check_rounds()
            return
        if follower.digest_file is not None:
            self._check_rounds()
            if result.round >= follower.batch_round:
                follower.note_overtaken()
                self._send_append(identity)
            return
        if result.success and result.match_index >= follower.batch_last:
            follower.note_answered()
        elif not result.success or result.round >= follower.batch_round:
            follower.note_overtaken()
        if result.success:
            follower.match_index = max(follower.match_index, result.match_index)
            follower.next_index = max(follower.next_index, follower.match_index + 1)
        else:
            hint_index = min(result.match_index + 1, follower.next_index - 1)
            follower.next_index = max(follower.match_index + 1, hint_index)
        self._check_rounds()
        self._advance_commit()
        if follower.next_index <= self.last_index():
            self._send_append(identity)
        self._try_handover()

    def take_digest_ask(self, identity: str, address: str, ask: DigestAsk) -> None:
        if ask.epoch < self.epoch:
            self.tell(address, "digest_result", DigestResult(epoch=self.epoch, index=ask.index, round=ask.round))
            return
        self._follow(ask.epoch, identity)
        next_offset = self.incoming.take(identity, ask)
        result = DigestResult(epoch=self.epoch, index=ask.index, next_offset=next_offset, round=ask.round)
        if next_offset < ask.total:
            self.tell(address, "digest_result", result)
        elif ask.index <= self.commit_index:
            self.tell(address, "digest_result", result)
        elif not self.incoming.is_sound():
            LOGGER.error("consensus: A snapshot fails its checksum. index=%d", ask.index)
            self.incoming.drop()
            result.next_offset = 0
            self.tell(address, "digest_result", result)
        elif not self.digest_busy:
            self.digest_busy = self.taking_over = True
            digest = DigestFile(index=ask.index, epoch=ask.last_epoch, state=bytes(self.incoming.state))
            digest.members.CopyFrom(ask.members)
            self.crew.start(self._take_over_digest(digest, address, result))

    def take_digest_result(self, identity: str, address: str, result: DigestResult) -> None:
        if result.epoch > self.epoch:
            self._become_follower(result.epoch, "")
            return
        follower = self.followers.get(identity)
        if not self.is_leader() or result.epoch != self.epoch or follower is None:
            return
        follower.heard_micros = self.clock.now()
        follower.has_answered = True
        follower.heard_round = max(follower.heard_round, result.round)
        if result.next_offset == follower.digest_offset and follower.in_flight and follower.digest_offset:
            self._check_rounds()
            return
        follower.note_answered()
        if follower.digest_file is not None and result.index == follower.digest_file.index:
            if result.next_offset >= len(follower.digest_file.state):
                follower.match_index = max(follower.match_index, result.index)
                follower.next_index = follower.match_index + 1
                follower.digest_file = follower.digest_offset = None
            else:
                follower.digest_offset = result.next_offset
        self._check_rounds()
        self._send_append(identity)

    def take_elect_now(self, identity: str, address: str, ask: ElectNow) -> None:
        if ask.epoch == self.epoch and self.identity in self.voters() and not self.taking_over:
            self._start_election(is_trial=False, is_handover=True)

    # ---- roles -----------------------------------------------------------------------------------

    async def _tick_forever(self) -> None:
        while True:
            await rest(self.clock, TICK_MICROS)
            self._tick()
            self.ticked_micros = self.clock.now()

    def _tick(self) -> None:
        now_micros = self.clock.now()
        is_stalled = self.disk_full or (
            self.flush_started is not None and now_micros - self.flush_started > STALL_MICROS
        )
        if self.is_leader():
            if is_stalled:
                LOGGER.warning("consensus: The disk stalls or is full. Stepping down.")
                self._hand_over_at_once()
                self._become_follower(self.epoch, "")
                return
            heard = [
                i
                for i in self.voters()
                if i == self.identity or now_micros - self.followers[i].heard_micros < UNHEARD_MICROS
            ]
            if not self.membership().has_quorum(heard):
                LOGGER.warning("consensus: No majority answers. Stepping down.")
                self._become_follower(self.epoch, "")
                return
            if self.handover_deadline is not None and now_micros > self.handover_deadline:
                self.handover_deadline = None
            self._end_joint_change()
            for follower_identity, follower in self.followers.items():
                if now_micros - follower.sent_micros >= HEARTBEAT_MICROS:
                    # A large batch is long on its way; meanwhile an empty one goes, and tells that this one leads.
                    follower.in_flight = follower.in_flight and now_micros < follower.batch_micros
                    self._send_append(follower_identity, is_beat=True)
        elif now_micros >= self.election_deadline:
            if self._may_stand() and not is_stalled:
                self._start_election(is_trial=True, is_handover=False)
            else:
                self._put_off_election()

    def _may_stand(self) -> bool:
        """A voter that an uncommitted change leaves out may hold the longest log: it stands until that is committed."""
        if self.taking_over:
            return False
        present = self.membership()
        if present.index <= self.commit_index:
            return self.identity in present.voters
        return self.identity in present.voters or self.identity in self.membership_at(present.index - 1).voters

    def _put_off_election(self) -> None:
        wait_micros = ELECTION_MICROS + self.chance.randrange(ELECTION_SPREAD_MICROS)
        self.election_deadline = self.clock.now() + wait_micros

    def _retry_soon(self, is_trial: bool) -> None:
        """A trial disturbs nobody, so one that came too early or went astray costs only this much."""
        wait_micros = TRIAL_RETRY_MICROS if is_trial else VOTE_RETRY_MICROS
        self.election_deadline = self.clock.now() + wait_micros + self.chance.randrange(RETRY_SPREAD_MICROS)

    def _start_election(self, is_trial: bool, is_handover: bool) -> None:
        self._retry_soon(is_trial)
        self.role = "candidate"
        self.leader_identity = ""
        self.trial_vote = is_trial
        self.granted_by = set()
        ask = VoteAsk(
            epoch=self.epoch + 1,
            last_index=self.last_index(),
            last_epoch=self.epoch_at(self.last_index()),
            trial=is_trial,
            handover=is_handover,
        )

        def send_asks() -> None:
            for voter_identity, voter_address in self.voters().items():
                if voter_identity != self.identity:
                    self.tell(voter_address, "vote_ask", ask)

        if is_trial:
            self.granted_by.add(self.identity)
            send_asks()
            self._count_votes()
            return
        self.epoch += 1
        self.election_count += 1
        self.voted_for = self.identity
        vote_epoch = self.epoch

        def vote_for_self() -> None:
            if self.epoch == vote_epoch and self.role == "candidate":
                self.granted_by.add(self.identity)
                send_asks()
                self._count_votes()

        self._persist_mark(vote_for_self)

    def _count_votes(self) -> None:
        if not self.membership().has_quorum(self.granted_by):
            return
        if self.trial_vote:
            self._start_election(is_trial=False, is_handover=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        LOGGER.info("consensus: Leads. epoch=%d", self.epoch)
        self.role = "leader"
        self.leader_identity = self.identity
        self.followers = {}
        self.handover_deadline = None
        self._match_followers()
        self._append_own(Entry(index=self.last_index() + 1, epoch=self.epoch, kind=KIND_NOOP))
        for watcher in self.leadership_watchers:
            watcher(True)

    def _become_follower(self, epoch: int, leader_identity: str) -> None:
        was_leader = self.is_leader()
        if epoch > self.epoch:
            self.epoch = epoch
            self.voted_for = ""
            self._persist_mark(lambda: None)
        if self.role != "follower":
            self._put_off_election()
        self.role = "follower"
        self.leader_identity = leader_identity
        self.handover_deadline = None
        if was_leader:
            for _, waiter in self.round_waiters:
                if not waiter.done():
                    waiter.set_result(False)
            self.round_waiters = []
            for _, proposal in self.proposals.values():
                if not proposal.done():
                    proposal.set_result(Err("outcome unknown"))
            self.proposals = {}
            for watcher in self.leadership_watchers:
                watcher(False)

    def _follow(self, epoch: int, leader_identity: str) -> None:
        if epoch > self.epoch or self.role != "follower" or self.leader_identity != leader_identity:
            self._become_follower(epoch, leader_identity)
        self.heard_leader = self.clock.now()
        self._put_off_election()

    # ---- the leader's log --------------------------------------------------------------------------

    def _append_own(self, entry: Entry) -> None:
        self.entries.append(entry)
        self._note_membership(entry)
        if entry.kind == KIND_MEMBERS:
            self._match_followers()
        entry_index, entry_epoch = entry.index, entry.epoch

        def made_durable() -> None:
            if self.epoch_at(entry_index) == entry_epoch:
                self.durable_index = max(self.durable_index, entry_index)
                self._advance_commit()

        self._persist([LogRecord(entry=entry)], made_durable)
        self._broadcast()

    def _match_followers(self) -> None:
        member_identities = {m.identity for m in self.members().member} - {self.identity}
        for member_identity in sorted(member_identities - set(self.followers)):
            self.followers[member_identity] = Follower(self.last_index() + 1, self.clock.now())
        for gone_identity in sorted(set(self.followers) - member_identities):
            del self.followers[gone_identity]

    def _broadcast(self) -> None:
        for follower_identity in list(self.followers):
            self._send_append(follower_identity)

    def _send_append(self, follower_identity: str, is_beat: bool = False) -> None:
        follower = self.followers[follower_identity]
        member_address = self.membership().addresses.get(follower_identity, "")
        is_round_due = follower.heard_round < self.round_number
        if (follower.in_flight and not is_round_due and not is_beat) or not member_address:
            return
        follower.sent_micros = self.clock.now()
        if follower.digest_file is not None or follower.next_index <= self.base_index:
            self._send_snapshot(follower, member_address)
            return
        previous_index = follower.next_index - 1
        entries = [] if follower.in_flight else self._batch_after(previous_index)
        if entries:
            batch_size = sum(len(entry.payload) for entry in entries)
            if batch_size >= LARGE_BATCH_BYTES:
                # Only beats sent after it have this round: if one is answered first, the batch is lost.
                self.round_number += 1
            follower.note_sent(follower.sent_micros, batch_size, entries[-1].index, self.round_number)
        elif not follower.in_flight:
            follower.note_sent(follower.sent_micros, 0, previous_index, self.round_number)
        follower.in_flight = True
        self._tell_append(member_address, previous_index, entries)

    def _tell_append(self, member_address: str, previous_index: int, entries: list[Entry]) -> None:
        self.tell(
            member_address,
            "append_ask",
            AppendAsk(
                epoch=self.epoch,
                previous_index=previous_index,
                previous_epoch=self.epoch_at(previous_index),
                entry=entries,
                commit_index=self.commit_index,
                round=self.round_number,
            ),
        )

    def _send_snapshot(self, follower: Follower, member_address: str) -> None:
        """A piece at a time; while one is on its way, no more than a beat goes."""
        if follower.in_flight and self.clock.now() < follower.batch_micros:
            self._tell_append(member_address, self.base_index, [])
            return
        follower.in_flight = True
        self._send_chunk(follower, member_address)

    def _batch_after(self, index: int) -> list[Entry]:
        """A frame has a limit, so a batch has one too; one entry always goes."""
        position = index - self.base_index
        batch = self.entries[position : position + BATCH_ENTRIES]
        size = 0
        for count, entry in enumerate(batch):
            size += len(entry.payload)
            if count and size > BATCH_BYTES:
                return batch[:count]
        return batch

    def _send_chunk(self, follower: Follower, member_address: str) -> None:
        if follower.digest_file is None:
            follower.digest_file = self._build_digest()
            follower.digest_checksum = zlib.crc32(follower.digest_file.state)
            follower.digest_offset = 0
        digest, offset = follower.digest_file, follower.digest_offset or 0
        self.round_number += 1
        piece_size = min(CHUNK_SIZE, len(digest.state) - offset)
        follower.note_sent(self.clock.now(), piece_size, -offset, self.round_number)
        self.tell(
            member_address,
            "digest_ask",
            DigestAsk(
                epoch=self.epoch,
                index=digest.index,
                last_epoch=digest.epoch,
                members=digest.members,
                offset=offset,
                total=len(digest.state),
                chunk=digest.state[offset : offset + CHUNK_SIZE],
                checksum=follower.digest_checksum,
                round=self.round_number,
            ),
        )

    def _advance_commit(self) -> None:
        if not self.is_leader():
            return
        agreed_index = self.membership().agreed(
            lambda i: self.durable_index if i == self.identity else self.followers[i].match_index
        )
        if agreed_index > self.commit_index and self.epoch_at(agreed_index) == self.epoch:
            self._commit_to(agreed_index)
            self._broadcast()

    def _check_rounds(self) -> None:
        if not self.round_waiters:
            return
        agreed_round = self.membership().agreed(
            lambda i: self.round_number if i == self.identity else self.followers[i].heard_round
        )
        still_waiting = []
        for round_number, waiter in self.round_waiters:
            if round_number <= agreed_round:
                if not waiter.done():
                    waiter.set_result(True)
            else:
                still_waiting.append((round_number, waiter))
        self.round_waiters = still_waiting

    def _hand_over_at_once(self) -> None:
        """A leader that must go names the best follower, so that nobody waits for a timeout."""
        candidates = [i for i in self.voters() if i in self.followers]
        if candidates:
            best_identity = max(candidates, key=lambda i: (self.followers[i].match_index, i))
            self.tell(self.voters()[best_identity], "elect_now", ElectNow(epoch=self.epoch))

    def _try_handover(self) -> None:
        if self.handover_deadline is None or not self.is_leader():
            return
        follower = self.followers.get(self.handover_target)
        if follower is not None and follower.match_index == self.last_index():
            self.tell(self.voters()[self.handover_target], "elect_now", ElectNow(epoch=self.epoch))

    # ---- committing and digests ---------------------------------------------------------------------

    def _commit_to(self, index: int) -> None:
        self.commit_index = max(self.commit_index, min(index, self.last_index()))
        while self.applied_index < self.commit_index:
            entry = self.entry_at(self.applied_index + 1)
            assert entry is not None
            outcome = self.machine.apply(entry.index, entry.payload) if entry.kind == KIND_COMMAND else None
            self.applied_index = entry.index
            self.bytes_since_digest += len(entry.payload)
            proposed_epoch, proposal = self.proposals.pop(entry.index, (0, None))
            if proposal is not None and not proposal.done():
                is_own = proposed_epoch == entry.epoch
                proposal.set_result(Ok((entry.index, outcome)) if is_own else Err("outcome unknown"))
            if entry.kind == KIND_MEMBERS and self.is_leader():
                self.members_watcher(entry.index, Members.FromString(entry.payload))
            if entry.kind == KIND_MEMBERS and self.is_leader() and self.identity not in self.voters():
                self._hand_over_at_once()
                self._become_follower(self.epoch, "")
        self._end_joint_change()
        is_due = (
            self.applied_index - self.digest_index >= self.digest_every or self.bytes_since_digest >= self.digest_bytes
        )
        if is_due and self.applied_index > self.digest_index and not self.digest_busy:
            self.digest_busy = True
            self.bytes_since_digest = 0
            self.crew.start(self._keep_digest(self._build_digest()))

    def _build_digest(self) -> DigestFile:
        digest = DigestFile(
            index=self.applied_index,
            epoch=self.epoch_at(self.applied_index),
            state=self.machine.take_digest(),
        )
        digest.members.CopyFrom(self.membership_at(self.applied_index).members)
        return digest

    async def _keep_digest(self, digest: DigestFile) -> None:
        try:
            await self.wal.keep_digest(digest)
            self.digest_index = digest.index
            new_base = min(digest.index, max(self.base_index, digest.index - self.kept_entries))
            new_base = max(new_base, self._base_by_bytes(digest.index))
            if new_base > self.base_index:
                new_epoch = self.epoch_at(new_base)
                base_membership = self.membership_at(new_base)
                self.memberships = [base_membership, *(m for m in self.memberships if m.index > new_base)]
                self.entries = self.entries[new_base - self.base_index :]
                self.base_index, self.base_epoch = new_base, new_epoch
        except OSError as disk_error:
            self._take_disk_error(disk_error)
            # Written until the disk takes it: without it nobody would see that there is room again.
            self._persist_mark(lambda: None)
        finally:
            self.digest_busy = False

    def _base_by_bytes(self, index: int) -> int:
        """Behind a digest no more bytes of entries are kept than lead to the next one (§4.3)."""
        kept_bytes = 0
        while index > self.base_index:
            entry = self.entry_at(index)
            assert entry is not None
            kept_bytes += len(entry.payload)
            if kept_bytes > self.digest_bytes:
                break
            index -= 1
        return index

    async def _take_over_digest(self, digest: DigestFile, address: str, result: DigestResult) -> None:
        try:
            # What waits to be written goes first; nothing new is taken meanwhile.
            drained: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._persist([], lambda: drained.set_result(None))
            await drained
            held_epoch = self.epoch_at(digest.index)
            kept_entries = []
            if digest.index <= self.last_index() and held_epoch == digest.epoch:
                kept_entries = self.entries[digest.index - self.base_index :]
            await self.wal.reset_to(digest, kept_entries)
            if digest.index > self.commit_index:
                self._load_digest(digest)
                self.entries = kept_entries
                self._list_memberships()
                self.durable_index = self.last_index()
            self.tell(address, "digest_result", result)
        except OSError as disk_error:
            self._take_disk_error(disk_error)
            # Written until the disk takes it: without it nobody would see that there is room again.
            self._persist_mark(lambda: None)
        finally:
            self.digest_busy = self.taking_over = False

    def _load_digest(self, digest: DigestFile) -> None:
        self.machine.load_digest(digest.state)
        self.base_index, self.base_epoch = digest.index, digest.epoch
        self.memberships = [Membership(digest.index, digest.members)]
        self.digest_index = self.commit_index = self.applied_index = digest.index
        self.bytes_since_digest = 0

    def _cut_from(self, index: int) -> None:
        self.entries = self.entries[: index - self.base_index - 1]
        self.memberships = [self.memberships[0], *(m for m in self.memberships[1:] if m.index < index)]
        self.durable_index = min(self.durable_index, index - 1)

    # ---- disk ------------------------------------------------------------------------------------------

    def _persist_mark(self, callback: Callable[[], None]) -> None:
        self._persist([LogRecord(mark=Mark(epoch=self.epoch, voted_for=self.voted_for))], callback)

    def _persist(self, records: list[LogRecord], callback: Callable[[], None]) -> None:
        self.pending_records.extend(records)
        self.pending_callbacks.append(callback)
        self.flush_wake.set()

    async def _flush_forever(self) -> None:
        while True:
            await self.flush_wake.wait()
            self.flush_wake.clear()
            # Group commit: all that gathered while the last batch was synced goes as one.
            records, self.pending_records = self.pending_records, []
            callbacks, self.pending_callbacks = self.pending_callbacks, []
            self.flush_started = self.clock.now()
            if records:
                await self._write_until_done(records)
            self.flush_started = None
            for callback in callbacks:
                callback()

    async def _write_until_done(self, records: list[LogRecord]) -> None:
        while True:
            try:
                await self.wal.append(records)
                self.disk_full = False
                return
            except OSError as disk_error:
                self._take_disk_error(disk_error)
                await rest(self.clock, FULL_RETRY_MICROS)

    def _take_disk_error(self, disk_error: OSError) -> None:
        if disk_error.errno == errno.ENOSPC:
            if not self.disk_full:
                LOGGER.error("consensus: The disk is full.")
            self.disk_full = True
            return
        # After a failed sync nothing is known of the file: going on could lose an acknowledgement.
        self.fail(f"the disk failed: {disk_error}")
