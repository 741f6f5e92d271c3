"""Workers, functions and requests with the state that the decision module holds of them.

A replica is a function on a worker, with any number of loaded copies. A request is warm if it finds a loaded
copy, and cold if it waits for a load. The isolated latency of a function is the latency of its requests
without queueing.

Each group of fields is written by the module named in its comment, and may be read by all.
"""

from array import array
from collections import deque
from dataclasses import dataclass, field
from itertools import islice
from zlib import crc32

from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.types import (
    Attempt,
    FunctionInfo,
    RequestInfo,
    RetentionClass,
    State,
    WorkerInfo,
    Zone,
)


def new_scores() -> "array[float]":
    """Return an empty array of scores."""
    return array("d")


@dataclass(eq=False)
class Worker(WorkerInfo):
    """A worker. `Endpoints` calls `reset` when it is first listed, and after a restart."""

    # health.py
    good_outcomes: DecayingSum = field(init=False)
    bad_outcomes: DecayingSum = field(init=False)
    ejected: bool = False  # gets no requests other than trials
    ejection_backoff: int = 0  # ticks between trials of an ejected worker
    next_trial_at: int = 0  # tick from which an ejected worker may get a trial request
    trials_assigned_here: bool = True  # this dispatcher sends its trials, not others of the fleet
    # attempts.py, outcome_recording.py
    latency_sum: DecayingSum = field(init=False)  # of attempts without a load, of all functions
    isolated_latency_sum: DecayingSum = field(init=False)  # what those would have taken without queueing
    ok_answers: DecayingSum = field(init=False)
    in_flight: int = 0  # own attempts on the worker
    warm_attempts: dict[Attempt, bool] = field(default_factory=dict)  # in flight, no load; oldest first
    warm_expected_latency: int = 0  # sum of their expected latencies, in ticks
    silent_since: int | None = None  # tick since when own warm attempts wait and no answer was received
    rejecting_until: int = 0  # tick; it rejected a request: no more until then, or its next ok answer
    customer_rejected_until: dict[int, int] = field(default_factory=dict)  # tick, by customer
    emptied_at: int = -1  # tick; no copy that was loaded before remains
    # preloading.py
    functions_loading: int = 0  # functions with own attempts or preloads that wait for a load
    loads_rejected_until: int = 0  # tick; it rejected a load: no more until then, or one ends there
    # slow_start.py
    sent_in_slow_start: deque[tuple[int, float]] = field(default_factory=deque)  # (tick, weight)
    # endpoints.py
    ring_position: int = 0
    ring_version: int = 0  # version of the endpoints in which it entered the ring
    replicas: dict["Function", "FunctionReplica"] = field(default_factory=dict, repr=False)

    def reset(self, time_constant: int, ejection_backoff: int, booted_at: int | None) -> None:
        """Discard what was learned: the worker is new, or another process has its name."""
        self.good_outcomes = DecayingSum(time_constant)
        self.bad_outcomes = DecayingSum(time_constant)
        self.latency_sum = DecayingSum(time_constant)
        self.isolated_latency_sum = DecayingSum(time_constant)
        self.ok_answers = DecayingSum(time_constant)
        self.emptied_at = booted_at or -1
        self.ejected = False
        self.silent_since = None
        self.ejection_backoff = ejection_backoff
        self.ring_position = crc32(self.name.encode())

    def update(self, info: WorkerInfo) -> None:
        """Copy the values of its entry in the endpoint list."""
        self.zone = info.zone
        self.cell = info.cell
        self.kind = info.kind
        self.size = info.size
        self.endpoint_state = info.endpoint_state
        self.booted_at = info.booted_at

    @property
    def has_pending_work(self) -> bool:
        """Whether a preload is in flight to it, or a request waits for a load on it."""
        return any(replica.pending_preloads or replica.waiters for replica in self.replicas.values())

    def latency_sums(self, now: int, limit: int) -> tuple[float, float]:
        """Return the sums of latencies and of isolated latencies of its attempts, in ticks. Of the oldest
        `limit` attempts in flight, those past their expected latency are included.
        """
        latency = self.latency_sum.read(now)
        isolated = self.isolated_latency_sum.read(now)
        for attempt in islice(self.warm_attempts, limit):  # oldest first
            if now - attempt.sent_at > attempt.expected_latency:
                latency = latency + now - attempt.sent_at
                isolated = isolated + attempt.expected_latency
        return latency, isolated

    def weight_sent_since(self, since: int) -> float:
        """Return the weight of what was sent after tick `since`, and discard what was sent earlier."""
        sent = self.sent_in_slow_start
        while sent and sent[0][0] <= since:
            sent.popleft()
        return sum(weight for _, weight in sent)

    def set_time_constant(self, time_constant: int) -> None:
        """Set the time constant of all its estimates, in ticks."""
        self.latency_sum.time_constant = time_constant
        self.isolated_latency_sum.time_constant = time_constant
        self.good_outcomes.time_constant = time_constant
        self.bad_outcomes.time_constant = time_constant
        self.ok_answers.time_constant = time_constant

    def add_latency(self, now: int, latency: float, isolated: float) -> None:
        """Add a latency, and what it would have been without queueing."""
        self.latency_sum.add(now, latency)
        self.isolated_latency_sum.add(now, isolated)


