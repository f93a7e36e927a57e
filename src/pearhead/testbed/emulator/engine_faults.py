"""Faults of an emulated worker (§9.13), switched on by command."""

from __future__ import annotations

import random
from dataclasses import dataclass, fields
from typing import Any


@dataclass
class EngineFaults:
    """Faults in force. Shares are from 0 to 1.

    - `cut`: share of responses that end in their middle, without a reset.
    - `garble`: share of responses that are replaced by bytes that are not HTTP.
    - `extra`, `late`: share of responses that are followed by a stray one, at once or after a delay.
    - `lost`: share of responses that are replaced by a reset.
    - `fails`: share of responses that are replaced by the worker's own 500.
    - `split`: share of responses that are reset inside an event.
    - `slowness`: factor on the duration of steps, which health and reports don't show (a grey failure).
    - `link_slowness`: factor on the time to move cached parts.
    - `events_lost`, `events_lag_micros`: share of cache events that never show, and the delay of the others.
    - `false_health`: the health probe succeeds even when it should not.
    - `forgets_idle`: idle connections are closed without an announcement.
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
        """Sets the named faults; unknown names are ignored."""
        for known_field in fields(self):
            if known_field.name in changes:
                setattr(self, known_field.name, type(getattr(self, known_field.name))(changes[known_field.name]))

    def draw(self, rng: random.Random) -> str:
        """Draws the fault of one response; an empty string for none."""
        remaining = rng.random()
        for name in ("cut", "garble", "extra", "late", "lost", "fails", "split"):
            remaining -= getattr(self, name)
            if remaining < 0:
                return name
        return ""
