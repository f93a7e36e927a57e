"""All tables of docs/CAPACITY.md (§9.12), printed anew from what the scale runs measured."""

from __future__ import annotations

from pearhead.testbed.capacity.mechanisms import mechanism_lines
from pearhead.testbed.capacity.model import AxisFits, Rows, capacity_lines, fit_lines, growth_lines


def page_parts(rows: Rows) -> dict[str, list[str]]:
    """Lines by part: costs of each role, their growth, the alternatives to today's mechanisms, and the measurements."""
    axis_fits = AxisFits(rows)
    return {
        "roles": capacity_lines(axis_fits),
        "growth": growth_lines(axis_fits),
        "mechanisms": mechanism_lines(axis_fits),
        "measured": fit_lines(rows),
    }


def page_lines(rows: Rows) -> list[str]:
    """All parts, one after the other."""
    return [line for lines in page_parts(rows).values() for line in [*lines, ""]]
