"""The two example deployments (§9.2): their sizes, descriptions, tenants and generated jobs."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import Any

from pearhead.config.tenant_key import hash_key
from pearhead.runtime.clock import SECOND


@dataclass(frozen=True)
class Deployment:
    """An example deployment: the size of its fleet, and what its description and jobs are made from.

    `line` is the model line that its jobs ask for. `groups` maps tenants to their groups; tenants without one are left
    out. `weights_limit_micros` is how long after the acknowledgement of new weights jobs may still start on
    older ones.
    """

    name: str
    worker_count: int
    line: str
    long_kind: str
    short_kind: str
    tenant_names: tuple[str, ...]
    groups: dict[str, str]
    weights_limit_micros: int
    node_count: int = 9
    core_count: int = 3
    areas: tuple[str, ...] = ("north", "middle", "south")


ACADEMY = Deployment(
    "academy",
    9,
    "tutor-7b",
    "essay-review",
    "vocabulary-check",
    ("kochi-main", "alappuzha", "thrissur", "evening-school", "kottayam", "teachers", "exam-board", "trial"),
    {"alappuzha": "schools", "thrissur": "schools", "kottayam": "schools"},
    12 * SECOND,
)
KLIPPVIK = Deployment(
    "klippvik",
    6,
    "summary-13b",
    "match-summary",
    "clip-tag",
    ("broadcast-one", "broadcast-two", "fan-app", "replay-desk", "radio", "archive", "partner-a", "partner-b"),
    {"fan-app": "public", "radio": "public"},
    15 * SECOND,
)
DEPLOYMENTS = {d.name: d for d in (ACADEMY, KLIPPVIK)}


def tenant_key(deployment: Deployment, tenant_name: str) -> str:
    """The API key of a tenant. It can be guessed: a real deployment must generate random keys."""
    return f"example-{deployment.name}-{tenant_name}"


def build_description(deployment: Deployment) -> dict[str, Any]:
    """The description of the deployment, as operators apply it."""
    return {
        "lines": [{"name": deployment.line, "weights": "w1"}],
        "services": [
            {"name": "models", "role": "model"},
            {"name": "desk", "role": "application"},
            {"name": "kept-parts", "role": "store"},
        ],
        "entries": [
            {
                "name": "long",
                "line": deployment.line,
                "tenants": ["*"],
                "kinds": [deployment.long_kind],
                "service": "models",
                "deadlineMicros": 8 * SECOND,
                "concurrency": 32,
                "queueLimit": 64,
            },
            {
                "name": "short",
                "line": deployment.line,
                "tenants": ["*"],
                "kinds": [deployment.short_kind],
                "service": "models",
                "deadlineMicros": 4 * SECOND,
                "concurrency": 64,
                "queueLimit": 128,
            },
            {
                "name": "notice",
                "line": deployment.line,
                "tenants": ["*"],
                "kinds": ["notice"],
                "service": "desk",
                "deadlineMicros": 3 * SECOND,
                "repeatable": True,
            },
        ],
        "tenants": [
            {
                "name": name,
                "group": deployment.groups.get(name, ""),
                "keyHashes": [hash_key(tenant_key(deployment, name))],
            }
            for name in deployment.tenant_names
        ],
        "limits": {"retryShare": 0.1, "prefixParts": 256},
    }


def generate_job(deployment: Deployment, rng: random.Random, number: int) -> tuple[str, dict[str, Any]]:
    """Draws a tenant and a job with the id `job-<number>`.

    Three tenants send most of the jobs. 5% of the jobs are notices, 75% short ones, and 20% long ones, which share the
    prefixes of three documents.
    """
    tenant_weights = [8, 6, 4] + [1] * (len(deployment.tenant_names) - 3)
    tenant_name = rng.choices(deployment.tenant_names, tenant_weights)[0]
    draw = rng.random()
    job_id = f"job-{number}"
    if draw < 0.05:
        return tenant_name, {"model": deployment.line, "kind": "notice", "body": f"notice {number}", "jobId": job_id}
    if draw < 0.8:
        return tenant_name, {
            "model": deployment.line,
            "kind": deployment.short_kind,
            "body": f"short {number}",
            "jobId": job_id,
            "prefix": [{"part": 1, "tokens": 200}],
        }
    document_number = rng.randrange(3)
    part_count = rng.randrange(4, 9)
    return tenant_name, {
        "model": deployment.line,
        "kind": deployment.long_kind,
        "body": f"long {number}",
        "jobId": job_id,
        "prefix": [{"part": 1, "tokens": 200}]
        + [{"part": 100 * (document_number + 1) + i, "tokens": 1_000} for i in range(part_count)],
    }


def description_text(deployment: Deployment) -> str:
    """The description as the text of a JSON file, as shipped in `examples/`."""
    return json.dumps(build_description(deployment), indent=2) + "\n"
