"""JobScheduler (§8.5): which worker runs a job, and whether it fetches parts first."""

from __future__ import annotations

import hashlib
import math

from result import Err, Ok, Result

from pearhead.config.description import CapabilityEntry, owner_of
from pearhead.config.view import View, WorkerRecord
from pearhead.invalidation.cache_keys import cache_salt, chain_keys
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.copy_index import CopyIndex
from pearhead.router.cost_estimator import CostEstimator
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.job import Job, Placement
from pearhead.router.load_waves import FIRST_WAVE_TIMEOUT_MICROS, VIEW_PROPAGATION_MICROS, first_wave, is_wave_serving
from pearhead.router.view_replica import ViewReplica
from pearhead.runtime.clock import MILLI, SECOND, Clock

LOAD_FACTOR = 1.25
FETCH_OVERHEAD_MICROS = 5 * MILLI
FAILED_WORKER_BACKOFF_MICROS = 2 * SECOND
REPORTED_UNHEALTHY_MICROS = 1_500 * MILLI


class JobScheduler:
    def __init__(
        self, keeper: ViewReplica, listener: RevisionListener, index: CopyIndex, clock: Clock, old_weights_micros: int
    ) -> None:
        self.keeper = keeper
        self.listener = listener
        self.index = index
        self.clock = clock
        self.old_weights_micros = old_weights_micros
        self.running_counts: dict[str, int] = {}
        self.pending_tokens: dict[str, int] = {}
        self.remote_running_counts: dict[str, int] = {}
        self.remote_pending_tokens: dict[str, int] = {}
        self.reported_unhealthy_until: dict[str, int] = {}
        self.unhealthy_until: dict[str, int] = {}
        self.costs = CostEstimator()
        self.finished_waves: set[tuple[str, int]] = set()
        self.uses_index = True

    def schedule_job(self, job: Job) -> Result[Placement, Refusal]:
        assert job.entry is not None and job.tenant is not None
        view = self.keeper.view
        is_model = self.is_model(view, job.entry.service)
        candidates = self._candidates(view, job, is_model)
        if not candidates:
            return Err(
                Refusal(
                    ErrorKind.NO_WORKER,
                    f"no sound worker of {job.entry.service}",
                    self._backoff_remaining_micros(view, job),
                )
            )
        if not is_model:
            chosen_worker = min(candidates, key=lambda w: (self.running_counts.get(w.name, 0), w.name))
            return Ok(Placement(chosen_worker, why="fewest running"))
        placement = self._place_on_model(view, job, candidates)
        wait_micros = self.wait_micros(job.entry, placement.worker.name, placement.missed_tokens)
        # An idle worker is always tried: an estimate that refused all jobs would never be put right.
        is_idle = not self.waiting_tokens_of(placement.worker.name) and not self.running_jobs_of(placement.worker.name)
        if wait_micros > job.left_micros(self.clock.now()) and not is_idle:
            # Refused while it has not run: sent, it would be cut at its deadline (§8.5).
            return Err(
                Refusal(
                    ErrorKind.OVERLOADED,
                    "no worker would end it before its deadline",
                    wait_micros - job.left_micros(self.clock.now()),
                )
            )
        return Ok(placement)

    def is_still_valid(self, job: Job, placement: Placement) -> bool:
        """Whether this very placement could still be nominated, by what is known now (§8.4)."""
        assert job.entry is not None
        view = self.keeper.view
        worker = view.workers.get(placement.worker.name)
        if worker is None or worker != placement.worker:
            return False
        if not placement.weights_name:
            return True
        load = view.loads.get(worker.name)
        return (
            load is not None
            and load.weights_revision == placement.weights_revision
            and self.weights_allowed(view, job.entry.line, worker.name)
        )

    def is_model(self, view: View, service: str) -> bool:
        return view.role_by_service.get(service) == "model"

    def begin(self, worker: str, missed_tokens: int) -> None:
        self.running_counts[worker] = self.running_counts.get(worker, 0) + 1
        self.pending_tokens[worker] = self.pending_tokens.get(worker, 0) + missed_tokens

    def end_prefill(self, worker: str, missed_tokens: int) -> None:
        left_tokens = self.pending_tokens.get(worker, 0) - missed_tokens
        if left_tokens:
            self.pending_tokens[worker] = left_tokens
        else:
            self.pending_tokens.pop(worker, None)

    def end(self, worker: str) -> None:
        self.running_counts[worker] -= 1
        if not self.running_counts[worker]:
            del self.running_counts[worker]

    def record_load_report(self, worker: str, running: int, waiting_tokens: int) -> None:
        """What a worker says it runs, less what this node sent there, is the other nodes' (§8.5)."""
        self.remote_running_counts[worker] = max(0, running - self.running_counts.get(worker, 0))
        self.remote_pending_tokens[worker] = max(0, waiting_tokens - self.pending_tokens.get(worker, 0))

    def record_remote_start(self, worker: str, tokens: int) -> None:
        """Another node sent a long prefill; the worker's next word says what is left of it."""
        self.remote_pending_tokens[worker] = self.remote_pending_tokens.get(worker, 0) + tokens

    def wait_micros(self, entry: CapabilityEntry, worker: str, missed_tokens: int) -> int:
        """Until the job would end: what lies before it, its own prefill, and its stream (§8.5)."""
        prefill_rate = self.costs.prefill_rate(entry.line, worker)
        stream_micros = self.costs.stream_micros(entry.name, worker)
        return int((self.waiting_tokens_of(worker) + missed_tokens) * prefill_rate + stream_micros)

    def waiting_tokens_of(self, worker: str) -> int:
        return self.pending_tokens.get(worker, 0) + self.remote_pending_tokens.get(worker, 0)

    def running_jobs_of(self, worker: str) -> int:
        return self.running_counts.get(worker, 0) + self.remote_running_counts.get(worker, 0)

    def record_failure(self, worker: str) -> None:
        """A worker that failed a job rests a while; its soundness is judged by jobs, not by pings."""
        self.unhealthy_until[worker] = self.clock.now() + FAILED_WORKER_BACKOFF_MICROS

    def record_reported_unhealthy(self, worker: str) -> None:
        self.reported_unhealthy_until[worker] = self.clock.now() + REPORTED_UNHEALTHY_MICROS

    def record_success(self, worker: str) -> None:
        self.unhealthy_until.pop(worker, None)

    def _candidates(self, view: View, job: Job, is_model: bool) -> list[WorkerRecord]:
        assert job.entry is not None
        now_micros = self.clock.now()
        found = [
            w
            for _, w in sorted(view.workers.items())
            if w.service == job.entry.service
            and not w.leaving
            and w.name not in job.tried_workers
            and (not is_model or self.weights_allowed(view, job.entry.line, w.name))
        ]
        healthy_workers = [w for w in found if self.unhealthy_until.get(w.name, 0) <= now_micros]
        # What a holder told may be its own trouble: it decides only while others are left (§7.5).
        return [
            w for w in healthy_workers if self.reported_unhealthy_until.get(w.name, 0) <= now_micros
        ] or healthy_workers

    def _backoff_remaining_micros(self, view: View, job: Job) -> int:
        """When the first resting worker is tried again; a roll-out's wave, where none is loaded (§8.2)."""
        assert job.entry is not None
        now_micros = self.clock.now()
        rests = [
            until - now_micros
            for name, until in self.unhealthy_until.items()
            if until > now_micros and name in view.workers and view.workers[name].service == job.entry.service
        ]
        return min(rests, default=FIRST_WAVE_TIMEOUT_MICROS)

    def weights_allowed(self, view: View, line: str, worker: str) -> bool:
        """Present weights always; older ones only for a while after a roll-out is seen (§7.4)."""
        load, present = view.loads.get(worker), view.weights.get(line)
        if load is None or present is None or load.line != line:
            return False
        if load.weights_revision == present.revision:
            return True
        since_micros = self.keeper.superseded_since(line, load.weights_revision)
        return since_micros is not None and self.clock.now() - since_micros < self.old_weights_micros

    def _place_on_model(self, view: View, job: Job, candidates: list[WorkerRecord]) -> Placement:
        assert job.entry is not None and job.tenant is not None
        entry = job.entry
        line, owner = entry.line, owner_of(job.tenant)
        present = view.weights[line]
        on_current_weights = [w for w in candidates if view.loads[w.name].weights_revision == present.revision]
        if len(on_current_weights) < len(candidates):
            candidates = self._candidates_in_roll_out(view, job, candidates, on_current_weights)
        parts = [p.part for p in job.request.prefix]
        revisions: list[int] = []
        for part in parts:
            revision = self.listener.revision_of(owner, line, part)
            if revision is None:
                break
            revisions.append(revision)
        known = list(zip(parts, revisions, strict=False))

        def keys_for_weights(weights_revision: int) -> list[str]:
            return chain_keys(owner, line, weights_revision, known)

        current_keys = keys_for_weights(present.revision)
        cached_part_counts = {
            w.name: self.index.longest_cached_prefix(
                w.name,
                view.loads[w.name],
                current_keys if w in on_current_weights else keys_for_weights(view.loads[w.name].weights_revision),
            )
            if self.uses_index
            else 0
            for w in candidates
        }
        # Bounded load: a hot prefix does not pile onto one worker (§8.5).
        total_count = sum(self.running_jobs_of(w.name) for w in candidates) + 1
        load_limit = math.ceil(LOAD_FACTOR * total_count / len(candidates))
        free = [w for w in candidates if self.running_jobs_of(w.name) < load_limit]
        tokens = [p.tokens for p in job.request.prefix]
        rank_text = current_keys[0] if current_keys and self.uses_index else job.job_id

        def rank(worker: WorkerRecord) -> tuple[int, int, bytes]:
            name_hash = hashlib.blake2b(f"{rank_text}/{worker.name}".encode(), digest_size=8).digest()
            if current_keys and self.uses_index:
                missed_tokens = sum(tokens[cached_part_counts[worker.name] :])
                return (
                    self.wait_micros(entry, worker.name, missed_tokens),
                    -cached_part_counts[worker.name],
                    name_hash,
                )
            return (0, self.running_jobs_of(worker.name), name_hash)

        chosen_worker = min(free, key=rank)
        chosen_load = view.loads[chosen_worker.name]
        keys = keys_for_weights(chosen_load.weights_revision)
        self.index.record_parts(owner, line, [p for p, _ in known], keys)
        # With nothing known to be current, the salt is the job's own: nothing can be reused.
        salt = cache_salt(owner, line, chosen_load.weights_revision) if keys else f"job:{job.job_id}"
        placement = Placement(
            chosen_worker,
            chosen_load.weights,
            chosen_load.weights_revision,
            salt,
            keys,
            cached_part_counts[chosen_worker.name],
            sum(tokens[cached_part_counts[chosen_worker.name] :]),
            why=f"keeps {cached_part_counts[chosen_worker.name]} of {len(parts)} parts",
        )
        if chosen_worker in on_current_weights and self.uses_index:
            self._plan_fetch(view, job, placement, on_current_weights)
        return placement

    def _candidates_in_roll_out(
        self, view: View, job: Job, candidates: list[WorkerRecord], on_current_weights: list[WorkerRecord]
    ) -> list[WorkerRecord]:
        assert job.entry is not None
        line = job.entry.line
        present = view.weights[line]
        wave_workers = first_wave(view, job.entry.service, present.revision)
        # Those that load first are left alone while others on the old weights remain; these go on until the
        # whole wave serves, or its first worker would be sent everything (§7.3).
        waiting = [w for w in candidates if w not in on_current_weights and w.name not in wave_workers]
        seen_micros = self.keeper.first_seen.get((line, present.revision), 0)
        is_wave_finished = (line, present.revision) in self.finished_waves or (
            is_wave_serving(view, job.entry.service, present.revision)
            # The rest begins to load now, whoever of the wave is late.
            or self.clock.now() - seen_micros > FIRST_WAVE_TIMEOUT_MICROS - VIEW_PROPAGATION_MICROS
        )
        if is_wave_finished:
            # It stays over, whoever leaves of it: the rest has begun to load.
            self.finished_waves.add((line, present.revision))
        return (
            on_current_weights
            if is_wave_finished and on_current_weights
            else on_current_weights + waiting or candidates
        )

    def _plan_fetch(self, view: View, job: Job, placement: Placement, workers: list[WorkerRecord]) -> None:
        """Fetches only what is current, tied, of the same owner, and quicker than prefill (§8.6)."""
        assert job.entry is not None
        best_source, best_count = None, placement.reused_parts
        for worker in workers:
            if worker.name == placement.worker.name:
                continue
            cached_part_count = self.index.longest_cached_prefix(worker.name, view.loads[worker.name], placement.keys)
            if cached_part_count > best_count:
                best_source, best_count = worker, cached_part_count
        for _, store in sorted(view.workers.items()):
            if view.role_by_service.get(store.service) == "store" and not store.leaving:
                cached_part_count = self.index.longest_stored_prefix(store.name, placement.keys)
                if cached_part_count > best_count:
                    best_source, best_count = store, cached_part_count
        if best_source is None:
            return
        tokens = sum(p.tokens for p in job.request.prefix[placement.reused_parts : best_count])
        fetch_micros = FETCH_OVERHEAD_MICROS + tokens * self.costs.fetch_rate(best_source.name, placement.worker.name)
        prefill_micros = tokens * self.costs.prefill_rate(job.entry.line, placement.worker.name)
        if fetch_micros < prefill_micros:
            placement.fetch_from, placement.fetch_parts = best_source, best_count
            placement.fetch_limit_micros = int(prefill_micros)
            placement.why += f", fetches to {best_count} from {best_source.name}"
