"""Checkers for what reaches model workers (§9.13): retries of requests, and orders from the holders of their leases."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from pearhead.testbed.emulator.ledger import OrderSeen, Run, SiteLedger, Trouble, Try
from pearhead.testbed.emulator.rules import (
    ConfigHistory,
    SiteBounds,
    allowed_worker_count,
    is_out_of_contact,
    runs_by_request,
    trouble_spans,
)

TOLERATED_REQUESTS = 3


def holder_ip(ledger: SiteLedger, holder: str) -> str:
    """The address of the machine on which an order's sender runs; empty if no known process has that name."""
    return next((life.ip for life in ledger.lives if holder.startswith(life.prefix)), "")


class BudgetChecker:
    """The retry budget of a service, and the number of workers on which one request may run.

    In any window, arrivals after the first one of each request may not exceed `retry_ratio` times the requests plus
    `retry_slack`. No more than `TOLERATED_REQUESTS` requests may run on more workers than their route's `Tries`.
    """

    rule = "BUDGET"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        yield from self._find_extra_arrivals(ledger, bounds)
        yield from self._find_excess_workers(ledger, bounds)

    def _find_excess_workers(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Finds requests that ran on too many workers, not counting workers that failed meanwhile."""
        configs, tries = ConfigHistory(ledger), ledger.tries_by_id()
        over = []
        for request_id, runs in runs_by_request(ledger).items():
            attempt = tries.get(request_id)
            if attempt is None:
                continue
            allowed = allowed_worker_count(configs, attempt, bounds)
            workers = {r.instance for r in runs if not self._has_worker_ended(ledger, r, attempt)}
            if allowed and len(workers) > allowed:
                over.append(f"{request_id} at {len(workers)} workers where {allowed} are allowed")
        if len(over) > TOLERATED_REQUESTS:
            yield f"{len(over)} requests ran on more workers than their route's tries, the first {over[0]}"

    def _has_worker_ended(self, ledger: SiteLedger, run: Run, attempt: Try) -> bool:
        """Whether the worker was killed, stopped or cut off between the start of the run and the end of the request."""
        spans = trouble_spans(t for t in ledger.troubles if t.name == run.worker)
        return any(
            s.trouble.what in ("killed", "stopped", "cut") and s.overlaps(run.at, attempt.ended_at) for s in spans
        )

    def _find_extra_arrivals(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Finds services with too many repeated arrivals in a window that ends with one.

        The limit uses the largest of three request counts: over that window, and over the windows half a length and
        a whole length earlier.
        """
        seen: set[tuple[str, str]] = set()
        extras: dict[str, list[int]] = defaultdict(list)
        for arrival in sorted(ledger.arrivals, key=lambda a: a.at):
            if (arrival.service, arrival.request_id) in seen:
                extras[arrival.service].append(arrival.at)
            seen.add((arrival.service, arrival.request_id))
        sent = sorted(t.sent_at for t in ledger.tries)
        window = bounds.retry_window_micros
        for service, times in extras.items():
            for position, end_at in enumerate(times):
                count = sum(1 for at in times[: position + 1] if at > end_at - window)
                requests = max(
                    sum(1 for at in sent if end_at - window - shift < at <= end_at - shift)
                    for shift in (0, window, window // 2)
                )
                if count > bounds.retry_ratio * requests + bounds.retry_slack:
                    yield f"{service}: {count} further arrivals for {requests} requests"
                    break


class OneChecker:
    """At any time, one holder at most gives orders to a worker.

    Breaches: one fencing token used by two holders; an order accepted with a lower token than one seen before; holders
    that alternate within `lease_micros`. Where workers check fencing tokens themselves, alternation counts only among
    holders that are in contact. Orders that arrive right after their sender was thawed or the worker's link healed
    don't count, as they may have been sent long before.
    """

    rule = "ONE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        by_instance: dict[str, list[OrderSeen]] = defaultdict(list)
        for order in sorted(ledger.orders, key=lambda o: o.at):
            if not self._arrives_after_thaw(ledger, order, bounds):
                by_instance[order.instance].append(order)
        for orders in by_instance.values():
            yield from self._find_fence_breaches(orders)
            yield from self._find_alternation(ledger, orders, bounds)

    def _arrives_after_thaw(self, ledger: SiteLedger, order: OrderSeen, bounds: SiteBounds) -> bool:
        """Whether the order came within `thaw_micros` after its sender was thawed or the worker's link healed."""
        ip = holder_ip(ledger, order.holder)
        return any(
            self._is_reconnection(t, ip, order.worker) and t.at <= order.at <= t.at + bounds.thaw_micros
            for t in ledger.troubles
        )

    def _is_reconnection(self, trouble: Trouble, ip: str, worker: str) -> bool:
        """Whether the event is a thaw of the sender's machine or a repair of the link to the worker."""
        return (bool(ip) and trouble.ip == ip and trouble.what == "woken") or (
            trouble.name == worker and trouble.what == "healed"
        )

    def _find_fence_breaches(self, orders: list[OrderSeen]) -> Iterator[str]:
        """Finds fencing tokens used by two holders, and lower ones accepted after higher ones."""
        holders: dict[int, str] = {}
        highest = 0
        for order in orders:
            if holders.setdefault(order.fence, order.holder) != order.holder:
                yield f"{order.worker}: fence {order.fence} of {holders[order.fence]} and of {order.holder}"
            if order.status in (200, 202) and order.fence < highest:
                yield f"{order.worker}: fence {order.fence} was taken after {highest}"
            highest = max(highest, order.fence)

    def _find_alternation(self, ledger: SiteLedger, orders: list[OrderSeen], bounds: SiteBounds) -> Iterator[str]:
        """Finds holders whose orders alternate with another's within the time of one lease."""
        if bounds.is_fenced:
            orders = [o for o in orders if not is_out_of_contact(ledger, holder_ip(ledger, o.holder), o.at, bounds)]
        for position, order in enumerate(orders):
            recent = [o for o in orders[:position] if order.at - o.at < bounds.lease_micros]
            others = [n for n, o in enumerate(recent) if o.holder != order.holder]
            if others and any(o.holder == order.holder for o in recent[: others[-1]]):
                yield f"{order.worker}: {order.holder} and {recent[others[-1]].holder} take turns"
