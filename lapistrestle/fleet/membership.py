"""SWIM membership with Lifeguard's local health, free of I/O (sources: docs/fleet.md).

A driver hands in datagrams (`heard`) and calls `tick` when `due`; what is to be done goes to a
`MembershipTransport`. Only a member itself raises its incarnation. What is believed of others is in `table`,
probes are in `probing`, their time to refute in `suspicion`, and how claims spread in `dissemination`.
"""

from collections.abc import Iterable

from lapistrestle.fleet.dissemination import MembershipTransport, Outbox, TableSync, retransmit_limit
from lapistrestle.fleet.failure_detector import FailureDetector, ProbeEvent, ProbePhase
from lapistrestle.fleet.member_table import ACTIVE_STATES, LocalState, Member, MemberTable
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.fleet.settings import Address, MembershipSettings
from lapistrestle.fleet.suspicion import MAX_SUSPICION, LocalHealth, suspicion_ends
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MOST_SEEDS = 5  # spoken to at the start


class Membership:
    """One dispatcher's part in its fleet. `me` says its name, boot, nonce, address and zone."""

    def __init__(
        self,
        transport: MembershipTransport,
        settings: MembershipSettings,
        me: MemberRecord,
        seed: int,
        now: int,
    ) -> None:
        self.transport, self.settings, self.now = transport, settings, now
        self.health, self.random = LocalHealth(), SeededRandom(seed)
        self.table = MemberTable(me, transport.changed)
        self.outbox = Outbox(transport, self.table)
        self.sync = TableSync(self.outbox, self.table)
        self.detector = FailureDetector(
            settings, self.table, self.outbox, self.health, self.random, self.apply, self.nobody_left, now
        )
        self.next_period = now
        self.periods = self.retries = 0
        self.rival: MemberRecord | None = None  # another process under our name, whose claim is greater
        self.rival_heard = now

    # what others read

    @property
    def me(self) -> MemberRecord:
        """What this member says of itself."""
        return self.table.me

    @property
    def state(self) -> LocalState:
        """Whether oneself is a member."""
        return self.table.state

    @property
    def members(self) -> dict[str, Member]:
        """Others that are known, by name."""
        return self.table.members

    @property
    def size(self) -> int:
        """How many count as there, oneself included; 0: we are no member."""
        return self.table.size

    def live(self) -> list[Member]:
        """Others that count as there, by name."""
        return self.table.live()

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        suspicions = [self.suspicion_ends(m) for m in self.table.suspected]
        return min([self.next_period, *self.detector.deadlines(), *suspicions])

    def suspicion_ends(self, member: Member) -> int:
        """When a suspect counts as dead."""
        return suspicion_ends(member, self.size, self.settings, self.health)

    # begin and end

    def start(self, now: int) -> None:
        """Speak to the seeds."""
        self.now = now
        for host, port in self.settings.seeds[:MOST_SEEDS]:
            self.outbox.ping(host, port)
        self.next_period = now + self.settings.protocol_period // 4

    def leave(self, now: int) -> None:
        """Say that this boot is over, to some directly; it is not taken back."""
        if self.state in ACTIVE_STATES:
            self.now = now
            self.table.me = wire.replace(self.me, status=MemberStatus.LEFT)
            for member in self.random.sample(self.live(), retransmit_limit(self.size)):
                self.outbox.send(member, wire.Ack(0))
            self.enter(LocalState.LEFT, "left in order")

    def enter(self, state: LocalState, why: str) -> None:
        """Change the state of oneself, with a log line."""
        if state is not self.state:
            self.table.state = state
            figures = f"{self.size} there, doubt {self.health.score}"
            self.transport.log(f"fleet {state.name.lower()}: {why}, {figures}")

    def nobody_left(self) -> None:
        """There is nobody to probe: join anew."""
        if self.state is LocalState.MEMBER:
            self.enter(LocalState.JOINING, "nobody else is there")

    # what is heard

    def on_message(
        self, sender: MemberRecord, message: wire.Message, records: Iterable[MemberRecord], now: int
    ) -> None:
        """A datagram of this fleet came."""
        self.now = now
        if self.state is LocalState.LEFT or sender.process_id == self.me.process_id:
            return
        if sender.name == self.me.name:
            return self.met_namesake(sender, message)
        before = self.members.get(sender.name)
        returns = before is not None and before.status is MemberStatus.DEAD
        for record in (sender, *records):
            self.apply(record)
        member = self.members.get(sender.name)
        if self.state is LocalState.DISPLACED or member is None:
            return
        if (
            member.record.process_id != sender.process_id
        ):  # another has taken its place, and it has to hear of that
            if isinstance(message, wire.Ping):
                self.outbox.reply(sender, wire.Ack(0), (member.record,))
            return
        member.last_heard_at = now
        if self.state is LocalState.JOINING and member.live:
            self.enter(LocalState.MEMBER, f"{member.name} answers")
            returns = True
        if returns and member.live:  # it may know of many that we don't, or hold dead
            self.sync.read_whole(sender)
        self.handle(member, sender, message, records)

    def handle(
        self, member: Member, sender: MemberRecord, message: wire.Message, records: Iterable[MemberRecord]
    ) -> None:
        """A word from a member."""
        match message:
            case wire.Ping(number):
                self.outbox.send(member, wire.Ack(number))
            case wire.Ack(number):
                self.detector.ack_received(member, number, self.now)
            case wire.PingRequest():
                self.detector.relay(sender, message, self.now)
            case wire.Nack(number):
                self.detector.nack_received(number)
            case wire.PageRequest(after):
                self.sync.send_page(member, after)
            case wire.TablePage():
                self.sync.received(message, records)

    def apply(self, record: MemberRecord) -> None:
        """Take up a claim if it is greater than what is held."""
        if record.name == self.me.name:
            self.apply_to_self(record)
        else:
            self.table.apply(record, self.now)

    def apply_to_self(self, record: MemberRecord) -> None:
        """What others say of us: refuted by a higher incarnation, or told by a namesake's friends."""
        if record.process_id == self.me.process_id:
            wrong = record.status > MemberStatus.ALIVE and record.incarnation >= self.me.incarnation
            if wrong and self.state in ACTIVE_STATES:
                self.table.me = wire.replace(self.me, incarnation=record.incarnation + 1)
                self.health.worsen()
        elif record.precedence > self.me.precedence:
            if record.status <= MemberStatus.SUSPECT:
                self.displaced(record)
            elif self.state is not LocalState.LEFT:  # that process is gone; our clock was set back
                self.table.me = wire.replace(self.me, boot=record.boot + 1)

    # another process under our name

    def met_namesake(self, sender: MemberRecord, message: wire.Message) -> None:
        """Another process speaks under our name. The greater claim keeps it."""
        if self.rival is not None and sender.process_id == self.rival.process_id:
            self.rival_heard = self.now
        if sender.precedence > self.me.precedence:
            self.displaced(sender)
        elif isinstance(message, wire.Ping):  # it has to hear of us
            self.outbox.reply(sender, wire.Ack(message.seq))

    def displaced(self, rival: MemberRecord) -> None:
        """Another process keeps our name."""
        if self.rival is None or rival.precedence > self.rival.precedence:
            self.rival, self.rival_heard = rival, self.now
        if self.state in ACTIVE_STATES:
            self.enter(LocalState.DISPLACED, f"another process is {rival.name}, at port {rival.port}")
            for member in self.members.values():
                self.transport.changed(member)

    def ping_rival(self) -> None:
        """Whether the process that took our name still lives; a name that nobody answers to is ours again."""
        rival = self.rival
        assert rival is not None
        patience = self.settings.suspicion_multiplier * MAX_SUSPICION * self.settings.protocol_period
        if self.now - self.rival_heard > patience:
            self.table.me, self.rival = wire.replace(self.me, boot=rival.boot + 1), None
            self.table.state = LocalState.JOINING
            self.transport.log(f"fleet joining: nobody answers as {rival.name} at port {rival.port}")
            self.contact_absent()
        else:
            self.outbox.ping(rival.host, rival.port)

    # time

    def tick(self, now: int) -> None:
        """Do what is due."""
        before, self.now = self.now, now
        if self.state is LocalState.LEFT:
            self.next_period = now + self.settings.retention
            return
        stood = now - self.next_period > self.settings.protocol_period // 2
        if stood and self.detector.interrupt():
            self.health.worsen()
            for member in self.table.suspected:
                member.since += now - before
        self.detector.give_up_relayed(now)
        self.end_suspicions()
        if self.detector.phase is ProbePhase.DIRECT and now >= self.detector.late_at:
            self.detector.handle(ProbeEvent.LATE, now)
        if now >= self.next_period:
            self.begin_period()

    def end_suspicions(self) -> None:
        """Suspects whose time to refute is over are dead."""
        for member in list(self.table.suspected):
            if self.now >= self.suspicion_ends(member):
                suspecters, score = len(member.suspecters), self.health.score
                silent = f"silent for {self.now - member.since}"
                self.transport.log(f"{member.name} dead: {silent}, {suspecters} accuse it, doubt {score}")
                self.apply(wire.replace(member.record, status=MemberStatus.DEAD, suspected_by=""))

    def begin_period(self) -> None:
        """Probe the next; now and then speak to one that is not there, and read a page of another's table."""
        self.periods += 1
        self.next_period = self.now + self.health.stretch(self.settings.protocol_period)
        if self.state is LocalState.DISPLACED:
            return self.ping_rival()
        self.detector.handle(ProbeEvent.PERIOD, self.now)
        if self.state is LocalState.JOINING or self.periods % self.settings.reconnect_periods == 0:
            self.contact_absent()
        if self.sync.reading is not None:
            self.sync.read_on()
        elif self.periods % self.settings.sync_periods == 0:
            for member in self.random.sample(self.live(), 1):
                self.sync.read_page(member.record)
        self.table.forget(self.now - self.settings.retention)

    def contact_absent(self) -> None:
        """A word to one that is not there: a seed, or a dead one. Without it the halves of a partition that
        each hold the other dead would never meet again."""
        addresses = self.absent_addresses()
        if addresses:
            self.retries += 1
            host, port = addresses[self.retries % len(addresses)]
            member = next((m for m in self.members.values() if m.record.port == port), None)
            self.outbox.ping(host, port, member)

    def absent_addresses(self) -> list[Address]:
        """Seeds and dead members at whose address nobody counts as there, each once."""
        members = self.members.values()
        taken = {(m.record.host, m.record.port) for m in members if m.live}
        taken.add((self.me.host, self.me.port))
        dead = [(m.record.host, m.record.port) for m in members if m.status is MemberStatus.DEAD]
        return [a for a in dict.fromkeys([*self.settings.seeds, *dead]) if a not in taken]
