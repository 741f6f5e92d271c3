"""Other policies, to hold the module against; in the model only.

Each knows what the module knows, except `greedy`, which sees every runner as it is and takes what is best
for the call at hand. That is a high mark and no bound: what is best for one call may cost the next. All
share one life of an RPC: what never ran is tried elsewhere, what may have run only where its method is
idempotent. They keep no cold rule and no holds, and wait for nothing but loads they ordered.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from math import ceil
from typing import Any
from zlib import crc32

from lapistrestle.interface import Answer, CallOut, Facts, Host, Listing, Outcome, SrvFacts
from lapistrestle.state import Fn, Rpc, Srv

NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.MISS, Outcome.MOOT)
BOUND = 1.25  # of the even share, for hashing with bounded loads
NO_COPY = 4.0  # calls by core that a load is worth waiting behind, to greedy
Sight = Callable[[str, str], tuple[float, float]]  # part of a copy there, and calls by core as it gets on


class Baseline:
    """The module's place taken by one of `POLICIES`."""

    def __init__(
        self, host: Host, facts: Facts, seed: int, now: int, policy: str, sees: Sight | None = None
    ) -> None:
        self.host, self.facts, self.seed, self.now, self.sees = host, facts, seed, now, sees
        self.choose = POLICIES[policy]
        self.serving: list[Srv] = []
        self.known: dict[Srv, None] = {}
        self.out: dict[Srv, int] = {}
        self.draws = self.turn = 0
        self.waiting: dict[tuple[Srv, Fn], list[Rpc]] = {}
        self.orders: deque[int] = deque()
        self.taken: deque[int] = deque()
        if facts["list_asked"]:
            host.follow_list()

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, below)

    # what the host tells

    def listed(self, srvs: Sequence[tuple[Srv, SrvFacts]], whole: bool) -> None:
        for srv in self.known if whole else ():
            srv.listing = Listing.GONE
        for srv, told in srvs:
            self.known[srv] = None
            srv.listing, srv.size = told.listing, told.size
        self.serving = sorted((s for s in self.known if s.listing is Listing.SERVING), key=lambda s: s.name)

    def arrived(self, rpc: Rpc) -> None:
        self.taken.append(self.now)
        self.place(rpc)

    def ended(self, call_out: CallOut, outcome: Outcome, answer: Answer) -> None:
        rpc, srv = call_out.rpc, call_out.srv
        call_out.outcome = outcome
        self.out[srv] = self.out.get(srv, 1) - 1
        if rpc.over or answer.over:
            rpc.over = True
        elif outcome is Outcome.MISS and self.order(srv, rpc):
            pass
        elif outcome in NEVER_RAN or self.facts["methods"][rpc.method]["kind"] == "idempotent":
            self.place(rpc)
        else:
            rpc.over = True
            self.host.abort(rpc)

    def ordered(self, srv: Srv, fn: Fn, outcome: Outcome, count: int, took: int) -> None:
        for rpc in self.waiting.pop((srv, fn), []):
            if not rpc.over and outcome is Outcome.OK:
                self.send(rpc, srv)
            elif not rpc.over:
                self.place(rpc)

    def left(self, rpc: Rpc) -> None:
        rpc.over = True

    def begun(self, call_out: CallOut) -> None: ...
    def list_failed(self) -> None: ...
    def woken(self, token: object) -> None: ...
    def probed(self, srv: Srv, outcome: Outcome, took: int, report: Mapping[str, float]) -> None: ...
    def told(self, peer: int, text: str) -> None: ...

    # what it does

    def place(self, rpc: Rpc) -> None:
        tried = {call_out.srv for call_out in rpc.call_outs}
        able = [srv for srv in self.serving if srv not in tried]
        if not able or len(rpc.call_outs) >= self.facts["try_limit"] or rpc.deadline <= self.now:
            rpc.over = True
            may_have = [c for c in rpc.call_outs if c.outcome not in NEVER_RAN]
            return self.host.abort(rpc) if may_have else self.host.deny(rpc, 0)
        self.send(rpc, self.choose(self, rpc, able))

    def send(self, rpc: Rpc, srv: Srv) -> None:
        self.out[srv] = self.out.get(srv, 0) + 1
        call_out = CallOut(rpc, srv, self.now)
        rpc.call_outs.append(call_out)
        self.host.call_out(call_out, 0)

    def order(self, srv: Srv, rpc: Rpc) -> bool:
        """Where absent functions miss only an order loads; within the budget, as that is a rule."""
        waiting = self.waiting.get((srv, rpc.fn))
        if waiting is not None:
            waiting.append(rpc)
            return True
        window = self.facts["order_window"]
        for times in (self.orders, self.taken):
            while times and times[0] <= self.now - window:
                times.popleft()
        most = self.facts["orders_free"] + self.facts["orders_share"] * len(self.taken)
        room = self.facts["may_order"] and (not window or len(self.orders) + 1 <= most)
        if not room or srv.listing is not Listing.SERVING:
            return False
        self.orders.append(self.now)
        self.waiting[srv, rpc.fn] = [rpc]
        self.host.order(srv, rpc.fn, 1)
        return True

    # how it chooses

    def by_random(self, rpc: Rpc, able: list[Srv]) -> Srv:
        return able[self.chance(len(able))]

    def by_turns(self, rpc: Rpc, able: list[Srv]) -> Srv:
        self.turn += 1
        return able[self.turn % len(able)]

    def by_two(self, rpc: Rpc, able: list[Srv]) -> Srv:
        return min((able[self.chance(len(able))] for _ in range(2)), key=self.crowded)

    def by_fewest(self, rpc: Rpc, able: list[Srv]) -> Srv:
        least = min(map(self.crowded, able))
        return self.by_random(rpc, [srv for srv in able if self.crowded(srv) == least])

    def by_hash(self, rpc: Rpc, able: list[Srv]) -> Srv:
        """The function's own order of workers; the first that is not over the bound."""
        bound = ceil(BOUND * (sum(self.out.values()) + 1) / len(self.serving))
        order = sorted(able, key=lambda srv: crc32(f"{rpc.fn.name} {srv.name}".encode()))
        return next((srv for srv in order if self.out.get(srv, 0) < bound), order[0])

    def by_sight(self, rpc: Rpc, able: list[Srv]) -> Srv:
        """The least crowded worker as it gets on now, a load counted as so many calls before it; among
        alike ones the function's own order, so that copies are met again."""
        assert self.sees is not None
        seen = {srv: self.sees(srv.name, rpc.fn.name) for srv in able}

        def cost(srv: Srv) -> tuple[float, int]:
            copy, crowd = seen[srv]
            return crowd + (1 - copy) * NO_COPY, crc32(f"{rpc.fn.name} {srv.name}".encode())

        return min(able, key=cost)

    def crowded(self, srv: Srv) -> float:
        return self.out.get(srv, 0) / max(srv.size, 1e-9)


POLICIES: dict[str, Callable[[Any, Rpc, list[Srv]], Srv]] = {
    "random": Baseline.by_random,
    "round robin": Baseline.by_turns,
    "fewest of two": Baseline.by_two,
    "fewest": Baseline.by_fewest,
    "hash": Baseline.by_hash,
    "greedy": Baseline.by_sight,
}
