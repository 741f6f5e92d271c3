"""Retry-after times, reserved in room that will be there: no moment is named to more than fit in it."""

from collections import deque
from math import ceil

SECOND = 10_000  # in tenths of a millisecond
SLOT = 1_000  # tenths of a millisecond: reservations are kept by slots of this width
HEADROOM = 0.8  # of the room is reserved; the rest is for those that were named no time
LONG_AGO = -(10**9)  # a slot


class RetryReservations:
    """What one dispatcher has reserved. It reserves out of its own part of the fleet's room only, so that the
    reservations of all add up to no more than the whole. `longest` is the furthest time that may be named."""

    def __init__(self, longest: int, now: int) -> None:
        self.slots = longest // SLOT  # of the horizon
        self.first = now // SLOT
        self.booked: deque[float] = deque()
        self.last = LONG_AGO  # the last slot reserved, where less than one fits each

    def reserve(self, now: int, least: int, room: float, chance: float) -> int:
        """After how long to retry, in tenths of a millisecond, at least `least`; 0: no time can be named.
        `room`: RPCs a second that can be served beyond first tries, `chance` in [0, 1) spreads those of a
        slot over it."""
        self.drop_past(now)
        each = HEADROOM * room * SLOT / SECOND
        if each <= 0:
            return 0
        for slot in range(max(1, ceil(least / SLOT)), self.slots):
            while len(self.booked) <= slot:
                self.booked.append(0.0)
            if each >= 1 and self.booked[slot] + 1 <= each:
                self.booked[slot] += 1
                return self.span(now, slot, chance)
            if each < 1 and self.first + slot >= self.last + ceil(1 / each):
                self.booked[slot], self.last = self.booked[slot] + 1, self.first + slot
                return self.span(now, slot, chance)
        return 0

    def drop_past(self, now: int) -> None:
        """Slots that are over."""
        while self.first < now // SLOT:
            if self.booked:
                self.booked.popleft()
            self.first += 1

    def span(self, now: int, slot: int, chance: float) -> int:
        """From now to that part of a slot."""
        return max(1, (self.first + slot) * SLOT + int(chance * SLOT) - now)
