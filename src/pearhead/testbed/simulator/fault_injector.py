"""Injects the faults of a generated schedule into a simulated fleet, each in a task of its own (§9.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fault_schedule import SimFault, SimFaultSchedule
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.simulated_clients import COMMAND_CONNECTION, JOB_CONNECTION, SimCacheTransfer
from pearhead.testbed.simulator.world import pause


class SimFaultInjector:
    """Injects the scheduled faults of the world's seed.

    A fault of kind "some-kind" is injected by the method `_play_some_kind`, which returns when the fault is over, or,
    if it is permanent, as soon as it is active.

    Attributes:
        weights_number: Number in the name of the latest weights.
        mark_number: Number of marks handed out.
        leaving: Workers that a fault has marked as leaving; other faults avoid them.
    """

    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.weights_number = 1
        self.mark_number = 0
        self.withdrawn: set[str] = set()
        self.leaving: set[str] = set()

    async def inject_all(self) -> None:
        """Injects all faults that are not excluded; returns when only the permanent one is still active."""
        sim_faults = [
            f for f in SimFaultSchedule().generate(self.world.seed) if f.number not in self.fleet.excluded_faults
        ]
        start_micros = self.world.now()
        tasks: list[asyncio.Task[None]] = []
        for sim_fault in sim_faults:
            if sim_fault.is_permanent:
                await asyncio.gather(*tasks)
            await pause(self.world, max(0, start_micros + sim_fault.at_micros - self.world.now()))
            self.world.trace_event(sim_fault.trace_text())
            method_name = f"_play_{sim_fault.kind.replace('-', '_')}"
            inject: Callable[[SimFault], Coroutine[Any, Any, None]] = getattr(self, method_name)
            tasks.append(self.world.loop.create_task(inject(sim_fault)))
        await asyncio.gather(*tasks)

    async def _end_after_duration(self, sim_fault: SimFault, end: Callable[[], None]) -> None:
        if not sim_fault.is_permanent:
            await pause(self.world, sim_fault.fault_duration_micros)
            end()

    def _choose_machine(self, role: str, sim_fault: SimFault) -> str:
        """Chooses a target by the fault's random number, among the machines of a role that are healthy and not leaving.

        This keeps two faults from hitting the same machine at once. If no machine qualifies, the first one is chosen.
        """
        names_by_role = {
            "core": sorted(self.fleet.cores),
            "node": sorted(self.fleet.nodes),
            "worker": self.fleet.current_workers(),
        }
        names = [
            n
            for n in names_by_role[role]
            if self.fleet.fault_log.is_healthy(n, self.world.now()) and n not in self.leaving
        ]
        return names[sim_fault.target_index % len(names)] if names else names_by_role[role][0]

    async def _kill_and_restart(self, sim_fault: SimFault, names: list[str], loses_power: bool = False) -> None:
        killed_names = [n for n in names if self.world.machine(n).is_alive]
        for name in killed_names:
            self.fleet.kill(name, loses_power)

        def start() -> None:
            for name in killed_names:
                if self._should_restart(name):
                    self.fleet.start(name)

        await self._end_after_duration(sim_fault, start)

    def _should_restart(self, name: str) -> bool:
        return not self.world.machine(name).is_alive and (
            name in self.fleet.cores
            or name in self.fleet.nodes
            or (f"{name}:2" in self.fleet.back_ends and name not in self.fleet.removed_workers)
        )

    async def _freeze_and_wake(self, sim_fault: SimFault, name: str) -> None:
        self.world.machine(name).kernel_accepts_connections = sim_fault.target_index % 3 > 0
        self.fleet.freeze(name)
        await self._end_after_duration(sim_fault, lambda: self.fleet.wake(name))

    async def _cut_and_restore(
        self, sim_fault: SimFault, names: list[str], others: list[str], both_ways: bool = True
    ) -> None:
        pairs = self.fleet.cut(names, others, both_ways)
        await self._end_after_duration(sim_fault, lambda: self.fleet.restore_links(pairs))

    def _sorted_machine_names(self) -> list[str]:
        return sorted(self.world.machines)

    # ---- cores -----------------------------------------------------------------------------------

    async def _play_core_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, [self._choose_core(sim_fault)])

    async def _play_core_power(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, [self._choose_core(sim_fault)], loses_power=True)

    async def _play_core_frozen(self, sim_fault: SimFault) -> None:
        await self._freeze_and_wake(sim_fault, self._choose_core(sim_fault))

    async def _play_core_isolated(self, sim_fault: SimFault) -> None:
        await self._cut_and_restore(sim_fault, [self._choose_core(sim_fault)], self._sorted_machine_names())

    async def _play_core_stalled(self, sim_fault: SimFault) -> None:
        await self._inject_disk_fault(sim_fault, "stalled")

    async def _play_core_full(self, sim_fault: SimFault) -> None:
        await self._inject_disk_fault(sim_fault, "full")

    async def _inject_disk_fault(self, sim_fault: SimFault, kind: str) -> None:
        name = self._choose_core(sim_fault)
        self.fleet.set_disk(name, kind, True)
        await self._end_after_duration(sim_fault, lambda: self.fleet.set_disk(name, kind, False))

    async def _play_core_replaced(self, sim_fault: SimFault) -> None:
        name = self._choose_core(sim_fault)
        await self.fleet.apply(self.fleet.marked_description(self._next_mark()))
        if not self.world.machine(name).is_alive:
            return
        self.fleet.destroy_core(name)
        self.fleet.add_core(f"core-{len(self.fleet.startups) + 1}")

    async def _play_core_split(self, sim_fault: SimFault) -> None:
        leader = self.fleet.leader() or self._choose_core(sim_fault)
        await self._cut_and_restore(sim_fault, [leader], [n for n in sorted(self.fleet.cores) if n != leader])

    async def _play_cores_slow(self, sim_fault: SimFault) -> None:
        for name in sorted(self.fleet.cores):
            self.world.machine(name).disk.slowness = 10
        self.fleet.fault_log.record_disturbance(self.world.now())
        await self._end_after_duration(sim_fault, self._restore_disk_speed)

    def _restore_disk_speed(self) -> None:
        for name in sorted(self.fleet.cores):
            self.world.machine(name).disk.slowness = 1

    async def _play_all_cores_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, sorted(self.fleet.cores), loses_power=sim_fault.target_index % 2 > 0)

    async def _play_all_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(
            sim_fault, [*sorted(self.fleet.cores), *sorted(self.fleet.nodes)], sim_fault.target_index % 2 > 0
        )

    async def _play_area_cut_off(self, sim_fault: SimFault) -> None:
        area = self.fleet.deployment.areas[sim_fault.target_index % 3]
        names = [n for n in self._sorted_machine_names() if self.fleet.area_of(n) == area]
        await self._cut_and_restore(sim_fault, names, [n for n in self._sorted_machine_names() if n not in names])

    def _choose_core(self, sim_fault: SimFault) -> str:
        """Chooses the leader in half of the cases, if there is one, and otherwise any healthy core."""
        leader = self.fleet.leader()
        return leader if leader and sim_fault.target_index % 2 else self._choose_machine("core", sim_fault)

    # ---- nodes -----------------------------------------------------------------------------------

    async def _play_node_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, [self._choose_machine("node", sim_fault)])

    async def _play_nodes_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, sorted(self.fleet.nodes))

    async def _play_node_frozen(self, sim_fault: SimFault) -> None:
        await self._freeze_and_wake(sim_fault, self._choose_machine("node", sim_fault))

    async def _play_node_isolated(self, sim_fault: SimFault) -> None:
        await self._cut_and_restore(sim_fault, [self._choose_machine("node", sim_fault)], self._sorted_machine_names())

    async def _play_node_cut_from_cores(self, sim_fault: SimFault) -> None:
        name = self._choose_machine("node", sim_fault)
        await self._cut_and_restore(sim_fault, [name], [*sorted(self.fleet.cores), *sorted(self.fleet.nodes)])

    async def _play_node_deaf(self, sim_fault: SimFault) -> None:
        workers = [n for n in self._sorted_machine_names() if n.startswith("worker-")]
        await self._cut_and_restore(sim_fault, workers, [self._choose_machine("node", sim_fault)], both_ways=False)

    async def _play_node_frozen_connecting(self, sim_fault: SimFault) -> None:
        await self._freeze_on_connect(sim_fault, JOB_CONNECTION)

    async def _play_holder_frozen_commanding(self, sim_fault: SimFault) -> None:
        await self._freeze_on_connect(sim_fault, COMMAND_CONNECTION)

    async def _freeze_on_connect(self, sim_fault: SimFault, purpose: str) -> None:
        name = self._choose_machine("node", sim_fault)
        frozen_names: list[str] = []

        def freeze(_: object) -> None:
            self.fleet.freeze(name)
            frozen_names.append(name)

        self.world.connect_hooks[name, purpose] = freeze
        end_micros = self.world.now() + 3 * SECOND
        while not frozen_names and self.world.now() < end_micros:
            await pause(self.world, 20 * MILLI)
        self.world.connect_hooks.pop((name, purpose), None)
        await pause(self.world, sim_fault.fault_duration_micros)
        if frozen_names:
            self.fleet.wake(name)

    # ---- workers and the store -------------------------------------------------------------------

    async def _play_worker_killed(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, [self._choose_machine("worker", sim_fault)])

    async def _play_worker_frozen(self, sim_fault: SimFault) -> None:
        await self._freeze_and_wake(sim_fault, self._choose_machine("worker", sim_fault))

    async def _play_worker_isolated(self, sim_fault: SimFault) -> None:
        await self._cut_and_restore(
            sim_fault, [self._choose_machine("worker", sim_fault)], self._sorted_machine_names()
        )

    async def _play_worker_slow(self, sim_fault: SimFault) -> None:
        speed = self.fleet.worker_speeds[self._choose_machine("worker", sim_fault)]
        usual_speed = (speed.prefill_micros, speed.line_micros, speed.long_line_micros)
        speed.prefill_micros, speed.line_micros, speed.long_line_micros = (3 * micros for micros in usual_speed)
        self.fleet.fault_log.record_disturbance(self.world.now())
        await pause(self.world, sim_fault.fault_duration_micros)
        speed.prefill_micros, speed.line_micros, speed.long_line_micros = usual_speed
        self.fleet.fault_log.record_disturbance(self.world.now())

    async def _play_worker_hangs(self, sim_fault: SimFault) -> None:
        await self._inject_load_fault(sim_fault, "hangs")

    async def _play_worker_fails(self, sim_fault: SimFault) -> None:
        await self._inject_load_fault(sim_fault, "fails")

    async def _inject_load_fault(self, sim_fault: SimFault, load_fault: str) -> None:
        model = self.fleet.worker(self._choose_machine("worker", sim_fault))
        model.load_fault = load_fault
        await self._name_next_weights()
        await pause(self.world, sim_fault.fault_duration_micros)
        model.load_fault = ""
        self.fleet.fault_log.record_disturbance(self.world.now())

    async def _play_worker_silent(self, sim_fault: SimFault) -> None:
        model = self.fleet.worker(self._choose_machine("worker", sim_fault))
        model.event_log.reports_suppressed = True
        await pause(self.world, sim_fault.fault_duration_micros)
        model.event_log.reports_suppressed = False

    async def _play_worker_replaced(self, sim_fault: SimFault) -> None:
        """Destroys a worker for good; after the fault's duration, another is started at a new address and listed."""
        name = self._choose_machine("worker", sim_fault)
        self.fleet.kill(name, loses_power=True)
        await pause(self.world, sim_fault.fault_duration_micros)
        await self.fleet.replace_worker(name)

    async def _play_worker_leaving(self, sim_fault: SimFault) -> None:
        name = self._choose_machine("worker", sim_fault)
        self.leaving.add(name)
        await self.fleet.mark_leaving(name)
        await pause(self.world, 3 * SECOND + sim_fault.fault_duration_micros)
        await self.fleet.clear_leaving(name)
        self.leaving.discard(name)

    async def _play_links_slow(self, sim_fault: SimFault) -> None:
        cache_transfers = [
            cache_transfer
            for a in sorted(self.fleet.back_ends)
            if a.startswith("worker-")
            and isinstance(cache_transfer := self.fleet.worker(a.partition(":")[0]).cache_transfer, SimCacheTransfer)
        ]
        for cache_transfer in cache_transfers:
            cache_transfer.slowness = 30
        await pause(self.world, sim_fault.fault_duration_micros)
        for cache_transfer in cache_transfers:
            cache_transfer.slowness = 1

    async def _play_store_empty(self, sim_fault: SimFault) -> None:
        await self._kill_and_restart(sim_fault, ["store"])

    async def _play_casts_lost(self, sim_fault: SimFault) -> None:
        self.fleet.set_datagram_loss(0.3, 0.1)
        await self._end_after_duration(sim_fault, lambda: self.fleet.set_datagram_loss(0.0))

    # ---- operators -------------------------------------------------------------------------------

    def _next_mark(self) -> str:
        self.mark_number += 1
        return f"s{self.mark_number}"

    async def _play_apply(self, sim_fault: SimFault) -> None:
        await self.fleet.apply(self.fleet.marked_description(self._next_mark()))

    async def _play_race(self, sim_fault: SimFault) -> None:
        base = self.fleet.description_revision
        descriptions = [self.fleet.marked_description(self._next_mark()) for _ in range(2)]
        await asyncio.gather(*(self.fleet.apply(d, base) for d in descriptions))

    async def _play_grows(self, sim_fault: SimFault) -> None:
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

    async def _play_weights(self, sim_fault: SimFault) -> None:
        await self._name_next_weights()

    async def _play_weights_twice(self, sim_fault: SimFault) -> None:
        await self._name_next_weights()
        await pause(self.world, sim_fault.fault_duration_micros // 8)
        await self._name_next_weights()

    async def _name_next_weights(self) -> None:
        self.weights_number += 1
        await self.fleet.name_weights(f"w{self.weights_number}")

    async def _play_key_withdrawn(self, sim_fault: SimFault) -> None:
        tenant_name = self.fleet.deployment.tenant_names[
            sim_fault.target_index % len(self.fleet.deployment.tenant_names)
        ]
        if tenant_name in self.fleet.withdrawn_tenants:
            return
        await self._set_key_withdrawn(tenant_name, True)
        await pause(self.world, 4 * SECOND + sim_fault.fault_duration_micros)
        await self._set_key_withdrawn(tenant_name, False)

    async def _set_key_withdrawn(self, tenant_name: str, is_key_withdrawn: bool) -> None:
        """Applies the change with the current base until it succeeds, as other operators' changes may come first."""
        (self.fleet.withdrawn_tenants.add if is_key_withdrawn else self.fleet.withdrawn_tenants.discard)(tenant_name)
        while await self.fleet.apply(self.fleet.marked_description(self._next_mark())) != "done":
            await pause(self.world, 50 * MILLI)
        if is_key_withdrawn:
            self.fleet.ledger.tenant_withdrawals.append((tenant_name, self.world.now()))
