"""Bounds on what is sent: bytes a second, snapshots a second, and chance that spreads what would crowd."""

from dataclasses import dataclass
from zlib import crc32

SECOND = 10_000  # in tenths of a millisecond


class Jitter:
    """Seeded chance: the same draws in every run."""

    def __init__(self, seed: int) -> None:
        self.seed, self.draws = seed, 0

    def below(self, bound: int) -> int:
        """A whole number from 0 up to, not including, the bound; 0 where that is nothing."""
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, bound)


@dataclass(slots=True)
class TokenBucket:
    """So many tokens a second, some of them saved. Taking more than there are leaves a debt."""

    rate: float
    burst: float
    tokens: float
    at: int

    @classmethod
    def full(cls, rate: float, burst: float, now: int) -> "TokenBucket":
        return cls(rate, burst, burst, now)

    def level(self, now: int) -> float:
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate / SECOND)
            self.at = now
        return self.tokens

    def take(self, amount: float, now: int) -> None:
        self.tokens = self.level(now) - amount

    def wait(self, now: int) -> int:
        """How long until there is something to take, in tenths of a millisecond; 0: there is now."""
        missing = 1 - self.level(now)
        return 0 if missing <= 0 else 1 + int(missing * SECOND / self.rate)


RESERVED = 0.5  # of what may come at once: kept for look-ups that calls wait for


class SnapshotRateLimit:
    """Admits so many snapshots a second. Who isn't admitted is told a moment of its own to ask again.

    Look-ups that calls wait for go first: the others leave them a part of what may come at once, and are told
    moments in a queue of their own.
    """

    def __init__(self, rate: float, burst: float, longest: int, now: int, jitter: Jitter) -> None:
        self.bucket = TokenBucket.full(rate, burst, now)
        self.longest, self.jitter = longest, jitter
        self.reserve = max(0.0, min(burst * RESERVED, burst - 1))
        self.promised = {True: float(now), False: float(now)}  # the last moment that was told, by `waiting`
        self.turned_away = 0

    def retry_after(self, now: int, cost: float = 1.0, waiting: bool = True, in_debt: bool = False) -> int:
        """0: admitted; else how long to stay away, in tenths of a millisecond.

        `cost`: in snapshots. `waiting`: calls wait for the answer. `in_debt`: too many bytes were sent.
        """
        if not in_debt and self.bucket.level(now) >= 1 + (0 if waiting else self.reserve):
            self.bucket.take(cost, now)
            return 0
        self.turned_away += 1
        promised = max(self.promised[waiting], now) + cost * SECOND / self.bucket.rate
        wait = int(promised) - now
        if wait > self.longest:  # the queue is longer than that: spread evenly over the later half
            promised = float(now + self.longest)
            wait = self.longest // 2 + self.jitter.below(self.longest // 2)
        self.promised[waiting] = promised
        return max(1, wait)
