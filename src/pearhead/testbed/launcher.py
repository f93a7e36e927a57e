"""Process launcher (§9.3), in place of the platform: starts, stops, freezes and kills a fleet on one machine."""

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
PLAN_FILE = "fleet.json"
OWN_COMMAND_MARKERS = (b"pearhead.", b"platform/run_")


class FreePortAllocator:
    """Finds loopback ports that are free for both TCP and UDP."""

    def allocate(self, port_count: int) -> list[int]:
        """`port_count` different ports. All stay bound until the last is found, so that none is returned twice.

        They are free on return; another program may still take one before the caller does.
        """
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
    """A fleet of processes in a folder, which later commands find again by the plan in `fleet.json`.

    `plan` holds the deployment's name, the settings of each process by its name, and their process ids once they run.
    """

    def __init__(self, folder: str) -> None:
        self.folder_path = Path(folder).absolute()
        self.plan_path = self.folder_path / PLAN_FILE
        self.plan: dict[str, Any] = {}
        if self.plan_path.exists():
            self.plan = json.loads(self.plan_path.read_text())

    # ---- the plan ----------------------------------------------------------------------------------

    def make_plan(self, deployment: Deployment, node_count: int, worker_count: int, core_count: int) -> None:
        """Plans a new fleet: addresses and settings of all processes, and the description; starts nothing."""
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
        """The workers, the store and the application service, as the cores take them at `/workers`."""
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
        """The HTTP addresses of all processes of a program, running or not."""
        return [p["httpAddress"] for p in self.plan["processes"].values() if p["program"] == program]

    def _save_plan(self) -> None:
        self.plan_path.write_text(json.dumps(self.plan, indent=2))

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a process; its output is appended to `<name>.log` in the folder."""
        process = self.plan["processes"][name]
        log_file = open(self.folder_path / f"{name}.log", "ab")  # noqa: SIM115 - the child writes to it
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
        child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        log_file.close()
        self.plan["ids"][name] = child.pid
        self._save_plan()

    def send_signal(self, name: str, signal_number: int) -> bool:
        """Sends a signal to a process; False if it is not running."""
        process_id = self.plan["ids"].get(name)
        if process_id is None or not self.is_alive(name):
            return False
        os.kill(process_id, signal_number)
        return True

    def is_alive(self, name: str) -> bool:
        """Whether a process runs or is frozen. Reaps it if it is a child of this process and has ended."""
        process_id = self.plan["ids"].get(name)
        if process_id is None:
            return False
        try:
            os.waitpid(process_id, os.WNOHANG)
        except ChildProcessError:
            pass
        proc_path = Path(f"/proc/{process_id}")
        try:
            command_bytes = (proc_path / "cmdline").read_bytes()
            process_state = (proc_path / "stat").read_text().rsplit(")", 1)[1].split()[0]
        except (OSError, IndexError):
            return False
        # The kernel may have given the id to another program since; only processes of this project may be signalled.
        return any(marker in command_bytes for marker in OWN_COMMAND_MARKERS) and process_state != "Z"

    def stop(self, name: str) -> None:
        """Ends a process with SIGTERM, also a frozen one, and with SIGKILL if it still runs after `STOP_SECONDS`."""
        if not self.send_signal(name, signal.SIGTERM):
            return
        self.send_signal(name, signal.SIGCONT)
        deadline_seconds = time.monotonic() + STOP_SECONDS
        while self.is_alive(name) and time.monotonic() < deadline_seconds:
            time.sleep(POLL_SECONDS)
        self.send_signal(name, signal.SIGKILL)

    def up(self) -> None:
        """Starts every process that is not running."""
        for name in self.plan["processes"]:
            if not self.is_alive(name):
                self.start(name)

    def down(self) -> None:
        """Stops every process; all are signalled first, so that they end at the same time."""
        for name in self.plan["ids"]:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        for name in self.plan["ids"]:
            self.stop(name)

    # ---- commands to processes, and waiting for their state ----------------------------------------

    def destroy_core(self, name: str) -> None:
        """Simulates the loss of a core with its disk, and its replacement by an empty one at a new address.

        The other cores become its seeds.
        """
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
        """The JSON object at a path of a process; None for an HTTP error, no answer within 2 s, or another body."""
        try:
            with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
                return dict(json.load(response))
        except (OSError, ValueError):
            return None

    def post(self, address: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Posts a JSON object and returns the answer, also that of an HTTP error.

        The status is "unavailable" when the process can't be reached. Raises ValueError when the answer is not JSON.
        """
        request = urllib.request.Request(
            f"http://{address}{path}", json.dumps(body).encode(), {"Content-Type": "application/json"}
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return dict(json.load(response))
        except urllib.error.HTTPError as error:
            return dict(json.loads(error.read()))
        except OSError as error:
            return {"status": "unavailable", "why": str(error)}

    def command(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Sends a command to one core after another until one answers other than "unavailable".

        Raises RuntimeError when none has after `READY_SECONDS`.
        """
        answer: dict[str, Any] = {}

        def is_answered() -> bool:
            nonlocal answer
            for address in self.addresses_of("control_plane"):
                answer = self.post(address, path, body)
                if answer.get("status") != "unavailable":
                    return True
            return False

        self.wait_until(is_answered, f"a core that takes {path}")
        return answer

    def apply_initial_configuration(self) -> None:
        """Gives the fleet its worker list, and its first description unless it has one already.

        Raises RuntimeError when the cores refuse one of them.
        """
        answer = self.command("/workers", {"workers": self.worker_list()})
        if answer.get("status") != "done":
            raise RuntimeError(f"the cores did not accept the worker list: {answer}")
        description = json.loads((self.folder_path / "description.json").read_text())
        answer = self.command("/apply", {"applyId": "first", "base": 0, "description": description, "by": "testbed"})
        if answer.get("status") not in ("done", "conflict"):
            raise RuntimeError(f"the cores did not accept the description: {answer}")

    def wait_until(self, is_reached: Callable[[], bool], what: str) -> None:
        """Polls until `is_reached` holds. Raises RuntimeError, which names `what`, after `READY_SECONDS`."""
        deadline_seconds = time.monotonic() + READY_SECONDS
        while not is_reached():
            if time.monotonic() > deadline_seconds:
                raise RuntimeError(f"timed out waiting for: {what}")
            time.sleep(POLL_SECONDS)

    def wait_ready(self) -> None:
        """Waits until every node has a current view and reports every worker loaded with the weights in force."""
        worker_count = sum(1 for p in self.plan["processes"].values() if p["program"] == "worker")

        def is_ready() -> bool:
            node_states = [self.get(address, "/soundness") for address in self.addresses_of("router")]
            return all(
                state
                and state["current"]
                and state["descriptionRevision"]
                and len(state["loads"]) == worker_count
                and set(state["loads"].values()) == set(state["weights"].values())
                for state in node_states
            )

        self.wait_until(is_ready, "every node current and every worker loaded")


def find_deployment(name: str) -> Deployment:
    """The example deployment of this name; ends the program when there is none."""
    if name not in DEPLOYMENTS:
        raise SystemExit(f"testbed: unknown deployment {name!r}; choose one of {', '.join(DEPLOYMENTS)}")
    return DEPLOYMENTS[name]
