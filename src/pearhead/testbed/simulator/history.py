"""Records what concurrent operators observed of numbered changes, and checks that one order explains it (§9.6)."""

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
    """A change of the description that an operator asks for.

    Attributes:
        base: Number of the change that it builds on.
        number: Its own number.
        content: Identifies the content of the change.
        is_marked: Whether it also adds a tenant named after its content, which no later change removes.
    """

    base: int
    number: int
    content: str
    is_marked: bool = True


@dataclass
class ChangeAttempt:
    """One request of an operator for a change, at one core.

    Attributes:
        change: The requested change.
        core: Name of the core.
        start_micros: When the request was sent.
        end_micros: When the answer came or the operator gave up; 0 until then.
        status: The answer; NO_ANSWER until it comes, and if none comes.
        reported_number: The change number in the answer; 0 without one.
    """

    change: Change
    core: str
    start_micros: int
    end_micros: int = 0
    status: str = NO_ANSWER
    reported_number: int = 0


@dataclass(frozen=True)
class Read:
    """A description that a core returned as the current one.

    Attributes:
        core: Name of the core.
        start_micros: When the request was sent.
        end_micros: When the answer came.
        number: Number of the latest change in it; 0 before the first.
        content: Content of that change.
        marks: Contents of all marked changes in it.
    """

    core: str
    start_micros: int
    end_micros: int
    number: int
    content: str
    marks: frozenset[str]


@dataclass
class History:
    """All attempts and reads of a run, and the checks on them."""

    change_attempts: list[ChangeAttempt] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)

    def find_faults(self) -> list[str]:
        """Returns a description of each contradiction between the observations; empty for a consistent history."""
        return [
            *self._find_conflicting_contents(),
            *self._find_wrong_answers(),
            *self._find_wrong_refusals(),
            *self._find_lost_changes(),
            *self._find_regressions(),
            *self._find_unrequested(),
        ]

    def first_contents(self) -> dict[int, str]:
        """Returns the content under each number, as the first observation of that number gives it."""
        found: dict[int, str] = {}
        for number, content, _ in self._observations():
            found.setdefault(number, content)
        return found

    def accepted_changes(self) -> set[Change]:
        """Returns the changes that are known to have been accepted.

        These are the acknowledged ones, and those seen in a read if only one requested change has their number and
        content; with several bases, a read can't tell which of them was accepted.
        """
        found = {attempt.change for attempt in self.change_attempts if attempt.status == DONE}
        requested: dict[tuple[int, str], set[Change]] = {}
        for attempt in self.change_attempts:
            requested.setdefault((attempt.change.number, attempt.change.content), set()).add(attempt.change)
        for read in self.reads:
            changes = requested.get((read.number, read.content), set())
            if len(changes) == 1:
                found |= changes
        return found

    def _observations(self) -> Iterator[tuple[int, str, str]]:
        """Yields number, content and source of each observation: acknowledgements first, then reads."""
        for attempt in self.change_attempts:
            if attempt.status == DONE:
                yield (
                    attempt.change.number,
                    attempt.change.content,
                    f"an answer from {attempt.core} at {attempt.end_micros}",
                )
        for read in self.reads:
            if read.number:
                yield read.number, read.content, f"a read at {read.core} at {read.end_micros}"

    def _find_conflicting_contents(self) -> list[str]:
        """Finds numbers under which two contents were observed."""
        first_contents = self.first_contents()
        return [
            f"number {number} holds {first_contents[number]!r}, and {content!r} according to {source}"
            for number, content, source in self._observations()
            if content != first_contents[number]
        ]

    def _find_wrong_answers(self) -> list[str]:
        """Finds acknowledgements that report another number than the requested one."""
        return [
            f"{attempt.core} acknowledged {attempt.reported_number} where {attempt.change.number} was asked"
            for attempt in self.change_attempts
            if attempt.status == DONE and attempt.reported_number != attempt.change.number
        ]

    def _find_wrong_refusals(self) -> list[str]:
        """Finds accepted changes that were definitely refused at any time, or did not run according to every answer."""
        accepted = self.accepted_changes()
        faults = []
        attempts: dict[Change, list[ChangeAttempt]] = {}
        for attempt in self.change_attempts:
            is_accepted = attempt.change in accepted
            if is_accepted and attempt.status in DEFINITE_REFUSALS:
                faults.append(
                    f"{attempt.core} answered {attempt.status} to {attempt.change.number} {attempt.change.content!r} "
                    f"at {attempt.end_micros}, which is taken"
                )
            if is_accepted:
                attempts.setdefault(attempt.change, []).append(attempt)
        for change, change_attempts in attempts.items():
            if all(attempt.status in NOT_RUN for attempt in change_attempts):
                faults.append(f"{change.number} {change.content!r} is taken, and each answer was that it did not run")
        return faults

    def _find_lost_changes(self) -> list[str]:
        """Finds reads that lack a change which was acknowledged before they began."""
        acknowledged = sorted((a for a in self.change_attempts if a.status == DONE), key=lambda a: a.end_micros)
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
        """Finds reads with a lower number than a read that ended before they began, and unequal reads of one number."""
        faults = []
        marks: dict[int, frozenset[str]] = {}
        by_end = sorted(self.reads, key=lambda read: read.end_micros)
        highest_number, ended_count = 0, 0
        for read in sorted(self.reads, key=lambda read: read.start_micros):
            while by_end[ended_count].end_micros < read.start_micros:
                highest_number = max(highest_number, by_end[ended_count].number)
                ended_count += 1
            if read.number < highest_number:
                faults.append(f"a read at {read.core} at {read.start_micros} saw {read.number} after {highest_number}")
            if marks.setdefault(read.number, read.marks) != read.marks:
                faults.append(f"two reads of number {read.number} differ")
        return faults

    def _find_unrequested(self) -> list[str]:
        """Finds reads of a change that nobody had requested before the read ended."""
        first_request_micros: dict[tuple[int, str], int] = {}
        for attempt in self.change_attempts:
            key = (attempt.change.number, attempt.change.content)
            first_request_micros[key] = min(first_request_micros.get(key, attempt.start_micros), attempt.start_micros)
        return [
            f"a read at {read.core} saw {read.number} {read.content!r}, which nobody had asked for"
            for read in self.reads
            if read.number and first_request_micros.get((read.number, read.content), read.end_micros) >= read.end_micros
        ]
