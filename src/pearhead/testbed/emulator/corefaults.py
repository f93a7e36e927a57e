"""CoreFaultInjector (§9.13): losses and replacements of core machines, and configuration changes during them."""

from __future__ import annotations

import copy
import signal
import time
from typing import Any

from pearhead.testbed.emulator.launcher import SiteLauncher
from pearhead.testbed.emulator.plan import BOUNDS

MAX_CONCURRENT_CHANGES = 8


class CoreFaultInjector:
    """Injects faults into the core of a running site.

    Callers call `settle` between two losses, as `Tolerance` allows only one machine to be lost at a time.
    """

    def __init__(self, launcher: SiteLauncher) -> None:
        self.launcher = launcher

    def names(self) -> list[str]:
        """The names of the present core machines."""
        return [m.name for m in self.launcher.site.machines_of("control_plane")]

    def settle(self) -> None:
        """Waits for `SettleS`, after which the core may lose a machine again."""
        time.sleep(BOUNDS["SettleS"])

    # ---- machines ----------------------------------------------------------------------------------

    def replace_lost(self, name: str, after_seconds: float) -> str:
        """Kills a machine and removes it with its disk; `after_seconds` later adds a new one. Returns the new name."""
        self._kill([name])
        self.launcher.remove_core(name)
        time.sleep(after_seconds)
        return self.launcher.add_core()

    def replace_planned(self, name: str, lead_seconds: float) -> str:
        """Adds a new machine; `lead_seconds` later stops the old one and removes it. Returns the new name."""
        successor = self.launcher.add_core()
        time.sleep(lead_seconds)
        self.launcher.stop(name)
        self.launcher.remove_core(name)
        return successor

    def wipe(self, name: str) -> None:
        """Kills the process of one machine, deletes its disk contents, and starts it again."""
        self._kill([name])
        self.launcher.wipe(name)
        self.launcher.start(name)

    def kill_all(self, down_seconds: float = 0.5) -> None:
        """Kills all core processes at once, and starts them again `down_seconds` later."""
        self._kill(self.names())
        time.sleep(down_seconds)
        self._start(self.names())

    def wipe_while_all_are_down(self, name: str, down_seconds: float = 0.5) -> None:
        """Kills all core processes at once, deletes the disk contents of one machine, and starts all again."""
        self._kill(self.names())
        self.launcher.wipe(name)
        time.sleep(down_seconds)
        self._start(self.names())

    def _kill(self, names: list[str]) -> None:
        for name in names:
            self.launcher.send_signal(name, signal.SIGKILL)
        for name in names:
            self.launcher.wait_until(lambda name=name: not self.launcher.is_alive(name), f"{name} is gone")  # type: ignore[misc]

    def _start(self, names: list[str]) -> None:
        for name in names:
            self.launcher.start(name)

    # ---- configuration changes ---------------------------------------------------------------------

    def next_config(self, step: int = 1) -> dict[str, Any]:
        """The last accepted configuration plus a route that no other change adds. `step`: added to its revision."""
        config: dict[str, Any] = copy.deepcopy(self.launcher.plan["config"])
        config["Revision"] += step
        self.launcher.plan["changes"] += 1
        route_name = f"changed{self.launcher.plan['changes']}"
        config["RouteTable"].append({**config["RouteTable"][0], "Name": f"r-{route_name}", "Prefix": f"/{route_name}/"})
        return config

    def change(self, lost_answers: int = 0) -> int:
        """Sends one change and returns its status. `lost_answers`: how many answers to it are lost."""
        return self.launcher.put(self.next_config(), lost_answers)

    def change_from_two_operators(self, lost_answers: int = 0) -> list[int]:
        """Sends two different changes with the same revision number at once. Returns their statuses."""
        return self.launcher.put_concurrently([self.next_config(), self.next_config()], lost_answers)

    def change_concurrently(self, count: int = MAX_CONCURRENT_CHANGES, lost_answers: int = 0) -> list[int]:
        """Sends `count` changes with different numbers on the same base at once. Returns their statuses."""
        return self.launcher.put_concurrently([self.next_config(1 + n) for n in range(count)], lost_answers)

    # ---- faults right after a change ---------------------------------------------------------------

    def change_then_kill_all(self) -> tuple[int, dict[str, Any]]:
        """Kills all cores right after a change was answered. Returns its status and the configuration read back."""
        status = self.change()
        self.kill_all()
        return status, self.launcher.read_config()

    def kill_all_during_change(self, after_seconds: float) -> int:
        """Kills all cores `after_seconds` after a change was sent, answered or not. Returns the change's status."""

        def kill_later() -> None:
            time.sleep(after_seconds)
            self.kill_all()

        return self.launcher.put_during(self.next_config(), kill_later)

    def change_then_wipe(self, name: str, is_all_down: bool) -> tuple[int, dict[str, Any]]:
        """Loses one disk right after a change was answered, with `is_all_down` while all cores are down.

        Returns the change's status and the configuration read back.
        """
        status = self.change()
        if is_all_down:
            self.wipe_while_all_are_down(name)
        else:
            self.wipe(name)
        return status, self.launcher.read_config()
