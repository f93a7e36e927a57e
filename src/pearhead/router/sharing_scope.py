"""Sharing scopes (§5.6): which requests may use the cached prompt parts of a request."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Protocol

from pearhead.config.description import Tenant, cache_owner
from pearhead.config.view import View

PUBLIC_OWNER = "public:"


class ViewConfirmation(Protocol):
    """How recently the cores confirmed this node's view (§5.3)."""

    confirmed_micros: int

    def is_current(self) -> bool:
        """Whether the view was confirmed recently enough to decide who shares cached parts."""


@dataclass(frozen=True)
class SharingScope:
    """The requests that may use each other's cached parts.

    `owner` is whom the node's view names as the owner of the parts. `name` is the same for all requests that may share;
    it equals the owner only while the view is confirmed (`is_confirmed`).
    """

    name: str
    owner: str
    is_confirmed: bool


class SharingScopes:
    """Finds the scope of a request by the node's view.

    A view that is not confirmed may be older than a change that isolates a tenant or gives its key to another one.
    Until it is confirmed again, a request shares parts only with requests of the same key at the same node, and only
    with those since the confirmation ran out. No other node and no earlier time uses these scopes.
    """

    def __init__(self, confirmation: ViewConfirmation, node_identity: str) -> None:
        self.confirmation = confirmation
        self.node_identity = node_identity
        self.owners: tuple[View | None, dict[str, str]] = (None, {})

    def scope_of(self, view: View, tenant: Tenant | None, key_hash: str) -> SharingScope:
        """Returns the scope of a request, at this moment; `key_hash` is empty for a request without a key."""
        owner = self._owner(view, tenant)
        if self.confirmation.is_current():
            return SharingScope(owner, owner, True)
        name = f"unconfirmed:{self.node_identity}:{self.confirmation.confirmed_micros}:{key_hash}"
        return SharingScope(name, owner, False)

    def _owner(self, view: View, tenant: Tenant | None) -> str:
        """The owner of a tenant's cached parts; for a group it includes a hash of the tenants outside the group.

        So a tenant that leaves a group shares nothing that was cached before (§6.7).
        """
        if tenant is None or not tenant.group:
            return cache_owner(tenant) if tenant is not None else PUBLIC_OWNER
        if self.owners[0] is not view:
            self.owners = (view, {})
        owners_by_group = self.owners[1]
        if tenant.group not in owners_by_group:
            outside_group = sorted(t.name for t in view.description.tenants if t.group != tenant.group)
            digest = hashlib.blake2b("\0".join(outside_group).encode(), digest_size=6).hexdigest()
            owners_by_group[tenant.group] = f"{cache_owner(tenant)}:{digest}"
        return owners_by_group[tenant.group]
