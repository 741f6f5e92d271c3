"""How long new work may begin by the list of workers as it was last told (rule 3). No I/O.

An event counts as told once it is in the board, whoever is connected. While a watch tells, nothing is missed.
Where it no longer does, the pages say from when on what it would have told counts as told: 4 s after it
fell silent or the configuration named another board, 2 s after it broke off, and at once where the board was
asked anew. The grace of the settings comes on top. Once that has passed without a word nobody knows whether a
worker drains, so nothing new begins anywhere. Times are whole tenths of a millisecond.
"""

from dataclasses import dataclass

SECOND = 10_000
TOLD_AFTER_SILENCE = 4 * SECOND  # protocol page, "Figures"
TOLD_AFTER_MOVE = 4 * SECOND  # page of the days, "New configurations and restarts"
TOLD_AFTER_BREAK = 2 * SECOND  # page of the days, "Bad peers"


@dataclass
class ListFreshness:
    """`grace` of the settings: for how long new work may begin at a worker that counts as told to drain."""

    grace: int
    usable_until: int  # at a start: the grace after the list of the configuration was written

    def is_usable(self, now: int) -> bool:
        """Whether new work may begin by the list."""
        return now <= self.usable_until

    def heard(self, at: int) -> None:
        """A whole frame came at this moment: until then nothing was missed."""
        self.usable_until = max(self.usable_until, at + TOLD_AFTER_SILENCE + self.grace)

    def broke(self, at: int) -> None:
        """The watch ended, at this moment at the earliest."""
        self.shorten(at + TOLD_AFTER_BREAK)

    def moved(self, at: int) -> None:
        """The configuration named another board."""
        self.shorten(at + TOLD_AFTER_MOVE)

    def asked(self, at: int) -> None:
        """The board was asked anew: all that is in it counts as told."""
        self.shorten(at)

    def fell_behind(self, at: int) -> None:
        """The board holds an event that did not come: it counts as told, and so may others."""
        self.shorten(at)

    def shorten(self, told: int) -> None:
        """What the board holds counts as told from this moment on."""
        self.usable_until = min(self.usable_until, told + self.grace)
