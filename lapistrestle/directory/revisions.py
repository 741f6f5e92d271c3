"""Which of two revisions is the newer, as far as a watcher can tell."""

from collections.abc import Iterable

from lapistrestle.wire.directory import Revision

SECOND = 10_000  # in tenths of a millisecond
MOST_SOURCES = 64  # that are remembered, the latest
REVERSAL = 15 * SECOND  # longer than a holder takes to notice that its roster is gone


class Revisions:
    """Sources in the order in which they superseded one another.

    Revisions of one source are ordered by their number. A source that is new to this watcher is taken for
    newer than all before it: the roster began anew. One that was superseded stays so, but for two cases in
    which the order was learnt the wrong way round, from a holder that was behind: a holder goes over from one
    source to another (it never goes back), or nobody has spoken of the present source for so long that a
    holder which says that it hears its roster must be right.
    """

    def __init__(self) -> None:
        self.sources = dict[str, int]()  # when each was last heard of; the last one is the present one

    def older(self, one: Revision, other: Revision) -> bool:
        """Whether `one` is older than `other`, which this watcher has seen."""
        if one.source == other.source:
            return one.number < other.number
        return self.rank(one.source) < self.rank(other.source)

    def rank(self, source: str) -> int:
        """The higher, the newer. What was never seen here is taken for new."""
        return list(self.sources).index(source) if source in self.sources else len(self.sources)

    def seen(self, source: str, now: int) -> None:
        """A holder spoke of this source."""
        if source in self.sources:
            self.sources[source] = max(now, self.sources[source])
            return
        self.sources[source] = now
        self.bound()

    def went_over(self, before: str, after: str, now: int) -> None:
        """One holder spoke of one source, and then of another, which is the newer."""
        if self.rank(after) < self.rank(before):
            self.make_present(after, now)

    def superseded(self, sources: Iterable[str], by: str, now: int) -> None:
        """A holder saw these end before its present source began."""
        for source in sources:
            if source not in self.sources:
                self.sources = {source: now, **self.sources}
            elif by in self.sources and self.rank(by) < self.rank(source):
                self.make_present(by, now)
        self.bound()

    def bound(self) -> None:
        while len(self.sources) > MOST_SOURCES:
            del self.sources[next(iter(self.sources))]

    def acceptable(self, source: str, age: int, now: int) -> bool:
        """Whether knowledge of this source may be taken from a holder that this watcher has just met.

        `age` is 0 where the holder hears its roster. Where it doesn't, a source not heard of here may well be
        an old one.
        """
        present = next(reversed(self.sources), source)
        if source == present:
            return True
        if source not in self.sources:
            return not age or now - self.sources[present] >= REVERSAL
        later = list(self.sources)[self.rank(source) + 1 :]
        if age or any(now - self.sources[other] < REVERSAL for other in later):
            return False
        self.make_present(source, now)
        return True

    def make_present(self, source: str, now: int) -> None:
        self.sources.pop(source, None)
        self.sources[source] = now
