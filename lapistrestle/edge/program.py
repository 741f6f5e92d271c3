"""The edge: listens for clients, keeps connections to runners and roster, hosts an instance of the module."""

from collections.abc import Callable
from typing import Any

from lapistrestle.choice import Dispatcher
from lapistrestle.deployment.load import facts
from lapistrestle.deployment.shape import Deployment
from lapistrestle.edge.clients import Clients, ClientSpeaker
from lapistrestle.edge.following import Do, Following, News
from lapistrestle.edge.keeping import Keeping
from lapistrestle.edge.linking import Input
from lapistrestle.edge.peers import Peers
from lapistrestle.edge.planning import PlannerSource
from lapistrestle.edge.rosters import RosterSource
from lapistrestle.edge.runners import Runner, bounds_of
from lapistrestle.hosting.host import ABORTED, DENIED, Errand, Flight, Hosting, Ticket
from lapistrestle.hosting.timers import Timer
from lapistrestle.hosting.turns import Turns
from lapistrestle.interface import FnFacts, Outcome, SrvFacts
from lapistrestle.rollout.routing import Route, Routing
from lapistrestle.rollout.versions import Course, after_denial, key_of
from lapistrestle.wire import messages as wire

Log = Callable[..., None]
TENTHS = 10_000  # of a millisecond in a second


