"""EventSplitter: forwards only complete events, and none twice when another run continues a stream."""

from __future__ import annotations

import unittest

from pearhead.router.event_stream import EventSplitter

EVENTS = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)]


class EventSplitterTest(unittest.TestCase):
    def test_every_cut_of_the_bytes_gives_the_same_events(self) -> None:
        whole = b"".join(EVENTS)
        for cut in range(len(whole) + 1):
            splitter = EventSplitter()
            forwarded = splitter.feed(whole[:cut]) + splitter.feed(whole[cut:])
            self.assertEqual((forwarded, splitter.pending, splitter.last_id), (whole, b"", "5"))

    def test_a_stream_goes_on_elsewhere_without_a_hole_or_a_repeat(self) -> None:
        whole = b"".join(EVENTS)
        for cut in range(len(whole)):
            for first in range(1, 4):
                splitter = EventSplitter()
                forwarded = splitter.feed(whole[:cut])
                splitter.begin_run()
                first_sent = min(first, int(splitter.last_id or 0) + 1)
                forwarded += splitter.feed(b"".join(EVENTS[first_sent - 1 :]))
                self.assertEqual(forwarded, whole)

    def test_an_event_without_an_id_is_passed_on(self) -> None:
        splitter = EventSplitter()
        whole = b"data: a\r\n\r\nid:2\r\ndata: b\r\n\r\n"
        self.assertEqual(splitter.feed(whole + b":"), whole)
        self.assertEqual((splitter.last_id, splitter.pending), ("2", b":"))
