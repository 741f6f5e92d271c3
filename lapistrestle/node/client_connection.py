"""One connection of a web server that speaks FastCGI, and the requests that are open on it."""

import socket
from collections import OrderedDict
from enum import IntEnum
from typing import Any, Protocol

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest, RequestEnd
from lapistrestle.node import client_events, fastcgi
from lapistrestle.node.client_memory import ClientMemory
from lapistrestle.node.memory_account import CONNECTION_BYTES, PARTIAL_BYTES
from lapistrestle.node.paced_reading import PacedReading
from lapistrestle.node.read_turns import ReadTurns
from lapistrestle.ticks import SECOND

MAX_UNSENT = 1_048_576  # bytes unsent to a client, beyond which its connection is not read
MAX_DISCARDED = 262_144  # bytes that a connection being closed may still send, without open requests
# the same with open requests, or where further ones are answered: more than the longest body
MAX_DISCARDED_WHILE_OPEN = 67_108_864
# ids of rejected requests, beyond which a connection is not parsed any more when memory is short
MAX_REJECTED_WHEN_SHORT = 64
MAX_REFUSED_FOR_MEMORY = 8  # incomplete requests, beyond which a connection is closed
DISCARDING_TIMEOUT = 20_000  # ticks after which requests on an unreadable connection are aborted
STATUS = {RequestEnd.OK: 200, RequestEnd.REJECTED: 503, RequestEnd.ABORTED: 500}  # of a final answer
UNREAD_STATUS = 500  # of an answer that a client does not read and that cannot be held for it
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
    memory: ClientMemory
    read_turns: ReadTurns

    def next_connection_number(self) -> int:
        """Return a number by which the log knows a connection."""

    def request(self, connection: "ClientConnection", request: fastcgi.Request) -> None:
        """Handle a complete request."""

    def drop_body(self, pending: PendingRequest) -> None:
        """Release the body of a request of which no further attempt is made."""

    def half_closed(self, connection: "ClientConnection") -> None:
        """Handle that a connection's sending side was shut down; it is read until its client closes."""


