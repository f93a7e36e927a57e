"""LoadBook (§8.8): how busy each worker is, by this node's own requests and by what other nodes told of theirs."""

from __future__ import annotations

from dataclasses import dataclass

from pearhead.router.read_rate import ReadRates
from pearhead.rpc.wire_pb2 import UseNote, WorkerUse
from pearhead.runtime.clock import MILLI, SECOND, Clock

TOLD_MICROS = 1_500 * MILLI
FAULT_REST_MICROS = SECOND
FAULT_REST_LIMIT_MICROS = 4 * SECOND
PACE_LEAST, PACE_MOST = 0.5, 6.0
PACE_WEIGHT = 0.1
PACE_TOKENS = 1_000


@dataclass
class Use:
    """Requests at a worker, the prompt tokens that it has yet to read, and all tokens that its requests hold."""

    running: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0


class LoadBook:
    """Own use is exact; told use is up to a round and a way old and ends with its teller's silence."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.own: dict[str, Use] = {}
        self.told: dict[str, tuple[int, int, dict[str, WorkerUse]]] = {}
        self.rests_until: dict[str, int] = {}
        self.fault_counts: dict[str, int] = {}
        self.paces: dict[str, float] = {}
        self.read_rates = ReadRates(clock)
        self.totals: dict[str, Use] = {}
        self.totals_until = 0
        self.is_changed = False

    def begin(self, worker: str, waiting_tokens: int, held_tokens: int) -> None:
        use = self.own.setdefault(worker, Use())
        use.running += 1
        use.waiting_tokens += waiting_tokens
        use.held_tokens += held_tokens
        self._change(worker, 1, waiting_tokens, held_tokens)

    def first_event(self, worker: str, waiting_tokens: int) -> None:
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

    def take(self, teller: str, note: UseNote) -> None:
        held = self.told.get(teller)
        if held is not None and held[0] >= note.serial:
            return
        self.told[teller] = (note.serial, self.clock.now() + TOLD_MICROS, {use.worker: use for use in note.use})
        self.totals_until = 0

    def use_of(self, worker: str) -> Use:
        """Of all nodes together."""
        if self.clock.now() >= self.totals_until:
            self._sum_up()
        return self.totals.get(worker, Use())

    def own_running(self) -> int:
        return sum(use.running for use in self.own.values())

    # ---- judged by what a worker did -----------------------------------------------------------

    def take_fault(self, worker: str) -> None:
        """It failed a request or could not be reached: it rests, longer each time, and then gets one anew."""
        count = self.fault_counts[worker] = self.fault_counts.get(worker, 0) + 1
        rest_micros = min(FAULT_REST_MICROS * 2 ** (count - 1), FAULT_REST_LIMIT_MICROS)
        self.rests_until[worker] = self.clock.now() + rest_micros

    def take_success(self, worker: str) -> None:
        self.rests_until.pop(worker, None)
        self.fault_counts.pop(worker, None)

    def is_resting(self, worker: str) -> bool:
        return self.rests_until.get(worker, 0) > self.clock.now()

    def learn_pace(self, worker: str, read_tokens: int, expected_micros: int, seen_micros: int) -> None:
        """How much longer than reckoned its first events take, within bounds; short requests pass by what waits."""
        if read_tokens < PACE_TOKENS:
            return
        seen = min(max(seen_micros / max(expected_micros, 5 * MILLI), PACE_LEAST), PACE_MOST)
        self.paces[worker] = self.pace_of(worker) * (1 - PACE_WEIGHT) + seen * PACE_WEIGHT

    def pace_of(self, worker: str) -> float:
        return self.paces.get(worker, 1.0)

    def _change(self, worker: str, running: int, waiting_tokens: int, held_tokens: int) -> None:
        self.is_changed = True
        total = self.totals.setdefault(worker, Use())
        total.running += running
        total.waiting_tokens += waiting_tokens
        total.held_tokens += held_tokens

    def _sum_up(self) -> None:
        now_micros = self.clock.now()
        self.told = {teller: told for teller, told in self.told.items() if told[1] > now_micros}
        self.totals = {
            worker: Use(use.running, use.waiting_tokens, use.held_tokens) for worker, use in self.own.items()
        }
        for _, _, uses in self.told.values():
            for worker, use in uses.items():
                total = self.totals.setdefault(worker, Use())
                total.running += use.running
                total.waiting_tokens += use.waiting_tokens
                total.held_tokens += use.held_tokens
        self.totals_until = now_micros + 200 * MILLI
