"""FaultLog (§9.6): which faults stand at which time, and whom the platform could know to be sound."""

from __future__ import annotations

from dataclasses import dataclass

NO_END_MICROS = 2**62


@dataclass
class FaultInterval:
    """`kind` is dead, frozen, cut, disk or burst; `names` is one machine, or the two ends of a cut one way."""

    kind: str
    names: tuple[str, ...]
    start_micros: int
    end_micros: int = NO_END_MICROS


class FaultLog:
    def __init__(self) -> None:
        self.intervals: list[FaultInterval] = []
        self.event_micros: list[int] = []
        self.machine_names: set[str] = set()

    def begin(self, kind: str, names: tuple[str, ...], at_micros: int) -> None:
        self.intervals.append(FaultInterval(kind, names, at_micros))
        self.event_micros.append(at_micros)

    def end(self, kind: str, names: tuple[str, ...], at_micros: int) -> None:
        for interval in self.intervals:
            if interval.kind == kind and interval.names == names and interval.end_micros == NO_END_MICROS:
                interval.end_micros = at_micros
                self.event_micros.append(at_micros)

    def record_disturbance(self, at_micros: int) -> None:
        """What is no fault of a machine and yet asks for patience: lost datagrams, a slow disk, a swap."""
        self.event_micros.append(at_micros)

    def is_quiet(self, at_micros: int, quiet_period_micros: int) -> bool:
        return not any(at_micros - quiet_period_micros < event <= at_micros for event in self.event_micros)

    def is_healthy(self, name: str, at_micros: int) -> bool:
        broken, cuts = self._state(at_micros)
        isolated = sum(name in pair for pair in cuts) > len(self.machine_names) // 2
        return name not in broken and not isolated

    def is_overloaded(self, at_micros: int) -> bool:
        return any(s.kind == "burst" and s.start_micros <= at_micros < s.end_micros for s in self.intervals)

    def was_frozen_between(self, name: str, start_micros: int, end_micros: int) -> bool:
        return any(
            s.kind == "frozen" and s.names == (name,) and s.start_micros <= end_micros and s.end_micros >= start_micros
            for s in self.intervals
        )

    def connected_cores(self, at_micros: int, core_names: set[str]) -> set[str]:
        """Cores that stand, and reach all others of these both ways; largest by number, then by name."""
        broken, cuts = self._state(at_micros)
        good = core_names - broken
        while True:
            cut_counts = {n: sum((n, o) in cuts or (o, n) in cuts for o in good) for n in sorted(good)}
            worst = max(cut_counts, key=lambda n: cut_counts[n], default="")
            if not worst or not cut_counts[worst]:
                return good
            good = good - {worst}

    def healthy_nodes(
        self, at_micros: int, node_names: set[str], core_names: set[str], worker_names: set[str]
    ) -> set[str]:
        """Nodes at which a caller must be served: they stand, and reach a majority of cores and most workers."""
        broken, cuts = self._state(at_micros)
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

    def _state(self, at_micros: int) -> tuple[set[str], set[tuple[str, ...]]]:
        now = [s for s in self.intervals if s.start_micros <= at_micros < s.end_micros]
        return {s.names[0] for s in now if s.kind != "cut"}, {s.names for s in now if s.kind == "cut"}
