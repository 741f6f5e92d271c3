"""What is believed of each member, free of I/O. What is said of a member is a claim, and of two claims the
greater holds whatever came first, so lost, doubled and late datagrams lead to the same belief."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MAX_CONFIRMATIONS = 3  # further accusers after whom the least suspicion is enough
OLD_NEWS = 4  # transmissions that the claim of one counts as having had who was dead before we heard of it

LocalState = Enum("LocalState", "JOINING MEMBER DISPLACED LEFT")  # of oneself
ACTIVE_STATES = (LocalState.JOINING, LocalState.MEMBER)


@dataclass(eq=False)
class Member:
    """Another dispatcher, as far as it is known."""

    record: MemberRecord
    since: int  # when its rank last changed
    last_heard_at: int = -1  # when it last spoke to us itself
    transmissions: int = 0  # how often this claim was passed on
    suspecters: set[str] = field(default_factory=set)
    known: bool = True

    @property
    def name(self) -> str:
        """The same in all its lives."""
        return self.record.name

    @property
    def status(self) -> MemberStatus:
        """What is believed of it."""
        return self.record.status

    @property
    def live(self) -> bool:
        """Whether it counts as there: a suspect still does."""
        return self.record.status <= MemberStatus.SUSPECT


class MemberTable:
    """One dispatcher's beliefs of all. `me` is its own claim, `changed` is called with each member of whom
    another claim holds, or who is forgotten."""

    def __init__(self, me: MemberRecord, changed: Callable[[Member], None]) -> None:
        self.me, self.changed = me, changed
        self.state = LocalState.JOINING
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
        return 1 + len(self.live()) if self.state in ACTIVE_STATES else 0

    def apply(self, record: MemberRecord, now: int) -> None:
        """Take up a claim about another if it is greater than what is held."""
        member = self.members.get(record.name)
        if member is None:
            member = self.insert(record, now)
        elif record.precedence > member.record.precedence:
            self.replace(member, record, now)
        else:
            return self.confirm(member, record)
        if record.status is MemberStatus.SUSPECT:
            member.suspecters |= {record.suspected_by} if record.suspected_by else set()
            self.suspected[member] = None
        else:
            self.suspected.pop(member, None)
        self.news[member] = None
        self.changed(member)

    def insert(self, record: MemberRecord, now: int) -> Member:
        """One of whom nothing was known."""
        member = self.members[record.name] = Member(record, now)
        self.live_by_name = None
        if record.status >= MemberStatus.DEAD:
            member.transmissions = OLD_NEWS
        return member

    def replace(self, member: Member, record: MemberRecord, now: int) -> None:
        """A greater claim holds."""
        held = member.record
        if record.status != held.status or record.process_id != held.process_id:
            member.since, self.live_by_name = now, None
        if record.process_id != held.process_id or record.incarnation != held.incarnation:
            member.suspecters.clear()
        member.record, member.transmissions = record, 0

    def confirm(self, member: Member, record: MemberRecord) -> None:
        """A further accuser of the same suspicion is news; who says that a member is there accuses nobody."""
        if record.status is MemberStatus.ALIVE or record.precedence != member.record.precedence:
            return
        if not record.suspected_by or record.suspected_by in member.suspecters:
            return
        member.suspecters.add(record.suspected_by)
        if len(member.suspecters) <= MAX_CONFIRMATIONS + 1:
            member.record, member.transmissions = record, 0
        self.news[member] = None

    def forget(self, before: int) -> None:
        """Drop those that have been dead or gone since before that moment."""
        for member in [m for m in self.members.values() if not m.live and m.since < before]:
            del self.members[member.name]
            self.news.pop(member, None)
            self.suspected.pop(member, None)
            member.known = False
            self.changed(member)
