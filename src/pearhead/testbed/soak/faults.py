"""Carries out the faults of a schedule on a running fleet."""

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
from pearhead.testbed.emulator.strikes import SOUND
from pearhead.testbed.emulator.wire import ask
from pearhead.testbed.soak.faultproxy import TOO_MANY_REQUESTS, LinkFault
from pearhead.testbed.soak.fleet import SoakFleet
from pearhead.testbed.soak.schedule import FaultKind, ScheduledFault

FAULTY_ANSWERS: tuple[dict[str, Any], ...] = (
    {"cut": 0.15, "lost": 0.25, "fails": 0.1},
    {"garble": 0.1, "extra": 0.2, "late": 0.2},
    {"slowness": 10.0, "false_health": True},
)
DELAYS_MICROS = (50 * MILLI, 200 * MILLI, 600 * MILLI)
LIST_DELAY_MICROS = 1_500 * MILLI
KILLING = (FaultKind.KILL_FRONT, FaultKind.KILL_CORE, FaultKind.KILL_ALL_CORES, FaultKind.KILL_WORKER)
FREEZING = (FaultKind.FREEZE_FRONT, FaultKind.FREEZE_CORE, FaultKind.FREEZE_WORKER)
OLDEST_ROUTES = 2
MOST_ROUTES = 5


