"""Text that UTF-8 can't represent, and text in HTTP headers: no function may fail, whatever a string holds."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from pearhead.runtime.text import (
    MAX_HEADER_VALUE_BYTES,
    escape_controls,
    escape_surrogate_bytes,
    escape_surrogates,
    find_header_fault,
    find_unencodable,
    from_header_value,
    is_encodable,
    load_json,
    may_hold_surrogates,
    to_header_value,
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


class HeaderTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ANY_TEXT | SURROGATES | st.text(min_size=1, max_size=9).map(lambda text: text * 900))
    def test_every_text_can_be_written_and_what_has_no_fault_is_read_back(self, text: str) -> None:
        value = to_header_value(text)
        self.assertLessEqual(len(value.encode("latin-1")), MAX_HEADER_VALUE_BYTES)
        HTTPHeaders().add("Name", value.strip(" \t"))
        if is_encodable(text) and not find_header_fault(text):
            self.assertEqual(from_header_value(value), text)

    def test_what_a_header_can_not_hold_has_a_fault(self) -> None:
        for text in ("a\r\nX: b", "a\0", "\x7f", "x" * (MAX_HEADER_VALUE_BYTES + 1), "ക" * MAX_HEADER_VALUE_BYTES):
            self.assertTrue(find_header_fault(text), text[:9])
        for text in ("", " a ", "a\tb", "കൊച്ചി സ്കൂൾ", "\U0001f600", "x" * MAX_HEADER_VALUE_BYTES):
            self.assertEqual(find_header_fault(text), "", text[:9])

    def test_long_names_that_begin_alike_stay_apart(self) -> None:
        first, second = (to_header_value("x" * 70_000 + end) for end in "ab")
        self.assertNotEqual(first, second)

    def test_bytes_that_are_no_utf_8_are_read_as_latin_1(self) -> None:
        self.assertEqual(from_header_value("G\xf6teborg"), "Göteborg")
        self.assertEqual(from_header_value("Göteborg".encode().decode("latin-1")), "Göteborg")

    def test_no_name_begins_a_line_of_the_log(self) -> None:
        self.assertEqual(escape_controls("a\nb\r\x85\u2028c സ"), "a\\nb\\r\\x85\\u2028c സ")
