"""Data types shared by the decision module and its host.

The host creates these objects; `entities.py` extends workers, functions and requests with the state of the
module. Times are ticks on the host's clock (`ticks.py`).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapistrestle.policy.entities import Function, Request, Worker


class Outcome(Enum):
    """Result of an attempt, a preload or a health check."""

    OK = auto()
    ERROR = auto()  # the worker answered with an error; may have run
    REJECTED = auto()  # the worker rejected it before running it
    TIMED_OUT = auto()  # no answer in time; may have run
    UNREACHABLE = auto()  # no connection to the worker; did not run
    RESET = auto()  # the connection was lost before the answer; may have run
    CANCELLED = auto()  # cancelled by the dispatcher; may have run
    NOT_SENT = auto()  # not sent by the host; did not run
    NOT_LOADED = auto()  # the function is not loaded on the worker; did not run

    @property
    def proves_never_ran(self) -> bool:
        """Whether the attempt certainly had no effect."""
        return self in NEVER_RAN


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.NOT_LOADED})


class EndpointState(Enum):
    """State of a worker in the endpoint list."""

    SERVING = auto()
    DRAINING = auto()
    REMOVED = auto()


class LoadState(Enum):
    """Whether the function was loaded when the request arrived at the worker, as reported in the answer."""

    UNKNOWN = auto()
    LOADED = auto()
    STARTED_LOAD = auto()  # the request started a load
    JOINED_LOAD = auto()  # the request waited for a load that was in progress
    LOAD_FAILED = auto()


class Zone(IntEnum):
    """Latency zone of a function on a worker, by distance to the latency bound (FnSched paper, III-B 1)."""

    SAFE = 1
    PREWARNING = 2
    WARNING = 3
    UNSAFE = 4


class RetentionClass(IntEnum):
    """Groups of functions that are not in use; lower ones are evicted first."""

    WITHOUT_REPLICAS = 0
    NOT_LOADED = 1  # no worker is believed to have a copy
    REQUESTED_ONCE = 2
    REQUESTED_AGAIN = 3


class State(Enum):
    """State of a request."""

    NEW = auto()  # received, not admitted yet
    PLACING = auto()  # a worker is being chosen
    OUT = auto()  # an attempt is in flight
    PARKED = auto()  # waiting for a load to finish
    OVER = auto()  # the final answer was sent, or the client is gone


@dataclass(eq=False)
class WorkerInfo:
    """A worker as described by the endpoint list. `name` is the same at every dispatcher."""

    name: str
    zone: int = 0  # availability zone
    cell: int = 0  # failure domain within a zone
    kind: int = 0  # machine type
    size: float = 1.0  # relative capacity
    endpoint_state: EndpointState = EndpointState.SERVING
    booted_at: int | None = None  # tick of the last process start; None: long ago


@dataclass(frozen=True)
class EndpointGap:
    """Changes that the endpoint list may lack. Times are ticks."""

    complete_until: int  # changes until then are in the list
    notified_at: int  # from then on the missing changes count as notified


@dataclass(eq=False)
class FunctionInfo:
    """A function, with the memory (MB) and the lanes (concurrent requests) of one loaded copy."""

    name: str
    method: int = 0
    memory_mb: float = 0.0
    lanes: int = 1
    load_time: int | None = None  # ticks of an undisturbed load; None: requests do not report it


@dataclass(eq=False)
class RequestInfo:
    """One request as received. `tag` identifies it to the host; decisions never read it."""

    tag: str
    function: "Function"
    method: int
    customer: int
    deadline: int  # tick at which the client stops waiting
    work: int | None = None  # hint of the work it takes, in ticks
    repeat: bool = False  # the client marked it as a retry
    already_counted: bool = False  # the preload budget has counted it: rerouted, or same id
    arrived_at: int | None = None  # earliest tick it may have arrived, if the host read it late
    over: bool = False  # the final answer was sent, or the client is gone
    attempts: list["Attempt"] = field(default_factory=list)

    def has_perhaps_run(self) -> bool:
        """Whether any attempt has run, or may have."""
        return any(
            attempt.outcome is None or not attempt.outcome.proves_never_ran for attempt in self.attempts
        )


@dataclass(eq=False)
class Attempt:
    """One attempt of a request on a worker."""

    request: "Request"
    worker: "Worker"
    sent_at: int  # tick
    cold: bool = False  # the function is expected to be loaded first
    concurrency: int = 0  # own requests of the function on the worker as it was sent, this one included
    expected_latency: int = 0  # ticks, without any queueing
    outcome: Outcome | None = None


@dataclass(frozen=True)
class AttemptResult:
    """Details reported with the end of an attempt."""

    latency: int  # ticks
    over: bool = False  # the request is over, by this outcome or before
    load_state: LoadState = LoadState.UNKNOWN
    concurrency: int | None = None  # requests of the function already on the worker; None: not reported
    load_report: Mapping[str, float] = field(default_factory=dict)  # values by name
