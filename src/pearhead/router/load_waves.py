"""Rollout waves (§7.3): which workers load new weights first. All nodes with the same view derive the same wave."""

from __future__ import annotations

import math

from pearhead.config.view import View
from pearhead.runtime.clock import MILLI

# By then nodes that reach the cores have seen a change of the view: a polling round of 0.3 s and a margin. In a large
# fleet a round takes 0.6 s (`ViewReplica.run`), so a node may see a change later there.
VIEW_PROPAGATION_MICROS = 500 * MILLI
# The remaining workers wait no longer than this for a late first wave.
FIRST_WAVE_TIMEOUT_MICROS = 7_500 * MILLI
# Running jobs of the first wave's workers have until then to end; after that, loading begins regardless (§7.3).
FIRST_WAVE_DRAIN_MICROS = 5_000 * MILLI
# By then the second wave's workers get no new jobs, and the deadlines of their last ones have passed.
SECOND_WAVE_DRAIN_MICROS = 16_000 * MILLI


def first_wave(view: View, service: str, revision: int) -> list[str]:
    """Workers still to load until half of the service's workers, rounded up, serve this revision.

    Those with the oldest weights load first, as their grace period ends first. Workers that are leaving, and new ones
    that serve nothing yet, don't count.
    """
    remaining = _remaining_workers(view, service)
    to_load = sorted(
        (n for n in remaining if _loaded_revision(view, n) != revision), key=lambda n: (_loaded_revision(view, n), n)
    )
    loaded_count = len(remaining) - len(to_load)
    return to_load[: max(0, math.ceil(len(remaining) / 2) - loaded_count)]


def is_wave_serving(view: View, service: str, revision: int) -> bool:
    """Whether the whole first wave serves this revision."""
    return not first_wave(view, service, revision)


def _remaining_workers(view: View, service: str) -> list[str]:
    return [n for n, w in view.workers.items() if w.service == service and not w.leaving and n in view.loads]


def _loaded_revision(view: View, worker: str) -> int:
    return view.loads[worker].weights_revision
