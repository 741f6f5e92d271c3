"""Rate of ok answers at this dispatcher, and how often that lets it observe each worker."""

from math import exp
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, DecayingMean, DecayingSum
from lapistrestle.ticks import SECOND

# Largest factor on the short time constant: it then equals the long one.
MAX_TIME_CONSTANT_FACTOR: Final = LONG_TIME_CONSTANT / SHORT_TIME_CONSTANT
# Ticks; a rate is computed over at least this long, so that the first answers alone do not determine it.
MIN_ESTIMATE_AGE: Final = SECOND


class Throughput:
    """Own ok answers, and rates of decaying sums.

    `time_constant_factor` multiplies the time constants of what is learned about a worker: 1 if each worker
    is used at least once per short time constant, up to `MAX_TIME_CONSTANT_FACTOR` for a dispatcher that is
    one of many and uses each worker rarely. Without it, what was learned would decay before the next request
    (docs/design.md, "many front ends").
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ok_answers = DecayingSum(SHORT_TIME_CONSTANT)
        self.ok_latency = DecayingMean(SHORT_TIME_CONSTANT)
        self.time_constant_factor = 1.0

    def rate(self, total: DecayingSum) -> float:
        """Return the rate of events per tick, corrected for the short history after a start."""
        now = self.clock.now
        filled = 1 - exp(-max(MIN_ESTIMATE_AGE, now - self.clock.started) / total.time_constant)
        return total.read(now) / (total.time_constant * filled)

    def ok_rate(self) -> float:
        """Return own ok answers per tick."""
        return self.rate(self.ok_answers)

    def add_ok(self, latency: int) -> None:
        """Record an ok answer with its latency in ticks."""
        self.ok_answers.add(self.clock.now, 1)
        self.ok_latency.add(self.clock.now, latency)

    def update_time_constant_factor(self, serving: int) -> None:
        """Set the factor by the expected answers from each serving worker within the short time constant."""
        answers_per_worker = (
            SHORT_TIME_CONSTANT * max(self.rate(self.ok_answers), 1 / LONG_TIME_CONSTANT) / max(1, serving)
        )
        self.time_constant_factor = min(MAX_TIME_CONSTANT_FACTOR, max(1.0, 1 / answers_per_worker))
