"""Work in flight at a host: client requests, their attempts on workers, and worker tasks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import Attempt


class RequestEnd(StrEnum):
    """How a request ended. The values are the verdicts on the wire and the counters of the final log line."""

    OK = "ok"
    REJECTED = "denied"  # not run
    ABORTED = "aborted"  # failed; may have run
    CLIENT_GONE = "left"  # the client disconnected before its answer
    MIGRATED = "moved"  # closed without an answer and submitted again for another function


class Counter(StrEnum):
    """Further counters of the final log line, by their names there."""

    RECEIVED = "taken"  # requests
    UNMATCHED = "stray"  # replies to attempts and tasks that are not in flight
    ERRORS = "faults"  # exceptions raised by the module
    DEADLINES_ENFORCED = "guarded"  # requests aborted by the host, as the module missed their deadline


# counter names, in the order of the log line
COUNTERS: tuple[str, ...] = (
    Counter.RECEIVED.value,
    *(end.value for end in RequestEnd),
    Counter.UNMATCHED.value,
    Counter.ERRORS.value,
    Counter.DEADLINES_ENFORCED.value,
)


class CallConnection(Protocol):
    """The connection over which an attempt or a task is sent."""

    def cancel_unsent(self, number: int) -> bool:
        """Drop the message if it was not written yet, and return whether it was dropped."""

    def withdraw(self, number: int, notify: bool) -> bool:
        """Stop waiting for the reply; with `notify`, ask the worker to cancel. Return True if it was never
        sent.
        """


NO_REPORT: Mapping[str, float] = {}


@dataclass(eq=False)
class PendingRequest(Request):
    """A client's request, held until its final answer was sent and its last attempt has ended."""

    message: Any = None  # of the transport: the message that the client sent
    client: Any = None  # of the transport: the connection for the answer
    is_closed: bool = False  # answered, or the client disconnected
    streaming: "WorkerCall | None" = None  # the attempt whose answer streams
    deadline_guard: Timer | None = None  # aborts the request shortly after its deadline
    timers: list[Timer] = field(default_factory=list)  # set by the module for it
    in_flight: int = 0  # attempts in flight
    route: Any = None  # of the transport: the version of the function
    prior_attempts: int = 0  # made for another version; they count towards the limit
    unsent_attempts: int = 0  # attempts that the host did not send

    def attempt_count(self) -> int:
        """Return the attempts that count towards the limit, over all versions."""
        return self.prior_attempts + len(self.attempts) - self.unsent_attempts


@dataclass(eq=False)
class WorkerCall:
    """One attempt of a request on a worker. Times are ticks on the host's clock."""

    number: int
    attempt: Attempt
    pending: PendingRequest
    worker: Worker
    sent_at: int
    timeout: int  # duration
    write_by: int | None = None  # latest time to write it to the connection
    timer: Timer | None = None
    connection: CallConnection | None = None  # over which it is sent

    @property
    def expires_at(self) -> int:
        """When it times out, however late it is written."""
        return self.sent_at + self.timeout


@dataclass(eq=False)
class WorkerTask:
    """A preload, or a health check (`function` is None), in flight to a worker."""

    number: int
    worker: Worker
    function: Function | None
    count: int  # copies to hold
    sent_at: int
    timer: Timer | None = None
    connection: CallConnection | None = None  # over which it is sent
