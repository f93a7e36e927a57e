"""Runner (§9.7): many scenarios and seeds over the machine's cores, each in a process of its own."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import picologging

from pearhead.awl.clock import SECOND
from pearhead.jig.sim.scenarios import run_scenario

TRACE_LINES = 25
OrderT = TypeVar("OrderT")
ResultT = TypeVar("ResultT")


@dataclass(frozen=True)
class RunOrder:
    scenario: str
    deployment: str
    seed: int
    mutation: str = ""
    nodeCount: int = 0
    recordPath: str = ""
    leftOut: frozenset[int] = frozenset()

    def command(self) -> str:
        leftOut = f" --without {','.join(map(str, sorted(self.leftOut)))}" if self.leftOut else ""
        return f"jig sim {self.scenario} --deployment {self.deployment} --seed {self.seed}{leftOut}"


@dataclass
class RunResult:
    order: RunOrder
    breaches: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    runHash: str = ""
    recoveryMicros: int | None = None
    retryCount: int = 0
    carriedCount: int = 0
    virtualSeconds: float = 0.0
    trace: list[str] = field(default_factory=list)
    realSeconds: float = 0.0

    def line(self) -> str:
        recovery = "-" if self.recoveryMicros is None else f"{self.recoveryMicros / SECOND:.2f}"
        outcomes = " ".join(f"{name}={count}" for name, count in sorted(self.outcomes.items()))
        return (
            f"{self.order.scenario:<28} {self.order.deployment:<9} seed {self.order.seed:<4} "
            f"breaches {len(self.breaches)} recovery {recovery} s retries {self.retryCount}/{self.carriedCount} "
            f"hash {self.runHash} {outcomes}"
        )

    def failure(self) -> str:
        """One command that repeats the run, what went wrong, and a short trace."""
        return "\n".join([self.order.command(), *self.breaches[:12], *self.trace[-TRACE_LINES:]])


def run_order(order: RunOrder) -> RunResult:
    from pearhead.jig.sim.mutations import MUTATIONS

    picologging.getLogger("pearhead").handlers = [picologging.NullHandler()]
    startSeconds = time.monotonic()
    try:
        prepare = MUTATIONS[order.mutation].prepare if order.mutation else lambda fleet: None
        ledger, world = run_scenario(
            order.scenario, order.deployment, order.seed, prepare, order.nodeCount, order.recordPath,
            order.leftOut,
        )
    except Exception:  # noqa: BLE001 - a crash of the simulator is a failed run, told with its place
        return RunResult(order, breaches=[traceback.format_exc()])
    return RunResult(
        order, ledger.find_breaches(), dict(ledger.outcomes()), world.runHash.hexdigest(),
        ledger.recovery_micros(), ledger.retryCount, ledger.carriedCount, world.now() / SECOND, world.trace,
        time.monotonic() - startSeconds,
    )


def run_orders(orders: list[RunOrder]) -> list[RunResult]:
    return run_apart(run_order, orders)


def run_apart(work: Callable[[OrderT], ResultT], orders: list[OrderT]) -> list[ResultT]:
    """Each order in a process of its own, so that a broken build leaves nothing behind."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context, max_tasks_per_child=1) as pool:
        return list(pool.map(work, orders))
