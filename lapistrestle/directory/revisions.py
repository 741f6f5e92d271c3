"""Which of two revisions is the newer, as far as a watcher can tell."""

from lapistrestle.wire.directory import Revision

MOST_SOURCES = 64  # superseded sources that are remembered, the latest


class Revisions:
    """Sources in the order in which they superseded one another.

    Revisions of one source are ordered by their number. A source that is new to this watcher is newer than
    all before it: the roster began anew. One that was superseded stays so.
    """

    def __init__(self) -> None:
        self.sources = dict[str, None]()  # the last one is the present one

    def older(self, one: Revision, other: Revision) -> bool:
        """Whether `one` is older than `other`, which this watcher has seen."""
        if one.source == other.source:
            return one.number < other.number
        return self.rank(one.source) < self.rank(other.source)

    def rank(self, source: str) -> int:
        """The higher, the newer. What was never seen here is taken for new."""
        if source not in self.sources:
            return len(self.sources)
        return list(self.sources).index(source)

    def seen(self, revision: Revision) -> None:
        """Something of this revision was taken."""
        if revision.source not in self.sources:
            self.sources[revision.source] = None
            while len(self.sources) > MOST_SOURCES:
                del self.sources[next(iter(self.sources))]
