"""PrefixCacheIndex (§6.5): which worker or store keeps which parts under which salt, by what they reported."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from pearhead.router.opaque_request import PromptPart
from pearhead.rpc.wire_pb2 import KeptNote

PARTS_PER_LOCATION_LIMIT = 60_000


class PrefixCacheIndex:
    """A location is a worker's or a store's name. What was not reported is not known; what was may be gone.

    A report that is lost or overtaken leaves what is known as it is (§6.5): a placement by what is gone costs a read,
    and so would each part that was forgotten though it is kept.
    """

    def __init__(self) -> None:
        self.parts: dict[str, OrderedDict[tuple[str, str], int]] = {}
        self.sequences: dict[str, tuple[str, int]] = {}
        self.cache_locations: dict[tuple[str, str], set[str]] = {}

    def apply_note(self, note: KeptNote) -> None:
        life, sequence = self.sequences.get(note.worker, ("", 0))
        if note.whole or life != note.life:
            self.forget(note.worker)
        elif note.sequence <= sequence:
            return
        self.sequences[note.worker] = (note.life, note.sequence)
        held = self.parts.setdefault(note.worker, OrderedDict())
        for part in note.part:
            key = (part.salt, part.part)
            if part.tokens:
                held[key] = part.tokens
                held.move_to_end(key)
                self.cache_locations.setdefault(key, set()).add(note.worker)
                if len(held) > PARTS_PER_LOCATION_LIMIT:
                    oldest, _ = held.popitem(last=False)
                    self._remove_location(oldest, note.worker)
            elif held.pop(key, None) is not None:
                self._remove_location(key, note.worker)

    def forget(self, location: str) -> None:
        for key in self.parts.pop(location, ()):
            self._remove_location(key, location)
        self.sequences.pop(location, None)

    def cached_prefix_tokens(self, location: str, salt: str, parts: Sequence[PromptPart]) -> int:
        """How many tokens of the prompt it keeps from its beginning: a part counts only behind all before it."""
        held = self.parts.get(location)
        if not held:
            return 0
        total = 0
        for part in parts:
            tokens = held.get((salt, part.part), 0)
            total += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return total

    def holds(self, worker: str, salt: str, part: str) -> bool:
        return (salt, part) in self.parts.get(worker, ())

    def cache_locations_of(self, salt: str, part: str) -> frozenset[str]:
        return frozenset(self.cache_locations.get((salt, part), ()))

    def _remove_location(self, key: tuple[str, str], location: str) -> None:
        cache_locations = self.cache_locations.get(key)
        if cache_locations is not None:
            cache_locations.discard(location)
            if not cache_locations:
                del self.cache_locations[key]
