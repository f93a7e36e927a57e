"""Channels (§6.2): objects and volumes are hashed onto a fixed number of channels, which listeners join.

A volume is an owner's parts on one model line; an object is one part of it.
"""

from __future__ import annotations

import hashlib

from bitarray import bitarray

CHANNEL_COUNT = 256


def volume_channel(owner: str, line: str) -> int:
    """Returns the channel of a volume's revision tables, the requests for them, and wakeups."""
    return _hash_channel(f"volume\0{owner}\0{line}")


def object_channel(owner: str, line: str, part: int) -> int:
    """Returns the channel of the revision changes of one part."""
    return _hash_channel(f"object\0{owner}\0{line}\0{part}")


def _hash_channel(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big") % CHANNEL_COUNT


class JoinedChannels:
    """The channels that one process has joined, as the bitmap that its directory record carries."""

    def __init__(self) -> None:
        self.joined_bits = bitarray(CHANNEL_COUNT)
        self.joined_bits.setall(0)

    def join(self, channel_number: int) -> bool:
        """Joins a channel; returns False if it was joined already."""
        if self.joined_bits[channel_number]:
            return False
        self.joined_bits[channel_number] = 1
        return True

    def to_bytes(self) -> bytes:
        """Returns the bitmap, one bit per channel."""
        return self.joined_bits.tobytes()
