"""A live fleet on loopback (§9.12): real cores and a few real nodes beside hollow nodes and hollow workers."""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pearhead.config.tenant_key import hash_key
from pearhead.runtime.clock import BootClock
from pearhead.testbed.capacity import hollow_nodes, hollow_workers
from pearhead.testbed.capacity.hollow_nodes import HollowNodesConfig
from pearhead.testbed.capacity.hollow_workers import HollowWorkersConfig
from pearhead.testbed.capacity.process_set import ProcessSet, get_json, post_json
from pearhead.testbed.capacity.process_stat import ProcessStat
from pearhead.testbed.launcher import FreePortAllocator

AREAS = ["north", "middle", "south"]
READY_SECONDS = 60.0
POLL_SECONDS = 0.02
NODES_PER_PROCESS = 100
WORKERS_PER_PROCESS = 200
TENANT_KEY = "example-scale"


@dataclass(frozen=True)
class FleetSize:
    """The size of a live fleet; hollow nodes run beside the real ones, and tenants are those of the description.

    With `is_unheld`, workers may run beside hollow nodes. Most of them then have no lease holder, which is the case
    that is measured.
    """

    hollow_nodes: int
    real_nodes: int = 2
    hollow_workers: int = 0
    tenants: int = 8
    cores: int = 3
    events_a_second: float = 0.0
    lines_a_job: int = 2
    limit_seconds: int = 200
    is_unheld: bool = False

    def nodes(self) -> int:
        """How many nodes there are, hollow and real."""
        return self.hollow_nodes + self.real_nodes


class FleetTimeoutError(Exception):
    """What the run waited for did not happen within `READY_SECONDS`, or a core refused a command."""


def build_description(tenants: int, mark: str) -> dict[str, Any]:
    """A description with one line, and entries open to every tenant; the mark makes each apply a change."""
    return {
        "lines": [{"name": "line", "weights": "w1"}],
        "services": [{"name": "models", "role": "model"}],
        "entries": [
            {
                "name": "long",
                "line": "line",
                "tenants": ["*"],
                "kinds": ["long"],
                "service": "models",
                "concurrency": 1_000,
            },
            {"name": "mark", "line": "line", "tenants": ["*"], "kinds": [f"mark-{mark}"], "service": "models"},
        ],
        "tenants": [
            {
                "name": f"tenant-{n}",
                "group": "",
                "keyHashes": [hash_key(f"{TENANT_KEY}-{n}")],
            }
            for n in range(tenants)
        ],
        "limits": {"retryShare": 0.1, "prefixParts": 256},
    }


