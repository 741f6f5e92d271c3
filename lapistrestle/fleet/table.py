"""What is believed of each member, free of I/O. What is said of a member is a claim, and of two claims the
greater holds whatever came first, so lost, doubled and late datagrams lead to the same belief."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.wire.fleet import Claim, Rank

CONFIRMATIONS = 3  # further accusers after whom the least suspicion is enough
OLD_NEWS = 4  # transmissions that the claim of one counts as having had who was dead before we heard of it

SelfState = Enum("SelfState", "JOINING MEMBER DISPLACED LEFT")  # of oneself
ACTIVE = (SelfState.JOINING, SelfState.MEMBER)


@dataclass(eq=False)
class Member:
    """Another dispatcher, as far as it is known."""

    claim: Claim
    since: int  # when its rank last changed
    heard: int = -1  # when it last spoke to us itself
    transmissions: int = 0  # how often this claim was passed on
    accusers: set[str] = field(default_factory=set)
    known: bool = True

    @property
    def name(self) -> str:
        """The same in all its lives."""
        return self.claim.name

    @property
    def rank(self) -> Rank:
        """What is believed of it."""
        return self.claim.rank

    @property
    def live(self) -> bool:
        """Whether it counts as there: a suspect still does."""
        return self.claim.rank <= Rank.SUSPECT


class MemberTable:
    """One dispatcher's beliefs of all. `me` is its own claim, `changed` is called with each member of whom
    another claim holds, or who is forgotten."""

    def __init__(self, me: Claim, changed: Callable[[Member], None]) -> None:
        self.me, self.changed = me, changed
        self.state = SelfState.JOINING
        self.members: dict[str, Member] = {}
        self.news: dict[Member, None] = {}  # whose claims are still to be passed on
        self.suspected: dict[Member, None] = {}
        self.live_by_name: list[Member] | None = []  # None: to be made anew

    def live(self) -> list[Member]:
        """Others that count as there, by name."""
        if self.live_by_name is None:
            self.live_by_name = [m for _, m in sorted(self.members.items()) if m.live]
        return self.live_by_name

    @property
    def size(self) -> int:
        """How many count as there, oneself included; a displaced or left one is alone and no member."""
        return 1 + len(self.live()) if self.state in ACTIVE else 0

    def apply(self, claim: Claim, now: int) -> None:
        """Take up a claim about another if it is greater than what is held."""
        member = self.members.get(claim.name)
        if member is None:
            member = self.insert(claim, now)
        elif claim.order > member.claim.order:
            self.replace(member, claim, now)
        else:
            return self.confirm(member, claim)
        if claim.rank is Rank.SUSPECT:
            member.accusers |= {claim.by} if claim.by else set()
            self.suspected[member] = None
        else:
            self.suspected.pop(member, None)
        self.news[member] = None
        self.changed(member)

    def insert(self, claim: Claim, now: int) -> Member:
        """One of whom nothing was known."""
        member = self.members[claim.name] = Member(claim, now)
        self.live_by_name = None
        if claim.rank >= Rank.DEAD:
            member.transmissions = OLD_NEWS
        return member

    def replace(self, member: Member, claim: Claim, now: int) -> None:
        """A greater claim holds."""
        held = member.claim
        if claim.rank != held.rank or claim.life != held.life:
            member.since, self.live_by_name = now, None
        if claim.life != held.life or claim.incarnation != held.incarnation:
            member.accusers.clear()
        member.claim, member.transmissions = claim, 0

    def confirm(self, member: Member, claim: Claim) -> None:
        """A further accuser of the same suspicion is news; who says that a member is there accuses nobody."""
        if claim.rank is Rank.ALIVE or claim.order != member.claim.order:
            return
        if not claim.by or claim.by in member.accusers:
            return
        member.accusers.add(claim.by)
        if len(member.accusers) <= CONFIRMATIONS + 1:
            member.claim, member.transmissions = claim, 0
        self.news[member] = None

    def forget(self, before: int) -> None:
        """Drop those that have been dead or gone since before that moment."""
        for member in [m for m in self.members.values() if not m.live and m.since < before]:
            del self.members[member.name]
            self.news.pop(member, None)
            self.suspected.pop(member, None)
            member.known = False
            self.changed(member)
