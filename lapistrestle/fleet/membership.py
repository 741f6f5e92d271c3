"""SWIM membership with Lifeguard's local health, free of I/O (sources and cases: docs/fleet.md).

The owner passes in datagrams (`on_message`) and calls `tick` at `next_deadline`; effects go to a
`MembershipTransport`. Only a member itself raises its incarnation. Records of others are in `member_table`,
probes in `failure_detector`, suspicion time-outs in `suspicion`, and the spreading of updates in
`dissemination`.
"""

from collections.abc import Iterable

from lapistrestle.fleet.dissemination import MembershipTransport, Outbox, TableSync, retransmit_limit
from lapistrestle.fleet.failure_detector import FailureDetector, ProbeEvent, ProbePhase
from lapistrestle.fleet.member_table import ACTIVE_STATES, LocalState, Member, MemberTable
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.fleet.settings import Address, MembershipSettings
from lapistrestle.fleet.suspicion import MAX_SUSPICION_FACTOR, LocalHealth, suspicion_deadline
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MAX_SEEDS_AT_START = 5  # seeds pinged at once


class Membership:
    """One dispatcher's membership in its fleet."""

    def __init__(
        self,
        transport: MembershipTransport,
        settings: MembershipSettings,
        me: MemberRecord,
        seed: int,
        now: int,
    ) -> None:
        """`me` gives this member's name, boot, nonce, address and zone."""
        self.transport = transport
        self.settings = settings
        self.now = now
        self.health = LocalHealth()
        self.random = SeededRandom(seed)
        self.table = MemberTable(me, transport.on_member_changed)
        self.outbox = Outbox(transport, self.table)
        self.sync = TableSync(self.outbox, self.table)
        self.detector = FailureDetector(
            settings,
            self.table,
            self.outbox,
            self.health,
            self.random,
            self.apply,
            self.on_no_members,
            now,
        )
        self.next_period = now
        self.periods = 0
        self.reconnects = 0
        self.name_holder: MemberRecord | None = None  # another process that uses our name
        self.name_holder_last_heard_at = now

    # state

    @property
    def me(self) -> MemberRecord:
        """This member's own record."""
        return self.table.me

    @property
    def state(self) -> LocalState:
        """This member's own state in its fleet."""
        return self.table.state

    @property
    def members(self) -> dict[str, Member]:
        """Other known members, by name."""
        return self.table.members

    @property
    def size(self) -> int:
        """Number of members present, this one included; 0 if it is displaced or has left."""
        return self.table.size

    def live(self) -> list[Member]:
        """Other members that count as present, by name."""
        return self.table.live()

    @property
    def next_deadline(self) -> int:
        """When `tick` is to be called next."""
        suspicions = [self.suspicion_deadline(member) for member in self.table.suspected]
        return min([self.next_period, *self.detector.deadlines(), *suspicions])

    def suspicion_deadline(self, member: Member) -> int:
        """When a suspect is declared dead."""
        return suspicion_deadline(member, self.size, self.settings, self.health)

    # start and leave

    def start(self, now: int) -> None:
        """Ping the seeds."""
        self.now = now
        for host, port in self.settings.seeds[:MAX_SEEDS_AT_START]:
            self.outbox.ping(host, port)
        self.next_period = now + self.settings.protocol_period // 4

    def leave(self, now: int) -> None:
        """Notify some members directly that this process leaves, for good."""
        if self.state in ACTIVE_STATES:
            self.now = now
            self.table.me = wire.replace(self.me, status=MemberStatus.LEFT)
            for member in self.random.sample(self.live(), retransmit_limit(self.size)):
                self.outbox.send(member, wire.Ack(0))
            self.set_state(LocalState.LEFT, "orderly leave")

    def set_state(self, state: LocalState, reason: str) -> None:
        """Change this member's state, with a log line."""
        if state is not self.state:
            self.table.state = state
            figures = f"{self.size} members, local health {self.health.score}"
            self.transport.log(f"fleet {state.name.lower()}: {reason}, {figures}")

    def on_no_members(self) -> None:
        """There is no member to probe: join again."""
        if self.state is LocalState.MEMBER:
            self.set_state(LocalState.JOINING, "no other member is present")

    # messages

    def on_message(
        self, sender: MemberRecord, message: wire.Message, records: Iterable[MemberRecord], now: int
    ) -> None:
        """Handle a datagram of this fleet."""
        self.now = now
        if self.state is LocalState.LEFT or sender.process_id == self.me.process_id:
            return
        if sender.name == self.me.name:
            self.on_name_conflict(sender, message)
            return
        before = self.members.get(sender.name)
        was_dead = before is not None and before.status is MemberStatus.DEAD
        for record in (sender, *records):
            self.apply(record)
        member = self.members.get(sender.name)
        if self.state is LocalState.DISPLACED or member is None:
            return
        if member.record.process_id != sender.process_id:  # another process has its name: notify the sender
            if isinstance(message, wire.Ping):
                self.outbox.reply(sender, wire.Ack(0), (member.record,))
            return
        member.last_heard_at = now
        joins = self.state is LocalState.JOINING and member.is_live
        if joins:
            self.set_state(LocalState.MEMBER, f"{member.name} answered")
        if (joins or was_dead) and member.is_live:  # it may know members that we don't, or consider dead
            self.sync.read_table(sender)
        self.dispatch(member, sender, message, records)

    def dispatch(
        self, member: Member, sender: MemberRecord, message: wire.Message, records: Iterable[MemberRecord]
    ) -> None:
        """Handle a message by its type; those of counters and leases are handled elsewhere."""
        match message:
            case wire.Ping(number):
                self.outbox.send(member, wire.Ack(number))
            case wire.Ack(number):
                self.detector.on_ack(member, number, self.now)
            case wire.PingRequest():
                self.detector.on_ping_request(sender, message, self.now)
            case wire.Nack(number):
                self.detector.on_nack(number)
            case wire.PageRequest(after):
                self.sync.send_page(member, after)
            case wire.TablePage():
                self.sync.on_page(message, records)

    def apply(self, record: MemberRecord) -> None:
        """Apply a record if it overrides the current one."""
        if record.name == self.me.name:
            self.apply_to_self(record)
        else:
            self.table.apply(record, self.now)

    def apply_to_self(self, record: MemberRecord) -> None:
        """Refute a record of us with a higher incarnation, or detect that another process uses our name."""
        if record.process_id == self.me.process_id:
            is_wrong = record.status > MemberStatus.ALIVE and record.incarnation >= self.me.incarnation
            if is_wrong and self.state in ACTIVE_STATES:
                self.table.me = wire.replace(self.me, incarnation=record.incarnation + 1)
                self.health.worsen()
        elif record.precedence > self.me.precedence:
            if record.status <= MemberStatus.SUSPECT:
                self.yield_name(record)
            elif self.state is not LocalState.LEFT:  # that process is gone; our clock was set back
                self.table.me = wire.replace(self.me, boot=record.boot + 1)

    # another process under our name

    def on_name_conflict(self, sender: MemberRecord, message: wire.Message) -> None:
        """Another process uses our name: the record with the greater precedence keeps it."""
        if self.name_holder is not None and sender.process_id == self.name_holder.process_id:
            self.name_holder_last_heard_at = self.now
        if sender.precedence > self.me.precedence:
            self.yield_name(sender)
        elif isinstance(message, wire.Ping):  # so that it learns of us
            self.outbox.reply(sender, wire.Ack(message.seq))

    def yield_name(self, holder: MemberRecord) -> None:
        """Yield our name to another process."""
        if self.name_holder is None or holder.precedence > self.name_holder.precedence:
            self.name_holder = holder
            self.name_holder_last_heard_at = self.now
        if self.state in ACTIVE_STATES:
            reason = f"another process uses the name {holder.name}, at port {holder.port}"
            self.set_state(LocalState.DISPLACED, reason)
            for member in self.members.values():
                self.transport.on_member_changed(member)

    def ping_name_holder(self) -> None:
        """Ping the process that uses our name; if it doesn't answer for long, take the name back."""
        holder = self.name_holder
        assert holder is not None
        longest = self.settings.suspicion_multiplier * MAX_SUSPICION_FACTOR * self.settings.protocol_period
        if self.now - self.name_holder_last_heard_at > longest:
            self.table.me = wire.replace(self.me, boot=holder.boot + 1)
            self.name_holder = None
            self.table.state = LocalState.JOINING
            self.transport.log(f"fleet joining: no answer from {holder.name} at port {holder.port}")
            self.ping_absent()
        else:
            self.outbox.ping(holder.host, holder.port)

    # time

    def tick(self, now: int) -> None:
        """Do what is due at `next_deadline`."""
        before = self.now
        self.now = now
        if self.state is LocalState.LEFT:
            self.next_period = now + self.settings.retention
            return
        stalled = now - self.next_period > self.settings.protocol_period // 2
        if stalled and self.detector.interrupt():
            self.health.worsen()
            for member in self.table.suspected:
                member.status_since += now - before
        self.detector.expire_relayed_pings(now)
        self.expire_suspicions()
        if self.detector.phase is ProbePhase.DIRECT and now >= self.detector.ping_deadline:
            self.detector.handle(ProbeEvent.PING_TIMED_OUT, now)
        if now >= self.next_period:
            self.start_period()

    def expire_suspicions(self) -> None:
        """Declare suspects dead that have not refuted in time."""
        for member in list(self.table.suspected):
            if self.now >= self.suspicion_deadline(member):
                silent = f"suspected for {self.now - member.status_since} ticks"
                doubt = f"{len(member.suspected_by)} suspect it, local health {self.health.score}"
                self.transport.log(f"{member.name} dead: {silent}, {doubt}")
                self.apply(wire.replace(member.record, status=MemberStatus.DEAD, suspected_by=""))

    def start_period(self) -> None:
        """Probe the next member; every few periods ping an absent one, and request a page of a table."""
        self.periods += 1
        self.next_period = self.now + self.health.scale(self.settings.protocol_period)
        if self.state is LocalState.DISPLACED:
            self.ping_name_holder()
            return
        self.detector.handle(ProbeEvent.PERIOD_BEGAN, self.now)
        if self.state is LocalState.JOINING or self.periods % self.settings.reconnect_periods == 0:
            self.ping_absent()
        if self.sync.table_read is not None:
            self.sync.request_next_page()
        elif self.periods % self.settings.sync_periods == 0:
            for member in self.random.sample(self.live(), 1):
                self.sync.request_page(member.record)
        self.table.forget(self.now - self.settings.retention)

    def ping_absent(self) -> None:
        """Ping a seed or dead member, round-robin.

        Otherwise the halves of a partition, each of which considers the other dead, would never rejoin.
        """
        addresses = self.absent_addresses()
        if addresses:
            self.reconnects += 1
            host, port = addresses[self.reconnects % len(addresses)]
            member = next((m for m in self.members.values() if m.record.port == port), None)
            self.outbox.ping(host, port, member)

    def absent_addresses(self) -> list[Address]:
        """Addresses of seeds and dead members at which no member is present, without duplicates."""
        members = self.members.values()
        occupied = {(m.record.host, m.record.port) for m in members if m.is_live}
        occupied.add((self.me.host, self.me.port))
        dead = [(m.record.host, m.record.port) for m in members if m.status is MemberStatus.DEAD]
        return [a for a in dict.fromkeys([*self.settings.seeds, *dead]) if a not in occupied]
