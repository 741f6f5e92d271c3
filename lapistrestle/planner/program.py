"""The planner: takes operators' orders and edges' counts, writes them down, and tells edges what changed."""

from typing import Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.planner.state import (
    ENTRY,
    OVER,
    AnyEntry,
    Command,
    PlannerState,
    Reply,
    Report,
    Tick,
    encode,
)
from lapistrestle.rollout.life import Rollout, State
from lapistrestle.rollout.stock import Readiness, Word
from lapistrestle.store.journal import Journal, Outdated, Unreadable
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.lines import LineBounds, Speaker, union

TENTHS = 10_000  # of a millisecond in a second
TICK_EVERY = 1.0  # seconds


class Planner:
    """One planner on one reactor and one journal. A newer one on the same journal ends this one."""

    def __init__(self, reactor: Any, journal: Journal, log: Any) -> None:
        self.reactor, self.journal, self.log = reactor, journal, log
        self.state, self.base = PlannerState(), 0
        for number, line in journal.entries():
            entry = ENTRY.decode(line)
            self.state.apply(number, entry)
            self.base = max(self.base, entry.at)
        self.began = reactor.seconds()
        self.edges: dict[PlannerSpeaker, None] = {}
        self.readiness = Readiness()
        self.stopped: Any = None
        self.over = False
        log("journal read", entries=self.state.number, epoch=journal.epoch)

    def now(self) -> int:
        """On from where the journal ends: pauses between two planners do not count."""
        return self.base + int((self.reactor.seconds() - self.began) * TENTHS + 0.001)

    def start(self, port: int = 0) -> int:
        """Listen. Returns the port."""
        listening = self.reactor.listenTCP(port, Speakers(self), interface="127.0.0.1")
        self.reactor.callLater(TICK_EVERY, self.tick)
        made: int = listening.getHost().port
        self.log("listening", port=made)
        return made

    def add(self, entry: AnyEntry) -> Reply | None:
        """Write an entry to disk, apply it, then tell edges. None: another planner writes the journal."""
        if self.over:
            return None
        try:
            number = self.journal.append([encode(entry)])
        except (Outdated, Unreadable) as trouble:
            self.end(str(trouble))
            return None
        before = dict(self.state.changed)
        reply = self.state.apply(number, entry)
        if self.state.changed != before:
            for function, rollout in self.state.rollouts.items():
                if self.state.changed.get(function) == number:
                    state, share = rollout.state.name.lower(), rollout.share
                    self.log(
                        "rollout", function=function, candidate=rollout.candidate, state=state, share=share
                    )
            for speaker in list(self.edges):
                speaker.catch_up()
        return reply

    def end(self, why: str) -> None:
        """Write nothing more, and cut all connections."""
        self.over = True
        self.log("ends", why=why)
        for speaker in list(self.edges):
            speaker.cut("another planner writes the journal")
        if self.stopped is not None:
            self.stopped()

    def tick(self) -> None:
        """Let rollouts move, now and again, while any runs."""
        if not self.over:
            self.reactor.callLater(TICK_EVERY, self.tick)
            if self.state.running():
                self.add(Tick(at=self.now(), warm=self.warm_functions()))

    def warm_functions(self) -> tuple[str, ...]:
        """Those that every connected edge has copies for the next share of."""
        edges, now = {speaker.name for speaker in self.edges}, self.now()
        kept = self.state.rollouts.items()
        return tuple(
            function
            for function, r in kept
            if self.readiness.ready(function, r.candidate, r.next, edges, now)
        )

    def current(self) -> bool:
        """Whether no newer planner writes the journal. One that did not ask would go on renewing leases on
        shares that another has taken back."""
        if not self.over and not self.journal.newest():
            self.end("a newer planner writes the journal")
        return not self.over

    def plan(self, after: int) -> plans.Plan:
        """What changed after that entry; all of it where `after` is negative."""
        whole = after < 0
        shares = [plans.shown(split) for split in self.state.plan(after).values()]
        return plans.Plan(self.state.number, self.journal.epoch, shares, whole)

    def status(self) -> plans.Status:
        """For operators."""
        return plans.Status(
            self.state.number,
            self.journal.epoch,
            [self.rollout_status(function) for function in sorted(self.state.rollouts)],
            {speaker.name: speaker.has for speaker in self.edges},
        )

    def rollout_status(self, function: str) -> plans.RolloutStatus:
        """One rollout, for operators."""
        rollout = self.state.rollouts[function]
        found, total = rollout.evidence.findings(), [0, 0, 0, 0]
        for tally in rollout.evidence.minutes().values():
            total = [a + b for a, b in zip(total, tally, strict=True)]
        history = [(at / 10, who, why, given, state) for at, who, why, given, state in rollout.history]
        counts = (total[0], total[1], total[2], total[3])
        return plans.RolloutStatus(
            function,
            rollout.settled,
            rollout.candidate,
            rollout.state.name.lower(),
            rollout.share,
            rollout.step,
            counts,
            round(found.harm, 3),
            round(found.good, 3),
            history,
            rollout.next,
            self.waits(rollout),
        )

    def waits(self, rollout: Rollout) -> dict[str, str]:
        """By edge, what it lacks for the next step."""
        if rollout.state in OVER or rollout.state is State.WITHDRAWING:
            return {}
        edges = [speaker.name for speaker in self.edges]
        return self.readiness.missing(rollout.function, rollout.candidate, rollout.next, edges, self.now())


