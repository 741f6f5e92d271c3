"""SWIM's failure detector: one member probed a period, directly, then through others. Free of I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lapistrestle.fleet.dissemination import Outbox
from lapistrestle.fleet.member_table import Member, MemberTable
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.fleet.settings import MembershipSettings
from lapistrestle.fleet.suspicion import LocalHealth
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MOST_RELAYED = 64  # pings for others that may be open: guards against one that asks without end

ProbePhase = Enum("ProbePhase", "IDLE DIRECT INDIRECT ANSWERED")  # of the probe under way
ProbeEvent = Enum("ProbeEvent", "PERIOD LATE ANSWER")


@dataclass(frozen=True)
class RelayedPing:
    """A ping that another asked us for."""

    asker: MemberRecord
    number: int  # the asker's
    until: int


class FailureDetector:
    """Probes, and pings relayed for others. `suspect` takes up a claim; `nobody_left` is called where there
    is nobody to probe."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        outbox: Outbox,
        health: LocalHealth,
        random: SeededRandom,
        suspect: Callable[[MemberRecord], None],
        nobody_left: Callable[[], None],
        now: int,
    ) -> None:
        self.settings, self.table, self.outbox = settings, table, outbox
        self.health, self.random = health, random
        self.suspect, self.nobody_left = suspect, nobody_left
        self.now = now
        self.phase = ProbePhase.IDLE
        self.target: Member | None = None
        self.ping = -1  # number of the one that was sent to the target
        self.pinged_at, self.late_at = now, -1
        self.round: list[Member] = []  # yet to be probed in this round
        self.relayed: dict[int, RelayedPing] = {}

    def handle(self, event: ProbeEvent, now: int) -> None:
        """Move the probe under way."""
        self.now = now
        self.phase, effect = TRANSITIONS[self.phase, event]
        effect(self)

    def interrupt(self) -> bool:
        """After a standstill of our own what was not heard says nothing of others. Returns whether a probe
        was open."""
        waiting = self.phase in (ProbePhase.DIRECT, ProbePhase.INDIRECT)
        if waiting:
            self.phase = ProbePhase.IDLE
        return waiting

    def deadlines(self) -> list[int]:
        """When a probe or a relayed ping is late."""
        probe = [self.late_at] if self.phase is ProbePhase.DIRECT else []
        return probe + [relayed.until for relayed in self.relayed.values()]

    # effects of the transitions

    def ping_next(self) -> None:
        """Ping the next of the round: each once, in an order drawn anew each time."""
        while self.round and not (self.round[-1].known and self.round[-1].live):
            self.round.pop()
        if not self.round:
            live = self.table.live()
            self.round = self.random.sample(live, len(live))
        if not self.round:
            self.phase = ProbePhase.IDLE
            return self.nobody_left()
        self.target = self.round.pop()
        self.pinged_at = self.now
        self.late_at = self.now + self.health.stretch(self.settings.ping_timeout)
        record = self.target.record
        self.ping = self.outbox.ping(record.host, record.port, self.target)

    def ping_indirectly(self) -> None:
        """Have others ping the target, who has not answered us."""
        target = self.target
        assert target is not None
        others = [m for m in self.table.live() if m is not target]
        relays = self.random.sample(others, self.settings.indirect_probes)
        for relay in relays:
            self.outbox.send(
                relay, wire.PingRequest(self.ping, target.name, target.record.host, target.record.port)
            )
        if relays:
            self.health.worsen()  # until one of them says that it hears us

    def accuse(self) -> None:
        """Nobody has had an answer from the target: suspect it, and probe the next."""
        target = self.target
        assert target is not None
        if target.known and target.status is MemberStatus.ALIVE:
            waited = self.now - self.pinged_at
            self.outbox.transport.log(f"{target.name} suspect: no answer in {waited}")
        if target.known and target.live:
            self.suspect(
                wire.replace(target.record, status=MemberStatus.SUSPECT, suspected_by=self.table.me.name)
            )
        self.ping_next()

    def recover(self) -> None:
        """The target has answered."""
        self.health.improve()

    # what comes in

    def ack_received(self, member: Member, number: int, now: int) -> None:
        """An answer to a ping: to our own, or to one relayed, which is passed on with the target's claim."""
        if (
            number == self.ping
            and self.phase in (ProbePhase.DIRECT, ProbePhase.INDIRECT)
            and member is self.target
        ):
            self.handle(ProbeEvent.ANSWER, now)
        relayed = self.relayed.pop(number, None)
        if relayed is not None:
            self.outbox.reply(relayed.asker, wire.Ack(relayed.number), (member.record,))

    def nack_received(self, number: int) -> None:
        """A relay hears us, though not the target: silence is not ours."""
        if number == self.ping and self.phase is ProbePhase.INDIRECT:
            self.health.improve()

    def relay(self, asker: MemberRecord, ask: wire.PingRequest, now: int) -> None:
        """Ping a member for another."""
        if len(self.relayed) < MOST_RELAYED:
            number = self.outbox.ping(ask.host, ask.port)
            self.relayed[number] = RelayedPing(asker, ask.seq, now + self.settings.ping_timeout)

    def give_up_relayed(self, now: int) -> None:
        """Tell those who asked that the target has not answered us either."""
        for number in [n for n, relayed in self.relayed.items() if now >= relayed.until]:
            relayed = self.relayed.pop(number)
            self.outbox.reply(relayed.asker, wire.Nack(relayed.number))


Effect = Callable[[FailureDetector], Any]
TRANSITIONS: dict[tuple[ProbePhase, ProbeEvent], tuple[ProbePhase, Effect]] = {
    (ProbePhase.IDLE, ProbeEvent.PERIOD): (ProbePhase.DIRECT, FailureDetector.ping_next),
    (ProbePhase.DIRECT, ProbeEvent.ANSWER): (ProbePhase.ANSWERED, FailureDetector.recover),
    (ProbePhase.DIRECT, ProbeEvent.LATE): (ProbePhase.INDIRECT, FailureDetector.ping_indirectly),
    (ProbePhase.DIRECT, ProbeEvent.PERIOD): (ProbePhase.DIRECT, FailureDetector.accuse),
    (ProbePhase.INDIRECT, ProbeEvent.ANSWER): (ProbePhase.ANSWERED, FailureDetector.recover),
    (ProbePhase.INDIRECT, ProbeEvent.PERIOD): (ProbePhase.DIRECT, FailureDetector.accuse),
    (ProbePhase.ANSWERED, ProbeEvent.PERIOD): (ProbePhase.DIRECT, FailureDetector.ping_next),
}
