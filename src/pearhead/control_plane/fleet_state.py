"""The replicated state of the fleet (§4.2); it uses neither a clock nor random numbers, so all cores compute the same.

Outcomes, snapshots and the keys in them are stored or sent as they are written here. The state holds no unpaired
surrogates: those in entries and snapshots of an earlier release are escaped as they are read (§5.4).
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections import OrderedDict
from typing import Any

from pearhead import PEARHEAD_RELEASE
from pearhead.config.view import (
    EMPTY_SECTION_BODY,
    ENTRY_SECTIONS,
    ROUTE_SECTIONS,
    SECTION_NAMES,
    SectionDigests,
    bucket_index,
    hash_sections,
)
from pearhead.control_plane.description_change import (
    EncodedRoutes,
    Json,
    decode_route,
    encodable_route,
    encode_route,
    extract_routes,
    hash_change,
    merge_document,
    merge_routes,
    strip_sources,
)
from pearhead.rpc.wire_pb2 import (
    ApplyDescription,
    BumpPart,
    ChangeDescription,
    Command,
    ConfirmLoad,
    NameWeights,
    Section,
    SetWorkers,
    TakeHold,
    ViewDelta,
)
from pearhead.runtime.text import load_json, may_hold_surrogates

TRANSACTION_LIMIT = 65_536
HISTORY_LIMIT = 256
TAKEN_LIMIT = 4_096
SESSION_LIMIT = 16_384
SNAPSHOT_MAGIC = b"\xa7PHF"
# Keys in snapshots and in what operators read, each with the attribute that it stands for.
SNAPSHOT_FIELDS = {
    "index": "index",
    "description": "description",
    "descriptionRevision": "description_revision",
    "description_number": "description_number",
    "history": "history",
    "workers": "workers",
    "weights": "weights",
    "holds": "leases",
    "loads": "loads",
    "volumeIndexes": "volume_indexes",
    "visibleIndex": "visible_index",
}
# Nodes (routers) learn in other ways than by the view what these commands change.
COMMANDS_OUTSIDE_VIEW = ("bump", "hold")

Outcome = dict[str, Any]


def encode_canonical_json(value: Any) -> bytes:
    """Compact JSON with sorted keys: equal values have equal bytes on every core."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


class UnknownCommandError(Exception):
    """The log holds a command that only a later release can apply, so this core must stop."""


