"""Logs (§3.4): the format of log lines, of all logger calls in the sources, and of the lines of counters.

Guards against lines that operators' tools can't parse, sentences that are missing on the operators' page, and log calls
that raise because of wrong arguments.
"""

from __future__ import annotations

import ast
import asyncio
import io
import logging
import re
import threading
import unittest
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from pearhead.router.stats_log import StatsLog, processor_micros
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.daemon import FORMAT_ERROR_TEXT, LineFormatter
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

ROOT = Path(__file__).resolve().parent.parent
LEVELS = ("debug", "info", "warning", "error", "exception")
PARTS = ("control_plane", "daemon", "disk", "edge", "router", "log", "net", "invalidation", "consensus", "%s")
TEXT = re.compile(rf"({'|'.join(PARTS)}): [A-Z][^%=]*\.( [a-z_]+=%[drs])*( %s)?")


def log_texts(source: str) -> Iterator[tuple[int, str]]:
    """Line number and message of each logger call; the message is empty if it is not a string literal."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if node.func.attr in LEVELS and isinstance(owner, ast.Name) and owner.id == "LOGGER":
            first = node.args[0] if node.args else None
            text = first.value if isinstance(first, ast.Constant) else ""
            yield node.lineno, text if isinstance(text, str) else ""


def malformed_calls(source: str) -> list[int]:
    return [line for line, text in log_texts(source) if not TEXT.fullmatch(text)]


class LineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.nanos = 1_796_182_604_250_765_999
        self.output = io.StringIO()
        handler = logging.StreamHandler(self.output)
        handler.setFormatter(LineFormatter(lambda: self.nanos))
        self.logger = logging.Logger("lines", logging.INFO)
        self.logger.handlers = [handler]

    def lines(self) -> list[str]:
        return self.output.getvalue().splitlines()

    def test_a_line_is_time_level_part_sentence_and_fields(self) -> None:
        self.logger.info("control_plane: Listens. core=%s address=%s", "ab12", "10.0.0.1:70")
        self.assertEqual(
            self.lines(), ["2026-12-02T03:36:44.250765Z INFO control_plane: Listens. core=ab12 address=10.0.0.1:70"]
        )

    def test_the_time_follows_the_clock_over_a_second_and_back(self) -> None:
        for step in (0, 749_234_001, 1, -1_000_000_000):
            self.nanos += step
            self.logger.warning("consensus: The disk is full.")
        seconds = [line[17:27] for line in self.lines()]
        self.assertEqual(seconds, ["44.250765Z", "45.000000Z", "45.000000Z", "44.000000Z"])

    def test_a_fault_brings_its_traceback(self) -> None:
        try:
            raise ValueError("odd")
        except ValueError:
            self.logger.exception("edge: Unhandled exception in a request handler.")
        self.assertEqual(self.lines()[1], "Traceback (most recent call last):")
        self.assertEqual(self.lines()[-1], "ValueError: odd")

    def test_a_call_that_can_not_be_formed_ends_nothing(self) -> None:
        self.logger.info("net: A frame was over the limit. bytes=%d", "many")
        self.assertIn(f"INFO {FORMAT_ERROR_TEXT} text='net: A frame", self.lines()[0])


class CallsTest(unittest.TestCase):
    def test_every_call_has_the_fixed_form(self) -> None:
        call_count = 0
        for folder in ("src/pearhead", "platform"):
            for path in sorted((ROOT / folder).rglob("*.py")):
                source = path.read_text(encoding="utf-8")
                call_count += len(list(log_texts(source)))
                self.assertEqual(malformed_calls(source), [], str(path))
        self.assertGreater(call_count, 20)

    def test_every_sentence_stands_on_the_operators_page(self) -> None:
        page = (ROOT / "docs" / "operating.md").read_text(encoding="utf-8")
        for path in sorted((ROOT / "src" / "pearhead").rglob("*.py")):
            if "testbed" in path.parts:
                continue
            for _, text in log_texts(path.read_text(encoding="utf-8")):
                sentence = re.sub(r" [a-z_]+=.*", "", text.partition(": ")[2])
                self.assertIn(f"`{sentence}`", page, path.name)

    def test_calls_of_another_form_are_found(self) -> None:
        for call in (
            'LOGGER.info("Listens.")',
            'LOGGER.info("router: listens.")',
            'LOGGER.info("router: Node %s listens.", 1)',
            'LOGGER.info("router: Listens on: %s", 1)',
            'LOGGER.info(f"router: Listens. at={x}")',
            "LOGGER.error(text)",
            'LOGGER.info("router: Listens. At=%s", 1)',
        ):
            self.assertEqual(malformed_calls(call), [1], call)
        self.assertEqual(malformed_calls('LOGGER.info("router: Listens. at=%s", 1)'), [])


class StatsLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = SimpleNamespace(outcomes={"done": 5}, open_count=lambda: 2)
        self.pool = SimpleNamespace(opened_count=3, reused_count=40)
        self.budget = SimpleNamespace(retry_count=1)
        self.processor = 7_000

    def build(self, clock: Any, every_micros: int) -> StatsLog:
        return StatsLog(clock, self.gate, self.pool, self.budget, every_micros, lambda: self.processor)

    def test_a_line_tells_what_grew_since_the_one_before(self) -> None:
        stats_log = self.build(None, 0)
        self.assertEqual(stats_log.format_counts(), "retries=1 opened=3 reused=40 processor_ms=7 ended_done=5")
        self.gate.outcomes.update(done=9, no_worker=1)
        self.pool.reused_count, self.processor = 44, 9_500
        self.assertEqual(
            stats_log.format_counts(), "retries=0 opened=0 reused=4 processor_ms=2 ended_done=4 ended_no_worker=1"
        )

    def test_processor_time_is_no_time_of_waiting(self) -> None:
        start_micros = processor_micros()
        threading.Event().wait(0.2)
        self.assertLess(processor_micros() - start_micros, 150 * MILLI)
        while processor_micros() - start_micros < 20 * MILLI:
            pass

    def test_lines_come_as_often_as_set_or_never(self) -> None:
        async def scenario(world: World) -> None:
            machine = world.machine("node-1")
            machine.boot()
            logs = [self.build(machine, every) for every in (20 * SECOND, 0)]
            for stats_log in logs:
                asyncio.get_running_loop().create_task(stats_log.run())
            await pause(world, 70 * SECOND)
            self.assertEqual([stats_log.line_count for stats_log in logs], [3, 0])

        run_in_virtual_time(1, scenario)
