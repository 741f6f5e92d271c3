"""The last check before new work is sent to a worker.

Nothing new may be sent to a worker that drains or has left the list, nor for a client that has gone. The
decision module knows what was read so far, but after a stall of the process a drain notice or a client's
close may be unread in a socket. So this check reads those sockets and decides again just before the first
byte of each attempt and each preload. It never picks another worker: work that fails the check ends as not
sent. Times are ticks of 0.1 ms.
"""

from collections.abc import Sequence
from typing import Any

from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.types import EndpointState, WorkerInfo

READ_AGAIN = 200  # ticks between reads of the sources; the protocol allows 500 on top of any drain grace
NOT_BEGUN = "not begun"  # the log event and counter of work that failed the check


class WorkGate:
    """The workers' states as last read from the list, and which work may start by them."""

    def __init__(self, core: Any) -> None:
        self.core = core
        self.listings: dict[str, EndpointState] = {}
        self.is_reading = False  # guards against recursion: what is read may lead to another check
        self.read_at = -READ_AGAIN - 1

    def listed(self, told: Sequence[WorkerInfo], whole: bool) -> None:
        """Apply a worker list (`whole`) or a change to it."""
        if whole:
            self.listings.clear()
        self.listings.update((facts.name, facts.endpoint_state) for facts in told)

    def may_begin(self, work: WorkerCall | WorkerTask, runner: Any) -> bool:
        """Whether work may start at this runner.

        It may not where another process has taken over the worker's name since the work was placed.
        """
        serves = self.serves(work.worker.name) and self.core.runners.get(work.worker.name) is runner
        if serves and (isinstance(work, WorkerTask) or self.is_wanted(work)):
            return True
        self.refused(work)
        return False

    def serves(self, name: str) -> bool:
        """Whether the worker takes new work by the current list, and the list is recent enough to rely on."""
        self.read_lists()
        if self.listings.get(name) is not EndpointState.SERVING:
            return False
        return all(source.is_current() for source in self.core.sources)

    def read_lists(self) -> None:
        """Process unread data of the list's sources, unless that was done within READ_AGAIN.

        With the limit the check costs one system call per READ_AGAIN in normal operation.
        """
        now = self.core.clock()
        if self.is_reading or now - self.read_at <= READ_AGAIN:
            return
        self.is_reading, self.read_at = True, now
        for source in self.core.sources:
            source.read_now()
        self.is_reading = False

    def is_wanted(self, worker_call: WorkerCall) -> bool:
        """Whether the client still waits for this attempt and its deadline has not passed."""
        pending = worker_call.pending
        if pending.is_closed or not pending.client.is_waiting():
            return False
        return not pending.is_closed and worker_call.expires_at > self.core.clock()

    def refused(self, work: WorkerCall | WorkerTask) -> None:
        """Count work that failed the check, and log the first occurrences with the worker's listed state."""
        listing = self.listings.get(work.worker.name, EndpointState.REMOVED).name.lower()
        self.core.count_and_log(NOT_BEGUN, runner=work.worker.name, listing=listing, number=work.number)
