"""Whether new work may begin to leave for a worker: rules 1 and 3 at the socket.

The module decides by what it has heard; meanwhile the process may have stood still, with a drain, or the
close of a client, unread in a socket. So this is asked once more just before the first byte of each attempt
and of each order to load, whichever way it comes to be written. Placing stays the module's: what may not
begin ends as not sent. Times are whole tenths of a millisecond.
"""

from collections.abc import Sequence
from typing import Any

from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.types import EndpointState, WorkerInfo

READ_AGAIN = 200  # after so long the lists are read again; the protocol page allows 500 on top of any grace
NOT_BEGUN = "not begun"  # the log line and counter of what was refused here


class WorkGate:
    """The listings of workers as last read, and what may begin by them. `core` is the edge's."""

    def __init__(self, core: Any) -> None:
        self.core = core
        self.listings: dict[str, EndpointState] = {}
        self.is_reading = False  # what the lists tell may ask for them to be read
        self.read_at = -READ_AGAIN - 1

    def listed(self, told: Sequence[WorkerInfo], whole: bool) -> None:
        """A list or a change of it was read."""
        if whole:
            self.listings.clear()
        self.listings.update((facts.name, facts.endpoint_state) for facts in told)

    def may_begin(self, work: WorkerCall | WorkerTask, runner: Any) -> bool:
        """Whether work may begin at a runner, which may be another process under its worker's name by now."""
        serves = self.serves(work.worker.name) and self.core.runners.get(work.worker.name) is runner
        if serves and (isinstance(work, WorkerTask) or self.is_wanted(work)):
            return True
        self.refused(work)
        return False

    def serves(self, name: str) -> bool:
        """Whether the list, read just now, has a worker take new work, and is recent enough to go by."""
        self.read_lists()
        if self.listings.get(name) is not EndpointState.SERVING:
            return False
        return all(source.is_current() for source in self.core.sources)

    def read_lists(self) -> None:
        """Read what lies unread of the lists, unless that was done within READ_AGAIN: one system call in that
        time is all that a calm day pays."""
        now = self.core.clock()
        if self.is_reading or now - self.read_at <= READ_AGAIN:
            return
        self.is_reading, self.read_at = True, now
        for source in self.core.sources:
            source.read_now()
        self.is_reading = False

    def is_wanted(self, worker_call: WorkerCall) -> bool:
        """Whether a client still waits for an attempt that has not begun, with time left for it."""
        pending = worker_call.pending
        if pending.is_closed or not pending.client.is_waiting():
            return False
        return not pending.is_closed and worker_call.expires_at > self.core.clock()

    def refused(self, work: WorkerCall | WorkerTask) -> None:
        """Count what may not begin, and log the first ones with what the list says."""
        listing = self.listings.get(work.worker.name, EndpointState.REMOVED).name.lower()
        self.core.count_and_log(NOT_BEGUN, runner=work.worker.name, listing=listing, number=work.number)