class Edge:
    """One front end on one reactor, whose clock must be monotonic: one set back would hold the timers."""

    def __init__(
        self, reactor: Any, deployment: Deployment, log: Log, seed: int | None = None,
        make: Callable[..., Any] = Dispatcher,
    ) -> None:  # fmt: skip
        place = deployment.dispatcher
        self.reactor, self.deployment, self.log, self.name = reactor, deployment, log, place.name
        self.facts, self.bounds = facts(deployment), bounds_of(deployment.listen)
        self.methods = {name: i for i, name in enumerate(deployment.methods)}
        self.customers = {name: i for i, name in enumerate(deployment.customers)}
        self.margin = int(deployment.listen.margin)
        kinds = list(deployment.workers.memory_by_kind)
        self.following = Following(deployment.zones, kinds, lambda text: log("roster", figures=text))
        self.runners: dict[str, Runner] = {}
        self.seats: dict[ClientSpeaker, None] = {}
        self.counts = dict.fromkeys(("turned away", "unreadable", "passed over"), 0)
        self.stopping = False
        self.stopped: Callable[[], None] | None = None
        self.listening: Any = None
        self.heard = 0  # inputs so far
        self.turns, self.next_turn, self.turn_at = Turns(), None, -1
        self.source: RosterSource | None = None
        self.planner: PlannerSource | None = None
        self.routing = Routing()
        self.peers = Peers(self) if self.facts["may_tell_peers"] else None
        seed = place.seed if seed is None else seed
        self.host = Hosting(self, self.facts, seed, self.clock, self.margin // 2, make)
        self.keeping = Keeping(self, place.keep) if place.keep else None

    def clock(self) -> int:
        return int(self.reactor.seconds() * TENTHS + 0.001)  # 0.3 ms must not read as 2.99 tenths

    def start(self) -> int:
        """Listen, and follow the roster. Returns the port."""
        deployment = self.deployment
        self.listening = self.reactor.listenTCP(deployment.listen.port, Clients(self), interface="127.0.0.1")
        if deployment.roster.port:
            self.source = RosterSource(self, deployment.roster.port)
            self.source.wanted = self.facts["list_asked"]
            self.source.start()
        if deployment.planner.port:
            self.planner = PlannerSource(self, deployment.planner.port)
            self.planner.start()
        port: int = self.listening.getHost().port
        self.log("listening", port=port, edge=self.name)
        return port

    # turns and timers

    def input(self) -> None:
        self.heard += 1

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = self.host.timers.at(self.clock() + delay, call, arg)
        self.wake()
        return timer

    def wake(self) -> None:
        """Have the reactor call `turn` when the next timer is due."""
        due = self.host.timers.next()
        if due is None or (self.next_turn is not None and self.turn_at <= due):
            return
        if self.next_turn is not None:
            self.next_turn.cancel()
        self.turn_at = due
        self.next_turn = self.reactor.callLater(max(0.0, due / TENTHS - self.reactor.seconds()), self.turn)

    def turn(self) -> None:
        self.next_turn = None
        due, now = self.host.timers.next(), self.clock()
        if due is not None and due <= now:
            if not self.turns.may_fire(now, due, self.heard):
                self.turn_at = due
                self.next_turn = self.reactor.callLater(0, self.turn)
                return
            self.host.turn()
        self.wake()

    # the list and the runners

    def list_told(self, message: wire.Whole | wire.Change) -> Do:
        taken = self.following.told(message, self.clock())
        if taken.do is Do.TAKE:
            self.host.listed(taken.facts, taken.whole)
            for name, port, start in taken.addresses:
                self.address(name, port, start)
            self.held_back(taken.facts)
        return taken.do

    def list_news(self, news: News) -> None:
        self.input()
        if self.following.step(news) is Do.TELL_FAILED:
            self.host.list_failed()

    def address(self, name: str, port: int, start: str) -> None:
        """A runner listens here now. At another port it is another process; the old link ends its calls."""
        runner = self.runners.get(name)
        if runner is not None and (port == 0 or runner.port != port):
            del self.runners[name]
            runner.linking.step(Input.DROPPED)
            runner = None
        if runner is None and port and not self.stopping:
            runner = self.runners[name] = Runner(self, name, port, start)
            runner.linking.step(Input.NAMED)

    def held_back(self, told: tuple[SrvFacts, ...]) -> None:
        """Lines that wait for a runner that drains are not sent later: rule 3 binds at the socket."""
        for facts_ in told:
            if facts_.listing.name != "SERVING" and facts_.name in self.runners:
                self.runners[facts_.name].linking.give_back()

    def runner_met(self, name: str, hello: wire.Hello) -> None:
        told = self.following.met(name, hello.start, hello.up_for, hello.draining, self.clock())
        if told:
            self.host.listed(told, whole=False)
            self.held_back(told)

    def runner_drains(self, name: str, start: str) -> None:
        told = self.following.drains(name, start)
        if told:
            self.host.listed(told, whole=False)
            self.held_back(told)

    def passed_over(self, name: str, why: str) -> None:
        self.counts["passed over"] += 1
        if self.counts["passed over"] <= 100:
            self.log("passed over", peer=name, why=why[:200])

    # versions

    def route(self, call: wire.Call, seat: ClientSpeaker, method: int) -> Route:
        key = key_of(call.key, call.token, f"{seat.name}/{call.id}")
        return self.routing.route(
            call.fn, key, self.kind(method), call.repeat, self.clock(), self.span(call)
        )

    def kind(self, method: int) -> str:
        kind: str = self.facts["methods"][method]["kind"]
        return kind

    def span(self, call: wire.Call) -> bool:
        """Whether one version knows the tokens of another."""
        return self.deployment.methods[call.method].repeats_across_versions

    def take(
        self, seat: ClientSpeaker, call: wire.Call, method: int, customer: int, left: int, route: Route,
        moved: bool = False, before: int = 0,
    ) -> None:  # fmt: skip
        """An RPC begins, or begins again under another version."""
        ticket = self.host.arrived(
            seat=seat, asked=call, tag=f"{seat.name}/{call.id}", fn=route.name, method=method,
            customer=customer, left=left, memory=call.memory, lanes=call.lanes,
            work=None if call.work is None else max(1, int(call.work * 10)), repeat=call.repeat, route=route,
            moved=moved, before=before, load=None if call.load is None else int(call.load * 10),
        )  # fmt: skip
        if not ticket.final:
            seat.open[call.id] = ticket

    def move(self, ticket: Ticket) -> None:
        """An RPC that has not run on a version that is barred now goes to the settled one, in its time."""
        asked, tries = ticket.asked, ticket.tries()
        route = self.routing.moved(ticket.fn.name, key_of(asked.key, asked.token, ticket.tag))
        left = ticket.deadline - self.clock()
        self.take(ticket.seat, asked, ticket.method, ticket.customer, left, route, True, tries)

    def closed(self, ticket: Ticket, how: str) -> None:
        """How an RPC ended is evidence for or against its version; not where this edge may not send there
        now, as what ends badly then is no fault of the version."""
        if ticket.route is not None and ticket.route.candidate and how != "moved":
            if how != "ok" and self.barred(ticket.fn.name):
                return
            now = self.clock()
            method = self.facts["methods"][ticket.method]
            stretched = method["soft_deadline"] + method["soft_stretch"] * (ticket.work or 0)
            bad = how != "ok" or now - ticket.began > min(method["deadline"], stretched)
            self.routing.note(ticket.route, bad, now)

    # what the host asks (hosting.Outside)

    def answer(self, ticket: Ticket, verdict: str, come_back: int, body: Any) -> None:
        late = ticket.deadline - self.clock() <= 0
        if verdict == DENIED and not late and not self.stopping and self.barred(ticket.fn.name):
            kind, span = self.kind(ticket.method), self.span(ticket.asked)
            if after_denial(kind, ticket.ran_on is not None, span) is Course.SETTLED:
                return self.move(ticket)
            verdict, come_back = ABORTED, 0
        ticket.seat.answer(ticket, verdict, come_back, body)

    def stream(self, ticket: Ticket) -> None:
        ticket.seat.say(wire.Begun(ticket.asked.id))

    def barred(self, name: str) -> bool:
        return "@" in name and self.routing.barred(name, self.clock())

    def run(self, flight: Flight) -> None:
        if self.barred(flight.ticket.fn.name):
            return self.host.ended(flight.number, Outcome.MOOT)
        runner = self.runners.get(flight.srv.name)
        if runner is None:
            return self.host.ended(flight.number, Outcome.UNREACHABLE)
        runner.run(flight)

    def withdraw(self, task: Flight | Errand, tell: bool) -> bool:
        return task.via is not None and task.via.withdraw(task.number, tell)

    def hold(self, errand: Errand) -> None:
        if errand.fn is not None and errand.count and self.barred(errand.fn.name):
            return self.host.ordered(errand.number, Outcome.FULL, 0)
        runner = self.runners.get(errand.srv.name)
        if runner is None:
            return self.host.ordered(errand.number, Outcome.UNREACHABLE, 0)
        runner.hold(errand)

    def unload(self, srv: SrvFacts, fn: FnFacts) -> None:
        if runner := self.runners.get(srv.name):
            runner.unload(fn.name)

    def probe(self, errand: Errand) -> None:
        runner = self.runners.get(errand.srv.name)
        if runner is None:
            return self.host.probed(errand.number, Outcome.UNREACHABLE, {})
        runner.probe(errand)

    def tell_peer(self, peer: int | None, text: str) -> None:
        if self.peers is not None:
            self.peers.tell(peer, text)

    def follow_list(self) -> None:
        if self.source is not None:
            self.source.follow()

    # the end

    def stop(self, stopped: Callable[[], None]) -> None:
        """Take nothing new and finish what is out; a second call answers all of it as aborted at once."""
        if self.stopping:
            self.host.abort_all([t for seat in self.seats for t in seat.open.values()])
            return self.finish()
        self.stopping, self.stopped = True, stopped
        self.log("stopping", open=self.host.open)
        if self.listening is not None:
            self.listening.stopListening()
        self.look()

    def look(self, _: object = None) -> None:
        if not self.host.open:
            return self.finish()
        self.after(100, self.look, None)

    def finish(self) -> None:
        stopped, self.stopped = self.stopped, None
        if stopped is None:
            return
        if self.keeping is not None:
            self.keeping.write()
        self.log("stopped", **self.host.counts, **self.counts)
        for source in (self.source, self.planner):
            if source is not None:
                source.stop()
        for seat in list(self.seats):
            seat.cut("the edge stops")
        for runner in self.runners.values():
            runner.drop_speaker()
        stopped()


