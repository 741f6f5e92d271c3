"""Room that the level leaves unused is filled: each dispatcher lets in up to its own part of the room.

The level is worked out from figures that are seconds old. Where demand has fallen since, or what comes is
not what it was (those that were denied retry), it lets in less than there is room for, what is done falls,
and the room after it. What it denies is let in while one's own part of the room is not used up.
"""

from collections import deque
from math import inf

SECOND = 10_000  # in tenths of a millisecond
BURST = SECOND // 2  # of the rate may be saved and used later: figures are read so often
DEMAND_KEPT = 20 * SECOND  # own demand is remembered for so long: figures are never older


class UnusedCapacityBucket:
    """A token bucket that fills at one's part of the room, in RPCs a second; inf: no level is in force."""

    def __init__(self, now: int) -> None:
        self.rate, self.tokens, self.at = inf, 0.0, now
        self.demand: deque[tuple[int, float]] = deque()  # one's own: when, RPCs a second

    def own_part(self, own: float, fleet: float, age: int, now: int) -> float:
        """One's part of the fleet's demand, both as of when the fleet's figure was true: taken against one's
        demand of now it would fall with the demand and hand the room to nobody."""
        self.demand.append((now, own))
        while self.demand[0][0] < now - DEMAND_KEPT:
            self.demand.popleft()
        then = next(rate for at, rate in self.demand if at >= now - age)
        return min(1.0, then / fleet) if fleet > 0 else 0.0

    def set_rate(self, rate: float, now: int) -> None:
        """Fill at this rate from now on."""
        self.refill(now)
        if self.rate == inf:
            self.tokens = 0.0  # nothing was saved while everything was let in
        self.rate = rate

    @property
    def most(self) -> float:
        """Tokens that are saved at the most."""
        return max(1.0, self.rate * BURST / SECOND)

    def refill(self, now: int) -> None:
        """Add what the rate gave since the last time."""
        if self.rate < inf:
            self.tokens = min(self.most, self.tokens + self.rate * (now - self.at) / SECOND)
        self.at = now

    def charge(self, now: int) -> None:
        """The level has let one in. What it lets in beyond the room is owed for no longer than is saved."""
        self.refill(now)
        if self.rate < inf:
            self.tokens = max(-self.most, self.tokens - 1)

    def try_take(self, now: int) -> bool:
        """Whether there is room for one that the level denies; if so it is used."""
        self.refill(now)
        if self.rate == inf or self.tokens < 1:
            return False
        self.tokens -= 1
        return True
