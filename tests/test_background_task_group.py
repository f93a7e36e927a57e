"""BackgroundTaskGroup: loops that a process needs are started again when they fail (§2.2).

Guards against a node that lives on without a loop that an exception ended, as review case 8 describes it for the loop
that announces a node's load.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

from pearhead.config.startup import StartupConfig
from pearhead.consensus.persistence import LogWriter
from pearhead.router.gateway import GatewayProcess, GatewaySettings
from pearhead.runtime.background_task_group import MAX_RETAINED_EXCEPTIONS, BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.simulator.world import Machine, World, pause, run_in_virtual_time


class FailingLoop:
    """Fails at its first `failure_count` starts, and then runs until it is cancelled."""

    def __init__(self, world: World, failure_count: int) -> None:
        self.world = world
        self.failure_count = failure_count
        self.started_micros: list[int] = []

    async def run(self) -> None:
        self.started_micros.append(self.world.now())
        if len(self.started_micros) <= self.failure_count:
            raise ValueError("a loop that fails")
        await pause(self.world, 3_600 * SECOND)


def booted_machine(world: World) -> Machine:
    machine = world.machine("m")
    machine.boot()
    return machine


class SupervisionTest(unittest.TestCase):
    def play(self, failure_count: int, micros: int) -> tuple[FailingLoop, BackgroundTaskGroup]:
        async def scenario(world: World) -> tuple[FailingLoop, BackgroundTaskGroup]:
            group, loop = BackgroundTaskGroup("test"), FailingLoop(world, failure_count)
            group.supervise("failing", booted_machine(world), loop.run)
            await pause(world, micros)
            group.stop()
            return loop, group

        with self.assertLogs("pearhead", "ERROR"):
            played: tuple[FailingLoop, BackgroundTaskGroup] = run_in_virtual_time(1, scenario)
        return played

    def test_a_loop_that_fails_is_started_again_after_growing_delays(self) -> None:
        loop, group = self.play(3, 10 * SECOND)
        gaps = [after - before for before, after in zip(loop.started_micros, loop.started_micros[1:], strict=False)]
        self.assertEqual(gaps, [100 * MILLI, 200 * MILLI, 400 * MILLI])
        self.assertEqual((group.supervised_failures, len(group.exceptions)), ({"failing": 3}, 3))

    def test_a_loop_that_always_fails_uses_bounded_memory_and_processor_time(self) -> None:
        loop, group = self.play(10**9, 3_600 * SECOND)
        self.assertLess(len(loop.started_micros), 800)
        self.assertEqual(len(group.exceptions), MAX_RETAINED_EXCEPTIONS)

    def test_a_loop_that_returns_is_done(self) -> None:
        async def scenario(world: World) -> dict[str, int]:
            group = BackgroundTaskGroup("test")

            async def run_once() -> None:
                return None

            task = group.supervise("once", booted_machine(world), run_once)
            await pause(world, SECOND)
            self.assertTrue(task.done())
            return group.supervised_failures

        self.assertEqual(run_in_virtual_time(1, scenario), {"once": 0})


class GatewayLoopsTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_loop_of_a_gateway_is_supervised(self) -> None:
        # Guards against a loop that ends unwatched: the process would live on and never announce its load again.
        startup = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"])
        runtime = FakeRuntime()
        unused: Any = None
        gateway = GatewayProcess(startup, GatewaySettings(), runtime, runtime, unused, unused, random.Random(1))
        started: list[Any] = []
        gateway.task_group.start = started.append  # type: ignore[method-assign,assignment]
        gateway.start()
        for coroutine in started:
            self.assertEqual(coroutine.__name__, "_run_supervised")
            coroutine.close()
        self.assertEqual(len(started), len(gateway.task_group.supervised_failures))
        self.assertIn("load_announcer", gateway.task_group.supervised_failures)


class CoreLoopsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.failures: list[str] = []

        class WorkingDisk:
            async def append(self, records: list[Any]) -> None:
                return None

        unused: Any = None
        disk: Any = WorkingDisk()
        self.writer = LogWriter(unused, disk, FakeRuntime(), self.failures.append)

    async def test_a_log_writer_that_fails_ends_the_process(self) -> None:
        # Guards against a core that lives on and never writes its log again.
        def fail() -> None:
            raise ValueError("a callback that fails")

        self.writer.persist([], fail)
        with self.assertRaises(ValueError):
            await self.writer.run()
        self.assertEqual(len(self.failures), 1)
        self.assertIn("the log writer failed", self.failures[0])

    async def test_a_wait_for_the_writer_that_is_given_up_does_not_end_it(self) -> None:
        waiting = asyncio.ensure_future(self.writer.drain())
        await asyncio.sleep(0)
        waiting.cancel()
        running = asyncio.ensure_future(self.writer.run())
        await asyncio.wait([asyncio.ensure_future(self.writer.drain()), running], return_when=asyncio.FIRST_COMPLETED)
        self.assertFalse(running.done(), "the writer has ended")
        self.assertEqual(self.failures, [])
        running.cancel()


if __name__ == "__main__":
    unittest.main()
