"""EventPublisher: with a slow sink the oldest events are lost, and publishing never blocks."""

from __future__ import annotations

import asyncio
import unittest

from pearhead.control_plane.event_publisher import QUEUE_LIMIT, EventPublisher


class EventTellerTest(unittest.TestCase):
    def test_a_slow_sink_loses_the_oldest_and_blocks_nobody(self) -> None:
        posted: list[bytes] = []

        async def post(headers: dict[str, str], body: bytes) -> bool:
            posted.append(body)
            return len(posted) != 1

        async def publish_and_run() -> EventPublisher:
            publisher = EventPublisher(post)
            for index in range(QUEUE_LIMIT + 5):
                publisher.publish("weights.named", index, {"line": "l"})
            run_task = asyncio.ensure_future(publisher.run())
            while publisher.queued_events:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            run_task.cancel()
            return publisher

        publisher = asyncio.run(publish_and_run())
        self.assertEqual((publisher.delivered_count, publisher.lost_count), (QUEUE_LIMIT - 1, 6))
        self.assertIn(b'"id": "weights.named-5"', posted[0])
        self.assertIn(b'"type": "pearhead.weights.named"', posted[0])
