"""Injects the faults of a schedule into a running fleet."""

from __future__ import annotations

import asyncio
import copy
import random
import signal
from collections import defaultdict
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

from pearhead.runtime.clock import MILLI, sleep_for
from pearhead.testbed.emulator.ledger import LedgerFile
from pearhead.testbed.emulator.operator import apply_patch
from pearhead.testbed.emulator.plan import CLOUD_PORT, WORKER_PORT
from pearhead.testbed.emulator.raw_http import send_request
from pearhead.testbed.emulator.sitefaults import NO_FAULTS
from pearhead.testbed.soak.fault_proxy import TOO_MANY_REQUESTS, LinkFault
from pearhead.testbed.soak.fleet import SoakFleet
from pearhead.testbed.soak.schedule import FaultKind, ScheduledFault

# Settings that an emulated worker takes at /site/command; a fault's `count` picks one.
WORKER_FAULT_SETS: tuple[dict[str, Any], ...] = (
    {"cut": 0.15, "lost": 0.25, "fails": 0.1},
    {"garble": 0.1, "extra": 0.2, "late": 0.2},
    {"slowness": 10.0, "false_health": True},
)
LINK_DELAYS_MICROS = (50 * MILLI, 200 * MILLI, 600 * MILLI)
LIST_DELAY_MICROS = 1_500 * MILLI
KILL_KINDS = (FaultKind.KILL_FRONT, FaultKind.KILL_CORE, FaultKind.KILL_ALL_CORES, FaultKind.KILL_WORKER)
FREEZE_KINDS = (FaultKind.FREEZE_FRONT, FaultKind.FREEZE_CORE, FaultKind.FREEZE_WORKER)
# The site's own routes; those after them were added during the run.
INITIAL_ROUTE_COUNT = 2
MAX_ROUTES = 5


