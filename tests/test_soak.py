"""The soak test itself: its schedules, fault proxies, log scan and checks of a broken fleet, and a short run."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, BootClock
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.client import CallReport, RequestGenerator
from pearhead.testbed.emulator.launcher import ROOT
from pearhead.testbed.emulator.ledger import LedgerFile, SiteLedger, Trouble
from pearhead.testbed.emulator.plan import PlanMaker, SiteSize
from pearhead.testbed.emulator.raw_http import RawConnection
from pearhead.testbed.emulator.rules import SiteBounds, TroubleHistory
from pearhead.testbed.soak.fault_proxy import NO_LINK_FAULT, TOO_MANY_REQUESTS, FaultProxy, LinkFault
from pearhead.testbed.soak.fault_runner import FaultRunner
from pearhead.testbed.soak.fleet import NotReadyError, ProxiedNodeSelector, SoakFleet
from pearhead.testbed.soak.log_scanner import LogScanner, error_lines
from pearhead.testbed.soak.run import check_final_state, run_seed
from pearhead.testbed.soak.schedule import (
    SHORT_PROFILE,
    FaultKind,
    ScheduledFault,
    ScheduleGenerator,
    SoakProfile,
)
from pearhead.testbed.soak.traffic import SoakClient

SHORT_SEED = 1


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_the_same_schedule_and_another_gives_another(self) -> None:
        profile = SoakProfile()
        first = ScheduleGenerator(profile, 1).generate()
        self.assertEqual(first, ScheduleGenerator(profile, 1).generate())
        self.assertNotEqual(first, ScheduleGenerator(profile, 2).generate())
        self.assertEqual([f.begin_micros for f in first], sorted(f.begin_micros for f in first))

    def test_all_kinds_come_over_many_seeds(self) -> None:
        kinds = {f.kind for seed in range(20) for f in ScheduleGenerator(SoakProfile(), seed).generate()}
        self.assertEqual(kinds, set(FaultKind))

    def test_two_or_three_overlap_at_most_moments_of_a_stretch(self) -> None:
        for seed in range(5):
            faults = ScheduleGenerator(SoakProfile(seconds=14.0), seed).generate()
            moments = range(2 * SECOND, 13 * SECOND, 250 * MILLI)
            counts = [sum(f.begin_micros <= at < f.begin_micros + f.duration_micros for f in faults) for at in moments]
            self.assertLessEqual(max(counts), 3)
            self.assertGreater(sum(count >= 2 for count in counts), 0.6 * len(counts))

    def test_no_process_is_struck_twice_at_a_time(self) -> None:
        for seed in range(20):
            taken: dict[str, ScheduledFault] = {}
            for fault in ScheduleGenerator(SoakProfile(), seed).generate():
                for name in fault.targets:
                    if name in taken:
                        self.assertGreaterEqual(fault.begin_micros, taken[name].end_micros)
                    taken[name] = fault


class EchoServer:
    """Sends each line back in upper case."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.lines: list[bytes] = []
        self.reset_count = 0

    async def open(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                self.lines.append(line)
                writer.write(line.upper())
                await writer.drain()
        except ConnectionResetError:
            self.reset_count += 1
        writer.close()


class FaultProxyTest(unittest.TestCase):
    def run_scenario(self, scenario: Coroutine[Any, Any, None]) -> None:
        async def run() -> None:
            async with asyncio.timeout(20):
                await scenario

        asyncio.run(run())

    async def open(self) -> tuple[EchoServer, FaultProxy, str]:
        echo = EchoServer()
        proxy = FaultProxy("127.0.0.1:0", await echo.open(), random.Random(1))
        await proxy.open()
        assert proxy.server is not None
        return echo, proxy, str(proxy.server.sockets[0].getsockname()[1])

    async def close(self, echo: EchoServer, proxy: FaultProxy) -> None:
        await proxy.close()
        assert echo.server is not None
        echo.server.close()

    def test_a_sound_link_passes_bytes_and_ends(self) -> None:
        async def scenario() -> None:
            echo, proxy, port = await self.open()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"one\n")
            self.assertEqual(await reader.readline(), b"ONE\n")
            writer.write_eof()
            self.assertEqual(await reader.read(), b"")
            writer.close()
            await self.close(echo, proxy)

        self.run_scenario(scenario())

    def test_a_cut_link_holds_bytes_until_it_heals(self) -> None:
        async def scenario() -> None:
            echo, proxy, port = await self.open()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"one\n")
            await reader.readline()
            proxy.set_fault(LinkFault(is_cut=True))
            writer.write(b"two\n")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.readline(), 0.1)
            self.assertEqual(echo.lines, [b"one\n"])
            proxy.set_fault(NO_LINK_FAULT)
            self.assertEqual(await reader.readline(), b"TWO\n")
            writer.close()
            await self.close(echo, proxy)

        self.run_scenario(scenario())

    def test_what_was_sent_before_a_reset_does_not_arrive_once_a_cut_link_heals(self) -> None:
        """A proxy must drop what it holds when the sender resets the connection, as a kernel does.

        Otherwise it would deliver a configuration change late, after its sender has given it up.
        """

        async def scenario() -> None:
            echo, proxy, port = await self.open()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"one\n")
            await reader.readline()
            proxy.set_fault(LinkFault(is_cut=True))
            writer.write(b"two\n")
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await asyncio.sleep(0.05)
            proxy.set_fault(NO_LINK_FAULT)
            await asyncio.sleep(0.05)
            await self.close(echo, proxy)

        self.run_scenario(scenario())

    def test_a_connection_that_only_the_proxy_took_counts_as_unread(self) -> None:
        """Without the proxy the caller's connection would have been refused, so the request may be sent again."""

        async def scenario() -> None:
            echo, proxy, port = await self.open()
            proxy.address = f"127.0.0.1:{port}"
            plan = PlanMaker(ACADEMY, SiteSize(1, 1, 1), 1, 9).make()
            ledger = SiteLedger()
            client = SoakClient(
                "c", ProxiedNodeSelector(plan.machines_of("router")), BootClock(), random.Random(1), ledger
            )
            client.proxies = {proxy.address: proxy}
            request = RequestGenerator(plan, plan.config, random.Random(2)).draw()
            assert echo.server is not None
            for target, is_unread in ((proxy.target_address, False), ("127.0.0.1:1", True)):
                proxy.target_address = target
                connection = RawConnection(proxy.address)
                await connection.open()
                outcome = await client._exchange(request, "r", connection, 0, BootClock().now() + SECOND // 5)
                self.assertEqual(outcome.is_unread, is_unread)
                connection.close()
            await self.close(echo, proxy)

        self.run_scenario(scenario())

    def test_faults_of_answers(self) -> None:
        async def scenario() -> None:
            echo, proxy, port = await self.open()
            proxy.set_fault(LinkFault(reset_probability=1.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"one\n")
            with self.assertRaises(ConnectionResetError):
                await reader.readline()
            proxy.set_fault(LinkFault(loss_probability=1.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"two\n")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.readline(), 0.1)
            self.assertEqual(echo.lines, [b"one\n", b"two\n"])
            writer.close()
            proxy.set_fault(LinkFault(is_refusing=True))
            with self.assertRaises(ConnectionResetError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                await reader.readexactly(1)
            proxy.set_fault(LinkFault(canned_response=TOO_MANY_REQUESTS))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 429 "))
            writer.close()
            proxy.set_fault(LinkFault(delay_micros=100 * MILLI))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"three\n")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.05)
            writer.close()
            await self.close(echo, proxy)

        self.run_scenario(scenario())


class LogScanTest(unittest.TestCase):
    def test_errors_and_tracebacks_are_told(self) -> None:
        clean_log = "2026-12-02T03:36:44.250765Z WARNING consensus: The disk is full.\nERROR of another form\n"
        error_line = "2026-12-02T03:36:44.250765Z ERROR edge: Unhandled exception in a request handler."
        self.assertEqual(error_lines(clean_log), [])
        self.assertEqual(error_lines(clean_log + error_line), [error_line])
        invariant = "2026-12-02T03:36:44.250765Z ERROR daemon: An invariant does not hold. invariant=order detail='x'"
        self.assertEqual(error_lines(invariant), [invariant])
        self.assertEqual(len(error_lines("Traceback (most recent call last):\n  File x\n")), 1)
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "front-1.log").write_text(error_line)
            self.assertEqual(
                list(LogScanner(Path(folder), TroubleHistory(SiteLedger(), SiteBounds()), 0).find_errors()),
                [f"front-1: {error_line}"],
            )

    def test_an_old_list_of_workers_counts_only_where_list_and_node_are_in_touch(self) -> None:
        line = (
            "1970-01-01T00:01:40.000000Z ERROR daemon: An invariant does not hold. invariant=roster_is_fresh detail=9"
        )
        for trouble, count in (
            ([], 1),
            ([("cloud", "cut", 95)], 1),
            ([("cloud", "cut", 98)], 0),
            ([("cloud", "cut", 80), ("cloud", "healed", 98)], 0),
            ([("cloud", "cut", 80), ("cloud", "healed", 96)], 1),
            ([("front-1", "woken", 99)], 0),
            ([("front-2", "woken", 99)], 1),
        ):
            ledger = SiteLedger([Trouble(at * SECOND, name, "", what) for name, what, at in trouble])
            with self.subTest(trouble), tempfile.TemporaryDirectory() as folder:
                Path(folder, "front-1.log").write_text(line)
                found = list(LogScanner(Path(folder), TroubleHistory(ledger, SiteBounds()), 0).find_errors())
                self.assertEqual(len(found), count)


