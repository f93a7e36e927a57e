"""The `pearheadctl query` command (§10.2): a shell, and one-shot queries, on the fleet's state."""

from __future__ import annotations

import cmd
import concurrent.futures
import json
import os
import shlex
import sys
import urllib.error
import urllib.request
from typing import Any

QUERY_TIMEOUT_SECONDS = 2.0
Row = dict[str, Any]


class FleetQueryClient:
    """Finds every process through any core's or node's directory, and asks all at once."""

    def __init__(self, start_addresses: list[str], key: str) -> None:
        self.start_addresses = start_addresses
        self.key = key

    def read(self, path: str) -> tuple[dict[str, Row], dict[str, str]]:
        """Answers by address, and why others did not answer."""
        given_results, silent = self._fetch_all(self.start_addresses, "/inspect")
        found: dict[str, str] = {}
        for given_result in given_results.values():
            for record in given_result.get("directory", []):
                found[record["httpAddress"]] = record["role"]
        more = [a for a in found if a not in given_results and a not in silent]
        more_results, more_silent = self._fetch_all(more, "/inspect")
        given_results.update(more_results)
        silent.update(more_silent)
        if path == "/inspect":
            return given_results, silent
        cores = [a for a, given_result in given_results.items() if given_result.get("kind") == "core"]
        return self._fetch_all(cores, path)

    def _fetch_all(self, addresses: list[str], path: str) -> tuple[dict[str, Row], dict[str, str]]:
        given_results: dict[str, Row] = {}
        silent: dict[str, str] = {}
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for address, outcome in zip(
                addresses, pool.map(lambda a: self._fetch_one(a, path), addresses), strict=True
            ):
                if isinstance(outcome, str):
                    silent[address] = outcome
                else:
                    given_results[address] = outcome
        return given_results, silent

    def _fetch_one(self, address: str, path: str) -> Row | str:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        request = urllib.request.Request(f"http://{address}{path}", headers=headers)
        try:
            with urllib.request.urlopen(request, timeout=QUERY_TIMEOUT_SECONDS) as response:
                return dict(json.load(response))
        except urllib.error.HTTPError as fault:
            return f"status {fault.code}"
        except (OSError, ValueError) as fault:
            return str(fault)


