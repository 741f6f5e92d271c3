"""The planner: takes operators' orders and edges' counts, writes them down, and tells edges what changed."""

from typing import Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.planner.keeper import ENTRY, OVER, Command, Keeper, Look, Reply, Report, encode
from lapistrestle.rollout.life import Rollout, State
from lapistrestle.rollout.stock import Readiness, Word
from lapistrestle.store.journal import Journal, Outdated, Unreadable
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.lines import LineBounds, Speaker, union

TENTHS = 10_000  # of a millisecond in a second
LOOK = 1.0  # seconds between two looks at what runs


class Planner:
    """One planner on one reactor and one journal. A newer one on the same journal ends this one."""

    def __init__(self, reactor: Any, journal: Journal, log: Any) -> None:
        self.reactor, self.journal, self.log = reactor, journal, log
        self.keeper, self.base = Keeper(), 0
        for number, line in journal.entries():
            entry = ENTRY.decode(line)
            self.keeper.take(number, entry)
            self.base = max(self.base, entry.at)
        self.began = reactor.seconds()
        self.edges: dict[PlannerSpeaker, None] = {}
        self.readiness = Readiness()
        self.stopped: Any = None
        self.over = False
        log("journal read", entries=self.keeper.number, epoch=journal.epoch)

    def now(self) -> int:
        """On from where the journal ends: pauses between two planners do not count."""
        return self.base + int((self.reactor.seconds() - self.began) * TENTHS + 0.001)

    def start(self, port: int = 0) -> int:
        listening = self.reactor.listenTCP(port, Speakers(self), interface="127.0.0.1")
        self.reactor.callLater(LOOK, self.look)
        made: int = listening.getHost().port
        self.log("listening", port=made)
        return made

    def add(self, entry: Command | Report | Look) -> Reply | None:
        """On disk first, then taken, then told."""
        if self.over:
            return None
        try:
            number = self.journal.append([encode(entry)])
        except (Outdated, Unreadable) as trouble:
            self.end(str(trouble))
            return None
        before = dict(self.keeper.changed)
        reply = self.keeper.take(number, entry)
        if self.keeper.changed != before:
            for fn, rollout in self.keeper.rollouts.items():
                if self.keeper.changed.get(fn) == number:
                    state, share = rollout.state.name.lower(), rollout.share
                    self.log("rollout", fn=fn, candidate=rollout.candidate, state=state, share=share)
            for speaker in list(self.edges):
                speaker.catch_up()
        return reply

    def end(self, why: str) -> None:
        self.over = True
        self.log("ends", why=why)
        for speaker in list(self.edges):
            speaker.cut("another planner writes the journal")
        if self.stopped is not None:
            self.stopped()

    def look(self) -> None:
        if not self.over:
            self.reactor.callLater(LOOK, self.look)
            if self.keeper.running():
                self.add(Look(at=self.now(), warm=self.warm_functions()))

    def warm_functions(self) -> tuple[str, ...]:
        """Those that every connected edge has copies for the next share of."""
        edges, now = {speaker.name for speaker in self.edges}, self.now()
        kept = self.keeper.rollouts.items()
        return tuple(fn for fn, r in kept if self.readiness.ready(fn, r.candidate, r.next, edges, now))

    def current(self) -> bool:
        """Whether no newer planner writes the journal. One that did not ask would go on renewing leases on
        shares that another has taken back."""
        if not self.over and not self.journal.newest():
            self.end("a newer planner writes the journal")
        return not self.over

    def plan(self, after: int) -> plans.Plan:
        whole = after < 0
        shares = [plans.shown(split) for split in self.keeper.plan(after).values()]
        return plans.Plan(self.keeper.number, self.journal.epoch, shares, whole)

    def status(self) -> plans.Status:
        return plans.Status(
            self.keeper.number,
            self.journal.epoch,
            [self.standing(fn) for fn in sorted(self.keeper.rollouts)],
            {speaker.name: speaker.has for speaker in self.edges},
        )

    def standing(self, fn: str) -> plans.Standing:
        rollout = self.keeper.rollouts[fn]
        found, total = rollout.evidence.findings(), [0, 0, 0, 0]
        for tally in rollout.evidence.minutes().values():
            total = [a + b for a, b in zip(total, tally, strict=True)]
        history = [(at / 10, who, why, given, state) for at, who, why, given, state in rollout.history]
        counts = (total[0], total[1], total[2], total[3])
        return plans.Standing(
            fn, rollout.settled, rollout.candidate, rollout.state.name.lower(), rollout.share, rollout.step,
            counts, round(found.harm, 3), round(found.good, 3), history, rollout.next, self.waits(rollout),
        )  # fmt: skip

    def waits(self, rollout: Rollout) -> dict[str, str]:
        if rollout.state in OVER or rollout.state is State.WITHDRAWING:
            return {}
        edges = [speaker.name for speaker in self.edges]
        return self.readiness.missing(rollout.fn, rollout.candidate, rollout.next, edges, self.now())


class PlannerSpeaker(Speaker):
    """The planner's end of a connection, of an edge or an operator."""

    protocol = plans.PLANNER
    decoder = union(plans.ToPlanner)
    speaks_first = False

    def __init__(self, planner: Planner) -> None:
        super().__init__(LineBounds())
        self.planner, self.name, self.start_name = planner, "", ""
        self.has = -1  # the plan that the edge said it has
        self.told = -1  # and the newest that it was told

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, f"planner epoch {self.planner.journal.epoch}")

    def met(self, hello: wire.Hello) -> None:
        self.name, self.start_name = hello.name, hello.start
        if hello.start:
            self.planner.edges[self] = None
            self.catch_up()

    def catch_up(self) -> None:
        """Tell what changed since this edge was told last."""
        if self.told < self.planner.keeper.number or self.told < 0:
            self.say(self.planner.plan(self.told))
            self.told = self.planner.keeper.number

    def heard(self, message: Any) -> None:
        planner = self.planner
        match message:
            case plans.Beat():
                self.has = max(self.has, message.has)
                if planner.current():
                    self.say(plans.Beat(message.asked))
            case plans.Counts():
                planner.add(
                    Report(
                        at=planner.now(), edge=self.name, start=self.start_name, fn=message.fn,
                        candidate=message.candidate, step=message.step, minute=message.minute,
                        counts=message.counts,
                    )
                )  # fmt: skip
            case plans.Warm():
                word = Word(message.share, message.lacks, planner.now())
                planner.readiness.told(message.fn, message.candidate, self.name, word)
            case plans.Order():
                self.order(message)
            case plans.Ask():
                self.say(planner.status())

    def order(self, order: plans.Order) -> None:
        reply = self.planner.add(
            Command(
                at=self.planner.now(), id=order.id, what=order.what, fn=order.fn, who=order.who,
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
        self.say(wire.Fault(why))

    def lost(self) -> None:
        self.planner.edges.pop(self, None)
        if not any(speaker.name == self.name for speaker in self.planner.edges):
            self.planner.readiness.gone(self.name)


class Speakers(ServerFactory):
    noisy = False

    def __init__(self, planner: Planner) -> None:
        self.planner = planner

    def buildProtocol(self, addr: Any) -> PlannerSpeaker:
        return PlannerSpeaker(self.planner)
