"""One connection of a web server that speaks FastCGI, and the requests that are open on it."""

import socket
from collections import OrderedDict
from enum import IntEnum
from typing import Any, Protocol

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import ABORTED, DENIED, OK, PendingRequest
from lapistrestle.node import fastcgi
from lapistrestle.node.streams import MOST_READS, READ, Stream

SECOND = 10_000  # in tenths of a millisecond
MOST_UNSENT = 1_048_576  # bytes towards a client that does not read: more of it is not read meanwhile
STALL_TRUSTED = 500  # tenths of a millisecond for which one that is not read from counts as waiting
MOST_DISCARDED = 262_144  # bytes read of a connection that is to be closed, once nothing is owed on it
MOST_DISCARDED_OPEN = 67_108_864  # and while requests are open on it: more than the longest body sent
DISCARDING_TIME = 20_000  # for answers on a connection that can't be read, in tenths of a millisecond
MOST_HELD = 65_536  # bytes of half requests that one connection may hold when memory runs short
STATUS = {OK: 200, DENIED: 503, ABORTED: 500}  # of a final answer
TOO_LARGE = (413, 431)  # after which the rest of a connection is not worth reading

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip
TYPE = "Content-Type: application/octet-stream\r\n"
HEADS = {code: f"Status: {code} {reason}\r\n{TYPE}\r\n".encode() for code, reason in REASONS.items()}


class Phase(IntEnum):
    """How a connection comes to its end, in this order; some are left out."""

    SERVING = 0
    LAST = 1  # it ends with the last of its open requests
    REFUSING = 2  # as LAST, and what still comes is refused
    DISCARDING = 3  # as LAST, and what still comes can't be read
    SHUT = 4  # nothing more is written; read on, as a close with bytes unread would reset what was written


class ConnectionOwner(Protocol):
    """What a client's connection needs of the front that accepted it."""

    core: Core
    connections: dict["ClientConnection", None]  # that are served
    idle: OrderedDict["ClientConnection", None]  # without an open request, longest idle first
    parting: OrderedDict["ClientConnection", int]  # being closed, with the time until which each is kept
    lingering: dict[str, PendingRequest]  # by id, until the last attempt has ended
    held: int  # bytes of requests that have not come whole, on all connections
    most_held: float  # bytes that may be held so

    def request(self, connection: "ClientConnection", request: fastcgi.Request) -> None:
        """A whole request came."""

    def shut(self, connection: "ClientConnection") -> None:
        """A connection's sending side has been ended; it is read until its client closes."""


