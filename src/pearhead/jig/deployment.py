"""Deployment (§9.2): the two examples, made at their sizes: machines, description, tenants, jobs."""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import dataclass
from typing import Any

from pearhead.awl.clock import SECOND


@dataclass(frozen=True)
class Deployment:
    name: str
    workerCount: int
    line: str
    longKind: str
    shortKind: str
    tenantNames: tuple[str, ...]
    groups: dict[str, str]
    weightsLimitMicros: int
    nodeCount: int = 9
    coreCount: int = 3
    areas: tuple[str, ...] = ("north", "middle", "south")


ACADEMY = Deployment(
    "academy", 9, "tutor-7b", "essay-review", "vocabulary-check",
    ("kochi-main", "alappuzha", "thrissur", "evening-school", "kottayam", "teachers", "exam-board", "trial"),
    {"alappuzha": "schools", "thrissur": "schools", "kottayam": "schools"}, 12 * SECOND,
)
KLIPPVIK = Deployment(
    "klippvik", 6, "summary-13b", "match-summary", "clip-tag",
    ("broadcast-one", "broadcast-two", "fan-app", "replay-desk", "radio", "archive", "partner-a", "partner-b"),
    {"fan-app": "public", "radio": "public"}, 15 * SECOND,
)
DEPLOYMENTS = {d.name: d for d in (ACADEMY, KLIPPVIK)}


def tenant_key(deployment: Deployment, tenantName: str) -> str:
    """Example keys only: a real deployment draws its own."""
    return f"example-{deployment.name}-{tenantName}"


def build_description(deployment: Deployment) -> dict[str, Any]:
    return {
        "lines": [{"name": deployment.line, "weights": "w1"}],
        "services": [
            {"name": "models", "role": "model"},
            {"name": "desk", "role": "application"},
            {"name": "kept-parts", "role": "store"},
        ],
        "entries": [
            {"name": "long", "line": deployment.line, "tenants": ["*"], "kinds": [deployment.longKind],
             "service": "models", "deadlineMicros": 8 * SECOND, "concurrency": 32, "queueLimit": 64},
            {"name": "short", "line": deployment.line, "tenants": ["*"], "kinds": [deployment.shortKind],
             "service": "models", "deadlineMicros": 4 * SECOND, "concurrency": 64, "queueLimit": 128},
            {"name": "notice", "line": deployment.line, "tenants": ["*"], "kinds": ["notice"],
             "service": "desk", "deadlineMicros": 3 * SECOND, "repeatable": True},
        ],
        "tenants": [
            {"name": name, "group": deployment.groups.get(name, ""),
             "keyHashes": [hashlib.sha256(tenant_key(deployment, name).encode()).hexdigest()]}
            for name in deployment.tenantNames
        ],
        "limits": {"retryShare": 0.1, "prefixParts": 256},
    }


def draw_job(deployment: Deployment, chance: random.Random, number: int) -> tuple[str, dict[str, Any]]:
    """A tenant and a job: a few large tenants, mostly short checks, some long ones on shared prefixes."""
    weights = [8, 6, 4] + [1] * (len(deployment.tenantNames) - 3)
    tenantName = chance.choices(deployment.tenantNames, weights)[0]
    pick = chance.random()
    jobId = f"job-{number}"
    if pick < 0.05:
        return tenantName, {"model": deployment.line, "kind": "notice", "body": f"notice {number}", "jobId": jobId}
    if pick < 0.8:
        return tenantName, {
            "model": deployment.line, "kind": deployment.shortKind, "body": f"short {number}", "jobId": jobId,
            "prefix": [{"part": 1, "tokens": 200}],
        }
    book = chance.randrange(3)
    partCount = chance.randrange(4, 9)
    return tenantName, {
        "model": deployment.line, "kind": deployment.longKind, "body": f"long {number}", "jobId": jobId,
        "prefix": [{"part": 1, "tokens": 200}]
        + [{"part": 100 * (book + 1) + i, "tokens": 1_000} for i in range(partCount)],
    }


def description_text(deployment: Deployment) -> str:
    return json.dumps(build_description(deployment), indent=2) + "\n"
