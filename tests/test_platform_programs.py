"""The programs of `platform/` as processes: signals, exit status, metrics and log lines (docs/operating.md §6).

SIGHUP, which the platform sends when settings change, must not end a process. After SIGTERM a front node must still
answer requests that arrive while it drains. A metrics port in use must not stop a program; any
other address in use must end it with one clear line.
"""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request
from pathlib import Path
from typing import IO, Any

from prometheus_client.parser import text_string_to_metric_families

ROOT = Path(__file__).resolve().parent.parent
LOG_LINE_PATTERN = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z (INFO|WARNING|ERROR) [a-z_]+: [A-Z].*")
WAIT_SECONDS = 20.0


def fetch_status(address: str, path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
            return int(response.status)
    except urllib.error.HTTPError as refused:
        return refused.code


class ProgramsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.started = 0
        self.host = f"127.{random.randrange(20, 220)}.{random.randrange(250)}.{random.randrange(2, 250)}"

    def start(self, program: str, **settings: Any) -> tuple[subprocess.Popen[bytes], Path]:
        content = {
            "Ip": self.host,
            "Zone": "a",
            "PortRange": [7640, 7655],
            "SeedNodes": [f"{self.host}:8169"],
            **settings,
        }
        self.started += 1
        settings_path, log_path = self.folder / f"settings-{self.started}", self.folder / f"log-{self.started}"
        settings_path.write_text(json.dumps(content))
        log_file: IO[bytes] = log_path.open("wb")
        self.addCleanup(log_file.close)
        process = subprocess.Popen(
            [sys.executable, f"platform/{program}"],
            cwd=ROOT,
            stderr=log_file,
            env={**os.environ, "PEARHEAD_NODE_FILE": str(settings_path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, log_path

    def wait_for(self, log_path: Path, text: str) -> None:
        deadline_seconds = time.monotonic() + WAIT_SECONDS
        while text not in log_path.read_text():
            self.assertLess(time.monotonic(), deadline_seconds, log_path.read_text())
            time.sleep(0.05)

    def check_log(self, log_path: Path) -> None:
        for line in log_path.read_text().splitlines():
            self.assertRegex(line, LOG_LINE_PATTERN)

    def test_a_front_node_outlives_a_change_of_its_settings_and_drains(self) -> None:
        addresses = {"Front": f"{self.host}:8167", "Readiness": f"{self.host}:8162"}
        process, log_path = self.start(
            "run_router.py",
            Serves=["front"],
            BindAddresses=addresses,
            CloudApi={"Address": f"{self.host}:8161"},
        )
        self.wait_for(log_path, "router: Listens.")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertIsNone(process.poll())
        self.assertEqual(fetch_status(addresses["Readiness"], "/v1/readiness"), 503)
        self.assertEqual(fetch_status(addresses["Front"], "/x/"), 503)
        process.send_signal(signal.SIGTERM)
        self.wait_for(log_path, "daemon: Received a stop signal, draining.")
        self.assertEqual(fetch_status(addresses["Front"], "/x/"), 503, "requests are still answered while it drains")
        self.assertEqual(process.wait(WAIT_SECONDS), 0)
        self.check_log(log_path)

    def test_a_front_node_that_leaves_refuses_what_arrives_late_and_stays_answerable(self) -> None:
        addresses = {"Front": f"{self.host}:8167", "Readiness": f"{self.host}:8162"}
        process, log_path = self.start(
            "run_router.py", Serves=["front"], BindAddresses=addresses, CloudApi={"Address": f"{self.host}:8161"}
        )
        self.wait_for(log_path, "router: Listens.")
        late_connection = socket.create_connection((self.host, 8167), timeout=WAIT_SECONDS)
        self.addCleanup(late_connection.close)
        late_connection.sendall(b"GET /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: ")
        process.send_signal(signal.SIGTERM)
        signalled_seconds = time.monotonic()
        while self.is_listening(8167):
            self.assertLess(time.monotonic(), signalled_seconds + WAIT_SECONDS)
            time.sleep(0.05)
        self.assertGreater(time.monotonic() - signalled_seconds, 2.6, "the handover phase still accepts connections")
        self.assertEqual(fetch_status(addresses["Readiness"], "/v1/readiness"), 503)
        self.assertIsNone(process.poll(), "the head of a request has been read in part")
        late_connection.sendall(b"late-1\r\n\r\n")
        response = late_connection.makefile("rb").read()
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        for part in (b"Connection: close\r\n", b"X-Request-Id: late-1\r\n", b"Retry-After: 0.050\r\n", b'"draining"'):
            self.assertIn(part, response)
        self.assertEqual(process.wait(WAIT_SECONDS), 0)
        self.check_log(log_path)

    def is_listening(self, port: int) -> bool:
        try:
            socket.create_connection((self.host, port), timeout=WAIT_SECONDS).close()
        except ConnectionRefusedError:
            return False
        return True

    def test_a_core_outlives_a_change_of_its_settings_and_stops(self) -> None:
        data_folder = self.folder / "data"
        data_folder.mkdir()
        process, log_path = self.start(
            "run_control_plane.py",
            Serves=["control"],
            BindAddresses={"Control": f"{self.host}:8169"},
            DataDir=str(data_folder),
            FirstStart=True,
        )
        self.wait_for(log_path, "consensus: Became the leader.")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertIsNone(process.poll())
        self.assertEqual(fetch_status(f"{self.host}:8169", "/v1/config"), 404)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(WAIT_SECONDS), 0)
        self.check_log(log_path)

    def start_core(self) -> tuple[subprocess.Popen[bytes], Path]:
        data_folder = self.folder / "data"
        data_folder.mkdir()
        return self.start(
            "run_control_plane.py",
            Serves=["control"],
            BindAddresses={"Control": f"{self.host}:8169"},
            DataDir=str(data_folder),
            FirstStart=True,
        )

    def start_front(self) -> tuple[subprocess.Popen[bytes], Path]:
        addresses = {"Front": f"{self.host}:8167", "Readiness": f"{self.host}:8162"}
        return self.start("run_router.py", Serves=["front"], BindAddresses=addresses)

    def fetch_metrics(self) -> dict[str, float]:
        with urllib.request.urlopen(f"http://{self.host}:7655/metrics", timeout=2) as response:
            text = response.read().decode()
        families = text_string_to_metric_families(text)
        return {sample.name: sample.value for family in families for sample in family.samples}

    def test_a_core_tells_its_figures(self) -> None:
        _, log_path = self.start_core()
        self.wait_for(log_path, "consensus: Became the leader.")
        metrics = self.fetch_metrics()
        self.assertEqual(metrics["pearhead_raft_voters"], 1)
        self.assertGreaterEqual(metrics["pearhead_raft_term"], 1)

    def test_a_front_node_tells_its_figures_until_it_ends(self) -> None:
        process, log_path = self.start_front()
        self.wait_for(log_path, "router: Listens.")
        self.assertEqual(self.fetch_metrics()["pearhead_draining"], 0)
        fetch_status(f"{self.host}:8167", "/x/")
        process.send_signal(signal.SIGTERM)
        self.wait_for(log_path, "daemon: Received a stop signal, draining.")
        fetch_status(f"{self.host}:8167", "/x/")
        metrics = self.fetch_metrics()
        self.assertEqual(metrics["pearhead_draining"], 1)
        self.assertEqual(metrics["pearhead_requests_taken_total"], 2)
        self.assertEqual(metrics["pearhead_requests_taken_draining_total"], 1)
        self.assertEqual(process.wait(WAIT_SECONDS), 0)
        self.assertIn("router: The drain is over. open_before=0 taken=1 cut=0", log_path.read_text())
        self.check_log(log_path)

    def test_a_port_in_use_keeps_no_program_from_running(self) -> None:
        with socket.socket() as holder:
            holder.bind((self.host, 7655))
            holder.listen()
            process, log_path = self.start_front()
            self.wait_for(log_path, "router: Listens.")
            self.assertIn("daemon: The metrics can't be served.", log_path.read_text())
            self.assertEqual(fetch_status(f"{self.host}:8162", "/v1/readiness"), 503)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(WAIT_SECONDS), 0)
            self.check_log(log_path)

    def test_an_address_in_use_is_told_in_one_line(self) -> None:
        data_folder = self.folder / "data"
        data_folder.mkdir()
        settings: dict[str, Any] = {
            "Serves": ["control"],
            "BindAddresses": {"Control": f"{self.host}:8169"},
            "FirstStart": True,
        }
        _, log_path = self.start("run_control_plane.py", DataDir=str(data_folder), **settings)
        self.wait_for(log_path, "consensus: Became the leader.")
        other_folder = self.folder / "other"
        other_folder.mkdir()
        second, second_log = self.start("run_control_plane.py", DataDir=str(other_folder), **settings)
        self.assertEqual(second.wait(WAIT_SECONDS), 2)
        lines = second_log.read_text().splitlines()
        self.assertEqual(len(lines), 1, lines)
        self.assertIn("core: can't start:", lines[0])
