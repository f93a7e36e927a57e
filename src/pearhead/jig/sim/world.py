"""World (§9.5): machines, links and disks on virtual time, with every fault of the brief."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from pearhead.awl.clock import MILLI, SECOND, Timer, rest
from pearhead.awl.crew import Crew
from pearhead.awl.net import Receiver
from pearhead.jig.sim.loop import VirtualLoop

LINK_MICROS = (200, 900)
DISK_MICROS = (400, 2_500)
Action = Callable[[], None]


class Machine:
    """One process on its own machine. What comes for it passes its gate, shut while it is frozen."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.chance = random.Random(world.chance.getrandbits(64))
        # Each machine booted at another time, and its crystal may be quick or slow.
        self.clockBase = self.chance.randrange(10**6, 10**12)
        self.clockSince = 0
        self.clockRate = 1.0
        self.isAlive = False
        self.isFrozen = False
        # A stopped process's kernel still takes connections for it; a stopped machine's does not.
        self.kernelAnswers = True
        self.life = 0
        self.heldActions: list[Action] = []
        self.crew = Crew(name)
        self.disk = SimDisk(self)

    def now(self) -> int:
        return self.clockBase + round((self.world.now() - self.clockSince) * self.clockRate)

    def set_rate(self, clockRate: float) -> None:
        """From here on; what it counted stays counted."""
        self.clockBase, self.clockSince, self.clockRate = self.now(), self.world.now(), clockRate

    def to_world(self, ownMicros: int) -> int:
        return self.clockSince + round((ownMicros - self.clockBase) / self.clockRate)

    def after(self, delayMicros: int, callback: Action) -> Timer:
        return self.world.loop.call_later(max(delayMicros, 0) / self.clockRate / SECOND, self.gate(callback))

    def gate(self, action: Action) -> Action:
        life = self.life

        def pass_gate() -> None:
            if not self.isAlive or self.life != life:
                return
            if self.isFrozen:
                self.heldActions.append(pass_gate)
            else:
                action()

        return pass_gate

    def boot(self) -> None:
        self.life += 1
        self.isAlive, self.isFrozen = True, False
        self.heldActions = []
        self.crew = Crew(self.name)

    def crash(self, losesPower: bool) -> None:
        self.isAlive = False
        self.disk.crash(losesPower)
        self.crew.stop()

    def freeze(self) -> None:
        self.isFrozen = True

    def wake(self) -> None:
        self.isFrozen = False
        held, self.heldActions = self.heldActions, []
        for action in held:
            self.world.loop.call_soon(action)


class SimNet:
    def __init__(self, machine: Machine, address: str) -> None:
        self.machine = machine
        self.world = machine.world
        self.address = address
        self.receiver: Receiver = lambda frameBytes: None
        self.world.nets[address] = self

    def listen(self, frameReceiver: Receiver) -> None:
        self.receiver = frameReceiver

    def send(self, targetAddress: str, frameBytes: bytes) -> None:
        self.world.transmit(self.machine, targetAddress, frameBytes, True)

    def cast(self, targetAddress: str, datagramBytes: bytes) -> None:
        self.world.transmit(self.machine, targetAddress, datagramBytes, False)


