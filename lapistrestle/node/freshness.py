"""How long new work may be started by the last list of workers without news from the board. No I/O.

Nothing new may be sent to a worker that drains. A drain counts as notified once it is on the board, also
while this dispatcher is not connected. The protocol says from when on events that were not delivered count as
notified: 4 s after the watch fell silent or the configuration named another board, 2 s after the connection
broke, and at once when the board is asked again. The settings' drain grace is added to that. After this time
any worker may be draining, so no new work is started at all.

A board that was asked again sends the missed events one by one. The frame of an event does not tell whether
others follow, which count as notified already; a heartbeat does, as it is only sent when there is no later
event. So a new watch makes the list usable from its first heartbeat on. After that nothing is missed while
frames of any kind arrive. Times are ticks of 0.1 ms.
"""

from dataclasses import dataclass, field

from lapistrestle.policy.types import EndpointGap
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
    is_caught_up: bool = False  # the board has told this watch that it has no later event
    complete_until: int = field(init=False)  # no event on the board was missed until this time

    def __post_init__(self) -> None:
        """A list is complete as of the configuration that it comes from."""
        self.complete_until = self.usable_until - self.grace

    def gap(self) -> EndpointGap | None:
        """The events that may be missing; None: all that count as notified have been received."""
        if self.is_caught_up:
            return None
        return EndpointGap(self.complete_until, self.usable_until - self.grace)

    def is_usable(self, now: int) -> bool:
        """Whether new work may be started by the list."""
        return now <= self.usable_until

    def heartbeat_received(self, at: int) -> None:
        """A heartbeat arrived at this time, and the board has no later event than those applied."""
        self.is_caught_up = True
        self.extend(at)

    def event_received(self, at: int) -> None:
        """An event arrived at this time; before the first heartbeat of a watch, others may follow it."""
        if self.is_caught_up:
            self.extend(at)

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

    def extend(self, complete_until: int) -> None:
        """No event on the board was missed until this time."""
        self.complete_until = max(self.complete_until, complete_until)
        self.usable_until = max(self.usable_until, complete_until + NOTIFIED_AFTER_SILENCE + self.grace)

    def shorten(self, notified_at: int) -> None:
        """Events may be missed; all that are on the board count as notified from this time on."""
        self.is_caught_up = False
        self.usable_until = min(self.usable_until, notified_at + self.grace)
