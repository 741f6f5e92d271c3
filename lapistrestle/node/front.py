"""The front of the platform: web servers that speak FastCGI. Requests are checked strictly (`invocation`):
what can't be used gets its answer at once and meets neither the module nor a runner."""

import socket
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest
from lapistrestle.node import records
from lapistrestle.node.client import DISCARDING_TIME, ClientConnection, Phase
from lapistrestle.node.configuration import Configuration, split
from lapistrestle.node.invocation import Invocation, Parser, Unfit
from lapistrestle.node.streams import Listener

MARGIN = 60  # tenths of a millisecond for the way back and the turn of the loop
FRESH = 5_000  # a connection's first request may be on its way for this long, in tenths of a millisecond
SILENT = 20_000  # one that has not brought a whole request by then is closed
IDLE = 60_000  # clients close theirs sooner; who keeps one for good loses it
SWEEP = 2_500
PARTING = 10_000  # how long one that is being closed may still be read, in tenths of a millisecond
SOCKETS_PART = (9, 20)  # of the process's sockets may go to clients
PARTING_PART = 8  # and one in so many of these to connections that are being closed
MB = 1e6  # bytes
HELD_PART = 8  # of the memory limit, one in so many may be held by requests that have not come whole
SECOND = 10_000  # in tenths of a millisecond
BODIES_PART = 4  # and one in so many by the bodies of open requests
LEAST_OPEN = 256  # requests that may be open whatever the memory limit


class RunRequest:
    """A request as a runner is told of it: parts of its line, made once."""

    __slots__ = ("body", "head", "id", "keep", "key", "number", "used")

    def __init__(self, number: int, keep: bool, id: bytes, head: bytes, key: bytes, body: bytes) -> None:
        self.number, self.keep, self.id, self.head, self.key, self.body = number, keep, id, head, key, body
        self.used: list[Any] = []  # connections that it went by

    @classmethod
    def of(cls, call: Invocation, request: records.Request) -> "RunRequest":
        """From a checked call; `key` is a part of the line's attributes."""
        head = b'"queue":"%s","path":"%s"' % (call.method.quoted, call.function)
        key = b',"uniq":"%s"' % call.key if call.key else b""
        return cls(request.number, request.keep, call.id, head, key, request.body)


