"""Capacity that the level leaves unused is filled: each dispatcher admits up to its own part of it.

The level is computed from statistics that are seconds old. Where demand has fallen since, or what comes is
not what it was (those that were rejected retry), it admits less than there is capacity for, what is served
falls, and the capacity after it. What it rejects is admitted while one's own part of the capacity is not used
up.
"""

from collections import deque
from math import inf
from typing import NamedTuple

from lapistrestle.ticks import SECOND

BURST = SECOND // 2  # of the rate may be saved and used later: statistics are read so often
DEMAND_RETENTION = 20 * SECOND  # of one's own demand: statistics are never older


class DemandSample(NamedTuple):
    """One's own demand at one moment, in requests a second."""

    at: int
    rate: float


class UnusedCapacityBucket:
    """A token bucket that fills at one's part of the capacity, in requests a second; inf: nothing is shed."""

    def __init__(self, now: int) -> None:
        self.rate = inf
        self.tokens = 0.0
        self.refilled_at = now
        self.demand: deque[DemandSample] = deque()

    def own_part(self, own: float, fleet: float, age: int, now: int) -> float:
        """One's part of the fleet's demand, both as of when the fleet's was valid.

        Taken against one's demand of now it would fall with the demand and hand the capacity to nobody.
        """
        self.demand.append(DemandSample(now, own))
        while self.demand[0].at < now - DEMAND_RETENTION:
            self.demand.popleft()
        rate_then = next(sample.rate for sample in self.demand if sample.at >= now - age)
        return min(1.0, rate_then / fleet) if fleet > 0 else 0.0

    def set_rate(self, rate: float, now: int) -> None:
        """Fill at this rate from now on."""
        self.refill(now)
        if self.rate == inf:
            self.tokens = 0.0  # nothing was saved while everything was admitted
        self.rate = rate

    @property
    def size(self) -> float:
        """Tokens that are saved at the most."""
        return max(1.0, self.rate * BURST / SECOND)

    def refill(self, now: int) -> None:
        """Add what the rate gave since the last time."""
        if self.rate < inf:
            gained = self.rate * (now - self.refilled_at) / SECOND
            self.tokens = min(self.size, self.tokens + gained)
        self.refilled_at = now

    def charge(self, now: int) -> None:
        """The level has admitted a request; beyond the rate it is owed, up to the bucket's size."""
        self.refill(now)
        if self.rate < inf:
            self.tokens = max(-self.size, self.tokens - 1)

    def try_take(self, now: int) -> bool:
        """Whether there is capacity for a request that the level rejects; if so it is used."""
        self.refill(now)
        if self.rate == inf or self.tokens < 1:
            return False
        self.tokens -= 1
        return True
