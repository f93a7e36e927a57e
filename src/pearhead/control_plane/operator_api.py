"""OperatorApi (§4.5): the HTTP edge of a core towards operators and the platform."""

from __future__ import annotations

import json
from typing import Any

from prometheus_client import CollectorRegistry
from tornado.web import Application, RequestHandler

from pearhead.config.startup import StartupConfig, has_operator_key
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.description_change import to_json
from pearhead.rpc.wire_pb2 import Command, CommandResult, Worker
from pearhead.runtime.metrics import metrics_routes

STATUS_CODES = {"done": 200, "conflict": 409, "refused": 422, "held": 409, "unavailable": 503, "unknown": 504}


class OperatorHandler(RequestHandler):
    def initialize(self, core: CoreProcess, startup: StartupConfig) -> None:
        self.core = core
        self.startup = startup

    def prepare(self) -> None:
        if not has_operator_key(self.startup, self.request.headers.get("Authorization", "")):
            self.set_status(401)
            self.finish({"status": "refused", "faults": ["a wrong operator key"]})

    def read_body(self) -> dict[str, Any] | None:
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
        result: CommandResult = await self.core.execute(command)
        self.set_status(STATUS_CODES.get(result.status, 500))
        body = json.loads(result.body or b"{}")
        self.finish({**body, "status": result.status})

    def refuse(self, fault: str) -> None:
        self.set_status(400)
        self.finish({"status": "refused", "faults": [fault]})


class ApplyHandler(OperatorHandler):
    async def post(self) -> None:
        data = self.read_body()
        if data is None:
            return
        try:
            command = Command(transaction=str(data["applyId"]).encode())
            command.apply.base_revision = int(data["base"])
            command.apply.description = json.dumps(data["description"]).encode()
            command.apply.by = str(data.get("by", ""))
        except (KeyError, ValueError, TypeError) as fault:
            return self.refuse(f"applyId, base and description are needed: {fault!r}")
        await self.execute(command)


class ChangeHandler(OperatorHandler):
    """A description under the operators' own number (§5.4): whole, or by name what to put and to remove."""

    async def post(self) -> None:
        data = self.read_body()
        if data is None:
            return
        command = Command()
        by_name = {name: data[name] for name in ("put", "remove", "put_limits", "source") if name in data}
        if ("description" in data) == bool(by_name):
            return self.refuse("description, or put and remove, are needed")
        try:
            command.change.base_number, command.change.number = int(data["base"]), int(data["number"])
            command.change.document = to_json(by_name or data["description"])
        except (KeyError, ValueError, TypeError) as fault:
            return self.refuse(f"number and base are needed: {fault!r}")
        command.change.by_name = bool(by_name)
        await self.execute(command)


class DescriptionHandler(OperatorHandler):
    async def get(self) -> None:
        held = await self.core.read_description()
        if held is None:
            self.set_status(503)
        self.finish(held or {"status": "unavailable"})


class WorkersHandler(OperatorHandler):
    async def post(self) -> None:
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
        except (ValueError, TypeError) as fault:
            return self.refuse(f"workers: {fault}")
        await self.execute(command)


class WeightsHandler(OperatorHandler):
    async def post(self) -> None:
        data = self.read_body()
        if data is None:
            return
        command = Command(transaction=str(data.get("applyId", "")).encode())
        command.weights.line = str(data.get("line", ""))
        command.weights.weights = str(data.get("weights", ""))
        try:
            command.weights.base_revision = int(data.get("base", 0))
        except (ValueError, TypeError) as fault:
            return self.refuse(f"base: {fault}")
        await self.execute(command)


class FleetHandler(OperatorHandler):
    async def get(self) -> None:
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
    async def get(self, apply_id: str) -> None:
        """An apply whose acknowledgement was lost is asked after by its id (§4.5)."""
        if not await self.core.confirm():
            self.set_status(503)
            self.finish({"status": "unavailable"})
            return
        outcome = self.core.fleet.transactions.get(apply_id.encode().hex())
        if outcome is None:
            self.set_status(404)
        self.finish(outcome or {"status": "unseen"})


class InspectHandler(OperatorHandler):
    def get(self) -> None:
        self.finish(self.core.soundness())


class SoundnessHandler(RequestHandler):
    """Open to the platform, which asks whether a core lives."""

    def initialize(self, core: CoreProcess, startup: StartupConfig) -> None:
        self.core = core

    def get(self) -> None:
        self.finish(self.core.soundness())


def build_operator_api(
    core: CoreProcess, startup: StartupConfig, registry: CollectorRegistry | None = None
) -> Application:
    parts = {"core": core, "startup": startup}
    return Application(
        [
            ("/apply", ApplyHandler, parts),
            ("/outcome/([A-Za-z0-9_.-]{1,64})", OutcomeHandler, parts),
            ("/change", ChangeHandler, parts),
            ("/description", DescriptionHandler, parts),
            ("/workers", WorkersHandler, parts),
            ("/weights", WeightsHandler, parts),
            ("/fleet", FleetHandler, parts),
            ("/inspect", InspectHandler, parts),
            ("/soundness", SoundnessHandler, parts),
            *(metrics_routes(registry) if registry is not None else []),
        ],
        log_function=lambda handler: None,
    )
