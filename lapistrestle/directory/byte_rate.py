"""Bytes a second that a program has sent, for operators."""

from collections import deque

from lapistrestle.ticks import SECOND

RATE_SECONDS = 10  # whole seconds that the mean and the most are taken over


class ByteRateMeter:
    """Counts bytes by whole seconds of a clock in ticks of a tenth of a millisecond."""

    def __init__(self, now: int) -> None:
        self.first_second = now // SECOND
        self.seconds = deque[tuple[int, int]]()  # second, bytes
        self.total = 0

    def add(self, size: int, now: int) -> None:
        """So many bytes were sent now."""
        second = now // SECOND
        self.total += size
        if self.seconds and self.seconds[-1][0] == second:
            size += self.seconds.pop()[1]
        self.seconds.append((second, size))
        while self.seconds[0][0] < second - RATE_SECONDS:
            self.seconds.popleft()

    def rates(self, now: int) -> tuple[float, int]:
        """The mean over the last whole seconds, and the most in one of them, in bytes a second."""
        second = now // SECOND
        sizes = [size for at, size in self.seconds if second - RATE_SECONDS <= at < second]
        span = max(1, min(RATE_SECONDS, second - self.first_second))
        return sum(sizes) / span, max(sizes, default=0)
