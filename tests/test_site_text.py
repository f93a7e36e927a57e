"""Odd text in a configuration on a small emulated site with real processes, as an operator's own tools send it."""

from __future__ import annotations

import asyncio
import copy
import json
import shutil
import signal
import tempfile
import unittest
from collections import Counter
from typing import Any

from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.checkers import find_breaches
from pearhead.testbed.emulator.launcher import ROOT, SiteLauncher
from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.plan import CONTROL_PORT, SiteSize
from pearhead.testbed.emulator.raw_http import RawResponse, send_request

MALAYALAM_NAME = "കൊച്ചി സ്കൂൾ"
HALF_PAIR_NAME = "fan-app \ud83d"
REQUEST_COUNT = 40


@unittest.skipUnless((ROOT / "platform" / "run_router.py").exists(), "the platform's programs are not here")
class OddTextTest(unittest.TestCase):
    """Acks: one odd name ended all orders for good. Starved: a Malayalam name, all answers to its tenant."""

    launcher: SiteLauncher

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.mkdtemp()
        cls.addClassCleanup(shutil.rmtree, folder)
        cls.launcher = SiteLauncher(folder)
        cls.launcher.make_site(ACADEMY, SiteSize(cores=3, fronts=2, engines=2), seed=34)
        cls.addClassCleanup(cls.launcher.down)
        cls.launcher.up()
        cls.launcher.apply_initial_configuration()
        cls.launcher.wait_ready()

    def send_to_core(self, method: str, path: str, body: dict[str, Any], base: int = 0) -> RawResponse | None:
        """Sends an order to one core only, not by way of the emulator's own operator."""
        control = self.launcher.site.addresses("control_plane", CONTROL_PORT)[0]
        headers = {"If-Match": str(base)}
        return asyncio.run(send_request(control, method, path, json.dumps(body).encode(), headers))

    def serve_all(self) -> SiteLedger:
        """Sends requests of all tenants until nearly all of a batch are served; returns the ledger."""
        for batch in range(10):
            report = self.launcher.send_requests(REQUEST_COUNT, 6, batch)
            self.assertEqual(report.faults, [])
            if report.outcomes["done"] >= 0.9 * REQUEST_COUNT:
                return self.launcher.ledger()
        self.fail(f"no batch was served: {report.outcomes}")

    def test_orders_are_acknowledged_and_a_malayalam_name_is_served(self) -> None:
        launcher = self.launcher
        base = launcher.plan["config"]["Revision"]
        odd = {"Name": HALF_PAIR_NAME, "Keys": ["0123456789abcdefghij"], "Urgency": 1, "Isolated": True}
        refused = self.send_to_core("PATCH", "/v1/config", {"Revision": base + 1, "Upsert": {"Tenants": [odd]}}, base)
        assert refused is not None, "Acks: the order got no answer"
        self.assertEqual(refused.head.status, 400)

        changed = copy.deepcopy(launcher.plan["config"])
        changed["Revision"] = base + 2
        changed["Tenants"][0]["Name"] = MALAYALAM_NAME
        changed["Services"][0]["Engine"]["Models"].append({"Name": MALAYALAM_NAME})
        self.assertEqual(launcher.put(changed), 200)
        self.assertEqual(launcher.read_config()["Tenants"][0]["Name"], MALAYALAM_NAME)

        named = self.send_to_core("POST", "/v1/version-put", {"Model": launcher.site.model, "Revision": 2})
        assert named is not None, "Acks: the naming of weights got no answer"
        self.assertEqual(named.head.status, 200)
        workers = [machine.name for machine in launcher.site.machines_of("engine")]
        launcher.wait_until(lambda: {launcher.version_of(name) for name in workers} == {2}, "weights named by hand")
        self.assert_served()

        cores = [machine.name for machine in launcher.site.machines_of("control_plane")]
        for name in cores:
            launcher.send_signal(name, signal.SIGKILL)
        launcher.wait_until(lambda: not any(map(launcher.is_alive, cores)), "the cores have ended")
        for name in cores:
            launcher.start(name)
        self.assertEqual(
            launcher.put({**changed, "Revision": base + 4}), 200, "acknowledged after a restart of all cores"
        )
        self.assert_served()

    def assert_served(self) -> None:
        ledger = self.serve_all()
        self.assertEqual([breach.line() for breach in find_breaches(ledger)], [])
        runs = Counter(run.tenant for run in ledger.runs)
        self.assertGreater(runs[MALAYALAM_NAME], 0, f"Starved: workers ran {runs}")
