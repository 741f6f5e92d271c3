"""FastCGI 1.0 records, bytes to events and back. No I/O.

The format is that of the FastCGI specification, version 1.0 (Open Market, 1996).

Bounds hold before anything is kept: a client may send what it likes at full speed. Once bytes can't be read
as records nothing after them can be either, so a reader that is broken stays so.
"""

from dataclasses import dataclass, field
from struct import Struct

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
RESPONDER = 1
KEEP_CONN = 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)  # protocol status of an end

VERSION = 1
HEAD = Struct(">BBHHBB")  # version, kind, number, bytes of content, of padding, nothing
MAX_OPEN_REQUESTS = 32  # requests of one connection
MAX_REJECTED = 1_024  # requests of one connection that were rejected before they were complete
LONG_LENGTH = 128  # a length from here on takes four bytes, the first with its highest bit set
BEGIN_BYTES = 8  # content of a record that begins a request
MAX_PARAMS_BYTES = 16_384  # bytes; the fields of a request take some hundreds
MAX_BODY_BYTES = 16_384  # bytes
MAX_RECORD_CONTENT = 65_528  # bytes of one record: the most that is a multiple of eight


class MalformedRecordError(Exception):
    """A record after which nothing on its connection can be read.

    The text says what was found; `kind` and `number` where: the record's type and request number. `expected`
    is what was expected there; `reuses_number` tells that it began a request under an open one's number.
    """

    def __init__(
        self, found: str, kind: int, number: int, expected: str, reuses_number: bool = False
    ) -> None:
        super().__init__(found)
        self.found = found
        self.kind = kind
        self.number = number
        self.expected = expected
        self.reuses_number = reuses_number


@dataclass(slots=True)
class PartialRequest:
    """A request that is not complete."""

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
class MalformedRequest:
    """A request that can't be used, with the status it is owed; records of it that follow are passed over."""

    number: int
    status: int
    message: str


@dataclass(slots=True, frozen=True)
class RequestAborted:
    """The client wants no more of a request."""

    number: int


