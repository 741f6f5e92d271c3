"""What the decision module remembers, without any decision or tuned value."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from itertools import islice
from math import exp
from zlib import crc32

from lapistrestle import interface as face
from lapistrestle.interface import CallOut, Listing

State = Enum("State", "NEW PLACING OUT PARKED OVER")  # of an RPC
Input = Enum("Input", "ARRIVED ADMITTED SENT WAITS NOWHERE OK NEVER_RAN MAY_HAVE_RUN MISSED LOADED LATE")
Zone = IntEnum("Zone", "SAFE PREWARNING WARNING UNSAFE")  # of a function on a worker


@dataclass(slots=True)
class Sum:
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


class Mean:
    """A decaying mean of what was added lately."""

    def __init__(self, life: int) -> None:
        self.total, self.count = Sum(life), Sum(life)

    def add(self, now: int, amount: float) -> None:
        self.total.add(now, amount)
        self.count.add(now, 1)

    def read(self, missing: float) -> float:
        """What it was when last added to; nothing added yet reads as `missing`."""
        return self.total.value / self.count.value if self.count.value else missing


@dataclass(eq=False)
class Srv(face.SrvFacts):
    """A worker; the module sets up the sums when it first hears of one, and after a restart."""

    good: Sum = field(init=False)  # outcomes
    bad: Sum = field(init=False)
    took: Sum = field(init=False)  # latency of warm outcomes there, of all functions
    iso: Sum = field(init=False)  # what it would have been alone
    served: Sum = field(init=False)  # ok outcomes
    place: int = 0  # in the shared order
    suspect: bool = False
    pause: int = 0  # before a suspect worker is tried again
    due: int = 0  # when that is
    trial: bool = True  # by this dispatcher; false where others of its fleet try it and tell
    out: int = 0  # own call-outs there
    loads: int = 0  # functions that own call-outs or orders have loading there
    warm: dict[CallOut, bool] = field(default_factory=dict)  # those with no load before them, oldest first
    warm_iso: int = 0  # sum of what they would take alone
    unheard: int | None = None  # since when a warm call-out of ours waits without any word from it
    full_until: int = 0  # it turned something away; no more before then, or before its next ok answer
    line_until: int = 0  # it turned a load away; no more before then, or before a load of ours ends there
    held_back: dict[int, int] = field(default_factory=dict)  # customer: until when
    emptied: int = -1  # nothing loaded before this moment still stands
    sends: deque[tuple[int, float]] = field(default_factory=deque)  # while cold: when and what weight
    spots: dict["Fn", "Spot"] = field(default_factory=dict, repr=False)  # those of the functions, by function

    def begin_anew(self, life: int, pause: int, booted: int | None) -> None:
        """First heard of, or another process under the name: nothing is known of it. `life` of the sums."""
        self.good, self.bad, self.took, self.iso, self.served = (Sum(life) for _ in range(5))
        self.emptied, self.suspect, self.unheard, self.pause = booted or -1, False, None, pause
        self.place = crc32(self.name.encode())

    def take(self, facts: face.SrvFacts) -> None:
        """What the list says of it now."""
        self.zone, self.cell, self.kind, self.size = facts.zone, facts.cell, facts.kind, facts.size
        self.listing, self.booted = facts.listing, facts.booted

    @property
    def awaited(self) -> bool:
        """An order is without answer, or an RPC waits for a load there."""
        return any(spot.ordered or spot.waiters for spot in self.spots.values())

    def took_so_far(self, now: int, most: int) -> tuple[float, float]:
        """What its call-outs took and would have taken alone; of the oldest `most` also late ones count."""
        took, alone = self.took.read(now), self.iso.read(now)
        for call_out in islice(self.warm, most):  # the oldest first
            if now - call_out.sent > call_out.usual:
                took, alone = took + now - call_out.sent, alone + call_out.usual
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
class Spot:
    """One function on one worker."""

    srv: Srv
    fn: "Fn"
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
    waiters: list["Rpc"] = field(default_factory=list)

    @property
    def loading(self) -> int:
        return self.behind

    @loading.setter
    def loading(self, count: int) -> None:
        self.srv.loads += bool(count) - bool(self.behind)
        self.behind = count

    def freed(self) -> list["Rpc"]:
        """Those that waited, who wait no longer."""
        waiters, self.waiters = self.waiters, []
        return waiters

    def begin(self, call_out: CallOut) -> None:
        srv = self.srv
        if not call_out.cold:
            srv.warm[call_out], srv.warm_iso = True, srv.warm_iso + call_out.usual
            srv.unheard = call_out.sent if srv.unheard is None else srv.unheard
        self.out, srv.out, self.loading = self.out + 1, srv.out + 1, self.loading + call_out.cold
        self.peak = max(self.peak, self.out)

    def end(self, call_out: CallOut) -> None:
        srv = self.srv
        if srv.warm.pop(call_out, None):
            srv.warm_iso -= call_out.usual
        self.out, srv.out, self.loading = self.out - 1, srv.out - 1, self.loading - call_out.cold


@dataclass(eq=False)
class Fn(face.FnFacts):
    spots: dict[Srv, Spot] = field(default_factory=dict)
    iso: float | None = None
    asked: Sum = field(default_factory=lambda: Sum(1))  # weight of its RPCs; the module sets its life
    marks: dict[Srv, float] = field(default_factory=dict)  # the order begins at the lowest
    order: list[Srv] = field(default_factory=list)
    version: int = -1  # of the list that `order` was made from
    prefix: list[Srv] | None = None  # the first workers of the order, where a directory tells them

    def drop(self, srv: Srv) -> None:
        """Forget what was known of it on this worker."""
        if self.spots.pop(srv, None) is not None:
            del srv.spots[self]

    def spot(self, srv: Srv) -> Spot:
        if srv not in self.spots:
            self.spots[srv] = srv.spots[self] = Spot(srv, self)
        return self.spots[srv]


@dataclass(eq=False)
class Rpc(face.RpcFacts):
    state: State = State.NEW
    began: int = 0
    scale: float = 1.0  # of its work to the method's usual, where hints tell
    ran_at: int = 0  # sending of the first call-out that may have run
    ran_on: Srv | None = None


class Workers:
    """The workers that a list names, and sums over those that serve.

    Of a front end that is told a part of them (`partial`) no order is made here, and a change costs what it
    names, however many are known.
    """

    def __init__(self, partial: bool) -> None:
        self.partial = partial
        self.known: dict[Srv, None] = {}
        self.serves: dict[Srv, None] = {}
        self.leaving: dict[Srv, None] = {}  # gone from the list, and not forgotten yet
        self.ring: list[Srv] = []  # by place, unless partial
        self.version = 0  # of the ring
        self.size = 0.0  # of those that serve
        self.suspects = 0  # among them

    @property
    def srvs(self) -> list[Srv]:
        return list(self.known)

    @property
    def serving(self) -> list[Srv]:
        return list(self.serves)

    @property
    def count(self) -> int:
        """How many are known."""
        return len(self.known)

    def note(self, srvs: Sequence[tuple[Srv, face.SrvFacts]], whole: bool, life: int, pause: int) -> None:
        """What the list says now; `life` of the sums and `pause` of those that begin anew."""
        for srv in self.known if whole else ():
            self.leave(srv)
            srv.listing = Listing.GONE
            self.leaving[srv] = None
        for srv, facts in srvs:
            self.leave(srv)
            restarted = facts.booted is not None and facts.booted != srv.booted
            if restarted or srv not in self.known:
                srv.begin_anew(life, pause, facts.booted)
            srv.take(facts)
            self.enter(srv)
        if not self.partial:
            self.sort()
        elif self.suspects:
            self.suspects = sum(srv.suspect for srv in self.serves)

    def leave(self, srv: Srv) -> None:
        if srv in self.serves:
            del self.serves[srv]
            self.size -= srv.size

    def enter(self, srv: Srv) -> None:
        self.known[srv] = None
        self.leaving.pop(srv, None)
        if srv.listing is Listing.SERVING:
            self.serves[srv] = None
            self.size += srv.size
        elif srv.listing is Listing.GONE:
            self.leaving[srv] = None

    def sort(self) -> None:
        ring = sorted((s for s in self.known if s not in self.leaving), key=lambda s: (s.place, s.name))
        if ring != self.ring:  # else the orders made from it still hold
            self.ring, self.version = ring, self.version + 1
        self.serves = dict.fromkeys(srv for srv in ring if srv.listing is Listing.SERVING)
        self.size = sum(srv.size for srv in self.serves)
        self.suspects = sum(srv.suspect for srv in self.serves)
