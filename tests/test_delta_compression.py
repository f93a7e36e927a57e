"""DeltaCompressor: deltas survive compression unchanged, large ones shrink, and damaged ones are rejected."""

from __future__ import annotations

import json
import unittest

from pearhead.rpc.delta_compression import DeltaCompressor, extract_delta
from pearhead.rpc.wire_pb2 import Section, TermResult, ViewDelta


def make_delta(routes: int, index: int = 7) -> ViewDelta:
    body = json.dumps(
        [
            {
                "name": f"r-{n}",
                "host": f"host{n % 7}.example",
                "prefix": f"/p{n}/",
                "deadline_micros": 3_000_000,
                "splits": [{"service": "s", "share": 1}],
                "stream": True,
                "tries": 2,
            }
            for n in range(routes)
        ]
    ).encode()
    return ViewDelta(base_index=5, index=index, hash="h", section=[Section(name="routes-00", index=index, body=body)])


class DeltaPackingTest(unittest.TestCase):
    def put(self, compressor: DeltaCompressor, delta: ViewDelta | None) -> TermResult:
        result = TermResult(last_visible_index=7)
        compressor.put(result, delta)
        return TermResult.FromString(result.SerializeToString())

    def test_small_and_large_ones_come_out_as_they_went_in(self) -> None:
        compressor = DeltaCompressor()
        for delta in (make_delta(1), make_delta(1_040), make_delta(1_040), make_delta(3, index=8)):
            self.assertEqual(extract_delta(self.put(compressor, delta)), delta)
        self.assertIsNone(extract_delta(self.put(compressor, None)))

    def test_a_thousand_routes_need_a_fifth_of_their_size_at_most(self) -> None:
        delta = make_delta(1_040)
        result = self.put(DeltaCompressor(), delta)
        self.assertFalse(result.HasField("delta"))
        self.assertLess(result.ByteSize(), delta.ByteSize() / 5)

    def test_what_cant_be_read_is_no_delta(self) -> None:
        compressed = self.put(DeltaCompressor(), make_delta(1_040)).packed_delta
        for damaged in (compressed[:-9], b"x" + compressed, compressed[:200] + b"\0\0" + compressed[202:], b"x"):
            self.assertIsNone(extract_delta(TermResult(packed_delta=damaged)))
