"""Draws the function of each call of a dispatcher by the assumed distribution, from a seed."""

import random
from bisect import bisect_right
from collections.abc import Iterator
from functools import cache
from typing import Any

import numpy
from msgspec import Struct

from benchmarks.scale.assumptions import Assumptions, Spread


class Weights(Struct, frozen=True):
    """Functions by rank, and the cumulative sum of their calls per second."""

    ranks: list[int]
    sums: list[float]


@cache
def rates_per_dispatcher(given: Assumptions, spread: Spread, reach: int | None) -> tuple[Any, Any]:
    """By function: the share of dispatchers that receive its calls, and the calls per second at each."""
    parts, rates = zip(*given.calls_at_one(spread, reach), strict=True)
    return numpy.array(parts), numpy.array(rates)


@cache
def weights_for_all(given: Assumptions, spread: Spread) -> Weights:
    """Weights if every dispatcher receives calls of every function."""
    rates = rates_per_dispatcher(given, spread, None)[1]
    return Weights(list(range(len(rates))), numpy.cumsum(rates).tolist())


def weights_for_few(given: Assumptions, spread: Spread, reach: int, seed: int) -> Weights:
    """Weights if a function's calls reach only `reach` dispatchers; the seed draws this one's functions."""
    parts, rates = rates_per_dispatcher(given, spread, reach)
    ranks = numpy.flatnonzero(numpy.random.default_rng(seed).random(len(parts)) < parts)
    return Weights(ranks.tolist(), numpy.cumsum(rates[ranks]).tolist())


class Caller:
    """The calls of one dispatcher."""

    def __init__(
        self,
        given: Assumptions,
        seed: int,
        spread: Spread | None = None,
        rate: float | None = None,
        reach: int | None = None,
    ) -> None:
        """`rate`: calls per second, the target's by default; `reach`: see `Assumptions.calls_at_one`."""
        spread = spread or given.spread
        self.weights = (
            weights_for_few(given, spread, reach, seed) if reach else weights_for_all(given, spread)
        )
        self.rate = given.target.calls_per_dispatcher if rate is None else rate
        self.random = random.Random(seed)

    def function(self) -> str:
        """The function of the next call."""
        sums = self.weights.sums
        rank = self.weights.ranks[bisect_right(sums, self.random.random() * sums[-1])]
        return f"function-{rank:06d}"

    def times(self, seconds: float) -> Iterator[float]:
        """Yields arrival times in seconds from now, of a Poisson process with the mean rate."""
        at = self.random.expovariate(self.rate)
        while at < seconds:
            yield at
            at += self.random.expovariate(self.rate)


def percentile(values: list[float], part: float) -> float:
    """The value that a share `part` of the values do not exceed; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
