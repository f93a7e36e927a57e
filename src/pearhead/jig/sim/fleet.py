"""SimFleet (§9.5): a whole deployment on one world, with operators, platform and callers."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok

from pearhead.anvil.core import CoreProcess
from pearhead.awl.clock import MILLI, SECOND
from pearhead.awl.description import build_checked
from pearhead.awl.startup import Startup
from pearhead.awl.wire_pb2 import Command, CommandResult, PurgeNote, Worker
from pearhead.jig.deployment import Deployment, build_description, draw_job, tenant_key
from pearhead.jig.sim.edges import BackEnd, BackEnds, SimCarrier, SimFetch, SimLink
from pearhead.jig.sim.ledger import JobTrace, Ledger, Send, WorkerCommand
from pearhead.jig.sim.world import SimNet, World, pause
from pearhead.jig.workermodel import ApplicationModel, Pace, RunRecord, StoreModel, WorkerModel
from pearhead.lathe.errors import ERROR_TABLE, NOT_RUN, Refusal
from pearhead.lathe.job import read_job
from pearhead.lathe.node import NodeProcess
from pearhead.vise.wal import WalCorrupt

OUTSIDE = "outside"
NOT_OPEN = "not open"
COMMAND_MICROS = 6 * SECOND
JOB_MICROS = 20 * SECOND
UP_MICROS = 20 * SECOND


async def void_call(call: Coroutine[Any, Any, JobTrace]) -> None:
    await call


class _TracePen:
    """The caller's end of a stream: lines cross a link, and a gone caller is a closed pipe."""

    def __init__(self, world: World, trace: JobTrace) -> None:
        self.world = world
        self.trace = trace

    async def write(self, line: dict[str, Any]) -> None:
        self.trace.lines.append(json.loads(json.dumps(line)))


