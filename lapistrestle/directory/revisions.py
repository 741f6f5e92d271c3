"""Which of two revisions is the newer, as far as a watcher can tell."""

from collections.abc import Sequence

from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import Revision

MOST_SOURCES = 64  # that are remembered, the latest
REVERSAL = 15 * SECOND  # longer than a holder takes to notice that its roster is gone


class Revisions:
    """Sources in the order in which they superseded one another, as far as holders have reported.

    Revisions of one source are ordered by their number. A source that is new to this watcher is taken for
    newer than all before it: the roster began anew. One that was superseded stays so, but where the order was
    learnt the wrong way round, from a holder that was behind. That shows when a holder tells which sources
    it saw end, or goes over from one to another (it never goes back); or when nobody has spoken of the
    present source for so long that a holder which says that it hears its roster must be right.
    """

    def __init__(self) -> None:
        self.order = list[str]()  # the last one is the present one
        self.last_heard_at = dict[str, int]()  # when a holder last spoke of each

    def is_older(self, one: Revision, other: Revision) -> bool:
        """Whether `one` is older than `other`, which this watcher has seen."""
        if one.source == other.source:
            return one.number < other.number
        return self.rank(one.source) < self.rank(other.source)

    def rank(self, source: str) -> int:
        """The higher, the newer. What was never seen here is taken for new."""
        return self.order.index(source) if source in self.last_heard_at else len(self.order)

    def record_seen(self, source: str, now: int) -> None:
        """Word of this source was taken."""
        if source not in self.last_heard_at:
            self.insert(source, len(self.order), now)
        self.last_heard_at[source] = max(now, self.last_heard_at[source])

    def insert(self, source: str, at: int, now: int) -> None:
        """Enter a source that was not met before, at this place of the order."""
        self.order.insert(at, source)
        self.last_heard_at[source] = now
        while len(self.order) > MOST_SOURCES:
            del self.last_heard_at[self.order.pop(0)]

    def record_superseded(self, sources: Sequence[str], by: str, now: int) -> None:
        """A holder saw these end, one after the other, before the one that it speaks of now."""
        later = by
        for source in reversed(sources):
            if source not in self.last_heard_at:
                at = self.rank(later) if later in self.last_heard_at else self.after_known(sources, source)
                self.insert(source, at, now)
            elif later in self.last_heard_at and self.rank(later) < self.rank(source):
                self.order.remove(source)
                self.order.insert(self.rank(later), source)
            later = source

    def after_known(self, sources: Sequence[str], source: str) -> int:
        """Behind the last of the sources ahead of this one that is known here; first, if none is."""
        earlier = sources[: sources.index(source)]
        ahead = [self.rank(known) for known in earlier if known in self.last_heard_at]
        return max(ahead, default=-1) + 1

    def is_acceptable(self, source: str, age: int, now: int) -> bool:
        """Whether knowledge of this source may be taken from a holder that this watcher has just met.

        `age` is 0 where the holder hears its roster. Where it doesn't, a source not heard of here may well be
        an old one.
        """
        if not self.order or source == self.order[-1]:
            return True
        if source not in self.last_heard_at:
            return not age or now - self.last_heard_at[self.order[-1]] >= REVERSAL
        later = self.order[self.rank(source) + 1 :]
        if age or any(now - self.last_heard_at[other] < REVERSAL for other in later):
            return False
        self.order.remove(source)
        self.order.append(source)
        return True
