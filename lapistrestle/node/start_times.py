"""When the listed workers started, on this process's clock. No I/O; times are ticks of 0.1 ms.

The list gives the Unix time of a start. The offset to it is taken once, as the machine's wall clock may be
stepped while the program runs; but it may have been wrong then. What does not depend on it bounds a start: it
is not later than the event that tells it, and a worker that the list did not have yet started no longer
before than the list may be late. A worker that counts as started too early would get more than it can take.
"""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from lapistrestle.node.process_identity import MAX_LIST_DELAY
from lapistrestle.ticks import MILLISECOND

MAX_WORKERS: Final = 10_000  # of which the start is remembered, also after they have left the list


class Start(Struct):
    """A start as it was listed, and on the clock."""

    listed: int  # Unix milliseconds
    tick: int


class StartTimes:
    """The starts of workers that have one in the list."""

    def __init__(self, unix_offset: int) -> None:
        """`unix_offset` is the tick of the clock's 0 in Unix time."""
        self.unix_offset = unix_offset
        self.starts = OrderedDict[str, Start]()

    def tick_of(self, name: str, listed: int, now: int, complete_until: int | None) -> int | None:
        """Return the tick of a start that an event tells now; None: the worker started long ago.

        `complete_until` is the tick until which no event was missing before this one; None: this is the first
        list.
        """
        if not listed:
            self.starts.pop(name, None)
            return None
        start = self.starts.get(name)
        if start is None or start.listed != listed:
            start = self.starts[name] = Start(listed, self.bounded(listed, now, complete_until))
        self.starts.move_to_end(name)
        if len(self.starts) > MAX_WORKERS:
            self.starts.popitem(last=False)
        return start.tick

    def bounded(self, listed: int, now: int, complete_until: int | None) -> int:
        """Return the tick of a start that was not listed before."""
        tick = min(now, listed * MILLISECOND - self.unix_offset)
        return tick if complete_until is None else max(tick, complete_until - MAX_LIST_DELAY)
