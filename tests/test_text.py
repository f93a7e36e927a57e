"""Text that UTF-8 can't represent: no function may fail, whatever a string holds."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pearhead.runtime.text import (
    escape_surrogate_bytes,
    escape_surrogates,
    find_unencodable,
    is_encodable,
    load_json,
    may_hold_surrogates,
)

ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=40)
SURROGATES = st.text(st.sampled_from('\ud83d\ude00ab\\"'), max_size=12)


class SurrogateTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ANY_TEXT | SURROGATES)
    def test_no_string_of_parsed_json_holds_a_surrogate(self, text: str) -> None:
        for encoded in (
            json.dumps({text: [text]}).encode(),
            json.dumps({text: [text]}, ensure_ascii=False).encode("utf-8", "surrogatepass"),
        ):
            loaded = load_json(encoded)
            self.assertEqual(list(find_unencodable(loaded, "")), [])
            self.assertTrue(json.loads(encoded) == loaded or may_hold_surrogates(encoded), "nothing else is changed")
            name = next(iter(loaded))
            self.assertEqual(loaded, {name: [name]})
            self.assertEqual(escape_surrogates(name), name, "what is escaped once stays")

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ANY_TEXT | SURROGATES)
    def test_json_text_keeps_its_meaning(self, text: str) -> None:
        json_text = json.dumps([text], ensure_ascii=False)
        escaped = escape_surrogate_bytes(json_text.encode("utf-8", "surrogatepass"))
        # Two halves that stand side by side become one character, as in any JSON text with their escapes.
        self.assertEqual(json.loads(escaped.decode()), json.loads(json.dumps([text])))

    def test_pairs_and_other_scripts_are_left_alone(self) -> None:
        for text in ("fan-app \U0001f600", "കൊച്ചി സ്കൂൾ", "Göteborg", "a\\ud83d", "\0\r\n\u202e"):
            self.assertEqual(load_json(json.dumps([text]).encode()), [text])
            self.assertTrue(is_encodable(text))
        self.assertEqual(load_json(rb'["a\ud83d", {"\ude00": 1}]'), ["a\\ud83d", {"\\ude00": 1}])

    def test_the_path_of_each_such_string_is_told(self) -> None:
        value = {"a": ["ok", "\ud83d"], "b": {"\ude00": "ok"}, "c": 1}
        self.assertEqual(list(find_unencodable(value, "")), ["a[1]", "b.\\ude00"])