class ClientConnection(Stream):
    """One connection of a client."""

    def __init__(self, front: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(front.core.reactor, sock)
        self.front, self.reader = front, fastcgi.RecordReader()
        self.requests: dict[int, PendingRequest] = {}
        self.has_asked = False  # it has brought a whole request
        self.phase = Phase.SERVING
        self.phase_since = 0
        self.is_guest = False  # over the limit of connections; refused what it asks unless there is room then
        self.bytes_read = 0
        self.discarded = 0  # bytes read since it was to be closed
        self.stalled = False  # not read from until the client has read what is unsent
        self.stalled_since = 0
        self.receiving = False  # what is read is being acted on: it parts only after that
        self.unsent_seen, self.unsent_since = 0, 0  # bytes unsent at the last sweeps, and since when as many
        self.waited = 0  # tenths of a millisecond for which it may have waited for a descriptor
        self.since = front.core.clock()  # connected, or without an open request
        self.held = 0  # bytes of what has not come whole
        self.unread = 0  # tenths of a millisecond for which what is read now lay in the socket
        self.half, self.half_since = 0, 0  # the first request that has not come whole, and since when

    def pieces(self) -> int:
        """How many reads are made of it at once."""
        return self.front.core.pieces()

    def received(self, data: bytes) -> None:
        """Bytes came: whole requests go to the front."""
        self.front.core.input()
        self.bytes_read += len(data)
        if self.phase >= Phase.REFUSING:
            self.discarded += len(data)
        if self.phase < Phase.DISCARDING:
            outer, self.receiving = self.receiving, True
            self.read_records(data)
            self.receiving = outer
        if self.dead:
            return
        self.bound()
        self.part()

    def read_records(self, data: bytes) -> None:
        """Hand on what the records say, in their order."""
        longest, self.waited = max(self.front.core.since_look(), self.waited), 0
        unread = self.front.core.unread_for(self.sock, longest)
        events = self.reader.feed(data)
        for event in events:
            # the kernel tells of the last bytes alone: what came before those may be as old as the look
            newest = event is events[-1] and len(data) < READ
            self.unread = unread if newest else longest
            if self.dead:
                return
            match event:
                case fastcgi.Request():
                    self.has_asked = True
                    self.front.request(self, event)
                case fastcgi.RequestAborted():
                    self.aborted(event.number)
                case fastcgi.ImmediateReply():
                    self.send(event.data)
                case fastcgi.MalformedRequest():
                    self.front.core.counts["unreadable"] += 1
                    self.reply(event.number, event.status, event.message.encode())
                    if event.status in TOO_LARGE:
                        self.leave(Phase.REFUSING)
                case fastcgi.ConnectionBroken():
                    self.front.core.counts["unreadable"] += 1
                    self.withdraw(event.number)
                    self.leave(Phase.DISCARDING)

    def withdraw(self, number: int) -> None:
        """Drop an open request whose number came again: no answer could be told from the other's."""
        pending = self.requests.pop(number, None)
        if pending is not None:
            self.front.core.host.client_gone(pending)

    def bound(self) -> None:
        """Keep within bounds what is held for this client."""
        if self.unsent_bytes > MOST_UNSENT and not self.stalled:
            self.stalled, self.stalled_since = True, self.front.core.clock()
            self.watch_reads(False)
        held = self.reader.buffered_bytes()
        self.front.held, self.held = self.front.held + held - self.held, held
        if self.front.held > self.front.most_held and held > MOST_HELD:
            self.refuse_begun(503)
            self.leave(Phase.REFUSING)
        half = next(iter(self.reader.partial), 0)
        if half != self.half:
            self.half, self.half_since = half, self.front.core.clock()
        if self.discarded > (MOST_DISCARDED_OPEN if self.requests else MOST_DISCARDED):
            self.front.core.host.abort_all(list(self.requests.values()))
            self.drop("sends without end")

    def is_waiting(self) -> bool:
        """Whether the client is known to wait still. One that is not read from may have aborted meanwhile."""
        self.read_now()
        return not self.stalled or self.front.core.clock() - self.stalled_since <= STALL_TRUSTED

    def drained(self) -> None:
        """All that was to be written has left."""
        if self.stalled:
            self.stalled = False
            self.watch_reads(True)
        self.part()

    def stuck_for(self, now: int) -> int:
        """How long the client has read nothing of what is unsent, in tenths of a millisecond."""
        if self.unsent_bytes != self.unsent_seen or not self.unsent_bytes:
            self.unsent_seen, self.unsent_since = self.unsent_bytes, now
        return now - self.unsent_since

    def refuse_begun(self, status: int) -> None:
        """Answer the requests that have not come whole; what still comes of them is passed over."""
        for number in self.reader.reject_partial():
            self.send(fastcgi.encode_response(number, HEADS[status], b""))
        held = self.reader.buffered_bytes()
        self.front.held, self.held, self.half = self.front.held + held - self.held, held, 0

    # its end

    def leave(self, phase: Phase) -> None:
        """Close it once all that is open on it has been answered."""
        if phase <= self.phase or self.dead:
            return
        self.phase, self.phase_since = phase, self.front.core.clock()
        if phase >= Phase.REFUSING:
            self.front.idle.pop(self, None)
        self.part()

    def part(self) -> None:
        """Where nothing is owed any more, end the sending side: the client reads all, then closes."""
        if self.phase in (Phase.SERVING, Phase.SHUT) or self.receiving:
            return
        if self.requests or self.unsent or self.dead:
            return
        if self.is_guest and self.phase is Phase.REFUSING:
            return  # its first request may be on its way
        if self.phase < Phase.DISCARDING:
            self.receiving = True
            self.read_on()  # a request may have come meanwhile
            self.receiving = False
            if self.requests or self.is_shut():
                return
            self.refuse_begun(503)
        if self.unsent or self.dead:
            return
        self.shut()
        if not self.dead:
            self.front.shut(self)

    def is_shut(self) -> bool:
        """Whether nothing more can be written."""
        return self.dead or self.phase is Phase.SHUT

    def shut(self) -> None:
        """End the sending side."""
        self.leave(Phase.SHUT)
        self.discarded = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.drop(error.strerror or "lost")

    def read_on(self) -> None:
        """Read what lies in the socket to its end, within bounds."""
        self.read(MOST_READS)

    def dismiss(self, why: str) -> None:
        """Close now, and lose as little as can be of what was written."""
        if self.dead:
            return
        self.is_guest = False
        self.leave(Phase.REFUSING)
        if self.dead:
            return
        self.read_on()
        self.refuse_begun(503)
        if not self.is_shut():
            self.shut()
        self.read_on()
        self.drop(why)

    def aborted(self, number: int) -> None:
        """The client has aborted a request."""
        pending = self.requests.pop(number, None)
        self.reader.request_finished(number)
        self.send(fastcgi.encode_end(number))
        if pending is not None:
            self.front.core.host.client_gone(pending)
            self.rested()
        self.part()

    def reply(self, number: int, status: int, body: bytes = b"", retry_after: int = 0) -> None:
        """Write an answer. `come_back`: of Retry-After, in tenths of a millisecond; 0: none."""
        head = HEADS[status]
        if retry_after:
            head = b"Retry-After: %d\r\n" % max(1, -(-retry_after // SECOND)) + head
        self.send(fastcgi.encode_response(number, head, body))
        self.reader.request_finished(number)
        self.rested()
        self.part()

    def answer(self, pending: PendingRequest, verdict: str, retry_after: int, body: Any) -> None:
        """The final answer of an RPC."""
        message = pending.message
        message.body = b""
        self.requests.pop(message.number, None)
        if not pending.in_flight:
            self.front.lingering.pop(pending.tag, None)
        status = STATUS[verdict]
        self.reply(message.number, status, body if verdict == OK else b"", retry_after)
        if not message.keep:
            self.leave(Phase.LAST)

    def rested(self) -> None:
        """Without an open request it idles from now on."""
        if not self.requests and not self.dead and self.phase < Phase.REFUSING:
            self.since = self.front.core.clock()
            self.front.idle[self] = None
            self.front.idle.move_to_end(self)

    def lost(self, why: str) -> None:
        """The connection is gone, and with it whoever waited."""
        self.front.core.input()
        self.front.connections.pop(self, None)
        self.front.held, self.held = self.front.held - self.held, 0
        self.front.idle.pop(self, None)
        self.front.parting.pop(self, None)
        requests, self.requests = list(self.requests.values()), {}
        for pending in requests:
            self.front.core.host.client_gone(pending)
