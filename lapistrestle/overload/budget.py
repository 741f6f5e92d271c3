"""One budget of further call-outs for the fleet, divided by need: what all together may try again.

A further call-out is worth its cost while what is tried again is little beside what is done; past that it
is the load that makes further ones needed. The budget is a part of what the fleet gets done, and each takes
of it as its wishes stand to all wishes.
"""

from collections.abc import Mapping
from math import inf

RATIO = 0.2  # of what is done in time may be tried again
FEW = 1.0  # a second for each dispatcher at the least: without any nothing would show that it works again
BURST = 2.0  # seconds' worth that may be saved up
SECOND = 10_000


class Budget:
    """A bucket that fills at one's own part of the budget; `rate` is inf where no figures are known."""

    def __init__(self, now: int) -> None:
        self.rate, self.saved, self.at = inf, 0.0, now

    def set(self, fleet: Mapping[str, float], own_wanted: float, own_good: float, now: int) -> None:
        """From the fleet's rates `good` and `wanted` (further call-outs asked for), one's own among them."""
        self.fill(now)
        whole = RATIO * fleet["good"]
        need = own_wanted / fleet["wanted"] if fleet["wanted"] > 0 else 0.0
        part = max(whole * need, min(RATIO * own_good, whole))
        self.rate = max(FEW, part if fleet["wanted"] <= whole else whole * need)
        self.saved = min(self.saved, BURST * self.rate)

    def open(self) -> None:
        """No figures: the module's own limit is the only one."""
        self.rate = inf

    def fill(self, now: int) -> None:
        if self.rate < inf:
            self.saved = min(BURST * self.rate, self.saved + self.rate * (now - self.at) / SECOND)
        self.at = now

    def take(self, now: int) -> bool:
        """Whether one further call-out may be made now."""
        if self.rate == inf:
            return True
        self.fill(now)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
