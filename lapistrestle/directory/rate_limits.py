"""Rate limits of a holder: bytes per second and snapshots per second."""

from dataclasses import dataclass

from lapistrestle.directory.jitter import Jitter
from lapistrestle.ticks import SECOND

RESERVED_FRACTION = 0.5  # fraction of the burst that is reserved for lookups that calls wait for


@dataclass(slots=True)
class TokenBucket:
    """A token bucket, `rate` tokens per second. Taking more than available leaves a negative level."""

    rate: float
    burst: float
    tokens: float
    at: int  # when `tokens` was computed

    @classmethod
    def full(cls, rate: float, burst: float, now: int) -> "TokenBucket":
        """A bucket that starts with its whole burst."""
        return cls(rate, burst, burst, now)

    def level(self, now: int) -> float:
        """Tokens available now; negative if too many were taken."""
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate / SECOND)
            self.at = now
        return self.tokens

    def take(self, amount: float, now: int) -> None:
        """Take tokens, even if that leaves a negative level."""
        self.tokens = self.level(now) - amount

    def wait(self, now: int) -> int:
        """Ticks until a token is available; 0 if one is now."""
        missing = 1 - self.level(now)
        return 0 if missing <= 0 else 1 + int(missing * SECOND / self.rate)


class SnapshotRateLimit:
    """Admits a limited number of snapshots per second; each rejected request gets its own time to retry.

    Lookups that calls wait for take precedence: the others may not use a reserved part of the burst, and
    their retries are scheduled in a queue of their own.
    """

    def __init__(self, rate: float, burst: float, max_retry_after: int, now: int, jitter: Jitter) -> None:
        self.bucket = TokenBucket.full(rate, burst, now)
        self.max_retry_after = max_retry_after
        self.jitter = jitter
        self.reserve = max(0.0, min(burst * RESERVED_FRACTION, burst - 1))
        # the latest retry time given out, by `waiting`
        self.last_retry_times = {True: float(now), False: float(now)}
        self.rejected = 0

    def retry_after(self, now: int, cost: float = 1.0, waiting: bool = True, in_debt: bool = False) -> int:
        """Ticks after which to retry; 0 if the request is admitted.

        `cost`: in snapshots. `waiting`: calls wait for the answer. `in_debt`: the byte limit is exceeded.
        """
        if not in_debt and self.bucket.level(now) >= 1 + (0 if waiting else self.reserve):
            self.bucket.take(cost, now)
            return 0
        self.rejected += 1
        retry_at = max(self.last_retry_times[waiting], now) + cost * SECOND / self.bucket.rate
        wait = int(retry_at) - now
        if wait > self.max_retry_after:  # the queue is full: spread evenly over the later half of the time
            retry_at = float(now + self.max_retry_after)
            wait = self.max_retry_after // 2 + self.jitter.below(self.max_retry_after // 2)
        self.last_retry_times[waiting] = retry_at
        return max(1, wait)
