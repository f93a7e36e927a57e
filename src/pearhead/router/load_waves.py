"""Waves (§7.3): which workers of a service load first, told alike by every node from the view."""

from __future__ import annotations

import math

from pearhead.config.view import View
from pearhead.runtime.clock import MILLI

# By then every node that may serve has seen a change: a round of the term and some.
VIEW_PROPAGATION_MICROS = 500 * MILLI
# The rest does not wait longer for a wave that is late.
FIRST_WAVE_TIMEOUT_MICROS = 7_500 * MILLI
# Running jobs of the first wave have until then to end; what still runs is loaded over (§7.3).
FIRST_WAVE_DRAIN_MICROS = 5_000 * MILLI
# The second wave takes no new jobs by then, and its last ones have had their deadlines.
SECOND_WAVE_DRAIN_MICROS = 16_000 * MILLI


def first_wave(view: View, service: str, revision: int) -> list[str]:
    """Who is still to load before half of those that stay, rounded up, serve these weights: the oldest loads
    first, as their time to serve ends first. Leaving ones, and new ones that serve nothing yet, wait for nobody."""
    staying = _remaining_workers(view, service)
    to_load = sorted(
        (n for n in staying if _loaded_revision(view, n) != revision), key=lambda n: (_loaded_revision(view, n), n)
    )
    done_count = len(staying) - len(to_load)
    return to_load[: max(0, math.ceil(len(staying) / 2) - done_count)]


def is_wave_serving(view: View, service: str, revision: int) -> bool:
    return not first_wave(view, service, revision)


def _remaining_workers(view: View, service: str) -> list[str]:
    return [n for n, w in view.workers.items() if w.service == service and not w.leaving and n in view.loads]


def _loaded_revision(view: View, worker: str) -> int:
    return view.loads[worker].weights_revision
