"""FleetState: repeated, concurrent and unknown commands, and its snapshots."""

from __future__ import annotations

import unittest
from typing import Any

from pearhead.control_plane.fleet_state import FleetState, Outcome, UnknownCommandError
from pearhead.rpc.wire_pb2 import (
    ApplyDescription,
    BumpPart,
    Command,
    ConfirmLoad,
    NameWeights,
    SetWorkers,
    TakeHold,
    Worker,
)


class FleetTest(unittest.TestCase):
    def test_a_later_releases_field_is_kept_and_its_command_stops_the_core(self) -> None:
        fleet = FleetState()
        command = Command(transaction=b"a")
        command.workers.SetInParent()
        later_field = b"\xfa\x3f\x03new"  # Field 1023, which this release does not know.
        self.assertEqual(fleet.apply(1, command.SerializeToString() + later_field)["status"], "done")
        self.assertIn(later_field, Command.FromString(command.SerializeToString() + later_field).SerializeToString())
        before = fleet.build_snapshot()
        with self.assertRaises(UnknownCommandError):
            fleet.apply(2, later_field)
        self.assertEqual(fleet.build_snapshot(), before, "an unknown command changed the state")

    def test_a_mark_outlasts_the_platforms_list_and_a_base_tells_of_races(self) -> None:
        fleet = FleetState()
        index = 0

        def run(transaction: bytes = b"", **body: Any) -> Outcome:
            nonlocal index
            index += 1
            return fleet.apply(index, Command(transaction=transaction, **body).SerializeToString())

        def worker_list(address: str = "a:1") -> SetWorkers:
            return SetWorkers(worker=[Worker(name="w", address=address, service="s")])

        run(workers=worker_list())
        marked = run(b"t", workers=SetWorkers(partial=True, leaving=["w"]))
        run(workers=worker_list())
        self.assertTrue(fleet.workers["w"]["leaving"], "the platform's list removed the operator's mark")
        run(workers=SetWorkers(partial=True, staying=["w"]))
        self.assertEqual(
            run(b"t", workers=SetWorkers(partial=True, leaving=["w"])), marked, "a repeat must have the first outcome"
        )
        self.assertFalse(fleet.workers["w"]["leaving"], "a repeat set the mark again")
        run(workers=SetWorkers(partial=True, leaving=["w"]))
        run(workers=worker_list("b:1"))
        self.assertFalse(fleet.workers["w"]["leaving"], "another machine of that name took over the mark")
        self.assertEqual(run(workers=SetWorkers(partial=True, leaving=["x"]))["status"], "refused")
        stale_command = SetWorkers(partial=True, leaving=["w"], base_revision=1)
        self.assertEqual(run(workers=stale_command)["status"], "conflict")
        run(apply=ApplyDescription(base_revision=0, description=b'{"lines":[{"name":"l","weights":"w1"}]}'))
        base = fleet.weights["l"]["revision"]
        first = run(weights=NameWeights(line="l", weights="w2", base_revision=base))
        second = run(weights=NameWeights(line="l", weights="w3", base_revision=base))
        self.assertEqual((first["status"], second), ("done", {"status": "conflict", "revision": first["revision"]}))
        self.assertEqual(fleet.weights["l"]["weights"], "w2")

    def test_repeats_races_and_digests(self) -> None:
        fleet = FleetState()

        def run(index: int, transaction: bytes, **body: Any) -> Outcome:
            return fleet.apply(index, Command(transaction=transaction, **body).SerializeToString())

        first = run(1, b"a", apply=ApplyDescription(base_revision=0, description=b'{"lines":[]}'))
        conflict = run(2, b"b", apply=ApplyDescription(base_revision=0, description=b"{}"))
        repeat = run(3, b"a", apply=ApplyDescription(base_revision=0, description=b'{"lines":[]}'))
        self.assertEqual((first, repeat), ({"status": "done", "revision": 1},) * 2)
        self.assertEqual(conflict, {"status": "conflict", "revision": 1})
        bump = BumpPart(owner="tenant:t", line="l", part=7)
        self.assertEqual(run(4, b"c", bump=bump)["revision"], 2)
        self.assertEqual(run(5, b"c", bump=bump)["revision"], 2)
        self.assertEqual(run(6, b"d", bump=bump)["revision"], 3)
        run(7, b"", workers=SetWorkers(worker=[Worker(name="w", address="x", service="s")]))
        self.assertEqual(run(8, b"", hold=TakeHold(worker="w", holder="n1"))["fence"], 8)
        self.assertEqual(run(9, b"", hold=TakeHold(worker="w", holder="n2"))["status"], "held")
        same_holder_state = FleetState()
        same_holder_state.load_snapshot(fleet.build_snapshot())
        same_holder = Command(hold=TakeHold(worker="w", holder="n1")).SerializeToString()
        self.assertEqual(
            same_holder_state.apply(10, same_holder),
            {"status": "done", "fence": 10},
            "the same holder gets its worker again, with a later fence",
        )
        takeover = run(10, b"", hold=TakeHold(worker="w", holder="n2", renew_fence=8, expired=True))
        self.assertEqual(takeover, {"status": "done", "fence": 10})
        stale_load = ConfirmLoad(worker="w", fence=8, weights_revision=1)
        self.assertEqual(run(11, b"", confirm=stale_load)["status"], "refused")
        restored = FleetState()
        restored.load_snapshot(fleet.build_snapshot())
        self.assertEqual(restored.build_snapshot(), fleet.build_snapshot())
        self.assertEqual(restored.raised_part_revisions("tenant:t/l"), [(7, 3)])
