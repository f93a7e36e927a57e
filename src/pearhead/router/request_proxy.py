"""The request proxy (§8.7): forwards an opaque request to a worker and the worker's response to the client.

`RequestProxy.serve` is the entry point; the methods after it are in the order in which a request passes through them.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from pearhead.config.description import Route
from pearhead.config.view import View
from pearhead.router.drain import DRAINING_DETAIL, DrainSchedule, DrainState
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.event_stream import EventSplitter
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.load_reservation import LoadReservation
from pearhead.router.opaque_request import (
    ForwardingMetadata,
    OpaqueRequest,
    ProtocolAdapter,
    ResponseHead,
    ResponseVerdict,
    ResponseWriter,
)
from pearhead.router.placement import Placement, ResolvedRoute
from pearhead.router.prefill_tracker import PrefillTracker
from pearhead.router.request_bookkeeping import RequestBookkeeping
from pearhead.router.stream_sequence import StreamViolation
from pearhead.router.upstream_pool import POOL_EXHAUSTED, UNLIMITED_IDLE_MICROS, CallLimits, UpstreamCall, UpstreamPool
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice, WorkerSelector
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
MAX_BUFFERED_RESPONSE_BYTES = 4 * 1024 * 1024
HOP_BY_HOP_HEADERS = (
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
DEFAULT_RETRY_AFTER_MICROS = 120 * MILLI
# A starting node has the current configuration after about a second. The jitter keeps the clients that it refused
# from all retrying at the same moment.
STALE_VIEW_RETRY_MICROS = SECOND
STALE_VIEW_RETRY_JITTER_MICROS = 600 * MILLI
# Clients retry after at most a third of their wait time. Where a third is less than `STALE_VIEW_RETRY_MICROS`, the
# client would retry too early, so its request is held instead of refused.
CLIENT_RETRY_DIVISOR = 3
STARTUP_HOLD_DIVISOR = 2
MAX_STARTUP_HOLD_MICROS = 1_200 * MILLI
STARTUP_HOLD_POLL_MICROS = 20 * MILLI
MAX_PLACEMENTS = 6
# Leaves headroom: nodes know their number only approximately, and orders and reports need connections too.
CONNECTION_LIMIT_FRACTION = 0.8
MIN_CONNECTION_SHARE = 2
# A worker queues a few requests beyond its slots, but rejects what a single node sends beyond twice its slots.
CONNECTIONS_PER_SLOT = 2
# A worker may drop an idle connection without notice. A request that may not be repeated is not sent on a connection
# that has been idle for longer than this, because a failure would leave its outcome unknown.
NON_REPEATABLE_MAX_IDLE_MICROS = 2 * SECOND
# These statuses promise the client that the request has not run and never will. Only `ResponseVerdict.NOT_RUN` and
# similar verdicts justify that promise, so a worker's failure with one of these statuses is not forwarded.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class ViewProvider(Protocol):
    """Provides the configuration that is in force, as far as this node knows it (§5.5)."""

    def view(self) -> View | None:
        """Returns the current view, or None while the node may not serve requests by what it knows."""


@dataclass(eq=False)
class InFlightRequest:
    """The state of one request from its arrival to the end of its response.

    - `placements`: how often a worker was chosen so far; `tries`: how often the request was sent to one.
    - `excluded_workers`: names of the workers to which it was sent, that could not be reached or whose weights are too
      old.
    - `may_have_run`: a worker may have begun to run it; `may_have_run_before`: the same before the current try.
    - `has_response_started`: the response head was written to the client.
    - `may_wait_for_prefill`: no worker was tried yet, and it has not waited for the prefill of another request.
    - `is_cancelled_by_shutdown`: `task`, which serves the request, was cancelled so that the request gets its final
      response before the process ends.
    """

    request: OpaqueRequest
    writer: ResponseWriter
    splitter: EventSplitter
    deadline_micros: int = 0
    tries: int = 0
    placements: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False
    has_response_started: bool = False
    may_wait_for_prefill: bool = True
    is_done: bool = False
    is_cancelled_by_shutdown: bool = False
    task: asyncio.Task[None] | None = None
    excluded_workers: set[str] = field(default_factory=set)
    retry_micros: int = DEFAULT_RETRY_AFTER_MICROS


class RequestProxy:
    """Serves opaque requests: chooses a worker, sends the request, forwards the response, and retries where it may.

    - `node_count` returns the approximate number of nodes, by which connection limits and the retry budget are shared.
    - `record_weight_versions` is called with the worker's name and each recognized response head.
    - `on_violation` is called with the counter name of each `StreamViolation`.
    - `check_send` is called in the same step as the first byte is sent to a worker.
    - `trusts_keys` returns False while tenant keys may have been revoked without this node knowing.
    - `outcomes` counts finished requests and stream violations by name.
    """

    def __init__(
        self,
        clock: Clock,
        view_provider: ViewProvider,
        selector: WorkerSelector,
        load_tracker: WorkerLoadTracker,
        pool: UpstreamPool,
        retry_budget: FleetRetryBudget,
        adapter: ProtocolAdapter,
        node_count: Callable[[], int],
        record_weight_versions: Callable[[str, ResponseHead], None],
        prefill_tracker: PrefillTracker | None = None,
        drain: DrainState | None = None,
        on_violation: Callable[[str], None] = lambda name: None,
        check_send: Callable[[], None] = lambda: None,
        trusts_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.clock = clock
        self.view_provider = view_provider
        self.selector = selector
        self.load_tracker = load_tracker
        self.pool = pool
        self.retry_budget = retry_budget
        self.adapter = adapter
        self.node_count = node_count
        self.record_weight_versions = record_weight_versions
        self.prefill_tracker = prefill_tracker or PrefillTracker(clock, selector.expect_cached, lambda note: None)
        self.accepted_count = 0
        self.drain = drain or DrainState(clock, DrainSchedule.for_grace_period(SECOND))
        self.in_flight_requests: set[InFlightRequest] = set()
        self.on_violation = on_violation
        self.check_send = check_send
        self.trusts_keys = trusts_keys
        self.outcomes: dict[str, int] = {}
        self.bookkeeping = RequestBookkeeping(clock)

    async def serve(self, request: OpaqueRequest, writer: ResponseWriter) -> None:
        """Serves one request to its end: a complete response, a refusal, or an aborted connection.

        The worker call and the load reservation are released in every case, also when this task is cancelled. An
        unexpected exception is logged, and the client gets an error response where none has begun.
        """
        splitter = EventSplitter(request.last_event_id, self.adapter.event_version)
        in_flight_request = InFlightRequest(request, writer, splitter, task=asyncio.current_task())
        self.in_flight_requests.add(in_flight_request)
        self.accepted_count += 1
        try:
            await self._proxy_request(in_flight_request)
        except asyncio.CancelledError:
            if not in_flight_request.is_cancelled_by_shutdown:
                raise
            self._end_in_flight_request(in_flight_request)
        except StreamClosedError:
            raise
        except Exception:
            LOGGER.exception("router: A request failed by an unexpected exception. tries=%d", in_flight_request.tries)
            self._count("internal_error")
            if not in_flight_request.is_done:
                refusal = Refusal(ErrorKind.NO_WORKER, "internal error", in_flight_request.retry_micros)
                self._fail_request(in_flight_request, refusal)
        finally:
            self.in_flight_requests.discard(in_flight_request)

    async def _proxy_request(self, in_flight_request: InFlightRequest) -> None:
        """Resolves the route and tries workers until the request is done or no further try is allowed."""
        request, writer = in_flight_request.request, in_flight_request.writer
        await self._hold_until_view_known(request, writer)
        resolution = self._resolve_route(request)
        if isinstance(resolution, Err):
            return self._refuse(in_flight_request, resolution.err_value)
        resolved = resolution.ok_value
        wait_micros = min(request.wait_micros or resolved.route.deadline_micros, resolved.route.deadline_micros)
        in_flight_request.deadline_micros = request.arrived_micros + wait_micros
        self.retry_budget.deposit(resolved.route.splits[0].service, self.node_count())
        last_refusal = Refusal(ErrorKind.NO_WORKER, "no worker took it", in_flight_request.retry_micros)
        while not in_flight_request.is_done:
            if writer.is_disconnected():
                return self._count("caller_gone")
            remaining_micros = in_flight_request.deadline_micros - self.clock.now()
            if remaining_micros <= 0:
                last_refusal = Refusal(ErrorKind.DEADLINE_PASSED, "its deadline passed")
                break
            resolution = self._resolve_route(request)
            if isinstance(resolution, Err):
                last_refusal = resolution.err_value
                break
            resolved = resolution.ok_value
            if not self._may_attempt(in_flight_request, resolved.route):
                break
            chosen = self.selector.choose(
                resolved.view, resolved.route, request, resolved.tenant, frozenset(in_flight_request.excluded_workers)
            )
            if isinstance(chosen, Err):
                last_refusal = chosen.err_value
                break
            choice = chosen.ok_value
            if in_flight_request.may_wait_for_prefill and await self.prefill_tracker.wait_for(
                choice, request, remaining_micros // 4
            ):
                in_flight_request.may_wait_for_prefill = False
                continue
            in_flight_request.may_wait_for_prefill = False
            last_refusal = await self._try_worker(in_flight_request, Placement(resolved, choice))
        if not in_flight_request.is_done:
            self._fail_request(in_flight_request, last_refusal)

    # ---- route resolution ------------------------------------------------------------------------

    async def _hold_until_view_known(self, request: OpaqueRequest, writer: ResponseWriter) -> None:
        """Holds the request on a starting node if its client lacks the time to retry once the node is ready."""
        if not 0 < request.wait_micros < CLIENT_RETRY_DIVISOR * STALE_VIEW_RETRY_MICROS:
            return
        end_micros = self.clock.now() + min(request.wait_micros // STARTUP_HOLD_DIVISOR, MAX_STARTUP_HOLD_MICROS)
        while not self._is_outcome_known(request) and self.clock.now() < end_micros and not writer.is_disconnected():
            await sleep_for(self.clock, STARTUP_HOLD_POLL_MICROS)

    def _is_outcome_known(self, request: OpaqueRequest) -> bool:
        """Whether the node knows enough to serve or finally refuse the request.

        A starting node learns of the workers last, so a known route alone is not enough.
        """
        resolution = self._resolve_route(request)
        if isinstance(resolution, Err):
            return resolution.err_value.kind is not ErrorKind.NOT_CURRENT
        return self.selector.knows_workers()

    def _resolve_route(self, request: OpaqueRequest) -> Result[ResolvedRoute, Refusal]:
        if not self.drain.may_accept():
            return Err(Refusal(ErrorKind.DRAINING, DRAINING_DETAIL))
        view = self.view_provider.view()
        if view is None:
            retry_after_micros = STALE_VIEW_RETRY_MICROS + _retry_jitter(
                request.request_id, STALE_VIEW_RETRY_JITTER_MICROS
            )
            return Err(Refusal(ErrorKind.NOT_CURRENT, "this node does not know what is in force", retry_after_micros))
        limits = view.description.limits
        if limits.body_bytes and len(request.body) > limits.body_bytes:
            return Err(Refusal(ErrorKind.TOO_LARGE, "the body is over the limit"))
        route = view.find_route(request.host, request.path)
        if route is None:
            return Err(Refusal(ErrorKind.UNKNOWN_ROUTE, "no route for this host and path"))
        tenant = view.tenant_by_hash.get(request.key_hash) if request.key_hash else None
        if tenant is None and view.description.tenants and not route.public:
            return Err(Refusal(ErrorKind.BAD_KEY, "no tenant has this key"))
        if tenant is not None and not self.trusts_keys():
            return Err(Refusal(ErrorKind.NOT_CURRENT, "the key may have been taken away", STALE_VIEW_RETRY_MICROS))
        return Ok(ResolvedRoute(view, route, tenant))

    def _may_attempt(self, in_flight_request: InFlightRequest, route: Route) -> bool:
        if in_flight_request.placements >= MAX_PLACEMENTS:
            return False
        if in_flight_request.tries == 0:
            return True
        if in_flight_request.tries >= max(route.tries, 1):
            return False
        if in_flight_request.may_have_run and not _may_repeat(route):
            return False
        if in_flight_request.has_response_started and not _may_continue(in_flight_request, route):
            return False
        return self.retry_budget.try_withdraw(route.splits[0].service, self.node_count())

    # ---- one try at one worker --------------------------------------------------------------------------------

    async def _try_worker(self, in_flight_request: InFlightRequest, placement: Placement) -> Refusal:
        """Sends the request to one worker. Returns the refusal to report if no other worker takes the request."""
        request, choice, worker = in_flight_request.request, placement.choice, placement.choice.backend.name
        in_flight_request.placements += 1
        if not in_flight_request.splitter.sequence.accepts_version(choice.version):
            in_flight_request.excluded_workers.add(worker)
            return Refusal(
                ErrorKind.NO_WORKER, "a worker has older weights than the answer so far", DEFAULT_RETRY_AFTER_MICROS
            )
        remaining_micros = in_flight_request.deadline_micros - self.clock.now()
        call_result = await self.pool.call(choice.backend.address, self._call_limits(placement, remaining_micros))
        if isinstance(call_result, Err):
            in_flight_request.excluded_workers.add(worker)
            if call_result.err_value != POOL_EXHAUSTED:
                self.load_tracker.record_failure(worker)
            return Refusal(ErrorKind.NO_WORKER, "a worker could not be reached", in_flight_request.retry_micros)
        call = call_result.ok_value
        reservation = self._reserve(choice)
        try:
            if in_flight_request.writer.is_disconnected():
                # `asyncio.wait_for` can lose a cancellation that arrives just as the connection is established.
                return Refusal(ErrorKind.NO_WORKER, "the caller is gone")
            if not self._is_still_valid(request, placement):
                return Refusal(ErrorKind.NO_WORKER, "what was placed does not stand", DEFAULT_RETRY_AFTER_MICROS)
            metadata = placement.metadata(
                in_flight_request.deadline_micros - self.clock.now(), in_flight_request.splitter.last_id
            )
            headers = self.adapter.outgoing_headers(request, metadata)
            sent_micros = self.clock.now()
            in_flight_request.tries += 1
            in_flight_request.excluded_workers.add(worker)
            in_flight_request.may_have_run_before = in_flight_request.may_have_run
            in_flight_request.may_have_run = True
            reservation.begin()
            self.drain.check_send(request.request_id)
            self.check_send()
            call.send(request.method, request.target, headers, request.body)
            with self.bookkeeping.update("prefill"):
                reservation.prefill = self.prefill_tracker.begin(choice, request)
            return await self._forward_response(in_flight_request, placement, metadata, call, reservation, sent_micros)
        except TimeoutError:
            return Refusal(ErrorKind.DEADLINE_PASSED, "its deadline passed")
        finally:
            reservation.end()
            await call.close()

    def _is_still_valid(self, request: OpaqueRequest, placement: Placement) -> bool:
        """Whether the view in force would place the request in the same way: route, tenant, worker and salt.

        Called in the same step that sends the first byte (§8.4). Otherwise nothing is sent, and it is placed anew.
        """
        resolution = self._resolve_route(request)
        if isinstance(resolution, Err) or not resolution.ok_value.agrees_with(placement.resolved):
            return False
        resolved = resolution.ok_value
        return self.selector.is_still_valid(resolved.view, resolved.tenant, request, placement.choice)

    def _reserve(self, choice: WorkerChoice) -> LoadReservation:
        """Returns the load that the request adds to the chosen worker, once it is sent."""
        waiting_tokens = min(choice.missing_tokens, choice.held_tokens)
        return LoadReservation(
            self.load_tracker, self.bookkeeping, choice.backend.name, waiting_tokens, choice.held_tokens
        )

    def _call_limits(self, placement: Placement, remaining_micros: int) -> CallLimits:
        """Returns a call's limits, with this node's share of the connections that a worker accepts from all (§8.9)."""
        resolved, choice = placement.resolved, placement.choice
        max_idle_micros = UNLIMITED_IDLE_MICROS if _may_repeat(resolved.route) else NON_REPEATABLE_MAX_IDLE_MICROS
        services = resolved.view.description.services
        connection_limit = next((s.connection_limit for s in services if s.name == choice.backend.service), 0)
        if not connection_limit:
            return CallLimits(remaining_micros, max_idle_micros=max_idle_micros)
        share = max(
            MIN_CONNECTION_SHARE, int(connection_limit * CONNECTION_LIMIT_FRACTION) // max(self.node_count(), 1)
        )
        return CallLimits(remaining_micros, share, CONNECTIONS_PER_SLOT * choice.backend.capacity, max_idle_micros)

    async def _forward_response(
        self,
        in_flight_request: InFlightRequest,
        placement: Placement,
        metadata: ForwardingMetadata,
        call: UpstreamCall,
        reservation: LoadReservation,
        sent_micros: int,
    ) -> Refusal:
        request, route, worker = in_flight_request.request, placement.resolved.route, metadata.worker
        raw_head = await call.head(in_flight_request.deadline_micros - self.clock.now())
        if raw_head is None:
            self.load_tracker.record_failure(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the worker broke off")
        head = self.adapter.read_response_head(request, metadata, *raw_head)
        if head.verdict is not ResponseVerdict.UNRECOGNIZED:
            with self.bookkeeping.update("weight_versions"):
                self.record_weight_versions(worker, head)
        if head.verdict in (ResponseVerdict.NOT_RUN, ResponseVerdict.OTHER_WORKER, ResponseVerdict.OTHER_VERSION):
            # This worker did not run the request; one tried earlier may have.
            in_flight_request.may_have_run = in_flight_request.may_have_run_before
            if head.verdict is ResponseVerdict.OTHER_WORKER:
                self.load_tracker.record_failure(worker)
            return Refusal(
                ErrorKind.NO_WORKER, f"a worker turned it away with {head.status}", in_flight_request.retry_micros
            )
        if head.verdict is ResponseVerdict.UNRECOGNIZED:
            call.headers = None  # Closes the connection instead of keeping it: nothing more is read on it (§8.9).
            self.load_tracker.record_failure(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the worker answered something else")
        if head.verdict is ResponseVerdict.FAILURE:
            return await self._forward_failure(in_flight_request, route, head, call, worker)
        if route.stream:
            return await self._forward_stream(in_flight_request, placement.choice, head, call, reservation, sent_micros)
        return await self._forward_buffered(in_flight_request, head, call, worker)

    async def _forward_stream(
        self,
        in_flight_request: InFlightRequest,
        choice: WorkerChoice,
        head: ResponseHead,
        call: UpstreamCall,
        reservation: LoadReservation,
        sent_micros: int,
    ) -> Refusal:
        """Forwards a stream event by event, each once it is complete."""
        worker, writer = choice.backend.name, in_flight_request.writer
        # The version that the worker reports takes precedence over the requested one.
        in_flight_request.splitter.begin_run(choice.version if head.version is None else head.version)
        async for chunk in call.chunks(lambda: in_flight_request.deadline_micros - self.clock.now()):
            if writer.is_disconnected():
                in_flight_request.is_done = True
                self._count("caller_gone")
                return Refusal(ErrorKind.OUTCOME_UNKNOWN)
            events = in_flight_request.splitter.feed(chunk)
            if events and reservation.is_awaiting_first_event:
                with self.bookkeeping.update("first_event"):
                    self._record_first_event(in_flight_request.request, choice, reservation, sent_micros)
            if events and not in_flight_request.has_response_started:
                in_flight_request.has_response_started = True
                writer.begin(head.status, head.reason, _forwardable_headers(head.headers))
            if events:
                writer.write(events)
            if in_flight_request.splitter.violation is not None:
                break
        if not call.is_whole() or not in_flight_request.splitter.end_run():
            self._record_violation(in_flight_request.splitter.violation)
            self.load_tracker.record_failure(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the stream was cut")
        if not in_flight_request.has_response_started:
            in_flight_request.has_response_started = True
            writer.begin(head.status, head.reason, _forwardable_headers(head.headers))
        writer.finish()
        in_flight_request.is_done = True
        self.load_tracker.record_success(worker)
        self._count("done")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    def _record_first_event(
        self, request: OpaqueRequest, choice: WorkerChoice, reservation: LoadReservation, sent_micros: int
    ) -> None:
        """Records that the prefill is done: its load, what is cached now, and how long it took."""
        reservation.record_first_event()
        self.selector.expect_cached(choice.backend.name, choice.salt, [part.part for part in request.parts[:-1]])
        elapsed_micros = self.clock.now() - sent_micros
        self.load_tracker.learn_slowdown(
            choice.backend.name, choice.missing_tokens, choice.estimated_micros, elapsed_micros
        )
        if not choice.fetch_from:
            self.load_tracker.prefill_rates.record_prefill(
                choice.service, choice.missing_tokens, choice.cached_tokens, elapsed_micros
            )

    async def _forward_buffered(
        self, in_flight_request: InFlightRequest, head: ResponseHead, call: UpstreamCall, worker: str
    ) -> Refusal:
        """Buffers the whole response first, so that a truncated one can still be retried or reported as an error."""
        buffered_body = await self._buffer_body(in_flight_request, call)
        if buffered_body is None:
            self.load_tracker.record_failure(worker)
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, "the answer was cut")
        self._write_buffered(in_flight_request, head, buffered_body)
        self.load_tracker.record_success(worker)
        self._count("done")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    async def _forward_failure(
        self,
        in_flight_request: InFlightRequest,
        route: Route,
        head: ResponseHead,
        call: UpstreamCall,
        worker: str,
    ) -> Refusal:
        """Handles a worker's error response, which counts as run.

        The request is retried where it may be repeated. Otherwise the response is forwarded unchanged, unless its
        status would promise the client that the request did not run.
        """
        if head.status >= 500:
            self.load_tracker.record_failure(worker)
        buffered_body = await self._buffer_body(in_flight_request, call)
        if (
            in_flight_request.has_response_started
            or buffered_body is None
            or head.status in NOT_RUN_STATUSES
            or (head.status >= 500 and _may_repeat(route) and in_flight_request.tries < route.tries)
        ):
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, f"the worker failed with {head.status}")
        self._write_buffered(in_flight_request, head, buffered_body)
        self._count(f"worker_{head.status}")
        return Refusal(ErrorKind.OUTCOME_UNKNOWN)

    async def _buffer_body(self, in_flight_request: InFlightRequest, call: UpstreamCall) -> bytes | None:
        buffered_body = b""
        async for chunk in call.chunks(lambda: in_flight_request.deadline_micros - self.clock.now()):
            buffered_body += chunk
            if len(buffered_body) > MAX_BUFFERED_RESPONSE_BYTES:
                return None
        return buffered_body if call.is_whole() else None

    def _write_buffered(self, in_flight_request: InFlightRequest, head: ResponseHead, body: bytes) -> None:
        headers = _forwardable_headers(head.headers)
        headers["Content-Length"] = str(len(body))
        in_flight_request.has_response_started = in_flight_request.is_done = True
        in_flight_request.writer.begin(head.status, head.reason, headers)
        if body:
            in_flight_request.writer.write(body)
        in_flight_request.writer.finish()

    # ---- final outcomes --------------------------------------------------------------------------------------

    def open_count(self) -> int:
        """Returns the number of requests without a complete response."""
        return len(self.in_flight_requests)

    def end_open(self) -> None:
        """Cancels all open requests before the process ends.

        Each gets its final error response, or is aborted if a part of another response was already written.
        """
        for in_flight_request in self.in_flight_requests:
            in_flight_request.is_cancelled_by_shutdown = True
            if in_flight_request.task is not None:
                in_flight_request.task.cancel()

    def _end_in_flight_request(self, in_flight_request: InFlightRequest) -> None:
        if not in_flight_request.is_done:
            LOGGER.warning(
                "router: Shutdown ended a request before its response was complete. tries=%d", in_flight_request.tries
            )
            self._fail_request(in_flight_request, Refusal(ErrorKind.DRAINING, DRAINING_DETAIL))

    def _fail_request(self, in_flight_request: InFlightRequest, last_refusal: Refusal) -> None:
        if in_flight_request.has_response_started:
            # The client has a part of the stream, which must not look complete.
            self._count("cut")
            in_flight_request.writer.abort()
        elif in_flight_request.may_have_run:
            self._refuse(in_flight_request, Refusal(ErrorKind.OUTCOME_UNKNOWN, last_refusal.detail))
        elif last_refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._refuse(
                in_flight_request, Refusal(ErrorKind.NO_WORKER, last_refusal.detail, in_flight_request.retry_micros)
            )
        else:
            self._refuse(in_flight_request, last_refusal)

    def _refuse(self, in_flight_request: InFlightRequest, refusal: Refusal) -> None:
        self._count(refusal.kind.value)
        if in_flight_request.writer.is_disconnected():
            return
        status, headers, body = self.adapter.format_refusal(in_flight_request.request, refusal)
        headers["Content-Length"] = str(len(body))
        in_flight_request.is_done = True
        in_flight_request.writer.begin(status, "", headers)
        if body:
            in_flight_request.writer.write(body)
        in_flight_request.writer.finish()

    def _record_violation(self, violation: StreamViolation | None) -> None:
        if violation is not None:
            self._count(violation.value)
            self.on_violation(violation.value)

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _retry_jitter(request_id: str, span_micros: int) -> int:
    """Returns a part of the span derived from the request id, so that a repeated request gets the same value."""
    return int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=4).digest(), "big") * span_micros >> 32


def _may_repeat(route: Route) -> bool:
    return route.repeatable or (route.stream and route.resumable)


def _may_continue(in_flight_request: InFlightRequest, route: Route) -> bool:
    """Whether the events of another run may follow those that the client already has."""
    return route.stream and route.resumable and in_flight_request.splitter.sequence.is_resumable()


def _forwardable_headers(headers: HTTPHeaders) -> HTTPHeaders:
    dropped = set(HOP_BY_HOP_HEADERS) | {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            forwarded.add(name, value)
    return forwarded
