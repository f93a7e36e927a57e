"""Case 1, Acks: one configuration that can't be read whole ends all changes for good, and service a minute later."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import time
from typing import Any

from harness import Ask, CaseError, Client, Record, ReviewSite, SiteSize, has_trouble, run_case

from pearhead.testbed.emulator.raw_http import send_request as http

# AckMs of the site's page, which binds while the core is settled and no link is in trouble.
ACK_SECONDS = 4.0
CONTROL_PORT, FRONT_PORT = 8169, 8167
SENDINGS = 3
CALLS = 20
# The restart that is not judged begins only while there is time for it.
LAST_START_SECONDS = 90.0


def play(site: ReviewSite, record: Record) -> list[str]:
    """Returns the breaches that the operator and the clients saw."""
    plan, config = site.site, site.plan["config"]
    controls = plan.addresses("control_plane", CONTROL_PORT)
    tenant = config["Tenants"][1]
    route = next(r for r in config["RouteTable"] if r["Resume"])
    ask = Ask(route, plan.model, tenant["Keys"][0], "ab12cd34", 92, 60, 7)

    async def send(method: str, path: str, body: dict[str, Any] | None, base: int = 0) -> tuple[int, dict[str, Any]]:
        """One order as the operator sends it: to one node after another, with a pause, until a clear answer comes."""
        begun = time.monotonic()
        for sending in range(100):
            control = controls[sending % len(controls)]
            headers = {"If-Match": str(base)} if method != "GET" else {}
            # json.dumps writes half a surrogate pair as the escape that any JSON reader takes.
            content = b"" if body is None else json.dumps(body).encode()
            answer = await http(control, method, path, content, headers)
            status = answer.head.status if answer is not None else 0
            if status and status < 500 and status not in (408, 429):
                record.note(f"{method} {path}: {status} after {time.monotonic() - begun:.2f} s")
                return status, answer.fields() if answer is not None else {}
            if time.monotonic() - begun > 2 * ACK_SECONDS:
                break
            await asyncio.sleep(min(0.1 * 2**sending, 1.0))
        record.note(f"{method} {path}: no clear answer in {time.monotonic() - begun:.2f} s")
        return 0, {}

    async def call_all(what: str) -> int:
        served = 0
        statuses: dict[int, int] = {}
        for number in range(CALLS):
            front = plan.machines_of("router")[number % len(plan.machines_of("router"))]
            client = Client(f"{front.ip}:{FRONT_PORT}")
            try:
                await client.open()
            except (OSError, TimeoutError):
                statuses[0] = statuses.get(0, 0) + 1
                continue
            result = await client.call(ask, f"{int(time.monotonic() * 1e6):012x}{number:04x}")
            client.close()
            statuses[result.status] = statuses.get(result.status, 0) + 1
            served += result.status == 200 and result.is_whole
        record.note(f"{CALLS} requests of clients {what}: by status {statuses}")
        return served

    async def change(number: int, base: int, what: str) -> int:
        changed = copy.deepcopy(tenant)
        changed["Urgency"] = number % 3
        status, _ = await send("PATCH", "/v1/config", {"Revision": number, "Upsert": {"Tenants": [changed]}}, base)
        record.note(f"a proper change, number {number} on {base}, {what}: {status}")
        return status

    async def restart_all(present: int) -> None:
        """Not judged: whether an operator can help himself by starting all cores again with their disks."""
        cores = [machine.name for machine in plan.machines_of("control_plane")]
        for name in cores:
            site.send_signal(name, signal.SIGKILL)
        await asyncio.to_thread(site.wait_until, lambda: not any(map(site.is_alive, cores)), "cores ended")
        for name in cores:
            site.start(name)
        record.note("not judged: all cores are started again with their disks")
        await asyncio.sleep(5.0)
        await change(present + 5, present, "after the restart")
        await call_all("after the restart")

    async def play_all() -> list[str]:
        base = int(config["Revision"])
        if await change(base + 1, base, "before") != 200:
            raise CaseError("a proper change was not acknowledged before the disruption")
        if not await call_all("before"):
            raise CaseError("no request was served before the disruption")
        begun = time.monotonic()
        if has_trouble():
            name = "fan-app \ud83d"
            odd = {"Name": name, "Keys": ["0123456789abcdefghij"], "Urgency": 1, "Isolated": True}
            record.note(f"a configuration with a name that was cut inside a surrogate pair: {json.dumps(name)}")
            for sending in range(SENDINGS):
                answer = await http(
                    controls[sending % len(controls)],
                    "PATCH",
                    "/v1/config",
                    json.dumps({"Revision": base + 2, "Upsert": {"Tenants": [odd]}}).encode(),
                    {"If-Match": str(base + 1)},
                )
                record.note(f"sending {sending + 1}: {answer.head.status if answer is not None else 'no answer'}")
                if answer is not None and answer.head.status < 500:
                    break
        status, held = await send("GET", "/v1/config", None)
        if status != 200:
            record.note("the configuration can't be read back")
        present = int(held.get("Revision", base + 1))
        record.note(f"the configuration that is read back has number {present}")
        breaches = []
        asked = time.monotonic()
        if await change(present + 2, present, "after") != 200:
            waited = time.monotonic() - asked
            breaches.append(
                f"Acks: a proper change was not acknowledged in {waited:.1f} s (AckMs {ACK_SECONDS:.0f} s), with all "
                f"{len(controls)} cores up and no trouble"
            )
        version, _ = await send("POST", "/v1/version-put", {"Model": plan.model, "Revision": 2})
        record.note(f"naming of weights: {version}")
        if version != 200:
            breaches.append("Acks: a naming of weights was not acknowledged")
        await asyncio.sleep(max(0.0, begun + 66.0 - time.monotonic()) if has_trouble() else 2.0)
        served = await call_all(f"{time.monotonic() - begun:.0f} s after")
        if not served:
            breaches.append(f"Fault: none of {CALLS} requests is served any more")
        if has_trouble() and breaches and time.monotonic() - record.began < LAST_START_SECONDS:
            await restart_all(present)
        return breaches

    return asyncio.run(play_all())


if __name__ == "__main__":
    raise SystemExit(run_case(__file__, SiteSize(cores=3, fronts=3, engines=2), play))
