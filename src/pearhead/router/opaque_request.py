"""OpaqueRequest (§8.7): a request whose bytes the node does not read, and what the node adds to it."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

from pearhead.router.errors import Refusal


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, as its caller names it; `tokens` is its length."""

    part: str
    tokens: int


@dataclass(frozen=True)
class OpaqueRequest:
    """Method, target, headers and body go out as they came. `wait_micros`: how long its caller waits, 0: not told."""

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: HTTPHeaders
    body: bytes
    arrived_micros: int
    key_hash: str = ""
    wait_micros: int = 0
    line: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: str = ""

    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True)
class ForwardingMetadata:
    """What a node tells a worker beside the request; empty ones are left out. Times in whole microseconds."""

    left_micros: int
    worker: str
    tenant: str = ""
    urgency: int | None = None
    version: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    last_event_id: str = ""


class ResponseVerdict(enum.Enum):
    """What the head of a worker's answer says."""

    SUCCESS = "success"
    NOT_RUN = "not_run"
    OTHER_WORKER = "other_worker"
    OTHER_VERSION = "other_version"
    FAILURE = "failure"
    UNRECOGNIZED = "foreign"


@dataclass(frozen=True)
class ResponseHead:
    """`version`: of the weights that answer, where told; `versions`: the same by the line that the request named."""

    status: int
    reason: str
    headers: HTTPHeaders
    verdict: ResponseVerdict
    versions: Mapping[str, int]
    version: int | None = None


class ProtocolAdapter(Protocol):
    """How requests and answers are written where the node runs; it translates and decides nothing."""

    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders: ...

    def read_head(
        self, request: OpaqueRequest, metadata: ForwardingMetadata, status: int, reason: str, headers: HTTPHeaders
    ) -> ResponseHead: ...

    def event_version(self, event: bytes) -> int | None:
        """The version of the weights that an event of a stream says to begin with; None where it says nothing of it."""

    def refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]: ...


class ResponseWriter(Protocol):
    """The caller's end of a request."""

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None: ...

    def write(self, chunk: bytes) -> None: ...

    def finish(self) -> None: ...

    def abort(self) -> None:
        """Ends the connection so that no reader takes the answer for a whole one."""

    def is_gone(self) -> bool: ...
