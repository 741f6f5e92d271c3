"""Timers of one host, in whole tenths of a millisecond; the transport only asks when the next is due."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Timer:
    """A call that is due at a moment, unless it was stopped before."""

    __slots__ = ("arg", "call", "when")

    def __init__(self, when: int, call: Callable[[Any], None], arg: object) -> None:
        self.when, self.call, self.arg = when, call, arg

    def stop(self) -> None:
        """Have it never fire."""
        self.call, self.arg = _do_nothing, None  # drops what it holds, though its place in the heap stays


def _do_nothing(_: object) -> None: ...


class Timers:
    """Timers in the order in which they are due, those due together in the order in which they were set."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.count = 0

    def at(self, when: int, call: Callable[[Any], None], arg: object) -> Timer:
        """Set a timer: `call` is given `arg` at the moment `when`."""
        timer = Timer(when, call, arg)
        self.count += 1
        heappush(self.heap, (when, self.count, timer))
        return timer

    def next(self) -> int | None:
        """When the next one is due; stopped ones are dropped on the way."""
        while self.heap and self.heap[0][2].call is _do_nothing:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop(self, now: int) -> Timer | None:
        """The next one that is due, if any."""
        when = self.next()
        if when is None or when > now:
            return None
        return heappop(self.heap)[2]
