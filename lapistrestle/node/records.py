"""FastCGI 1.0 records, bytes to events and back. No I/O.

Bounds hold before anything is kept: a client may send what it likes at full speed. Once bytes can't be read
as records nothing after them can be either, so a reader that is broken stays so.
"""

from dataclasses import dataclass, field
from struct import Struct

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
RESPONDER = 1
KEEP_CONN = 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)  # protocol status of an end

HEAD = Struct(">BBHHBB")  # version, kind, number, bytes of content, of padding, nothing
MOST_OPEN = 32  # requests of one connection
MOST_PARAMS = 16_384  # bytes; the fields of a request take some hundreds
MOST_BODY = 16_384  # bytes
PIECE = 65_528  # bytes of one record: the most that is a multiple of eight


@dataclass(slots=True)
class Begun:
    """A request that has not come whole."""

    keep: bool
    params: bytearray = field(default_factory=bytearray)
    fields: dict[bytes, bytes] | None = None
    body: bytearray = field(default_factory=bytearray)


@dataclass(slots=True, frozen=True)
class Request:
    """A request whose last byte has come."""

    number: int
    keep: bool
    fields: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True, frozen=True)
class Bad:
    """A request that can't be used, with the status it is owed; records of it that follow are passed over."""

    number: int
    status: int
    why: str


@dataclass(slots=True, frozen=True)
class Aborted:
    number: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Bytes that are owed at once."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Broken:
    """Nothing more can be read on this connection."""

    why: str
    number: int = 0  # of the open request whose number was used again


Event = Request | Bad | Aborted | Reply | Broken


class Reader:
    """The requests of one connection. `begun` holds those that have not come whole, `open` those that have
    and are not ended yet (the host calls `ended`)."""

    def __init__(self) -> None:
        self.rest = b""
        self.begun: dict[int, Begun] = {}
        self.open: set[int] = set()
        self.refused: set[int] = set()  # ended before they had come whole
        self.broken = False

    def ended(self, number: int) -> None:
        self.open.discard(number)

    def refuse_begun(self) -> list[int]:
        """Take nothing more of the requests that have not come whole; returns their numbers."""
        numbers = list(self.begun)
        self.refused.update(numbers)
        self.begun.clear()
        return numbers

    def held(self) -> int:
        """Bytes kept of what has not come whole."""
        return len(self.rest) + sum(len(b.params) + len(b.body) for b in self.begun.values())

    def feed(self, data: bytes) -> list[Event]:
        if self.broken:
            return []
        if self.rest:
            data = self.rest + data
        at, end, events = 0, len(data), list[Event]()
        while end - at >= 8:
            size = (data[at + 4] << 8) | data[at + 5]
            stop = at + 8 + size + data[at + 6]
            if data[at] != 1:
                return self.broke(events, f"version {data[at]} of a record")
            if stop > end:
                break
            number = (data[at + 2] << 8) | data[at + 3]
            why = self.record(data[at + 1], number, data[at + 8 : at + 8 + size], events)
            if why:
                doubled = data[at + 1] == BEGIN and number in self.open
                return self.broke(events, why, number if doubled else 0)
            at = stop
        self.rest = data[at:]
        return events

    def broke(self, events: list[Event], why: str, doubled: int = 0) -> list[Event]:
        self.broken, self.rest = True, b""
        for number in self.begun:
            events.append(Bad(number, 400, why))
        self.begun.clear()
        events.append(Broken(why, doubled))
        return events

    def record(self, kind: int, number: int, content: bytes, events: list[Event]) -> str:
        """One record; says why if it breaks the connection."""
        if kind in (PARAMS, STDIN):
            begun = self.begun.get(number)
            if begun is None:
                # late pieces of a request that was refused, or was aborted, are its own
                return "" if number in self.refused or number in self.open else "a piece of no request"
            if kind == PARAMS:
                return self.params(number, begun, content, events)
            return self.stdin(number, begun, content, events)
        if kind == BEGIN:
            return self.begin(number, content, events)
        if kind == ABORT:
            if self.begun.pop(number, None) is not None:
                self.refused.add(number)
                events.append(Aborted(number))
            elif number in self.open:
                events.append(Aborted(number))
            return ""
        if kind == GET_VALUES and number == 0:
            events.append(Reply(values(content)))
            return ""
        if number == 0:
            events.append(Reply(unknown(kind)))
            return ""
        return "" if kind == DATA else f"a record of type {kind} for a request"

    def begin(self, number: int, content: bytes, events: list[Event]) -> str:
        if number == 0 or len(content) != 8:
            return "a begin that is none"
        if number in self.begun or number in self.open:
            return "two requests under one number"
        self.refused.discard(number)
        role, keep = (content[0] << 8) | content[1], bool(content[2] & KEEP_CONN)
        if role != RESPONDER:
            self.refuse(events, Reply(end_record(number, UNKNOWN_ROLE)), number)
        elif len(self.begun) + len(self.open) >= MOST_OPEN:
            self.refuse(events, Reply(end_record(number, OVERLOADED)), number)
        else:
            self.begun[number] = Begun(keep)
        return "" if len(self.refused) <= 1024 else "too many refused requests under new numbers"

    def refuse(self, events: list[Event], event: Event, number: int) -> None:
        self.begun.pop(number, None)
        self.refused.add(number)
        events.append(event)

    def params(self, number: int, begun: Begun, content: bytes, events: list[Event]) -> str:
        if begun.fields is not None:
            return "fields after their end"
        if content:
            begun.params += content
            if len(begun.params) > MOST_PARAMS:
                self.refuse(events, Bad(number, 431, "fields longer than a request's"), number)
            return ""
        fields = pairs(bytes(begun.params))
        if fields is None:
            self.refuse(events, Bad(number, 400, "fields whose lengths don't fit"), number)
            return ""
        begun.fields, begun.params = fields, bytearray()
        return ""

    def stdin(self, number: int, begun: Begun, content: bytes, events: list[Event]) -> str:
        if begun.fields is None:
            self.refuse(events, Bad(number, 400, "a body before the end of the fields"), number)
        elif not content:
            del self.begun[number]
            self.open.add(number)
            events.append(Request(number, begun.keep, begun.fields, bytes(begun.body)))
        elif len(begun.body) + len(content) > MOST_BODY:
            self.refuse(events, Bad(number, 413, "a body longer than 16 KiB"), number)
        else:
            begun.body += content
        return ""


