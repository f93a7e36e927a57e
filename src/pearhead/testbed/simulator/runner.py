"""Runner (§9.7): many scenarios and seeds over the machine's cores, each in a process of its own."""

from __future__ import annotations

import concurrent.futures
import logging
import multiprocessing
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.scenarios import run_scenario

TRACE_LINES = 25
TaskT = TypeVar("TaskT")
ResultT = TypeVar("ResultT")


@dataclass(frozen=True)
class RunSpec:
    scenario: str
    deployment: str
    seed: int
    mutation: str = ""
    node_count: int = 0
    record_path: str = ""
    excluded_faults: frozenset[int] = frozenset()

    def command(self) -> str:
        excluded_faults = (
            f" --without {','.join(map(str, sorted(self.excluded_faults)))}" if self.excluded_faults else ""
        )
        return f"testbed sim {self.scenario} --deployment {self.deployment} --seed {self.seed}{excluded_faults}"


@dataclass
class RunResult:
    spec: RunSpec
    breaches: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    run_hash: str = ""
    recovery_micros: int | None = None
    retry_count: int = 0
    budgeted_job_count: int = 0
    virtual_seconds: float = 0.0
    trace: list[str] = field(default_factory=list)
    real_seconds: float = 0.0

    def line(self) -> str:
        recovery = "-" if self.recovery_micros is None else f"{self.recovery_micros / SECOND:.2f}"
        outcomes = " ".join(f"{name}={count}" for name, count in sorted(self.outcomes.items()))
        return (
            f"{self.spec.scenario:<28} {self.spec.deployment:<9} seed {self.spec.seed:<4} "
            f"breaches {len(self.breaches)} recovery {recovery} s retries {self.retry_count}/{self.budgeted_job_count} "
            f"hash {self.run_hash} {outcomes}"
        )

    def failure(self) -> str:
        """One command that repeats the run, what went wrong, and a short trace."""
        return "\n".join([self.spec.command(), *self.breaches[:12], *self.trace[-TRACE_LINES:]])


def run_spec(spec: RunSpec) -> RunResult:
    from pearhead.testbed.simulator.mutations import MUTATIONS

    logging.getLogger("pearhead").handlers = [logging.NullHandler()]
    start_seconds = time.monotonic()
    try:
        prepare = MUTATIONS[spec.mutation].prepare if spec.mutation else lambda fleet: None
        ledger, world = run_scenario(
            spec.scenario,
            spec.deployment,
            spec.seed,
            prepare,
            spec.node_count,
            spec.record_path,
            spec.excluded_faults,
        )
    except Exception:  # noqa: BLE001 - a crash of the simulator is a failed run, told with its place
        return RunResult(spec, breaches=[traceback.format_exc()])
    return RunResult(
        spec,
        ledger.find_breaches(),
        dict(ledger.outcomes()),
        world.run_hash.hexdigest(),
        ledger.recovery_micros(),
        ledger.retry_count,
        ledger.budgeted_job_count,
        world.now() / SECOND,
        world.trace,
        time.monotonic() - start_seconds,
    )


def run_specs(specs: list[RunSpec]) -> list[RunResult]:
    """Sound builds share processes, as loading the code costs as much as a short run; broken ones are kept apart."""
    if any(spec.mutation for spec in specs):
        return run_isolated(run_spec, specs)
    with concurrent.futures.ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(run_spec, specs))


def run_isolated(work: Callable[[TaskT], ResultT], specs: list[TaskT]) -> list[ResultT]:
    """Each order in a process of its own, so that a broken build leaves nothing behind."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context, max_tasks_per_child=1) as pool:
        return list(pool.map(work, specs))
