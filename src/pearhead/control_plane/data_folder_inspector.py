"""Offline, read-only inspection of a core's data folder (§10.4)."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pearhead.consensus.log import KIND_COMMAND, KIND_MEMBERS
from pearhead.consensus.wal import Wal, WalCorruptError
from pearhead.control_plane.fleet_state import FleetState, UnknownCommandError
from pearhead.rpc.wire_pb2 import Members


class ReadOnlyDisk:
    """Implements `Disk` on a folder without changing it.

    A truncation, by which recovery removes an incomplete write at the end of the log, is only recorded in
    `skipped_truncations`; all other writes raise PermissionError.
    """

    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path
        self.skipped_truncations: list[str] = []

    def names(self) -> list[str]:
        """The sorted names of the folder's files, without the lock file."""
        return sorted(p.name for p in self.folder_path.iterdir() if p.is_file() and p.name != "lock")

    def read(self, file_name: str) -> bytes:
        """The content of a file."""
        return (self.folder_path / file_name).read_bytes()

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        """Raises PermissionError."""
        raise PermissionError("read only")

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        """Raises PermissionError."""
        raise PermissionError("read only")

    async def remove(self, file_name: str) -> None:
        """Raises PermissionError."""
        raise PermissionError("read only")

    async def truncate(self, file_name: str, kept_size: int) -> None:
        """Records that the file would be truncated to `kept_size` bytes."""
        size = (self.folder_path / file_name).stat().st_size
        self.skipped_truncations.append(
            f"{file_name}: an incomplete write of {size - kept_size} bytes at its end would be truncated"
        )


@dataclass
class DataFolderReport:
    """Faults found in a data folder, none if it is sound, and facts about its content."""

    faults: list[str] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


class DataFolderInspector:
    """Reads the log, snapshots and membership of the core whose data folder is at `folder_path`."""

    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path

    async def read(self) -> DataFolderReport:
        """Recovers the log, applies its entries to an empty fleet state and reports what it found.

        Stops at damage and at a command of a later release; the report then lacks most facts.
        """
        report = DataFolderReport()
        disk = ReadOnlyDisk(self.folder_path)
        file_names = disk.names()
        if "identity" not in file_names:
            report.faults.append("no identity file: the folder is empty or is not a core's data folder")
        else:
            report.facts["identity"] = disk.read("identity").decode(errors="replace")
        wal = Wal(disk)
        try:
            recovered = await wal.recover()
        except (WalCorruptError, ValueError) as fault:
            report.faults.append(str(fault))
            return report
        fleet, members = FleetState(), Members()
        epochs = [entry.epoch for entry in recovered.entries]
        if epochs != sorted(epochs):
            report.faults.append("the epochs of the log entries decrease")
        if epochs and recovered.mark.epoch < epochs[-1]:
            report.faults.append("a log entry has a later epoch than the stored epoch")
        if recovered.snapshot is not None:
            fleet.load_snapshot(recovered.snapshot.state)
            members = recovered.snapshot.members
        for entry in recovered.entries:
            if entry.kind == KIND_COMMAND:
                try:
                    fleet.apply(entry.index, entry.payload)
                except UnknownCommandError as fault:
                    report.faults.append(str(fault))
                    return report
            elif entry.kind == KIND_MEMBERS:
                members = Members.FromString(entry.payload)
        report.facts.update(
            {
                "files": {n: (self.folder_path / n).stat().st_size for n in file_names},
                "epoch": recovered.mark.epoch,
                "votedFor": recovered.mark.voted_for,
                "digestIndex": recovered.snapshot.index if recovered.snapshot else 0,
                "firstEntry": recovered.entries[0].index if recovered.entries else 0,
                "lastEntry": recovered.entries[-1].index if recovered.entries else 0,
                "members": [{"identity": m.identity, "address": m.address, "voter": m.voter} for m in members.member],
                "descriptionRevision": fleet.description_revision,
                "weights": fleet.weights,
                "workers": len(fleet.workers),
                "transactions": len(fleet.transactions),
                "partRevisions": sum(len(p) for p in fleet.parts.values()),
                "notes": disk.skipped_truncations,
            }
        )
        return report

    def text(self, report: DataFolderReport) -> str:
        """The report as indented JSON."""
        return json.dumps({"faults": report.faults, **report.facts}, indent=2)
