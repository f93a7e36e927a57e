"""PacedBroadcaster (§7.7): sends one message to many nodes in batches that fit the queue of the sender's link."""

from __future__ import annotations

import random
from collections.abc import Callable

from pearhead.runtime.clock import MILLI, Clock, sleep_for

# Size limit of one batch; a link of 5 Mbit/s transmits it in 13 ms.
BATCH_BYTES = 8 * 1024
BATCH_PAUSE_MICROS = 25 * MILLI


class PacedBroadcaster:
    """Sends in batches, in a new random order each time.

    A full link drops the end of a burst; a fixed order would make the same nodes lose their copy each time.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng

    async def send(self, addresses: list[str], message_bytes: int, send_batch: Callable[[list[str]], None]) -> None:
        """Calls `send_batch` with one batch of addresses after another; `message_bytes` is the size of one copy."""
        shuffled = self.rng.sample(addresses, len(addresses))
        batch_size = max(1, BATCH_BYTES // max(message_bytes, 1))
        for start in range(0, len(shuffled), batch_size):
            if start:
                await sleep_for(self.clock, BATCH_PAUSE_MICROS)
            send_batch(shuffled[start : start + batch_size])
