"""Exponentially decaying sums and means, which need no list of events.

Reading a sum applies the decay so far, so the times of reads affect how its value is rounded. Changing when a
sum is read changes the recorded behaviour.
"""

from dataclasses import dataclass
from math import exp
from typing import Final

from lapistrestle.ticks import SECOND

SHORT_TIME_CONSTANT: Final = 3 * SECOND  # for estimates that must react to a fault within seconds
LONG_TIME_CONSTANT: Final = 10 * SECOND  # for estimates of normal operation


@dataclass(slots=True)
class DecayingSum:
    """A sum of amounts that decay exponentially; the decay is applied when it is read."""

    time_constant: int  # ticks after which an amount has decayed to 1/e
    updated_at: int = 0
    value: float = 0.0

    def read(self, now: int) -> float:
        """Return the sum at `now`."""
        if now > self.updated_at:
            self.value = self.value * exp((self.updated_at - now) / self.time_constant)
            self.updated_at = now
        return self.value

    def add(self, now: int, amount: float) -> None:
        """Add an amount at `now`."""
        self.value = self.read(now) + amount


class DecayingMean:
    """An exponentially weighted moving average."""

    __slots__ = ("count", "total")

    def __init__(self, time_constant: int) -> None:
        self.total = DecayingSum(time_constant)
        self.count = DecayingSum(time_constant)

    def add(self, now: int, amount: float) -> None:
        """Add a sample."""
        self.total.add(now, amount)
        self.count.add(now, 1)

    def read(self, missing: float) -> float:
        """Return the mean as of the last sample; `missing` if there is none."""
        return self.total.value / self.count.value if self.count.value else missing
