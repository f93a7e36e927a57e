"""Report of a scale run (§9.12): tables, fits, predicted against measured values, and the plot."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from pearhead.testbed.capacity.axes import Axis
from pearhead.testbed.capacity.fit import Fitter

Row = dict[str, float]
MAX_RELATIVE_ERROR = 0.2
PLOT_COLUMNS = 2


@dataclass(frozen=True)
class FigureFit:
    """The fit of one figure along an axis.

    `at_target` is its extrapolation to the axis's target; `predicted` and `measured` belong to the largest size.
    """

    figure: str
    intercept: float
    slope: float
    quadratic: float
    max_residual: float
    at_target: float
    predicted: float
    measured: float

    def is_within(self) -> bool:
        """Whether the value predicted for the largest size lies within 20 % of the measured one."""
        return abs(self.predicted - self.measured) <= MAX_RELATIVE_ERROR * abs(self.measured)


def fit_axis(axis: Axis, sizes: Sequence[int], rows: Sequence[Row]) -> list[FigureFit]:
    """One fit per fitted figure; a figure with too few sizes is left out."""
    figure_fits = []
    for figure, has_quadratic_term in axis.fitted_figures.items():
        fitter = Fitter(has_quadratic_term)
        if len(sizes) <= fitter.coefficient_count:
            continue
        values = [row[figure] for row in rows]
        fit, check = fitter.fit(sizes, values), fitter.check(sizes, values)
        figure_fits.append(
            FigureFit(
                figure,
                fit.intercept,
                fit.slope,
                fit.quadratic,
                fit.max_residual,
                fit.predict(axis.target),
                check.predicted,
                check.measured,
            )
        )
    return figure_fits


def table_lines(unit: str, sizes: Sequence[int], rows: Sequence[Row]) -> list[str]:
    """The measured figures as a Markdown table, a column per size."""
    lines = [f"| {unit} | " + " | ".join(f"{s:,}" for s in sizes) + " |", "| --- |" + " --- |" * len(sizes)]
    return lines + [f"| {name} | " + " | ".join(_figure_text(row[name]) for row in rows) + " |" for name in rows[0]]


def _figure_text(value: float) -> str:
    return f"{value:,.4g}" if abs(value) < 1e4 else f"{value:,.0f}"


def fit_table_lines(axis: Axis, fits: Sequence[FigureFit]) -> list[str]:
    """The fits as a Markdown table."""
    lines = [
        f"| figure | at 0 | a unit ({axis.unit}) | its square | largest miss | at {axis.target:,.0f} |"
        " largest size: predicted | measured | within 20 % |",
        "| --- |" + " --- |" * 8,
    ]
    return lines + [
        f"| {f.figure} | {f.intercept:.4g} | {f.slope:.4g} | {f.quadratic:.3g} |"
        f" {f.max_residual:.3g} | {f.at_target:.4g} |"
        f" {f.predicted:.4g} | {f.measured:.4g} | {'yes' if f.is_within() else 'no'} |"
        for f in fits
    ]


def plot_axis(axis: Axis, sizes: Sequence[int], rows: Sequence[Row], path: Path) -> None:
    """Writes measured points and fitted curves, one panel per figure. OSError if the file can't be written."""
    import matplotlib

    matplotlib.use("Agg")
    # Makes the file reproducible from the same points, and keeps its text as text.
    matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "pearhead"})
    from matplotlib import pyplot

    fits = fit_axis(axis, sizes, rows)
    row_count = -(-len(fits) // PLOT_COLUMNS)
    figure, panels = pyplot.subplots(
        max(1, row_count), PLOT_COLUMNS, figsize=(10, 2.6 * max(1, row_count)), squeeze=False
    )
    for panel, fit in zip(panels.flat, fits, strict=False):
        panel.plot(sizes, [row[fit.figure] for row in rows], "o", label="measured")
        grid = [max(sizes) * step / 50 for step in range(51)]
        panel.plot(grid, [fit.intercept + fit.slope * x + fit.quadratic * x * x for x in grid], "-", label="fitted")
        panel.set_title(fit.figure, fontsize=9)
        panel.set_xlabel(axis.unit, fontsize=8)
        panel.set_ylim(bottom=0)
    for panel in list(panels.flat)[len(fits) :]:
        panel.set_axis_off()
    panels.flat[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
