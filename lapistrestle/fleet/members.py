"""SWIM membership with Lifeguard's local health, free of I/O (sources: docs/fleet.md).

A driver hands in datagrams (`heard`) and calls `tick` when `due`; what is to be done goes to a
`MembershipTransport`. Only a member itself raises its incarnation. What is believed of others is in `table`,
probes are in `probing`, their time to refute in `suspicion`, and how claims spread in `dissemination`.
"""

from collections.abc import Iterable

from lapistrestle.fleet.chance import Draws
from lapistrestle.fleet.dissemination import MembershipTransport, Outbox, TableSync, retransmit_limit
from lapistrestle.fleet.probing import Event, FailureDetector, Phase
from lapistrestle.fleet.settings import Address, MembershipSettings
from lapistrestle.fleet.suspicion import MAX_SUSPICION, LocalHealth, suspicion_ends
from lapistrestle.fleet.table import ACTIVE, Member, MemberTable, SelfState
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim, Rank

MOST_SEEDS = 5  # spoken to at the start


class Members:
    """One dispatcher's part in its fleet. `me` says its name, boot, nonce, address and zone."""

    def __init__(
        self, transport: MembershipTransport, settings: MembershipSettings, me: Claim, seed: int, now: int
    ) -> None:
        self.transport, self.settings, self.now = transport, settings, now
        self.health, self.draws = LocalHealth(), Draws(seed)
        self.table = MemberTable(me, transport.changed)
        self.outbox = Outbox(transport, self.table)
        self.sync = TableSync(self.outbox, self.table)
        self.detector = FailureDetector(
            settings, self.table, self.outbox, self.health, self.draws, self.apply, self.nobody_left, now
        )
        self.next_period = now
        self.periods = self.retries = 0
        self.rival: Claim | None = None  # another process under our name, whose claim is greater
        self.rival_heard = now

    # what others read

    @property
    def me(self) -> Claim:
        """What this member says of itself."""
        return self.table.me

    @property
    def state(self) -> SelfState:
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
        self.next_period = now + self.settings.period // 4

    def leave(self, now: int) -> None:
        """Say that this boot is over, to some directly; it is not taken back."""
        if self.state in ACTIVE:
            self.now = now
            self.table.me = wire.replace(self.me, rank=Rank.LEFT)
            for member in self.draws.some(self.live(), retransmit_limit(self.size)):
                self.outbox.send(member, wire.Ack(0))
            self.enter(SelfState.LEFT, "left in order")

    def enter(self, state: SelfState, why: str) -> None:
        """Change the state of oneself, with a log line."""
        if state is not self.state:
            self.table.state = state
            figures = f"{self.size} there, doubt {self.health.score}"
            self.transport.log(f"fleet {state.name.lower()}: {why}, {figures}")

    def nobody_left(self) -> None:
        """There is nobody to probe: join anew."""
        if self.state is SelfState.MEMBER:
            self.enter(SelfState.JOINING, "nobody else is there")

    # what is heard

    def heard(self, sender: Claim, word: wire.AnyWord, claims: Iterable[Claim], now: int) -> None:
        """A datagram of this fleet came."""
        self.now = now
        if self.state is SelfState.LEFT or sender.life == self.me.life:
            return
        if sender.name == self.me.name:
            return self.met_namesake(sender, word)
        before = self.members.get(sender.name)
        returns = before is not None and before.rank is Rank.DEAD
        for claim in (sender, *claims):
            self.apply(claim)
        member = self.members.get(sender.name)
        if self.state is SelfState.DISPLACED or member is None:
            return
        if member.claim.life != sender.life:  # another has taken its place, and it has to hear of that
            if isinstance(word, wire.Ping):
                self.outbox.reply(sender, wire.Ack(0), (member.claim,))
            return
        member.heard = now
        if self.state is SelfState.JOINING and member.live:
            self.enter(SelfState.MEMBER, f"{member.name} answers")
            returns = True
        if returns and member.live:  # it may know of many that we don't, or hold dead
            self.sync.read_whole(sender)
        self.handle(member, sender, word, claims)

    def handle(self, member: Member, sender: Claim, word: wire.AnyWord, claims: Iterable[Claim]) -> None:
        """A word from a member."""
        match word:
            case wire.Ping(number):
                self.outbox.send(member, wire.Ack(number))
            case wire.Ack(number):
                self.detector.ack_received(member, number, self.now)
            case wire.Ask():
                self.detector.relay(sender, word, self.now)
            case wire.Nack(number):
                self.detector.nack_received(number)
            case wire.PageAsk(after):
                self.sync.send_page(member, after)
            case wire.Page():
                self.sync.received(word, claims)

    def apply(self, claim: Claim) -> None:
        """Take up a claim if it is greater than what is held."""
        if claim.name == self.me.name:
            self.apply_to_self(claim)
        else:
            self.table.apply(claim, self.now)

    def apply_to_self(self, claim: Claim) -> None:
        """What others say of us: refuted by a higher incarnation, or told by a namesake's friends."""
        if claim.life == self.me.life:
            wrong = claim.rank > Rank.ALIVE and claim.incarnation >= self.me.incarnation
            if wrong and self.state in ACTIVE:
                self.table.me = wire.replace(self.me, incarnation=claim.incarnation + 1)
                self.health.worsen()
        elif claim.order > self.me.order:
            if claim.rank <= Rank.SUSPECT:
                self.displaced(claim)
            elif self.state is not SelfState.LEFT:  # that process is gone; our clock was set back
                self.table.me = wire.replace(self.me, boot=claim.boot + 1)

    # another process under our name

    def met_namesake(self, sender: Claim, word: wire.AnyWord) -> None:
        """Another process speaks under our name. The greater claim keeps it."""
        if self.rival is not None and sender.life == self.rival.life:
            self.rival_heard = self.now
        if sender.order > self.me.order:
            self.displaced(sender)
        elif isinstance(word, wire.Ping):  # it has to hear of us
            self.outbox.reply(sender, wire.Ack(word.seq))

    def displaced(self, rival: Claim) -> None:
        """Another process keeps our name."""
        if self.rival is None or rival.order > self.rival.order:
            self.rival, self.rival_heard = rival, self.now
        if self.state in ACTIVE:
            self.enter(SelfState.DISPLACED, f"another process is {rival.name}, at port {rival.port}")
            for member in self.members.values():
                self.transport.changed(member)

    def ping_rival(self) -> None:
        """Whether the process that took our name still lives; a name that nobody answers to is ours again."""
        rival = self.rival
        assert rival is not None
        patience = self.settings.suspicion * MAX_SUSPICION * self.settings.period
        if self.now - self.rival_heard > patience:
            self.table.me, self.rival = wire.replace(self.me, boot=rival.boot + 1), None
            self.table.state = SelfState.JOINING
            self.transport.log(f"fleet joining: nobody answers as {rival.name} at port {rival.port}")
            self.contact_absent()
        else:
            self.outbox.ping(rival.host, rival.port)

    # time

    def tick(self, now: int) -> None:
        """Do what is due."""
        before, self.now = self.now, now
        if self.state is SelfState.LEFT:
            self.next_period = now + self.settings.forget
            return
        stood = now - self.next_period > self.settings.period // 2
        if stood and self.detector.interrupt():
            self.health.worsen()
            for member in self.table.suspected:
                member.since += now - before
        self.detector.give_up_relayed(now)
        self.end_suspicions()
        if self.detector.phase is Phase.DIRECT and now >= self.detector.late_at:
            self.detector.handle(Event.LATE, now)
        if now >= self.next_period:
            self.begin_period()

    def end_suspicions(self) -> None:
        """Suspects whose time to refute is over are dead."""
        for member in list(self.table.suspected):
            if self.now >= self.suspicion_ends(member):
                accusers, score = len(member.accusers), self.health.score
                silent = f"silent for {self.now - member.since}"
                self.transport.log(f"{member.name} dead: {silent}, {accusers} accuse it, doubt {score}")
                self.apply(wire.replace(member.claim, rank=Rank.DEAD, by=""))

    def begin_period(self) -> None:
        """Probe the next; now and then speak to one that is not there, and read a page of another's table."""
        self.periods += 1
        self.next_period = self.now + self.health.stretch(self.settings.period)
        if self.state is SelfState.DISPLACED:
            return self.ping_rival()
        self.detector.handle(Event.PERIOD, self.now)
        if self.state is SelfState.JOINING or self.periods % self.settings.retry == 0:
            self.contact_absent()
        if self.sync.reading is not None:
            self.sync.read_on()
        elif self.periods % self.settings.pages == 0:
            for member in self.draws.some(self.live(), 1):
                self.sync.read_page(member.claim)
        self.table.forget(self.now - self.settings.forget)

    def contact_absent(self) -> None:
        """A word to one that is not there: a seed, or a dead one. Without it the halves of a partition that
        each hold the other dead would never meet again."""
        addresses = self.absent_addresses()
        if addresses:
            self.retries += 1
            host, port = addresses[self.retries % len(addresses)]
            member = next((m for m in self.members.values() if m.claim.port == port), None)
            self.outbox.ping(host, port, member)

    def absent_addresses(self) -> list[Address]:
        """Seeds and dead members at whose address nobody counts as there, each once."""
        members = self.members.values()
        taken = {(m.claim.host, m.claim.port) for m in members if m.live}
        taken.add((self.me.host, self.me.port))
        dead = [(m.claim.host, m.claim.port) for m in members if m.rank is Rank.DEAD]
        return [a for a in dict.fromkeys([*self.settings.seeds, *dead]) if a not in taken]
