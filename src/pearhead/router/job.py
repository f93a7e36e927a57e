"""Job (§8.1): a request as callers write it, and what the stages add to it."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.config.description import CapabilityEntry, Tenant
from pearhead.config.view import View, WorkerRecord
from pearhead.router.errors import ErrorKind, Refusal

JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")
NESTING_LIMIT_TEXT = "nested too deep"


@dataclass(frozen=True)
class PrefixPart:
    part: int
    tokens: int


@dataclass(frozen=True)
class JobRequest:
    model: str
    kind: str
    body: str
    prefix: list[PrefixPart] = field(default_factory=list)
    deadlineMicros: int = 0
    jobId: str = ""


@dataclass
class Placement:
    worker: WorkerRecord
    weights_name: str = ""
    weights_revision: int = 0
    salt: str = ""
    keys: list[str] = field(default_factory=list)
    reused_parts: int = 0
    missed_tokens: int = 0
    fetch_from: WorkerRecord | None = None
    fetch_parts: int = 0
    fetch_limit_micros: int = 0
    why: str = ""
    was_withdrawn: bool = False


@dataclass
class Job:
    request: JobRequest
    job_id: str
    arrived_micros: int
    view: View
    deadlineMicros: int = 0
    tenant: Tenant | None = None
    entry: CapabilityEntry | None = None
    key_hash: str = ""
    may_have_run: bool = False
    tried_workers: set[str] = field(default_factory=set)

    def left_micros(self, now_micros: int) -> int:
        return self.deadlineMicros - now_micros


def parse_job(body_bytes: bytes) -> Result[JobRequest, Refusal]:
    try:
        data: Any = json.loads(body_bytes)
    except RecursionError:
        return Err(Refusal(ErrorKind.MALFORMED, NESTING_LIMIT_TEXT))
    except ValueError as fault:
        return Err(Refusal(ErrorKind.MALFORMED, str(fault)))
    checked = parse_dataclass(JobRequest, data)
    if isinstance(checked, Err):
        is_unknown = all(f.endswith("unknown field") for f in checked.err_value)
        kind = ErrorKind.UNKNOWN_FIELD if is_unknown else ErrorKind.MALFORMED
        return Err(Refusal(kind, "; ".join(checked.err_value[:20])))
    request = checked.ok_value
    if request.jobId and not JOB_ID_PATTERN.match(request.jobId):
        return Err(Refusal(ErrorKind.MALFORMED, "jobId: 1 to 64 letters, digits, '_', '.', '-'"))
    if request.deadlineMicros < 0:
        return Err(Refusal(ErrorKind.DEADLINE_PASSED, "deadlineMicros: lies in the past"))
    for position, part in enumerate(request.prefix):
        if not (0 <= part.part < 2**63 and 0 < part.tokens < 2**31):
            return Err(Refusal(ErrorKind.MALFORMED, f"prefix[{position}]: out of range"))
    return Ok(request)
