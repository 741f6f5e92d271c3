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


class Admission:
    """Admits so many snapshots a second. Who isn't admitted is told a moment of its own to ask again."""

    def __init__(self, rate: float, burst: float, longest: int, now: int, jitter: Jitter) -> None:
        self.bucket = TokenBucket.full(rate, burst, now)
        self.longest, self.jitter = longest, jitter
        self.promised = float(now)  # the last moment that was told to someone
        self.turned_away = 0

    def retry_after(self, now: int) -> int:
        """0: admitted; else how long to stay away, in tenths of a millisecond."""
        if self.bucket.level(now) >= 1:
            self.bucket.take(1, now)
            return 0
        self.turned_away += 1
        self.promised = max(self.promised, now) + SECOND / self.bucket.rate
        wait = int(self.promised) - now
        if wait > self.longest:  # the queue is longer than that: spread evenly over the later half
            self.promised = float(now + self.longest)
            wait = self.longest // 2 + self.jitter.below(self.longest // 2)
        return max(1, wait)
