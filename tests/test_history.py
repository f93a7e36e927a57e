"""What operators saw of numbered changes (§9.6): a sound history, and a breach of each rule planted in it."""

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


def order(
    change: Change, start: int, end: int, status: str = DONE, reported_number: int | None = None
) -> ChangeAttempt:
    number = change.number if reported_number is None else reported_number
    return ChangeAttempt(change, "core-1", start, end, status, number if status == DONE else 0)


def read(start: int, end: int, number: int, content: str, *marks: str) -> Read:
    return Read("core-2", start, end, number, content, frozenset(marks))


def sound_orders() -> list[ChangeAttempt]:
    return [
        order(FIRST, 10, 20, NO_ANSWER),
        order(LOSER, 11, 30, CONFLICT),
        order(FIRST, 25, 35),
        order(SECOND, 40, 60, UNKNOWN),
        order(SECOND, 61, 62, UNAVAILABLE),
        order(SECOND, 70, 80),
        order(FIRST, 90, 95),
    ]


def sound_reads() -> list[Read]:
    return [
        read(1, 5, 0, ""),
        read(12, 14, 0, ""),
        read(12, 18, 1, "a", "a"),
        read(50, 56, 2, "c", "a", "c"),
        read(85, 99, 2, "c", "a", "c"),
    ]


class HistoryTest(unittest.TestCase):
    def check(self, wanted: str, *change_attempts: ChangeAttempt, reads: tuple[Read, ...] = ()) -> None:
        """These break the rule, and nothing before they came did."""
        history = History(sound_orders(), sound_reads())
        self.assertEqual(history.find_faults(), [])
        history.change_attempts.extend(change_attempts)
        history.reads.extend(reads)
        self.assertTrue(any(wanted in fault for fault in history.find_faults()), history.find_faults())

    def test_a_sound_history_has_no_fault(self) -> None:
        self.assertEqual(History(sound_orders(), sound_reads()).find_faults(), [])
        self.assertEqual(History(sound_orders(), sound_reads()).first_contents(), {1: "a", 2: "c"})
        self.assertEqual(History().find_faults(), [])

    def test_two_contents_under_one_number(self) -> None:
        self.check("number 1 holds", order(LOSER, 31, 39))
        self.check("number 1 holds", reads=(read(36, 38, 1, "b", "b"),))

    def test_the_same_content_under_another_number_is_another_change(self) -> None:
        history = History(sound_orders(), sound_reads())
        history.change_attempts.append(order(Change(0, 3, "a"), 36, 37, CONFLICT))
        history.change_attempts.append(order(Change(2, 3, "a"), 100, 110))
        history.reads.append(read(120, 130, 3, "a", "a", "c"))
        self.assertEqual(history.find_faults(), [])
        history.change_attempts.append(order(Change(2, 3, "a"), 140, 150, CONFLICT))
        self.assertIn("which is taken", history.find_faults()[0])

    def test_an_acknowledgement_of_another_order(self) -> None:
        self.check("acknowledged 2 where 1 was asked", order(FIRST, 100, 110, DONE, 2))

    def test_a_taken_change_is_never_refused_before_or_after(self) -> None:
        for status in (CONFLICT, REFUSED):
            self.check("which is taken", order(FIRST, 100, 110, status))
            self.check("which is taken", order(SECOND, 41, 42, status))

    def test_a_change_that_is_read_was_not_refused_though_nobody_was_told_done(self) -> None:
        third = Change(2, 3, "d")
        self.check("which is taken", order(third, 100, 110, CONFLICT), reads=(read(120, 130, 3, "d", "a", "c", "d"),))

    def test_what_never_ran_by_all_its_answers_is_not_in_force(self) -> None:
        third = Change(2, 3, "d")
        seen = read(120, 130, 3, "d", "a", "c", "d")
        self.check("each answer was that it did not run", order(third, 100, 110, UNAVAILABLE), reads=(seen,))
        history = History([*sound_orders(), order(third, 100, 110, NO_ANSWER)], [*sound_reads(), seen])
        self.assertEqual(history.find_faults(), [])

    def test_an_acknowledged_change_is_in_every_later_read(self) -> None:
        self.check("acknowledged at 80", reads=(read(81, 99, 1, "a", "a"),))
        self.check("acknowledged at 35", reads=(read(81, 99, 2, "c", "c"),))

    def test_reads_never_go_back_and_those_of_one_number_are_alike(self) -> None:
        self.check("saw 1 after 2", reads=(read(57, 60, 1, "a", "a"),))
        self.check("two reads of number 1 differ", reads=(read(21, 24, 1, "a", "a", "x"),))

    def test_nothing_is_read_that_nobody_had_asked_for(self) -> None:
        self.check("which nobody had asked for", reads=(read(100, 110, 9, "z", "a", "c", "z"),))
        self.check("which nobody had asked for", reads=(read(30, 38, 2, "c", "a", "c"),))
