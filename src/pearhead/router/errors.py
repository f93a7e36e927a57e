"""Router errors (§8.2): the closed list of errors, each with its HTTP status and whether the job has run."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pearhead.runtime.clock import SECOND


class ErrorKind(enum.Enum):
    """Why a request was refused or failed; the values are sent to clients and name the outcome counters."""

    MALFORMED = "malformed"
    UNKNOWN_FIELD = "unknown_field"
    BAD_KEY = "bad_key"
    NOT_ENTITLED = "not_entitled"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_ROUTE = "unknown_route"
    TOO_LARGE = "too_large"
    DEADLINE_PASSED = "deadline_passed"
    TENANT_BUSY = "tenant_busy"
    OVERLOADED = "overloaded"
    NO_WORKER = "no_worker"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class ErrorResponseSpec:
    """How an error is reported.

    `status` is the HTTP status; `ran` is `NOT_RUN` if the job certainly did not run, else `UNKNOWN`;
    `retry_after_seconds` is the least delay before a retry, 0 if retrying does not help.
    """

    status: int
    ran: str
    retry_after_seconds: int


NOT_RUN = "not_run"
UNKNOWN = "unknown"

ERROR_TABLE: dict[ErrorKind, ErrorResponseSpec] = {
    ErrorKind.MALFORMED: ErrorResponseSpec(400, NOT_RUN, 0),
    ErrorKind.UNKNOWN_FIELD: ErrorResponseSpec(400, NOT_RUN, 0),
    ErrorKind.BAD_KEY: ErrorResponseSpec(401, NOT_RUN, 0),
    ErrorKind.NOT_ENTITLED: ErrorResponseSpec(403, NOT_RUN, 0),
    ErrorKind.UNKNOWN_MODEL: ErrorResponseSpec(404, NOT_RUN, 0),
    ErrorKind.UNKNOWN_KIND: ErrorResponseSpec(404, NOT_RUN, 0),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponseSpec(404, NOT_RUN, 0),
    ErrorKind.TOO_LARGE: ErrorResponseSpec(413, NOT_RUN, 0),
    ErrorKind.DEADLINE_PASSED: ErrorResponseSpec(408, NOT_RUN, 1),
    ErrorKind.TENANT_BUSY: ErrorResponseSpec(429, NOT_RUN, 1),
    ErrorKind.OVERLOADED: ErrorResponseSpec(503, NOT_RUN, 1),
    ErrorKind.NO_WORKER: ErrorResponseSpec(503, NOT_RUN, 1),
    ErrorKind.NOT_CURRENT: ErrorResponseSpec(503, NOT_RUN, 1),
    ErrorKind.DRAINING: ErrorResponseSpec(503, NOT_RUN, 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponseSpec(502, UNKNOWN, 0),
}


@dataclass(frozen=True)
class Refusal:
    """One refused request.

    `retry_after_micros` estimates when the request could run; 0 if nothing is known.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_micros: int = 0

    def retry_after_seconds(self) -> int:
        """Returns the delay, rounded up and at least that in `ERROR_TABLE`; 0 if retrying does not help."""
        min_seconds = ERROR_TABLE[self.kind].retry_after_seconds
        return max(min_seconds, -(-self.retry_after_micros // SECOND)) if min_seconds else 0
