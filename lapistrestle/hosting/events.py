"""Events for one instance of the module: delivered in order, never one within another."""

import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.requests import Counter, PendingRequest
from lapistrestle.policy.ports import Events

MAX_SHOWN_CHARACTERS = 80  # of an argument in the log line of a fault
MAX_SHOWN_ITEMS = 3  # of an argument that is a list
MAX_SHOWN_FRAMES = 4  # the innermost of its traceback


class EventQueue:
    """A queue in front of the module. What the module asks for while it handles one event may post more.

    `on_fault` is called with the request at hand when the module raises; `stopwatch`, where set, gives the
    seconds by which `module_seconds` is measured.
    """

    def __init__(self, context: HostContext, on_error: Callable[[PendingRequest], None]) -> None:
        self.context = context
        self.on_error = on_error
        self.module: Events  # set by the host, which the module is made from
        self.queue: deque[tuple[PendingRequest | None, str, tuple[Any, ...]]] = deque()
        # arguments of `on_endpoints`, which go before all else
        self.queued_endpoints: deque[tuple[Any, ...]] = deque()
        self.is_delivering = False
        self.finished: list[PendingRequest] = []  # over, and none of their attempts in flight
        self.module_seconds = 0.0
        self.stopwatch: Callable[[], float] | None = None

    def post(self, pending: PendingRequest | None, event: str, *args: Any) -> None:
        """Deliver an event (a method of `interface.Events`) after those that wait already."""
        self.queue.append((pending, event, args))
        if not self.is_delivering:
            self.is_delivering = True
            self.deliver()

    def post_endpoints(self, *args: Any) -> None:
        """Deliver `on_endpoints` before whatever waits: what came in the same look is then placed by the
        newest list (rule 3).
        """
        self.queued_endpoints.append(args)
        if not self.is_delivering:
            self.is_delivering = True
            self.deliver()

    @contextmanager
    def batched(self) -> Iterator[None]:
        """All that one poll of the sockets brings is queued before any of it is delivered: after a standstill
        a client's close may lie beside, or behind, what would have an attempt begin for it. Costs the time
        that it takes to read the other sockets, once a poll.
        """
        outer = self.is_delivering
        self.is_delivering = True
        try:
            yield
        finally:
            if not outer:
                self.deliver()

    def deliver(self) -> None:
        """Deliver all that waits."""
        if not self.queue and not self.queued_endpoints:
            self.is_delivering = False
            return
        began = self.stopwatch() if self.stopwatch else 0.0
        try:
            while self.queued_endpoints or self.queue:
                if self.queued_endpoints:
                    self.deliver_one(None, "on_endpoints", self.queued_endpoints.popleft())
                else:
                    self.deliver_one(*self.queue.popleft())
        finally:
            self.is_delivering = False
        for pending in self.finished:
            if not pending.in_flight:
                pending.attempts.clear()  # they point to each other, and would wait for the collector
        self.finished.clear()
        if self.stopwatch:
            self.module_seconds += self.stopwatch() - began
        self.context.transport.timers_changed()

    def deliver_one(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """Call one method of the module."""
        if event == "on_request" and pending is not None and pending.final:
            return  # its client left before anything was begun for it
        self.module.now = self.context.clock()
        try:
            getattr(self.module, event)(*args)
        except Exception:
            self.handle_error(pending, event, args)

    def handle_error(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """The module raised: the request at hand is answered at once, and the program goes on."""
        self.context.counts[Counter.ERRORS] += 1
        self.context.transport.log(
            "module raised",
            input=event,
            arguments=" ".join(described(argument) for argument in args),
            traceback=traceback.format_exc(limit=-MAX_SHOWN_FRAMES),
        )
        if pending is not None and not pending.final:
            pending.state = type(pending.state).OVER
            pending.over = True
            self.on_error(pending)


def described(argument: object) -> str:
    """An argument of the module for a log line, whatever state the fault has left it in; never raises."""
    if isinstance(argument, list | tuple):
        more = " ..." if len(argument) > MAX_SHOWN_ITEMS else ""
        return f"({', '.join(described(item) for item in argument[:MAX_SHOWN_ITEMS])}{more})"
    try:
        return str(getattr(argument, "tag", getattr(argument, "name", argument)))[:MAX_SHOWN_CHARACTERS]
    except Exception:
        return type(argument).__name__
