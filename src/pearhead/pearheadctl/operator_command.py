"""The `pearheadctl` command (§10.1): what operators do, over a core's HTTP edge."""

from __future__ import annotations

import difflib
import hashlib
import json
import os
import secrets
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from result import Err

from pearhead.config.description import read_description

MERGED_LIST_NAMES = ("lines", "services", "entries", "tenants")
PARTIAL_APPLY_ATTEMPTS = 5


class OperatorError(Exception):
    """Told as one line; the process ends with a non-zero status."""


def read_file(file_path: str) -> dict[str, Any]:
    try:
        data = json.loads(Path(file_path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise OperatorError(f"{file_path}: {fault}") from fault
    if not isinstance(data, dict):
        raise OperatorError(f"{file_path}: must hold one JSON object")
    for tenant in data.get("tenants", []):
        # Plain keys never leave the operator's machine: only their hashes do.
        if isinstance(tenant, dict) and "keys" in tenant:
            hashes = [hashlib.sha256(str(k).encode()).hexdigest() for k in tenant.pop("keys")]
            tenant["keyHashes"] = sorted(set(tenant.get("keyHashes", []) + hashes))
    return data


def merge_partial(present: dict[str, Any], partial: dict[str, Any]) -> dict[str, Any]:
    """Named items go over those of the same name; all else stays."""
    merged = json.loads(json.dumps(present))
    for name, value in partial.items():
        if name in MERGED_LIST_NAMES and isinstance(value, list):
            by_name = {item.get("name"): item for item in merged.get(name, [])}
            by_name.update({item.get("name"): item for item in value})
            merged[name] = list(by_name.values())
        else:
            merged[name] = value
    return dict(merged)


class OperatorCommand:
    """The operators' tool. --core is one or more core HTTP addresses, or PEARHEAD_CORE."""

    def __init__(self, core: str = "", key: str = "") -> None:
        core_text = core or os.environ.get("PEARHEAD_CORE", "")
        self._cores = core_text.split(",") if isinstance(core_text, str) else list(core_text)
        self._key = key or os.environ.get("PEARHEAD_OPERATOR_KEY", "")

    def check(self, file: str) -> None:
        """Checks a description file and lists every fault, without a fleet."""
        checked = read_description(json.dumps(read_file(file)).encode())
        if isinstance(checked, Err):
            raise OperatorError("\n".join(checked.err_value))
        print("the description is sound")

    def apply(self, file: str, base: int = -1, partial: bool = False, apply_id: str = "", by: str = "") -> None:
        """Applies a whole file, or by --partial its named items. --base refuses if another came first."""
        given = read_file(file)
        for _ in range(PARTIAL_APPLY_ATTEMPTS):
            present = self._fetch_fleet()
            effective_base = base if base >= 0 else present["descriptionRevision"]
            description = merge_partial(present["description"], given) if partial else given
            body = {
                "applyId": apply_id or secrets.token_hex(12),
                "base": effective_base,
                "description": description,
                "by": by or os.environ.get("USER", ""),
            }
            status, given_result = self._call("/apply", body)
            if not (partial and base < 0 and given_result.get("status") == "conflict"):
                break
        self._report_result(status, given_result, f"apply id {body['applyId']}")

    def diff(self, file: str) -> None:
        """Shows what applying a whole file would change."""
        present_text = json.dumps(self._fetch_fleet()["description"], indent=2, sort_keys=True).splitlines()
        given_text = json.dumps(read_file(file), indent=2, sort_keys=True).splitlines()
        print("\n".join(difflib.unified_diff(present_text, given_text, "in force", file, lineterm="")))

    def show(self) -> None:
        """Prints the description in force and its revision."""
        state = self._fetch_fleet()
        print(json.dumps({k: state[k] for k in ("descriptionRevision", "description")}, indent=2))

    def history(self) -> None:
        """Prints the applied revisions, the latest last."""
        for item in self._fetch_fleet()["history"]:
            print(f"{item['revision']:>8} {item['hash']} {item['by']}")

    def outcome(self, apply_id: str) -> None:
        """Asks what became of an apply whose acknowledgement was lost."""
        status, given_result = self._call(f"/outcome/{apply_id}", None)
        self._report_result(status, given_result, "")

    def weights(self, line: str, name: str, base: int = -1, apply_id: str = "") -> None:
        """Names new weights for a model line; refused if other ones were named since --base, or since now."""
        present = self._fetch_fleet()["weights"].get(line, {}).get("revision", 0)
        body = {
            "line": line,
            "weights": name,
            "base": base if base >= 0 else present,
            "applyId": apply_id or secrets.token_hex(12),
        }
        status, given_result = self._call("/weights", body)
        self._report_result(status, given_result, f"apply id {body['applyId']}")

    def workers(
        self, file: str = "", leaving: str = "", staying: str = "", removed: str = "", base: int = 0, apply_id: str = ""
    ) -> None:
        """Shows the worker list, sets it whole from a file, or marks one leaving, staying or removed.

        A file keeps the marks of the machines that it lists; --base refuses if the list changed since.
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
        status, given_result = self._call("/workers", body)
        self._report_result(status, given_result, f"apply id {body['applyId']}")

    def cores(self) -> None:
        """Shows what each core says of itself; one that does not answer is said so."""
        for address in self._cores:
            try:
                _, given_result = self._call_one(address, "/soundness", None)
                voter_count = sum(m["voter"] for m in given_result["members"])
                print(
                    f"{address} {given_result['role']} epoch {given_result['epoch']} "
                    f"commit {given_result['commitIndex']} voters {voter_count}"
                )
            except OSError as fault:
                print(f"{address} did not answer: {fault}")

    def _fetch_fleet(self) -> dict[str, Any]:
        status, given_result = self._call("/fleet", None)
        if status != 200:
            raise OperatorError("no core leads now; try again")
        return given_result

    def _call(self, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        """Goes on to the next core only where the last one surely did nothing."""
        last_error = "no core address was given: use --core or PEARHEAD_CORE"
        for address in [a for a in self._cores if a]:
            try:
                status, given_result = self._call_one(address, path, body)
            except OSError as fault:
                last_error = f"{address}: {fault}"
                if body is not None and not isinstance(getattr(fault, "reason", fault), ConnectionRefusedError):
                    raise OperatorError(f"{last_error}; the outcome is not known") from fault
                continue
            if given_result.get("status") != "unavailable":
                return status, given_result
            last_error = f"{address}: unavailable"
        raise OperatorError(last_error)

    def _call_one(self, address: str, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        body_bytes = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{address}{path}", body_bytes, headers)
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as fault:
            with fault:
                return fault.code, json.loads(fault.read() or b"{}")

    def _report_result(self, status: int, given_result: dict[str, Any], note: str) -> None:
        if given_result.get("status") == "done":
            print(f"done, revision {given_result['revision']}" + (f", {note}" if note else ""))
            return
        faults = "; ".join(given_result.get("faults", [])) or given_result.get("why", "")
        if given_result.get("status") == "conflict":
            faults = f"the present revision is {given_result['revision']}"
        raise OperatorError(f"{given_result.get('status')}: {faults}" + (f" ({note})" if note else ""))
