"""Simulates machines, links and disks on virtual time, with all faults that the requirements name (§9.5)."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Timer, sleep_for
from pearhead.runtime.net import Receiver
from pearhead.testbed.simulator.uplink import Uplink
from pearhead.testbed.simulator.virtual_loop import VirtualLoop

LINK_LATENCY_MICROS = (200, 900)
DISK_SYNC_MICROS = (400, 2_500)
Action = Callable[[], None]


class Machine:
    """One process and the machine that it runs on.

    Everything that reaches the process, messages and timers alike, is guarded: callbacks are deferred while the machine
    is frozen, and dropped once the process that they were meant for has ended.

    Attributes:
        rng: Random generator of this machine.
        clock_rate: How fast its clock runs, compared with the world's.
        kernel_accepts_connections: Whether connections are accepted while it is frozen.
        boot_count: Number of starts; tells the runs of the process apart.
        deferred_actions: Callbacks held back while it is frozen.
        task_group: Tasks of the running process, which a crash ends.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.rng = random.Random(world.rng.getrandbits(64))
        # Clocks of different machines have unrelated offsets, and set_rate() makes them drift.
        self.clock_base = self.rng.randrange(10**6, 10**12)
        self.clock_rate_set_at = 0
        self.clock_rate = 1.0
        self.is_alive = False
        self.is_frozen = False
        # The kernel accepts connections for a process that is suspended, but not on a machine that is.
        self.kernel_accepts_connections = True
        self.boot_count = 0
        self.deferred_actions: list[Action] = []
        self.task_group = BackgroundTaskGroup(name)
        self.disk = SimDisk(self)

    def now(self) -> int:
        """Returns the machine's own clock in microseconds."""
        return self.clock_base + round((self.world.now() - self.clock_rate_set_at) * self.clock_rate)

    def set_rate(self, clock_rate: float) -> None:
        """Changes the rate of the clock from now on, without a jump."""
        self.clock_base, self.clock_rate_set_at, self.clock_rate = self.now(), self.world.now(), clock_rate

    def to_world_micros(self, own_micros: int) -> int:
        """Converts a reading of this clock to virtual time; valid for times since the last set_rate()."""
        return self.clock_rate_set_at + round((own_micros - self.clock_base) / self.clock_rate)

    def after(self, delay_micros: int, callback: Action) -> Timer:
        """Calls `callback` after a delay by this machine's clock, guarded as by guard_callback()."""
        return self.world.loop.call_later(
            max(delay_micros, 0) / self.clock_rate / SECOND, self.guard_callback(callback)
        )

    def guard_callback(self, action: Action) -> Action:
        """Wraps a callback: it is deferred while the machine is frozen, and dropped if the process has ended."""
        boot_count = self.boot_count

        def run_unless_frozen() -> None:
            if not self.is_alive or self.boot_count != boot_count:
                return
            if self.is_frozen:
                self.deferred_actions.append(run_unless_frozen)
            else:
                action()

        return run_unless_frozen

    def boot(self) -> None:
        """Starts a new process; callbacks for the previous one no longer run."""
        self.boot_count += 1
        self.is_alive, self.is_frozen = True, False
        self.deferred_actions = []
        self.task_group = BackgroundTaskGroup(self.name)

    def crash(self, loses_power: bool) -> None:
        """Ends the process; `loses_power` also loses or tears writes that are not synced yet."""
        self.is_alive = False
        self.disk.crash(loses_power)
        self.task_group.stop()

    def freeze(self) -> None:
        """Suspends the process: callbacks are deferred until wake()."""
        self.is_frozen = True

    def wake(self) -> None:
        """Resumes the process and schedules the deferred callbacks in their order."""
        self.is_frozen = False
        deferred_actions, self.deferred_actions = self.deferred_actions, []
        for action in deferred_actions:
            self.world.loop.call_soon(action)


class SimNetwork:
    """The network interface of a process, with the interface of the real transport."""

    def __init__(self, machine: Machine, address: str) -> None:
        self.machine = machine
        self.world = machine.world
        self.address = address
        self.receiver: Receiver = lambda frame_bytes: None
        self.world.networks_by_address[address] = self

    def listen(self, frame_receiver: Receiver) -> None:
        """Has received frames and datagrams passed to `frame_receiver`."""
        self.receiver = frame_receiver

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        """Sends a frame over the stream to another process; frames arrive in order, unless a cut loses them."""
        self.world.transmit(self.machine, target_address, frame_bytes, True)

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        """Sends a datagram, which may be lost, duplicated or reordered."""
        self.world.transmit(self.machine, target_address, datagram_bytes, False)


