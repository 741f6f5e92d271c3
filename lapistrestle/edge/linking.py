"""The life of the connection to one runner: when it is dialled, and what becomes of lines that wait. No I/O.

Lines for a runner wait here until its greeting has come and while it reads slowly. What waits here has never
left: it ends as 'unreachable', which proves that it did not run. What was written may have run.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

Link = Enum("Link", "IDLE DIALING OPEN SLOW RESTING ENDING ENDED")
Input = Enum("Input", "NAMED WANTED GREETED FAILED BROKE SLOWED EASED DUE DROPPED LAST_ENDED")
Effect = Callable[["Linking"], None]

FIRST_REST, LONGEST_REST = 1_000, 20_000  # tenths of a millisecond between dials that nobody waits for
MOST_WAITING = 512  # lines; further ones are turned away, since a runner that far behind is as good as full
PROMPT = 50  # tenths of a millisecond that an order may wait: later it counts in another window (rule 5)


class LinkCallbacks:
    """What the transport does: dial, write a line, close; `ask` is a request to be told DUE after a delay."""

    def dial(self) -> None: ...
    def write(self, line: bytes, number: int = 0) -> bool:
        """False: none of it has left, nor does; SLOWED was told, and EASED follows."""
        return True

    def close(self) -> None: ...
    def ask(self, delay: int) -> None: ...
    def never_left(self, numbers: list[int]) -> None: ...  # nobody was met
    def not_sent(self, numbers: list[int]) -> None: ...  # held back here, which says nothing of the runner
    def broke(self, numbers: list[int]) -> None: ...


@dataclass
class Linking:
    """One runner's connection. Numbers are the host's, of call-outs, orders and probes."""

    name: str
    callbacks: LinkCallbacks
    log: Callable[[str], None]
    clock: Callable[[], int]
    state: Link = Link.IDLE
    prompt: int = PROMPT
    waiting: deque[tuple[int, bytes, int | None]] = field(default_factory=deque)  # number or 0, line, until
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

    def send(
        self, number: int, line: bytes, owed: bool = True, prompt: bool = False, until: int | None = None
    ) -> bool:
        """Write or keep a line; False if it was turned away. `owed`: an end of `number` will follow;
        `prompt`: it must go now, or as soon as the connection is made; `until`: it may not begin later."""
        if self.state in (Link.ENDING, Link.ENDED) or len(self.waiting) >= MOST_WAITING:
            return False
        number = number if owed else 0
        if self.state is Link.OPEN and self.put(number, line):
            return True
        if prompt and self.state is Link.SLOW:
            return False
        self.waiting.append((number, line, self.clock() + self.prompt if prompt else until))
        self.step(Input.WANTED)
        return True

    def put(self, number: int, line: bytes) -> bool:
        """Write a line; False if none of it left. It counts as out before it is written: a connection that
        breaks under the write ends it with the others."""
        if number:
            self.out[number] = None
        if self.callbacks.write(line, number):
            return True
        self.out.pop(number, None)
        return False

    def cancel_unsent(self, number: int) -> bool:
        """Take back a line that has not left; False if it has."""
        for item in self.waiting:
            if item[0] == number:
                self.waiting.remove(item)
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
        self.rests, now, stale = 0, self.clock(), list[int]()
        while self.waiting and self.state is Link.OPEN:
            number, line, until = item = self.waiting.popleft()
            if until is not None and now > until:
                stale.append(number)
            elif not self.put(number, line):
                self.waiting.appendleft(item)
                break
        if stale:
            self.callbacks.not_sent(stale)

    def kept(self) -> list[int]:
        """The numbers of what waits, which waits no longer."""
        numbers = [number for number, _, _ in self.waiting if number]
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
    (Link.OPEN, Input.DROPPED): (Link.ENDING, (_.close_if_done,)),
    (Link.SLOW, Input.EASED): (Link.OPEN, (_.flush,)),
    (Link.SLOW, Input.BROKE): (Link.RESTING, (_.give_back, _.break_off, _.rest)),
    (Link.SLOW, Input.DROPPED): (Link.ENDING, (_.give_back, _.close_if_done)),
    (Link.RESTING, Input.WANTED): (Link.DIALING, (_.dial,)),
    (Link.RESTING, Input.DUE): (Link.DIALING, (_.dial,)),
    (Link.RESTING, Input.DROPPED): (Link.ENDED, (_.give_back,)),
    (Link.ENDING, Input.LAST_ENDED): (Link.ENDED, (_.close,)),
    (Link.ENDING, Input.BROKE): (Link.ENDED, (_.break_off,)),
}
