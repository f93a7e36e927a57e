"""Cache salts (§6.7): a worker caches parts under a salt, which covers all that the cached data depends on."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from pearhead.config.description import Tenant
from pearhead.config.view import View
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.opaque_request import OpaqueRequest
from pearhead.router.sharing_scope import SharingScopes

PART_NUMBER_LIMIT = 2**63


@dataclass(frozen=True)
class CacheSalt:
    """A salt. `is_fresh`: the present revision of each part is known, so fetches may be planned (§6.4)."""

    text: str
    is_fresh: bool


class CacheSaltBuilder:
    """Hashes sharing scope, line, weights version, and the revisions of the parts that are past their first one, 1.

    `unconfirmed_count`: salts that were made while the view was not confirmed.
    """

    def __init__(self, revision_listener: RevisionListener, scopes: SharingScopes) -> None:
        self.revision_listener = revision_listener
        self.scopes = scopes
        self.unconfirmed_count = 0

    def salt(self, view: View, tenant: Tenant | None, line: str, version: int, request: OpaqueRequest) -> CacheSalt:
        """Returns the salt for a tenant's request on a weights version, as of this moment.

        The last part is not shared, so its revision does not count. For a part whose present revision is unknown the
        last known one is taken, and the salt is not fresh. Without a confirmed view it is not fresh either.
        """
        scope = self.scopes.scope_of(view, tenant, request.key_hash)
        self.unconfirmed_count += not scope.is_confirmed
        changed_revisions = []
        is_fresh = scope.is_confirmed
        for part in request.parts[:-1]:
            number = part_number(part.part)
            revision = self.revision_listener.revision_of(scope.owner, line, number)
            if revision is None:
                is_fresh = False
                revision = self.revision_listener.last_revision_of(scope.owner, line, number)
            if revision != 1:
                changed_revisions.append(f"{number}.{revision}")
        text = f"{scope.name}\0{line}\0{version}\0{'/'.join(changed_revisions)}"
        return CacheSalt(hashlib.blake2b(text.encode(), digest_size=9).hexdigest(), is_fresh)


def part_number(part: str) -> int:
    """The number by which revisions of a part are tracked: its hexadecimal name, or a hash of any other name."""
    try:
        return int(part, 16) % PART_NUMBER_LIMIT
    except ValueError:
        return int.from_bytes(hashlib.blake2b(part.encode(), digest_size=8).digest(), "big") % PART_NUMBER_LIMIT
