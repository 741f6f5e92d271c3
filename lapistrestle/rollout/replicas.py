"""How many copies of either version an edge wants where, and whether the next share has them. No I/O.

A step that grows before its copies stand makes them load under traffic, all at once and at every edge. So
copies come first: as many as the next share will keep busy, and the square root of that as spare, as the
mechanism has it for ordinary functions. The settled version keeps enough to take everything back until the
candidate has settled and for as long after it as clients may come back.

Edges share one order of workers and say 'hold at least so many', so each reckons for the whole fleet from
its own part of the traffic: where several ask, the largest wish counts and nothing is loaded twice. Harms
where one edge has most of a function's traffic: it asks for more than is needed, within a part of each
worker's memory.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, sqrt

from lapistrestle.rollout_types import TrafficSplit

MIN_WORKERS = 2  # workers at least: the loss of one must not leave a version cold
MAX_REPLICAS_PER_WORKER = 4  # copies of one version on one worker
SCALE_DOWN_RATIO = 0.6  # of what is kept
SUFFICIENT_RATIO = 0.75  # of what is wanted; the rest is spare
PRELOAD_BUDGET_FRACTION = 0.5  # of the budget of orders; what RPCs wait for may use all of it
MAX_DEMAND_FACTOR = (
    2.0  # times the usual; measured: without it a full fleet loaded twelve copies a second in vain
)
SLOWDOWN_LIMIT = 2.0  # times as long as the settled version; workers differ by less
MEMORY_FRACTION = 0.25  # of a worker's memory for one version of one function

RolloutPhase = Enum(
    "RolloutPhase", "LOADING RETAINED ROLLING_BACK"
)  # of a function with two versions, as an edge sees it
Shortage = Enum("Shortage", "NONE LOADS_IN_PROGRESS MEMORY PRELOAD_BUDGET WORKERS")
SHORTAGE_MESSAGES = {
    Shortage.NONE: "",
    Shortage.LOADS_IN_PROGRESS: "loads are under way",
    Shortage.MEMORY: "workers have no memory for more copies",
    Shortage.PRELOAD_BUDGET: "no order is free in the budget",
    Shortage.WORKERS: "no worker is fit",
}

# by rollout_phase, the share of the traffic that each version must be loaded for; None: the next one
TARGET_WEIGHTS: dict[RolloutPhase, tuple[float | None, float]] = {
    RolloutPhase.LOADING: (None, 1.0),
    RolloutPhase.RETAINED: (0.0, 1.0),  # the candidate has all traffic and keeps itself loaded
    RolloutPhase.ROLLING_BACK: (0.0, 1.0),
}


def rollout_phase(split: TrafficSplit) -> RolloutPhase:
    return (
        RolloutPhase.ROLLING_BACK
        if split.withdrawn
        else RolloutPhase.RETAINED
        if split.promoted
        else RolloutPhase.LOADING
    )


def demand_factor(alone: float, usual: float) -> float:
    """A function whose RPCs take longer than its method's usual keeps more copies busy. What an edge takes
    for its time alone may have been learned in a jam, which more copies would only make worse."""
    return min(MAX_DEMAND_FACTOR, max(1.0, alone / max(usual, 1.0)))


def required_replicas(busy: float, weight: float, lanes: int, edges: int) -> int:
    """Copies for that share of the whole fleet's traffic; `busy`: RPCs under way on average at one edge."""
    lanes_used = busy * weight * edges
    return ceil((lanes_used + sqrt(lanes_used)) / max(1, lanes)) if lanes_used > 0 else 0


def slowdown_reason(candidate: float | None, settled: float | None) -> str:
    """Why a step waits though its copies stand: the candidate's time alone, as the module knows it, is far
    above the settled version's. It holds and does not turn back, as either may have been learned in a jam;
    both are renewed, and an operator may go on."""
    if candidate is None or settled is None or candidate < SLOWDOWN_LIMIT * settled:
        return ""
    return f"an answer takes {candidate / settled:.1f} times as long as the settled version's"


@dataclass(eq=False)
class WorkerCapacity:
    """One worker and one version, as an edge knows it."""

    loaded: int
    limit: int  # copies that it may have at most
    preload_pending: bool = False  # an order for it is under way
    recently_confirmed: bool = True  # what stands there was confirmed lately
    warming_up: bool = False  # the worker warms up


@dataclass
class ReplicaTarget:
    """Follows what is needed up at once and down only when it is clearly less: each copy more or fewer is a
    load somewhere."""

    count: int = 0

    def update(self, now: int) -> int:
        if now > self.count or now < SCALE_DOWN_RATIO * self.count:
            self.count = now
        return self.count


