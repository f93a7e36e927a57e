"""Index of cached prefixes (§6.5): hints that count only if made with the weights that the worker has loaded."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from pearhead.config.view import LoadRecord

KEYS_PER_WORKER = 50_000
KEY_TABLE_LIMIT = 200_000


class _WorkerCopies:
    """Keys cached in one life (process) of a worker or store, each with a report sequence; oldest first."""

    def __init__(self, life: str) -> None:
        self.life = life
        self.sequence = 0
        self.keys: OrderedDict[str, int] = OrderedDict()


class CopyIndex:
    """Which worker or store caches which prefix keys, from their cache reports.

    A worker's copy is tied to its loaded weights if it was made in the same life and after the load.
    """

    def __init__(self) -> None:
        self.copies: dict[str, _WorkerCopies] = {}
        self.part_by_key: OrderedDict[str, tuple[str, str, int]] = OrderedDict()
        self.verified_keys: OrderedDict[str, None] = OrderedDict()

    def apply_cache_report(
        self,
        worker: str,
        life: str,
        from_sequence: int,
        sequence: int,
        kept: Iterable[str],
        dropped: Iterable[str],
        whole: bool,
    ) -> None:
        """Applies a report of keys cached and dropped in a span of a life's sequence; `whole` lists all keys.

        Late and duplicate reports of the same life change nothing. A report of another life replaces all that was
        known.
        """
        copies = self.copies.get(worker)
        if copies is None or copies.life != life:
            copies = self.copies[worker] = _WorkerCopies(life)
        if sequence < copies.sequence or (sequence == copies.sequence and not whole):
            return
        if whole or from_sequence > copies.sequence:
            # A report in between was lost and may have listed drops, so nothing known before counts.
            copies.keys.clear()
        copies.sequence = sequence
        for key in dropped:
            copies.keys.pop(key, None)
        for key in kept:
            # The exact sequence is unknown. The span's first one is never too high, so a copy made before a load is not
            # taken for one made after it.
            copies.keys[key] = from_sequence + 1 if not whole else sequence
            copies.keys.move_to_end(key)
        while len(copies.keys) > KEYS_PER_WORKER:
            copies.keys.popitem(last=False)

    def record_parts(self, owner: str, line: str, parts: list[int], keys: list[str]) -> None:
        """Remembers the last part that each key covers, to find the parts of a line and of changed keys."""
        for part, key in zip(parts, keys, strict=True):
            self.part_by_key[key] = (owner, line, part)
            self.part_by_key.move_to_end(key)
        while len(self.part_by_key) > KEY_TABLE_LIMIT:
            self.part_by_key.popitem(last=False)

    def longest_cached_prefix(self, worker: str, load: LoadRecord | None, keys: list[str]) -> int:
        """How many parts of the prefix the worker caches, counting only copies tied to its load (§6.5)."""
        copies = self.copies.get(worker)
        if copies is None or load is None or copies.life != load.life:
            return 0
        for length in range(len(keys), 0, -1):
            cached_sequence = copies.keys.get(keys[length - 1])
            if cached_sequence is not None and cached_sequence > load.sequence:
                return length
        return 0

    def longest_stored_prefix(self, store: str, keys: list[str]) -> int:
        """How many parts of the prefix the store has, counting only verified keys."""
        copies = self.copies.get(store)
        if copies is None:
            return 0
        return next(
            (
                length
                for length in range(len(keys), 0, -1)
                if keys[length - 1] in copies.keys and keys[length - 1] in self.verified_keys
            ),
            0,
        )

    def record_verified_keys(self, load: LoadRecord | None, life: str, from_sequence: int, kept: Iterable[str]) -> None:
        """Marks keys that a worker reported as cached after it loaded its weights.

        A store's report names no weights, so a store's copy counts only if a worker's tied copy had that key (§6.5).
        """
        if load is None or load.life != life or from_sequence < load.sequence:
            return
        for key in kept:
            self.verified_keys[key] = None
        while len(self.verified_keys) > KEY_TABLE_LIMIT:
            self.verified_keys.popitem(last=False)

    def parts_of_line(self, line: str) -> list[tuple[str, str, int]]:
        """The known parts of a line, as sorted tuples of owner, line and part number."""
        return sorted({part for part in self.part_by_key.values() if part[1] == line})
