"""Bounds on what is sent: bytes a second and snapshots a second."""

from dataclasses import dataclass

from lapistrestle.directory.jitter import Jitter
from lapistrestle.ticks import SECOND

RESERVED = 0.5  # of what may come at once: kept for look-ups that calls wait for


@dataclass(slots=True)
class TokenBucket:
    """So many tokens a second, some of them saved. Taking more than there are leaves a debt."""

    rate: float
    burst: float
    tokens: float
    at: int

    @classmethod
    def full(cls, rate: float, burst: float, now: int) -> "TokenBucket":
        """A bucket that begins with its whole burst."""
        return cls(rate, burst, burst, now)

    def level(self, now: int) -> float:
        """Tokens that there are now; negative where there is a debt."""
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate / SECOND)
            self.at = now
        return self.tokens

    def take(self, amount: float, now: int) -> None:
        """Take tokens, also where that leaves a debt."""
        self.tokens = self.level(now) - amount

    def wait(self, now: int) -> int:
        """How long until there is something to take, in tenths of a millisecond; 0: there is now."""
        missing = 1 - self.level(now)
        return 0 if missing <= 0 else 1 + int(missing * SECOND / self.rate)


class SnapshotRateLimit:
    """Admits so many snapshots a second. Who isn't admitted gets a time of its own to ask again.

    Look-ups that calls wait for go first: the others leave them a part of what may come at once, and get
    times in a queue of their own.
    """

    def __init__(self, rate: float, burst: float, longest: int, now: int, jitter: Jitter) -> None:
        self.bucket = TokenBucket.full(rate, burst, now)
        self.longest = longest
        self.jitter = jitter
        self.reserve = max(0.0, min(burst * RESERVED, burst - 1))
        # the last time that was given out, by `waiting`
        self.promised = {True: float(now), False: float(now)}
        self.rejected = 0

    def retry_after(self, now: int, cost: float = 1.0, waiting: bool = True, in_debt: bool = False) -> int:
        """0: admitted; else how long to stay away, in tenths of a millisecond.

        `cost`: in snapshots. `waiting`: calls wait for the answer. `in_debt`: too many bytes were sent.
        """
        if not in_debt and self.bucket.level(now) >= 1 + (0 if waiting else self.reserve):
            self.bucket.take(cost, now)
            return 0
        self.rejected += 1
        promised = max(self.promised[waiting], now) + cost * SECOND / self.bucket.rate
        wait = int(promised) - now
        if wait > self.longest:  # the queue is longer than that: spread evenly over the later half
            promised = float(now + self.longest)
            wait = self.longest // 2 + self.jitter.below(self.longest // 2)
        self.promised[waiting] = promised
        return max(1, wait)
