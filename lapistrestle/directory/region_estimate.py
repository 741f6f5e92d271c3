"""Estimate of the sums over all instances of a region, at a dispatcher that knows only some of them.

Times are whole ticks of 0.1 ms on the dispatcher's clock.
"""

from collections.abc import Callable
from math import inf

from lapistrestle.wire.directory import RegionSums


class RegionEstimate:
    """Sums over the region for the decision module, whose endpoint list has only a part of the instances."""

    def __init__(self, clock: Callable[[], int], cold_share: float, ramp_time: int) -> None:
        """`cold_share` and `ramp_time` describe slow start, as in `HolderSettings`."""
        self.clock = clock
        self.cold_share = cold_share
        self.ramp_time = ramp_time
        self.sums: RegionSums | None = None
        self.since = 0  # the latest time at which the sums were correct

    def update(self, sums: RegionSums, since: int) -> None:
        """Take a holder's sums, as of `since`. A holder that has just started has no instances: ignored."""
        if sums.serving:
            self.sums = sums
            self.since = since

    @property
    def size(self) -> float:
        """Total size of all serving instances; 0 until it is known."""
        return self.sums.size if self.sums is not None else 0.0

    @property
    def count(self) -> int:
        """Number of instances, draining ones included; 0 until it is known."""
        return self.sums.instances if self.sums is not None else 0

    @property
    def warm_size(self) -> float:
        """Upper bound of the total size, each instance weighted by slow start; infinite until it is known.

        A cold instance is sent in proportion to what warm ones answer per unit of this size, so an estimate
        that is too small would let all dispatchers together overload it. The sum is therefore extrapolated
        from `since` as if every instance were still in slow start, up to the total size.
        """
        if self.sums is None:
            return inf
        if not self.ramp_time:
            return self.sums.size
        warmed = (1 - self.cold_share) * (self.clock() - self.since) / self.ramp_time
        return min(self.sums.size, self.sums.warm + self.sums.size * warmed)
