"""Sums over all instances of a region, as a dispatcher that knows a part of them estimates them by now.

Times are whole tenths of a millisecond on the dispatcher's clock.
"""

from collections.abc import Callable
from math import inf

from lapistrestle.wire.directory import RegionSums


class RegionEstimate:
    """Sums over all instances of the region, for the module, whose list is a part of them (fact `region`)."""

    def __init__(self, clock: Callable[[], int], cold_share: float, ramp_time: int) -> None:
        """`cold_share` and `ramp_time`: how the capacity of an instance grows after its start."""
        self.clock = clock
        self.cold_share = cold_share
        self.ramp_time = ramp_time
        self.sums: RegionSums | None = None
        self.since = 0  # when the sums were true at the latest

    def update(self, sums: RegionSums, since: int) -> None:
        """Take a holder's sums, true `since` then. One that has only just started knows of none."""
        if sums.serving:
            self.sums = sums
            self.since = since

    @property
    def size(self) -> float:
        """Of all that serve; 0 until it is known."""
        return self.sums.size if self.sums is not None else 0.0

    @property
    def count(self) -> int:
        """Instances, those that drain among them; 0 until it is known."""
        return self.sums.instances if self.sums is not None else 0

    @property
    def warm_size(self) -> float:
        """By now at most, of all that serve, each times its warmth; infinite until it is known.

        A cold instance is allowed what warm ones answer for each unit of this size, so a sum that is too
        small would let all dispatchers together send it too much. Since the sum was asked for each instance
        has warmed up by so much at most, and none beyond its size.
        """
        if self.sums is None:
            return inf
        if not self.ramp_time:
            return self.sums.size
        warmed = (1 - self.cold_share) * (self.clock() - self.since) / self.ramp_time
        return min(self.sums.size, self.sums.warm + self.sums.size * warmed)
