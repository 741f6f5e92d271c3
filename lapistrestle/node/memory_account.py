"""One account of what the process holds for its clients, within its limit of memory. No I/O.

The account is estimated from what is held, and corrected by the measured memory of the process: what is not
for clients (the interpreter, what is learned of functions and ids) is taken off the limit.

Each connection may hold a fraction of what is free, so the more is held, the less one connection may hold,
and a part stays free for those that hold little (dynamic thresholds, Choudhury and Hahne, 1998).
"""

from typing import Final

USABLE_FRACTION: Final = 0.9  # of the limit; the rest is for what the estimates miss between two measurements
GUARANTEED_FRACTION: Final = 1 / 16  # of the limit that is for clients whatever else the process holds
SHARE_DIVISOR: Final = 32  # a connection may hold one part in so many of what is free
SHORT_FRACTION: Final = 3 / 4  # of the budget, above which incomplete requests are refused
FULL_FRACTION: Final = 7 / 8  # of the budget, above which complete ones are refused too

# Estimated bytes:
CONNECTION_BYTES: Final = 5_000
REQUEST_BYTES: Final = 10_000  # of an open request with an attempt and its connection, without its body
BODY_FACTOR: Final = 1.25  # of a body to its bytes
PARTIAL_BYTES: Final = 500  # of an incomplete request, without its fields and body


class MemoryAccount:
    """The bytes held for clients, of the bytes that may be."""

    def __init__(self, limit: float) -> None:
        """`limit` is that of the process, in bytes."""
        self.limit = limit
        self.held = 0
        self.peak_held = 0
        self.idle: int | None = None  # memory of the process at the first measurement
        self.budget = GUARANTEED_FRACTION * limit

    def add(self, size: int) -> None:
        """Hold so many bytes more, or less."""
        self.held += size
        self.peak_held = max(self.peak_held, self.held)

    def measured(self, used: int) -> None:
        """The process uses so many bytes.

        Memory that was freed is not returned to the system, but used again. So what the process uses beyond
        the most that clients ever held is not for clients.
        """
        if self.idle is None:
            self.idle = used
        others = max(self.idle, used - self.peak_held)
        self.budget = max(GUARANTEED_FRACTION * self.limit, USABLE_FRACTION * self.limit - others)

    @property
    def share(self) -> float:
        """The bytes that one connection may hold."""
        return max(0.0, self.budget - self.held) / SHARE_DIVISOR

    @property
    def is_short(self) -> bool:
        """Whether incomplete requests are to be refused."""
        return self.held > SHORT_FRACTION * self.budget

    def has_room(self, size: int) -> bool:
        """Whether so many bytes more may be held."""
        return self.held + size <= FULL_FRACTION * self.budget


def request_bytes(body: bytes) -> int:
    """Return what an open request with this body takes."""
    return REQUEST_BYTES + int(BODY_FACTOR * len(body))
