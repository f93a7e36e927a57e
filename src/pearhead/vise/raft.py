"""RaftMember (§4.1): agreement among the cores, with PreVote, learners and one change at a time.

The member is driven by messages, by a tick and by its disk; it owns its log and nothing else does.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from typing import Any, Protocol

import picologging
from google.protobuf.message import Message
from result import Err, Ok, Result

from pearhead.awl.clock import MILLI, SECOND, Clock, rest
from pearhead.awl.crew import Crew
from pearhead.awl.wire_pb2 import (
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
from pearhead.vise.wal import Wal

LOGGER = picologging.getLogger("pearhead")
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
BATCH_ENTRIES = 256
BATCH_BYTES = 4 * 1024 * 1024
SLOW_BYTES = 4 * 1024 * 1024
FULL_RETRY_MICROS = 500 * MILLI

Tell = Callable[[str, str, Message], None]
Proposal = asyncio.Future[Result[tuple[int, Any], str]]


class Machine(Protocol):
    def apply(self, index: int, commandBytes: bytes) -> Any: ...

    def take_digest(self) -> bytes: ...

    def load_digest(self, digestBytes: bytes) -> None: ...


class Follower:
    """What a leader knows of one member."""

    def __init__(self, nextIndex: int, heardMicros: int) -> None:
        self.nextIndex = nextIndex
        self.matchIndex = 0
        self.heardMicros = heardMicros
        self.has_answered = False
        self.heardRound = 0
        self.sentMicros = -SECOND
        self.inFlight = False
        self.batch_micros = 0
        self.digestOffset: int | None = None
        self.digestFile: DigestFile | None = None


class RaftMember:
    def __init__(
        self, identity: str, wal: Wal, machine: Machine, tell: Tell, clock: Clock,
        chance: random.Random, crew: Crew, fail: Callable[[str], None], digestEvery: int = 4_096,
        keptEntries: int = 1_024, digest_bytes: int = 8 * 1024 * 1024,
    ) -> None:
        self.identity = identity
        self.wal = wal
        self.machine = machine
        self.tell = tell
        self.clock = clock
        self.chance = chance
        self.crew = crew
        self.fail = fail
        self.digestEvery = digestEvery
        self.digest_bytes = digest_bytes
        self.bytes_since_digest = 0
        self.keptEntries = keptEntries
        self.epoch = 0
        self.votedFor = ""
        self.role = "follower"
        self.leaderIdentity = ""
        self.entries: list[Entry] = []
        self.baseIndex = 0
        self.baseEpoch = 0
        self.baseMembers = Members()
        self.digestIndex = 0
        self.commitIndex = 0
        self.appliedIndex = 0
        self.durableIndex = 0
        self.pendingRecords: list[LogRecord] = []
        self.pendingCallbacks: list[Callable[[], None]] = []
        self.flushStarted: int | None = None
        self.flushWake = asyncio.Event()
        self.diskFull = False
        self.electionDeadline = 0
        self.heardLeader = -ELECTION_MICROS
        self.grantedBy: set[str] = set()
        self.trialVote = False
        self.followers: dict[str, Follower] = {}
        self.roundNumber = 0
        self.roundWaiters: list[tuple[int, asyncio.Future[bool]]] = []
        self.proposals: dict[int, tuple[int, Proposal]] = {}
        self.handoverDeadline: int | None = None
        self.handoverTarget = ""
        self.incomingChunks = bytearray()
        self.digestBusy = False
        self.takingOver = False
        self.membersWatcher: Callable[[int, Members], None] = lambda index, members: None
        self.leadershipWatchers: list[Callable[[bool], None]] = []

    # ---- start -------------------------------------------------------------------------------

    async def recover(self) -> None:
        recovered = await self.wal.recover()
        self.epoch, self.votedFor = recovered.mark.epoch, recovered.mark.votedFor
        if recovered.digest is not None:
            self._load_digest(recovered.digest)
        self.entries = recovered.entries
        self.durableIndex = self.last_index()

    async def found(self, ownAddress: str, wanted: int = 1) -> None:
        """The first founder begins alone; the others join as any new member does (§4.4)."""
        founding = Members(
            member=[Member(identity=self.identity, address=ownAddress, voter=True)], wanted=wanted
        )
        entry = Entry(index=1, epoch=1, kind=KIND_MEMBERS, payload=founding.SerializeToString())
        self.epoch = 1
        await self.wal.append([LogRecord(mark=Mark(epoch=1)), LogRecord(entry=entry)])
        self.entries.append(entry)
        self.durableIndex = 1
        self.electionDeadline = self.clock.now()

    def start(self) -> None:
        self._put_off_election()
        self.crew.start(self._flush_forever())
        self.crew.start(self._tick_forever())

    # ---- reading the log ---------------------------------------------------------------------

    def is_empty(self) -> bool:
        return self.last_index() == 0

    def last_index(self) -> int:
        return self.baseIndex + len(self.entries)

    def entry_at(self, index: int) -> Entry | None:
        position = index - self.baseIndex - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def epoch_at(self, index: int) -> int:
        if index == self.baseIndex:
            return self.baseEpoch
        entry = self.entry_at(index)
        return entry.epoch if entry is not None else 0

    def members(self) -> Members:
        """The latest members in the log count, committed or not."""
        return self._members_up_to(self.last_index())[1]

    def members_index(self) -> int:
        return self._members_up_to(self.last_index())[0]

    def _members_up_to(self, limitIndex: int) -> tuple[int, Members]:
        for entry in reversed(self.entries):
            if entry.kind == KIND_MEMBERS and entry.index <= limitIndex:
                return entry.index, Members.FromString(entry.payload)
        return self.baseIndex, self.baseMembers

    def voters(self) -> dict[str, str]:
        return {m.identity: m.address for m in self.members().member if m.voter}

    def ever_voted(self) -> bool:
        """Whether this member has a vote by any membership that its log still holds (§4.9)."""
        return any(
            m.identity == self.identity and m.voter
            for members in (self.baseMembers, *(
                Members.FromString(e.payload) for e in self.entries if e.kind == KIND_MEMBERS
            ))
            for m in members.member
        )

    def is_leader(self) -> bool:
        return self.role == "leader"

    def leader_address(self) -> str:
        for member in self.members().member:
            if member.identity == self.leaderIdentity:
                return member.address
        return ""

    def settled(self) -> bool:
        """A leader reads and changes members only after an entry of its own epoch committed."""
        return self.is_leader() and self.epoch_at(self.commitIndex) == self.epoch

    # ---- what a leader does for others ---------------------------------------------------------

    def propose(self, payload: bytes, kind: int = KIND_COMMAND) -> Proposal:
        proposal: Proposal = asyncio.get_running_loop().create_future()
        if not self.is_leader() or self.handoverDeadline is not None:
            proposal.set_result(Err("not the leader"))
            return proposal
        if self.diskFull:
            proposal.set_result(Err("not the leader"))
            return proposal
        entry = Entry(index=self.last_index() + 1, epoch=self.epoch, kind=kind, payload=payload)
        self.proposals[entry.index] = (self.epoch, proposal)
        self._append_own(entry)
        return proposal

    async def change_members(self, changed: Members) -> Result[tuple[int, Any], str]:
        if not self.settled():
            return Err("not the leader")
        if self._members_up_to(self.last_index())[0] > self.commitIndex:
            return Err("another change of members is under way")
        oldVoters = {m.identity for m in self.members().member if m.voter}
        newVoters = {m.identity for m in changed.member if m.voter}
        if len(oldVoters ^ newVoters) > 1:
            return Err("one change at a time")
        return await self.propose(changed.SerializeToString(), KIND_MEMBERS)

    async def confirm(self) -> bool:
        """True once a majority, asked after this call, still follows this leader (§4.1)."""
        if not self.settled():
            return False
        confirmFuture: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.roundNumber += 1
        self.roundWaiters.append((self.roundNumber, confirmFuture))
        self._broadcast()
        self._check_rounds()
        return await confirmFuture

    def hand_over(self) -> bool:
        """Starts moving leadership to the voter that holds the most of the log."""
        if not self.is_leader():
            return False
        candidates = [i for i in self.voters() if i != self.identity and i in self.followers]
        if not candidates:
            return False
        self.handoverTarget = max(candidates, key=lambda i: (self.followers[i].matchIndex, i))
        self.handoverDeadline = self.clock.now() + HANDOVER_MICROS
        self._try_handover()
        return True

    # ---- messages --------------------------------------------------------------------------------

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        knownVoters = self.voters()
        if knownVoters and identity not in knownVoters:
            return  # An old disk that reappears, or one never admitted, gets no vote (§4.4).
        isCalm = self.clock.now() - self.heardLeader < CALM_MICROS
        if (isCalm or self.is_leader()) and not ask.handover:
            self.tell(address, "voteResult", VoteResult(epoch=self.epoch, granted=False, trial=ask.trial))
            return
        if not ask.trial and ask.epoch > self.epoch:
            self._become_follower(ask.epoch, "")
        isFresh = (ask.lastEpoch, ask.lastIndex) >= (self.epoch_at(self.last_index()), self.last_index())
        if ask.trial:
            isGranted = isFresh and ask.epoch > self.epoch
            self.tell(address, "voteResult", VoteResult(epoch=ask.epoch, granted=isGranted, trial=True))
            return
        isGranted = isFresh and ask.epoch == self.epoch and self.votedFor in ("", identity)
        if not isGranted:
            self.tell(address, "voteResult", VoteResult(epoch=self.epoch, granted=False))
            return
        self.votedFor = identity
        self._put_off_election()
        voteEpoch = self.epoch
        self._persist_mark(
            lambda: self.tell(address, "voteResult", VoteResult(epoch=voteEpoch, granted=True))
        )

    def take_vote_result(self, identity: str, address: str, result: VoteResult) -> None:
        if result.epoch > self.epoch and not (result.trial and result.granted):
            self._become_follower(result.epoch, "")
            return
        if self.role != "candidate" or not result.granted or result.trial != self.trialVote:
            return
        if result.epoch != self.epoch + (1 if self.trialVote else 0):
            return
        self.grantedBy.add(identity)
        self._count_votes()

    def take_append_ask(self, identity: str, address: str, ask: AppendAsk) -> None:
        if ask.epoch < self.epoch:
            self.tell(address, "appendResult", AppendResult(epoch=self.epoch, round=ask.round))
            return
        self._follow(ask.epoch, identity)
        if self.takingOver:
            return
        lastIndex = self.last_index()
        if ask.previousIndex < self.baseIndex:
            hintIndex = self.baseIndex
            self.tell(address, "appendResult", AppendResult(
                epoch=self.epoch, success=True, matchIndex=min(hintIndex, self.durableIndex),
                round=ask.round,
            ))
            return
        if ask.previousIndex > lastIndex or self.epoch_at(ask.previousIndex) != ask.previousEpoch:
            hintIndex = min(lastIndex, ask.previousIndex - 1)
            # Skips back over the whole conflicting epoch.
            conflictEpoch = self.epoch_at(hintIndex)
            while hintIndex > self.commitIndex and self.epoch_at(hintIndex) == conflictEpoch:
                hintIndex -= 1
            self.tell(address, "appendResult", AppendResult(
                epoch=self.epoch, success=False, matchIndex=max(hintIndex, self.baseIndex), round=ask.round,
            ))
            return
        records: list[LogRecord] = []
        for entry in ask.entry:
            heldEpoch = self.epoch_at(entry.index) if entry.index <= self.last_index() else 0
            if heldEpoch == entry.epoch:
                continue
            if entry.index <= self.last_index():
                assert entry.index > self.commitIndex, "a committed entry would be cut"
                self._cut_from(entry.index)
                records.append(LogRecord(cutFrom=entry.index))
            self.entries.append(entry)
            records.append(LogRecord(entry=entry))
        matchIndex = ask.previousIndex + len(ask.entry)
        askEpoch, askRound = self.epoch, ask.round
        leaderCommit = min(ask.commitIndex, matchIndex)

        def acknowledge() -> None:
            self.durableIndex = max(self.durableIndex, min(matchIndex, self.last_index()))
            if self.epoch != askEpoch:
                return
            self.tell(address, "appendResult", AppendResult(
                epoch=askEpoch, success=True, matchIndex=matchIndex, round=askRound
            ))

        if records or self.pendingRecords or self.flushStarted is not None:
            self._persist(records, acknowledge)
            if self.flushStarted is not None and self.clock.now() - self.flushStarted > SLOW_FLUSH_MICROS:
                # A disk that stalls is no silence: reads are confirmed and nobody steps down for it.
                self.tell(address, "appendResult", AppendResult(epoch=askEpoch, round=askRound, waiting=True))
        else:
            acknowledge()
        self._commit_to(leaderCommit)

    def take_append_result(self, identity: str, address: str, result: AppendResult) -> None:
        if result.epoch > self.epoch:
            self._become_follower(result.epoch, "")
            return
        follower = self.followers.get(identity)
        if not self.is_leader() or result.epoch != self.epoch or follower is None:
            return
        follower.heardMicros = self.clock.now()
        follower.has_answered = True
        follower.heardRound = max(follower.heardRound, result.round)
        if result.waiting:
            self._check_rounds()
            return
        follower.inFlight = False
        if result.success:
            follower.matchIndex = max(follower.matchIndex, result.matchIndex)
            follower.nextIndex = max(follower.nextIndex, follower.matchIndex + 1)
        else:
            hintIndex = min(result.matchIndex + 1, follower.nextIndex - 1)
            follower.nextIndex = max(follower.matchIndex + 1, hintIndex)
        self._check_rounds()
        self._advance_commit()
        if follower.nextIndex <= self.last_index():
            self._send_append(identity)
        self._try_handover()

    def take_digest_ask(self, identity: str, address: str, ask: DigestAsk) -> None:
        if ask.epoch < self.epoch:
            return
        self._follow(ask.epoch, identity)
        nextOffset = len(self.incomingChunks)
        if ask.offset == 0:
            self.incomingChunks = bytearray()
            nextOffset = 0
        if ask.offset == nextOffset:
            self.incomingChunks += ask.chunk
            nextOffset += len(ask.chunk)
        result = DigestResult(epoch=self.epoch, index=ask.index, nextOffset=nextOffset, round=ask.round)
        if nextOffset < ask.total:
            self.tell(address, "digestResult", result)
        elif ask.index <= self.commitIndex:
            self.tell(address, "digestResult", result)
        elif not self.digestBusy:
            self.digestBusy = self.takingOver = True
            digest = DigestFile(index=ask.index, epoch=ask.lastEpoch, state=bytes(self.incomingChunks))
            digest.members.CopyFrom(ask.members)
            self.crew.start(self._take_over_digest(digest, address, result))

    def take_digest_result(self, identity: str, address: str, result: DigestResult) -> None:
        follower = self.followers.get(identity)
        if not self.is_leader() or result.epoch != self.epoch or follower is None:
            return
        follower.heardMicros = self.clock.now()
        follower.has_answered = True
        follower.heardRound = max(follower.heardRound, result.round)
        follower.inFlight = False
        if follower.digestFile is not None and result.index == follower.digestFile.index:
            if result.nextOffset >= len(follower.digestFile.state):
                follower.matchIndex = max(follower.matchIndex, result.index)
                follower.nextIndex = follower.matchIndex + 1
                follower.digestFile = follower.digestOffset = None
            else:
                follower.digestOffset = result.nextOffset
        self._check_rounds()
        self._send_append(identity)

    def take_elect_now(self, identity: str, address: str, ask: ElectNow) -> None:
        if ask.epoch == self.epoch and self.identity in self.voters():
            self._start_election(isTrial=False, isHandover=True)

    # ---- roles -----------------------------------------------------------------------------------

    async def _tick_forever(self) -> None:
        while True:
            await rest(self.clock, TICK_MICROS)
            self._tick()

    def _tick(self) -> None:
        nowMicros = self.clock.now()
        isStalled = self.diskFull or (
            self.flushStarted is not None and nowMicros - self.flushStarted > STALL_MICROS
        )
        if self.is_leader():
            if isStalled:
                LOGGER.warning("vise: The disk stalls or is full. Stepping down.")
                self._hand_over_at_once()
                self._become_follower(self.epoch, "")
                return
            heardCount = sum(
                1 for i in self.voters()
                if i == self.identity or nowMicros - self.followers[i].heardMicros < UNHEARD_MICROS
            )
            if heardCount < self._majority():
                LOGGER.warning("vise: No majority answers. Stepping down.")
                self._become_follower(self.epoch, "")
                return
            if self.handoverDeadline is not None and nowMicros > self.handoverDeadline:
                self.handoverDeadline = None
            for followerIdentity, follower in self.followers.items():
                if nowMicros - follower.sentMicros >= HEARTBEAT_MICROS:
                    # A large batch is long on its way; meanwhile an empty one goes, and tells that this one leads.
                    follower.inFlight = follower.inFlight and nowMicros < follower.batch_micros
                    self._send_append(followerIdentity, is_beat=True)
        elif nowMicros >= self.electionDeadline:
            if self.identity in self.voters() and not isStalled:
                self._start_election(isTrial=True, isHandover=False)
            else:
                self._put_off_election()

    def _put_off_election(self) -> None:
        waitMicros = ELECTION_MICROS + self.chance.randrange(ELECTION_SPREAD_MICROS)
        self.electionDeadline = self.clock.now() + waitMicros

    def _retry_soon(self, is_trial: bool) -> None:
        """A trial disturbs nobody, so one that came too early or went astray costs only this much."""
        wait_micros = TRIAL_RETRY_MICROS if is_trial else VOTE_RETRY_MICROS
        self.electionDeadline = self.clock.now() + wait_micros + self.chance.randrange(RETRY_SPREAD_MICROS)

    def _start_election(self, isTrial: bool, isHandover: bool) -> None:
        self._retry_soon(isTrial)
        self.role = "candidate"
        self.leaderIdentity = ""
        self.trialVote = isTrial
        self.grantedBy = set()
        ask = VoteAsk(
            epoch=self.epoch + 1, lastIndex=self.last_index(), lastEpoch=self.epoch_at(self.last_index()),
            trial=isTrial, handover=isHandover,
        )

        def send_asks() -> None:
            for voterIdentity, voterAddress in self.voters().items():
                if voterIdentity != self.identity:
                    self.tell(voterAddress, "voteAsk", ask)

        if isTrial:
            self.grantedBy.add(self.identity)
            send_asks()
            self._count_votes()
            return
        self.epoch += 1
        self.votedFor = self.identity
        voteEpoch = self.epoch

        def vote_for_self() -> None:
            if self.epoch == voteEpoch and self.role == "candidate":
                self.grantedBy.add(self.identity)
                send_asks()
                self._count_votes()

        self._persist_mark(vote_for_self)

    def _count_votes(self) -> None:
        if len(self.grantedBy & set(self.voters())) < self._majority():
            return
        if self.trialVote:
            self._start_election(isTrial=False, isHandover=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        LOGGER.info("vise: Leads. epoch=%d", self.epoch)
        self.role = "leader"
        self.leaderIdentity = self.identity
        self.followers = {}
        self.handoverDeadline = None
        self._match_followers()
        self._append_own(Entry(index=self.last_index() + 1, epoch=self.epoch, kind=KIND_NOOP))
        for watcher in self.leadershipWatchers:
            watcher(True)

    def _become_follower(self, epoch: int, leaderIdentity: str) -> None:
        wasLeader = self.is_leader()
        if epoch > self.epoch:
            self.epoch = epoch
            self.votedFor = ""
            self._persist_mark(lambda: None)
        if self.role != "follower":
            self._put_off_election()
        self.role = "follower"
        self.leaderIdentity = leaderIdentity
        self.handoverDeadline = None
        if wasLeader:
            for _, waiter in self.roundWaiters:
                if not waiter.done():
                    waiter.set_result(False)
            self.roundWaiters = []
            for _, proposal in self.proposals.values():
                if not proposal.done():
                    proposal.set_result(Err("outcome unknown"))
            self.proposals = {}
            for watcher in self.leadershipWatchers:
                watcher(False)

    def _follow(self, epoch: int, leaderIdentity: str) -> None:
        if epoch > self.epoch or self.role != "follower" or self.leaderIdentity != leaderIdentity:
            self._become_follower(epoch, leaderIdentity)
        self.heardLeader = self.clock.now()
        self._put_off_election()

    def _majority(self) -> int:
        return len(self.voters()) // 2 + 1

    # ---- the leader's log --------------------------------------------------------------------------

    def _append_own(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == KIND_MEMBERS:
            self._match_followers()
        entryIndex, entryEpoch = entry.index, entry.epoch

        def made_durable() -> None:
            if self.epoch_at(entryIndex) == entryEpoch:
                self.durableIndex = max(self.durableIndex, entryIndex)
                self._advance_commit()

        self._persist([LogRecord(entry=entry)], made_durable)
        self._broadcast()

    def _match_followers(self) -> None:
        memberIdentities = {m.identity for m in self.members().member} - {self.identity}
        for memberIdentity in sorted(memberIdentities - set(self.followers)):
            self.followers[memberIdentity] = Follower(self.last_index() + 1, self.clock.now())
        for goneIdentity in sorted(set(self.followers) - memberIdentities):
            del self.followers[goneIdentity]

    def _broadcast(self) -> None:
        for followerIdentity in list(self.followers):
            self._send_append(followerIdentity)

    def _send_append(self, followerIdentity: str, is_beat: bool = False) -> None:
        follower = self.followers[followerIdentity]
        memberAddress = next(
            (m.address for m in self.members().member if m.identity == followerIdentity), ""
        )
        isRoundDue = follower.heardRound < self.roundNumber
        if (follower.inFlight and not isRoundDue and not is_beat) or not memberAddress:
            return
        follower.sentMicros = self.clock.now()
        if follower.digestFile is not None or follower.nextIndex <= self.baseIndex:
            follower.inFlight = True
            self._send_chunk(follower, memberAddress)
            return
        previousIndex = follower.nextIndex - 1
        entries = [] if follower.inFlight else self._batch_after(previousIndex)
        if entries:
            batch_size = sum(len(entry.payload) for entry in entries)
            follower.batch_micros = follower.sentMicros + batch_size * SECOND // SLOW_BYTES
        follower.inFlight = True
        self.tell(memberAddress, "appendAsk", AppendAsk(
            epoch=self.epoch, previousIndex=previousIndex, previousEpoch=self.epoch_at(previousIndex),
            entry=entries, commitIndex=self.commitIndex, round=self.roundNumber,
        ))

    def _batch_after(self, index: int) -> list[Entry]:
        """A frame has a limit, so a batch has one too; one entry always goes."""
        position = index - self.baseIndex
        batch = self.entries[position : position + BATCH_ENTRIES]
        size = 0
        for count, entry in enumerate(batch):
            size += len(entry.payload)
            if count and size > BATCH_BYTES:
                return batch[:count]
        return batch

    def _send_chunk(self, follower: Follower, memberAddress: str) -> None:
        if follower.digestFile is None:
            follower.digestFile = self._build_digest()
            follower.digestOffset = 0
        digest, offset = follower.digestFile, follower.digestOffset or 0
        self.tell(memberAddress, "digestAsk", DigestAsk(
            epoch=self.epoch, index=digest.index, lastEpoch=digest.epoch, members=digest.members,
            offset=offset, total=len(digest.state), chunk=digest.state[offset : offset + CHUNK_SIZE],
            round=self.roundNumber,
        ))

    def _advance_commit(self) -> None:
        if not self.is_leader():
            return
        matchIndexes = sorted(
            (
                self.durableIndex if i == self.identity else self.followers[i].matchIndex
                for i in self.voters()
            ),
            reverse=True,
        )
        agreedIndex = matchIndexes[self._majority() - 1]
        if agreedIndex > self.commitIndex and self.epoch_at(agreedIndex) == self.epoch:
            self._commit_to(agreedIndex)
            self._broadcast()

    def _check_rounds(self) -> None:
        if not self.roundWaiters:
            return
        heardRounds = sorted(
            (
                self.roundNumber if i == self.identity else self.followers[i].heardRound
                for i in self.voters()
            ),
            reverse=True,
        )
        agreedRound = heardRounds[self._majority() - 1]
        stillWaiting = []
        for roundNumber, waiter in self.roundWaiters:
            if roundNumber <= agreedRound:
                if not waiter.done():
                    waiter.set_result(True)
            else:
                stillWaiting.append((roundNumber, waiter))
        self.roundWaiters = stillWaiting

    def _hand_over_at_once(self) -> None:
        """A leader that must go names the best follower, so that nobody waits for a timeout."""
        candidates = [i for i in self.voters() if i in self.followers]
        if candidates:
            bestIdentity = max(candidates, key=lambda i: (self.followers[i].matchIndex, i))
            self.tell(self.voters()[bestIdentity], "electNow", ElectNow(epoch=self.epoch))

    def _try_handover(self) -> None:
        if self.handoverDeadline is None or not self.is_leader():
            return
        follower = self.followers.get(self.handoverTarget)
        if follower is not None and follower.matchIndex == self.last_index():
            self.tell(self.voters()[self.handoverTarget], "electNow", ElectNow(epoch=self.epoch))

    # ---- committing and digests ---------------------------------------------------------------------

    def _commit_to(self, index: int) -> None:
        self.commitIndex = max(self.commitIndex, min(index, self.last_index()))
        while self.appliedIndex < self.commitIndex:
            entry = self.entry_at(self.appliedIndex + 1)
            assert entry is not None
            outcome = self.machine.apply(entry.index, entry.payload) if entry.kind == KIND_COMMAND else None
            self.appliedIndex = entry.index
            self.bytes_since_digest += len(entry.payload)
            proposedEpoch, proposal = self.proposals.pop(entry.index, (0, None))
            if proposal is not None and not proposal.done():
                isOwn = proposedEpoch == entry.epoch
                proposal.set_result(Ok((entry.index, outcome)) if isOwn else Err("outcome unknown"))
            if entry.kind == KIND_MEMBERS and self.is_leader():
                self.membersWatcher(entry.index, Members.FromString(entry.payload))
            if entry.kind == KIND_MEMBERS and self.is_leader() and self.identity not in self.voters():
                self._become_follower(self.epoch, "")
        is_due = (
            self.appliedIndex - self.digestIndex >= self.digestEvery or self.bytes_since_digest >= self.digest_bytes
        )
        if is_due and self.appliedIndex > self.digestIndex and not self.digestBusy:
            self.digestBusy = True
            self.bytes_since_digest = 0
            self.crew.start(self._keep_digest(self._build_digest()))

    def _build_digest(self) -> DigestFile:
        digest = DigestFile(
            index=self.appliedIndex, epoch=self.epoch_at(self.appliedIndex),
            state=self.machine.take_digest(),
        )
        digest.members.CopyFrom(self._members_up_to(self.appliedIndex)[1])
        return digest

    async def _keep_digest(self, digest: DigestFile) -> None:
        try:
            await self.wal.keep_digest(digest)
            self.digestIndex = digest.index
            newBase = min(digest.index, max(self.baseIndex, digest.index - self.keptEntries))
            newBase = max(newBase, self._base_by_bytes(digest.index))
            if newBase > self.baseIndex:
                newMembers = self._members_up_to(newBase)[1]
                newEpoch = self.epoch_at(newBase)
                self.entries = self.entries[newBase - self.baseIndex :]
                self.baseIndex, self.baseEpoch, self.baseMembers = newBase, newEpoch, newMembers
        except OSError as diskError:
            self._take_disk_error(diskError)
            # Written until the disk takes it: without it nobody would see that there is room again.
            self._persist_mark(lambda: None)
        finally:
            self.digestBusy = False

    def _base_by_bytes(self, index: int) -> int:
        """Behind a digest no more bytes of entries are kept than lead to the next one (§4.3)."""
        kept_bytes = 0
        while index > self.baseIndex:
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
            heldEpoch = self.epoch_at(digest.index)
            keptEntries = []
            if digest.index <= self.last_index() and heldEpoch == digest.epoch:
                keptEntries = self.entries[digest.index - self.baseIndex :]
            await self.wal.reset_to(digest, keptEntries)
            if digest.index > self.commitIndex:
                self._load_digest(digest)
                self.entries = keptEntries
                self.durableIndex = self.last_index()
            self.tell(address, "digestResult", result)
        except OSError as diskError:
            self._take_disk_error(diskError)
            # Written until the disk takes it: without it nobody would see that there is room again.
            self._persist_mark(lambda: None)
        finally:
            self.digestBusy = self.takingOver = False

    def _load_digest(self, digest: DigestFile) -> None:
        self.machine.load_digest(digest.state)
        self.baseIndex, self.baseEpoch = digest.index, digest.epoch
        self.baseMembers = digest.members
        self.digestIndex = self.commitIndex = self.appliedIndex = digest.index
        self.bytes_since_digest = 0

    def _cut_from(self, index: int) -> None:
        self.entries = self.entries[: index - self.baseIndex - 1]
        self.durableIndex = min(self.durableIndex, index - 1)

    # ---- disk ------------------------------------------------------------------------------------------

    def _persist_mark(self, callback: Callable[[], None]) -> None:
        self._persist([LogRecord(mark=Mark(epoch=self.epoch, votedFor=self.votedFor))], callback)

    def _persist(self, records: list[LogRecord], callback: Callable[[], None]) -> None:
        self.pendingRecords.extend(records)
        self.pendingCallbacks.append(callback)
        self.flushWake.set()

    async def _flush_forever(self) -> None:
        while True:
            await self.flushWake.wait()
            self.flushWake.clear()
            # Group commit: all that gathered while the last batch was synced goes as one.
            records, self.pendingRecords = self.pendingRecords, []
            callbacks, self.pendingCallbacks = self.pendingCallbacks, []
            self.flushStarted = self.clock.now()
            if records:
                await self._write_until_done(records)
            self.flushStarted = None
            for callback in callbacks:
                callback()

    async def _write_until_done(self, records: list[LogRecord]) -> None:
        while True:
            try:
                await self.wal.append(records)
                self.diskFull = False
                return
            except OSError as diskError:
                self._take_disk_error(diskError)
                await rest(self.clock, FULL_RETRY_MICROS)

    def _take_disk_error(self, diskError: OSError) -> None:
        if diskError.errno == errno.ENOSPC:
            if not self.diskFull:
                LOGGER.error("vise: The disk is full.")
            self.diskFull = True
            return
        # After a failed sync nothing is known of the file: going on could lose an acknowledgement.
        self.fail(f"the disk failed: {diskError}")
