"""SIGTERM to a real process with a busy event loop: the drain schedule has to start at the signal.

If it started only at the loop's next iteration, the handover phase would end too late.
"""

from __future__ import annotations

import subprocess
import sys
import time
import unittest

from pearhead.runtime.clock import MILLI, BootClock

STEP_SECONDS = 0.4
# The rule allows 3 s; the handover phase ends 0.1 s before that.
MOST_LATE_MICROS = 50 * MILLI
PROGRAM = f"""
import asyncio, time
from pearhead.router.drain import DrainSchedule, DrainState
from pearhead.runtime.clock import SECOND, BootClock
from pearhead.runtime.daemon import serve_until_stopped

state = DrainState(BootClock(), DrainSchedule.for_grace_period(8 * SECOND))

async def drain():
    state.begin()
    print(state.started_micros, flush=True)

async def work():
    while True:
        print("works", flush=True)
        end = time.monotonic() + {STEP_SECONDS}
        while time.monotonic() < end:
            pass
        await asyncio.sleep(0.05)

async def main():
    worker = asyncio.create_task(work())
    await serve_until_stopped(drain, asyncio.Event(), state.begin)
    worker.cancel()

asyncio.run(main())
"""


class StopSignalTest(unittest.TestCase):
    def test_a_drain_counts_from_the_signal_while_the_event_loop_is_busy(self) -> None:
        with subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            for _ in range(2):
                self.assertEqual(process.stdout.readline(), "works\n")
            time.sleep(STEP_SECONDS / 4)
            sent_micros = BootClock().now()
            process.terminate()
            lines = [line for line in process.stdout if line != "works\n"]
        self.assertEqual(process.returncode, 0)
        self.assertLess(int(lines[0]) - sent_micros, MOST_LATE_MICROS)


if __name__ == "__main__":
    unittest.main()
