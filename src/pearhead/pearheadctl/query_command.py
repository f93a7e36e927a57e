"""The `pearheadctl query` command (§10.2): queries of the fleet's state, one at a time or in a shell."""

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

from pearhead.runtime.text import to_header_value

QUERY_TIMEOUT_SECONDS = 2.0
Row = dict[str, Any]


class FleetQueryClient:
    """Finds every process through the directory of any core or node, and queries all of them concurrently."""

    def __init__(self, start_addresses: list[str], key: str) -> None:
        self.start_addresses = start_addresses
        self.key = key

    def read(self, path: str) -> tuple[dict[str, Row], dict[str, str]]:
        """Returns the responses, and the reasons why other processes gave none, each by HTTP address.

        `/inspect` is sent to all processes, any other path only to the cores.
        """
        responses, failures = self._fetch_all(self.start_addresses, "/inspect")
        role_by_address: dict[str, str] = {}
        for response in responses.values():
            for record in response.get("directory", []):
                role_by_address[record["httpAddress"]] = record["role"]
        more_addresses = [a for a in role_by_address if a not in responses and a not in failures]
        more_responses, more_failures = self._fetch_all(more_addresses, "/inspect")
        responses.update(more_responses)
        failures.update(more_failures)
        if path == "/inspect":
            return responses, failures
        core_addresses = [a for a, response in responses.items() if response.get("kind") == "core"]
        return self._fetch_all(core_addresses, path)

    def _fetch_all(self, addresses: list[str], path: str) -> tuple[dict[str, Row], dict[str, str]]:
        responses: dict[str, Row] = {}
        failures: dict[str, str] = {}
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for address, outcome in zip(
                addresses, pool.map(lambda a: self._fetch_one(a, path), addresses), strict=True
            ):
                if isinstance(outcome, str):
                    failures[address] = outcome
                else:
                    responses[address] = outcome
        return responses, failures

    def _fetch_one(self, address: str, path: str) -> Row | str:
        headers = {"Authorization": to_header_value(f"Bearer {self.key}")} if self.key else {}
        request = urllib.request.Request(f"http://{address}{path}", headers=headers)
        try:
            with urllib.request.urlopen(request, timeout=QUERY_TIMEOUT_SECONDS) as response:
                return dict(json.load(response))
        except urllib.error.HTTPError as error:
            return f"status {error.code}"
        except (OSError, ValueError) as error:
            return str(error)


class QueryCommand:
    """Queries of the fleet. --at takes HTTP addresses of any processes of it; the default is PEARHEAD_CORE."""

    def __init__(self, at: str = "", key: str = "", json: bool = False) -> None:
        addresses_text = at or os.environ.get("PEARHEAD_CORE", "")
        addresses = addresses_text.split(",") if isinstance(addresses_text, str) else list(addresses_text)
        self._client = FleetQueryClient([a for a in addresses if a], key or os.environ.get("PEARHEAD_OPERATOR_KEY", ""))
        self._is_json = json

    def members(self) -> None:
        """Prints every process with its kind, area and addresses, and those that did not answer."""
        responses, failures = self._read()
        rows = []
        for address, response in sorted(responses.items()):
            rows.append(
                {
                    "http": address,
                    "kind": response["kind"],
                    "area": response["area"],
                    "address": response["address"],
                    "identity": response["identity"][:8],
                }
            )
        self._print_rows(rows, failures)

    def cores(self) -> None:
        """Prints role, epoch, log indexes and number of voters of each core, and whether its disk is full."""
        responses, failures = self._read("core")
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
                for a, x in sorted(responses.items())
            ],
            failures,
        )

    def revisions(self) -> None:
        """Prints the revisions in force at each node, and whether it is current and may serve requests by them."""
        responses, failures = self._read("node")
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
                for a, x in sorted(responses.items())
            ],
            failures,
        )

    def placements(self, node: str = "", last: int = 20) -> None:
        """Prints the last jobs of each node: the workers they were placed on, and why."""
        responses, failures = self._read("node")
        self._print_rows(
            [
                {"http": a, **placement}
                for a, x in sorted(responses.items())
                if not node or a == node
                for placement in x["placements"][-last:]
            ],
            failures,
        )

    def volumes(self) -> None:
        """Prints epoch, index, time until the table expires and number of changing parts by node and volume."""
        responses, failures = self._read("node")
        self._print_rows(
            [{"http": a, **volume} for a, x in sorted(responses.items()) for volume in x["volumes"]], failures
        )

    def index(self) -> None:
        """Prints how many cached prefix keys each node knows of each worker.

        `tied`: they are of the same life of the worker as its confirmed load.
        """
        responses, failures = self._read("node")
        self._print_rows(
            [{"http": a, **copies} for a, x in sorted(responses.items()) for copies in x["copies"]], failures
        )

    def holds(self) -> None:
        """Prints the holder of each worker's lease, as the leader knows it and as the nodes report it themselves."""
        responses, failures = self._read()
        rows = [
            {"worker": w, "holder": h["holder"][:8], "fence": h["fence"], "said by": a}
            for a, x in sorted(responses.items())
            if x["kind"] == "core" and x["role"] == "leader"
            for w, h in sorted(x["holds"].items())
        ]
        rows += [
            {"worker": w, "holder": x["identity"][:8], "fence": fence, "said by": a}
            for a, x in sorted(responses.items())
            if x["kind"] == "node"
            for w, fence in sorted(x["holds"].items())
        ]
        self._print_rows(rows, failures)

    def soundness(self) -> None:
        """Prints jobs, outcomes, retries, share of reused prefix tokens and unhealthy workers of each node."""
        responses, failures = self._read("node")
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
                for a, x in sorted(responses.items())
            ],
            failures,
        )

    def shell(self) -> None:
        """Starts an interactive shell for queries."""
        QueryShell(self).cmdloop()

    def _read(self, kind: str = "") -> tuple[dict[str, Row], dict[str, str]]:
        if not self._client.start_addresses:
            print("pearheadctl query: no address was given: use --at or PEARHEAD_CORE", file=sys.stderr)
            raise SystemExit(2)
        responses, failures = self._client.read("/inspect")
        return {a: x for a, x in responses.items() if not kind or x["kind"] == kind}, failures

    def _print_rows(self, rows: list[Row], failures: dict[str, str]) -> None:
        if self._is_json:
            print(json.dumps({"rows": rows, "silent": failures}, indent=2))
            return
        if rows:
            names = list(rows[0])
            cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
            widths = [max(len(n), *(len(c[i]) for c in cells)) for i, n in enumerate(names)]
            for line in [names, *cells]:
                print("  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip())
        for address, reason in sorted(failures.items()):
            print(f"{address} did not answer: {reason}")


def _format_cell(value: Any) -> str:
    return json.dumps(value) if isinstance(value, (dict, list)) else str(value)


class QueryShell(cmd.Cmd):
    """An interactive shell whose commands are the methods of a QueryCommand."""

    intro = "Queries: members cores revisions placements volumes index holds soundness; quit exits."
    prompt = "pearheadctl> "

    def __init__(self, command: QueryCommand) -> None:
        super().__init__()
        self.command = command

    def onecmd(self, line: str) -> bool:
        """Runs the query named by the first word, with the other words as arguments; returns whether to exit."""
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
        except (TypeError, KeyError) as error:
            print(f"pearheadctl query: {error}")
        return False
