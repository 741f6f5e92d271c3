"""FastCGI 1.0 records: parsing and encoding. No I/O.

The format is that of the FastCGI specification, version 1.0 (Open Market, 1996).

Limits are enforced before data is buffered, as clients are not trusted. After bytes that are no valid record
the start of the next record is unknown, so the connection can't be parsed any further.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from struct import Struct

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
RESPONDER = 1
KEEP_CONN = 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)  # protocol status of an END record

VERSION = 1
HEAD = Struct(">BBHHBB")  # version, type, request id, content length, padding length, reserved
MAX_OPEN_REQUESTS = 32  # per connection
MAX_REJECTED = 1_024  # request ids per connection that were rejected before the request was complete
REJECTED_ID_BYTES = 64  # that one of these takes
LONG_LENGTH = 128  # lengths from here on take four bytes, the first with its highest bit set
BEGIN_BYTES = 8  # content length of a BEGIN record
MAX_PARAMS_BYTES = 16_384  # the fields of a usual request take some hundred bytes
MAX_BODY_BYTES = 16_384
FIELDS_PER_UNIT = 8  # that take as long to parse as one small record
MAX_RECORD_CONTENT = 65_528  # bytes; the largest multiple of eight that fits a record


class MalformedRecordError(Exception):
    """A record after which its connection can't be parsed any further.

    `kind` and `number` are the record's type and request id, `found` and `expected` describe the fault.
    `reuses_number` is set if the record began a request under the id of an open one.
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
    """An incomplete request."""

    keep: bool
    params: bytearray = field(default_factory=bytearray)
    fields: dict[bytes, bytes] | None = None
    fields_bytes: int = 0  # of the names and values in `fields`
    body: bytearray = field(default_factory=bytearray)

    def held_bytes(self) -> int:
        """Bytes of the fields and the body so far."""
        return len(self.params) + self.fields_bytes + len(self.body)


@dataclass(slots=True, frozen=True)
class Request:
    """A complete request."""

    number: int
    keep: bool
    fields: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True, frozen=True)
class MalformedRequest:
    """A request that is rejected with an HTTP status; further records of it are ignored."""

    number: int
    status: int
    message: str


@dataclass(slots=True, frozen=True)
class RequestAborted:
    """The client aborted a request."""

    number: int


@dataclass(slots=True, frozen=True)
class ImmediateReply:
    """Bytes to send to the client immediately."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionBroken:
    """The connection can't be parsed any further."""

    message: str
    number: int = 0  # id of the open request whose id was used again; 0: none


Event = Request | MalformedRequest | RequestAborted | ImmediateReply | ConnectionBroken


