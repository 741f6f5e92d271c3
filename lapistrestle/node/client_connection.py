"""One connection of a web server that speaks FastCGI, and the requests that are open on it."""

import socket
from collections import OrderedDict
from enum import IntEnum
from typing import Any, Protocol

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest, RequestEnd
from lapistrestle.node import client_events, fastcgi
from lapistrestle.node.streams import MAX_READS, READ_SIZE, RETRIABLE_ERRORS, Stream
from lapistrestle.ticks import SECOND

MAX_UNSENT = 1_048_576  # bytes unsent to a client, beyond which its connection is not read
# ticks of 0.1 ms for which data may lie unread: its client may have aborted or closed behind it
UNREAD_TRUSTED = 500
READ_ON_TIME = 0.01  # seconds of reading a connection before an attempt for it begins
MAX_DISCARDED = 262_144  # bytes that a connection being closed may still send, without open requests
MAX_DISCARDED_WHILE_OPEN = 67_108_864  # the same with open requests: more than the longest body
DISCARDING_TIMEOUT = 20_000  # ticks after which requests on an unreadable connection are aborted
MAX_BUFFERED = 65_536  # bytes of incomplete requests that one connection may hold when memory runs short
STATUS = {RequestEnd.OK: 200, RequestEnd.REJECTED: 503, RequestEnd.ABORTED: 500}  # of a final answer
TOO_LARGE = (413, 431)  # statuses after which the connection is closed

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip
TYPE = "Content-Type: application/octet-stream\r\n"
HEADS = {code: f"Status: {code} {reason}\r\n{TYPE}\r\n".encode() for code, reason in REASONS.items()}


class Phase(IntEnum):
    """The phases in which a connection is closed, in this order; some may be skipped."""

    SERVING = 0
    FINISHING = 1  # closes after the last of its open requests is answered
    REJECTING = 2  # as FINISHING, and new requests are rejected
    DISCARDING = 3  # as FINISHING, and further data is discarded, as it can't be parsed
    HALF_CLOSED = 4  # writing has ended; reading goes on, as closing with unread data would reset the answers


class ConnectionOwner(Protocol):
    """What a client connection needs of the front that accepted it."""

    core: Core
    connections: dict["ClientConnection", None]  # connections being served
    idle: OrderedDict["ClientConnection", None]  # without an open request, longest idle first
    closing: OrderedDict["ClientConnection", int]  # connections being closed, with the time to close at last
    buffered_bytes: int  # of incomplete requests on all connections
    max_buffered_bytes: float

    def next_connection_number(self) -> int:
        """Return a number by which the log knows a connection."""

    def request(self, connection: "ClientConnection", request: fastcgi.Request) -> None:
        """Handle a complete request."""

    def half_closed(self, connection: "ClientConnection") -> None:
        """Handle that a connection's sending side was shut down; it is read until its client closes."""


