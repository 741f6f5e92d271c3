"""Whose figures admission goes by, as far as they can be relied on: the fleet's, one's own, or none.

FLEET: the fleet's figures. OWN: one's own figures alone, which say the same of one's own part of a last known
fleet, as the level is worked out from shares. NONE: no level at all, the module's own judgement, as where no
fleet is set. A step down is taken at once, a step up only after a while without a step down, so that links
that flap do not move the level with every gap.
"""

from collections.abc import Callable
from enum import Enum, IntEnum

SECOND = 10_000  # in tenths of a millisecond
SETTLED = 3 * SECOND  # without a worse reading before one step up
MIN_HEARD = 0.5  # of those that count as there must be heard of, for the fleet's figures to say something
MIN_OWN = 5.0  # RPCs a second of one's own, under which one's own figures are chance

StatisticsSource = IntEnum("StatisticsSource", "FLEET OWN NONE")  # each further down than the one before
Reading = Enum("Reading", "FLEET OWN NONE")  # what the figures allow at this moment

NAMES = {
    StatisticsSource.FLEET: "together",
    StatisticsSource.OWN: "part",
    StatisticsSource.NONE: "alone",
}  # in log lines and shown

TRANSITIONS: dict[tuple[StatisticsSource, Reading], StatisticsSource] = {
    (StatisticsSource.FLEET, Reading.FLEET): StatisticsSource.FLEET,
    (StatisticsSource.FLEET, Reading.OWN): StatisticsSource.OWN,
    (StatisticsSource.FLEET, Reading.NONE): StatisticsSource.NONE,
    (StatisticsSource.OWN, Reading.FLEET): StatisticsSource.FLEET,
    (StatisticsSource.OWN, Reading.OWN): StatisticsSource.OWN,
    (StatisticsSource.OWN, Reading.NONE): StatisticsSource.NONE,
    (StatisticsSource.NONE, Reading.FLEET): StatisticsSource.OWN,
    (StatisticsSource.NONE, Reading.OWN): StatisticsSource.OWN,
    (StatisticsSource.NONE, Reading.NONE): StatisticsSource.NONE,
}


class SourceSelector:
    """Steps down and up between the bases, one log line for each."""

    def __init__(self, log: Callable[[str], None], now: int) -> None:
        self.basis, self.log, self.stepped_down = StatisticsSource.NONE, log, now

    def update(self, counted: int, size: int, own: float, now: int) -> StatisticsSource:
        """`counted` of `size` dispatchers have young figures, oneself among them; `own`: in RPCs a second."""
        basis = TRANSITIONS[self.basis, read(counted, size, own)]
        settled = now - self.stepped_down >= SETTLED
        if basis > self.basis or (basis < self.basis and settled):
            self.basis, self.stepped_down = basis, now
            self.log(f"fleet figures {NAMES[basis]}: {counted} of {size} heard, {own:.1f} own a second")
        return self.basis


def read(counted: int, size: int, own: float) -> Reading:
    """What figures of that many allow."""
    if size > 1 and counted > 1 and counted >= MIN_HEARD * size:
        return Reading.FLEET
    return Reading.OWN if own >= MIN_OWN else Reading.NONE
