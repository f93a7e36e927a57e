"""Placement (§8.7): everything that is sent with a request, as one view of the configuration decided it."""

from __future__ import annotations

from dataclasses import dataclass

from pearhead.config.description import Route, Tenant
from pearhead.config.view import View
from pearhead.router.opaque_request import ForwardingMetadata
from pearhead.router.worker_selector import WorkerChoice
from pearhead.runtime.bounded_numbers import saturate

# A request's urgency is twice its tenant's plus its route's, from 0 to 9.
DEFAULT_TENANT_URGENCY = 2
MAX_TENANT_URGENCY = 4
MAX_ROUTE_URGENCY = 1


@dataclass(frozen=True)
class ResolvedRoute:
    """The route of a request by the given view, and its tenant, None if no tenant has the request's key."""

    view: View
    route: Route
    tenant: Tenant | None

    def agrees_with(self, other: ResolvedRoute) -> bool:
        """Whether another view resolves the request to the same route and the same tenant."""
        return self.route == other.route and self.tenant == other.tenant


@dataclass(frozen=True)
class Placement:
    """A worker chosen for a request, with the route and the tenant of the same view.

    What a worker is told is made from a placement only, so that it never mixes what two views decided.
    """

    resolved: ResolvedRoute
    choice: WorkerChoice

    def metadata(self, remaining_micros: int, last_event_id: str) -> ForwardingMetadata:
        """Returns what the worker is told in addition to the request."""
        tenant, choice = self.resolved.tenant, self.choice
        return ForwardingMetadata(
            remaining_micros=remaining_micros,
            worker=choice.backend.name,
            tenant=tenant.name if tenant is not None else "",
            urgency=combine_urgencies(self.resolved.route, tenant),
            version=choice.version,
            salt=choice.salt,
            fetch_from=choice.fetch_from,
            copy_to=choice.copy_to,
            last_event_id=last_event_id,
        )


def combine_urgencies(route: Route, tenant: Tenant | None) -> int:
    """Returns an urgency from 0 to 9, in which the tenant's takes precedence over the route's."""
    tenant_urgency = saturate(tenant.urgency if tenant is not None else DEFAULT_TENANT_URGENCY, MAX_TENANT_URGENCY)
    return 2 * tenant_urgency + saturate(route.urgency, MAX_ROUTE_URGENCY)
