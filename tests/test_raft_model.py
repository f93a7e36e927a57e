"""Walks of the model test of RaftMember (docs/model-tests.md), and broken members that its checkers must find."""

from __future__ import annotations

import asyncio
import logging
import unittest
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from result import Err, Result

from pearhead.consensus.log import KIND_MEMBERS
from pearhead.consensus.membership import Membership
from pearhead.consensus.persistence import do_nothing
from pearhead.consensus.raft import RaftMember
from pearhead.consensus.state import Role
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import Entry, LogRecord, Member, Members, VoteAsk, VoteResult
from pearhead.runtime.clock import MILLI
from tests.raft_model import (
    FLAVOURS,
    HEADER_BYTES,
    LEADER_MICROS,
    WALK_BYTES,
    Model,
    ModelDisk,
    ModelViolationError,
    can_be_disjoint,
    explain,
    find_violation,
    is_quorum,
    make_walk,
    run_play,
    run_walk,
    shrink_walk,
    voter_sets,
)

WALK_COUNT = 300
SHRINK_TRIES = 100
CHANGES_FLAVOUR = 1


def setUpModule() -> None:  # noqa: N802 - unittest's own name
    # A walk steps down and elects a dozen times: its warnings are no news.
    logging.getLogger("pearhead").handlers = [logging.NullHandler()]


class AskedTermAdopted(RaftMember):
    """Fault A: a refused trial tells the term that was asked, so that the asker adopts a term that nobody has."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        right_send = self.elections.send

        def send_asked_term(target: str, body_name: str, body: Message) -> None:
            is_calm = self.is_leader() or self.timer.is_leader_present()
            if isinstance(body, VoteResult) and body.trial and not body.granted and not is_calm:
                body.epoch = body.asked
            right_send(target, body_name, body)

        self.elections.send = send_asked_term


class StrangersIgnored(RaftMember):
    """Fault B: a voter ignores the request of one that its own members do not hold."""

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        known_voters = self.voters()
        if not known_voters or identity in known_voters:
            super().take_vote_ask(identity, address, ask)


class EarlyAcknowledger(RaftMember):
    """Acknowledges before the sync."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        right_persist = self.writer.persist

        def persist(records: list[LogRecord], callback: Callable[[], None]) -> None:
            callback()
            right_persist(records, do_nothing)

        self.writer.persist = persist  # type: ignore[method-assign]


class TwiceVoter(RaftMember):
    """Forgets whom it voted for."""

    def take_vote_ask(self, identity: str, address: str, ask: VoteAsk) -> None:
        self.state.voted_for = ""
        super().take_vote_ask(identity, address, ask)


class OldEpochCommitter(RaftMember):
    """Commits entries of an earlier epoch by counting them (figure 8 of the Raft paper)."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.counts_all = False
        right_term_at = self.log.term_at
        right_advance_commit = self.replication.advance_commit
        right_commit_to = self.applier.commit_to

        def term_at(index: int) -> int:
            return self.term if self.counts_all else right_term_at(index)

        def advance_commit() -> None:
            self.counts_all = True
            right_advance_commit()
            self.counts_all = False

        def commit_to(index: int) -> None:
            self.counts_all = False
            right_commit_to(index)

        self.log.term_at = term_at  # type: ignore[method-assign]
        self.replication.advance_commit = advance_commit  # type: ignore[method-assign]
        self.applier.commit_to = commit_to  # type: ignore[method-assign]


class NewSetAlone(RaftMember):
    """Counts a joint change by the new set of voters alone."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.counts_new_alone = False
        self.right_membership = self.log.membership
        self.log.membership = self.membership_for_counting  # type: ignore[method-assign]
        self._break_counting()

    def membership_for_counting(self) -> Membership:
        present = self.right_membership()
        if not self.counts_new_alone or not present.is_joint:
            return present
        return Membership(present.index, Members(member=present.members.member))

    def _break_counting(self) -> None:
        right_count_votes, right_become_leader = self.elections.count_votes, self.roles.become_leader
        right_advance_commit, right_commit_to = self.replication.advance_commit, self.applier.commit_to

        def count_votes() -> None:
            self.counts_new_alone = True
            try:
                right_count_votes()
            finally:
                self.counts_new_alone = False

        def become_leader() -> None:
            self.counts_new_alone = False
            right_become_leader()

        def advance_commit() -> None:
            self.counts_new_alone = True
            right_advance_commit()
            self.counts_new_alone = False

        def commit_to(index: int) -> None:
            self.counts_new_alone = False
            right_commit_to(index)

        self.elections.count_votes = count_votes  # type: ignore[method-assign]
        self.roles.become_leader = become_leader  # type: ignore[method-assign]
        self.replication.advance_commit = advance_commit  # type: ignore[method-assign]
        self.applier.commit_to = commit_to  # type: ignore[method-assign]


