"""How many replicas of either version an edge wants where, and whether the next weight has them. No I/O.

A step that grows before its replicas are loaded makes them load under traffic, all at once and at every
edge. So replicas come first: as many as the next weight will keep busy, and the square root of that as spare
(square-root staffing), as for ordinary functions. The settled version keeps enough to take everything back
until the candidate has settled and for as long after it as clients may come back.

Edges share one order of workers and say 'hold at least so many', so each reckons for the whole fleet from
its own part of the traffic: where several ask, the largest target counts and nothing is loaded twice. Harms
where one edge has most of a function's traffic: it asks for more than is needed, within a part of each
worker's memory. `docs/rollout.md`, *Loads*, weighs the alternatives.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from math import ceil, sqrt

from lapistrestle.rollout_types import TrafficSplit

MIN_WORKERS = 2
"""Workers that a version is loaded on at least: the loss of one must not leave it cold."""

MAX_REPLICAS_PER_WORKER = 4
"""Of one version."""

SCALE_DOWN_RATIO = 0.6
"""A target falls only below this part of what it is."""

SUFFICIENT_RATIO = 0.75
"""Part of the target that a step needs; the rest is spare."""

PRELOAD_BUDGET_FRACTION = 0.5
"""Part of the budget of preloads that a rollout may use; what requests wait for may use all of it."""

MAX_DEMAND_FACTOR = 2.0
"""How much heavier than usual a function counts at most.

Measured: without the limit a full fleet loaded twelve replicas a second in vain.
"""

SLOWDOWN_LIMIT = 2.0
"""Times as long as the settled version, at which a step is held; workers differ by less."""

MEMORY_FRACTION = 0.25
"""Part of a worker's memory for one version of one function."""


class RolloutPhase(Enum):
    """How an edge sees a function with two versions."""

    LOADING = auto()  # the next weight's replicas are being loaded
    RETAINED = auto()  # the candidate is promoted, the version before it stays loaded
    ROLLING_BACK = auto()


class Shortage(Enum):
    """What keeps a version from having its replicas."""

    NONE = auto()
    LOADS_IN_PROGRESS = auto()
    MEMORY = auto()
    PRELOAD_BUDGET = auto()
    WORKERS = auto()


SHORTAGE_MESSAGES = {
    Shortage.NONE: "",
    Shortage.LOADS_IN_PROGRESS: "loads are under way",
    Shortage.MEMORY: "workers have no memory for more copies",
    Shortage.PRELOAD_BUDGET: "no order is free in the budget",
    Shortage.WORKERS: "no worker is fit",
}
"""As operators are shown them, by way of the planner."""


@dataclass(frozen=True)
class TargetWeights:
    """Weights that the two versions must be loaded for; `candidate` None: the next weight."""

    candidate: float | None
    settled: float


TARGET_WEIGHTS: dict[RolloutPhase, TargetWeights] = {
    RolloutPhase.LOADING: TargetWeights(candidate=None, settled=1.0),
    # a promoted candidate has all traffic and keeps itself loaded
    RolloutPhase.RETAINED: TargetWeights(candidate=0.0, settled=1.0),
    RolloutPhase.ROLLING_BACK: TargetWeights(candidate=0.0, settled=1.0),
}


def rollout_phase(split: TrafficSplit) -> RolloutPhase:
    """Return the phase that a split with a candidate stands for."""
    if split.withdrawn:
        return RolloutPhase.ROLLING_BACK
    return RolloutPhase.RETAINED if split.promoted else RolloutPhase.LOADING


def demand_factor(isolated_latency: float, usual_latency: float) -> float:
    """Return how many times more replicas a function keeps busy than its method's usual one.

    What an edge takes for its latency with nothing beside it may have been learned under congestion, which
    more replicas would only make worse; hence the limit.
    """
    return min(MAX_DEMAND_FACTOR, max(1.0, isolated_latency / max(usual_latency, 1.0)))


def required_replicas(concurrency: float, weight: float, lanes: int, edges: int) -> int:
    """Return the replicas for that weight of the whole fleet's traffic.

    `concurrency` is the requests in progress on average at one edge of `edges`, `lanes` how many one replica
    runs at once.
    """
    lanes_used = concurrency * weight * edges
    return ceil((lanes_used + sqrt(lanes_used)) / max(1, lanes)) if lanes_used > 0 else 0


