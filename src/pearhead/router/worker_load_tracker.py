"""Worker load (§8.8): how busy each worker is, by this node's requests and by what other nodes report of theirs."""

from __future__ import annotations

from dataclasses import dataclass

from pearhead.router.prefill_rate import PrefillRates
from pearhead.rpc.wire_pb2 import UseNote, WorkerUse
from pearhead.runtime.bounded_numbers import MAX_UINT32, MAX_UINT64, saturate
from pearhead.runtime.clock import MILLI, SECOND, Clock

LOAD_REPORT_TTL_MICROS = 1_500 * MILLI
FAILURE_BACKOFF_MICROS = SECOND
MAX_FAILURE_BACKOFF_MICROS = 4 * SECOND
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.5, 6.0
SLOWDOWN_EWMA_WEIGHT = 0.1
MIN_SLOWDOWN_SAMPLE_TOKENS = 1_000


@dataclass
class WorkerLoad:
    """Requests at a worker, prompt tokens it has yet to prefill, and all tokens its requests hold in the cache."""

    running: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def to_wire(self, worker: str) -> WorkerUse:
        """Returns the load as a message; a number that its field can't hold is sent as the largest that fits."""
        return WorkerUse(
            worker=worker,
            running=saturate(self.running, MAX_UINT32),
            waiting_tokens=saturate(self.waiting_tokens, MAX_UINT64),
            held_tokens=saturate(self.held_tokens, MAX_UINT64),
        )


class WorkerLoadTracker:
    """Load, failures and slowdown of each worker.

    This node's own load is exact. Other nodes' load is one report interval and the network delay old, more
    through relays or if reports are lost, and expires when the node stops reporting.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.own_loads: dict[str, WorkerLoad] = {}
        self.reports: dict[str, tuple[int, int, dict[str, WorkerUse]]] = {}
        self.backoff_until: dict[str, int] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.slowdowns: dict[str, float] = {}
        self.prefill_rates = PrefillRates(clock)
        self.totals: dict[str, WorkerLoad] = {}
        self.totals_until = 0
        self.is_changed = False

    def begin(self, worker: str, waiting_tokens: int, held_tokens: int) -> None:
        """Counts a request sent to a worker."""
        load = self.own_loads.setdefault(worker, WorkerLoad())
        load.running += 1
        load.waiting_tokens += waiting_tokens
        load.held_tokens += held_tokens
        self._apply_change(worker, 1, waiting_tokens, held_tokens)

    def record_first_event(self, worker: str, waiting_tokens: int) -> None:
        """Takes off a request's waiting tokens, as its prefill is done."""
        self.own_loads[worker].waiting_tokens -= waiting_tokens
        self._apply_change(worker, 0, -waiting_tokens, 0)

    def end(self, worker: str, waiting_tokens: int, held_tokens: int) -> None:
        """Takes off a request; `waiting_tokens` are those that `record_first_event` has not taken off."""
        load = self.own_loads[worker]
        load.running -= 1
        load.waiting_tokens -= waiting_tokens
        load.held_tokens -= held_tokens
        if not load.running:
            del self.own_loads[worker]
        self._apply_change(worker, -1, -waiting_tokens, -held_tokens)

    def build_report(self) -> UseNote:
        """This node's own load, to be sent to the other nodes; clears `is_changed`."""
        self.is_changed = False
        return UseNote(
            serial=self.clock.now(),
            use=[use.to_wire(worker) for worker, use in self.own_loads.items()],
        )

    def apply_report(self, reporter: str, note: UseNote) -> None:
        """Replaces what another node reported before; ignores a note that is not newer."""
        previous = self.reports.get(reporter)
        if previous is not None and previous[0] >= note.serial:
            return
        self.reports[reporter] = (
            note.serial,
            self.clock.now() + LOAD_REPORT_TTL_MICROS,
            {use.worker: use for use in note.use},
        )
        self.totals_until = 0

    def current_load(self, worker: str) -> WorkerLoad:
        """A worker's load from all nodes together."""
        if self.clock.now() >= self.totals_until:
            self._rebuild_totals()
        return self.totals.get(worker, WorkerLoad())

    def own_running(self) -> int:
        """Requests of this node that are at any worker."""
        return sum(use.running for use in self.own_loads.values())

    # ---- health and speed, judged by the outcome of requests -----------------------------------

    def record_failure(self, worker: str) -> None:
        """Backs off from a worker that failed a request or could not be reached, longer each time up to a limit."""
        failure_count = self.consecutive_failures[worker] = self.consecutive_failures.get(worker, 0) + 1
        backoff_micros = min(FAILURE_BACKOFF_MICROS * 2 ** (failure_count - 1), MAX_FAILURE_BACKOFF_MICROS)
        self.backoff_until[worker] = self.clock.now() + backoff_micros

    def record_success(self, worker: str) -> None:
        """Ends the back-off and resets its length."""
        self.backoff_until.pop(worker, None)
        self.consecutive_failures.pop(worker, None)

    def is_backed_off(self, worker: str) -> bool:
        """Whether a recent failure keeps requests from the worker."""
        return self.backoff_until.get(worker, 0) > self.clock.now()

    def learn_slowdown(self, worker: str, prefill_tokens: int, estimated_micros: int, seen_micros: int) -> None:
        """Averages how much longer than estimated a worker's first events take, within bounds.

        Requests with few tokens to prefill are ignored: they overtake the requests that wait.
        """
        if prefill_tokens < MIN_SLOWDOWN_SAMPLE_TOKENS:
            return
        ratio = min(max(seen_micros / max(estimated_micros, 5 * MILLI), MIN_SLOWDOWN), MAX_SLOWDOWN)
        self.slowdowns[worker] = self.slowdown_of(worker) * (1 - SLOWDOWN_EWMA_WEIGHT) + ratio * SLOWDOWN_EWMA_WEIGHT

    def slowdown_of(self, worker: str) -> float:
        """The factor by which a worker is slower than estimated; 1 until something was learned."""
        return self.slowdowns.get(worker, 1.0)

    def _apply_change(self, worker: str, running: int, waiting_tokens: int, held_tokens: int) -> None:
        self.is_changed = True
        total = self.totals.setdefault(worker, WorkerLoad())
        total.running += running
        total.waiting_tokens += waiting_tokens
        total.held_tokens += held_tokens

    def _rebuild_totals(self) -> None:
        now_micros = self.clock.now()
        self.reports = {reporter: report for reporter, report in self.reports.items() if report[1] > now_micros}
        self.totals = {
            worker: WorkerLoad(use.running, use.waiting_tokens, use.held_tokens)
            for worker, use in self.own_loads.items()
        }
        for _, _, reported_uses in self.reports.values():
            for worker, use in reported_uses.items():
                total = self.totals.setdefault(worker, WorkerLoad())
                total.running += use.running
                total.waiting_tokens += use.waiting_tokens
                total.held_tokens += use.held_tokens
        self.totals_until = now_micros + 200 * MILLI
