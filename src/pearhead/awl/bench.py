"""Bench (§2.1): a clock and a net for tests of single types: time is set by hand, casts are kept."""

from __future__ import annotations

from pearhead.awl.clock import SECOND
from pearhead.awl.wire_pb2 import Envelope, PurgeNote


class Bench:
    def __init__(self) -> None:
        self.nowMicros = 100 * SECOND
        self.notes: list[PurgeNote] = []

    def now(self) -> int:
        return self.nowMicros

    def after(self, delayMicros: int, callback: object) -> Bench:
        return self

    def cancel(self) -> None:
        return None

    def send(self, targetAddress: str, frameBytes: bytes) -> None:
        return None

    def cast(self, targetAddress: str, datagramBytes: bytes) -> None:
        self.notes.append(Envelope.FromString(datagramBytes).purgeNote)

    def listen(self, frameReceiver: object) -> None:
        return None
