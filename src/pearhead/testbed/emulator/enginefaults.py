"""EngineFaults (§9.13): what an emulated worker does wrong, by command. Shares are from 0 to 1."""

from __future__ import annotations

import random
from dataclasses import dataclass, fields
from typing import Any


@dataclass
class EngineFaults:
    """`cut`, `garble`, `extra`, `late`, `lost`, `fails`, `split`: shares of answers that end in their middle, are no
    answer, are followed at once by another, are followed later by one, are reset instead, are the worker's own 500, or
    end inside an event.
    `slowness`: steps take so many times as long while health says nothing (a grey failure). `false_health`: health
    is good whatever else is not. `forgets_idle`: idle connections are closed without a word.
    """

    cut: float = 0.0
    garble: float = 0.0
    extra: float = 0.0
    late: float = 0.0
    lost: float = 0.0
    fails: float = 0.0
    split: float = 0.0
    slowness: float = 1.0
    link_slowness: float = 1.0
    events_lost: float = 0.0
    events_lag_micros: int = 80_000
    false_health: bool = False
    forgets_idle: bool = False

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the named faults; names that are none are passed over."""
        for known_field in fields(self):
            if known_field.name in changes:
                setattr(self, known_field.name, type(getattr(self, known_field.name))(changes[known_field.name]))

    def draw(self, chance: random.Random) -> str:
        """The fault of one answer, or none."""
        remaining = chance.random()
        for name in ("cut", "garble", "extra", "late", "lost", "fails", "split"):
            remaining -= getattr(self, name)
            if remaining < 0:
                return name
        return ""
