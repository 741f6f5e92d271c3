"""The choice of the statistics that admission uses, with graceful degradation in two steps.

A step down is immediate, a step up requires a period without change, so that flapping links do not change
the admission level with every gap.
"""

from collections.abc import Callable
from enum import IntEnum

from lapistrestle.ticks import SECOND

SETTLING_TIME = 3 * SECOND  # without change before a step up
MIN_COUNTED_PART = 0.5  # of the live members must have reported for the fleet's statistics to be reliable
MIN_OWN_RATE = 5.0  # requests a second; below it a dispatcher's own statistics are noise


class StatisticsSource(IntEnum):
    """The statistics in use; each is a step down from the previous one."""

    FLEET = 1  # those of all members
    OWN = 2  # the dispatcher's own, taken as representative of its part of the last known fleet
    NONE = 3  # none: no admission level, as without a fleet


# in logs and in `fleet show`
DISPLAY_NAMES = {
    StatisticsSource.FLEET: "together",
    StatisticsSource.OWN: "part",
    StatisticsSource.NONE: "alone",
}


class SourceSelector:
    """Switches between the sources, and logs each step."""

    def __init__(self, log_line: Callable[[str], None], now: int) -> None:
        self.source = StatisticsSource.NONE
        self.log_line = log_line
        self.changed_at = now

    def update(self, counted: int, size: int, own_rate: float, now: int) -> StatisticsSource:
        """Return the source to use from now on.

        `counted` of `size` members, this one included, have recent statistics; `own_rate` is the dispatcher's
        own traffic in requests a second.
        """
        reliable = reliable_source(counted, size, own_rate)
        is_two_up = self.source is StatisticsSource.NONE and reliable is StatisticsSource.FLEET
        source = StatisticsSource.OWN if is_two_up else reliable
        is_settled = now - self.changed_at >= SETTLING_TIME
        if source > self.source or (source < self.source and is_settled):
            self.source = source
            self.changed_at = now
            name = DISPLAY_NAMES[source]
            self.log_line(f"fleet figures {name}: {counted} of {size} heard, {own_rate:.1f} own a second")
        return self.source


def reliable_source(counted: int, size: int, own_rate: float) -> StatisticsSource:
    """Return the best source that is reliable now."""
    if size > 1 and counted > 1 and counted >= MIN_COUNTED_PART * size:
        return StatisticsSource.FLEET
    return StatisticsSource.OWN if own_rate >= MIN_OWN_RATE else StatisticsSource.NONE
