"""TermKeeper (§5.3): a node serves only while it knows that its view is current."""

from __future__ import annotations

import random

import picologging
from result import Err

from pearhead.awl.clock import MILLI, SECOND, Clock, rest
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.delta_packing import DeltaPacker, delta_of
from pearhead.awl.directory import Directory
from pearhead.awl.view import View
from pearhead.awl.wire_pb2 import Members, TermAsk, TermResult

LOGGER = picologging.getLogger("pearhead")
ROUND_MICROS = 300 * MILLI
MANY_NODES = 16
RESULT_MICROS = 800 * MILLI
DELTA_MICROS = 2 * SECOND
NEXT_FETCH_MICROS = 500 * MILLI
RELAY_AFTER_MICROS = 1_000 * MILLI
RELAY_COUNT = 2
COME_BACK_LIMIT_MICROS = 12 * SECOND
NEVER = -1
LONG_AGO = -(10**12)
NO_DELTA = 2**62


class TermKeeper:
    def __init__(
        self, courier: Courier, directory: Directory, clock: Clock, chance: random.Random, crew: Crew,
        termMicros: int,
    ) -> None:
        self.courier = courier
        self.directory = directory
        self.clock = clock
        self.chance = chance
        self.crew = crew
        self.termMicros = termMicros
        self.view = View()
        self.members = Members()
        self.membersIndex = 0
        self.currentAt = NEVER
        self.waitingMarks: list[tuple[int, int]] = []
        self.needsWhole = False
        self.fetchesSince: dict[str, int] = {}
        self.firstSeen: dict[tuple[str, int], int] = {}
        self.namedAfter: dict[tuple[str, int], int] = {}
        self.hasView = False
        self.packer = DeltaPacker()
        courier.on_ask("termAsk", self._make_colleague_result)

    def is_current(self) -> bool:
        return self.currentAt != NEVER and self.clock.now() - self.currentAt <= self.termMicros

    def come_back_micros(self) -> int:
        """A node that has been out for long is likely to be out as long again; within bounds (§8.2)."""
        outMicros = self.clock.now() - self.currentAt if self.currentAt != NEVER else 0
        return min(max(outMicros, ROUND_MICROS + RESULT_MICROS), COME_BACK_LIMIT_MICROS)

    def superseded_since(self, line: str, revision: int) -> int | None:
        """No later than when weights after these were acknowledged; None while these are the present ones.

        The first naming after them counts, not the last: each later one would grant old weights a time anew.
        """
        return min(
            (atMicros for (lineName, r), atMicros in self.namedAfter.items() if lineName == line and r > revision),
            default=None,
        )

    def core_addresses(self) -> list[str]:
        known = [m.address for m in self.members.member if m.voter]
        return known or [r.address for r in self.directory.members("anvil")]

    async def run(self) -> None:
        while True:
            self.crew.start(self._ask_round())
            if self.clock.now() - self.currentAt > RELAY_AFTER_MICROS:
                self.crew.start(self._ask_colleagues())
            # Many nodes ask half as often: the cores answer each, and the bound leaves room (§5.3).
            isMany = len(self.directory.members("lathe")) > MANY_NODES
            await rest(self.clock, 2 * ROUND_MICROS if isMany else ROUND_MICROS)

    async def _ask_round(self) -> None:
        """Asks the cores what the last visible index in their logs is; any majority tells (§5.3)."""
        askedMicros = self.clock.now()
        askedAddresses = list(dict.fromkeys(
            self.core_addresses() + [r.address for r in self.directory.members("anvil")]
        ))
        heardIndexes: dict[str, int] = {}
        isCounted = False

        async def ask_core(address: str) -> None:
            nonlocal isCounted
            givenResult = await self.courier.ask(address, "termAsk", TermAsk(haveIndex=NO_DELTA), RESULT_MICROS)
            if isinstance(givenResult, Err):
                return
            result: TermResult = givenResult.ok_value
            self._take_members(result)
            if result.lastVisibleIndex > self.view.index and self._may_fetch(address):
                self.fetchesSince[address] = self.clock.now()
                self.crew.start(self._fetch_delta(address))
            if result.member:
                heardIndexes[address] = result.lastVisibleIndex
            voterAddresses = {m.address for m in self.members.member if m.voter}
            heardVoters = voterAddresses & set(heardIndexes)
            if not isCounted and voterAddresses and len(heardVoters) > len(voterAddresses) // 2:
                isCounted = True
                self.waitingMarks.append((askedMicros, max(heardIndexes[a] for a in heardVoters)))
            self._settle_marks()

        for address in askedAddresses:
            self.crew.start(ask_core(address))

    def _may_fetch(self, address: str) -> bool:
        """Of one core at a time; of another as well when that one is slow, as it may be gone."""
        nowMicros = self.clock.now()
        return address not in self.fetchesSince and all(
            nowMicros - since > NEXT_FETCH_MICROS for since in self.fetchesSince.values()
        )

    async def _fetch_delta(self, address: str) -> None:
        """What changed is asked of one core only: of each, it would come three times over."""
        try:
            # A large one needs its time on a small link: asked for anew, it would need it twice.
            givenResult = await self.courier.ask(address, "termAsk", self._term_ask(), DELTA_MICROS)
            if not isinstance(givenResult, Err):
                self._take_delta(givenResult.ok_value)
                self._settle_marks()
        finally:
            self.fetchesSince.pop(address, None)

    async def _ask_colleagues(self) -> None:
        colleagues = [r.address for r in self.directory.members("lathe")]
        for address in self.chance.sample(colleagues, min(RELAY_COUNT, len(colleagues))):
            self.crew.start(self._ask_colleague(address))

    async def _ask_colleague(self, address: str) -> None:
        askedMicros = self.clock.now()
        termAsk = self._term_ask()
        termAsk.relay = True
        givenResult = await self.courier.ask(address, "termAsk", termAsk, RESULT_MICROS)
        if isinstance(givenResult, Err):
            return
        result: TermResult = givenResult.ok_value
        self._take_members(result)
        self._take_delta(result)
        if result.held:
            # The colleague knew it heldMicros before it answered, so no later than this.
            self.waitingMarks.append((askedMicros - result.heldMicros, result.lastVisibleIndex))
            self._settle_marks()

    def _term_ask(self) -> TermAsk:
        if self.needsWhole:
            return TermAsk()
        return TermAsk(haveIndex=self.view.index, haveHash=self.view.hash if self.view.index else "")

    async def _make_colleague_result(self, identity: str, address: str, ask: TermAsk) -> TermResult:
        result = TermResult(
            held=self.is_current(), heldMicros=max(self.clock.now() - self.currentAt, 0),
            lastVisibleIndex=self.view.index, members=self.members, membersIndex=self.membersIndex,
        )
        delta = self.view.delta_since(ask.haveIndex)
        self.packer.put(result, delta)
        return result

    def _take_members(self, result: TermResult) -> None:
        if result.membersIndex >= self.membersIndex and result.members.member:
            self.members, self.membersIndex = result.members, result.membersIndex

    def _take_delta(self, result: TermResult) -> None:
        delta = delta_of(result)
        if delta is None or delta.index <= self.view.index:
            return
        nextView = self.view.with_delta(delta)
        if nextView is None:
            # Another answer may have come in between; if not, the whole digest is asked for.
            self.needsWhole = delta.baseIndex == self.view.index
            return
        self.needsWhole = False
        oldRevision = self.view.descriptionRevision
        self.view = nextView
        for lineName, fact in nextView.weights.items():
            # A node that boots can't tell how old a roll-out is, so it grants old weights nothing (§7.4).
            self.firstSeen.setdefault(
                (lineName, fact.revision), self.clock.now() if self.hasView else LONG_AGO
            )
            # When this node last knew itself current, without it, it was not acknowledged yet.
            self.namedAfter.setdefault((lineName, fact.revision), self.currentAt if self.hasView else LONG_AGO)
        self.hasView = True
        if nextView.descriptionRevision != oldRevision:
            LOGGER.info("lathe: A description is in force. revision=%d number=%d",
                        nextView.descriptionRevision, nextView.number)

    def _settle_marks(self) -> None:
        nowMicros = self.clock.now()
        stillWaiting = []
        for askedMicros, wantedIndex in self.waitingMarks:
            if self.view.index >= wantedIndex:
                self.currentAt = max(self.currentAt, askedMicros)
            elif nowMicros - askedMicros <= self.termMicros:
                stillWaiting.append((askedMicros, wantedIndex))
        self.waitingMarks = stillWaiting
