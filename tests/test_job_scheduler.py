"""JobScheduler: which worker runs a job, and from which worker or store it fetches parts."""

from __future__ import annotations

import random
import unittest

from pearhead.config.description import CapabilityEntry, Description, Limits, ModelLine, Service, Tenant
from pearhead.config.view import LoadRecord, View, WeightsRecord, WorkerRecord
from pearhead.discovery.directory import Directory
from pearhead.invalidation.cache_keys import chain_keys
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.copy_index import CopyIndex
from pearhead.router.errors import ErrorKind
from pearhead.router.job import Job, JobRequest, Placement, PrefixPart
from pearhead.router.job_scheduler import REPORTED_UNHEALTHY_MICROS, JobScheduler
from pearhead.router.view_replica import ViewReplica
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Record
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime


class NominatorTest(unittest.TestCase):
    """Three workers on weights of revision 5, a store, and jobs of a tenant with prefix parts 1 and 2."""

    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        rpc_endpoint = RpcEndpoint("me", "a:1", self.runtime, self.runtime)
        directory = Directory(Record(identity="me"), ["s:1"], rpc_endpoint, self.runtime, random.Random(1))
        task_group = BackgroundTaskGroup("t")
        view_replica = ViewReplica(rpc_endpoint, directory, self.runtime, random.Random(1), task_group, SECOND)
        self.listener = RevisionListener(
            rpc_endpoint, directory, self.runtime, random.Random(1), task_group, 30 * SECOND
        )
        self.index = CopyIndex()
        self.scheduler = JobScheduler(view_replica, self.listener, self.index, self.runtime, 8 * SECOND)
        names = ("w1", "w2", "w3")
        self.view = View()
        self.entry = CapabilityEntry("e", "l", ["*"], ["k"], "models")
        services = [Service("models", "model"), Service("kept", "store")]
        self.view.__dict__.update(
            description=Description([ModelLine("l", "x")], services, [self.entry], [], Limits()),
            workers={n: WorkerRecord(n, n, "z", "models", False) for n in names}
            | {"store": WorkerRecord("store", "store", "z", "kept", False)},
            loads={n: LoadRecord("l", f"life-{n}", 1, 5, 10, "x") for n in names},
            weights={"l": WeightsRecord("x", 5)},
        )
        view_replica.view = self.view
        self.set_revisions_known(True)

    def set_revisions_known(self, is_known: bool) -> None:
        self.listener.revision_of("tenant:t", "l", 1)
        self.listener.volumes["tenant:t", "l"].expiry_micros = 2**60 if is_known else 0

    def job(self, tenant: Tenant | None = None) -> Job:
        request = JobRequest("l", "k", "b", [PrefixPart(1, 500), PrefixPart(2, 1_000)])
        return Job(request, "j", 0, self.view, 2**60, tenant or Tenant("t", []), self.entry)

    def report_cached(self, worker: str, length: int = 2, weights_revision: int = 5, life: str = "") -> None:
        keys = chain_keys("tenant:t", "l", weights_revision, [(1, 1), (2, 1)])[:length]
        self.index.apply_cache_report(worker, life or f"life-{worker}", 10, 12, keys, [], False)
        self.index.record_verified_keys(self.view.loads.get(worker), life or f"life-{worker}", 10, keys)

    def place(self, job: Job | None = None) -> Placement:
        return self.scheduler.schedule_job(job or self.job()).unwrap()

    def test_the_keeper_is_chosen_until_its_wait_outgrows_the_prefill(self) -> None:
        self.report_cached("w2")
        self.assertEqual((self.place().worker.name, self.place().cached_part_count), ("w2", 2))
        self.scheduler.record_load_report("w2", 0, 1_400)
        self.assertEqual(self.place().worker.name, "w2")
        self.scheduler.record_load_report("w2", 0, 1_600)
        self.assertNotEqual(self.place().worker.name, "w2")
        self.scheduler.record_load_report("w2", 0, 0)
        self.scheduler.record_remote_start("w2", 1_600)
        self.assertNotEqual(self.place().worker.name, "w2", "another node's prefill")
        self.scheduler.record_load_report("w2", 5, 0)
        self.assertNotEqual(self.place().worker.name, "w2", "over the load limit")

    def test_nothing_is_reused_or_fetched_that_is_not_current_tied_and_its_own(self) -> None:
        self.report_cached("w2")
        self.set_revisions_known(False)
        placement = self.place()
        self.assertEqual((placement.keys, placement.salt, placement.fetch_from), ([], "job:j", None))
        self.set_revisions_known(True)
        self.listener.volumes["tenant:t", "l"].changing[2] = (b"t", self.runtime.now())
        self.assertEqual(len(self.place().keys), 1, "the chain ends before a part that changes")
        self.listener.volumes["tenant:t", "l"].changing.clear()
        other = Tenant("other", [])
        self.listener.revision_of("tenant:other", "l", 1)
        self.listener.volumes["tenant:other", "l"].expiry_micros = 2**60
        placement = self.place(self.job(other))
        self.assertEqual((placement.cached_part_count, placement.fetch_from), (0, None), "another tenant's")
        self.index.copies.clear()
        self.report_cached("w2", weights_revision=4)
        self.assertEqual((self.place().cached_part_count, self.place().fetch_from), (0, None), "other weights")
        self.report_cached("w2", life="another")
        self.assertEqual((self.place().cached_part_count, self.place().fetch_from), (0, None), "another life")

    def test_a_fetch_is_planned_only_where_it_is_quicker(self) -> None:
        self.report_cached("w2")
        self.scheduler.record_load_report("w2", 5, 0)
        placement = self.place()
        assert placement.fetch_from is not None
        self.assertEqual((placement.fetch_from.name, placement.fetch_parts), ("w2", 2))
        self.assertEqual(placement.fetch_limit_micros, 150_000)
        for _ in range(20):
            self.scheduler.costs.record_fetch("w2", placement.worker.name, 1_000, 200_000)
        self.assertIsNone(self.place().fetch_from, "the link has slowed down")

    def test_a_stores_list_counts_only_for_keys_that_a_tied_worker_made(self) -> None:
        keys = chain_keys("tenant:t", "l", 5, [(1, 1), (2, 1)])
        self.index.apply_cache_report("store", "s", 0, 9, keys, [], True)
        self.assertIsNone(self.place().fetch_from)
        self.index.record_verified_keys(self.view.loads["w1"], "life-w1", 9, keys)
        self.assertIsNone(self.place().fetch_from, "reported as cached before the load")
        self.index.record_verified_keys(self.view.loads["w1"], "life-w1", 10, keys)
        fetch_from = self.place().fetch_from
        assert fetch_from is not None
        self.assertEqual(fetch_from.name, "store")

    def test_told_unsoundness_decides_only_while_others_are_left(self) -> None:
        self.report_cached("w2")
        self.scheduler.record_reported_unhealthy("w2")
        self.assertNotEqual(self.place().worker.name, "w2")
        self.scheduler.record_reported_unhealthy("w1")
        self.scheduler.record_reported_unhealthy("w3")
        self.assertEqual(self.place().worker.name, "w2", "a lease holder that is cut off reports all workers unhealthy")
        self.runtime.now_micros += REPORTED_UNHEALTHY_MICROS
        self.assertEqual(self.place().worker.name, "w2")

    def test_a_job_that_can_not_begin_in_time_is_refused_at_once(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.scheduler.record_load_report(worker, 0, 50_000)
        job = self.job()
        job.deadlineMicros = self.runtime.now() + 4 * SECOND
        self.assertEqual(self.scheduler.schedule_job(job).unwrap_err().kind, ErrorKind.OVERLOADED)

    def test_a_wrong_estimate_puts_itself_right_on_an_idle_worker(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.scheduler.costs.record_stream("e", worker, 60 * SECOND)
        job = self.job()
        job.deadlineMicros = self.runtime.now() + 4 * SECOND
        self.assertIn(self.scheduler.schedule_job(job).unwrap().worker.name, ("w1", "w2", "w3"))
        for worker in ("w1", "w2", "w3"):
            self.scheduler.begin(worker, 0)
        self.assertEqual(self.scheduler.schedule_job(job).unwrap_err().kind, ErrorKind.OVERLOADED)

    def test_old_weights_serve_only_a_while_and_only_where_the_roll_out_was_seen(self) -> None:
        self.view.__dict__["weights"] = {"l": WeightsRecord("y", 6)}
        self.assertEqual(self.scheduler.schedule_job(self.job()).unwrap_err().kind, ErrorKind.NO_WORKER)
        view_replica = self.scheduler.view_replica
        view_replica.first_seen_micros["l", 6] = view_replica.not_acknowledged_before["l", 6] = self.runtime.now()
        self.assertEqual(self.place().worker.name, "w3", "workers of the first wave get no jobs")
        self.assertEqual(self.place().weights_name, "x")
        self.runtime.now_micros += 6 * SECOND
        self.view.__dict__["weights"] = {"l": WeightsRecord("z", 7)}
        view_replica.first_seen_micros["l", 7] = view_replica.not_acknowledged_before["l", 7] = self.runtime.now()
        self.assertEqual(self.place().weights_name, "x")
        self.runtime.now_micros += 2 * SECOND
        self.assertEqual(
            self.scheduler.schedule_job(self.job()).unwrap_err().kind,
            ErrorKind.NO_WORKER,
            "a later naming extended the grace period",
        )
