"""Faults of the control plane from issue 17, each in the smallest case that shows it (§3.1, §4.1, §4.2).

Guards against wrong votes and elections, stale or repeated commands, joined pieces of different snapshots, and answers
that are taken for another request.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

from google.protobuf.message import Message
from result import Ok

from pearhead.consensus.log import KIND_COMMAND, KIND_MEMBERS
from pearhead.consensus.membership import Membership, end_joint, make_joint
from pearhead.consensus.raft import RaftMember
from pearhead.consensus.wal import Wal
from pearhead.control_plane.fleet_state import TAKEN_LIMIT, FleetState
from pearhead.router.command_session import CommandSession
from pearhead.rpc.rpc_endpoint import RpcEndpoint, reply_name
from pearhead.rpc.wire_pb2 import (
    AppendAsk,
    Command,
    CommandAsk,
    CommandResult,
    DigestAsk,
    Entry,
    Envelope,
    FoundResult,
    Member,
    Members,
    SetWorkers,
    TermAsk,
    VoteAsk,
    VoteResult,
    Worker,
)
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import pause
from tests.test_core_membership import all_agree, run_cores, seconds_until
from tests.test_description_change import build_core, change
from tests.test_wal import MemoryDisk


class RecordingMachine:
    """A state machine that records what was applied and loaded."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []
        self.loaded: bytes | None = None

    def apply(self, index: int, command_bytes: bytes) -> Any:
        self.applied.append(command_bytes)

    def build_snapshot(self) -> bytes:
        return b"".join(self.applied)

    def load_snapshot(self, snapshot_bytes: bytes) -> None:
        self.loaded = snapshot_bytes


class ExpiredClock(FakeRuntime):
    """A clock at which all election deadlines have passed and no leader was heard recently."""

    def now(self) -> int:
        return 100 * SECOND


def members_of(voters: str, learners: str = "") -> Members:
    return Members(
        member=[Member(identity=i, address=f"{i}:1", voter=True) for i in voters]
        + [Member(identity=i, address=f"{i}:1") for i in learners]
    )


class SingleMember:
    """A single member with a given log, which records the messages that it sends."""

    def __init__(self, identity: str, voters: str, epoch: int, log_epochs: list[int]) -> None:
        self.sent_messages: list[tuple[str, str, Any]] = []
        self.machine = RecordingMachine()
        self.raft = RaftMember(
            identity,
            Wal(MemoryDisk()),
            self.machine,
            self.record_message,
            ExpiredClock(),
            random.Random(1),
            BackgroundTaskGroup("member"),
            lambda reason: None,
        )
        self.raft.state.term = epoch
        first = Entry(index=1, epoch=1, kind=KIND_MEMBERS, payload=members_of(voters).SerializeToString())
        rest = [Entry(index=2 + n, epoch=e, kind=KIND_COMMAND) for n, e in enumerate(log_epochs)]
        self.raft.log.replace_entries([first, *rest])

    def record_message(self, address: str, body_name: str, body: Message) -> None:
        self.sent_messages.append((address, body_name, body))

    async def flush(self) -> None:
        """Writes the queued records, as the member's LogWriter task does."""
        records, self.raft.writer.pending_records = self.raft.writer.pending_records, []
        callbacks, self.raft.writer.pending_callbacks = self.raft.writer.pending_callbacks, []
        await self.raft.wal.append(records)
        for callback in callbacks:
            callback()


class VotesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_trial_tells_the_voters_own_epoch(self) -> None:
        voter = SingleMember("a", "abc", epoch=5, log_epochs=[5, 5])
        candidate = SingleMember("b", "abc", epoch=8, log_epochs=[5])
        voter.raft.take_vote_ask("b", "b:1", VoteAsk(epoch=9, last_index=2, last_epoch=5, trial=True))
        ((_, _, answer),) = voter.sent_messages
        self.assertEqual((answer.granted, answer.epoch, answer.asked), (False, 5, 9))
        candidate.raft.elections.start(is_pre_vote=True, is_transfer=False)
        candidate.raft.take_vote_result("a", "a:1", answer)
        self.assertEqual(candidate.raft.term, 8, "a term that no member is in was adopted")

    async def test_a_member_with_the_longer_log_and_the_lower_epoch_adopts_the_others_and_wins(self) -> None:
        short, long = (
            SingleMember("b", "abc", epoch=9, log_epochs=[5]),
            SingleMember("a", "abc", epoch=5, log_epochs=[5, 5]),
        )
        long.raft.elections.start(is_pre_vote=True, is_transfer=False)
        short.raft.take_vote_ask("a", "a:1", VoteAsk(epoch=6, last_index=3, last_epoch=5, trial=True))
        long.raft.take_vote_result("b", "b:1", short.sent_messages[-1][2])
        self.assertEqual(long.raft.term, 9)
        long.raft.elections.start(is_pre_vote=True, is_transfer=False)
        short.raft.take_vote_ask("a", "a:1", long.sent_messages[-1][2])
        self.assertTrue(short.sent_messages[-1][2].granted)
        long.raft.take_vote_result("b", "b:1", short.sent_messages[-1][2])
        self.assertEqual((long.raft.role, long.raft.term), ("candidate", 10), "a majority of pre-votes starts a vote")

    async def test_term_and_log_decide_not_the_voters_own_list(self) -> None:
        voter = SingleMember("a", "abx", epoch=5, log_epochs=[5])
        for is_trial in (True, False):
            voter.raft.take_vote_ask("c", "c:1", VoteAsk(epoch=6, last_index=3, last_epoch=5, trial=is_trial))
            if not is_trial:
                await voter.flush()
            self.assertTrue(voter.sent_messages[-1][2].granted, "the promoted member is not in this log yet")

    async def test_who_led_lately_or_is_followed_is_not_disturbed_by_one_that_was_let_go(self) -> None:
        voter = SingleMember("a", "abc", epoch=5, log_epochs=[5])
        voter.raft.timer.last_leader_contact_micros = voter.raft.clock.now()
        for is_trial in (True, False):
            voter.raft.take_vote_ask("x", "x:1", VoteAsk(epoch=60, last_index=9, last_epoch=5, trial=is_trial))
            self.assertEqual((voter.sent_messages[-1][2].granted, voter.raft.term), (False, 5))

    async def test_an_answer_for_another_vote_is_not_counted(self) -> None:
        candidate = SingleMember("b", "abc", epoch=8, log_epochs=[5])
        candidate.raft.elections.start(is_pre_vote=True, is_transfer=False)
        candidate.raft.take_vote_result("a", "a:1", VoteResult(epoch=5, granted=True, trial=True, asked=7))
        self.assertEqual(candidate.raft.elections.granting_identities, {"b"})


class SurvivorsTest(unittest.TestCase):
    def test_two_survivors_of_which_one_lacks_the_last_entry_have_a_leader_soon(self) -> None:
        for seed in range(12):

            async def scenario(fleet: SimFleet) -> None:
                names = [n for n in fleet.startups if n.startswith("core-")]
                for name in names:
                    fleet.start(name)
                await seconds_until(fleet, lambda: all_agree(fleet, names))
                await fleet.apply(fleet.marked_description("a"))
                leader = fleet.leader()
                short, wiped = [n for n in names if n != leader]
                pairs = fleet.cut([short], [leader, wiped])
                await fleet.apply(fleet.marked_description("b"))
                for name in names:
                    fleet.kill(name, loses_power=True)
                fleet.restore_links(pairs)
                fleet.world.machine(wiped).disk.empty()
                for name in (leader, short):
                    fleet.start(name)
                self.assertLess(await seconds_until(fleet, lambda: bool(fleet.leader())), 2.0)
                fleet.start(wiped)
                await pause(fleet.world, SECOND)

            with self.subTest(seed=seed):
                run_cores(3, seed, scenario)


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_command_that_waited_in_a_process_that_stood_still_is_not_run(self) -> None:
        core: Any = build_core()
        ask = CommandAsk(command=change(0, 1, {}, by_name=True).SerializeToString(), relayed=True)
        core.raft.last_tick_micros = core.clock.now() - 2 * SECOND
        self.assertEqual((await core._make_command_result("n", "n:1", ask)).status, "unavailable")
        core.raft.last_tick_micros = core.clock.now()
        self.assertNotEqual((await core._make_command_result("n", "n:1", ask)).status, "unavailable")

    async def test_a_command_that_waited_too_long_here_is_not_proposed(self) -> None:
        core: Any = build_core()
        hold = Command()
        hold.hold.worker = "w"
        late = await core._execute_as_leader(hold, core.clock.now() - 6 * SECOND)
        self.assertEqual((late.status, core.raft.index), ("unavailable", 0))
        await core._execute_as_leader(hold, core.clock.now())
        self.assertEqual(core.raft.index, 1)


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    def test_a_joint_change_needs_both_majorities_and_ends_with_the_new_one(self) -> None:
        changed = members_of("abd", "c")
        joint = Membership(7, make_joint(members_of("abc", "d"), changed))
        self.assertEqual(set(joint.voters), set("abcd"))
        quorums = {q: joint.has_quorum(q) for q in ("ab", "ac", "ad", "acd", "bcd", "cd")}
        self.assertEqual(quorums, {"ab": True, "ac": False, "ad": False, "acd": True, "bcd": True, "cd": False})
        self.assertEqual(joint.quorum_value({"a": 9, "b": 3, "c": 9, "d": 5}.__getitem__), 5)
        ended = Membership(8, end_joint(joint.members))
        self.assertEqual((set(ended.voters), ended.is_joint, len(ended.members.member)), (set("abd"), False, 4))
        self.assertFalse(Membership(0, Members()).has_quorum(["a"]), "there are no voters yet")

    async def test_members_are_not_looked_for_in_the_log(self) -> None:
        """Looking up members must not scan the log, because the cost would grow with it (fault D)."""
        counts = []
        for length in (10, 4_000):
            member = SingleMember("a", "abc", epoch=5, log_epochs=[5] * length)
            member.raft.log.entries = CountingList(member.raft.log.entries)
            for _ in range(100):
                member.raft.members()
                member.raft.voters()
                member.raft.leader_address()
            counts.append(member.raft.log.entries.iterated_count)
        self.assertEqual(counts, [0, 0])

    async def test_what_is_cut_from_the_log_takes_its_members_along(self) -> None:
        member = SingleMember("a", "abc", epoch=5, log_epochs=[5])
        later = Entry(index=3, epoch=5, kind=KIND_MEMBERS, payload=members_of("abcd").SerializeToString())
        member.raft.log.append(later)
        self.assertEqual(set(member.raft.voters()), set("abcd"))
        member.raft.log.truncate_from(3)
        self.assertEqual((set(member.raft.voters()), member.raft.membership().index), (set("abc"), 1))


