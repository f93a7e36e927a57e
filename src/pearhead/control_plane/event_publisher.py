"""Best-effort CloudEvents about changes (§10.5), sent from a bounded queue so that a slow sink blocks nothing."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from cloudevents.core.bindings.http import to_structured_event
from cloudevents.core.v1.event import CloudEvent
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

LOGGER = logging.getLogger("pearhead")
QUEUE_LIMIT = 256
EVENT_POST_TIMEOUT_SECONDS = 2.0
SOURCE = "pearhead/core"

Post = Callable[[dict[str, str], bytes], Coroutine[Any, Any, bool]]


def http_post(sink_url: str) -> Post:
    """Returns a function that posts headers and body to the sink, and tells whether the sink took them."""

    async def post(headers: dict[str, str], body: bytes) -> bool:
        request = HTTPRequest(
            sink_url,
            method="POST",
            headers=headers,
            body=body,
            request_timeout=EVENT_POST_TIMEOUT_SECONDS,
            follow_redirects=False,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            return False
        return True

    return post


class EventPublisher:
    """Queues events and sends each of them once; when the queue is full, the oldest event is dropped.

    `lost_count` counts the dropped events and those that the sink did not take.
    """

    def __init__(self, post: Post) -> None:
        self.post = post
        self.queued_events: deque[CloudEvent] = deque(maxlen=QUEUE_LIMIT)
        self.wake = asyncio.Event()
        self.delivered_count = 0
        self.lost_count = 0

    def publish(self, type_name: str, index: int, data: dict[str, Any]) -> None:
        """Queues an event; `index` is the log index of the change and makes the event's id unique."""
        if len(self.queued_events) == QUEUE_LIMIT:
            self.lost_count += 1
        attributes = {"id": f"{type_name}-{index}", "type": f"pearhead.{type_name}", "source": SOURCE}
        self.queued_events.append(CloudEvent({**attributes, "datacontenttype": "application/json"}, data))
        self.wake.set()

    async def run(self) -> None:
        """Sends queued events one after the other, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.queued_events:
                message = to_structured_event(self.queued_events.popleft())
                is_delivered = await self.post(dict(message.headers), message.body)
                self.delivered_count += is_delivered
                self.lost_count += not is_delivered
