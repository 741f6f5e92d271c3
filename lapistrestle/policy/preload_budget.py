"""The budget of preloads: so many for free in a window, and more for each request in it (operators' rule
5).

What counts is where preloads cross to their workers: one without answer may be about to cross, and
requests are older there by then (docs/design.md, "Order budget").
"""

from bisect import bisect_right, insort
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import PendingPreload, Request
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.settings import Settings

# A preload that took longer than so many usual loads may have lain on the way for the rest.
TYPICAL_LOADS: Final = 2


class PreloadBudget:
    """Preloads and requests of the window."""

    def __init__(self, settings: Settings, clock: Clock, copies: LoadedCopies) -> None:
        self.settings = settings
        self.clock = clock
        self.copies = copies
        self.arrivals = list[int]()  # answered preloads: when each may have crossed, in order
        self.requests = list[int]()  # when each came, in order
        self.pending = 0  # preloads without answer

    def add_request(self, request: Request) -> None:
        """Count the request from when it came, unless it was counted before."""
        now = self.clock.now
        if not request.moved:
            insort(self.requests, now if request.came is None else request.came)
        del self.requests[: bisect_right(self.requests, now - self.settings.preload_window)]

    def allows(self, part: float) -> bool:
        """Whether one more preload is within this part of the budget."""
        settings = self.settings
        now = self.clock.now
        window = settings.preload_window
        delay = settings.preload_delay
        del self.arrivals[: bisect_right(self.arrivals, now - window - delay)]
        del self.requests[: bisect_right(self.requests, now - window + delay)]
        if not settings.may_preload:
            return False
        most = part * (settings.preload_free + settings.preload_share * len(self.requests))
        return not window or len(self.arrivals) + self.pending + 1 <= most

    def add_preload(self) -> None:
        """Count a preload that is being sent."""
        self.pending += 1

    def finish(self, preload: PendingPreload, duration: int) -> None:
        """Count an answered preload from when it may have crossed."""
        self.pending -= 1
        late = duration - TYPICAL_LOADS * self.copies.load_time.read(duration)
        insort(self.arrivals, preload.sent + max(0, int(late)))
