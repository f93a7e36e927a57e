"""WorkerLoadTracker (§8.8): how busy each worker is, by this node's requests and by what other nodes told of theirs."""

from __future__ import annotations

from dataclasses import dataclass

from pearhead.router.prefill_rate import PrefillRates
from pearhead.rpc.wire_pb2 import UseNote, WorkerUse
from pearhead.runtime.clock import MILLI, SECOND, Clock

LOAD_REPORT_TTL_MICROS = 1_500 * MILLI
FAILURE_BACKOFF_MICROS = SECOND
MAX_FAILURE_BACKOFF_MICROS = 4 * SECOND
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.5, 6.0
SLOWDOWN_EWMA_WEIGHT = 0.1
MIN_SLOWDOWN_SAMPLE_TOKENS = 1_000


@dataclass
class WorkerLoad:
    """Requests at a worker, the prompt tokens that it has yet to read, and all tokens that its requests hold."""

    running: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0


class WorkerLoadTracker:
    """Own use is exact; told use is up to a round and a way old and ends with its teller's silence."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.own: dict[str, WorkerLoad] = {}
        self.reports: dict[str, tuple[int, int, dict[str, WorkerUse]]] = {}
        self.backoff_until: dict[str, int] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.slowdowns: dict[str, float] = {}
        self.read_rates = PrefillRates(clock)
        self.totals: dict[str, WorkerLoad] = {}
        self.totals_until = 0
        self.is_changed = False

    def begin(self, worker: str, waiting_tokens: int, held_tokens: int) -> None:
        use = self.own.setdefault(worker, WorkerLoad())
        use.running += 1
        use.waiting_tokens += waiting_tokens
        use.held_tokens += held_tokens
        self._change(worker, 1, waiting_tokens, held_tokens)

    def record_first_event(self, worker: str, waiting_tokens: int) -> None:
        self.own[worker].waiting_tokens -= waiting_tokens
        self._change(worker, 0, -waiting_tokens, 0)

    def end(self, worker: str, waiting_tokens: int, held_tokens: int) -> None:
        use = self.own[worker]
        use.running -= 1
        use.waiting_tokens -= waiting_tokens
        use.held_tokens -= held_tokens
        if not use.running:
            del self.own[worker]
        self._change(worker, -1, -waiting_tokens, -held_tokens)

    def note(self) -> UseNote:
        self.is_changed = False
        return UseNote(
            serial=self.clock.now(),
            use=[
                WorkerUse(
                    worker=worker, running=use.running, waiting_tokens=use.waiting_tokens, held_tokens=use.held_tokens
                )
                for worker, use in self.own.items()
            ],
        )

    def apply_report(self, reporter: str, note: UseNote) -> None:
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
        """Of all nodes together."""
        if self.clock.now() >= self.totals_until:
            self._rebuild_totals()
        return self.totals.get(worker, WorkerLoad())

    def own_running(self) -> int:
        return sum(use.running for use in self.own.values())

    # ---- judged by what a worker did -----------------------------------------------------------

    def record_failure(self, worker: str) -> None:
        """It failed a request or could not be reached: it rests, longer each time, and then gets one anew."""
        count = self.consecutive_failures[worker] = self.consecutive_failures.get(worker, 0) + 1
        rest_micros = min(FAILURE_BACKOFF_MICROS * 2 ** (count - 1), MAX_FAILURE_BACKOFF_MICROS)
        self.backoff_until[worker] = self.clock.now() + rest_micros

    def record_success(self, worker: str) -> None:
        self.backoff_until.pop(worker, None)
        self.consecutive_failures.pop(worker, None)

    def is_backed_off(self, worker: str) -> bool:
        return self.backoff_until.get(worker, 0) > self.clock.now()

    def learn_slowdown(self, worker: str, read_tokens: int, expected_micros: int, seen_micros: int) -> None:
        """How much longer than reckoned its first events take, within bounds; short requests pass by what waits."""
        if read_tokens < MIN_SLOWDOWN_SAMPLE_TOKENS:
            return
        seen = min(max(seen_micros / max(expected_micros, 5 * MILLI), MIN_SLOWDOWN), MAX_SLOWDOWN)
        self.slowdowns[worker] = self.slowdown_of(worker) * (1 - SLOWDOWN_EWMA_WEIGHT) + seen * SLOWDOWN_EWMA_WEIGHT

    def slowdown_of(self, worker: str) -> float:
        return self.slowdowns.get(worker, 1.0)

    def _change(self, worker: str, running: int, waiting_tokens: int, held_tokens: int) -> None:
        self.is_changed = True
        total = self.totals.setdefault(worker, WorkerLoad())
        total.running += running
        total.waiting_tokens += waiting_tokens
        total.held_tokens += held_tokens

    def _rebuild_totals(self) -> None:
        now_micros = self.clock.now()
        self.reports = {reporter: report for reporter, report in self.reports.items() if report[1] > now_micros}
        self.totals = {
            worker: WorkerLoad(use.running, use.waiting_tokens, use.held_tokens) for worker, use in self.own.items()
        }
        for _, _, uses in self.reports.values():
            for worker, use in uses.items():
                total = self.totals.setdefault(worker, WorkerLoad())
                total.running += use.running
                total.waiting_tokens += use.waiting_tokens
                total.held_tokens += use.held_tokens
        self.totals_until = now_micros + 200 * MILLI
