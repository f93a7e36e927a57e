"""FaultBook (§9.6): which faults stand at which time, and whom the platform could know to be sound."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

ALWAYS = 2**62


@dataclass
class Standing:
    """`kind` is dead, frozen, cut, disk or burst; `names` is one machine, or the two ends of a cut one way."""

    kind: str
    names: tuple[str, ...]
    startMicros: int
    endMicros: int = ALWAYS


class FaultBook:
    def __init__(self) -> None:
        self.standings: list[Standing] = []
        self.eventMicros: list[int] = []
        self.machineNames: set[str] = set()

    def begin(self, kind: str, names: tuple[str, ...], atMicros: int) -> None:
        self.standings.append(Standing(kind, names, atMicros))
        self.eventMicros.append(atMicros)

    def end(self, kind: str, names: tuple[str, ...], atMicros: int) -> None:
        for standing in self.standings:
            if standing.kind == kind and standing.names == names and standing.endMicros == ALWAYS:
                standing.endMicros = atMicros
                self.eventMicros.append(atMicros)

    def disturb(self, atMicros: int) -> None:
        """What is no fault of a machine and yet asks for patience: lost datagrams, a slow disk, a swap."""
        self.eventMicros.append(atMicros)

    def is_quiet(self, atMicros: int, forMicros: int) -> bool:
        return not any(atMicros - forMicros < event <= atMicros for event in self.eventMicros)

    def stands(self, name: str, atMicros: int) -> bool:
        broken, cuts = self._state(atMicros)
        isolated = sum(name in pair for pair in cuts) > len(self.machineNames) // 2
        return name not in broken and not isolated

    def is_overloaded(self, atMicros: int) -> bool:
        return any(s.kind == "burst" and s.startMicros <= atMicros < s.endMicros for s in self.standings)

    def froze_between(self, name: str, startMicros: int, endMicros: int) -> bool:
        return any(
            s.kind == "frozen" and s.names == (name,) and s.startMicros <= endMicros and s.endMicros >= startMicros
            for s in self.standings
        )

    def good_cores(self, atMicros: int, coreNames: set[str]) -> set[str]:
        """Cores that stand, and reach all others of these both ways; largest by number, then by name."""
        broken, cuts = self._state(atMicros)
        good = coreNames - broken
        while True:
            cutCounts = {n: sum((n, o) in cuts or (o, n) in cuts for o in good) for n in sorted(good)}
            worst = max(cutCounts, key=lambda n: cutCounts[n], default="")
            if not worst or not cutCounts[worst]:
                return good
            good = good - {worst}

    def sound_nodes(self, atMicros: int, nodeNames: set[str], coreNames: set[str], workerNames: set[str]) -> set[str]:
        """Nodes at which a caller must be served: they stand, and reach a majority of cores and most workers."""
        broken, cuts = self._state(atMicros)
        goodCores = self.good_cores(atMicros, coreNames)
        goodWorkers = {
            w for w in workerNames - broken
            if sum((w, n) in cuts or (n, w) in cuts for n in nodeNames) <= len(nodeNames) // 2
        }
        if 2 * len(goodCores) <= len(coreNames) or 2 * len(goodWorkers) < len(workerNames):
            return set()

        def reaches(node: str, others: set[str]) -> set[str]:
            return {o for o in others if (node, o) not in cuts and (o, node) not in cuts}

        return {
            n for n in nodeNames - broken
            if 2 * len(reaches(n, goodCores)) > len(coreNames)
            and 2 * len(reaches(n, goodWorkers)) > len(goodWorkers)
            and 2 * len(reaches(n, self.machineNames - {n})) > len(self.machineNames) - 1
        }

    def _state(self, atMicros: int) -> tuple[set[str], set[tuple[str, ...]]]:
        now = [s for s in self.standings if s.startMicros <= atMicros < s.endMicros]
        return {s.names[0] for s in now if s.kind != "cut"}, {s.names for s in now if s.kind == "cut"}


class FaultBookTest(unittest.TestCase):
    def test_who_is_sound_while_faults_stand(self) -> None:
        book = FaultBook()
        cores, nodes, workers = {"c1", "c2", "c3"}, {"n1", "n2"}, {"w1", "w2", "w3"}
        book.machineNames = cores | nodes | workers
        self.assertEqual(book.sound_nodes(0, nodes, cores, workers), nodes)
        book.begin("dead", ("c1",), 10)
        book.begin("frozen", ("n1",), 10)
        self.assertEqual(book.sound_nodes(20, nodes, cores, workers), {"n2"})
        self.assertEqual(book.sound_nodes(5, nodes, cores, workers), nodes)
        book.begin("cut", ("c2", "c3"), 30)
        self.assertEqual(book.sound_nodes(40, nodes, cores, workers), set(), "no majority reaches one another")
        book.end("dead", ("c1",), 50)
        self.assertEqual(len(book.good_cores(60, cores)), 2)
        self.assertEqual(book.sound_nodes(60, nodes, cores, workers), {"n2"})
        self.assertTrue(book.froze_between("n1", 0, 10))
        self.assertFalse(book.froze_between("n1", 0, 9))
        self.assertTrue(book.is_quiet(49, 18) and not book.is_quiet(49, 20))
        for worker in workers:
            book.begin("dead", (worker,), 70)
        self.assertEqual(book.sound_nodes(80, nodes, cores, workers), set())