class SimDisk:
    """The files of a machine. Data is durable once it is synced; a crash may tear an append that is not.

    Attributes:
        files: Durable contents by file name.
        unsynced: Bytes of the append in progress, by file name.
        is_full: Whether writes fail with ENOSPC; an append then leaves a random part of its bytes.
        is_stalled: Whether syncs wait until it is false again.
        slowness: Factor on the sync time.
        sync_count: Number of syncs so far.
    """

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.files: dict[str, bytes] = {}
        self.unsynced: dict[str, bytes] = {}
        self.is_full = False
        self.is_stalled = False
        self.slowness = 1
        self.sync_count = 0

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        """Returns the content of a file. Raises KeyError if it does not exist."""
        return self.files[file_name]

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """Appends to a file, made if needed, and syncs it. Raises OSError if the disk is full."""
        if self.is_full:
            kept_size = self.machine.rng.randrange(len(content_bytes) + 1)
            self.files[file_name] = self.files.get(file_name, b"") + content_bytes[:kept_size]
            raise OSError(errno.ENOSPC, "no space left")
        self.unsynced[file_name] = content_bytes
        await self._sync()
        del self.unsynced[file_name]
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """Replaces a file atomically and syncs it. Raises OSError if the disk is full."""
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left")
        await self._sync()
        self.files[file_name] = content_bytes

    async def remove(self, file_name: str) -> None:
        """Removes a file, if it exists."""
        await self._sync()
        self.files.pop(file_name, None)

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """Shortens a file to its first `kept_size` bytes."""
        await self._sync()
        self.files[file_name] = self.files[file_name][:kept_size]

    async def _sync(self) -> None:
        self.sync_count += 1
        await sleep_for(self.machine, self.machine.rng.randrange(*DISK_SYNC_MICROS) * self.slowness)
        while self.is_stalled:
            await sleep_for(self.machine, 50 * MILLI)

    def crash(self, loses_power: bool) -> None:
        """Settles which bytes of the appends in progress survive."""
        for file_name, content_bytes in self.unsynced.items():
            # A power loss keeps any prefix of the append; after a kill the operating system still writes all of it.
            kept_size = self.machine.rng.randrange(len(content_bytes) + 1) if loses_power else len(content_bytes)
            self.files[file_name] = self.files.get(file_name, b"") + content_bytes[:kept_size]
        self.unsynced = {}

    def empty(self) -> None:
        """Deletes all files, as if the disk were replaced by a new one."""
        self.files, self.unsynced = {}, {}


