"""How membership updates spread: piggybacked on every datagram, and by pages of whole tables. Free of I/O.

Piggybacking is SWIM's infection-style dissemination (section 4.1); the pages are an anti-entropy exchange
(Demers et al., PODC 1987) for what no datagram brought.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Protocol

from lapistrestle.fleet.member_table import Member, MemberTable
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

RETRANSMIT_FACTOR = 4  # a record is piggybacked so often, times the decimal logarithm of the size
CANDIDATES = 24  # records weighed for one datagram: bounds the work of each
PAYLOAD_BYTES = wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES  # left for records


class MembershipTransport(Protocol):
    """What membership can do to the world."""

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
        """Send a datagram; nothing tells whether it arrives."""

    def on_member_changed(self, member: Member) -> None:
        """Another record of a member holds, or the member was forgotten."""

    def log(self, text: str) -> None:
        """Write one log line."""


def retransmit_limit(size: int) -> int:
    """How often a record is piggybacked in a fleet of that size (SWIM's lambda log n)."""
    return RETRANSMIT_FACTOR * ceil(log10(size + 9))


class Outbox:
    """Sends messages with records piggybacked on them. Pings are numbered in order."""

    def __init__(self, transport: MembershipTransport, table: MemberTable) -> None:
        self.transport = transport
        self.table = table
        self.ping_number = 0  # of the latest ping

    def ping(self, host: str, port: int, member: Member | None = None) -> int:
        """Ping an address; its `member` also gets the record that it has to refute. Returns the number."""
        self.ping_number += 1
        self.transport.send(host, port, wire.Ping(self.ping_number), self.piggyback(member))
        return self.ping_number

    def send(self, member: Member, message: wire.Message) -> None:
        """Send a message with records from the dissemination buffer."""
        self.reply(member.record, message, self.piggyback(member))

    def reply(
        self, receiver: MemberRecord, message: wire.Message, records: tuple[MemberRecord, ...] = ()
    ) -> None:
        """Send a message with just these records."""
        self.transport.send(receiver.host, receiver.port, message, records)

    def piggyback(self, receiver: Member | None) -> tuple[MemberRecord, ...]:
        """Records for one datagram: what the receiver has to refute, then those transmitted least."""
        limit = retransmit_limit(self.table.size)
        buffer = self.table.dissemination_buffer
        records = list[MemberRecord]()
        free_bytes = PAYLOAD_BYTES
        if receiver is not None and receiver.status is not MemberStatus.ALIVE:
            records.append(receiver.record)
            free_bytes -= wire.encoded_size(receiver.record)
        for member in nsmallest(CANDIDATES, buffer, key=least_transmitted):
            free_bytes -= wire.encoded_size(member.record)
            if free_bytes < 0:
                break
            records.append(member.record)
            member.transmissions += 1
            if member.transmissions >= limit:
                del buffer[member]
        return tuple(records)


def least_transmitted(member: Member) -> tuple[int, int]:
    """Order of piggybacking: the least transmitted first, of these the latest changed."""
    return member.transmissions, -member.status_since


@dataclass(frozen=True)
class TableRead:
    """A member table that is being read page by page: whose, and after which name the next page begins."""

    host: str
    port: int
    after: str


class TableSync:
    """Requests and sends pages of member tables, so that what no datagram brought becomes known too."""

    def __init__(self, outbox: Outbox, table: MemberTable) -> None:
        self.outbox = outbox
        self.table = table
        self.table_read: TableRead | None = None  # under way
        self.cursor = ""  # after which name the next single page begins

    def read_table(self, of: MemberRecord) -> None:
        """Begin to read another member's table from its first page to its last."""
        self.table_read = TableRead(of.host, of.port, "")
        self.request_next_page()

    def request_next_page(self) -> None:
        """Request the next page of the table being read, or the same again where it was lost."""
        if self.table_read is not None:
            request = wire.PageRequest(self.table_read.after)
            self.outbox.transport.send(self.table_read.host, self.table_read.port, request, ())

    def request_page(self, of: MemberRecord) -> None:
        """Request one page from another member, the next in turn."""
        self.outbox.reply(of, wire.PageRequest(self.cursor))

    def on_page(self, page: wire.TablePage, records: Iterable[MemberRecord]) -> None:
        """A page arrived; the caller applies its records."""
        last = max((record.name for record in records), default=page.after)
        self.cursor = last if page.more else ""
        reading = self.table_read
        if reading is not None and reading.after == page.after:
            has_next = page.more and last > page.after
            self.table_read = TableRead(reading.host, reading.port, last) if has_next else None
            self.request_next_page()

    def send_page(self, receiver: Member, after: str) -> None:
        """Send the records of members whose names follow, as many as fit into a datagram."""
        members = self.table.members
        names = sorted(name for name in members if name > after and name != receiver.name)
        records = list[MemberRecord]()
        free_bytes = PAYLOAD_BYTES
        for name in names:
            free_bytes -= wire.encoded_size(members[name].record)
            if free_bytes < 0:
                break
            records.append(members[name].record)
        more = len(records) < len(names)
        self.outbox.reply(receiver.record, wire.TablePage(after, more), tuple(records))
