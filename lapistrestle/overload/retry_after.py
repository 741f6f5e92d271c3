"""Retry-After times as reservations of future capacity, so that no time slot gets more clients than fit."""

from collections import deque
from math import ceil

from lapistrestle.ticks import SECOND

SLOT = 1_000  # width in ticks of a time slot
HEADROOM = 0.8  # fraction of the capacity that is reserved; the rest is for clients without a Retry-After
NO_SLOT = -(10**9)  # before any slot


class RetryReservations:
    """The reservations of one dispatcher.

    It reserves only from its own part of the fleet's capacity, so that the reservations of all dispatchers
    do not exceed the capacity.
    """

    def __init__(self, longest: int, now: int) -> None:
        """`longest` is the longest allowed Retry-After, in ticks."""
        self.horizon = longest // SLOT  # in slots
        self.first_slot = now // SLOT  # of `reserved`
        self.reserved: deque[float] = deque()  # by slot
        self.last_slot = NO_SLOT  # the last one reserved, while the capacity is below one request per slot

    def reserve(self, now: int, shortest: int, capacity: float, spread: float) -> int:
        """Reserve a slot and return a Retry-After of at least `shortest` ticks; 0: no slot is free.

        `capacity` is in requests a second beyond first requests; `spread` in [0, 1) is the position within
        the slot.
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
        """Drop the slots that have passed."""
        while self.first_slot < now // SLOT:
            if self.reserved:
                self.reserved.popleft()
            self.first_slot += 1

    def delay_until(self, slot: int, spread: float, now: int) -> int:
        """Return the ticks from now to that position within a slot."""
        return max(1, (self.first_slot + slot) * SLOT + int(spread * SLOT) - now)
