"""Replicas of the two versions of a rollout: how many an edge needs on which workers. Free of I/O.

If the weight grew before replicas are loaded, they would all load at once, under traffic and at every edge.
So replicas are preloaded: as many as the next weight will keep busy plus the square root of that as spare
(square-root staffing), as for ordinary functions. The settled version keeps enough replicas to take over all
traffic until the candidate has settled, and after that for as long as clients may retry.

Edges share one order of workers and request "at least n replicas", so each estimates the number for the
whole fleet from its own traffic: the largest request counts, and nothing is loaded twice. The drawback: an
edge with most of a function's traffic requests more than needed, within a fraction of each worker's memory.
`docs/rollout.md`, *Loads*, weighs the alternatives.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from math import ceil, sqrt

from lapistrestle.rollout_types import TrafficSplit

MIN_WORKERS = 2
"""Minimum number of workers with a version, so that the loss of one leaves a loaded replica."""

MAX_REPLICAS_PER_WORKER = 4
"""Replicas of one version."""

SCALE_DOWN_RATIO = 0.6
"""A target is lowered only if the required number is below this fraction of it."""

SUFFICIENT_RATIO = 0.75
"""Fraction of the target that a step requires; the rest is spare."""

PRELOAD_BUDGET_FRACTION = 0.5
"""Fraction of the preload budget for rollouts; preloads that requests wait for may use all of it."""

MAX_DEMAND_FACTOR = 2.0
"""Upper bound of `demand_factor`; without it a fully loaded fleet made twelve useless loads a second."""

SLOWDOWN_LIMIT = 2.0
"""Latency ratio of candidate to settled version that holds a step; workers differ by less."""

MEMORY_FRACTION = 0.25
"""Fraction of a worker's memory for one version of one function."""


class RolloutPhase(Enum):
    """The phase of a rollout at an edge, which determines the replicas that it needs."""

    LOADING = auto()  # replicas for the next weight are being loaded
    RETAINED = auto()  # the candidate is promoted, and the previous version stays loaded
    ROLLING_BACK = auto()


class Shortage(Enum):
    """Why a version lacks replicas."""

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
"""Texts that edges report to the planner, which shows them to operators."""


@dataclass(frozen=True)
class TargetWeights:
    """The weights for which the two versions need replicas; `candidate` None: the next weight."""

    candidate: float | None
    settled: float


TARGET_WEIGHTS: dict[RolloutPhase, TargetWeights] = {
    RolloutPhase.LOADING: TargetWeights(candidate=None, settled=1.0),
    # a promoted candidate gets all traffic, which keeps it loaded
    RolloutPhase.RETAINED: TargetWeights(candidate=0.0, settled=1.0),
    RolloutPhase.ROLLING_BACK: TargetWeights(candidate=0.0, settled=1.0),
}


def rollout_phase(split: TrafficSplit) -> RolloutPhase:
    """Return the phase of a split with a candidate."""
    if split.withdrawn:
        return RolloutPhase.ROLLING_BACK
    return RolloutPhase.RETAINED if split.promoted else RolloutPhase.LOADING


def demand_factor(isolated_latency: float, usual_latency: float) -> float:
    """Return how many times more replicas a function keeps busy than a usual one of its method.

    Bounded, as the learned latency of an isolated request may have been measured under congestion, which
    more replicas would make worse.
    """
    return min(MAX_DEMAND_FACTOR, max(1.0, isolated_latency / max(usual_latency, 1.0)))


def required_replicas(concurrency: float, weight: float, lanes: int, edges: int) -> int:
    """Return the number of replicas for that weight of the whole fleet's traffic.

    `concurrency` is the mean number of requests in flight at one of the `edges`, `lanes` the number that one
    replica runs at once.
    """
    lanes_used = concurrency * weight * edges
    return ceil((lanes_used + sqrt(lanes_used)) / max(1, lanes)) if lanes_used > 0 else 0


def slowdown_reason(candidate_latency: float | None, settled_latency: float | None) -> str:
    """Return why a step is held although its replicas are loaded; empty if it is not.

    A step is held if the candidate's latency of isolated requests is far above the settled version's. It is
    not rolled back, as either latency may have been learned under congestion; both are updated continuously,
    and an operator may advance the rollout. An unknown latency (None) holds nothing.
    """
    if candidate_latency is None or settled_latency is None:
        return ""
    if candidate_latency < SLOWDOWN_LIMIT * settled_latency:
        return ""
    ratio = candidate_latency / settled_latency
    return f"an answer takes {ratio:.1f} times as long as the settled version's"


@dataclass(eq=False)
class WorkerCapacity:
    """What an edge knows of the replicas of one version on one worker.

    `loaded` replicas of at most `limit`; `preload_pending`: a preload is in flight; `recently_confirmed`: the
    worker has recently reported its loaded replicas; `warming_up`: it is in slow start.
    """

    loaded: int
    limit: int
    preload_pending: bool = False
    recently_confirmed: bool = True
    warming_up: bool = False


@dataclass
class ReplicaTarget:
    """The target number of replicas of one version.

    It rises at once and falls only if clearly fewer are required, as each change of it causes loads.
    """

    count: int = 0

    def update(self, required: int) -> int:
        """Update the target by the number required now, and return it."""
        if required > self.count or required < SCALE_DOWN_RATIO * self.count:
            self.count = required
        return self.count


def replica_limit(memory: float, replica_memory: float) -> int:
    """Return the maximum number of replicas of one version on one worker.

    Bounded by a fraction of the worker's memory if both sizes are known (MB; 0: unknown).
    """
    if not memory or not replica_memory:
        return MAX_REPLICAS_PER_WORKER
    if replica_memory > memory:
        return 0
    return max(1, min(MAX_REPLICAS_PER_WORKER, int(MEMORY_FRACTION * memory / replica_memory)))


def place_replicas(workers: Iterable[WorkerCapacity], target: int) -> tuple[dict[WorkerCapacity, int], int]:
    """Return the number of replicas for each worker, and the number that could not be placed.

    Workers are filled in the shared order, those in slow start last, and no worker gets all replicas.
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
    """The replicas of one version: wanted, loaded, and why any are missing."""

    wanted: int
    loaded: int
    shortage: Shortage

    @property
    def is_sufficient(self) -> bool:
        """Whether a step may proceed, with at most part of the spare replicas missing.

        The required number fluctuates by one from time to time, which must not hold up a step.
        """
        sufficient = max(MIN_WORKERS, SUFFICIENT_RATIO * self.wanted)
        return self.shortage is Shortage.NONE or self.loaded >= sufficient


def maintain_replicas(
    workers: Sequence[WorkerCapacity],
    target: int,
    loads_available: float,
    preload: Callable[[WorkerCapacity, int], bool],
) -> ReplicaStatus:
    """Preload missing replicas and renew the preloads of unconfirmed ones; return the version's status.

    `loads_available` more loads may be in progress. `preload(worker, count)` asks a worker to keep at least
    `count` replicas loaded and returns whether the budget allowed it. Loaded replicas are renewed before new
    ones are requested, as keeping them costs nothing.
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
    """Renew the preloads of replicas that were not confirmed recently, as far as the budget allows.

    A replica that is not renewed may be unloaded by the next call, which then loads it again.
    """
    for worker, count in placement.items():
        is_complete = worker.loaded >= count
        if not is_complete or worker.recently_confirmed or worker.preload_pending:
            continue
        if not preload(worker, count):
            return
