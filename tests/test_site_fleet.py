"""The programs behind platform/ as real processes inside the emulated platform: a small fleet, and the rules' names."""

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
from pearhead.testbed.emulator.corestrikes import MOST_ORDERS, CoreStrikes
from pearhead.testbed.emulator.launcher import ROOT, SiteLauncher
from pearhead.testbed.emulator.plan import SiteSize


@unittest.skipUnless((ROOT / "platform" / "run_router.py").exists(), "the platform's programs are not here")
class SmallSiteTest(unittest.TestCase):
    """One site for the whole story, as starting it is the costly part."""

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
        cls.launcher.set_up()
        cls.launcher.wait_ready()

    def call_beside(self, request_count: int, seed: int, work: Callable[[], None] = lambda: None) -> CallReport:
        held: list[CallReport] = []
        caller = threading.Thread(target=lambda: held.append(self.launcher.call(request_count, 6, seed)))
        caller.start()
        work()
        caller.join()
        self.assertEqual(held[0].faults, [])
        return held[0]

    def call_until_most(self, request_count: int, seed: int) -> CallReport:
        """Batches until nine tenths of one are done: a slow machine may refuse some."""
        report = CallReport()
        for batch in range(10):
            report = self.call_beside(request_count, seed + batch)
            if report.outcomes["done"] >= 0.9 * request_count:
                return report
        self.fail(f"no batch was served: {report.outcomes}")

    def change_config(self) -> None:
        """A route goes, another comes, by name; then a whole configuration on top of it; then one on an old base."""
        launcher = self.launcher
        held = launcher.plan["config"]
        added = {**held["RouteTable"][0], "Name": "r-added", "Prefix": "/added/"}
        patch = {"Revision": held["Revision"] + 2, "Upsert": {"RouteTable": [added]}}
        self.assertEqual(launcher.patch(patch), 200)
        whole = copy.deepcopy(launcher.plan["config"])
        whole["Revision"] += 5
        whole["Tenants"][0]["Keys"] = whole["Tenants"][0]["Keys"] + ["k" * 20]
        self.assertEqual(launcher.put(whole), 200)
        late = launcher.put_on({**whole, "Revision": whole["Revision"] + 1}, held["Revision"])
        self.assertEqual(late, 412)
        bad = {**whole, "Revision": whole["Revision"] + 1}
        bad["RouteTable"] = [{**bad["RouteTable"][0], "Service": "nobody"}]
        self.assertEqual(launcher.put_on(bad, whole["Revision"], is_valid=False) // 100, 4)

    def versions_of(self) -> set[int]:
        return {v for v in (self.launcher.version_of(m.name) for m in self.launcher.site.of("engine"))}

    def test_requests_weights_configurations_kills_and_stops(self) -> None:
        launcher = self.launcher
        self.call_until_most(60, 100)

        self.assertEqual(launcher.name_version(2) // 100, 2)
        self.call_beside(60, 200)
        launcher.wait_until(lambda: self.versions_of() == {2}, "every worker on the new weights")

        self.change_config()
        self.call_until_most(40, 300)

        self.call_beside(90, 400, lambda: self.kill("core-1"))
        self.call_beside(90, 500, lambda: self.kill("front-1"))
        launcher.command_worker("engine-2", {"cut": 0.1, "lost": 0.1, "late": 0.1, "extra": 0.1, "fails": 0.1})
        self.call_beside(90, 600, lambda: self.kill("engine-1"))
        launcher.command_worker("engine-2", dict.fromkeys(("cut", "lost", "late", "extra", "fails"), 0.0))
        for name in ("core-1", "front-1", "engine-1"):
            launcher.start(name)
        launcher.wait_ready()
        self.call_until_most(60, 700)
        self.call_beside(150, 800, lambda: launcher.stop("front-2"))
        launcher.start("front-2")
        launcher.wait_ready()
        self.call_beside(240, 900, lambda: launcher.stop("engine-3"))
        self.assertEqual(launcher.read_config()["Revision"], launcher.plan["config"]["Revision"])
        ledger = launcher.ledger()
        self.assertEqual([b.line() for b in find_breaches(ledger)], [])
        self.assertGreater(len(ledger.uses), 0, "kept parts were used")
        self.assertGreater(len(ledger.orders), 0)
        lives = {life.prefix for life in ledger.lives}
        self.assertTrue(all(order.holder[:8] in lives for order in ledger.orders), "each holder's machine is known")
        self.assertNotIn("woken", {t.what for t in ledger.troubles}, "none was frozen, so planned stops are planned")
        self.assertEqual({s.state for s in ledger.shown}, {"ready", "draining", "gone"})
        # The checkers do see this ledger: a promise that was broken, and a part of another tenant, are told.
        run = ledger.runs[-1]
        asked = ledger.try_of()[run.request_id]
        ledger.take(replace(asked, resumable=False, status=503))
        ledger.take(replace(ledger.uses[-1], made_version=99))
        self.assertEqual({b.rule for b in find_breaches(ledger)}, {"REFUSED", "STALE"})

    def test_stacked_losses_of_the_core(self) -> None:
        """Lost answers, a planned replacement, a lost disk, all killed, a disk lost with all down; a read back each."""
        cores = CoreStrikes(self.launcher)
        self.assertEqual(cores.change(lost_answers=2), 200)
        self.assertEqual(sorted(cores.two_operators(lost_answers=1)), [200, 412])
        self.assertEqual(sorted(cores.several_orders(lost_answers=1)), [200] + [412] * (MOST_ORDERS - 1))
        self.assert_read_back()

        self.call_beside(60, 1_000, lambda: self.take(cores.replace_planned("core-1", lead_seconds=1.0)))
        self.assertEqual(cores.change(lost_answers=1), 200)
        cores.settle()
        self.call_beside(60, 1_100, lambda: cores.wipe("core-2"))
        self.assertEqual(cores.change(lost_answers=1), 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.close_by_kill()[0], 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.close_soon_after_sending(after_seconds=0.01), 200)
        self.assert_read_back()
        cores.settle()
        self.assertEqual(cores.close_by_wipe("core-3", is_all_down=True)[0], 200)
        self.assert_read_back()

        self.call_until_most(40, 1_200)
        ledger = self.launcher.ledger()
        self.assertEqual([b.line() for b in find_breaches(ledger)], [])
        # The checkers do see this ledger: a change that was taken, and is refused when it is sent again, is told.
        taken = next(t for t in reversed(ledger.config_tries) if t.status == 200)
        ledger.take(replace(taken, sent_at=taken.ended_at, ended_at=taken.ended_at + 1, status=412))
        self.assertEqual({b.rule for b in find_breaches(ledger)}, {"CONFIG"})

    def assert_read_back(self) -> None:
        """What is read is the newest that was acknowledged."""
        self.assertEqual(self.launcher.read_config().get("Revision"), self.launcher.plan["config"]["Revision"])

    def take(self, name: str) -> None:
        self.assertNotIn(name, ("core-1", "core-2", "core-3"))

    def kill(self, name: str) -> None:
        self.launcher.send_signal(name, signal.SIGKILL)
        self.launcher.wait_until(lambda: not self.launcher.is_alive(name), f"{name} is gone")


class StillLauncher(SiteLauncher):
    """Starts nothing, at a moment that the test sets."""

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
            launcher = StillLauncher(folder)
            self.addCleanup(launcher.release_block)
            launcher.make_site(ACADEMY, SiteSize(3, 1, 1), 1)
            self.assertTrue(launcher.settings_of("core-1")["FirstStart"])
            launcher.up()
            first = launcher.listed_controls()
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
