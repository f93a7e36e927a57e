"""Job (§8.1): a job request as clients write it, and the state that the processing stages add to it."""

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
    """One part of a prompt's prefix: the client's id for it (`part`) and its length in tokens."""

    part: int
    tokens: int


@dataclass(frozen=True)
class JobRequest:
    """The JSON body of a job request.

    `deadlineMicros`: time from arrival to the deadline, in microseconds; 0: the default of the matching entry. The
    entry's own deadline is also the upper limit. `jobId`: chosen by the client; may be empty.
    """

    model: str
    kind: str
    body: str
    prefix: list[PrefixPart] = field(default_factory=list)
    deadlineMicros: int = 0
    jobId: str = ""


@dataclass
class Placement:
    """The worker chosen for one attempt of a job, and how the prompt's prefix is reused there.

    `salt`: cache salt of the prefix. `keys`: cache keys of the prefix parts. `cached_part_count`: how many leading
    parts the worker has cached; `missing_tokens`: tokens that it has to prefill. `fetch_from`: where the worker is to
    fetch cached parts from, the first `fetch_parts` within `fetch_limit_micros`. `reason`: the reason for the choice,
    for operators. `was_withdrawn`: the attempt was stopped before a byte was sent, and does not count as a retry.
    """

    worker: WorkerRecord
    weights_name: str = ""
    weights_revision: int = 0
    salt: str = ""
    keys: list[str] = field(default_factory=list)
    cached_part_count: int = 0
    missing_tokens: int = 0
    fetch_from: WorkerRecord | None = None
    fetch_parts: int = 0
    fetch_limit_micros: int = 0
    reason: str = ""
    was_withdrawn: bool = False


@dataclass
class Job:
    """A job on its way through the node, with what the stages found out about it.

    `view`: the view against which it was last checked. `deadlineMicros`: on the node's clock, unlike in the request.
    `may_have_run`: an attempt may have reached a worker, so that its outcome is unknown. `tried_workers`: names of
    workers that are not to be tried again.
    """

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

    def remaining_micros(self, now_micros: int) -> int:
        """Returns the time until the deadline in microseconds; negative after it."""
        return self.deadlineMicros - now_micros


def parse_job(body_bytes: bytes) -> Result[JobRequest, Refusal]:
    """Parses and validates the JSON body of a job request; the refusal lists up to 20 faults."""
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
