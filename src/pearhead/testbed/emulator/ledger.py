"""SiteLedger (§9.13): what callers, model workers and operators of the emulated platform saw on their sockets.

Each process appends its records to a file of its own, one JSON object a line, so that a kill loses none that was
written. Times are whole microseconds since boot, alike on all processes of one machine.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Protocol


@dataclass(frozen=True)
class Arrival:
    """A request's head and body as they came to a model worker, and whether it was turned away there."""

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
    """A request began: its first token, or a failure that counts as run."""

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
    """A request used a kept part; `made_version` and `made_tenant` tell how that part came to be."""

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
    """One try of a caller. `faults`: what was wrong with an answer that the caller took as a success. `given_up`: the
    caller ended it, for silence or its deadline. `deadline_at`: 0 if none is known. `kept`: its connection was not
    new."""

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
    """A configuration that an operator sent. `status`: 0 if no clear answer came."""

    sent_at: int
    ended_at: int
    number: int
    base: int
    status: int
    body: dict[str, Any] = field(default_factory=dict)
    is_valid: bool = True


@dataclass(frozen=True)
class ConfigTry:
    """What one node made of one sending of a change. `status`: 0 if the operator's side saw none. `is_lost`: the node
    gave this answer, and it was lost on its way to the operator. `content`: a digest of the change."""

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
        return (self.number, self.base, self.content)


@dataclass(frozen=True)
class ConfigRead:
    """A configuration that was read back. `asked_at`: 0 if only its end is known."""

    at: int
    number: int
    body: dict[str, Any] = field(default_factory=dict)
    asked_at: int = 0


@dataclass(frozen=True)
class Shown:
    """From when the platform's list shows a worker as `ready` or `draining`, or no longer (`gone`)."""

    at: int
    instance: str
    state: str


@dataclass(frozen=True)
class Life:
    """A process began under a name that others know it by. `prefix`: how that name begins."""

    at: int
    ip: str
    prefix: str


@dataclass(frozen=True)
class BrokenOff:
    """A worker itself broke off an answer."""

    at: int
    worker: str
    request_id: str


@dataclass(frozen=True)
class Finished:
    """A worker has put out the last of an answer."""

    at: int
    worker: str
    request_id: str


@dataclass(frozen=True)
class VersionNamed:
    """New weights that an operator named. `acknowledged_at`: 0 while no 2xx came."""

    sent_at: int
    acknowledged_at: int
    model: str
    version: int


@dataclass(frozen=True)
class Trouble:
    """The launcher killed, stopped, froze, woke, started, reloaded or commanded a process, cut or healed its link, or
    made a worker faulty or sound; `overran`: a stopped process was killed after `GraceS`. `program`: as in the plan.
    `ip`: its machine's address."""

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
    """Takes the records of one process."""

    def take(self, record: Record) -> None: ...


def body_digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


class SiteLedger:
    """All records, by type. It is a sink itself, for tests without files."""

    def __init__(self, records: list[Record] | None = None) -> None:
        self.arrivals: list[Arrival] = []
        self.runs: list[Run] = []
        self.uses: list[Use] = []
        self.orders: list[OrderSeen] = []
        self.tries: list[Try] = []
        self.configs: list[ConfigSent] = []
        self.config_tries: list[ConfigTry] = []
        self.reads: list[ConfigRead] = []
        self.namings: list[VersionNamed] = []
        self.shown: list[Shown] = []
        self.lives: list[Life] = []
        self.broken_off: list[BrokenOff] = []
        self.finished: list[Finished] = []
        self.troubles: list[Trouble] = []
        for record in records or []:
            self.take(record)

    def take(self, record: Record) -> None:
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
                self.namings.append(record)
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

    def try_of(self) -> dict[str, Try]:
        return {t.request_id: t for t in self.tries}


class LedgerFile:
    """Appends records to a file; a line is in the file when `take` returns."""

    def __init__(self, file_path: Path) -> None:
        file_path.parent.mkdir(parents=True, exist_ok=True)
        self.file = file_path.open("ab", buffering=0)

    def take(self, record: Record) -> None:
        self.file.write(json.dumps({"type": type(record).__name__, **asdict(record)}).encode() + b"\n")

    def close(self) -> None:
        self.file.close()


def read_ledger(folder_path: Path) -> SiteLedger:
    """Reads all files of a folder. A last line that a kill cut short is passed over."""
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
        ledger.take(record)
    return ledger
