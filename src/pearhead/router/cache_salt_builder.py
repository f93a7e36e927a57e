"""CacheSaltBuilder (§6.7): the text under which parts are kept; it names all they were made of, as purge tells it."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from pearhead.config.description import Tenant, owner_of
from pearhead.config.view import View
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.opaque_request import PromptPart

PART_NUMBER_LIMIT = 2**63


@dataclass(frozen=True)
class CacheSalt:
    """`is_fresh`: purge knows the revision of each part now, so fetches may be planned (§6.4)."""

    text: str
    is_fresh: bool


class CacheSaltBuilder:
    """Owner, line, weights version, and the revisions of parts that are not at the first."""

    def __init__(self, listener: RevisionListener) -> None:
        self.listener = listener
        self.owners: tuple[View | None, dict[str, str]] = (None, {})

    def salt(
        self, view: View, tenant: Tenant | None, line: str, version: int, parts: Sequence[PromptPart]
    ) -> CacheSalt:
        owner = self._owner(view, tenant)
        changed = []
        is_fresh = True
        for part in parts[:-1]:
            number = part_number(part.part)
            revision = self.listener.revision_of(owner, line, number)
            if revision is None:
                is_fresh = False
                revision = self.listener.last_revision_of(owner, line, number)
            if revision != 1:
                changed.append(f"{number}.{revision}")
        text = f"{owner}\0{line}\0{version}\0{'/'.join(changed)}"
        return CacheSalt(hashlib.blake2b(text.encode(), digest_size=9).hexdigest(), is_fresh)

    def _owner(self, view: View, tenant: Tenant | None) -> str:
        """A group's name is with those kept apart: who leaves a group shares nothing made before (§6.7)."""
        if tenant is None or not tenant.group:
            return owner_of(tenant) if tenant is not None else "public:"
        if self.owners[0] is not view:
            self.owners = (view, {})
        known = self.owners[1]
        if tenant.group not in known:
            apart = sorted(t.name for t in view.description.tenants if t.group != tenant.group)
            digest = hashlib.blake2b("\0".join(apart).encode(), digest_size=6).hexdigest()
            known[tenant.group] = f"{owner_of(tenant)}:{digest}"
        return known[tenant.group]


def part_number(part: str) -> int:
    """Parts are named in hexadecimal; other names are hashed."""
    try:
        return int(part, 16) % PART_NUMBER_LIMIT
    except ValueError:
        return int.from_bytes(hashlib.blake2b(part.encode(), digest_size=8).digest(), "big") % PART_NUMBER_LIMIT
