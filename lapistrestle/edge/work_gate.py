"""The last check before new work is sent to a worker.

Nothing new may be sent to a worker that drains or has left the list, nor for a client that has gone. The
decision module knows what was read so far, but after a stall of the process a drain notice or a client's
close may be unread in a socket. So this check reads those sockets and decides again just before the first
byte of each attempt and each preload. It never selects another worker: work that fails the check ends as not
sent. Times are ticks of 0.1 ms.
"""

from collections.abc import Sequence
from typing import Any

from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.types import EndpointState, WorkerInfo

NOT_STARTED = "not begun"  # the log event and counter of work that failed the check


class WorkGate:
    """The workers' states by the last list read, and whether work may start at them."""

    def __init__(self, core: Any) -> None:
        self.core = core
        self.states: dict[str, EndpointState] = {}  # of the listed workers
        self.is_reading = False  # guards against recursion: what is read may lead to another check

    def update(self, workers: Sequence[WorkerInfo], whole: bool) -> None:
        """Apply a worker list (`whole`) or a change to it."""
        if whole:
            self.states.clear()
        for worker in workers:
            if worker.endpoint_state is EndpointState.REMOVED:
                self.states.pop(worker.name, None)
            else:
                self.states[worker.name] = worker.endpoint_state

    def may_start(self, work: WorkerCall | WorkerTask, runner: Any) -> bool:
        """Whether work may start at this runner, by the list and the client's connection as read now.

        It may not where another process has taken over the worker's name since the work was placed.
        """
        self.read_lists()
        serves = self.is_serving(work.worker.name) and self.core.runners.get(work.worker.name) is runner
        if serves and (isinstance(work, WorkerTask) or self.is_wanted(work)):
            return True
        self.count_not_started(work)
        return False

    def is_serving(self, name: str) -> bool:
        """Whether the worker takes new work by the list last read, and that list is recent enough."""
        if self.states.get(name) is not EndpointState.SERVING:
            return False
        return all(source.is_current() for source in self.core.sources)

    def read_lists(self) -> None:
        """Process unread data of the list's sources."""
        if self.is_reading:
            return
        self.is_reading = True
        for source in self.core.sources:
            source.read_now()
        self.is_reading = False

    def is_wanted(self, worker_call: WorkerCall) -> bool:
        """Whether the client still waits for this attempt and its deadline has not passed."""
        pending = worker_call.pending
        if pending.is_closed or not pending.client.is_waiting():
            return False
        return not pending.is_closed and worker_call.expires_at > self.core.clock()

    def count_not_started(self, work: WorkerCall | WorkerTask) -> None:
        """Count work that failed the check, and log the first occurrences with the worker's listed state."""
        listing = self.states.get(work.worker.name, EndpointState.REMOVED).name.lower()
        self.core.count_and_log(NOT_STARTED, runner=work.worker.name, listing=listing, number=work.number)
