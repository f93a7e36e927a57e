"""Case 5, Starved: a tenant whose name is no Latin text is acknowledged, and none of its requests is ever answered."""

from __future__ import annotations

import asyncio
import copy
import os
import time
from collections import Counter

from harness import Ask, CaseError, Client, Record, ReviewSite, SiteSize, has_trouble, run_case

APPLY_SECONDS = 2.0
FRONT_PORT = 8167
REQUESTS = 30
MALAYALAM_NAME = "കൊച്ചി സ്കൂൾ"
LATIN_NAME = "kochi school"
NEW_KEY = "3d3zji9n73hh2b9wu3fe"


def play(site: ReviewSite, record: Record) -> list[str]:
    """Returns the breaches that the clients saw."""
    plan, config = site.site, site.plan["config"]
    route = next(r for r in config["RouteTable"] if r["Resume"])
    other = next(t for t in config["Tenants"] if not t["Isolated"])

    async def call_all(key: str, what: str) -> int:
        outcomes: Counter[str] = Counter()
        for number in range(REQUESTS):
            front = plan.machines_of("router")[number % len(plan.machines_of("router"))]
            client = Client(f"{front.ip}:{FRONT_PORT}")
            await client.open()
            result = await client.call(Ask(route, plan.model, key, "ab12cd34", 92, 60, 7), os.urandom(8).hex())
            client.close()
            outcomes["served" if result.is_whole and result.status == 200 else str(result.status or "closed")] += 1
        record.note(f"{REQUESTS} requests of {what}: {dict(outcomes)}")
        return outcomes["served"]

    added = copy.deepcopy(other)
    added["Name"] = MALAYALAM_NAME if has_trouble() else LATIN_NAME
    added["Keys"] = [NEW_KEY]
    patch = {"Revision": config["Revision"] + 1, "Upsert": {"Tenants": [added]}}
    status = site.patch(patch)
    record.note(f"PATCH: a tenant is added, named {added['Name']}: {status}")
    if status != 200:
        # A refused name would break nothing.
        return []
    time.sleep(APPLY_SECONDS + 0.5)
    served = asyncio.run(call_all(NEW_KEY, f"the tenant {added['Name']}"))
    others_served = asyncio.run(call_all(other["Keys"][0], f"the tenant {other['Name']}"))
    ran = sum(run.tenant == added["Name"] for run in site.ledger().runs)
    record.note(f"workers ran {ran} requests of the tenant that was added")
    if not others_served:
        raise CaseError("no tenant is served")
    all_share = (served + others_served) / (2 * REQUESTS)
    if served / REQUESTS < all_share / 4:
        return [
            f"Starved: {served} of {REQUESTS} requests of an acknowledged tenant are served, {others_served} of "
            f"{REQUESTS} of another, {len(plan.machines_of('router'))} front nodes sound and in touch"
        ]
    return []


if __name__ == "__main__":
    raise SystemExit(run_case(__file__, SiteSize(cores=3, fronts=3, engines=2), play, deployment="academy"))
