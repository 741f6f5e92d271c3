"""The end of a request: exactly one final answer, at the latest shortly after its deadline."""

from collections.abc import Callable, Sequence
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import ABORTED, GUARDED, LEFT, MOVED, TAKEN, PendingRequest


class FinalAnswers:
    """Requests that are open, and how they end. `slack` is how long past a deadline the guard waits for the
    module's own answer, in tenths of a millisecond."""

    def __init__(self, context: HostContext, events: EventQueue, slack: int) -> None:
        self.context, self.events, self.slack = context, events, slack
        self.open = 0  # requests taken and not yet finally answered
        self.cancel_unsent: Callable[[PendingRequest], None] = lambda pending: None

    def take(self, pending: PendingRequest) -> None:
        """A request has come; the module is told of it by whoever calls this."""
        self.open += 1
        self.context.counts[TAKEN] += 1
        pending.guard = self.context.timers.at(pending.deadline + self.slack, self.overdue, pending)

    def finish(self, pending: PendingRequest, verdict: str, retry_after: int = 0, body: Any = None) -> None:
        """Answer, unless an answer is out already."""
        if pending.final:
            return
        self.close(pending, verdict)
        self.context.transport.answer(pending, verdict, retry_after, body)

    def close(self, pending: PendingRequest, how: str) -> None:
        """The request is over; its attempts may still be under way."""
        pending.final = True
        self.open -= 1
        self.context.counts[how] += 1
        self.context.transport.closed(pending, how)
        if pending.guard is not None:
            pending.guard.stop()
        if pending.in_flight:
            self.cancel_unsent(pending)
        if not pending.in_flight:
            self.events.finished.append(pending)

    def client_left(self, pending: PendingRequest) -> None:
        """The client has gone; what a worker has of the request goes on to its own end."""
        if not pending.final:
            self.close(pending, LEFT)
            self.events.post(pending, "on_client_gone", pending)

    def retract(self, pending: PendingRequest) -> None:
        """The host takes a request back that has not run, to have it placed anew under another function."""
        if not pending.final:
            self.close(pending, MOVED)
            self.events.post(pending, "on_client_gone", pending)

    def abort_all(self, requests: Sequence[PendingRequest]) -> None:
        """Answer these at once: the program ends."""
        for pending in requests:
            if not pending.final:
                self.finish(pending, ABORTED)
                self.events.post(pending, "on_client_gone", pending)

    def overdue(self, pending: PendingRequest) -> None:
        """Guards rule 1 where the module let a deadline pass, by error or in an unforeseen state."""
        if not pending.final:
            self.context.counts[GUARDED] += 1
            self.context.transport.log("deadline guarded", request=pending.tag, state=str(pending.state))
            self.finish(pending, ABORTED)
            self.events.post(pending, "on_client_gone", pending)
