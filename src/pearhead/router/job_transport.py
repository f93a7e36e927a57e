"""JobTransport (§8.4): takes one job to one back end, once. What failed says whether a byte had left."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

NOT_SENT = "not_sent"
WITHDRAWN = "withdrawn"
REFUSED = "refused"
CUT = "cut"


class JobTransportError(Exception):
    """`not_sent`: no connection. `withdrawn`: connected, and then the last check said no; no byte left.
    `refused`: the back end says it did not run. `cut`: all else."""

    def __init__(self, stage: str, detail: str) -> None:
        super().__init__(f"{stage}: {detail}")
        self.stage = stage
        self.detail = detail


@dataclass
class UpstreamJob:
    upstream_id: str
    model: str
    body: str
    salt: str
    tenant: str
    prefix: list[dict[str, Any]] = field(default_factory=list)
    fetch: dict[str, Any] = field(default_factory=dict)
    limit_micros: int = 0

    def to_request(self) -> dict[str, Any]:
        """The published completions format with its cache salt and transfer parameters (§8.4)."""
        return {
            "model": self.model,
            "prompt": self.body,
            "stream": True,
            "cache_salt": self.salt,
            "user": self.tenant,
            "prefix": self.prefix,
            "kv_transfer_params": self.fetch,
        }


# The last check (§8.4): whether a job may still begin, asked when the connection stands.
SendPrecondition = Callable[[], bool]


class JobTransport(Protocol):
    def send_job(
        self, worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Connects, asks `mayBegin` in one step with the first byte, then yields each event of the stream.

        Ends only if the back end closed it whole; raises JobTransportError.
        """


class LineWriter(Protocol):
    """Where a job's lines go. Writing waits for a slow caller; a gone caller raises ClientDisconnectedError."""

    async def write(self, line: dict[str, Any]) -> None: ...


class ClientDisconnectedError(Exception):
    """The caller went away."""
