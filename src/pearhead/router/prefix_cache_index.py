"""PrefixCacheIndex (§6.5): which worker or store caches which prompt parts under which salt, as they reported."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from pearhead.router.opaque_request import PromptPart
from pearhead.rpc.wire_pb2 import KeptNote

PARTS_PER_LOCATION_LIMIT = 60_000


class PrefixCacheIndex:
    """Index of the cached prompt parts by location; a location is the name of a worker or a store.

    The index is a hint: parts that were not reported are missing, and reported ones may have been evicted since. A lost
    or overtaken report leaves the entries unchanged (§6.5): placing a request by an evicted part costs one
    prefill, and so would forgetting a part that is still cached.
    """

    def __init__(self) -> None:
        self.parts: dict[str, OrderedDict[tuple[str, str], int]] = {}
        self.sequences: dict[str, tuple[str, int]] = {}
        self.cache_locations: dict[tuple[str, str], set[str]] = {}

    def apply_note(self, note: KeptNote) -> None:
        """Applies a report; ignores one that is repeated or late by its life's sequence numbers.

        A report of another life, or one marked `whole`, always replaces all that was known of its location.
        """
        life, sequence = self.sequences.get(note.worker, ("", 0))
        if note.whole or life != note.life:
            self.clear_location(note.worker)
        elif note.sequence <= sequence:
            return
        self.sequences[note.worker] = (note.life, note.sequence)
        cached_tokens = self.parts.setdefault(note.worker, OrderedDict())
        for part in note.part:
            key = (part.salt, part.part)
            if part.tokens:
                cached_tokens[key] = part.tokens
                cached_tokens.move_to_end(key)
                self.cache_locations.setdefault(key, set()).add(note.worker)
                if len(cached_tokens) > PARTS_PER_LOCATION_LIMIT:
                    oldest, _ = cached_tokens.popitem(last=False)
                    self._remove_location(oldest, note.worker)
            elif cached_tokens.pop(key, None) is not None:
                self._remove_location(key, note.worker)

    def clear_location(self, location: str) -> None:
        """Removes all entries of a location."""
        for key in self.parts.pop(location, ()):
            self._remove_location(key, location)
        self.sequences.pop(location, None)

    def cached_prefix_tokens(self, location: str, salt: str, parts: Sequence[PromptPart]) -> int:
        """Returns how many tokens from the beginning of the prompt the location has cached.

        Counting ends at the first part that is not cached in full.
        """
        cached_tokens = self.parts.get(location)
        if not cached_tokens:
            return 0
        total = 0
        for part in parts:
            tokens = cached_tokens.get((salt, part.part), 0)
            total += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return total

    def holds(self, worker: str, salt: str, part: str) -> bool:
        """Whether the part is known to be cached at that worker or store."""
        return (salt, part) in self.parts.get(worker, ())

    def cache_locations_of(self, salt: str, part: str) -> frozenset[str]:
        """The locations known to have the part cached."""
        return frozenset(self.cache_locations.get((salt, part), ()))

    def _remove_location(self, key: tuple[str, str], location: str) -> None:
        cache_locations = self.cache_locations.get(key)
        if cache_locations is not None:
            cache_locations.discard(location)
            if not cache_locations:
                del self.cache_locations[key]
