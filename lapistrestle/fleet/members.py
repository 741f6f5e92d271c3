"""Who is there: SWIM membership with Lifeguard's doubt of oneself, free of I/O (sources: docs/fleet.md).

A driver hands in datagrams (`heard`) and calls `tick` when `due`; what is to be done goes to an `Outside`.
What is said of a member is a claim, and of two claims the greater holds whatever came first, so lost,
doubled and late datagrams lead to the same belief. Only a member itself raises its incarnation.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from heapq import nsmallest
from math import ceil, log, log10
from typing import Any, Protocol
from zlib import crc32

from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim, Rank

Facts = Mapping[str, Any]
SECOND = 10_000  # in tenths of a millisecond
DEFAULTS: Facts = {
    "period": SECOND,  # between two probes; the longest delay between two members must be well under it
    "direct": 3_000,  # for the answer to a ping, before others are asked to ping
    "relays": 3,  # others that are asked
    "suspicion": 4,  # periods, times the logarithm of the size, before a suspect counts as dead at the least
    "retry": 2,  # periods between two words to one that is not there, so that a partition heals
    "pages": 10,  # periods between two looks into another's table
    "forget": 600 * SECOND,  # after which one that is dead or left is no longer known
    "seeds": (),  # addresses at which a fleet is joined
}
DOUBT = 4  # most doubt of oneself: everything takes so many times longer, and once more
SPREAD = 4  # a claim is told so often, times the decimal logarithm of the size
CONFIRM = 3  # further accusers after whom the least suspicion is enough
PATIENCE = 4  # the longest suspicion, of an accuser that nobody confirms, over the least

Standing = Enum("Standing", "JOINING MEMBER DISPLACED LEFT")  # of oneself
Phase = Enum("Phase", "IDLE DIRECT INDIRECT ANSWERED")  # of the probe under way
Event = Enum("Event", "PERIOD LATE ANSWER")


class Outside(Protocol):
    """What membership can do to the world."""

    def send(self, host: str, port: int, word: wire.AnyWord, claims: tuple[Claim, ...]) -> None: ...
    def changed(self, member: "Member") -> None: ...  # its claim holds anew, or it is known no more
    def log(self, text: str) -> None: ...


@dataclass(eq=False)
class Member:
    """Another dispatcher, as far as it is known."""

    claim: Claim
    since: int  # when its rank last changed
    heard: int = -1  # when it last spoke to us itself
    told: int = 0  # how often this claim was passed on
    accusers: set[str] = field(default_factory=set)
    known: bool = True

    @property
    def name(self) -> str:
        return self.claim.name

    @property
    def rank(self) -> Rank:
        return self.claim.rank

    @property
    def here(self) -> bool:
        """Whether it counts as there: a suspect still does."""
        return self.claim.rank <= Rank.SUSPECT


@dataclass
class Errand:
    """A ping that another asked us for."""

    asker: Claim
    seq: int
    until: int


class Members:
    """One dispatcher's view of all. `me` says its name, boot, nonce, address and zone."""

    def __init__(self, outside: Outside, facts: Facts, me: Claim, seed: int, now: int) -> None:
        self.outside, self.facts, self.me, self.seed = outside, {**DEFAULTS, **facts}, me, seed
        self.now, self.draws, self.seq = now, 0, 0
        self.standing, self.doubt = Standing.JOINING, 0
        self.members: dict[str, Member] = {}
        self.news: dict[Member, None] = {}  # whose claims are still to be passed on
        self.suspected: dict[Member, None] = {}
        self.others: list[Member] | None = []  # those that count as there, by name; None: to be made anew
        self.round: list[Member] = []  # yet to be probed in this round
        self.phase, self.asked_at, self.ping = Phase.IDLE, now, -1
        self.target: Member | None = None
        self.next_period, self.late_at = now, -1
        self.periods = self.retries = 0
        self.errands: dict[int, Errand] = {}
        self.reading: tuple[str, int, str] | None = None  # whose table is read: host, port, after which name
        self.cursor = ""
        self.rival: Claim | None = None  # another process under our name, whose claim is greater
        self.rival_heard = now

    # what others read

    def here(self) -> list[Member]:
        """Others that count as there, by name."""
        if self.others is None:
            self.others = [m for _, m in sorted(self.members.items()) if m.here]
        return self.others

    @property
    def size(self) -> int:
        """How many count as there, oneself included; a displaced or left one is alone and no member."""
        if self.standing in (Standing.DISPLACED, Standing.LEFT):
            return 0
        return 1 + len(self.here())

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        moments = [self.next_period]
        moments += [self.late_at] if self.phase is Phase.DIRECT else []
        moments += [e.until for e in self.errands.values()]
        moments += [self.verdict_at(m) for m in self.suspected]
        return min(moments)

    def verdict_at(self, member: Member) -> int:
        """When a suspect counts as dead: sooner the more accuse it, later the more we doubt ourselves."""
        others = max(0, self.size - 2)
        least = self.facts["suspicion"] * max(1.0, log10(others + 2)) * self.facts["period"]
        wanted = min(CONFIRM, others)
        confirmed = min(wanted, max(0, len(member.accusers) - 1))
        part = log(confirmed + 1) / log(wanted + 1) if wanted else 1.0
        lasts = least * (PATIENCE - (PATIENCE - 1) * part)
        return member.since + int(lasts * (1 + self.doubt))

    def spread(self) -> int:
        """To how many a claim is told."""
        return SPREAD * ceil(log10(self.size + 9))

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, below)

    def some(self, members: Sequence[Member], count: int) -> list[Member]:
        """That many of them, by chance."""
        left, chosen = list(members), list[Member]()
        while left and len(chosen) < count:
            chosen.append(left.pop(self.chance(len(left))))
        return chosen

    # begin and end

    def start(self, now: int) -> None:
        """Speak to the seeds."""
        self.now = now
        for host, port in self.facts["seeds"][:5]:
            self.say_ping(host, port)
        self.next_period = now + self.facts["period"] // 4

    def leave(self, now: int) -> None:
        """Say that this boot is over, to some directly; it is not taken back."""
        if self.standing in (Standing.JOINING, Standing.MEMBER):
            self.now = now
            self.me = changed(self.me, rank=Rank.LEFT)
            for member in self.some(self.here(), self.spread()):
                self.send(member, wire.Ack(0))
            self.stand(Standing.LEFT, "left in order")

    def stand(self, standing: Standing, why: str) -> None:
        if standing is not self.standing:
            self.standing = standing
            self.outside.log(f"fleet {standing.name.lower()}: {why}, {self.size} there, doubt {self.doubt}")

    # what is heard

    def heard(self, sender: Claim, word: wire.AnyWord, claims: Iterable[Claim], now: int) -> None:
        """A datagram of this fleet came."""
        self.now = now
        if self.standing is Standing.LEFT or sender.life == self.me.life:
            return
        if sender.name == self.me.name:
            return self.met_namesake(sender, word)
        before = self.members.get(sender.name)
        returns = before is not None and before.rank is Rank.DEAD
        for claim in (sender, *claims):
            self.believe(claim)
        member = self.members.get(sender.name)
        if self.standing is Standing.DISPLACED or member is None:
            return
        if member.claim.life != sender.life:  # another has taken its place, and it has to hear of that
            if isinstance(word, wire.Ping):
                self.outside.send(sender.host, sender.port, wire.Ack(0), (member.claim,))
            return
        member.heard = now
        if self.standing is Standing.JOINING and member.here:
            self.stand(Standing.MEMBER, f"{member.name} answers")
            returns = True
        if returns and member.here:  # it may know of many that we don't, or hold dead
            self.reading = (sender.host, sender.port, "")
            self.read_on()
        match word:
            case wire.Ping(seq):
                self.send(member, wire.Ack(seq))
            case wire.Ack(seq):
                self.answered(member, seq)
            case wire.Ask():
                self.relay(sender, word)
            case wire.Nack(seq):
                if seq == self.ping and self.phase is Phase.INDIRECT:
                    self.surer()  # that one hears us, so silence is not ours
            case wire.PageAsk(after):
                self.tell_page(member, after)
            case wire.Page():
                self.read(word, claims)

    def met_namesake(self, sender: Claim, word: wire.AnyWord) -> None:
        """Another process speaks under our name. The greater claim keeps it."""
        if self.rival is not None and sender.life == self.rival.life:
            self.rival_heard = self.now
        if sender.order > self.me.order:
            self.displaced(sender)
        elif isinstance(word, wire.Ping):  # it has to hear of us
            self.outside.send(sender.host, sender.port, wire.Ack(word.seq), ())

    def believe(self, claim: Claim) -> None:
        """Take up a claim if it is greater than what is held."""
        if claim.name == self.me.name:
            return self.of_me(claim)
        member = self.members.get(claim.name)
        if member is None:
            member = self.members[claim.name] = Member(claim, self.now)
            self.others = None
            if claim.rank >= Rank.DEAD:
                member.told = SPREAD  # old news, passed on to few
        elif claim.order > member.claim.order:
            if claim.rank != member.rank or claim.life != member.claim.life:
                member.since, self.others = self.now, None
            if claim.life != member.claim.life or claim.incarnation != member.claim.incarnation:
                member.accusers.clear()
            member.claim, member.told = claim, 0
        elif claim.rank is Rank.ALIVE:  # who says that it is there accuses nobody
            return
        elif claim.order == member.claim.order and claim.by and claim.by not in member.accusers:
            member.accusers.add(claim.by)
            if len(member.accusers) <= CONFIRM + 1:
                member.claim, member.told = claim, 0  # a further accuser is news
            self.news[member] = None
            return
        else:
            return
        if claim.rank is Rank.SUSPECT:
            member.accusers |= {claim.by} if claim.by else set()
            self.suspected[member] = None
        else:
            self.suspected.pop(member, None)
        self.news[member] = None
        self.outside.changed(member)

    def of_me(self, claim: Claim) -> None:
        """What others say of us: refuted by a higher incarnation, or told by a namesake's friends."""
        if claim.life == self.me.life:
            wrong = claim.rank > Rank.ALIVE and claim.incarnation >= self.me.incarnation
            if wrong and self.standing in (Standing.JOINING, Standing.MEMBER):
                self.me = changed(self.me, incarnation=claim.incarnation + 1)
                self.unsure()
        elif claim.order > self.me.order:
            if claim.rank <= Rank.SUSPECT:
                self.displaced(claim)
            elif self.standing is not Standing.LEFT:  # that process is gone; our clock was set back
                self.me = changed(self.me, boot=claim.boot + 1)

    def displaced(self, rival: Claim) -> None:
        if self.rival is None or rival.order > self.rival.order:
            self.rival, self.rival_heard = rival, self.now
        if self.standing in (Standing.JOINING, Standing.MEMBER):
            self.stand(Standing.DISPLACED, f"another process is {rival.name}, at port {rival.port}")
            for member in self.members.values():
                self.outside.changed(member)

    def answered(self, member: Member, seq: int) -> None:
        if seq == self.ping and self.phase in (Phase.DIRECT, Phase.INDIRECT) and member is self.target:
            self.probe(Event.ANSWER)
        errand = self.errands.pop(seq, None)
        if errand is not None:  # pass it on, in the name of the one that was asked for
            self.outside.send(errand.asker.host, errand.asker.port, wire.Ack(errand.seq), (member.claim,))

    def relay(self, asker: Claim, ask: wire.Ask) -> None:
        if len(self.errands) < 64:  # guards against one that asks without end
            self.seq += 1
            self.errands[self.seq] = Errand(asker, ask.seq, self.now + self.facts["direct"])
            self.outside.send(ask.host, ask.port, wire.Ping(self.seq), self.claims_for(None))

    # the table of another

    def tell_page(self, member: Member, after: str) -> None:
        names = sorted(name for name in self.members if name > after and name != member.name)
        claims, room = list[Claim](), wire.MOST - wire.HEAD
        for name in names:
            room -= wire.size(self.members[name].claim)
            if room < 0:
                break
            claims.append(self.members[name].claim)
        page = wire.Page(after, len(claims) < len(names))
        self.outside.send(member.claim.host, member.claim.port, page, tuple(claims))

    def read(self, page: wire.Page, claims: Iterable[Claim]) -> None:
        last = max((c.name for c in claims), default=page.after)
        self.cursor = last if page.more else ""
        if self.reading is not None and self.reading[2] == page.after:
            host, port, _ = self.reading
            self.reading = (host, port, last) if page.more and last > page.after else None
            self.read_on()

    def read_on(self) -> None:
        if self.reading is not None:
            host, port, after = self.reading
            self.outside.send(host, port, wire.PageAsk(after), ())

    # time

    def tick(self, now: int) -> None:
        """Do what is due."""
        before, self.now = self.now, now
        if self.standing is Standing.LEFT:
            self.next_period = now + self.facts["forget"]
            return
        stood = now - self.next_period > self.facts["period"] // 2
        if stood and self.phase in (Phase.DIRECT, Phase.INDIRECT):
            self.phase = Phase.IDLE  # we stood still: what was not heard meanwhile says nothing of others
            self.unsure()
            for member in self.suspected:
                member.since += now - before
        for seq in [seq for seq, errand in self.errands.items() if now >= errand.until]:
            errand = self.errands.pop(seq)
            self.outside.send(errand.asker.host, errand.asker.port, wire.Nack(errand.seq), ())
        for member in list(self.suspected):
            if now >= self.verdict_at(member):
                self.outside.log(f"{member.name} dead: silent for {now - member.since}, "
                                 f"{len(member.accusers)} accuse it, doubt {self.doubt}")  # fmt: skip
                self.believe(changed(member.claim, rank=Rank.DEAD, by=""))
        if self.phase is Phase.DIRECT and now >= self.late_at:
            self.probe(Event.LATE)
        if now >= self.next_period:
            self.period()

    def period(self) -> None:
        self.periods += 1
        lasts = self.facts["period"] * (1 + self.doubt)
        self.next_period = self.now + lasts
        if self.standing is Standing.DISPLACED:
            return self.ask_rival()
        self.probe(Event.PERIOD)
        if self.standing is Standing.JOINING or self.periods % self.facts["retry"] == 0:
            self.retry()
        if self.reading is not None:
            self.read_on()
        elif self.periods % self.facts["pages"] == 0:
            for member in self.some(self.here(), 1):
                self.outside.send(member.claim.host, member.claim.port, wire.PageAsk(self.cursor), ())
        for member in [m for m in self.members.values() if not m.here]:
            if self.now - member.since > self.facts["forget"]:
                del self.members[member.name]
                self.news.pop(member, None)
                self.suspected.pop(member, None)
                member.known = False
                self.outside.changed(member)

    def retry(self) -> None:
        """A word to one that is not there: a seed, or a dead one. Without it the halves of a partition that
        each hold the other dead would never meet again."""
        here = {(m.claim.host, m.claim.port) for m in self.members.values() if m.here}
        gone = [(m.claim.host, m.claim.port) for m in self.members.values() if m.rank is Rank.DEAD]
        mine = (self.me.host, self.me.port)
        addresses = [a for a in dict.fromkeys([*map(tuple, self.facts["seeds"]), *gone])
                     if a not in here and a != mine]  # fmt: skip
        if addresses:
            self.retries += 1
            host, port = addresses[self.retries % len(addresses)]
            self.say_ping(host, port, next((m for m in self.members.values() if m.claim.port == port), None))

    def ask_rival(self) -> None:
        """Whether the process that took our name still lives; a name that nobody answers to is ours again."""
        rival = self.rival
        assert rival is not None
        patience = self.facts["suspicion"] * PATIENCE * self.facts["period"]
        if self.now - self.rival_heard > patience:
            self.me, self.rival = changed(self.me, boot=rival.boot + 1), None
            self.standing = Standing.JOINING
            self.outside.log(f"fleet joining: nobody answers as {rival.name} at port {rival.port}")
            self.retry()
        else:
            self.say_ping(rival.host, rival.port)

    # the probe under way

    def probe(self, event: Event) -> None:
        self.phase, effect = PROBE[self.phase, event]
        if effect:
            effect(self)

    def ask(self) -> None:
        """Ping the next of the round: each once, in an order drawn anew each time."""
        while self.round and not (self.round[-1].known and self.round[-1].here):
            self.round.pop()
        if not self.round:
            here = self.here()
            self.round = self.some(here, len(here))
        if not self.round:
            self.phase = Phase.IDLE
            if self.standing is Standing.MEMBER:
                self.stand(Standing.JOINING, "nobody else is there")
            return
        self.target = self.round.pop()
        self.asked_at, self.late_at = self.now, self.now + self.facts["direct"] * (1 + self.doubt)
        claim = self.target.claim
        self.ping = self.say_ping(claim.host, claim.port, self.target)

    def ask_others(self) -> None:
        target = self.target
        assert target is not None
        relays = self.some([m for m in self.here() if m is not target], self.facts["relays"])
        for relay in relays:
            self.send(relay, wire.Ask(self.ping, target.name, target.claim.host, target.claim.port))
        if relays:
            self.unsure()  # until one of them says that it hears us

    def accuse(self) -> None:
        target = self.target
        assert target is not None
        if target.known and target.rank is Rank.ALIVE:
            self.outside.log(f"{target.name} suspect: no answer in {self.now - self.asked_at}")
        if target.known and target.here:
            self.believe(changed(target.claim, rank=Rank.SUSPECT, by=self.me.name))
        self.ask()

    def surer(self) -> None:
        self.doubt = max(0, self.doubt - 1)

    def unsure(self) -> None:
        self.doubt = min(DOUBT, self.doubt + 1)

    # what is said

    def say_ping(self, host: str, port: int, member: Member | None = None) -> int:
        self.seq += 1
        self.outside.send(host, port, wire.Ping(self.seq), self.claims_for(member))
        return self.seq

    def send(self, member: Member, word: wire.AnyWord) -> None:
        self.outside.send(member.claim.host, member.claim.port, word, self.claims_for(member))

    def claims_for(self, receiver: Member | None) -> tuple[Claim, ...]:
        """What is news, least told first; and what the receiver has to refute."""
        most = self.spread()
        claims, room = list[Claim](), wire.MOST - wire.HEAD
        if receiver is not None and receiver.rank is not Rank.ALIVE:
            claims.append(receiver.claim)
            room -= wire.size(receiver.claim)
        for member in nsmallest(24, self.news, key=lambda m: (m.told, -m.since)):
            room -= wire.size(member.claim)
            if room < 0:
                break
            claims.append(member.claim)
            member.told += 1
            if member.told >= most:
                del self.news[member]
        return tuple(claims)


def changed(claim: Claim, **fields: Any) -> Claim:
    return wire.replace(claim, **fields)


PROBE: dict[tuple[Phase, Event], tuple[Phase, Any]] = {
    (Phase.IDLE, Event.PERIOD): (Phase.DIRECT, Members.ask),
    (Phase.DIRECT, Event.ANSWER): (Phase.ANSWERED, Members.surer),
    (Phase.DIRECT, Event.LATE): (Phase.INDIRECT, Members.ask_others),
    (Phase.DIRECT, Event.PERIOD): (Phase.DIRECT, Members.accuse),
    (Phase.INDIRECT, Event.ANSWER): (Phase.ANSWERED, Members.surer),
    (Phase.INDIRECT, Event.PERIOD): (Phase.DIRECT, Members.accuse),
    (Phase.ANSWERED, Event.PERIOD): (Phase.DIRECT, Members.ask),
}