class SimDisk:
    """Bytes last once synced. A crash may tear what was being written; an emptied disk is a new one."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.files: dict[str, bytes] = {}
        self.unsynced: dict[str, bytes] = {}
        self.isFull = False
        self.isStalled = False
        self.slowness = 1
        self.syncCount = 0

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, fileName: str) -> bytes:
        return self.files[fileName]

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        if self.isFull:
            keptSize = self.machine.chance.randrange(len(contentBytes) + 1)
            self.files[fileName] = self.files.get(fileName, b"") + contentBytes[:keptSize]
            raise OSError(errno.ENOSPC, "no space left")
        self.unsynced[fileName] = contentBytes
        await self._sync()
        del self.unsynced[fileName]
        self.files[fileName] = self.files.get(fileName, b"") + contentBytes

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        if self.isFull:
            raise OSError(errno.ENOSPC, "no space left")
        await self._sync()
        self.files[fileName] = contentBytes

    async def remove(self, fileName: str) -> None:
        await self._sync()
        self.files.pop(fileName, None)

    async def truncate(self, fileName: str, keptSize: int) -> None:
        await self._sync()
        self.files[fileName] = self.files[fileName][:keptSize]

    async def _sync(self) -> None:
        self.syncCount += 1
        await rest(self.machine, self.machine.chance.randrange(*DISK_MICROS) * self.slowness)
        while self.isStalled:
            await rest(self.machine, 50 * MILLI)

    def crash(self, losesPower: bool) -> None:
        for fileName, contentBytes in self.unsynced.items():
            # Without power, all, some or none of the batch is there; after a kill the system writes on.
            keptSize = self.machine.chance.randrange(len(contentBytes) + 1) if losesPower else len(contentBytes)
            self.files[fileName] = self.files.get(fileName, b"") + contentBytes[:keptSize]
        self.unsynced = {}

    def empty(self) -> None:
        self.files, self.unsynced = {}, {}


class World:
    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.seed = seed
        self.chance = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.nets: dict[str, SimNet] = {}
        self.cuts: set[tuple[str, str]] = set()
        # By node and purpose: what happens as a handshake of it is over, before the node hears of it.
        self.connectTraps: dict[tuple[str, str], Callable[[Machine], None]] = {}
        self.castLoss = 0.0
        self.castDouble = 0.0
        self.lastArrivals: dict[tuple[str, str], int] = {}
        self.runHash = hashlib.blake2b(digest_size=8)
        self.trace: list[str] = []
        self.sentCount = 0

    def now(self) -> int:
        return self.loop.now()

    def note(self, text: str) -> None:
        self.trace.append(f"{self.now() / SECOND:9.3f} {text}")
        self.runHash.update(f"{self.now()} {text}".encode())

    def machine(self, name: str) -> Machine:
        if name not in self.machines:
            self.machines[name] = Machine(self, name)
        return self.machines[name]

    # ---- links -----------------------------------------------------------------------------------

    def is_cut(self, fromName: str, toName: str) -> bool:
        return (fromName, toName) in self.cuts

    def cut(self, firstNames: list[str], secondNames: list[str], bothWays: bool = True) -> None:
        for first in firstNames:
            for second in secondNames:
                if first != second:
                    self.cuts.add((first, second))
                    if bothWays:
                        self.cuts.add((second, first))

    def heal(self) -> None:
        self.note("heals")
        self.cuts.clear()

    def link_micros(self) -> int:
        return self.chance.randrange(*LINK_MICROS)

    def transmit(self, source: Machine, targetAddress: str, frameBytes: bytes, isStream: bool) -> None:
        if not source.isAlive:
            return
        self.sentCount += 1
        self.runHash.update(b"%d %d" % (self.now(), len(frameBytes)))
        targetNet = self.nets.get(targetAddress)
        if targetNet is None:
            return
        target = targetNet.machine
        copyCount = 1
        if not isStream:
            if self.chance.random() < self.castLoss:
                return
            copyCount += self.chance.random() < self.castDouble
        for _ in range(copyCount):
            arrivalMicros = self.now() + self.link_micros() * (1 if isStream else self.chance.randrange(1, 4))
            if isStream:
                pair = (source.name, target.name)
                arrivalMicros = max(arrivalMicros, self.lastArrivals.get(pair, 0) + 1)
                self.lastArrivals[pair] = arrivalMicros
            deliver = target.gate(lambda: targetNet.receiver(frameBytes))

            def arrive(deliver: Action = deliver) -> None:
                # A cut that began underway loses it too.
                if not self.is_cut(source.name, target.name):
                    deliver()

            self.loop.call_later((arrivalMicros - self.now()) / SECOND, arrive)

    # ---- calls from outside, and HTTP in between ----------------------------------------------------

    async def call_into(
        self, target: Machine, fromName: str, work: Callable[[], Coroutine[Any, Any, Any]], limitMicros: int
    ) -> Result[Any, str]:
        """Runs work inside a machine, as a request over a link; Err if no answer came back."""
        resultFuture: asyncio.Future[Result[Any, str]] = self.loop.create_future()

        def settle(givenResult: Result[Any, str]) -> None:
            if not resultFuture.done():
                resultFuture.set_result(givenResult)

        def go_back(givenResult: Result[Any, str]) -> None:
            if not self.is_cut(target.name, fromName):
                self.loop.call_later(self.link_micros() / SECOND, settle, givenResult)

        async def run() -> None:
            try:
                givenResult = await work()
            except asyncio.CancelledError:
                go_back(Err("reset"))
                raise
            except Exception as fault:  # noqa: BLE001 - the other side sees a failed request
                go_back(Err(repr(fault)))
                return
            go_back(Ok(givenResult))

        hasLink = not self.is_cut(fromName, target.name) and not self.is_cut(target.name, fromName)

        def arrive() -> None:
            if not hasLink or self.is_cut(fromName, target.name):
                return
            if not target.isAlive:
                go_back(Err("refused"))
                return
            target.gate(lambda: void(target.crew.start(run())))()

        self.loop.call_later(self.link_micros() / SECOND, arrive)
        limitTimer = self.loop.call_later(limitMicros / SECOND, settle, Err("timeout"))
        try:
            return await resultFuture
        finally:
            limitTimer.cancel()


def void(_: object) -> None:
    return None


async def pause(world: World, micros: int) -> None:
    await asyncio.sleep(micros / SECOND)


def run_virtual(seed: int, play: Callable[[World], Coroutine[Any, Any, Any]]) -> Any:
    """Runs one play to its end on a loop of its own."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(loop, seed)
    try:
        return loop.run_until_complete(play(world))
    finally:
        for machine in world.machines.values():
            machine.isAlive = False
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
