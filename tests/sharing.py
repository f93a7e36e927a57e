"""Stand-ins for tests of who shares cached prompt parts (§5.6)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from tornado.httputil import HTTPHeaders

from pearhead.router.cache_salt_builder import CacheSaltBuilder
from pearhead.router.opaque_request import OpaqueRequest, PromptPart
from pearhead.router.sharing_scope import SharingScopes


@dataclass
class FixedConfirmation:
    """A view that is confirmed or not, as the test says."""

    confirmed_micros: int = 0
    is_view_current: bool = True

    def is_current(self) -> bool:
        return self.is_view_current


class FirstRevisions:
    """Every part is at its first revision."""

    def revision_of(self, owner: str, line: str, part: int) -> int | None:
        return 1

    def last_revision_of(self, owner: str, line: str, part: int) -> int:
        return 1


def make_salt_builder(confirmation: FixedConfirmation | None = None, identity: str = "node") -> CacheSaltBuilder:
    revisions: Any = FirstRevisions()
    return CacheSaltBuilder(revisions, SharingScopes(confirmation or FixedConfirmation(), identity))


def make_request(key_hash: str = "", parts: Sequence[PromptPart] = (), line: str = "") -> OpaqueRequest:
    return OpaqueRequest(
        "id", "POST", "/a/x", "h", "/a/x", HTTPHeaders(), b"", 0, key_hash, line=line, parts=tuple(parts)
    )
