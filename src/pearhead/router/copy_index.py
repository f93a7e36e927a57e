"""CopyIndex (§6.5): which worker keeps which prefix, as hints that count only when tied."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from pearhead.config.view import LoadRecord

KEYS_PER_WORKER = 50_000
KEY_TABLE_LIMIT = 200_000


class _WorkerCopies:
    def __init__(self, life: str) -> None:
        self.life = life
        self.sequence = 0
        self.keys: OrderedDict[str, int] = OrderedDict()


class CopyIndex:
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
        """A report is of one life and a span of its sequence; late and doubled ones change nothing."""
        held = self.copies.get(worker)
        if held is None or held.life != life:
            held = self.copies[worker] = _WorkerCopies(life)
        if sequence < held.sequence or (sequence == held.sequence and not whole):
            return
        if whole or from_sequence > held.sequence:
            # A report is missing in between, and it may have told of drops: begin anew.
            held.keys.clear()
        held.sequence = sequence
        for key in dropped:
            held.keys.pop(key, None)
        for key in kept:
            # The span's first sequence is what it can be tied by: never later than the truth.
            held.keys[key] = from_sequence + 1 if not whole else sequence
            held.keys.move_to_end(key)
        while len(held.keys) > KEYS_PER_WORKER:
            held.keys.popitem(last=False)

    def record_parts(self, owner: str, line: str, parts: list[int], keys: list[str]) -> None:
        for part, key in zip(parts, keys, strict=True):
            self.part_by_key[key] = (owner, line, part)
            self.part_by_key.move_to_end(key)
        while len(self.part_by_key) > KEY_TABLE_LIMIT:
            self.part_by_key.popitem(last=False)

    def longest_cached_prefix(self, worker: str, load: LoadRecord | None, keys: list[str]) -> int:
        """How many leading keys the worker keeps, counting only copies tied to its load (§6.5)."""
        held = self.copies.get(worker)
        if held is None or load is None or held.life != load.life:
            return 0
        for length in range(len(keys), 0, -1):
            cached_sequence = held.keys.get(keys[length - 1])
            if cached_sequence is not None and cached_sequence > load.sequence:
                return length
        return 0

    def longest_stored_prefix(self, store: str, keys: list[str]) -> int:
        held = self.copies.get(store)
        if held is None:
            return 0
        return next(
            (n for n in range(len(keys), 0, -1) if keys[n - 1] in held.keys and keys[n - 1] in self.verified_keys),
            0,
        )

    def record_verified_keys(self, load: LoadRecord | None, life: str, from_sequence: int, kept: Iterable[str]) -> None:
        """A store's list names no weights: its copy counts only if a tied worker made that key (§6.5)."""
        if load is None or load.life != life or from_sequence < load.sequence:
            return
        for key in kept:
            self.verified_keys[key] = None
        while len(self.verified_keys) > KEY_TABLE_LIMIT:
            self.verified_keys.popitem(last=False)

    def parts_of_line(self, line: str) -> list[tuple[str, str, int]]:
        return sorted({v for v in self.part_by_key.values() if v[1] == line})
