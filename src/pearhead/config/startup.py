"""StartupConfig (§3.3): the startup configuration of a process: a file, overridden by flags, checked as a whole."""

from __future__ import annotations

import dataclasses
import hmac
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_type_hints

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.runtime.clock import SECOND
from pearhead.runtime.text import from_header_value, load_json


@dataclass(frozen=True)
class StartupConfig:
    """The startup configuration of a daemon.

    `control_plane` and `router` use the same fields, so that one page of documentation covers both.
    """

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
    # Number f of core machines, zones or regions that may be lost at once; 2 f + 1 cores vote. 0: as many cores vote as
    # founded the core group.
    toleratedLosses: int = 0


STARTUP_TYPE_HINTS = get_type_hints(StartupConfig)


def check_startup(startup: StartupConfig, requires_data_folder: bool) -> list[str]:
    """Returns the errors in the values of fields whose types are right already."""
    errors = []
    address_fields = [("address", startup.address), ("httpAddress", startup.httpAddress)]
    address_fields += [(f"seeds[{i}]", a) for i, a in enumerate(startup.seeds)]
    address_fields += [(f"founders[{i}]", a) for i, a in enumerate(startup.founders)]
    for path, address in address_fields:
        host_name, colon, port_text = address.rpartition(":")
        if not colon or not host_name or not port_text.isdigit() or not 0 < int(port_text) < 65_536:
            errors.append(f"{path}: must be IP:PORT, not {address!r}")
    if not startup.seeds:
        errors.append("seeds: at least one address is needed, three are usual")
    if not startup.area:
        errors.append("area: must not be empty")
    if requires_data_folder and not startup.dataFolder:
        errors.append("dataFolder: a core process needs one")
    if startup.eventSink and not startup.eventSink.startswith("http://"):
        errors.append("eventSink: must be an http:// address")
    if startup.logLevel not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        errors.append("logLevel: must be DEBUG, INFO, WARNING or ERROR")
    for startup_field in dataclasses.fields(startup):
        is_size = startup_field.name.endswith(("Micros", "Bytes", "Every", "Entries", "_bytes"))
        if is_size and getattr(startup, startup_field.name) <= 0:
            errors.append(f"{startup_field.name}: must be above zero")
    return errors


def read_startup(file_path: str, flags: dict[str, Any], requires_data_folder: bool) -> Result[StartupConfig, list[str]]:
    """Reads a TOML or JSON file, overrides its values with `flags`, and checks the result.

    An empty `file_path` means that there is no file. The error is the list of all errors found.
    """
    data: dict[str, Any] = {}
    if file_path:
        try:
            file_text = Path(file_path).read_text(encoding="utf-8")
            data = load_json(file_text.encode()) if file_path.endswith(".json") else tomllib.loads(file_text)
        except (OSError, ValueError) as error:
            return Err([f"{file_path}: {error}"])
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
    errors = check_startup(checked.ok_value, requires_data_folder)
    return Err(errors) if errors else Ok(checked.ok_value)


def has_operator_key(startup: StartupConfig, authorization: str) -> bool:
    """Whether an Authorization header carries the operator key; always true if no operator key is set."""
    received_key = from_header_value(authorization.removeprefix("Bearer "))
    return not startup.operatorKey or hmac.compare_digest(startup.operatorKey.encode(), received_key.encode())


def startup_help(program_name: str) -> str:
    """Returns the text of `run --help`: every startup field with its type and default."""
    lines = [f"{program_name} run [--startup FILE] [--FIELD=VALUE ...]", "", "Startup fields:"]
    for startup_field in dataclasses.fields(StartupConfig):
        is_required = startup_field.default is dataclasses.MISSING and (
            startup_field.default_factory is dataclasses.MISSING
        )
        default = "required" if is_required else repr(getattr(startup_field, "default", ""))
        if startup_field.default_factory is not dataclasses.MISSING:
            default = "[]"
        lines.append(f"  --{startup_field.name:<20} {startup_field.type:<10} {default}")
    return "\n".join(lines)


def exit_with_errors(program_name: str, errors: list[str]) -> None:
    """Prints each error as one line on standard error and exits with status 2, without a traceback."""
    for error in errors:
        print(f"{program_name}: {error}", file=sys.stderr)
    raise SystemExit(2)
