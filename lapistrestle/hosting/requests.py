"""What a host keeps of the work under way: client requests, their attempts on workers, and worker tasks."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.interface import Attempt
from lapistrestle.policy.state import Function, Request, Worker

OK: Final = "ok"
DENIED: Final = "denied"
ABORTED: Final = "aborted"
LEFT: Final = "left"  # the client closed before its answer
MOVED: Final = "moved"  # taken back, to be placed anew under another function

TAKEN: Final = "taken"
UNMATCHED: Final = "stray"  # replies to what is not under way; the name that log lines carry
FAULTS: Final = "faults"
GUARDED: Final = "guarded"
COUNTERS = (TAKEN, OK, DENIED, ABORTED, LEFT, MOVED, UNMATCHED, FAULTS, GUARDED)

NO_REPORT: Mapping[str, float] = {}


@dataclass(eq=False)
class PendingRequest(Request):
    """A client's request, kept until its final answer is out and its last attempt has ended."""

    message: Any = None  # the transport's own: what the client sent
    client: Any = None  # the transport's own: the connection that the answer goes to
    final: bool = False  # answered, or the client has left
    streaming: "WorkerCall | None" = None  # the attempt whose answer has begun to stream
    deadline_guard: Timer | None = None  # due shortly after the deadline
    in_flight: int = 0  # attempts under way
    route: Any = None  # the transport's own: which version of the function it goes to
    prior_attempts: int = 0  # made under another version; they count towards the limit
    unsent_attempts: int = 0  # own attempts that the host did not send

    def attempt_count(self) -> int:
        """Attempts that count towards the limit, under whichever version."""
        return self.prior_attempts + len(self.attempts) - self.unsent_attempts


@dataclass(eq=False)
class WorkerCall:
    """One attempt of a request on a worker. Times are tenths of a millisecond on the host's clock."""

    number: int
    attempt: Attempt
    pending: PendingRequest
    worker: Worker
    sent_at: int
    time_out: int  # a span
    begin_by: int | None = None  # not to be written to the connection later than this
    timer: Timer | None = None
    connection: Any = None  # the transport's own: which connection carries it

    @property
    def ends_by(self) -> int:
        """When its time is up, however late it is written."""
        return self.sent_at + self.time_out


@dataclass(eq=False)
class WorkerTask:
    """An order to hold copies of a function, or a probe (`function` is None), under way at a worker."""

    number: int
    worker: Worker
    function: Function | None
    count: int  # copies to hold
    sent_at: int
    timer: Timer | None = None
    connection: Any = None  # the transport's own: which connection carries it