class CountingList(list[Entry]):
    """Counts the entries that are iterated over."""

    iterated_count = 0

    def __iter__(self) -> Any:
        for entry in list.__iter__(self):
            self.iterated_count += 1
            yield entry

    def __reversed__(self) -> Any:
        for entry in list.__reversed__(self):
            self.iterated_count += 1
            yield entry


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    async def test_pieces_of_two_snapshots_are_never_joined(self) -> None:
        member = SingleMember("a", "abc", epoch=5, log_epochs=[])

        def receive_chunk(index: int, offset: int, chunk: bytes) -> None:
            ask = DigestAsk(epoch=5, index=index, last_epoch=5, offset=offset, total=6, chunk=chunk, checksum=index)
            member.raft.take_digest_ask("b", "b:1", ask)

        receive_chunk(40, 0, b"ab")
        receive_chunk(50, 2, b"yz")
        self.assertEqual(member.sent_messages[-1][2].next_offset, 0, "another snapshot starts at offset 0")
        self.assertIsNone(member.machine.loaded)

    async def test_a_member_that_writes_a_snapshot_is_heard_and_does_not_stand(self) -> None:
        member = SingleMember("a", "abc", epoch=5, log_epochs=[5])
        member.raft.state.is_installing_snapshot = True
        member.raft.take_append_ask("b", "b:1", AppendAsk(epoch=5, previous_index=2, previous_epoch=5, round=7))
        answer = member.sent_messages[-1][2]
        self.assertEqual((answer.waiting, answer.round, answer.success), (True, 7, False))
        member.raft.timer.deadline_micros = 0
        member.raft.tick()
        self.assertEqual(member.raft.role, "follower")
        member.raft.state.is_installing_snapshot = False
        member.raft.timer.deadline_micros = 0
        member.raft.tick()
        self.assertEqual(member.raft.role, "candidate")

    async def test_a_snapshot_that_fails_its_checksum_is_asked_for_anew(self) -> None:
        member = SingleMember("a", "abc", epoch=5, log_epochs=[])
        ask = DigestAsk(epoch=5, index=40, last_epoch=5, offset=0, total=2, chunk=b"ab", checksum=1)
        member.raft.take_digest_ask("b", "b:1", ask)
        self.assertEqual((member.sent_messages[-1][2].next_offset, member.raft.is_installing_snapshot), (0, False))


