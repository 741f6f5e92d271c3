"""The planner: takes operators' orders and edges' counts, writes them down, and tells edges what changed."""

from typing import Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.planner.state import (
    ENTRY_DECODER,
    OVER,
    AnyEntry,
    CommandEntry,
    CommandResult,
    OutcomeEntry,
    PlannerState,
    TickEntry,
    encode_entry,
)
from lapistrestle.rollout.replicas import EdgeReport, Readiness
from lapistrestle.rollout.state_machine import Rollout, RolloutState
from lapistrestle.store.journal import Journal, JournalError, StaleEpochError
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
            entry = ENTRY_DECODER.decode(line)
            self.state.apply(number, entry)
            self.base = max(self.base, entry.at)
        self.began = reactor.seconds()
        self.edges: dict[PlannerConnection, None] = {}
        self.readiness = Readiness()
        self.stopped: Any = None
        self.over = False
        log("journal read", entries=self.state.number, epoch=journal.epoch)

    def now(self) -> int:
        """On from where the journal ends: pauses between two planners do not count."""
        return self.base + int((self.reactor.seconds() - self.began) * TENTHS + 0.001)

    def start(self, port: int = 0) -> int:
        """Listen. Returns the port."""
        listening = self.reactor.listenTCP(port, PlannerConnectionFactory(self), interface="127.0.0.1")
        self.reactor.callLater(TICK_EVERY, self.tick)
        made: int = listening.getHost().port
        self.log("listening", port=made)
        return made

    def add(self, entry: AnyEntry) -> CommandResult | None:
        """Write an entry to disk, apply it, then tell edges. None: another planner writes the journal."""
        if self.over:
            return None
        try:
            number = self.journal.append([encode_entry(entry)])
        except (StaleEpochError, JournalError) as trouble:
            self.end(str(trouble))
            return None
        before = dict(self.state.changed)
        reply = self.state.apply(number, entry)
        if self.state.changed != before:
            for fn, rollout in self.state.rollouts.items():
                if self.state.changed.get(fn) == number:
                    state, share = rollout.state.name.lower(), rollout.weight
                    self.log("rollout", fn=fn, candidate=rollout.candidate, state=state, share=share)
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
                self.add(TickEntry(at=self.now(), functions_ready=self.functions_ready()))

    def functions_ready(self) -> tuple[str, ...]:
        """Those that every connected edge has copies for the next share of."""
        edges, now = {speaker.name for speaker in self.edges}, self.now()
        kept = self.state.rollouts.items()
        return tuple(
            fn for fn, r in kept if self.readiness.is_ready(fn, r.candidate, r.next_weight, edges, now)
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
        shares = [plans.to_message(split) for split in self.state.plan(after).values()]
        return plans.Plan(self.state.number, self.journal.epoch, shares, whole)

    def status(self) -> plans.PlannerStatus:
        """For operators."""
        return plans.PlannerStatus(
            self.state.number,
            self.journal.epoch,
            [self.rollout_status(fn) for fn in sorted(self.state.rollouts)],
            {speaker.name: speaker.has for speaker in self.edges},
        )

    def rollout_status(self, fn: str) -> plans.RolloutStatus:
        """One rollout, for operators."""
        rollout = self.state.rollouts[fn]
        found, total = rollout.evidence.verdict(), [0, 0, 0, 0]
        for tally in rollout.evidence.totals_by_minute().values():
            total = [a + b for a, b in zip(total, tally, strict=True)]
        history = [(at / 10, who, why, given, state) for at, who, why, given, state in rollout.history]
        counts = (total[0], total[1], total[2], total[3])
        return plans.RolloutStatus(
            fn, rollout.settled, rollout.candidate, rollout.state.name.lower(), rollout.weight, rollout.step,
            counts, round(found.log_harm, 3), round(found.log_safety, 3), history, rollout.next_weight,
            self.waits(rollout),
        )  # fmt: skip

    def waits(self, rollout: Rollout) -> dict[str, str]:
        """By edge, what it lacks for the next step."""
        if rollout.state in OVER or rollout.state is RolloutState.WITHDRAWING:
            return {}
        edges = [speaker.name for speaker in self.edges]
        return self.readiness.shortages(rollout.fn, rollout.candidate, rollout.next_weight, edges, self.now())


class PlannerConnection(Speaker):
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
            case plans.Heartbeat():
                self.has = max(self.has, message.plan_number)
                if planner.current():
                    self.say(plans.Heartbeat(message.sent_at))
            case plans.OutcomeReport():
                planner.add(
                    OutcomeEntry(
                        at=planner.now(), edge=self.name, start=self.start_name, fn=message.fn,
                        candidate=message.candidate, step=message.step, minute=message.minute,
                        counts=message.counts,
                    )
                )  # fmt: skip
            case plans.ReplicaReport():
                report = EdgeReport(message.weight, message.shortage, planner.now())
                planner.readiness.on_report(message.fn, message.candidate, self.name, report)
            case plans.RolloutCommand():
                self.order(message)
            case plans.StatusRequest():
                self.say(planner.status())

    def order(self, order: plans.RolloutCommand) -> None:
        """An operator's command."""
        reply = self.planner.add(
            CommandEntry(
                at=self.planner.now(), id=order.id, action=order.action, fn=order.fn, operator=order.operator,
                reason=order.reason, candidate=order.candidate, steps=order.steps,
                retention=int(order.retention * 10),
            )
        )  # fmt: skip
        if reply is None:
            return self.say(wire.Fault("not taken: another planner writes the journal", order.id))
        behind = [s.name for s in self.planner.edges if s.has < reply.number]
        self.say(
            plans.CommandReply(
                order.id,
                reply.outcome.value,
                reply.message,
                reply.state,
                reply.weight,
                reply.number,
                sorted(behind),
            )
        )

    def unreadable(self, line: bytes, why: str) -> None:
        """A line could not be read."""
        self.say(wire.Fault(why))

    def lost(self) -> None:
        """The connection is gone."""
        self.planner.edges.pop(self, None)
        if not any(speaker.name == self.name for speaker in self.planner.edges):
            self.planner.readiness.on_edge_gone(self.name)


class PlannerConnectionFactory(ServerFactory):
    """Makes the planner's end of each connection."""

    noisy = False

    def __init__(self, planner: Planner) -> None:
        self.planner = planner

    def buildProtocol(self, addr: Any) -> PlannerConnection:
        return PlannerConnection(self.planner)
