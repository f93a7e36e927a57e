"""LoadReservation (§8.8): the load that one request adds to a worker, from its sending to its end."""

from __future__ import annotations

from pearhead.router.prefill_tracker import TrackedPrefill
from pearhead.router.request_bookkeeping import RequestBookkeeping
from pearhead.router.worker_load_tracker import WorkerLoadTracker


class LoadReservation:
    """The load of one request at one worker in the load tracker; `end` must always be called to remove it.

    `waiting_tokens` are prefilled by the worker before its first event; `held_tokens` occupy its memory.
    """

    def __init__(
        self,
        load_tracker: WorkerLoadTracker,
        bookkeeping: RequestBookkeeping,
        worker: str,
        waiting_tokens: int,
        held_tokens: int,
    ) -> None:
        self.load_tracker = load_tracker
        self.bookkeeping = bookkeeping
        self.worker = worker
        self.waiting_tokens = waiting_tokens
        self.held_tokens = held_tokens
        self.is_awaiting_first_event = False
        self.is_running = False
        self.prefill: TrackedPrefill | None = None

    def begin(self) -> None:
        """Adds the load, as the request is sent."""
        self.is_awaiting_first_event = self.is_running = True
        self.load_tracker.begin(self.worker, self.waiting_tokens, self.held_tokens)

    def record_first_event(self) -> None:
        """Takes off the waiting tokens, and tells the other nodes that the prefill is done."""
        self.is_awaiting_first_event = False
        self._end_prefill(is_kept=True)
        self.load_tracker.record_first_event(self.worker, self.waiting_tokens)

    def end(self) -> None:
        """Removes what is left of the load; later calls do nothing."""
        self._end_prefill(is_kept=False)
        if not self.is_running:
            return
        self.is_running = False
        waiting_tokens = self.waiting_tokens if self.is_awaiting_first_event else 0
        self.load_tracker.end(self.worker, waiting_tokens, self.held_tokens)

    def _end_prefill(self, is_kept: bool) -> None:
        if self.prefill is not None:
            with self.bookkeeping.update("prefill"):
                self.prefill.end(is_kept)
