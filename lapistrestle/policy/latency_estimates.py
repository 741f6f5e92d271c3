"""Estimates of the latency of requests without queueing, by function and by method, and the bounds derived
from them.

The isolated latency of a function is that of the FnSched paper (section III-B 1): the smoothed median of the
window averages at light own load.
"""

from collections.abc import Sequence
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Function, Request
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.settings import Settings

# Lowest latency bound, as a factor on the isolated latency; latencyThd in the paper.
MIN_BOUND_FACTOR: Final = 1.15
# Position of the bound between the isolated latency and the latency objective. Keeps zones from flapping: the
# mean of thirty skewed latencies varies by more than 15% by chance (docs/design.md, "Changed").
BOUND_FRACTION: Final = 0.3
# Smoothing factor by which the isolated latency moves to a new median, so that one unusual period has little
# effect.
ISOLATED_LATENCY_STEP: Final = 0.2
# Latencies that a window must have to contribute to the isolated latency.
MIN_SAMPLES: Final = 3
# Typical latency of a method without samples, as a fraction of its latency objective.
INITIAL_LATENCY_FRACTION: Final = 1 / 4
# Lowest scale of a request relative to the mean hint of its method; bounds the effect of tiny hints.
MIN_SCALE: Final = 0.2


class LatencyEstimates:
    """Typical latencies of methods, isolated latencies of functions, and bounds derived from them."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        # latencies of ok answers at light own load
        self.by_method = [DecayingMean(LONG_TIME_CONSTANT) for _ in settings.methods]
        self.hints_by_method = [DecayingMean(LONG_TIME_CONSTANT) for _ in settings.methods]  # hinted work

    def typical(self, method: int) -> float:
        """Return the latency of a typical request of the method without queueing, in ticks; at least 1."""
        initial = self.settings.methods[method].soft_deadline * INITIAL_LATENCY_FRACTION
        return max(1.0, self.by_method[method].read(initial))

    def isolated(self, function: Function) -> float:
        """Return the latency of a request of the function without queueing, in ticks. At least 1, also if
        answers arrive within a tick.
        """
        if function.isolated_latency is None:
            return self.typical(function.method)
        return max(1.0, function.isolated_latency)

    def bound(self, function: Function) -> float:
        """Return the latency above which a worker is Unsafe for the function, in ticks."""
        isolated = self.isolated(function)
        objective = self.settings.methods[function.method].soft_deadline
        return max(MIN_BOUND_FACTOR * isolated, isolated + BOUND_FRACTION * (objective - isolated))

    def objective(self, request: Request) -> int:
        """Return the latency objective of the request, in ticks after its start."""
        method = self.settings.methods[request.method]
        stretched = method.soft_deadline + method.soft_stretch * (request.work or 0)
        return int(min(method.deadline, stretched))

    def apply_work_hint(self, request: Request) -> None:
        """Set the scale of the request from its work hint, if it has one."""
        if request.work:
            hints = self.hints_by_method[request.method]
            hints.add(self.clock.now, request.work)
            request.scale = max(MIN_SCALE, request.work / hints.read(request.work))

    def update_isolated(self, function: Function) -> None:
        """Move the isolated latency of the function towards the median window average at light own load."""
        replicas = function.replicas.values()
        windows = (r.window for r in replicas if len(r.window) >= MIN_SAMPLES and r.in_flight <= 1)
        averages = sorted(sum(window) / len(window) for window in windows)
        if not averages:
            return
        median = averages[len(averages) // 2]
        previous = function.isolated_latency
        function.isolated_latency = (
            median if previous is None else previous + ISOLATED_LATENCY_STEP * (median - previous)
        )

    def learned(self) -> list[tuple[float, float]]:
        """Return the typical latency in ticks and the mean hint of each method, to be persisted over a
        restart.
        """
        pairs = zip(self.by_method, self.hints_by_method, strict=True)
        return [(latency.read(0.0), hint.read(0.0)) for latency, hint in pairs]

    def restore(self, learned: Sequence[tuple[float, float]]) -> None:
        """Restore values that `learned` returned earlier. Each counts as one sample, so that the first
        answers outweigh it; 0 means no value.
        """
        pairs = zip(self.by_method, self.hints_by_method, strict=True)
        for values, means in zip(learned, pairs, strict=True):
            for value, mean in zip(values, means, strict=True):
                if value > 0:
                    mean.add(self.clock.now, value)
