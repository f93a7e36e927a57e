"""The `chisel` command (§10.1): what operators do, over a core's HTTP edge."""

from __future__ import annotations

import difflib
import hashlib
import json
import os
import secrets
import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from result import Err

from pearhead.awl.command import run_command
from pearhead.awl.description import read_description

PARTIAL_NAMES = ("lines", "services", "entries", "tenants")
PARTIAL_TRIES = 5


class ChiselFault(Exception):
    """Told as one line; the process ends with a non-zero status."""


def read_file(filePath: str) -> dict[str, Any]:
    try:
        data = json.loads(Path(filePath).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise ChiselFault(f"{filePath}: {fault}") from fault
    if not isinstance(data, dict):
        raise ChiselFault(f"{filePath}: must hold one JSON object")
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
        if name in PARTIAL_NAMES and isinstance(value, list):
            byName = {item.get("name"): item for item in merged.get(name, [])}
            byName.update({item.get("name"): item for item in value})
            merged[name] = list(byName.values())
        else:
            merged[name] = value
    return dict(merged)


class ChiselCommand:
    """The operators' tool. --core is one or more core HTTP addresses, or PEARHEAD_CORE."""

    def __init__(self, core: str = "", key: str = "") -> None:
        coreText = core or os.environ.get("PEARHEAD_CORE", "")
        self._cores = coreText.split(",") if isinstance(coreText, str) else list(coreText)
        self._key = key or os.environ.get("PEARHEAD_OPERATOR_KEY", "")

    def check(self, file: str) -> None:
        """Checks a description file and lists every fault, without a fleet."""
        checked = read_description(json.dumps(read_file(file)).encode())
        if isinstance(checked, Err):
            raise ChiselFault("\n".join(checked.err_value))
        print("the description is sound")

    def apply(self, file: str, base: int = -1, partial: bool = False, apply_id: str = "", by: str = "") -> None:
        """Applies a whole file, or by --partial its named items. --base refuses if another came first."""
        given = read_file(file)
        for _ in range(PARTIAL_TRIES):
            present = self._fleet()
            usedBase = base if base >= 0 else present["descriptionRevision"]
            description = merge_partial(present["description"], given) if partial else given
            body = {
                "applyId": apply_id or secrets.token_hex(12), "base": usedBase, "description": description,
                "by": by or os.environ.get("USER", ""),
            }
            status, givenResult = self._call("/apply", body)
            if not (partial and base < 0 and givenResult.get("status") == "conflict"):
                break
        self._end(status, givenResult, f"apply id {body['applyId']}")

    def diff(self, file: str) -> None:
        """Shows what applying a whole file would change."""
        presentText = json.dumps(self._fleet()["description"], indent=2, sort_keys=True).splitlines()
        givenText = json.dumps(read_file(file), indent=2, sort_keys=True).splitlines()
        print("\n".join(difflib.unified_diff(presentText, givenText, "in force", file, lineterm="")))

    def show(self) -> None:
        """Prints the description in force and its revision."""
        state = self._fleet()
        print(json.dumps({k: state[k] for k in ("descriptionRevision", "description")}, indent=2))

    def history(self) -> None:
        """Prints the applied revisions, the latest last."""
        for item in self._fleet()["history"]:
            print(f"{item['revision']:>8} {item['hash']} {item['by']}")

    def outcome(self, apply_id: str) -> None:
        """Asks what became of an apply whose acknowledgement was lost."""
        status, givenResult = self._call(f"/outcome/{apply_id}", None)
        self._end(status, givenResult, "")

    def weights(self, line: str, name: str, base: int = -1, apply_id: str = "") -> None:
        """Names new weights for a model line; refused if other ones were named since --base, or since now."""
        present = self._fleet()["weights"].get(line, {}).get("revision", 0)
        body = {"line": line, "weights": name, "base": base if base >= 0 else present,
                "applyId": apply_id or secrets.token_hex(12)}
        status, givenResult = self._call("/weights", body)
        self._end(status, givenResult, f"apply id {body['applyId']}")

    def workers(self, file: str = "", leaving: str = "", staying: str = "", removed: str = "",
                base: int = 0, apply_id: str = "") -> None:
        """Shows the worker list, sets it whole from a file, or marks one leaving, staying or removed.

        A file keeps the marks of the machines that it lists; --base refuses if the list changed since.
        """
        if not (file or leaving or staying or removed):
            print(json.dumps(self._fleet()["workers"], indent=2, sort_keys=True))
            return
        body: dict[str, Any] = {"base": base, "applyId": apply_id or secrets.token_hex(12)}
        if file:
            body["workers"] = read_file(file).get("workers", [])
        else:
            body["partial"] = True
        for field, name in (("leaving", leaving), ("staying", staying), ("removed", removed)):
            body[field] = [name] if name else []
        status, givenResult = self._call("/workers", body)
        self._end(status, givenResult, f"apply id {body['applyId']}")

    def cores(self) -> None:
        """Shows what each core says of itself; one that does not answer is said so."""
        for address in self._cores:
            try:
                _, givenResult = self._call_one(address, "/soundness", None)
                voterCount = sum(m["voter"] for m in givenResult["members"])
                print(f"{address} {givenResult['role']} epoch {givenResult['epoch']} "
                      f"commit {givenResult['commitIndex']} voters {voterCount}")
            except OSError as fault:
                print(f"{address} did not answer: {fault}")

    def _fleet(self) -> dict[str, Any]:
        status, givenResult = self._call("/fleet", None)
        if status != 200:
            raise ChiselFault("no core leads now; try again")
        return givenResult

    def _call(self, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        """Goes on to the next core only where the last one surely did nothing."""
        lastFault = "no core address was given: use --core or PEARHEAD_CORE"
        for address in [a for a in self._cores if a]:
            try:
                status, givenResult = self._call_one(address, path, body)
            except OSError as fault:
                lastFault = f"{address}: {fault}"
                if body is not None and not isinstance(getattr(fault, "reason", fault), ConnectionRefusedError):
                    raise ChiselFault(f"{lastFault}; the outcome is not known") from fault
                continue
            if givenResult.get("status") != "unavailable":
                return status, givenResult
            lastFault = f"{address}: unavailable"
        raise ChiselFault(lastFault)

    def _call_one(self, address: str, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        bodyBytes = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{address}{path}", bodyBytes, headers)
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as fault:
            with fault:
                return fault.code, json.loads(fault.read() or b"{}")

    def _end(self, status: int, givenResult: dict[str, Any], note: str) -> None:
        if givenResult.get("status") == "done":
            print(f"done, revision {givenResult['revision']}" + (f", {note}" if note else ""))
            return
        faults = "; ".join(givenResult.get("faults", [])) or givenResult.get("why", "")
        if givenResult.get("status") == "conflict":
            faults = f"the present revision is {givenResult['revision']}"
        raise ChiselFault(f"{givenResult.get('status')}: {faults}" + (f" ({note})" if note else ""))


def main() -> None:
    try:
        run_command(ChiselCommand, "chisel")
    except ChiselFault as fault:
        print(f"chisel: {fault}", file=sys.stderr)
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
