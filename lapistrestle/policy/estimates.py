"""Sums and means that forget exponentially: what happened lately counts, without any list of events.

Reading brings a sum up to date, so when it is read decides how its value is rounded. Change that only
together with the recorded behaviour.
"""

from dataclasses import dataclass
from math import exp
from typing import Final

from lapistrestle.ticks import SECOND

SHORT_TIME_CONSTANT: Final = 3 * SECOND  # time constant of what must show a fault within its first seconds
LONG_TIME_CONSTANT: Final = 10 * SECOND  # time constant of what stands for ordinary operation


@dataclass(slots=True)
class DecayingSum:
    """A sum whose amounts fade exponentially, brought up to date when it is read."""

    time_constant: int  # ticks after which an amount counts 1/e of what it did
    updated_at: int = 0
    value: float = 0.0

    def read(self, now: int) -> float:
        """Return the sum as it is at `now`."""
        if now > self.updated_at:
            self.value = self.value * exp((self.updated_at - now) / self.time_constant)
            self.updated_at = now
        return self.value

    def add(self, now: int, amount: float) -> None:
        """Add an amount that counts in full at `now`."""
        self.value = self.read(now) + amount


class DecayingMean:
    """The mean of what was added lately, newer samples counting for more."""

    __slots__ = ("count", "total")

    def __init__(self, time_constant: int) -> None:
        self.total = DecayingSum(time_constant)
        self.count = DecayingSum(time_constant)

    def add(self, now: int, amount: float) -> None:
        """Add a sample."""
        self.total.add(now, amount)
        self.count.add(now, 1)

    def read(self, missing: float) -> float:
        """Return the mean as it was when last added to; `missing` where nothing has been added."""
        return self.total.value / self.count.value if self.count.value else missing
