"""CloudSite (§9.13): the platform's list of workers, in pages, behind by a lag, and with a rate for all nodes."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import SECOND, Clock
from pearhead.testbed.emulator.ledger import RecordSink, Shown

PAGE_SIZE = 50
WORKER_TIMEOUT_MICROS = 4 * SECOND


class RateLimiter:
    """Lets through so many calls a second, from all callers together."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.filled_at = 0

    def try_acquire(self, now: int) -> bool:
        refill = (now - self.filled_at) * self.per_second / SECOND
        self.tokens, self.filled_at = min(self.per_second, self.tokens + refill), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class CloudModel:
    """Workers tell it that they live; a worker that falls silent stays listed for some seconds, also when another life
    has taken its address. `sink` gets what the list shows, and from when."""

    def __init__(
        self, lag_micros: int, per_second: float, page_size: int = PAGE_SIZE, sink: RecordSink | None = None
    ) -> None:
        self.lag_micros = lag_micros
        self.page_size = page_size
        self.sink = sink
        self.listed_states: dict[str, str] = {}
        self.rate_limiter = RateLimiter(per_second)
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.snapshots: deque[tuple[int, list[dict[str, Any]]]] = deque([(0, [])])
        self.named_versions: dict[str, list[int]] = {}
        self.call_count = 0

    def record_heartbeat(self, now: int, entry: dict[str, Any]) -> dict[str, Any]:
        """A worker lives. Answers what versions are named and how many load."""
        is_loading = bool(entry.pop("Loading", False))
        self.entries[entry["Id"]] = (now, {**entry, "_loading": is_loading})
        self._record_snapshot(now)
        loading = sum(bool(e["_loading"]) for _, e in self.entries.values())
        return {"Named": self.named_versions, "Loading": loading}

    def name_version(self, model: str, version: int) -> None:
        versions = self.named_versions.setdefault(model, [1])
        if version not in versions:
            versions.append(version)

    def page(self, now: int, zone: str, token: str) -> tuple[int, dict[str, Any]]:
        """Status and body of a call for one page."""
        self.call_count += 1
        if not self.rate_limiter.try_acquire(now):
            return 429, {}
        self._record_snapshot(now)
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - self.lag_micros:
            self.snapshots.popleft()
        # What is shown first may be younger than the lag only before the first list was that old.
        listed = [e for e in self.snapshots[0][1] if zone in ("", e["Zone"])]
        start = int(token.removeprefix("p-")) if token.removeprefix("p-").isdigit() else 0
        next_page = f"p-{start + self.page_size}" if start + self.page_size < len(listed) else None
        return 200, {"Servers": listed[start : start + self.page_size], "NextPage": next_page}

    def _record_snapshot(self, now: int) -> None:
        for worker_id, (heard_at, _) in list(self.entries.items()):
            if heard_at < now - WORKER_TIMEOUT_MICROS:
                del self.entries[worker_id]
        listed = [{k: v for k, v in e.items() if k != "_loading"} for _, e in self.entries.values()]
        if listed != self.snapshots[-1][1]:
            self.snapshots.append((now, listed))
            self._record_state_changes(now + self.lag_micros, {e["Id"]: str(e.get("State", "ready")) for e in listed})

    def _record_state_changes(self, shown_at: int, states: dict[str, str]) -> None:
        changed = {
            worker_id: state for worker_id, state in states.items() if self.listed_states.get(worker_id) != state
        }
        removed = {worker_id: "gone" for worker_id in self.listed_states if worker_id not in states}
        self.listed_states = states
        for worker_id, state in {**changed, **removed}.items():
            if self.sink is not None:
                self.sink.take(Shown(shown_at, worker_id, state))


class CloudHandler(RequestHandler):
    def initialize(self, model: CloudModel, clock: Clock) -> None:
        self.model, self.clock = model, clock


class WorkersHandler(CloudHandler):
    def get(self) -> None:
        status, body = self.model.page(self.clock.now(), self.get_argument("Zone", ""), self.get_argument("Page", ""))
        self.set_status(status)
        self.finish(body)


class HeartbeatHandler(CloudHandler):
    def post(self) -> None:
        self.finish(self.model.record_heartbeat(self.clock.now(), json.loads(self.request.body)))


class VersionNamesHandler(CloudHandler):
    def get(self) -> None:
        self.finish(dict(self.model.named_versions))

    def post(self) -> None:
        body = json.loads(self.request.body)
        self.model.name_version(str(body["Model"]), int(body["Revision"]))
        self.finish({})


def build_cloud(model: CloudModel, clock: Clock) -> Application:
    handler_args = {"model": model, "clock": clock}
    return Application(
        [
            ("/workers", WorkersHandler, handler_args),
            ("/site/beat", HeartbeatHandler, handler_args),
            ("/site/name", VersionNamesHandler, handler_args),
        ],
        log_function=lambda handler: None,
    )
