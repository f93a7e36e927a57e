"""Nominator (§8.5): which worker runs a job, and whether it fetches parts first."""

from __future__ import annotations

import hashlib
import math
import random
import unittest

from result import Err, Ok, Result

from pearhead.awl.bench import Bench
from pearhead.awl.clock import MILLI, SECOND, Clock
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.description import CapabilityEntry, Description, Limits, Line, Service, Tenant, owner_of
from pearhead.awl.directory import Directory
from pearhead.awl.view import LoadFact, View, WeightsFact, WorkerFact
from pearhead.awl.wire_pb2 import Record
from pearhead.lathe.costs import CostBook
from pearhead.lathe.errors import ErrorKind, Refusal
from pearhead.lathe.index import CopyIndex
from pearhead.lathe.job import Job, Placement, PrefixPart, WrittenJob
from pearhead.lathe.term import TermKeeper
from pearhead.lathe.wave import SPREAD_MICROS, WAVE_MICROS, first_wave, is_wave_serving
from pearhead.rasp.key import cache_salt, chain_keys
from pearhead.rasp.listener import Listener

LOAD_FACTOR = 1.25
FETCH_FIXED_MICROS = 5 * MILLI
UNSOUND_MICROS = 2 * SECOND
TOLD_UNSOUND_MICROS = 1_500 * MILLI


