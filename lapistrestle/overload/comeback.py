"""Times to come back, promised out of room that will be there: no moment to more than fit in it."""

from collections import deque
from math import ceil

SLOT = 1_000  # tenths of a millisecond: promises are kept by slots of this width
HEADROOM = 0.8  # of the room is promised; the rest is for those that were promised nothing


class Calendar:
    """What one dispatcher has promised. It promises out of its own part of the fleet's room only, so that the
    promises of all add up to no more than the whole."""

    def __init__(self, longest: int, now: int) -> None:
        self.slots = longest // SLOT  # of the horizon
        self.first = now // SLOT
        self.booked: deque[float] = deque()
        self.last = -(10**9)  # the last slot promised, where less than one fits each

    def promise(self, now: int, least: int, room: float, chance: float) -> int:
        """How long to stay away, in tenths of a millisecond; 0: nothing can be promised. `room`: RPCs a
        second that can be served beyond first tries, `chance` in [0, 1) spreads those of a slot over it."""
        while self.first < now // SLOT:
            if self.booked:
                self.booked.popleft()
            self.first += 1
        each = HEADROOM * room * SLOT / 10_000
        if each <= 0:
            return 0
        for slot in range(max(1, ceil(least / SLOT)), self.slots):
            while len(self.booked) <= slot:
                self.booked.append(0.0)
            if each >= 1 and self.booked[slot] + 1 <= each:
                self.booked[slot] += 1
                return self.at(now, slot, chance)
            if each < 1 and self.first + slot >= self.last + ceil(1 / each):
                self.booked[slot], self.last = self.booked[slot] + 1, self.first + slot
                return self.at(now, slot, chance)
        return 0

    def at(self, now: int, slot: int, chance: float) -> int:
        return max(1, (self.first + slot) * SLOT + int(chance * SLOT) - now)