def slowdown_reason(candidate_latency: float | None, settled_latency: float | None) -> str:
    """Return why a step waits though its replicas are loaded, empty if it does not.

    It does where the candidate's latency with nothing beside it is far above the settled version's. That
    holds the step and does not roll it back, as either may have been learned under congestion; both are
    renewed, and an operator may go on. Not known (None) holds nothing.
    """
    if candidate_latency is None or settled_latency is None:
        return ""
    if candidate_latency < SLOWDOWN_LIMIT * settled_latency:
        return ""
    ratio = candidate_latency / settled_latency
    return f"an answer takes {ratio:.1f} times as long as the settled version's"


@dataclass(eq=False)
class WorkerCapacity:
    """One worker and one version, as an edge knows it.

    `loaded` replicas of at most `limit`; `preload_pending`: more were asked for and have not come;
    `recently_confirmed`: the worker has said lately what is loaded; `warming_up`: it has just started.
    """

    loaded: int
    limit: int
    preload_pending: bool = False
    recently_confirmed: bool = True
    warming_up: bool = False


@dataclass
class ReplicaTarget:
    """How many replicas of one version are wanted.

    Rises at once and falls only when clearly less is needed: each replica more or fewer is a load somewhere.
    """

    count: int = 0

    def update(self, required: int) -> int:
        """Take what is required now; return the target."""
        if required > self.count or required < SCALE_DOWN_RATIO * self.count:
            self.count = required
        return self.count


def replica_limit(memory: float, replica_memory: float) -> int:
    """Return how many replicas of one version one worker may have.

    A part of its memory where both figures (MB, 0: not known) are, and few.
    """
    if not memory or not replica_memory:
        return MAX_REPLICAS_PER_WORKER
    if replica_memory > memory:
        return 0
    return max(1, min(MAX_REPLICAS_PER_WORKER, int(MEMORY_FRACTION * memory / replica_memory)))


def place_replicas(workers: Iterable[WorkerCapacity], target: int) -> tuple[dict[WorkerCapacity, int], int]:
    """Return how many replicas go on which worker, and how many found no place.

    The shared order is filled from its front, warm workers before those that warm up, and no worker has all.
    """
    placement: dict[WorkerCapacity, int] = {}
    unplaced = max(target, MIN_WORKERS) if target else 0
    most_on_one = max(1, ceil(unplaced / MIN_WORKERS))
    for worker in sorted(workers, key=lambda worker: worker.warming_up):
        count = min(worker.limit, unplaced, most_on_one)
        if count <= 0:
            continue
        placement[worker] = count
        unplaced -= count
    return placement, unplaced


@dataclass(frozen=True)
class ReplicaStatus:
    """What one version has of what it needs."""

    wanted: int
    loaded: int
    shortage: Shortage

    @property
    def is_sufficient(self) -> bool:
        """Whether a step may go on, with a part of the spare lacking at most.

        What is needed moves by one now and then, and no step waits for that.
        """
        sufficient = max(MIN_WORKERS, SUFFICIENT_RATIO * self.wanted)
        return self.shortage is Shortage.NONE or self.loaded >= sufficient


def maintain_replicas(
    workers: Sequence[WorkerCapacity],
    target: int,
    loads_available: float,
    preload: Callable[[WorkerCapacity, int], bool],
) -> ReplicaStatus:
    """Preload what is missing, and ask again for what was not confirmed lately.

    Return how the version stands.

    `loads_available` more loads may be in progress. `preload(worker, count)` asks a worker to hold at least
    so many replicas and returns whether the budget allowed it. What is loaded already is asked for before
    anything new: it is the cheapest replica there is.
    """
    placement, unplaced = place_replicas(workers, target)
    loaded = sum(min(worker.loaded, count) for worker, count in placement.items())
    incomplete = [worker for worker, count in placement.items() if worker.loaded < count]
    shortage = Shortage.LOADS_IN_PROGRESS if incomplete else Shortage.NONE
    if unplaced:
        shortage = Shortage.MEMORY if workers else Shortage.WORKERS
    _confirm_loaded(placement, preload)
    for worker in incomplete:
        if worker.preload_pending:
            loads_available -= placement[worker] - worker.loaded
    for worker in incomplete:
        if worker.preload_pending or loads_available <= 0:
            continue
        if not preload(worker, placement[worker]):
            shortage = Shortage.PRELOAD_BUDGET
            break
        loads_available -= placement[worker] - worker.loaded
    return ReplicaStatus(target, loaded, shortage)


def _confirm_loaded(
    placement: dict[WorkerCapacity, int], preload: Callable[[WorkerCapacity, int], bool]
) -> None:
    """Ask again for replicas that were not confirmed lately, for as long as the budget allows.

    One that is not asked for may be gone by the next look, which then loads it first.
    """
    for worker, count in placement.items():
        is_complete = worker.loaded >= count
        if not is_complete or worker.recently_confirmed or worker.preload_pending:
            continue
        if not preload(worker, count):
            return