class Nominator:
    def __init__(
        self, keeper: TermKeeper, listener: Listener, index: CopyIndex, clock: Clock, oldWeightsMicros: int
    ) -> None:
        self.keeper = keeper
        self.listener = listener
        self.index = index
        self.clock = clock
        self.oldWeightsMicros = oldWeightsMicros
        self.runningCounts: dict[str, int] = {}
        self.pendingTokens: dict[str, int] = {}
        self.othersCounts: dict[str, int] = {}
        self.othersTokens: dict[str, int] = {}
        self.toldUnsoundUntil: dict[str, int] = {}
        self.unsoundUntil: dict[str, int] = {}
        self.costs = CostBook()
        self.overWaves: set[tuple[str, int]] = set()
        self.usesIndex = True

    def nominate(self, job: Job) -> Result[Placement, Refusal]:
        assert job.entry is not None and job.tenant is not None
        view = self.keeper.view
        isModel = self.is_model(view, job.entry.service)
        candidates = self._candidates(view, job, isModel)
        if not candidates:
            return Err(Refusal(
                ErrorKind.NO_WORKER, f"no sound worker of {job.entry.service}", self._rest_micros(view, job)
            ))
        if not isModel:
            chosenWorker = min(candidates, key=lambda w: (self.runningCounts.get(w.name, 0), w.name))
            return Ok(Placement(chosenWorker, why="fewest running"))
        placement = self._place_on_model(view, job, candidates)
        waitMicros = self.wait_micros(job.entry, placement.worker.name, placement.missedTokens)
        # An idle worker is always tried: an estimate that refused all jobs would never be put right.
        isIdle = not self.waiting_of(placement.worker.name) and not self.load_of(placement.worker.name)
        if waitMicros > job.left_micros(self.clock.now()) and not isIdle:
            # Refused while it has not run: sent, it would be cut at its deadline (§8.5).
            return Err(Refusal(
                ErrorKind.OVERLOADED, "no worker would end it before its deadline",
                waitMicros - job.left_micros(self.clock.now()),
            ))
        return Ok(placement)

    def stands(self, job: Job, placement: Placement) -> bool:
        """Whether this very placement could still be nominated, by what is known now (§8.4)."""
        assert job.entry is not None
        view = self.keeper.view
        worker = view.workers.get(placement.worker.name)
        if worker is None or worker != placement.worker:
            return False
        if not placement.weightsName:
            return True
        load = view.loads.get(worker.name)
        return (
            load is not None and load.weightsRevision == placement.weightsRevision
            and self.weights_allowed(view, job.entry.line, worker.name)
        )

    def is_model(self, view: View, service: str) -> bool:
        return view.roleByService.get(service) == "model"

    def begin(self, worker: str, missedTokens: int) -> None:
        self.runningCounts[worker] = self.runningCounts.get(worker, 0) + 1
        self.pendingTokens[worker] = self.pendingTokens.get(worker, 0) + missedTokens

    def end_prefill(self, worker: str, missedTokens: int) -> None:
        leftTokens = self.pendingTokens.get(worker, 0) - missedTokens
        if leftTokens:
            self.pendingTokens[worker] = leftTokens
        else:
            self.pendingTokens.pop(worker, None)

    def end(self, worker: str) -> None:
        self.runningCounts[worker] -= 1
        if not self.runningCounts[worker]:
            del self.runningCounts[worker]

    def take_load(self, worker: str, running: int, waitingTokens: int) -> None:
        """What a worker says it runs, less what this node sent there, is the other nodes' (§8.5)."""
        self.othersCounts[worker] = max(0, running - self.runningCounts.get(worker, 0))
        self.othersTokens[worker] = max(0, waitingTokens - self.pendingTokens.get(worker, 0))

    def take_start(self, worker: str, tokens: int) -> None:
        """Another node sent a long prefill; the worker's next word says what is left of it."""
        self.othersTokens[worker] = self.othersTokens.get(worker, 0) + tokens

    def wait_micros(self, entry: CapabilityEntry, worker: str, missedTokens: int) -> int:
        """Until the job would end: what lies before it, its own prefill, and its stream (§8.5)."""
        prefillRate = self.costs.prefill_rate(entry.line, worker)
        streamMicros = self.costs.stream_micros(entry.name, worker)
        return int((self.waiting_of(worker) + missedTokens) * prefillRate + streamMicros)

    def waiting_of(self, worker: str) -> int:
        return self.pendingTokens.get(worker, 0) + self.othersTokens.get(worker, 0)

    def load_of(self, worker: str) -> int:
        return self.runningCounts.get(worker, 0) + self.othersCounts.get(worker, 0)

    def take_fault(self, worker: str) -> None:
        """A worker that failed a job rests a while; its soundness is judged by jobs, not by pings."""
        self.unsoundUntil[worker] = self.clock.now() + UNSOUND_MICROS

    def take_unsound(self, worker: str) -> None:
        self.toldUnsoundUntil[worker] = self.clock.now() + TOLD_UNSOUND_MICROS

    def take_success(self, worker: str) -> None:
        self.unsoundUntil.pop(worker, None)

    def _candidates(self, view: View, job: Job, isModel: bool) -> list[WorkerFact]:
        assert job.entry is not None
        nowMicros = self.clock.now()
        found = [
            w for _, w in sorted(view.workers.items())
            if w.service == job.entry.service and not w.leaving and w.name not in job.triedWorkers
            and (not isModel or self.weights_allowed(view, job.entry.line, w.name))
        ]
        soundOnes = [w for w in found if self.unsoundUntil.get(w.name, 0) <= nowMicros]
        # What a holder told may be its own trouble: it decides only while others are left (§7.5).
        return [w for w in soundOnes if self.toldUnsoundUntil.get(w.name, 0) <= nowMicros] or soundOnes

    def _rest_micros(self, view: View, job: Job) -> int:
        """When the first resting worker is tried again; a roll-out's wave, where none is loaded (§8.2)."""
        assert job.entry is not None
        nowMicros = self.clock.now()
        rests = [
            until - nowMicros for name, until in self.unsoundUntil.items()
            if until > nowMicros and name in view.workers and view.workers[name].service == job.entry.service
        ]
        return min(rests, default=WAVE_MICROS)

    def weights_allowed(self, view: View, line: str, worker: str) -> bool:
        """Present weights always; older ones only for a while after a roll-out is seen (§7.4)."""
        load, present = view.loads.get(worker), view.weights.get(line)
        if load is None or present is None or load.line != line:
            return False
        if load.weightsRevision == present.revision:
            return True
        sinceMicros = self.keeper.superseded_since(line, load.weightsRevision)
        return sinceMicros is not None and self.clock.now() - sinceMicros < self.oldWeightsMicros

    def _place_on_model(self, view: View, job: Job, candidates: list[WorkerFact]) -> Placement:
        assert job.entry is not None and job.tenant is not None
        entry = job.entry
        line, owner = entry.line, owner_of(job.tenant)
        present = view.weights[line]
        onPresent = [w for w in candidates if view.loads[w.name].weightsRevision == present.revision]
        if len(onPresent) < len(candidates):
            candidates = self._candidates_in_roll_out(view, job, candidates, onPresent)
        parts = [p.part for p in job.request.prefix]
        revisions: list[int] = []
        for part in parts:
            revision = self.listener.revision_of(owner, line, part)
            if revision is None:
                break
            revisions.append(revision)
        known = list(zip(parts, revisions, strict=False))

        def keys_on(weightsRevision: int) -> list[str]:
            return chain_keys(owner, line, weightsRevision, known)

        presentKeys = keys_on(present.revision)
        keptCounts = {
            w.name: self.index.longest_kept(
                w.name, view.loads[w.name],
                presentKeys if w in onPresent else keys_on(view.loads[w.name].weightsRevision),
            ) if self.usesIndex else 0
            for w in candidates
        }
        # Bounded load: a hot prefix does not pile onto one worker (§8.5).
        totalCount = sum(self.load_of(w.name) for w in candidates) + 1
        loadLimit = math.ceil(LOAD_FACTOR * totalCount / len(candidates))
        free = [w for w in candidates if self.load_of(w.name) < loadLimit]
        tokens = [p.tokens for p in job.request.prefix]
        rankText = presentKeys[0] if presentKeys and self.usesIndex else job.jobId

        def rank(worker: WorkerFact) -> tuple[int, int, bytes]:
            nameHash = hashlib.blake2b(f"{rankText}/{worker.name}".encode(), digest_size=8).digest()
            if presentKeys and self.usesIndex:
                missedTokens = sum(tokens[keptCounts[worker.name] :])
                return (self.wait_micros(entry, worker.name, missedTokens), -keptCounts[worker.name], nameHash)
            return (0, self.load_of(worker.name), nameHash)

        chosenWorker = min(free, key=rank)
        chosenLoad = view.loads[chosenWorker.name]
        keys = keys_on(chosenLoad.weightsRevision)
        self.index.note_parts(owner, line, [p for p, _ in known], keys)
        # With nothing known to be current, the salt is the job's own: nothing can be reused.
        salt = cache_salt(owner, line, chosenLoad.weightsRevision) if keys else f"job:{job.jobId}"
        placement = Placement(
            chosenWorker, chosenLoad.weights, chosenLoad.weightsRevision, salt, keys, keptCounts[chosenWorker.name],
            sum(tokens[keptCounts[chosenWorker.name] :]),
            why=f"keeps {keptCounts[chosenWorker.name]} of {len(parts)} parts",
        )
        if chosenWorker in onPresent and self.usesIndex:
            self._plan_fetch(view, job, placement, onPresent)
        return placement

    def _candidates_in_roll_out(
        self, view: View, job: Job, candidates: list[WorkerFact], onPresent: list[WorkerFact]
    ) -> list[WorkerFact]:
        assert job.entry is not None
        line = job.entry.line
        present = view.weights[line]
        firstWave = first_wave(view, job.entry.service, present.revision)
        # Those that load first are left alone while others on the old weights remain; these go on until the
        # whole wave serves, or its first worker would be sent everything (§7.3).
        waiting = [w for w in candidates if w not in onPresent and w.name not in firstWave]
        seenMicros = self.keeper.firstSeen.get((line, present.revision), 0)
        isWaveOver = (line, present.revision) in self.overWaves or (
            is_wave_serving(view, job.entry.service, present.revision)
            # The rest begins to load now, whoever of the wave is late.
            or self.clock.now() - seenMicros > WAVE_MICROS - SPREAD_MICROS
        )
        if isWaveOver:
            # It stays over, whoever leaves of it: the rest has begun to load.
            self.overWaves.add((line, present.revision))
        return onPresent if isWaveOver and onPresent else onPresent + waiting or candidates

    def _plan_fetch(self, view: View, job: Job, placement: Placement, workers: list[WorkerFact]) -> None:
        """Fetches only what is current, tied, of the same owner, and quicker than prefill (§8.6)."""
        assert job.entry is not None
        bestSource, bestCount = None, placement.reusedParts
        for worker in workers:
            if worker.name == placement.worker.name:
                continue
            keptCount = self.index.longest_kept(worker.name, view.loads[worker.name], placement.keys)
            if keptCount > bestCount:
                bestSource, bestCount = worker, keptCount
        for _, store in sorted(view.workers.items()):
            if view.roleByService.get(store.service) == "store" and not store.leaving:
                keptCount = self.index.held_in_store(store.name, placement.keys)
                if keptCount > bestCount:
                    bestSource, bestCount = store, keptCount
        if bestSource is None:
            return
        tokens = sum(p.tokens for p in job.request.prefix[placement.reusedParts : bestCount])
        fetchMicros = FETCH_FIXED_MICROS + tokens * self.costs.fetch_rate(bestSource.name, placement.worker.name)
        prefillMicros = tokens * self.costs.prefill_rate(job.entry.line, placement.worker.name)
        if fetchMicros < prefillMicros:
            placement.fetchFrom, placement.fetchParts = bestSource, bestCount
            placement.fetchLimitMicros = int(prefillMicros)
            placement.why += f", fetches to {bestCount} from {bestSource.name}"


