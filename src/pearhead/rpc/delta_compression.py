"""Packing of deltas (§5.2): a large one goes deflated, as many nodes ask for it at once over small links."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError

from pearhead.rpc.wire_pb2 import TermResult, ViewDelta

COMPRESSION_THRESHOLD_BYTES = 4_096
COMPRESSION_LEVEL = 1
MAXIMUM_DELTA_BYTES = 64 * 1024 * 1024


class DeltaCompressor:
    """Keeps the last one packed: all nodes that were level ask for the same."""

    def __init__(self) -> None:
        self.cached_delta: tuple[int, int, str, bytes] = (-1, -1, "", b"")

    def put(self, result: TermResult, delta: ViewDelta | None) -> None:
        """Into a result, packed where it is larger than 4,096 bytes."""
        if delta is None:
            return
        mark = (delta.base_index, delta.index, delta.hash)
        if self.cached_delta[:3] != mark:
            plain = delta.SerializeToString()
            packed = zlib.compress(plain, COMPRESSION_LEVEL) if len(plain) > COMPRESSION_THRESHOLD_BYTES else b""
            self.cached_delta = (*mark, packed)
        if self.cached_delta[3]:
            result.packed_delta = self.cached_delta[3]
        else:
            result.delta.CopyFrom(delta)


def extract_delta(result: TermResult) -> ViewDelta | None:
    """The delta of a result, packed or not; None if there is none or it can't be read."""
    if not result.packed_delta:
        return result.delta if result.HasField("delta") else None
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(result.packed_delta, MAXIMUM_DELTA_BYTES)
        return ViewDelta.FromString(plain) if decompressor.eof else None
    except (zlib.error, DecodeError):
        return None