class TwoAtOnce(RaftMember):
    """Changes several voters by one entry, as if there were no joint consensus."""

    async def change_members(self, changed: Members) -> Result[tuple[int, Any], str]:
        if not self.settled() or self.membership().index > self.commit_index or self.membership().is_joint:
            return Err("another change of members is under way")
        return await self.propose(changed.SerializeToString(), KIND_MEMBERS)


async def commit_upon_an_old_entry(member_class: type[RaftMember]) -> str:
    """A leader comes back with an entry that only it holds; the checker that finds a commit of it by count."""
    model = Model(member_class, 3, 1)
    await model.begin()
    await model.run(1_500 * MILLI)
    leading = next(p for p in model.places if p.member is not None and p.member.is_leader())
    others = [p for p in model.founders if p is not leading]
    for place in others:
        model.stop(place, None)
    await model.step("propose", 0)
    await model.sync_all()
    model.stop(leading, None)
    for place in (leading, others[0]):
        await model.start(place)
    assert leading.member is not None
    try:
        for _ in range(3_000):
            await model.deliver_all()
            for place in model.places:
                if place is not leading or not leading.member.is_leader():
                    place.disk.sync()
            await model.settle()
            model.check()
            for place in model.places:
                await model.advance(place, MILLI)
    except ModelViolationError as violation:
        return violation.checker
    return ""


