"""One control-plane process (§4), called a core: a Raft member with the fleet state and its services."""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message
from result import Err, Result

from pearhead.config.description import read_description_in_chunks
from pearhead.config.startup import StartupConfig
from pearhead.consensus.raft import RaftMember
from pearhead.consensus.snapshot_store import SnapshotLimits
from pearhead.consensus.wal import Wal
from pearhead.control_plane.description_change import ChangeChecker, decode_route, encodable_route, hash_change
from pearhead.control_plane.fleet_state import FleetState, UnknownCommandError, encode_canonical_json
from pearhead.control_plane.membership_controller import MembershipController
from pearhead.control_plane.view_service import ViewService
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_sequencer import RevisionSequencer
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    Command,
    CommandAsk,
    CommandResult,
    DescriptionAsk,
    DescriptionResult,
    JoinAsk,
    JoinResult,
    Members,
    PurgeNote,
    Record,
)
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.runtime.disk import Disk
from pearhead.runtime.net import Net
from pearhead.runtime.text import encode_json, load_json

LOGGER = logging.getLogger("pearhead")
COMMAND_TIMEOUT_MICROS = 5 * SECOND
# Operators' clients try another core after a second without an answer, later if the body is large, so a relayed command
# waits for a second plus the time that its bytes take at the rate below.
RELAY_BASE_TIMEOUT_MICROS = SECOND
RELAY_BYTES_PER_SECOND = 500_000
DESCRIPTION_READ_TIMEOUT_MICROS = 2 * SECOND
LEADER_POLL_MICROS = 50 * MILLI
MAX_STALL_MICROS = SECOND
IDENTITY_FILE = "identity"
FOUNDERS_FILE = "founders"
DISK_FULL_RETRY_MICROS = 500 * MILLI
EVENT_TYPES = {
    "apply": "description.applied",
    "change": "description.applied",
    "workers": "workers.changed",
    "weights": "weights.named",
    "confirm": "load.confirmed",
}


def unavailable_result(why: str) -> CommandResult:
    """The result for a command that did not run, with the reason for the caller."""
    return CommandResult(status="unavailable", body=encode_canonical_json({"why": why}))


def relay_timeout_micros(command_bytes: int) -> int:
    """How long a relayed command of this size waits for the leader's reply, in microseconds."""
    return RELAY_BASE_TIMEOUT_MICROS + command_bytes * SECOND // RELAY_BYTES_PER_SECOND


