"""The leader's side of replication: sends entries and heartbeats, and commits what a majority holds."""

from __future__ import annotations

from pearhead.consensus.applier import Applier
from pearhead.consensus.election_timer import HEARTBEAT_INTERVAL_MICROS
from pearhead.consensus.follower import Follower
from pearhead.consensus.leadership_transfer import LeadershipTransfer
from pearhead.consensus.log import KIND_MEMBERS, KIND_NOOP
from pearhead.consensus.persistence import LogWriter
from pearhead.consensus.read_confirmation import ReadConfirmations
from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.snapshot_sender import SnapshotSender
from pearhead.consensus.state import RaftState, Send
from pearhead.rpc.wire_pb2 import AppendAsk, AppendResult, DigestResult, Entry, LogRecord
from pearhead.runtime.clock import SECOND, Clock

# A voter that has not answered for this long counts as unreachable.
CONTACT_TIMEOUT_MICROS = SECOND
# Only a batch of at least this size gets a round of its own, which shows whether it was lost. A smaller batch may be
# sent twice, which costs less than that.
LARGE_BATCH_BYTES = 64 * 1024
# The limits of one message.
BATCH_ENTRIES = 256
BATCH_BYTES = 4 * 1024 * 1024


class LeaderReplication:
    """Replicates the leader's log to every follower, and advances the commit index."""

    def __init__(
        self,
        state: RaftState,
        writer: LogWriter,
        roles: RoleChanges,
        applier: Applier,
        read_confirmations: ReadConfirmations,
        transfer: LeadershipTransfer,
        snapshot_sender: SnapshotSender,
        clock: Clock,
        send: Send,
    ) -> None:
        self.state = state
        self.writer = writer
        self.roles = roles
        self.applier = applier
        self.read_confirmations = read_confirmations
        self.transfer = transfer
        self.snapshot_sender = snapshot_sender
        self.clock = clock
        self.send = send

    # ---- the leader's log ------------------------------------------------------------------------

    def begin_term(self) -> None:
        """Discards the records of followers from an earlier term, and appends the no-op entry that begins this term."""
        self.state.followers = {}
        self._sync_followers_to_membership()
        self.append(KIND_NOOP, b"")

    def append(self, kind: int, payload: bytes) -> Entry:
        """Appends an entry of the current term, queues it for the disk, and sends it to all followers."""
        entry = Entry(index=self.state.log.last_index() + 1, epoch=self.state.term, kind=kind, payload=payload)
        self.state.log.append(entry)
        if kind == KIND_MEMBERS:
            self._sync_followers_to_membership()
        entry_index, entry_term = entry.index, entry.epoch

        def handle_synced() -> None:
            if self.state.log.mark_durable(entry_index, entry_term):
                self.advance_commit()

        self.writer.persist([LogRecord(entry=entry)], handle_synced)
        self.broadcast()
        return entry

    def _sync_followers_to_membership(self) -> None:
        """Adds and removes Follower records, so that there is one for each other member of the latest membership."""
        followers = self.state.followers
        identities = {m.identity for m in self.state.log.membership().members.member} - {self.state.identity}
        for added_identity in sorted(identities - set(followers)):
            followers[added_identity] = Follower(self.state.log.last_index() + 1, self.clock.now())
        for removed_identity in sorted(set(followers) - identities):
            del followers[removed_identity]

    def advance_commit(self) -> None:
        """Commits up to the last entry that a majority holds, if that entry is of the current term."""
        if not self.state.is_leader():
            return
        quorum_index = self.state.log.membership().quorum_value(self._durable_index)
        if quorum_index > self.state.commit_index and self.state.log.term_at(quorum_index) == self.state.term:
            self.applier.commit_to(quorum_index)
            self.broadcast()

    def _durable_index(self, identity: str) -> int:
        if identity == self.state.identity:
            return self.state.log.durable_index
        return self.state.followers[identity].match_index

    # ---- sending ---------------------------------------------------------------------------------

    def broadcast(self) -> None:
        """Sends each follower the entries that it lacks."""
        for follower_identity in list(self.state.followers):
            self.send_append(follower_identity)

    def send_heartbeats(self) -> None:
        """Sends to each follower that was sent nothing for HEARTBEAT_INTERVAL_MICROS."""
        now_micros = self.clock.now()
        for follower_identity, follower in self.state.followers.items():
            if now_micros - follower.sent_micros >= HEARTBEAT_INTERVAL_MICROS:
                # A large batch takes long to arrive. Until its response is due, an empty message is the heartbeat;
                # after that, the batch counts as lost and is sent again.
                follower.in_flight = follower.in_flight and now_micros < follower.response_deadline_micros
                self.send_append(follower_identity, is_heartbeat=True)

    def send_append(self, follower_identity: str, is_heartbeat: bool = False) -> None:
        """Sends one follower what it lacks; while a message is in flight, only if a heartbeat or a new round is due."""
        follower = self.state.followers[follower_identity]
        address = self.state.log.membership().addresses.get(follower_identity, "")
        is_round_due = follower.acknowledged_round < self.state.round_number
        if (follower.in_flight and not is_round_due and not is_heartbeat) or not address:
            return
        follower.sent_micros = self.clock.now()
        if follower.snapshot is not None or follower.next_index <= self.state.log.base_index:
            self._send_snapshot(follower, address)
        else:
            self._send_entries(follower, address)

    def _send_entries(self, follower: Follower, address: str) -> None:
        previous_index = follower.next_index - 1
        entries = [] if follower.in_flight else self.batch_after(previous_index)
        if entries:
            batch_bytes = sum(len(entry.payload) for entry in entries)
            if batch_bytes >= LARGE_BATCH_BYTES:
                # Besides the batch, only heartbeats sent after it carry this round or a later one. If one of these is
                # answered first, the batch was lost.
                self.state.round_number += 1
            follower.record_send(follower.sent_micros, batch_bytes, entries[-1].index, self.state.round_number)
        elif not follower.in_flight:
            follower.record_send(follower.sent_micros, 0, previous_index, self.state.round_number)
        follower.in_flight = True
        self._send_append_ask(address, previous_index, entries)

    def _send_snapshot(self, follower: Follower, address: str) -> None:
        """Sends the next chunk of a snapshot, or only a heartbeat while a chunk is in flight."""
        if follower.in_flight and self.clock.now() < follower.response_deadline_micros:
            self._send_append_ask(address, self.state.log.base_index, [])
        else:
            self.snapshot_sender.send_chunk(follower, address)

    def _send_append_ask(self, address: str, previous_index: int, entries: list[Entry]) -> None:
        ask = AppendAsk(
            epoch=self.state.term,
            previous_index=previous_index,
            previous_epoch=self.state.log.term_at(previous_index),
            entry=entries,
            commit_index=self.state.commit_index,
            round=self.state.round_number,
        )
        self.send(address, "append_ask", ask)

    def batch_after(self, index: int) -> list[Entry]:
        """The entries after this index that go in one message.

        Frames have a size limit, so a batch is limited too; its first entry is always included.
        """
        position = index - self.state.log.base_index
        batch = self.state.log.entries[position : position + BATCH_ENTRIES]
        batch_bytes = 0
        for count, entry in enumerate(batch):
            batch_bytes += len(entry.payload)
            if count and batch_bytes > BATCH_BYTES:
                return batch[:count]
        return batch

    # ---- responses -------------------------------------------------------------------------------

    def take_append_result(self, identity: str, result: AppendResult) -> None:
        """Handles a follower's response: it appended the entries, refused them, or still waits for its disk."""
        follower = self._record_contact(identity, result.epoch, result.round)
        if follower is None:
            return
        self._record_append_result(follower, result)
        self.read_confirmations.resolve()
        if result.waiting:
            return
        if follower.snapshot is not None:
            if result.round >= follower.batch_round:
                follower.record_loss()
                self.send_append(identity)
            return
        self.advance_commit()
        if follower.next_index <= self.state.log.last_index():
            self.send_append(identity)
        self.transfer.try_to_finish()

    def _record_append_result(self, follower: Follower, result: AppendResult) -> None:
        """Updates how much of the log a follower holds; not while it is being sent a snapshot."""
        if result.waiting or follower.snapshot is not None:
            return
        if result.success and result.match_index >= follower.batch_last_index:
            follower.record_response()
        elif not result.success or result.round >= follower.batch_round:
            follower.record_loss()
        if result.success:
            follower.match_index = max(follower.match_index, result.match_index)
            follower.next_index = max(follower.next_index, follower.match_index + 1)
        else:
            hint_index = min(result.match_index + 1, follower.next_index - 1)
            follower.next_index = max(follower.match_index + 1, hint_index)

    def take_digest_result(self, identity: str, result: DigestResult) -> None:
        """Handles a follower's response to a chunk of a snapshot, or to the last one once it is installed."""
        follower = self._record_contact(identity, result.epoch, result.round)
        if follower is None:
            return
        is_next_due = self.snapshot_sender.handle_chunk_result(follower, result)
        self.read_confirmations.resolve()
        if is_next_due:
            self.send_append(identity)

    def _record_contact(self, identity: str, result_term: int, round_number: int) -> Follower | None:
        """Records a response and returns its follower.

        Returns None if this member does not lead, or if the response is of another term or not from a member. If it is
        of a newer term, this member becomes a follower in that term.
        """
        if result_term > self.state.term:
            self.roles.become_follower(result_term)
            return None
        follower = self.state.followers.get(identity)
        if not self.state.is_leader() or result_term != self.state.term or follower is None:
            return None
        follower.record_contact(self.clock.now(), round_number)
        return follower

    def has_quorum(self) -> bool:
        """Whether a majority of the voters answered within CONTACT_TIMEOUT_MICROS."""
        return self.state.log.membership().has_quorum([i for i in self._voters() if self._is_reachable(i)])

    def _voters(self) -> dict[str, str]:
        return self.state.log.membership().voters

    def _is_reachable(self, identity: str) -> bool:
        if identity == self.state.identity:
            return True
        return self.clock.now() - self.state.followers[identity].last_contact_micros < CONTACT_TIMEOUT_MICROS
