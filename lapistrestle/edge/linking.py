"""The life of the connection to one runner: when it is dialled, and what becomes of lines that wait. No I/O.

Lines for a runner wait here until its greeting has come and while it reads slowly. What waits here has never
left: it ends as 'unreachable', which proves that it did not run. What was written may have run.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from zlib import crc32

Link = Enum("Link", "IDLE DIALING OPEN SLOW RESTING ENDING ENDED")
Input = Enum("Input", "NAMED WANTED GREETED FAILED BROKE SLOWED EASED DUE DROPPED LAST_ENDED")
Begun = Enum("Begun", "WRITTEN REFUSED FULL")  # what became of a line that was to begin
Effect = Callable[["Linking"], None]

FIRST_REST, LONGEST_REST = 1_000, 20_000  # tenths of a millisecond between dials that nobody waits for
CLOSED = (Link.ENDING, Link.ENDED)
MOST_WAITING = 512  # lines; further ones are turned away, since a runner that far behind is as good as full
PROMPT = 50  # tenths of a millisecond that an order may wait: later it counts in another window (rule 5)


class LinkCallbacks:
    """What the transport does: dial, write a line, close; `ask` is a request to be told DUE after a delay."""

    def dial(self) -> None: ...
    def may_begin(self, work: Any) -> bool:
        """Asked once, just before the first byte of what begins new work at the runner. What may not begin
        now is not sent later either."""
        return True

    def write(self, line: bytes, number: int = 0) -> bool:
        """False: none of it has left, nor does; SLOWED was told, and EASED follows."""
        return True

    def close(self) -> None: ...
    def ask(self, delay: int) -> None: ...
    def never_left(self, numbers: list[int]) -> None: ...  # nobody was met
    def not_sent(self, numbers: list[int]) -> None: ...  # held back here, which says nothing of the runner
    def broke(self, numbers: list[int]) -> None: ...


@dataclass(eq=False)
class Line:
    """A line for a runner."""

    number: int  # the host's; 0: no end of it is waited for
    encode: Callable[[], bytes]  # called when it is written: a time that it tells is of that moment
    until: int | None = None  # it may not begin later
    work: Any = None  # what it has the runner begin, an attempt or an order to load; None: nothing

    def is_due(self, now: int) -> bool:
        """Whether it may still begin, as far as time goes."""
        return self.until is None or now <= self.until


@dataclass
class Linking:
    """One runner's connection. Numbers are the host's, of call-outs, orders and probes."""

    name: str
    callbacks: LinkCallbacks
    log: Callable[[str], None]
    clock: Callable[[], int]
    state: Link = Link.IDLE
    prompt: int = PROMPT
    waiting: deque[Line] = field(default_factory=deque)
    out: dict[int, None] = field(default_factory=dict)  # written, without an end yet
    rests: int = 0  # dials that failed in a row

    def step(self, given: Input) -> None:
        after = LIFE.get((self.state, given))
        if after is None:
            return
        before, (self.state, effects) = self.state, after
        for effect in effects:
            effect(self)
        again = self.state is Link.RESTING and self.rests > 1  # one that stays away is told once
        if self.state in LOGGED and before is not self.state and not again:
            self.log(f"{self.name} {before.name.lower()} to {self.state.name.lower()}: {len(self.out)} out")

    # what is sent

    def send(self, line: Line, prompt: bool = False) -> bool:
        """Write or keep a line; False if it was turned away. `prompt`: it must go now, or as soon as the
        connection is made. One that may not begin is told as not sent."""
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
        self.step(Input.WANTED)
        return True

    def begin(self, line: Line) -> Begun:
        """Write a line, if it may begin now. The list that is asked for that may end this connection."""
        if not line.is_due(self.clock()):
            return Begun.REFUSED
        if line.work is not None and not self.callbacks.may_begin(line.work):
            return Begun.REFUSED
        return Begun.WRITTEN if self.state is Link.OPEN and self.put(line) else Begun.FULL

    def put(self, line: Line) -> bool:
        """Write a line; False if none of it left. It counts as out before it is written: a connection that
        breaks under the write ends it with the others."""
        if line.number:
            self.out[line.number] = None
        if self.callbacks.write(line.encode(), line.number):
            return True
        self.out.pop(line.number, None)
        return False

    def cancel_unsent(self, number: int) -> bool:
        """Take back a line that has not left; False if it has."""
        for line in self.waiting:
            if line.number == number:
                self.waiting.remove(line)
                return True
        return False

    def withdraw(self, number: int) -> bool:
        """As `cancel_unsent`; the end of one that has left is no longer waited for."""
        if self.cancel_unsent(number):
            return True
        self.ended(number)
        return False

    def ended(self, number: int) -> bool:
        """The runner named this number's end; False if it was not out here."""
        known = self.out.pop(number, 0) is None
        if self.state is Link.ENDING and not self.out:
            self.step(Input.LAST_ENDED)
        return known

    # effects

    def dial(self) -> None:
        self.callbacks.dial()

    def flush(self) -> None:
        """Nothing of one turn is lost if the connection slows down half way: the rest goes on waiting."""
        self.rests, callbacks, refused = 0, self.callbacks, list[int]()
        while self.waiting and self.state is Link.OPEN:
            line = self.waiting.popleft()
            begun = self.begin(line)
            if begun is Begun.REFUSED:
                refused.append(line.number)
            elif begun is Begun.FULL:
                self.waiting.appendleft(line)
                break
        if self.state in CLOSED:  # by the list that was read before a line
            refused += self.kept()
        if refused:
            callbacks.not_sent(refused)

    def kept(self) -> list[int]:
        """The numbers of what waits, which waits no longer."""
        numbers = [line.number for line in self.waiting if line.number]
        self.waiting.clear()
        return numbers

    def give_back(self) -> None:
        """What waits has never left, and is not sat on."""
        if numbers := self.kept():
            self.callbacks.never_left(numbers)

    def hold_back(self) -> None:
        """The runner drains: what waits is not sent, though it could be."""
        if numbers := self.kept():
            self.callbacks.not_sent(numbers)

    def break_off(self) -> None:
        numbers, self.out = list(self.out), {}
        if numbers:
            self.callbacks.broke(numbers)

    def rest(self) -> None:
        """Pauses double; chance spreads front ends that lost the same runner together."""
        longest = min(LONGEST_REST, FIRST_REST << min(self.rests, 5))
        self.rests += 1
        self.callbacks.ask(longest // 2 + crc32(f"{self.name}:{self.rests}".encode()) % (longest // 2 + 1))

    def close(self) -> None:
        self.callbacks.close()

    def close_if_done(self) -> None:
        """Named as gone: what runs there may still end, so the connection stays until it has."""
        if not self.out:
            self.step(Input.LAST_ENDED)


LOGGED = (Link.SLOW, Link.RESTING, Link.ENDING)
_ = Linking
LIFE: dict[tuple[Link, Input], tuple[Link, tuple[Effect, ...]]] = {
    (Link.IDLE, Input.NAMED): (Link.DIALING, (_.dial,)),
    (Link.IDLE, Input.WANTED): (Link.DIALING, (_.dial,)),
    (Link.IDLE, Input.DROPPED): (Link.ENDED, (_.give_back,)),
    (Link.DIALING, Input.GREETED): (Link.OPEN, (_.flush,)),
    (Link.DIALING, Input.FAILED): (Link.RESTING, (_.give_back, _.rest)),
    (Link.DIALING, Input.BROKE): (Link.RESTING, (_.give_back, _.rest)),
    (Link.DIALING, Input.DROPPED): (Link.ENDED, (_.give_back, _.close)),
    (Link.OPEN, Input.SLOWED): (Link.SLOW, ()),
    (Link.OPEN, Input.BROKE): (Link.RESTING, (_.give_back, _.break_off, _.rest)),
    (Link.OPEN, Input.DROPPED): (Link.ENDING, (_.hold_back, _.close_if_done)),  # lines wait amid a flush
    (Link.SLOW, Input.EASED): (Link.OPEN, (_.flush,)),
    (Link.SLOW, Input.BROKE): (Link.RESTING, (_.give_back, _.break_off, _.rest)),
    (Link.SLOW, Input.DROPPED): (Link.ENDING, (_.give_back, _.close_if_done)),
    (Link.RESTING, Input.WANTED): (Link.DIALING, (_.dial,)),
    (Link.RESTING, Input.DUE): (Link.DIALING, (_.dial,)),
    (Link.RESTING, Input.DROPPED): (Link.ENDED, (_.give_back,)),
    (Link.ENDING, Input.LAST_ENDED): (Link.ENDED, (_.close,)),
    (Link.ENDING, Input.BROKE): (Link.ENDED, (_.break_off,)),
}
