"""SWIM's failure detector (section 3.1), free of I/O: probes one member per protocol period."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lapistrestle.fleet.dissemination import Outbox
from lapistrestle.fleet.member_table import Member, MemberTable
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.fleet.settings import MembershipSettings
from lapistrestle.fleet.suspicion import LocalHealth
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MAX_RELAYED_PINGS = 64  # concurrent pings on behalf of others: guards against a member that floods requests


class ProbePhase(Enum):
    """The phase of this period's probe."""

    IDLE = 1
    DIRECT = 2  # the target was pinged
    INDIRECT = 3  # other members were asked to ping it
    ACKNOWLEDGED = 4


class ProbeEvent(Enum):
    """An event that advances a probe."""

    PERIOD_BEGAN = 1
    PING_TIMED_OUT = 2
    ACK_RECEIVED = 3


@dataclass(frozen=True)
class RelayedPing:
    """A ping on behalf of another member."""

    requester: MemberRecord
    number: int  # number of the requester's own ping
    deadline: int  # when a nack is due, in ticks


class FailureDetector:
    """Probes other members, and relays pings on behalf of others."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        outbox: Outbox,
        health: LocalHealth,
        random: SeededRandom,
        apply: Callable[[MemberRecord], None],
        on_no_members: Callable[[], None],
        now: int,
    ) -> None:
        """`apply` receives suspicions; `on_no_members` is called if there is no member to probe."""
        self.settings = settings
        self.table = table
        self.outbox = outbox
        self.health = health
        self.random = random
        self.apply = apply
        self.on_no_members = on_no_members
        self.now = now
        self.phase = ProbePhase.IDLE
        self.target: Member | None = None
        self.ping_number = -1  # number of the last ping sent to the target
        self.pinged_at = now
        self.ping_deadline = -1
        self.probe_order: list[Member] = []  # still to be probed in this round, the next one last
        self.relayed_pings: dict[int, RelayedPing] = {}  # by number of our ping

    def handle(self, event: ProbeEvent, now: int) -> None:
        """Advance the current probe."""
        self.now = now
        self.phase, effect = TRANSITIONS[self.phase, event]
        effect(self)

    def interrupt(self) -> bool:
        """Abandon an open probe after a stall of this process, since its time-out proves nothing.

        Returns whether a probe was open.
        """
        was_open = self.phase in (ProbePhase.DIRECT, ProbePhase.INDIRECT)
        if was_open:
            self.phase = ProbePhase.IDLE
        return was_open

    def deadlines(self) -> list[int]:
        """When the current ping and the relayed ones time out."""
        own = [self.ping_deadline] if self.phase is ProbePhase.DIRECT else []
        return own + [relayed.deadline for relayed in self.relayed_pings.values()]

    # effects of the transitions

    def probe_next(self) -> None:
        """Ping the next member, round-robin in an order that is shuffled each round (SWIM, section 4.3)."""
        while self.probe_order and not (self.probe_order[-1].is_known and self.probe_order[-1].is_live):
            self.probe_order.pop()
        if not self.probe_order:
            live = self.table.live()
            self.probe_order = self.random.sample(live, len(live))
        if not self.probe_order:
            self.phase = ProbePhase.IDLE
            self.on_no_members()
            return
        self.target = self.probe_order.pop()
        self.pinged_at = self.now
        self.ping_deadline = self.now + self.health.scale(self.settings.ping_timeout)
        record = self.target.record
        self.ping_number = self.outbox.ping(record.host, record.port, self.target)

    def ping_indirectly(self) -> None:
        """Have other members ping the target, which has not answered directly."""
        target = self.target
        assert target is not None
        others = [member for member in self.table.live() if member is not target]
        relays = self.random.sample(others, self.settings.indirect_probes)
        record = target.record
        for relay in relays:
            request = wire.PingRequest(self.ping_number, target.name, record.host, record.port)
            self.outbox.send(relay, request)
        if relays:
            self.health.worsen()  # undone by a nack, which proves that a relay receives our messages

    def suspect_target(self) -> None:
        """Suspect the target, since no ack was received directly or by relays, and probe the next member."""
        target = self.target
        assert target is not None
        if target.is_known and target.status is MemberStatus.ALIVE:
            waited = self.now - self.pinged_at
            self.outbox.transport.log(f"{target.name} suspect: no ack for {waited} ticks")
        if target.is_known and target.is_live:
            me = self.table.me.name
            self.apply(wire.replace(target.record, status=MemberStatus.SUSPECT, suspected_by=me))
        self.probe_next()

    def on_target_acknowledged(self) -> None:
        """The target has answered, so our own network and process work."""
        self.health.improve()

    # messages

    def on_ack(self, member: Member, number: int, now: int) -> None:
        """Handle an ack of our own ping, or of a relayed one, which is forwarded with the target's record."""
        is_open = self.phase in (ProbePhase.DIRECT, ProbePhase.INDIRECT)
        if number == self.ping_number and is_open and member is self.target:
            self.handle(ProbeEvent.ACK_RECEIVED, now)
        relayed = self.relayed_pings.pop(number, None)
        if relayed is not None:
            self.outbox.reply(relayed.requester, wire.Ack(relayed.number), (member.record,))

    def on_nack(self, number: int) -> None:
        """Handle a nack: the relay receives our messages, so the missing ack is not our fault."""
        if number == self.ping_number and self.phase is ProbePhase.INDIRECT:
            self.health.improve()

    def on_ping_request(self, requester: MemberRecord, request: wire.PingRequest, now: int) -> None:
        """Ping a member on behalf of another one."""
        if len(self.relayed_pings) < MAX_RELAYED_PINGS:
            number = self.outbox.ping(request.host, request.port)
            deadline = now + self.settings.ping_timeout
            self.relayed_pings[number] = RelayedPing(requester, request.seq, deadline)

    def expire_relayed_pings(self, now: int) -> None:
        """Send a nack for each relayed ping that has timed out."""
        expired = [n for n, relayed in self.relayed_pings.items() if now >= relayed.deadline]
        for number in expired:
            relayed = self.relayed_pings.pop(number)
            self.outbox.reply(relayed.requester, wire.Nack(relayed.number))


Effect = Callable[[FailureDetector], None]
TRANSITIONS: dict[tuple[ProbePhase, ProbeEvent], tuple[ProbePhase, Effect]] = {
    (ProbePhase.IDLE, ProbeEvent.PERIOD_BEGAN): (ProbePhase.DIRECT, FailureDetector.probe_next),
    (ProbePhase.DIRECT, ProbeEvent.ACK_RECEIVED): (
        ProbePhase.ACKNOWLEDGED, FailureDetector.on_target_acknowledged),
    (ProbePhase.DIRECT, ProbeEvent.PING_TIMED_OUT): (ProbePhase.INDIRECT, FailureDetector.ping_indirectly),
    (ProbePhase.DIRECT, ProbeEvent.PERIOD_BEGAN): (ProbePhase.DIRECT, FailureDetector.suspect_target),
    (ProbePhase.INDIRECT, ProbeEvent.ACK_RECEIVED): (
        ProbePhase.ACKNOWLEDGED, FailureDetector.on_target_acknowledged),
    (ProbePhase.INDIRECT, ProbeEvent.PERIOD_BEGAN): (ProbePhase.DIRECT, FailureDetector.suspect_target),
    (ProbePhase.ACKNOWLEDGED, ProbeEvent.PERIOD_BEGAN): (ProbePhase.DIRECT, FailureDetector.probe_next),
}  # fmt: skip