class QueryCommand:
    """Questions to the fleet. --at is one or more HTTP addresses of any processes, or PEARHEAD_CORE."""

    def __init__(self, at: str = "", key: str = "", json: bool = False) -> None:
        addresses_text = at or os.environ.get("PEARHEAD_CORE", "")
        addresses = addresses_text.split(",") if isinstance(addresses_text, str) else list(addresses_text)
        self._reader = FleetQueryClient([a for a in addresses if a], key or os.environ.get("PEARHEAD_OPERATOR_KEY", ""))
        self._is_json = json

    def members(self) -> None:
        """Every process: role, area, addresses, and whether it answers."""
        given_results, silent = self._read()
        rows = []
        for address, given_result in sorted(given_results.items()):
            rows.append(
                {
                    "http": address,
                    "kind": given_result["kind"],
                    "area": given_result["area"],
                    "address": given_result["address"],
                    "identity": given_result["identity"][:8],
                }
            )
        self._print_rows(rows, silent)

    def cores(self) -> None:
        """Epoch, role, commit index, voters and disk of each core."""
        given_results, silent = self._read("core")
        self._print_rows(
            [
                {
                    "http": a,
                    "role": x["role"],
                    "epoch": x["epoch"],
                    "commit": x["commitIndex"],
                    "last": x["lastIndex"],
                    "digest": x["digestIndex"],
                    "voters": sum(m["voter"] for m in x["members"]),
                    "diskFull": x["diskFull"],
                }
                for a, x in sorted(given_results.items())
            ],
            silent,
        )

    def revisions(self) -> None:
        """The revisions in force by node, and whether each node may serve by them."""
        given_results, silent = self._read("node")
        self._print_rows(
            [
                {
                    "http": a,
                    "current": x["current"],
                    "knownMillis": x["knownMicros"] // 1000,
                    "view": x["viewIndex"],
                    "description": x["descriptionRevision"],
                    "weights": x["weights"],
                    "draining": x["draining"],
                }
                for a, x in sorted(given_results.items())
            ],
            silent,
        )

    def placements(self, node: str = "", last: int = 20) -> None:
        """The last jobs of each node: where they were placed, and why."""
        given_results, silent = self._read("node")
        self._print_rows(
            [
                {"http": a, **placement}
                for a, x in sorted(given_results.items())
                if not node or a == node
                for placement in x["placements"][-last:]
            ],
            silent,
        )

    def volumes(self) -> None:
        """Freshness by node and volume: epoch, index, time left of the table, parts changing."""
        given_results, silent = self._read("node")
        self._print_rows(
            [{"http": a, **volume} for a, x in sorted(given_results.items()) for volume in x["volumes"]], silent
        )

    def index(self) -> None:
        """How many kept prefixes each node knows of each worker, and whether they are tied."""
        given_results, silent = self._read("node")
        self._print_rows(
            [{"http": a, **copies} for a, x in sorted(given_results.items()) for copies in x["copies"]], silent
        )

    def holds(self) -> None:
        """Who holds each worker, by the core's leader, and what each node says it holds."""
        given_results, silent = self._read()
        rows = [
            {"worker": w, "holder": h["holder"][:8], "fence": h["fence"], "said by": a}
            for a, x in sorted(given_results.items())
            if x["kind"] == "core" and x["role"] == "leader"
            for w, h in sorted(x["holds"].items())
        ]
        rows += [
            {"worker": w, "holder": x["identity"][:8], "fence": fence, "said by": a}
            for a, x in sorted(given_results.items())
            if x["kind"] == "node"
            for w, fence in sorted(x["holds"].items())
        ]
        self._print_rows(rows, silent)

    def soundness(self) -> None:
        """Jobs, outcomes, retries and reuse by node; unsound workers as each node sees them."""
        given_results, silent = self._read("node")
        self._print_rows(
            [
                {
                    "http": a,
                    "open": x["openJobs"],
                    "jobs": x["jobs"],
                    "retries": x["retries"],
                    "reused": round(x["reusedTokens"] / max(1, x["prefixTokens"]), 3),
                    "outcomes": x["outcomes"],
                    "unsound": x["unsound"],
                }
                for a, x in sorted(given_results.items())
            ],
            silent,
        )

    def shell(self) -> None:
        """Asks for one query after another."""
        QueryShell(self).cmdloop()

    def _read(self, kind: str = "") -> tuple[dict[str, Row], dict[str, str]]:
        if not self._reader.start_addresses:
            print("pearheadctl query: no address was given: use --at or PEARHEAD_CORE", file=sys.stderr)
            raise SystemExit(2)
        given_results, silent = self._reader.read("/inspect")
        return {a: x for a, x in given_results.items() if not kind or x["kind"] == kind}, silent

    def _print_rows(self, rows: list[Row], silent: dict[str, str]) -> None:
        if self._is_json:
            print(json.dumps({"rows": rows, "silent": silent}, indent=2))
            return
        if rows:
            names = list(rows[0])
            cells = [[_cell(row.get(name)) for name in names] for row in rows]
            widths = [max(len(n), *(len(c[i]) for c in cells)) for i, n in enumerate(names)]
            for line in [names, *cells]:
                print("  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip())
        for address, why in sorted(silent.items()):
            print(f"{address} did not answer: {why}")


def _cell(value: Any) -> str:
    return json.dumps(value) if isinstance(value, (dict, list)) else str(value)


class QueryShell(cmd.Cmd):
    intro = "Questions: members cores revisions placements volumes index holds soundness; quit ends."
    prompt = "pearheadctl> "

    def __init__(self, command: QueryCommand) -> None:
        super().__init__()
        self.command = command

    def onecmd(self, line: str) -> bool:
        words = shlex.split(line)
        if not words:
            return False
        if words[0] in ("quit", "exit", "EOF"):
            return True
        query = getattr(self.command, words[0], None)
        if words[0].startswith("_") or words[0] == "shell" or query is None:
            print(self.intro)
            return False
        try:
            query(*words[1:])
        except (TypeError, KeyError) as fault:
            print(f"pearheadctl query: {fault}")
        return False
