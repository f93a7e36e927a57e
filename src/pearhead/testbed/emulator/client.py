"""Clients of the emulated platform (§9.13), which follow its rules for retries.

Each client checks every response against what its own request must get: the seal, a complete body, the order of the
pieces, the request id.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.testbed.emulator.ledger import RecordSink, Try, body_digest
from pearhead.testbed.emulator.node_selector import NodeSelector
from pearhead.testbed.emulator.plan import RequestKind, SitePlan
from pearhead.testbed.emulator.raw_http import RawConnection, RawResponseHead, WireError
from pearhead.testbed.emulator.response_format import (
    Piece,
    ResponseSeal,
    parse_piece,
    parse_seal,
    piece_text,
    request_digest,
)

# With these statuses the platform promises that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Another attempt would get the same answer.
FINAL_STATUSES = (400, 401, 404, 413, 431)
MIN_SILENCE_MICROS = 2 * SECOND
RETRY_PAUSE_MICROS = 20 * MILLI


@dataclass(frozen=True)
class SiteRequest:
    """A client's request. Times are whole microseconds.

    `latency_target_micros` is the route's latency target, `gap_target_micros` the longest gap between pieces within the
    target.
    """

    route: str
    kind: str
    is_resumable: bool
    host: str
    method: str
    path: str
    body: bytes
    key: str
    headers: dict[str, str]
    deadline_micros: int
    latency_target_micros: int
    gap_target_micros: int

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return self.kind == "safe" or self.is_resumable

    @property
    def digest(self) -> str:
        """Digest that the response's seal and pieces must carry."""
        return request_digest(self.method, self.path, self.body)

    @property
    def silence_micros(self) -> int:
        """How long the client waits for further bytes before it gives up."""
        return max(MIN_SILENCE_MICROS, 4 * self.latency_target_micros, 8 * self.gap_target_micros)


class RequestGenerator:
    """Draws random requests for the routes of a configuration.

    A few tenants send most of the requests, and prompts on the same subject share their first part.
    """

    def __init__(self, plan: SitePlan, config: dict[str, Any], rng: random.Random) -> None:
        self.routes = {r["Name"]: r for r in config["RouteTable"]}
        self.kinds = [k for k in plan.kinds if k.route in self.routes]
        self.tenants = config["Tenants"]
        self.model = plan.model
        self.rng = rng

    def draw(self) -> SiteRequest:
        """Returns the next request."""
        kind = self.rng.choices(self.kinds, [k.share for k in self.kinds])[0]
        route = self.routes[kind.route]
        weights = [8, 6, 4, *([1] * len(self.tenants))][: len(self.tenants)]
        tenant = self.rng.choices(self.tenants, weights)[0]
        subject = self.rng.randrange(kind.subjects)
        own_part = self.rng.randbytes(4).hex()
        size = self.rng.uniform(0.5, 1.5)
        own_tokens, output_tokens = max(1, int(kind.own_tokens * size)), max(1, int(kind.output_tokens * size))
        prompt_tokens = kind.shared_tokens + own_tokens
        headers = {
            "X-Model": self.model,
            "X-Token-Count": f"{prompt_tokens},{output_tokens}",
            "X-Prompt-Prefix": f"{self._shared_part(kind, subject)}:{kind.shared_tokens},{own_part}:{own_tokens}",
        }
        body = json.dumps({"subject": subject, "text": self.rng.randbytes(40).hex()}).encode()
        return SiteRequest(
            route["Name"],
            route["Type"],
            bool(route.get("Resume")),
            route["Hostname"],
            "POST",
            f"{route['Prefix']}{subject:x}",
            body,
            self.rng.choice(tenant["Keys"]),
            headers,
            route["DeadlineMs"] * MILLI,
            route["SetpointMs"] * MILLI,
            route.get("GapSetpointMs", 250) * MILLI,
        )

    def _shared_part(self, kind: RequestKind, subject: int) -> str:
        return body_digest(f"{kind.route} {subject}".encode())[:8]


