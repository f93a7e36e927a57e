"""HTTP API of a core (§4.5) for operators and the platform."""

from __future__ import annotations

import json
from typing import Any

from prometheus_client import CollectorRegistry
from tornado.web import Application, RequestHandler

from pearhead.config.startup import StartupConfig, has_operator_key
from pearhead.control_plane.core_process import CoreProcess
from pearhead.rpc.wire_pb2 import Command, CommandResult, Worker
from pearhead.runtime.metrics import metrics_routes
from pearhead.runtime.text import encode_json, escape_surrogates

STATUS_CODES = {"done": 200, "conflict": 409, "refused": 422, "held": 409, "unavailable": 503, "unknown": 504}


class OperatorHandler(RequestHandler):
    """Base of the handlers that need the operator key."""

    def initialize(self, core: CoreProcess, startup: StartupConfig) -> None:
        """Takes the arguments of the route."""
        self.core = core
        self.startup = startup

    def prepare(self) -> None:
        """Ends the request with status 401 if it does not have the operator key."""
        if not has_operator_key(self.startup, self.request.headers.get("Authorization", "")):
            self.set_status(401)
            self.finish({"status": "refused", "faults": ["a wrong operator key"]})

    def read_body(self) -> dict[str, Any] | None:
        """The JSON object in the body; None, after a reply with status 400, if there is none."""
        try:
            data = json.loads(self.request.body)
        except (ValueError, RecursionError):
            data = None
        if not isinstance(data, dict):
            self.set_status(400)
            self.finish({"status": "refused", "faults": ["the body must be a JSON object"]})
            return None
        return data

    async def execute(self, command: Command) -> None:
        """Runs a command and replies with its outcome, under the HTTP status in `STATUS_CODES`."""
        result: CommandResult = await self.core.execute(command)
        self.set_status(STATUS_CODES.get(result.status, 500))
        body = json.loads(result.body or b"{}")
        self.finish({**body, "status": result.status})

    def refuse(self, fault: str) -> None:
        """Replies with status 400 and one fault."""
        self.set_status(400)
        self.finish({"status": "refused", "faults": [fault]})


class ApplyHandler(OperatorHandler):
    """Replaces the whole description, under a revision assigned by the core."""

    async def post(self) -> None:
        """Applies `description` if `base` is the present revision; a repeat of `applyId` gives the first outcome."""
        data = self.read_body()
        if data is None:
            return
        try:
            command = Command(transaction=str(data["applyId"]).encode())
            command.apply.base_revision = int(data["base"])
            command.apply.description = json.dumps(data["description"]).encode()
            command.apply.by = str(data.get("by", ""))
        except (KeyError, ValueError, TypeError, OverflowError) as fault:
            return self.refuse(f"applyId, base and description are needed: {fault!r}")
        await self.execute(command)


class ChangeHandler(OperatorHandler):
    """Changes the description under the operators' own number (§5.4), as a whole or by the names of items."""

    async def post(self) -> None:
        """Applies change `number` if `base` is the present number.

        The body has either a whole `description`, or by name what to `put` and `remove`, with limits and source.
        """
        data = self.read_body()
        if data is None:
            return
        command = Command()
        partial_change = {name: data[name] for name in ("put", "remove", "put_limits", "source") if name in data}
        if ("description" in data) == bool(partial_change):
            return self.refuse("description, or put and remove, are needed")
        try:
            command.change.base_number, command.change.number = int(data["base"]), int(data["number"])
            command.change.document = encode_json(partial_change or data["description"])
        except (KeyError, ValueError, TypeError, OverflowError) as fault:
            return self.refuse(f"number and base are needed: {fault!r}")
        command.change.by_name = bool(partial_change)
        await self.execute(command)


class DescriptionHandler(OperatorHandler):
    """Reads the description, on any core."""

    async def get(self) -> None:
        """Replies with number and description as of now; status 503 if no leader with a majority is in reach."""
        current = await self.core.read_description()
        if current is None:
            self.set_status(503)
        self.finish(current or {"status": "unavailable"})


