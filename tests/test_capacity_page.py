"""The capacity page (§11.1): its tables must follow from the measured figures and from nothing else.

Guards against a page that was edited by hand, or not printed anew after a change of the model or of the figures.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any

from pearhead.testbed.capacity.axes import AXES
from pearhead.testbed.capacity.mechanisms import MECHANISMS
from pearhead.testbed.capacity.model import COST_FIGURES, TARGET, AxisFits, growth_lines, value_text
from pearhead.testbed.capacity.page import page_lines

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs" / "capacity.json"


class CapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows: dict[str, Any] = json.loads(RESULTS.read_text())
        self.axis_fits = AxisFits(self.rows)

    def test_every_line_of_the_page_follows_from_what_was_measured(self) -> None:
        page = (ROOT / "docs" / "CAPACITY.md").read_text().splitlines()
        self.assertEqual([x for x in page_lines(self.rows) if x not in page], [])

    def test_every_axis_was_measured_at_five_sizes_or_more(self) -> None:
        self.assertEqual(set(self.rows), set(AXES))
        self.assertEqual([n for n, rows_by_size in self.rows.items() if len(rows_by_size) < 5], [])

    def test_a_smaller_fleet_keeps_its_shape(self) -> None:
        small = TARGET.scaled(12)
        self.assertAlmostEqual(small.workers, 100)
        self.assertAlmostEqual(small.events / small.workers, TARGET.events / TARGET.workers)
        self.assertEqual(small.models, 1)
        budgeted = [c for c in COST_FIGURES if c.budget is not None]
        self.assertEqual(len(growth_lines(self.axis_fits)), len(budgeted) + 2)
        for cost_figure in budgeted:
            self.assertTrue(cost_figure.budget_source)
            self.assertEqual(
                cost_figure.is_over(self.axis_fits, TARGET),
                cost_figure.value(self.axis_fits, TARGET) > (cost_figure.budget or 0),
            )

    def test_every_mechanism_names_sections_of_the_design_and_is_weighed_against_two(self) -> None:
        design = (ROOT / "docs" / "design.md").read_text()
        for mechanism in MECHANISMS:
            for section in mechanism.replaces.split(", "):
                self.assertIn(f"\n### {section.removeprefix('§')} ", design)
            for alternative in (mechanism.chosen, *mechanism.alternatives):
                self.assertGreater(alternative.value(self.axis_fits, TARGET), 0)

    def test_values_are_told_in_their_units(self) -> None:
        self.assertEqual(value_text(1_234_567, "B"), "1.23 MB")
        self.assertEqual(value_text(0.0282, "cores"), "0.0282 cores")
        self.assertEqual(value_text(20_000, "volumes"), "20,000 volumes")
