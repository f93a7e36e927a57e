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

from pearhead.jig.deployment import DEPLOYMENTS, Deployment, description_text

READY_SECONDS = 60.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
OWN_MARKS = (b"pearhead.", b"platform/run_")


class FreePorts:
    """Loopback ports free for both TCP and UDP; all are held until each has been drawn."""

    def draw(self, portCount: int) -> list[int]:
        heldSockets: list[socket.socket] = []
        portNumbers: list[int] = []
        while len(portNumbers) < portCount:
            streamSocket = socket.socket()
            streamSocket.bind(("127.0.0.1", 0))
            heldSockets.append(streamSocket)
            portNumber = streamSocket.getsockname()[1]
            castSocket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            heldSockets.append(castSocket)
            try:
                castSocket.bind(("127.0.0.1", portNumber))
            except OSError:
                continue
            portNumbers.append(portNumber)
        for heldSocket in heldSockets:
            heldSocket.close()
        return portNumbers


class Launcher:
    def __init__(self, folder: str) -> None:
        self.folderPath = Path(folder).absolute()
        self.planPath = self.folderPath / "fleet.json"
        self.plan: dict[str, Any] = {}
        if self.planPath.exists():
            self.plan = json.loads(self.planPath.read_text())

    # ---- the plan ----------------------------------------------------------------------------------

    def make_plan(self, deployment: Deployment, nodeCount: int, workerCount: int, coreCount: int) -> None:
        self.folderPath.mkdir(parents=True, exist_ok=True)
        portNumbers = iter(FreePorts().draw(2 * (coreCount + nodeCount) + workerCount + 2))

        def address() -> str:
            return f"127.0.0.1:{next(portNumbers)}"

        coreAddresses = [address() for _ in range(coreCount)]
        processes: dict[str, dict[str, Any]] = {}
        for number, coreAddress in enumerate(coreAddresses):
            processes[f"core-{number + 1}"] = {
                "program": "anvil", "address": coreAddress, "httpAddress": address(),
                "area": deployment.areas[number % 3], "seeds": coreAddresses, "founders": coreAddresses,
                "dataFolder": str(self.folderPath / f"core-{number + 1}.data"),
            }
        for number in range(nodeCount):
            processes[f"node-{number + 1}"] = {
                "program": "lathe", "address": address(), "httpAddress": address(),
                "area": deployment.areas[number % 3], "seeds": coreAddresses,
            }
        storeAddress = address()
        processes["store"] = {"program": "store", "httpAddress": storeAddress}
        processes["desk"] = {"program": "application", "httpAddress": address()}
        for number in range(workerCount):
            processes[f"worker-{number + 1}"] = {
                "program": "worker", "httpAddress": address(), "storeAddress": storeAddress,
                "area": deployment.areas[number % 3],
            }
        self.plan = {"deployment": deployment.name, "processes": processes, "ids": {}}
        (self.folderPath / "description.json").write_text(description_text(deployment))
        self._keep_plan()

    def worker_list(self) -> list[dict[str, Any]]:
        services = {"worker": "models", "store": "kept-parts", "application": "desk"}
        return [
            {"name": name, "address": p["httpAddress"], "area": p.get("area", "middle"),
             "service": services[p["program"]], "leaving": False}
            for name, p in self.plan["processes"].items() if p["program"] in services
        ]

    def addresses_of(self, program: str) -> list[str]:
        return [p["httpAddress"] for p in self.plan["processes"].values() if p["program"] == program]

    def _keep_plan(self) -> None:
        self.planPath.write_text(json.dumps(self.plan, indent=2))

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        process = self.plan["processes"][name]
        logFile = open(self.folderPath / f"{name}.log", "ab")  # noqa: SIM115 - the child keeps it
        program = process["program"]
        if program in ("anvil", "lathe"):
            startupPath = self.folderPath / f"{name}.json"
            startup = {k: v for k, v in process.items() if k != "program"}
            startupPath.write_text(json.dumps(startup, indent=2))
            arguments = ["-m", f"pearhead.{program}.main", "run", "--startup", str(startupPath)]
        else:
            arguments = ["-m", "pearhead.jig.main", "stand_in", program, process["httpAddress"],
                         "--store", process.get("storeAddress", "")]
        started = subprocess.Popen(
            [sys.executable, *arguments], stdout=logFile, stderr=logFile, stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        logFile.close()
        self.plan["ids"][name] = started.pid
        self._keep_plan()

    def send_signal(self, name: str, signalNumber: int) -> bool:
        processId = self.plan["ids"].get(name)
        if processId is None or not self.is_alive(name):
            return False
        os.kill(processId, signalNumber)
        return True

    def is_alive(self, name: str) -> bool:
        processId = self.plan["ids"].get(name)
        if processId is None:
            return False
        try:
            os.waitpid(processId, os.WNOHANG)
        except ChildProcessError:
            pass
        statPath = Path(f"/proc/{processId}")
        try:
            commandBytes = (statPath / "cmdline").read_bytes()
            stateText = (statPath / "stat").read_text().rsplit(")", 1)[1].split()[0]
        except (OSError, IndexError):
            return False
        # An id may have been given to another program since: only our own is ours to end.
        return any(mark in commandBytes for mark in OWN_MARKS) and stateText != "Z"

    def stop(self, name: str) -> None:
        if not self.send_signal(name, signal.SIGTERM):
            return
        self.send_signal(name, signal.SIGCONT)
        endSeconds = time.monotonic() + STOP_SECONDS
        while self.is_alive(name) and time.monotonic() < endSeconds:
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

    def lose_core(self, name: str) -> None:
        """A core machine is gone with its disk; an empty one comes at a new address, with whoever lives as seeds."""
        self.send_signal(name, signal.SIGKILL)
        self.wait_until(lambda: not self.is_alive(name), f"{name} is gone")
        core = self.plan["processes"][name]
        shutil.rmtree(core["dataFolder"])
        core["address"], core["httpAddress"] = (f"127.0.0.1:{portNumber}" for portNumber in FreePorts().draw(2))
        core["seeds"] = [
            p["address"] for n, p in self.plan["processes"].items() if p["program"] == "anvil" and n != name
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
        givenResult: dict[str, Any] = {}

        def is_taken() -> bool:
            nonlocal givenResult
            for address in self.addresses_of("anvil"):
                givenResult = self.post(address, path, body)
                if givenResult.get("status") != "unavailable":
                    return True
            return False

        self.wait_until(is_taken, f"a core that takes {path}")
        return givenResult

    def set_up(self) -> None:
        """Gives the fleet its worker list and its description."""
        givenResult = self.command("/workers", {"workers": self.worker_list()})
        if givenResult.get("status") != "done":
            raise RuntimeError(f"the worker list was not taken: {givenResult}")
        description = json.loads((self.folderPath / "description.json").read_text())
        givenResult = self.command(
            "/apply", {"applyId": "first", "base": 0, "description": description, "by": "jig"}
        )
        if givenResult.get("status") not in ("done", "conflict"):
            raise RuntimeError(f"the description was not taken: {givenResult}")

    def wait_until(self, isReached: Callable[[], bool], what: str) -> None:
        endSeconds = time.monotonic() + READY_SECONDS
        while not isReached():
            if time.monotonic() > endSeconds:
                raise RuntimeError(f"not in time: {what}")
            time.sleep(POLL_SECONDS)

    def wait_ready(self) -> None:
        """Ready: every node is current, and every worker is loaded on the present weights."""
        workerCount = sum(1 for p in self.plan["processes"].values() if p["program"] == "worker")

        def is_ready() -> bool:
            givenResults = [self.get(a, "/soundness") for a in self.addresses_of("lathe")]
            return all(
                a and a["current"] and a["descriptionRevision"] and len(a["loads"]) == workerCount
                and set(a["loads"].values()) == set(a["weights"].values())
                for a in givenResults
            )

        self.wait_until(is_ready, "every node current and every worker loaded")


def deployment_named(name: str) -> Deployment:
    if name not in DEPLOYMENTS:
        raise SystemExit(f"jig: no deployment {name!r}; there are {', '.join(DEPLOYMENTS)}")
    return DEPLOYMENTS[name]
