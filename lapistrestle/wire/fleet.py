"""Datagrams between dispatchers: one msgpack value each, under 1,200 bytes, with fleet and version named.

What is said of a member is a `Claim`; claims about one member are ordered, and the greater one holds. Times
are whole tenths of a millisecond, ages count from when the figures were true at their source.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MOST = 1_200  # bytes of a datagram, so that it crosses any link in one piece
HEAD = 160  # of these, what the datagram itself takes around its claims and rows, names at their longest

Text = Annotated[str, Meta(min_length=1, max_length=64)]
Zone = Annotated[str, Meta(max_length=32)]
Host = Annotated[str, Meta(max_length=15)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Whole = Annotated[int, Meta(ge=0, lt=2**62)]
Rank = IntEnum("Rank", "ALIVE SUSPECT DEAD LEFT")  # of claims of one incarnation the later here holds


class Part(Struct, array_like=True, frozen=True, gc=False):
    """A piece of a datagram, as a list of its fields."""


class Claim(Part, frozen=True):
    """What is said of one member. `boot` differs at each start and grows, `nonce` tells two processes under
    one name apart, `incarnation` grows where a member refutes what is said of it."""

    name: Text
    boot: Whole
    nonce: Whole
    incarnation: Whole
    rank: Rank
    host: Host
    port: Port
    zone: Zone = ""
    by: Annotated[str, Meta(max_length=64)] = ""  # who suspects it; no part of the order

    @property
    def order(self) -> tuple[int, int, bool, int, int]:
        """Leaving ends a boot for good; else the incarnation counts before the rank."""
        return self.boot, self.nonce, self.rank is Rank.LEFT, self.incarnation, self.rank

    @property
    def life(self) -> tuple[str, int, int]:
        """One start of one process."""
        return self.name, self.boot, self.nonce


class Row(Part, frozen=True):
    """One member's counters, which only grow, as of `at` on its own clock and `age` ago."""

    name: Text
    boot: Whole
    nonce: Whole
    seq: Whole
    at: Whole
    age: Whole
    counts: tuple[Whole, ...]


class Verdict(Part, frozen=True):
    """What one member found of one worker, `age` ago."""

    worker: Annotated[str, Meta(min_length=1, max_length=200)]
    fit: bool
    age: Whole
    by: Text


class Word(Struct, array_like=True, tag=True, frozen=True, gc=False):
    """What a datagram is for."""


class Ping(Word, tag=1, frozen=True):
    """Answer me."""

    seq: Whole


class Ack(Word, tag=2, frozen=True):
    """An answer to the ping of that number; 0: to none."""

    seq: Whole


class Ask(Word, tag=3, frozen=True):
    """Ping that member for me."""

    seq: Whole
    name: Text
    host: Host
    port: Port


class Nack(Word, tag=4, frozen=True):
    """The member that I was to ping has not answered me; I am here, though."""

    seq: Whole


class PageAsk(Word, tag=5, frozen=True):
    """Say what you know of members whose names follow this one."""

    after: Annotated[str, Meta(max_length=64)]


class Page(Word, tag=6, frozen=True):
    """The claims beside it are all that I know of after that name, or the first where there is `more`."""

    after: Annotated[str, Meta(max_length=64)]
    more: bool


class Rows(Word, tag=7, frozen=True):
    """Counters of members, and verdicts. `layout` names the columns."""

    layout: Whole
    rows: tuple[Row, ...]
    verdicts: tuple[Verdict, ...] = ()


class Lend(Word, tag=8, frozen=True):
    """Ask for units of an allowance; `asked` is the asker's clock, given back unread."""

    allowance: Text
    number: Whole
    asked: Whole
    units: Whole


class Lent(Word, tag=9, frozen=True):
    """Units lent, for a time that the borrower counts from `asked`."""

    allowance: Text
    number: Whole
    asked: Whole
    units: Whole
    lasts: Whole


class Returned(Word, tag=10, frozen=True):
    """The borrower no longer uses what was lent under this number."""

    allowance: Text
    number: Whole


AnyWord = Ping | Ack | Ask | Nack | PageAsk | Page | Rows | Lend | Lent | Returned


class Datagram(Part, frozen=True):
    """`sender` is what the sender says of itself; `claims` is what it says of others."""

    fleet: Annotated[str, Meta(max_length=64)]
    version: int
    sender: Claim
    word: AnyWord
    claims: tuple[Claim, ...] = ()


class Envelope(Part, frozen=True):
    """As much of a datagram as every version has."""

    fleet: str
    version: int


class Unreadable(Exception):
    """Bytes that are no datagram of this fleet and version; the text says which part."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)
ENVELOPE = msgspec.msgpack.Decoder(Envelope)


def pack(datagram: Datagram) -> bytes:
    return ENCODER.encode(datagram)


def replace(claim: Claim, **fields: object) -> Claim:
    """The same claim with other fields."""
    return msgspec.structs.replace(claim, **fields)


def aged(row: Row, age: int) -> Row:
    """The same row as it is passed on, `age` after it was true."""
    return msgspec.structs.replace(row, age=age)


def size(part: Part) -> int:
    """Bytes that a claim, row or verdict takes."""
    return len(ENCODER.encode(part))


def unpack(data: bytes, fleet: str) -> Datagram:
    """Raises Unreadable, which names another fleet or version where it is that."""
    try:
        head = ENVELOPE.decode(data)
        if head.fleet != fleet:
            raise Unreadable(f'it is of the fleet "{head.fleet[:64]}", this one is "{fleet}"')
        if head.version != VERSION:
            raise Unreadable(f"it is of version {head.version}, this one speaks {VERSION}")
        return DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise Unreadable(f"it can't be read: {trouble}") from None