class RecordReader:
    """Parses the records of one connection.

    `partial` holds the incomplete requests, `open_requests` the ids of complete requests without a final
    answer (`request_finished` removes them). Of the fields of a request only `known_fields` are retained, as
    others may be many and short, and take far more memory than they have bytes; None: all.
    """

    def __init__(self, known_fields: frozenset[bytes] | None = None) -> None:
        self.known_fields = known_fields
        self.buffer = b""  # an incomplete record
        self.data = b""  # being parsed
        self.position = 0  # in `data`, of the next record
        self.partial: dict[int, PartialRequest] = {}
        self.open_requests: set[int] = set()
        self.rejected: set[int] = set()  # ids of requests rejected or aborted while incomplete
        self.broken = False
        self.work = 0.0  # of parsing, ever: one unit a record, and one for so many fields
        self.refuses_requests = False  # no further request is accepted

    def request_finished(self, number: int) -> None:
        """A request was answered: its id may be used again."""
        self.open_requests.discard(number)

    def reject_partial(self) -> list[int]:
        """Reject all incomplete requests. Returns their ids."""
        numbers = list(self.partial)
        self.rejected.update(numbers)
        self.partial.clear()
        return numbers

    def buffered_bytes(self) -> int:
        """Bytes buffered for incomplete records and requests, and for ids of rejected ones."""
        ids = REJECTED_ID_BYTES * len(self.rejected)
        return len(self.buffer) + ids + sum(partial.held_bytes() for partial in self.partial.values())

    def stop(self) -> None:
        """Parse nothing any more, and hold nothing."""
        self.broken = True
        self.buffer = self.data = b""
        self.partial.clear()
        self.rejected.clear()

    def feed(self, data: bytes) -> list[Event]:
        """Parse data. Returns the events of the complete records in order; none once parsing has failed."""
        return list(self.events(data))

    def events(self, data: bytes) -> Iterator[Event]:
        """Parse data, record by record: each is parsed after the events of those before it were handled.

        So a record is read by what those events changed: a request that was answered is no longer open.
        """
        if self.broken:
            return
        self.data = self.buffer + data if self.buffer else data
        self.position = 0
        events = list[Event]()
        while (stop := self.record_end()) is not None:
            data, at = self.data, self.position
            size = (data[at + 4] << 8) | data[at + 5]
            kind, number = data[at + 1], (data[at + 2] << 8) | data[at + 3]
            self.position = stop
            self.work += 1
            try:
                check_version(data[at], kind, number)
                self.read_record(kind, number, data[at + HEAD.size : at + HEAD.size + size], events)
            except MalformedRecordError as error:
                yield from self.break_connection(events, error)
                return
            if events:
                yield from events
                events.clear()
        self.buffer = self.data[self.position :]
        self.data = b""

    def record_end(self) -> int | None:
        """Where the next record ends in the data being parsed; None if it is not complete.

        A head of another version counts as a record that ends with it: its length means nothing.
        """
        data, at = self.data, self.position
        if len(data) - at < HEAD.size:
            return None
        if data[at] != VERSION:
            return at + HEAD.size
        stop = at + HEAD.size + ((data[at + 4] << 8) | data[at + 5]) + data[at + 6]
        return stop if stop <= len(data) else None

    def break_connection(self, events: list[Event], error: MalformedRecordError) -> list[Event]:
        """Stop parsing; incomplete requests are reported as malformed, so that they are answered."""
        message = str(error)
        events.extend(MalformedRequest(number, 400, message) for number in self.partial)
        self.stop()
        events.append(ConnectionBroken(message, error.number if error.reuses_number else 0))
        return events

    def read_record(self, kind: int, number: int, content: bytes, events: list[Event]) -> None:
        """Handle one record. Raises MalformedRecordError if the connection can't be parsed after it."""
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
        """Handle a PARAMS or STDIN record: part of a request's fields or body. Raises
        MalformedRecordError.
        """
        partial = self.partial.get(number)
        if partial is None:
            # records of a request that was rejected or aborted may still arrive
            if number not in self.rejected and number not in self.open_requests:
                raise MalformedRecordError("a piece of no request", kind, number, "an open request's number")
            if kind == STDIN and not content:  # its last record
                self.rejected.discard(number)
        elif kind == PARAMS:
            self.read_params(number, partial, content, events)
        else:
            self.read_body(number, partial, content, events)

    def abort(self, number: int, events: list[Event]) -> None:
        """Handle an ABORT record; one of an unknown request is ignored."""
        if self.partial.pop(number, None) is not None:
            self.rejected.add(number)
            events.append(RequestAborted(number))
        elif number in self.open_requests:
            events.append(RequestAborted(number))

    def begin(self, number: int, content: bytes, events: list[Event]) -> None:
        """Handle a BEGIN record. Raises MalformedRecordError."""
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
        elif self.refuses_requests:
            self.reject(events, MalformedRequest(number, 503, "no further request is accepted"), number)
        else:
            self.partial[number] = PartialRequest(bool(content[2] & KEEP_CONN))
        if len(self.rejected) > MAX_REJECTED:
            message = "too many refused requests under new numbers"
            raise MalformedRecordError(message, BEGIN, number, f"at most {MAX_REJECTED}")

    def reject(self, events: list[Event], event: Event, number: int) -> None:
        """Reject an incomplete request with this event; further records of it are ignored."""
        self.partial.pop(number, None)
        self.rejected.add(number)
        events.append(event)

    def read_params(self, number: int, partial: PartialRequest, content: bytes, events: list[Event]) -> None:
        """Handle part of a request's fields; an empty part ends them. Raises MalformedRecordError."""
        if partial.fields is not None:
            raise MalformedRecordError("fields after their end", PARAMS, number, "a body")
        if content:
            partial.params += content
            if len(partial.params) > MAX_PARAMS_BYTES:
                self.reject(events, MalformedRequest(number, 431, "fields longer than a request's"), number)
            return
        fields, count = decode_fields(bytes(partial.params), self.known_fields)
        self.work += count / FIELDS_PER_UNIT
        if fields is None:
            self.reject(events, MalformedRequest(number, 400, "fields whose lengths don't fit"), number)
            return
        partial.fields = fields
        partial.fields_bytes = sum(len(name) + len(value) for name, value in fields.items())
        partial.params = bytearray()

    def read_body(self, number: int, partial: PartialRequest, content: bytes, events: list[Event]) -> None:
        """Handle part of a request's body; an empty part completes the request."""
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
    """Raises MalformedRecordError unless the record's version is 1."""
    if version != VERSION:
        raise MalformedRecordError(f"version {version} of a record", kind, number, f"version {VERSION}")


