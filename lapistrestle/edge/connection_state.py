"""The state machine of the connection to one runner. No I/O.

Decides when the connection is dialled and what happens to the lines to be sent. Lines are queued until the
runner has greeted, and while its socket accepts no more data. A queued line was never sent, so when the
connection fails it ends as 'unreachable', which proves that it did not run. A written line may have run.
Times are ticks of 0.1 ms.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from zlib import crc32

Link = Enum("Link", "IDLE DIALING OPEN SLOW RESTING ENDING ENDED")
ConnectionEvent = Enum(
    "ConnectionEvent", "NAMED WANTED GREETED FAILED BROKE SLOWED EASED DUE REMOVED LAST_ENDED"
)
Begun = Enum("Begun", "WRITTEN REFUSED FULL")  # result of an attempt to write a line
Effect = Callable[["ConnectionStateMachine"], None]

FIRST_REST, LONGEST_REST = 1_000, 20_000  # ticks of backoff between dials while no line is queued
CLOSED = (Link.ENDING, Link.ENDED)
MOST_WAITING = 512  # queued lines; more are rejected, since a runner that far behind is as good as full
PROMPT = 50  # ticks that a preload may be queued: sent later, it would count in another budget window


class LinkCallbacks:
    """What the state machine asks of the transport, and how it reports the fate of lines by their numbers."""

    def dial(self) -> None: ...
    def may_begin(self, work: Any) -> bool:
        """Whether work may start at the runner.

        Called once, just before the first byte of its line is written. Work that may not start now is not
        sent later either.
        """
        return True

    def write(self, line: bytes, number: int = 0) -> bool:
        """Write a line; False if none of it was sent and none will be.

        In that case SLOWED has been reported, and EASED follows once the socket accepts data again.
        """
        return True

    def close(self) -> None: ...
    def ask(self, delay: int) -> None: ...  # report DUE after the delay
    def never_left(self, numbers: list[int]) -> None: ...  # never sent: the runner could not be reached
    def not_sent(self, numbers: list[int]) -> None: ...  # never sent, by a decision of this process
    def broke(self, numbers: list[int]) -> None: ...  # sent on a connection that was lost; may have run


@dataclass(eq=False)
class Line:
    """A line to be sent to a runner."""

    number: int  # the host's number of the attempt, preload or health check; 0: no reply is expected
    encode: Callable[[], bytes]  # called when the line is written, so that a remaining time in it is exact
    until: int | None = None  # latest time to write it; None: no limit
    work: Any = None  # the attempt or preload that it starts at the runner, or None

    def is_due(self, now: int) -> bool:
        """Whether the line may still be written at this time."""
        return self.until is None or now <= self.until


@dataclass
class ConnectionStateMachine:
    """The state of one connection to a runner, with its queued and sent lines.

    Lines are known by the host's numbers of attempts, preloads and health checks.
    """

    name: str
    callbacks: LinkCallbacks
    log: Callable[[str], None]
    clock: Callable[[], int]
    state: Link = Link.IDLE
    prompt: int = PROMPT
    waiting: deque[Line] = field(default_factory=deque)
    out: dict[int, None] = field(default_factory=dict)  # numbers of lines written and not finished
    rests: int = 0  # consecutive failed dials

    def step(self, given: ConnectionEvent) -> None:
        after = LIFE.get((self.state, given))
        if after is None:
            return
        before, (self.state, effects) = self.state, after
        for effect in effects:
            effect(self)
        again = self.state is Link.RESTING and self.rests > 1  # further failures in a row are not logged
        if self.state in LOGGED and before is not self.state and not again:
            self.log(f"{self.name} {before.name.lower()} to {self.state.name.lower()}: {len(self.out)} out")

    # sending

    def send(self, line: Line, prompt: bool = False) -> bool:
        """Write or queue a line; False if it is rejected.

        With `prompt` it must be written now or within `self.prompt` ticks, once the connection is made.
        A line whose work may not start is reported by `not_sent`.
        """
        if self.state in CLOSED or len(self.waiting) >= MOST_WAITING:
            return False
        if self.state is Link.OPEN:
            callbacks, begun = self.callbacks, self.begin(line)
            if begun is Begun.REFUSED:
                callbacks.not_sent([line.number])
            if begun is not Begun.FULL:
                return True
        if self.state in CLOSED or (prompt and self.state is Link.SLOW):
            return False
        if prompt:
            line.until = self.clock() + self.prompt
        self.waiting.append(line)
        self.step(ConnectionEvent.WANTED)
        return True

    def begin(self, line: Line) -> Begun:
        """Write a line if it may be written now.

        `may_begin` reads the worker list, which may close this connection, so the state is checked after it.
        """
        if not line.is_due(self.clock()):
            return Begun.REFUSED
        if line.work is not None and not self.callbacks.may_begin(line.work):
            return Begun.REFUSED
        return Begun.WRITTEN if self.state is Link.OPEN and self.put(line) else Begun.FULL

    def put(self, line: Line) -> bool:
        """Write a line; False if none of it was sent.

        It counts as in flight before it is written, so that a connection that breaks during the write reports
        it as broken together with the others.
        """
        if line.number:
            self.out[line.number] = None
        if self.callbacks.write(line.encode(), line.number):
            return True
        self.out.pop(line.number, None)
        return False

    def cancel_unsent(self, number: int) -> bool:
        """Remove a queued line; False if it has been written."""
        for line in self.waiting:
            if line.number == number:
                self.waiting.remove(line)
                return True
        return False

    def withdraw(self, number: int) -> bool:
        """As `cancel_unsent`, but a line that has been written no longer counts as in flight."""
        if self.cancel_unsent(number):
            return True
        self.ended(number)
        return False

    def ended(self, number: int) -> bool:
        """The runner reported the end of this number; False if it was not in flight here."""
        known = self.out.pop(number, 0) is None
        if self.state is Link.ENDING and not self.out:
            self.step(ConnectionEvent.LAST_ENDED)
        return known

    # effects

    def dial(self) -> None:
        self.callbacks.dial()

    def flush(self) -> None:
        """Write the queued lines; if the socket accepts no more, the rest stays queued."""
        self.rests, callbacks, refused = 0, self.callbacks, list[int]()
        while self.waiting and self.state is Link.OPEN:
            line = self.waiting.popleft()
            begun = self.begin(line)
            if begun is Begun.REFUSED:
                refused.append(line.number)
            elif begun is Begun.FULL:
                self.waiting.appendleft(line)
                break
        if self.state in CLOSED:  # closed by the worker list that `may_begin` read
            refused += self.kept()
        if refused:
            callbacks.not_sent(refused)

    def kept(self) -> list[int]:
        """Empty the queue. Returns the numbers of its lines."""
        numbers = [line.number for line in self.waiting if line.number]
        self.waiting.clear()
        return numbers

    def give_back(self) -> None:
        """Report all queued lines as unreachable."""
        if numbers := self.kept():
            self.callbacks.never_left(numbers)

    def discard_unsent(self) -> None:
        """Report all queued lines as not sent: the runner drains, or was removed from the list."""
        if numbers := self.kept():
            self.callbacks.not_sent(numbers)

    def break_off(self) -> None:
        """Report all lines in flight as broken: they may have run."""
        numbers, self.out = list(self.out), {}
        if numbers:
            self.callbacks.broke(numbers)

    def rest(self) -> None:
        """Back off before the next dial.

        The delay doubles with each failure, plus a jitter, derived from the runner's name and the failure
        count, so that connections lost together are not dialled again at the same moment.
        """
        longest = min(LONGEST_REST, FIRST_REST << min(self.rests, 5))
        self.rests += 1
        self.callbacks.ask(longest // 2 + crc32(f"{self.name}:{self.rests}".encode()) % (longest // 2 + 1))

    def close(self) -> None:
        self.callbacks.close()

    def close_if_done(self) -> None:
        """Close if nothing is in flight; else the connection stays open until the calls at the runner end."""
        if not self.out:
            self.step(ConnectionEvent.LAST_ENDED)


LOGGED = (Link.SLOW, Link.RESTING, Link.ENDING)
_ = ConnectionStateMachine
LIFE: dict[tuple[Link, ConnectionEvent], tuple[Link, tuple[Effect, ...]]] = {
    (Link.IDLE, ConnectionEvent.NAMED): (Link.DIALING, (_.dial,)),
    (Link.IDLE, ConnectionEvent.WANTED): (Link.DIALING, (_.dial,)),
    (Link.IDLE, ConnectionEvent.REMOVED): (Link.ENDED, (_.give_back,)),
    (Link.DIALING, ConnectionEvent.GREETED): (Link.OPEN, (_.flush,)),
    (Link.DIALING, ConnectionEvent.FAILED): (Link.RESTING, (_.give_back, _.rest)),
    (Link.DIALING, ConnectionEvent.BROKE): (Link.RESTING, (_.give_back, _.rest)),
    (Link.DIALING, ConnectionEvent.REMOVED): (Link.ENDED, (_.give_back, _.close)),
    (Link.OPEN, ConnectionEvent.SLOWED): (Link.SLOW, ()),
    (Link.OPEN, ConnectionEvent.BROKE): (Link.RESTING, (_.give_back, _.break_off, _.rest)),
    (Link.OPEN, ConnectionEvent.REMOVED): (
        Link.ENDING,
        (_.discard_unsent, _.close_if_done),
    ),  # queued amid a flush
    (Link.SLOW, ConnectionEvent.EASED): (Link.OPEN, (_.flush,)),
    (Link.SLOW, ConnectionEvent.BROKE): (Link.RESTING, (_.give_back, _.break_off, _.rest)),
    (Link.SLOW, ConnectionEvent.REMOVED): (Link.ENDING, (_.give_back, _.close_if_done)),
    (Link.RESTING, ConnectionEvent.WANTED): (Link.DIALING, (_.dial,)),
    (Link.RESTING, ConnectionEvent.DUE): (Link.DIALING, (_.dial,)),
    (Link.RESTING, ConnectionEvent.REMOVED): (Link.ENDED, (_.give_back,)),
    (Link.ENDING, ConnectionEvent.LAST_ENDED): (Link.ENDED, (_.close,)),
    (Link.ENDING, ConnectionEvent.BROKE): (Link.ENDED, (_.break_off,)),
}
