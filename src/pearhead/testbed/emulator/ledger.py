"""Ledger of an emulated site (§9.13): what clients, model workers and operators observed on their sockets.

Each process appends its records to a file of its own, one JSON object a line, so that a kill loses none that was
written. Times are in whole microseconds since boot, a clock that all processes of one machine share.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Protocol


@dataclass(frozen=True)
class Arrival:
    """A request's head and body as they reached a model worker.

    `body_digest`: see `body_digest()`. `has_key`: the request still carried the client's key. `turned_away`: the status
    with which the worker refused the request; 0 if it accepted it.
    """

    at: int
    worker: str
    instance: str
    service: str
    request_id: str
    method: str
    path: str
    body_digest: str
    tenant: str
    has_key: bool
    resumed_from: int = 0
    expected_version: int = 0
    turned_away: int = 0


@dataclass(frozen=True)
class Run:
    """A request began to run at a worker: it produced its first token, or failed in a way that counts as a run."""

    at: int
    worker: str
    instance: str
    service: str
    request_id: str
    tenant: str
    model: str
    version: int
    resumed_from: int = 0
    status: int = 200


@dataclass(frozen=True)
class Use:
    """A request used a cached prefix part.

    `made_version`, `made_tenant`: the weights version and the tenant for which the part was computed.
    """

    at: int
    worker: str
    request_id: str
    tenant: str
    model: str
    version: int
    salt: str
    part: str
    tokens: int
    made_version: int
    made_tenant: str


@dataclass(frozen=True)
class OrderSeen:
    """An order to load a version of the weights, as a worker received it.

    `holder`: the sender, which holds the worker's lease; `fence`: its fencing token; `status`: the worker's answer.
    """

    at: int
    worker: str
    instance: str
    holder: str
    fence: int
    version: int
    mode: str
    status: int


@dataclass(frozen=True)
class Try:
    """One attempt of a client to send a request to a node.

    `status`: 0 if no status line came, or if a success was cut off. `pieces`: the number of the last piece that came.
    `faults`: pairs of a rule and what was wrong with the bytes that came. `unread`: the node did not read the request.
    `given_up`: the client ended the attempt, after a silence or at its deadline. `deadline_at`: 0 if none is known.
    `kept`: it used a connection that had been open before.
    """

    sent_at: int
    ended_at: int
    request_id: str
    node: str
    host: str
    path: str
    method: str
    body_digest: str
    key: str
    route: str
    kind: str
    resumable: bool
    status: int
    resumed_from: int = 0
    pieces: int = 0
    first_at: int = 0
    faults: tuple[tuple[str, str], ...] = ()
    unread: bool = False
    given_up: bool = False
    deadline_at: int = 0
    kept: bool = False


@dataclass(frozen=True)
class ConfigSent:
    """A configuration that an operator sent, with its final result over all attempts.

    `number`: its revision; `base`: the revision that it replaces. `status`: 0 if no conclusive answer came. `is_valid`:
    whether the platform should accept its contents.
    """

    sent_at: int
    ended_at: int
    number: int
    base: int
    status: int
    body: dict[str, Any] = field(default_factory=dict)
    is_valid: bool = True


@dataclass(frozen=True)
class ConfigTry:
    """One node's answer to one sending of a change.

    `status`: 0 if there was no answer. `is_lost`: the node gave this answer, but it was lost on the way to the
    operator. `content`: a digest of the change.
    """

    sent_at: int
    ended_at: int
    number: int
    base: int
    node: str
    status: int
    content: str
    is_lost: bool = False

    @property
    def change(self) -> tuple[int, int, str]:
        """What identifies the change over all its sendings: number, base and content."""
        return (self.number, self.base, self.content)


@dataclass(frozen=True)
class ConfigRead:
    """A configuration that was read back. `asked_at`: when it was requested; 0 if that is unknown."""

    at: int
    number: int
    body: dict[str, Any] = field(default_factory=dict)
    asked_at: int = 0


@dataclass(frozen=True)
class Shown:
    """The time from which the platform's worker list shows a worker as `ready`, `draining` or, once removed, `gone`."""

    at: int
    instance: str
    state: str


@dataclass(frozen=True)
class Life:
    """One run of a node's process, under an identity new with each start. `prefix`: how the identity begins."""

    at: int
    ip: str
    prefix: str


@dataclass(frozen=True)
class BrokenOff:
    """A worker itself closed the connection in the middle of an answer."""

    at: int
    worker: str
    request_id: str