class Front:
    """Listens, checks requests, hands them to the host."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core = core
        self.host_port = split(configuration.file.listen)
        self.connections: dict[ClientConnection, None] = {}
        self.idle = OrderedDict[ClientConnection, None]()  # without an open request, longest idle first
        most = configuration.file.limits.sockets * SOCKETS_PART[0] // SOCKETS_PART[1]
        self.most_parting = max(1, most // PARTING_PART)
        self.most = max(1, most - self.most_parting)
        # shut, or guests, each with the time until which it is kept; the oldest first
        self.parting = OrderedDict[ClientConnection, int]()
        memory = configuration.file.limits.memory_mb * MB
        self.held, self.most_held = 0, memory / HELD_PART  # bytes of what has not come whole
        # if each brings the longest body
        most = max(LEAST_OPEN, int(memory / BODIES_PART / records.MOST_BODY))
        self.most_open = min(configuration.platform.limits.max_open, most)
        self.listener: Listener | None = None
        self.ready: Callable[[], bool] = lambda: False  # whether the list stands; the source knows
        self.leaving = False
        self.ids: OrderedDict[str, int] = OrderedDict()  # those taken in the last window of orders, and when
        self.lingering: dict[str, PendingRequest] = {}  # by id, until the last call-out has ended
        self.parser = Parser(configuration, core.settings)

    # core.Front

    def listen(self) -> int:
        """Listen. Returns the port."""
        self.listener = Listener(self.core.reactor, *self.host_port, self.taken, self.make_room)
        self.core.after(SWEEP, self.sweep, None)
        port: int = self.listener.sock.getsockname()[1]
        return port

    def close(self) -> None:
        """What the machine has accepted for us is ours to answer: closing the listener would reset it."""
        self.empty_listener()

    def empty_listener(self) -> bool:
        """Close the listener once nothing waits at it; False while the machine has no descriptor for that."""
        if self.listener is not None and not self.listener.closed and self.listener.empty():
            self.listener.close()
        return self.listener is None or self.listener.closed

    def owes(self) -> bool:
        """Reads every connection once more: a request that lies unread at the end would be reset with it."""
        emptied = self.empty_listener()
        for connection in [*self.connections, *self.parting]:
            connection.read_on()
        return not emptied or any(connection.unsent for connection in [*self.connections, *self.parting])

    def open(self) -> list[PendingRequest]:
        """All requests without a final answer."""
        return [pending for connection in self.connections for pending in connection.requests.values()]

    def end(self) -> None:
        """Close every connection at once."""
        if self.listener is not None:
            self.listener.close()
        for connection in [*self.connections, *self.parting]:
            connection.dismiss("the dispatcher ends")

    # connections

    def taken(self, sock: socket.socket) -> None:
        """A client has connected."""
        assert self.listener is not None
        has_room = self.has_room()
        connection = ClientConnection(self, sock)
        connection.waited = int(self.listener.waited() * SECOND)
        if has_room:
            self.connections[connection] = self.idle[connection] = None
        else:
            self.core.counts["turned away"] += 1
            self.receive_guest(connection)
        connection.begin()
        # in this look: it may have come, with all it brings and its end, during a standstill
        connection.doRead()

    def has_room(self) -> bool:
        """Whether one more connection may be served; one that carries nothing makes room."""
        return len(self.connections) < self.most or self.shed()

    def receive_guest(self, connection: ClientConnection) -> None:
        """One for which there is no room: its first request, which may be on its way, is answered still."""
        self.connections.pop(connection, None)
        self.idle.pop(connection, None)
        connection.is_guest = True
        connection.phase, connection.phase_since = Phase.REFUSING, self.core.clock()
        self.keep_parting(connection)

    def admit(self, guest: ClientConnection) -> None:
        """A guest asks for something: it is served if there is room by now."""
        guest.is_guest = False
        del self.parting[guest]
        if self.has_room():
            guest.phase = Phase.SERVING
            self.connections[guest] = self.idle[guest] = None
        else:
            self.keep_parting(guest)

    def shut(self, connection: ClientConnection) -> None:
        """One has been shut, and is read until its client closes."""
        self.connections.pop(connection, None)
        if connection not in self.parting:
            self.keep_parting(connection)

    def keep_parting(self, connection: ClientConnection) -> None:
        """For a while, and not too many."""
        if len(self.parting) >= self.most_parting:
            next(iter(self.parting)).dismiss("others need the room")
        self.parting[connection] = self.core.clock() + PARTING

    def make_room(self) -> bool:
        """Free one descriptor."""
        if not self.parting and not self.shed():
            return False
        if self.parting:
            next(iter(self.parting)).dismiss("others need the room")
        return True

    def shed(self) -> bool:
        """Serve one connection less that carries nothing: one that never asked, else the longest idle. One
        that may be about to ask goes only where there is no other, and becomes a guest."""
        now = self.core.clock()
        free = [connection for connection in self.idle if not connection.reader.begun]
        old = [connection for connection in free if connection.has_asked or now - connection.since > FRESH]
        for connection in [s for s in old if not s.has_asked] or old or free or list(self.idle):
            if self.unused(connection):
                if connection.has_asked or now - connection.since > FRESH:
                    connection.drop("others need the room")
                else:
                    self.receive_guest(connection)
                return True
            if connection.dead:
                return True
        return False

    def unused(self, connection: ClientConnection) -> bool:
        """Whether nothing has come on it meanwhile: guards what lies unread, which a close would reset
        together with the answers before it."""
        if connection.unsent:
            return False
        before = connection.half, connection.has_asked
        connection.doRead()
        after = connection.half, connection.has_asked
        return not connection.dead and not connection.requests and after == before

    def sweep(self, _: object) -> None:
        """Close what is silent or idles, now and again."""
        now = self.core.clock()
        for connection in list(self.connections):
            if connection.stuck_for(now) > IDLE:
                connection.drop("does not read")
            elif connection.phase is Phase.DISCARDING and now - connection.phase_since > DISCARDING_TIME:
                self.core.host.abort_all(list(connection.requests.values()))
            elif connection.half and now - connection.half_since > SILENT:
                connection.refuse_begun(408)
                connection.leave(Phase.REFUSING)
            elif connection.requests or connection.half:
                continue
            elif now - connection.since > self.patience(connection) and self.unused(connection):
                connection.drop("idle" if connection.has_asked else "silence")
        while self.parting and next(iter(self.parting.values())) <= now:
            next(iter(self.parting)).dismiss("it stays open")
        over = [tag for tag, pending in self.lingering.items() if pending.final and not pending.in_flight]
        for tag in over:
            self.lingering.pop(tag).attempts.clear()  # they point to each other
        self.core.after(SWEEP, self.sweep, None)

    def patience(self, connection: ClientConnection) -> int:
        """How long it may be without an open request."""
        return IDLE if connection.has_asked else SILENT

    def taken_before(self, tag: str) -> bool:
        """Whether an RPC of this id came within the window of orders, where an id counts once: guards the
        ration against clients that send the same again as soon as it is turned away."""
        now = self.core.clock()
        while self.ids and next(iter(self.ids.values())) <= now - self.core.settings.preload_window:
            self.ids.popitem(last=False)
        known = tag in self.ids
        self.ids.setdefault(tag, now)
        return known

    # requests

    def request(self, connection: ClientConnection, request: records.Request) -> None:
        """A whole request came: the health check, or a call."""
        if connection.is_guest:
            self.admit(connection)
        path = request.fields.get(b"SCRIPT_NAME", b"")
        if path == b"/_health":
            return connection.reply(request.number, 200 if self.ready() and not self.leaving else 503)
        try:
            self.arrived(connection, request, path)
        except Unfit as trouble:
            self.core.counts["unreadable"] += 1
            connection.reply(request.number, trouble.status, str(trouble).encode())

    def arrived(self, connection: ClientConnection, request: records.Request, path: bytes) -> None:
        """Raises Unfit where the request can't be used."""
        call = self.parser.parse(request, path)
        tag = call.id.decode()
        if tag in self.lingering:
            raise Unfit(409, "X-Call-Id is in use")
        left = int(call.patience * 10) - MARGIN - connection.unread
        refused = self.core.stopping or connection.phase >= Phase.REFUSING
        if refused or left <= 0 or self.core.host.open >= self.most_open or not self.ready():
            self.core.counts["turned away"] += 1
            return connection.reply(request.number, 503)
        self.idle.pop(connection, None)
        pending = self.core.host.arrived(
            client=connection,
            message=RunRequest.of(call, request),
            tag=tag,
            function_name=call.function.decode(),
            method=call.method.number,
            customer=call.customer,
            left=left,
            memory=call.memory,
            lanes=call.lanes,
            repeat=call.repeat,
            work=None if call.work is None else max(1, int(call.work * 10)),
            load=None if call.load is None else int(call.load * 10),
            moved=self.taken_before(tag),
            came=self.core.earliest_arrival(),
        )
        if not pending.final:
            connection.requests[request.number] = pending
        if not pending.final or pending.in_flight:
            self.lingering[tag] = pending
