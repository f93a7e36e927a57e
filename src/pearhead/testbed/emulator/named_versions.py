"""Which weights versions operators have named (§9.13), as the control plane of the emulated site tells them.

Real workers learn of a version from the operator itself. An operator that is not the emulator's own, as a command line
or a script, reaches the control plane alone, so the emulated platform asks there.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pearhead.testbed.emulator.raw_http import RawResponse, send_request

# A router gives up on a load order after 0.7 s. A worker that has to ask answers well within that, although a core is
# frozen.
CONTROL_ANSWER_SECONDS = 0.25
CLOUD_ANSWER_SECONDS = 0.4


def read_control_addresses(plan_path: Path) -> list[str]:
    """The newest control addresses in the launcher's saved plan; none while the plan is missing or being written."""
    try:
        addresses: list[str] = json.loads(plan_path.read_text())["listed"][-1][1]
    except (OSError, ValueError, KeyError, IndexError):
        return []
    return addresses


async def fetch_from_control_plane(list_addresses: Callable[[], list[str]]) -> dict[str, set[int]]:
    """The versions that any core has been told of, by model."""
    answers = await asyncio.gather(
        *(
            send_request(address, "GET", "/v1/version-put", timeout_seconds=CONTROL_ANSWER_SECONDS)
            for address in list_addresses()
        )
    )
    versions: dict[str, set[int]] = {}
    for item in [item for answer in answers for item in _items(answer)]:
        versions.setdefault(str(item["Model"]), set()).add(int(item["Revision"]))
    return versions


def _items(answer: RawResponse | None) -> list[dict[str, Any]]:
    return list(answer.fields().get("Versions", [])) if answer is not None and answer.head.status == 200 else []


async def fetch_from_cloud(cloud: str, model: str) -> list[int]:
    """The versions of a model that the emulated platform knows of; none without an answer."""
    answer = await send_request(cloud, "GET", "/site/name", timeout_seconds=CLOUD_ANSWER_SECONDS)
    return list(answer.fields().get(model, [])) if answer is not None else []
