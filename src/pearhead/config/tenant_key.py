"""Keys of tenants (§5.1): a description and a node's view hold only their hashes."""

from __future__ import annotations

import hashlib


def hash_key(key: str) -> str:
    """Returns the SHA-256 hash of a tenant's key in hexadecimal; any string has one."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
