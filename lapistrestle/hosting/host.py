"""One instance of the module and the world around it: events in order, timers, one final answer.

A transport makes a `Hosting`, tells it what came over its connections, and carries out what `Outside` names.
Nothing here places, repeats or denies; the few guards below act only where the module did not, and log it.
"""

import traceback
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Final, Protocol

from lapistrestle.choice import Dispatcher
from lapistrestle.hosting.door import Door
from lapistrestle.hosting.timers import Timer, Timers
from lapistrestle.interface import (
    Answer,
    CallOut,
    Facts,
    FnFacts,
    Listing,
    Outcome,
    RpcFacts,
    SrvFacts,
    Warmth,
)
from lapistrestle.state import Fn, Rpc, Srv

OK: Final = "ok"
DENIED: Final = "denied"
ABORTED: Final = "aborted"
COUNTED = ("taken", OK, DENIED, ABORTED, "left", "moved", "stray", "faults", "guarded")
NO_REPORT: Mapping[str, float] = {}


@dataclass(eq=False)
class Ticket(Rpc):
    """An RPC as the host holds it, until its final answer is out and its last call-out has ended."""

    asked: Any = None  # the message it came in
    seat: Any = None  # whom to answer; the transport's own
    final: bool = False  # answered, or the client has left
    stream: "Flight | None" = None  # the call-out whose answer has begun to stream
    guard: Timer | None = None
    flights: int = 0  # call-outs under way
    route: Any = None  # the transport's own: which version it goes to
    before: int = 0  # call-outs made under another version, which count too
    unsent: int = 0  # of its own, those that the host did not send

    def tries(self) -> int:
        return self.before + len(self.call_outs) - self.unsent


@dataclass(eq=False)
class Flight:
    """A call-out under way."""

    number: int
    call_out: CallOut
    ticket: Ticket
    srv: Srv
    sent: int
    within: int
    until: int | None = None  # it may not begin later
    timer: Timer | None = None
    via: Any = None  # the transport's own: by which connection


@dataclass(eq=False)
class Errand:
    """An order or a probe under way; `fn` is None for a probe."""

    number: int
    srv: Srv
    fn: Fn | None
    count: int
    sent: int
    timer: Timer | None = None
    via: Any = None


class Outside(Protocol):
    """What the transport does for the host. None of these may raise, nor call back within the call."""

    def answer(self, ticket: Ticket, verdict: str, come_back: int, body: Any) -> None: ...
    def closed(self, ticket: Ticket, how: str) -> None: ...
    def stream(self, ticket: Ticket) -> None: ...
    def run(self, flight: Flight) -> None: ...
    def take_back(self, flight: Flight) -> bool: ...  # True if it never left, and now never does
    def withdraw(self, task: Flight | Errand, tell: bool) -> bool: ...  # and wait for it no more
    def hold(self, errand: Errand) -> None: ...
    def unload(self, srv: SrvFacts, fn: FnFacts) -> None: ...
    def probe(self, errand: Errand) -> None: ...
    def tell_peer(self, peer: int | None, text: str) -> None: ...
    def follow_list(self) -> None: ...
    def wake(self) -> None: ...
    def log(self, what: str, **figures: Any) -> None: ...