@dataclass(eq=False)
class PendingPreload:
    """One preload in flight."""

    sent_at: int  # tick
    needs_load: bool  # it asks for more copies than are believed to be loaded


@dataclass(eq=False, slots=True)
class FunctionReplica:
    """One function on one worker."""

    worker: Worker
    function: "Function"
    # latency_zones.py
    window: list[int] = field(default_factory=list)  # latest latencies, relative to the work hint
    zone: Zone = Zone.SAFE
    backoff_until: int = 0  # end of Unsafe
    # loaded_copies.py
    copies: int = 0  # believed to be loaded
    confirmed_at: int = -1  # tick of the last confirmation
    not_loaded_at: int = -(10**15)  # tick of the last "not loaded"
    # attempts.py
    in_flight: int = 0  # own attempts of the function on the worker
    peak_in_flight: int = 0  # highest value since the last maintenance
    # preloading.py
    loading: int = 0  # own attempts and preloads that wait for a load; see `change_loading`
    pending_preloads: list[PendingPreload] = field(default_factory=list)  # oldest first
    waiters: list["Request"] = field(default_factory=list)  # parked until the load finishes

    @property
    def is_busy(self) -> bool:
        """Whether own attempts or preloads are in flight, or requests wait for a load."""
        return bool(self.in_flight or self.pending_preloads or self.waiters)

    def change_loading(self, change: int) -> None:
        """Change the number of own attempts and preloads that wait for a load, also that of the worker."""
        before = self.loading
        self.loading = before + change
        self.worker.functions_loading += bool(self.loading) - bool(before)

    def take_waiters(self) -> list["Request"]:
        """Return the requests that waited for the load, and clear the list."""
        waiters = self.waiters
        self.waiters = []
        return waiters

    def start(self, attempt: Attempt) -> None:
        """Record an attempt that is being sent."""
        worker = self.worker
        if not attempt.cold:
            worker.warm_attempts[attempt] = True
            worker.warm_expected_latency += attempt.expected_latency
            if worker.silent_since is None:
                worker.silent_since = attempt.sent_at
        self.in_flight += 1
        worker.in_flight += 1
        if attempt.cold:
            self.change_loading(1)
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def finish(self, attempt: Attempt) -> None:
        """Record the end of an attempt."""
        worker = self.worker
        if worker.warm_attempts.pop(attempt, None):
            worker.warm_expected_latency -= attempt.expected_latency
        self.in_flight -= 1
        worker.in_flight -= 1
        if attempt.cold:
            self.change_loading(-1)


@dataclass(eq=False)
class Function(FunctionInfo):
    """A function, with its replicas and estimates."""

    replicas: dict[Worker, FunctionReplica] = field(default_factory=dict)
    isolated_latency: float | None = None  # ticks; None: too few samples (latency_estimates.py)
    # function_order.py
    demand: DecayingSum = field(default_factory=lambda: DecayingSum(1))  # of own requests, weighted by work
    order_version: int = -1  # version of the endpoints that the order was built from; -1: no order
    home: Worker | None = None  # first worker of the order, if it follows the ring
    home_index: int = 0  # of the home in the ring
    home_score: float = 0.0
    sorted_order: list[Worker] = field(default_factory=list)  # empty if the order follows the ring
    sorted_scores: "array[float]" = field(default_factory=new_scores)  # of the workers of `sorted_order`
    prefix: list[Worker] | None = None  # first workers of the order, from a directory; None: no directory
    # function_retention.py
    requests: int = 0  # received
    retained_bytes: int = 0  # estimated size; 0: not counted
    retention_class: RetentionClass | None = None  # None: in use, or not counted

    @property
    def is_in_use(self) -> bool:
        """Whether attempts, preloads or waiting requests refer to one of its replicas."""
        return any(replica.is_busy for replica in self.replicas.values())

    @property
    def has_state(self) -> bool:
        """Whether it has replicas or an order."""
        return bool(self.replicas) or self.order_version >= 0

    def drop_order(self) -> None:
        """Discard its order, which can be computed again."""
        self.order_version = -1
        self.home = None
        self.sorted_order = []
        self.sorted_scores = new_scores()

    def drop(self, worker: Worker) -> None:
        """Discard its replica on this worker."""
        if self.replicas.pop(worker, None) is not None:
            del worker.replicas[self]

    def replica(self, worker: Worker) -> FunctionReplica:
        """Return its replica on this worker, created with no copies and no history if there is none."""
        if worker not in self.replicas:
            self.replicas[worker] = worker.replicas[self] = FunctionReplica(worker, self)
        return self.replicas[worker]


@dataclass(eq=False)
class Request(RequestInfo):
    """A request, with its state."""

    state: State = State.NEW
    accepted_at: int = 0  # tick at which the module received it
    scale: float = 1.0  # its hinted work relative to the mean of its method; 1: no hint
    may_have_run_at: int = 0  # tick at which the first attempt that may have run was sent
    may_have_run_on: Worker | None = None
