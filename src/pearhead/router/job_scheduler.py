"""Job scheduling (§8.5): which worker runs a job, and whether it fetches cached parts first."""

from __future__ import annotations

import hashlib
import math

from result import Err, Ok, Result

from pearhead.config.description import CapabilityEntry, cache_owner
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
    """Places jobs on workers and tracks this node's and other nodes' load on each worker.

    `old_weights_micros` is how long superseded weights may still serve after newer ones were named.
    """

    def __init__(
        self,
        view_replica: ViewReplica,
        revision_listener: RevisionListener,
        copy_index: CopyIndex,
        clock: Clock,
        old_weights_micros: int,
    ) -> None:
        self.view_replica = view_replica
        self.revision_listener = revision_listener
        self.copy_index = copy_index
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
        """Chooses a worker for the job.

        Refuses with NO_WORKER if no healthy worker is left to try, and with OVERLOADED if the job is not expected to
        end before its deadline. Both refusals say when to try again.
        """
        assert job.entry is not None and job.tenant is not None
        view = self.view_replica.view
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
            return Ok(Placement(chosen_worker, reason="fewest running"))
        placement = self._place_on_model(view, job, candidates)
        wait_micros = self.wait_micros(job.entry, placement.worker.name, placement.missing_tokens)
        # An idle worker is always tried: an estimate that is too high and refused all jobs would never be corrected.
        is_idle = not self.waiting_tokens_of(placement.worker.name) and not self.running_jobs_of(placement.worker.name)
        if wait_micros > job.remaining_micros(self.clock.now()) and not is_idle:
            # Refused before it runs; if it were sent, it would be cut off at its deadline (§8.5).
            return Err(
                Refusal(
                    ErrorKind.OVERLOADED,
                    "no worker would end it before its deadline",
                    wait_micros - job.remaining_micros(self.clock.now()),
                )
            )
        return Ok(placement)

    def is_still_valid(self, job: Job, placement: Placement) -> bool:
        """Whether this placement could still be chosen, by what is known now (§8.4)."""
        assert job.entry is not None
        view = self.view_replica.view
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
        """Whether the service runs a model, so that weights and cached parts matter for placement."""
        return view.role_by_service.get(service) == "model"

    def begin(self, worker: str, missing_tokens: int) -> None:
        """Counts a job sent to a worker, with the prompt tokens that the worker has to prefill for it."""
        self.running_counts[worker] = self.running_counts.get(worker, 0) + 1
        self.pending_tokens[worker] = self.pending_tokens.get(worker, 0) + missing_tokens

    def end_prefill(self, worker: str, missing_tokens: int) -> None:
        """Takes a job's prefill, counted by `begin`, off the worker's pending tokens."""
        remaining_tokens = self.pending_tokens.get(worker, 0) - missing_tokens
        if remaining_tokens:
            self.pending_tokens[worker] = remaining_tokens
        else:
            self.pending_tokens.pop(worker, None)

    def end(self, worker: str) -> None:
        """Takes a job, counted by `begin`, off the worker's running jobs."""
        self.running_counts[worker] -= 1
        if not self.running_counts[worker]:
            del self.running_counts[worker]

    def record_load_report(self, worker: str, running: int, waiting_tokens: int) -> None:
        """Derives other nodes' load: what the worker reports, less what this node sent there (§8.5)."""
        self.remote_running_counts[worker] = max(0, running - self.running_counts.get(worker, 0))
        self.remote_pending_tokens[worker] = max(0, waiting_tokens - self.pending_tokens.get(worker, 0))

    def record_remote_start(self, worker: str, tokens: int) -> None:
        """Counts a long prefill sent by another node, until the worker's next load report replaces the figure."""
        self.remote_pending_tokens[worker] = self.remote_pending_tokens.get(worker, 0) + tokens

    def wait_micros(self, entry: CapabilityEntry, worker: str, missing_tokens: int) -> int:
        """Estimated time until the job would end: prefills ahead of it, its own prefill, and its stream (§8.5)."""
        prefill_rate = self.costs.prefill_rate(entry.line, worker)
        stream_micros = self.costs.stream_micros(entry.name, worker)
        return int((self.waiting_tokens_of(worker) + missing_tokens) * prefill_rate + stream_micros)

    def waiting_tokens_of(self, worker: str) -> int:
        """Prompt tokens that the worker has yet to prefill, for jobs of all nodes."""
        return self.pending_tokens.get(worker, 0) + self.remote_pending_tokens.get(worker, 0)

    def running_jobs_of(self, worker: str) -> int:
        """Jobs running at the worker, from all nodes."""
        return self.running_counts.get(worker, 0) + self.remote_running_counts.get(worker, 0)

    def record_failure(self, worker: str) -> None:
        """Backs off from a worker that failed a job; a worker's health is judged by jobs, not by pings."""
        self.unhealthy_until[worker] = self.clock.now() + FAILED_WORKER_BACKOFF_MICROS

    def record_reported_unhealthy(self, worker: str) -> None:
        """Notes that the node that holds the worker's lease reports it unhealthy."""
        self.reported_unhealthy_until[worker] = self.clock.now() + REPORTED_UNHEALTHY_MICROS

    def record_success(self, worker: str) -> None:
        """Ends the back-off from a worker that completed a job."""
        self.unhealthy_until.pop(worker, None)

    def _candidates(self, view: View, job: Job, is_model: bool) -> list[WorkerRecord]:
        assert job.entry is not None
        now_micros = self.clock.now()
        matching_workers = [
            w
            for _, w in sorted(view.workers.items())
            if w.service == job.entry.service
            and not w.leaving
            and w.name not in job.tried_workers
            and (not is_model or self.weights_allowed(view, job.entry.line, w.name))
        ]
        healthy_workers = [w for w in matching_workers if self.unhealthy_until.get(w.name, 0) <= now_micros]
        # The fault may be the reporting lease holder's own, so its report excludes a worker only while others are left
        # (§7.5).
        return [
            w for w in healthy_workers if self.reported_unhealthy_until.get(w.name, 0) <= now_micros
        ] or healthy_workers

    def _backoff_remaining_micros(self, view: View, job: Job) -> int:
        """Time until the first back-off of one of the service's workers ends (§8.2).

        If none is backed off, perhaps no worker has loaded usable weights yet, so it is the time limit of a first wave.
        """
        assert job.entry is not None
        now_micros = self.clock.now()
        remaining_micros = [
            until - now_micros
            for name, until in self.unhealthy_until.items()
            if until > now_micros and name in view.workers and view.workers[name].service == job.entry.service
        ]
        return min(remaining_micros, default=FIRST_WAVE_TIMEOUT_MICROS)

    def weights_allowed(self, view: View, line: str, worker: str) -> bool:
        """Whether the worker's weights may serve: current ones always, older ones for a grace period (§7.4)."""
        load, current = view.loads.get(worker), view.weights.get(line)
        if load is None or current is None or load.line != line:
            return False
        if load.weights_revision == current.revision:
            return True
        since_micros = self.view_replica.superseded_since(line, load.weights_revision)
        return since_micros is not None and self.clock.now() - since_micros < self.old_weights_micros

    def _place_on_model(self, view: View, job: Job, candidates: list[WorkerRecord]) -> Placement:
        assert job.entry is not None and job.tenant is not None
        entry = job.entry
        line, owner = entry.line, cache_owner(job.tenant)
        current = view.weights[line]
        on_current_weights = [w for w in candidates if view.loads[w.name].weights_revision == current.revision]
        if len(on_current_weights) < len(candidates):
            candidates = self._candidates_in_rollout(view, job, candidates, on_current_weights)
        parts = [p.part for p in job.request.prefix]
        revisions: list[int] = []
        for part in parts:
            revision = self.revision_listener.revision_of(owner, line, part)
            if revision is None:
                break
            revisions.append(revision)
        known_parts = list(zip(parts, revisions, strict=False))

        def keys_for_weights(weights_revision: int) -> list[str]:
            return chain_keys(owner, line, weights_revision, known_parts)

        current_keys = keys_for_weights(current.revision)
        cached_part_counts = {
            w.name: self.copy_index.longest_cached_prefix(
                w.name,
                view.loads[w.name],
                current_keys if w in on_current_weights else keys_for_weights(view.loads[w.name].weights_revision),
            )
            if self.uses_index
            else 0
            for w in candidates
        }
        # Bounded load: keeps requests for a hot prefix from all going to one worker (§8.5).
        total_count = sum(self.running_jobs_of(w.name) for w in candidates) + 1
        load_limit = math.ceil(LOAD_FACTOR * total_count / len(candidates))
        under_limit = [w for w in candidates if self.running_jobs_of(w.name) < load_limit]
        part_tokens = [p.tokens for p in job.request.prefix]
        hash_subject = current_keys[0] if current_keys and self.uses_index else job.job_id

        def rank(worker: WorkerRecord) -> tuple[int, int, bytes]:
            name_hash = hashlib.blake2b(f"{hash_subject}/{worker.name}".encode(), digest_size=8).digest()
            if current_keys and self.uses_index:
                missing_tokens = sum(part_tokens[cached_part_counts[worker.name] :])
                return (
                    self.wait_micros(entry, worker.name, missing_tokens),
                    -cached_part_counts[worker.name],
                    name_hash,
                )
            return (0, self.running_jobs_of(worker.name), name_hash)

        chosen_worker = min(under_limit, key=rank)
        chosen_load = view.loads[chosen_worker.name]
        keys = keys_for_weights(chosen_load.weights_revision)
        self.copy_index.record_parts(owner, line, [p for p, _ in known_parts], keys)
        # If no part's revision is known, the salt is unique to the job, so that nothing is reused.
        salt = cache_salt(owner, line, chosen_load.weights_revision) if keys else f"job:{job.job_id}"
        placement = Placement(
            chosen_worker,
            chosen_load.weights,
            chosen_load.weights_revision,
            salt,
            keys,
            cached_part_counts[chosen_worker.name],
            sum(part_tokens[cached_part_counts[chosen_worker.name] :]),
            reason=f"keeps {cached_part_counts[chosen_worker.name]} of {len(parts)} parts",
        )
        if chosen_worker in on_current_weights and self.uses_index:
            self._plan_fetch(view, job, placement, on_current_weights)
        return placement

    def _candidates_in_rollout(
        self, view: View, job: Job, candidates: list[WorkerRecord], on_current_weights: list[WorkerRecord]
    ) -> list[WorkerRecord]:
        """Narrows the candidates while some of them are still on older weights."""
        assert job.entry is not None
        line = job.entry.line
        current = view.weights[line]
        wave_workers = first_wave(view, job.entry.service, current.revision)
        # Workers of the first wave get no jobs while other workers on the old weights remain. Those keep serving until
        # the whole wave serves; otherwise its first worker to finish loading would get all jobs (§7.3).
        later_workers = [w for w in candidates if w not in on_current_weights and w.name not in wave_workers]
        seen_micros = self.view_replica.first_seen_micros.get((line, current.revision), 0)
        is_wave_finished = (line, current.revision) in self.finished_waves or (
            is_wave_serving(view, job.entry.service, current.revision)
            # The remaining workers begin to load now, even if some of the wave are late.
            or self.clock.now() - seen_micros > FIRST_WAVE_TIMEOUT_MICROS - VIEW_PROPAGATION_MICROS
        )
        if is_wave_finished:
            # It stays finished even if workers of it leave, as the remaining workers have begun to load.
            self.finished_waves.add((line, current.revision))
        return (
            on_current_weights
            if is_wave_finished and on_current_weights
            else on_current_weights + later_workers or candidates
        )

    def _plan_fetch(self, view: View, job: Job, placement: Placement, workers: list[WorkerRecord]) -> None:
        """Plans a fetch if another worker or a store has a longer prefix and fetching is quicker than prefill.

        Only current parts of the same owner count, in copies known to be made with the current weights (§8.6).
        """
        assert job.entry is not None
        best_source, best_count = None, placement.cached_part_count
        for worker in workers:
            if worker.name == placement.worker.name:
                continue
            cached_part_count = self.copy_index.longest_cached_prefix(
                worker.name, view.loads[worker.name], placement.keys
            )
            if cached_part_count > best_count:
                best_source, best_count = worker, cached_part_count
        for _, store in sorted(view.workers.items()):
            if view.role_by_service.get(store.service) == "store" and not store.leaving:
                cached_part_count = self.copy_index.longest_stored_prefix(store.name, placement.keys)
                if cached_part_count > best_count:
                    best_source, best_count = store, cached_part_count
        if best_source is None:
            return
        tokens = sum(p.tokens for p in job.request.prefix[placement.cached_part_count : best_count])
        fetch_micros = FETCH_OVERHEAD_MICROS + tokens * self.costs.fetch_rate(best_source.name, placement.worker.name)
        prefill_micros = tokens * self.costs.prefill_rate(job.entry.line, placement.worker.name)
        if fetch_micros < prefill_micros:
            placement.fetch_from, placement.fetch_parts = best_source, best_count
            placement.fetch_limit_micros = int(prefill_micros)
            placement.reason += f", fetches to {best_count} from {best_source.name}"
