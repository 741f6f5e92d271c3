"""Budget of preloads: a fixed number per window, and a share of the requests in the window.

The budget is checked where preloads arrive at the workers: a preload without answer may still be about to
arrive, and by then some of the requests have left the window (docs/design.md, "Order budget").
"""

from bisect import bisect_right, insort
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import PendingPreload, Request
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.settings import Settings

# A preload that took longer than so many typical loads may have spent the excess in transit.
TYPICAL_LOADS: Final = 2


class PreloadBudget:
    """Preloads and requests in the window."""

    def __init__(self, settings: Settings, clock: Clock, copies: LoadedCopies) -> None:
        self.settings = settings
        self.clock = clock
        self.copies = copies
        self.arrivals = list[int]()  # latest tick at which each answered preload may have arrived, sorted
        self.requests = list[int]()  # tick at which each arrived, sorted
        self.pending = 0  # preloads in flight

    def add_request(self, request: Request) -> None:
        """Count the request from its arrival, unless it was counted before."""
        now = self.clock.now
        if not request.already_counted:
            insort(self.requests, now if request.arrived_at is None else request.arrived_at)
        del self.requests[: bisect_right(self.requests, now - self.settings.preload_window)]

    def allows(self, fraction: float) -> bool:
        """Whether one more preload is within this fraction of the budget."""
        settings = self.settings
        now = self.clock.now
        window = settings.preload_window
        delay = settings.preload_delay
        del self.arrivals[: bisect_right(self.arrivals, now - window - delay)]
        del self.requests[: bisect_right(self.requests, now - window + delay)]
        if not settings.may_preload:
            return False
        limit = fraction * (settings.preload_free + settings.preload_share * len(self.requests))
        return not window or len(self.arrivals) + self.pending + 1 <= limit

    def add_preload(self) -> None:
        """Record a preload that is being sent."""
        self.pending += 1

    def finish(self, preload: PendingPreload, duration: int) -> None:
        """Record an answered preload from the latest tick at which it may have arrived."""
        self.pending -= 1
        excess = duration - TYPICAL_LOADS * self.copies.load_time.read(duration)
        insort(self.arrivals, preload.sent_at + max(0, int(excess)))