class FaultRunner:
    """Runs each fault as a task of its own, so that they overlap as scheduled.

    `on_config` is told of each configuration that was acknowledged.
    """

    def __init__(
        self, fleet: SoakFleet, seed: int, operator_sink: LedgerFile, on_config: Callable[[dict[str, Any]], None]
    ) -> None:
        self.fleet, self.clock, self.seed = fleet, fleet.clock, seed
        self.operator_sink, self.on_config = operator_sink, on_config
        self.chance = random.Random(f"faults {seed}")
        self.order_lock = asyncio.Lock()
        self.process_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.order_count = 0
        self.version = 1
        self.ended_by_themselves: list[str] = []

    async def run(self, faults: list[ScheduledFault]) -> None:
        """Returns when all faults are over and every process runs again."""
        begun_at = self.clock.now()
        await asyncio.gather(*(self._run_at(begun_at + f.begin_micros, f) for f in faults))

    async def _run_at(self, at: int, fault: ScheduledFault) -> None:
        await sleep_for(self.clock, at - self.clock.now())
        # The schedule keeps faults of one process apart, but on a busy machine one may end later than it should. Taken
        # in the order of names, so that two faults of several processes never wait for each other.
        async with AsyncExitStack() as held:
            for name in sorted(fault.targets):
                await held.enter_async_context(self.process_locks[name])
            await self._carry_out(fault)

    async def _carry_out(self, fault: ScheduledFault) -> None:
        if fault.kind in KILLING:
            await self._kill(fault)
        elif fault.kind in FREEZING:
            await self._freeze(fault)
        elif fault.kind is FaultKind.ROLLING_RESTART:
            await self._restart_in_turn(fault)
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
            await self._disturb_worker(fault)
        else:
            await self._disturb_link(fault)

    # ---- processes ---------------------------------------------------------------------------------

    def look_for_ends(self, names: tuple[str, ...]) -> None:
        """A process that is to be struck must still live."""
        self.ended_by_themselves.extend(name for name in names if not self.fleet.is_alive(name))

    async def _kill(self, fault: ScheduledFault) -> None:
        self.look_for_ends(fault.targets)
        await asyncio.gather(*(self.fleet.kill(name) for name in fault.targets))
        await sleep_for(self.clock, fault.duration_micros)
        for name in fault.targets:
            self.fleet.start(name)

    async def _freeze(self, fault: ScheduledFault) -> None:
        self.look_for_ends(fault.targets)
        for name in fault.targets:
            self.fleet.send_signal(name, signal.SIGSTOP)
        await sleep_for(self.clock, fault.duration_micros)
        for name in fault.targets:
            self.fleet.send_signal(name, signal.SIGCONT)

    async def _restart_in_turn(self, fault: ScheduledFault) -> None:
        """One process is told to end shortly after the other, while those before it still drain."""
        gap_micros = fault.duration_micros // len(fault.targets)
        restarts = []
        for name in fault.targets:
            restarts.append(asyncio.ensure_future(self._restart(name)))
            await sleep_for(self.clock, gap_micros)
        await asyncio.gather(*restarts)

    async def _restart(self, name: str) -> None:
        self.look_for_ends((name,))
        await self.fleet.stop_planned(name)
        self.fleet.start(name)

    async def _disturb_worker(self, fault: ScheduledFault) -> None:
        name = fault.targets[0]
        self.fleet.note_faulty(name, True)
        await self._command(name, FAULTY_ANSWERS[fault.count % len(FAULTY_ANSWERS)])
        await sleep_for(self.clock, fault.duration_micros)
        await self._command(name, SOUND)
        self.fleet.note_faulty(name, False)

    async def _command(self, name: str, faults: dict[str, Any]) -> None:
        await ask(self.fleet.plan["processes"][name]["httpAddress"], "POST", "/site/command", faults)

    # ---- links -------------------------------------------------------------------------------------

    async def _disturb_link(self, fault: ScheduledFault) -> None:
        name = fault.targets[0]
        self.fleet.disturb_link(name, self._link_fault(fault))
        await sleep_for(self.clock, fault.duration_micros)
        self.fleet.heal_link(name)

    def _link_fault(self, fault: ScheduledFault) -> LinkFault:
        match fault.kind:
            case FaultKind.LIST_SLOW:
                return LinkFault(delay_micros=LIST_DELAY_MICROS)
            case FaultKind.LIST_REFUSES:
                return LinkFault(is_refusing=True)
            case FaultKind.LIST_LIMITS:
                return LinkFault(canned_answer=TOO_MANY_REQUESTS)
            case FaultKind.DELAY_LINK:
                return LinkFault(delay_micros=DELAYS_MICROS[fault.count % len(DELAYS_MICROS)])
            case FaultKind.LOSE_ANSWERS:
                return LinkFault(lost_share=0.02)
            case FaultKind.RESET_ANSWERS:
                return LinkFault(reset_share=0.02)
            case _:
                return LinkFault(is_cut=True)

    # ---- the operator ------------------------------------------------------------------------------

    async def _change_config(self, fault: ScheduledFault) -> None:
        """One operator at a time, each on top of the newest configuration that it knows of."""
        async with self.order_lock:
            self.order_count += 1
            held = self.fleet.plan["config"]
            operator = self.fleet.open_operator(
                self.operator_sink, fault.count, f"operator {self.seed} {self.order_count}"
            )
            is_revocation = fault.kind is FaultKind.KEY_REVOCATION
            patch = self._revocation(held) if is_revocation else self._route_change(held)
            config = apply_patch(held, patch)
            if self.order_count % 2:
                status = await operator.patch(patch, held)
            else:
                status = await operator.put(config, held["Revision"])
            if status == 200:
                self._hold(config)
            else:
                await self._resync()

    async def _resync(self) -> None:
        """After an unclear answer the operator reads what is in force."""
        operator = self.fleet.open_operator(self.operator_sink, 0, f"reader {self.seed} {self.order_count}")
        config = await operator.read()
        if config:
            self._hold(config)

    def _hold(self, config: dict[str, Any]) -> None:
        self.fleet.hold_config(config, 200)
        self.on_config(config)

    def _route_change(self, held: dict[str, Any]) -> dict[str, Any]:
        """Adds a route, or removes the oldest that was added."""
        number = held["Revision"] + 1
        routes = held["RouteTable"]
        if len(routes) >= MOST_ROUTES:
            return {"Revision": number, "Remove": {"RouteTable": [routes[OLDEST_ROUTES]["Name"]]}}
        word = f"added{number}"
        return {
            "Revision": number,
            "Upsert": {"RouteTable": [{**routes[0], "Name": f"r-{word}", "Prefix": f"/{word}/"}]},
        }

    def _revocation(self, held: dict[str, Any]) -> dict[str, Any]:
        """One tenant's first key is replaced by another."""
        tenant = copy.deepcopy(self.chance.choice(held["Tenants"]))
        tenant["Keys"] = [*tenant["Keys"][1:], self.chance.randbytes(10).hex()]
        return {"Revision": held["Revision"] + 1, "Upsert": {"Tenants": [tenant]}}

    async def _name_weights(self) -> None:
        async with self.order_lock:
            self.order_count += 1
            self.version += 1
            site = self.fleet.site
            operator = self.fleet.open_operator(self.operator_sink, 0, f"weights {self.seed} {self.order_count}")
            cloud = site.addresses("cloud", CLOUD_PORT)[0]
            await operator.name_version(site.model, self.version, cloud, site.addresses("engine", WORKER_PORT))