class FaultRunner:
    """Runs each fault in a task of its own, so that faults overlap as scheduled.

    `on_config_accepted` is called with each configuration that was acknowledged or read back. `unexpected_exits` lists
    the processes that were found dead when a fault was about to hit them.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        seed: int,
        operator_sink: LedgerFile,
        on_config_accepted: Callable[[dict[str, Any]], None],
    ) -> None:
        self.fleet, self.clock, self.seed = fleet, fleet.clock, seed
        self.operator_sink, self.on_config_accepted = operator_sink, on_config_accepted
        self.rng = random.Random(f"faults {seed}")
        self.operator_lock = asyncio.Lock()
        self.process_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.operation_count = 0
        self.weights_version = 1
        self.unexpected_exits: list[str] = []

    async def run(self, faults: list[ScheduledFault]) -> None:
        """Runs all faults; returns when they are over and every process has been started again."""
        started_at = self.clock.now()
        await asyncio.gather(*(self._run_at(started_at + f.begin_micros, f) for f in faults))

    async def _run_at(self, at: int, fault: ScheduledFault) -> None:
        await sleep_for(self.clock, at - self.clock.now())
        # The schedule keeps faults of one process apart, but on a busy machine a fault may end late. The locks are
        # taken in the order of names, so that two faults that share several processes can't deadlock.
        async with AsyncExitStack() as locks:
            for name in sorted(fault.targets):
                await locks.enter_async_context(self.process_locks[name])
            await self._inject(fault)

    async def _inject(self, fault: ScheduledFault) -> None:
        if fault.kind in KILL_KINDS:
            await self._kill(fault)
        elif fault.kind in FREEZE_KINDS:
            await self._freeze(fault)
        elif fault.kind is FaultKind.ROLLING_RESTART:
            await self._rolling_restart(fault)
        elif fault.kind is FaultKind.WORKER_LEAVES:
            await self._restart(fault.targets[0])
        elif fault.kind is FaultKind.RELOAD:
            for name in fault.targets:
                self.fleet.send_signal(name, signal.SIGHUP)
        elif fault.kind is FaultKind.NAME_WEIGHTS:
            await self._name_weights()
        elif fault.kind in (FaultKind.CONFIG_CHANGE, FaultKind.KEY_REVOCATION):
            await self._change_config(fault)
        elif fault.kind is FaultKind.FAULTY_WORKER:
            await self._inject_worker_fault(fault)
        else:
            await self._inject_link_fault(fault)

    # ---- processes ---------------------------------------------------------------------------------

    def record_unexpected_exits(self, names: tuple[str, ...]) -> None:
        """Records which of these processes, which a fault is about to hit, no longer run."""
        self.unexpected_exits.extend(name for name in names if not self.fleet.is_alive(name))

    async def _kill(self, fault: ScheduledFault) -> None:
        self.record_unexpected_exits(fault.targets)
        await asyncio.gather(*(self.fleet.kill(name) for name in fault.targets))
        await sleep_for(self.clock, fault.duration_micros)
        for name in fault.targets:
            self.fleet.start(name)

    async def _freeze(self, fault: ScheduledFault) -> None:
        self.record_unexpected_exits(fault.targets)
        for name in fault.targets:
            self.fleet.send_signal(name, signal.SIGSTOP)
        await sleep_for(self.clock, fault.duration_micros)
        for name in fault.targets:
            self.fleet.send_signal(name, signal.SIGCONT)

    async def _rolling_restart(self, fault: ScheduledFault) -> None:
        """Restarts processes one shortly after another, while earlier ones still drain."""
        gap_micros = fault.duration_micros // len(fault.targets)
        restarts = []
        for name in fault.targets:
            restarts.append(asyncio.ensure_future(self._restart(name)))
            await sleep_for(self.clock, gap_micros)
        await asyncio.gather(*restarts)

    async def _restart(self, name: str) -> None:
        self.record_unexpected_exits((name,))
        await self.fleet.stop_gracefully(name)
        self.fleet.start(name)

    async def _inject_worker_fault(self, fault: ScheduledFault) -> None:
        name = fault.targets[0]
        self.fleet.record_worker_faulty(name, True)
        await self._set_worker_faults(name, WORKER_FAULT_SETS[fault.count % len(WORKER_FAULT_SETS)])
        await sleep_for(self.clock, fault.duration_micros)
        await self._set_worker_faults(name, NO_FAULTS)
        self.fleet.record_worker_faulty(name, False)

    async def _set_worker_faults(self, name: str, faults: dict[str, Any]) -> None:
        await send_request(self.fleet.plan["processes"][name]["httpAddress"], "POST", "/site/command", faults)

    # ---- links -------------------------------------------------------------------------------------

    async def _inject_link_fault(self, fault: ScheduledFault) -> None:
        name = fault.targets[0]
        self.fleet.start_link_fault(name, self._link_fault(fault))
        await sleep_for(self.clock, fault.duration_micros)
        self.fleet.heal_link(name)

    def _link_fault(self, fault: ScheduledFault) -> LinkFault:
        match fault.kind:
            case FaultKind.LIST_SLOW:
                return LinkFault(delay_micros=LIST_DELAY_MICROS)
            case FaultKind.LIST_REFUSES:
                return LinkFault(is_refusing=True)
            case FaultKind.LIST_RATE_LIMITS:
                return LinkFault(canned_response=TOO_MANY_REQUESTS)
            case FaultKind.DELAY_LINK:
                return LinkFault(delay_micros=LINK_DELAYS_MICROS[fault.count % len(LINK_DELAYS_MICROS)])
            case FaultKind.LOSE_ANSWERS:
                return LinkFault(loss_probability=0.02)
            case FaultKind.RESET_ANSWERS:
                return LinkFault(reset_probability=0.02)
            case _:
                return LinkFault(is_cut=True)

    # ---- the operator ------------------------------------------------------------------------------

    async def _change_config(self, fault: ScheduledFault) -> None:
        """Changes the configuration as an operator: one change at a time, each based on the newest known one."""
        async with self.operator_lock:
            self.operation_count += 1
            base_config = self.fleet.plan["config"]
            operator = self.fleet.make_operator(
                self.operator_sink, fault.count, f"operator {self.seed} {self.operation_count}"
            )
            is_revocation = fault.kind is FaultKind.KEY_REVOCATION
            patch = self._key_revocation_patch(base_config) if is_revocation else self._route_change_patch(base_config)
            config = apply_patch(base_config, patch)
            if self.operation_count % 2:
                status = await operator.patch(patch, base_config)
            else:
                status = await operator.put(config, base_config["Revision"])
            if status == 200:
                self._use_config(config)
            else:
                await self._resync()

    async def _resync(self) -> None:
        """Reads the configuration in force, after a change whose outcome is unclear or that was refused."""
        operator = self.fleet.make_operator(self.operator_sink, 0, f"reader {self.seed} {self.operation_count}")
        config = await operator.read()
        if config:
            self._use_config(config)

    def _use_config(self, config: dict[str, Any]) -> None:
        self.fleet.save_config(config, 200)
        self.on_config_accepted(config)

    def _route_change_patch(self, base_config: dict[str, Any]) -> dict[str, Any]:
        """A patch that adds a route, or removes the oldest added one if there are MAX_ROUTES."""
        revision = base_config["Revision"] + 1
        routes = base_config["RouteTable"]
        if len(routes) >= MAX_ROUTES:
            return {"Revision": revision, "Remove": {"RouteTable": [routes[INITIAL_ROUTE_COUNT]["Name"]]}}
        label = f"added{revision}"
        return {
            "Revision": revision,
            "Upsert": {"RouteTable": [{**routes[0], "Name": f"r-{label}", "Prefix": f"/{label}/"}]},
        }

    def _key_revocation_patch(self, base_config: dict[str, Any]) -> dict[str, Any]:
        """A patch that replaces the first key of a random tenant by a new one."""
        tenant = copy.deepcopy(self.rng.choice(base_config["Tenants"]))
        tenant["Keys"] = [*tenant["Keys"][1:], self.rng.randbytes(10).hex()]
        return {"Revision": base_config["Revision"] + 1, "Upsert": {"Tenants": [tenant]}}

    async def _name_weights(self) -> None:
        async with self.operator_lock:
            self.operation_count += 1
            self.weights_version += 1
            site = self.fleet.site
            operator = self.fleet.make_operator(self.operator_sink, 0, f"weights {self.seed} {self.operation_count}")
            cloud = site.addresses("cloud", CLOUD_PORT)[0]
            await operator.name_version(site.model, self.weights_version, cloud, site.addresses("engine", WORKER_PORT))