class FleetState:
    """Description, workers, weights, leases, loads and part revisions, with the outcomes kept to answer repeats.

    `leases` has the lease of each worker. Each section has the index of its last change, from which a node's delta is
    made. `retained_changes` has the last applied changes by the number that operators gave them, `parts` the part
    revisions by volume, "owner/line".
    """

    def __init__(self) -> None:
        self.index = 0
        self.description: Json = {}
        self.description_revision = 0
        self.description_number = 0
        self.routes: EncodedRoutes = {}
        self.retained_changes: OrderedDict[str, Json] = OrderedDict()
        self._section_digests: SectionDigests = {}
        self.history: list[Json] = []
        self.workers: dict[str, Json] = {}
        self.weights: dict[str, Json] = {}
        self.leases: dict[str, Json] = {}
        self.loads: dict[str, Json] = {}
        self.parts: dict[str, dict[int, int]] = {}
        self.volume_indexes: dict[str, int] = {}
        self.transactions: OrderedDict[str, Outcome] = OrderedDict()
        # Number and outcome of the last command of each session, least recently used first (§4.2).
        self.sessions: OrderedDict[str, tuple[int, Outcome]] = OrderedDict()
        self.sections: dict[str, tuple[int, bytes]] = {name: (0, EMPTY_SECTION_BODY) for name in SECTION_NAMES}
        self.visible_index = 0

    # ---- StateMachine ----------------------------------------------------------------------------

    def apply(self, index: int, command_bytes: bytes) -> Outcome:
        """Applies the command of a log entry and returns its outcome, or that of its first run if it is a repeat.

        Raises UnknownCommandError, without any change, if this release does not know the command.
        """
        command = Command.FromString(command_bytes)
        body_name = command.WhichOneof("body")
        if body_name is None:
            # Skipping the command would make this core's state differ from that of the others (§4.7).
            raise UnknownCommandError(f"log entry {index} has a command of a later release than {PEARHEAD_RELEASE}")
        self.index = index
        if body_name not in COMMANDS_OUTSIDE_VIEW:
            # Refused commands count as well, so that nodes can catch up with the last such command in the log (§5.2).
            self.visible_index = index
        transaction = command.transaction.hex()
        if transaction and transaction in self.transactions:
            # A repeat returns the first outcome and changes nothing (§4.2).
            return self.transactions[transaction]
        if command.session in self.sessions:
            last_number, last_outcome = self.sessions[command.session]
            if command.number == last_number:
                return last_outcome
            if command.number < last_number:
                return {"status": "refused", "faults": ["session: a later command of it was taken"]}
        outcome: Outcome = getattr(self, f"_apply_{body_name}")(index, getattr(command, body_name))
        self._remember_session_outcome(command, outcome)
        if transaction:
            self.transactions[transaction] = outcome
            if len(self.transactions) > TRANSACTION_LIMIT:
                self.transactions.popitem(last=False)
        return outcome

    def _remember_session_outcome(self, command: Command, outcome: Outcome) -> None:
        if not command.session:
            return
        self.sessions[command.session] = (command.number, outcome)
        self.sessions.move_to_end(command.session)
        if len(self.sessions) > SESSION_LIMIT:
            self.sessions.popitem(last=False)

    def build_snapshot(self) -> bytes:
        """The state for a snapshot: magic bytes, the length of a JSON head, the head, then the routes' bytes in order.

        The sections with routes are rebuilt from these bytes on loading, so their bodies are left out.
        """
        sections = {
            name: [index, "" if name in ROUTE_SECTIONS else base64.b64encode(body).decode()]
            for name, (index, body) in self.sections.items()
        }
        head = encode_canonical_json(
            {
                **{key: getattr(self, name) for key, name in SNAPSHOT_FIELDS.items()},
                "parts": {volume: sorted(revisions.items()) for volume, revisions in self.parts.items()},
                "transactions": list(self.transactions.items()),
                "taken": list(self.retained_changes.items()),
                "sessions": [(session, *last) for session, last in self.sessions.items()],
                "sections": sections,
                "routes": [(name, len(shown), len(source)) for name, (shown, source) in self.routes.items()],
            }
        )
        route_bytes = [piece for pieces in self.routes.values() for piece in pieces]
        return b"".join([SNAPSHOT_MAGIC, len(head).to_bytes(8, "big"), head, *route_bytes])

    def load_snapshot(self, snapshot_bytes: bytes) -> None:
        """Replaces the whole state by that of a snapshot, also of an earlier release."""
        start = len(SNAPSHOT_MAGIC) + 8
        has_magic = snapshot_bytes.startswith(SNAPSHOT_MAGIC)
        end = start + int.from_bytes(snapshot_bytes[len(SNAPSHOT_MAGIC) : start], "big")
        # An earlier release wrote only the head, without magic bytes, description numbers and routes.
        data = load_json(snapshot_bytes[start:end] if has_magic else snapshot_bytes)
        for key, name in SNAPSHOT_FIELDS.items():
            setattr(self, name, data.get(key, 0))
        self.parts = {volume: {part: revision for part, revision in pairs} for volume, pairs in data["parts"].items()}
        self.transactions = OrderedDict((transaction, outcome) for transaction, outcome in data["transactions"])
        self.retained_changes = OrderedDict((number, change) for number, change in data.get("taken", []))
        self.sessions = OrderedDict(
            (session, (number, outcome)) for session, number, outcome in data.get("sessions", [])
        )
        self.routes = {}
        for name, shown_size, source_size in data.get("routes", []):
            shown = snapshot_bytes[end : end + shown_size]
            end += shown_size + source_size
            self.routes[name] = encodable_route(shown, snapshot_bytes[end - source_size : end])
        self.sections = {name: (0, EMPTY_SECTION_BODY) for name in SECTION_NAMES}
        self.sections.update(
            (name, (index, _encodable_section(base64.b64decode(body))))
            for name, (index, body) in data["sections"].items()
        )
        for name, body in self._route_bodies().items():
            self.sections[name] = (self.sections[name][0], body or EMPTY_SECTION_BODY)

    # ---- reading ---------------------------------------------------------------------------------

    def delta_since(self, have_index: int, have_hash: str) -> ViewDelta | None:
        """The sections that changed since a node's index, or all if the node gives no hash of its view (§5.2).

        None if the node has the latest visible index.
        """
        if have_index >= self.visible_index:
            return None
        base_index = have_index if have_hash else 0
        view_hash = hash_sections(self.sections, self._section_digests)
        delta = ViewDelta(base_index=base_index, index=self.visible_index, hash=view_hash)
        for name, (section_index, body) in sorted(self.sections.items()):
            if section_index > base_index:
                delta.section.append(Section(name=name, index=section_index, body=body))
        return delta

    def read(self) -> Json:
        """The state as operators read it, with all sources."""
        state = {key: getattr(self, name) for key, name in SNAPSHOT_FIELDS.items()}
        return {**state, "description": self.full_description()}

    def full_description(self) -> Json:
        """The description with its routes and all sources."""
        if not self.routes:
            return self.description
        return {**self.description, "routes": [decode_route(*pieces) for pieces in self.routes.values()]}

    def raised_part_revisions(self, volume: str) -> list[tuple[int, int]]:
        """Pairs of part and revision for the revision table of a volume, without the default revision one (§6.4)."""
        return sorted((part, revision) for part, revision in self.parts.get(volume, {}).items() if revision > 1)

    @staticmethod
    def changes_view(command_bytes: bytes) -> bool:
        """Whether a command changes the view of the nodes; part revisions and leases reach them in other ways."""
        return Command.FromString(command_bytes).WhichOneof("body") not in COMMANDS_OUTSIDE_VIEW

    # ---- commands --------------------------------------------------------------------------------

    def _apply_apply(self, index: int, command: ApplyDescription) -> Outcome:
        if command.base_revision != self.description_revision:
            return {"status": "conflict", "revision": self.description_revision}
        # The leader checked the description before it proposed the command (§4.2).
        self.description = load_json(command.description)
        items = [encode_route(route) for route in self.description.pop("routes", [])]
        self.routes = {item.name: (item.shown, item.source) for item in items}
        self.description_revision = index
        description_hash = hashlib.blake2b(command.description, digest_size=16).hexdigest()
        self.history.append({"revision": index, "by": command.by, "hash": description_hash})
        del self.history[:-HISTORY_LIMIT]
        for line in self.description.get("lines", []):
            # The description gives the initial weights of a line; later ones are set by their own command (§7.1).
            self.weights.setdefault(line["name"], {"weights": line["weights"], "revision": index})
        self._set_description_sections(index)
        self._set_section("weights", index, self.weights)
        return {"status": "done", "revision": index}

    def _apply_change(self, index: int, command: ChangeDescription) -> Outcome:
        """A change numbered by the operators (§5.4); the leader has checked the resulting description."""
        number = str(command.number)
        change_hash = hash_change(command)
        if self.has_applied_change(command):
            return {"status": "done", "revision": self.retained_changes[number]["revision"], "number": command.number}
        if self.is_beyond_retained_changes(command):
            return {"status": "unknown", "why": "too old to tell whether it was taken"}
        has_present_base = command.base_number == self.description_number
        if not has_present_base or command.checked_revision != self.description_revision:
            return {"status": "conflict", "number": self.description_number}
        if command.number <= self.description_number:
            return {"status": "refused", "faults": [f"number: must be above {self.description_number}"]}
        document = load_json(command.document)
        extract_routes(command, document)
        self.routes = merge_routes(self.routes, command, document)
        self.description = merge_document(self.description, document, command.by_name)
        self.description_number, self.description_revision = command.number, index
        self.retained_changes[number] = {"hash": change_hash, "revision": index}
        if len(self.retained_changes) > TAKEN_LIMIT:
            self.retained_changes.popitem(last=False)
        self.history.append({"revision": index, "by": "", "hash": change_hash, "number": command.number})
        del self.history[:-HISTORY_LIMIT]
        for line in self.description.get("lines", []):
            self.weights.setdefault(line["name"], {"weights": line["weights"], "revision": index})
        self._set_description_sections(index)
        self._set_section("weights", index, self.weights)
        return {"status": "done", "revision": index, "number": command.number}

    def has_applied_change(self, command: ChangeDescription) -> bool:
        """Whether this very change is among the last `TAKEN_LIMIT` applied ones."""
        retained = self.retained_changes.get(str(command.number))
        return retained is not None and bool(retained["hash"] == hash_change(command))

    def is_beyond_retained_changes(self, command: ChangeDescription) -> bool:
        """Whether a change is older than all retained ones.

        It may have been applied, so it must not be answered as refused.
        """
        return len(self.retained_changes) >= TAKEN_LIMIT and command.number < int(next(iter(self.retained_changes)))

    def _apply_workers(self, index: int, command: SetWorkers) -> Outcome:
        revision = self.sections["workers"][0]
        if command.base_revision and command.base_revision != revision:
            return {"status": "conflict", "revision": revision}
        listed = {w.name for w in command.worker} | (set(self.workers) if command.partial else set())
        unknown = sorted({*command.leaving, *command.staying} - (listed - set(command.removed)))
        if unknown:
            return {"status": "refused", "faults": [f"no worker {name!r}" for name in unknown]}
        before = self.workers
        self.workers = dict(before) if command.partial else {}
        for worker in command.worker:
            # Whoever lists the workers does not know which ones operators marked as `leaving`, so a mark stays while
            # the worker keeps its address, that is, while it is the same machine (§7.6).
            previous = before.get(worker.name, {})
            is_marked = previous.get("address") == worker.address and previous.get("leaving", False)
            self.workers[worker.name] = {
                "address": worker.address,
                "area": worker.area,
                "service": worker.service,
                "leaving": worker.leaving or is_marked,
            }
        for removed_name in command.removed:
            self.workers.pop(removed_name, None)
        for names, is_leaving in ((command.leaving, True), (command.staying, False)):
            for name in names:
                self.workers[name] = {**self.workers[name], "leaving": is_leaving}
        for removed_name in set(self.loads) - set(self.workers):
            del self.loads[removed_name]
        self._set_section("workers", index, self.workers)
        self._set_section("loads", index, self.loads)
        return {"status": "done", "revision": index}

    def _apply_weights(self, index: int, command: NameWeights) -> Outcome:
        if command.line not in self.weights or not command.weights:
            return {"status": "refused", "faults": [f"weights: no line {command.line!r}, or no name"]}
        revision = self.weights[command.line]["revision"]
        if command.base_revision and command.base_revision != revision:
            return {"status": "conflict", "revision": revision}
        present = self.weights[command.line]["weights"]
        if command.rising and _is_not_newer_version(command.weights, present):
            return {"status": "done", "revision": revision}
        self.weights[command.line] = {"weights": command.weights, "revision": index}
        self._set_section("weights", index, self.weights)
        return {"status": "done", "revision": index}

    def _apply_bump(self, index: int, command: BumpPart) -> Outcome:
        volume = f"{command.owner}/{command.line}"
        volume_parts = self.parts.setdefault(volume, {})
        volume_parts[command.part] = volume_parts.get(command.part, 1) + 1
        self.volume_indexes[volume] = index
        return {"status": "done", "revision": volume_parts[command.part], "index": index}

    def _apply_hold(self, index: int, command: TakeHold) -> Outcome:
        lease = self.leases.get(command.worker)
        if command.worker not in self.workers:
            return {"status": "refused", "faults": [f"no worker {command.worker!r}"]}
        if lease is not None and lease["holder"] == command.holder and lease["fence"] == command.renew_fence:
            return {"status": "done", "fence": lease["fence"]}
        # Another holder gets the worker only if the leader found the lease with this very fence expired (§7.2). The
        # same holder gets it again with a later fence if it does not name the present one, as after its lease ran out.
        is_available = lease is None or lease["holder"] == command.holder
        is_expired = lease is not None and command.expired and lease["fence"] == command.renew_fence
        if lease is not None and not is_available and not is_expired:
            return {"status": "held", "holder": lease["holder"], "fence": lease["fence"]}
        self.leases[command.worker] = {"holder": command.holder, "fence": index}
        return {"status": "done", "fence": index}

    def _apply_confirm(self, index: int, command: ConfirmLoad) -> Outcome:
        lease = self.leases.get(command.worker)
        if lease is None or lease["fence"] != command.fence or command.worker not in self.workers:
            return {"status": "refused", "faults": ["an older fence"]}
        self.loads[command.worker] = {
            "line": command.line,
            "life": command.life,
            "fence": command.fence,
            "weightsRevision": command.weights_revision,
            "sequence": command.sequence,
            "weights": command.weights,
        }
        self._set_section("loads", index, self.loads)
        return {"status": "done", "revision": index}

    def _set_description_sections(self, index: int) -> None:
        # Sources are the operators' own text, which nodes do not need (§5.4).
        head = {
            name: strip_sources(value) for name, value in self.description.items() if name not in ("entries", "source")
        }
        shown = {"revision": index, "description": head}
        if self.description_number:
            shown["number"] = self.description_number
        self._set_section("description", index, shown)
        buckets: list[list[Any]] = [[] for _ in ENTRY_SECTIONS]
        for entry in self.description.get("entries", []):
            buckets[bucket_index(entry["name"])].append(entry)
        for name, entries in zip(ENTRY_SECTIONS, buckets, strict=True):
            if entries or self.sections[name][1] != EMPTY_SECTION_BODY:
                self._set_section(name, index, entries)
        for name, body in self._route_bodies().items():
            if body is not None or self.sections[name][1] != EMPTY_SECTION_BODY:
                self._set_section_body(name, index, body or b"[]")

    def _route_bodies(self) -> dict[str, bytes | None]:
        """The body of each section of routes, without sources; None for a section without routes."""
        buckets: list[list[bytes]] = [[] for _ in ROUTE_SECTIONS]
        for name, (shown, _) in self.routes.items():
            buckets[bucket_index(name)].append(shown)
        return {
            name: b"[" + b",".join(pieces) + b"]" if pieces else None
            for name, pieces in zip(ROUTE_SECTIONS, buckets, strict=True)
        }

    def _set_section(self, name: str, index: int, value: Any) -> None:
        self._set_section_body(name, index, encode_canonical_json(value))

    def _set_section_body(self, name: str, index: int, body: bytes) -> None:
        if self.sections[name][1] != body:
            self.sections[name] = (index, body)


def _encodable_section(body: bytes) -> bytes:
    """The body of a section, without unpaired surrogates, which an earlier release may have stored in it."""
    return encode_canonical_json(load_json(body)) if may_hold_surrogates(body) else body


def _is_not_newer_version(weights: str, present: str) -> bool:
    return weights.isdecimal() and present.isdecimal() and int(weights) <= int(present)