@dataclass(slots=True, frozen=True)
class ImmediateReply:
    """Bytes that are owed at once."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionBroken:
    """Nothing more can be read on this connection."""

    message: str
    number: int = 0  # of the open request whose number was used again; 0: none


Event = Request | MalformedRequest | RequestAborted | ImmediateReply | ConnectionBroken


class RecordReader:
    """The requests of one connection, from its bytes.

    `partial` holds those that are not complete, `open_requests` those that have and are not finished yet
    (the host calls `request_finished`).
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.partial: dict[int, PartialRequest] = {}
        self.open_requests: set[int] = set()
        self.rejected: set[int] = set()  # ended before they were complete
        self.broken = False

    def request_finished(self, number: int) -> None:
        """A request has its answer: its number may be used again."""
        self.open_requests.discard(number)

    def reject_partial(self) -> list[int]:
        """Take nothing more of the requests that are not complete; returns their numbers."""
        numbers = list(self.partial)
        self.rejected.update(numbers)
        self.partial.clear()
        return numbers

    def buffered_bytes(self) -> int:
        """Bytes kept of what is not complete."""
        return len(self.buffer) + sum(len(p.params) + len(p.body) for p in self.partial.values())

    def feed(self, data: bytes) -> list[Event]:
        """The events of the records that are complete now, in order; none once the connection is broken."""
        if self.broken:
            return []
        if self.buffer:
            data = self.buffer + data
        at, end, events = 0, len(data), list[Event]()
        while end - at >= HEAD.size:
            size = (data[at + 4] << 8) | data[at + 5]
            stop = at + HEAD.size + size + data[at + 6]
            kind, number = data[at + 1], (data[at + 2] << 8) | data[at + 3]
            try:
                check_version(data[at], kind, number)
                if stop > end:
                    break
                self.read_record(kind, number, data[at + HEAD.size : at + HEAD.size + size], events)
            except MalformedRecordError as error:
                return self.break_connection(events, error)
            at = stop
        self.buffer = data[at:]
        return events

    def break_connection(self, events: list[Event], error: MalformedRecordError) -> list[Event]:
        """Nothing more is read; what had begun is owed an answer."""
        self.broken = True
        self.buffer = b""
        message = str(error)
        events.extend(MalformedRequest(number, 400, message) for number in self.partial)
        self.partial.clear()
        events.append(ConnectionBroken(message, error.number if error.reuses_number else 0))
        return events

    def read_record(self, kind: int, number: int, content: bytes, events: list[Event]) -> None:
        """Act on one record. Raises MalformedRecordError where it breaks the connection."""
        if kind in (PARAMS, STDIN):
            self.read_piece(kind, number, content, events)
        elif kind == BEGIN:
            self.begin(number, content, events)
        elif kind == ABORT:
            self.abort(number, events)
        elif kind == GET_VALUES and number == 0:
            events.append(ImmediateReply(encode_values_result(content)))
        elif number == 0:
            events.append(ImmediateReply(encode_unknown_type(kind)))
        elif kind != DATA:
            raise MalformedRecordError(
                f"a record of type {kind} for a request", kind, number, "a responder's"
            )

    def read_piece(self, kind: int, number: int, content: bytes, events: list[Event]) -> None:
        """Part of a request's fields or body. Raises MalformedRecordError."""
        partial = self.partial.get(number)
        if partial is None:
            # late pieces of a request that was rejected, or was aborted, are its own
            if number not in self.rejected and number not in self.open_requests:
                raise MalformedRecordError("a piece of no request", kind, number, "an open request's number")
        elif kind == PARAMS:
            self.read_params(number, partial, content, events)
        else:
            self.read_body(number, partial, content, events)

    def abort(self, number: int, events: list[Event]) -> None:
        """The client wants no more of a request; one that is not known is passed over."""
        if self.partial.pop(number, None) is not None:
            self.rejected.add(number)
            events.append(RequestAborted(number))
        elif number in self.open_requests:
            events.append(RequestAborted(number))

    def begin(self, number: int, content: bytes, events: list[Event]) -> None:
        """A request begins. Raises MalformedRecordError."""
        reused = number in self.open_requests
        if number == 0 or len(content) != BEGIN_BYTES:
            raise MalformedRecordError("a begin that is none", BEGIN, number, "8 bytes for a request", reused)
        if number in self.partial or reused:
            raise MalformedRecordError(
                "two requests under one number", BEGIN, number, "a free number", reused
            )
        self.rejected.discard(number)
        role = (content[0] << 8) | content[1]
        if role != RESPONDER:
            self.reject(events, ImmediateReply(encode_end(number, UNKNOWN_ROLE)), number)
        elif len(self.partial) + len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self.reject(events, ImmediateReply(encode_end(number, OVERLOADED)), number)
        else:
            self.partial[number] = PartialRequest(bool(content[2] & KEEP_CONN))
        if len(self.rejected) > MAX_REJECTED:
            message = "too many refused requests under new numbers"
            raise MalformedRecordError(message, BEGIN, number, f"at most {MAX_REJECTED}")

    def reject(self, events: list[Event], event: Event, number: int) -> None:
        """Take nothing more of a request that is not complete."""
        self.partial.pop(number, None)
        self.rejected.add(number)
        events.append(event)

    def read_params(self, number: int, partial: PartialRequest, content: bytes, events: list[Event]) -> None:
        """Part of a request's fields; an empty one ends them. Raises MalformedRecordError."""
        if partial.fields is not None:
            raise MalformedRecordError("fields after their end", PARAMS, number, "a body")
        if content:
            partial.params += content
            if len(partial.params) > MAX_PARAMS_BYTES:
                self.reject(events, MalformedRequest(number, 431, "fields longer than a request's"), number)
            return
        fields = decode_pairs(bytes(partial.params))
        if fields is None:
            self.reject(events, MalformedRequest(number, 400, "fields whose lengths don't fit"), number)
            return
        partial.fields = fields
        partial.params = bytearray()

    def read_body(self, number: int, partial: PartialRequest, content: bytes, events: list[Event]) -> None:
        """Part of a request's body; an empty one ends it, and the request is complete."""
        if partial.fields is None:
            self.reject(events, MalformedRequest(number, 400, "a body before the end of the fields"), number)
        elif not content:
            del self.partial[number]
            self.open_requests.add(number)
            events.append(Request(number, partial.keep, partial.fields, bytes(partial.body)))
        elif len(partial.body) + len(content) > MAX_BODY_BYTES:
            self.reject(events, MalformedRequest(number, 413, "a body longer than 16 KiB"), number)
        else:
            partial.body += content


