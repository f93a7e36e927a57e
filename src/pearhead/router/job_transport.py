"""JobTransport (§8.4): sends a job to one worker, once. Its errors say whether any byte had been sent."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

NOT_SENT = "not_sent"
WITHDRAWN = "withdrawn"
REFUSED = "refused"
CUT = "cut"


class JobTransportError(Exception):
    """A failed attempt; `stage` says how far it got.

    `not_sent`: no connection was made. `withdrawn`: connected, but the precondition failed, so no byte was sent.
    `refused`: the worker says that it did not run the job. `cut`: anything else, so the job may have run.
    """

    def __init__(self, stage: str, detail: str) -> None:
        super().__init__(f"{stage}: {detail}")
        self.stage = stage
        self.detail = detail


@dataclass
class UpstreamJob:
    """A job as it is sent to a worker.

    `salt`: the cache salt. `fetch`: transfer parameters for cached parts; empty if none are fetched. `limit_micros`:
    time until the deadline.
    """

    upstream_id: str
    model: str
    body: str
    salt: str
    tenant: str
    prefix: list[dict[str, Any]] = field(default_factory=list)
    fetch: dict[str, Any] = field(default_factory=dict)
    limit_micros: int = 0

    def to_request(self) -> dict[str, Any]:
        """Returns the request body: the public completions format with a cache salt and transfer parameters (§8.4)."""
        return {
            "model": self.model,
            "prompt": self.body,
            "stream": True,
            "cache_salt": self.salt,
            "user": self.tenant,
            "prefix": self.prefix,
            "kv_transfer_params": self.fetch,
        }


# The final check (§8.4): whether a job may still be sent; called once the connection is established.
SendPrecondition = Callable[[], bool]


class JobTransport(Protocol):
    """Sends jobs to workers."""

    def send_job(
        self, worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Connects, calls `may_begin` in the same step as the first byte is sent, and yields each event of the stream.

        Ends normally only if the worker completed the stream; otherwise raises JobTransportError.
        """


class LineWriter(Protocol):
    """Writes the lines of a job's response to its client."""

    async def write(self, line: dict[str, Any]) -> None:
        """Writes a line; waits for a slow client, and raises ClientDisconnectedError if the client is gone."""


class ClientDisconnectedError(Exception):
    """The client closed its connection before the response was complete."""
