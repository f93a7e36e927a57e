"""Keys of cached prompt parts (§6.6): each covers the owner, model line, weights and every part up to its own."""

from __future__ import annotations

import hashlib

KEY_SIZE = 16


def chain_keys(owner: str, line: str, weights_revision: int, parts: list[tuple[int, int]]) -> list[str]:
    """Returns one hexadecimal key per part, in order.

    The KV cache of a part depends on every part before it, so each key is a running hash over the chain. `line` is
    the model line; `parts` are pairs of part number and revision.
    """
    chain_hash = hashlib.blake2b(
        f"{len(owner)}:{owner}{len(line)}:{line}{weights_revision}".encode(), digest_size=KEY_SIZE
    )
    keys = []
    for part_number, revision in parts:
        chain_hash.update(f"/{part_number}.{revision}".encode())
        keys.append(chain_hash.hexdigest())
    return keys


def cache_salt(owner: str, line: str, weights_revision: int) -> str:
    """Returns the salt that keeps the cached prefixes of different owners, lines and weights apart."""
    return f"{owner}/{line}@{weights_revision}"