class Hosting:
    """The door, the timers and the guards around one instance of the module.

    `slack` is how long past an RPC's deadline the guard waits for the module's own answer, in tenths of a
    millisecond; `clock` gives the time in the same unit.
    """

    def __init__(
        self,
        outside: Outside,
        facts: Facts,
        seed: int,
        clock: Callable[[], int],
        slack: int = 0,
        make: Callable[..., Any] = Dispatcher,
        most_fns: int = 20_000,
    ) -> None:
        self.outside, self.facts, self.clock, self.slack = outside, facts, clock, slack
        self.door, self.timers = Door(most_fns), Timers()
        self.events: deque[tuple[Ticket | None, str, tuple[Any, ...]]] = deque()
        self.busy = False
        self.ended_ones: list[Ticket] = []  # over, and none of their call-outs under way
        self.flights: dict[int, Flight] = {}
        self.numbers: dict[CallOut, Flight] = {}
        self.errands: dict[int, Errand] = {}
        self.last = 0
        self.open = 0  # RPCs taken and not yet finally answered
        self.counts = dict.fromkeys(COUNTED, 0)
        self.spent = 0.0  # seconds inside the module, where `stopwatch` is set
        self.stopwatch: Callable[[], float] | None = None
        self.module = make(self, facts, seed, clock())

    # events in order

    def post(self, ticket: Ticket | None, word: str, *args: Any) -> None:
        """Tell the module, after what it is being told; what it asks for may lead to more."""
        self.events.append((ticket, word, args))
        if not self.busy:
            self.busy = True
            self.act()

    @contextmanager
    def gathering(self) -> Iterator[None]:
        """All that one look at the sockets brings is heard before any of it is acted on: after a standstill a
        client's close may lie beside, or behind, what would have a call-out begin for it. Harms by the time
        that it takes to read the other sockets, once a look."""
        outer, self.busy = self.busy, True
        try:
            yield
        finally:
            if not outer:
                self.act()

    def act(self) -> None:
        if not self.events:
            self.busy = False
            return
        began = self.stopwatch() if self.stopwatch else 0.0
        try:
            while self.events:
                ticket, word, args = self.events.popleft()
                if word == "arrived" and ticket is not None and ticket.final:
                    continue  # its client left before anything was begun for it
                self.module.now = self.clock()
                try:
                    getattr(self.module, word)(*args)
                except Exception:
                    self.fault(ticket, word, args)
        finally:
            self.busy = False
        for ticket in self.ended_ones:
            if not ticket.flights:
                ticket.call_outs.clear()  # they point to each other, and would wait for the collector
        self.ended_ones.clear()
        if self.stopwatch:
            self.spent += self.stopwatch() - began
        self.outside.wake()

    def fault(self, ticket: Ticket | None, word: str, args: tuple[Any, ...]) -> None:
        """The module raised: the RPC at hand is answered at once, and the program goes on."""
        self.counts["faults"] += 1
        told = " ".join(str(getattr(a, "tag", getattr(a, "name", a)))[:80] for a in args)
        self.outside.log("module raised", input=word, told=told, trace=traceback.format_exc(limit=-4))
        if ticket is not None and not ticket.final:
            ticket.state, ticket.over = type(ticket.state).OVER, True
            self.finish(ticket, ABORTED)

    def turn(self) -> None:
        """Fire the timers that are due."""
        while (timer := self.timers.pop(self.clock())) is not None:
            timer.call(timer.arg)
        self.outside.wake()

    # what the transport tells

    def arrived(
        self, *, seat: Any, asked: Any, tag: str, fn: str, method: int, customer: int, left: int,
        memory: float = 0.0, lanes: int = 1, work: int | None = None, repeat: bool = False, route: Any = None,
        moved: bool = False, before: int = 0, load: int | None = None, came: int | None = None,
    ) -> Ticket:  # fmt: skip
        """An RPC has come; `left` is what its client still waits, `came` the earliest that it came."""
        now, facts = self.clock(), self.door.fn(fn, method, memory, lanes, load)
        ticket = Ticket(tag, facts, method, customer, now + left, work, repeat, asked=asked, seat=seat)
        ticket.route, ticket.moved, ticket.before, ticket.came = route, moved, before, came
        self.open += 1
        self.counts["taken"] += 1
        ticket.guard = self.timers.at(ticket.deadline + self.slack, self.overdue, ticket)
        self.post(ticket, "arrived", ticket)
        return ticket

    def client_left(self, ticket: Ticket) -> None:
        """The client has gone; what a worker has of it goes on to its own end."""
        if not ticket.final:
            self.close(ticket, "left")
            self.post(ticket, "left", ticket)

    def begun(self, number: int) -> None:
        flight = self.flights.get(number)
        if flight is None:
            return self.stray()
        ticket = flight.ticket
        if not self.facts["methods"][ticket.method]["streamed"] or ticket.final or ticket.stream:
            return
        ticket.stream = flight
        for timer in (flight.timer, ticket.guard):
            if timer is not None:
                timer.stop()
        self.outside.stream(ticket)
        self.post(ticket, "begun", flight.call_out)

    def ended(
        self, number: int, outcome: Outcome, body: Any = None, warmth: Warmth = Warmth.UNTOLD,
        company: int | None = None, report: Mapping[str, float] = NO_REPORT,
    ) -> None:  # fmt: skip
        """A call-out has ended. One that is not out is passed over: it was counted as ended before."""
        flight = self.flights.pop(number, None)
        if flight is None:
            return self.stray()
        ticket, now = flight.ticket, self.clock()
        del self.numbers[flight.call_out]
        ticket.flights -= 1
        ticket.unsent += outcome is Outcome.MOOT
        if flight.timer is not None:
            flight.timer.stop()
        if outcome is Outcome.OK and not ticket.final and ticket.stream in (None, flight):
            self.finish(ticket, OK, body=body)
        elif ticket.stream is flight and not ticket.final:
            self.finish(ticket, ABORTED)  # a break in a begun stream ends it
        answer = Answer(max(0, now - flight.sent), ticket.final, warmth, company, report)
        if ticket.final and not ticket.flights:
            self.ended_ones.append(ticket)
        self.post(ticket, "ended", flight.call_out, outcome, answer)

    def ordered(self, number: int, outcome: Outcome, count: int) -> None:
        errand = self.errands.pop(number, None)
        if errand is None or errand.fn is None:
            return self.stray()
        if errand.timer is not None:
            errand.timer.stop()
        took = self.clock() - errand.sent
        self.post(None, "ordered", errand.srv, errand.fn, outcome, count, took)

    def probed(self, number: int, outcome: Outcome, report: Mapping[str, float]) -> None:
        errand = self.errands.pop(number, None)
        if errand is None or errand.fn is not None:
            return self.stray()
        if errand.timer is not None:
            errand.timer.stop()
        self.post(None, "probed", errand.srv, outcome, self.clock() - errand.sent, report)

    def listed(self, entries: Sequence[SrvFacts], whole: bool) -> None:
        self.post(None, "listed", [(self.door.srv(e.name), e) for e in entries], whole)
        held = {errand.srv for errand in self.errands.values()}
        left = [s for s in self.door.srvs.values() if s.listing is Listing.GONE and not s.out]
        gone = [s for s in left if s not in held]
        for srv in gone:  # without this a long life keeps every worker that ever served
            del self.door.srvs[srv.name]

    def list_failed(self) -> None:
        self.post(None, "list_failed")

    def told(self, peer: int, text: str) -> None:
        self.post(None, "told", peer, text)

    def vouched(self, srv: Srv, at: int) -> None:
        self.post(None, "vouched", srv, at)

    def retract(self, ticket: Ticket) -> None:
        """The host takes an RPC back that has not run, to have it placed anew under another function."""
        if not ticket.final:
            self.close(ticket, "moved")
            self.post(ticket, "left", ticket)

    def stray(self) -> None:
        self.counts["stray"] += 1

    def abort_all(self, tickets: Sequence[Ticket]) -> None:
        """Answer these at once: the program ends."""
        for ticket in tickets:
            if not ticket.final:
                self.finish(ticket, ABORTED)
                self.post(ticket, "left", ticket)

    # one final answer

    def finish(self, ticket: Ticket, verdict: str, come_back: int = 0, body: Any = None) -> None:
        if ticket.final:
            return
        self.close(ticket, verdict)
        self.outside.answer(ticket, verdict, come_back, body)

    def close(self, ticket: Ticket, how: str) -> None:
        ticket.final = True
        self.open -= 1
        self.counts[how] += 1
        self.outside.closed(ticket, how)
        if ticket.guard is not None:
            ticket.guard.stop()
        if ticket.flights:
            self.ground(ticket)
        if not ticket.flights:
            self.ended_ones.append(ticket)

    def ground(self, ticket: Ticket) -> None:
        """What waits for a connection when its RPC ends is never sent: guards a worker against work that
        nobody waits for, begun as long after as a dial lasts."""
        for call_out in list(ticket.call_outs):
            flight = self.numbers.get(call_out)
            if flight is not None and self.outside.take_back(flight):
                self.ended(flight.number, Outcome.MOOT)

    def overdue(self, ticket: Ticket) -> None:
        """Guards rule 1 where the module let a deadline pass, by error or in a state nobody thought of."""
        if not ticket.final:
            self.counts["guarded"] += 1
            self.outside.log("deadline guarded", rpc=ticket.tag, state=str(ticket.state))
            self.finish(ticket, ABORTED)
            self.post(ticket, "left", ticket)

    def timed_out(self, flight: Flight) -> None:
        """No answer in time. What still waited for a connection never left, so it has not run."""
        if flight.number in self.flights:
            unsent = self.outside.withdraw(flight, self.facts["may_cancel"])
            self.ended(flight.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def unheard(self, errand: Errand) -> None:
        if errand.number in self.errands:
            unsent = self.outside.withdraw(errand, False)
            self.errand_ended(errand.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def lost(self, number: int, outcome: Outcome) -> None:
        """A call-out, an order or a probe has ended without word from the runner."""
        if number in self.flights:
            self.ended(number, outcome)
        else:
            self.errand_ended(number, outcome)

    def errand_ended(self, number: int, outcome: Outcome) -> None:
        """An order or a probe has ended without word from the runner."""
        errand = self.errands.get(number)
        if errand is not None and errand.fn is not None:
            self.ordered(number, outcome, 0)
        elif errand is not None:
            self.probed(number, outcome, NO_REPORT)

    # what the module asks for (interface.Host)

    def next_number(self) -> int:
        self.last += 1
        return self.last

    def call_out(self, call_out: CallOut, time_out: int) -> None:
        """Send, unless the RPC is over, one is out already where only one may be, or its tries are spent."""
        ticket, now = call_out.rpc, self.clock()
        within = min(time_out, ticket.deadline - now) if time_out else ticket.deadline - now
        parallel = self.facts["may_parallel"] or not ticket.flights
        tries = ticket.tries() <= self.facts["try_limit"]
        flight = Flight(
            self.next_number(), call_out, ticket, call_out.srv, now, within, self.begins_by(ticket)
        )
        self.flights[flight.number] = self.numbers[call_out] = flight
        ticket.flights += 1
        if ticket.final or ticket.stream or not parallel or not tries:
            self.outside.log("not sent", rpc=ticket.tag, tries=len(ticket.call_outs), out=ticket.flights)
            return self.ended(flight.number, Outcome.MOOT)
        if within <= 0:
            return self.ended(flight.number, Outcome.MOOT)
        flight.timer = self.timers.at(now + within, self.timed_out, flight)
        self.outside.run(flight)

    def begins_by(self, ticket: Ticket) -> int | None:
        """Rule 2 binds at the socket: a repeat is dropped only within its window, which may end while it
        waits for a connection."""
        method = self.facts["methods"][ticket.method]
        repeat = ticket.ran_on is not None and method["kind"] == "tokened"
        return ticket.ran_at + method["repeat_window"] if repeat else None

    def deny(self, rpc: RpcFacts, come_back: int) -> None:
        assert isinstance(rpc, Ticket)
        self.finish(rpc, DENIED, come_back)

    def abort(self, rpc: RpcFacts) -> None:
        assert isinstance(rpc, Ticket)
        self.finish(rpc, ABORTED)

    def cancel(self, call_out: CallOut) -> None:
        flight = self.numbers.get(call_out)
        if flight is not None and self.facts["may_cancel"]:
            unsent = self.outside.withdraw(flight, True)
            self.ended(flight.number, Outcome.MOOT if unsent else Outcome.CANCELLED)

    def order(self, srv: SrvFacts, fn: FnFacts, count: int) -> None:
        assert isinstance(srv, Srv) and isinstance(fn, Fn)
        errand = Errand(self.next_number(), srv, fn, count, self.clock())
        self.errand(errand, self.facts["order_time_out"])
        self.outside.hold(errand)

    def probe(self, srv: SrvFacts) -> None:
        assert isinstance(srv, Srv)
        errand = Errand(self.next_number(), srv, None, 0, self.clock())
        self.errand(errand, self.facts["dial_time_out"])
        self.outside.probe(errand)

    def errand(self, errand: Errand, time_out: int) -> None:
        self.errands[errand.number] = errand
        errand.timer = self.timers.at(errand.sent + max(1, time_out), self.unheard, errand)

    def unload(self, srv: SrvFacts, fn: FnFacts) -> None:
        self.outside.unload(srv, fn)

    def tell_peer(self, peer: int | None, text: str) -> None:
        if self.facts["may_tell_peers"]:
            self.outside.tell_peer(peer, text[:256])

    def wake_me(self, delay: int, token: object) -> None:
        self.timers.at(self.clock() + max(1, delay), self.woken, token)

    def woken(self, token: object) -> None:
        self.post(token if isinstance(token, Ticket) else None, "woken", token)

    def follow_list(self) -> None:
        self.outside.follow_list()

    def log(self, text: str) -> None:
        self.outside.log("mode", figures=text)
