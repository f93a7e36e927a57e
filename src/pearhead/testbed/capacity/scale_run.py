"""A scale run (§9.12): grows a fleet along one axis, prints what it costs, and stops itself after a limit."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NoReturn

from pearhead.testbed.capacity.axes import Axis
from pearhead.testbed.capacity.report import fit_axis, fit_table_lines, plot_axis, table_lines

Row = dict[str, float]
SIZE_LIMIT_SECONDS = 230


def _stop(signal_number: int, frame: object) -> NoReturn:
    """Raises SystemExit in the running code, so that its cleanup stops the processes it started."""
    raise SystemExit(f"testbed: the run was stopped by signal {signal_number}")


def install_stop_handlers() -> None:
    """Makes SIGTERM, or a size that takes over `SIZE_LIMIT_SECONDS`, stop the run and all its processes."""
    for signal_number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(signal_number, _stop)


class ScaleRun:
    """Measures an axis, a fleet of its own for each size.

    Results are kept in a JSON file by axis and size, if one is named; a later run measures only what is not in it.
    """

    def __init__(
        self, name: str, axis: Axis, print_line: Callable[[str], None], results_path: Path | None = None
    ) -> None:
        self.name = name
        self.axis = axis
        self.print_line = print_line
        self.results_path = results_path

    def run(self, sizes: Sequence[int], plot_path: Path | None = None) -> bool:
        """Measures the sizes, prints the report, and writes the plot if a path is given.

        Returns whether each fitted figure, predicted for the largest size, lies within 20 % of its measured value.
        """
        results_by_axis: dict[str, dict[str, Row]] = {}
        if self.results_path is not None and self.results_path.exists():
            results_by_axis = json.loads(self.results_path.read_text())
        measured = results_by_axis.setdefault(self.name, {})
        for size in sizes:
            if str(size) not in measured:
                measured[str(size)] = self._measure(size)
                if self.results_path is not None:
                    self.results_path.write_text(json.dumps(results_by_axis, indent=1, ensure_ascii=False) + "\n")
        rows = [measured[str(size)] for size in sizes]
        fits = fit_axis(self.axis, sizes, rows)
        for line in [
            f"## {self.name}",
            "",
            *table_lines(self.axis.unit, sizes, rows),
            "",
            *fit_table_lines(self.axis, fits),
            "",
        ]:
            self.print_line(line)
        if plot_path is not None:
            plot_axis(self.axis, sizes, rows, plot_path)
        return all(f.is_within() for f in fits)

    def _measure(self, size: int) -> Row:
        signal.alarm(SIZE_LIMIT_SECONDS)
        try:
            return {name: float(f"{value:.6g}") for name, value in self.axis.run(size).items()}
        finally:
            signal.alarm(0)
