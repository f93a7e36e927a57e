"""read_description: all errors of a description are reported in one go, also when it is read in chunks."""

from __future__ import annotations

import asyncio
import json
import unittest

from pearhead.config.description import MAX_DESCRIPTION_BYTES, read_description, read_description_in_chunks


async def _do_nothing() -> None:
    return None


class DescriptionTest(unittest.TestCase):
    def test_every_fault_of_a_file_is_told(self) -> None:
        data = {
            "lines": [{"name": "a", "weights": "w"}, {"name": "a", "weights": ""}],
            "services": [{"name": "s", "role": "model"}],
            "tenants": [{"name": "t", "keyHashes": ["0"]}],
            "entries": [
                {"name": "e", "line": "b", "tenants": [], "kinds": ["k"], "service": "s"},
                {"name": "f", "line": "a", "tenants": ["u"], "kinds": [], "service": "z", "concurrency": 0},
            ],
        }
        errors = read_description(json.dumps(data).encode()).unwrap_err()
        self.assertEqual(
            sorted(f.split(":")[0] for f in errors),
            sorted(
                [
                    "lines[1].name",
                    "lines[1].weights",
                    "tenants[0].keyHashes",
                    "entries[0].line",
                    "entries[0].tenants",
                    "entries[1].kinds",
                    "entries[1].tenants",
                    "entries[1].service",
                    "entries[1].concurrency",
                ]
            ),
        )
        in_chunks = asyncio.run(read_description_in_chunks(json.dumps(data).encode(), _do_nothing))
        self.assertEqual(in_chunks.unwrap_err(), errors)
        many_entries = {**data, "entries": [{}] * 450 + [{"name": 5}]}
        many_errors = asyncio.run(
            read_description_in_chunks(json.dumps(many_entries).encode(), _do_nothing)
        ).unwrap_err()
        self.assertIn("entries[450].name: must be str, not int", many_errors)
        self.assertIn("over", read_description(b" " * (MAX_DESCRIPTION_BYTES + 1)).unwrap_err()[0])
