"""How long new work may begin by the list of workers as last notified (rule 3). No I/O.

An event counts as notified once it is in the board, whoever is connected. While a watch delivers, nothing is
missed. Where it no longer does, the pages say from when on what it would have sent counts as notified: 4 s
after it fell silent or the configuration named another board, 2 s after it broke off, and at once where the
board was asked anew. The grace of the settings comes on top. Once that has passed in silence nobody knows
whether a worker drains, so nothing new begins anywhere. Times are whole tenths of a millisecond.
"""

from dataclasses import dataclass

from lapistrestle.ticks import SECOND

NOTIFIED_AFTER_SILENCE = 4 * SECOND  # protocol page, "Figures"
NOTIFIED_AFTER_MOVE = 4 * SECOND  # page of the days, "New configurations and restarts"
NOTIFIED_AFTER_BREAK = 2 * SECOND  # page of the days, "Bad peers"


@dataclass
class ListFreshness:
    """Until when the list may be used.

    `grace` of the settings, in tenths of a millisecond, is for how long new work may begin at a worker whose
    drain counts as notified.
    """

    grace: int
    usable_until: int  # at a start: the grace after the list of the configuration was written

    def is_usable(self, now: int) -> bool:
        """Whether new work may begin by the list."""
        return now <= self.usable_until

    def frame_received(self, at: int) -> None:
        """A complete frame came at this moment: until then nothing was missed."""
        self.usable_until = max(self.usable_until, at + NOTIFIED_AFTER_SILENCE + self.grace)

    def watch_broke(self, at: int) -> None:
        """The watch ended, at this moment at the earliest."""
        self.shorten(at + NOTIFIED_AFTER_BREAK)

    def board_moved(self, at: int) -> None:
        """The configuration named another board."""
        self.shorten(at + NOTIFIED_AFTER_MOVE)

    def watch_started(self, at: int) -> None:
        """The board was asked anew: all that is in it counts as notified."""
        self.shorten(at)

    def event_missed(self, at: int) -> None:
        """The board holds an event that did not come: it counts as notified, and so may others."""
        self.shorten(at)

    def shorten(self, notified_at: int) -> None:
        """What the board holds counts as notified from this moment on."""
        self.usable_until = min(self.usable_until, notified_at + self.grace)
