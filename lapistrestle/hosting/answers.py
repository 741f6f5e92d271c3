"""Final answers: exactly one per request, at the latest shortly after its deadline."""

from collections.abc import Callable, Sequence
from typing import Any

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import Counter, PendingRequest, RequestEnd


class FinalAnswers:
    """Open requests and their final answers.

    If the module has not answered `slack` ticks after the deadline of a request, it is aborted by a timer.
    """

    def __init__(self, context: HostContext, events: EventQueue, slack: int) -> None:
        self.context = context
        self.events = events
        self.slack = slack
        self.open_requests = 0  # requests received and not closed yet
        self.cancel_unsent: Callable[[PendingRequest], None]  # set by the host: `WorkerCalls.cancel_unsent`

    def accept(self, pending: PendingRequest) -> None:
        """Register a received request and start its deadline timer. The caller posts it to the module."""
        self.open_requests += 1
        self.context.counts[Counter.RECEIVED] += 1
        pending.deadline_guard = self.context.timers.at(
            pending.deadline + self.slack, self.on_deadline_overdue, pending
        )

    def finish(
        self, pending: PendingRequest, end: RequestEnd, retry_after: int = 0, body: Any = None
    ) -> None:
        """Send the final answer, unless the request is closed."""
        if pending.is_closed:
            return
        self.close(pending, end)
        self.context.transport.send_answer(pending, end, retry_after, body)

    def close(self, pending: PendingRequest, end: RequestEnd) -> None:
        """Close the request; its attempts may still be in flight."""
        pending.is_closed = True
        self.open_requests -= 1
        self.context.counts[end] += 1
        self.context.transport.request_closed(pending, end)
        if pending.deadline_guard is not None:
            pending.deadline_guard.stop()
        for timer in pending.timers:
            timer.stop()
        pending.timers.clear()
        if pending.in_flight:
            self.cancel_unsent(pending)
        if not pending.in_flight:
            self.events.finished.append(pending)

    def client_gone(self, pending: PendingRequest) -> None:
        """Close the request of a client that disconnected; attempts that workers have continue."""
        if not pending.is_closed:
            self.close(pending, RequestEnd.CLIENT_GONE)
            self.events.post(pending, "on_client_gone", pending)

    def retract(self, pending: PendingRequest) -> None:
        """Close a request that has not run, so that the host can submit it again for another function."""
        if not pending.is_closed:
            self.close(pending, RequestEnd.MIGRATED)
            self.events.post(pending, "on_client_gone", pending)

    def abort_all(self, requests: Sequence[PendingRequest]) -> None:
        """Abort the requests at once, as the program ends."""
        for pending in requests:
            if not pending.is_closed:
                self.finish(pending, RequestEnd.ABORTED)
                self.events.post(pending, "on_client_gone", pending)

    def on_deadline_overdue(self, pending: PendingRequest) -> None:
        """Abort a request whose deadline the module missed, so that it gets an answer in time."""
        if not pending.is_closed:
            self.context.counts[Counter.DEADLINES_ENFORCED] += 1
            self.context.transport.log("deadline guarded", request=pending.tag, state=str(pending.state))
            self.finish(pending, RequestEnd.ABORTED)
            self.events.post(pending, "on_client_gone", pending)
