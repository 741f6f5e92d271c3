"""What requests take: alone, by function or by method, and how much longer still counts as well.

The isolated latency of a function is the paper's (section III-B 1): the median of the window averages at
light own load, slowly renewed.
"""

from collections.abc import Sequence
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Function, Request
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.settings import Settings

# Least distance of the bound from the isolated latency, as a factor on it. The paper's latencyThd.
MIN_BOUND_FACTOR: Final = 1.15
# The bound lies this far from the isolated latency to the latency objective. Guards against zones that
# flap: of thirty skewed latencies the mean strays by more than 15% by chance (docs/design.md, "Changed").
BOUND_FRACTION: Final = 0.3
# Part of the way that an isolated latency moves to a new median, each renewal. Guards against one odd period.
ISOLATED_LATENCY_STEP: Final = 0.2
# A window needs so many latencies to have a say in the isolated latency.
MIN_SAMPLES: Final = 3
# Before any sample, a method's usual latency is this part of its latency objective.
INITIAL_LATENCY_FRACTION: Final = 1 / 4
# Least scale of a request against its method's usual hint. Guards against hints of next to nothing.
MIN_SCALE: Final = 0.2


class LatencyEstimates:
    """Usual latencies of methods, isolated latencies of functions, and the bounds that follow from them."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.by_method = [
            DecayingMean(LONG_TIME_CONSTANT) for _ in settings.methods
        ]  # of ok answers at light own load
        self.hints_by_method = [DecayingMean(LONG_TIME_CONSTANT) for _ in settings.methods]  # of hinted work

    def typical(self, method: int) -> float:
        """Return the latency of a usual request of the method alone, in ticks; 1 at the least."""
        guess = self.settings.methods[method].soft_deadline * INITIAL_LATENCY_FRACTION
        return max(1.0, self.by_method[method].read(guess))

    def isolated(self, function: Function) -> float:
        """Return what a request of the function takes alone, in ticks. One tick at the least: guards against
        answers that come within one.
        """
        if function.isolated_latency is None:
            return self.typical(function.method)
        return max(1.0, function.isolated_latency)

    def bound(self, function: Function) -> float:
        """Return the latency beyond which a worker counts as Unsafe for the function, in ticks."""
        isolated = self.isolated(function)
        objective = self.settings.methods[function.method].soft_deadline
        return max(MIN_BOUND_FACTOR * isolated, isolated + BOUND_FRACTION * (objective - isolated))

    def objective(self, request: Request) -> int:
        """Return the latency objective of the request, in ticks."""
        method = self.settings.methods[request.method]
        stretched = method.soft_deadline + method.soft_stretch * (request.work or 0)
        return int(min(method.deadline, stretched))

    def apply_work_hint(self, request: Request) -> None:
        """Scale the request by its work hint, where it has one."""
        if request.work:
            hints = self.hints_by_method[request.method]
            hints.add(self.clock.now, request.work)
            request.scale = max(MIN_SCALE, request.work / hints.read(request.work))

    def update_isolated(self, function: Function) -> None:
        """Move the function's isolated latency to the median window average at light own load."""
        replicas = function.replicas.values()
        windows = (r.window for r in replicas if len(r.window) >= MIN_SAMPLES and r.in_flight <= 1)
        averages = sorted(sum(window) / len(window) for window in windows)
        if not averages:
            return
        median = averages[len(averages) // 2]
        known = function.isolated_latency
        function.isolated_latency = (
            median if known is None else known + ISOLATED_LATENCY_STEP * (median - known)
        )

    def learned(self) -> list[tuple[float, float]]:
        """Return for each method the usual latency in ticks and the usual hint: what outlives a restart."""
        pairs = zip(self.by_method, self.hints_by_method, strict=True)
        return [(latency.read(0.0), hint.read(0.0)) for latency, hint in pairs]

    def restore(self, learned: Sequence[tuple[float, float]]) -> None:
        """Take up what `learned` gave earlier. Each figure counts as one sample, so that the first answers
        outweigh it; 0 is none.
        """
        pairs = zip(self.by_method, self.hints_by_method, strict=True)
        for figures, means in zip(learned, pairs, strict=True):
            for figure, mean in zip(figures, means, strict=True):
                if figure > 0:
                    mean.add(self.clock.now, figure)
