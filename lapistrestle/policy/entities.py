"""Workers, functions and requests with what the decision module remembers of them; no decision, no tuned
value.

Each group of fields is written by the part of the module that its comment names, and may be read by all.
"""

from collections import deque
from dataclasses import dataclass, field
from itertools import islice
from zlib import crc32

from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.types import Attempt, FunctionInfo, RequestInfo, State, WorkerInfo, Zone


@dataclass(eq=False)
class Worker(WorkerInfo):
    """A worker; `Endpoints` sets up its sums when it first hears of one, and after a restart."""

    # health.py
    good_outcomes: DecayingSum = field(init=False)
    bad_outcomes: DecayingSum = field(init=False)
    ejected: bool = False  # passed over, but for trials
    ejection_backoff: int = 0  # ticks before an ejected worker is tried again
    next_trial_at: int = 0
    tried_here: bool = True  # this dispatcher tries it; false where others of its fleet do, and tell
    # the record of attempts (attempts.py, outcome_recording.py)
    latency_sum: DecayingSum = field(init=False)  # of warm outcomes there, of all functions
    isolated_latency_sum: DecayingSum = field(init=False)  # what the same would have taken alone
    ok_answers: DecayingSum = field(init=False)
    in_flight: int = 0  # own attempts there
    warm_attempts: dict[Attempt, bool] = field(default_factory=dict)  # no load before them; oldest first
    warm_expected_latency: int = 0  # ticks that those would take alone, together
    silent_since: int | None = None  # a warm attempt of ours waits there, and nothing was heard since
    rejecting_until: int = 0  # it turned something away; none before then, or before its next ok answer
    customer_rejected_until: dict[int, int] = field(default_factory=dict)  # by customer
    emptied_at: int = -1  # nothing that was loaded before this moment still stands
    # preloading.py
    functions_loading: int = 0  # functions that own attempts or preloads have loading there
    loads_rejected_until: int = 0  # it turned a load away; none before then, or before one of ours ends there
    # slow_start.py
    sent_in_slow_start: deque[tuple[int, float]] = field(default_factory=deque)  # (tick, weight)
    # endpoints.py
    ring_position: int = 0
    replicas: dict["Function", "FunctionReplica"] = field(default_factory=dict, repr=False)

    def reset(self, time_constant: int, pause: int, booted: int | None) -> None:
        """Forget all: first heard of, or another process under the name."""
        self.good_outcomes = DecayingSum(time_constant)
        self.bad_outcomes = DecayingSum(time_constant)
        self.latency_sum = DecayingSum(time_constant)
        self.isolated_latency_sum = DecayingSum(time_constant)
        self.ok_answers = DecayingSum(time_constant)
        self.emptied_at = booted or -1
        self.ejected = False
        self.silent_since = None
        self.ejection_backoff = pause
        self.ring_position = crc32(self.name.encode())

    def update(self, info: WorkerInfo) -> None:
        """Take over what the endpoint list says of it now."""
        self.zone = info.zone
        self.cell = info.cell
        self.kind = info.kind
        self.size = info.size
        self.listing = info.listing
        self.booted = info.booted

    @property
    def has_pending_work(self) -> bool:
        """Whether a preload is without answer there, or a request waits for a load."""
        return any(replica.pending_preloads or replica.waiters for replica in self.replicas.values())

    def latency_sums(self, now: int, most: int) -> tuple[float, float]:
        """Return what its attempts took and would have taken alone, in ticks. Of the oldest `most` that are
        under way, also those that are late count.
        """
        latency = self.latency_sum.read(now)
        isolated = self.isolated_latency_sum.read(now)
        for attempt in islice(self.warm_attempts, most):  # the oldest first
            if now - attempt.sent > attempt.expected_latency:
                latency = latency + now - attempt.sent
                isolated = isolated + attempt.expected_latency
        return latency, isolated

    def weight_sent_since(self, then: int) -> float:
        """Return the weight of what was sent after `then`; what was sent earlier is forgotten."""
        sent = self.sent_in_slow_start
        while sent and sent[0][0] <= then:
            sent.popleft()
        return sum(weight for _, weight in sent)

    def set_time_constant(self, time_constant: int) -> None:
        """Set how long all that was measured of it is remembered, in ticks."""
        self.latency_sum.time_constant = time_constant
        self.isolated_latency_sum.time_constant = time_constant
        self.good_outcomes.time_constant = time_constant
        self.bad_outcomes.time_constant = time_constant
        self.ok_answers.time_constant = time_constant

    def add_latency(self, now: int, latency: float, isolated: float) -> None:
        """Add a latency, and what it would have been alone."""
        self.latency_sum.add(now, latency)
        self.isolated_latency_sum.add(now, isolated)


