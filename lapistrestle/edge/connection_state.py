"""The state machine of the connection to one runner. No I/O.

Decides when the connection is dialled and what happens to the lines to be sent. Lines are queued until the
runner has greeted, and while its socket accepts no more data. A queued line was never sent, so when the
connection fails it ends as 'unreachable', which proves that it did not run. A written line may have run.
Times are ticks of 0.1 ms.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any
from zlib import crc32


class ConnectionState(Enum):
    """The state of the connection. Log lines show the values."""

    IDLE = "idle"  # before the first dial
    DIALING = "dialing"  # until the runner has greeted
    OPEN = "open"
    SLOW = "slow"  # the socket accepts no more data
    BACKOFF = "backoff"  # lost, or could not be made; dialled again after a delay or for the next line
    CLOSING = "closing"  # the runner was removed; lines in flight may still finish
    CLOSED = "closed"


class ConnectionEvent(Enum):
    """An event reported by the owner, the worker list or the socket."""

    LISTED = auto()  # the runner was added to the list
    LINE_QUEUED = auto()
    ESTABLISHED = auto()  # connected, and the runner has greeted where the protocol has greetings
    DIAL_FAILED = auto()
    LOST = auto()
    WRITE_BLOCKED = auto()  # the socket accepts no more data
    WRITABLE = auto()  # the socket accepts data again
    BACKOFF_ELAPSED = auto()
    REMOVED = auto()  # the runner was removed from the list
    LAST_FINISHED = auto()  # nothing is in flight any more: a closing connection is closed


class WriteResult(Enum):
    """The result of an attempt to write a line."""

    WRITTEN = auto()
    NOT_ALLOWED = auto()  # its latest time has passed, or its work may not start (`may_start`)
    BLOCKED = auto()  # the socket accepts no data


Effect = Callable[["ConnectionStateMachine"], None]

MIN_BACKOFF, MAX_BACKOFF = (
    1_000,
    20_000,
)  # ticks between a failure and the next dial, unless a line is queued before
# in which no more lines are accepted
CLOSING_STATES = (ConnectionState.CLOSING, ConnectionState.CLOSED)
MAX_QUEUED = 512  # queued lines; more are rejected, since a runner that far behind has no capacity left
PROMPT_WAIT = 50  # ticks a preload may be queued; a later one could fall into another budget window


class ConnectionCallbacks:
    """The transport as the state machine uses it; lines that get no reply are reported by their numbers."""

    def dial(self) -> None: ...
    def may_start(self, work: Any) -> bool:
        """Whether work may start at the runner.

        Called once, just before the first byte of its line is written. Work that may not start now is not
        sent later either.
        """
        return True

    def write(self, line: bytes, number: int = 0) -> bool:
        """Write a line; False if none of it was sent and none will be.

        In that case WRITE_BLOCKED has been reported, and WRITABLE follows once the socket accepts data again.
        """
        return True

    def close(self) -> None: ...
    def schedule_redial(self, delay: int) -> None: ...  # report BACKOFF_ELAPSED after the delay
    def report_unreachable(self, numbers: list[int]) -> None: ...  # never sent: runner not reached
    def report_not_sent(self, numbers: list[int]) -> None: ...  # never sent, by a decision of this process
    def report_lost(self, numbers: list[int]) -> None: ...  # sent on a connection that was lost; may have run


@dataclass(eq=False)
class Line:
    """A line to be sent to a runner."""

    number: int  # the host's number of the attempt, preload or health check; 0: no reply is expected
    encode: Callable[[], bytes]  # called when the line is written, so that a remaining time in it is exact
    send_by: int | None = None  # latest time to write it; None: no limit
    work: Any = None  # the attempt or preload that it starts at the runner, or None

    def may_be_sent(self, now: int) -> bool:
        """Whether the line may still be written at this time."""
        return self.send_by is None or now <= self.send_by


@dataclass
class ConnectionStateMachine:
    """The state of one connection to a runner, with its queued and sent lines.

    Lines are known by the host's numbers of attempts, preloads and health checks.
    """

    name: str
    callbacks: ConnectionCallbacks
    log: Callable[[str], None]
    clock: Callable[[], int]
    state: ConnectionState = ConnectionState.IDLE
    prompt_wait: int = PROMPT_WAIT
    queued: deque[Line] = field(default_factory=deque)
    # numbers of lines written and not finished, oldest first
    in_flight: dict[int, None] = field(default_factory=dict)
    failed_dials: int = 0  # consecutive failed dials

    def step(self, event: ConnectionEvent) -> None:
        """Enter the next state and carry out its effects; events that are not in the table are ignored."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return
        before, (self.state, effects) = self.state, transition
        for effect in effects:
            effect(self)
        # further failures in a row are not logged
        is_repeated_failure = self.state is ConnectionState.BACKOFF and self.failed_dials > 1
        if self.state in LOGGED_STATES and before is not self.state and not is_repeated_failure:
            self.log(f"{self.name} {before.value} to {self.state.value}: {len(self.in_flight)} in flight")

    # sending

    def send(self, line: Line, prompt: bool = False) -> bool:
        """Write or queue a line; False if it is rejected.

        With `prompt` it must be written within `self.prompt_wait` ticks from now; it is queued for a
        connection that is being made, but not for one that is slow. A line whose work may not start is
        reported by `report_not_sent`.
        """
        if self.state in CLOSING_STATES or len(self.queued) >= MAX_QUEUED:
            return False
        if self.state is ConnectionState.OPEN:
            callbacks, result = self.callbacks, self.try_write(line)
            if result is WriteResult.NOT_ALLOWED:
                callbacks.report_not_sent([line.number])
            if result is not WriteResult.BLOCKED:
                return True
        # the state may have changed in `try_write`
        if self.state in CLOSING_STATES or (prompt and self.state is ConnectionState.SLOW):
            return False
        if prompt:
            line.send_by = self.clock() + self.prompt_wait
        self.queued.append(line)
        self.step(ConnectionEvent.LINE_QUEUED)
        return True

    def try_write(self, line: Line) -> WriteResult:
        """Write a line if it may be written now.

        `may_start` reads the worker list, which may close this connection, so the state is checked after it.
        """
        if not line.may_be_sent(self.clock()):
            return WriteResult.NOT_ALLOWED
        if line.work is not None and not self.callbacks.may_start(line.work):
            return WriteResult.NOT_ALLOWED
        return (
            WriteResult.WRITTEN
            if self.state is ConnectionState.OPEN and self.write_line(line)
            else WriteResult.BLOCKED
        )

    def write_line(self, line: Line) -> bool:
        """Write a line; False if none of it was sent.

        It counts as in flight before it is written, so that a connection that breaks during the write reports
        it as lost together with the others.
        """
        if line.number:
            self.in_flight[line.number] = None
        if self.callbacks.write(line.encode(), line.number):
            return True
        self.in_flight.pop(line.number, None)
        return False

    def cancel_unsent(self, number: int) -> bool:
        """Remove a queued line; False if it has been written."""
        for line in self.queued:
            if line.number == number:
                self.queued.remove(line)
                return True
        return False

    def withdraw(self, number: int) -> bool:
        """Stop waiting for a line; True if it was queued, so that it was never sent.

        A line that has been written no longer counts as in flight.
        """
        if self.cancel_unsent(number):
            return True
        self.finished(number)
        return False

    def finished(self, number: int) -> bool:
        """Record that the runner reported the end of this attempt or task; False if it was not in flight."""
        was_in_flight = self.in_flight.pop(number, 0) is None  # all values are None; 0: no entry
        if self.state is ConnectionState.CLOSING and not self.in_flight:
            self.step(ConnectionEvent.LAST_FINISHED)
        return was_in_flight

    # effects

    def dial(self) -> None:
        """Start to connect."""
        self.callbacks.dial()

    def flush(self) -> None:
        """Write the queued lines; if the socket accepts no more, the rest stays queued."""
        self.failed_dials, callbacks, not_sent = 0, self.callbacks, list[int]()
        while self.queued and self.state is ConnectionState.OPEN:
            line = self.queued.popleft()
            result = self.try_write(line)
            if result is WriteResult.NOT_ALLOWED:
                not_sent.append(line.number)
            elif result is WriteResult.BLOCKED:
                self.queued.appendleft(line)
                break
        if self.state in CLOSING_STATES:  # closed by the worker list that `may_start` read
            not_sent += self.take_queued()
        if not_sent:
            callbacks.report_not_sent(not_sent)

    def take_queued(self) -> list[int]:
        """Empty the queue. Returns the numbers of its lines."""
        numbers = [line.number for line in self.queued if line.number]
        self.queued.clear()
        return numbers

    def fail_queued(self) -> None:
        """Report all queued lines as unreachable."""
        if numbers := self.take_queued():
            self.callbacks.report_unreachable(numbers)

    def discard_unsent(self) -> None:
        """Report all queued lines as not sent: the runner drains, or was removed from the list."""
        if numbers := self.take_queued():
            self.callbacks.report_not_sent(numbers)

    def fail_in_flight(self) -> None:
        """Report all lines in flight as lost: they may have run."""
        numbers, self.in_flight = list(self.in_flight), {}
        if numbers:
            self.callbacks.report_lost(numbers)

    def back_off(self) -> None:
        """Back off before the next dial.

        The delay doubles with each failure, up to MAX_BACKOFF. A jitter, derived from the runner's name and
        the failure count, keeps connections lost together from being dialled again at the same moment.
        """
        # at a shift of 5 the limit is MAX_BACKOFF anyway; larger ones would only make the number grow
        longest = min(MAX_BACKOFF, MIN_BACKOFF << min(self.failed_dials, 5))
        self.failed_dials += 1
        self.callbacks.schedule_redial(
            longest // 2 + crc32(f"{self.name}:{self.failed_dials}".encode()) % (longest // 2 + 1)
        )

    def close(self) -> None:
        self.callbacks.close()

    def close_if_idle(self) -> None:
        """Close if nothing is in flight; else the connection stays open until the calls at the runner end."""
        if not self.in_flight:
            self.step(ConnectionEvent.LAST_FINISHED)


