"""Cold calls under the assumed distributions, and how many dispatchers a rarely called function should reach.
Computed from the rates of the input table; no production code is measured here.

Calls of a function are a Poisson process, spread evenly over all regions, and within a region over the
dispatchers that receive them. An instance is stopped, and a watch expires, after its idle time without a
call; the probability that a call finds none is exp(-rate * idle time).
"""

from math import exp

from benchmarks.scale.assumptions import Assumptions, Spread
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep

MINUTE = 60.0
REACHES = (1, 2, 4, 8, 16, 64, 780)
SELDOM = 1 / MINUTE  # calls per second; a function with fewer is called rarely


def cold_part(rates: list[float], idle_seconds: float) -> float:
    """The share of all calls that come more than `idle_seconds` after the previous call of their function."""
    return sum(rate * exp(-rate * idle_seconds) for rate in rates) / sum(rates)


def kept(rates: list[float], idle_seconds: float) -> float:
    """The expected number of functions that were called within `idle_seconds`."""
    return sum(1 - exp(-rate * idle_seconds) for rate in rates)


def region_rates(spread: Spread, given: Assumptions) -> list[float]:
    """Calls per second of each function in one region."""
    target = given.target
    return spread.rates(target.functions, target.calls_per_second / target.regions)


def reached(rates: list[float], reach: int, dispatchers: int) -> list[float]:
    """The rate of each function at one dispatcher that receives its calls. A rarely called function reaches
    `reach` dispatchers; one that is called more often reaches proportionally more, up to all.
    """
    return [rate / min(dispatchers, max(reach, reach * rate / SELDOM)) for rate in rates]


def tail(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """Cold calls by distribution, for the instances of a region; independent of the dispatchers reached."""
    figures = []
    for spread in (given.spread, *given.sensitivity):
        rates = region_rates(spread, given)
        idle = given.instance.idle_seconds
        seldom = [rate for rate in rates if rate < SELDOM]
        cold = cold_part(rates, idle)
        label = spread.name
        figures += [
            Figure(f"functions called seldom in a region, {label}", len(seldom) / len(rates), "part"),
            Figure(f"calls that are theirs, {label}", sum(seldom) / sum(rates), "part"),
            Figure(f"calls that find no instance, {label}", cold, "part"),
            Figure(f"cold starts in a region, {label}", cold * sum(rates), "a second"),
            Figure(f"functions with an instance in a region, {label}", kept(rates, idle), "functions"),
        ]
    return figures


def reach(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """Watches and look-ups of one dispatcher, by reach of the rarely called functions."""
    figures = []
    dispatchers, idle = given.target.dispatchers_per_region, given.directory.watch_idle_seconds
    for spread in (given.spread, *given.sensitivity):
        rates = region_rates(spread, given)
        for count in REACHES:
            at_one = reached(rates, count, dispatchers)
            parts = [
                min(dispatchers, max(count, count * rate / SELDOM)) / dispatchers for rate in rates
            ]  # share of the dispatchers that a function reaches
            watched = sum(p * (1 - exp(-r * idle)) for p, r in zip(parts, at_one, strict=True))
            looked = sum(p * r * exp(-r * idle) for p, r in zip(parts, at_one, strict=True))
            calls = sum(rates) / dispatchers
            label = f"reach {count}, {spread.name}"
            figures += [
                Figure(f"functions watched at a dispatcher, {label}", watched, "functions"),
                Figure(f"calls that need a look-up, {label}", looked / calls, "part"),
            ]
    return figures


class TailRole:
    """The role `tail`, computed from the input table."""

    name = "tail"
    text = "cold calls and look-ups under the assumed spreads, worked out from the input table"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("cold calls", "calls that find no instance, by spread", tail),
            Scene("reach", "watches and look-ups of one dispatcher, by reach and spread", reach),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError("this role has scenes only")


register(TailRole())
