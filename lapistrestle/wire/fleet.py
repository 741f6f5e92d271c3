"""Datagrams between dispatchers: one msgpack value of at most 1,200 bytes each, with its fleet and version.

The messages are those of SWIM (Das, Gupta, Motivala, DSN 2002: ping, ack, ping-req, piggybacked membership
updates) with Lifeguard's nack (Dadgar, Phillips, Currey, DSN-W 2018), gossiped counters and quota leases
(docs/fleet.md). Structs are encoded as arrays of their fields, messages with a numeric tag in front, so no
Python name is on the wire.

Times are whole ticks of 0.1 ms; an age counts from when the value was valid at its source.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

VERSION = 1  # of the protocol; datagrams of another version are rejected
MAX_DATAGRAM_BYTES = 1_200  # so that a datagram crosses any link without fragmentation
ENVELOPE_BYTES = 160  # reserved for everything but the piggybacked records, with names of maximum length

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
OptionalName = Annotated[str, Meta(max_length=64)]  # "": no member
WorkerName = Annotated[str, Meta(min_length=1, max_length=200)]
Zone = Annotated[str, Meta(max_length=32)]
Host = Annotated[str, Meta(max_length=15)]  # an IPv4 address
Port = Annotated[int, Meta(ge=1, le=65_535)]
NonNegative = Annotated[int, Meta(ge=0, lt=2**62)]

ProcessId = tuple[str, int, int]  # name, boot and nonce, which identify one start of one process


class MemberStatus(IntEnum):
    """The states of a SWIM member; within one incarnation a greater value overrides."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class ArrayStruct(Struct, array_like=True, frozen=True, gc=False):
    """A part of a datagram, encoded as an array of its fields."""


class MemberRecord(ArrayStruct, frozen=True):
    """A membership update: a member's address, incarnation and status as another member believes them.

    `boot` grows with each start of a process, `nonce` distinguishes two processes of one name, and only the
    member itself raises its `incarnation`, to refute a suspicion (SWIM, section 4.2).
    """

    name: MemberName
    boot: NonNegative
    nonce: NonNegative
    incarnation: NonNegative
    status: MemberStatus
    host: Host
    port: Port
    zone: Zone = ""
    suspected_by: OptionalName = ""  # does not count towards the precedence

    @property
    def precedence(self) -> tuple[int, int, bool, int, int]:
        """The key by which the greater record overrides; after LEFT no record of the same boot does."""
        return self.boot, self.nonce, self.status is MemberStatus.LEFT, self.incarnation, self.status

    @property
    def process_id(self) -> ProcessId:
        """The process, and its start, that the record describes."""
        return self.name, self.boot, self.nonce


class CounterSnapshot(ArrayStruct, frozen=True):
    """One member's monotonic counters, as of `at` on its own clock, `age` ago."""

    name: MemberName
    boot: NonNegative
    nonce: NonNegative
    seq: NonNegative
    at: NonNegative
    age: NonNegative
    counts: tuple[NonNegative, ...]


class WorkerVerdict(ArrayStruct, frozen=True):
    """The result of a member's health check of a worker, `age` ago."""

    worker: WorkerName
    healthy: bool
    age: NonNegative
    prober: MemberName


class TaggedStruct(Struct, array_like=True, tag=True, frozen=True, gc=False):
    """A message, encoded as an array of its tag and its fields."""


class Ping(TaggedStruct, tag=1, frozen=True):
    """A probe, answered by an `Ack` with the same number."""

    seq: NonNegative


class Ack(TaggedStruct, tag=2, frozen=True):
    """The answer to the ping with the same number; 0 is unsolicited."""

    seq: NonNegative


class PingRequest(TaggedStruct, tag=3, frozen=True):
    """SWIM's ping-req: a request to ping that member on the sender's behalf."""

    seq: NonNegative
    name: MemberName
    host: Host
    port: Port