class ClientConnection(Stream):
    """One connection of a client."""

    def __init__(self, front: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(front.core.reactor, sock)
        self.front = front
        self.number = front.next_connection_number()
        self.reader = fastcgi.RecordReader()
        self.requests: dict[int, PendingRequest] = {}
        self.has_sent_request = False  # a complete request was received
        self.phase = Phase.SERVING
        self.phase_since = 0
        # accepted beyond the limit; served only if there is room by its first request
        self.is_over_limit = False
        self.bytes_read = 0
        self.discarded_bytes = 0  # bytes read since the connection began to close
        self.reads_paused = False  # not read until the client has read what is unsent
        # earliest time at which data may have arrived that is unread; None: none was when last looked
        self.unread_since: int | None = None
        self.receiving = False  # received data is being processed; closing has to wait until that is done
        self.unsent_seen = 0  # bytes unsent at the last sweep
        self.unsent_since = 0  # time since which that number has not changed
        self.accept_wait = 0  # ticks for which the connection may have waited to be accepted
        self.idle_since = front.core.clock()  # time of the connect, or of the end of its last open request
        self.buffered_bytes = 0  # bytes of incomplete requests
        self.receive_delay = 0  # ticks that the data being processed spent in the socket's receive buffer
        self.oldest_partial = 0  # number of the first incomplete request; 0: none
        self.partial_since = 0  # time since which that request is incomplete

    def received(self, data: bytes) -> None:
        """Process received data: complete requests go to the front."""
        self.bytes_read += len(data)
        if self.phase >= Phase.REJECTING:
            self.discarded_bytes += len(data)
        if self.phase < Phase.DISCARDING:
            outer = self.receiving
            self.receiving = True
            self.read_records(data)
            self.receiving = outer
        if self.dead:
            return
        self.enforce_bounds()
        self.close_if_done()

    def read_records(self, data: bytes) -> None:
        """Parse FastCGI records and handle their events in order."""
        longest = max(self.front.core.max_unread_time(), self.accept_wait)
        self.accept_wait = 0
        receive_delay = self.front.core.unread_for(self.sock, longest)
        for event in self.reader.events(data):
            # the kernel knows the age of the last bytes only; earlier ones may be as old as the previous poll
            is_newest = len(data) < READ_SIZE and self.reader.record_end() is None
            self.receive_delay = receive_delay if is_newest else longest
            self.handle(event)
            if self.dead:
                return

    def handle(self, event: fastcgi.Event) -> None:
        """Handle one event of the FastCGI records."""
        match event:
            case fastcgi.Request():
                self.has_sent_request = True
                self.front.request(self, event)
            case fastcgi.RequestAborted():
                self.aborted(event.number)
            case fastcgi.ImmediateReply():
                self.send(event.data)
            case fastcgi.MalformedRequest():
                self.front.core.counts["unreadable"] += 1
                self.refused(event.number, event.status, event.message)
                self.reply(event.number, event.status, event.message.encode())
                if event.status in TOO_LARGE:
                    self.begin_close(Phase.REJECTING)
            case fastcgi.ConnectionBroken():
                self.front.core.counts["unreadable"] += 1
                self.refused(event.number, 0, event.message)
                self.withdraw(event.number)
                self.begin_close(Phase.DISCARDING)

    def refused(self, number: int, status: int, reason: str, call_id: str = "") -> None:
        """Log that a request was refused; a status of 0: no answer could be given under its number."""
        client_events.request_refused(self.front.core, self, number, call_id, status, reason)

    def withdraw(self, number: int) -> None:
        """Drop an open request whose number was used again: the client could not tell the answers apart."""
        pending = self.requests.pop(number, None)
        if pending is not None:
            self.front.core.host.client_gone(pending)

    def enforce_bounds(self) -> None:
        """Enforce the limits of unsent, buffered and discarded bytes."""
        if self.unsent_bytes > MAX_UNSENT and not self.reads_paused:
            self.reads_paused = True
            self.watch_reads(False)
        self.count_buffered()
        is_memory_short = self.front.buffered_bytes > self.front.max_buffered_bytes
        if is_memory_short and self.buffered_bytes > MAX_BUFFERED:
            self.reject_partial(503)
            self.begin_close(Phase.REJECTING)
        oldest = next(iter(self.reader.partial), 0)
        if oldest != self.oldest_partial:
            self.oldest_partial = oldest
            self.partial_since = self.front.core.clock()
        if self.discarded_bytes > (MAX_DISCARDED_WHILE_OPEN if self.requests else MAX_DISCARDED):
            self.front.core.host.abort_all(list(self.requests.values()))
            self.drop("too much data on a closing connection")

    def count_buffered(self) -> None:
        """Update the front's total of buffered bytes by this connection's."""
        held = self.reader.buffered_bytes()
        self.front.buffered_bytes += held - self.buffered_bytes
        self.buffered_bytes = held

    def read(self, count: int, time_limit: float | None = None) -> bool:
        """See `Stream.read`. Notes since when data may lie unread."""
        is_all_read = super().read(count, time_limit)
        self.note_unread(is_all_read)
        return is_all_read

    def note_unread(self, is_all_read: bool) -> None:
        """Note since when data may lie unread, after all or a part of it was read."""
        if is_all_read and (self.unread_since is None or self.is_empty()):
            self.unread_since = self.front.core.earliest_arrival() if self.reads_paused else None
        elif self.unread_since is None:
            self.unread_since = self.front.core.earliest_arrival()

    def is_empty(self) -> bool:
        """Whether the socket has no data, nor the end of it.

        A read that empties the receive buffer lets a client go on that could not write, so what it wrote
        before may arrive right after.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in RETRIABLE_ERRORS
        return False

    def is_waiting(self) -> bool:
        """Whether the client still waits: it has not left, as far as its data was read lately."""
        self.note_unread(super().read(MAX_READS, READ_ON_TIME))
        return self.unread_since is None or self.front.core.clock() - self.unread_since <= UNREAD_TRUSTED

    def write_completed(self) -> None:
        """Resume reading: all data has been sent."""
        if self.reads_paused:
            self.reads_paused = False
            self.watch_reads(True)
        self.close_if_done()

    def unread_time(self, now: int) -> int:
        """How long the client has read nothing of the unsent data, in ticks of 0.1 ms."""
        if self.unsent_bytes != self.unsent_seen or not self.unsent_bytes:
            self.unsent_seen = self.unsent_bytes
            self.unsent_since = now
        return now - self.unsent_since

    def reject_partial(self, status: int) -> None:
        """Answer all incomplete requests with an HTTP status; further records of them are ignored."""
        for number in self.reader.reject_partial():
            self.refused(number, status, "incomplete")
            self.send(fastcgi.encode_response(number, HEADS[status], b""))
        self.count_buffered()
        self.oldest_partial = 0

    def begin_close(self, phase: Phase) -> None:
        """Enter a phase of closing; the connection closes once its open requests are answered."""
        if phase <= self.phase or self.dead:
            return
        self.phase = phase
        self.phase_since = self.front.core.clock()
        if phase >= Phase.REJECTING:
            self.front.idle.pop(self, None)
        self.close_if_done()

    def close_if_done(self) -> None:
        """Shut down the sending side once every answer is sent; the client reads all, then closes."""
        if self.phase in (Phase.SERVING, Phase.HALF_CLOSED) or self.receiving:
            return
        if self.requests or self.unsent or self.dead:
            return
        if self.is_over_limit and self.phase is Phase.REJECTING:
            return  # its first request may be in transit
        if self.phase < Phase.DISCARDING:
            self.receiving = True
            self.read_on()  # a request may have been received meanwhile
            self.receiving = False
            if self.requests or self.is_half_closed():
                return
            self.reject_partial(503)
        if self.unsent or self.dead:
            return
        self.half_close()
        if not self.dead:
            self.front.half_closed(self)

    def is_half_closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self.dead or self.phase is Phase.HALF_CLOSED

    def half_close(self) -> None:
        """Shut down the sending side."""
        self.begin_close(Phase.HALF_CLOSED)
        self.discarded_bytes = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.drop(error.strerror or "lost")

    def close_now(self, reason: str) -> None:
        """Close immediately, after reading once more so that the close does not reset answers in transit."""
        if self.dead:
            return
        self.is_over_limit = False
        self.begin_close(Phase.REJECTING)
        if self.dead:
            return
        self.read_on()
        self.reject_partial(503)
        if not self.is_half_closed():
            self.half_close()
        self.read_on()
        self.drop(reason)

    def aborted(self, number: int) -> None:
        """Handle the client's abort of a request."""
        pending = self.requests.pop(number, None)
        self.reader.request_finished(number)
        self.send(fastcgi.encode_end(number))
        if pending is not None:
            self.front.core.host.client_gone(pending)
            self.note_idle()
        self.close_if_done()

    def reply(self, number: int, status: int, body: bytes = b"", retry_after: int = 0) -> None:
        """Send an answer. `retry_after` is in ticks of 0.1 ms; 0 omits the header."""
        head = HEADS[status]
        if retry_after:
            head = b"Retry-After: %d\r\n" % max(1, -(-retry_after // SECOND)) + head
        self.send(fastcgi.encode_response(number, head, body))
        self.reader.request_finished(number)
        self.note_idle()
        self.close_if_done()

    def answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        """Send the final answer of a request."""
        message = pending.message
        message.body = b""
        self.requests.pop(message.number, None)
        status = STATUS[verdict]
        self.reply(message.number, status, body if verdict == RequestEnd.OK else b"", retry_after)
        if not message.keep:
            self.begin_close(Phase.FINISHING)

    def note_idle(self) -> None:
        """Mark the connection as idle if it has no open request."""
        if not self.requests and not self.dead and self.phase < Phase.REJECTING:
            self.idle_since = self.front.core.clock()
            self.front.idle[self] = None
            self.front.idle.move_to_end(self)

    def lost(self, reason: str) -> None:
        """Handle the loss of the connection: its open requests have no client any more."""
        client_events.connection_closed(self.front.core, self, reason)
        self.front.connections.pop(self, None)
        self.front.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        self.front.idle.pop(self, None)
        self.front.closing.pop(self, None)
        requests = list(self.requests.values())
        self.requests = {}
        for pending in requests:
            self.front.core.host.client_gone(pending)
