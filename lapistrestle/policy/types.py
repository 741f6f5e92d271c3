"""What passes between the decision module and its host: plain values, no decision.

The host makes these objects; the module extends those of workers, functions and requests with its own state
(`entities.py`). Times are ticks on the host's clock (`ticks.py`).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lapistrestle.policy.entities import Function, Request, Worker


class Outcome(Enum):
    """How an attempt, a preload or a health check ended."""

    OK = auto()
    ERROR = auto()  # answered with an error; may have run
    REJECTED = auto()  # turned away unseen
    TIMED_OUT = auto()  # no answer in time; may have run
    UNREACHABLE = auto()  # no connection; never ran
    RESET = auto()  # connection broke; may have run
    CANCELLED = auto()  # called off; may have run
    NOT_SENT = auto()  # not sent
    NOT_LOADED = auto()  # function not loaded there; never ran


class EndpointState(Enum):
    """What the endpoint list says of a worker."""

    SERVING = auto()
    DRAINING = auto()
    REMOVED = auto()


class LoadState(Enum):
    """Whether an answer found its function loaded, where answers tell."""

    UNKNOWN = auto()
    LOADED = auto()
    BEGAN_LOAD = auto()
    JOINED_LOAD = auto()
    LOAD_FAILED = auto()


class Zone(IntEnum):
    """How near the latencies of a function on a worker are to their bound (paper, section III-B 1)."""

    SAFE = 1
    PREWARNING = 2
    WARNING = 3
    UNSAFE = 4


class State(Enum):
    """Where a request stands."""

    NEW = auto()  # not admitted yet
    PLACING = auto()  # a worker is being chosen
    OUT = auto()  # an attempt is under way
    PARKED = auto()  # it waits for a load to end
    OVER = auto()  # it has its final answer, or its client has gone


@dataclass(eq=False)
class WorkerInfo:
    """A worker as the endpoint list names it. `name` is the same at every dispatcher."""

    name: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    listing: EndpointState = EndpointState.SERVING
    booted: int | None = None  # last start on the host's clock; None: long ago


@dataclass(eq=False)
class FunctionInfo:
    """A function, with the memory (MB) and the lanes of one loaded copy."""

    name: str
    method: int = 0
    memory: float = 0.0
    lanes: int = 1
    load: int | None = None  # ticks that a load usually takes when nothing is in its way, where requests tell


@dataclass(eq=False)
class RequestInfo:
    """One request as it came in. `tag` belongs to the host; decisions never read it."""

    tag: str
    function: "Function"
    method: int
    customer: int
    deadline: int  # when the client gives up on this try
    work: int | None = None  # hint of the work, where given
    repeat: bool = False
    moved: bool = False  # taken before: under another function and has not run, or under the same id
    came: int | None = None  # the earliest that it may have been taken, where it was read late
    over: bool = False  # the final answer is out, or the client has left
    attempts: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False)
class Attempt:
    """One attempt of a request on a worker."""

    request: "Request"
    worker: "Worker"
    sent: int
    cold: bool = False  # a load is expected behind it
    concurrency: int = 0  # own requests of the function on the worker, this one included, when it was sent
    expected_latency: int = 0  # ticks that it would take alone
    outcome: Outcome | None = None


@dataclass(frozen=True)
class AttemptResult:
    """What came back with the end of an attempt."""

    latency: int  # ticks
    over: bool = False  # the request is over, by this outcome or earlier
    load_state: LoadState = LoadState.UNKNOWN
    concurrency: int | None = None  # requests of the function found there, where answers tell
    load_report: Mapping[str, float] = field(default_factory=dict)  # figures by name