LOGGED_STATES = (ConnectionState.SLOW, ConnectionState.BACKOFF, ConnectionState.CLOSING)
Effects = ConnectionStateMachine  # its methods, by a short name for the table
TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], tuple[ConnectionState, tuple[Effect, ...]]] = {
    (ConnectionState.IDLE, ConnectionEvent.LISTED): (ConnectionState.DIALING, (Effects.dial,)),
    (ConnectionState.IDLE, ConnectionEvent.LINE_QUEUED): (ConnectionState.DIALING, (Effects.dial,)),
    (ConnectionState.IDLE, ConnectionEvent.REMOVED): (ConnectionState.CLOSED, (Effects.fail_queued,)),
    (ConnectionState.DIALING, ConnectionEvent.ESTABLISHED): (ConnectionState.OPEN, (Effects.flush,)),
    (ConnectionState.DIALING, ConnectionEvent.DIAL_FAILED): (
        ConnectionState.BACKOFF,
        (Effects.fail_queued, Effects.back_off),
    ),
    (ConnectionState.DIALING, ConnectionEvent.LOST): (
        ConnectionState.BACKOFF,
        (Effects.fail_queued, Effects.back_off),
    ),
    (ConnectionState.DIALING, ConnectionEvent.REMOVED): (
        ConnectionState.CLOSED,
        (Effects.fail_queued, Effects.close),
    ),
    (ConnectionState.OPEN, ConnectionEvent.WRITE_BLOCKED): (ConnectionState.SLOW, ()),
    (ConnectionState.OPEN, ConnectionEvent.LOST): (
        ConnectionState.BACKOFF,
        (Effects.fail_queued, Effects.fail_in_flight, Effects.back_off),
    ),
    # lines may be queued: the runner may be removed while `flush` writes them
    (ConnectionState.OPEN, ConnectionEvent.REMOVED): (
        ConnectionState.CLOSING,
        (Effects.discard_unsent, Effects.close_if_idle),
    ),
    (ConnectionState.SLOW, ConnectionEvent.WRITABLE): (ConnectionState.OPEN, (Effects.flush,)),
    (ConnectionState.SLOW, ConnectionEvent.LOST): (
        ConnectionState.BACKOFF,
        (Effects.fail_queued, Effects.fail_in_flight, Effects.back_off),
    ),
    (ConnectionState.SLOW, ConnectionEvent.REMOVED): (
        ConnectionState.CLOSING,
        (Effects.fail_queued, Effects.close_if_idle),
    ),
    (ConnectionState.BACKOFF, ConnectionEvent.LINE_QUEUED): (ConnectionState.DIALING, (Effects.dial,)),
    (ConnectionState.BACKOFF, ConnectionEvent.BACKOFF_ELAPSED): (ConnectionState.DIALING, (Effects.dial,)),
    (ConnectionState.BACKOFF, ConnectionEvent.REMOVED): (ConnectionState.CLOSED, (Effects.fail_queued,)),
    (ConnectionState.CLOSING, ConnectionEvent.LAST_FINISHED): (ConnectionState.CLOSED, (Effects.close,)),
    (ConnectionState.CLOSING, ConnectionEvent.LOST): (ConnectionState.CLOSED, (Effects.fail_in_flight,)),
}
