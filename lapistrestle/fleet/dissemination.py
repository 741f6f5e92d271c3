"""How claims spread: piggybacked on every datagram, and by pages of whole tables. Free of I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Protocol

from lapistrestle.fleet.table import Member, MemberTable
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim, Rank

RETRANSMIT_FACTOR = 4  # a claim is passed on so often, times the decimal logarithm of the size
CANDIDATES = 24  # claims weighed for one datagram


class MembershipTransport(Protocol):
    """What membership can do to the world."""

    def send(self, host: str, port: int, word: wire.AnyWord, claims: tuple[Claim, ...]) -> None:
        """Send a datagram; nothing tells whether it arrives."""

    def changed(self, member: Member) -> None:
        """Another claim holds of a member, or it is known no more."""

    def log(self, text: str) -> None:
        """One log line."""


def retransmit_limit(size: int) -> int:
    """To how many a claim is passed on, in a fleet of that size."""
    return RETRANSMIT_FACTOR * ceil(log10(size + 9))


class Outbox:
    """Datagrams with claims beside them. Pings are numbered in order."""

    def __init__(self, transport: MembershipTransport, table: MemberTable) -> None:
        self.transport, self.table = transport, table
        self.ping_number = 0

    def ping(self, host: str, port: int, member: Member | None = None) -> int:
        """Ping an address, whose member is told what it has to refute. Returns the ping's number."""
        self.ping_number += 1
        self.transport.send(host, port, wire.Ping(self.ping_number), self.piggyback(member))
        return self.ping_number

    def send(self, member: Member, word: wire.AnyWord) -> None:
        """Send with claims that are news."""
        self.reply(member.claim, word, self.piggyback(member))

    def reply(self, to: Claim, word: wire.AnyWord, claims: tuple[Claim, ...] = ()) -> None:
        """Send with these claims alone."""
        self.transport.send(to.host, to.port, word, claims)

    def piggyback(self, receiver: Member | None) -> tuple[Claim, ...]:
        """What is news, least passed on first, as far as it fits; and what the receiver has to refute."""
        limit = retransmit_limit(self.table.size)
        claims, room = list[Claim](), wire.MOST - wire.HEAD
        if receiver is not None and receiver.rank is not Rank.ALIVE:
            claims.append(receiver.claim)
            room -= wire.size(receiver.claim)
        for member in nsmallest(CANDIDATES, self.table.news, key=lambda m: (m.transmissions, -m.since)):
            room -= wire.size(member.claim)
            if room < 0:
                break
            claims.append(member.claim)
            member.transmissions += 1
            if member.transmissions >= limit:
                del self.table.news[member]
        return tuple(claims)


@dataclass(frozen=True)
class Reading:
    """A whole table that is being read: whose, and after which name it goes on."""

    host: str
    port: int
    after: str


class TableSync:
    """Pages of tables, asked for and given, so that what no datagram brought becomes known too."""

    def __init__(self, outbox: Outbox, table: MemberTable) -> None:
        self.outbox, self.table = outbox, table
        self.reading: Reading | None = None
        self.cursor = ""  # after which name the next single page begins

    def read_whole(self, of: Claim) -> None:
        """Read another's table from its beginning to its end."""
        self.reading = Reading(of.host, of.port, "")
        self.read_on()

    def read_on(self) -> None:
        """Ask for the next page, or for the same again where it was lost."""
        if self.reading is not None:
            page = wire.PageAsk(self.reading.after)
            self.outbox.transport.send(self.reading.host, self.reading.port, page, ())

    def read_page(self, of: Claim) -> None:
        """Ask for the page that is next in turn."""
        self.outbox.reply(of, wire.PageAsk(self.cursor))

    def received(self, page: wire.Page, claims: Iterable[Claim]) -> None:
        """A page came; its claims are taken up by the caller."""
        last = max((c.name for c in claims), default=page.after)
        self.cursor = last if page.more else ""
        reading = self.reading
        if reading is not None and reading.after == page.after:
            goes_on = page.more and last > page.after
            self.reading = Reading(reading.host, reading.port, last) if goes_on else None
            self.read_on()

    def send_page(self, to: Member, after: str) -> None:
        """What is known of members whose names follow, as many as fit."""
        members = self.table.members
        names = sorted(name for name in members if name > after and name != to.name)
        claims, room = list[Claim](), wire.MOST - wire.HEAD
        for name in names:
            room -= wire.size(members[name].claim)
            if room < 0:
                break
            claims.append(members[name].claim)
        self.outbox.reply(to.claim, wire.Page(after, len(claims) < len(names)), tuple(claims))
