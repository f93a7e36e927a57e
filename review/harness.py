"""What the scripts of this folder share: a site of the project's own emulator, started as the deploy file says.

The programs under review are started with the commands of deploy/system.toml. Workers, store, the platform's list, the
operator and clients are the emulator's (src/pearhead/testbed/emulator), which follow the pages.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import DEPLOYMENTS
from pearhead.testbed.emulator.launcher import PLATFORM_PROGRAMS, ROOT, SiteLauncher
from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.plan import SiteSize
from pearhead.testbed.emulator.raw_http import RawConnection, RawResponseHead, WireError

BROKEN, HELD, NOT_RUN = 1, 0, 2
RULE_BROKEN_LINE = "RULE BROKEN"


class CaseError(Exception):
    """The case could not run: something that it needs did not come about."""


class Record:
    """The file `record.txt`: what was sent, answered and run, in order. Times in seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Writes one line."""
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class ReviewSite(SiteLauncher):
    """An emulated site whose programs under review are started by the commands of the deploy file."""

    def _spawn(self, name: str, settings_path: Path) -> int:
        program = self.plan["processes"][name]["program"]
        if program in PLATFORM_PROGRAMS:
            roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
            arguments = roles[program]["run"].split()
        else:
            arguments = [sys.executable, "-m", "pearhead.testbed.emulator.main", program, str(settings_path)]
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment |= {
            "PEARHEAD_NODE_FILE": str(settings_path),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT / 'src'}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder_path / f"{name}.log").open("ab") as log_file:
            started = subprocess.Popen(
                arguments,
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                cwd=ROOT,
                env=environment,
            )
        return started.pid


@dataclass
class Result:
    """How one request ended for its client. `status`: 0 if no head came."""

    request_id: str
    status: int = 0
    is_whole: bool = False
    events: int = 0
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Ask:
    """A request of a client: a prompt of one shared part and one of its own, on a route, with a tenant's key."""

    route: dict[str, Any]
    model: str
    key: str
    shared_part: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    path_end: str = "1f"


class Client:
    """One client with one kept connection to one front node."""

    def __init__(self, address: str) -> None:
        self.connection = RawConnection(address)

    async def open(self) -> None:
        """Connects."""
        await self.connection.open()

    async def call(self, ask: Ask, request_id: str, deadline_ms: int | None = None) -> Result:
        """Sends one request and reads its answer until its deadline."""
        route = ask.route
        wait_ms = deadline_ms or int(route["DeadlineMs"])
        own_part = request_id[:8]
        headers = {
            "Host": route["Hostname"],
            "X-Request-Id": request_id,
            "X-Model": ask.model,
            "X-Token-Count": f"{ask.shared_tokens + ask.own_tokens},{ask.output_tokens}",
            "X-Prompt-Prefix": f"{ask.shared_part}:{ask.shared_tokens},{own_part}:{ask.own_tokens}",
            "X-Deadline": str(wait_ms),
            "Authorization": f"Token {ask.key}",
            "Content-Type": "application/json",
        }
        result = Result(request_id)
        body = json.dumps({"text": request_id}).encode()
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self.connection.send("POST", f"{route['Prefix']}{ask.path_end}", headers, body)
                head: RawResponseHead = await self.connection.read_head()
                result.status, result.headers = head.status, dict(head.headers)
                async for chunk in self.connection.read_body(head):
                    result.events += chunk.count(b"\n\n")
                result.is_whole = True
        except (WireError, TimeoutError, OSError):
            pass
        return result

    def close(self) -> None:
        """Closes its connection."""
        self.connection.close()


def has_trouble() -> bool:
    """Whether the disruption is part of this run: `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case_file: str,
    size: SiteSize,
    play: Callable[[ReviewSite, Record], list[str]],
    deployment: str = "klippvik",
    is_begun: bool = True,
) -> int:
    """Starts a site, plays the case, and ends every process.

    Returns 1 if `play` names a breach, 0 if not, 2 if the case could not run. Without `is_begun`, `play` starts the
    processes itself.
    """
    record = Record(Path(case_file).resolve().parent)
    folder = tempfile.mkdtemp(prefix="review-")
    site = ReviewSite(folder)
    status = NOT_RUN
    try:
        site.make_site(DEPLOYMENTS[deployment], size, int(time.time()))
        record.note(f"a site of {len(site.plan['processes'])} processes, trouble={has_trouble()}")
        if is_begun:
            site.up()
            site.apply_initial_configuration()
            site.wait_ready()
            record.note("the first configuration is acknowledged, all front nodes are ready")
        breaches = play(site, record)
        for breach in breaches:
            record.note(f"{RULE_BROKEN_LINE}: {breach}")
        if not breaches:
            record.note("the rule held")
        status = BROKEN if breaches else HELD
    except (CaseError, RuntimeError, OSError, TimeoutError, AssertionError) as fault:
        record.note(f"the case could not run: {type(fault).__name__}: {fault}")
    finally:
        for name in site.plan.get("processes", {}):
            site.send_signal(name, 18)
            site.send_signal(name, 9)
        site.release_block()
        shutil.rmtree(folder, ignore_errors=True)
    record.note(f"exit status {status}")
    return status


def runs_of(ledger: SiteLedger, request_id: str) -> int:
    """How often workers began work on a request."""
    return sum(run.request_id == request_id for run in ledger.runs)


__all__ = [
    "MILLI",
    "SECOND",
    "Ask",
    "CaseError",
    "Client",
    "Record",
    "Result",
    "ReviewSite",
    "SiteSize",
    "has_trouble",
    "run_case",
    "runs_of",
]