@dataclass(eq=False)
class PendingPreload:
    """One preload, until it has been answered."""

    sent: int
    load: bool  # for more copies than were believed to stand


@dataclass(eq=False)
class FunctionReplica:
    """One function on one worker."""

    worker: Worker
    function: "Function"
    # latency_zones.py
    window: list[int] = field(default_factory=list)  # latest latencies, relative to the work hint
    zone: Zone = Zone.SAFE
    backoff_until: int = 0  # end of Unsafe
    # loaded_copies.py
    copies: int = 0  # believed to stand
    confirmed_at: int = -1  # when that was last confirmed
    not_loaded_at: int = -(10**15)  # when none was found there last
    # the record of attempts (attempts.py)
    in_flight: int = 0  # own attempts of the function there
    peak_in_flight: int = 0  # most of them at once since replicas were last maintained
    # preloading.py
    loading: int = 0  # own attempts and preloads that wait for a load there; see `change_loading`
    pending_preloads: deque[PendingPreload] = field(default_factory=deque)
    waiters: list["Request"] = field(default_factory=list)  # parked until the load ends

    def change_loading(self, change: int) -> None:
        """Count own attempts and preloads that wait for a load there, also for the worker as a whole."""
        before = self.loading
        self.loading = before + change
        self.worker.functions_loading += bool(self.loading) - bool(before)

    def take_waiters(self) -> list["Request"]:
        """Return those that waited, who wait no longer."""
        waiters = self.waiters
        self.waiters = []
        return waiters

    def start(self, attempt: Attempt) -> None:
        """Count an attempt that is being sent there."""
        worker = self.worker
        if not attempt.cold:
            worker.warm_attempts[attempt] = True
            worker.warm_expected_latency += attempt.expected_latency
            if worker.silent_since is None:
                worker.silent_since = attempt.sent
        self.in_flight += 1
        worker.in_flight += 1
        if attempt.cold:
            self.change_loading(1)
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def finish(self, attempt: Attempt) -> None:
        """Count an attempt that has ended."""
        worker = self.worker
        if worker.warm_attempts.pop(attempt, None):
            worker.warm_expected_latency -= attempt.expected_latency
        self.in_flight -= 1
        worker.in_flight -= 1
        if attempt.cold:
            self.change_loading(-1)


@dataclass(eq=False)
class Function(FunctionInfo):
    """A function, with where it runs and what it takes."""

    replicas: dict[Worker, FunctionReplica] = field(default_factory=dict)
    isolated_latency: float | None = None  # ticks, once enough samples tell (latency_estimates.py)
    # function_order.py
    demand: DecayingSum = field(default_factory=lambda: DecayingSum(1))  # of own requests, weighed by work
    scores: dict[Worker, float] = field(default_factory=dict)  # the order begins at the lowest
    order: list[Worker] = field(default_factory=list)
    order_version: int = -1  # of the endpoints that `order` was made from
    prefix: list[Worker] | None = None  # the first workers of the order, where a directory tells them

    def drop(self, worker: Worker) -> None:
        """Forget what was known of it on this worker."""
        if self.replicas.pop(worker, None) is not None:
            del worker.replicas[self]

    def replica(self, worker: Worker) -> FunctionReplica:
        """Return the function on this worker; a new one has no copies and no history."""
        if worker not in self.replicas:
            self.replicas[worker] = worker.replicas[self] = FunctionReplica(worker, self)
        return self.replicas[worker]


@dataclass(eq=False)
class Request(RequestInfo):
    """A request, with where it stands."""

    state: State = State.NEW
    began: int = 0  # when the module took it
    scale: float = 1.0  # of its work to the method's usual, where hints tell
    may_have_run_at: int = 0  # sending of the first attempt that may have run
    may_have_run_on: Worker | None = None
