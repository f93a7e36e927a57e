"""The `pearheadctl` command (§10.1): the commands for operators, which use the HTTP API of the cores."""

from __future__ import annotations

import difflib
import json
import os
import secrets
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from result import Err

from pearhead.config.description import read_description
from pearhead.config.tenant_key import hash_key
from pearhead.runtime.text import to_header_value

MERGED_LIST_NAMES = ("lines", "services", "entries", "tenants")
# A partial apply without --base is merged and sent again if another change was applied in between.
PARTIAL_APPLY_ATTEMPTS = 5


class OperatorError(Exception):
    """A failed command. The message is printed without a traceback; the process exits with a non-zero status."""


def read_file(file_path: str) -> dict[str, Any]:
    """Reads a JSON object, with plain tenant keys replaced by their hashes.

    Raises OperatorError if the file can't be read or holds no JSON object.
    """
    try:
        data = json.loads(Path(file_path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise OperatorError(f"{file_path}: {error}") from error
    if not isinstance(data, dict):
        raise OperatorError(f"{file_path}: must hold one JSON object")
    for tenant in data.get("tenants", []):
        # Plain keys never leave the operator's machine; only their hashes are sent.
        if isinstance(tenant, dict) and "keys" in tenant:
            hashes = [hash_key(str(k)) for k in tenant.pop("keys")]
            tenant["keyHashes"] = sorted(set(tenant.get("keyHashes", []) + hashes))
    return data


def merge_descriptions(present: dict[str, Any], partial: dict[str, Any]) -> dict[str, Any]:
    """Returns `present` updated by `partial`.

    In lists of named items, items replace those of the same name, and all others stay.
    """
    merged = json.loads(json.dumps(present))
    for name, value in partial.items():
        if name in MERGED_LIST_NAMES and isinstance(value, list):
            item_by_name = {item.get("name"): item for item in merged.get(name, [])}
            item_by_name.update({item.get("name"): item for item in value})
            merged[name] = list(item_by_name.values())
        else:
            merged[name] = value
    return dict(merged)


class OperatorCommand:
    """Commands for operators. --core takes one or more HTTP addresses of cores; the default is PEARHEAD_CORE."""

    def __init__(self, core: str = "", key: str = "") -> None:
        core_text = core or os.environ.get("PEARHEAD_CORE", "")
        self._cores = core_text.split(",") if isinstance(core_text, str) else list(core_text)
        self._key = key or os.environ.get("PEARHEAD_OPERATOR_KEY", "")

    def check(self, file: str) -> None:
        """Checks a description file and lists every error, without contacting a fleet."""
        checked = read_description(json.dumps(read_file(file)).encode())
        if isinstance(checked, Err):
            raise OperatorError("\n".join(checked.err_value))
        print("the description is valid")

    def apply(self, file: str, base: int = -1, partial: bool = False, apply_id: str = "", by: str = "") -> None:
        """Applies a whole file, or with --partial its items. Fails if --base is given and not the present revision."""
        file_data = read_file(file)
        for _ in range(PARTIAL_APPLY_ATTEMPTS):
            fleet = self._fetch_fleet()
            effective_base = base if base >= 0 else fleet["descriptionRevision"]
            description = merge_descriptions(fleet["description"], file_data) if partial else file_data
            body = {
                "applyId": apply_id or secrets.token_hex(12),
                "base": effective_base,
                "description": description,
                "by": by or os.environ.get("USER", ""),
            }
            status, result = self._call("/apply", body)
            if not (partial and base < 0 and result.get("status") == "conflict"):
                break
        self._report_result(status, result, f"apply id {body['applyId']}")

    def diff(self, file: str) -> None:
        """Prints what applying a whole file would change, as a unified diff."""
        present_text = json.dumps(self._fetch_fleet()["description"], indent=2, sort_keys=True).splitlines()
        given_text = json.dumps(read_file(file), indent=2, sort_keys=True).splitlines()
        print("\n".join(difflib.unified_diff(present_text, given_text, "in force", file, lineterm="")))

    def show(self) -> None:
        """Prints the description in force and its revision."""
        state = self._fetch_fleet()
        print(json.dumps({k: state[k] for k in ("descriptionRevision", "description")}, indent=2))

    def history(self) -> None:
        """Prints the applied revisions, the latest one last."""
        for item in self._fetch_fleet()["history"]:
            print(f"{item['revision']:>8} {item['hash']} {item['by']}")

    def outcome(self, apply_id: str) -> None:
        """Prints the outcome of a command whose acknowledgement was lost, by its apply id."""
        status, result = self._call(f"/outcome/{apply_id}", None)
        self._report_result(status, result, "")

    def weights(self, line: str, name: str, base: int = -1, apply_id: str = "") -> None:
        """Sets the weights of a model line. Fails if others were set since revision --base (default: the present)."""
        present_revision = self._fetch_fleet()["weights"].get(line, {}).get("revision", 0)
        body = {
            "line": line,
            "weights": name,
            "base": base if base >= 0 else present_revision,
            "applyId": apply_id or secrets.token_hex(12),
        }
        status, result = self._call("/weights", body)
        self._report_result(status, result, f"apply id {body['applyId']}")

    def workers(
        self, file: str = "", leaving: str = "", staying: str = "", removed: str = "", base: int = 0, apply_id: str = ""
    ) -> None:
        """Prints the worker list, replaces it by that of a file, marks a worker as leaving or staying, or removes it.

        Workers that the file lists at their present address keep their marks. With --base, fails if the list changed
        since that revision.
        """
        if not (file or leaving or staying or removed):
            print(json.dumps(self._fetch_fleet()["workers"], indent=2, sort_keys=True))
            return
        body: dict[str, Any] = {"base": base, "applyId": apply_id or secrets.token_hex(12)}
        if file:
            body["workers"] = read_file(file).get("workers", [])
        else:
            body["partial"] = True
        for field, name in (("leaving", leaving), ("staying", staying), ("removed", removed)):
            body[field] = [name] if name else []
        status, result = self._call("/workers", body)
        self._report_result(status, result, f"apply id {body['applyId']}")

    def cores(self) -> None:
        """Prints the state that each core reports, or why it did not answer."""
        for address in self._cores:
            try:
                _, result = self._call_one(address, "/soundness", None)
                voter_count = sum(m["voter"] for m in result["members"])
                print(
                    f"{address} {result['role']} epoch {result['epoch']} "
                    f"commit {result['commitIndex']} voters {voter_count}"
                )
            except OSError as error:
                print(f"{address} did not answer: {error}")

    def _fetch_fleet(self) -> dict[str, Any]:
        status, result = self._call("/fleet", None)
        if status != 200:
            raise OperatorError("no core is the leader now; try again")
        return result

    def _call(self, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        """Sends a request to the first core that can serve it; returns its HTTP status and JSON body.

        Continues with the next core only if the last one certainly changed nothing. Raises OperatorError if no core
        serves the request, or if it isn't known whether a core applied the change.
        """
        last_error = "no core address was given: use --core or PEARHEAD_CORE"
        for address in [a for a in self._cores if a]:
            try:
                status, result = self._call_one(address, path, body)
            except OSError as error:
                last_error = f"{address}: {error}"
                if body is not None and not isinstance(getattr(error, "reason", error), ConnectionRefusedError):
                    raise OperatorError(f"{last_error}; the outcome is unknown") from error
                continue
            if result.get("status") != "unavailable":
                return status, result
            last_error = f"{address}: unavailable"
        raise OperatorError(last_error)

    def _call_one(self, address: str, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = to_header_value(f"Bearer {self._key}")
        body_bytes = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{address}{path}", body_bytes, headers)
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.loads(error.read() or b"{}")

    def _report_result(self, status: int, result: dict[str, Any], note: str) -> None:
        if result.get("status") == "done":
            print(f"done, revision {result['revision']}" + (f", {note}" if note else ""))
            return
        reason = "; ".join(result.get("faults", [])) or result.get("why", "")
        if result.get("status") == "conflict":
            reason = f"the present revision is {result['revision']}"
        raise OperatorError(f"{result.get('status')}: {reason}" + (f" ({note})" if note else ""))
