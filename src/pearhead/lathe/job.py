"""Job (§8.1): a request as callers write it, and what the stages add to it."""

from __future__ import annotations

import json
import re
import unittest
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.awl.checked import read_checked
from pearhead.awl.description import CapabilityEntry, Tenant
from pearhead.awl.view import View, WorkerFact
from pearhead.lathe.errors import ErrorKind, Refusal

JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")
DEPTH_LIMIT_TEXT = "nested too deep"


@dataclass(frozen=True)
class PrefixPart:
    part: int
    tokens: int


@dataclass(frozen=True)
class WrittenJob:
    model: str
    kind: str
    body: str
    prefix: list[PrefixPart] = field(default_factory=list)
    deadlineMicros: int = 0
    jobId: str = ""


@dataclass
class Placement:
    worker: WorkerFact
    weightsName: str = ""
    weightsRevision: int = 0
    salt: str = ""
    keys: list[str] = field(default_factory=list)
    reusedParts: int = 0
    missedTokens: int = 0
    fetchFrom: WorkerFact | None = None
    fetchParts: int = 0
    fetchLimitMicros: int = 0
    why: str = ""
    wasWithdrawn: bool = False


@dataclass
class Job:
    request: WrittenJob
    jobId: str
    arrivedMicros: int
    view: View
    deadlineMicros: int = 0
    tenant: Tenant | None = None
    entry: CapabilityEntry | None = None
    keyHash: str = ""
    mayHaveRun: bool = False
    triedWorkers: set[str] = field(default_factory=set)

    def left_micros(self, nowMicros: int) -> int:
        return self.deadlineMicros - nowMicros


def read_job(bodyBytes: bytes) -> Result[WrittenJob, Refusal]:
    try:
        data: Any = json.loads(bodyBytes)
    except RecursionError:
        return Err(Refusal(ErrorKind.MALFORMED, DEPTH_LIMIT_TEXT))
    except ValueError as fault:
        return Err(Refusal(ErrorKind.MALFORMED, str(fault)))
    checked = read_checked(WrittenJob, data)
    if isinstance(checked, Err):
        isUnknown = all(f.endswith("unknown field") for f in checked.err_value)
        kind = ErrorKind.UNKNOWN_FIELD if isUnknown else ErrorKind.MALFORMED
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


class ReadJobTest(unittest.TestCase):
    def test_bad_input_has_its_own_kind(self) -> None:
        cases: list[tuple[bytes, ErrorKind]] = [
            (b"{", ErrorKind.MALFORMED),
            (b"[" * 100_000, ErrorKind.MALFORMED),
            (b'{"model":"m","kind":"k","body":"b","x":1}', ErrorKind.UNKNOWN_FIELD),
            (b'{"model":"m","kind":"k","body":"b","deadlineMicros":-1}', ErrorKind.DEADLINE_PASSED),
            (b'{"model":"m","kind":"k","body":"b","jobId":"a b"}', ErrorKind.MALFORMED),
            (b'{"model":"m","kind":"k","body":"b","prefix":[{"part":1,"tokens":0}]}', ErrorKind.MALFORMED),
        ]
        for bodyBytes, kind in cases:
            self.assertEqual(read_job(bodyBytes).unwrap_err().kind, kind, bodyBytes[:40])
        self.assertEqual(read_job(b'{"model":"m","kind":"k","body":"b"}').unwrap().prefix, [])
