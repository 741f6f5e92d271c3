"""How long new work may be started by the last list of workers without news from the board. No I/O.

Nothing new may be sent to a worker that drains. A drain counts as notified once it is on the board, also
while this dispatcher is not connected. While a watch delivers frames, nothing is missed. Otherwise the
protocol says from when on events that were not delivered count as notified: 4 s after the watch fell silent
or the configuration named another board, 2 s after the connection broke, and at once when the board is asked
again. The settings' drain grace is added to that. After this time any worker may be draining, so no new work
is started at all. Times are ticks of 0.1 ms.
"""

from dataclasses import dataclass

from lapistrestle.ticks import SECOND

# An event that was not delivered counts as notified so long after:
NOTIFIED_AFTER_SILENCE = 4 * SECOND  # the last frame received
NOTIFIED_AFTER_MOVE = 4 * SECOND  # a configuration that names another board
NOTIFIED_AFTER_BREAK = 2 * SECOND  # the loss of the connection


@dataclass
class ListFreshness:
    """The time until which the list may be used."""

    grace: int  # ticks for which new work may still be sent to a worker after its drain counts as notified
    usable_until: int  # initially the time at which the configuration was written, plus the grace

    def is_usable(self, now: int) -> bool:
        """Whether new work may be started by the list."""
        return now <= self.usable_until

    def frame_received(self, at: int) -> None:
        """A complete frame arrived at this time: nothing was missed until then."""
        self.usable_until = max(self.usable_until, at + NOTIFIED_AFTER_SILENCE + self.grace)

    def watch_broke(self, at: int) -> None:
        """The watch was lost, at this time at the earliest."""
        self.shorten(at + NOTIFIED_AFTER_BREAK)

    def board_moved(self, at: int) -> None:
        """The configuration named another board."""
        self.shorten(at + NOTIFIED_AFTER_MOVE)

    def watch_started(self, at: int) -> None:
        """The board was asked again: all its events count as notified."""
        self.shorten(at)

    def event_missed(self, at: int) -> None:
        """An event was missed: it counts as notified, and there may be others."""
        self.shorten(at)

    def shorten(self, notified_at: int) -> None:
        """All events on the board count as notified from this time on."""
        self.usable_until = min(self.usable_until, notified_at + self.grace)
