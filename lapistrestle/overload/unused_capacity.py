"""Use of capacity that the admission level leaves unused: each dispatcher admits up to its own part of it.

The level is computed from statistics that are seconds old. If the demand has fallen or its mix has changed
since (rejected clients retry), the level admits less than the capacity; goodput falls, and the computed
capacity with it. So requests above the level are admitted until the dispatcher's part is used up.
"""

from collections import deque
from math import inf
from typing import NamedTuple

from lapistrestle.ticks import SECOND

BURST = SECOND // 2  # size of the bucket at the current rate: the interval between updates of the level
DEMAND_RETENTION = 20 * SECOND  # of the dispatcher's own demand; statistics are never older


class DemandSample(NamedTuple):
    """The dispatcher's own demand at one time, in requests a second."""

    at: int
    rate: float


class UnusedCapacityBucket:
    """A token bucket filled at the dispatcher's part of the capacity, in requests a second; inf: no shedding.

    The balance may be negative where the level admits more than that part.
    """

    def __init__(self, now: int) -> None:
        self.rate = inf
        self.tokens = 0.0
        self.refilled_at = now
        self.demand: deque[DemandSample] = deque()

    def own_part(self, own: float, fleet: float, age: int, now: int) -> float:
        """Return the dispatcher's fraction of the fleet's demand, both as of `age` ago.

        Computed from the current own demand, the fraction would fall with the demand, and the capacity would
        be assigned to no dispatcher.
        """
        self.demand.append(DemandSample(now, own))
        while self.demand[0].at < now - DEMAND_RETENTION:
            self.demand.popleft()
        rate_then = next(sample.rate for sample in self.demand if sample.at >= now - age)
        return min(1.0, rate_then / fleet) if fleet > 0 else 0.0

    def set_rate(self, rate: float, now: int) -> None:
        """Change the fill rate."""
        self.refill(now)
        if self.rate == inf:
            self.tokens = 0.0  # nothing accumulates while everything is admitted
        self.rate = rate

    @property
    def size(self) -> float:
        """The maximum number of tokens."""
        return max(1.0, self.rate * BURST / SECOND)

    def refill(self, now: int) -> None:
        """Add the tokens since the last refill."""
        if self.rate < inf:
            gained = self.rate * (now - self.refilled_at) / SECOND
            self.tokens = min(self.size, self.tokens + gained)
        self.refilled_at = now

    def charge(self, now: int) -> None:
        """Charge a request admitted by the level; the balance may go negative, down to the bucket's size."""
        self.refill(now)
        if self.rate < inf:
            self.tokens = max(-self.size, self.tokens - 1)

    def try_take(self, now: int) -> bool:
        """Take a token for a request that the level rejects; return whether there was one."""
        self.refill(now)
        if self.rate == inf or self.tokens < 1:
            return False
        self.tokens -= 1
        return True
