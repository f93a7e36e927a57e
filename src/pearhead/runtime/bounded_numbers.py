"""Saturating numbers (§3.8): values from outside the process, fitted into the bounded fields that hold them.

Counts that other programs choose have no limit of their own, while wire fields and timers do. A count that only informs
a decision is saturated: it stays valid, and a larger one could not change the decision.
"""

from __future__ import annotations

MAX_UINT32 = 2**32 - 1
MAX_UINT64 = 2**64 - 1


def saturate(value: int, limit: int) -> int:
    """Returns `value`, or the nearer end of the range from 0 to `limit` if it is outside."""
    return min(max(value, 0), limit)


def parse_saturated(text: str, limit: int) -> int:
    """Reads a decimal integer of any length and saturates it to the range from 0 to `limit`.

    Raises ValueError for any other text.
    """
    stripped = text.strip()
    is_negative = stripped.startswith("-")
    digits = stripped[1:] if stripped[:1] in ("-", "+") else stripped
    if not digits.isascii() or not digits.isdecimal():
        raise ValueError(f"{text[:40]!r} is no decimal number")
    if is_negative:
        return 0
    significant_digits = digits.lstrip("0") or "0"
    # Python refuses to convert very long texts, so the length is compared first.
    if len(significant_digits) > len(str(limit)):
        return limit
    return min(int(significant_digits), limit)