class RecordingNetwork:
    """A network that records the frames that were sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Envelope]] = []
        self.receive: Any = None

    def listen(self, receive: Any) -> None:
        self.receive = receive

    def send(self, address: str, frame_bytes: bytes) -> None:
        self.sent.append((address, Envelope.FromString(frame_bytes)))

    def send_datagram(self, address: str, frame_bytes: bytes) -> None:
        self.send(address, frame_bytes)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, change: Any) -> bool:
        """Whether an answer, after this change, is accepted as the response to a command."""
        network: Any = RecordingNetwork()
        rpc_endpoint = RpcEndpoint("me", "me:1", network, FakeRuntime())
        pending_call = asyncio.ensure_future(
            rpc_endpoint.call("core:1", "command_ask", CommandAsk(command=b"x"), SECOND)
        )
        await asyncio.sleep(0)
        request = network.sent[-1][1]
        answer = Envelope(identity="core", address="core:1", reply_to=request.ask, reply_life=request.life)
        answer.command_result.CopyFrom(CommandResult(status="done"))
        change(answer)
        network.receive(answer.SerializeToString())
        await asyncio.sleep(0)
        is_taken = pending_call.done()
        if is_taken:
            self.assertEqual(pending_call.result(), Ok(answer.command_result))
        pending_call.cancel()
        return is_taken

    async def test_only_the_answer_to_this_very_question_counts(self) -> None:
        self.assertTrue(await self.ask(lambda answer: None))
        changes = {
            "to a former life": lambda a: setattr(a, "reply_life", a.reply_life ^ 1),
            "to no life": lambda a: a.ClearField("reply_life"),
            "to another question": lambda a: setattr(a, "reply_to", a.reply_to + 1),
            "from another process": lambda a: setattr(a, "address", "other:1"),
            "of another type": lambda a: a.found_result.CopyFrom(FoundResult(empty=True)),
            "a question": lambda a: a.term_ask.CopyFrom(TermAsk()),
        }
        for name, tamper in changes.items():
            with self.subTest(name):
                self.assertFalse(await self.ask(tamper))

    def test_every_question_has_an_answer_in_the_envelope(self) -> None:
        fields = {f.name for f in Envelope.DESCRIPTOR.fields}
        asked = {name for name in fields if name.endswith("_ask")} - {"vote_ask", "append_ask", "digest_ask"}
        self.assertEqual({reply_name(name) for name in asked} - fields, set())
        self.assertEqual(reply_name("roster_note"), "roster_note")

    async def test_each_life_is_another(self) -> None:
        network: Any = RecordingNetwork()
        lives = {RpcEndpoint("me", "me:1", network, FakeRuntime()).incarnation for _ in range(50)}
        self.assertEqual(len(lives), 50)


class SessionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FleetState()
        workers = Command(workers=SetWorkers(worker=[Worker(name="w", address="w:1", service="s")]))
        self.fleet.apply(1, workers.SerializeToString())
        self.session = CommandSession("n1")
        self.index = 1

    def hold(self, renew_fence: int = 0) -> Command:
        command = Command()
        command.hold.worker, command.hold.holder, command.hold.renew_fence = "w", "n1", renew_fence
        self.session.assign_number(command)
        return command

    def apply(self, command: Command) -> dict[str, Any]:
        self.index += 1
        return self.fleet.apply(self.index, command.SerializeToString())

    def test_a_command_that_was_given_up_is_not_run_after_a_later_one(self) -> None:
        late, later = self.hold(), self.hold()
        fence = self.apply(later)["fence"]
        self.assertEqual(self.apply(late)["status"], "refused")
        self.assertEqual(self.fleet.leases["w"]["fence"], fence, "the holder does not know a later fence")

    def test_a_repeat_has_the_outcome_of_the_first_also_behind_a_snapshot(self) -> None:
        command = self.hold()
        first = self.apply(command)
        self.assertEqual(self.apply(command), first)
        restored = FleetState()
        restored.load_snapshot(self.fleet.build_snapshot())
        self.assertEqual(restored.apply(99, command.SerializeToString()), first)

    def test_a_change_older_than_memory_is_left_without_a_clear_answer(self) -> None:
        def change(number: int) -> Command:
            command = Command()
            command.change.base_number, command.change.number = number - 1, number
            command.change.document, command.change.by_name = b"{}", True
            command.change.checked_revision = self.fleet.description_revision
            return command

        first = change(1)
        for number in range(1, TAKEN_LIMIT + 2):
            self.assertEqual(self.apply(change(number))["status"], "done")
        self.assertEqual(self.apply(first)["status"], "unknown", "it was applied and must not be refused")
        self.assertEqual(self.apply(change(2))["status"], "done", "the oldest change that is still remembered")
        other = change(500)
        other.change.document = b'{"limits":{}}'
        self.assertEqual(
            self.apply(other)["status"], "conflict", "different content under a number that is already used"
        )

    def test_other_workers_and_other_lives_have_numbers_of_their_own(self) -> None:
        numbers = [self.hold().number for _ in range(3)]
        other = Command()
        other.hold.worker = "v"
        self.session.assign_number(other)
        self.assertEqual((numbers, other.number), ([1, 2, 3], 1))
        bump = Command()
        bump.bump.part = 1
        self.session.assign_number(bump)
        self.assertEqual(bump.session, "", "bumps are identified by their transaction")
