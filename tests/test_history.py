"""The checks on the history of numbered changes (§9.6): a valid history passes, and each violation is found."""

from __future__ import annotations

import unittest

from pearhead.testbed.simulator.history import (
    CONFLICT,
    DONE,
    NO_ANSWER,
    REFUSED,
    UNAVAILABLE,
    UNKNOWN,
    Change,
    ChangeAttempt,
    History,
    Read,
)

FIRST = Change(0, 1, "a")
LOSER = Change(0, 1, "b")
SECOND = Change(1, 2, "c")


def make_attempt(
    change: Change, start: int, end: int, status: str = DONE, reported_number: int | None = None
) -> ChangeAttempt:
    number = change.number if reported_number is None else reported_number
    return ChangeAttempt(change, "core-1", start, end, status, number if status == DONE else 0)


def make_read(start: int, end: int, number: int, content: str, *marks: str) -> Read:
    return Read("core-2", start, end, number, content, frozenset(marks))


def valid_attempts() -> list[ChangeAttempt]:
    return [
        make_attempt(FIRST, 10, 20, NO_ANSWER),
        make_attempt(LOSER, 11, 30, CONFLICT),
        make_attempt(FIRST, 25, 35),
        make_attempt(SECOND, 40, 60, UNKNOWN),
        make_attempt(SECOND, 61, 62, UNAVAILABLE),
        make_attempt(SECOND, 70, 80),
        make_attempt(FIRST, 90, 95),
    ]


def valid_reads() -> list[Read]:
    return [
        make_read(1, 5, 0, ""),
        make_read(12, 14, 0, ""),
        make_read(12, 18, 1, "a", "a"),
        make_read(50, 56, 2, "c", "a", "c"),
        make_read(85, 99, 2, "c", "a", "c"),
    ]


class HistoryTest(unittest.TestCase):
    def check(self, wanted: str, *change_attempts: ChangeAttempt, reads: tuple[Read, ...] = ()) -> None:
        """Adds these to a valid history and expects a fault that contains `wanted`."""
        history = History(valid_attempts(), valid_reads())
        self.assertEqual(history.find_faults(), [])
        history.change_attempts.extend(change_attempts)
        history.reads.extend(reads)
        self.assertTrue(any(wanted in fault for fault in history.find_faults()), history.find_faults())

    def test_a_sound_history_has_no_fault(self) -> None:
        self.assertEqual(History(valid_attempts(), valid_reads()).find_faults(), [])
        self.assertEqual(History(valid_attempts(), valid_reads()).first_contents(), {1: "a", 2: "c"})
        self.assertEqual(History().find_faults(), [])

    def test_two_contents_under_one_number(self) -> None:
        self.check("number 1 holds", make_attempt(LOSER, 31, 39))
        self.check("number 1 holds", reads=(make_read(36, 38, 1, "b", "b"),))

    def test_the_same_content_under_another_number_is_another_change(self) -> None:
        history = History(valid_attempts(), valid_reads())
        history.change_attempts.append(make_attempt(Change(0, 3, "a"), 36, 37, CONFLICT))
        history.change_attempts.append(make_attempt(Change(2, 3, "a"), 100, 110))
        history.reads.append(make_read(120, 130, 3, "a", "a", "c"))
        self.assertEqual(history.find_faults(), [])
        history.change_attempts.append(make_attempt(Change(2, 3, "a"), 140, 150, CONFLICT))
        self.assertIn("which is taken", history.find_faults()[0])

    def test_an_acknowledgement_of_another_order(self) -> None:
        self.check("acknowledged 2 where 1 was asked", make_attempt(FIRST, 100, 110, DONE, 2))

    def test_a_taken_change_is_never_refused_before_or_after(self) -> None:
        for status in (CONFLICT, REFUSED):
            self.check("which is taken", make_attempt(FIRST, 100, 110, status))
            self.check("which is taken", make_attempt(SECOND, 41, 42, status))

    def test_a_change_that_is_read_was_not_refused_though_nobody_was_told_done(self) -> None:
        third = Change(2, 3, "d")
        self.check(
            "which is taken",
            make_attempt(third, 100, 110, CONFLICT),
            reads=(make_read(120, 130, 3, "d", "a", "c", "d"),),
        )

    def test_what_never_ran_by_all_its_answers_is_not_in_force(self) -> None:
        third = Change(2, 3, "d")
        third_read = make_read(120, 130, 3, "d", "a", "c", "d")
        self.check(
            "each answer was that it did not run", make_attempt(third, 100, 110, UNAVAILABLE), reads=(third_read,)
        )
        history = History([*valid_attempts(), make_attempt(third, 100, 110, NO_ANSWER)], [*valid_reads(), third_read])
        self.assertEqual(history.find_faults(), [])

    def test_an_acknowledged_change_is_in_every_later_read(self) -> None:
        self.check("acknowledged at 80", reads=(make_read(81, 99, 1, "a", "a"),))
        self.check("acknowledged at 35", reads=(make_read(81, 99, 2, "c", "c"),))

    def test_reads_never_go_back_and_those_of_one_number_are_alike(self) -> None:
        self.check("saw 1 after 2", reads=(make_read(57, 60, 1, "a", "a"),))
        self.check("two reads of number 1 differ", reads=(make_read(21, 24, 1, "a", "a", "x"),))

    def test_nothing_is_read_that_nobody_had_asked_for(self) -> None:
        self.check("which nobody had asked for", reads=(make_read(100, 110, 9, "z", "a", "c", "z"),))
        self.check("which nobody had asked for", reads=(make_read(30, 38, 2, "c", "a", "c"),))
