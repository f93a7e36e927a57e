"""PacedBroadcaster (§7.7): one message to many nodes, a few at a time, to fit the queue of the sender's link."""

from __future__ import annotations

import random
from collections.abc import Callable

from pearhead.runtime.clock import MILLI, Clock, sleep_for

# At most this much leaves at once; a link of 5 Mbit/s carries it in 13 ms.
BATCH_BYTES = 8 * 1024
BATCH_PAUSE_MICROS = 25 * MILLI


class PacedBroadcaster:
    """Sends in batches, in an order drawn anew each time: what a full link drops is not always the same nodes' copy."""

    def __init__(self, clock: Clock, chance: random.Random) -> None:
        self.clock = clock
        self.chance = chance

    async def send(self, addresses: list[str], message_bytes: int, send_batch: Callable[[list[str]], None]) -> None:
        """Calls `send_batch` for one batch of addresses after another; a copy takes `message_bytes`."""
        shuffled = self.chance.sample(addresses, len(addresses))
        batch_size = max(1, BATCH_BYTES // max(message_bytes, 1))
        for start in range(0, len(shuffled), batch_size):
            if start:
                await sleep_for(self.clock, BATCH_PAUSE_MICROS)
            send_batch(shuffled[start : start + batch_size])
