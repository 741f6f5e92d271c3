"""One member's table of all others, free of I/O.

Of two records of one member the one with the greater precedence overrides, in whatever order they are
received (SWIM, section 4.2). So lost, duplicated and late datagrams lead to the same table.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.wire.fleet import MemberRecord, MemberStatus

MAX_CONFIRMATIONS = 3  # independent suspicions after which the shortest timeout holds (Lifeguard's K)
INITIAL_TRANSMISSIONS_OF_DEAD = 4  # of a member first learned of as dead, whose record has low priority


class LocalState(Enum):
    """This member's own state in its fleet."""

    JOINING = 1  # no other member has answered yet
    MEMBER = 2
    DISPLACED = 3  # another process uses this member's name
    LEFT = 4


ACTIVE_STATES = (LocalState.JOINING, LocalState.MEMBER)


@dataclass(eq=False)
class Member:
    """Another member, as far as known."""

    record: MemberRecord
    status_since: int  # when its status last changed, in ticks on our clock
    last_heard_at: int = -1  # when it last sent us a datagram; -1: never
    transmissions: int = 0  # how often its record was piggybacked
    suspected_by: set[str] = field(default_factory=set)  # members that suspect it independently
    is_known: bool = True  # False once it was removed from the table

    @property
    def name(self) -> str:
        """The member's name, the same after a restart."""
        return self.record.name

    @property
    def status(self) -> MemberStatus:
        """Its status according to its record."""
        return self.record.status

    @property
    def is_live(self) -> bool:
        """Whether it counts as present: a suspect still does."""
        return self.record.status <= MemberStatus.SUSPECT


class MemberTable:
    """One member's records of all others, and its own record and state."""

    def __init__(self, me: MemberRecord, on_member_changed: Callable[[Member], None]) -> None:
        """`me` is our own record; `on_member_changed` is called when a record is replaced or removed."""
        self.me = me
        self.on_member_changed = on_member_changed
        self.state = LocalState.JOINING
        self.members: dict[str, Member] = {}
        self.dissemination_buffer: dict[Member, None] = {}  # records still to be piggybacked
        self.suspected: dict[Member, None] = {}
        self.cached_live: list[Member] | None = []  # None: must be recomputed

    def live(self) -> list[Member]:
        """Other members that count as present, by name."""
        if self.cached_live is None:
            self.cached_live = [member for _, member in sorted(self.members.items()) if member.is_live]
        return self.cached_live

    @property
    def size(self) -> int:
        """Number of members present, this one included; 0 if it is displaced or has left."""
        return 1 + len(self.live()) if self.state in ACTIVE_STATES else 0

    def apply(self, record: MemberRecord, now: int) -> None:
        """Apply a record of another member if it overrides the current one."""
        member = self.members.get(record.name)
        if member is None:
            member = self.insert(record, now)
        elif record.precedence > member.record.precedence:
            self.override(member, record, now)
        else:
            self.confirm_suspicion(member, record)
            return
        if record.status is MemberStatus.SUSPECT:
            if record.suspected_by:
                member.suspected_by.add(record.suspected_by)
            self.suspected[member] = None
        else:
            self.suspected.pop(member, None)
        self.dissemination_buffer[member] = None
        self.on_member_changed(member)

    def insert(self, record: MemberRecord, now: int) -> Member:
        """Add an unknown member."""
        member = Member(record, now)
        self.members[record.name] = member
        self.cached_live = None
        if record.status >= MemberStatus.DEAD:
            member.transmissions = INITIAL_TRANSMISSIONS_OF_DEAD
        return member

    def override(self, member: Member, record: MemberRecord, now: int) -> None:
        """Replace a member's record by one with greater precedence."""
        held = member.record
        same_process = record.process_id == held.process_id
        if record.status != held.status or not same_process:
            member.status_since = now
            self.cached_live = None
        if not same_process or record.incarnation != held.incarnation:
            member.suspected_by.clear()
        member.record = record
        member.transmissions = 0

    def confirm_suspicion(self, member: Member, record: MemberRecord) -> None:
        """Count an independent suspicion of the same incarnation (Lifeguard's LHA-Suspicion)."""
        if record.status is MemberStatus.ALIVE or record.precedence != member.record.precedence:
            return
        if not record.suspected_by or record.suspected_by in member.suspected_by:
            return
        member.suspected_by.add(record.suspected_by)
        if len(member.suspected_by) <= MAX_CONFIRMATIONS + 1:
            member.record = record
            member.transmissions = 0
        self.dissemination_buffer[member] = None

    def forget(self, before: int) -> None:
        """Remove members that have been dead or left since before that time."""
        expired = [m for m in self.members.values() if not m.is_live and m.status_since < before]
        for member in expired:
            del self.members[member.name]
            self.dissemination_buffer.pop(member, None)
            self.suspected.pop(member, None)
            member.is_known = False
            self.on_member_changed(member)
