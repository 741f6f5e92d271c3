"""Fits the growth of a metric with size: its kind, its slope, and the size at which it exceeds a budget.

Each kind is a line `base + slope * shape(size)`, fitted by least squares of the relative error, so that small
sizes count as much as large ones. A metric whose range is within `FLAT` of its mean is flat. Otherwise the
kind with the least error is taken, and a steeper one only if its error is below `STEEPER_ERROR_RATIO` of the
gentler one's.
"""

import math
import statistics
from collections.abc import Callable, Sequence
from enum import StrEnum

from msgspec import Struct

FLAT = 0.10  # range relative to the mean
STEEPER_ERROR_RATIO = 0.7  # of the gentler kind's error
TINY = 1e-12
MAX_DOUBLINGS = 64  # beyond this many doublings a size counts as infinite


class Kind(StrEnum):
    """How a metric grows."""

    FLAT = "flat"
    LOG = "log"
    LINEAR = "linear"
    WORSE = "worse"


SHAPES: dict[Kind, Callable[[float], float]] = {
    Kind.FLAT: lambda size: 0.0,
    Kind.LOG: math.log2,
    Kind.LINEAR: lambda size: size,
    Kind.WORSE: lambda size: size * size,
}


class Fit(Struct, frozen=True):
    """The fit of a metric. `slope` is per unit of size, per doubling (log), or per size squared (worse)."""

    kind: Kind
    base: float
    slope: float
    slope_low: float  # least and greatest over the repeats
    slope_high: float
    error: float  # the root mean square of the relative error at the fitted sizes

    def at(self, size: float) -> float:
        return self.base + self.slope * SHAPES[self.kind](size)

    def crossing(self, most: float) -> float:
        """The size at which the metric reaches `most`; infinite if it never does."""
        if self.at(1) >= most:
            return 1.0
        if self.slope <= 0 or self.kind is Kind.FLAT:
            return math.inf
        shape = (most - self.base) / self.slope
        if self.kind is Kind.LOG:
            return 2.0**shape if shape < MAX_DOUBLINGS else math.inf
        return math.sqrt(shape) if self.kind is Kind.WORSE else shape


def fit_line(kind: Kind, sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float, float]:
    """Base, slope and error of one kind, each point weighted by the inverse square of its value."""
    floor = max(map(abs, values)) * 1e-3 or TINY
    weights = [(floor / max(abs(value), floor)) ** 2 for value in values]
    shapes = [SHAPES[kind](size) for size in sizes]
    total = sum(weights)
    mean_shape = sum(w * x for w, x in zip(weights, shapes, strict=True)) / total
    mean_value = sum(w * y for w, y in zip(weights, values, strict=True)) / total
    spread = sum(w * (x - mean_shape) ** 2 for w, x in zip(weights, shapes, strict=True))
    weighted_points = zip(weights, shapes, values, strict=True)
    slope = (
        sum(w * (x - mean_shape) * (y - mean_value) for w, x, y in weighted_points) / spread
        if spread > TINY
        else 0
    )
    base = mean_value - slope * mean_shape
    points = zip(shapes, values, strict=True)
    squared_errors = [((base + slope * x - y) / max(abs(y), floor)) ** 2 for x, y in points]
    return base, slope, math.sqrt(sum(squared_errors) / len(squared_errors))


def kind_of(sizes: Sequence[float], values: Sequence[float], flat: float = FLAT) -> Kind:
    """The kind of growth over the sizes; a metric that decreases counts as flat."""
    mean = statistics.fmean(values)
    if max(values) - min(values) <= flat * max(abs(mean), TINY) or values[-1] <= values[0]:
        return Kind.FLAT
    chosen, least = Kind.LOG, fit_line(Kind.LOG, sizes, values)[2]
    for kind in (Kind.LINEAR, Kind.WORSE):
        error = fit_line(kind, sizes, values)[2]
        if error < STEEPER_ERROR_RATIO * least:
            chosen, least = kind, error
    return chosen


def fit(sizes: Sequence[float], repeats: Sequence[Sequence[float]]) -> Fit:
    """`repeats` holds the values at all sizes for each repeat; the fit is of the median at each size."""
    medians = [statistics.median(column) for column in zip(*repeats, strict=True)]
    kind = kind_of(sizes, medians)
    base, slope, error = fit_line(kind, sizes, medians)
    if kind is Kind.FLAT:
        base, slope = statistics.median(medians), 0.0
    slopes = [fit_line(kind, sizes, values)[1] for values in repeats]
    return Fit(kind, base, slope, min(slopes), max(slopes), error)
