"""Emulated cloud API of the platform (§9.13): its list of workers.

The list comes in pages, shows changes after a lag, and has one rate limit for all nodes together.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import SECOND, Clock
from pearhead.testbed.emulator.ledger import RecordSink, Shown
from pearhead.testbed.emulator.named_versions import fetch_from_control_plane

PAGE_SIZE = 50
WORKER_TIMEOUT_MICROS = 4 * SECOND


class RateLimiter:
    """Token bucket: allows so many calls per second, from all callers together."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.filled_at = 0

    def try_acquire(self, now: int) -> bool:
        """Returns whether one more call is allowed at `now`, in microseconds."""
        refill = (now - self.filled_at) * self.per_second / SECOND
        self.tokens, self.filled_at = min(self.per_second, self.tokens + refill), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class CloudModel:
    """Workers known from their heartbeats, and the lists of them that are shown after the lag.

    A worker that falls silent stays listed for WORKER_TIMEOUT_MICROS, also when another instance has taken its address.
    `sink` gets the changes of each worker's state, with the time from which the list shows them.
    """

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
        """Records that a worker is alive; returns the announced versions and the number of workers that load."""
        is_loading = bool(entry.pop("Loading", False))
        self.entries[entry["Id"]] = (now, {**entry, "_loading": is_loading})
        self._record_snapshot(now)
        loading = sum(bool(e["_loading"]) for _, e in self.entries.values())
        return {"Named": self.named_versions, "Loading": loading}

    def name_version(self, model: str, version: int) -> None:
        """Announces a weights version of a model, as an operator does."""
        versions = self.named_versions.setdefault(model, [1])
        if version not in versions:
            versions.append(version)

    def page(self, now: int, zone: str, token: str) -> tuple[int, dict[str, Any]]:
        """Returns status and body for a call that asks for one page; 429 beyond the rate limit.

        An empty `zone` means all zones. `token` is the `NextPage` of the page before, or empty.
        """
        self.call_count += 1
        if not self.rate_limiter.try_acquire(now):
            return 429, {}
        self._record_snapshot(now)
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - self.lag_micros:
            self.snapshots.popleft()
        # The first snapshot is now the newest that is at least as old as the lag, or else the empty one from the start.
        listed = [e for e in self.snapshots[0][1] if zone in ("", e["Zone"])]
        start = int(token.removeprefix("p-")) if token.removeprefix("p-").isdigit() else 0
        next_page = f"p-{start + self.page_size}" if start + self.page_size < len(listed) else None
        return 200, {"Servers": listed[start : start + self.page_size], "NextPage": next_page}

    def _record_snapshot(self, now: int) -> None:
        """Drops workers that have timed out, and keeps a new list if it differs from the newest."""
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
                self.sink.record(Shown(shown_at, worker_id, state))


class CloudHandler(RequestHandler):
    """Base of the cloud API's handlers."""

    def initialize(self, model: CloudModel, clock: Clock) -> None:
        """Takes the shared state from the application's routes."""
        self.model, self.clock = model, clock


class WorkersHandler(CloudHandler):
    """The list of workers, as the platform serves it."""

    def get(self) -> None:
        """Answers one page of a zone's list."""
        status, body = self.model.page(self.clock.now(), self.get_argument("Zone", ""), self.get_argument("Page", ""))
        self.set_status(status)
        self.finish(body)


class HeartbeatHandler(CloudHandler):
    """Heartbeats of emulated workers. The real platform has no such path."""

    def post(self) -> None:
        """Records a heartbeat."""
        self.finish(self.model.record_heartbeat(self.clock.now(), json.loads(self.request.body)))


class VersionNamesHandler(CloudHandler):
    """Announced weights versions, for operators and workers of the emulator.

    `list_control_addresses`: where operators may have announced others, to the control plane alone.
    """

    def initialize(
        self, model: CloudModel, clock: Clock, list_control_addresses: Callable[[], list[str]] = list
    ) -> None:
        """Takes the shared state from the application's routes."""
        super().initialize(model, clock)
        self.list_control_addresses = list_control_addresses

    async def get(self) -> None:
        """Answers the announced versions of each model."""
        for model, versions in (await fetch_from_control_plane(self.list_control_addresses)).items():
            for version in versions:
                self.model.name_version(model, version)
        await self.finish(dict(self.model.named_versions))

    def post(self) -> None:
        """Announces a version."""
        body = json.loads(self.request.body)
        self.model.name_version(str(body["Model"]), int(body["Revision"]))
        self.finish({})


def build_cloud(model: CloudModel, clock: Clock, list_control_addresses: Callable[[], list[str]] = list) -> Application:
    """Returns the cloud API's HTTP application; without addresses it asks no control plane."""
    handler_args: dict[str, Any] = {"model": model, "clock": clock}
    return Application(
        [
            ("/workers", WorkersHandler, handler_args),
            ("/site/beat", HeartbeatHandler, handler_args),
            ("/site/name", VersionNamesHandler, {**handler_args, "list_control_addresses": list_control_addresses}),
        ],
        log_function=lambda handler: None,
    )
