"""Room that the level leaves unused is filled: each dispatcher lets in up to its own part of the room.

The level is worked out from figures that are seconds old. Where demand has fallen since, or what comes is
not what it was (those that were denied come back), it lets in less than there is room for, what is done
falls, and the room after it. What it denies is let in while one's own part of the room is not used up.
"""

from collections import deque
from math import inf

SECOND = 10_000  # in tenths of a millisecond
SAVED = SECOND // 2  # of the part that was not used may be used later: figures are looked at so often
KEPT = 20 * SECOND  # own demand is remembered for so long: figures are never older


class Filling:
    """A bucket that fills at one's part of the room, in RPCs a second; inf: no level is in force."""

    def __init__(self, now: int) -> None:
        self.rate, self.saved, self.at = inf, 0.0, now
        self.asked: deque[tuple[int, float]] = deque()  # own demand: when, RPCs a second

    def part(self, own: float, fleet: float, age: int, now: int) -> float:
        """One's part of the fleet's demand, both as of when the fleet's figure was true: taken against one's
        demand of now it would fall with the demand and hand the room to nobody."""
        self.asked.append((now, own))
        while self.asked[0][0] < now - KEPT:
            self.asked.popleft()
        then = next(rate for at, rate in self.asked if at >= now - age)
        return min(1.0, then / fleet) if fleet > 0 else 0.0

    def set(self, rate: float, now: int) -> None:
        self.fill(now)
        if self.rate == inf:
            self.saved = 0.0  # nothing was saved while everything was let in
        self.rate = rate

    def fill(self, now: int) -> None:
        if self.rate < inf:
            most = max(1.0, self.rate * SAVED / SECOND)
            self.saved = min(most, self.saved + self.rate * (now - self.at) / SECOND)
        self.at = now

    def took(self, now: int) -> None:
        """The level has let one in. What it lets in beyond the room is owed for no longer than is saved."""
        self.fill(now)
        if self.rate < inf:
            self.saved = max(-max(1.0, self.rate * SAVED / SECOND), self.saved - 1)

    def takes(self, now: int) -> bool:
        """Whether there is room for one that the level denies."""
        self.fill(now)
        if self.rate == inf or self.saved < 1:
            return False
        self.saved -= 1
        return True