class NominatorTest(unittest.TestCase):
    """Three workers on weights of revision 5; parts 1 and 2 of a kept tenant; a store."""

    def setUp(self) -> None:
        self.bench = Bench()
        courier = Courier("me", "a:1", self.bench, self.bench)
        directory = Directory(Record(identity="me"), ["s:1"], courier, self.bench, random.Random(1))
        crew = Crew("t")
        keeper = TermKeeper(courier, directory, self.bench, random.Random(1), crew, SECOND)
        self.listener = Listener(courier, directory, self.bench, random.Random(1), crew, 30 * SECOND)
        self.index = CopyIndex()
        self.nominator = Nominator(keeper, self.listener, self.index, self.bench, 8 * SECOND)
        names = ("w1", "w2", "w3")
        self.view = View()
        self.entry = CapabilityEntry("e", "l", ["*"], ["k"], "models")
        services = [Service("models", "model"), Service("kept", "store")]
        self.view.__dict__.update(
            description=Description([Line("l", "x")], services, [self.entry], [], Limits()),
            workers={n: WorkerFact(n, n, "z", "models", False) for n in names}
            | {"store": WorkerFact("store", "store", "z", "kept", False)},
            loads={n: LoadFact("l", f"life-{n}", 1, 5, 10, "x") for n in names},
            weights={"l": WeightsFact("x", 5)},
        )
        keeper.view = self.view
        self.know(True)

    def know(self, isKnown: bool) -> None:
        self.listener.revision_of("tenant:t", "l", 1)
        self.listener.volumes["tenant:t", "l"].expiryMicros = 2**60 if isKnown else 0

    def job(self, tenant: Tenant | None = None) -> Job:
        request = WrittenJob("l", "k", "b", [PrefixPart(1, 500), PrefixPart(2, 1_000)])
        return Job(request, "j", 0, self.view, 2**60, tenant or Tenant("t", []), self.entry)

    def keep(self, worker: str, length: int = 2, weightsRevision: int = 5, life: str = "") -> None:
        keys = chain_keys("tenant:t", "l", weightsRevision, [(1, 1), (2, 1)])[:length]
        self.index.take_report(worker, life or f"life-{worker}", 10, 12, keys, [], False)
        self.index.tie(self.view.loads.get(worker), life or f"life-{worker}", 10, keys)

    def place(self, job: Job | None = None) -> Placement:
        return self.nominator.nominate(job or self.job()).unwrap()

    def test_the_keeper_is_chosen_until_its_wait_outgrows_the_prefill(self) -> None:
        self.keep("w2")
        self.assertEqual((self.place().worker.name, self.place().reusedParts), ("w2", 2))
        self.nominator.take_load("w2", 0, 1_400)
        self.assertEqual(self.place().worker.name, "w2")
        self.nominator.take_load("w2", 0, 1_600)
        self.assertNotEqual(self.place().worker.name, "w2")
        self.nominator.take_load("w2", 0, 0)
        self.nominator.take_start("w2", 1_600)
        self.assertNotEqual(self.place().worker.name, "w2", "another node's prefill")
        self.nominator.take_load("w2", 5, 0)
        self.assertNotEqual(self.place().worker.name, "w2", "over the bound of the load")

    def test_nothing_is_reused_or_fetched_that_is_not_current_tied_and_its_own(self) -> None:
        self.keep("w2")
        self.know(False)
        placement = self.place()
        self.assertEqual((placement.keys, placement.salt, placement.fetchFrom), ([], "job:j", None))
        self.know(True)
        self.listener.volumes["tenant:t", "l"].changing[2] = (b"t", self.bench.now())
        self.assertEqual(len(self.place().keys), 1, "the chain ends before a part that changes")
        self.listener.volumes["tenant:t", "l"].changing.clear()
        other = Tenant("other", [])
        self.listener.revision_of("tenant:other", "l", 1)
        self.listener.volumes["tenant:other", "l"].expiryMicros = 2**60
        placement = self.place(self.job(other))
        self.assertEqual((placement.reusedParts, placement.fetchFrom), (0, None), "another tenant's")
        self.index.copies.clear()
        self.keep("w2", weightsRevision=4)
        self.assertEqual((self.place().reusedParts, self.place().fetchFrom), (0, None), "other weights")
        self.keep("w2", life="another")
        self.assertEqual((self.place().reusedParts, self.place().fetchFrom), (0, None), "another life")

    def test_a_fetch_is_planned_only_where_it_is_quicker(self) -> None:
        self.keep("w2")
        self.nominator.take_load("w2", 5, 0)
        placement = self.place()
        assert placement.fetchFrom is not None
        self.assertEqual((placement.fetchFrom.name, placement.fetchParts), ("w2", 2))
        self.assertEqual(placement.fetchLimitMicros, 150_000)
        for _ in range(20):
            self.nominator.costs.take_fetch("w2", placement.worker.name, 1_000, 200_000)
        self.assertIsNone(self.place().fetchFrom, "a link that slowed down")

    def test_a_stores_list_counts_only_for_keys_that_a_tied_worker_made(self) -> None:
        keys = chain_keys("tenant:t", "l", 5, [(1, 1), (2, 1)])
        self.index.take_report("store", "s", 0, 9, keys, [], True)
        self.assertIsNone(self.place().fetchFrom)
        self.index.tie(self.view.loads["w1"], "life-w1", 9, keys)
        self.assertIsNone(self.place().fetchFrom, "told of before the load")
        self.index.tie(self.view.loads["w1"], "life-w1", 10, keys)
        fetchFrom = self.place().fetchFrom
        assert fetchFrom is not None
        self.assertEqual(fetchFrom.name, "store")

    def test_told_unsoundness_decides_only_while_others_are_left(self) -> None:
        self.keep("w2")
        self.nominator.take_unsound("w2")
        self.assertNotEqual(self.place().worker.name, "w2")
        self.nominator.take_unsound("w1")
        self.nominator.take_unsound("w3")
        self.assertEqual(self.place().worker.name, "w2", "a holder that is cut off tells all unsound")
        self.bench.nowMicros += TOLD_UNSOUND_MICROS
        self.assertEqual(self.place().worker.name, "w2")

    def test_a_job_that_can_not_begin_in_time_is_refused_at_once(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.nominator.take_load(worker, 0, 50_000)
        job = self.job()
        job.deadlineMicros = self.bench.now() + 4 * SECOND
        self.assertEqual(self.nominator.nominate(job).unwrap_err().kind, ErrorKind.OVERLOADED)

    def test_a_wrong_estimate_puts_itself_right_on_an_idle_worker(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.nominator.costs.take_stream("e", worker, 60 * SECOND)
        job = self.job()
        job.deadlineMicros = self.bench.now() + 4 * SECOND
        self.assertIn(self.nominator.nominate(job).unwrap().worker.name, ("w1", "w2", "w3"))
        for worker in ("w1", "w2", "w3"):
            self.nominator.begin(worker, 0)
        self.assertEqual(self.nominator.nominate(job).unwrap_err().kind, ErrorKind.OVERLOADED)

    def test_old_weights_serve_only_a_while_and_only_where_the_roll_out_was_seen(self) -> None:
        self.view.__dict__["weights"] = {"l": WeightsFact("y", 6)}
        self.assertEqual(self.nominator.nominate(self.job()).unwrap_err().kind, ErrorKind.NO_WORKER)
        keeper = self.nominator.keeper
        keeper.firstSeen["l", 6] = keeper.namedAfter["l", 6] = self.bench.now()
        self.assertEqual(self.place().worker.name, "w3", "the first wave is left alone")
        self.assertEqual(self.place().weightsName, "x")
        self.bench.nowMicros += 6 * SECOND
        self.view.__dict__["weights"] = {"l": WeightsFact("z", 7)}
        keeper.firstSeen["l", 7] = keeper.namedAfter["l", 7] = self.bench.now()
        self.assertEqual(self.place().weightsName, "x")
        self.bench.nowMicros += 2 * SECOND
        self.assertEqual(
            self.nominator.nominate(self.job()).unwrap_err().kind, ErrorKind.NO_WORKER, "a naming granted time anew"
        )
