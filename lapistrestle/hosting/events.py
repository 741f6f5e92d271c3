"""Events for one instance of the module: delivered in order, never one within another."""

import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.requests import FAULTS, PendingRequest

SHOWN = 80  # characters of an argument in the log line of a fault
LISTED = 3  # items of an argument that are shown there
FRAMES = 4  # innermost frames of its traceback


class EventQueue:
    """A queue in front of the module. What the module asks for while it handles one event may post more.

    `on_fault` is called with the request at hand when the module raises; `stopwatch`, where set, gives the
    seconds by which `module_seconds` is measured.
    """

    def __init__(self, context: HostContext, on_fault: Callable[[PendingRequest], None]) -> None:
        self.context, self.on_fault = context, on_fault
        self.module: Any = None
        self.queue: deque[tuple[PendingRequest | None, str, tuple[Any, ...]]] = deque()
        self.lists: deque[tuple[Any, ...]] = deque()  # arguments of `listed`, which go before all else
        self.busy = False
        self.finished: list[PendingRequest] = []  # over, and none of their attempts under way
        self.module_seconds = 0.0
        self.stopwatch: Callable[[], float] | None = None

    def post(self, pending: PendingRequest | None, event: str, *args: Any) -> None:
        """Deliver an event (a method of `interface.Events`) after those that wait already."""
        self.queue.append((pending, event, args))
        if not self.busy:
            self.busy = True
            self.deliver()

    def post_list(self, *args: Any) -> None:
        """Deliver `listed` before whatever waits: what came in the same look is then placed by the newest
        list (rule 3)."""
        self.lists.append(args)
        if not self.busy:
            self.busy = True
            self.deliver()

    @contextmanager
    def batched(self) -> Iterator[None]:
        """All that one poll of the sockets brings is queued before any of it is delivered: after a standstill
        a client's close may lie beside, or behind, what would have an attempt begin for it. Costs the time
        that it takes to read the other sockets, once a poll."""
        outer, self.busy = self.busy, True
        try:
            yield
        finally:
            if not outer:
                self.deliver()

    def deliver(self) -> None:
        """Deliver all that waits."""
        if not self.queue and not self.lists:
            self.busy = False
            return
        began = self.stopwatch() if self.stopwatch else 0.0
        try:
            while self.lists or self.queue:
                if self.lists:
                    self.deliver_one(None, "on_endpoints", self.lists.popleft())
                else:
                    self.deliver_one(*self.queue.popleft())
        finally:
            self.busy = False
        for pending in self.finished:
            if not pending.in_flight:
                pending.attempts.clear()  # they point to each other, and would wait for the collector
        self.finished.clear()
        if self.stopwatch:
            self.module_seconds += self.stopwatch() - began
        self.context.transport.wake()

    def deliver_one(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """Call one method of the module."""
        if event == "on_request" and pending is not None and pending.final:
            return  # its client left before anything was begun for it
        self.module.now = self.context.clock()
        try:
            getattr(self.module, event)(*args)
        except Exception:
            self.fault(pending, event, args)

    def fault(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """The module raised: the request at hand is answered at once, and the program goes on."""
        self.context.counts[FAULTS] += 1
        told = " ".join(described(argument) for argument in args)
        trace = traceback.format_exc(limit=-FRAMES)
        self.context.transport.log("module raised", input=event, told=told, trace=trace)
        if pending is not None and not pending.final:
            pending.state, pending.over = type(pending.state).OVER, True
            self.on_fault(pending)


def described(argument: object) -> str:
    """An argument of the module for a log line, whatever state the fault has left it in; never raises."""
    if isinstance(argument, list | tuple):
        more = " ..." if len(argument) > LISTED else ""
        return f"({', '.join(described(item) for item in argument[:LISTED])}{more})"
    try:
        return str(getattr(argument, "tag", getattr(argument, "name", argument)))[:SHOWN]
    except Exception:
        return type(argument).__name__
