"""One connection of a web server that speaks FastCGI, and the requests that are open on it."""

import socket
from typing import TYPE_CHECKING, Any

from lapistrestle.hosting.requests import ABORTED, DENIED, OK, PendingRequest
from lapistrestle.node import records
from lapistrestle.node.streams import READ, Stream

if TYPE_CHECKING:
    from lapistrestle.node.front import Front

SECOND = 10_000  # in tenths of a millisecond
MOST_UNSENT = 1_048_576  # bytes towards a client that does not read
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


class ClientConnection(Stream):
    """One connection of a client."""

    def __init__(self, front: "Front", sock: socket.socket) -> None:
        super().__init__(front.core.reactor, sock)
        self.front, self.reader = front, records.Reader()
        self.requests: dict[int, PendingRequest] = {}
        self.has_asked = False  # it has brought a whole request
        self.last = False  # it ends with the last of its open requests
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
        unread, longest = self.front.core.unread_for(self.sock), self.front.core.since_look()
        events = self.reader.feed(data)
        for event in events:
            # the kernel tells of the last bytes alone: what came before those may be as old as the look
            newest = event is events[-1] and len(data) < READ
            self.unread = unread if newest else longest
            if self.dead:
                return
            match event:
                case records.Request():
                    self.has_asked = True
                    self.front.request(self, event)
                case records.Aborted():
                    self.aborted(event.number)
                case records.Reply():
                    self.send(event.data)
                case records.Bad():
                    self.front.core.counts["unreadable"] += 1
                    self.reply(event.number, event.status, event.why.encode())
                    if event.status in TOO_LARGE:
                        return self.drop(event.why)
                case records.Broken():
                    self.front.core.counts["unreadable"] += 1
                    return self.drop(event.why)
        if self.waiting > MOST_UNSENT:
            return self.drop("does not read")
        held = self.reader.held()
        self.front.held, self.held = self.front.held + held - self.held, held
        if self.front.held > self.front.most_held and held > MOST_HELD:
            return self.drop("holds too much that is not whole")
        half = next(iter(self.reader.begun), 0)
        if half != self.half:
            self.half, self.half_since = half, self.front.core.clock()

    def aborted(self, number: int) -> None:
        """The client has aborted a request."""
        pending = self.requests.pop(number, None)
        self.reader.ended(number)
        self.send(records.end_record(number))
        if pending is not None:
            self.front.core.host.client_left(pending)
            self.rested()

    def reply(self, number: int, status: int, body: bytes = b"", come_back: int = 0) -> None:
        """Write an answer. `come_back`: of Retry-After, in tenths of a millisecond; 0: none."""
        head = HEADS[status]
        if come_back:
            head = b"Retry-After: %d\r\n" % max(1, -(-come_back // SECOND)) + head
        self.send(records.answer(number, head, body))
        self.reader.ended(number)
        self.rested()

    def answer(self, pending: PendingRequest, verdict: str, come_back: int, body: Any) -> None:
        """The final answer of an RPC."""
        message = pending.message
        message.body = b""
        self.requests.pop(message.number, None)
        if not pending.in_flight:
            self.front.lingering.pop(pending.tag, None)
        status = STATUS[verdict]
        self.reply(message.number, status, body if verdict == OK else b"", come_back)
        if not message.keep:
            self.last = True
        if self.last and not self.requests:
            self.close()

    def rested(self) -> None:
        """Without an open request it idles from now on."""
        if not self.requests and not self.dead:
            self.since = self.front.core.clock()
            self.front.idle[self] = None
            self.front.idle.move_to_end(self)

    def lost(self, why: str) -> None:
        """The connection is gone, and with it whoever waited."""
        self.front.core.input()
        self.front.connections.pop(self, None)
        self.front.held, self.held = self.front.held - self.held, 0
        self.front.idle.pop(self, None)
        requests, self.requests = list(self.requests.values()), {}
        for pending in requests:
            self.front.core.host.client_left(pending)
