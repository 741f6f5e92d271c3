"""Which calls are cold under the assumed spreads, and how many dispatchers a seldom called function should
reach. No code of the program is measured here: these are sums over the functions' rates of the input table.

Calls of a function come by chance at its mean rate, evenly in all regions, and within a region evenly at the
dispatchers that they reach. An instance is taken down after its idle time without a call, and a watch lapses
after its own; the chance that a call finds neither is exp(-rate * idle time).
"""

from math import exp

from benchmarks.scale.assumptions import Assumptions, Spread
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep

MINUTE = 60.0
REACHES = (1, 2, 4, 8, 16, 64, 780)
SELDOM = 1 / MINUTE  # calls a second: at fewer a function is called seldom


def cold_part(rates: list[float], idle_seconds: float) -> float:
    """The part of all calls that find nothing of their function kept since the call before."""
    return sum(rate * exp(-rate * idle_seconds) for rate in rates) / sum(rates)


def kept(rates: list[float], idle_seconds: float) -> float:
    """How many of the functions are kept at a moment."""
    return sum(1 - exp(-rate * idle_seconds) for rate in rates)


def region_rates(spread: Spread, given: Assumptions) -> list[float]:
    """Calls a second of each function in one region."""
    target = given.target
    return spread.rates(target.functions, target.calls_per_second / target.regions)


def reached(rates: list[float], reach: int, dispatchers: int) -> list[float]:
    """The rates of the functions at one dispatcher that they reach. A seldom called one reaches so many, and
    one that is called more reaches more, up to all.
    """
    return [rate / min(dispatchers, max(reach, reach * rate / SELDOM)) for rate in rates]


def tail(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """Cold calls by spread: instances of a region, whatever dispatchers the calls reach."""
    made = []
    for spread in (given.spread, *given.sensitivity):
        rates = region_rates(spread, given)
        idle = given.instance.idle_seconds
        seldom = [rate for rate in rates if rate < SELDOM]
        cold = cold_part(rates, idle)
        label = spread.name
        made += [
            Figure(f"functions called seldom in a region, {label}", len(seldom) / len(rates), "part"),
            Figure(f"calls that are theirs, {label}", sum(seldom) / sum(rates), "part"),
            Figure(f"calls that find no instance, {label}", cold, "part"),
            Figure(f"cold starts in a region, {label}", cold * sum(rates), "a second"),
            Figure(f"functions with an instance in a region, {label}", kept(rates, idle), "functions"),
        ]
    return made


def reach(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """What the reach of a seldom called function costs one dispatcher in look-ups and watches."""
    made = []
    dispatchers, idle = given.target.dispatchers_per_region, given.directory.watch_idle_seconds
    for spread in (given.spread, *given.sensitivity):
        rates = region_rates(spread, given)
        for count in REACHES:
            at_one = reached(rates, count, dispatchers)
            parts = [
                min(dispatchers, max(count, count * rate / SELDOM)) / dispatchers for rate in rates
            ]  # of the dispatchers, those that a function reaches
            watched = sum(p * (1 - exp(-r * idle)) for p, r in zip(parts, at_one, strict=True))
            looked = sum(p * r * exp(-r * idle) for p, r in zip(parts, at_one, strict=True))
            calls = sum(rates) / dispatchers
            label = f"reach {count}, {spread.name}"
            made += [
                Figure(f"functions watched at a dispatcher, {label}", watched, "functions"),
                Figure(f"calls that need a look-up, {label}", looked / calls, "part"),
            ]
    return made


class TailRole:
    """Arithmetic on the input table."""

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