def check_version(version: int, kind: int, number: int) -> None:
    """Raises MalformedRecordError for a record of another version than 1."""
    if version != VERSION:
        raise MalformedRecordError(f"version {version} of a record", kind, number, f"version {VERSION}")


def decode_length(data: bytes, at: int) -> tuple[int, int]:
    """A length of one byte or four, and where it ends; -1 where the bytes run out."""
    if at >= len(data):
        return -1, at
    if data[at] < LONG_LENGTH:
        return data[at], at + 1
    if at + 4 > len(data):
        return -1, at
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def decode_pairs(data: bytes) -> dict[bytes, bytes] | None:
    """Names and values; None if the lengths don't fit, or a name comes twice."""
    found, at, end = dict[bytes, bytes](), 0, len(data)
    while at < end:
        if data[at] < LONG_LENGTH and at + 1 < end and data[at + 1] < LONG_LENGTH:  # the usual
            name_size, value_size, at = data[at], data[at + 1], at + 2
        else:
            name_size, at = decode_length(data, at)
            value_size, at = decode_length(data, at) if name_size >= 0 else (-1, at)
        middle = at + name_size
        if name_size < 0 or value_size < 0 or middle + value_size > end:
            return None
        name = data[at:middle]
        if name in found:
            return None
        found[name] = data[middle : middle + value_size]
        at = middle + value_size
    return found


def encode_length(length: int) -> bytes:
    """A length in one byte, or from 128 on in four."""
    return bytes((length,)) if length < LONG_LENGTH else (length | 0x80000000).to_bytes(4, "big")


def encode_pair(name: bytes, value: bytes) -> bytes:
    """A name and its value."""
    return encode_length(len(name)) + encode_length(len(value)) + name + value


def encode_record(kind: int, number: int, content: bytes = b"") -> bytes:
    """One record without padding."""
    return HEAD.pack(VERSION, kind, number, len(content), 0, 0) + content


def encode_end(number: int, protocol_status: int = COMPLETE) -> bytes:
    """The record that ends a request."""
    return encode_record(END, number, bytes((0, 0, 0, 0, protocol_status, 0, 0, 0)))


def encode_response(number: int, head: bytes, body: bytes) -> bytes:
    """A complete answer: its head and body in STDOUT records, their end, and the end of the request."""
    output = head + body
    parts = list[bytes]()
    for at in range(0, len(output), MAX_RECORD_CONTENT):
        parts.append(encode_record(STDOUT, number, output[at : at + MAX_RECORD_CONTENT]))
    parts.append(encode_record(STDOUT, number))
    parts.append(encode_end(number))
    return b"".join(parts)


def encode_values_result(content: bytes) -> bytes:
    """The answer to FCGI_GET_VALUES: those of the names asked for that are known."""
    known = {b"FCGI_MAX_CONNS": b"64", b"FCGI_MAX_REQS": b"2048", b"FCGI_MPXS_CONNS": b"1"}
    asked = decode_pairs(content) or {}
    return encode_record(
        GET_VALUES_RESULT, 0, b"".join(encode_pair(n, v) for n, v in known.items() if n in asked)
    )


def encode_unknown_type(kind: int) -> bytes:
    """The answer to a management record of a type that is not known."""
    return encode_record(UNKNOWN, 0, bytes((kind, 0, 0, 0, 0, 0, 0, 0)))
