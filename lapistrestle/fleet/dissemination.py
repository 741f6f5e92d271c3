"""Dissemination of membership updates: piggybacked on datagrams, and by table pages. Free of I/O.

Piggybacking is SWIM's infection-style dissemination (section 4.1); the pages are an anti-entropy exchange
(Demers et al., PODC 1987) for updates that were lost.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Protocol

from lapistrestle.fleet.member_table import Member, MemberTable
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

RETRANSMIT_FACTOR = 4  # transmissions of a record, times the decimal logarithm of the fleet's size
CANDIDATES = 24  # records considered per datagram: bounds the cost of each
PAYLOAD_BYTES = wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES  # left for records


class MembershipTransport(Protocol):
    """The effects of membership; implemented by `GossipEndpoint`."""

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
        """Send a datagram; delivery is not guaranteed."""

    def on_member_changed(self, member: Member) -> None:
        """A member's record was replaced, or the member was forgotten."""

    def log(self, text: str) -> None:
        """Write one log line."""


def retransmit_limit(size: int) -> int:
    """How often a record is piggybacked in a fleet of this size (SWIM's lambda log n)."""
    return RETRANSMIT_FACTOR * ceil(log10(size + 9))


class Outbox:
    """Sends messages with piggybacked records, and numbers pings."""

    def __init__(self, transport: MembershipTransport, table: MemberTable) -> None:
        self.transport = transport
        self.table = table
        self.ping_number = 0  # of the latest ping

    def ping(self, host: str, port: int, member: Member | None = None) -> int:
        """Ping an address; a suspected `member` there also gets the record to refute. Returns the number."""
        self.ping_number += 1
        self.transport.send(host, port, wire.Ping(self.ping_number), self.piggyback(member))
        return self.ping_number

    def send(self, member: Member, message: wire.Message) -> None:
        """Send a message with records from the dissemination buffer."""
        self.reply(member.record, message, self.piggyback(member))

    def reply(
        self, receiver: MemberRecord, message: wire.Message, records: tuple[MemberRecord, ...] = ()
    ) -> None:
        """Send a message with these records only."""
        self.transport.send(receiver.host, receiver.port, message, records)

    def piggyback(self, receiver: Member | None) -> tuple[MemberRecord, ...]:
        """Records for one datagram: the one that the receiver has to refute, then the least transmitted."""
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
    """Sort key for piggybacking: the least transmitted first, among these the latest changed."""
    return member.transmissions, -member.status_since


@dataclass(frozen=True)
class TableRead:
    """A member table that is being read page by page; the next page begins after the name `after`."""

    host: str
    port: int
    after: str


class TableSync:
    """Requests and sends pages of member tables, so that lost updates are repaired."""

    def __init__(self, outbox: Outbox, table: MemberTable) -> None:
        self.outbox = outbox
        self.table = table
        self.table_read: TableRead | None = None  # the one in progress
        self.cursor = ""  # name after which the next single page begins

    def read_table(self, of: MemberRecord) -> None:
        """Start reading another member's whole table."""
        self.table_read = TableRead(of.host, of.port, "")
        self.request_next_page()

    def request_next_page(self) -> None:
        """Request the next page of the table being read; repeats the request if the answer was lost."""
        if self.table_read is not None:
            request = wire.PageRequest(self.table_read.after)
            self.outbox.transport.send(self.table_read.host, self.table_read.port, request, ())

    def request_page(self, of: MemberRecord) -> None:
        """Request one page from another member, after the last one received."""
        self.outbox.reply(of, wire.PageRequest(self.cursor))

    def on_page(self, page: wire.TablePage, records: Iterable[MemberRecord]) -> None:
        """Handle a page; the caller applies its records."""
        last = max((record.name for record in records), default=page.after)
        self.cursor = last if page.more else ""
        reading = self.table_read
        if reading is not None and reading.after == page.after:
            has_next = page.more and last > page.after
            self.table_read = TableRead(reading.host, reading.port, last) if has_next else None
            self.request_next_page()

    def send_page(self, receiver: Member, after: str) -> None:
        """Send the records of members with names after `after`, as many as fit in a datagram."""
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
