"""ErrorKind (§8.2): the one closed list of errors, each with its answer and whether the job ran."""

from __future__ import annotations

import enum
import unittest
from dataclasses import dataclass


class ErrorKind(enum.Enum):
    MALFORMED = "malformed"
    UNKNOWN_FIELD = "unknown_field"
    BAD_KEY = "bad_key"
    NOT_ENTITLED = "not_entitled"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_KIND = "unknown_kind"
    TOO_LARGE = "too_large"
    DEADLINE_PASSED = "deadline_passed"
    TENANT_BUSY = "tenant_busy"
    OVERLOADED = "overloaded"
    NO_WORKER = "no_worker"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class ErrorResult:
    status: int
    ran: str
    comeBackSeconds: int


NOT_RUN = "not_run"
UNKNOWN = "unknown"

ERROR_TABLE: dict[ErrorKind, ErrorResult] = {
    ErrorKind.MALFORMED: ErrorResult(400, NOT_RUN, 0),
    ErrorKind.UNKNOWN_FIELD: ErrorResult(400, NOT_RUN, 0),
    ErrorKind.BAD_KEY: ErrorResult(401, NOT_RUN, 0),
    ErrorKind.NOT_ENTITLED: ErrorResult(403, NOT_RUN, 0),
    ErrorKind.UNKNOWN_MODEL: ErrorResult(404, NOT_RUN, 0),
    ErrorKind.UNKNOWN_KIND: ErrorResult(404, NOT_RUN, 0),
    ErrorKind.TOO_LARGE: ErrorResult(413, NOT_RUN, 0),
    ErrorKind.DEADLINE_PASSED: ErrorResult(408, NOT_RUN, 0),
    ErrorKind.TENANT_BUSY: ErrorResult(429, NOT_RUN, 1),
    ErrorKind.OVERLOADED: ErrorResult(503, NOT_RUN, 1),
    ErrorKind.NO_WORKER: ErrorResult(503, NOT_RUN, 1),
    ErrorKind.NOT_CURRENT: ErrorResult(503, NOT_RUN, 2),
    ErrorKind.DRAINING: ErrorResult(503, NOT_RUN, 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResult(502, UNKNOWN, 0),
}


@dataclass(frozen=True)
class Refusal:
    kind: ErrorKind
    detail: str = ""


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_one_answer_and_only_one_is_no_refusal(self) -> None:
        self.assertEqual(set(ERROR_TABLE), set(ErrorKind))
        unsure = [kind for kind, givenResult in ERROR_TABLE.items() if givenResult.ran != NOT_RUN]
        self.assertEqual(unsure, [ErrorKind.OUTCOME_UNKNOWN])
