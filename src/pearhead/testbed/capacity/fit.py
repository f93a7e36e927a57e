"""Least-squares fits of measured figures (§9.12), and the largest size predicted from the smaller ones.

The processor decides in which order numpy's linear algebra adds, and so which rounding error remains where the true
value is zero. Values within rounding error are set to zero, so that a fit is the same on every machine.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

MAX_ROUNDING_ERRORS = 64
"""How many rounding errors of the largest value may add up in a fit. Measured values are recorded to six digits; 64
rounding errors are 1.4e-14 of a value, far below the last digit."""


def rounding_tolerance(values: Sequence[float]) -> float:
    """The largest amount, in the unit of the values, that rounding alone may leave of a sum over them."""
    return float(MAX_ROUNDING_ERRORS * numpy.finfo(float).eps * max(abs(value) for value in values))


@dataclass(frozen=True)
class LinearFit:
    """y = intercept + slope * x + quadratic * x².

    `max_residual` is the largest absolute residual, in the unit of y.
    """

    intercept: float
    slope: float
    quadratic: float
    max_residual: float

    def predict(self, size: float) -> float:
        """The fitted value at a size."""
        return self.intercept + self.slope * size + self.quadratic * size * size


@dataclass(frozen=True)
class Check:
    """A check of a fit: the largest size, predicted from the smaller ones, and the value measured there."""

    size: float
    predicted: float
    measured: float

    def relative_error(self) -> float:
        """The relative error of the prediction; up to 0.2 is allowed."""
        return abs(self.predicted - self.measured) / abs(self.measured) if self.measured else 0.0


class Fitter:
    """Fits a line, or with `has_quadratic_term` a parabola.

    A coefficient whose term is at most `rounding_tolerance` at the largest size is set to zero.
    """

    def __init__(self, has_quadratic_term: bool = False) -> None:
        self.coefficient_count = 3 if has_quadratic_term else 2

    def fit(self, sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
        """Fits values over sizes. ValueError with fewer points than coefficients."""
        if len(sizes) < self.coefficient_count:
            raise ValueError(f"{self.coefficient_count} or more sizes are needed for the fit, got {len(sizes)}")
        matrix = numpy.vander(numpy.asarray(sizes, dtype=float), self.coefficient_count, increasing=True)
        observed = numpy.asarray(values, dtype=float)
        coefficients, *_ = numpy.linalg.lstsq(matrix, observed, rcond=None)
        tolerance = rounding_tolerance(values)
        largest_size = max(abs(size) for size in sizes)
        kept_coefficients = [0.0, 0.0, 0.0]
        for power, coefficient in enumerate(coefficients):
            if abs(coefficient) * largest_size**power > tolerance:
                kept_coefficients[power] = float(coefficient)
        max_residual = float(numpy.max(numpy.abs(matrix @ coefficients - observed)))
        return LinearFit(
            kept_coefficients[0],
            kept_coefficients[1],
            kept_coefficients[2],
            max_residual if max_residual > tolerance else 0.0,
        )

    def check(self, sizes: Sequence[float], values: Sequence[float]) -> Check:
        """Predicts the largest size by a fit without it. ValueError with too few sizes."""
        pairs = sorted(zip(sizes, values, strict=True))
        smaller = self.fit([s for s, _ in pairs[:-1]], [v for _, v in pairs[:-1]])
        size, measured = pairs[-1]
        return Check(size, smaller.predict(size), measured)
