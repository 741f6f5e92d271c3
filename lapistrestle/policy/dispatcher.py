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

from lapistrestle.policy import interface as face
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.interface import Answer, Attempt, EndpointState, Host, LoadState, Outcome
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.state import (
    DecayingMean,
    DecayingSum,
    Function,
    FunctionReplica,
    Input,
    Order,
    Request,
    State,
    Worker,
    Workers,
    Zone,
)

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

MEANING = dict.fromkeys(Outcome, Input.MAY_HAVE_RUN) | {
    Outcome.OK: Input.OK,
    Outcome.NOT_LOADED: Input.MISSED,
}
MEANING |= dict.fromkeys((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT), Input.NEVER_RAN)


class Dispatcher(Workers):
    def __init__(
        self, host: Host, settings: Settings, seed: int, now: int, fleet: FleetGuidance | None = None
    ) -> None:
        self.fleet = fleet or FleetGuidance()
        super().__init__(partial=self.fleet.region is not None)
        self.host, self.settings, self.seed, self.now, self.start = host, settings, seed, now, now
        self.draws, self.weighed, self.pressed = 0, -1, False
        self.functions: dict[Function, None] = {}
        self.light = [DecayingMean(LONG) for _ in settings.methods]  # latency of ok ones at light own load
        self.hints = [DecayingMean(LONG) for _ in settings.methods]  # hinted work
        self.ok_weight, self.demand, self.good, self.bad = (
            DecayingSum(x, now) for x in (LONG, LONG, MEMORY, MEMORY)
        )
        self.ok_count, self.ok_took, self.further = (
            DecayingSum(MEMORY),
            DecayingMean(MEMORY),
            DecayingMean(MEMORY),
        )
        self.warm_size = 0.0  # of all that serve, by their warmth
        self.region = self.fleet.region or self  # whose size, warm size and count stand for the fleet's
        self.stretch = 1.0  # of what is remembered of a worker, for a front end that meets it seldom
        self.out = 0  # own call-outs under way but for those behind a load
        self.under_way: dict[Attempt, None] = {}  # those, the oldest first
        self.asked = [DecayingSum(LONG, now) for _ in settings.customers]
        self.loading, self.load_limit = 0, 0.0  # own loads under way, and how many there should be at most
        self.orders, self.taken = list[int](), list[int]()  # answered orders: when each may have crossed
        self.pending, self.load_took = 0, DecayingMean(LONG)  # orders without answer, and how long loads take
        # what shows that nothing stands there any more; where a miss would tell, one reset is no death
        self.died = {Outcome.UNREACHABLE, *(() if settings.reports_not_loaded else (Outcome.RESET,))}
        if settings.endpoints_polled:
            self.follow()

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, below)

    def on_endpoints(self, workers: Sequence[tuple[Worker, face.WorkerInfo]], whole: bool) -> None:
        self.note(workers, whole, MEMORY, SECOND)
        self.weighed = -1
        self.load_limit = self.load_limit or max(1.0, self.region.count / self.settings.dispatcher_count)
        self.forget()

    def forget(self) -> None:
        """Workers that left, once nothing is out there: a long life would grow; one back is learnt anew."""
        gone = [worker for worker in self.leaving if not worker.out and not worker.awaited]
        for worker in gone:
            del self.known[worker], self.leaving[worker]
            for function in list(worker.replicas):
                function.drop(worker)
        for function in self.functions if gone and not self.partial else ():  # else no order is drawn here
            for worker in gone:
                function.marks.pop(worker, None)

    def on_prefix(self, function: Function, prefix: list[Worker]) -> None:
        """The host knows the first workers of the function's order, and none of the others."""
        function.prefix = prefix

    def follow(self) -> None:
        self.host.watch_endpoints()
        self.host.set_timer(max(SECOND, self.settings.poll_within // 2), None)

    def walk(self, function: Function) -> list[Worker]:
        """The shared order, from the worker that the function's hash marks; a new one rehomes its own. Where
        front ends outnumber workers it is entered anew at the next mark for each further worker: guards
        against neighbours that a crowded home fills unseen; harms where a longer run would share copies."""
        if function.prefix is not None:
            return function.prefix
        if function.version != self.version:
            for worker in self.ring:
                if worker not in function.marks:
                    mark = blake2b(f"{function.name} {worker.name}".encode(), digest_size=4).digest()
                    draw = -log((int.from_bytes(mark) + 1) / (2**32 + 1))
                    function.marks[worker] = (
                        draw if self.settings.size_is_live else draw / max(worker.size, 1e-9)
                    )
            marked = sorted(self.ring, key=function.marks.__getitem__)
            first = self.ring.index(marked[0]) if marked else 0
            many = self.settings.dispatcher_count > len(marked)
            function.order, function.version = (
                marked if many else self.ring[first:] + self.ring[:first],
                self.version,
            )
        return function.order

    def entered(self, function: Function) -> list[Worker]:
        """The shared order from where this front end's part of the demand begins, FILL of an even share a
        worker: guards against homes crowded by unseen others; harms where front ends are asked unlike."""
        order, all_ = self.walk(function), self.settings.dispatcher_count
        part = (self.settings.instance_index + crc32(function.name.encode())) % all_ / all_
        sure = max(0.0, function.asked.read(self.now) - self.weight(function.method))
        skip = part * sure / max(self.demand.read(self.now), 1) * self.region.size / FILL
        if (
            function.prefix is not None
        ):  # no longer one for this alone: own share is no measure of the region's
            skip = min(skip, part * sum(s.size for s in order if s.listing is EndpointState.SERVING))
        for i, worker in enumerate(order):
            skip -= worker.size if worker.listing is EndpointState.SERVING else 0
            if skip < 0:
                return order[i:] + order[:i]
        return order

    def drive(self, request: Request, signal: Input | None, replica: FunctionReplica | None = None) -> None:
        while signal is not None and not request.over:
            request.state, effect = LIFE[request.state, signal]
            request.over = request.state is State.OVER
            signal = effect(self, request, replica) if effect else None

    def on_request(self, request: Request) -> None:
        request.began = request.began or self.now  # earlier where it waited for the function's prefix
        if request.work:
            self.hints[request.method].add(self.now, request.work)
            request.scale = max(0.2, request.work / self.hints[request.method].read(request.work))
        if request.function not in self.functions:
            self.functions[request.function] = None
            self.host.set_timer(PERIOD, request.function)
        met = MEMORY * max(self.rate(self.ok_count), 1 / LONG) / max(1, len(self.serves))  # each, in MEMORY
        self.stretch = min(LONG / MEMORY, max(1.0, 1 / met))
        request.function.asked.life = self.demand.life = int(LONG * self.stretch)
        for asked in (request.function.asked, self.demand):
            asked.add(self.now, self.weight(request.method) * request.scale)
        if not request.moved:
            insort(self.taken, self.now if request.came is None else request.came)
        del self.taken[: bisect_right(self.taken, self.now - self.settings.preload_window)]
        self.drive(request, Input.ARRIVED)

    def on_client_gone(self, request: Request) -> None:
        request.state, request.over = State.OVER, True

    def on_attempt_started(self, attempt: Attempt) -> None:
        attempt.worker.unheard = None

    def admit(self, request: Request, _: FunctionReplica | None) -> Input:
        """Under pressure (Little's law) traffic beyond a share yields first; harms as a jam dissolves."""
        soft, pace = self.soft(request), self.rate(self.ok_count)
        stay = max(0, self.out - 2 * sqrt(self.out) - 1) / pace if pace * soft > 1 else self.oldest()
        stay = stay if self.now > self.start + MEMORY else 0.0
        if stay > soft / 2 if not self.pressed else stay < soft / 4:
            self.pressed = not self.pressed
            self.host.log(f"pressure {'on' if self.pressed else 'off'}: stay {stay:.0f} of soft {soft}")
        yields = stay > (soft / 2 if self.beyond_share(request) else soft)
        return Input.NOWHERE if yields or self.hopeless(request) else Input.ADMITTED

    def oldest(self) -> float:
        """For how long the oldest warm call-out has waited: guards a burst after a lull, which is no jam."""
        oldest = (c.sent for c in self.under_way if c.worker.listing is EndpointState.SERVING)
        return self.now - next(oldest, self.now)

    def hopeless(self, request: Request) -> bool:
        """Alone it would come back too late: impatient clients, heavy RPCs; harms where hints mislead."""
        return request.deadline - self.now < self.iso(request.function) * request.scale

    def beyond_share(self, request: Request) -> bool:
        if request.customer >= len(self.asked):
            return False
        self.asked[request.customer].add(self.now, 1)
        share = self.settings.customers[request.customer].quota / SECOND / self.settings.dispatcher_count
        return bool(share > 0 and self.chance(1000) > 1000 * share / self.rate(self.asked[request.customer]))

    def rate(self, total: DecayingSum) -> float:
        """Events in a tenth of a millisecond; a young sum is not yet full."""
        filled = 1 - exp(-max(SECOND, self.now - self.start) / total.life)
        return total.read(self.now) / (total.life * filled)

    def place(self, request: Request, _: FunctionReplica | None) -> Input:
        """The design's choice: first with room, else one load on the first cold, else fewest of ours."""
        function, order, in_use = request.function, self.entered(request.function), list[FunctionReplica]()
        first = next(self.candidates(request, order), None)
        for worker in self.candidates(request, [s for s in order if s is first or s in function.replicas]):
            in_use.append(function.replica(worker))
            if in_use[-1].out < self.capacity(in_use[-1]):
                return self.send(request, in_use[-1])
        warm = [s for s in in_use if self.believed(s) and self.now >= s.worker.full_until]
        loads = [s for s in in_use if s.loading]
        zones = [self.zone(s) for s in warm]
        open_ = [s for s, zone in zip(warm, zones, strict=True) if zone is not Zone.UNSAFE]
        calm = min(zones, default=Zone.UNSAFE) < Zone.WARNING
        room = self.loading < (1 if warm else 4) * self.load_limit and self.may_load(bool(warm))
        if not loads and not calm and room:
            cold = self.first_cold(request, order, bool(warm or request.attempts))
            if cold and warm:
                self.order(cold, 1)
            elif cold and not any(c.outcome is Outcome.NOT_LOADED for c in request.attempts):
                return self.send(
                    request, cold
                )  # of those sent on blindly after a miss one in twenty met a copy
        blind = (
            not request.attempts if self.settings.reports_not_loaded else room
        )  # after a miss only what may load
        last = open_ or warm or loads or in_use * blind
        near = [(self.crowd(s.worker), s) for s in last if self.now >= s.worker.full_until]
        fewest = min((wait for wait, _ in near), default=inf)
        if (
            fewest + self.iso(function) * request.scale
            > min(request.began + self.soft(request), request.deadline) - self.now
        ):
            return Input.NOWHERE  # it would wait past what earns its gain, and make others do so
        ties = [s for wait, s in near if wait == fewest]
        replica = ties[self.chance(len(ties))]
        if (
            self.settings.reports_not_loaded and replica.loading and not self.believed(replica)
        ):  # no use before that
            replica.waiters.append(request)
            return Input.WAITS
        return self.send(request, replica)

    def may_load(self, beside: bool = False) -> bool:
        """Within what all front ends share, if told; while the fleet sheds, none `beside` a copy: guards
        against loads that push out what is used, as the door took the pressure; harms where one serves."""
        within = self.fleet.loads_allowed(self.now)
        return within and not (beside and self.fleet.shedding)

    def first_cold(
        self, request: Request, order: Iterable[Worker], to_load: bool = True, missed: bool = False
    ) -> FunctionReplica | None:
        """Where a further copy would go: the first in the order without one that is not Unsafe, and, to load
        it there, whose line of loads is not full; for what waits there also one that it `missed` at."""
        function = request.function
        for worker in self.candidates(request, order, missed):
            replica = function.replicas.get(worker) or FunctionReplica(
                worker, function
            )  # one only looked at is not one used before
            fit = not self.believed(replica) and self.zone(replica) is not Zone.UNSAFE
            if fit and (not to_load or self.now >= worker.line_until):
                return function.replica(worker)
        if function.prefix is not None:
            self.host.extend_prefix(function)
        return None

    def candidates(self, request: Request, order: Iterable[Worker], missed: bool = False) -> Iterator[Worker]:
        """Workers of an order that this RPC may go to; those it has tried only where there is no other."""
        function, miss = request.function, Outcome.NOT_LOADED
        told = [
            c
            for c in request.attempts
            if c.outcome is not miss or not (missed or function.replica(c.worker).copies)
        ]
        tried = {c.worker for c in told}
        trust = 2 * self.suspects <= len(self.serves)  # else don't crowd the rest

        def usable(worker: Worker) -> bool:
            open_ = (
                worker.listing is EndpointState.SERVING
                and worker.held_back.get(request.customer, 0) <= self.now
            )
            fit = open_ and (not trust or self.fit(worker))
            return fit and self.allowed(request, worker) and self.cold_room(worker, request)

        if tried and not any(usable(s) for s in self.walk(request.function) if s not in tried):
            tried.clear()
        return (s for s in order if s not in tried and usable(s))

    def allowed(self, request: Request, worker: Worker) -> bool:
        """Rule 2: where a repeat of an RPC that may have run is dropped."""
        method = self.settings.methods[request.method]
        if request.ran_on is None or method.kind == "idempotent":
            return True
        if method.kind != "tokened" or self.now >= request.ran_at + method.dedup_window:
            return False
        group = {
            "all": True,
            "zone": worker.zone == request.ran_on.zone,
            "cell": worker.cell == request.ran_on.cell,
        }
        return group.get(method.dedup_scope, False)

    def send(self, request: Request, replica: FunctionReplica) -> Input:
        worker, cold = replica.worker, not (self.believed(replica) or self.presumed(replica))
        attempt = Attempt(
            request,
            worker,
            self.now,
            cold,
            replica.out + 1,
            int(self.iso(replica.function) * request.scale) + 1,
        )
        request.attempts.append(attempt)
        replica.begin(attempt)
        if not cold:
            self.under_way[attempt] = None
        self.out, self.loading = self.out + (not cold), self.loading + cold
        if self.warmth_of(worker) < 1:
            worker.sends.append((self.now, self.heft(request)))
        self.host.send_attempt(attempt, self.time_out(request, replica, cold))
        return Input.SENT

    def time_out(self, request: Request, replica: FunctionReplica, cold: bool) -> int:
        """Most of what is left to the soft deadline; longer in a jam, where a time-out only adds work. Who
        meets workers seldom sees no jam and waits for all of it; harms where many are silent."""
        left, method = max(1, request.deadline - self.now), self.settings.methods[request.method]
        if method.kind == "side-effecting" or cold or len(request.attempts) >= self.settings.attempt_limit:
            return left
        usual = max(self.ok_took.read(0), self.iso(replica.function) * request.scale)
        part, usuals = (2 / 3, 4) if self.stretch <= 1 else (1, 8)
        return int(min(left, max((request.began + self.soft(request) - self.now) * part, usuals * usual)))

    def soft(self, request: Request) -> int:
        method = self.settings.methods[request.method]
        stretched = method.soft_deadline + method.soft_stretch * (request.work or 0)
        return int(min(method.deadline, stretched))

    def again(self, request: Request, replica: FunctionReplica | None) -> Input:
        """A further call-out, if tries and time are left and enough of the recent further ones succeeded."""
        out_of = len(request.attempts) >= self.settings.attempt_limit or self.hopeless(request)
        made = self.further.count.read(self.now)
        most = 2 + FURTHER * self.ok_count.read(self.now) * self.further.read(1.0)
        most = min(most, 1 + self.fleet.retries_per_second * MEMORY / SECOND)  # the fleet's budget, if told
        missed = all(c.outcome is Outcome.NOT_LOADED for c in request.attempts)
        return Input.NOWHERE if out_of or (made >= most and not missed) else self.place(request, replica)

    def missed(self, request: Request, replica: FunctionReplica | None) -> Input:
        """After a miss away from the home, where all front ends meet, the home is tried. There a hold of one
        loads, and the RPC waits for it, so it can't overtake the order, unless a load would come too late."""
        if (
            replica is None
            or not self.settings.reports_not_loaded
            or len(request.attempts) >= self.settings.attempt_limit
        ):
            return self.again(request, replica)
        order = self.walk(request.function)
        home = next(self.candidates(request, order, missed=True), None)  # as far as that may be used now
        if (
            home
            and self.presumed(request.function.replica(home))
            and not any(c.worker is home for c in request.attempts)
        ):
            if not self.settings.reports_concurrency:  # else copies are added where it is told that RPCs wait
                self.order(replica, 1)
            return self.send(request, request.function.replica(home))
        late = (
            self.now + (request.function.load or 0) + self.iso(request.function) * request.scale
            > request.deadline
        )
        if not late and not replica.loading:
            replica = self.first_cold(request, order, missed=True) or replica
        if late or not (replica.loading or self.order(replica, 1)):
            return self.again(request, replica)
        replica.waiters.append(request)
        return Input.WAITS

    def park(self, request: Request, _: FunctionReplica | None) -> None:
        self.host.set_timer(max(1, int(request.deadline - self.now - self.iso(request.function))), request)

    def give_up(self, request: Request, _: FunctionReplica | None) -> None:
        """Answered at once: denied where that is provably harmless, else aborted."""
        method = self.settings.methods[request.method]
        repeats = method.kind == "idempotent" or (method.kind, method.dedup_scope) == ("tokened", "all")
        if request.ran_on is None or repeats:
            self.host.reject(request, self.settings.max_retry_after if self.settings.may_retry_after else 0)
        else:
            self.host.abort(request)

    def on_timer(self, token: object) -> None:
        if isinstance(token, Request):
            self.drive(token, Input.LATE if token.state is State.PARKED else None)
        elif isinstance(token, Function):
            self.hold(token)
        else:
            self.follow()

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, answer: Answer) -> None:
        request, worker = attempt.request, attempt.worker
        replica, attempt.outcome = request.function.replica(worker), outcome
        replica.end(attempt)
        self.under_way.pop(attempt, None)
        self.out, self.loading = self.out - (not attempt.cold), self.loading - attempt.cold
        if outcome is not Outcome.TIMED_OUT:
            worker.unheard = self.now if worker.warm else None
        self.learn(replica, attempt, outcome, answer)
        if MEANING[outcome] is Input.MAY_HAVE_RUN and request.ran_on is None:
            request.ran_on, request.ran_at = worker, attempt.sent
        if answer.over:
            self.on_client_gone(request)
        self.drive(request, MEANING[outcome], replica)
        if replica.waiters and not replica.ordered and not replica.loading:
            self.release(replica)

    def learn(self, replica: FunctionReplica, attempt: Attempt, outcome: Outcome, answer: Answer) -> None:
        worker, function, request = replica.worker, replica.function, attempt.request
        worker.remember(int(MEMORY * self.stretch))
        load = attempt.cold if not self.settings.reports_warmth else answer.warmth is not LoadState.LOADED
        if outcome is Outcome.OK:
            replica.copies, replica.seen = max(self.believed(replica), 1), self.now
            if not load and attempt.company <= 1:
                self.light[request.method].add(self.now, answer.took)
            if (
                worker.listing is EndpointState.SERVING and self.light[request.method].count.value
            ):  # else a guess
                self.ok_weight.add(self.now, self.weight(request.method) / max(self.warm(), 1e-9))
            self.ok_count.add(self.now, 1)
            self.ok_took.add(self.now, answer.took)
            worker.served.add(self.now, 1)
            worker.full_until = 0
        if (
            outcome is Outcome.OK
            and answer.company is not None
            and answer.took > self.bound(function) * request.scale
        ):
            self.grow(replica, request, answer.company)
        if attempt is not request.attempts[0] and outcome is not Outcome.NOT_LOADED:
            self.further.add(self.now, outcome is Outcome.OK)
        if attempt.cold and outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMED_OUT):
            sure = self.settings.reports_warmth or self.settings.reports_not_loaded
            if sure or self.worker_zone(replica) < Zone.WARNING:  # else its queue may be what was slow
                self.judge_load(function, outcome is Outcome.OK, answer.took)
        worker.emptied = self.now if outcome in self.died else worker.emptied
        if outcome is Outcome.NOT_LOADED:
            replica.copies, replica.missing = 0, self.now
        alone = len(self.settings.customers) < 2  # then no customer is held back for the others' sake
        if outcome is Outcome.REJECTED and (alone or answer.took < self.weight(request.method) / 4):
            worker.full_until = self.now + FULL  # its queue is, for all, until the next ok answer
        elif outcome is Outcome.REJECTED:  # with room, but it holds this customer back
            worker.held_back[request.customer] = self.now + int(BACKOFF * self.stretch)
        if self.stretch > 1 and "backlog" in answer.report:  # others' RPCs there, over the pace of its size
            pace = (
                self.rate(self.ok_count)
                * self.settings.dispatcher_count
                * worker.size
                / (self.region.size or 1)
            )
            worker.timed(
                self.now, self.iso(function) + answer.report["backlog"] / max(pace, 1e-9), self.iso(function)
            )
        skip = outcome in (Outcome.NOT_LOADED, Outcome.NOT_SENT) or (outcome is Outcome.OK and load)
        if skip or answer.warmth is LoadState.LOAD_FAILED:
            return
        bound = self.bound(function) * request.scale
        took = answer.took if outcome is Outcome.OK else max(answer.took, int(bound))
        worker.timed(self.now, took, self.iso(function) * request.scale)
        if outcome is not Outcome.REJECTED:
            replica.window = [*replica.window[1 - WINDOW :], int(took / request.scale)]
            self.judge_zone(replica)
            harm = outcome not in (Outcome.OK, Outcome.CANCELLED) or took > bound
            self.judge_health(worker, harm, attempt.sent)

    def grow(self, replica: FunctionReplica, request: Request, company: int) -> None:
        """A copy on the next worker of the order where RPCs of all front ends wait for a lane: guards against
        front ends that each see too little of a function to know it is hot; harms where waits are short."""
        if company < self.believed(replica) * replica.function.lanes or self.loading >= self.load_limit:
            return
        if (cold := self.first_cold(request, self.entered(replica.function))) and not cold.loading:
            self.order(cold, 1)

    def weight(self, method: int) -> float:
        return max(1.0, self.light[method].read(self.settings.methods[method].soft_deadline / 4))

    def iso(self, function: Function) -> float:
        """One tick of the clock at the least: guards against answers that come within one."""
        return max(1.0, function.iso) if function.iso is not None else self.weight(function.method)

    def bound(self, function: Function) -> float:
        iso, soft = self.iso(function), self.settings.methods[function.method].soft_deadline
        return max(EASE * iso, iso + REACH * (soft - iso))

    def judge_zone(self, replica: FunctionReplica) -> None:
        iso = self.iso(replica.function)
        if replica.zone is not Zone.UNSAFE:
            replica.zone = self.quarter(
                replica.function, (sum(replica.window) + PRIOR * iso) / (len(replica.window) + PRIOR)
            )
            replica.until = self.now + int(BACKOFF * self.stretch)

    def quarter(self, function: Function, average: float) -> Zone:
        iso = self.iso(function)
        return Zone(max(1, min(4, 1 + int(4 * (average - iso) / (self.bound(function) - iso)))))

    def zone(self, replica: FunctionReplica) -> Zone:
        if replica.zone is Zone.UNSAFE and self.now >= replica.until:
            replica.zone = Zone.WARNING
            replica.window.clear()
        return (
            Zone.UNSAFE
            if self.now < replica.worker.full_until
            else max(replica.zone, self.worker_zone(replica))
        )

    def worker_zone(self, replica: FunctionReplica) -> Zone:
        """By all functions' latencies and what is out: own windows fill slowly; harms if one is slow."""
        worker, iso = replica.worker, self.iso(replica.function)
        took, alone = worker.took_so_far(self.now, WINDOW)
        average = iso * (took + PRIOR * iso) / (alone + PRIOR * iso)
        return self.quarter(replica.function, max(average, self.crowd(worker)))

    def crowd(self, worker: Worker) -> float:
        """How long one more would wait there: ours, over the pace they come back at, or one by one."""
        pace = max(self.rate(worker.served), self.rate(self.ok_count) * worker.size / max(self.size, 1e-9))
        return len(worker.warm) / max(pace, len(worker.warm) / worker.warm_iso) if worker.warm else 0.0

    def believed(self, replica: FunctionReplica) -> int:
        """Copies believed to stand: an idle one goes after the idle life, a restart leaves none."""
        idle = not replica.out and self.now - replica.seen > self.settings.idle_timeout * self.stretch
        replica.copies = 0 if idle or replica.seen <= replica.worker.emptied else replica.copies
        return replica.copies

    def presumed(self, replica: FunctionReplica) -> bool:
        """Others, who share the order, may keep one warm: a guess, made where a miss answer is cheap."""
        told = 2 * (replica.function.load or self.load_took.read(self.settings.idle_timeout / 2))
        lately = self.now - max(replica.missing, replica.worker.emptied) <= told
        return self.stretch > 1 and self.settings.reports_not_loaded and not lately

    def capacity(self, replica: FunctionReplica) -> int:
        copies = self.believed(replica) or int(self.presumed(replica))
        zone = self.zone(replica) if copies else Zone.UNSAFE
        if zone is Zone.UNSAFE:
            return 0
        return min(1, copies) if zone is Zone.WARNING else copies * replica.function.lanes

    def judge_health(self, worker: Worker, harm: bool, sent: int) -> None:
        """Errors, silence, lost connections and slowness are one symptom: own outcomes there go badly."""
        for outcomes in (worker, self):
            (outcomes.bad if harm else outcomes.good).add(self.now, 1)
        if not worker.suspect:
            sums = (worker.bad, worker.good, self.bad, self.good)
            bad, good, all_bad, all_good = (total.read(self.now) for total in sums)
            share = max(BAD_SHARE, 2 * all_bad / max(all_bad + all_good, 1))
            worker.suspect = bad > 1.5 and bad > share * (bad + good)
            self.suspects, worker.due = self.suspects + worker.suspect, self.now + worker.pause
            if worker.suspect:
                self.host.log(f"{worker.name} suspect: {bad:.1f} bad, {good:.1f} good, fleet {all_bad:.0f}")
        elif sent >= worker.due and harm:
            worker.pause = min(2 * worker.pause, 8 * SECOND)
            worker.due = self.now + worker.pause
        elif sent >= worker.due:
            self.clear(worker)

    def fit(self, worker: Worker) -> bool:
        """Neither suspect nor silent; such a one gets one call-out at a time once its pause is over."""
        silence = 0 if worker.unheard is None else self.now - worker.unheard
        if silence and silence > 4 * max(self.weight(m) for m in range(len(self.light))):
            return silence > LONG and not worker.out  # with nothing out it could not break its silence
        return not worker.suspect or (
            self.now >= worker.due + (0 if worker.trial else LONG) and not worker.out
        )

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """Others found it fit. Guards against crowds of trials; harms where it fails us alone."""
        if worker.suspect and at > worker.due - worker.pause:  # since we judged it
            self.clear(worker)

    def clear(self, worker: Worker) -> None:
        worker.suspect, worker.pause, worker.bad, self.suspects = (
            False,
            SECOND,
            DecayingSum(MEMORY),
            self.suspects - 1,
        )
        self.host.log(f"{worker.name} fit again")

    def warmth_of(self, worker: Worker, before: int = 0) -> float:
        """The part of its capacity that a worker has at the least, or had that long `before`."""
        if worker.booted is None or not self.settings.slow_start_duration:
            return 1.0
        least, age = self.settings.slow_start_share, max(0, self.now - before - worker.booted)
        return min(1.0, least + (1 - least) * age / self.settings.slow_start_duration)

    def warm(self) -> float:
        """The size of all that serve by their warmth; a tenth of a second old at most."""
        if self.region is self and (self.weighed < 0 or self.now - self.weighed > SECOND // 10):
            self.weighed, self.warm_size = self.now, sum(s.size * self.warmth_of(s) for s in self.serves)
        return float(self.region.warm_size)

    def heft(self, request: Request) -> float:
        """What it puts on a cold worker: guards against heavy functions; harms where one is merely slow."""
        windows = (
            [s.window for s in request.function.replicas.values() if s.window]
            if request.function.iso is None
            else []
        )
        young = min((sum(w) / len(w) for w in windows), default=0.0)
        return max(self.weight(request.method), max(self.iso(request.function), young) * request.scale)

    def cold_room(self, worker: Worker, request: Request) -> bool:
        """Rule 4: what all get answered for each unit of size and warmth is within capacity, and each keeps
        to its part of that as the window began; parts under one go by turns, one mean call in all at the
        least. Who restarted forgot what it sent: none for a window."""
        window = self.settings.overload_window
        if self.warmth_of(worker) >= 1:
            return True
        taken = (
            self.rate(self.ok_weight)
            * worker.size
            * (max(worker.booted or 0, self.now - window) >= self.start)
        )
        most = self.settings.overload_factor * self.warmth_of(worker, window) * window * taken
        weight, usual, all_ = self.heft(request), self.weight(request.method), self.settings.dispatcher_count
        turn = (
            (self.settings.instance_index + 0.5) / all_ + GOLDEN * (self.now // max(1, window) + worker.place)
        ) % 1
        return worker.sent_since(self.now - window) + weight * turn <= max(CAUTION * most, usual / all_)

    def order(self, replica: FunctionReplica, count: int, part: float = 1.0) -> bool:
        """Rules 3 and 5: an order goes to a serving worker only, and only within the budget of orders. What
        counts is where they cross: one without answer may be about to, and RPCs are older there by then."""
        window, lag = self.settings.preload_window, self.settings.preload_delay
        del self.orders[: bisect_right(self.orders, self.now - window - lag)]
        del self.taken[: bisect_right(self.taken, self.now - window + lag)]
        most = part * (self.settings.preload_free + self.settings.preload_share * len(self.taken))
        room = self.settings.may_preload and (not window or len(self.orders) + self.pending + 1 <= most)
        load = count > self.believed(replica)
        shut = load and (self.now < replica.worker.line_until or not self.may_load())
        if not room or replica.worker.listing is not EndpointState.SERVING or shut:
            return False
        self.pending += 1
        replica.ordered.append(Order(self.now, load))
        replica.loading, self.loading = replica.loading + load, self.loading + load
        self.host.preload(replica.worker, replica.function, min(16, count))
        return True

    def on_preload_finished(
        self, worker: Worker, function: Function, outcome: Outcome, count: int, took: int
    ) -> None:
        replica = function.replica(worker)
        order, self.pending = replica.ordered.popleft(), self.pending - 1
        load, late = order.load, took - 2 * self.load_took.read(took)  # it may have lain on the way
        insort(self.orders, order.sent + max(0, int(late)))
        if load and outcome is Outcome.OK:
            self.load_took.add(self.now, took)
        replica.loading, self.loading = replica.loading - load, self.loading - load
        self.judge_load(function, outcome is not Outcome.ERROR, took)
        if load:  # guards the ration, and RPCs in wait, against a worker whose line of loads is full
            worker.line_until = self.now + FULL if outcome is Outcome.REJECTED else 0
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR):
            replica.copies, replica.seen, replica.missing = (
                count,
                self.now,
                replica.missing if count else self.now,
            )
        elif outcome in self.died:
            worker.emptied = self.now
            self.judge_health(worker, True, self.now)
        elif outcome is Outcome.RESET:  # the order itself stands
            replica.copies, replica.seen = max(1, replica.copies), self.now
        self.release(replica)

    def release(self, replica: FunctionReplica) -> None:
        """What waited for a load is placed anew once that, or what might have begun it, has ended."""
        for request in replica.freed():
            self.drive(request, Input.LOADED, replica)

    def judge_load(self, function: Function, ok: bool, took: int) -> None:
        """Slow or failing loads mean fewer at once, as all share one store; harms if it is not the cause."""
        if not ok or took > self.settings.methods[function.method].deadline / 2:
            self.load_limit = max(1.0, 0.9 * self.load_limit)
        elif took > self.iso(function):
            self.load_limit = min(len(self.known), self.load_limit + 1 / self.load_limit)

    def renew_iso(self, function: Function) -> None:
        """The median window average at light own load, slowly renewed."""
        windows = (s.window for s in function.replicas.values() if len(s.window) > 2 and s.out < 2)
        if averages := sorted(sum(w) / len(w) for w in windows):
            median = averages[len(averages) // 2]
            function.iso = median if function.iso is None else function.iso + 0.2 * (median - function.iso)

    def hold(self, function: Function) -> None:
        """Each period, unless loads for waiting RPCs need the room: what was used, and part of the spare."""
        used = {s: ceil(s.peak / function.lanes) for s in function.replicas.values() if s.peak}
        for replica in list(function.replicas.values()):
            replica.peak, in_use = (
                replica.out,
                replica.out or replica.ordered or replica.waiters or self.believed(replica),
            )
            if not in_use and self.now > max(replica.until, replica.missing + self.settings.idle_timeout):
                function.drop(replica.worker)
        if not function.replicas:  # what it takes alone is kept, what stands where is learnt anew
            del self.functions[function]
            function.marks, function.order, function.version = {}, [], -1
            return
        self.host.set_timer(PERIOD, function)
        if not used:
            return
        self.renew_iso(function)
        spare, left = divmod(ceil(sqrt(sum(used.values()))), self.settings.dispatcher_count)
        spare += self.chance(self.settings.dispatcher_count) < left
        for worker in self.walk(function):
            wanted = (
                worker.listing is EndpointState.SERVING
                and (spare or worker in function.replicas)
                and self.fit(worker)
            )
            if not wanted or self.zone(replica := function.replica(worker)) is Zone.UNSAFE:
                continue
            count, spare = used.get(replica, 0) + spare, 0
            room = self.loading < self.load_limit and self.may_load(True)
            if room if count > self.believed(replica) else count > used.get(replica, 0):
                self.order(replica, count, HOLD_PART)

    def learnt(self) -> list[tuple[float, float]]:
        """For each method the latency of a usual RPC alone and the usual hint: what outlives a restart."""
        return [(a.read(0.0), b.read(0.0)) for a, b in zip(self.light, self.hints, strict=True)]

    def recall(self, learnt: Sequence[tuple[float, float]]) -> None:
        """Each figure counts as one sample, so that the first answers outweigh it; 0 is none."""
        for kept, means in zip(learnt, zip(self.light, self.hints, strict=True), strict=True):
            for figure, mean in zip(kept, means, strict=True):
                if figure > 0:
                    mean.add(self.now, figure)

    def on_endpoints_failed(self) -> None: ...  # asked anew when the next renewal is due
    def on_health_check(
        self, worker: Worker, outcome: Outcome, took: int, report: Mapping[str, float]
    ) -> None: ...
    def on_gossip(self, peer: int, text: str) -> None: ...


Effect = Callable[[Dispatcher, Request, FunctionReplica | None], Input | None]
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
