"""The pace at which this dispatcher gets answers, and how seldom that lets it meet each worker."""

from math import exp
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, DecayingMean, DecayingSum
from lapistrestle.ticks import SECOND

# Most that memories are stretched: a worker is then remembered as long as what stands for the ordinary.
MAX_TIME_CONSTANT_FACTOR: Final = LONG_TIME_CONSTANT / SHORT_TIME_CONSTANT
# Least age of an estimate, in ticks. Guards against a pace drawn from the first answers alone.
MIN_ESTIMATE_AGE: Final = SECOND


class Throughput:
    """Own ok answers, and rates of decaying sums.

    `memory_factor` is how many times longer what is known of a worker is remembered: 1 where each is met
    within the short memory, up to `MOST_STRETCH` for a dispatcher that is one of many and meets it
    seldom. Guards against verdicts that are forgotten before the next request (docs/design.md, "many
    front ends").
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ok_answers = DecayingSum(SHORT_TIME_CONSTANT)
        self.ok_latency = DecayingMean(SHORT_TIME_CONSTANT)
        self.memory_factor = 1.0

    def rate(self, total: DecayingSum) -> float:
        """Return events a tick; a young sum is not yet full."""
        now = self.clock.now
        filled = 1 - exp(-max(MIN_ESTIMATE_AGE, now - self.clock.started) / total.time_constant)
        return total.read(now) / (total.time_constant * filled)

    def ok_rate(self) -> float:
        """Return own ok answers a tick."""
        return self.rate(self.ok_answers)

    def add_ok(self, latency: int) -> None:
        """Count an ok answer that took so many ticks."""
        self.ok_answers.add(self.clock.now, 1)
        self.ok_latency.add(self.clock.now, latency)

    def update_time_constant_factor(self, serving: int) -> None:
        """Set the factor by how often each of the workers that serve is met."""
        meetings = (
            SHORT_TIME_CONSTANT * max(self.rate(self.ok_answers), 1 / LONG_TIME_CONSTANT) / max(1, serving)
        )
        self.memory_factor = min(MAX_TIME_CONSTANT_FACTOR, max(1.0, 1 / meetings))
