"""The connection to the planner: beats out, plans in. What they mean is decided in `rollout.routing`."""

from pathlib import Path
from typing import Any

from lapistrestle.edge.sources import Source
from lapistrestle.policy.state import Function, Worker
from lapistrestle.rollout import stock
from lapistrestle.rollout.routing import Routing, named
from lapistrestle.rollout.versions import Split
from lapistrestle.store.plans import Kept, PlanFile
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.lines import Speaker, union

BEAT = 2_000  # tenths of a millisecond
TELL = 10_000  # between two tellings of counts, and between two looks at what is kept loaded
UNHEARD = 30_000  # a connection on which no beat was answered for so long is dialled anew


class PlannerSpeaker(Speaker):
    protocol = plans.PLANNER
    decoder = union(plans.FromPlanner)

    def __init__(self, source: "PlannerSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name, start=self.source.start_name)

    def met(self, hello: wire.Hello) -> None:
        self.source.heard = self.source.edge.clock()
        self.source.beat(None, once=True)

    def heard(self, message: Any) -> None:
        self.source.edge.input()
        match message:
            case plans.Plan():
                self.source.told(message)
            case plans.Beat():
                self.source.heard = self.source.edge.clock()
                self.source.routing.lease.beat(message.asked, self.source.heard)

    def unreadable(self, line: bytes, why: str) -> None:
        """It may have been a plan: dial anew and be told all."""
        self.source.edge.passed_over("planner", why)
        self.cut("unreadable")

    def lost(self) -> None:
        self.source.lost(self)


class PlannerSource(Source):
    """Follows the planner at one port and tells it how versions do."""

    def __init__(self, edge: Any, port: int) -> None:
        super().__init__(edge, port)
        self.routing: Routing = edge.routing
        self.wants: dict[str, stock.Want] = {}  # by name of a version
        self.heard = 0  # when a beat was answered last
        self.start_name = f"{edge.name}-{edge.clock()}"
        self.began = edge.clock()
        keep = edge.deployment.planner.keep
        self.file = PlanFile(Path(keep)) if keep else None
        self.recall()
        edge.after(BEAT, self.beat, None)
        edge.after(TELL, self.tell, None)

    def recall(self) -> None:
        try:
            kept = self.file.read() if self.file else None
        except (OSError, ValueError) as trouble:
            return self.edge.log("kept plan can't be read", why=str(trouble))
        if kept is not None:
            splits = [plans.split_of(share) for share in kept.shares]
            self.routing.recall(kept.epoch, kept.number, splits, kept.barred)
            self.edge.log("kept plan", epoch=kept.epoch, number=kept.number, shares=len(kept.shares))

    def keep_plan(self) -> None:
        """An edge whose disk fails goes on from what it has in memory."""
        if self.file is None:
            return
        routing = self.routing
        shares = [plans.shown(split) for split in routing.splits.values()]
        try:
            self.file.write(Kept(routing.epoch, routing.number, shares, sorted(routing.barred_names)))
        except OSError as trouble:
            self.edge.log("plan not kept", why=str(trouble))

    def unplanned(self) -> bool:
        return self.routing.unplanned(self.edge.clock() - self.began)

    def speak(self) -> PlannerSpeaker:
        return PlannerSpeaker(self)

    def beat(self, _: object, once: bool = False) -> None:
        if self.speaker is not None and self.speaker.greeted and self.edge.clock() - self.heard > UNHEARD:
            self.speaker.cut("no beat was answered")
        self.say(plans.Beat(self.edge.clock(), self.routing.number))
        if not once and not self.stopped:
            self.edge.after(BEAT, self.beat, None)

    def told(self, plan: plans.Plan) -> None:
        splits = [plans.split_of(share) for share in plan.shares]
        barred = self.routing.told(plan.epoch, plan.number, plan.whole, splits)
        if barred is None:
            self.edge.log("plan passed over", epoch=plan.epoch, number=plan.number, has=self.routing.number)
            return
        self.edge.log("plan", epoch=plan.epoch, number=plan.number, shares=len(self.routing.splits))
        for name in barred:
            self.withdraw(name)
        self.say(plans.Beat(self.edge.clock(), self.routing.number))
        self.keep_plan()

    def withdraw(self, name: str) -> None:
        """Nothing new goes there from now on: RPCs that wait for its loads move, its copies may go."""
        function = self.edge.host.registry.functions.get(name)
        for seat in list(self.edge.seats):
            for pending in list(seat.open.values()):
                if pending.function is function and not pending.in_flight and pending.ran_on is None:
                    self.edge.host.retract(pending)
                    self.edge.move(pending)
        for replica in list(function.replicas.values()) if function is not None else ():
            self.edge.unload(replica.worker, function)

    def tell(self, _: object) -> None:
        """How versions do, and keep both of an unsettled function loaded."""
        now = self.edge.clock()
        for function, candidate, step, minute, tally in self.routing.tell(now):
            self.say(plans.Counts(function, candidate, step, minute, tally))
        open_ = [split for split in self.routing.splits.values() if split.candidate]
        names = {named(s.function, version) for s in open_ for version in (s.candidate, s.settled)}
        self.wants = {name: want for name, want in self.wants.items() if name in names}
        for split in open_:
            share, lacks = self.keep(split)
            if stock.phase(split) is stock.Phase.LOADING and self.routing.lease.usable(now):
                self.say(plans.Warm(split.function, split.candidate, share, lacks))
        if not self.stopped:
            self.edge.after(TELL, self.tell, None)

    def keep(self, split: Split) -> tuple[float, str]:
        """Have the copies that `rollout.stock` wants; the share that they stand for, and what is missing.

        Orders go through the module, so that rules 3 and 5 are kept by the one that counts. Where they are
        not allowed only calls load; an edge that has met no RPC of the function needs nothing.
        """
        module, registry = self.edge.host.module, self.edge.host.registry
        module.now = self.edge.clock()
        versions = (split.candidate, split.settled)
        known = [
            function
            for name in (*versions, "")
            if (function := registry.functions.get(named(split.function, name))) is not None
        ]
        if not known or not self.edge.settings.may_preload:
            return split.next, ""
        model = known[-1]
        busy = sum(function.asked.read(module.now) / function.asked.life for function in dict.fromkeys(known))
        busy *= stock.heavier(module.iso(model), module.weight(model.method))
        shares = [split.next if part is None else part for part in stock.WANTED[stock.phase(split)]]
        stands = [
            self.keep_version(named(split.function, version), model, busy, share)
            for version, share in zip(versions, shares, strict=True)
        ]
        lacking = next((stand for stand in stands if not stand.enough), None)
        if lacking is None:
            alone = [
                function.iso if (function := registry.functions.get(named(split.function, name))) else None
                for name in versions
            ]
            slower = stock.slower(*alone)
            return (split.share, slower) if slower else (split.next, "")
        name = versions[stands.index(lacking)] or split.function
        has = f"{name} has {lacking.standing} of {lacking.wanted} copies"
        return split.share, f"{has}; {stock.SAYS[lacking.lacks]}"

    def keep_version(self, name: str, model: Function, busy: float, share: float) -> stock.Stand:
        edge, module = self.edge, self.edge.host.module
        if self.edge.barred(name) or not share:
            return stock.Stand(0, 0, stock.Lack.NOTHING)
        function = edge.host.registry.function(name, model.method, model.memory, model.lanes)
        if edge.directory is not None and not edge.directory.ready(function, edge.method_names[model.method]):
            edge.directory.act()
            return stock.Stand(stock.APART, 0, stock.Lack.WORKERS)  # its prefix is being looked up
        memory, idle_life = edge.settings.memory_by_kind, edge.settings.idle_timeout
        shelves: dict[stock.Shelf, Worker] = {}
        for worker in module.walk(function):
            if worker.listing.name != "SERVING" or not module.fit(worker):
                continue
            size = memory[worker.kind] if worker.kind < len(memory) else 0.0
            shelf = stock.Shelf(0, stock.room(size, function.memory), cold=module.warmth_of(worker) < 1)
            if (replica := function.replicas.get(worker)) is not None:
                shelf.standing, shelf.waiting = module.believed(replica), bool(replica.ordered)
                shelf.fresh = module.now - replica.seen <= idle_life // 3
            shelves[shelf] = worker

        def order(shelf: stock.Shelf, count: int) -> bool:
            ordered: bool = module.order(function.replica(shelves[shelf]), count, stock.ORDER_PART)
            return ordered

        now = stock.needed(busy, share, function.lanes, edge.settings.dispatcher_count)
        wanted = self.wants.setdefault(name, stock.Want()).follow(now)
        stand = stock.keep(list(shelves), wanted, module.load_limit - module.loading, order)
        if edge.directory is not None and not stand.enough:
            edge.directory.more(name)
        return stand
