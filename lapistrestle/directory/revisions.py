"""The order of revisions, as far as a watcher can tell."""

from collections.abc import Sequence

from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import Revision

MAX_SOURCES = 64  # the latest ones; older ones are forgotten
SOURCE_REVERSAL_TIMEOUT = 15 * SECOND  # longer than a holder takes to detect that its roster is gone


class Revisions:
    """Sources (epochs of the roster) in the order in which they superseded one another.

    Revisions of one source are ordered by their number. A source that is new to this watcher counts as newer
    than all others: the roster was restarted. The order may have been learned wrongly from a holder that was
    behind; it is corrected when a holder reports which sources it saw superseded or changes from one source
    to another (holders never go back), or when no holder has reported the current source for
    `SOURCE_REVERSAL_TIMEOUT`, so that a holder connected to its roster must be right.
    """

    def __init__(self) -> None:
        self.order = list[str]()  # oldest first; the last one is current
        self.last_reported_at = dict[str, int]()  # when a holder last reported each source

    def is_older(self, one: Revision, other: Revision) -> bool:
        """Whether `one` is older than `other`, whose source this watcher has seen."""
        if one.source == other.source:
            return one.number < other.number
        return self.rank(one.source) < self.rank(other.source)

    def rank(self, source: str) -> int:
        """Position in the order: the higher, the newer. An unseen source counts as the newest."""
        return self.order.index(source) if source in self.last_reported_at else len(self.order)

    def record_seen(self, source: str, now: int) -> None:
        """Record that a message with this source was accepted."""
        if source not in self.last_reported_at:
            self.insert(source, len(self.order), now)
        self.last_reported_at[source] = max(now, self.last_reported_at[source])

    def insert(self, source: str, at: int, now: int) -> None:
        """Insert a source not seen before at this position of the order."""
        self.order.insert(at, source)
        self.last_reported_at[source] = now
        while len(self.order) > MAX_SOURCES:
            del self.last_reported_at[self.order.pop(0)]

    def record_superseded(self, sources: Sequence[str], by: str, now: int) -> None:
        """Record that a holder saw `sources` superseded in this order, the last one by `by`."""
        later = by
        for source in reversed(sources):
            if source not in self.last_reported_at:
                at = (
                    self.rank(later)
                    if later in self.last_reported_at
                    else self.position_after_known(sources, source)
                )
                self.insert(source, at, now)
            elif later in self.last_reported_at and self.rank(later) < self.rank(source):
                self.order.remove(source)
                self.order.insert(self.rank(later), source)
            later = source

    def position_after_known(self, sources: Sequence[str], source: str) -> int:
        """The position after the last known one of the sources that precede `source`; 0 if none is known."""
        earlier = sources[: sources.index(source)]
        ahead = [self.rank(known) for known in earlier if known in self.last_reported_at]
        return max(ahead, default=-1) + 1

    def is_acceptable(self, source: str, age: int, now: int) -> bool:
        """Whether a snapshot with this source may be accepted.

        `age` is 0 if the holder is connected to its roster. Otherwise a source that is unknown here may be an
        old one.
        """
        if not self.order or source == self.order[-1]:
            return True
        if source not in self.last_reported_at:
            return not age or now - self.last_reported_at[self.order[-1]] >= SOURCE_REVERSAL_TIMEOUT
        later = self.order[self.rank(source) + 1 :]
        if age or any(now - self.last_reported_at[other] < SOURCE_REVERSAL_TIMEOUT for other in later):
            return False
        self.order.remove(source)
        self.order.append(source)
        return True