class SimFleet:
    def __init__(self, world: World, deployment: Deployment, nodeCount: int = 0, workerCount: int = 0,
                 digestEvery: int = 400) -> None:
        self.world = world
        self.deployment = deployment
        self.digestEvery = digestEvery
        self.ledger = Ledger(deployment)
        self.book = self.ledger.book
        self.nodeCount = nodeCount or deployment.nodeCount
        self.workerCount = workerCount or deployment.workerCount
        self.cores: dict[str, CoreProcess] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self.backEnds: BackEnds = {}
        self.paces: dict[str, Pace] = {}
        self.startups: dict[str, Startup] = {}
        self.knownDead: set[str] = set()
        self.jobNumber = 0
        self.applyNumber = 0
        self.loadTasks: list[asyncio.Task[None]] = []
        self.workerNumber = self.workerCount
        self.goneWorkers: set[str] = set()
        self.withdrawnTenants: set[str] = set()
        self.leftOut: frozenset[int] = frozenset()
        self.burstTasks: list[asyncio.Task[None]] = []
        self.actions: list[tuple[int, str, dict[str, Any]]] = []
        self.leavingSince: dict[str, int] = {}
        self.openJobs: set[asyncio.Task[None]] = set()
        self.descriptionRevision = 0
        self.buildNode: Callable[[NodeProcess], None] = lambda node: None
        self.buildCore: Callable[[CoreProcess], None] = lambda core: None
        coreNames = [f"core-{n + 1}" for n in range(deployment.coreCount)]
        self.coreAddresses = [f"{name}:1" for name in coreNames]
        for name in coreNames:
            self.startups[name] = self._startup(name, founders=self.coreAddresses)
        for number in range(self.nodeCount):
            name = f"node-{number + 1}"
            self.startups[name] = self._startup(name, founders=[])

    def area_of(self, name: str) -> str:
        """Machines of each role go round the areas by their numbers; those that are single are in the last."""
        _, _, numberText = name.partition("-")
        return self.deployment.areas[(int(numberText) - 1) % 3 if numberText else 2]

    def _startup(self, name: str, founders: list[str]) -> Startup:
        return Startup(
            address=f"{name}:1", httpAddress=f"{name}:2", area=self.area_of(name),
            seeds=self.coreAddresses, founders=founders, dataFolder="disk", digestEvery=self.digestEvery,
            keptEntries=self.digestEvery // 4,
        )

    # ---- the platform ------------------------------------------------------------------------------

    def start_core(self, name: str) -> None:
        machine = self.world.machine(name)
        machine.boot()
        startup = self.startups[name]

        def fail(reason: str) -> None:
            self.world.note(f"{name} must stop: {reason}")
            self.kill(name)

        core = CoreProcess(
            startup, machine, SimNet(machine, startup.address), machine.disk, machine.chance, fail
        )
        core.crew = machine.crew
        self._watch_bumps(core)
        self._watch_grants(core)
        self.buildCore(core)
        self.cores[name] = core

        async def start() -> None:
            try:
                await core.start()
            except WalCorrupt as fault:
                fail(str(fault))

        machine.crew.start(start())
        self.world.note(f"starts {name}")

    def start_node(self, name: str) -> None:
        machine = self.world.machine(name)
        machine.boot()
        startup = self.startups[name]
        node = NodeProcess(
            startup, machine, SimNet(machine, startup.address), SimCarrier(
                machine, self.backEnds, lambda upstreamId, worker: self._watch_send(name, upstreamId, worker)
            ),
            SimLink(machine, self.backEnds, self._watch_command), machine.chance,
        )
        # The machine's crew is what a crash ends.
        for part in (node, node.keeper, node.listener, node.holder):
            part.crew = machine.crew
        self.buildNode(node)
        node.start()
        machine.crew.start(node.wait_open())
        self.nodes[name] = node
        self.world.note(f"starts {name}")

    def start_back_end(self, name: str) -> None:
        machine = self.world.machine(name)
        machine.boot()
        address = f"{name}:2"

        def watch(record: RunRecord) -> None:
            record.atMicros = machine.to_world(record.atMicros)
            self.ledger.runs.append((name, record))

        model: WorkerModel | ApplicationModel | StoreModel
        if name == "store":
            model = StoreModel(machine.chance)
        elif name == "desk":
            model = ApplicationModel(machine, watch)
        else:
            model = WorkerModel(machine, machine.chance, SimFetch(machine, self.backEnds, "store:2"), watch)
            model.pace = self.paces.setdefault(name, self._draw_pace())
        self.backEnds[address] = BackEnd(machine, model)
        self.world.note(f"starts {name}")

    def present_workers(self) -> list[str]:
        names = [b.machine.name for a, b in sorted(self.backEnds.items()) if a.startswith("worker-")]
        return [n for n in names if n not in self.goneWorkers]

    def _draw_pace(self) -> Pace:
        """Workers of unlike speed; long results stream for one to three seconds."""
        chance = self.world.chance
        return Pace(
            chance.randrange(40, 120), chance.randrange(10, 25) * MILLI, chance.randrange(120, 260) * MILLI,
            chance.randrange(1_000, 2_500) * MILLI, chance.random() < 0.5,
        )

    def worker(self, name: str) -> WorkerModel:
        model = self.backEnds[f"{name}:2"].model
        assert isinstance(model, WorkerModel)
        return model

    def _act(self, kind: str, **more: Any) -> None:
        self.actions.append((self.world.now(), kind, more))

    def cut(
        self, firstNames: list[str], secondNames: list[str], bothWays: bool = True
    ) -> list[tuple[str, str]]:
        before = set(self.world.cuts)
        self.world.cut(firstNames, secondNames, bothWays)
        pairs = sorted(self.world.cuts - before)
        for pair in pairs:
            self.book.begin("cut", pair, self.world.now())
        self._act("cut", pairs=[list(pair) for pair in pairs])
        return pairs

    def mend(self, pairs: list[tuple[str, str]]) -> None:
        """Heals only these, while other cuts stand."""
        self._act("mend", pairs=[list(pair) for pair in pairs])
        self.world.note(f"mends {len(pairs)} links")
        for pair in pairs:
            self.book.end("cut", pair, self.world.now())
            self.world.cuts.discard(pair)

    async def replace_worker(self, name: str) -> None:
        """A machine of another name and address comes for one that is gone for good."""
        self.goneWorkers.add(name)
        await self.add_worker()

    async def add_worker(self) -> str:
        self.workerNumber += 1
        newName = f"worker-{self.workerNumber}"
        self.start_back_end(newName)
        self._note_names()
        await self.set_workers()
        return newName

    def is_loaded(self, workerName: str) -> bool:
        """Whether all nodes that stand know it to be loaded."""
        return all(workerName in n.keeper.view.loads for name, n in self.nodes.items() if self._lives(name))

    def heal(self) -> None:
        self._act("heal")
        for pair in sorted(self.world.cuts):
            self.book.end("cut", pair, self.world.now())
        self.world.heal()

    def start(self, name: str) -> None:
        self._act("start", name=name)
        self.knownDead.discard(name)
        self.book.end("dead", (name,), self.world.now())
        self.book.end("frozen", (name,), self.world.now())
        if name.startswith("core-"):
            self.start_core(name)
            self._note_names()
        elif name.startswith("node-"):
            self.start_node(name)
            self._note_names()
        else:
            self.start_back_end(name)

    def kill(self, name: str, losesPower: bool = False) -> None:
        self._act("power" if losesPower else "kill", name=name)
        self.world.note(f"{'cuts the power of' if losesPower else 'kills'} {name}")
        if self._lives(name):
            self.book.begin("dead", (name,), self.world.now())
        self.world.machine(name).crash(losesPower)
        process = self.cores.get(name) or self.nodes.get(name)
        if process is not None and hasattr(process, "courier"):
            process.courier.stop()
        # The platform notices a dead node after a while, and hands no connections to it.
        self.world.loop.call_later(1.0, lambda: self.knownDead.add(name) if not self._lives(name) else None)

    async def stop_planned(self, name: str) -> None:
        """As the platform does planned work: hand out no more connections, drain, then stop."""
        self.world.note(f"stops {name} as planned")
        self.ledger.plannedCount += 1
        machine = self.world.machine(name)
        process = self.cores.get(name) or self.nodes.get(name)
        if process is not None:
            self.knownDead.add(name)
            await self.world.call_into(machine, OUTSIDE, process.drain, 40 * SECOND)
        elif name.startswith("worker-"):
            await self.mark_leaving(name)
            await pause(self.world, 3 * SECOND)
            await self.until(lambda: not self.worker(name).runningCount, f"{name} is empty")
        self.kill(name)

    def freeze(self, name: str) -> None:
        self._act("freeze", name=name)
        self.world.note(f"freezes {name}")
        if not self.world.machine(name).isFrozen:
            self.book.begin("frozen", (name,), self.world.now())
        self.world.machine(name).freeze()

    def wake(self, name: str) -> None:
        self._act("wake", name=name)
        self.world.note(f"wakes {name}")
        self.book.end("frozen", (name,), self.world.now())
        self.world.machine(name).wake()

    def set_disk(self, name: str, kind: str, isOn: bool) -> None:
        """Stalls or fills a disk, or ends it."""
        self.world.note(f"the disk of {name} is {kind if isOn else 'well again'}")
        disk = self.world.machine(name).disk
        if kind == "stalled":
            disk.isStalled = isOn
        else:
            disk.isFull = isOn
        if isOn:
            self.book.begin("disk", (name,), self.world.now())
        else:
            self.book.end("disk", (name,), self.world.now())

    def set_cast_loss(self, loss: float, double: float = 0.0) -> None:
        self.world.castLoss, self.world.castDouble = loss, double
        self.book.disturb(self.world.now())

    def lose_core(self, name: str) -> None:
        """Power and disk are gone for good."""
        self.kill(name, losesPower=True)
        self.world.machine(name).disk.empty()
        self.forget_core(name)

    def forget_core(self, name: str) -> None:
        self.cores.pop(name)
        self._note_names()

    def add_node(self, name: str) -> None:
        """A node that is given only the cores of now for seeds."""
        liveAddresses = [self.startups[n].address for n in self.live_cores()]
        self.startups[name] = dataclasses.replace(
            self._startup(name, founders=[]), seeds=liveAddresses
        )
        self.start(name)

    def add_core(self, name: str) -> None:
        """An empty machine at a new address; seeds are whatever cores live now."""
        liveAddresses = [self.startups[n].address for n in self.live_cores()]
        self.startups[name] = Startup(
            address=f"{name}:1", httpAddress=f"{name}:2", area=self.area_of(name), dataFolder="disk",
            seeds=liveAddresses or self.coreAddresses, founders=self.coreAddresses, digestEvery=self.digestEvery,
            keptEntries=self.digestEvery // 4,
        )
        self.start(name)

    def _lives(self, name: str) -> bool:
        return self.world.machine(name).isAlive

    def live_cores(self) -> list[str]:
        return [n for n in sorted(self.cores) if self._lives(n)]

    def leader(self) -> str:
        """The core that leads the highest epoch, if any."""
        leaders = [(self.cores[n].raft.epoch, n) for n in self.live_cores()
                   if hasattr(self.cores[n], "raft") and self.cores[n].raft.is_leader()]
        return max(leaders)[1] if leaders else ""

    # ---- start -------------------------------------------------------------------------------------

    async def up(self) -> None:
        names = [*self.startups, "store", "desk", *(f"worker-{n + 1}" for n in range(self.workerCount))]
        for name in names:
            self.start(name)
        await self.set_workers()
        await self.apply(build_description(self.deployment))
        await self.until(self._is_ready, "the fleet is up")
        self._note_names()
        self.book.standings.clear()
        self.book.eventMicros.clear()
        self.world.note("is up")

    def _note_names(self) -> None:
        self.ledger.coreNames, self.ledger.nodeNames = set(self.cores), set(self.nodes)
        self.ledger.workerNames = set(self.present_workers())
        self.book.machineNames = set(self.world.machines)

    def _is_ready(self) -> bool:
        for name, node in self.nodes.items():
            view = node.keeper.view
            if not self._lives(name):
                continue
            if not node.keeper.is_current() or len(view.loads) < self.workerCount:
                return False
            if {f.weightsRevision for f in view.loads.values()} != {w.revision for w in view.weights.values()}:
                return False
        return True

    async def until(self, isReached: Callable[[], bool], what: str, limitMicros: int = UP_MICROS) -> None:
        endMicros = self.world.now() + limitMicros
        while not isReached():
            if self.world.now() > endMicros:
                self.ledger.breaches.append(f"not in time: {what}")
                return
            await pause(self.world, 50 * MILLI)

    # ---- operators -----------------------------------------------------------------------------------

    async def command(self, command: Command, coreName: str = "") -> CommandResult | None:
        """One try at one core, as an operator's request; None if no answer came back."""
        coreName = coreName or self.world.chance.choice(sorted(self.cores))
        machine = self.world.machine(coreName)

        async def work() -> CommandResult:
            # Whichever process listens there by then.
            return await self.cores[coreName].execute(command)

        givenResult = await self.world.call_into(machine, OUTSIDE, work, COMMAND_MICROS)
        return None if isinstance(givenResult, Err) else givenResult.ok_value

    async def insist(self, command: Command) -> CommandResult:
        """Asks core after core, by the same transaction, until an outcome is known."""
        while True:
            result = await self.command(command)
            if result is not None and result.status not in ("unavailable", "unknown"):
                return result
            await pause(self.world, 200 * MILLI)

    def start_burst(self, tenant: str, jobsASecond: float, kind: str) -> None:
        """One tenant sends far more than the others."""

        async def burst() -> None:
            while True:
                await pause(self.world, round(self.world.chance.expovariate(jobsASecond) * SECOND))
                self.jobNumber += 1
                job: dict[str, Any] = {"model": self.deployment.line, "kind": kind, "body": f"{kind} {self.jobNumber}",
                       "jobId": f"burst-{self.jobNumber}"}
                if kind == self.deployment.longKind:
                    job.update(body=f"long {self.jobNumber}", prefix=[{"part": 900, "tokens": 2_000}])
                nodeName = self.world.chance.choice(sorted(self.nodes))
                callTask = self.world.loop.create_task(void_call(self.call(nodeName, tenant, job)))
                self.openJobs.add(callTask)
                callTask.add_done_callback(self.openJobs.discard)

        if not self.burstTasks:
            self.book.begin("burst", ("callers",), self.world.now())
        self.burstTasks.append(self.world.loop.create_task(burst()))

    def end_bursts(self) -> None:
        for burstTask in self.burstTasks:
            burstTask.cancel()
        self.burstTasks.clear()
        self.book.end("burst", ("callers",), self.world.now())

    def draw_transaction(self) -> bytes:
        return self.world.chance.randbytes(8)

    async def set_workers(self, removed: tuple[str, ...] = ()) -> None:
        """The platform's whole list: what there is, without what operators marked."""
        command = Command(transaction=self.draw_transaction())
        for address, backEnd in sorted(self.backEnds.items()):
            name = backEnd.machine.name
            if name in removed or name in self.goneWorkers:
                continue
            service = {"store": "kept-parts", "desk": "desk"}.get(name, "models")
            command.workers.worker.append(Worker(
                name=name, address=address, area=self.area_of(name), service=service
            ))
        await self.insist(command)
        for name in removed:
            self.leavingSince.setdefault(name, self.world.now())
        self.world.note(f"the worker list is acknowledged, removed {removed}")

    async def mark_leaving(self, *names: str) -> None:
        command = Command(transaction=self.draw_transaction())
        command.workers.partial = True
        command.workers.leaving.extend(names)
        result = await self.insist(command)
        for name in names:
            self.leavingSince.setdefault(name, self.world.now())
        self.world.note(f"leaving {names}: {result.status}")

    async def mark_staying(self, *names: str) -> None:
        startMicros = self.world.now()
        command = Command(transaction=self.draw_transaction())
        command.workers.partial = True
        command.workers.staying.extend(names)
        result = await self.insist(command)
        for name in names:
            self.ledger.leavings.append((name, self.leavingSince.pop(name), startMicros))
        self.world.note(f"staying {names}: {result.status}")

    async def apply(self, description: dict[str, Any], base: int | None = None) -> str:
        command = Command(transaction=self.draw_transaction())
        command.apply.baseRevision = self.descriptionRevision if base is None else base
        command.apply.description = json.dumps(description).encode()
        startMicros = self.world.now()
        result = await self.insist(command)
        if result.status == "done":
            revision = json.loads(result.body)["revision"]
            self.descriptionRevision = max(self.descriptionRevision, revision)
            self.ledger.descriptions[revision] = build_checked(description)
            self.ledger.applies.append((revision, self.world.now()))
            self.ledger.applySpans.append((startMicros, self.world.now(), revision))
        else:
            marks = {t["name"] for t in description["tenants"]} - set(self.deployment.tenantNames)
            if marks:
                self.ledger.losers.append(frozenset(marks))
        self.world.note(f"apply: {result.status}")
        return result.status

    def start_reads(self) -> None:
        """An operator who reads the state again and again, at whichever core answers."""
        self.loadTasks.append(self.world.loop.create_task(self._read_on()))

    async def _read_on(self) -> None:
        while True:
            await pause(self.world, self.world.chance.randrange(50 * MILLI, 400 * MILLI))
            core = self.cores[self.world.chance.choice(sorted(self.cores))]
            if not hasattr(core, "raft"):
                continue
            startMicros = self.world.now()
            machine = self.world.machine(core.startup.address.split(":")[0])
            found = await self.world.call_into(machine, OUTSIDE, core.read_fleet, SECOND)
            if not isinstance(found, Err) and found.ok_value is not None:
                self.ledger.reads.append((startMicros, self.world.now(), found.ok_value["descriptionRevision"]))

    def marked_description(self, mark: str) -> dict[str, Any]:
        """A description told apart by one more tenant, which no caller uses."""
        description = build_description(self.deployment)
        description["tenants"] = [t for t in description["tenants"] if t["name"] not in self.withdrawnTenants]
        description["tenants"].append({"name": f"mark-{mark}", "keyHashes": []})
        return description

    async def name_weights(self, name: str, base: int = 0) -> str:
        command = Command(transaction=self.draw_transaction())
        command.weights.line, command.weights.weights = self.deployment.line, name
        command.weights.baseRevision = base
        self._act("weights", weights=name)
        result = await self.insist(command)
        if result.status == "done":
            self.ledger.namings.append((json.loads(result.body)["revision"], self.world.now(), name))
        self.world.note(f"weights {name}: {result.status}")
        return result.status

    async def weights_revision(self) -> int:
        """As an operator reads it, at whichever core leads."""
        while True:
            for core in self.cores.values():
                state = await core.read_fleet() if hasattr(core, "raft") else None
                if state is not None:
                    return int(state["weights"][self.deployment.line]["revision"])
            await pause(self.world, 100 * MILLI)

    # ---- callers -------------------------------------------------------------------------------------

    def start_load(self, jobsASecond: float) -> None:
        self.ledger.isLoaded = True
        self.loadTasks.append(self.world.loop.create_task(self._call_on(jobsASecond)))

    async def end_load(self) -> None:
        for loadTask in self.loadTasks + self.burstTasks:
            loadTask.cancel()
        endMicros = self.world.now() + JOB_MICROS + SECOND
        while self.openJobs and self.world.now() < endMicros:
            await pause(self.world, 100 * MILLI)
        self.ledger.endMicros = self.world.now()
        for name, sinceMicros in self.leavingSince.items():
            self.ledger.leavings.append((name, sinceMicros, self.world.now()))
        await self.until(lambda: bool(self.leader()), "a leader at the end")
        if self.leader():
            lastFleet = self.cores[self.leader()].fleet
            self.ledger.lastRevisions = {item["revision"] for item in lastFleet.history}
            self.ledger.lastWeights = lastFleet.weights.get(self.deployment.line, {}).get("revision", 0)
            self.ledger.lastParts = lastFleet.parts
        for node in self.nodes.values():
            self.ledger.retryCount += node.budget.retryCount
            self.ledger.carriedCount += node.budget.jobCount

    async def _call_on(self, jobsASecond: float) -> None:
        while True:
            await pause(self.world, round(self.world.chance.expovariate(jobsASecond) * SECOND))
            callTask = self.world.loop.create_task(self._call())
            self.openJobs.add(callTask)
            callTask.add_done_callback(self.openJobs.discard)

    async def _call(self) -> None:
        self.jobNumber += 1
        tenant, job = draw_job(self.deployment, self.world.chance, self.jobNumber)
        choices = [n for n in sorted(self.nodes) if n not in self.knownDead and self._is_open(n)]
        if not choices:
            # Nobody takes connections: the caller is not served either.
            self.ledger.jobs[job["jobId"]] = JobTrace(
                job, tenant, "", self.world.now(), outcome="unreached", isRefused=True, endMicros=self.world.now()
            )
            return
        await self.call(self.world.chance.choice(choices), tenant, job)

    def _is_open(self, nodeName: str) -> bool:
        """The platform tries a node that starts, and hands it connections once it takes them."""
        return self.nodes[nodeName].isOpen or not self._lives(nodeName)

    async def call(self, nodeName: str, tenant: str, job: dict[str, Any]) -> JobTrace:
        trace = self.ledger.jobs[job["jobId"]] = JobTrace(job, tenant, nodeName, self.world.now())
        machine = self.world.machine(nodeName)
        pen = _TracePen(self.world, trace)

        async def work() -> Any:
            # Whichever process listens there by then; one that is not open yet takes no connections.
            node = self.nodes[nodeName]
            if not node.isOpen:
                return NOT_OPEN
            request = read_job(json.dumps(job).encode()).unwrap()
            return await node.run_job(tenant_key(self.deployment, tenant), request, pen)

        givenResult: Any = await self.world.call_into(machine, OUTSIDE, work, JOB_MICROS)
        if givenResult == Ok(NOT_OPEN):
            givenResult = Err("refused")
        trace.endMicros = self.world.now()
        if isinstance(givenResult, Err):
            # No answer at all: the caller can't tell, unless it never reached the node.
            trace.outcome = "unreached" if givenResult.err_value == "refused" else "no answer"
            trace.isRefused = givenResult.err_value == "refused"
        elif isinstance(givenResult.ok_value, Err):
            refusal: Refusal = givenResult.ok_value.err_value
            trace.outcome = refusal.kind.value
            trace.isRefused = ERROR_TABLE[refusal.kind].ran == NOT_RUN
            trace.comeBackSeconds = refusal.come_back_seconds()
            if trace.isRefused and trace.lines:
                self.ledger.breaches.append(f"{job['jobId']} was refused after a line")
        else:
            trace.outcome = "done"
        return trace

    # ---- watching -------------------------------------------------------------------------------------

    def _watch_send(self, nodeName: str, upstreamId: str, worker: str) -> None:
        """The first byte of a job leaves its node."""
        view = self.nodes[nodeName].keeper.view
        self.ledger.sends[upstreamId] = Send(
            nodeName, self.world.machine(nodeName).life, self.world.now(), upstreamId.split(".")[0], worker,
            view.descriptionRevision,
            frozenset(t.name for t in view.description.tenants if t.name.startswith("mark-")),
        )

    def _watch_command(self, nodeName: str, workerName: str, fence: int, sentMicros: int) -> None:
        self.ledger.commands.append(WorkerCommand(nodeName, workerName, fence, sentMicros, self.world.now()))

    def _watch_grants(self, core: CoreProcess) -> None:
        """When a hold was first applied by any core: it was committed no later."""
        realApply = core.apply

        def apply(index: int, commandBytes: bytes) -> dict[str, Any]:
            outcome = realApply(index, commandBytes)
            command = Command.FromString(commandBytes)
            if command.HasField("hold") and outcome["status"] == "done":
                grant = (command.hold.holder, self.world.now())
                self.ledger.grants.setdefault((command.hold.worker, outcome["fence"]), grant)
            return outcome

        core.apply = apply  # type: ignore[method-assign]

    def _watch_bumps(self, core: CoreProcess) -> None:
        realBump = core.bump

        async def bump(note: PurgeNote) -> tuple[int, int] | None:
            numbered = await realBump(note)
            if numbered is not None:
                self.ledger.bumps.append((
                    f"{note.owner}/{note.line}", note.part, note.revisionRequest.transaction.hex(), numbered[0]
                ))
            return numbered

        core.bump = bump  # type: ignore[method-assign]
