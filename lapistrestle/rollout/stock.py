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

from lapistrestle.rollout.versions import Split

APART = 2  # workers at least: the loss of one must not leave a version cold
MOST = 4  # copies of one version on one worker
EASE = 0.6  # of what is kept
ENOUGH = 0.75  # of what is wanted; the rest is spare
ORDER_PART = 0.5  # of the budget of orders; what RPCs wait for may use all of it
HEAVIEST = 2.0  # times the usual; measured: without it a full fleet loaded twelve copies a second in vain
SLOWER = 2.0  # times as long as the settled version; workers differ by less
MEMORY_PART = 0.25  # of a worker's memory for one version of one function

Phase = Enum("Phase", "LOADING KEPT BACK")  # of a function with two versions, as an edge sees it
Lack = Enum("Lack", "NOTHING LOADS ROOM ORDERS WORKERS")
SAYS = {
    Lack.NOTHING: "",
    Lack.LOADS: "loads are under way",
    Lack.ROOM: "workers have no memory for more copies",
    Lack.ORDERS: "no order is free in the budget",
    Lack.WORKERS: "no worker is fit",
}

# by phase, the share of the traffic that each version must be loaded for; None: the next one
WANTED: dict[Phase, tuple[float | None, float]] = {
    Phase.LOADING: (None, 1.0),
    Phase.KEPT: (0.0, 1.0),  # the candidate has all traffic and keeps itself loaded
    Phase.BACK: (0.0, 1.0),
}


def phase(split: Split) -> Phase:
    return Phase.BACK if split.withdrawn else Phase.KEPT if split.done else Phase.LOADING


def heavier(alone: float, usual: float) -> float:
    """A function whose RPCs take longer than its method's usual keeps more copies busy. What an edge takes
    for its time alone may have been learned in a jam, which more copies would only make worse."""
    return min(HEAVIEST, max(1.0, alone / max(usual, 1.0)))


def needed(busy: float, share: float, lanes: int, edges: int) -> int:
    """Copies for that share of the whole fleet's traffic; `busy`: RPCs under way on average at one edge."""
    lanes_used = busy * share * edges
    return ceil((lanes_used + sqrt(lanes_used)) / max(1, lanes)) if lanes_used > 0 else 0


def slower(candidate: float | None, settled: float | None) -> str:
    """Why a step waits though its copies stand: the candidate's time alone, as the module knows it, is far
    above the settled version's. It holds and does not turn back, as either may have been learned in a jam;
    both are renewed, and an operator may go on."""
    if candidate is None or settled is None or candidate < SLOWER * settled:
        return ""
    return f"an answer takes {candidate / settled:.1f} times as long as the settled version's"


@dataclass(eq=False)
class Shelf:
    """One worker and one version, as an edge knows it."""

    standing: int
    room: int  # copies that it may have at most
    waiting: bool = False  # an order for it is under way
    fresh: bool = True  # what stands there was confirmed lately
    cold: bool = False  # the worker warms up


@dataclass
class Want:
    """Follows what is needed up at once and down only when it is clearly less: each copy more or fewer is a
    load somewhere."""

    count: int = 0

    def follow(self, now: int) -> int:
        if now > self.count or now < EASE * self.count:
            self.count = now
        return self.count


def room(memory: float, copy: float) -> int:
    """Copies of one version on one worker: a part of its memory where that is told, and few."""
    if memory and copy > memory:
        return 0
    return max(1, min(MOST, int(MEMORY_PART * memory / copy) if memory and copy else MOST))


def spread(shelves: Iterable[Shelf], wanted: int) -> tuple[dict[Shelf, int], int]:
    """How many copies on which worker, and how many found no room. The shared order is filled from its
    front, warm workers before cold ones, and no worker has all."""
    made: dict[Shelf, int] = {}
    left = max(wanted, APART) if wanted else 0
    most = max(1, -(-left // APART))
    for shelf in sorted(shelves, key=lambda s: s.cold):
        part = min(shelf.room, left, most)
        if part <= 0:
            continue
        made[shelf] = part
        left -= part
    return made, left


@dataclass(frozen=True)
class Stand:
    """What one version has of what it needs."""

    wanted: int
    standing: int
    lacks: Lack

    @property
    def enough(self) -> bool:
        """All but a part of the spare: what is needed moves by one now and then, and no step waits for
        that."""
        return self.lacks is Lack.NOTHING or self.standing >= max(APART, ENOUGH * self.wanted)


def keep(shelves: list[Shelf], wanted: int, loads: float, order: Callable[[Shelf, int], bool]) -> Stand:
    """Order what is missing, and again what was not confirmed lately; `loads` more may be under way.

    A renewal is asked for before a load: what stands already is the cheapest copy there is.
    """
    parts, short = spread(shelves, wanted)
    standing = sum(min(shelf.standing, part) for shelf, part in parts.items())
    missing = [shelf for shelf, part in parts.items() if shelf.standing < part]
    lacks = Lack.LOADS if missing else Lack.NOTHING
    if short:
        lacks = Lack.ROOM if shelves else Lack.WORKERS
    for shelf, part in parts.items():
        if shelf.standing >= part and not shelf.fresh and not shelf.waiting and not order(shelf, part):
            break  # it may be gone by the next look, which then orders it first
    loads -= sum(parts[shelf] - shelf.standing for shelf in missing if shelf.waiting)
    for shelf in missing:
        if shelf.waiting or loads <= 0:
            continue
        if not order(shelf, parts[shelf]):
            lacks = Lack.ORDERS
            break
        loads -= parts[shelf] - shelf.standing
    return Stand(wanted, standing, lacks)


@dataclass
class Word:
    """What an edge said last of a candidate: the share that its copies stand for, and what it lacks for
    more."""

    share: float
    lacks: str
    at: int


@dataclass
class Readiness:
    """The planner's: which edges have what the next share needs. A word that was not renewed is none."""

    good_for: int = 30_000  # tenths of a millisecond; edges speak each second
    words: dict[tuple[str, str], dict[str, Word]] = field(default_factory=dict)

    def told(self, function: str, candidate: str, edge: str, word: Word) -> None:
        self.words.setdefault((function, candidate), {})[edge] = word

    def gone(self, edge: str) -> None:
        for said in self.words.values():
            said.pop(edge, None)

    def missing(
        self, function: str, candidate: str, share: float, edges: Iterable[str], now: int
    ) -> dict[str, str]:
        """The edges that are not ready for that share, and why."""
        made: dict[str, str] = {}
        for edge in edges:
            word = self.words.get((function, candidate), {}).get(edge)
            if word is None or now - word.at > self.good_for:
                made[edge] = "has not said how its copies stand"
            elif word.share < share - 1e-9:
                made[edge] = word.lacks or f"its copies stand for {word.share:.0%}"
        return made

    def ready(self, function: str, candidate: str, share: float, edges: Iterable[str], now: int) -> bool:
        """Without any edge nothing is: a share that nobody serves shows nothing."""
        asked = list(edges)
        return bool(asked) and not self.missing(function, candidate, share, asked, now)
