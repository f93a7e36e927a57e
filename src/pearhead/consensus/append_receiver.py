"""The follower's side of replication: appends the leader's entries to the log."""

from __future__ import annotations

from pearhead.consensus.applier import Applier
from pearhead.consensus.persistence import LogWriter
from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.state import RaftState, Send
from pearhead.rpc.wire_pb2 import AppendAsk, AppendResult, LogRecord


class AppendReceiver:
    """Appends entries that match the log, and acknowledges them once they are synced."""

    def __init__(self, state: RaftState, writer: LogWriter, roles: RoleChanges, applier: Applier, send: Send) -> None:
        self.state = state
        self.writer = writer
        self.roles = roles
        self.applier = applier
        self.send = send

    def take_append_ask(self, identity: str, address: str, ask: AppendAsk) -> None:
        """Handles a batch of entries or a heartbeat."""
        if ask.epoch < self.state.term:
            self._answer(address, ask)
            return
        self.roles.follow(ask.epoch, identity)
        log = self.state.log
        if self.state.is_installing_snapshot:
            # Writing a snapshot to a slow disk takes long; the response shows the leader that this member is alive.
            self._answer(address, ask, is_waiting=True)
        elif ask.previous_index < log.base_index:
            self._answer(address, ask, is_success=True, match_index=min(log.base_index, log.durable_index))
        elif ask.previous_index > log.last_index() or log.term_at(ask.previous_index) != ask.previous_epoch:
            self._answer(address, ask, match_index=self._find_conflict_hint(ask))
        else:
            self._append(address, ask)

    def _answer(
        self, address: str, ask: AppendAsk, is_success: bool = False, match_index: int = 0, is_waiting: bool = False
    ) -> None:
        result = AppendResult(
            epoch=self.state.term,
            success=is_success,
            match_index=match_index,
            round=ask.round,
            waiting=is_waiting,
        )
        self.send(address, "append_result", result)

    def _find_conflict_hint(self, ask: AppendAsk) -> int:
        """The last index that may match the leader's log: skips back over the whole conflicting term."""
        log = self.state.log
        hint_index = min(log.last_index(), ask.previous_index - 1)
        conflict_term = log.term_at(hint_index)
        while hint_index > self.state.commit_index and log.term_at(hint_index) == conflict_term:
            hint_index -= 1
        return max(hint_index, log.base_index)

    def _append(self, address: str, ask: AppendAsk) -> None:
        records = self._append_missing_entries(ask)
        match_index = ask.previous_index + len(ask.entry)
        match_term = self.state.log.term_at(match_index)
        ask_term = self.state.term

        def acknowledge() -> None:
            self.state.log.mark_durable(match_index, match_term)
            if self.state.term == ask_term:
                self._answer(address, ask, is_success=True, match_index=match_index)

        if records or self.writer.is_busy():
            self.writer.persist(records, acknowledge)
            if self.writer.is_slow():
                # The disk is slow. This response confirms reads and keeps the leader from stepping down meanwhile.
                self._answer(address, ask, is_waiting=True)
        else:
            acknowledge()
        self.applier.commit_to(min(ask.commit_index, match_index))

    def _append_missing_entries(self, ask: AppendAsk) -> list[LogRecord]:
        """Appends the entries that the log lacks and truncates conflicting ones; returns the records to write."""
        log = self.state.log
        records: list[LogRecord] = []
        for entry in ask.entry:
            existing_term = log.term_at(entry.index) if entry.index <= log.last_index() else 0
            if existing_term == entry.epoch:
                continue
            if entry.index <= log.last_index():
                assert entry.index > self.state.commit_index, "a committed entry would be truncated"
                log.truncate_from(entry.index)
                records.append(LogRecord(cut_from=entry.index))
            log.append(entry)
            records.append(LogRecord(entry=entry))
        return records