class WorkersHandler(OperatorHandler):
    """Changes the list of workers and the marks of those that leave."""

    async def post(self) -> None:
        """Replaces the list of workers, or with `partial` only adds, removes and marks some.

        `base`, if given, must be the present revision of the list.
        """
        data = self.read_body()
        if data is None:
            return
        try:
            command = Command(transaction=str(data.get("applyId", "")).encode())
            command.workers.base_revision = int(data.get("base", 0))
            command.workers.leaving.extend(data.get("leaving", []))
            command.workers.staying.extend(data.get("staying", []))
            command.workers.partial = bool(data.get("partial", False))
            command.workers.removed.extend(data.get("removed", []))
            for item in data.get("workers", []):
                command.workers.worker.append(Worker(**item))
            command.workers.SetInParent()
        except (ValueError, TypeError, OverflowError) as fault:
            return self.refuse(f"workers: {fault}")
        await self.execute(command)


class WeightsHandler(OperatorHandler):
    """Sets the weights of a model line."""

    async def post(self) -> None:
        """Sets `weights` for `line`; `base`, if given, must be the present revision of the line's weights."""
        data = self.read_body()
        if data is None:
            return
        try:
            command = Command(transaction=str(data.get("applyId", "")).encode())
            command.weights.line = escape_surrogates(str(data.get("line", "")))
            command.weights.weights = str(data.get("weights", ""))
            command.weights.base_revision = int(data.get("base", 0))
        except (ValueError, TypeError, OverflowError) as fault:
            return self.refuse(f"weights: {fault}")
        await self.execute(command)


class FleetHandler(OperatorHandler):
    """Reads the state of the fleet, on the leader only."""

    async def get(self) -> None:
        """Replies with the state as of now; on other cores with status 503 and the leader's HTTP address, if known."""
        state = await self.core.read_fleet()
        if state is None:
            self.set_status(503)
            self.finish({"status": "unavailable", "leader": self._leader_http_address()})
            return
        self.finish(state)

    def _leader_http_address(self) -> str:
        leader_address = self.core.raft.leader_address()
        records = self.core.directory.members("control_plane")
        return next((r.httpAddress for r in records if r.address == leader_address), "")


class OutcomeHandler(OperatorHandler):
    """Looks up the outcome of an earlier command, on the leader only."""

    async def get(self, apply_id: str) -> None:
        """Replies with the outcome of the command with this id, for a client that got no acknowledgement (§4.5).

        Status 404 if the command is not known, 503 if this core can't confirm that it leads.
        """
        if not await self.core.confirm_leadership():
            self.set_status(503)
            self.finish({"status": "unavailable"})
            return
        outcome = self.core.fleet.transactions.get(apply_id.encode().hex())
        if outcome is None:
            self.set_status(404)
        self.finish(outcome or {"status": "unseen"})


class InspectHandler(OperatorHandler):
    """Reads the health of this core."""

    def get(self) -> None:
        """Replies with health and Raft state as this core alone sees them."""
        self.finish(self.core.status())


class StatusHandler(RequestHandler):
    """Health check for the platform; it needs no operator key."""

    def initialize(self, core: CoreProcess, startup: StartupConfig) -> None:
        """Takes the arguments of the route."""
        self.core = core

    def get(self) -> None:
        """Replies with the same as `/inspect`."""
        self.finish(self.core.status())


def build_operator_api(
    core: CoreProcess, startup: StartupConfig, registry: CollectorRegistry | None = None
) -> Application:
    """The routes of a core, with `/metrics` if a registry is given."""
    handler_arguments = {"core": core, "startup": startup}
    return Application(
        [
            ("/apply", ApplyHandler, handler_arguments),
            ("/outcome/([A-Za-z0-9_.-]{1,64})", OutcomeHandler, handler_arguments),
            ("/change", ChangeHandler, handler_arguments),
            ("/description", DescriptionHandler, handler_arguments),
            ("/workers", WorkersHandler, handler_arguments),
            ("/weights", WeightsHandler, handler_arguments),
            ("/fleet", FleetHandler, handler_arguments),
            ("/inspect", InspectHandler, handler_arguments),
            ("/soundness", StatusHandler, handler_arguments),
            *(metrics_routes(registry) if registry is not None else []),
        ],
        log_function=lambda handler: None,
    )
