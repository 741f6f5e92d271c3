"""What the decision module remembers, without any decision or tuned value."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from itertools import islice
from math import exp
from zlib import crc32

from lapistrestle.policy import interface as face
from lapistrestle.policy.interface import Attempt, EndpointState

State = Enum("State", "NEW PLACING OUT PARKED OVER")  # of an RPC
Input = Enum("Input", "ARRIVED ADMITTED SENT WAITS NOWHERE OK NEVER_RAN MAY_HAVE_RUN MISSED LOADED LATE")
Zone = IntEnum("Zone", "SAFE PREWARNING WARNING UNSAFE")  # of a function on a worker


@dataclass(slots=True)
class DecayingSum:
    """A decaying sum, brought up to date when read."""

    life: int
    at: int = 0
    value: float = 0.0

    def read(self, now: int) -> float:
        if now > self.at:
            self.value, self.at = self.value * exp((self.at - now) / self.life), now
        return self.value

    def add(self, now: int, amount: float) -> None:
        self.value = self.read(now) + amount


class DecayingMean:
    """A decaying mean of what was added lately."""

    def __init__(self, life: int) -> None:
        self.total, self.count = DecayingSum(life), DecayingSum(life)

    def add(self, now: int, amount: float) -> None:
        self.total.add(now, amount)
        self.count.add(now, 1)

    def read(self, missing: float) -> float:
        """What it was when last added to; nothing added yet reads as `missing`."""
        return self.total.value / self.count.value if self.count.value else missing


@dataclass(eq=False)
class Worker(face.WorkerInfo):
    """A worker; the module sets up the sums when it first hears of one, and after a restart."""

    good: DecayingSum = field(init=False)  # outcomes
    bad: DecayingSum = field(init=False)
    took: DecayingSum = field(init=False)  # latency of warm outcomes there, of all functions
    iso: DecayingSum = field(init=False)  # what it would have been alone
    served: DecayingSum = field(init=False)  # ok outcomes
    place: int = 0  # in the shared order
    suspect: bool = False
    pause: int = 0  # before a suspect worker is tried again
    due: int = 0  # when that is
    trial: bool = True  # by this dispatcher; false where others of its fleet try it and tell
    out: int = 0  # own call-outs there
    loads: int = 0  # functions that own call-outs or orders have loading there
    warm: dict[Attempt, bool] = field(default_factory=dict)  # those with no load before them, oldest first
    warm_iso: int = 0  # sum of what they would take alone
    unheard: int | None = None  # since when a warm call-out of ours waits without any word from it
    full_until: int = 0  # it turned something away; no more before then, or before its next ok answer
    line_until: int = 0  # it turned a load away; no more before then, or before a load of ours ends there
    held_back: dict[int, int] = field(default_factory=dict)  # customer: until when
    emptied: int = -1  # nothing loaded before this moment still stands
    sends: deque[tuple[int, float]] = field(default_factory=deque)  # while cold: when and what weight
    replicas: dict["Function", "FunctionReplica"] = field(
        default_factory=dict, repr=False
    )  # those of the functions, by function

    def begin_anew(self, life: int, pause: int, booted: int | None) -> None:
        """First heard of, or another process under the name: nothing is known of it. `life` of the sums."""
        self.good, self.bad, self.took, self.iso, self.served = (DecayingSum(life) for _ in range(5))
        self.emptied, self.suspect, self.unheard, self.pause = booted or -1, False, None, pause
        self.place = crc32(self.name.encode())

    def take(self, facts: face.WorkerInfo) -> None:
        """What the list says of it now."""
        self.zone, self.cell, self.kind, self.size = facts.zone, facts.cell, facts.kind, facts.size
        self.listing, self.booted = facts.listing, facts.booted

    @property
    def awaited(self) -> bool:
        """An order is without answer, or an RPC waits for a load there."""
        return any(replica.ordered or replica.waiters for replica in self.replicas.values())

    def took_so_far(self, now: int, most: int) -> tuple[float, float]:
        """What its call-outs took and would have taken alone; of the oldest `most` also late ones count."""
        took, alone = self.took.read(now), self.iso.read(now)
        for attempt in islice(self.warm, most):  # the oldest first
            if now - attempt.sent > attempt.usual:
                took, alone = took + now - attempt.sent, alone + attempt.usual
        return took, alone

    def sent_since(self, then: int) -> float:
        """The weight of what was sent after `then`; what was sent earlier is forgotten."""
        while self.sends and self.sends[0][0] <= then:
            self.sends.popleft()
        return sum(weight for _, weight in self.sends)

    def remember(self, life: int) -> None:
        for total in (self.took, self.iso, self.good, self.bad, self.served):
            total.life = life

    def timed(self, now: int, took: float, alone: float) -> None:
        self.took.add(now, took)
        self.iso.add(now, alone)


@dataclass(eq=False)
class Order:
    """One order to hold copies, until it has been answered."""

    sent: int
    load: bool  # more copies than were believed to stand


@dataclass(eq=False)
class FunctionReplica:
    """One function on one worker."""

    worker: Worker
    function: "Function"
    window: list[int] = field(default_factory=list)  # latest latencies, relative to the work hint
    zone: Zone = Zone.SAFE
    until: int = 0  # end of the backoff
    copies: int = 0  # believed to stand
    seen: int = -1  # when that was last confirmed
    missing: int = -(10**15)  # when none was found there last
    out: int = 0  # own call-outs of the function there
    peak: int = 0  # most of them at once since the last hold
    behind: int = 0  # own call-outs and orders that wait for a load there
    ordered: deque[Order] = field(default_factory=deque)  # those without answer
    waiters: list["Request"] = field(default_factory=list)

    @property
    def loading(self) -> int:
        return self.behind

    @loading.setter
    def loading(self, count: int) -> None:
        self.worker.loads += bool(count) - bool(self.behind)
        self.behind = count

    def freed(self) -> list["Request"]:
        """Those that waited, who wait no longer."""
        waiters, self.waiters = self.waiters, []
        return waiters

    def begin(self, attempt: Attempt) -> None:
        worker = self.worker
        if not attempt.cold:
            worker.warm[attempt], worker.warm_iso = True, worker.warm_iso + attempt.usual
            worker.unheard = attempt.sent if worker.unheard is None else worker.unheard
        self.out, worker.out, self.loading = self.out + 1, worker.out + 1, self.loading + attempt.cold
        self.peak = max(self.peak, self.out)

    def end(self, attempt: Attempt) -> None:
        worker = self.worker
        if worker.warm.pop(attempt, None):
            worker.warm_iso -= attempt.usual
        self.out, worker.out, self.loading = self.out - 1, worker.out - 1, self.loading - attempt.cold


@dataclass(eq=False)
class Function(face.FunctionInfo):
    replicas: dict[Worker, FunctionReplica] = field(default_factory=dict)
    iso: float | None = None
    asked: DecayingSum = field(
        default_factory=lambda: DecayingSum(1)
    )  # weight of its RPCs; the module sets its life
    marks: dict[Worker, float] = field(default_factory=dict)  # the order begins at the lowest
    order: list[Worker] = field(default_factory=list)
    version: int = -1  # of the list that `order` was made from
    prefix: list[Worker] | None = None  # the first workers of the order, where a directory tells them

    def drop(self, worker: Worker) -> None:
        """Forget what was known of it on this worker."""
        if self.replicas.pop(worker, None) is not None:
            del worker.replicas[self]

    def replica(self, worker: Worker) -> FunctionReplica:
        if worker not in self.replicas:
            self.replicas[worker] = worker.replicas[self] = FunctionReplica(worker, self)
        return self.replicas[worker]


@dataclass(eq=False)
class Request(face.RequestInfo):
    state: State = State.NEW
    began: int = 0
    scale: float = 1.0  # of its work to the method's usual, where hints tell
    ran_at: int = 0  # sending of the first call-out that may have run
    ran_on: Worker | None = None


class Workers:
    """The workers that a list names, and sums over those that serve.

    Of a front end that is told a part of them (`partial`) no order is made here, and a change costs what it
    names, however many are known.
    """

    def __init__(self, partial: bool) -> None:
        self.partial = partial
        self.known: dict[Worker, None] = {}
        self.serves: dict[Worker, None] = {}
        self.leaving: dict[Worker, None] = {}  # gone from the list, and not forgotten yet
        self.ring: list[Worker] = []  # by place, unless partial
        self.version = 0  # of the ring
        self.size = 0.0  # of those that serve
        self.suspects = 0  # among them

    @property
    def workers(self) -> list[Worker]:
        return list(self.known)

    @property
    def serving(self) -> list[Worker]:
        return list(self.serves)

    @property
    def count(self) -> int:
        """How many are known."""
        return len(self.known)

    def note(
        self, workers: Sequence[tuple[Worker, face.WorkerInfo]], whole: bool, life: int, pause: int
    ) -> None:
        """What the list says now; `life` of the sums and `pause` of those that begin anew."""
        for worker in self.known if whole else ():
            self.leave(worker)
            worker.listing = EndpointState.REMOVED
            self.leaving[worker] = None
        for worker, facts in workers:
            self.leave(worker)
            restarted = facts.booted is not None and facts.booted != worker.booted
            if restarted or worker not in self.known:
                worker.begin_anew(life, pause, facts.booted)
            worker.take(facts)
            self.enter(worker)
        if not self.partial:
            self.sort()
        elif self.suspects:
            self.suspects = sum(worker.suspect for worker in self.serves)

    def leave(self, worker: Worker) -> None:
        if worker in self.serves:
            del self.serves[worker]
            self.size -= worker.size

    def enter(self, worker: Worker) -> None:
        self.known[worker] = None
        self.leaving.pop(worker, None)
        if worker.listing is EndpointState.SERVING:
            self.serves[worker] = None
            self.size += worker.size
        elif worker.listing is EndpointState.REMOVED:
            self.leaving[worker] = None

    def sort(self) -> None:
        ring = sorted((s for s in self.known if s not in self.leaving), key=lambda s: (s.place, s.name))
        if ring != self.ring:  # else the orders made from it still hold
            self.ring, self.version = ring, self.version + 1
        self.serves = dict.fromkeys(worker for worker in ring if worker.listing is EndpointState.SERVING)
        self.size = sum(worker.size for worker in self.serves)
        self.suspects = sum(worker.suspect for worker in self.serves)
