"""Directory (§3.2): soft records of every process, told by hellos and aged by holding time."""

from __future__ import annotations

import hashlib
import random
import unittest

from bitarray import bitarray

from pearhead.awl.bench import Bench
from pearhead.awl.clock import SECOND, Clock, rest
from pearhead.awl.courier import Courier
from pearhead.awl.wire_pb2 import Hello, HelloResult, Record

HELLO_MICROS = SECOND
LIFETIME_MICROS = 5 * SECOND
FRIEND_COUNT = 2
RECORD_LIMIT = 1_000
CACHE_MICROS = 200_000


class Directory:
    def __init__(
        self, selfRecord: Record, seedAddresses: list[str], courier: Courier, clock: Clock,
        chance: random.Random,
    ) -> None:
        self.selfRecord = selfRecord
        self.seedAddresses = [a for a in seedAddresses if a != selfRecord.address]
        self.courier = courier
        self.clock = clock
        self.chance = chance
        self.records: dict[str, tuple[Record, int]] = {}
        # Asked for many times a second; who is known changes seldom, and records end by whole seconds.
        self.cached: dict[str | None, list[Record]] = {}
        self.cachedFrom = self.cachedUntil = 0
        courier.on_tell("hello", self._take_hello)
        courier.on_tell("helloResult", self._take_hello_result)

    def members(self, role: str | None = None) -> list[Record]:
        """The live records, one an address: a process started again goes before its former life."""
        nowMicros = self.clock.now()
        if not self.cachedFrom <= nowMicros < self.cachedUntil:
            self.cached = {}
            self.cachedFrom, self.cachedUntil = nowMicros, nowMicros + CACHE_MICROS
        found = self.cached.get(role)
        if found is None:
            found = self.cached[role] = self._find_members(role, nowMicros)
        return list(found)

    def _find_members(self, role: str | None, nowMicros: int) -> list[Record]:
        bornLimit = nowMicros - LIFETIME_MICROS
        byAddress: dict[str, tuple[int, Record]] = {}
        for _, (record, bornMicros) in sorted(self.records.items()):
            heldBorn, _ = byAddress.get(record.address, (-1, record))
            if bornMicros >= bornLimit and bornMicros > heldBorn:
                byAddress[record.address] = (bornMicros, record)
        found = [record for _, record in byAddress.values() if role is None or record.role == role]
        return sorted(found, key=lambda r: r.identity)

    def rows(self) -> list[dict[str, str]]:
        """The live records as operators' tools read them."""
        return [
            {"identity": r.identity, "address": r.address, "role": r.role, "area": r.area,
             "httpAddress": r.httpAddress}
            for r in self.members()
        ]

    def listeners(self, channelNumber: int) -> list[str]:
        """Addresses of the members that joined a channel (§6.2)."""
        foundAddresses = []
        for record in self.members():
            joinedBits = bitarray()
            joinedBits.frombytes(record.channels)
            if channelNumber < len(joinedBits) and joinedBits[channelNumber]:
                foundAddresses.append(record.address)
        return foundAddresses

    async def run(self) -> None:
        roundNumber = 0
        while True:
            targetAddresses = self._nominate_targets()
            knownHash = self._known_hash()
            for position, targetAddress in enumerate(targetAddresses):
                # All are told of this process; one in turn is asked what it knows (§3.2).
                isAsked = position == roundNumber % len(targetAddresses)
                hello = Hello(knownHash=knownHash if isAsked else "", wantsKnown=isAsked)
                hello.self.CopyFrom(self.selfRecord)
                self.courier.tell(targetAddress, "hello", hello)
            roundNumber += 1
            await rest(self.clock, HELLO_MICROS)

    def _nominate_targets(self) -> list[str]:
        coreAddresses = [r.address for r in self.members("anvil")]
        otherAddresses = [r.address for r in self.members() if r.role != "anvil"]
        friendAddresses = self.chance.sample(otherAddresses, min(FRIEND_COUNT, len(otherAddresses)))
        # Seeds serve first contact only (§3.2).
        return (coreAddresses or self.seedAddresses) + friendAddresses

    def _aged_records(self) -> list[Record]:
        """A relay adds its holding time, so no record lives longer for being passed on."""
        agedRecords = []
        for record in self.members():
            agedRecord = Record()
            agedRecord.CopyFrom(record)
            agedRecord.ageMicros = self.clock.now() - self.records[record.identity][1]
            agedRecords.append(agedRecord)
        return agedRecords

    def _take_hello(self, identity: str, address: str, hello: Hello) -> None:
        self._take_record(hello.self, 0)
        if not hello.wantsKnown:
            return
        helloResult = HelloResult()
        if hello.knownHash == self._known_hash():
            ages = [self.clock.now() - self.records[r.identity][1] for r in self.members()]
            helloResult.isSame, helloResult.oldestAgeMicros = True, max(ages, default=0)
        else:
            helloResult.known.extend(self._aged_records())
            selfRecord = helloResult.known.add()
            selfRecord.CopyFrom(self.selfRecord)
        self.courier.tell(address, "helloResult", helloResult)

    def _take_hello_result(self, identity: str, address: str, helloResult: HelloResult) -> None:
        self._take_known(list(helloResult.known))
        if helloResult.isSame:
            # All that both know were alive no longer ago than the oldest of them.
            bornMicros = self.clock.now() - helloResult.oldestAgeMicros
            for record in self.members():
                _, heldBorn = self.records[record.identity]
                self.records[record.identity] = (record, max(heldBorn, bornMicros))

    def _known_hash(self) -> str:
        """Over all live records and this process's own, so that two who know the same agree."""
        knownHash = hashlib.blake2b(digest_size=8)
        records = sorted([*self.members(), self.selfRecord], key=lambda r: r.identity)
        for record in records:
            knownHash.update(f"{record.identity} {record.address} {record.role} {record.httpAddress}".encode())
            knownHash.update(record.channels)
        return knownHash.hexdigest()

    def _take_known(self, knownRecords: list[Record]) -> None:
        for record in knownRecords:
            self._take_record(record, record.ageMicros)

    def _take_record(self, record: Record, ageMicros: int) -> None:
        if record.identity == self.selfRecord.identity:
            return
        bornMicros = self.clock.now() - ageMicros
        heldRecord, heldBorn = self.records.get(record.identity, (None, -1))
        if heldRecord is None or bornMicros > heldBorn:
            self.records[record.identity] = (record, bornMicros)
            if heldRecord is None or heldRecord != record or heldBorn < self.clock.now() - LIFETIME_MICROS:
                self.cachedUntil = 0
            if len(self.records) > RECORD_LIMIT:
                oldestIdentity = min(self.records, key=lambda i: self.records[i][1])
                del self.records[oldestIdentity]


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        selfRecord = Record(identity="me", address="a:1", role="lathe")
        courier = Courier("me", "a:1", self.bench, self.bench)
        self.directory = Directory(selfRecord, ["seed:1"], courier, self.bench, random.Random(1))

    def hear(self, identity: str, address: str, ageMicros: int, role: str = "anvil") -> None:
        record = Record(identity=identity, address=address, role=role, ageMicros=ageMicros)
        self.directory._take_hello_result("x", "x:1", HelloResult(known=[record]))

    def test_records_age_over_relays_and_a_new_life_goes_first(self) -> None:
        self.hear("old", "b:1", 4 * SECOND)
        self.assertEqual([r.identity for r in self.directory.members()], ["old"])
        self.assertEqual(self.directory._aged_records()[0].ageMicros, 4 * SECOND)
        self.hear("new", "b:1", 0)
        self.assertEqual([r.identity for r in self.directory.members()], ["new"])
        self.hear("new", "b:1", 3 * SECOND)
        self.bench.nowMicros += 3 * SECOND
        self.assertEqual([r.identity for r in self.directory.members()], ["new"], "a late word ages nobody")
        self.bench.nowMicros += 3 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_same_knowledge_refreshes_by_the_oldest_age_only(self) -> None:
        self.hear("b", "b:1", 0)
        self.bench.nowMicros += 4 * SECOND
        result = HelloResult(isSame=True, oldestAgeMicros=2 * SECOND)
        self.directory._take_hello_result("x", "x:1", result)
        self.bench.nowMicros += 2 * SECOND
        self.assertEqual([r.identity for r in self.directory.members()], ["b"])
        self.bench.nowMicros += 2 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_seeds_are_asked_only_while_no_core_is_known(self) -> None:
        self.assertEqual(self.directory._nominate_targets(), ["seed:1"])
        self.hear("core", "c:1", 0)
        self.assertEqual(self.directory._nominate_targets(), ["c:1"])