class FakeFleet(SoakFleet):
    """A fleet without processes: a test sets which are dead, and which front nodes are not ready."""

    def __init__(self, folder: str, dead: tuple[str, ...] = (), unready: tuple[str, ...] = ()) -> None:
        super().__init__(folder)
        self.plan = {"processes": {"core-1": {}, "front-1": {}}}
        self.dead, self.unready = dead, unready

    def is_alive(self, name: str) -> bool:
        return name not in self.dead

    async def _unready_nodes(self) -> list[str]:
        return list(self.unready)


class OwnChecksTest(unittest.TestCase):
    """Each check that a soak run makes finds the failure that is set up for it, and nothing else."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def found_at_the_end(self, fleet: FakeFleet, done_count: int) -> list[str]:
        return [b.rule for b in check_final_state(fleet, CallReport(Counter(done=done_count)))]

    def test_what_is_down_or_not_served_at_the_end(self) -> None:
        self.assertEqual(self.found_at_the_end(FakeFleet(self.folder), 1), [])
        self.assertEqual(self.found_at_the_end(FakeFleet(self.folder, dead=("front-1",)), 1), ["ENDED"])
        self.assertEqual(self.found_at_the_end(FakeFleet(self.folder), 0), ["SERVED"])

    def test_a_process_that_ended_by_itself_before_it_was_struck(self) -> None:
        sink = LedgerFile(Path(self.folder, "operator.jsonl"))
        runner = FaultRunner(FakeFleet(self.folder, dead=("core-1",)), 1, sink, lambda config: None)
        runner.record_unexpected_exits(("front-1", "core-1"))
        self.assertEqual(runner.unexpected_exits, ["core-1"])
        sink.close()

    def test_a_fault_waits_for_an_earlier_one_of_the_same_process(self) -> None:
        """On a busy machine a fault may end late; the next one must not find its process still down.

        It would be recorded as a process that ended by itself.
        """

        async def scenario() -> list[str]:
            sink = LedgerFile(Path(self.folder, "operator.jsonl"))
            runner = FaultRunner(FakeFleet(self.folder), 1, sink, lambda config: None)
            events: list[str] = []

            async def inject(fault: ScheduledFault) -> None:
                events.append(f"{fault.count} begins")
                await asyncio.sleep(0.05)
                events.append(f"{fault.count} ends")

            runner._inject = inject  # type: ignore[method-assign]
            first = ScheduledFault(0, 1, FaultKind.KILL_CORE, ("core-1",), 1)
            both = ScheduledFault(10 * MILLI, 1, FaultKind.KILL_ALL_CORES, ("core-2", "core-1"), 2)
            await runner.run([first, both])
            sink.close()
            return events

        self.assertEqual(asyncio.run(scenario()), ["1 begins", "1 ends", "2 begins", "2 ends"])

    def test_a_front_node_that_does_not_become_ready(self) -> None:
        asyncio.run(FakeFleet(self.folder).wait_all_ready(0))
        with self.assertRaisesRegex(NotReadyError, "front-1"):
            asyncio.run(FakeFleet(self.folder, unready=("front-1",)).wait_all_ready(0))


@unittest.skipUnless((ROOT / "platform" / "run_router.py").exists(), "the platform's programs are not here")
class ShortSoakTest(unittest.TestCase):
    def test_a_short_soak_breaks_no_rule(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = run_seed(SHORT_SEED, SHORT_PROFILE, Path(folder))
            self.assertEqual(result.breaches, [], "\n".join(result.report_lines()))
            self.assertGreater(result.outcomes["done"], 0)
            self.assertEqual(list(Path(folder).iterdir()), [], "a run that breaks no rule leaves its folder behind")
