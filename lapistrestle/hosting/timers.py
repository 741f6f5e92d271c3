"""Timers of one host, in ticks; the transport asks when the next one is due."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

MIN_STOPPED = 64  # stopped timers that the heap may hold whatever its size


class Timer:
    """A call due at tick `when`, unless it is stopped before."""

    __slots__ = ("arg", "call", "timers", "when")

    def __init__(self, timers: "Timers | None", when: int, call: Callable[[Any], None], arg: object) -> None:
        self.timers = timers  # None: no heap holds it
        self.when, self.call, self.arg = when, call, arg

    def stop(self) -> None:
        """Cancel the timer."""
        if self.call is not _do_nothing:
            self.call, self.arg = _do_nothing, None  # releases its references
            if self.timers is not None:
                self.timers.timer_stopped()


def _do_nothing(_: object) -> None: ...


class Timers:
    """A heap of timers by due time; timers due at the same tick fire in the order in which they were set.

    A stopped timer stays in the heap until it is due, or until the stopped ones are the larger part of it.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.count = 0
        self.stopped = 0  # in the heap

    def at(self, when: int, call: Callable[[Any], None], arg: object) -> Timer:
        """Set a timer that calls `call(arg)` at tick `when`."""
        timer = Timer(self, when, call, arg)
        self.count += 1
        heappush(self.heap, (when, self.count, timer))
        return timer

    def next(self) -> int | None:
        """Return the tick at which the next timer is due; stopped timers are removed."""
        while self.heap and self.heap[0][2].call is _do_nothing:
            heappop(self.heap)
            self.stopped -= 1
        return self.heap[0][0] if self.heap else None

    def pop(self, now: int) -> Timer | None:
        """Remove and return the next timer that is due, if any."""
        when = self.next()
        if when is None or when > now:
            return None
        timer = heappop(self.heap)[2]
        timer.timers = None
        return timer

    def timer_stopped(self) -> None:
        """Count a stopped timer, and remove all of them if they are the larger part of the heap."""
        self.stopped += 1
        if self.stopped > max(MIN_STOPPED, len(self.heap) // 2):
            self.heap = [entry for entry in self.heap if entry[2].call is not _do_nothing]
            heapify(self.heap)
            self.stopped = 0
