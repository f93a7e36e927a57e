"""CoreProcess (§4): one disk machine's part in the core, put together from its controllers."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import picologging
from google.protobuf.message import Message
from result import Err

from pearhead.anvil.change import ChangeChecker
from pearhead.anvil.fleet import Fleet, UnknownCommand, to_body
from pearhead.awl.clock import MILLI, SECOND, Clock, rest
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.description import read_description_gently
from pearhead.awl.directory import Directory
from pearhead.awl.disk import Disk
from pearhead.awl.net import Net
from pearhead.awl.startup import Startup
from pearhead.awl.wire_pb2 import (
    Command,
    CommandAsk,
    CommandResult,
    DescriptionAsk,
    DescriptionResult,
    FoundAsk,
    FoundResult,
    JoinAsk,
    JoinResult,
    Member,
    Members,
    PurgeNote,
    Record,
    TermAsk,
    TermResult,
)
from pearhead.rasp.serializer import Serializer
from pearhead.vise.raft import KIND_COMMAND, RaftMember
from pearhead.vise.wal import Wal

LOGGER = picologging.getLogger("pearhead")
ASK_MICROS = 1_500 * MILLI
COMMAND_MICROS = 5 * SECOND
CARE_MICROS = 300 * MILLI
JOIN_MICROS = 700 * MILLI
IDENTITY_FILE = "identity"
EVENT_TYPES = {
    "apply": "description.applied", "change": "description.applied", "workers": "workers.changed",
    "weights": "weights.named", "confirm": "load.confirmed",
}


class CoreProcess:
    def __init__(
        self, startup: Startup, clock: Clock, net: Net, disk: Disk, chance: random.Random,
        fail: Callable[[str], None],
    ) -> None:
        self.startup = startup
        self.clock = clock
        self.net = net
        self.disk = disk
        self.chance = chance
        self.fail = fail
        self.crew = Crew("anvil")
        self.fleet = Fleet()
        self.holdSeen: dict[str, tuple[int, int]] = {}
        self.leaderSince = 0
        self.heardVoters: dict[str, int] = {}
        self.identity = ""
        self.tellEvent: Callable[[str, int, dict[str, Any]], None] = lambda typeName, index, data: None
        self.raft: RaftMember
        self.courier: Courier
        self.directory: Directory
        self.serializer: Serializer

    async def start(self) -> None:
        self.identity = await self._learn_identity()
        self.courier = Courier(self.identity, self.startup.address, self.net, self.clock)
        selfRecord = Record(
            identity=self.identity, address=self.startup.address, role="anvil", area=self.startup.area,
            httpAddress=self.startup.httpAddress,
        )
        self.directory = Directory(selfRecord, self.startup.seeds, self.courier, self.clock, self.chance)
        self.raft = RaftMember(
            self.identity, Wal(self.disk), self, self._tell, self.clock, self.chance, self.crew, self.fail,
            self.startup.digestEvery, self.startup.keptEntries, self.startup.digest_bytes,
        )
        await self.raft.recover()
        self.raft.leadershipWatchers.append(self._take_leadership)
        self.raft.membersWatcher = self._take_members
        self.serializer = Serializer(
            self, self.courier, self.directory, self.clock, self.crew, self.startup.tableLifetimeMicros
        )
        for bodyName, handler in (
            ("voteAsk", self.raft.take_vote_ask), ("voteResult", self.raft.take_vote_result),
            ("appendAsk", self.raft.take_append_ask), ("appendResult", self.raft.take_append_result),
            ("digestAsk", self.raft.take_digest_ask), ("digestResult", self.raft.take_digest_result),
            ("electNow", self.raft.take_elect_now),
        ):
            self.courier.on_tell(bodyName, handler)
        self.courier.on_ask("foundAsk", self._make_found_result)
        self.courier.on_ask("joinAsk", self._make_join_result)
        self.courier.on_ask("commandAsk", self._make_command_result)
        self.courier.on_ask("descriptionAsk", self._make_description_result)
        self.courier.on_ask("termAsk", self._make_term_result)
        self._join_volumes()
        self.raft.start()
        self.crew.start(self.directory.run())
        self.crew.start(self._come_in())
        self.crew.start(self._care_for_members())
        LOGGER.info("anvil: Core %s listens on %s.", self.identity[:8], self.startup.address)

    def stop(self) -> None:
        self.crew.stop()
        self.courier.stop()

    async def drain(self) -> None:
        """Hands leadership over before it stops (§4.1)."""
        if self.raft.hand_over():
            endMicros = self.clock.now() + 2 * SECOND
            while self.raft.is_leader() and self.clock.now() < endMicros:
                await rest(self.clock, 20 * MILLI)

    def _tell(self, address: str, bodyName: str, body: Message) -> None:
        self.courier.tell(address, bodyName, body)

    async def _learn_identity(self) -> str:
        """A random id on its disk: an empty disk is a new member (§4.4)."""
        fileNames = self.disk.names()
        if IDENTITY_FILE in fileNames:
            return self.disk.read(IDENTITY_FILE).decode()
        if any(n.startswith(("log-", "digest-")) for n in fileNames):
            self.fail("the data folder holds a log and no identity")
        identity = self.chance.randbytes(12).hex()
        await self.disk.replace(IDENTITY_FILE, identity.encode())
        return identity

    # ---- Machine: the fleet, and what this core notes of it -------------------------------------

    def apply(self, index: int, commandBytes: bytes) -> dict[str, Any]:
        try:
            outcome = self.fleet.apply(index, commandBytes)
        except UnknownCommand as fault:
            self.fail(str(fault))
            raise
        command = Command.FromString(commandBytes)
        bodyName = command.WhichOneof("body")
        if bodyName == "hold" and outcome["status"] == "done":
            self.holdSeen[command.hold.worker] = (outcome["fence"], self.clock.now())
        elif bodyName in ("apply", "change") and outcome["status"] == "done":
            self._join_volumes()
        if bodyName in EVENT_TYPES and outcome["status"] == "done" and self.raft.is_leader():
            self.tellEvent(EVENT_TYPES[bodyName], index, {"revision": index})
        return outcome

    def take_digest(self) -> bytes:
        return self.fleet.take_digest()

    def load_digest(self, digestBytes: bytes) -> None:
        self.fleet.load_digest(digestBytes)
        # How long a hold was seen is not known, so it counts from now (§7.2).
        self.holdSeen = {w: (h["fence"], self.clock.now()) for w, h in self.fleet.holds.items()}

    def _join_volumes(self) -> None:
        if hasattr(self, "serializer"):
            owners = {
                f"group:{t['group']}" if t.get("group") else f"tenant:{t['name']}"
                for t in self.fleet.description.get("tenants", [])
            }
            lineNames = [x["name"] for x in self.fleet.description.get("lines", [])]
            self.serializer.join_volumes((o, n) for o in sorted(owners) for n in lineNames)

    # ---- RevisionKeeper ------------------------------------------------------------------------

    def is_leader(self) -> bool:
        return self.raft.is_leader()

    async def confirm(self) -> bool:
        return await self.raft.confirm()

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        command = Command(transaction=note.revisionRequest.transaction)
        command.bump.owner, command.bump.line, command.bump.part = note.owner, note.line, note.part
        outcome = await self.raft.propose(command.SerializeToString())
        if isinstance(outcome, Err):
            return None
        body = outcome.ok_value[1]
        return (body["revision"], body["index"]) if "index" in body else None

    def pairs_of(self, owner: str, line: str) -> list[tuple[int, int]]:
        return self.fleet.revisions_of(f"{owner}/{line}")

    def position(self) -> tuple[int, int]:
        return self.raft.epoch, self.raft.appliedIndex

    # ---- commands --------------------------------------------------------------------------------

    def is_founded(self) -> bool:
        """Nothing is acknowledged before as many vote as founded: one lost disk must not matter."""
        return len(self.raft.voters()) >= min(len(self.startup.founders) or 1, 3)

    async def execute(self, command: Command, relayed: bool = False) -> CommandResult:
        """Runs a command here or at the leader. `unavailable` did not run; `unknown` may have."""
        if self.raft.is_leader():
            if not self.is_founded():
                return CommandResult(status="unavailable", body=to_body({"why": "founding is not over"}))
            return await self._execute_here(command)
        leaderAddress = self.raft.leader_address()
        if relayed or not leaderAddress:
            return CommandResult(status="unavailable", body=to_body({"why": "no leader is known"}))
        relayAsk = CommandAsk(command=command.SerializeToString(), relayed=True)
        givenResult = await self.courier.ask(leaderAddress, "commandAsk", relayAsk, COMMAND_MICROS)
        if isinstance(givenResult, Err):
            return CommandResult(status="unknown", body=to_body({"why": "the leader did not answer"}))
        result: CommandResult = givenResult.ok_value
        return result

    async def _execute_here(self, command: Command) -> CommandResult:
        if command.WhichOneof("body") == "hold":
            self._judge_hold(command)
        elif command.WhichOneof("body") == "apply":
            checked = await read_description_gently(command.apply.description, self._breathe)
            if isinstance(checked, Err):
                return CommandResult(status="refused", body=to_body({"faults": checked.err_value}))
        elif command.WhichOneof("body") == "change":
            judged = await self._judge_change(command)
            if judged is not None:
                return judged
        outcome = await self.raft.propose(command.SerializeToString())
        if isinstance(outcome, Err):
            isRun = outcome.err_value == "outcome unknown"
            return CommandResult(
                status="unknown" if isRun else "unavailable", body=to_body({"why": outcome.err_value})
            )
        index, body = outcome.ok_value
        return CommandResult(status=body["status"], index=index, body=to_body(body))

    async def _judge_change(self, command: Command) -> CommandResult | None:
        """A change that can't be taken is told so before it goes into the log (§5.4). None: let it go there."""
        change = command.change
        if not await self.raft.confirm():
            return CommandResult(status="unavailable", body=to_body({"why": "no majority follows this core"}))
        fleet = self.fleet
        if fleet.has_taken(change):
            return None
        if change.base_number != fleet.description_number:
            return CommandResult(status="conflict", body=to_body({"number": fleet.description_number}))
        if change.number <= fleet.description_number:
            faults = [f"number: must be above {fleet.description_number}"]
            return CommandResult(status="refused", body=to_body({"faults": faults}))
        change.checked_revision = fleet.descriptionRevision
        checked = await ChangeChecker(self._breathe).check(change, fleet.description)
        if isinstance(checked, Err):
            return CommandResult(status="refused", body=to_body({"faults": checked.err_value[:20]}))
        return None

    async def _breathe(self) -> None:
        """Lets heartbeats through while a large description is checked."""
        await rest(self.clock, 0)

    def _judge_hold(self, command: Command) -> None:
        """The leader alone judges a term over, by the time since it saw that fence renewed (§7.2)."""
        worker = command.hold.worker
        held = self.fleet.holds.get(worker)
        command.hold.expired = False
        if held is None:
            return
        nowMicros = self.clock.now()
        seenFence, seenMicros = self.holdSeen.get(worker, (0, nowMicros))
        if held["holder"] == command.hold.holder:
            if held["fence"] == command.hold.renewFence:
                self.holdSeen[worker] = (held["fence"], nowMicros)
            return
        sinceMicros = nowMicros - max(seenMicros, self.leaderSince)
        if seenFence == held["fence"] and sinceMicros > self.startup.holdMicros:
            command.hold.expired = True
            command.hold.renewFence = held["fence"]

    async def _make_command_result(self, identity: str, address: str, ask: CommandAsk) -> CommandResult:
        return await self.execute(Command.FromString(ask.command), relayed=ask.relayed)

    # ---- the nodes' term -------------------------------------------------------------------------

    def last_visible_index(self) -> int:
        """The last index in this log that touches what nodes see, committed or not (§5.3)."""
        for index in range(self.raft.last_index(), self.raft.appliedIndex, -1):
            entry = self.raft.entry_at(index)
            if entry is not None and entry.kind == KIND_COMMAND and Fleet.touches_view(entry.payload):
                return index
        return self.fleet.visibleIndex

    async def _make_term_result(self, identity: str, address: str, ask: TermAsk) -> TermResult:
        membersIndex, members = self.raft._members_up_to(self.raft.last_index())
        result = TermResult(
            member=self.identity in self.raft.voters(), lastVisibleIndex=self.last_visible_index(),
            members=members, membersIndex=membersIndex,
        )
        delta = self.fleet.delta_since(ask.haveIndex, ask.haveHash)
        if delta is not None:
            result.delta.CopyFrom(delta)
        return result

    # ---- founding, joining, replacing --------------------------------------------------------------

    async def _make_found_result(self, identity: str, address: str, ask: FoundAsk) -> FoundResult:
        return FoundResult(empty=self.raft.is_empty())

    async def _come_in(self) -> None:
        """An empty member founds if it is first and all founders are empty; else it asks to join."""
        while self.identity not in self.raft.voters():
            if self.raft.is_empty() and await self._may_found():
                LOGGER.info("anvil: Founds the core.")
                await self.raft.found(self.startup.address)
                return
            for record in self.directory.members("anvil"):
                await self.courier.ask(
                    record.address, "joinAsk", JoinAsk(address=self.startup.address), ASK_MICROS
                )
            await rest(self.clock, JOIN_MICROS)

    async def _may_found(self) -> bool:
        founders = self.startup.founders
        if not founders or founders[0] != self.startup.address:
            return False
        givenResults = await asyncio.gather(*(
            self.courier.ask(a, "foundAsk", FoundAsk(), ASK_MICROS) for a in founders[1:]
        ))
        return all(not isinstance(a, Err) and a.ok_value.empty for a in givenResults)

    async def _make_join_result(self, identity: str, address: str, ask: JoinAsk) -> JoinResult:
        if not self.raft.is_leader():
            return JoinResult(leaderAddress=self.raft.leader_address())
        members = self.raft.members()
        if any(m.identity == identity for m in members.member):
            return JoinResult(taken=True)
        changed = Members(member=[m for m in members.member if m.voter or m.address != ask.address])
        changed.member.append(Member(identity=identity, address=ask.address, voter=False))
        LOGGER.info("anvil: Takes in core %s as a learner.", identity[:8])
        outcome = await self.raft.change_members(changed)
        return JoinResult(taken=not isinstance(outcome, Err))

    async def _care_for_members(self) -> None:
        while True:
            await rest(self.clock, CARE_MICROS)
            if self.raft.settled():
                await self._care_once()

    async def _care_once(self) -> None:
        """One change at a time: a learner that is level gains its vote, then a lost voter goes."""
        members = self.raft.members()
        nowMicros = self.clock.now()
        wantedCount = len(self.startup.founders) or 3
        voters = [m for m in members.member if m.voter]
        lostVoters = [
            m for m in voters
            if m.identity != self.identity
            and nowMicros - self.raft.followers[m.identity].heardMicros > self.startup.lostAfterMicros
        ]
        if len(voters) > wantedCount and lostVoters:
            goneMember = lostVoters[0]
            LOGGER.info("anvil: Lets go of core %s.", goneMember.identity[:8])
            kept = Members(member=[m for m in members.member if m.identity != goneMember.identity])
            await self.raft.change_members(kept)
            return
        for member in members.member:
            if member.voter or (len(voters) >= wantedCount and not lostVoters):
                continue
            follower = self.raft.followers.get(member.identity)
            isLevel = follower is not None and follower.matchIndex >= self.raft.commitIndex
            if not isLevel or follower is None or nowMicros - follower.heardMicros > SECOND:
                continue
            LOGGER.info("anvil: Core %s gains its vote.", member.identity[:8])
            changed = Members()
            changed.CopyFrom(members)
            for changedMember in changed.member:
                if changedMember.identity == member.identity:
                    changedMember.voter = True
            await self.raft.change_members(changed)
            return

    def _take_members(self, index: int, members: Members) -> None:
        voters = [m.address for m in members.member if m.voter]
        self.tellEvent("members.changed", index, {"voters": voters})

    def _take_leadership(self, leads: bool) -> None:
        self.leaderSince = self.clock.now()

    # ---- what operators are told -------------------------------------------------------------------

    def soundness(self) -> dict[str, Any]:
        return {
            "kind": "core", "area": self.startup.area, "digestIndex": self.raft.digestIndex,
            "holds": self.fleet.holds,
            "identity": self.identity, "address": self.startup.address, "role": self.raft.role,
            "epoch": self.raft.epoch, "leader": self.raft.leader_address(),
            "commitIndex": self.raft.commitIndex, "lastIndex": self.raft.last_index(),
            "descriptionRevision": self.fleet.descriptionRevision, "diskFull": self.raft.diskFull,
            "members": [
                {"identity": m.identity, "address": m.address, "voter": m.voter}
                for m in self.raft.members().member
            ],
            "directory": self.directory.rows(),
        }

    async def read_description(self) -> dict[str, Any] | None:
        """The description as of now with its number and all sources, on any core (§5.4). None: nobody who can tell
        is in reach."""
        result = await self._make_description_result("", "", DescriptionAsk())
        leader_address = self.raft.leader_address()
        if not result.held and leader_address and not self.raft.is_leader():
            given = await self.courier.ask(leader_address, "descriptionAsk", DescriptionAsk(), COMMAND_MICROS)
            if isinstance(given, Err):
                return None
            result = given.ok_value
        if not result.held:
            return None
        return {"number": result.number, "description": json.loads(result.document)}

    async def _make_description_result(self, identity: str, address: str, ask: DescriptionAsk) -> DescriptionResult:
        if not self.raft.is_leader() or not await self.raft.confirm():
            return DescriptionResult()
        document = json.dumps(self.fleet.description, separators=(",", ":")).encode()
        return DescriptionResult(held=True, number=self.fleet.description_number, document=document)

    async def read_fleet(self) -> dict[str, Any] | None:
        """The state as of now, read at the leader after a majority confirmed it; None elsewhere."""
        if not await self.raft.confirm():
            return None
        whole: dict[str, Any] = json.loads(self.fleet.take_digest())
        return {name: whole[name] for name in (
            "description", "descriptionRevision", "description_number", "history", "workers", "weights", "holds",
            "loads", "volumeIndexes", "visibleIndex",
        )}
