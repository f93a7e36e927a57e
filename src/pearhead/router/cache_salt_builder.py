"""Cache salts (§6.7): a worker caches parts under a salt, which covers all that the cached data depends on."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from pearhead.config.description import Tenant, cache_owner
from pearhead.config.view import View
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.opaque_request import PromptPart

PART_NUMBER_LIMIT = 2**63


@dataclass(frozen=True)
class CacheSalt:
    """A salt. `is_fresh`: the present revision of each part is known, so fetches may be planned (§6.4)."""

    text: str
    is_fresh: bool


class CacheSaltBuilder:
    """Hashes owner, line, weights version, and the revisions of the parts that are past their first revision, 1."""

    def __init__(self, revision_listener: RevisionListener) -> None:
        self.revision_listener = revision_listener
        self.owners: tuple[View | None, dict[str, str]] = (None, {})

    def salt(
        self, view: View, tenant: Tenant | None, line: str, version: int, parts: Sequence[PromptPart]
    ) -> CacheSalt:
        """Returns the salt for a tenant's prompt on a weights version.

        The last part is not shared, so its revision does not count. For a part whose present revision is unknown the
        last known one is taken, and the salt is not fresh.
        """
        owner = self._owner(view, tenant)
        changed_revisions = []
        is_fresh = True
        for part in parts[:-1]:
            number = part_number(part.part)
            revision = self.revision_listener.revision_of(owner, line, number)
            if revision is None:
                is_fresh = False
                revision = self.revision_listener.last_revision_of(owner, line, number)
            if revision != 1:
                changed_revisions.append(f"{number}.{revision}")
        text = f"{owner}\0{line}\0{version}\0{'/'.join(changed_revisions)}"
        return CacheSalt(hashlib.blake2b(text.encode(), digest_size=9).hexdigest(), is_fresh)

    def _owner(self, view: View, tenant: Tenant | None) -> str:
        """The owner of a tenant's cached parts; for a group it includes a hash of the tenants outside the group.

        So a tenant that leaves a group shares nothing that was cached before (§6.7).
        """
        if tenant is None or not tenant.group:
            return cache_owner(tenant) if tenant is not None else "public:"
        if self.owners[0] is not view:
            self.owners = (view, {})
        owners_by_group = self.owners[1]
        if tenant.group not in owners_by_group:
            outside_group = sorted(t.name for t in view.description.tenants if t.group != tenant.group)
            digest = hashlib.blake2b("\0".join(outside_group).encode(), digest_size=6).hexdigest()
            owners_by_group[tenant.group] = f"{cache_owner(tenant)}:{digest}"
        return owners_by_group[tenant.group]


def part_number(part: str) -> int:
    """The number by which revisions of a part are tracked: its hexadecimal name, or a hash of any other name."""
    try:
        return int(part, 16) % PART_NUMBER_LIMIT
    except ValueError:
        return int.from_bytes(hashlib.blake2b(part.encode(), digest_size=8).digest(), "big") % PART_NUMBER_LIMIT