class ClientConnection(PacedReading):
    """One connection of a client."""

    def __init__(self, front: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(front.core, front.read_turns, sock)
        self.front = front
        self.number = front.next_connection_number()
        self.requests: dict[int, PendingRequest] = {}
        self.has_sent_request = False  # a complete request was received
        self.phase = Phase.SERVING
        self.phase_since = 0
        # accepted beyond the limit; served only if there is room by its first request
        self.is_over_limit = False
        self.discarded_bytes = 0  # bytes read since the connection began to close
        self.receiving = False  # received data is being processed; closing has to wait until that is done
        self.outbox: list[bytes] | None = None  # what is sent while data is processed; written with one call
        self.refused_for_memory = 0  # incomplete requests
        self.sent_seen = 0  # bytes sent at the last sweep
        self.unsent_since = 0  # time since which that number has not changed, or nothing was unsent
        self.accept_wait = 0  # ticks for which the connection may have waited to be accepted
        self.idle_since = front.core.clock()  # time of the connect, or of the end of its last open request
        self.buffered_bytes = 0  # bytes of incomplete requests
        self.request_bytes = 0  # bytes of open requests
        self.charged_bytes = CONNECTION_BYTES  # of this connection in the account, without open requests
        front.memory.account.add(self.charged_bytes)
        self.receive_delay = 0  # ticks that the data being processed spent in the socket's receive buffer
        self.has_rejected = False  # many ids of rejected requests are held
        self.oldest_partial = 0  # number of the first incomplete request; 0: none
        self.partial_since = 0  # time since which that request is incomplete

    def received(self, data: bytes) -> None:
        """Process received data: complete requests go to the front."""
        self.bytes_read += len(data)
        if self.phase >= Phase.REJECTING:
            self.discarded_bytes += len(data)
        if self.phase < Phase.DISCARDING:
            self.process(data)
        if self.dead:
            return
        self.enforce_bounds()
        self.close_if_done()

    def process(self, data: bytes) -> None:
        """Handle all records before what they lead to, and write the answers together."""
        outer = self.receiving
        self.receiving = self.is_parsing = True
        self.outbox = []
        with self.core.host.batched():
            self.read_records(data)
            self.is_parsing = False
            self.receiving = outer
            self.flush_outbox()

    def flush_outbox(self) -> None:
        """Write what was collected while data was processed."""
        outbox, self.outbox = self.outbox, None
        if outbox:
            self.send(b"".join(outbox))

    def send(self, data: bytes, mark: int = 0) -> None:
        """See `Stream.send`. While received data is processed, answers are collected."""
        if self.outbox is None:
            super().send(data, mark)
        else:
            self.outbox.append(data)

    def read_records(self, data: bytes) -> None:
        """Parse FastCGI records and handle their events in order."""
        longest = max(self.core.max_unread_time(), self.accept_wait)
        self.accept_wait = 0
        receive_delay = self.core.unread_for(self.sock, longest)
        for event in self.reader.events(data):
            # the kernel knows the age of the last bytes only; earlier ones may be as old as the previous poll
            is_newest = len(data) < self.read_size() and self.reader.record_end() is None
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
                self.core.counts["unreadable"] += 1
                self.refused(event.number, event.status, event.message)
                self.reply(event.number, event.status, event.message.encode())
                if event.status in TOO_LARGE:
                    self.begin_close(Phase.REJECTING)
            case fastcgi.ConnectionBroken():
                self.core.counts["unreadable"] += 1
                self.refused(event.number, 0, event.message)
                self.withdraw(event.number)
                self.begin_close(Phase.DISCARDING)

    def refused(self, number: int, status: int, reason: str, call_id: str = "") -> None:
        """Log that a request was refused; a status of 0: no answer could be given under its number."""
        client_events.request_refused(self.core, self, number, call_id, status, reason)

    def withdraw(self, number: int) -> None:
        """Drop an open request whose number was used again: the client could not tell the answers apart."""
        pending = self.requests.pop(number, None)
        if pending is not None:
            self.client_gone(pending)

    def client_gone(self, pending: PendingRequest) -> None:
        """The client no longer waits for the answer to a request: no further attempt is made."""
        self.core.host.client_gone(pending)
        self.front.drop_body(pending)

    def before_read(self) -> None:
        """Read no further while the connection holds too much."""
        if self.front.memory.is_over_share(self):
            self.enforce_bounds()

    def enforce_bounds(self) -> None:
        """Enforce the limits of memory and of discarded bytes."""
        self.count_held()
        self.front.memory.enforce(self)
        if self.unsent_bytes > MAX_UNSENT:
            self.front.memory.pause(self)
        is_answered = bool(self.requests) or self.reader.refuses_requests
        if self.discarded_bytes > (MAX_DISCARDED_WHILE_OPEN if is_answered else MAX_DISCARDED):
            self.core.host.abort_all(list(self.requests.values()))
            self.drop("too much data on a closing connection")

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for this connection, beyond what each one takes."""
        return self.buffered_bytes + self.request_bytes + self.unsent_bytes

    def count_held(self) -> None:
        """Update the account by what this connection holds, and note its oldest incomplete request."""
        if self.dead:
            return
        memory = self.front.memory
        buffered = self.reader.buffered_bytes() + PARTIAL_BYTES * len(self.reader.partial)
        memory.buffered_bytes += buffered - self.buffered_bytes
        self.buffered_bytes = buffered
        charged = CONNECTION_BYTES + buffered + self.unsent_bytes
        memory.account.add(charged - self.charged_bytes)
        self.charged_bytes = charged
        oldest = next(iter(self.reader.partial), 0)
        has_rejected = len(self.reader.rejected) > MAX_REJECTED_WHEN_SHORT
        if has_rejected is not self.has_rejected:
            self.has_rejected = has_rejected
            memory.note_incomplete(self, has_rejected or bool(oldest))
        if oldest != self.oldest_partial:
            self.oldest_partial = oldest
            self.partial_since = self.core.clock()
            memory.note_incomplete(self, has_rejected or bool(oldest))

    def resume_reading(self) -> None:
        """Read again if the connection holds little enough."""
        memory = self.front.memory
        self.count_held()
        if self.dead or not self.reads_paused or self.unsent_bytes > MAX_UNSENT:
            return
        if (self.requests or self.unsent) and memory.is_over_share(self):
            return
        self.reads_paused = False
        memory.paused.pop(self, None)
        self.update_watch()

    def write_completed(self) -> None:
        """All data has been sent."""
        self.resume_reading()
        self.close_if_done()

    def unread_time(self, now: int) -> int:
        """How long the client has read nothing of the unsent data, in ticks of 0.1 ms."""
        if self.sent_bytes != self.sent_seen or not self.unsent_bytes:
            self.sent_seen = self.sent_bytes
            self.unsent_since = now
        return now - self.unsent_since

    def reject_partial(self, status: int) -> None:
        """Answer all incomplete requests with an HTTP status; further records of them are ignored."""
        for number in self.reader.reject_partial():
            self.refused(number, status, "incomplete")
            self.send(fastcgi.encode_response(number, HEADS[status], b""))
        self.count_held()

    def refuse_for_memory(self) -> None:
        """Refuse all incomplete requests, as memory is short; close the connection if that happens often.

        To close it, it is read once more: in its turn, as this may be called while another one is read.
        """
        self.refused_for_memory += len(self.reader.partial)
        self.reject_partial(503)
        if len(self.reader.rejected) > MAX_REJECTED_WHEN_SHORT:
            self.reader.stop()
            self.count_held()
            self.enter(Phase.DISCARDING)
            self.defer_reading()
        elif self.refused_for_memory > MAX_REFUSED_FOR_MEMORY:
            self.reader.refuses_requests = True
            self.enter(Phase.REJECTING)
            self.defer_reading()

    def begin_close(self, phase: Phase) -> None:
        """Enter a phase of closing; the connection closes once its open requests are answered."""
        if self.enter(phase):
            self.close_if_done()

    def enter(self, phase: Phase) -> bool:
        """Enter a later phase of closing; False if the connection is in it already."""
        if phase <= self.phase or self.dead:
            return False
        self.phase = phase
        self.phase_since = self.core.clock()
        if phase >= Phase.REJECTING:
            self.front.idle.pop(self, None)
        return True

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
            self.accepted -= 1
            self.client_gone(pending)
            self.note_idle()
        self.close_if_done()

    def reply(self, number: int, status: int, body: bytes = b"", retry_after: int = 0) -> None:
        """Send an answer. `retry_after` is in ticks of 0.1 ms; 0 omits the header."""
        head = HEADS[status]
        if retry_after:
            head = b"Retry-After: %d\r\n" % max(1, -(-retry_after // SECOND)) + head
        self.send(fastcgi.encode_response(number, head, body))
        self.reader.request_finished(number)
        if self.reads_paused:
            self.resume_reading()
        elif self.unsent:
            self.count_held()
        self.note_idle()
        self.close_if_done()

    def answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        """Send the final answer of a request."""
        message = pending.message
        self.front.drop_body(pending)
        self.requests.pop(message.number, None)
        status = STATUS[verdict]
        content = body if verdict == RequestEnd.OK else b""
        if self.unsent and not self.front.memory.account.has_room(len(content)):
            # the client reads no answers, and there is no memory to hold another one
            self.refused(message.number, UNREAD_STATUS, "answers are not read", pending.tag)
            status, content = UNREAD_STATUS, b""
        self.reply(message.number, status, content, retry_after)
        if not message.keep:
            self.begin_close(Phase.FINISHING)

    def note_idle(self) -> None:
        """Mark the connection as idle if it has no open request."""
        if not self.requests and not self.dead and self.phase < Phase.REJECTING:
            self.idle_since = self.core.clock()
            self.front.idle[self] = None
            self.front.idle.move_to_end(self)

    def lost(self, reason: str) -> None:
        """Handle the loss of the connection: its open requests have no client any more."""
        client_events.connection_closed(self.core, self, reason)
        self.front.connections.pop(self, None)
        self.front.memory.forget(self)
        self.front.memory.buffered_bytes -= self.buffered_bytes
        self.front.memory.account.add(-self.charged_bytes)
        self.buffered_bytes = self.charged_bytes = 0
        self.front.idle.pop(self, None)
        self.front.closing.pop(self, None)
        requests = list(self.requests.values())
        self.requests = {}
        for pending in requests:
            self.client_gone(pending)
