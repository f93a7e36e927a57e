"""SiteOperator (§9.13): sends configurations and announces weights, with the platform's rules for retries."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.testbed.emulator.ledger import (
    ConfigRead,
    ConfigSent,
    ConfigTry,
    RecordSink,
    VersionNamed,
    body_digest,
)
from pearhead.testbed.emulator.raw_http import RawResponse, send_request

FINAL_STATUSES = (400, 409, 412, 413, 422)
MIN_RETRY_DELAY_MICROS = 100 * MILLI
MAX_RETRY_DELAY_MICROS = SECOND
MAX_REDIRECTS = 2
ANSWER_TIMEOUT_SECONDS = 1.0
UPLOAD_BYTES_PER_SECOND = 4_000_000
NAMED_LISTS = ("RouteTable", "Services", "Tenants")


def apply_patch(config: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """The full configuration that results from a change by item name. `config` itself is not modified."""
    changed = copy.deepcopy(config)
    changed["Revision"] = patch["Revision"]
    for name in NAMED_LISTS:
        items = {item["Name"]: item for item in changed.get(name, [])}
        items.update({item["Name"]: item for item in patch.get("Upsert", {}).get(name, [])})
        for removed_name in patch.get("Remove", {}).get(name, []):
            items.pop(removed_name, None)
        if items or name in changed:
            changed[name] = list(items.values())
    return changed


@dataclass(frozen=True)
class ConfigChange:
    """What identifies a change over all its sendings.

    `number`: the revision that it creates; `base`: the one that it builds on; `content`: a digest of what is sent.
    """

    number: int
    base: int
    content: str


class SiteOperator:
    """An operator of an emulated site: sends changes to the core, reads from it, and records what it sees.

    Methods that return a status return that of the last conclusive answer, or 0 if none came in time.
    `list_control_addresses` returns the addresses of the nodes that serve operators; it is called again for each
    sending. `lost_answers`: how many answers to changes are treated as lost; the same change is then sent again, first
    to nodes not yet tried. `answer_timeout_seconds`: how long to wait for a node's answer, for a small body.
    """

    def __init__(
        self,
        list_control_addresses: Callable[[], list[str]],
        clock: Clock,
        sink: RecordSink,
        rng: random.Random | None = None,
        lost_answers: int = 0,
        answer_timeout_seconds: float = ANSWER_TIMEOUT_SECONDS,
    ) -> None:
        self.list_control_addresses, self.clock, self.sink = list_control_addresses, clock, sink
        self.rng = rng or random.Random(0)
        self.lost_answers, self.answer_timeout_seconds = lost_answers, answer_timeout_seconds
        self.last_body: dict[str, Any] = {}

    async def put(
        self, config: dict[str, Any], base: int, limit_micros: int = 20 * SECOND, is_valid: bool = True
    ) -> int:
        """Sends a full configuration that replaces revision `base`. `is_valid`: whether it should be accepted."""
        return await self._send("PUT", config, config, base, limit_micros, is_valid)

    async def patch(self, patch: dict[str, Any], base_config: dict[str, Any], limit_micros: int = 20 * SECOND) -> int:
        """Sends a change by item name. `base_config`: the full configuration that it builds on."""
        return await self._send(
            "PATCH", patch, apply_patch(base_config, patch), base_config["Revision"], limit_micros, True
        )

    async def read(self, limit_micros: int = 20 * SECOND) -> dict[str, Any]:
        """Reads the configuration in force; empty if no answer came in time."""
        asked_at = self.clock.now()
        answer = await self._call("GET", "/v1/config", None, {}, limit_micros)
        if answer is None or answer.head.status != 200:
            return {}
        config = answer.fields()
        self.sink.record(ConfigRead(self.clock.now(), int(config.get("Revision", 0)), config, asked_at))
        return config

    async def name_version(
        self, model: str, version: int, cloud: str, workers: list[str], limit_micros: int = 20 * SECOND
    ) -> int:
        """Announces a new version of a model's weights to the core.

        The worker list at `cloud` and the emulated workers are told first, since the platform's workers know a version
        from when the operator first announces it.
        """
        sent_at = self.clock.now()
        body = {"Model": model, "Revision": version}
        await send_request(cloud, "POST", "/site/name", body)
        for address in workers:
            await send_request(address, "POST", "/site/command", {"named": [version]})
        answer = await self._call("POST", "/v1/version-put", body, {}, limit_micros)
        status = answer.head.status if answer is not None else 0
        self.sink.record(VersionNamed(sent_at, self.clock.now() if 200 <= status < 300 else 0, model, version))
        return status

    async def _send(
        self,
        method: str,
        body: dict[str, Any],
        full_config: dict[str, Any],
        base: int,
        limit_micros: int,
        is_valid: bool,
    ) -> int:
        """Sends one change until it has a conclusive answer, and records it with its result."""
        sent_at = self.clock.now()
        number = int(full_config.get("Revision", 0))
        change = ConfigChange(number, base, body_digest(f"{method} {json.dumps(body, sort_keys=True)}".encode()))
        answer = await self._call(method, "/v1/config", body, {"If-Match": str(base)}, limit_micros, change)
        status = answer.head.status if answer is not None else 0
        self.last_body = answer.fields() if answer is not None else {}
        self.sink.record(ConfigSent(sent_at, self.clock.now(), number, base, status, full_config, is_valid))
        return status

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        limit_micros: int,
        change: ConfigChange | None = None,
    ) -> RawResponse | None:
        """Sends a request to one node after another until one gives a conclusive answer.

        Conclusive are a 2xx, a status in `FINAL_STATUSES`, and the third answer with another 4xx, except 408 and 429.
        The delay between sendings doubles each time up to `MAX_RETRY_DELAY_MICROS`. None after the time limit.
        """
        end_at = self.clock.now() + limit_micros
        pause_micros, refusals = MIN_RETRY_DELAY_MICROS, 0
        tried: list[str] = []
        while self.clock.now() < end_at:
            control = self._pick_node(tried)
            answer = await self._send_once(control, method, path, body, headers, change)
            status = answer.head.status if answer is not None else 0
            if 200 <= status < 300 or status in FINAL_STATUSES:
                return answer
            if 400 <= status < 500 and status not in (408, 429):
                refusals += 1
                if refusals == 3:
                    return answer
            await sleep_for(self.clock, pause_micros)
            pause_micros = min(2 * pause_micros, MAX_RETRY_DELAY_MICROS)
        return None

    def _pick_node(self, tried: list[str]) -> str:
        """A random node among those tried least often; it is added to `tried`."""
        addresses = self.list_control_addresses()
        fewest = min(tried.count(a) for a in addresses)
        address = self.rng.choice([a for a in addresses if tried.count(a) == fewest])
        tried.append(address)
        return address

    async def _send_once(
        self,
        control: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        change: ConfigChange | None,
    ) -> RawResponse | None:
        """Sends a request to one node; records the answer to a change, and drops it if it is to be lost."""
        sent_at = self.clock.now()
        answer = await self._ask(control, method, path, body, headers)
        if change is None:
            return answer
        status = answer.head.status if answer is not None else 0
        is_lost = bool(status) and self.lost_answers > 0
        self.lost_answers -= is_lost
        self.sink.record(
            ConfigTry(
                sent_at, self.clock.now(), change.number, change.base, control, status, change.content, is_lost=is_lost
            )
        )
        return None if is_lost else answer

    async def _ask(
        self, control: str, method: str, path: str, body: dict[str, Any] | None, headers: dict[str, str]
    ) -> RawResponse | None:
        """Sends one request, following up to `MAX_REDIRECTS` redirects.

        None after a timeout, which is longer for large bodies, and after too many redirects.
        """
        body_bytes = b"" if body is None else json.dumps(body).encode()
        answer_timeout_seconds = self.answer_timeout_seconds + len(body_bytes) / UPLOAD_BYTES_PER_SECOND
        target, target_path = control, path
        for _ in range(1 + MAX_REDIRECTS):
            answer = await send_request(target, method, target_path, body_bytes, headers, answer_timeout_seconds)
            if answer is None or answer.head.status != 307:
                return answer
            location = answer.head.text("location").removeprefix("http://")
            target, slash, rest_path = location.partition("/")
            target_path = slash + rest_path or path
        return None
