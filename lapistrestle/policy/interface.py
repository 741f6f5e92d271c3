"""What passes between the decision module and the program that hosts it.

The host makes the objects below (the module extends them with its own state), reports each event as a
method call on `Events`, and carries out what the module asks through `Host`. All times are whole tenths of
a millisecond on the host's clock. Nothing here decides anything.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Protocol


class Outcome(Enum):
    """How a call-out, an order or a probe ended."""

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
    """What the list of workers says of one."""

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


@dataclass(eq=False)
class WorkerInfo:
    """A worker as the list names it. `name` is the same at every dispatcher."""

    name: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    listing: EndpointState = EndpointState.SERVING
    booted: int | None = None  # last start on the host's clock; None: long ago


@dataclass(eq=False)
class FunctionInfo:
    """A function, with the memory and the lanes of one loaded copy."""

    name: str
    method: int = 0
    memory: float = 0.0
    lanes: int = 1
    load: int | None = None  # usual time of a load when nothing is in its way, where RPCs tell


@dataclass(eq=False)
class RequestInfo:
    """One RPC as it came in. `tag` belongs to the host; decisions never read it."""

    tag: str
    function: Any  # the module's own function object, made by the host from FnFacts
    method: int
    customer: int
    deadline: int  # when the client gives up on this try
    work: int | None = None  # hint of the work, where given
    repeat: bool = False
    moved: bool = False  # it was taken before: under another function and has not run, or under the same id
    came: int | None = None  # the earliest that it may have been taken, where it was read late
    over: bool = False  # the final answer is out, or the client has left
    attempts: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False)
class Attempt:
    """One attempt of an RPC on a worker."""

    request: Any
    worker: Any
    sent: int
    cold: bool = False  # a load is expected behind it
    company: int = 0  # own RPCs of the function on the worker, this one included, when it was sent
    usual: int = 0  # what it would take alone
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Answer:
    """What came back with the end of a call-out."""

    took: int
    over: bool = False  # the RPC is over, by this outcome or earlier
    warmth: LoadState = LoadState.UNKNOWN
    company: int | None = None  # RPCs of the function found there, where answers tell
    report: Mapping[str, float] = field(default_factory=dict)


class Host(Protocol):
    """Everything the module can do to the world."""

    def send_attempt(self, attempt: Attempt, time_out: int) -> None: ...
    def reject(self, request: RequestInfo, retry_after: int) -> None: ...
    def abort(self, request: RequestInfo) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None: ...
    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None: ...
    def health_check(self, worker: WorkerInfo) -> None: ...
    def send_gossip(self, peer: int | None, text: str) -> None: ...
    def set_timer(self, delay: int, token: object) -> None: ...
    def watch_endpoints(self) -> None: ...
    def extend_prefix(
        self, function: FunctionInfo
    ) -> None: ...  # the known prefix of its order does not reach far enough
    def log(self, text: str) -> None: ...


class Events(Protocol):
    """What the module is told. The host sets `now` before each call."""

    now: int

    def on_endpoints(self, workers: Sequence[tuple[Any, WorkerInfo]], whole: bool) -> None: ...
    def on_endpoints_failed(self) -> None: ...
    def on_prefix(
        self, function: Any, prefix: Any
    ) -> None: ...  # the first workers of its order; listed before
    def on_request(self, request: Any) -> None: ...
    def on_attempt_started(self, attempt: Attempt) -> None: ...
    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, answer: Answer) -> None: ...
    def on_client_gone(self, request: Any) -> None: ...
    def on_timer(self, token: object) -> None: ...
    def on_preload_finished(
        self, worker: Any, function: Any, outcome: Outcome, count: int, took: int
    ) -> None: ...
    def on_health_check(
        self, worker: Any, outcome: Outcome, took: int, report: Mapping[str, float]
    ) -> None: ...
    def on_gossip(self, peer: int, text: str) -> None: ...
    def on_peer_verdict(self, worker: Any, at: int) -> None: ...  # by others of the fleet, where there is one