@dataclass(frozen=True)
class Finished:
    """A worker has produced all of an answer; some of it may still be on its way."""

    at: int
    worker: str
    request_id: str


@dataclass(frozen=True)
class VersionNamed:
    """An operator announced a new version of a model's weights. `acknowledged_at`: 0 if no 2xx answer came."""

    sent_at: int
    acknowledged_at: int
    model: str
    version: int


@dataclass(frozen=True)
class Trouble:
    """An intervention of the launcher at a process.

    `what`: killed, stopped, frozen, woken, started, reloaded, commanded (faults set at a worker), wiped (its disk), cut
    or healed (its link), faulty or sound (a worker), or `overran`: a stopped process was killed after `GraceS`.
    `program`: as in the plan. `ip`: the address of the process's machine.
    """

    at: int
    name: str
    program: str
    what: str
    ip: str = ""


Record = (
    Arrival
    | Run
    | Use
    | OrderSeen
    | Try
    | ConfigSent
    | ConfigTry
    | ConfigRead
    | VersionNamed
    | Shown
    | Life
    | BrokenOff
    | Finished
    | Trouble
)
RECORD_TYPES: dict[str, type[Record]] = {t.__name__: t for t in Record.__args__}


class RecordSink(Protocol):
    """Accepts the records of one process."""

    def record(self, record: Record) -> None:
        """Stores one record."""
        ...


def body_digest(body: bytes) -> str:
    """The first 16 hex digits of the body's SHA-256."""
    return hashlib.sha256(body).hexdigest()[:16]


class SiteLedger:
    """All records of a site, by type. It is a RecordSink as well, so that tests need no files."""

    def __init__(self, records: list[Record] | None = None) -> None:
        self.arrivals: list[Arrival] = []
        self.runs: list[Run] = []
        self.uses: list[Use] = []
        self.orders: list[OrderSeen] = []
        self.tries: list[Try] = []
        self.configs: list[ConfigSent] = []
        self.config_tries: list[ConfigTry] = []
        self.reads: list[ConfigRead] = []
        self.version_namings: list[VersionNamed] = []
        self.shown: list[Shown] = []
        self.lives: list[Life] = []
        self.broken_off: list[BrokenOff] = []
        self.finished: list[Finished] = []
        self.troubles: list[Trouble] = []
        for record in records or []:
            self.record(record)

    def record(self, record: Record) -> None:
        """Adds a record to the list of its type."""
        match record:
            case Arrival():
                self.arrivals.append(record)
            case Run():
                self.runs.append(record)
            case Use():
                self.uses.append(record)
            case OrderSeen():
                self.orders.append(record)
            case Try():
                self.tries.append(record)
            case ConfigSent():
                self.configs.append(record)
            case ConfigTry():
                self.config_tries.append(record)
            case ConfigRead():
                self.reads.append(record)
            case VersionNamed():
                self.version_namings.append(record)
            case Shown():
                self.shown.append(record)
            case Life():
                self.lives.append(record)
            case BrokenOff():
                self.broken_off.append(record)
            case Finished():
                self.finished.append(record)
            case Trouble():
                self.troubles.append(record)

    def tries_by_id(self) -> dict[str, Try]:
        """The tries by request id."""
        return {t.request_id: t for t in self.tries}


class LedgerFile:
    """Appends records to a file, unbuffered: a record is in the file when `record` returns."""

    def __init__(self, file_path: Path) -> None:
        file_path.parent.mkdir(parents=True, exist_ok=True)
        self.file = file_path.open("ab", buffering=0)

    def record(self, record: Record) -> None:
        """Appends a record as one line of JSON."""
        self.file.write(json.dumps({"type": type(record).__name__, **asdict(record)}).encode() + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


def read_ledger(folder_path: Path) -> SiteLedger:
    """Reads all ledger files of a folder. Lines that are not JSON, such as one cut short by a kill, are skipped."""
    ledger = SiteLedger()
    records: list[Record] = []
    for file_path in sorted(folder_path.glob("*.jsonl")):
        for line in file_path.read_bytes().splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            record_type = RECORD_TYPES[fields.pop("type")]
            if record_type is Try:
                fields["faults"] = tuple((rule, what) for rule, what in fields["faults"])
            records.append(record_type(**fields))
    for record in records:
        ledger.record(record)
    return ledger
