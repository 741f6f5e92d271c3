"""Whose statistics admission goes by, as far as they can be relied on: graceful degradation in two steps.

A step down is taken at once, a step up only after a while without a change, so that links that flap do not
move the level with every gap.
"""

from collections.abc import Callable
from enum import IntEnum

from lapistrestle.ticks import SECOND

SETTLING_TIME = 3 * SECOND  # without a change before one step up
MIN_COUNTED_PART = 0.5  # of the members present must have reported, for the fleet's statistics to mean much
MIN_OWN_RATE = 5.0  # requests a second of one's own, under which one's own statistics are chance


class StatisticsSource(IntEnum):
    """Whose statistics are used; each is a step down from the one before."""

    FLEET = 1  # the fleet's
    OWN = 2  # one's own alone, which say the same of one's own part of the last known fleet
    NONE = 3  # nobody's: no level at all, as where no fleet is set


# in log lines and in what operators are shown
DISPLAY_NAMES = {
    StatisticsSource.FLEET: "together",
    StatisticsSource.OWN: "part",
    StatisticsSource.NONE: "alone",
}


class SourceSelector:
    """Steps down and up between the sources, with one log line for each step."""

    def __init__(self, log_line: Callable[[str], None], now: int) -> None:
        self.source = StatisticsSource.NONE
        self.log_line = log_line
        self.changed_at = now

    def update(self, counted: int, size: int, own_rate: float, now: int) -> StatisticsSource:
        """The source from now on.

        `counted` of `size` members have young statistics, oneself among them; `own_rate` is one's own traffic
        in requests a second.
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
    """The best source that can be relied on at this moment."""
    if size > 1 and counted > 1 and counted >= MIN_COUNTED_PART * size:
        return StatisticsSource.FLEET
    return StatisticsSource.OWN if own_rate >= MIN_OWN_RATE else StatisticsSource.NONE
