"""SiteFaultInjector (§9.13): faults and changes at a running site, drawn from a seed, during checked requests."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Any

from pearhead.testbed.emulator.client import CallReport
from pearhead.testbed.emulator.corefaults import CoreFaultInjector
from pearhead.testbed.emulator.launcher import SiteLauncher

NO_FAULTS: dict[str, Any] = {
    "cut": 0.0,
    "lost": 0.0,
    "fails": 0.0,
    "split": 0.0,
    "garble": 0.0,
    "extra": 0.0,
    "late": 0.0,
    "slowness": 1.0,
    "false_health": False,
    "events_lost": 0.0,
    "link_slowness": 1.0,
}
WORKER_FAULTS: dict[str, dict[str, Any]] = {
    "cuts": {"cut": 0.1, "lost": 0.1, "fails": 0.1, "split": 0.1},
    "garble": {"garble": 0.1, "extra": 0.2, "late": 0.2},
    "grey": {"slowness": 15.0, "false_health": True},
    "events": {"events_lost": 0.5, "link_slowness": 10.0},
}


class SiteFaultInjector:
    """Injects random faults and changes into a running site.

    At any time the core loses no more than `Tolerance` allows: one machine, or all processes with at most one disk.
    `frozen_seconds`: how long a process stays frozen.
    """

    def __init__(self, launcher: SiteLauncher, seed: int, frozen_seconds: float = 3.0) -> None:
        self.launcher, self.rng, self.frozen_seconds = launcher, random.Random(seed), frozen_seconds
        self.version = 1
        self.cores = CoreFaultInjector(launcher)
        self.actions: dict[str, Callable[[], str]] = {
            "kill a core": lambda: self._kill("control_plane", 1),
            "kill all cores": lambda: self._kill("control_plane", 99),
            "kill a front node": lambda: self._kill("router", 1),
            "kill two front nodes": lambda: self._kill("router", 2),
            "kill a worker": lambda: self._kill("engine", 1),
            "kill the store": lambda: self._kill("store", 1),
            "kill the list": lambda: self._kill("cloud", 1),
            "freeze a core": lambda: self._freeze("control_plane"),
            "freeze a front node": lambda: self._freeze("router"),
            "stop a front node": lambda: self._stop("router"),
            "stop a worker": lambda: self._stop("engine"),
            "replace a lost core": lambda: self._act_on_core(
                lambda name: self.cores.replace_lost(name, self._random_delay())
            ),
            "replace a core as planned": lambda: self._act_on_core(
                lambda name: self.cores.replace_planned(name, self._random_delay())
            ),
            "wipe a core while all are down": lambda: self._act_on_core(self.cores.wipe_while_all_are_down),
            "close by a kill": lambda: self._act_on_core(lambda name: self.cores.change_then_kill_all()),
            "close soon after sending": lambda: self._act_on_core(
                lambda name: self.cores.kill_all_during_change(self.rng.uniform(0.0, 0.1))
            ),
            "close by a wipe": lambda: self._act_on_core(
                lambda name: self.cores.change_then_wipe(name, is_all_down=False)
            ),
            "close by a wipe with all down": lambda: self._act_on_core(
                lambda name: self.cores.change_then_wipe(name, is_all_down=True)
            ),
            "two operators with one number": lambda: f"{self.cores.change_from_two_operators(lost_answers=1)}",
            "orders at once": lambda: f"{self.cores.change_concurrently(lost_answers=1)}",
            "lost answers": lambda: f"{self.cores.change(lost_answers=2)}",
            "name weights": self._name_weights,
            "change by name": self._change_by_name,
            **{
                f"trouble a worker: {kind}": lambda kind=kind: self._inject_worker_fault(kind)  # type: ignore[misc]
                for kind in WORKER_FAULTS
            },
        }

    def strike(self, number: int, request_count: int, concurrency: int) -> tuple[str, CallReport]:
        """Runs one randomly drawn action while clients send requests; worker faults are reset at the end.

        `number` seeds the requests. Returns a description of the action, and what the clients saw.
        """
        reports: list[CallReport] = []
        caller = threading.Thread(
            target=lambda: reports.append(self.launcher.send_requests(request_count, concurrency, number))
        )
        caller.start()
        time.sleep(self.rng.uniform(0.3, 1.2))
        action_name = self.rng.choice(list(self.actions))
        detail = self.actions[action_name]()
        caller.join()
        for machine in self.launcher.site.machines_of("engine"):
            if action_name.startswith("trouble"):
                self.launcher.inject_worker_faults(machine.name, NO_FAULTS)
        return f"{action_name} ({detail})", reports[0]

    def _names(self, program: str, count: int) -> list[str]:
        names = [m.name for m in self.launcher.site.machines_of(program)]
        return self.rng.sample(names, min(count, len(names)))

    def _random_delay(self) -> float:
        return self.rng.uniform(0.0, 3.0)

    def _act_on_core(self, action: Callable[[str], object]) -> str:
        """Waits until the core has settled, and runs an action on a random core machine. Returns its name."""
        self.cores.settle()
        name = self._names("control_plane", 1)[0]
        action(name)
        return name

    def _kill(self, program: str, count: int) -> str:
        names = self._names(program, count)
        for name in names:
            self.launcher.send_signal(name, signal.SIGKILL)
        for name in names:
            self.launcher.wait_until(lambda name=name: not self.launcher.is_alive(name), f"{name} is gone")  # type: ignore[misc]
        time.sleep(self.rng.uniform(0.1, 1.0))
        for name in names:
            self.launcher.start(name)
        return ", ".join(names)

    def _freeze(self, program: str) -> str:
        name = self._names(program, 1)[0]
        self.launcher.send_signal(name, signal.SIGSTOP)
        time.sleep(self.frozen_seconds)
        self.launcher.send_signal(name, signal.SIGCONT)
        return name

    def _stop(self, program: str) -> str:
        name = self._names(program, 1)[0]
        self.launcher.stop(name)
        self.launcher.start(name)
        return name

    def _inject_worker_fault(self, kind: str) -> str:
        name = self._names("engine", 1)[0]
        self.launcher.inject_worker_faults(name, WORKER_FAULTS[kind])
        return name

    def _name_weights(self) -> str:
        versions = [self.launcher.version_of(m.name) for m in self.launcher.site.machines_of("engine")]
        self.version = max([self.version, *versions]) + 1
        return f"{self.version}: {self.launcher.name_version(self.version)}"

    def _change_by_name(self) -> str:
        config = self.launcher.plan["config"]
        number = config["Revision"] + self.rng.randrange(1, 6)
        added = {**config["RouteTable"][0], "Name": f"r-added-{number}", "Prefix": f"/added{number}/"}
        return f"{number}: {self.launcher.patch({'Revision': number, 'Upsert': {'RouteTable': [added]}})}"
