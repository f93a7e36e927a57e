"""Gate (§8.7): the way of an opaque request through a node, read from top to bottom in `serve`."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Route, Tenant
from pearhead.config.view import View
from pearhead.router.drain import DRAINING_DETAIL, DrainSchedule, DrainState
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.event_stream import EventSplitter
from pearhead.router.fleet_budget import FleetBudget
from pearhead.router.load_book import LoadBook
from pearhead.router.opaque import AnswerHead, AnswerPen, Dialect, Directions, OpaqueRequest, Verdict
from pearhead.router.placer import Choice, Placer
from pearhead.router.read_book import LongRead, ReadBook
from pearhead.router.stream_sequence import StreamViolation
from pearhead.router.upstream import ANY_REST_MICROS, NO_ROOM, CallTerms, UpstreamCall, UpstreamPool
from pearhead.runtime.clock import MILLI, SECOND, Clock, rest

LOGGER = logging.getLogger("pearhead")
ANSWER_MEMORY = 4 * 1024 * 1024
HOP_HEADERS = (
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "proxy-connection",
    "proxy-authenticate",
)
SOON_MICROS = 120 * MILLI
# A node that starts knows what is in force after about a second; those it refused do not come back all at once.
NOT_CURRENT_MICROS = SECOND
NOT_CURRENT_SPREAD_MICROS = 600 * MILLI
# Callers come back after a third of their time at the latest: one with less time would come too early, and is held.
COME_BACK_SHARE = 3
HELD_SHARE = 2
HELD_MICROS = 1_200 * MILLI
HELD_ROUND_MICROS = 20 * MILLI
MOST_PLACEMENTS = 6
# Nodes do not know exactly how many they are, and orders and reports need connections too.
CONNECTIONS_USED = 0.8
FEW_CONNECTIONS = 2
# A worker queues a few beyond its places; what one node alone sends beyond twice them is turned away.
PLACES_TIMES = 2
# A worker may forget a connection that rests; what may not be repeated is not spent on finding out.
RESTED_MICROS = 2 * SECOND
# To callers these promise that it has not run and never will, which only `Verdict.NOT_RUN` and the like can say.
PROMISE_STATUSES = (408, 421, 429, 503)


class CurrentView(Protocol):
    """What is in force, as far as this node knows (§5.5)."""

    def view(self) -> View | None:
        """None while the node may not serve by what it knows."""


@dataclass(eq=False)
class Passage:
    """One request on its way. `may_have_run`: a worker may have begun it; `has_begun`: the caller has a head;
    `is_fresh`: it was sent to no worker and waited for no other's read; `is_ending`: `task`, which carries it, was
    cancelled to give it its final answer before the process ends."""

    request: OpaqueRequest
    pen: AnswerPen
    splitter: EventSplitter
    deadline_micros: int = 0
    tries: int = 0
    placements: int = 0
    may_have_run: bool = False
    had_run: bool = False
    has_begun: bool = False
    is_fresh: bool = True
    is_done: bool = False
    is_ending: bool = False
    task: asyncio.Task[None] | None = None
    tried: set[str] = field(default_factory=set)
    retry_micros: int = SOON_MICROS


@dataclass(frozen=True)
class Way:
    view: View
    route: Route
    tenant: Tenant | None


class Gate:
    def __init__(
        self,
        clock: Clock,
        current: CurrentView,
        placer: Placer,
        loads: LoadBook,
        pool: UpstreamPool,
        budget: FleetBudget,
        dialect: Dialect,
        node_count: Callable[[], int],
        note_versions: Callable[[str, AnswerHead], None],
        reads: ReadBook | None = None,
        drain: DrainState | None = None,
        on_violation: Callable[[str], None] = lambda name: None,
        check_send: Callable[[], None] = lambda: None,
        trusts_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.clock = clock
        self.current = current
        self.placer = placer
        self.loads = loads
        self.pool = pool
        self.budget = budget
        self.dialect = dialect
        self.node_count = node_count
        self.note_versions = note_versions
        self.reads = reads or ReadBook(clock, placer.expect, lambda note: None)
        self.taken_count = 0
        self.drain = drain or DrainState(clock, DrainSchedule.of_grace(SECOND))
        self.passages: set[Passage] = set()
        self.on_violation = on_violation
        self.check_send = check_send
        self.trusts_keys = trusts_keys
        self.outcomes: dict[str, int] = {}

    async def serve(self, request: OpaqueRequest, pen: AnswerPen) -> None:
        """Ends with a whole answer, a refusal, or an aborted connection; nothing is left open behind it."""
        splitter = EventSplitter(request.last_event_id, self.dialect.event_version)
        passage = Passage(request, pen, splitter, task=asyncio.current_task())
        self.passages.add(passage)
        self.taken_count += 1
        try:
            await self._pass(passage)
        except asyncio.CancelledError:
            if not passage.is_ending:
                raise
            self._end_passage(passage)
        finally:
            self.passages.discard(passage)

    async def _pass(self, passage: Passage) -> None:
        """From the first look at what is in force to the answer."""
        request, pen = passage.request, passage.pen
        await self._hold_until_known(request, pen)
        looked = self._look(request)
        if isinstance(looked, Err):
            return self._refuse(passage, looked.err_value)
        way = looked.ok_value
        wait_micros = min(request.wait_micros or way.route.deadline_micros, way.route.deadline_micros)
        passage.deadline_micros = request.arrived_micros + wait_micros
        self.budget.pay_in(way.route.splits[0].service, self.node_count())
        last = Refusal(ErrorKind.NO_WORKER, "no worker took it", passage.retry_micros)
        while not passage.is_done:
            if pen.is_gone():
                return self._count("caller_gone")
            left_micros = passage.deadline_micros - self.clock.now()
            if left_micros <= 0:
                last = Refusal(ErrorKind.DEADLINE_PASSED, "its deadline passed")
                break
            looked = self._look(request)
            if isinstance(looked, Err):
                last = looked.err_value
                break
            way = looked.ok_value
            if not self._may_try(passage, way.route):
                break
            chosen = self.placer.choose(way.view, way.route, request, way.tenant, frozenset(passage.tried))
            if isinstance(chosen, Err):
                last = chosen.err_value
                break
            choice = chosen.ok_value
            if passage.is_fresh and await self.reads.wait_for(choice, request, left_micros // 4):
                passage.is_fresh = False
                continue
            passage.is_fresh = False
            last = await self._carry(passage, way, choice)
        if not passage.is_done:
            self._give_up(passage, last)

    # ---- what is in force ------------------------------------------------------------------------

    async def _hold_until_known(self, request: OpaqueRequest, pen: AnswerPen) -> None:
        """On a node that starts, for a caller that has not the time to come back when it will know."""
        if not 0 < request.wait_micros < COME_BACK_SHARE * NOT_CURRENT_MICROS:
            return
        end_micros = self.clock.now() + min(request.wait_micros // HELD_SHARE, HELD_MICROS)
        while not self._is_known(request) and self.clock.now() < end_micros and not pen.is_gone():
            await rest(self.clock, HELD_ROUND_MICROS)

    def _is_known(self, request: OpaqueRequest) -> bool:
        """What is in force and a worker, or that it is to be refused; a node knows of workers last."""
        looked = self._look(request)
        if isinstance(looked, Err):
            return looked.err_value.kind is not ErrorKind.NOT_CURRENT
        return self.placer.knows_workers()

    def _look(self, request: OpaqueRequest) -> Result[Way, Refusal]:
        if not self.drain.may_accept():
            return Err(Refusal(ErrorKind.DRAINING, DRAINING_DETAIL))
        view = self.current.view()
        if view is None:
            back_micros = NOT_CURRENT_MICROS + _spread(request.request_id, NOT_CURRENT_SPREAD_MICROS)
            return Err(Refusal(ErrorKind.NOT_CURRENT, "this node does not know what is in force", back_micros))
        limits = view.description.limits
        if limits.body_bytes and len(request.body) > limits.body_bytes:
            return Err(Refusal(ErrorKind.TOO_LARGE, "the body is over the limit"))
        route = view.route_of(request.host, request.path)
        if route is None:
            return Err(Refusal(ErrorKind.UNKNOWN_ROUTE, "no route for this host and path"))
        tenant = view.tenant_by_hash.get(request.key_hash) if request.key_hash else None
        if tenant is None and view.description.tenants and not route.public:
            return Err(Refusal(ErrorKind.BAD_KEY, "no tenant has this key"))
        if tenant is not None and not self.trusts_keys():
            return Err(Refusal(ErrorKind.NOT_CURRENT, "the key may have been taken away", NOT_CURRENT_MICROS))
        return Ok(Way(view, route, tenant))

    def _may_try(self, passage: Passage, route: Route) -> bool:
        if passage.placements >= MOST_PLACEMENTS:
            return False
        if passage.tries == 0:
            return True
        if passage.tries >= max(route.tries, 1):
            return False
        if passage.may_have_run and not _may_repeat(route):
            return False
        if passage.has_begun and not _may_continue(passage, route):
            return False
        return self.budget.take_out(route.splits[0].service, self.node_count())

    # ---- one worker --------------------------------------------------------------------------------

    async def _carry(self, passage: Passage, way: Way, choice: Choice) -> Refusal:
        """Sends it to one worker. What it returns is told if nobody else takes it."""
        request, worker = passage.request, choice.backend.name
        passage.placements += 1
        if not passage.splitter.sequence.accepts_version(choice.version):
            passage.tried.add(worker)
            return Refusal(ErrorKind.NO_WORKER, "a worker has older weights than the answer so far", SOON_MICROS)
        left_micros = passage.deadline_micros - self.clock.now()
        called = await self.pool.call(choice.backend.address, self._call_terms(way, choice, left_micros))
        if isinstance(called, Err):
            passage.tried.add(worker)
            if called.err_value != NO_ROOM:
                self.loads.take_fault(worker)
            return Refusal(ErrorKind.NO_WORKER, "a worker could not be reached", passage.retry_micros)
        call = called.ok_value
        held_tokens = request.prompt_tokens() + request.output_tokens
        waiting = _Waiting(self.loads, worker, choice.missing_tokens, held_tokens)
        try:
            if passage.pen.is_gone():
                # A cancellation that comes as the connection stands is lost in `asyncio.wait_for`.
                return Refusal(ErrorKind.NO_WORKER, "the caller is gone")
            looked = self._look(request)
            if (
                isinstance(looked, Err)
                or looked.ok_value.route.splits != way.route.splits
                or not self.placer.stands(looked.ok_value.view, choice)
            ):
                # It was placed by what is not in force any more; nothing was sent (§8.4).
                return Refusal(ErrorKind.NO_WORKER, "what was placed does not stand", SOON_MICROS)
            tenant = looked.ok_value.tenant
            directions = Directions(
                left_micros=passage.deadline_micros - self.clock.now(),
                worker=worker,
                tenant=tenant.name if tenant is not None else "",
                urgency=_urgency(way.route, tenant),
                version=choice.version,
                salt=choice.salt,
                fetch_from=choice.fetch_from,
                save_to=choice.save_to,
                last_event_id=passage.splitter.last_id,
            )
            headers = self.dialect.outgoing_headers(request, directions)
            sent_micros = self.clock.now()
            passage.tries += 1
            passage.tried.add(worker)
            passage.had_run = passage.may_have_run
            passage.may_have_run = True
            waiting.begin()
            self.drain.check_send(request.request_id)
            self.check_send()
            call.send(request.method, request.target, headers, request.body)
            waiting.read = self.reads.begin(choice, request)
            return await self._relay(passage, way, choice, directions, call, waiting, sent_micros)
        except TimeoutError:
            return Refusal(ErrorKind.DEADLINE_PASSED, "its deadline passed")
        finally:
            waiting.end()
            await call.close()

    def _call_terms(self, way: Way, choice: Choice, left_micros: int) -> CallTerms:
        """This node's share of the connections that the worker accepts from all callers together (§8.9)."""
        rested_micros = ANY_REST_MICROS if _may_repeat(way.route) else RESTED_MICROS
        services = way.view.description.services
        limit = next((s.connection_limit for s in services if s.name == choice.backend.service), 0)
        if not limit:
            return CallTerms(left_micros, rested_micros=rested_micros)
        share = max(FEW_CONNECTIONS, int(limit * CONNECTIONS_USED) // max(self.node_count(), 1))
        return CallTerms(left_micros, share, PLACES_TIMES * choice.backend.capacity, rested_micros)

    async def _relay(
        self,
        passage: Passage,
        way: Way,
        choice: Choice,
        directions: Directions,
        call: UpstreamCall,
        waiting: _Waiting,
        sent_micros: int,
    ) -> Refusal:
        request, worker = passage.request, choice.backend.name
        found = await call.head(passage.deadline_micros - self.clock.now())
        if found is None:
            self.loads.take_fault(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the worker broke off")
        head = self.dialect.read_head(request, directions, *found)
        if head.verdict is not Verdict.FOREIGN:
            self.note_versions(worker, head)
        if head.verdict in (Verdict.NOT_RUN, Verdict.OTHER_WORKER, Verdict.OTHER_VERSION):
            # This one did not; an earlier one may have.
            passage.may_have_run = passage.had_run
            if head.verdict is Verdict.OTHER_WORKER:
                self.loads.take_fault(worker)
            return Refusal(ErrorKind.NO_WORKER, f"a worker turned it away with {head.status}", passage.retry_micros)
        if head.verdict is Verdict.FOREIGN:
            call.headers = None  # Nothing more is read on this connection (§8.9).
            self.loads.take_fault(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the worker answered something else")
        if head.verdict is Verdict.FAILURE:
            return await self._pass_failure(passage, way, head, call, worker)
        if way.route.stream:
            return await self._pass_stream(passage, choice, head, call, waiting, sent_micros)
        return await self._pass_whole(passage, head, call, worker)

    async def _pass_stream(
        self,
        passage: Passage,
        choice: Choice,
        head: AnswerHead,
        call: UpstreamCall,
        waiting: _Waiting,
        sent_micros: int,
    ) -> Refusal:
        """Event by event as they come; each only when it is whole."""
        worker, pen = choice.backend.name, passage.pen
        # What the worker says of its weights counts before what it was asked for.
        passage.splitter.begin_run(choice.version if head.version is None else head.version)
        async for chunk in call.chunks(lambda: passage.deadline_micros - self.clock.now()):
            if pen.is_gone():
                passage.is_done = True
                self._count("caller_gone")
                return Refusal(ErrorKind.OUTCOME_UNKNOWN)
            events = passage.splitter.feed(chunk)
            if events and waiting.is_waiting:
                waiting.first_event()
                self.placer.expect(worker, choice.salt, [part.part for part in passage.request.parts[:-1]])
                self._learn_read(choice, self.clock.now() - sent_micros)
            if events and not passage.has_begun:
                passage.has_begun = True
                pen.begin(head.status, head.reason, _passed_on(head.headers))
            if events:
                pen.write(events)
            if passage.splitter.violation is not None:
                break
        if not call.is_whole() or not passage.splitter.end_run():
            self._note_violation(passage.splitter.violation)
            self.loads.take_fault(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the stream was cut")
        if not passage.has_begun:
            passage.has_begun = True
            pen.begin(head.status, head.reason, _passed_on(head.headers))
        pen.finish()
        passage.is_done = True
        self.loads.take_success(worker)
        self._count("done")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    def _learn_read(self, choice: Choice, seen_micros: int) -> None:
        """From its request to its first event a worker took so long."""
        self.loads.learn_pace(choice.backend.name, choice.missing_tokens, choice.expected_micros, seen_micros)
        if not choice.fetch_from:
            self.loads.read_rates.take(choice.service, choice.missing_tokens, choice.kept_tokens, seen_micros)

    async def _pass_whole(self, passage: Passage, head: AnswerHead, call: UpstreamCall, worker: str) -> Refusal:
        """Gathered first, so that a cut one can still become a failure or another try."""
        gathered = await self._gather(passage, call)
        if gathered is None:
            self.loads.take_fault(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the answer was cut")
        self._write_whole(passage, head, gathered)
        self.loads.take_success(worker)
        self._count("done")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    async def _pass_failure(
        self, passage: Passage, way: Way, head: AnswerHead, call: UpstreamCall, worker: str
    ) -> Refusal:
        """A worker's own failure counts as run: another try where that may be, else it goes to the caller as it is,
        unless its status would promise the caller that it did not run."""
        if head.status >= 500:
            self.loads.take_fault(worker)
        gathered = await self._gather(passage, call)
        if (
            passage.has_begun
            or gathered is None
            or head.status in PROMISE_STATUSES
            or (head.status >= 500 and _may_repeat(way.route) and passage.tries < way.route.tries)
        ):
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, f"the worker failed with {head.status}")
        self._write_whole(passage, head, gathered)
        self._count(f"worker_{head.status}")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    async def _gather(self, passage: Passage, call: UpstreamCall) -> bytes | None:
        gathered = b""
        async for chunk in call.chunks(lambda: passage.deadline_micros - self.clock.now()):
            gathered += chunk
            if len(gathered) > ANSWER_MEMORY:
                return None
        return gathered if call.is_whole() else None

    def _write_whole(self, passage: Passage, head: AnswerHead, body: bytes) -> None:
        headers = _passed_on(head.headers)
        headers["Content-Length"] = str(len(body))
        passage.has_begun = passage.is_done = True
        passage.pen.begin(head.status, head.reason, headers)
        if body:
            passage.pen.write(body)
        passage.pen.finish()

    # ---- ends --------------------------------------------------------------------------------------

    def open_count(self) -> int:
        """Requests that have no whole answer yet."""
        return len(self.passages)

    def end_open(self) -> None:
        """Gives each open request its final answer; one of which a part was written is cut."""
        for passage in self.passages:
            passage.is_ending = True
            if passage.task is not None:
                passage.task.cancel()

    def _end_passage(self, passage: Passage) -> None:
        if not passage.is_done:
            LOGGER.warning("router: Ends before a request. tries=%d", passage.tries)
            self._give_up(passage, Refusal(ErrorKind.DRAINING, DRAINING_DETAIL))

    def _give_up(self, passage: Passage, last: Refusal) -> None:
        if passage.has_begun:
            # The caller has a part of a stream: it must not look whole.
            self._count("cut")
            passage.pen.abort()
        elif passage.may_have_run:
            self._refuse(passage, Refusal(ErrorKind.OUTCOME_UNKNOWN, last.detail))
        elif last.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._refuse(passage, Refusal(ErrorKind.NO_WORKER, last.detail, passage.retry_micros))
        else:
            self._refuse(passage, last)

    def _refuse(self, passage: Passage, refusal: Refusal) -> None:
        self._count(refusal.kind.value)
        if passage.pen.is_gone():
            return
        status, headers, body = self.dialect.refusal(passage.request, refusal)
        headers["Content-Length"] = str(len(body))
        passage.is_done = True
        passage.pen.begin(status, "", headers)
        if body:
            passage.pen.write(body)
        passage.pen.finish()

    def _note_violation(self, violation: StreamViolation | None) -> None:
        if violation is not None:
            self._count(violation.value)
            self.on_violation(violation.value)

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


class _Waiting:
    """What one request adds to a worker's use, and takes back in any case."""

    def __init__(self, loads: LoadBook, worker: str, missing_tokens: int, held_tokens: int) -> None:
        self.loads = loads
        self.worker = worker
        self.missing_tokens = missing_tokens
        self.held_tokens = held_tokens
        self.is_waiting = False
        self.is_running = False
        self.read: LongRead | None = None

    def begin(self) -> None:
        self.is_waiting = self.is_running = True
        self.loads.begin(self.worker, self.missing_tokens, self.held_tokens)

    def first_event(self) -> None:
        self.is_waiting = False
        if self.read is not None:
            self.read.end(True)
        self.loads.first_event(self.worker, self.missing_tokens)

    def end(self) -> None:
        if self.read is not None:
            self.read.end(False)
        if self.is_running:
            self.is_running = False
            self.loads.end(self.worker, self.missing_tokens if self.is_waiting else 0, self.held_tokens)


def hash_key(key: str) -> str:
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def _spread(request_id: str, span_micros: int) -> int:
    """A share of the span that is the request's own, so that the same request is always told the same."""
    return int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=4).digest(), "big") * span_micros >> 32


def _may_repeat(route: Route) -> bool:
    return route.repeatable or (route.stream and route.resumable)


def _may_continue(passage: Passage, route: Route) -> bool:
    """Whether another run may be joined to what the caller has already been given."""
    return route.stream and route.resumable and passage.splitter.sequence.is_resumable()


def _urgency(route: Route, tenant: Tenant | None) -> int:
    """The tenant's rank goes before the route's, within 0 to 9."""
    return min(9, 2 * min(tenant.urgency if tenant is not None else 2, 4) + min(route.urgency, 1))


def _passed_on(headers: HTTPHeaders) -> HTTPHeaders:
    dropped = set(HOP_HEADERS) | {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            passed.add(name, value)
    return passed
