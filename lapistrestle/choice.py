"""Every decision of the dispatcher: ENSURE's packing along a shared order, and the guards around it.

A host makes one `Dispatcher` with its `Host`, the settings as a plain map, a seed and the clock, sets `now`
before each event and calls the methods of `Events`; the module answers by calling the `Host`. Both protocols
are in `interface.py`, objects that the host makes in `state.py`, design and departures in `docs/design.md`.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from hashlib import blake2b
from math import ceil, exp, inf, log, sqrt
from zlib import crc32

from lapistrestle import interface as face
from lapistrestle.interface import Answer, CallOut, Facts, Host, Listing, Outcome, Warmth
from lapistrestle.state import Fn, Input, Mean, Order, Rpc, Spot, Srv, State, Sum, Workers, Zone

SECOND = 10_000  # in tenths of a millisecond
PERIOD = 5 * SECOND  # of the holds, as the design page says
FULL = SECOND // 2  # a worker whose queue was full is passed over: queues turn over faster than zones
BACKOFF = 2 * SECOND  # out of use after Unsafe, as the design page says
WINDOW = 30  # latencies in a window, as the design page says
EASE = 1.15  # the bound is never nearer to iso latency than this, as the design page says
PRIOR = 2  # a young window is averaged with this many iso latencies: one heavy RPC is no verdict
REACH = 0.3  # the bound lies this far from iso latency to the soft deadline: skewed work passes 15% by chance
MEMORY = 3 * SECOND  # life of the decaying sums that must follow a trouble within its first seconds
LONG = 10 * SECOND  # life of the decaying sums that stand for the ordinary
GOLDEN = 0.618  # turns that move on by this part of a round come back evenly spread
FILL = 0.35  # of a worker's even share, for one function's demand there
CAUTION = 0.7  # of the cold budget: size and share of the traffic are only roughly known
BAD_SHARE = 0.35  # of a worker's recent outcomes: beyond it, and twice at least, it is suspect
HOLD_PART = 0.25  # of the order budget is for holds, the rest for what an RPC waits for
FURTHER = 1.0  # further call-outs for each recent ok one, when all further ones succeed

MEANING = dict.fromkeys(Outcome, Input.MAY_HAVE_RUN) | {Outcome.OK: Input.OK, Outcome.MISS: Input.MISSED}
MEANING |= dict.fromkeys((Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT), Input.NEVER_RAN)


class Dispatcher(Workers):
    def __init__(self, host: Host, facts: Facts, seed: int, now: int) -> None:
        super().__init__(partial="region" in facts)
        self.host, self.facts, self.seed, self.now, self.start = host, facts, seed, now, now
        self.draws, self.weighed, self.pressed = 0, -1, False
        self.fns: dict[Fn, None] = {}
        self.light = [Mean(LONG) for _ in facts["methods"]]  # latency of ok ones at light own load
        self.hints = [Mean(LONG) for _ in facts["methods"]]  # hinted work
        self.ok_weight, self.demand, self.good, self.bad = (Sum(x, now) for x in (LONG, LONG, MEMORY, MEMORY))
        self.ok_count, self.ok_took, self.further = Sum(MEMORY), Mean(MEMORY), Mean(MEMORY)
        self.warm_size = 0.0  # of all that serve, by their warmth
        self.region = facts.get("region", self)  # whose size, warm size and count stand for the fleet's
        self.stretch = 1.0  # of what is remembered of a worker, for a front end that meets it seldom
        self.out = 0  # own call-outs under way but for those behind a load
        self.under_way: dict[CallOut, None] = {}  # those, the oldest first
        self.asked = [Sum(LONG, now) for _ in facts["customers"]]
        self.loading, self.load_limit = 0, 0.0  # own loads under way, and how many there should be at most
        self.orders, self.taken = list[int](), list[int]()  # answered orders: when each may have crossed
        self.pending, self.load_took = 0, Mean(LONG)  # orders without answer, and how long loads take
        # what shows that nothing stands there any more; where a miss would tell, one reset is no death
        self.died = {Outcome.UNREACHABLE, *(() if facts["absent_misses"] else (Outcome.RESET,))}
        if facts["list_asked"]:
            self.follow()

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, below)

    def listed(self, srvs: Sequence[tuple[Srv, face.SrvFacts]], whole: bool) -> None:
        self.note(srvs, whole, MEMORY, SECOND)
        self.weighed = -1
        self.load_limit = self.load_limit or max(1.0, self.region.count / self.facts["dispatchers"])
        self.forget()

    def forget(self) -> None:
        """Workers that left, once nothing is out there: a long life would grow; one back is learnt anew."""
        gone = [srv for srv in self.leaving if not srv.out and not srv.awaited]
        for srv in gone:
            del self.known[srv], self.leaving[srv]
            for fn in list(srv.spots):
                fn.drop(srv)
        for fn in self.fns if gone and not self.partial else ():  # else no order is drawn here
            for srv in gone:
                fn.marks.pop(srv, None)

    def ranked(self, fn: Fn, prefix: list[Srv]) -> None:
        """The host knows the first workers of the function's order, and none of the others."""
        fn.prefix = prefix

    def follow(self) -> None:
        self.host.follow_list()
        self.host.wake_me(max(SECOND, self.facts["ask_within"] // 2), None)

    def walk(self, fn: Fn) -> list[Srv]:
        """The shared order, from the worker that the function's hash marks; a new one rehomes its own. Where
        front ends outnumber workers it is entered anew at the next mark for each further worker: guards
        against neighbours that a crowded home fills unseen; harms where a longer run would share copies."""
        if fn.prefix is not None:
            return fn.prefix
        if fn.version != self.version:
            for srv in self.ring:
                if srv not in fn.marks:
                    mark = blake2b(f"{fn.name} {srv.name}".encode(), digest_size=4).digest()
                    draw = -log((int.from_bytes(mark) + 1) / (2**32 + 1))
                    fn.marks[srv] = draw if self.facts["size_is_live"] else draw / max(srv.size, 1e-9)
            marked = sorted(self.ring, key=fn.marks.__getitem__)
            first = self.ring.index(marked[0]) if marked else 0
            many = self.facts["dispatchers"] > len(marked)
            fn.order, fn.version = marked if many else self.ring[first:] + self.ring[:first], self.version
        return fn.order

    def entered(self, fn: Fn) -> list[Srv]:
        """The shared order from where this front end's part of the demand begins, FILL of an even share a
        worker: guards against homes crowded by unseen others; harms where front ends are asked unlike."""
        order, all_ = self.walk(fn), self.facts["dispatchers"]
        part = (self.facts["me"] + crc32(fn.name.encode())) % all_ / all_
        sure = max(0.0, fn.asked.read(self.now) - self.weight(fn.method))
        skip = part * sure / max(self.demand.read(self.now), 1) * self.region.size / FILL
        if fn.prefix is not None:  # no longer one for this alone: own share is no measure of the region's
            skip = min(skip, part * sum(s.size for s in order if s.listing is Listing.SERVING))
        for i, srv in enumerate(order):
            skip -= srv.size if srv.listing is Listing.SERVING else 0
            if skip < 0:
                return order[i:] + order[:i]
        return order

    def drive(self, rpc: Rpc, signal: Input | None, spot: Spot | None = None) -> None:
        while signal is not None and not rpc.over:
            rpc.state, effect = LIFE[rpc.state, signal]
            rpc.over = rpc.state is State.OVER
            signal = effect(self, rpc, spot) if effect else None

    def arrived(self, rpc: Rpc) -> None:
        rpc.began = rpc.began or self.now  # earlier where it waited for the function's prefix
        if rpc.work:
            self.hints[rpc.method].add(self.now, rpc.work)
            rpc.scale = max(0.2, rpc.work / self.hints[rpc.method].read(rpc.work))
        if rpc.fn not in self.fns:
            self.fns[rpc.fn] = None
            self.host.wake_me(PERIOD, rpc.fn)
        met = MEMORY * max(self.rate(self.ok_count), 1 / LONG) / max(1, len(self.serves))  # each, in MEMORY
        self.stretch = min(LONG / MEMORY, max(1.0, 1 / met))
        rpc.fn.asked.life = self.demand.life = int(LONG * self.stretch)
        for asked in (rpc.fn.asked, self.demand):
            asked.add(self.now, self.weight(rpc.method) * rpc.scale)
        if not rpc.moved:
            insort(self.taken, self.now if rpc.came is None else rpc.came)
        del self.taken[: bisect_right(self.taken, self.now - self.facts["order_window"])]
        self.drive(rpc, Input.ARRIVED)

    def left(self, rpc: Rpc) -> None:
        rpc.state, rpc.over = State.OVER, True

    def begun(self, call_out: CallOut) -> None:
        call_out.srv.unheard = None

    def admit(self, rpc: Rpc, _: Spot | None) -> Input:
        """Under pressure (Little's law) traffic beyond a share yields first; harms as a jam dissolves."""
        soft, pace = self.soft(rpc), self.rate(self.ok_count)
        stay = max(0, self.out - 2 * sqrt(self.out) - 1) / pace if pace * soft > 1 else self.oldest()
        stay = stay if self.now > self.start + MEMORY else 0.0
        if stay > soft / 2 if not self.pressed else stay < soft / 4:
            self.pressed = not self.pressed
            self.host.log(f"pressure {'on' if self.pressed else 'off'}: stay {stay:.0f} of soft {soft}")
        yields = stay > (soft / 2 if self.beyond_share(rpc) else soft)
        return Input.NOWHERE if yields or self.hopeless(rpc) else Input.ADMITTED

    def oldest(self) -> float:
        """For how long the oldest warm call-out has waited: guards a burst after a lull, which is no jam."""
        oldest = (c.sent for c in self.under_way if c.srv.listing is Listing.SERVING)
        return self.now - next(oldest, self.now)

    def hopeless(self, rpc: Rpc) -> bool:
        """Alone it would come back too late: impatient clients, heavy RPCs; harms where hints mislead."""
        return rpc.deadline - self.now < self.iso(rpc.fn) * rpc.scale

    def beyond_share(self, rpc: Rpc) -> bool:
        if rpc.customer >= len(self.asked):
            return False
        self.asked[rpc.customer].add(self.now, 1)
        share = self.facts["customers"][rpc.customer]["quota"] / SECOND / self.facts["dispatchers"]
        return bool(share > 0 and self.chance(1000) > 1000 * share / self.rate(self.asked[rpc.customer]))

    def rate(self, total: Sum) -> float:
        """Events in a tenth of a millisecond; a young sum is not yet full."""
        filled = 1 - exp(-max(SECOND, self.now - self.start) / total.life)
        return total.read(self.now) / (total.life * filled)

    def place(self, rpc: Rpc, _: Spot | None) -> Input:
        """The design's choice: first with room, else one load on the first cold, else fewest of ours."""
        fn, order, in_use = rpc.fn, self.entered(rpc.fn), list[Spot]()
        first = next(self.candidates(rpc, order), None)
        for srv in self.candidates(rpc, [s for s in order if s is first or s in fn.spots]):
            in_use.append(fn.spot(srv))
            if in_use[-1].out < self.capacity(in_use[-1]):
                return self.send(rpc, in_use[-1])
        warm = [s for s in in_use if self.believed(s) and self.now >= s.srv.full_until]
        loads = [s for s in in_use if s.loading]
        zones = [self.zone(s) for s in warm]
        open_ = [s for s, zone in zip(warm, zones, strict=True) if zone is not Zone.UNSAFE]
        calm = min(zones, default=Zone.UNSAFE) < Zone.WARNING
        room = self.loading < (1 if warm else 4) * self.load_limit and self.may_load(bool(warm))
        if not loads and not calm and room:
            cold = self.first_cold(rpc, order, bool(warm or rpc.call_outs))
            if cold and warm:
                self.order(cold, 1)
            elif cold and not any(c.outcome is Outcome.MISS for c in rpc.call_outs):
                return self.send(rpc, cold)  # of those sent on blindly after a miss one in twenty met a copy
        blind = not rpc.call_outs if self.facts["absent_misses"] else room  # after a miss only what may load
        last = open_ or warm or loads or in_use * blind
        near = [(self.crowd(s.srv), s) for s in last if self.now >= s.srv.full_until]
        fewest = min((wait for wait, _ in near), default=inf)
        if fewest + self.iso(fn) * rpc.scale > min(rpc.began + self.soft(rpc), rpc.deadline) - self.now:
            return Input.NOWHERE  # it would wait past what earns its gain, and make others do so
        ties = [s for wait, s in near if wait == fewest]
        spot = ties[self.chance(len(ties))]
        if self.facts["absent_misses"] and spot.loading and not self.believed(spot):  # no use before that
            spot.waiters.append(rpc)
            return Input.WAITS
        return self.send(rpc, spot)

    def may_load(self, beside: bool = False) -> bool:
        """Within what all front ends share, if told; while the fleet sheds, none `beside` a copy: guards
        against loads that push out what is used, as the door took the pressure; harms where one serves."""
        within = "loads" not in self.facts or self.facts["loads"](self.now)
        return within and not (beside and self.facts.get("shedding"))

    def first_cold(
        self, rpc: Rpc, order: Iterable[Srv], to_load: bool = True, missed: bool = False
    ) -> Spot | None:
        """Where a further copy would go: the first in the order without one that is not Unsafe, and, to load
        it there, whose line of loads is not full; for what waits there also one that it `missed` at."""
        fn = rpc.fn
        for srv in self.candidates(rpc, order, missed):
            spot = fn.spots.get(srv) or Spot(srv, fn)  # one only looked at is not one used before
            fit = not self.believed(spot) and self.zone(spot) is not Zone.UNSAFE
            if fit and (not to_load or self.now >= srv.line_until):
                return fn.spot(srv)
        if fn.prefix is not None:
            self.host.more(fn)
        return None

    def candidates(self, rpc: Rpc, order: Iterable[Srv], missed: bool = False) -> Iterator[Srv]:
        """Workers of an order that this RPC may go to; those it has tried only where there is no other."""
        fn, miss = rpc.fn, Outcome.MISS
        told = [c for c in rpc.call_outs if c.outcome is not miss or not (missed or fn.spot(c.srv).copies)]
        tried = {c.srv for c in told}
        trust = 2 * self.suspects <= len(self.serves)  # else don't crowd the rest

        def usable(srv: Srv) -> bool:
            open_ = srv.listing is Listing.SERVING and srv.held_back.get(rpc.customer, 0) <= self.now
            fit = open_ and (not trust or self.fit(srv))
            return fit and self.allowed(rpc, srv) and self.cold_room(srv, rpc)

        if tried and not any(usable(s) for s in self.walk(rpc.fn) if s not in tried):
            tried.clear()
        return (s for s in order if s not in tried and usable(s))

    def allowed(self, rpc: Rpc, srv: Srv) -> bool:
        """Rule 2: where a repeat of an RPC that may have run is dropped."""
        method = self.facts["methods"][rpc.method]
        if rpc.ran_on is None or method["kind"] == "idempotent":
            return True
        if method["kind"] != "tokened" or self.now >= rpc.ran_at + method["repeat_window"]:
            return False
        group = {"all": True, "zone": srv.zone == rpc.ran_on.zone, "cell": srv.cell == rpc.ran_on.cell}
        return group.get(method["scope"], False)

    def send(self, rpc: Rpc, spot: Spot) -> Input:
        srv, cold = spot.srv, not (self.believed(spot) or self.presumed(spot))
        call_out = CallOut(rpc, srv, self.now, cold, spot.out + 1, int(self.iso(spot.fn) * rpc.scale) + 1)
        rpc.call_outs.append(call_out)
        spot.begin(call_out)
        if not cold:
            self.under_way[call_out] = None
        self.out, self.loading = self.out + (not cold), self.loading + cold
        if self.warmth_of(srv) < 1:
            srv.sends.append((self.now, self.heft(rpc)))
        self.host.call_out(call_out, self.time_out(rpc, spot, cold))
        return Input.SENT

    def time_out(self, rpc: Rpc, spot: Spot, cold: bool) -> int:
        """Most of what is left to the soft deadline; longer in a jam, where a time-out only adds work. Who
        meets workers seldom sees no jam and waits for all of it; harms where many are silent."""
        left, method = max(1, rpc.deadline - self.now), self.facts["methods"][rpc.method]
        if method["kind"] == "side-effecting" or cold or len(rpc.call_outs) >= self.facts["try_limit"]:
            return left
        usual = max(self.ok_took.read(0), self.iso(spot.fn) * rpc.scale)
        part, usuals = (2 / 3, 4) if self.stretch <= 1 else (1, 8)
        return int(min(left, max((rpc.began + self.soft(rpc) - self.now) * part, usuals * usual)))

    def soft(self, rpc: Rpc) -> int:
        method = self.facts["methods"][rpc.method]
        stretched = method["soft_deadline"] + method["soft_stretch"] * (rpc.work or 0)
        return int(min(method["deadline"], stretched))

    def again(self, rpc: Rpc, spot: Spot | None) -> Input:
        """A further call-out, if tries and time are left and enough of the recent further ones succeeded."""
        out_of = len(rpc.call_outs) >= self.facts["try_limit"] or self.hopeless(rpc)
        made = self.further.count.read(self.now)
        most = 2 + FURTHER * self.ok_count.read(self.now) * self.further.read(1.0)
        most = min(most, 1 + self.facts.get("further", inf) * MEMORY / SECOND)  # the fleet's budget, if told
        missed = all(c.outcome is Outcome.MISS for c in rpc.call_outs)
        return Input.NOWHERE if out_of or (made >= most and not missed) else self.place(rpc, spot)

    def missed(self, rpc: Rpc, spot: Spot | None) -> Input:
        """After a miss away from the home, where all front ends meet, the home is tried. There a hold of one
        loads, and the RPC waits for it, so it can't overtake the order, unless a load would come too late."""
        if spot is None or not self.facts["absent_misses"] or len(rpc.call_outs) >= self.facts["try_limit"]:
            return self.again(rpc, spot)
        order = self.walk(rpc.fn)
        home = next(self.candidates(rpc, order, missed=True), None)  # as far as that may be used now
        if home and self.presumed(rpc.fn.spot(home)) and not any(c.srv is home for c in rpc.call_outs):
            if not self.facts["tells_company"]:  # else copies are added where it is told that RPCs wait
                self.order(spot, 1)
            return self.send(rpc, rpc.fn.spot(home))
        late = self.now + (rpc.fn.load or 0) + self.iso(rpc.fn) * rpc.scale > rpc.deadline
        if not late and not spot.loading:
            spot = self.first_cold(rpc, order, missed=True) or spot
        if late or not (spot.loading or self.order(spot, 1)):
            return self.again(rpc, spot)
        spot.waiters.append(rpc)
        return Input.WAITS

    def park(self, rpc: Rpc, _: Spot | None) -> None:
        self.host.wake_me(max(1, int(rpc.deadline - self.now - self.iso(rpc.fn))), rpc)

    def give_up(self, rpc: Rpc, _: Spot | None) -> None:
        """Answered at once: denied where that is provably harmless, else aborted."""
        method = self.facts["methods"][rpc.method]
        repeats = method["kind"] == "idempotent" or (method["kind"], method["scope"]) == ("tokened", "all")
        if rpc.ran_on is None or repeats:
            self.host.deny(rpc, self.facts["longest_come_back"] if self.facts["may_come_back"] else 0)
        else:
            self.host.abort(rpc)

    def woken(self, token: object) -> None:
        if isinstance(token, Rpc):
            self.drive(token, Input.LATE if token.state is State.PARKED else None)
        elif isinstance(token, Fn):
            self.hold(token)
        else:
            self.follow()

    def ended(self, call_out: CallOut, outcome: Outcome, answer: Answer) -> None:
        rpc, srv = call_out.rpc, call_out.srv
        spot, call_out.outcome = rpc.fn.spot(srv), outcome
        spot.end(call_out)
        self.under_way.pop(call_out, None)
        self.out, self.loading = self.out - (not call_out.cold), self.loading - call_out.cold
        if outcome is not Outcome.TIMED_OUT:
            srv.unheard = self.now if srv.warm else None
        self.learn(spot, call_out, outcome, answer)
        if MEANING[outcome] is Input.MAY_HAVE_RUN and rpc.ran_on is None:
            rpc.ran_on, rpc.ran_at = srv, call_out.sent
        if answer.over:
            self.left(rpc)
        self.drive(rpc, MEANING[outcome], spot)
        if spot.waiters and not spot.ordered and not spot.loading:
            self.release(spot)

    def learn(self, spot: Spot, call_out: CallOut, outcome: Outcome, answer: Answer) -> None:
        srv, fn, rpc = spot.srv, spot.fn, call_out.rpc
        srv.remember(int(MEMORY * self.stretch))
        load = call_out.cold if not self.facts["tells_warm"] else answer.warmth is not Warmth.STOOD
        if outcome is Outcome.OK:
            spot.copies, spot.seen = max(self.believed(spot), 1), self.now
            if not load and call_out.company <= 1:
                self.light[rpc.method].add(self.now, answer.took)
            if srv.listing is Listing.SERVING and self.light[rpc.method].count.value:  # else a guess
                self.ok_weight.add(self.now, self.weight(rpc.method) / max(self.warm(), 1e-9))
            self.ok_count.add(self.now, 1)
            self.ok_took.add(self.now, answer.took)
            srv.served.add(self.now, 1)
            srv.full_until = 0
        if outcome is Outcome.OK and answer.company is not None and answer.took > self.bound(fn) * rpc.scale:
            self.grow(spot, rpc, answer.company)
        if call_out is not rpc.call_outs[0] and outcome is not Outcome.MISS:
            self.further.add(self.now, outcome is Outcome.OK)
        if call_out.cold and outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMED_OUT):
            sure = self.facts["tells_warm"] or self.facts["absent_misses"]
            if sure or self.srv_zone(spot) < Zone.WARNING:  # else its queue may be what was slow
                self.judge_load(fn, outcome is Outcome.OK, answer.took)
        srv.emptied = self.now if outcome in self.died else srv.emptied
        if outcome is Outcome.MISS:
            spot.copies, spot.missing = 0, self.now
        alone = len(self.facts["customers"]) < 2  # then no customer is held back for the others' sake
        if outcome is Outcome.FULL and (alone or answer.took < self.weight(rpc.method) / 4):
            srv.full_until = self.now + FULL  # its queue is, for all, until the next ok answer
        elif outcome is Outcome.FULL:  # with room, but it holds this customer back
            srv.held_back[rpc.customer] = self.now + int(BACKOFF * self.stretch)
        if self.stretch > 1 and "backlog" in answer.report:  # others' RPCs there, over the pace of its size
            pace = self.rate(self.ok_count) * self.facts["dispatchers"] * srv.size / (self.region.size or 1)
            srv.timed(self.now, self.iso(fn) + answer.report["backlog"] / max(pace, 1e-9), self.iso(fn))
        skip = outcome in (Outcome.MISS, Outcome.MOOT) or (outcome is Outcome.OK and load)
        if skip or answer.warmth is Warmth.LOAD_FAILED:
            return
        bound = self.bound(fn) * rpc.scale
        took = answer.took if outcome is Outcome.OK else max(answer.took, int(bound))
        srv.timed(self.now, took, self.iso(fn) * rpc.scale)
        if outcome is not Outcome.FULL:
            spot.window = [*spot.window[1 - WINDOW :], int(took / rpc.scale)]
            self.judge_zone(spot)
            harm = outcome not in (Outcome.OK, Outcome.CANCELLED) or took > bound
            self.judge_health(srv, harm, call_out.sent)

    def grow(self, spot: Spot, rpc: Rpc, company: int) -> None:
        """A copy on the next worker of the order where RPCs of all front ends wait for a lane: guards against
        front ends that each see too little of a function to know it is hot; harms where waits are short."""
        if company < self.believed(spot) * spot.fn.lanes or self.loading >= self.load_limit:
            return
        if (cold := self.first_cold(rpc, self.entered(spot.fn))) and not cold.loading:
            self.order(cold, 1)

    def weight(self, method: int) -> float:
        return max(1.0, self.light[method].read(self.facts["methods"][method]["soft_deadline"] / 4))

    def iso(self, fn: Fn) -> float:
        """One tick of the clock at the least: guards against answers that come within one."""
        return max(1.0, fn.iso) if fn.iso is not None else self.weight(fn.method)

    def bound(self, fn: Fn) -> float:
        iso, soft = self.iso(fn), self.facts["methods"][fn.method]["soft_deadline"]
        return max(EASE * iso, iso + REACH * (soft - iso))

    def judge_zone(self, spot: Spot) -> None:
        iso = self.iso(spot.fn)
        if spot.zone is not Zone.UNSAFE:
            spot.zone = self.quarter(spot.fn, (sum(spot.window) + PRIOR * iso) / (len(spot.window) + PRIOR))
            spot.until = self.now + int(BACKOFF * self.stretch)

    def quarter(self, fn: Fn, average: float) -> Zone:
        iso = self.iso(fn)
        return Zone(max(1, min(4, 1 + int(4 * (average - iso) / (self.bound(fn) - iso)))))

    def zone(self, spot: Spot) -> Zone:
        if spot.zone is Zone.UNSAFE and self.now >= spot.until:
            spot.zone = Zone.WARNING
            spot.window.clear()
        return Zone.UNSAFE if self.now < spot.srv.full_until else max(spot.zone, self.srv_zone(spot))

    def srv_zone(self, spot: Spot) -> Zone:
        """By all functions' latencies and what is out: own windows fill slowly; harms if one is slow."""
        srv, iso = spot.srv, self.iso(spot.fn)
        took, alone = srv.took_so_far(self.now, WINDOW)
        average = iso * (took + PRIOR * iso) / (alone + PRIOR * iso)
        return self.quarter(spot.fn, max(average, self.crowd(srv)))

    def crowd(self, srv: Srv) -> float:
        """How long one more would wait there: ours, over the pace they come back at, or one by one."""
        pace = max(self.rate(srv.served), self.rate(self.ok_count) * srv.size / max(self.size, 1e-9))
        return len(srv.warm) / max(pace, len(srv.warm) / srv.warm_iso) if srv.warm else 0.0

    def believed(self, spot: Spot) -> int:
        """Copies believed to stand: an idle one goes after the idle life, a restart leaves none."""
        idle = not spot.out and self.now - spot.seen > self.facts["idle_life"] * self.stretch
        spot.copies = 0 if idle or spot.seen <= spot.srv.emptied else spot.copies
        return spot.copies

    def presumed(self, spot: Spot) -> bool:
        """Others, who share the order, may keep one warm: a guess, made where a miss answer is cheap."""
        told = 2 * (spot.fn.load or self.load_took.read(self.facts["idle_life"] / 2))
        lately = self.now - max(spot.missing, spot.srv.emptied) <= told
        return self.stretch > 1 and self.facts["absent_misses"] and not lately

    def capacity(self, spot: Spot) -> int:
        copies = self.believed(spot) or int(self.presumed(spot))
        zone = self.zone(spot) if copies else Zone.UNSAFE
        if zone is Zone.UNSAFE:
            return 0
        return min(1, copies) if zone is Zone.WARNING else copies * spot.fn.lanes

    def judge_health(self, srv: Srv, harm: bool, sent: int) -> None:
        """Errors, silence, lost connections and slowness are one symptom: own outcomes there go badly."""
        for outcomes in (srv, self):
            (outcomes.bad if harm else outcomes.good).add(self.now, 1)
        if not srv.suspect:
            sums = (srv.bad, srv.good, self.bad, self.good)
            bad, good, all_bad, all_good = (total.read(self.now) for total in sums)
            share = max(BAD_SHARE, 2 * all_bad / max(all_bad + all_good, 1))
            srv.suspect = bad > 1.5 and bad > share * (bad + good)
            self.suspects, srv.due = self.suspects + srv.suspect, self.now + srv.pause
            if srv.suspect:
                self.host.log(f"{srv.name} suspect: {bad:.1f} bad, {good:.1f} good, fleet {all_bad:.0f}")
        elif sent >= srv.due and harm:
            srv.pause = min(2 * srv.pause, 8 * SECOND)
            srv.due = self.now + srv.pause
        elif sent >= srv.due:
            self.clear(srv)

    def fit(self, srv: Srv) -> bool:
        """Neither suspect nor silent; such a one gets one call-out at a time once its pause is over."""
        silence = 0 if srv.unheard is None else self.now - srv.unheard
        if silence and silence > 4 * max(self.weight(m) for m in range(len(self.light))):
            return silence > LONG and not srv.out  # with nothing out it could not break its silence
        return not srv.suspect or (self.now >= srv.due + (0 if srv.trial else LONG) and not srv.out)

    def vouched(self, srv: Srv, at: int) -> None:
        """Others found it fit. Guards against crowds of trials; harms where it fails us alone."""
        if srv.suspect and at > srv.due - srv.pause:  # since we judged it
            self.clear(srv)

    def clear(self, srv: Srv) -> None:
        srv.suspect, srv.pause, srv.bad, self.suspects = False, SECOND, Sum(MEMORY), self.suspects - 1
        self.host.log(f"{srv.name} fit again")

    def warmth_of(self, srv: Srv, before: int = 0) -> float:
        """The part of its capacity that a worker has at the least, or had that long `before`."""
        if srv.booted is None or not self.facts["ramp_time"]:
            return 1.0
        least, age = self.facts["cold_share"], max(0, self.now - before - srv.booted)
        return min(1.0, least + (1 - least) * age / self.facts["ramp_time"])

    def warm(self) -> float:
        """The size of all that serve by their warmth; a tenth of a second old at most."""
        if self.region is self and (self.weighed < 0 or self.now - self.weighed > SECOND // 10):
            self.weighed, self.warm_size = self.now, sum(s.size * self.warmth_of(s) for s in self.serves)
        return float(self.region.warm_size)

    def heft(self, rpc: Rpc) -> float:
        """What it puts on a cold worker: guards against heavy functions; harms where one is merely slow."""
        windows = [s.window for s in rpc.fn.spots.values() if s.window] if rpc.fn.iso is None else []
        young = min((sum(w) / len(w) for w in windows), default=0.0)
        return max(self.weight(rpc.method), max(self.iso(rpc.fn), young) * rpc.scale)

    def cold_room(self, srv: Srv, rpc: Rpc) -> bool:
        """Rule 4: what all get answered for each unit of size and warmth is within capacity, and each keeps
        to its part of that as the window began; parts under one go by turns, one mean call in all at the
        least. Who restarted forgot what it sent: none for a window."""
        window = self.facts["fall_time"]
        if self.warmth_of(srv) >= 1:
            return True
        taken = self.rate(self.ok_weight) * srv.size * (max(srv.booted or 0, self.now - window) >= self.start)
        most = self.facts["fall_multiple"] * self.warmth_of(srv, window) * window * taken
        weight, usual, all_ = self.heft(rpc), self.weight(rpc.method), self.facts["dispatchers"]
        turn = ((self.facts["me"] + 0.5) / all_ + GOLDEN * (self.now // max(1, window) + srv.place)) % 1
        return srv.sent_since(self.now - window) + weight * turn <= max(CAUTION * most, usual / all_)

    def order(self, spot: Spot, count: int, part: float = 1.0) -> bool:
        """Rules 3 and 5: an order goes to a serving worker only, and only within the budget of orders. What
        counts is where they cross: one without answer may be about to, and RPCs are older there by then."""
        window, lag = self.facts["order_window"], self.facts["order_lag"]
        del self.orders[: bisect_right(self.orders, self.now - window - lag)]
        del self.taken[: bisect_right(self.taken, self.now - window + lag)]
        most = part * (self.facts["orders_free"] + self.facts["orders_share"] * len(self.taken))
        room = self.facts["may_order"] and (not window or len(self.orders) + self.pending + 1 <= most)
        load = count > self.believed(spot)
        shut = load and (self.now < spot.srv.line_until or not self.may_load())
        if not room or spot.srv.listing is not Listing.SERVING or shut:
            return False
        self.pending += 1
        spot.ordered.append(Order(self.now, load))
        spot.loading, self.loading = spot.loading + load, self.loading + load
        self.host.order(spot.srv, spot.fn, min(16, count))
        return True

    def ordered(self, srv: Srv, fn: Fn, outcome: Outcome, count: int, took: int) -> None:
        spot = fn.spot(srv)
        order, self.pending = spot.ordered.popleft(), self.pending - 1
        load, late = order.load, took - 2 * self.load_took.read(took)  # it may have lain on the way
        insort(self.orders, order.sent + max(0, int(late)))
        if load and outcome is Outcome.OK:
            self.load_took.add(self.now, took)
        spot.loading, self.loading = spot.loading - load, self.loading - load
        self.judge_load(fn, outcome is not Outcome.ERROR, took)
        if load:  # guards the ration, and RPCs in wait, against a worker whose line of loads is full
            srv.line_until = self.now + FULL if outcome is Outcome.FULL else 0
        if outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
            spot.copies, spot.seen, spot.missing = count, self.now, spot.missing if count else self.now
        elif outcome in self.died:
            srv.emptied = self.now
            self.judge_health(srv, True, self.now)
        elif outcome is Outcome.RESET:  # the order itself stands
            spot.copies, spot.seen = max(1, spot.copies), self.now
        self.release(spot)

    def release(self, spot: Spot) -> None:
        """What waited for a load is placed anew once that, or what might have begun it, has ended."""
        for rpc in spot.freed():
            self.drive(rpc, Input.LOADED, spot)

    def judge_load(self, fn: Fn, ok: bool, took: int) -> None:
        """Slow or failing loads mean fewer at once, as all share one store; harms if it is not the cause."""
        if not ok or took > self.facts["methods"][fn.method]["deadline"] / 2:
            self.load_limit = max(1.0, 0.9 * self.load_limit)
        elif took > self.iso(fn):
            self.load_limit = min(len(self.known), self.load_limit + 1 / self.load_limit)

    def renew_iso(self, fn: Fn) -> None:
        """The median window average at light own load, slowly renewed."""
        windows = (s.window for s in fn.spots.values() if len(s.window) > 2 and s.out < 2)
        if averages := sorted(sum(w) / len(w) for w in windows):
            median = averages[len(averages) // 2]
            fn.iso = median if fn.iso is None else fn.iso + 0.2 * (median - fn.iso)

    def hold(self, fn: Fn) -> None:
        """Each period, unless loads for waiting RPCs need the room: what was used, and part of the spare."""
        used = {s: ceil(s.peak / fn.lanes) for s in fn.spots.values() if s.peak}
        for spot in list(fn.spots.values()):
            spot.peak, in_use = spot.out, spot.out or spot.ordered or spot.waiters or self.believed(spot)
            if not in_use and self.now > max(spot.until, spot.missing + self.facts["idle_life"]):
                fn.drop(spot.srv)
        if not fn.spots:  # what it takes alone is kept, what stands where is learnt anew
            del self.fns[fn]
            fn.marks, fn.order, fn.version = {}, [], -1
            return
        self.host.wake_me(PERIOD, fn)
        if not used:
            return
        self.renew_iso(fn)
        spare, left = divmod(ceil(sqrt(sum(used.values()))), self.facts["dispatchers"])
        spare += self.chance(self.facts["dispatchers"]) < left
        for srv in self.walk(fn):
            wanted = srv.listing is Listing.SERVING and (spare or srv in fn.spots) and self.fit(srv)
            if not wanted or self.zone(spot := fn.spot(srv)) is Zone.UNSAFE:
                continue
            count, spare = used.get(spot, 0) + spare, 0
            room = self.loading < self.load_limit and self.may_load(True)
            if room if count > self.believed(spot) else count > used.get(spot, 0):
                self.order(spot, count, HOLD_PART)

    def learnt(self) -> list[tuple[float, float]]:
        """For each method the latency of a usual RPC alone and the usual hint: what outlives a restart."""
        return [(a.read(0.0), b.read(0.0)) for a, b in zip(self.light, self.hints, strict=True)]

    def recall(self, learnt: Sequence[tuple[float, float]]) -> None:
        """Each figure counts as one sample, so that the first answers outweigh it; 0 is none."""
        for kept, means in zip(learnt, zip(self.light, self.hints, strict=True), strict=True):
            for figure, mean in zip(kept, means, strict=True):
                if figure > 0:
                    mean.add(self.now, figure)

    def list_failed(self) -> None: ...  # asked anew when the next renewal is due
    def probed(self, srv: Srv, outcome: Outcome, took: int, report: Mapping[str, float]) -> None: ...
    def told(self, peer: int, text: str) -> None: ...


Effect = Callable[[Dispatcher, Rpc, Spot | None], Input | None]
LIFE: dict[tuple[State, Input], tuple[State, Effect | None]] = {
    (State.NEW, Input.ARRIVED): (State.NEW, Dispatcher.admit),
    (State.NEW, Input.ADMITTED): (State.PLACING, Dispatcher.place),
    (State.NEW, Input.NOWHERE): (State.OVER, Dispatcher.give_up),
    (State.PLACING, Input.SENT): (State.OUT, None),
    (State.PLACING, Input.WAITS): (State.PARKED, Dispatcher.park),
    (State.PLACING, Input.NOWHERE): (State.OVER, Dispatcher.give_up),
    (State.OUT, Input.OK): (State.OVER, None),
    (State.OUT, Input.NEVER_RAN): (State.PLACING, Dispatcher.again),
    (State.OUT, Input.MAY_HAVE_RUN): (State.PLACING, Dispatcher.again),
    (State.OUT, Input.MISSED): (State.PLACING, Dispatcher.missed),
    (State.PARKED, Input.LOADED): (State.PLACING, Dispatcher.again),
    (State.PARKED, Input.LATE): (State.OVER, Dispatcher.give_up),
}
