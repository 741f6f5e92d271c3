"""The front of the platform: web servers that speak FastCGI. Requests are checked here, strictly: what can't
be used gets its answer at once and meets neither the module nor a runner."""

import re
import socket
from collections import OrderedDict
from collections.abc import Callable
from math import isfinite
from typing import Any

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import ABORTED, DENIED, OK, PendingRequest
from lapistrestle.node import records
from lapistrestle.node.place import Place, split
from lapistrestle.node.streams import Listener, Stream

MARGIN = 60  # tenths of a millisecond for the way back and the turn of the loop
FRESH = 5_000  # a connection's first request may be on its way for this long
SILENT = 20_000  # one that has not brought a whole request by then is closed
IDLE = 60_000  # clients close theirs sooner; who keeps one for good loses it
SWEEP = 2_500
MOST_UNSENT = 1_048_576  # bytes towards a client that does not read
MOST_HELD = 65_536  # bytes of half requests that one connection may hold when memory runs short
MOST_WORK = 600_000.0  # milliseconds
MOST_MEMORY = 1e6  # MB
MOST_LANES = 1024

ID = re.compile(rb"[0-9a-f]{16}")
KEY = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip
TYPE = "Content-Type: application/octet-stream\r\n"
HEADS = {code: f"Status: {code} {reason}\r\n{TYPE}\r\n".encode() for code, reason in REASONS.items()}