class CoreProcess:
    """A core: connects Raft, fleet state, membership, node views and part revisions to one disk and one endpoint.

    It is the state machine that Raft applies commands to, and the store of the `RevisionSequencer`. `fail` is called
    with a reason when the process must stop. `lease_last_seen` has, for each worker, the fence of its lease and when
    this core last saw that lease taken or renewed.
    """

    def __init__(
        self,
        startup: StartupConfig,
        clock: Clock,
        net: Net,
        disk: Disk,
        rng: random.Random,
        fail: Callable[[str], None],
    ) -> None:
        self.startup = startup
        self.clock = clock
        self.net = net
        self.disk = disk
        self.rng = rng
        self.fail = fail
        self.task_group = BackgroundTaskGroup("control_plane")
        self.fleet = FleetState()
        self.lease_last_seen: dict[str, tuple[int, int]] = {}
        self.leader_since_micros = 0
        self.identity = ""
        self.founders = startup.founders
        self.publish_event: Callable[[str, int, dict[str, Any]], None] = lambda type_name, index, data: None
        self.raft: RaftMember
        self.rpc_endpoint: RpcEndpoint
        self.directory: Directory
        self.membership: MembershipController
        self.view_service: ViewService
        self.revision_sequencer: RevisionSequencer

    async def start(self) -> None:
        """Recovers the state from disk, registers the message handlers and starts the background tasks.

        Raises WalCorruptError if the log is damaged, OSError if the disk fails.
        """
        self.identity = await self._load_or_create_identity()
        self.founders = self._load_founders()
        self.rpc_endpoint = RpcEndpoint(self.identity, self.startup.address, self.net, self.clock)
        self_record = Record(
            identity=self.identity,
            address=self.startup.address,
            role="control_plane",
            area=self.startup.area,
            httpAddress=self.startup.httpAddress,
        )
        self.directory = Directory(self_record, self.startup.seeds, self.rpc_endpoint, self.clock, self.rng)
        self.raft = RaftMember(
            self.identity,
            Wal(self.disk),
            self,
            self._send_to_member,
            self.clock,
            self.rng,
            self.task_group,
            self.fail,
            SnapshotLimits(self.startup.digestEvery, self.startup.keptEntries, self.startup.digest_bytes),
        )
        await self.raft.recover()
        self.membership = MembershipController(
            self.identity,
            self.startup,
            self.founders,
            self.raft,
            self.rpc_endpoint,
            self.directory,
            self.clock,
            self.fail,
        )
        self.view_service = ViewService(self.identity, self.raft, self.fleet)
        self.raft.watch_leadership(self._on_leadership_change)
        self.raft.watch_members(self._on_members_change)
        self.revision_sequencer = RevisionSequencer(
            self, self.rpc_endpoint, self.directory, self.clock, self.task_group, self.startup.tableLifetimeMicros
        )
        for body_name, handler in (
            ("vote_ask", self.raft.take_vote_ask),
            ("vote_result", self.raft.take_vote_result),
            ("append_ask", self.raft.take_append_ask),
            ("append_result", self.raft.take_append_result),
            ("digest_ask", self.raft.take_digest_ask),
            ("digest_result", self.raft.take_digest_result),
            ("elect_now", self.raft.take_elect_now),
        ):
            self.rpc_endpoint.on_message(body_name, handler)
        self.rpc_endpoint.on_request("found_ask", self.membership.make_found_result)
        self.rpc_endpoint.on_request("leave_ask", self.membership.make_leave_result)
        self.rpc_endpoint.on_request("join_ask", self._make_join_result)
        self.rpc_endpoint.on_request("command_ask", self._make_command_result)
        self.rpc_endpoint.on_request("description_ask", self._make_description_result)
        self.rpc_endpoint.on_request("term_ask", self.view_service.make_term_result)
        self._register_volumes()
        self.raft.start()
        for name, run_loop in (
            ("directory", self.directory.run),
            ("membership", self.membership.run),
            ("membership_reconciliation", self.membership.reconcile),
        ):
            self.task_group.supervise(name, self.clock, run_loop)
        LOGGER.info("control_plane: Listens. core=%s address=%s", self.identity[:8], self.startup.address)

    def stop(self) -> None:
        """Cancels the background tasks and stops the endpoint."""
        self.task_group.stop()
        self.rpc_endpoint.stop()

    async def drain(self) -> None:
        """Hands this core's vote and leadership to other members before a planned stop (§4.9)."""
        await self.membership.leave()

    def _send_to_member(self, address: str, body_name: str, body: Message) -> None:
        self.rpc_endpoint.send_message(address, body_name, body)

    async def _load_or_create_identity(self) -> str:
        """Reads the random identity from disk, or creates it: a core with an empty disk is a new member (§4.4)."""
        file_names = self.disk.names()
        if IDENTITY_FILE in file_names:
            return self.disk.read(IDENTITY_FILE).decode()
        if any(n.startswith(("log-", "digest-")) for n in file_names):
            self.fail("the data folder holds a log but no identity")
        identity = self.rng.randbytes(12).hex()
        # Founders are configured for the first start only, so they are stored: a founder that was killed before the
        # bootstrap must still know them after its restart (§4.9).
        if self.startup.founders or FOUNDERS_FILE not in file_names:
            await self._write_file_with_retry(FOUNDERS_FILE, json.dumps(self.startup.founders))
        await self._write_file_with_retry(IDENTITY_FILE, identity)
        return identity

    async def _write_file_with_retry(self, file_name: str, text: str) -> None:
        while True:
            try:
                await self.disk.replace(file_name, text.encode())
                return
            except OSError as disk_error:
                if disk_error.errno != errno.ENOSPC:
                    raise
                LOGGER.error("control_plane: The disk is full.")
                await sleep_for(self.clock, DISK_FULL_RETRY_MICROS)

    def _load_founders(self) -> list[str]:
        if self.startup.founders or FOUNDERS_FILE not in self.disk.names():
            return self.startup.founders
        stored_founders: list[str] = json.loads(self.disk.read(FOUNDERS_FILE))
        return stored_founders

    # ---- StateMachine ----------------------------------------------------------------------------

    def apply(self, index: int, command_bytes: bytes) -> dict[str, Any]:
        """Applies a committed command to the fleet state and returns its outcome.

        The leader publishes an event if the command is one of `EVENT_TYPES` and was done. Calls `fail` and raises
        UnknownCommandError for a command that only a later release knows.
        """
        try:
            outcome = self.fleet.apply(index, command_bytes)
        except UnknownCommandError as fault:
            self.fail(str(fault))
            raise
        command = Command.FromString(command_bytes)
        body_name = command.WhichOneof("body")
        if body_name == "hold" and outcome["status"] == "done":
            self.lease_last_seen[command.hold.worker] = (outcome["fence"], self.clock.now())
        elif body_name in ("apply", "change") and outcome["status"] == "done":
            self._register_volumes()
        if body_name in EVENT_TYPES and outcome["status"] == "done" and self.raft.is_leader():
            self.publish_event(EVENT_TYPES[body_name], index, {"revision": index})
        return outcome

    def build_snapshot(self) -> bytes:
        """The fleet state, for a snapshot."""
        return self.fleet.build_snapshot()

    def load_snapshot(self, snapshot_bytes: bytes) -> None:
        """Replaces the fleet state by that of a snapshot."""
        self.fleet.load_snapshot(snapshot_bytes)
        # A snapshot does not tell when leases were last renewed, so their time counts from now (§7.2).
        self.lease_last_seen = {
            worker: (lease["fence"], self.clock.now()) for worker, lease in self.fleet.leases.items()
        }

    def _register_volumes(self) -> None:
        """Joins the invalidation channel of each pair of owner and line.

        Does nothing during the recovery, as the sequencer is created after it.
        """
        if hasattr(self, "revision_sequencer"):
            owners = {
                f"group:{tenant['group']}" if tenant.get("group") else f"tenant:{tenant['name']}"
                for tenant in self.fleet.description.get("tenants", [])
            }
            line_names = [line["name"] for line in self.fleet.description.get("lines", [])]
            self.revision_sequencer.join_volumes((owner, name) for owner in sorted(owners) for name in line_names)

    # ---- RevisionStore -------------------------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether this core leads, as far as it knows."""
        return self.raft.is_leader()

    async def confirm_leadership(self) -> bool:
        """Whether this core leads and a majority, asked after this call, still follows it."""
        return await self.raft.confirm_leadership()

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        """Raises a part's revision by one; returns the revision and its log index once committed, or None."""
        command = Command(transaction=note.revision_request.transaction)
        command.bump.owner, command.bump.line, command.bump.part = note.owner, note.line, note.part
        outcome = await self.raft.propose(command.SerializeToString())
        if isinstance(outcome, Err):
            return None
        body = outcome.ok_value[1]
        return (body["revision"], body["index"]) if "index" in body else None

    def raised_part_revisions(self, owner: str, line: str) -> list[tuple[int, int]]:
        """Part number and revision of each part whose revision is above one."""
        return self.fleet.raised_part_revisions(f"{owner}/{line}")

    def position(self) -> tuple[int, int]:
        """The Raft term (epoch) and the applied index."""
        return self.raft.term, self.raft.applied_index

    # ---- commands --------------------------------------------------------------------------------

    def is_bootstrap_complete(self) -> bool:
        """Whether commands may be acknowledged: enough members vote, and no founder may still join.

        With fewer voters, the loss of one disk could lose an acknowledged command. Once a command that counts for the
        view has been applied, neither is checked any more.
        """
        return self.fleet.visible_index > 0 or self.membership.is_bootstrap_complete()

    async def execute(self, command: Command, relayed: bool = False) -> CommandResult:
        """Runs a command here, or relays it to the leader unless it was relayed before.

        Status `unavailable` means that the command did not run, `unknown` that it may have run.
        """
        arrived_micros = self.clock.now()
        if self.raft.is_leader():
            if not self.is_bootstrap_complete():
                return unavailable_result("founding is not over")
            return await self._execute_as_leader(command, arrived_micros)
        if relayed or not self.raft.leader_address():
            return unavailable_result("no leader is known")
        command_bytes = command.SerializeToString()
        relayed_ask = CommandAsk(command=command_bytes, relayed=True)
        reply = await self._ask_leader("command_ask", relayed_ask, relay_timeout_micros(len(command_bytes)))
        if isinstance(reply, Err):
            return CommandResult(status="unknown", body=encode_canonical_json({"why": "the leader did not answer"}))
        result: CommandResult = reply.ok_value
        return result

    async def _ask_leader(self, body_name: str, body: Message, limit_micros: int) -> Result[Any, str]:
        """Calls the leader that this core follows; returns Err as soon as this core follows another or none."""
        leader_address = self.raft.leader_address()
        call = asyncio.ensure_future(self.rpc_endpoint.call(leader_address, body_name, body, limit_micros))
        try:
            while not call.done() and self.raft.leader_address() == leader_address:
                await self._wait_for_reply_or_poll(call)
            if call.done():
                reply: Result[Any, str] = call.result()
                return reply
            return Err("the leader is not followed any more")
        finally:
            call.cancel()

    async def _wait_for_reply_or_poll(self, call: asyncio.Future[Any]) -> None:
        """Waits until the call is done, at most until it is time to look at the leader again."""
        poll_timer = asyncio.ensure_future(sleep_for(self.clock, LEADER_POLL_MICROS))
        try:
            await asyncio.wait({call, poll_timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            poll_timer.cancel()

    async def _execute_as_leader(self, command: Command, arrived_micros: int) -> CommandResult:
        if command.WhichOneof("body") == "hold":
            self._check_lease_expiry(command)
        elif command.WhichOneof("body") == "apply":
            checked = await read_description_in_chunks(command.apply.description, self._yield_to_loop)
            if isinstance(checked, Err):
                return CommandResult(status="refused", body=encode_canonical_json({"faults": checked.err_value}))
        elif command.WhichOneof("body") == "change":
            rejection = await self._precheck_change(command)
            if rejection is not None:
                return rejection
        if self.clock.now() - arrived_micros > COMMAND_TIMEOUT_MICROS:
            # The caller has given up, and may have sent another command since (§4.2).
            return unavailable_result("the command waited too long")
        outcome = await self.raft.propose(command.SerializeToString())
        if isinstance(outcome, Err):
            may_have_run = outcome.err_value == "outcome unknown"
            return CommandResult(
                status="unknown" if may_have_run else "unavailable",
                body=encode_canonical_json({"why": outcome.err_value}),
            )
        index, body = outcome.ok_value
        return CommandResult(status=body["status"], index=index, body=encode_canonical_json(body))

    async def _precheck_change(self, command: Command) -> CommandResult | None:
        """Checks a change before it goes into the log; returns the result for one that can't be applied (§5.4).

        None if the change may be proposed, as may a repeat of an applied one. Sets the hash of the change and the
        description revision that it was checked against.
        """
        change = command.change
        if not await self.raft.confirm_leadership():
            return unavailable_result("no majority follows this core")
        fleet = self.fleet
        change.content_hash = ""
        change.content_hash = hash_change(change)
        if fleet.has_applied_change(change):
            return None
        if fleet.is_beyond_retained_changes(change):
            return CommandResult(
                status="unknown", body=encode_canonical_json({"why": "too old to tell whether it was taken"})
            )
        if change.base_number != fleet.description_number:
            return CommandResult(status="conflict", body=encode_canonical_json({"number": fleet.description_number}))
        if change.number <= fleet.description_number:
            faults = [f"number: must be above {fleet.description_number}"]
            return CommandResult(status="refused", body=encode_canonical_json({"faults": faults}))
        change.checked_revision = fleet.description_revision
        checked = await ChangeChecker(self._yield_to_loop).check(change, fleet.description, fleet.routes)
        if isinstance(checked, Err):
            return CommandResult(status="refused", body=encode_canonical_json({"faults": checked.err_value[:20]}))
        return None

    async def _yield_to_loop(self) -> None:
        """Yields to the event loop, so that heartbeats go out while a large description is checked."""
        await sleep_for(self.clock, 0)

    def _check_lease_expiry(self, command: Command) -> None:
        """Sets `expired` in the command if another holder's lease on the worker has run out (§7.2).

        Only the leader decides this: by the time since it last saw that fence renewed, or since it became the leader if
        that is later.
        """
        worker = command.hold.worker
        lease = self.fleet.leases.get(worker)
        command.hold.expired = False
        if lease is None:
            return
        now_micros = self.clock.now()
        seen_fence, seen_micros = self.lease_last_seen.get(worker, (0, now_micros))
        if lease["holder"] == command.hold.holder:
            if lease["fence"] == command.hold.renew_fence:
                self.lease_last_seen[worker] = (lease["fence"], now_micros)
            return
        unrenewed_micros = now_micros - max(seen_micros, self.leader_since_micros)
        if seen_fence == lease["fence"] and unrenewed_micros > self.startup.holdMicros:
            command.hold.expired = True
            command.hold.renew_fence = lease["fence"]

    async def _make_command_result(self, identity: str, address: str, ask: CommandAsk) -> CommandResult:
        if self.clock.now() - self.raft.last_tick_micros > MAX_STALL_MICROS:
            # This process was suspended or blocked, so it is unknown how long the command has waited (§4.2).
            return unavailable_result("this core stood still")
        return await self.execute(Command.FromString(ask.command), relayed=ask.relayed)

    # ---- members ---------------------------------------------------------------------------------

    async def _make_join_result(self, identity: str, address: str, ask: JoinAsk) -> JoinResult:
        return await self.membership.make_join_result(identity, address, ask)

    def _on_members_change(self, index: int, members: Members) -> None:
        voters = [m.address for m in members.member if m.voter]
        self.publish_event("members.changed", index, {"voters": voters})

    def _on_leadership_change(self, leads: bool) -> None:
        self.leader_since_micros = self.clock.now()
        self.membership.on_leadership_change(leads)
        self.view_service.on_leadership_change(leads)

    # ---- state for operators -----------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Health and Raft state as this core alone sees them, for operators and the platform."""
        return {
            "kind": "core",
            "area": self.startup.area,
            "digestIndex": self.raft.snapshot_index,
            "holds": self.fleet.leases,
            "identity": self.identity,
            "address": self.startup.address,
            "role": self.raft.role,
            "epoch": self.raft.term,
            "leader": self.raft.leader_address(),
            "commitIndex": self.raft.commit_index,
            "lastIndex": self.raft.last_index(),
            "descriptionRevision": self.fleet.description_revision,
            "diskFull": self.raft.disk_full,
            "members": [
                {"identity": m.identity, "address": m.address, "voter": m.voter} for m in self.raft.members().member
            ],
            "directory": self.directory.rows(),
        }

    async def read_description(self) -> dict[str, Any] | None:
        """The number and content of the description in force, with all sources, on any core (§5.4).

        None if no leader that a majority follows can be reached.
        """
        result = await self.fetch_description()
        if result is None:
            return None
        # The leader may run an earlier release, which stored unpaired surrogates.
        description = load_json(result.document)
        if result.route:
            description["routes"] = [decode_route(*encodable_route(item.shown, item.source)) for item in result.route]
        return {"number": result.number, "description": description}

    async def fetch_description(self) -> DescriptionResult | None:
        """Like `read_description`, but with the routes still encoded, which is cheap even if there are many."""
        result = await self._make_description_result("", "", DescriptionAsk())
        leader_address = self.raft.leader_address()
        if not result.held and leader_address and not self.raft.is_leader():
            reply = await self._ask_leader("description_ask", DescriptionAsk(), DESCRIPTION_READ_TIMEOUT_MICROS)
            if isinstance(reply, Err):
                return None
            result = reply.ok_value
        return result if result.held else None

    async def _make_description_result(self, identity: str, address: str, ask: DescriptionAsk) -> DescriptionResult:
        if not self.raft.is_leader() or not await self.raft.confirm_leadership():
            return DescriptionResult()
        result = DescriptionResult(held=True, number=self.fleet.description_number)
        result.document = encode_json(self.fleet.description)
        for name, (shown, source) in self.fleet.routes.items():
            result.route.add(name=name, shown=shown, source=source)
        return result

    def applied_weights(self) -> dict[str, str]:
        """The weights that are set for each model line, as far as this core has applied the log."""
        return {line: state["weights"] for line, state in self.fleet.weights.items()}

    async def read_fleet(self) -> dict[str, Any] | None:
        """The present fleet state, read on the leader after a majority confirmed it; None on other cores."""
        if not await self.raft.confirm_leadership():
            return None
        return self.fleet.read()
