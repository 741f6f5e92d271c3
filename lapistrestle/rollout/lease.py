"""How long an edge may go on sending to a candidate without word from the planner.

A rollback must hold at every edge within a second, also where the connection is stalled and not closed, so
an edge may use an unsettled share only while a lease lasts. The planner renews leases by its beats. Two
clocks never meet: an edge counts from when it *sent* the request that a beat answers, so a beat that lay in
a socket grants nothing.

An edge whose lease has run out sends all to the settled version, whose copies are kept. It takes the
candidate up again only after some beats in a row, so that a planner that restarts or a link that flaps
moves the traffic over and back once and not with every gap.
"""

from dataclasses import dataclass
from enum import Enum

Mode = Enum("Mode", "USING OUT RETURNING")
News = Enum("News", "FRESH STALE EXPIRED STEADY")
LEASE = 8_000  # tenths of a millisecond: with a request on its way it stays under the second
STEADY_FOR = 30_000  # beats must have come for so long before the share is used again

MODES: dict[tuple[Mode, News], Mode] = {
    (Mode.USING, News.FRESH): Mode.USING,
    (Mode.USING, News.STALE): Mode.USING,
    (Mode.USING, News.EXPIRED): Mode.OUT,
    (Mode.USING, News.STEADY): Mode.USING,
    (Mode.OUT, News.FRESH): Mode.RETURNING,
    (Mode.OUT, News.STALE): Mode.OUT,
    (Mode.OUT, News.EXPIRED): Mode.OUT,
    (Mode.OUT, News.STEADY): Mode.OUT,
    (Mode.RETURNING, News.FRESH): Mode.RETURNING,
    (Mode.RETURNING, News.STALE): Mode.RETURNING,
    (Mode.RETURNING, News.EXPIRED): Mode.OUT,
    (Mode.RETURNING, News.STEADY): Mode.USING,
}


@dataclass
class Lease:
    """One edge's; times are of its own clock."""

    mode: Mode = Mode.OUT
    until: int = -1
    since: int = 0  # when it began to return

    def beat(self, asked: int, now: int) -> None:
        """The answer to a request of the time `asked`."""
        self.check(now)
        fresh = asked + LEASE > now
        self.until = max(self.until, asked + LEASE)
        before = self.mode
        self.mode = MODES[self.mode, News.FRESH if fresh else News.STALE]
        if before is Mode.OUT and self.mode is Mode.RETURNING:
            self.since = now

    def check(self, now: int) -> None:
        if now >= self.until:
            self.mode = MODES[self.mode, News.EXPIRED]
        elif self.mode is Mode.RETURNING and now - self.since >= STEADY_FOR:
            self.mode = MODES[self.mode, News.STEADY]

    def usable(self, now: int) -> bool:
        """Whether an unsettled share may be used at this moment; asked for each RPC, with the clock of now,
        so that an edge that stood still and wakes with an old plan sends nothing by it."""
        self.check(now)
        return self.mode is Mode.USING
