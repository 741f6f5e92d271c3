"""The end of a request: exactly one final answer, at the latest shortly after its deadline."""

from collections.abc import Callable, Sequence
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import Counter, PendingRequest, RequestEnd


class FinalAnswers:
    """Requests that are open, and how they end. `slack` is how long past a deadline the guard waits for the
    module's own answer, in tenths of a millisecond.
    """

    def __init__(self, context: HostContext, events: EventQueue, slack: int) -> None:
        self.context = context
        self.events = events
        self.slack = slack
        self.open_requests = 0  # requests taken and not yet finally answered
        self.cancel_unsent: Callable[[PendingRequest], None]  # set by the host: `WorkerCalls.cancel_unsent`

    def accept(self, pending: PendingRequest) -> None:
        """A request has come; whoever calls this posts it to the module."""
        self.open_requests += 1
        self.context.counts[Counter.RECEIVED] += 1
        pending.deadline_guard = self.context.timers.at(
            pending.deadline + self.slack, self.on_deadline_overdue, pending
        )

    def finish(
        self, pending: PendingRequest, verdict: RequestEnd, retry_after: int = 0, body: Any = None
    ) -> None:
        """Answer, unless an answer is out already."""
        if pending.final:
            return
        self.close(pending, verdict)
        self.context.transport.send_answer(pending, verdict, retry_after, body)

    def close(self, pending: PendingRequest, how: RequestEnd) -> None:
        """The request is over; its attempts may still be in flight."""
        pending.final = True
        self.open_requests -= 1
        self.context.counts[how] += 1
        self.context.transport.request_closed(pending, how)
        if pending.deadline_guard is not None:
            pending.deadline_guard.stop()
        if pending.in_flight:
            self.cancel_unsent(pending)
        if not pending.in_flight:
            self.events.finished.append(pending)

    def client_gone(self, pending: PendingRequest) -> None:
        """The client has gone; what a worker has of the request goes on to its own end."""
        if not pending.final:
            self.close(pending, RequestEnd.CLIENT_GONE)
            self.events.post(pending, "on_client_gone", pending)

    def retract(self, pending: PendingRequest) -> None:
        """The host takes a request back that has not run, to have it placed anew under another function."""
        if not pending.final:
            self.close(pending, RequestEnd.MIGRATED)
            self.events.post(pending, "on_client_gone", pending)

    def abort_all(self, requests: Sequence[PendingRequest]) -> None:
        """Answer these at once: the program ends."""
        for pending in requests:
            if not pending.final:
                self.finish(pending, RequestEnd.ABORTED)
                self.events.post(pending, "on_client_gone", pending)

    def on_deadline_overdue(self, pending: PendingRequest) -> None:
        """Guards rule 1 where the module let a deadline pass, by error or in an unforeseen state."""
        if not pending.final:
            self.context.counts[Counter.DEADLINES_ENFORCED] += 1
            self.context.transport.log("deadline guarded", request=pending.tag, state=str(pending.state))
            self.finish(pending, RequestEnd.ABORTED)
            self.events.post(pending, "on_client_gone", pending)
