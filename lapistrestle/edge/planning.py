"""The connection to the planner: beats out, plans in. What they mean is decided in `rollout.routing`."""

from typing import Any

from lapistrestle.edge.sources import Source
from lapistrestle.rollout.routing import Routing, named
from lapistrestle.rollout.versions import Split
from lapistrestle.state import Srv
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.lines import Speaker, union

BEAT = 2_000  # tenths of a millisecond
TELL = 10_000  # between two tellings of counts, and between two looks at what is kept loaded
KEEP = 2  # workers on which either version of an unsettled function is kept, besides those it is used on


class PlannerSpeaker(Speaker):
    protocol = plans.PLANNER
    decoder = union(plans.FromPlanner)

    def __init__(self, source: "PlannerSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name, start=self.source.start_name)

    def met(self, hello: wire.Hello) -> None:
        self.source.beat(None, once=True)

    def heard(self, message: Any) -> None:
        self.source.edge.input()
        match message:
            case plans.Plan():
                self.source.told(message)
            case plans.Beat():
                self.source.routing.lease.beat(message.asked, self.source.edge.clock())

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
        self.start_name = f"{edge.name}-{edge.clock()}"
        edge.after(BEAT, self.beat, None)
        edge.after(TELL, self.tell, None)

    def speak(self) -> PlannerSpeaker:
        return PlannerSpeaker(self)

    def beat(self, _: object, once: bool = False) -> None:
        self.say(plans.Beat(self.edge.clock(), self.routing.number))
        if not once and not self.stopped:
            self.edge.after(BEAT, self.beat, None)

    def told(self, plan: plans.Plan) -> None:
        splits = [
            Split(s.fn, s.settled, s.candidate, s.share, s.peak, s.withdrawn, s.step) for s in plan.shares
        ]
        barred = self.routing.told(plan.epoch, plan.number, plan.whole, splits)
        if barred is None:
            self.edge.log("plan passed over", epoch=plan.epoch, number=plan.number, has=self.routing.number)
            return
        self.edge.log("plan", epoch=plan.epoch, number=plan.number, shares=len(self.routing.splits))
        for name in barred:
            self.withdraw(name)
        self.say(plans.Beat(self.edge.clock(), self.routing.number))

    def withdraw(self, name: str) -> None:
        """Nothing new goes there from now on: RPCs that wait for its loads move, its copies may go."""
        fn = self.edge.host.door.fns.get(name)
        for seat in list(self.edge.seats):
            for ticket in list(seat.open.values()):
                if ticket.fn is fn and not ticket.flights and ticket.ran_on is None:
                    self.edge.host.retract(ticket)
                    self.edge.move(ticket)
        for spot in list(fn.spots.values()) if fn is not None else ():
            self.edge.unload(spot.srv, fn)

    def tell(self, _: object) -> None:
        """How versions do, and keep both of an unsettled function loaded."""
        now = self.edge.clock()
        for fn, candidate, step, minute, tally in self.routing.tell(now):
            self.say(plans.Counts(fn, candidate, step, minute, tally))
        for split in self.routing.splits.values():
            if split.candidate and not split.withdrawn and self.routing.lease.usable(now):
                stands = self.keep(split)
                if stands:
                    self.say(plans.Warm(split.fn, split.candidate))
        if not self.stopped:
            self.edge.after(TELL, self.tell, None)

    def keep(self, split: Split) -> bool:
        """Orders go through the module, so that rules 3 and 5 are kept by the one that counts. True once a
        copy of the candidate stands, or where orders are not allowed and only calls load."""
        module, door = self.edge.host.module, self.edge.host.door
        model = door.fns.get(named(split.fn, split.settled)) or door.fns.get(split.fn)
        if model is None:
            return False
        stands = 0
        for version in (split.candidate, split.settled):
            fn = door.fn(named(split.fn, version), model.method, model.memory, model.lanes)
            serving: list[Srv] = [s for s in module.walk(fn) if s.listing.name == "SERVING"][:KEEP]
            for srv in serving:
                spot = fn.spot(srv)
                stale = module.now - spot.seen > self.edge.facts["idle_life"] // 3
                if not spot.ordered and (stale or not module.believed(spot)):
                    self.edge.host.ask(module.order, spot, max(1, module.believed(spot)))
                stands += version == split.candidate and module.believed(spot) > 0
        return stands > 0 or not self.edge.facts["may_order"]


