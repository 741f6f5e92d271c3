"""Event queue of one instance of the decision module: events are delivered in order and never nested."""

import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.requests import Counter, PendingRequest
from lapistrestle.policy.ports import Events

MAX_SHOWN_CHARACTERS = 80  # of an argument, in the log line of an exception
MAX_SHOWN_ITEMS = 3  # of an argument that is a sequence
MAX_SHOWN_FRAMES = 4  # innermost frames of the traceback


class EventQueue:
    """Queue of events for the module. Commands that the module issues while it handles an event may post
    more.

    `on_error` is called with the request of the event if the module raises, `on_discarded` with a request
    that was closed before the module was told of it, `on_finished` with one that is closed and has no attempt
    in flight, perhaps more than once. If `stopwatch` is set, it returns seconds, and
    `module_seconds` accumulates the time spent in the module.
    """

    def __init__(
        self,
        context: HostContext,
        on_error: Callable[[PendingRequest], None],
        on_discarded: Callable[[PendingRequest], None],
        on_finished: Callable[[PendingRequest], None],
    ) -> None:
        self.context = context
        self.on_error = on_error
        self.on_discarded = on_discarded
        self.on_finished = on_finished
        self.module: Events  # set by the host, which creates the module
        self.queue: deque[tuple[PendingRequest | None, str, tuple[Any, ...]]] = deque()
        # arguments of `on_endpoints` events, which have priority
        self.queued_endpoints: deque[tuple[Any, ...]] = deque()
        self.is_delivering = False
        self.finished: list[PendingRequest] = []  # closed, without attempts in flight
        self.module_seconds = 0.0
        self.stopwatch: Callable[[], float] | None = None

    def post(self, pending: PendingRequest | None, event: str, *args: Any) -> None:
        """Queue an event, named by a method of `policy.ports.Events`, and deliver it unless a delivery is
        running.
        """
        self.queue.append((pending, event, args))
        if not self.is_delivering:
            self.is_delivering = True
            self.deliver()

    def post_endpoints(self, *args: Any) -> None:
        """Queue an `on_endpoints` event ahead of all others: requests received in the same poll are then
        placed by the newest list, and nothing new is sent to a worker that drains or has left it.
        """
        self.queued_endpoints.append(args)
        if not self.is_delivering:
            self.is_delivering = True
            self.deliver()

    @contextmanager
    def batched(self) -> Iterator[None]:
        """Delay deliveries until the end of the block, so that all input of one poll of the sockets is queued
        first. After a stall, the close of a client may be read after an event that would start an attempt for
        it. Adds the time to read the other sockets, once per poll.
        """
        outer = self.is_delivering
        self.is_delivering = True
        try:
            yield
        finally:
            if not outer:
                self.deliver()

    def deliver(self) -> None:
        """Deliver all queued events."""
        if not self.queue and not self.queued_endpoints:
            self.is_delivering = False
            return
        started_at = self.stopwatch() if self.stopwatch else 0.0
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
                self.on_finished(pending)
                pending.attempts.clear()  # reference cycles, which only the garbage collector would free
        self.finished.clear()
        if self.stopwatch:
            self.module_seconds += self.stopwatch() - started_at
        self.context.transport.timers_changed()

    def deliver_one(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """Deliver one event to the module."""
        if event == "on_request" and pending is not None and pending.is_closed:
            self.on_discarded(pending)  # its client disconnected before it was placed
            return
        self.module.now = self.context.clock()
        try:
            getattr(self.module, event)(*args)
        except Exception:
            self.handle_error(pending, event, args)

    def handle_error(self, pending: PendingRequest | None, event: str, args: tuple[Any, ...]) -> None:
        """Log an exception of the module and pass the request of the event to `on_error`."""
        self.context.counts[Counter.ERRORS] += 1
        self.context.transport.log(
            "module raised",
            input=event,
            arguments=" ".join(describe(argument) for argument in args),
            traceback=traceback.format_exc(limit=-MAX_SHOWN_FRAMES),
        )
        if pending is not None and not pending.is_closed:
            pending.state = type(pending.state).OVER
            pending.over = True
            self.on_error(pending)


def describe(argument: object) -> str:
    """Return a log text for an argument of an event. Never raises, whatever its state."""
    if isinstance(argument, list | tuple):
        suffix = " ..." if len(argument) > MAX_SHOWN_ITEMS else ""
        return f"({', '.join(describe(item) for item in argument[:MAX_SHOWN_ITEMS])}{suffix})"
    try:
        return str(getattr(argument, "tag", getattr(argument, "name", argument)))[:MAX_SHOWN_CHARACTERS]
    except Exception:
        return type(argument).__name__
