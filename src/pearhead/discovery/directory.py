"""Directory (§3.2): soft-state records of all processes, exchanged in hello messages and expired by age."""

from __future__ import annotations

import hashlib
import random

from bitarray import bitarray

from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Hello, HelloResult, Record
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

HELLO_INTERVAL_MICROS = SECOND
RECORD_LIFETIME_MICROS = 5 * SECOND
# A process that knows the same records is sent only the oldest age of them all. Records older than
# LAGGING_RECORD_AGE_MICROS are sent to it one by one instead, so that a record of a dead process does not make the
# others look as old. That is not done if more than MAXIMUM_LAGGING_SHARE of the records are old: then most of these
# processes are alive, and their newer records just have not arrived yet.
LAGGING_RECORD_AGE_MICROS = 2_500 * MILLI
MAXIMUM_LAGGING_SHARE = 0.5
GOSSIP_FANOUT = 2
RECORD_LIMIT = 1_000
MEMBERS_CACHE_LIFETIME_MICROS = 200_000


class Directory:
    """The records of live processes that this process knows, refreshed by periodic hellos."""

    def __init__(
        self,
        self_record: Record,
        seed_addresses: list[str],
        rpc_endpoint: RpcEndpoint,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.self_record = self_record
        self.seed_addresses = [a for a in seed_addresses if a != self_record.address]
        self.rpc_endpoint = rpc_endpoint
        self.clock = clock
        self.rng = rng
        self.records: dict[str, tuple[Record, int]] = {}
        # `members` is called many times a second, while the set of members changes seldom and a record lives for
        # whole seconds.
        self.cached_members: dict[str | None, list[Record]] = {}
        self.cache_start_micros = self.cache_expiry_micros = 0
        rpc_endpoint.on_message("hello", self._handle_hello)
        rpc_endpoint.on_message("hello_result", self._handle_hello_result)

    def members(self, role: str | None = None) -> list[Record]:
        """Returns the live records of other processes, all or those of one role, sorted by identity.

        There is one record per address, the newest: a restarted process replaces its former incarnation.
        """
        now_micros = self.clock.now()
        if not self.cache_start_micros <= now_micros < self.cache_expiry_micros:
            self.cached_members = {}
            self.cache_start_micros, self.cache_expiry_micros = now_micros, now_micros + MEMBERS_CACHE_LIFETIME_MICROS
        members = self.cached_members.get(role)
        if members is None:
            members = self.cached_members[role] = self._find_members(role, now_micros)
        return list(members)

    def _find_members(self, role: str | None, now_micros: int) -> list[Record]:
        oldest_live_micros = now_micros - RECORD_LIFETIME_MICROS
        by_address: dict[str, tuple[int, Record]] = {}
        for _, (record, issued_micros) in sorted(self.records.items()):
            known_issued_micros, _ = by_address.get(record.address, (-1, record))
            if issued_micros >= oldest_live_micros and issued_micros > known_issued_micros:
                by_address[record.address] = (issued_micros, record)
        members = [record for _, record in by_address.values() if role is None or record.role == role]
        return sorted(members, key=lambda r: r.identity)

    def rows(self) -> list[dict[str, str]]:
        """Returns the live records in the form that operators' tools read."""
        return [
            {"identity": r.identity, "address": r.address, "role": r.role, "area": r.area, "httpAddress": r.httpAddress}
            for r in self.members()
        ]

    def listeners(self, channel_number: int) -> list[str]:
        """Returns the addresses of the members that joined a channel (§6.2)."""
        found_addresses = []
        for record in self.members():
            joined_bits = bitarray()
            joined_bits.frombytes(record.channels)
            if channel_number < len(joined_bits) and joined_bits[channel_number]:
                found_addresses.append(record.address)
        return found_addresses

    async def run(self) -> None:
        """Sends hellos once per `HELLO_INTERVAL_MICROS`, until it is cancelled."""
        round_number = 0
        while True:
            target_addresses = self._choose_targets()
            known_hash = self._known_hash()
            for position, target_address in enumerate(target_addresses):
                # All targets receive this process's record; one, in turn, is asked for the records it knows (§3.2).
                wants_known = position == round_number % len(target_addresses)
                hello = Hello(known_hash=known_hash if wants_known else "", wants_known=wants_known)
                hello.self.CopyFrom(self.self_record)
                self.rpc_endpoint.send_message(target_address, "hello", hello)
            round_number += 1
            await sleep_for(self.clock, HELLO_INTERVAL_MICROS)

    def _choose_targets(self) -> list[str]:
        core_addresses = [r.address for r in self.members("control_plane")]
        other_addresses = [r.address for r in self.members() if r.role != "control_plane"]
        peer_addresses = self.rng.sample(other_addresses, min(GOSSIP_FANOUT, len(other_addresses)))
        # Seeds are contacted only while no core is known (§3.2).
        return (core_addresses or self.seed_addresses) + peer_addresses

    def _records_with_age(self) -> list[Record]:
        """Returns copies with the age of each record, so that no record lives longer by being passed on."""
        aged_records = []
        for record in self.members():
            aged_record = Record()
            aged_record.CopyFrom(record)
            aged_record.age_micros = self.clock.now() - self.records[record.identity][1]
            aged_records.append(aged_record)
        return aged_records

    def _handle_hello(self, identity: str, address: str, hello: Hello) -> None:
        self._merge_record(hello.self, 0)
        if not hello.wants_known:
            return
        hello_result = HelloResult()
        if hello.known_hash == self._known_hash():
            records = self._records_with_age()
            lagging = [r for r in records if r.age_micros > LAGGING_RECORD_AGE_MICROS]
            if len(lagging) <= MAXIMUM_LAGGING_SHARE * len(records):
                hello_result.known.extend(lagging)
                records = [r for r in records if r.age_micros <= LAGGING_RECORD_AGE_MICROS]
            hello_result.is_same = True
            hello_result.oldest_age_micros = max((r.age_micros for r in records), default=0)
        else:
            hello_result.known.extend(self._records_with_age())
            self_record = hello_result.known.add()
            self_record.CopyFrom(self.self_record)
        self.rpc_endpoint.send_message(address, "hello_result", hello_result)

    def _handle_hello_result(self, identity: str, address: str, hello_result: HelloResult) -> None:
        self._merge_known_records(list(hello_result.known))
        if hello_result.is_same:
            self._refresh_shared_records(hello_result)

    def _refresh_shared_records(self, hello_result: HelloResult) -> None:
        """Refreshes the records that both processes know, except those that were sent one by one.

        Each was alive no longer ago than the reported age of the oldest one.
        """
        issued_micros = self.clock.now() - hello_result.oldest_age_micros
        lagging = {record.identity for record in hello_result.known}
        for record in self.members():
            _, known_issued_micros = self.records[record.identity]
            if record.identity not in lagging:
                self.records[record.identity] = (record, max(known_issued_micros, issued_micros))

    def _known_hash(self) -> str:
        """Hashes all live records and this process's own, so that two processes that know the same get the same."""
        known_hash = hashlib.blake2b(digest_size=8)
        records = sorted([*self.members(), self.self_record], key=lambda r: r.identity)
        for record in records:
            known_hash.update(f"{record.identity} {record.address} {record.role} {record.httpAddress}".encode())
            known_hash.update(record.channels)
        return known_hash.hexdigest()

    def _merge_known_records(self, known_records: list[Record]) -> None:
        for record in known_records:
            self._merge_record(record, record.age_micros)

    def _merge_record(self, record: Record, age_micros: int) -> None:
        if record.identity == self.self_record.identity:
            return
        issued_micros = self.clock.now() - age_micros
        known_record, known_issued_micros = self.records.get(record.identity, (None, -1))
        if known_record is None or issued_micros > known_issued_micros:
            self.records[record.identity] = (record, issued_micros)
            if (
                known_record is None
                or known_record != record
                or known_issued_micros < self.clock.now() - RECORD_LIFETIME_MICROS
            ):
                self.cache_expiry_micros = 0
            if len(self.records) > RECORD_LIMIT:
                oldest_identity = min(self.records, key=lambda i: self.records[i][1])
                del self.records[oldest_identity]