class WalksTest(unittest.TestCase):
    def test_walks_hold_every_invariant(self) -> None:
        @settings(
            derandomize=True,
            max_examples=WALK_COUNT,
            deadline=None,
            database=None,
            # Its own shrinking of so long a string is bounded by minutes; shrink_walk leaves out whole steps.
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        @given(st.binary(min_size=WALK_BYTES, max_size=WALK_BYTES))
        def hold(walk_bytes: bytes) -> None:
            violation = find_violation(walk_bytes)
            if violation is not None:
                short_bytes = shrink_walk(walk_bytes, RaftMember, violation.checker, SHRINK_TRIES)
                raise AssertionError(f"{violation}\n{explain(short_bytes)}")

        hold()

    def test_the_same_bytes_give_the_same_walk(self) -> None:
        for seed in range(3):
            first, second = explain(make_walk(seed)), explain(make_walk(seed))
            self.assertEqual(first, second)

    def test_walks_bring_about_what_they_check(self) -> None:
        """A walk that elects nobody and changes nothing would hold every invariant."""
        for flavour in range(len(FLAVOURS)):
            counts = sum(
                (run_walk(make_walk(seed, flavour)) for seed in (1, 2, 3)), start=run_walk(bytes(HEADER_BYTES))
            )
            for name in ("leaders", "commits", "commands", "changes", "progress checks"):
                self.assertGreater(counts[name], 3, f"{name} in walks of kind {flavour}: {counts}")


class MutationsTest(unittest.TestCase):
    """Each broken member must be found within this many walks, by this checker."""

    def find(self, member_class: type[RaftMember], checkers: set[str], walk_limit: int, flavour: int | None) -> int:
        for seed in range(walk_limit):
            walk_bytes = make_walk(seed, flavour)
            violation = find_violation(walk_bytes, member_class)
            if violation is not None and violation.checker in checkers:
                self.assertIsNone(find_violation(walk_bytes), "the whole member fails too")
                return seed
        raise AssertionError(f"{member_class.__name__} was not found in {walk_limit} walks")

    def test_a_term_that_nobody_has(self) -> None:
        self.find(AskedTermAdopted, {"progress"}, 60, CHANGES_FLAVOUR)

    def test_a_candidate_that_the_voter_does_not_know(self) -> None:
        self.find(StrangersIgnored, {"progress"}, 150, CHANGES_FLAVOUR)

    def test_a_joint_change_counted_by_the_new_set_alone(self) -> None:
        self.find(NewSetAlone, {"election", "durability", "completeness"}, 60, CHANGES_FLAVOUR)

    def test_two_voters_changed_at_once(self) -> None:
        self.find(TwoAtOnce, {"quorums"}, 20, CHANGES_FLAVOUR)

    def test_an_acknowledgement_before_the_sync(self) -> None:
        self.find(EarlyAcknowledger, {"durability"}, 3, None)

    def test_a_vote_given_twice(self) -> None:
        self.find(TwiceVoter, {"election", "durability"}, 60, None)

    def test_an_old_epoch_committed_by_count(self) -> None:
        """No walk tried brought it about, so it is scripted: the new leader's own disk stands while a follower acks."""
        self.assertEqual(run_play(lambda: commit_upon_an_old_entry(OldEpochCommitter)), "old epoch")
        self.assertEqual(run_play(lambda: commit_upon_an_old_entry(RaftMember)), "")

    def test_a_shrunk_walk_is_shorter_and_finds_the_same(self) -> None:
        walk_bytes = make_walk(0)
        short_bytes = shrink_walk(walk_bytes, EarlyAcknowledger, "durability", try_limit=60)
        violation = find_violation(short_bytes, EarlyAcknowledger)
        self.assertIsNotNone(violation)
        self.assertLess(len(short_bytes), len(walk_bytes) // 4)


class CheckersTest(unittest.TestCase):
    def members(self, *identities: str) -> Members:
        return Members(member=[Member(identity=i, voter=True) for i in identities])

    def test_quorums_that_can_miss_each_other(self) -> None:
        abc = voter_sets(self.members("a", "b", "c"))
        self.assertFalse(can_be_disjoint(abc, voter_sets(self.members("a", "b", "c", "d"))))
        self.assertFalse(can_be_disjoint(abc, voter_sets(self.members("a", "b"))))
        self.assertTrue(can_be_disjoint(abc, voter_sets(self.members("a", "d", "e"))))
        self.assertTrue(can_be_disjoint(abc, voter_sets(self.members("a", "b", "c", "d", "e"))))
        both = abc + voter_sets(self.members("a", "d", "e"))
        self.assertFalse(can_be_disjoint(abc, both))
        self.assertTrue(is_quorum({"a", "b", "d"}, both))
        self.assertFalse(is_quorum({"a", "b", "c"}, both))

    def test_a_disk_forgets_what_was_not_synced(self) -> None:
        async def write(chance: int | None, syncs: bool) -> ModelDisk:
            disk = ModelDisk()
            disk.is_instant = True
            wal = Wal(disk)
            await wal.append([LogRecord(entry=Entry(index=1, epoch=1))])
            disk.is_instant = False
            append_task = asyncio.ensure_future(wal.append([LogRecord(entry=Entry(index=2, epoch=1))]))
            await asyncio.sleep(0)
            self.assertFalse(disk.holds(2, 1))
            if syncs:
                disk.sync()
            disk.crash(chance)
            append_task.cancel()
            disk.read_again()
            return disk

        for chance, syncs, is_held in ((0, False, False), (128, False, False), (0, True, True), (None, False, True)):
            disk = asyncio.run(write(chance, syncs))
            self.assertEqual((disk.holds(1, 1), disk.holds(2, 1)), (True, is_held))

    def check(self, spoil: Callable[[Model], None]) -> str:
        """The checker that finds what was done to a model whose members have settled."""

        async def play() -> str:
            model = Model(RaftMember, 3, 1)
            await model.begin()
            await model.run(1_500_000)
            await model.step("propose", 0)
            await model.run(100_000)
            spoil(model)
            try:
                model.check()
            except ModelViolationError as violation:
                return violation.checker
            finally:
                for place in model._up():
                    model.stop(place, None)
            return ""

        return run_play(play)

    def test_each_checker_finds_what_it_is_for(self) -> None:
        def member(model: Model, is_leader: bool) -> RaftMember:
            return next(p.member for p in model.places[:3] if p.member and p.member.is_leader() == is_leader)

        def lead_twice(model: Model) -> None:
            follower = member(model, False)
            follower.state.role, follower.elections.granted_by = Role.LEADER, {"m1", "m2", "m3"}

        def lead_without_votes(model: Model) -> None:
            follower = member(model, False)
            follower.state.role, follower.elections.granted_by, follower.state.term = Role.LEADER, {"m1"}, 9

        def lead_without_entry(model: Model) -> None:
            follower = member(model, False)
            follower.state.role, follower.elections.granted_by, follower.state.term = Role.LEADER, {"m1", "m2"}, 9
            follower.log.entries.pop()

        def change_entry(model: Model) -> None:
            follower = member(model, False)
            last_index = follower.last_index()
            follower.log.entries[-1] = Entry(index=last_index, epoch=follower.term, kind=1, payload=b"other")

        def commit_alone(model: Model) -> None:
            leader = member(model, True)
            leader.propose(b"alone")
            leader.applier.commit_to(leader.last_index())

        def apply_another(model: Model) -> None:
            machine = model.places[0].machine
            assert machine is not None
            machine.apply(max(model.applied), b"other")

        def swap_two(model: Model) -> None:
            leader = member(model, True)
            leader.propose(self.members("m1", "m4", "m5").SerializeToString(), KIND_MEMBERS)

        for spoil, checker in (
            (lambda model: None, ""),
            (lead_twice, "election"),
            (lead_without_votes, "election"),
            (lead_without_entry, "completeness"),
            (change_entry, "log matching"),
            (commit_alone, "durability"),
            (apply_another, "state machine"),
            (swap_two, "quorums"),
        ):
            with self.subTest(checker=checker, spoil=getattr(spoil, "__name__", "")):
                self.assertEqual(self.check(spoil), checker)


class LeftOutTest(unittest.TestCase):
    def test_a_voter_that_an_uncommitted_change_leaves_out_still_stands(self) -> None:
        """Three of four are up, and only the one left out holds the longest log: no other can win (fault G)."""

        async def play() -> bool:
            model = Model(RaftMember, 4, 1)
            await model.begin()
            await model.run(1_500 * MILLI)
            leading = next(p for p in model.places if p.member is not None and p.member.is_leader())
            others = [p for p in model.founders if p is not leading]
            for place in others:
                model.stop(place, None)
            assert leading.member is not None
            kept = [m for m in leading.member.members().member if m.identity != leading.identity]
            change_task = asyncio.ensure_future(leading.member.change_members(Members(member=kept)))
            await model.settle()
            await model.sync_all()
            change_task.cancel()
            self.assertNotIn(leading.identity, leading.member.voters())
            model.stop(leading, None)
            model.queue = []
            # The longest log is needed for a majority of either membership.
            for place in (leading, *others[:2]):
                await model.start(place)
            await model.run(LEADER_MICROS, lambda: model._settled_leader() is not None)
            return model._settled_leader() is not None

        self.assertTrue(run_play(play), "no leader within 2 s")
