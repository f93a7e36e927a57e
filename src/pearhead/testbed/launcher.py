"""Launcher (§9.3): plays the platform on one machine: starts, stops, freezes and kills processes."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pearhead.testbed.deployment import DEPLOYMENTS, Deployment, description_text

READY_SECONDS = 60.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
OWN_COMMAND_MARKERS = (b"pearhead.", b"platform/run_")


class FreePortAllocator:
    """Loopback ports free for both TCP and UDP; all are held until each has been drawn."""

    def allocate(self, port_count: int) -> list[int]:
        held_sockets: list[socket.socket] = []
        port_numbers: list[int] = []
        while len(port_numbers) < port_count:
            stream_socket = socket.socket()
            stream_socket.bind(("127.0.0.1", 0))
            held_sockets.append(stream_socket)
            port_number = stream_socket.getsockname()[1]
            datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held_sockets.append(datagram_socket)
            try:
                datagram_socket.bind(("127.0.0.1", port_number))
            except OSError:
                continue
            port_numbers.append(port_number)
        for held_socket in held_sockets:
            held_socket.close()
        return port_numbers


class Launcher:
    def __init__(self, folder: str) -> None:
        self.folder_path = Path(folder).absolute()
        self.plan_path = self.folder_path / "fleet.json"
        self.plan: dict[str, Any] = {}
        if self.plan_path.exists():
            self.plan = json.loads(self.plan_path.read_text())

    # ---- the plan ----------------------------------------------------------------------------------

    def make_plan(self, deployment: Deployment, node_count: int, worker_count: int, core_count: int) -> None:
        self.folder_path.mkdir(parents=True, exist_ok=True)
        port_numbers = iter(FreePortAllocator().allocate(2 * (core_count + node_count) + worker_count + 2))

        def address() -> str:
            return f"127.0.0.1:{next(port_numbers)}"

        core_addresses = [address() for _ in range(core_count)]
        processes: dict[str, dict[str, Any]] = {}
        for number, core_address in enumerate(core_addresses):
            processes[f"core-{number + 1}"] = {
                "program": "control_plane",
                "address": core_address,
                "httpAddress": address(),
                "area": deployment.areas[number % 3],
                "seeds": core_addresses,
                "founders": core_addresses,
                "toleratedLosses": (core_count - 1) // 2,
                "dataFolder": str(self.folder_path / f"core-{number + 1}.data"),
            }
        for number in range(node_count):
            processes[f"node-{number + 1}"] = {
                "program": "router",
                "address": address(),
                "httpAddress": address(),
                "area": deployment.areas[number % 3],
                "seeds": core_addresses,
            }
        store_address = address()
        processes["store"] = {"program": "store", "httpAddress": store_address}
        processes["desk"] = {"program": "application", "httpAddress": address()}
        for number in range(worker_count):
            processes[f"worker-{number + 1}"] = {
                "program": "worker",
                "httpAddress": address(),
                "storeAddress": store_address,
                "area": deployment.areas[number % 3],
            }
        self.plan = {"deployment": deployment.name, "processes": processes, "ids": {}}
        (self.folder_path / "description.json").write_text(description_text(deployment))
        self._save_plan()

    def worker_list(self) -> list[dict[str, Any]]:
        services = {"worker": "models", "store": "kept-parts", "application": "desk"}
        return [
            {
                "name": name,
                "address": p["httpAddress"],
                "area": p.get("area", "middle"),
                "service": services[p["program"]],
                "leaving": False,
            }
            for name, p in self.plan["processes"].items()
            if p["program"] in services
        ]

    def addresses_of(self, program: str) -> list[str]:
        return [p["httpAddress"] for p in self.plan["processes"].values() if p["program"] == program]

    def _save_plan(self) -> None:
        self.plan_path.write_text(json.dumps(self.plan, indent=2))

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        process = self.plan["processes"][name]
        log_file = open(self.folder_path / f"{name}.log", "ab")  # noqa: SIM115 - the child keeps it
        program = process["program"]
        if program in ("control_plane", "router"):
            startup_path = self.folder_path / f"{name}.json"
            startup = {k: v for k, v in process.items() if k != "program"}
            startup_path.write_text(json.dumps(startup, indent=2))
            arguments = ["-m", f"pearhead.{program}.main", "run", "--startup", str(startup_path)]
        else:
            arguments = [
                "-m",
                "pearhead.testbed.main",
                "stand_in",
                program,
                process["httpAddress"],
                "--store",
                process.get("storeAddress", ""),
            ]
        started = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        log_file.close()
        self.plan["ids"][name] = started.pid
        self._save_plan()

    def send_signal(self, name: str, signal_number: int) -> bool:
        process_id = self.plan["ids"].get(name)
        if process_id is None or not self.is_alive(name):
            return False
        os.kill(process_id, signal_number)
        return True

    def is_alive(self, name: str) -> bool:
        process_id = self.plan["ids"].get(name)
        if process_id is None:
            return False
        try:
            os.waitpid(process_id, os.WNOHANG)
        except ChildProcessError:
            pass
        stat_path = Path(f"/proc/{process_id}")
        try:
            command_bytes = (stat_path / "cmdline").read_bytes()
            state_text = (stat_path / "stat").read_text().rsplit(")", 1)[1].split()[0]
        except (OSError, IndexError):
            return False
        # An id may have been given to another program since: only our own is ours to end.
        return any(mark in command_bytes for mark in OWN_COMMAND_MARKERS) and state_text != "Z"

    def stop(self, name: str) -> None:
        if not self.send_signal(name, signal.SIGTERM):
            return
        self.send_signal(name, signal.SIGCONT)
        end_seconds = time.monotonic() + STOP_SECONDS
        while self.is_alive(name) and time.monotonic() < end_seconds:
            time.sleep(POLL_SECONDS)
        self.send_signal(name, signal.SIGKILL)

    def up(self) -> None:
        for name in self.plan["processes"]:
            if not self.is_alive(name):
                self.start(name)

    def down(self) -> None:
        for name in self.plan["ids"]:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        for name in self.plan["ids"]:
            self.stop(name)

    # ---- waiting on what processes say -------------------------------------------------------------

    def destroy_core(self, name: str) -> None:
        """A core machine is gone with its disk; an empty one comes at a new address, with whoever lives as seeds."""
        self.send_signal(name, signal.SIGKILL)
        self.wait_until(lambda: not self.is_alive(name), f"{name} is gone")
        core = self.plan["processes"][name]
        shutil.rmtree(core["dataFolder"])
        core["address"], core["httpAddress"] = (
            f"127.0.0.1:{port_number}" for port_number in FreePortAllocator().allocate(2)
        )
        core["seeds"] = [
            p["address"] for n, p in self.plan["processes"].items() if p["program"] == "control_plane" and n != name
        ]
        self.start(name)

    def get(self, address: str, path: str) -> dict[str, Any] | None:
        try:
            with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
                return dict(json.load(response))
        except (OSError, ValueError):
            return None

    def post(self, address: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        request = urllib.request.Request(
            f"http://{address}{path}", json.dumps(body).encode(), {"Content-Type": "application/json"}
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return dict(json.load(response))
        except urllib.error.HTTPError as fault:
            return dict(json.loads(fault.read()))
        except OSError as fault:
            return {"status": "unavailable", "why": str(fault)}

    def command(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Asks the cores in turn until one takes the command."""
        given_result: dict[str, Any] = {}

        def is_taken() -> bool:
            nonlocal given_result
            for address in self.addresses_of("control_plane"):
                given_result = self.post(address, path, body)
                if given_result.get("status") != "unavailable":
                    return True
            return False

        self.wait_until(is_taken, f"a core that takes {path}")
        return given_result

    def set_up(self) -> None:
        """Gives the fleet its worker list and its description."""
        given_result = self.command("/workers", {"workers": self.worker_list()})
        if given_result.get("status") != "done":
            raise RuntimeError(f"the worker list was not taken: {given_result}")
        description = json.loads((self.folder_path / "description.json").read_text())
        given_result = self.command(
            "/apply", {"applyId": "first", "base": 0, "description": description, "by": "testbed"}
        )
        if given_result.get("status") not in ("done", "conflict"):
            raise RuntimeError(f"the description was not taken: {given_result}")

    def wait_until(self, is_reached: Callable[[], bool], what: str) -> None:
        end_seconds = time.monotonic() + READY_SECONDS
        while not is_reached():
            if time.monotonic() > end_seconds:
                raise RuntimeError(f"not in time: {what}")
            time.sleep(POLL_SECONDS)

    def wait_ready(self) -> None:
        """Ready: every node is current, and every worker is loaded on the present weights."""
        worker_count = sum(1 for p in self.plan["processes"].values() if p["program"] == "worker")

        def is_ready() -> bool:
            given_results = [self.get(a, "/soundness") for a in self.addresses_of("router")]
            return all(
                a
                and a["current"]
                and a["descriptionRevision"]
                and len(a["loads"]) == worker_count
                and set(a["loads"].values()) == set(a["weights"].values())
                for a in given_results
            )

        self.wait_until(is_ready, "every node current and every worker loaded")


def find_deployment(name: str) -> Deployment:
    if name not in DEPLOYMENTS:
        raise SystemExit(f"testbed: no deployment {name!r}; there are {', '.join(DEPLOYMENTS)}")
    return DEPLOYMENTS[name]
