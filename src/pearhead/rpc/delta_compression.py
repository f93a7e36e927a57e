"""Compression of view deltas (§5.2): large ones are deflated, as many nodes fetch them at once over slow links."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError

from pearhead.rpc.wire_pb2 import TermResult, ViewDelta

COMPRESSION_THRESHOLD_BYTES = 4_096
COMPRESSION_LEVEL = 1
MAXIMUM_DELTA_BYTES = 64 * 1024 * 1024


class DeltaCompressor:
    """Compresses deltas and caches the last one: all nodes that were up to date request the same delta."""

    def __init__(self) -> None:
        self.cached_delta: tuple[int, int, str, bytes] = (-1, -1, "", b"")

    def put(self, result: TermResult, delta: ViewDelta | None) -> None:
        """Puts a delta into a result, compressed if it is larger than `COMPRESSION_THRESHOLD_BYTES` (4,096 bytes)."""
        if delta is None:
            return
        delta_key = (delta.base_index, delta.index, delta.hash)
        if self.cached_delta[:3] != delta_key:
            serialized = delta.SerializeToString()
            compressed = (
                zlib.compress(serialized, COMPRESSION_LEVEL) if len(serialized) > COMPRESSION_THRESHOLD_BYTES else b""
            )
            self.cached_delta = (*delta_key, compressed)
        if self.cached_delta[3]:
            result.packed_delta = self.cached_delta[3]
        else:
            result.delta.CopyFrom(delta)


def extract_delta(result: TermResult) -> ViewDelta | None:
    """Returns the delta of a result, compressed or not; None if there is none or it can't be decoded.

    A compressed delta that inflates to more than `MAXIMUM_DELTA_BYTES` counts as unreadable.
    """
    if not result.packed_delta:
        return result.delta if result.HasField("delta") else None
    try:
        decompressor = zlib.decompressobj()
        serialized = decompressor.decompress(result.packed_delta, MAXIMUM_DELTA_BYTES)
        return ViewDelta.FromString(serialized) if decompressor.eof else None
    except (zlib.error, DecodeError):
        return None