class Nack(TaggedStruct, tag=4, frozen=True):
    """Lifeguard's nack: the target of a ping-req has not answered the relaying member, which is alive."""

    seq: NonNegative


class PageRequest(TaggedStruct, tag=5, frozen=True):
    """A request for the next page of the member table, of names greater than `after`."""

    after: OptionalName


class TablePage(TaggedStruct, tag=6, frozen=True):
    """A page of the sender's member table, in the datagram's records; `more`: further pages follow."""

    after: OptionalName
    more: bool


class CounterGossip(TaggedStruct, tag=7, frozen=True):
    """Counters of members and health verdicts on workers. `layout` is a checksum of the counters' names."""

    layout: NonNegative
    snapshots: tuple[CounterSnapshot, ...]
    verdicts: tuple[WorkerVerdict, ...] = ()


class LeaseRequest(TaggedStruct, tag=8, frozen=True):
    """A request to lease units of a quota; `requested_at` is the borrower's clock, returned unchanged."""

    quota: MemberName
    number: NonNegative
    requested_at: NonNegative
    units: NonNegative


class LeaseGrant(TaggedStruct, tag=9, frozen=True):
    """A lease of units for `duration`, which the borrower counts from `requested_at`."""

    quota: MemberName
    number: NonNegative
    requested_at: NonNegative
    units: NonNegative
    duration: NonNegative


class LeaseReturn(TaggedStruct, tag=10, frozen=True):
    """The return of a lease's units before it expires."""

    quota: MemberName
    number: NonNegative


LeaseMessage = LeaseRequest | LeaseGrant | LeaseReturn
Message = Ping | Ack | PingRequest | Nack | PageRequest | TablePage | CounterGossip | LeaseMessage


class Datagram(ArrayStruct, frozen=True):
    """One datagram: the sender's record of itself, a message and piggybacked records of other members."""

    fleet: OptionalName
    version: int
    sender: MemberRecord
    message: Message
    records: tuple[MemberRecord, ...] = ()


class Envelope(ArrayStruct, frozen=True):
    """The fields of a datagram that are the same in every version."""

    fleet: str
    version: int


class DatagramError(Exception):
    """A datagram is malformed, or of another fleet or version.

    `field` names the invalid part; `found` and `expected` are its values if it could be decoded.
    """

    def __init__(
        self, message: str, field: str, found: str | int | None = None, expected: str | int | None = None
    ) -> None:
        super().__init__(message)
        self.field, self.found, self.expected = field, found, expected


ENCODER = msgspec.msgpack.Encoder()
DATAGRAM_DECODER = msgspec.msgpack.Decoder(Datagram)
ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return ENCODER.encode(datagram)


def decode(data: bytes, fleet: str) -> Datagram:
    """Decode a datagram of this fleet; raises `DatagramError`."""
    try:
        envelope = ENVELOPE_DECODER.decode(data)
        if envelope.fleet != fleet:
            raise DatagramError(
                f'it is of the fleet "{envelope.fleet[:64]}", this one is "{fleet}"',
                "fleet", envelope.fleet, fleet,
            )  # fmt: skip
        if envelope.version != VERSION:
            raise DatagramError(
                f"it is of version {envelope.version}, this one speaks {VERSION}",
                "version", envelope.version, VERSION,
            )  # fmt: skip
        return DATAGRAM_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DatagramError(f"it can't be read: {error}", "datagram") from None


def replace(record: MemberRecord, **fields: object) -> MemberRecord:
    """Return a copy of the record with some fields replaced."""
    return msgspec.structs.replace(record, **fields)


def with_age(snapshot: CounterSnapshot, age: int) -> CounterSnapshot:
    """Return a copy of the snapshot with this age, for forwarding it."""
    return msgspec.structs.replace(snapshot, age=age)


def encoded_size(part: ArrayStruct) -> int:
    """Return the encoded size in bytes of a record, snapshot or verdict."""
    return len(ENCODER.encode(part))
