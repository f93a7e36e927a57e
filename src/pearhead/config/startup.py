"""StartupConfig (§3.3): a process learns its place from a file, flags over it, checked as a whole."""

from __future__ import annotations

import dataclasses
import hmac
import json
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_type_hints

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.runtime.clock import SECOND


@dataclass(frozen=True)
class StartupConfig:
    """What every daemon needs; `control_plane` and `router` share one shape so that one page explains it."""

    address: str
    httpAddress: str
    area: str
    seeds: list[str]
    dataFolder: str = ""
    founders: list[str] = field(default_factory=list)
    operatorKey: str = ""
    logLevel: str = "INFO"
    eventSink: str = ""
    termMicros: int = 2 * SECOND
    tableLifetimeMicros: int = 30 * SECOND
    holdMicros: int = 3 * SECOND
    lostAfterMicros: int = 5 * SECOND
    drainMicros: int = 30 * SECOND
    bodyLimitBytes: int = 1_048_576
    headerLimitBytes: int = 16_384
    digestEvery: int = 4_096
    keptEntries: int = 1_024
    digest_bytes: int = 8 * 1024 * 1024
    oldWeightsMicros: int = 8 * SECOND
    # How many core machines, zones or regions may be lost at once: 2 f + 1 vote. 0: as many as found.
    toleratedLosses: int = 0


STARTUP_TYPE_HINTS = get_type_hints(StartupConfig)


def check_startup(startup: StartupConfig, requires_data_folder: bool) -> list[str]:
    """Lists every fault of values that have the right types."""
    faults = []
    address_fields = [("address", startup.address), ("httpAddress", startup.httpAddress)]
    address_fields += [(f"seeds[{i}]", a) for i, a in enumerate(startup.seeds)]
    address_fields += [(f"founders[{i}]", a) for i, a in enumerate(startup.founders)]
    for path, address in address_fields:
        host_name, colon, port_text = address.rpartition(":")
        if not colon or not host_name or not port_text.isdigit() or not 0 < int(port_text) < 65_536:
            faults.append(f"{path}: must be IP:PORT, not {address!r}")
    if not startup.seeds:
        faults.append("seeds: at least one address is needed, three are usual")
    if not startup.area:
        faults.append("area: must not be empty")
    if requires_data_folder and not startup.dataFolder:
        faults.append("dataFolder: a core process needs one")
    if startup.eventSink and not startup.eventSink.startswith("http://"):
        faults.append("eventSink: must be an http:// address")
    if startup.logLevel not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        faults.append("logLevel: must be DEBUG, INFO, WARNING or ERROR")
    for startup_field in dataclasses.fields(startup):
        is_size = startup_field.name.endswith(("Micros", "Bytes", "Every", "Entries", "_bytes"))
        if is_size and getattr(startup, startup_field.name) <= 0:
            faults.append(f"{startup_field.name}: must be above zero")
    return faults


def read_startup(file_path: str, flags: dict[str, Any], requires_data_folder: bool) -> Result[StartupConfig, list[str]]:
    """Reads a TOML or JSON file, if any, overrides it by `flags`, and checks the result."""
    data: dict[str, Any] = {}
    if file_path:
        try:
            file_text = Path(file_path).read_text(encoding="utf-8")
            data = json.loads(file_text) if file_path.endswith(".json") else tomllib.loads(file_text)
        except (OSError, ValueError) as fault:
            return Err([f"{file_path}: {fault}"])
        if not isinstance(data, dict):
            return Err([f"{file_path}: must hold one object"])
    for name, value in flags.items():
        is_list = name in ("seeds", "founders") and isinstance(value, str)
        is_text = STARTUP_TYPE_HINTS.get(name) is str and isinstance(value, (int, float))
        data[name] = (
            value.split(",")
            if is_list
            else list(value)
            if isinstance(value, tuple)
            else str(value)
            if is_text
            else value
        )
    checked = parse_dataclass(StartupConfig, data)
    if isinstance(checked, Err):
        return checked
    faults = check_startup(checked.ok_value, requires_data_folder)
    return Err(faults) if faults else Ok(checked.ok_value)


def has_operator_key(startup: StartupConfig, authorization: str) -> bool:
    """Whether a request's Authorization header carries the operator key, where one is set."""
    given_key = authorization.removeprefix("Bearer ")
    return not startup.operatorKey or hmac.compare_digest(startup.operatorKey.encode(), given_key.encode())


def startup_help(program_name: str) -> str:
    """What `run --help` prints: every field, its kind and its default."""
    lines = [f"{program_name} run [--startup FILE] [--FIELD=VALUE ...]", "", "Startup fields:"]
    for startup_field in dataclasses.fields(StartupConfig):
        is_needed = startup_field.default is dataclasses.MISSING and (
            startup_field.default_factory is dataclasses.MISSING
        )
        default = "needed" if is_needed else repr(getattr(startup_field, "default", ""))
        if startup_field.default_factory is not dataclasses.MISSING:
            default = "[]"
        lines.append(f"  --{startup_field.name:<20} {startup_field.type:<10} {default}")
    return "\n".join(lines)


def exit_with_errors(program_name: str, faults: list[str]) -> None:
    """One clear line a fault, a non-zero exit, no traceback."""
    for fault in faults:
        print(f"{program_name}: {fault}", file=sys.stderr)
    raise SystemExit(2)
