"""The programs in platform/ as real processes inside the emulated platform, on a small site.

Kills, stops, new weights, configuration changes and losses of core machines happen during requests; afterwards no
rule of the platform may be broken, as seen by clients, workers and operators. The plan of a site is tested without
starting processes.
"""

from __future__ import annotations

import copy
import random
import shutil
import signal
import tempfile
import threading
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND, BootClock
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.checkers import find_breaches
from pearhead.testbed.emulator.client import CallReport
from pearhead.testbed.emulator.corefaults import MAX_CONCURRENT_CHANGES, CoreFaultInjector
from pearhead.testbed.emulator.launcher import ROOT, SiteLauncher
from pearhead.testbed.emulator.plan import SiteSize


@unittest.skipUnless((ROOT / "platform" / "run_router.py").exists(), "the platform's programs are not here")
class SmallSiteTest(unittest.TestCase):
    """Both tests share one site, because starting it takes most of the time."""

    folder: str
    launcher: SiteLauncher

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.mkdtemp()
        cls.addClassCleanup(shutil.rmtree, cls.folder)
        cls.launcher = SiteLauncher(cls.folder)
        cls.launcher.make_site(ACADEMY, SiteSize(cores=3, fronts=3, engines=3), seed=7)
        cls.addClassCleanup(cls.launcher.down)
        cls.launcher.up()
        cls.launcher.apply_initial_configuration()
        cls.launcher.wait_ready()

    def call_during(self, request_count: int, seed: int, work: Callable[[], None] = lambda: None) -> CallReport:
        held: list[CallReport] = []
        caller = threading.Thread(target=lambda: held.append(self.launcher.send_requests(request_count, 6, seed)))
        caller.start()
        work()
        caller.join()
        self.assertEqual(held[0].faults, [])
        return held[0]

    def call_until_served(self, request_count: int, seed: int) -> CallReport:
        """Sends batches until nine tenths of one are served, as a slow machine may refuse some requests."""
        report = CallReport()
        for batch in range(10):
            report = self.call_during(request_count, seed + batch)
            if report.outcomes["done"] >= 0.9 * request_count:
                return report
        self.fail(f"no batch was served: {report.outcomes}")

    def change_config(self) -> None:
        """Adds a route by name, replaces the configuration, and sends one on an old base and an invalid one."""
        launcher = self.launcher
        held = launcher.plan["config"]
        added = {**held["RouteTable"][0], "Name": "r-added", "Prefix": "/added/"}
        patch = {"Revision": held["Revision"] + 2, "Upsert": {"RouteTable": [added]}}
        self.assertEqual(launcher.patch(patch), 200)
        whole = copy.deepcopy(launcher.plan["config"])
        whole["Revision"] += 5
        whole["Tenants"][0]["Keys"] = whole["Tenants"][0]["Keys"] + ["k" * 20]
        self.assertEqual(launcher.put(whole), 200)
        late = launcher.put_on_base({**whole, "Revision": whole["Revision"] + 1}, held["Revision"])
        self.assertEqual(late, 412)
        bad = {**whole, "Revision": whole["Revision"] + 1}
        bad["RouteTable"] = [{**bad["RouteTable"][0], "Service": "nobody"}]
        self.assertEqual(launcher.put_on_base(bad, whole["Revision"], is_valid=False) // 100, 4)

    def versions_of(self) -> set[int]:
        return {v for v in (self.launcher.version_of(m.name) for m in self.launcher.site.machines_of("engine"))}

    def test_requests_weights_configurations_kills_and_stops(self) -> None:
        launcher = self.launcher
        self.call_until_served(60, 100)

        self.assertEqual(launcher.name_version(2) // 100, 2)
        self.call_during(60, 200)
        launcher.wait_until(lambda: self.versions_of() == {2}, "every worker on the new weights")

        self.change_config()
        self.call_until_served(40, 300)

        self.call_during(90, 400, lambda: self.kill("core-1"))
        self.call_during(90, 500, lambda: self.kill("front-1"))
        shares = dict.fromkeys(("cut", "lost", "late", "extra", "fails", "split"), 0.1)
        launcher.inject_worker_faults("engine-2", shares)
        self.call_during(90, 600, lambda: self.kill("engine-1"))
        launcher.inject_worker_faults("engine-2", dict.fromkeys(shares, 0.0))
        for name in ("core-1", "front-1", "engine-1"):
            launcher.start(name)
        launcher.wait_ready()
        self.call_until_served(60, 700)
        self.call_during(150, 800, lambda: launcher.stop("front-2"))
        launcher.start("front-2")
        launcher.wait_ready()
        self.call_during(240, 900, lambda: launcher.stop("engine-3"))
        self.assertEqual(launcher.read_config()["Revision"], launcher.plan["config"]["Revision"])
        ledger = launcher.ledger()
        self.assertEqual([b.line() for b in find_breaches(ledger)], [])
        self.assertGreater(len(ledger.uses), 0, "kept parts were used")
        self.assertGreater(len(ledger.orders), 0)
        lives = {life.prefix for life in ledger.lives}
        self.assertTrue(all(order.holder[:8] in lives for order in ledger.orders), "each holder's machine is known")
        self.assertNotIn("woken", {t.what for t in ledger.troubles}, "none was frozen, so planned stops are planned")
        self.assertEqual({s.state for s in ledger.shown}, {"ready", "draining", "gone"})
        # Proves that the checkers work on this ledger: they find a planted broken promise and a planted outdated part.
        run = ledger.runs[-1]
        attempt = ledger.tries_by_id()[run.request_id]
        ledger.record(replace(attempt, resumable=False, status=503))
        ledger.record(replace(ledger.uses[-1], made_version=99))
        self.assertEqual({b.rule for b in find_breaches(ledger)}, {"REFUSED", "STALE"})

    def test_stacked_losses_of_the_core(self) -> None:
        """No acknowledged change may be lost when losses of the core follow each other as fast as the rules allow.

        Lost answers, a planned replacement, a lost disk, all cores killed, and a disk lost while all are down; after
        each, the configuration read back is the newest acknowledged one.
        """
        cores = CoreFaultInjector(self.launcher)
        self.assertEqual(cores.change(lost_answers=2), 200)
        self.assertEqual(sorted(cores.change_from_two_operators(lost_answers=1)), [200, 412])
        self.assertEqual(
            sorted(cores.change_concurrently(lost_answers=1)), [200] + [412] * (MAX_CONCURRENT_CHANGES - 1)
        )
        self.assert_read_back()

        self.call_during(60, 1_000, lambda: self.take(cores.replace_planned("core-1", lead_seconds=1.0)))
        self.assertEqual(cores.change(lost_answers=1), 200)
        cores.settle()
        self.call_during(60, 1_100, lambda: cores.wipe("core-2"))
        self.assertEqual(cores.change(lost_answers=1), 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.change_then_kill_all()[0], 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.kill_all_during_change(after_seconds=0.01), 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.change_then_wipe("core-3", is_all_down=True)[0], 200)
        self.assert_read_back()

        self.call_until_served(40, 1_200)
        ledger = self.launcher.ledger()
        self.assertEqual([b.line() for b in find_breaches(ledger)], [])
        # Proves that the checkers work on this ledger: they find a planted refusal of a change acknowledged before.
        taken = next(t for t in reversed(ledger.config_tries) if t.status == 200)
        ledger.record(replace(taken, sent_at=taken.ended_at, ended_at=taken.ended_at + 1, status=412))
        self.assertEqual({b.rule for b in find_breaches(ledger)}, {"CONFIG"})

    def assert_read_back(self) -> None:
        """Checks that the configuration read back is the newest acknowledged one."""
        self.assertEqual(self.launcher.read_config().get("Revision"), self.launcher.plan["config"]["Revision"])

    def take(self, name: str) -> None:
        self.assertNotIn(name, ("core-1", "core-2", "core-3"))

    def kill(self, name: str) -> None:
        self.launcher.send_signal(name, signal.SIGKILL)
        self.launcher.wait_until(lambda: not self.launcher.is_alive(name), f"{name} is gone")


class NoSpawnLauncher(SiteLauncher):
    """Starts no processes, and takes the time from a clock that the test sets."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.clock = SetClock()

    def _spawn(self, name: str, settings_path: Path) -> int:
        return 0


class SetClock(BootClock):
    now_micros = 10 * SECOND

    def now(self) -> int:
        return self.now_micros


class PlanTest(unittest.TestCase):
    def test_a_new_core_machine_has_its_own_address_an_empty_disk_and_a_list_that_lags(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            launcher = NoSpawnLauncher(folder)
            self.addCleanup(launcher.release_block)
            launcher.make_site(ACADEMY, SiteSize(3, 1, 1), 1)
            self.assertTrue(launcher.settings_of("core-1")["FirstStart"])
            launcher.up()
            first = launcher.listed_control_addresses()
            Path(folder, "core-1.data", "log").write_text("entries")
            launcher.remove_core("core-1")
            self.assertEqual(launcher.add_core(), "core-4")
            launcher.clock.now_micros += SECOND  # type: ignore[attr-defined]
            settings = launcher.settings_of("core-4")
            self.assertFalse(settings["FirstStart"])
            self.assertEqual(settings["SeedNodes"], first)
            self.assertNotIn(settings["BindAddresses"]["Control"], first)
            self.assertEqual(list(Path(settings["DataDir"]).iterdir()), [])
            launcher.clock.now_micros += 3 * SECOND  # type: ignore[attr-defined]
            newest = [*first[1:], settings["BindAddresses"]["Control"]]
            self.assertEqual(launcher.settings_of("core-2")["SeedNodes"], newest)
            self.assertEqual(launcher.add_core(), "core-5", "a name that was used is not given again")
            self.assertFalse(Path(folder, "core-1.data").exists())
            self.assertNotIn("core-1", launcher.plan["processes"])
            told = [(t.name, t.what) for t in launcher.ledger().troubles][-3:]
            self.assertEqual(told, [("core-1", "wiped"), ("core-4", "started"), ("core-5", "started")])

    def test_a_site_without_its_programs_says_so(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            launcher = SiteLauncher(folder)
            self.addCleanup(launcher.release_block)
            launcher.make_site(ACADEMY, SiteSize(1, 1, 1), random.Random(1).randrange(9))
            held: dict[str, Any] = SiteLauncher(folder).plan
            self.assertEqual(held["interface"], "platform")
            self.assertEqual(list(held["processes"]), ["cloud", "store", "engine-1", "core-1", "front-1"])
            self.assertTrue(Path(folder, "fleet.json").exists())
