"""Keys of kept parts (§6.6): each names its owner, its weights and every part before it."""

from __future__ import annotations

import hashlib

KEY_SIZE = 16


def chain_keys(owner: str, line: str, weights_revision: int, parts: list[tuple[int, int]]) -> list[str]:
    """One key a prefix length. KV of a part depends on all before it, so a key covers the chain."""
    chain_hash = hashlib.blake2b(
        f"{len(owner)}:{owner}{len(line)}:{line}{weights_revision}".encode(), digest_size=KEY_SIZE
    )
    keys = []
    for part_number, revision in parts:
        chain_hash.update(f"/{part_number}.{revision}".encode())
        keys.append(chain_hash.hexdigest())
    return keys


def cache_salt(owner: str, line: str, weights_revision: int) -> str:
    return f"{owner}/{line}@{weights_revision}"