def replica_limit(memory: float, copy: float) -> int:
    """Copies of one version on one worker: a part of its memory where that is told, and few."""
    if memory and copy > memory:
        return 0
    return max(
        1,
        min(
            MAX_REPLICAS_PER_WORKER,
            int(MEMORY_FRACTION * memory / copy) if memory and copy else MAX_REPLICAS_PER_WORKER,
        ),
    )


def place_replicas(shelves: Iterable[WorkerCapacity], wanted: int) -> tuple[dict[WorkerCapacity, int], int]:
    """How many copies on which worker, and how many found no room. The shared order is filled from its
    front, warm workers before cold ones, and no worker has all."""
    made: dict[WorkerCapacity, int] = {}
    left = max(wanted, MIN_WORKERS) if wanted else 0
    most = max(1, -(-left // MIN_WORKERS))
    for shelf in sorted(shelves, key=lambda s: s.warming_up):
        part = min(shelf.limit, left, most)
        if part <= 0:
            continue
        made[shelf] = part
        left -= part
    return made, left


@dataclass(frozen=True)
class ReplicaStatus:
    """What one version has of what it needs."""

    wanted: int
    loaded: int
    shortage: Shortage

    @property
    def is_sufficient(self) -> bool:
        """All but a part of the spare: what is needed moves by one now and then, and no step waits for
        that."""
        return self.shortage is Shortage.NONE or self.loaded >= max(
            MIN_WORKERS, SUFFICIENT_RATIO * self.wanted
        )


def maintain_replicas(
    shelves: list[WorkerCapacity], wanted: int, loads: float, order: Callable[[WorkerCapacity, int], bool]
) -> ReplicaStatus:
    """Order what is missing, and again what was not confirmed lately; `loads` more may be under way.

    A renewal is asked for before a load: what stands already is the cheapest copy there is.
    """
    parts, short = place_replicas(shelves, wanted)
    standing = sum(min(shelf.loaded, part) for shelf, part in parts.items())
    missing = [shelf for shelf, part in parts.items() if shelf.loaded < part]
    lacks = Shortage.LOADS_IN_PROGRESS if missing else Shortage.NONE
    if short:
        lacks = Shortage.MEMORY if shelves else Shortage.WORKERS
    for shelf, part in parts.items():
        if (
            shelf.loaded >= part
            and not shelf.recently_confirmed
            and not shelf.preload_pending
            and not order(shelf, part)
        ):
            break  # it may be gone by the next look, which then orders it first
    loads -= sum(parts[shelf] - shelf.loaded for shelf in missing if shelf.preload_pending)
    for shelf in missing:
        if shelf.preload_pending or loads <= 0:
            continue
        if not order(shelf, parts[shelf]):
            lacks = Shortage.PRELOAD_BUDGET
            break
        loads -= parts[shelf] - shelf.loaded
    return ReplicaStatus(wanted, standing, lacks)


@dataclass
class EdgeReport:
    """What an edge said last of a candidate: the share that its copies stand for, and what it lacks for
    more."""

    weight: float
    shortage: str
    received_at: int


@dataclass
class Readiness:
    """The planner's: which edges have what the next share needs. A word that was not renewed is none."""

    report_lifetime: int = 30_000  # tenths of a millisecond; edges speak each second
    reports: dict[tuple[str, str], dict[str, EdgeReport]] = field(default_factory=dict)

    def on_report(self, fn: str, candidate: str, edge: str, report: EdgeReport) -> None:
        self.reports.setdefault((fn, candidate), {})[edge] = report

    def on_edge_gone(self, edge: str) -> None:
        for said in self.reports.values():
            said.pop(edge, None)

    def shortages(
        self, fn: str, candidate: str, share: float, edges: Iterable[str], now: int
    ) -> dict[str, str]:
        """The edges that are not ready for that share, and why."""
        made: dict[str, str] = {}
        for edge in edges:
            report = self.reports.get((fn, candidate), {}).get(edge)
            if report is None or now - report.received_at > self.report_lifetime:
                made[edge] = "has not said how its copies stand"
            elif report.weight < share - 1e-9:
                made[edge] = report.shortage or f"its copies stand for {report.weight:.0%}"
        return made

    def is_ready(self, fn: str, candidate: str, share: float, edges: Iterable[str], now: int) -> bool:
        """Without any edge nothing is: a share that nobody serves shows nothing."""
        asked = list(edges)
        return bool(asked) and not self.shortages(fn, candidate, share, asked, now)
