"""The in-memory part of a member's log: the entries after its base, and the memberships among them."""

from __future__ import annotations

from pearhead.consensus.membership import Membership, list_memberships
from pearhead.rpc.wire_pb2 import DigestFile, Entry, Members

KIND_NOOP, KIND_COMMAND, KIND_MEMBERS = 0, 1, 2


class RaftLog:
    """Entries with consecutive indexes that follow the base, the last entry that was compacted away."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.base_index = 0
        self.base_term = 0
        # All entries up to this index are synced to this member's own disk.
        self.durable_index = 0
        # The membership at the base and each later one in the log, oldest first; the last one is in force (§4.1).
        self.memberships = [Membership(0, Members())]

    def last_index(self) -> int:
        """The index of the last entry; that of the base if no entry follows it."""
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        """The term of the last entry; that of the base if no entry follows it."""
        return self.term_at(self.last_index())

    def entry_at(self, index: int) -> Entry | None:
        """The entry with this index; None if it was compacted away or does not exist yet."""
        position = index - self.base_index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def term_at(self, index: int) -> int:
        """The term of the entry with this index or of the base; 0 if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        entry = self.entry_at(index)
        return entry.epoch if entry is not None else 0

    def membership(self) -> Membership:
        """The latest membership in the log; as Raft requires, it is in force before it is committed."""
        return self.memberships[-1]

    def membership_at(self, limit_index: int) -> Membership:
        """The latest membership at or before this index; the oldest known one if all of them are later."""
        return next((m for m in reversed(self.memberships) if m.index <= limit_index), self.memberships[0])

    def append(self, entry: Entry) -> None:
        """Appends an entry; its index must follow that of the last one."""
        self.entries.append(entry)
        if entry.kind == KIND_MEMBERS:
            self.memberships.append(Membership(entry.index, Members.FromString(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Removes the entry with this index and all that follow it."""
        self.entries = self.entries[: index - self.base_index - 1]
        self.memberships = [self.memberships[0], *(m for m in self.memberships[1:] if m.index < index)]
        self.durable_index = min(self.durable_index, index - 1)

    def compact_to(self, new_base_index: int) -> None:
        """Removes the entries up to and including this index, which becomes the base."""
        new_base_term = self.term_at(new_base_index)
        base_membership = self.membership_at(new_base_index)
        self.memberships = [base_membership, *(m for m in self.memberships if m.index > new_base_index)]
        self.entries = self.entries[new_base_index - self.base_index :]
        self.base_index, self.base_term = new_base_index, new_base_term

    def replace_entries(self, entries: list[Entry]) -> None:
        """Replaces everything after the base with entries that are already synced to disk."""
        self.entries = entries
        self.memberships = list_memberships(self.memberships[0], entries, KIND_MEMBERS)
        self.durable_index = self.last_index()

    def restore(self, snapshot: DigestFile) -> None:
        """Resets the log to a snapshot: its last entry becomes the base, and no entry follows it."""
        self.base_index, self.base_term = snapshot.index, snapshot.epoch
        self.memberships = [Membership(snapshot.index, snapshot.members)]
        self.replace_entries([])

    def mark_durable(self, index: int, term: int) -> bool:
        """Records that the log is synced up to this entry; False if the log does not hold the entry any more."""
        if self.term_at(index) != term:
            return False
        self.durable_index = max(self.durable_index, min(index, self.last_index()))
        return True
