"""Last resort after a majority, such as two of three cores, is lost (§4.6); it requires explicit consent."""

from __future__ import annotations

from result import Err, Ok, Result

from pearhead.consensus.log import KIND_MEMBERS
from pearhead.consensus.wal import Wal
from pearhead.rpc.wire_pb2 import Entry, LogRecord, Mark, Member, Members
from pearhead.runtime.disk import Disk

REQUIRED_CONSENT = "acknowledged work may be lost"


class QuorumLossRecovery:
    """Makes the one remaining core the only voter, so that cores with empty disks can join it as usual."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    async def run(self, identity: str, address: str, consent: str) -> Result[int, str]:
        """Appends a membership with this core alone to its log, and returns the index of that entry.

        Entries that only the lost cores held are lost, so the exact consent text and the core's identity are required.
        Raises WalCorruptError if the log is damaged.
        """
        if consent != REQUIRED_CONSENT:
            return Err(f"say --consent '{REQUIRED_CONSENT}', and mean it")
        if "identity" not in self.disk.names():
            return Err("no core ever ran in this folder")
        if self.disk.read("identity").decode() != identity:
            return Err(f"this folder is of core {self.disk.read('identity').decode()}; name it by --identity")
        wal = Wal(self.disk)
        recovered = await wal.recover()
        snapshot_index = recovered.snapshot.index if recovered.snapshot else 0
        last_index = recovered.entries[-1].index if recovered.entries else snapshot_index
        if not last_index:
            return Err("this core's log is empty: there is nothing to rescue")
        memberships = [recovered.snapshot.members] if recovered.snapshot else []
        memberships += [Members.FromString(e.payload) for e in recovered.entries if e.kind == KIND_MEMBERS]
        wanted = memberships[-1].wanted if memberships else 0
        # The epoch rises by two, so that nothing of the old membership can match it.
        epoch = recovered.mark.epoch + 2
        sole_voter = Members(member=[Member(identity=identity, address=address, voter=True)], wanted=wanted)
        entry = Entry(index=last_index + 1, epoch=epoch, kind=KIND_MEMBERS, payload=sole_voter.SerializeToString())
        await wal.append([LogRecord(mark=Mark(epoch=epoch, voted_for=identity)), LogRecord(entry=entry)])
        return Ok(entry.index)