class PlannerSpeaker(Speaker):
    """The planner's end of a connection, of an edge or an operator."""

    protocol = plans.PLANNER
    decoder = union(plans.ToPlanner)
    speaks_first = False

    def __init__(self, planner: Planner) -> None:
        super().__init__(LineBounds())
        self.planner, self.name, self.start_name = planner, "", ""
        self.has = -1  # the plan that the edge said it has
        self.sent = -1  # and the newest that was sent to it

    def greeting(self) -> wire.Hello:
        """What this end says first."""
        return wire.Hello(self.protocol, wire.VERSION, f"planner epoch {self.planner.journal.epoch}")

    def met(self, hello: wire.Hello) -> None:
        """The other end has greeted: an edge names its start, an operator does not."""
        self.name, self.start_name = hello.name, hello.start
        if hello.start:
            self.planner.edges[self] = None
            self.catch_up()

    def catch_up(self) -> None:
        """Send what changed since the last plan."""
        if self.sent < self.planner.state.number or self.sent < 0:
            self.say(self.planner.plan(self.sent))
            self.sent = self.planner.state.number

    def heard(self, message: Any) -> None:
        """A message came."""
        planner = self.planner
        match message:
            case plans.Beat():
                self.has = max(self.has, message.has)
                if planner.current():
                    self.say(plans.Beat(message.asked))
            case plans.Counts():
                planner.add(
                    Report(
                        at=planner.now(), edge=self.name, start=self.start_name, function=message.function,
                        candidate=message.candidate, step=message.step, minute=message.minute,
                        counts=message.counts,
                    )
                )  # fmt: skip
            case plans.Warm():
                word = Word(message.share, message.lacks, planner.now())
                planner.readiness.told(message.function, message.candidate, self.name, word)
            case plans.Order():
                self.order(message)
            case plans.Ask():
                self.say(planner.status())

    def order(self, order: plans.Order) -> None:
        """An operator's command."""
        reply = self.planner.add(
            Command(
                at=self.planner.now(), id=order.id, what=order.what, function=order.function, who=order.who,
                why=order.why, candidate=order.candidate, steps=order.steps,
                remembered=int(order.remembered * 10),
            )
        )  # fmt: skip
        if reply is None:
            return self.say(wire.Fault("not taken: another planner writes the journal", order.id))
        behind = [s.name for s in self.planner.edges if s.has < reply.number]
        self.say(
            plans.Reply(
                order.id, reply.outcome, reply.says, reply.state, reply.share, reply.number, sorted(behind)
            )
        )

    def unreadable(self, line: bytes, why: str) -> None:
        """A line could not be read."""
        self.say(wire.Fault(why))

    def lost(self) -> None:
        """The connection is gone."""
        self.planner.edges.pop(self, None)
        if not any(speaker.name == self.name for speaker in self.planner.edges):
            self.planner.readiness.gone(self.name)


class Speakers(ServerFactory):
    """Makes the planner's end of each connection."""

    noisy = False

    def __init__(self, planner: Planner) -> None:
        self.planner = planner

    def buildProtocol(self, addr: Any) -> PlannerSpeaker:
        return PlannerSpeaker(self.planner)
