"""DataFolderInspector (§10.4): looks at a core's data folder without a running core, and changes nothing."""

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
    """Files are read as they are; a cut of a torn tail is only noted."""

    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path
        self.skipped_truncations: list[str] = []

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folder_path.iterdir() if p.is_file() and p.name != "lock")

    def read(self, file_name: str) -> bytes:
        return (self.folder_path / file_name).read_bytes()

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        raise PermissionError("read only")

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        raise PermissionError("read only")

    async def remove(self, file_name: str) -> None:
        raise PermissionError("read only")

    async def truncate(self, file_name: str, kept_size: int) -> None:
        size = (self.folder_path / file_name).stat().st_size
        self.skipped_truncations.append(f"{file_name}: a torn tail of {size - kept_size} bytes would be cut")


@dataclass
class DataFolderReport:
    faults: list[str] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


class DataFolderInspector:
    def __init__(self, folder_path: Path) -> None:
        self.folder_path = folder_path

    async def read(self) -> DataFolderReport:
        report = DataFolderReport()
        disk = ReadOnlyDisk(self.folder_path)
        file_names = disk.names()
        if "identity" not in file_names:
            report.faults.append("no identity: this is no core's data folder, or an empty one")
        else:
            report.facts["identity"] = disk.read("identity").decode(errors="replace")
        wal = Wal(disk)
        try:
            recovered = await wal.recover()
        except (WalCorruptError, ValueError) as fault:
            report.faults.append(str(fault))
            return report
        fleet, members = FleetState(), Members()
        epochs = [e.epoch for e in recovered.entries]
        if epochs != sorted(epochs):
            report.faults.append("epochs of the entries go down")
        if epochs and recovered.mark.epoch < epochs[-1]:
            report.faults.append("an entry is of a later epoch than the mark")
        if recovered.digest is not None:
            fleet.load_digest(recovered.digest.state)
            members = recovered.digest.members
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
                "digestIndex": recovered.digest.index if recovered.digest else 0,
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
        return json.dumps({"faults": report.faults, **report.facts}, indent=2)
