"""SiteOperator (§9.13): sends configurations and names weights, with the page's rules for trying again."""

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
from pearhead.testbed.emulator.wire import Answer, ask

ENDS_AT_ONCE = (400, 409, 412, 413, 422)
PAUSE_MICROS = 100 * MILLI
LONGEST_PAUSE = SECOND
REDIRECTS = 2
SILENCE_SECONDS = 1.0
BYTES_PER_SECOND = 4_000_000
LISTS = ("RouteTable", "Services", "Tenants")


def apply_patch(config: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """The configuration that a change by name makes, whole."""
    changed = copy.deepcopy(config)
    changed["Revision"] = patch["Revision"]
    for name in LISTS:
        items = {item["Name"]: item for item in changed.get(name, [])}
        items.update({item["Name"]: item for item in patch.get("Upsert", {}).get(name, [])})
        for gone in patch.get("Remove", {}).get(name, []):
            items.pop(gone, None)
        if items or name in changed:
            changed[name] = list(items.values())
    return changed


@dataclass(frozen=True)
class Order:
    """One change as it is sent, again and again the same. `number`: the configuration that it makes."""

    number: int
    base: int
    content: str


class SiteOperator:
    """Statuses are those of the last clear answer; 0 if none came in time.

    `controls` tells the nodes that serve orders, asked anew for each sending. `lost_answers`: so many answers to
    changes are lost on their way; the same order is then sent again, to other nodes first. `silence_seconds`: how long
    it bears a node's silence.
    """

    def __init__(
        self,
        controls: Callable[[], list[str]],
        clock: Clock,
        sink: RecordSink,
        chance: random.Random | None = None,
        lost_answers: int = 0,
        silence_seconds: float = SILENCE_SECONDS,
    ) -> None:
        self.controls, self.clock, self.sink = controls, clock, sink
        self.chance = chance or random.Random(0)
        self.lost_answers, self.silence_seconds = lost_answers, silence_seconds
        self.last_body: dict[str, Any] = {}

    async def put(
        self, config: dict[str, Any], base: int, limit_micros: int = 20 * SECOND, is_valid: bool = True
    ) -> int:
        return await self._send("PUT", config, config, base, limit_micros, is_valid)

    async def patch(self, patch: dict[str, Any], held: dict[str, Any], limit_micros: int = 20 * SECOND) -> int:
        """Changes `held`, the configuration that this change builds on."""
        return await self._send("PATCH", patch, apply_patch(held, patch), held["Revision"], limit_micros, True)

    async def read(self, limit_micros: int = 20 * SECOND) -> dict[str, Any]:
        """The newest configuration; empty if none came in time."""
        asked_at = self.clock.now()
        answer = await self._call("GET", "/v1/config", None, {}, limit_micros)
        if answer is None or answer.head.status != 200:
            return {}
        config = answer.fields()
        self.sink.take(ConfigRead(self.clock.now(), int(config.get("Revision", 0)), config, asked_at))
        return config

    async def name_version(
        self, model: str, version: int, cloud: str, workers: list[str], limit_micros: int = 20 * SECOND
    ) -> int:
        """Names new weights. The platform's workers know a version from when the operator first names it."""
        sent_at = self.clock.now()
        body = {"Model": model, "Revision": version}
        await ask(cloud, "POST", "/site/name", body)
        for address in workers:
            await ask(address, "POST", "/site/command", {"named": [version]})
        answer = await self._call("POST", "/v1/version-put", body, {}, limit_micros)
        status = answer.head.status if answer is not None else 0
        self.sink.take(VersionNamed(sent_at, self.clock.now() if 200 <= status < 300 else 0, model, version))
        return status

    async def _send(
        self,
        method: str,
        body: dict[str, Any],
        whole: dict[str, Any],
        base: int,
        limit_micros: int,
        is_valid: bool,
    ) -> int:
        sent_at = self.clock.now()
        number = int(whole.get("Revision", 0))
        order = Order(number, base, body_digest(f"{method} {json.dumps(body, sort_keys=True)}".encode()))
        answer = await self._call(method, "/v1/config", body, {"If-Match": str(base)}, limit_micros, order)
        status = answer.head.status if answer is not None else 0
        self.last_body = answer.fields() if answer is not None else {}
        self.sink.take(ConfigSent(sent_at, self.clock.now(), number, base, status, whole, is_valid))
        return status

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        limit_micros: int,
        order: Order | None = None,
    ) -> Answer | None:
        """The way of a call: to one node after another until one gives a clear answer."""
        end_at = self.clock.now() + limit_micros
        pause_micros, refusals = PAUSE_MICROS, 0
        tried: list[str] = []
        while self.clock.now() < end_at:
            control = self._pick(tried)
            answer = await self._send_once(control, method, path, body, headers, order)
            status = answer.head.status if answer is not None else 0
            if 200 <= status < 300 or status in ENDS_AT_ONCE:
                return answer
            if 400 <= status < 500 and status not in (408, 429):
                refusals += 1
                if refusals == 3:
                    return answer
            await sleep_for(self.clock, pause_micros)
            pause_micros = min(2 * pause_micros, LONGEST_PAUSE)
        return None

    def _pick(self, tried: list[str]) -> str:
        """A node drawn among those that were tried least often."""
        controls = self.controls()
        fewest = min(tried.count(c) for c in controls)
        control = self.chance.choice([c for c in controls if tried.count(c) == fewest])
        tried.append(control)
        return control

    async def _send_once(
        self,
        control: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        order: Order | None,
    ) -> Answer | None:
        sent_at = self.clock.now()
        answer = await self._ask(control, method, path, body, headers)
        if order is None:
            return answer
        status = answer.head.status if answer is not None else 0
        is_lost = bool(status) and self.lost_answers > 0
        self.lost_answers -= is_lost
        self.sink.take(
            ConfigTry(
                sent_at, self.clock.now(), order.number, order.base, control, status, order.content, is_lost=is_lost
            )
        )
        return None if is_lost else answer

    async def _ask(
        self, control: str, method: str, path: str, body: dict[str, Any] | None, headers: dict[str, str]
    ) -> Answer | None:
        """One sending; follows redirects twice. None after a silence, which is longer for large bodies."""
        body_bytes = b"" if body is None else json.dumps(body).encode()
        silence_seconds = self.silence_seconds + len(body_bytes) / BYTES_PER_SECOND
        target, target_path = control, path
        for _ in range(1 + REDIRECTS):
            answer = await ask(target, method, target_path, body_bytes, headers, silence_seconds)
            if answer is None or answer.head.status != 307:
                return answer
            place = answer.head.text("location").removeprefix("http://")
            target, slash, rest_path = place.partition("/")
            target_path = slash + rest_path or path
        return None
