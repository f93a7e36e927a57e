"""LinearFit (§9.12): slopes by least squares, and the largest size predicted from the smaller ones.

Which processor runs the fit decides in which order numpy's linear algebra adds, and so what rounding leaves where the
true figure is zero. Figures that are zero but for rounding are told as zero, so that a fit is the same everywhere.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

ROUNDING_UNITS = 64
"""So many roundings of the largest value may add up in a fit. Measured values are recorded to six digits: 64 roundings
are 1.4e-14 of a value, far below the last of them."""


def rounding_tolerance(values: Sequence[float]) -> float:
    """The largest amount, in the unit of the values, that rounding alone may leave of a sum over them."""
    return float(ROUNDING_UNITS * numpy.finfo(float).eps * max(abs(value) for value in values))


@dataclass(frozen=True)
class LinearFit:
    """y = base + slope * x + square * x²; `spread` is the largest residual, in the unit of y."""

    base: float
    slope: float
    square: float
    spread: float

    def at(self, size: float) -> float:
        return self.base + self.slope * size + self.square * size * size


@dataclass(frozen=True)
class Check:
    """The largest size, predicted from the smaller ones, against what was measured."""

    size: float
    predicted: float
    measured: float

    def off(self) -> float:
        """The share by which the prediction misses; 0.2 is allowed."""
        return abs(self.predicted - self.measured) / abs(self.measured) if self.measured else 0.0


class Fitter:
    """Fits a line, or with `has_square` a parabola. ValueError with fewer points than unknowns.

    A term that moves no value by more than `rounding_tolerance` within the sizes is zero.
    """

    def __init__(self, has_square: bool = False) -> None:
        self.unknowns = 3 if has_square else 2

    def fit(self, sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
        if len(sizes) < self.unknowns:
            raise ValueError(f"{self.unknowns} sizes or more are needed, not {len(sizes)}")
        matrix = numpy.vander(numpy.asarray(sizes, dtype=float), self.unknowns, increasing=True)
        wanted = numpy.asarray(values, dtype=float)
        found, *_ = numpy.linalg.lstsq(matrix, wanted, rcond=None)
        tolerance = rounding_tolerance(values)
        largest_size = max(abs(size) for size in sizes)
        terms = [0.0, 0.0, 0.0]
        for power, factor in enumerate(found):
            if abs(factor) * largest_size**power > tolerance:
                terms[power] = float(factor)
        spread = float(numpy.max(numpy.abs(matrix @ found - wanted)))
        return LinearFit(terms[0], terms[1], terms[2], spread if spread > tolerance else 0.0)

    def check(self, sizes: Sequence[float], values: Sequence[float]) -> Check:
        """Leaves the largest size out of the fit. ValueError with too few sizes."""
        pairs = sorted(zip(sizes, values, strict=True))
        smaller = self.fit([s for s, _ in pairs[:-1]], [v for _, v in pairs[:-1]])
        size, measured = pairs[-1]
        return Check(size, smaller.at(size), measured)