@dataclass
class StreamChecker:
    """Checks the pieces of one response. Each fault is a pair of the broken rule's name and a sentence.

    `version` is the weights version last announced, in the head or in an event; 0 before any was.
    """

    request: SiteRequest
    seal: ResponseSeal
    resumed_from: int
    last_number: int = 0
    version: int = 0
    faults: list[tuple[str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.last_number = self.resumed_from

    def check_event(self, piece: Piece | None) -> None:
        """Checks the next event; None is one that could not be parsed."""
        if piece is None:
            self.faults.append(("MIXED", "bytes that are no event"))
            return
        self.check_version(piece.version)
        if piece.text != piece_text(self.request.digest, piece.number):
            self.faults.append(("MIXED", f"piece {piece.text} belongs to another request"))
        if piece.number != self.last_number + 1:
            self.faults.append(("ORDER", f"piece {piece.number} follows {self.last_number}"))
        if piece.run != self.seal.run and not self.request.is_resumable:
            self.faults.append(("ORDER", f"pieces of the runs {self.seal.run} and {piece.run} are joined"))
        self.last_number = piece.number

    def check_version(self, version: int) -> None:
        """Checks the weights version that the head or an event announces; 0 if it announces none."""
        if 0 < version < self.version:
            self.faults.append(("ORDER", f"weights {version} follow weights {self.version}"))
        self.version = version or self.version

    def end(self) -> None:
        """Checks that a response that ended regularly had all its pieces."""
        if self.last_number < self.seal.pieces:
            self.faults.append(("ORDER", f"ended as whole after {self.last_number} of {self.seal.pieces} pieces"))


def check_head(request_id: str, request: SiteRequest, head: RawResponseHead) -> list[tuple[str, str]]:
    """Returns what is wrong with the head of a response."""
    faults = []
    echoed = head.text("x-request-id")
    if echoed and echoed != request_id:
        faults.append(("MIXED", f"the answer to {echoed} came to {request_id}"))
    seal = parse_seal(head.text("x-answer-seal"))
    if seal is not None and seal.status != head.status:
        faults.append(("MIXED", f"a worker gave {seal.status}, and {head.status} came with its seal"))
    if not 200 <= head.status < 300:
        return faults
    if seal is None:
        faults.append(("MIXED", "a success without its seal"))
    elif seal.digest != request.digest:
        faults.append(("MIXED", f"the seal of {seal.digest} came to {request.digest}"))
    if head.text("content-encoding"):
        faults.append(("MIXED", "an encoding that the worker did not use"))
    return faults


class EventSplitter:
    """Splits a body into its events. `incomplete` is the beginning of an unfinished one."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the events that this chunk completes."""
        *events, self.incomplete = (self.incomplete + chunk).split(b"\n\n")
        return events


@dataclass
class AttemptOutcome:
    """How one attempt ended. `is_unread`: no node read the request.

    `status`: 0 if no status line came, or if a success was cut off. `is_given_up`: the client ended it, for silence or
    its deadline. `last_number`: the last piece that came.
    """

    status: int = 0
    is_complete: bool = False
    is_unread: bool = False
    is_given_up: bool = False
    last_number: int = 0
    retry_micros: int = 0
    first_piece_at: int = 0
    faults: list[tuple[str, str]] = field(default_factory=list)


@dataclass
class CallReport:
    """What clients saw: outcomes by label, faults found in responses, number of attempts, times to first piece."""

    outcomes: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    attempt_count: int = 0
    first_piece_micros: list[int] = field(default_factory=list)


class SiteClient:
    """One client with a persistent connection to its node; it sends one request at a time."""

    def __init__(
        self,
        name: str,
        node_selector: NodeSelector,
        clock: Clock,
        rng: random.Random,
        sink: RecordSink,
        max_retries: int = 1,
    ) -> None:
        self.name, self.node_selector, self.clock, self.rng, self.sink = name, node_selector, clock, rng, sink
        self.max_retries = max_retries
        self.kept_connection: tuple[str, RawConnection] | None = None

    async def call(self, request: SiteRequest, report: CallReport) -> AttemptOutcome:
        """Sends a request and retries it within its deadline. Each attempt is recorded; returns the last outcome."""
        started_at = self.clock.now()
        end_at = started_at + request.deadline_micros
        tried: list[str] = []
        resumed_from = 0
        for attempt in range(1 + self.max_retries):
            outcome = await self._attempt(request, attempt, tried, resumed_from, end_at, report)
            if outcome.is_complete or not self._may_retry(request, outcome):
                break
            if request.is_resumable:
                resumed_from = max(resumed_from, outcome.last_number)
            left_micros = end_at - self.clock.now()
            pause_micros = min(max(outcome.retry_micros, RETRY_PAUSE_MICROS), left_micros // 3)
            if left_micros <= 0 or attempt == self.max_retries:
                break
            await sleep_for(self.clock, pause_micros)
        report.outcomes[self._outcome_label(outcome)] += 1
        if outcome.is_complete and outcome.first_piece_at:
            report.first_piece_micros.append(outcome.first_piece_at - started_at)
        return outcome

    def close(self) -> None:
        """Closes the persistent connection."""
        if self.kept_connection is not None:
            self.kept_connection[1].close()
            self.kept_connection = None

    def _outcome_label(self, outcome: AttemptOutcome) -> str:
        if outcome.is_complete:
            return "done"
        return str(outcome.status) if outcome.status else "unread" if outcome.is_unread else "cut"

    def _may_retry(self, request: SiteRequest, outcome: AttemptOutcome) -> bool:
        """Whether the platform's rules allow another attempt."""
        if outcome.status in FINAL_STATUSES:
            return False
        return outcome.status in NOT_RUN_STATUSES or outcome.is_unread or request.is_repeatable

    async def _attempt(
        self, request: SiteRequest, attempt: int, tried: list[str], resumed_from: int, end_at: int, report: CallReport
    ) -> AttemptOutcome:
        previous = self.kept_connection
        node, connection = await self._connect(attempt, tried)
        is_kept = previous is not None and previous[1] is connection
        request_id = self.rng.randbytes(8).hex()
        sent_at = self.clock.now()
        outcome = AttemptOutcome(is_unread=True)
        if connection is not None:
            outcome = await self._exchange(request, request_id, connection, resumed_from, end_at)
            if not outcome.is_complete:
                self.close()
        tried.append(node)
        report.attempt_count += 1
        report.faults.extend(f"{rule}: {what} ({request_id} at {node})" for rule, what in outcome.faults)
        self.sink.record(
            Try(
                sent_at,
                self.clock.now(),
                request_id,
                node,
                request.host,
                request.path,
                request.method,
                body_digest(request.body),
                request.key,
                request.route,
                request.kind,
                request.is_resumable,
                outcome.status,
                resumed_from,
                outcome.last_number,
                outcome.first_piece_at,
                tuple(outcome.faults),
                outcome.is_unread,
                outcome.is_given_up,
                end_at,
                is_kept,
            )
        )
        return outcome

    async def _connect(self, attempt: int, tried: list[str]) -> tuple[str, RawConnection | None]:
        if self.kept_connection is not None and attempt == 0 and not self.kept_connection[1].is_closed():
            return self.kept_connection
        self.close()
        node = self.node_selector.pick(self.name, attempt, tried)
        connection = RawConnection(self.node_selector.address(node))
        try:
            await connection.open()
        except (OSError, TimeoutError):
            return node.name, None
        self.kept_connection = (node.name, connection)
        return self.kept_connection

    async def _exchange(
        self, request: SiteRequest, request_id: str, connection: RawConnection, resumed_from: int, end_at: int
    ) -> AttemptOutcome:
        outcome = AttemptOutcome(last_number=resumed_from)
        if connection.stray_bytes():
            outcome.faults.append(("MIXED", "bytes came while no request was waiting"))
        headers = {
            "Host": request.host,
            "X-Request-Id": request_id,
            **request.headers,
            "X-Deadline": str(max(1, (end_at - self.clock.now()) // MILLI)),
            "Authorization": f"Token {request.key}",
            "Content-Type": "application/json",
        }
        if resumed_from:
            headers["Last-Event-Id"] = str(resumed_from)
        try:
            await connection.send(request.method, request.path, headers, request.body)
            head = await self._wait_for_bytes(connection.read_head(), request, end_at)
            outcome.status = head.status
            outcome.faults.extend(check_head(request_id, request, head))
            outcome.retry_micros = self._retry_micros(head)
            await self._read_response(request, connection, head, outcome, resumed_from, end_at)
        except WireError as fault:
            if fault.is_garbage:
                outcome.faults.append(("MIXED", f"no answer: {fault}"))
            self._mark_cut(outcome)
        except TimeoutError:
            outcome.is_given_up = True
            self._mark_cut(outcome)
        else:
            if connection.stray_bytes():
                outcome.faults.append(("MIXED", "bytes after a whole answer"))
            if "close" in head.text("connection").lower():
                self.close()
        return outcome

    def _mark_cut(self, outcome: AttemptOutcome) -> None:
        if 200 <= outcome.status < 300:
            outcome.status = 0

    async def _read_response(
        self,
        request: SiteRequest,
        connection: RawConnection,
        head: RawResponseHead,
        outcome: AttemptOutcome,
        resumed_from: int,
        end_at: int,
    ) -> None:
        is_success = 200 <= head.status < 300
        check = StreamChecker(request, parse_seal(head.text("x-answer-seal")) or ResponseSeal("", "", 0), resumed_from)
        version_text = head.text("x-weight-versions").strip()
        check.check_version(int(version_text) if version_text.isdecimal() else 0)
        splitter = EventSplitter()
        body = connection.read_body(head)
        try:
            while True:
                try:
                    chunk = await self._wait_for_bytes(anext(body), request, end_at)
                except StopAsyncIteration:
                    break
                if not is_success:
                    continue
                for event in splitter.feed(chunk):
                    check.check_event(parse_piece(event))
                    outcome.first_piece_at = outcome.first_piece_at or self.clock.now()
                    outcome.last_number = check.last_number
            if is_success:
                if splitter.incomplete:
                    check.faults.append(("MIXED", "a success that ends inside an event"))
                check.end()
                outcome.is_complete = True
        finally:
            outcome.faults.extend(check.faults)

    async def _wait_for_bytes(self, work: Any, request: SiteRequest, end_at: int) -> Any:
        """Waits until the request's deadline or the limit for silence. Raises TimeoutError."""
        left_micros = min(request.silence_micros, end_at - self.clock.now())
        return await asyncio.wait_for(work, max(1, left_micros) / SECOND)

    def _retry_micros(self, head: RawResponseHead) -> int:
        try:
            return max(0, round(float(head.text("retry-after")) * SECOND))
        except ValueError:
            return 0


class SiteLoadGenerator:
    """Many concurrent clients that send requests on the routes of a given configuration."""

    def __init__(self, plan: SitePlan, clock: Clock, rng: random.Random, sink: RecordSink) -> None:
        self.plan, self.clock, self.rng, self.sink = plan, clock, rng, sink
        self.node_selector = NodeSelector(plan.machines_of("router"))

    async def run(self, request_count: int, concurrency: int, config: dict[str, Any] | None = None) -> CallReport:
        """Sends `request_count` requests, `concurrency` of them at a time, and reports what the clients saw."""
        report = CallReport()
        draw = RequestGenerator(self.plan, config or self.plan.config, self.rng)
        await self.node_selector.poll()
        await self.node_selector.poll()
        poll_task = asyncio.ensure_future(self.node_selector.run(self.clock))
        remaining = iter(range(request_count))

        async def run_client(number: int) -> None:
            client = SiteClient(f"client-{number}", self.node_selector, self.clock, self.rng, self.sink)
            for _ in remaining:
                await client.call(draw.draw(), report)
            client.close()

        try:
            await asyncio.gather(*(run_client(n) for n in range(concurrency)))
        finally:
            poll_task.cancel()
        return report
