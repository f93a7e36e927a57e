"""Checkers of what reaches model workers (§9.13): further arrivals and runs of requests, and orders of holders."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from pearhead.testbed.emulator.ledger import OrderSeen, Run, SiteLedger, Trouble, Try
from pearhead.testbed.emulator.rules import Configs, SiteBounds, is_out_of_touch, ran_of, spans_of, tries_of

SPARED_REQUESTS = 3


def ip_of(ledger: SiteLedger, holder: str) -> str:
    """The machine of a holder of orders; empty if no process is known to have that name."""
    return next((life.ip for life in ledger.lives if holder.startswith(life.prefix)), "")


class Budget:
    """Arrivals past the first of each request, in any window, beyond the share of its requests and the slack; or more
    than three requests that run, in one try, on more workers than their route's `Tries`."""

    rule = "BUDGET"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        yield from self._find_arrivals(ledger, bounds)
        yield from self._find_tries(ledger, bounds)

    def _find_tries(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        configs, tries = Configs(ledger), ledger.try_of()
        over = []
        for request_id, runs in ran_of(ledger).items():
            asked = tries.get(request_id)
            if asked is None:
                continue
            allowed = tries_of(configs, asked, bounds)
            workers = {r.instance for r in runs if not self._has_crashed(ledger, r, asked)}
            if allowed and len(workers) > allowed:
                over.append(f"{request_id} at {len(workers)} workers where {allowed} are allowed")
        if len(over) > SPARED_REQUESTS:
            yield f"{len(over)} requests ran on more workers than their route's tries, the first {over[0]}"

    def _has_crashed(self, ledger: SiteLedger, run: Run, asked: Try) -> bool:
        """Whether the worker ended or was cut off meanwhile."""
        spans = spans_of(t for t in ledger.troubles if t.name == run.worker)
        return any(s.trouble.what in ("killed", "stopped", "cut") and s.touches(run.at, asked.ended_at) for s in spans)

    def _find_arrivals(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        seen: set[tuple[str, str]] = set()
        extras: dict[str, list[int]] = defaultdict(list)
        for arrival in sorted(ledger.arrivals, key=lambda a: a.at):
            if (arrival.service, arrival.request_id) in seen:
                extras[arrival.service].append(arrival.at)
            seen.add((arrival.service, arrival.request_id))
        sent = sorted(t.sent_at for t in ledger.tries)
        window = bounds.retry_window_micros
        for service, moments in extras.items():
            for position, end_at in enumerate(moments):
                count = sum(1 for at in moments[: position + 1] if at > end_at - window)
                requests = max(
                    sum(1 for at in sent if end_at - window - back < at <= end_at - back)
                    for back in (0, window, window // 2)
                )
                if count > bounds.retry_ratio * requests + bounds.retry_slack:
                    yield f"{service}: {count} further arrivals for {requests} requests"
                    break


class One:
    """Orders to one worker: a fence of two holders, a lower one that is taken, or holders that take turns.

    Where workers check fences, turns count only among holders in touch. What arrives right after its sender was thawed
    does not count.
    """

    rule = "ONE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        by_instance: dict[str, list[OrderSeen]] = defaultdict(list)
        for order in sorted(ledger.orders, key=lambda o: o.at):
            if not self._is_of_the_thawed(ledger, order, bounds):
                by_instance[order.instance].append(order)
        for orders in by_instance.values():
            yield from self._judge_fences(orders)
            yield from self._judge_turns(ledger, orders, bounds)

    def _is_of_the_thawed(self, ledger: SiteLedger, order: OrderSeen, bounds: SiteBounds) -> bool:
        ip = ip_of(ledger, order.holder)
        return any(
            self._has_come_back(t, ip, order.worker) and t.at <= order.at <= t.at + bounds.thaw_micros
            for t in ledger.troubles
        )

    def _has_come_back(self, trouble: Trouble, ip: str, worker: str) -> bool:
        """The sender was thawed, or the link to the worker healed."""
        return (bool(ip) and trouble.ip == ip and trouble.what == "woken") or (
            trouble.name == worker and trouble.what == "healed"
        )

    def _judge_fences(self, orders: list[OrderSeen]) -> Iterator[str]:
        holders: dict[int, str] = {}
        highest = 0
        for order in orders:
            if holders.setdefault(order.fence, order.holder) != order.holder:
                yield f"{order.worker}: fence {order.fence} of {holders[order.fence]} and of {order.holder}"
            if order.status in (200, 202) and order.fence < highest:
                yield f"{order.worker}: fence {order.fence} was taken after {highest}"
            highest = max(highest, order.fence)

    def _judge_turns(self, ledger: SiteLedger, orders: list[OrderSeen], bounds: SiteBounds) -> Iterator[str]:
        if bounds.is_fenced:
            orders = [o for o in orders if not is_out_of_touch(ledger, ip_of(ledger, o.holder), o.at, bounds)]
        for position, order in enumerate(orders):
            recent = [o for o in orders[:position] if order.at - o.at < bounds.lease_micros]
            others = [n for n, o in enumerate(recent) if o.holder != order.holder]
            if others and any(o.holder == order.holder for o in recent[: others[-1]]):
                yield f"{order.worker}: {order.holder} and {recent[others[-1]].holder} take turns"
