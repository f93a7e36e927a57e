"""Channels (§6.2): objects and volumes hashed onto a fixed range, joined by those who listen."""

from __future__ import annotations

import hashlib

from bitarray import bitarray

CHANNEL_COUNT = 256


def volume_channel(owner: str, line: str) -> int:
    return _hash_channel(f"volume\0{owner}\0{line}")


def object_channel(owner: str, line: str, part: int) -> int:
    return _hash_channel(f"object\0{owner}\0{line}\0{part}")


def _hash_channel(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big") % CHANNEL_COUNT


class JoinedChannels:
    """The channels one process listens on, as the bits that its record carries."""

    def __init__(self) -> None:
        self.joined_bits = bitarray(CHANNEL_COUNT)
        self.joined_bits.setall(0)

    def join(self, channel_number: int) -> bool:
        """True if the channel was not joined before."""
        if self.joined_bits[channel_number]:
            return False
        self.joined_bits[channel_number] = 1
        return True

    def to_bytes(self) -> bytes:
        return self.joined_bits.tobytes()
