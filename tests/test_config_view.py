"""View: a delta that is older, or has a wrong base or hash, must not change a node's view."""

from __future__ import annotations

import unittest

from pearhead.config.view import View, hash_sections
from pearhead.rpc.wire_pb2 import Section, ViewDelta


class ViewTest(unittest.TestCase):
    def test_a_delta_with_a_wrong_base_or_hash_is_not_taken(self) -> None:
        sections = dict(View().sections)
        sections["workers"] = (5, b'{"w":{"address":"a","area":"z","service":"s","leaving":false}}')
        whole = ViewDelta(index=5, hash=hash_sections(sections))
        whole.section.append(Section(name="workers", index=5, body=sections["workers"][1]))
        view = View().with_delta(whole)
        assert view is not None
        self.assertEqual(view.workers["w"].area, "z")
        sections["weights"] = (7, b"{}")
        change = ViewDelta(base_index=5, index=7, hash=hash_sections(sections))
        change.section.append(Section(name="weights", index=7, body=b"{}"))
        self.assertIsNotNone(view.with_delta(change))
        self.assertIsNone(View().with_delta(change), "a delta with another base")
        change.hash = "00"
        self.assertIsNone(view.with_delta(change), "a delta with another hash")
        self.assertIsNone(view.with_delta(ViewDelta(index=4, hash=view.hash)), "a delta to an older index")
