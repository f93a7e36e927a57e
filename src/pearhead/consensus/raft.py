"""Raft consensus among the control-plane processes (§4.1): RaftMember assembles its components.

A member is driven by messages, by a periodic tick and by completed disk writes. Its components share one RaftState,
and each implements one part of the protocol.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from pearhead.consensus.append_receiver import AppendReceiver
from pearhead.consensus.applier import Applier
from pearhead.consensus.election_timer import ElectionTimer
from pearhead.consensus.elections import Elections
from pearhead.consensus.follower import Follower
from pearhead.consensus.leadership_transfer import LeadershipTransfer
from pearhead.consensus.log import KIND_COMMAND, KIND_MEMBERS, RaftLog
from pearhead.consensus.membership import Membership
from pearhead.consensus.membership_change import MembershipChanges, MembersWatcher
from pearhead.consensus.persistence import LogWriter
from pearhead.consensus.proposals import PendingProposals, Proposal, ProposalResult, refuse_proposal
from pearhead.consensus.read_confirmation import ReadConfirmations
from pearhead.consensus.replication import LeaderReplication
from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.snapshot_receiver import SnapshotReceiver
from pearhead.consensus.snapshot_sender import SnapshotSender
from pearhead.consensus.snapshot_store import DEFAULT_SNAPSHOT_LIMITS, SnapshotLimits, SnapshotStore
from pearhead.consensus.state import RaftState, Role, Send, StateMachine
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import (
    AppendAsk,
    AppendResult,
    DigestAsk,
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
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
TICK_MICROS = 25 * MILLI
FIRST_TERM = 1


class RaftMember:
    """One Raft member: its public interface, which passes each call and message to the component for it.

    `fail` is called with the reason when the member can't continue, after a disk error.
    """

    def __init__(
        self,
        identity: str,
        wal: Wal,
        machine: StateMachine,
        send: Send,
        clock: Clock,
        random_source: random.Random,
        task_group: BackgroundTaskGroup,
        fail: Callable[[str], None],
        snapshot_limits: SnapshotLimits = DEFAULT_SNAPSHOT_LIMITS,
    ) -> None:
        self.identity = identity
        self.wal = wal
        self.clock = clock
        self.task_group = task_group
        # The time of the last tick. If it is long ago, the process was suspended or its event loop was blocked.
        self.last_tick_micros = clock.now()
        self.state = RaftState(identity)
        self.writer = LogWriter(self.state, wal, clock, fail)
        self.timer = ElectionTimer(clock, random_source)
        self.roles = RoleChanges(self.state, self.writer, self.timer)
        self.elections = Elections(self.state, self.writer, self.timer, self.roles, send)
        self.transfer = LeadershipTransfer(self.state, clock, send)
        self.read_confirmations = ReadConfirmations(self.state)
        self.proposals = PendingProposals()
        self.snapshots = SnapshotStore(self.state, machine, wal, self.writer, task_group, snapshot_limits)
        self.applier = Applier(self.state, machine, self.proposals, self.snapshots)
        self.snapshot_receiver = SnapshotReceiver(self.state, self.snapshots, self.roles, send)
        self.append_receiver = AppendReceiver(self.state, self.writer, self.roles, self.applier, send)
        self.replication = LeaderReplication(
            self.state,
            self.writer,
            self.roles,
            self.applier,
            self.read_confirmations,
            self.transfer,
            SnapshotSender(self.state, self.snapshots, clock, send),
            clock,
            send,
        )
        self.membership_changes = MembershipChanges(self.state, self.roles, self.transfer, self.propose)
        self._connect_listeners()

    def _connect_listeners(self) -> None:
        self.roles.leadership_listeners += [self.transfer.cancel, self.replication.begin_term]
        self.roles.step_down_listeners += [
            self.transfer.cancel,
            self.read_confirmations.fail_all,
            self.proposals.fail_all,
        ]
        self.applier.membership_listeners.append(self.membership_changes.handle_committed_members)
        self.applier.commit_listeners.append(self.membership_changes.end_joint_change)

    # ---- start -----------------------------------------------------------------------------------

    async def recover(self) -> None:
        """Restores term, vote, snapshot and log from disk; raises WalCorruptError if the data is damaged."""
        recovered = await self.wal.recover()
        self.state.term, self.state.voted_for = recovered.mark.epoch, recovered.mark.voted_for
        if recovered.snapshot is not None:
            self.snapshots.load(recovered.snapshot)
        self.log.replace_entries(recovered.entries)

    async def bootstrap(self, own_address: str, wanted: int = 1, zone: str = "") -> None:
        """Founds a cluster with this member as its only voter; the other founders join like any new member (§4.4)."""
        founder = Member(identity=self.identity, address=own_address, voter=True, zone=zone)
        members = Members(member=[founder], wanted=wanted)
        entry = Entry(index=1, epoch=FIRST_TERM, kind=KIND_MEMBERS, payload=members.SerializeToString())
        self.state.term = FIRST_TERM
        await self.wal.append([LogRecord(mark=Mark(epoch=FIRST_TERM)), LogRecord(entry=entry)])
        self.log.append(entry)
        self.log.mark_durable(entry.index, FIRST_TERM)
        self.timer.expire()

    def start(self) -> None:
        """Starts the log writer and the periodic tick."""
        self.timer.reset()
        self.task_group.start(self.writer.run())
        self.task_group.supervise("raft_tick", self.clock, self._tick_forever)

    def watch_members(self, watcher: MembersWatcher) -> None:
        """Calls the watcher with the index and members of each membership committed while this member leads."""
        self.membership_changes.watchers.append(watcher)

    def watch_leadership(self, watcher: Callable[[bool], None]) -> None:
        """Calls the watcher with True when this member becomes leader, and with False when it loses leadership."""
        self.roles.leadership_listeners.append(lambda: watcher(True))
        self.roles.step_down_listeners.append(lambda: watcher(False))

    # ---- state -----------------------------------------------------------------------------------

    @property
    def log(self) -> RaftLog:
        """The in-memory log."""
        return self.state.log

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The current role."""
        return self.state.role

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """The index of the last entry that was applied to the state machine."""
        return self.state.applied_index

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry in the latest snapshot on disk."""
        return self.snapshots.snapshot_index

    @property
    def followers(self) -> dict[str, Follower]:
        """The leader's view of each other member, by identity; up to date only on the leader."""
        return self.state.followers

    @property
    def disk_full(self) -> bool:
        """Whether the last disk write failed because the disk is full."""
        return self.writer.disk_full

    @property
    def last_leader_contact_micros(self) -> int:
        """The time of the last message from a leader, in microseconds of the member's clock."""
        return self.timer.last_leader_contact_micros

    @property
    def is_installing_snapshot(self) -> bool:
        """Whether a snapshot from the leader is being installed."""
        return self.state.is_installing_snapshot

    def is_empty(self) -> bool:
        """Whether this member has never held an entry."""
        return self.last_index() == 0

    def last_index(self) -> int:
        """The index of the last entry in the log."""
        return self.log.last_index()

    def entry_at(self, index: int) -> Entry | None:
        """The entry with this index; None if the log does not hold it."""
        return self.log.entry_at(index)

    def membership(self) -> Membership:
        """The latest membership in the log; as Raft requires, it is in force before it is committed."""
        return self.log.membership()

    def members(self) -> Members:
        """The members of the latest membership in the log, learners included."""
        return self.membership().members

    def voters(self) -> dict[str, str]:
        """Addresses of all voters by identity; during a joint change, those of both sets."""
        return self.membership().voters

    def is_leader(self) -> bool:
        """Whether this member considers itself the leader; it may have been replaced without knowing it yet."""
        return self.state.is_leader()

    def leader_address(self) -> str:
        """The address of the leader; empty if none is known."""
        return self.membership().addresses.get(self.state.leader_identity, "")

    def is_settled(self) -> bool:
        """Whether this member leads and has committed an entry of its own term.

        Only then may it confirm reads and change the membership.
        """
        return self.state.is_settled()

    # ---- requests to the leader ------------------------------------------------------------------

    def propose(self, payload: bytes, kind: int = KIND_COMMAND) -> Proposal:
        """Appends an entry; the result arrives when it is applied or when this member loses leadership.

        Fails with NOT_LEADER, without appending, if this member does not lead, transfers its leadership or its disk is
        full.
        """
        if not self.is_leader() or self.transfer.is_in_progress() or self.disk_full:
            return refuse_proposal()
        proposal = self.proposals.add(self.last_index() + 1, self.term)
        self.replication.append(kind, payload)
        return proposal

    async def change_members(self, changed: Members) -> ProposalResult:
        """Changes the members to these; returns once the whole change is applied, see MembershipChanges.change."""
        return await self.membership_changes.change(changed)

    async def confirm_leadership(self) -> bool:
        """Confirms that this member still leads: True once a majority answered messages sent after this call (§4.1).

        False if this member does not lead, has not committed an entry of its own term yet, or loses leadership.
        """
        if not self.is_settled():
            return False
        confirmation = self.read_confirmations.begin()
        self.replication.broadcast()
        self.read_confirmations.resolve()
        return await confirmation

    def transfer_leadership(self) -> bool:
        """Starts transferring leadership to the voter that holds the most of the log.

        Returns False if this member does not lead or there is no other voter.
        """
        return self.transfer.start()

    # ---- messages --------------------------------------------------------------------------------

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        """Handles a candidate's request for a vote or a pre-vote."""
        self.elections.take_vote_ask(identity, address, ask)

    def take_vote_result(self, identity: str, address: str, result: VoteResult) -> None:
        """Handles a voter's response to a vote request."""
        self.elections.take_vote_result(identity, result)

    def take_append_ask(self, identity: str, address: str, ask: AppendAsk) -> None:
        """Handles entries or a heartbeat from the leader."""
        self.append_receiver.take_append_ask(identity, address, ask)

    def take_append_result(self, identity: str, address: str, result: AppendResult) -> None:
        """Handles a follower's response to entries or a heartbeat."""
        self.replication.take_append_result(identity, result)

    def take_digest_ask(self, identity: str, address: str, ask: DigestAsk) -> None:
        """Handles a chunk of a snapshot from the leader."""
        self.snapshot_receiver.take_digest_ask(identity, address, ask)

    def take_digest_result(self, identity: str, address: str, result: DigestResult) -> None:
        """Handles a follower's response to a chunk of a snapshot."""
        self.replication.take_digest_result(identity, result)

    def take_elect_now(self, identity: str, address: str, ask: ElectNow) -> None:
        """Handles the leader's request to take over leadership."""
        self.elections.take_elect_now(ask)

    # ---- time ------------------------------------------------------------------------------------

    async def _tick_forever(self) -> None:
        while True:
            await sleep_for(self.clock, TICK_MICROS)
            self.tick()
            self.last_tick_micros = self.clock.now()

    def tick(self) -> None:
        """Runs what is due by time: the duties of a leader, or an election after a timeout."""
        if self.is_leader():
            self._tick_as_leader()
        elif self.timer.is_expired():
            self.elections.handle_election_timeout()

    def _tick_as_leader(self) -> None:
        if self.writer.is_stalled():
            LOGGER.warning("consensus: The disk stalls or is full. Stepping down.")
            self.transfer.transfer_at_once()
            self.roles.step_down()
            return
        if not self.replication.has_quorum():
            LOGGER.warning("consensus: No majority answers. Stepping down.")
            self.roles.step_down()
            return
        self.transfer.cancel_if_late()
        self.membership_changes.end_joint_change()
        self.replication.send_heartbeats()
