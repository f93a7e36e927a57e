"""Records which faults are active at which time, and derives which machines count as healthy (§9.6)."""

from __future__ import annotations

from dataclasses import dataclass

NO_END_MICROS = 2**62


@dataclass
class FaultInterval:
    """One fault and the time it is active, from `start_micros` up to but not including `end_micros`.

    Attributes:
        kind: "dead", "frozen", "cut", "disk" or "burst".
        names: The affected machine; for "cut" the sender and the receiver of the blocked direction; for "burst" it is
            "callers".
        start_micros: Virtual time at which the fault began.
        end_micros: Virtual time at which it ended; NO_END_MICROS while it is active.
    """

    kind: str
    names: tuple[str, ...]
    start_micros: int
    end_micros: int = NO_END_MICROS


class FaultLog:
    """The faults of one run, by which the checkers decide what they may demand at a given time.

    Attributes:
        intervals: All faults so far, in the order in which they began.
        event_micros: Times at which a fault began or ended or another disturbance occurred.
        machine_names: All machines of the run, against which isolation is measured.
    """

    def __init__(self) -> None:
        self.intervals: list[FaultInterval] = []
        self.event_micros: list[int] = []
        self.machine_names: set[str] = set()

    def begin(self, kind: str, names: tuple[str, ...], at_micros: int) -> None:
        """Records that a fault begins; see FaultInterval for `kind` and `names`."""
        self.intervals.append(FaultInterval(kind, names, at_micros))
        self.event_micros.append(at_micros)

    def end(self, kind: str, names: tuple[str, ...], at_micros: int) -> None:
        """Ends all active faults of this kind and these names; does nothing if there are none."""
        for interval in self.intervals:
            if interval.kind == kind and interval.names == names and interval.end_micros == NO_END_MICROS:
                interval.end_micros = at_micros
                self.event_micros.append(at_micros)

    def record_disturbance(self, at_micros: int) -> None:
        """Records an event that is no machine fault but after which service needs time to settle.

        Examples are lost datagrams, a slow disk or worker, and a failed change of weights.
        """
        self.event_micros.append(at_micros)

    def is_quiet(self, at_micros: int, quiet_period_micros: int) -> bool:
        """Whether no fault or disturbance began or ended during the period that ends at `at_micros`."""
        return not any(at_micros - quiet_period_micros < event <= at_micros for event in self.event_micros)

    def is_healthy(self, name: str, at_micros: int) -> bool:
        """Whether the machine has no fault of its own, and at most half as many cuts as there are machines.

        Each blocked direction counts as one cut.
        """
        broken, cuts = self._active_faults(at_micros)
        isolated = sum(name in pair for pair in cuts) > len(self.machine_names) // 2
        return name not in broken and not isolated

    def is_overloaded(self, at_micros: int) -> bool:
        """Whether a burst of jobs is active."""
        return any(i.kind == "burst" and i.start_micros <= at_micros < i.end_micros for i in self.intervals)

    def was_frozen_between(self, name: str, start_micros: int, end_micros: int) -> bool:
        """Whether the machine was frozen at any time in the given span, both ends included."""
        return any(
            i.kind == "frozen" and i.names == (name,) and i.start_micros <= end_micros and i.end_micros >= start_micros
            for i in self.intervals
        )

    def connected_cores(self, at_micros: int, core_names: set[str]) -> set[str]:
        """Returns a large set of running cores that all reach one another in both directions.

        Found by removing the core with the most cuts until no cut is left; of equals, the first by name is removed.
        """
        broken, cuts = self._active_faults(at_micros)
        connected = core_names - broken
        while True:
            cut_counts = {n: sum((n, o) in cuts or (o, n) in cuts for o in connected) for n in sorted(connected)}
            most_cut = max(cut_counts, key=lambda n: cut_counts[n], default="")
            if not most_cut or not cut_counts[most_cut]:
                return connected
            connected = connected - {most_cut}

    def healthy_nodes(
        self, at_micros: int, node_names: set[str], core_names: set[str], worker_names: set[str]
    ) -> set[str]:
        """Returns the nodes at which a caller must be served.

        Such a node runs and reaches a majority of the cores and most of the workers and of all machines. The set is
        empty if no majority of the cores is connected, or fewer than half of the workers are.
        """
        broken, cuts = self._active_faults(at_micros)
        connected_cores = self.connected_cores(at_micros, core_names)
        connected_workers = {
            w
            for w in worker_names - broken
            if sum((w, n) in cuts or (n, w) in cuts for n in node_names) <= len(node_names) // 2
        }
        if 2 * len(connected_cores) <= len(core_names) or 2 * len(connected_workers) < len(worker_names):
            return set()

        def reaches(node: str, others: set[str]) -> set[str]:
            return {o for o in others if (node, o) not in cuts and (o, node) not in cuts}

        return {
            n
            for n in node_names - broken
            if 2 * len(reaches(n, connected_cores)) > len(core_names)
            and 2 * len(reaches(n, connected_workers)) > len(connected_workers)
            and 2 * len(reaches(n, self.machine_names - {n})) > len(self.machine_names) - 1
        }

    def _active_faults(self, at_micros: int) -> tuple[set[str], set[tuple[str, ...]]]:
        """Returns the names affected by faults other than cuts, and the blocked (sender, receiver) pairs."""
        active_intervals = [i for i in self.intervals if i.start_micros <= at_micros < i.end_micros]
        return {i.names[0] for i in active_intervals if i.kind != "cut"}, {
            i.names for i in active_intervals if i.kind == "cut"
        }
