"""The replicated log as a member holds it in memory: the entries after its base, and the memberships among them."""

from __future__ import annotations

from pearhead.consensus.membership import Membership, list_memberships
from pearhead.rpc.wire_pb2 import DigestFile, Entry, Members

KIND_NOOP, KIND_COMMAND, KIND_MEMBERS = 0, 1, 2


class RaftLog:
    """Entries with consecutive indexes after a base, which is the last entry that was compacted away."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.base_index = 0
        self.base_term = 0
        # All entries up to this one are synced to this member's own disk.
        self.durable_index = 0
        # The membership at the base, and each later one in the log: the last is in force (§4.1).
        self.memberships = [Membership(0, Members())]

    def last_index(self) -> int:
        """The index of the last entry, or that of the base if no entry follows it."""
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index())

    def entry_at(self, index: int) -> Entry | None:
        """The entry with this index; None if it was compacted away or does not exist yet."""
        position = index - self.base_index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def term_at(self, index: int) -> int:
        """The term of the entry with this index; 0 if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        entry = self.entry_at(index)
        return entry.epoch if entry is not None else 0

    def membership(self) -> Membership:
        """The latest membership in the log, which is in force whether it is committed or not."""
        return self.memberships[-1]

    def membership_at(self, limit_index: int) -> Membership:
        """The membership that an entry at this index was written under."""
        return next((m for m in reversed(self.memberships) if m.index <= limit_index), self.memberships[0])

    def append(self, entry: Entry) -> None:
        """Adds the entry that follows the last one."""
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
        """Takes entries that are on disk for all that follows the base."""
        self.entries = entries
        self.memberships = list_memberships(self.memberships[0], entries, KIND_MEMBERS)
        self.durable_index = self.last_index()

    def restore(self, snapshot: DigestFile) -> None:
        """Begins anew with the last entry of a snapshot as the base; no entry follows it yet."""
        self.base_index, self.base_term = snapshot.index, snapshot.epoch
        self.memberships = [Membership(snapshot.index, snapshot.members)]
        self.replace_entries([])

    def mark_durable(self, index: int, term: int) -> bool:
        """Notes that this entry was synced; False if another one has taken its place meanwhile."""
        if self.term_at(index) != term:
            return False
        self.durable_index = max(self.durable_index, min(index, self.last_index()))
        return True
