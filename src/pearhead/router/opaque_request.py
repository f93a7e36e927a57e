"""Opaque requests (§8.7): requests whose content the node does not interpret, and what it exchanges with workers.

`ProtocolAdapter` and `ResponseWriter` are the interfaces through which the proxy reaches the wire format of the
deployment and the client's connection.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

from pearhead.router.errors import Refusal


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt: the name that the client gives it and its length in tokens."""

    part: str
    tokens: int


@dataclass(frozen=True)
class OpaqueRequest:
    """A request as it arrived. Its method, target and body are forwarded as they are.

    The headers to the worker are made from its `headers` by `ProtocolAdapter.outgoing_headers`.

    `arrived_micros` is the time of arrival by the node's clock; `key_hash` the hash of the tenant's key, empty without
    one; `wait_micros` how long the client waits, 0 if not given; `line` the model line, empty if the request names
    none; `parts` the parts of the prompt in order; `output_tokens` the expected length of the output.
    """

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
        """Returns the length of the whole prompt in tokens."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True)
class ForwardingMetadata:
    """What a node tells a worker in addition to the request; empty fields are left out.

    `remaining_micros` is the time until the deadline, in whole microseconds; `version` that of the requested weights;
    `salt` the cache salt; `fetch_from` and `copy_to` are the addresses of the source and the target of cached prompt
    parts; `last_event_id` is the event after which a stream is to continue.
    """

    remaining_micros: int
    worker: str
    tenant: str = ""
    urgency: int | None = None
    version: int | None = None
    salt: str = ""
    fetch_from: str = ""
    copy_to: str = ""
    last_event_id: str = ""


class ResponseVerdict(enum.Enum):
    """How the head of a worker's response is classified.

    `NOT_RUN`, `OTHER_WORKER` and `OTHER_VERSION` all mean that the worker did not run the request: it rejected it, is
    not the addressed worker, or does not have the requested weights. `FAILURE` is any other error response and counts
    as run. `UNRECOGNIZED` means that the response can't be attributed to this request.
    """

    SUCCESS = "success"
    NOT_RUN = "not_run"
    OTHER_WORKER = "other_worker"
    OTHER_VERSION = "other_version"
    FAILURE = "failure"
    UNRECOGNIZED = "foreign"


@dataclass(frozen=True)
class ResponseHead:
    """The classified head of a worker's response.

    `version` is that of the weights which produce the response, None if not given; `versions` maps the model line
    that the request named to it.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    verdict: ResponseVerdict
    versions: Mapping[str, int]
    version: int | None = None


class ProtocolAdapter(Protocol):
    """The wire format of requests and responses in a deployment. It only translates and makes no decisions."""

    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders:
        """Returns the headers of the request to the worker."""

    def read_response_head(
        self, request: OpaqueRequest, metadata: ForwardingMetadata, status: int, reason: str, headers: HTTPHeaders
    ) -> ResponseHead:
        """Classifies the head of a worker's response to this request."""

    def event_version(self, event: bytes) -> int | None:
        """Returns the weights version that a stream event announces, from this event on; None if it announces none."""

    def format_refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]:
        """Returns status, headers and body of a refusal; `request` is None if it could not be read."""


class ResponseWriter(Protocol):
    """Writes the response to the client: `begin`, any number of `write`, then `finish` or `abort`."""

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        """Writes the response head."""

    def write(self, chunk: bytes) -> None:
        """Writes the next bytes of the body."""

    def finish(self) -> None:
        """Ends the response as complete."""

    def abort(self) -> None:
        """Ends the connection in a way that no client mistakes for a complete response."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
