"""Runs many scenarios and seeds in parallel worker processes, one run at a time in each (§9.7)."""

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
    """What to run.

    Attributes:
        scenario: Name of the scenario, as in `testbed sim`.
        deployment: Name of the deployment to simulate.
        seed: Seed of every random choice in the run.
        mutation: Name of a deliberately broken build to run instead of the real code; empty for none.
        node_count: Number of router nodes; 0 takes the deployment's own.
        record_path: File to which the run is recorded; empty for none.
        excluded_faults: Numbers of the scheduled faults that are left out.
    """

    scenario: str
    deployment: str
    seed: int
    mutation: str = ""
    node_count: int = 0
    record_path: str = ""
    excluded_faults: frozenset[int] = frozenset()

    def command(self) -> str:
        """Returns the shell command that repeats the run; the sweep's journal uses it as a key."""
        excluded_faults = (
            f" --without {','.join(map(str, sorted(self.excluded_faults)))}" if self.excluded_faults else ""
        )
        return f"testbed sim {self.scenario} --deployment {self.deployment} --seed {self.seed}{excluded_faults}"


@dataclass
class RunResult:
    """What a run did.

    Attributes:
        spec: What was run.
        breaches: Violations that the checkers found, each "check: description"; or the traceback of a crash.
        outcomes: Number of jobs by outcome.
        run_hash: Digest of the trace and of the time and size of each message sent; equal if a run is repeated.
        recovery_micros: The longest time from the beginning or end of a fault to the last job that failed before the
            next such event; None without any fault.
        retry_count: Retries counted by the nodes' retry budgets.
        budgeted_job_count: Jobs counted by these budgets.
        virtual_seconds: Simulated duration.
        trace: The lines noted during the run, in order of time.
        real_seconds: Wall-clock duration.
    """

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

    def summary_line(self) -> str:
        """Returns a summary on one line."""
        recovery = "-" if self.recovery_micros is None else f"{self.recovery_micros / SECOND:.2f}"
        outcomes = " ".join(f"{name}={count}" for name, count in sorted(self.outcomes.items()))
        return (
            f"{self.spec.scenario:<28} {self.spec.deployment:<9} seed {self.spec.seed:<4} "
            f"breaches {len(self.breaches)} recovery {recovery} s retries {self.retry_count}/{self.budgeted_job_count} "
            f"hash {self.run_hash} {outcomes}"
        )

    def failure_report(self) -> str:
        """Returns the command that repeats the run, the first violations and the end of the trace."""
        return "\n".join([self.spec.command(), *self.breaches[:12], *self.trace[-TRACE_LINES:]])


def run_spec(spec: RunSpec) -> RunResult:
    """Runs one simulation in this process. An exception becomes a breach of the result; none is raised."""
    from pearhead.testbed.simulator.mutations import MUTATIONS

    logging.getLogger("pearhead").handlers = [logging.NullHandler()]
    start_seconds = time.monotonic()
    try:
        prepare = MUTATIONS[spec.mutation].apply_patch if spec.mutation else lambda fleet: None
        ledger, world = run_scenario(
            spec.scenario,
            spec.deployment,
            spec.seed,
            prepare,
            spec.node_count,
            spec.record_path,
            spec.excluded_faults,
        )
    except Exception:  # noqa: BLE001 - a crash of the simulator is a failed run, reported with its traceback
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
    """Runs all specs in parallel and returns their results in the same order.

    Runs of the unmodified code share processes, as importing it costs as much as a short run. If any spec has a
    mutation, each run gets a process of its own.
    """
    if any(spec.mutation for spec in specs):
        return run_isolated(run_spec, specs)
    with concurrent.futures.ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(run_spec, specs))


def run_isolated(work: Callable[[TaskT], ResultT], specs: list[TaskT]) -> list[ResultT]:
    """Runs each task in a process of its own, as a mutation patches classes and modules of its process for good."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context, max_tasks_per_child=1) as pool:
        return list(pool.map(work, specs))
