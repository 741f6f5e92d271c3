"""What a host keeps of the work in flight: client requests, their attempts on workers, and worker tasks."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import Attempt


class RequestEnd(StrEnum):
    """How a request ended. The values are the verdicts on the wire and the counters of the last log line."""

    OK = "ok"
    REJECTED = "denied"  # it did not run
    ABORTED = "aborted"  # it may have run
    CLIENT_GONE = "left"  # the client closed before its answer
    MIGRATED = "moved"  # taken back, to be placed anew under another function


class Counter(StrEnum):
    """What else the last log line counts, under these names."""

    RECEIVED = "taken"  # requests
    UNMATCHED = "stray"  # replies to what is not in flight
    ERRORS = "faults"  # errors that the module raised
    DEADLINES_ENFORCED = "guarded"  # requests whose deadline the module let pass


# in the order of the log line
COUNTERS: tuple[str, ...] = (
    Counter.RECEIVED.value,
    *(end.value for end in RequestEnd),
    Counter.UNMATCHED.value,
    Counter.ERRORS.value,
    Counter.DEADLINES_ENFORCED.value,
)


class CallConnection(Protocol):
    """The connection that carries an attempt or a task."""

    def cancel_unsent(self, number: int) -> bool:
        """Drop what was not written. True if it never left, and now never does."""

    def withdraw(self, number: int, notify: bool) -> bool:
        """Wait for it no more, and with `notify` have the worker cancel it. True if it never left."""


NO_REPORT: Mapping[str, float] = {}


@dataclass(eq=False)
class PendingRequest(Request):
    """A client's request, kept until its final answer is out and its last attempt has ended."""

    message: Any = None  # the transport's own: what the client sent
    client: Any = None  # the transport's own: the connection that the answer goes to
    final: bool = False  # answered, or the client has left
    streaming: "WorkerCall | None" = None  # the attempt whose answer has begun to stream
    deadline_guard: Timer | None = None  # due shortly after the deadline
    in_flight: int = 0  # attempts in flight
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
    connection: CallConnection | None = None  # that carries it

    @property
    def ends_by(self) -> int:
        """When its time is up, however late it is written."""
        return self.sent_at + self.time_out


@dataclass(eq=False)
class WorkerTask:
    """A preload, or a health check (`function` is None), in flight at a worker."""

    number: int
    worker: Worker
    function: Function | None
    count: int  # copies to hold
    sent_at: int
    timer: Timer | None = None
    connection: CallConnection | None = None  # that carries it
