"""Timers of one host, in ticks; the transport asks when the next one is due."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Timer:
    """A call due at tick `when`, unless it is stopped before."""

    __slots__ = ("arg", "call", "when")

    def __init__(self, when: int, call: Callable[[Any], None], arg: object) -> None:
        self.when, self.call, self.arg = when, call, arg

    def stop(self) -> None:
        """Cancel the timer."""
        self.call, self.arg = _do_nothing, None  # releases its references; the entry stays in the heap


def _do_nothing(_: object) -> None: ...


class Timers:
    """A heap of timers by due time; timers due at the same tick fire in the order in which they were set."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.count = 0

    def at(self, when: int, call: Callable[[Any], None], arg: object) -> Timer:
        """Set a timer that calls `call(arg)` at tick `when`."""
        timer = Timer(when, call, arg)
        self.count += 1
        heappush(self.heap, (when, self.count, timer))
        return timer

    def next(self) -> int | None:
        """Return the tick at which the next timer is due; stopped timers are removed."""
        while self.heap and self.heap[0][2].call is _do_nothing:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop(self, now: int) -> Timer | None:
        """Remove and return the next timer that is due, if any."""
        when = self.next()
        if when is None or when > now:
            return None
        return heappop(self.heap)[2]
