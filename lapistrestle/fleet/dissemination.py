"""How claims spread: piggybacked on every datagram, and by pages of whole tables. Free of I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Protocol

from lapistrestle.fleet.member_table import Member, MemberTable
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

RETRANSMIT_FACTOR = 4  # a claim is passed on so often, times the decimal logarithm of the size
CANDIDATES = 24  # claims weighed for one datagram


class MembershipTransport(Protocol):
    """What membership can do to the world."""

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
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

    def send(self, member: Member, message: wire.Message) -> None:
        """Send with claims that are news."""
        self.reply(member.record, message, self.piggyback(member))

    def reply(self, to: MemberRecord, message: wire.Message, records: tuple[MemberRecord, ...] = ()) -> None:
        """Send with these claims alone."""
        self.transport.send(to.host, to.port, message, records)

    def piggyback(self, receiver: Member | None) -> tuple[MemberRecord, ...]:
        """What is news, least passed on first, as far as it fits; and what the receiver has to refute."""
        limit = retransmit_limit(self.table.size)
        records, room = list[MemberRecord](), wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES
        if receiver is not None and receiver.status is not MemberStatus.ALIVE:
            records.append(receiver.record)
            room -= wire.encoded_size(receiver.record)
        for member in nsmallest(CANDIDATES, self.table.news, key=lambda m: (m.transmissions, -m.since)):
            room -= wire.encoded_size(member.record)
            if room < 0:
                break
            records.append(member.record)
            member.transmissions += 1
            if member.transmissions >= limit:
                del self.table.news[member]
        return tuple(records)


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

    def read_whole(self, of: MemberRecord) -> None:
        """Read another's table from its beginning to its end."""
        self.reading = Reading(of.host, of.port, "")
        self.read_on()

    def read_on(self) -> None:
        """Ask for the next page, or for the same again where it was lost."""
        if self.reading is not None:
            page = wire.PageRequest(self.reading.after)
            self.outbox.transport.send(self.reading.host, self.reading.port, page, ())

    def read_page(self, of: MemberRecord) -> None:
        """Ask for the page that is next in turn."""
        self.outbox.reply(of, wire.PageRequest(self.cursor))

    def received(self, page: wire.TablePage, records: Iterable[MemberRecord]) -> None:
        """A page came; its claims are taken up by the caller."""
        last = max((c.name for c in records), default=page.after)
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
        records, room = list[MemberRecord](), wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES
        for name in names:
            room -= wire.encoded_size(members[name].record)
            if room < 0:
                break
            records.append(members[name].record)
        self.outbox.reply(to.record, wire.TablePage(after, len(records) < len(names)), tuple(records))
