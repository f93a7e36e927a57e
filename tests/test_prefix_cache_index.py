"""PrefixCacheIndex: effects of reports, of gaps between them, and of a worker's restart."""

from __future__ import annotations

import unittest

from pearhead.router.opaque_request import PromptPart
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.rpc.wire_pb2 import KeptNote, KeptPart

PARTS = (PromptPart("a", 100), PromptPart("b", 50), PromptPart("c", 10))


def note(sequence: int, *parts: tuple[str, int], life: str = "1", since: int | None = None) -> KeptNote:
    return KeptNote(
        worker="w",
        life=life,
        from_sequence=sequence - 1 if since is None else since,
        sequence=sequence,
        part=[KeptPart(salt="s", part=part, tokens=tokens) for part, tokens in parts],
    )


class KeptIndexTest(unittest.TestCase):
    def setUp(self) -> None:
        self.index = PrefixCacheIndex()

    def kept(self) -> int:
        return self.index.cached_prefix_tokens("w", "s", PARTS)

    def test_a_part_counts_only_behind_all_before_it(self) -> None:
        self.index.apply_note(note(1, ("b", 50)))
        self.assertEqual(self.kept(), 0)
        self.index.apply_note(note(2, ("a", 100)))
        self.assertEqual(self.kept(), 150)
        self.index.apply_note(note(3, ("b", 16)))
        self.assertEqual(self.kept(), 116, "a partly cached part ends the prefix")
        self.assertEqual(self.index.cached_prefix_tokens("w", "other", PARTS), 0, "another salt")

    def test_drops_gaps_and_new_lives_are_believed(self) -> None:
        self.index.apply_note(note(1, ("a", 100)))
        self.index.apply_note(note(1, ("a", 0)))
        self.assertEqual(self.kept(), 100, "an old report is ignored")
        self.index.apply_note(note(2, ("a", 0)))
        self.assertEqual((self.kept(), self.index.cache_locations_of("s", "a")), (0, frozenset()))
        self.index.apply_note(note(3, ("a", 100)))
        self.index.apply_note(note(9, ("b", 50), since=8))
        self.assertEqual(self.kept(), 150, "a gap hides evictions and leaves known parts as they are")
        self.index.apply_note(note(10, ("a", 100)))
        self.index.apply_note(note(1, ("b", 50), life="2"))
        self.assertEqual(self.kept(), 0, "a new life starts with an empty cache")
        self.assertEqual(self.index.cache_locations_of("s", "b"), frozenset({"w"}))
        self.index.clear_location("w")
        self.assertEqual(self.index.cache_locations_of("s", "b"), frozenset())


if __name__ == "__main__":
    unittest.main()
