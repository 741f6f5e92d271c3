"""Retry-After times, reserved in future capacity: no moment is named to more clients than it can serve."""

from collections import deque
from math import ceil

from lapistrestle.ticks import SECOND

SLOT = 1_000  # ticks: reservations are counted by slots of this width
HEADROOM = 0.8  # part of the capacity that is reserved; the rest is for those that were given no time
NO_SLOT = -(10**9)  # long before any


class RetryReservations:
    """The reservations of one dispatcher.

    It reserves from its own part of the fleet's capacity only, so that those of all add up to no more than
    the capacity.
    """

    def __init__(self, longest: int, now: int) -> None:
        """`longest` is the longest Retry-After that may be named, in ticks."""
        self.horizon = longest // SLOT  # in slots
        self.first_slot = now // SLOT  # of `reserved`
        self.reserved: deque[float] = deque()  # by slot
        self.last_slot = NO_SLOT  # the last one reserved, where less than one request fits each

    def reserve(self, now: int, shortest: int, capacity: float, spread: float) -> int:
        """A Retry-After of at least `shortest` ticks; 0: no time can be named.

        `capacity` is in requests a second beyond first requests; `spread` in [0, 1) says where in its slot
        the request is to come.
        """
        self.drop_past(now)
        per_slot = HEADROOM * capacity * SLOT / SECOND
        if per_slot <= 0:
            return 0
        for slot in range(max(1, ceil(shortest / SLOT)), self.horizon):
            while len(self.reserved) <= slot:
                self.reserved.append(0.0)
            if per_slot >= 1 and self.reserved[slot] + 1 <= per_slot:
                self.reserved[slot] += 1
                return self.delay_until(slot, spread, now)
            if per_slot < 1 and self.first_slot + slot >= self.last_slot + ceil(1 / per_slot):
                self.reserved[slot] += 1
                self.last_slot = self.first_slot + slot
                return self.delay_until(slot, spread, now)
        return 0

    def drop_past(self, now: int) -> None:
        """Drop slots that are over."""
        while self.first_slot < now // SLOT:
            if self.reserved:
                self.reserved.popleft()
            self.first_slot += 1

    def delay_until(self, slot: int, spread: float, now: int) -> int:
        """Ticks from now to that part of a slot."""
        return max(1, (self.first_slot + slot) * SLOT + int(spread * SLOT) - now)
