"""Ids of requests that may have run and must not run again. No I/O; times are ticks of 0.1 ms.

An id outlives its request and its connection: a client may send it again on another connection, at any time.
"""

from collections import deque
from typing import Final

from msgspec import Struct

from lapistrestle.policy.settings import Settings
from lapistrestle.ticks import SECOND

GENERATIONS: Final = 16  # into which the retention is divided; an id is dropped with its generation
MIN_RETENTION: Final = 60 * SECOND
ID_BYTES: Final = 100  # that an id takes


class Generation(Struct):
    """The ids that were added in one period."""

    started_at: int
    ids: set[int]


class UsedIds:
    """The ids added within the retention; if they are more than `capacity`, the older ones are dropped."""

    def __init__(self, retention: int, capacity: int) -> None:
        self.retention = retention
        self.capacity = capacity
        self.generations = deque[Generation]()
        self.count = 0
        self.dropped_early = 0  # ids dropped within their retention

    @property
    def bytes_held(self) -> int:
        """Estimated memory."""
        return self.count * ID_BYTES

    def add(self, call_id: str, now: int) -> None:
        """Remember an id of hexadecimal digits."""
        self.drop_expired(now)
        if not self.generations or now - self.generations[-1].started_at >= self.retention // GENERATIONS:
            self.generations.append(Generation(now, set()))
        newest = self.generations[-1].ids
        self.count -= len(newest)
        newest.add(int(call_id, 16))
        self.count += len(newest)
        while self.count > self.capacity and len(self.generations) > 1:
            self.dropped_early += len(self.generations[0].ids)
            self.drop_oldest()

    def contains(self, call_id: str, now: int) -> bool:
        """Whether the id was added within the retention."""
        self.drop_expired(now)
        number = int(call_id, 16)
        return any(number in generation.ids for generation in self.generations)

    def drop_expired(self, now: int) -> None:
        """Drop the generations that began before the retention."""
        length = self.retention // GENERATIONS
        while self.generations and now - self.generations[0].started_at >= self.retention + length:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the oldest generation."""
        self.count -= len(self.generations.popleft().ids)


def retention_for(settings: Settings) -> int:
    """Return for how long an id is remembered: beyond any deadline and window for duplicates."""
    longest = max(method.deadline + method.dedup_window for method in settings.methods)
    return max(MIN_RETENTION, 2 * longest)
