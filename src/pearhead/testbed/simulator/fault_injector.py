"""Striker (§9.7): plays drawn strikes on a fleet, each a task of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fault_schedule import SimFault, SimFaultSchedule
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.simulated_clients import COMMAND_CONNECTION, JOB_CONNECTION, SimCacheFetcher
from pearhead.testbed.simulator.world import pause


class SimFaultInjector:
    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.weights_number = 1
        self.mark_number = 0
        self.withdrawn: set[str] = set()
        self.leaving: set[str] = set()

    async def play(self) -> None:
        """All strikes that are not left out; ends when all but the last are over, and that one stands."""
        strikes = [s for s in SimFaultSchedule().draw(self.world.seed) if s.number not in self.fleet.excluded_faults]
        start_micros = self.world.now()
        tasks: list[asyncio.Task[None]] = []
        for strike in strikes:
            if strike.is_permanent:
                await asyncio.gather(*tasks)
            await pause(self.world, max(0, start_micros + strike.at_micros - self.world.now()))
            self.world.note(strike.text())
            method_name = f"_play_{strike.kind.replace('-', '_')}"
            work: Callable[[SimFault], Coroutine[Any, Any, None]] = getattr(self, method_name)
            tasks.append(self.world.loop.create_task(work(strike)))
        await asyncio.gather(*tasks)

    async def _end_later(self, strike: SimFault, end: Callable[[], None]) -> None:
        if not strike.is_permanent:
            await pause(self.world, strike.fault_duration_micros)
            end()

    def _name(self, role: str, strike: SimFault) -> str:
        """Among those that stand, so that strikes do not hit the same machine twice at once."""
        held = {
            "core": sorted(self.fleet.cores),
            "node": sorted(self.fleet.nodes),
            "worker": self.fleet.current_workers(),
        }
        names = [n for n in held[role] if self.fleet.fault_log.stands(n, self.world.now()) and n not in self.leaving]
        return names[strike.pick % len(names)] if names else held[role][0]

    async def _kill(self, strike: SimFault, names: list[str], loses_power: bool = False) -> None:
        killed = [n for n in names if self.world.machine(n).is_alive]
        for name in killed:
            self.fleet.kill(name, loses_power)

        def start() -> None:
            for name in killed:
                if self._should_restart(name):
                    self.fleet.start(name)

        await self._end_later(strike, start)

    def _should_restart(self, name: str) -> bool:
        return not self.world.machine(name).is_alive and (
            name in self.fleet.cores
            or name in self.fleet.nodes
            or (f"{name}:2" in self.fleet.back_ends and name not in self.fleet.removed_workers)
        )

    async def _freeze(self, strike: SimFault, name: str) -> None:
        self.world.machine(name).kernel_accepts_connections = strike.pick % 3 > 0
        self.fleet.freeze(name)
        await self._end_later(strike, lambda: self.fleet.wake(name))

    async def _cut(self, strike: SimFault, names: list[str], others: list[str], both_ways: bool = True) -> None:
        pairs = self.fleet.cut(names, others, both_ways)
        await self._end_later(strike, lambda: self.fleet.mend(pairs))

    def _sorted_machine_names(self) -> list[str]:
        return sorted(self.world.machines)

    # ---- the core ----------------------------------------------------------------------------------

    async def _play_core_killed(self, strike: SimFault) -> None:
        await self._kill(strike, [self._choose_core(strike)])

    async def _play_core_power(self, strike: SimFault) -> None:
        await self._kill(strike, [self._choose_core(strike)], loses_power=True)

    async def _play_core_frozen(self, strike: SimFault) -> None:
        await self._freeze(strike, self._choose_core(strike))

    async def _play_core_isolated(self, strike: SimFault) -> None:
        await self._cut(strike, [self._choose_core(strike)], self._sorted_machine_names())

    async def _play_core_stalled(self, strike: SimFault) -> None:
        await self._inject_disk_fault(strike, "stalled")

    async def _play_core_full(self, strike: SimFault) -> None:
        await self._inject_disk_fault(strike, "full")

    async def _inject_disk_fault(self, strike: SimFault, kind: str) -> None:
        name = self._choose_core(strike)
        self.fleet.set_disk(name, kind, True)
        await self._end_later(strike, lambda: self.fleet.set_disk(name, kind, False))

    async def _play_core_replaced(self, strike: SimFault) -> None:
        name = self._choose_core(strike)
        await self.fleet.apply(self.fleet.marked_description(self._next_mark()))
        if not self.world.machine(name).is_alive:
            return
        self.fleet.destroy_core(name)
        self.fleet.add_core(f"core-{len(self.fleet.startups) + 1}")

    async def _play_core_split(self, strike: SimFault) -> None:
        leader = self.fleet.leader() or self._choose_core(strike)
        await self._cut(strike, [leader], [n for n in sorted(self.fleet.cores) if n != leader])

    async def _play_cores_slow(self, strike: SimFault) -> None:
        for name in sorted(self.fleet.cores):
            self.world.machine(name).disk.slowness = 10
        self.fleet.fault_log.record_disturbance(self.world.now())
        await self._end_later(strike, self._restore_disk_speed)

    def _restore_disk_speed(self) -> None:
        for name in sorted(self.fleet.cores):
            self.world.machine(name).disk.slowness = 1

    async def _play_all_cores_killed(self, strike: SimFault) -> None:
        await self._kill(strike, sorted(self.fleet.cores), loses_power=strike.pick % 2 > 0)

    async def _play_all_killed(self, strike: SimFault) -> None:
        await self._kill(strike, [*sorted(self.fleet.cores), *sorted(self.fleet.nodes)], strike.pick % 2 > 0)

    async def _play_area_cut_off(self, strike: SimFault) -> None:
        area = self.fleet.deployment.areas[strike.pick % 3]
        names = [n for n in self._sorted_machine_names() if self.fleet.area_of(n) == area]
        await self._cut(strike, names, [n for n in self._sorted_machine_names() if n not in names])

    def _choose_core(self, strike: SimFault) -> str:
        """The leader as often as not."""
        leader = self.fleet.leader()
        return leader if leader and strike.pick % 2 else self._name("core", strike)

    # ---- nodes ---------------------------------------------------------------------------------------

    async def _play_node_killed(self, strike: SimFault) -> None:
        await self._kill(strike, [self._name("node", strike)])

    async def _play_nodes_killed(self, strike: SimFault) -> None:
        await self._kill(strike, sorted(self.fleet.nodes))

    async def _play_node_frozen(self, strike: SimFault) -> None:
        await self._freeze(strike, self._name("node", strike))

    async def _play_node_isolated(self, strike: SimFault) -> None:
        await self._cut(strike, [self._name("node", strike)], self._sorted_machine_names())

    async def _play_node_cut_from_cores(self, strike: SimFault) -> None:
        name = self._name("node", strike)
        await self._cut(strike, [name], [*sorted(self.fleet.cores), *sorted(self.fleet.nodes)])

    async def _play_node_deaf(self, strike: SimFault) -> None:
        workers = [n for n in self._sorted_machine_names() if n.startswith("worker-")]
        await self._cut(strike, workers, [self._name("node", strike)], both_ways=False)

    async def _play_node_frozen_connecting(self, strike: SimFault) -> None:
        await self._freeze_on_connect(strike, JOB_CONNECTION)

    async def _play_holder_frozen_commanding(self, strike: SimFault) -> None:
        await self._freeze_on_connect(strike, COMMAND_CONNECTION)

    async def _freeze_on_connect(self, strike: SimFault, purpose: str) -> None:
        name = self._name("node", strike)
        caught: list[str] = []

        def freeze(_: object) -> None:
            self.fleet.freeze(name)
            caught.append(name)

        self.world.connect_hooks[name, purpose] = freeze
        end_micros = self.world.now() + 3 * SECOND
        while not caught and self.world.now() < end_micros:
            await pause(self.world, 20 * MILLI)
        self.world.connect_hooks.pop((name, purpose), None)
        await pause(self.world, strike.fault_duration_micros)
        if caught:
            self.fleet.wake(name)

    # ---- workers and the store -----------------------------------------------------------------------

    async def _play_worker_killed(self, strike: SimFault) -> None:
        await self._kill(strike, [self._name("worker", strike)])

    async def _play_worker_frozen(self, strike: SimFault) -> None:
        await self._freeze(strike, self._name("worker", strike))

    async def _play_worker_isolated(self, strike: SimFault) -> None:
        await self._cut(strike, [self._name("worker", strike)], self._sorted_machine_names())

    async def _play_worker_slow(self, strike: SimFault) -> None:
        pace = self.fleet.paces[self._name("worker", strike)]
        held = (pace.prefill_micros, pace.line_micros, pace.long_line_micros)
        pace.prefill_micros, pace.line_micros, pace.long_line_micros = (3 * micros for micros in held)
        self.fleet.fault_log.record_disturbance(self.world.now())
        await pause(self.world, strike.fault_duration_micros)
        pace.prefill_micros, pace.line_micros, pace.long_line_micros = held
        self.fleet.fault_log.record_disturbance(self.world.now())

    async def _play_worker_hangs(self, strike: SimFault) -> None:
        await self._inject_load_fault(strike, "hangs")

    async def _play_worker_fails(self, strike: SimFault) -> None:
        await self._inject_load_fault(strike, "fails")

    async def _inject_load_fault(self, strike: SimFault, load_fault: str) -> None:
        model = self.fleet.worker(self._name("worker", strike))
        model.load_fault = load_fault
        await self._name_weights()
        await pause(self.world, strike.fault_duration_micros)
        model.load_fault = ""
        self.fleet.fault_log.record_disturbance(self.world.now())

    async def _play_worker_silent(self, strike: SimFault) -> None:
        model = self.fleet.worker(self._name("worker", strike))
        model.log.is_silent = True
        await pause(self.world, strike.fault_duration_micros)
        model.log.is_silent = False

    async def _play_worker_replaced(self, strike: SimFault) -> None:
        """Gone for good; another comes at a new address, and is listed."""
        name = self._name("worker", strike)
        self.fleet.kill(name, loses_power=True)
        await pause(self.world, strike.fault_duration_micros)
        await self.fleet.replace_worker(name)

    async def _play_worker_leaving(self, strike: SimFault) -> None:
        name = self._name("worker", strike)
        self.leaving.add(name)
        await self.fleet.mark_leaving(name)
        await pause(self.world, 3 * SECOND + strike.fault_duration_micros)
        await self.fleet.clear_leaving(name)
        self.leaving.discard(name)

    async def _play_links_slow(self, strike: SimFault) -> None:
        links = [
            link
            for a in sorted(self.fleet.back_ends)
            if a.startswith("worker-")
            and isinstance(link := self.fleet.worker(a.partition(":")[0]).link, SimCacheFetcher)
        ]
        for link in links:
            link.slowness = 30
        await pause(self.world, strike.fault_duration_micros)
        for link in links:
            link.slowness = 1

    async def _play_store_empty(self, strike: SimFault) -> None:
        await self._kill(strike, ["store"])

    async def _play_casts_lost(self, strike: SimFault) -> None:
        self.fleet.set_datagram_loss(0.3, 0.1)
        await self._end_later(strike, lambda: self.fleet.set_datagram_loss(0.0))

    # ---- operators -----------------------------------------------------------------------------------

    def _next_mark(self) -> str:
        self.mark_number += 1
        return f"s{self.mark_number}"

    async def _play_apply(self, strike: SimFault) -> None:
        await self.fleet.apply(self.fleet.marked_description(self._next_mark()))

    async def _play_race(self, strike: SimFault) -> None:
        base = self.fleet.description_revision
        descriptions = [self.fleet.marked_description(self._next_mark()) for _ in range(2)]
        await asyncio.gather(*(self.fleet.apply(d, base) for d in descriptions))

    async def _play_grows(self, strike: SimFault) -> None:
        description = self.fleet.marked_description(self._next_mark())
        description["entries"] += [
            {
                "name": f"more-{n}",
                "line": self.fleet.deployment.line,
                "tenants": ["*"],
                "kinds": [f"kind-{n}"],
                "service": "models",
            }
            for n in range(500)
        ]
        await self.fleet.apply(description)

    async def _play_weights(self, strike: SimFault) -> None:
        await self._name_weights()

    async def _play_weights_twice(self, strike: SimFault) -> None:
        await self._name_weights()
        await pause(self.world, strike.fault_duration_micros // 8)
        await self._name_weights()

    async def _name_weights(self) -> None:
        self.weights_number += 1
        await self.fleet.name_weights(f"w{self.weights_number}")

    async def _play_key_withdrawn(self, strike: SimFault) -> None:
        tenant_name = self.fleet.deployment.tenant_names[strike.pick % len(self.fleet.deployment.tenant_names)]
        if tenant_name in self.fleet.withdrawn_tenants:
            return
        await self._set_key_withdrawn(tenant_name, True)
        await pause(self.world, 4 * SECOND + strike.fault_duration_micros)
        await self._set_key_withdrawn(tenant_name, False)

    async def _set_key_withdrawn(self, tenant_name: str, is_key_withdrawn: bool) -> None:
        """Tried with a fresh base until it is in force: other operators may come first."""
        (self.fleet.withdrawn_tenants.add if is_key_withdrawn else self.fleet.withdrawn_tenants.discard)(tenant_name)
        while await self.fleet.apply(self.fleet.marked_description(self._next_mark())) != "done":
            await pause(self.world, 50 * MILLI)
        if is_key_withdrawn:
            self.fleet.ledger.withdrawals.append((tenant_name, self.world.now()))
