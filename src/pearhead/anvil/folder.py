"""FolderReader (§10.4): looks at a core's data folder without a running core, and changes nothing."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pearhead.anvil.fleet import Fleet, UnknownCommand
from pearhead.awl.wire_pb2 import Members
from pearhead.vise.raft import KIND_COMMAND, KIND_MEMBERS
from pearhead.vise.wal import Wal, WalCorrupt


class ReadOnlyDisk:
    """Files are read as they are; a cut of a torn tail is only noted."""

    def __init__(self, folderPath: Path) -> None:
        self.folderPath = folderPath
        self.notedCuts: list[str] = []

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folderPath.iterdir() if p.is_file() and p.name != "lock")

    def read(self, fileName: str) -> bytes:
        return (self.folderPath / fileName).read_bytes()

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        raise PermissionError("read only")

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        raise PermissionError("read only")

    async def remove(self, fileName: str) -> None:
        raise PermissionError("read only")

    async def truncate(self, fileName: str, keptSize: int) -> None:
        size = (self.folderPath / fileName).stat().st_size
        self.notedCuts.append(f"{fileName}: a torn tail of {size - keptSize} bytes would be cut")


@dataclass
class FolderReport:
    faults: list[str] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


class FolderReader:
    def __init__(self, folderPath: Path) -> None:
        self.folderPath = folderPath

    async def read(self) -> FolderReport:
        report = FolderReport()
        disk = ReadOnlyDisk(self.folderPath)
        fileNames = disk.names()
        if "identity" not in fileNames:
            report.faults.append("no identity: this is no core's data folder, or an empty one")
        else:
            report.facts["identity"] = disk.read("identity").decode(errors="replace")
        wal = Wal(disk)
        try:
            recovered = await wal.recover()
        except (WalCorrupt, ValueError) as fault:
            report.faults.append(str(fault))
            return report
        fleet, members = Fleet(), Members()
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
                except UnknownCommand as fault:
                    report.faults.append(str(fault))
                    return report
            elif entry.kind == KIND_MEMBERS:
                members = Members.FromString(entry.payload)
        report.facts.update({
            "files": {n: (self.folderPath / n).stat().st_size for n in fileNames},
            "epoch": recovered.mark.epoch, "votedFor": recovered.mark.votedFor,
            "digestIndex": recovered.digest.index if recovered.digest else 0,
            "firstEntry": recovered.entries[0].index if recovered.entries else 0,
            "lastEntry": recovered.entries[-1].index if recovered.entries else 0,
            "members": [{"identity": m.identity, "address": m.address, "voter": m.voter} for m in members.member],
            "descriptionRevision": fleet.descriptionRevision, "weights": fleet.weights,
            "workers": len(fleet.workers), "transactions": len(fleet.transactions),
            "partRevisions": sum(len(p) for p in fleet.parts.values()), "notes": disk.notedCuts,
        })
        return report

    def text(self, report: FolderReport) -> str:
        return json.dumps({"faults": report.faults, **report.facts}, indent=2)