class Unfit(Exception):
    """A request that can't be used."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Asked:
    """A request as a runner is told of it: parts of its line, made once."""

    __slots__ = ("body", "head", "id", "keep", "key", "number", "used")

    def __init__(self, number: int, keep: bool, id: bytes, head: bytes, key: bytes, body: bytes) -> None:
        self.number, self.keep, self.id, self.head, self.key, self.body = number, keep, id, head, key, body
        self.used: list[Any] = []  # connections that it went by


def number_of(fields: dict[bytes, bytes], name: bytes, most: float) -> float | None:
    """A decimal number of a header, None where it is missing. Raises Unfit."""
    said = fields.get(name)
    if said is None:
        return None
    if not NUMBER.fullmatch(said):
        raise Unfit(400, f"{name.decode()} is no number")
    found = float(said)
    if not isfinite(found) or found > most:
        raise Unfit(400, f"{name.decode()} is out of range")
    return found


def attrs_of(said: bytes) -> dict[bytes, bytes]:
    """Names and values of `X-Attrs`. Raises Unfit."""
    found = {}
    for entry in said.split(b";"):
        name, colon, value = entry.partition(b":")
        if entry and not colon:
            raise Unfit(400, "X-Attrs can't be read")
        found[name.strip()] = value.strip()
    return found


class Seat(Stream):
    """One connection of a client."""

    def __init__(self, front: "Front", sock: socket.socket) -> None:
        super().__init__(front.core.reactor, sock)
        self.front, self.reader = front, records.Reader()
        self.requests: dict[int, PendingRequest] = {}
        self.asked = False  # it has brought a whole request
        self.last = False  # it ends with the last of its open requests
        self.since = front.core.clock()  # connected, or without an open request
        self.held = 0  # bytes of what has not come whole
        self.half, self.half_since = 0, 0  # the first request that has not come whole, and since when

    def pieces(self) -> int:
        """How many reads are made of it at once."""
        return self.front.core.pieces()

    def received(self, data: bytes) -> None:
        """Bytes came: whole requests go to the front."""
        self.front.core.input()
        for event in self.reader.feed(data):
            if self.dead:
                return
            match event:
                case records.Request():
                    self.asked = True
                    self.front.request(self, event)
                case records.Aborted():
                    self.aborted(event.number)
                case records.Reply():
                    self.send(event.data)
                case records.Bad():
                    self.front.core.counts["unreadable"] += 1
                    self.reply(event.number, event.status, event.why.encode())
                    if event.status in (413, 431):
                        return self.drop(event.why)  # the rest of it is not worth reading
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
            head = b"Retry-After: %d\r\n" % max(1, -(-come_back // 10_000)) + head
        self.send(records.answer(number, head, body))
        self.reader.ended(number)
        self.rested()

    def answer(self, pending: PendingRequest, verdict: str, come_back: int, body: Any) -> None:
        """The final answer of an RPC."""
        asked = pending.message
        asked.body = b""
        self.requests.pop(asked.number, None)
        if not pending.in_flight:
            self.front.lingering.pop(pending.tag, None)
        status = {OK: 200, DENIED: 503, ABORTED: 500}[verdict]
        self.reply(asked.number, status, body if verdict == OK else b"", come_back)
        if not asked.keep:
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
        self.front.seats.pop(self, None)
        self.front.held, self.held = self.front.held - self.held, 0
        self.front.idle.pop(self, None)
        requests, self.requests = list(self.requests.values()), {}
        for pending in requests:
            self.front.core.host.client_left(pending)


class Front:
    """Listens, checks requests, hands them to the host."""

    def __init__(self, core: Core, place: Place) -> None:
        self.core = core
        self.host_port = split(place.file.listen)
        self.seats: dict[Seat, None] = {}
        self.idle: OrderedDict[Seat, None] = OrderedDict()  # without an open request, longest idle first
        self.most = place.file.limits.sockets * 9 // 20
        memory = place.file.limits.memory_mb * 1e6
        self.held, self.most_held = 0, memory / 8  # bytes of what has not come whole
        most = max(256, int(memory / 4 / records.MOST_BODY))  # if each brings the longest body
        self.most_open = min(place.told.limits.max_open, most)
        self.listener: Listener | None = None
        self.ready: Callable[[], bool] = lambda: False  # whether the list stands; the source knows
        self.leaving = False
        self.ids: OrderedDict[str, int] = OrderedDict()  # those taken in the last window of orders, and when
        self.lingering: dict[str, PendingRequest] = {}  # by id, until the last call-out has ended
        self.customers = {t.name.encode(): number for number, t in enumerate(place.told.tenants)}
        self.methods = {}
        for number, profile in enumerate(place.told.profiles):
            name = profile.name.encode()
            deadline = core.facts["methods"][number]["deadline"] / 10
            tokened = core.facts["methods"][number]["kind"] == "tokened"
            quoted = name.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
            self.methods[b"/invoke/" + name] = (number, quoted, deadline, tokened)

    # core.Front

    def listen(self) -> int:
        """Listen. Returns the port."""
        self.listener = Listener(self.core.reactor, *self.host_port, self.taken, self.shed)
        self.core.after(SWEEP, self.sweep, None)
        port: int = self.listener.sock.getsockname()[1]
        return port

    def close(self) -> None:
        """What the machine has accepted for us is ours to answer: closing the listener would reset it."""
        if self.listener is not None:
            while self.listener.accept():
                continue
            self.listener.close()

    def owes(self) -> bool:
        """Reads every connection once more: a request that lies unread at the end would be reset with it."""
        for seat in list(self.seats):
            seat.doRead()
        return any(seat.unsent for seat in self.seats)

    def open(self) -> list[PendingRequest]:
        """All requests without a final answer."""
        return [t for seat in self.seats for t in seat.requests.values()]

    def end(self) -> None:
        """Close every connection at once."""
        for seat in list(self.seats):
            seat.drop("the dispatcher ends")

    # connections

    def taken(self, sock: socket.socket) -> None:
        """A client has connected."""
        if len(self.seats) >= self.most and not self.shed():
            self.core.counts["turned away"] += 1
            return sock.close()
        seat = Seat(self, sock)
        self.seats[seat] = self.idle[seat] = None
        seat.begin()
        seat.doRead()  # in this look: it may have come, with all it brings and its end, during a standstill

    def shed(self) -> bool:
        """Close one connection that carries nothing: one that never asked, else the longest idle, and one
        that may be about to ask only where there is no other."""
        now = self.core.clock()
        free = [seat for seat in self.idle if not seat.reader.begun]
        old = [seat for seat in free if seat.asked or now - seat.since > FRESH]
        for seat in [s for s in old if not s.asked] or old or free or list(self.idle):
            if self.unused(seat):
                seat.drop("others need the room")
            if seat.dead:
                return True
        return False

    def unused(self, seat: Seat) -> bool:
        """Whether nothing has come on it meanwhile: guards what lies unread, which a close would reset
        together with the answers before it."""
        half, asked = seat.half, seat.asked
        seat.doRead()
        return not seat.dead and not seat.requests and (seat.half, seat.asked) == (half, asked)

    def sweep(self, _: object) -> None:
        """Close what is silent or idles, now and again."""
        now = self.core.clock()
        for seat in list(self.seats):
            if seat.half and now - seat.half_since > SILENT:
                for number in seat.reader.begun:
                    seat.send(records.answer(number, HEADS[408], b""))
                seat.drop("half a request and silence")
            elif seat.requests or seat.half:
                continue
            elif now - seat.since > (IDLE if seat.asked else SILENT) and self.unused(seat):
                seat.drop("idle" if seat.asked else "silence")
        for tag in [
            tag for tag, pending in self.lingering.items() if pending.final and not pending.in_flight
        ]:
            self.lingering.pop(tag).call_outs.clear()  # they point to each other
        self.core.after(SWEEP, self.sweep, None)

    def taken_before(self, tag: str) -> bool:
        """Whether an RPC of this id came within the window of orders, where an id counts once: guards the
        ration against clients that send the same again as soon as it is turned away."""
        now = self.core.clock()
        while self.ids and next(iter(self.ids.values())) <= now - self.core.facts["order_window"]:
            self.ids.popitem(last=False)
        known = tag in self.ids
        self.ids.setdefault(tag, now)
        return known

    # requests

    def request(self, seat: Seat, request: records.Request) -> None:
        """A whole request came: the health check, or a call."""
        fields = request.fields
        path = fields.get(b"SCRIPT_NAME", b"")
        if path == b"/_health":
            return seat.reply(request.number, 200 if self.ready() and not self.leaving else 503)
        try:
            self.arrived(seat, request, path, fields)
        except Unfit as trouble:
            self.core.counts["unreadable"] += 1
            seat.reply(request.number, trouble.status, str(trouble).encode())

    def arrived(self, seat: Seat, request: records.Request, path: bytes, fields: dict[bytes, bytes]) -> None:
        """Raises Unfit where the request can't be used."""
        method = self.methods.get(path)
        if method is None:
            raise Unfit(404, "no such class")
        number, quoted, deadline, tokened = method
        id, fn = fields.get(b"HTTP_X_CALL_ID", b""), fields.get(b"HTTP_X_ENTITY", b"")
        if not ID.fullmatch(id):
            raise Unfit(400, "X-Call-Id is not 16 hex digits")
        if not ID.fullmatch(fn):
            raise Unfit(400, "X-Entity is not 16 hex digits")
        patience = number_of(fields, b"HTTP_X_PATIENCE_MS", deadline + 1)
        if not patience:
            raise Unfit(400, "X-Patience-Ms is missing or nothing")
        work = number_of(fields, b"HTTP_X_WEIGHT_MS", MOST_WORK)
        repeat = fields.get(b"HTTP_X_REPEAT", b"")
        if repeat not in (b"", b"0", b"1"):
            raise Unfit(400, "X-Repeat is neither 1 nor absent")
        key = fields.get(b"HTTP_X_DEDUPE_KEY", b"")
        if (key or tokened) and not KEY.fullmatch(key):
            raise Unfit(400, "X-Dedupe-Key can't be used")
        said = fields.get(b"HTTP_X_CUSTOMER", b"")
        # whom the settings don't share out to has no share: one that names nobody takes nobody's
        customer = self.customers.get(said, len(self.customers)) if self.customers else 0
        if said and self.customers and customer == len(self.customers):
            raise Unfit(400, "X-Customer is none of the settings' tenants")
        size = fields.get(b"CONTENT_LENGTH", b"")
        if size and (not size.isdigit() or int(size[:9]) != len(request.body)):
            raise Unfit(400, "CONTENT_LENGTH is not the body's")
        attrs = attrs_of(fields.get(b"HTTP_X_ATTRS", b""))
        memory = number_of(attrs, b"memory_mb", MOST_MEMORY) or 0.0
        lanes = number_of(attrs, b"lanes", MOST_LANES)
        load = number_of(attrs, b"load_ms", MOST_WORK)
        if lanes is not None and (lanes < 1 or lanes != int(lanes)):
            raise Unfit(400, "lanes is no count")
        tag = id.decode()
        if tag in self.lingering:
            raise Unfit(409, "X-Call-Id is in use")
        left = int(patience * 10) - MARGIN
        if self.core.stopping or left <= 0 or self.core.host.open >= self.most_open or not self.ready():
            self.core.counts["turned away"] += 1
            return seat.reply(request.number, 503)
        head = b'"queue":"%s","path":"%s"' % (quoted, fn)
        uniq = b',"uniq":"%s"' % key if key else b""
        asked = Asked(request.number, request.keep, id, head, uniq, request.body)
        self.idle.pop(seat, None)
        pending = self.core.host.arrived(
            client=seat, message=asked, tag=tag, fn=fn.decode(), method=number, customer=customer, left=left,
            memory=memory, lanes=int(lanes or 1), work=None if work is None else max(1, int(work * 10)),
            repeat=repeat == b"1", load=None if load is None else int(load * 10),
            moved=self.taken_before(tag), came=self.core.came(),
        )  # fmt: skip
        if not pending.final:
            seat.requests[request.number] = pending
        if not pending.final or pending.in_flight:
            self.lingering[tag] = pending