class World:
    """All machines of a run, the links between them and the faults of these links.

    Attributes:
        rng: Random generator that decides everything outside the machines.
        cuts: Blocked directions, as pairs of the sender's and the receiver's name.
        connect_hooks: By node and connection purpose, called once with the worker's machine when a handshake is done,
            before the node learns of it.
        datagram_loss: Share of datagrams that are lost.
        datagram_duplication: Share of datagrams that arrive twice.
        last_arrivals: Latest arrival on the stream of each pair of machines, which keeps its frames in order.
        uplinks: Outgoing links of bounded rate, by machine; messages of other machines leave at once.
        run_hash: Digest of the trace and of the time and size of each message sent.
        trace: Noted lines.
        sent_count: Number of messages sent.
    """

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.seed = seed
        self.rng = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.networks_by_address: dict[str, SimNetwork] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.connect_hooks: dict[tuple[str, str], Callable[[Machine], None]] = {}
        self.datagram_loss = 0.0
        self.datagram_duplication = 0.0
        self.last_arrivals: dict[tuple[str, str], int] = {}
        self.uplinks: dict[str, Uplink] = {}
        self.run_hash = hashlib.blake2b(digest_size=8)
        self.trace: list[str] = []
        self.sent_count = 0

    def now(self) -> int:
        """Returns the virtual time in microseconds."""
        return self.loop.now()

    def trace_event(self, text: str) -> None:
        """Adds a line to the trace and to the run hash; another text gives another hash."""
        self.trace.append(f"{self.now() / SECOND:9.3f} {text}")
        self.run_hash.update(f"{self.now()} {text}".encode())

    def machine(self, name: str) -> Machine:
        """Returns the machine of this name, which is made on first use."""
        if name not in self.machines:
            self.machines[name] = Machine(self, name)
        return self.machines[name]

    # ---- links -----------------------------------------------------------------------------------

    def is_cut(self, from_name: str, to_name: str) -> bool:
        """Whether messages in this direction are lost."""
        return (from_name, to_name) in self.cuts

    def cut(self, first_names: list[str], second_names: list[str], both_ways: bool = True) -> None:
        """Blocks messages from each of the first machines to each of the second, and back if `both_ways`."""
        for first in first_names:
            for second in second_names:
                if first != second:
                    self.cuts.add((first, second))
                    if both_ways:
                        self.cuts.add((second, first))

    def heal(self) -> None:
        """Ends all cuts."""
        self.trace_event("heals")
        self.cuts.clear()

    def link_micros(self) -> int:
        """Draws the latency of one message."""
        return self.rng.randrange(*LINK_LATENCY_MICROS)

    def transmit(self, source: Machine, target_address: str, frame_bytes: bytes, is_stream: bool) -> None:
        """Sends a frame or datagram to an address, subject to the faults of the link."""
        if not source.is_alive:
            return
        self.sent_count += 1
        self.run_hash.update(b"%d %d" % (self.now(), len(frame_bytes)))
        target_net = self.networks_by_address.get(target_address)
        if target_net is None:
            return
        target = target_net.machine
        copy_count = 1
        if not is_stream:
            if self.rng.random() < self.datagram_loss:
                return
            copy_count += self.rng.random() < self.datagram_duplication
        departure_micros = self._departure(source, frame_bytes, is_stream)
        if departure_micros is None:
            return
        for _ in range(copy_count):
            arrival_micros = departure_micros + self.link_micros() * (1 if is_stream else self.rng.randrange(1, 4))
            if is_stream:
                pair = (source.name, target.name)
                arrival_micros = max(arrival_micros, self.last_arrivals.get(pair, 0) + 1)
                self.last_arrivals[pair] = arrival_micros
            deliver = target.guard_callback(lambda: target_net.receiver(frame_bytes))

            def arrive(deliver: Action = deliver) -> None:
                # A message in flight is lost too when a cut begins.
                if not self.is_cut(source.name, target.name):
                    deliver()

            self.loop.call_later((arrival_micros - self.now()) / SECOND, arrive)

    def _departure(self, source: Machine, frame_bytes: bytes, is_stream: bool) -> int | None:
        """Returns when the message has left its machine; None if the uplink dropped it."""
        uplink = self.uplinks.get(source.name)
        return self.now() if uplink is None else uplink.enqueue(self.now(), len(frame_bytes), is_stream)

    # ---- requests from outside, and HTTP between machines ----------------------------------------

    async def run_on_machine(
        self, target: Machine, from_name: str, work: Callable[[], Coroutine[Any, Any, Any]], limit_micros: int
    ) -> Result[Any, str]:
        """Runs `work` on a machine, as a request over a link, and returns its result.

        Err if no answer came within `limit_micros`, or with the reason if the request was refused or failed. The work
        may go on after that.
        """
        result_future: asyncio.Future[Result[Any, str]] = self.loop.create_future()

        def settle(outcome: Result[Any, str]) -> None:
            if not result_future.done():
                result_future.set_result(outcome)

        def send_reply(outcome: Result[Any, str]) -> None:
            if not self.is_cut(target.name, from_name):
                self.loop.call_later(self.link_micros() / SECOND, settle, outcome)

        async def run() -> None:
            try:
                outcome = await work()
            except asyncio.CancelledError:
                send_reply(Err("reset"))
                raise
            except Exception as fault:  # noqa: BLE001 - the requester sees a failed request
                send_reply(Err(repr(fault)))
                return
            send_reply(Ok(outcome))

        has_link = not self.is_cut(from_name, target.name) and not self.is_cut(target.name, from_name)

        def arrive() -> None:
            if not has_link or self.is_cut(from_name, target.name):
                return
            if not target.is_alive:
                send_reply(Err("refused"))
                return
            target.guard_callback(lambda: discard_result(target.task_group.start(run())))()

        self.loop.call_later(self.link_micros() / SECOND, arrive)
        limit_timer = self.loop.call_later(limit_micros / SECOND, settle, Err("timeout"))
        try:
            return await result_future
        finally:
            limit_timer.cancel()


def discard_result(_: object) -> None:
    """Turns an expression with a result into one without, for lambdas that must return None."""
    return None


async def pause(world: World, micros: int) -> None:
    """Waits for this much virtual time."""
    await asyncio.sleep(micros / SECOND)


def run_in_virtual_time(seed: int, scenario: Callable[[World], Coroutine[Any, Any, Any]]) -> Any:
    """Runs `scenario` in a new world on a loop of its own, and returns its result.

    Afterwards all machines count as dead, so that no callback of theirs runs, and the remaining tasks are cancelled.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(loop, seed)
    try:
        return loop.run_until_complete(scenario(world))
    finally:
        for machine in world.machines.values():
            machine.is_alive = False
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
