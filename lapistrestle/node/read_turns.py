"""Which client connections are read in turn, since what they send costs much and leads to nothing.

Handling 16 KiB of small records that are refused takes far longer than 16 KiB of usual requests. So each
connection has an allowance of work for such input. One that exceeds it is read in turn with others like it:
for a slice of time, then not for as long as that took, up to `MAX_PAUSE`, while the rest are read as data
arrives. Connections that have sent no usable request yet are read in turn too where many of them have data in
one poll; they go first.
"""

from collections import deque
from typing import Final, Protocol

from lapistrestle.edge.core import Core
from lapistrestle.node.streams import READ_SIZE
from lapistrestle.ticks import SECOND

ALLOWANCE: Final = 500.0  # units of parsing (`RecordReader.work`) that a connection may use at once
ALLOWANCE_RATE: Final = 200.0  # units a second by which the allowance grows again
WORK_PER_REQUEST: Final = 16  # units of a usual request, at most
MAX_WORK_PER_READ: Final = 512.0  # units that one read is to cause, by the work of the one before
MIN_READ_SIZE: Final = 2_048  # bytes
SLICE: Final = 0.005  # seconds for which connections are read in turn, or as new ones in one poll
MAX_PAUSE: Final = 0.02  # seconds between two slices; a slice may take long where the process is preempted


class ReadCost:
    """The work that one connection caused by input that led to nothing."""

    def __init__(self) -> None:
        self.used = 0.0  # units, beyond what the allowance has grown by since
        self.changed_at = 0.0
        self.next_read_size = MIN_READ_SIZE  # bytes

    def add(self, size: int, work: float, requests: int, now: float) -> None:
        """Add the work of a read of so many bytes, of which so many requests were accepted.

        `now` is in seconds.
        """
        affordable = int(size * MAX_WORK_PER_READ / work) if work else READ_SIZE
        self.next_read_size = min(READ_SIZE, max(MIN_READ_SIZE, affordable))
        useless = max(0.0, work - WORK_PER_REQUEST * requests)
        self.used = max(0.0, self.used - ALLOWANCE_RATE * (now - self.changed_at)) + useless
        self.changed_at = now

    def is_exceeded(self) -> bool:
        """Whether the allowance was exceeded by the last read."""
        return self.used > ALLOWANCE


class TurnTaker(Protocol):
    """A connection that is read in turn."""

    def read_in_turn(self) -> None:
        """Read once. The connection may be deferred again."""


class ReadTurns:
    """The connections that wait for their turn."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.costly = deque[TurnTaker]()  # their input led to nothing
        self.new = deque[TurnTaker]()  # they have not been read enough to tell; they go first
        self.is_scheduled = False
        self.next_slice_at = 0.0  # seconds
        self.poll: object = None  # by which the current poll of the sockets is known
        self.spent_in_poll = 0.0  # seconds of reading connections that have sent no usable request

    def has_time_in_poll(self) -> bool:
        """Whether connections that have sent no usable request may be read as their data arrives."""
        poll = getattr(self.core.reactor, "looked", None)
        if poll is not self.poll:
            self.poll = poll
            self.spent_in_poll = 0.0
        return self.spent_in_poll < SLICE

    def defer(self, connection: TurnTaker, is_costly: bool) -> None:
        """Read the connection when its turn comes. `is_costly`: its allowance is exceeded."""
        (self.costly if is_costly else self.new).append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next slice if a connection waits."""
        if (self.new or self.costly) and not self.is_scheduled:
            self.is_scheduled = True
            pause = max(0.0, self.next_slice_at - self.core.reactor.seconds())
            self.core.after(int(pause * SECOND), self.run_slice, None)

    def run_slice(self, _: object) -> None:
        """Read connections in turn, each at most once, until the slice is over."""
        seconds = self.core.reactor.seconds
        started_at = now = seconds()
        for _ in range(len(self.new) + len(self.costly)):
            (self.new or self.costly).popleft().read_in_turn()
            now = seconds()
            if now - started_at >= SLICE:
                break
        self.next_slice_at = now + min(now - started_at, MAX_PAUSE)
        self.is_scheduled = False
        self.schedule()
