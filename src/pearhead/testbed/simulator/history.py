"""History (§9.6): what concurrent operators saw of changes under their numbers, and whether one order explains it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

DONE, CONFLICT, REFUSED, UNAVAILABLE, UNKNOWN, NO_ANSWER = (
    "done",
    "conflict",
    "refused",
    "unavailable",
    "unknown",
    "no answer",
)
DEFINITE_REFUSALS = (CONFLICT, REFUSED)
NOT_RUN = (CONFLICT, REFUSED, UNAVAILABLE)


@dataclass(frozen=True)
class Change:
    """`content` tells changes apart; a marked one also leaves a tenant of that name, which stays for good."""

    base: int
    number: int
    content: str
    is_marked: bool = True


@dataclass
class ChangeAttempt:
    """One attempt of an operator at one core. An open one has seen no answer yet."""

    change: Change
    core: str
    start_micros: int
    end_micros: int = 0
    status: str = NO_ANSWER
    reported_number: int = 0


@dataclass(frozen=True)
class Read:
    """A description that a core told as the one of now."""

    core: str
    start_micros: int
    end_micros: int
    number: int
    content: str
    marks: frozenset[str]


@dataclass
class History:
    change_attempts: list[ChangeAttempt] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)

    def find_faults(self) -> list[str]:
        return [
            *self._find_conflicting_contents(),
            *self._find_wrong_answers(),
            *self._find_wrong_refusals(),
            *self._find_lost_changes(),
            *self._find_regressions(),
            *self._find_unrequested(),
        ]

    def first_contents(self) -> dict[int, str]:
        """The content under each number, by the first that told of it."""
        found: dict[int, str] = {}
        for number, content, _ in self._observations():
            found.setdefault(number, content)
        return found

    def taken(self) -> set[Change]:
        """Those acknowledged; and those read, where number and content were asked for on one base only."""
        found = {attempt.change for attempt in self.change_attempts if attempt.status == DONE}
        asked: dict[tuple[int, str], set[Change]] = {}
        for attempt in self.change_attempts:
            asked.setdefault((attempt.change.number, attempt.change.content), set()).add(attempt.change)
        for read in self.reads:
            changes = asked.get((read.number, read.content), set())
            if len(changes) == 1:
                found |= changes
        return found

    def _observations(self) -> Iterator[tuple[int, str, str]]:
        for attempt in self.change_attempts:
            if attempt.status == DONE:
                yield (
                    attempt.change.number,
                    attempt.change.content,
                    f"an answer of {attempt.core} at {attempt.end_micros}",
                )
        for read in self.reads:
            if read.number:
                yield read.number, read.content, f"a read at {read.core} at {read.end_micros}"

    def _find_conflicting_contents(self) -> list[str]:
        first_contents = self.first_contents()
        return [
            f"number {number} holds {first_contents[number]!r}, and {content!r} by {source}"
            for number, content, source in self._observations()
            if content != first_contents[number]
        ]

    def _find_wrong_answers(self) -> list[str]:
        return [
            f"{attempt.core} acknowledged {attempt.reported_number} where {attempt.change.number} was asked"
            for attempt in self.change_attempts
            if attempt.status == DONE and attempt.reported_number != attempt.change.number
        ]

    def _find_wrong_refusals(self) -> list[str]:
        """A clear refusal, before or after, of what was taken; or nothing but answers that it was not run."""
        taken = self.taken()
        faults = []
        attempts: dict[Change, list[ChangeAttempt]] = {}
        for attempt in self.change_attempts:
            is_taken = attempt.change in taken
            if is_taken and attempt.status in DEFINITE_REFUSALS:
                faults.append(
                    f"{attempt.core} told {attempt.status} of {attempt.change.number} {attempt.change.content!r} at "
                    f"{attempt.end_micros}, which is taken"
                )
            if is_taken:
                attempts.setdefault(attempt.change, []).append(attempt)
        for change, change_attempts in attempts.items():
            if all(attempt.status in NOT_RUN for attempt in change_attempts):
                faults.append(f"{change.number} {change.content!r} is taken, and each answer was that it did not run")
        return faults

    def _find_lost_changes(self) -> list[str]:
        acknowledged = sorted((o for o in self.change_attempts if o.status == DONE), key=lambda o: o.end_micros)
        faults = []
        for read in self.reads:
            for attempt in acknowledged:
                if attempt.end_micros >= read.start_micros:
                    break
                change = attempt.change
                is_missing = change.is_marked and change.content not in read.marks
                if read.number < change.number or is_missing:
                    faults.append(
                        f"a read at {read.core} at {read.start_micros} saw {read.number} without "
                        f"{change.number} {change.content!r}, acknowledged at {attempt.end_micros}"
                    )
                    break
        return faults

    def _find_regressions(self) -> list[str]:
        """Reads that follow one another never go back, and those of one number are alike."""
        faults = []
        marks: dict[int, frozenset[str]] = {}
        by_end = sorted(self.reads, key=lambda read: read.end_micros)
        before, passed_count = 0, 0
        for read in sorted(self.reads, key=lambda read: read.start_micros):
            while by_end[passed_count].end_micros < read.start_micros:
                before = max(before, by_end[passed_count].number)
                passed_count += 1
            if read.number < before:
                faults.append(f"a read at {read.core} at {read.start_micros} saw {read.number} after {before}")
            if marks.setdefault(read.number, read.marks) != read.marks:
                faults.append(f"two reads of number {read.number} differ")
        return faults

    def _find_unrequested(self) -> list[str]:
        """Nothing is in force that nobody had asked for by then."""
        first_request_micros: dict[tuple[int, str], int] = {}
        for attempt in self.change_attempts:
            key = (attempt.change.number, attempt.change.content)
            first_request_micros[key] = min(first_request_micros.get(key, attempt.start_micros), attempt.start_micros)
        return [
            f"a read at {read.core} saw {read.number} {read.content!r}, which nobody had asked for"
            for read in self.reads
            if read.number and first_request_micros.get((read.number, read.content), read.end_micros) >= read.end_micros
        ]