def decode_length(data: bytes, at: int) -> tuple[int, int]:
    """Decode a length of one or four bytes. Returns it and the next position; -1 if the data is too short."""
    if at >= len(data):
        return -1, at
    if data[at] < LONG_LENGTH:
        return data[at], at + 1
    if at + 4 > len(data):
        return -1, at
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def decode_pairs(data: bytes) -> dict[bytes, bytes] | None:
    """Decode name-value pairs; None if the lengths don't fit the data or a name occurs twice."""
    return decode_fields(data, None)[0]


def decode_fields(data: bytes, known: frozenset[bytes] | None) -> tuple[dict[bytes, bytes] | None, int]:
    """Decode name-value pairs, of which those with a known name are returned (None: all).

    Returns None in their place if the lengths don't fit the data or a name occurs twice. The second value is
    the number of pairs that were decoded.
    """
    found, names, at, end = dict[bytes, bytes](), set[bytes](), 0, len(data)
    while at < end:
        # fast path: both lengths are short
        if data[at] < LONG_LENGTH and at + 1 < end and data[at + 1] < LONG_LENGTH:
            name_size, value_size, at = data[at], data[at + 1], at + 2
        else:
            name_size, at = decode_length(data, at)
            value_size, at = decode_length(data, at) if name_size >= 0 else (-1, at)
        middle = at + name_size
        if name_size < 0 or value_size < 0 or middle + value_size > end:
            return None, len(names)
        name = data[at:middle]
        if name in names:
            return None, len(names)
        names.add(name)
        if known is None or name in known:
            found[name] = data[middle : middle + value_size]
        at = middle + value_size
    return found, len(names)


def encode_length(length: int) -> bytes:
    """Encode a length in one byte, or in four from 128 on."""
    return bytes((length,)) if length < LONG_LENGTH else (length | 0x80000000).to_bytes(4, "big")


def encode_pair(name: bytes, value: bytes) -> bytes:
    """Encode a name-value pair."""
    return encode_length(len(name)) + encode_length(len(value)) + name + value


def encode_record(kind: int, number: int, content: bytes = b"") -> bytes:
    """Encode one record without padding."""
    return HEAD.pack(VERSION, kind, number, len(content), 0, 0) + content


def encode_end(number: int, protocol_status: int = COMPLETE) -> bytes:
    """Encode the END record of a request."""
    return encode_record(END, number, bytes((0, 0, 0, 0, protocol_status, 0, 0, 0)))


def encode_response(number: int, head: bytes, body: bytes) -> bytes:
    """Encode a complete answer: headers and body in STDOUT records, an empty STDOUT record, and END."""
    output = head + body
    parts = list[bytes]()
    for at in range(0, len(output), MAX_RECORD_CONTENT):
        parts.append(encode_record(STDOUT, number, output[at : at + MAX_RECORD_CONTENT]))
    parts.append(encode_record(STDOUT, number))
    parts.append(encode_end(number))
    return b"".join(parts)


def encode_values_result(content: bytes) -> bytes:
    """Encode the answer to FCGI_GET_VALUES: the known ones of the requested variables."""
    known = {b"FCGI_MAX_CONNS": b"64", b"FCGI_MAX_REQS": b"2048", b"FCGI_MPXS_CONNS": b"1"}
    requested = decode_pairs(content) or {}
    return encode_record(
        GET_VALUES_RESULT, 0, b"".join(encode_pair(n, v) for n, v in known.items() if n in requested)
    )


def encode_unknown_type(kind: int) -> bytes:
    """Encode the answer to a management record of an unknown type."""
    return encode_record(UNKNOWN, 0, bytes((kind, 0, 0, 0, 0, 0, 0, 0)))