class LiveFleet:
    """Starts a fleet in a temporary folder; `stop` stops all of it.

    ValueError for workers beside hollow nodes, unless the size is `is_unheld`.
    """

    def __init__(self, size: FleetSize, sleep: Callable[[float], None] = time.sleep) -> None:
        if size.hollow_nodes and size.hollow_workers and not size.is_unheld:
            # A worker's lease holder is chosen among all nodes (§7.2), and hollow nodes take no leases.
            raise ValueError("hollow nodes take no worker leases: workers beside them need is_unheld")
        self.size = size
        self.sleep = sleep
        self.clock = BootClock()
        self.folder = tempfile.TemporaryDirectory(prefix="scale-")
        self.processes = ProcessSet(Path(self.folder.name))
        host_count = -(-size.hollow_nodes // NODES_PER_PROCESS)
        needed = 2 * (size.cores + size.real_nodes) + size.hollow_nodes + host_count + size.hollow_workers
        ports = iter(FreePortAllocator().allocate(needed))
        self.core_addresses = [f"127.0.0.1:{next(ports)}" for _ in range(size.cores)]
        self.core_http = {f"core-{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(size.cores)}
        self.node_addresses = [f"127.0.0.1:{next(ports)}" for _ in range(size.real_nodes)]
        self.node_http = {f"node-{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(size.real_nodes)}
        self.hollow_addresses = [f"127.0.0.1:{next(ports)}" for _ in range(size.hollow_nodes)]
        self.host_control_addresses = {f"hollow-{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(host_count)}
        self.worker_addresses = [f"127.0.0.1:{next(ports)}" for _ in range(size.hollow_workers)]
        self.revision = 0
        self.apply_count = 0

    # ---- start and stop ----------------------------------------------------------------------------

    def start(self) -> None:
        """Starts the fleet and waits until every node has the description and every worker is loaded.

        Raises FleetTimeoutError if that takes too long.
        """
        for number, (name, http) in enumerate(self.core_http.items()):
            self._start_daemon(
                name,
                "control_plane",
                {
                    "address": self.core_addresses[number],
                    "httpAddress": http,
                    "area": AREAS[number % 3],
                    "seeds": self.core_addresses,
                    "founders": self.core_addresses,
                    "logLevel": "WARNING",
                    "dataFolder": str(Path(self.folder.name) / f"{name}.data"),
                },
            )
        for start in range(0, len(self.worker_addresses), WORKERS_PER_PROCESS):
            self.processes.start(
                f"workers-{start}",
                "pearhead.testbed.capacity.hollow_workers",
                hollow_workers.config_text(
                    HollowWorkersConfig(
                        self.worker_addresses[start : start + WORKERS_PER_PROCESS],
                        self.size.events_a_second,
                        self.size.lines_a_job,
                        start + 1,
                        self.size.limit_seconds,
                    )
                ),
            )
        for number, (name, http) in enumerate(self.node_http.items()):
            self._start_daemon(
                name,
                "router",
                {
                    "address": self.node_addresses[number],
                    "httpAddress": http,
                    "area": AREAS[number % 3],
                    "seeds": self.core_addresses,
                    "logLevel": "WARNING",
                },
            )
        for number, (name, control) in enumerate(self.host_control_addresses.items()):
            addresses = self.hollow_addresses[number * NODES_PER_PROCESS : (number + 1) * NODES_PER_PROCESS]
            self.processes.start(
                name,
                "pearhead.testbed.capacity.hollow_nodes",
                hollow_nodes.config_text(
                    HollowNodesConfig(
                        addresses, AREAS, self.core_addresses, control, number + 1, self.size.limit_seconds
                    )
                ),
            )
        self._command(
            "/workers",
            {
                "applyId": "workers",
                "workers": [
                    {"name": f"worker-{n}", "address": a, "area": AREAS[n % 3], "service": "models", "leaving": False}
                    for n, a in enumerate(self.worker_addresses)
                ],
            },
        )
        self.apply()
        self.wait_until(
            lambda: all(s["known"] >= self.size.nodes() + self.size.cores for s in self.hollow_states()),
            "a hollow node does not know the whole fleet",
        )
        self.wait_until_in_force()
        self.wait_until(
            lambda: (
                self.size.is_unheld
                or all(
                    s is not None and len(s["loads"]) == self.size.hollow_workers
                    for s in (get_json(a, "/soundness") for a in self.node_http.values())
                )
            ),
            "a worker has not loaded its weights",
        )

    def stop(self) -> None:
        """Stops all processes and deletes the folder."""
        self.processes.stop()
        self.folder.cleanup()

    def _start_daemon(self, name: str, program: str, startup: dict[str, Any]) -> None:
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(startup))
        self.processes.start(name, f"pearhead.{program}.main", "run", "--startup", str(path))

    def wait_until(self, is_reached: Callable[[], bool], failure: str) -> None:
        """Polls a condition. Raises FleetTimeoutError with the failure's text after `READY_SECONDS`."""
        limit = time.monotonic() + READY_SECONDS
        while not is_reached():
            if time.monotonic() > limit:
                raise FleetTimeoutError(failure)
            time.sleep(POLL_SECONDS)

    # ---- commands ------------------------------------------------------------------------------------

    def _command(self, path: str, body: dict[str, Any], limit_seconds: float = 10.0) -> dict[str, Any]:
        """Asks the cores in turn until one accepts the command; the same apply id goes to each."""
        result: dict[str, Any] = {}

        def is_accepted() -> bool:
            nonlocal result
            for name, address in self.core_http.items():
                if self.processes.processes[name].poll() is None:
                    result = post_json(address, path, body, limit_seconds)
                    if result.get("status") not in ("unavailable", "unknown"):
                        return True
            return False

        self.wait_until(is_accepted, f"no core accepts {path}")
        if result.get("status") != "done":
            raise FleetTimeoutError(f"{path} was refused: {result}")
        return result

    def apply(self, limit_seconds: float = 10.0) -> int:
        """Applies a description that differs in its mark; returns the clock (µs) at its acknowledgement.

        If a core gives no answer within the limit, the next one is asked.
        """
        self.apply_count += 1
        result = self._command(
            "/apply",
            {
                "applyId": f"apply-{self.apply_count}",
                "base": self.revision,
                "by": "testbed",
                "description": build_description(self.size.tenants, str(self.apply_count)),
            },
            limit_seconds,
        )
        acknowledged = self.clock.now()
        self.revision = int(result["revision"])
        return acknowledged

    def wait_until_in_force(self) -> int:
        """Waits until all nodes hold the present revision; returns the clock (µs) when the last hollow node did.

        Without hollow nodes it is the time at which the polls of the real nodes showed it.
        """
        last = 0

        def is_in_force() -> bool:
            nonlocal last
            real = [get_json(a, "/soundness") for a in self.node_http.values()]
            if not all(s is not None and s["viewIndex"] >= self.revision and s["current"] for s in real):
                return False
            states = self.hollow_states()
            if not states:
                last = self.clock.now()
            else:
                last = max(s["last_micros"] for s in states)
            return all(s["at_index"] == s["nodes"] for s in states)

        self.wait_until(is_in_force, f"revision {self.revision} is not in force at every node")
        return last

    def leader(self) -> str:
        """The name of the leading core. Raises FleetTimeoutError if no core leads."""
        leader_name = ""

        def is_found() -> bool:
            nonlocal leader_name
            for name, address in self.core_http.items():
                state = get_json(address, "/soundness") if self.processes.processes[name].poll() is None else None
                if state is not None and state["role"] == "leader":
                    leader_name = name
            return bool(leader_name)

        self.wait_until(is_found, "no core leads")
        return leader_name

    # ---- reading ---------------------------------------------------------------------------------------

    def hollow_states(self) -> list[dict[str, Any]]:
        """The state of each process of hollow nodes.

        If one of them does not answer, a single placeholder that meets no condition.
        """
        states = [get_json(a, f"/state?index={self.revision}") for a in self.host_control_addresses.values()]
        return (
            [s for s in states if s is not None]
            if None not in states
            else [
                {
                    "known": 0,
                    "at_index": -1,
                    "nodes": 0,
                    "last_micros": 0,
                }
            ]
        )

    def node_states(self) -> list[dict[str, Any]]:
        """The soundness reports of the real nodes that answer."""
        return [s for s in (get_json(a, "/soundness") for a in self.node_http.values()) if s is not None]


def mean_cores_used(
    before: dict[str, ProcessStat], after: dict[str, ProcessStat], elapsed_micros: int, prefix: str
) -> float:
    """Processor time per second of the processes whose names begin with `prefix`, in cores; their mean."""
    used = [after[n].cpu_micros - before[n].cpu_micros for n in after if n.startswith(prefix) and n in before]
    return sum(used) / max(1, len(used)) / elapsed_micros


def mean_resident_bytes(stats: dict[str, ProcessStat], prefix: str) -> float:
    """Resident bytes of the processes whose names begin with `prefix`; their mean."""
    sizes = [s.resident_bytes for n, s in stats.items() if n.startswith(prefix)]
    return sum(sizes) / max(1, len(sizes))
