"""Send rate of a process in bytes per second, for operators."""

from collections import deque

from lapistrestle.ticks import SECOND

RATE_SECONDS = 10  # whole seconds over which the mean and the maximum are computed


class ByteRateMeter:
    """Counts bytes per whole second. Times are ticks of 0.1 ms."""

    def __init__(self, now: int) -> None:
        self.first_second = now // SECOND
        self.bytes_by_second = deque[tuple[int, int]]()  # second, bytes
        self.total = 0

    def add(self, size: int, now: int) -> None:
        """Count `size` bytes sent now."""
        second = now // SECOND
        self.total += size
        if self.bytes_by_second and self.bytes_by_second[-1][0] == second:
            size += self.bytes_by_second.pop()[1]
        self.bytes_by_second.append((second, size))
        while self.bytes_by_second[0][0] < second - RATE_SECONDS:
            self.bytes_by_second.popleft()

    def rates(self, now: int) -> tuple[float, int]:
        """Mean and maximum over the last whole seconds, in bytes per second."""
        second = now // SECOND
        sizes = [size for at, size in self.bytes_by_second if second - RATE_SECONDS <= at < second]
        span = max(1, min(RATE_SECONDS, second - self.first_second))
        return sum(sizes) / span, max(sizes, default=0)