def length(data: bytes, at: int) -> tuple[int, int]:
    """A length of one byte or four, and where it ends; -1 where the bytes run out."""
    if at >= len(data):
        return -1, at
    if data[at] < 128:
        return data[at], at + 1
    if at + 4 > len(data):
        return -1, at
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def pairs(data: bytes) -> dict[bytes, bytes] | None:
    """Names and values; None if the lengths don't fit, or a name comes twice."""
    found, at, end = dict[bytes, bytes](), 0, len(data)
    while at < end:
        if data[at] < 128 and at + 1 < end and data[at + 1] < 128:  # the usual
            name_size, value_size, at = data[at], data[at + 1], at + 2
        else:
            name_size, at = length(data, at)
            value_size, at = length(data, at) if name_size >= 0 else (-1, at)
        middle = at + name_size
        if name_size < 0 or value_size < 0 or middle + value_size > end:
            return None
        name = data[at:middle]
        if name in found:
            return None
        found[name] = data[middle : middle + value_size]
        at = middle + value_size
    return found


def pair(name: bytes, value: bytes) -> bytes:
    def size(n: int) -> bytes:
        return bytes((n,)) if n < 128 else (n | 0x80000000).to_bytes(4, "big")

    return size(len(name)) + size(len(value)) + name + value


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    return HEAD.pack(1, kind, number, len(content), 0, 0) + content


def end_record(number: int, protocol_status: int = COMPLETE) -> bytes:
    return record(END, number, bytes((0, 0, 0, 0, protocol_status, 0, 0, 0)))


def answer(number: int, head: bytes, body: bytes) -> bytes:
    """A whole answer: its head and body in STDOUT records, their end, and the end of the request."""
    said, parts = head + body, list[bytes]()
    for at in range(0, len(said), PIECE):
        parts.append(record(STDOUT, number, said[at : at + PIECE]))
    parts.append(record(STDOUT, number))
    parts.append(end_record(number))
    return b"".join(parts)


def values(content: bytes) -> bytes:
    known = {b"FCGI_MAX_CONNS": b"64", b"FCGI_MAX_REQS": b"2048", b"FCGI_MPXS_CONNS": b"1"}
    asked = pairs(content) or {}
    return record(GET_VALUES_RESULT, 0, b"".join(pair(n, v) for n, v in known.items() if n in asked))


def unknown(kind: int) -> bytes:
    return record(UNKNOWN, 0, bytes((kind, 0, 0, 0, 0, 0, 0, 0)))
