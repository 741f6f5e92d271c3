"""The front of the platform: web servers that speak FastCGI. Requests are checked strictly (`invocation`):
what can't be used gets its answer at once and meets neither the module nor a runner.
"""

import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest
from lapistrestle.node import fastcgi
from lapistrestle.node.client_connection import DISCARDING_TIME_OUT, ClientConnection, Phase
from lapistrestle.node.configuration import Configuration, split_address
from lapistrestle.node.invocation import InvalidRequestError, Invocation, InvocationParser
from lapistrestle.node.runner_connection import RunnerConnection
from lapistrestle.node.streams import Listener
from lapistrestle.ticks import MILLISECOND, SECOND

DEADLINE_MARGIN = 60  # tenths of a millisecond, for the way back and the turn of the loop
# Tenths of a millisecond:
FIRST_REQUEST_TIME = 5_000  # a new connection's first request may be on its way for this long
FIRST_REQUEST_TIME_OUT = 20_000  # a connection that has not brought a complete request by then is closed
IDLE_TIME_OUT = 60_000  # clients close theirs sooner; who keeps one for good loses it
SWEEP_INTERVAL = 2_500  # between two looks for connections to close
CLOSING_TIME_OUT = 10_000  # how long a connection that is being closed may still be read

CLIENT_SOCKETS_SHARE = (9, 20)  # of the process's sockets may go to clients
CLOSING_DIVISOR = 8  # and one in so many of these to connections that are being closed
BYTES_PER_MB = 1e6
BUFFERED_DIVISOR = 8  # of the memory limit, one in so many may be held by requests that are not complete
BODIES_DIVISOR = 4  # and one in so many by the bodies of open requests
MIN_OPEN_REQUESTS = 256  # requests that may be open whatever the memory limit


@dataclass(slots=True, eq=False)
class RunRequest:
    """A request as it is sent to a runner: parts of its line, made once."""

    number: int  # on its client's connection
    keep: bool  # whether the client keeps its connection after the answer
    id: bytes
    head: bytes  # of the line's attributes
    key: bytes  # of the line's attributes, empty without an idempotency key
    body: bytes
    used_connections: list[RunnerConnection] = field(default_factory=list)  # its attempts went by these

    @classmethod
    def of(cls, call: Invocation, request: fastcgi.Request) -> "RunRequest":
        """From a checked call."""
        head = b'"queue":"%s","path":"%s"' % (call.method.quoted, call.function)
        key = b',"uniq":"%s"' % call.key if call.key else b""
        return cls(request.number, request.keep, call.id, head, key, request.body)


class Front:
    """Listens, checks requests, hands them to the host."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core = core
        self.host_port = split_address(configuration.file.listen)
        self.connections: dict[ClientConnection, None] = {}
        self.idle = OrderedDict[ClientConnection, None]()  # without an open request, longest idle first
        sockets = configuration.file.limits.sockets * CLIENT_SOCKETS_SHARE[0] // CLIENT_SOCKETS_SHARE[1]
        self.max_closing = max(1, sockets // CLOSING_DIVISOR)
        self.max_connections = max(1, sockets - self.max_closing)
        # half closed, or over the limit, each with the time until which it is kept; the oldest first
        self.closing = OrderedDict[ClientConnection, int]()
        memory = configuration.file.limits.memory_mb * BYTES_PER_MB
        self.buffered_bytes = 0  # of requests that are not complete, on all connections
        self.max_buffered_bytes = memory / BUFFERED_DIVISOR  # bytes of what is not complete
        # as many as the memory holds if each brings the longest body
        by_memory = max(MIN_OPEN_REQUESTS, int(memory / BODIES_DIVISOR / fastcgi.MAX_BODY_BYTES))
        self.max_open_requests = min(configuration.platform.limits.max_open, by_memory)
        self.listener: Listener | None = None
        self.ready: Callable[[], bool] = lambda: False  # whether the list stands; the source knows
        self.leaving = False
        self.recent_ids = OrderedDict[str, int]()  # taken in the last window of orders, and when
        self.unfinished: dict[str, PendingRequest] = {}  # by id, until the last attempt has ended
        self.parser = InvocationParser(configuration, core.settings)

    # core.Front

    def listen(self) -> int:
        """Listen. Returns the port."""
        self.listener = Listener(
            self.core.reactor, *self.host_port, self.client_connected, self.free_descriptor
        )
        self.core.after(SWEEP_INTERVAL, self.sweep, None)
        port: int = self.listener.sock.getsockname()[1]
        return port

    def close(self) -> None:
        """What the machine has accepted for us is ours to answer: closing the listener would reset it."""
        self.drain_listener()

    def drain_listener(self) -> bool:
        """Close the listener once nothing waits at it; False while the machine has no descriptor for that."""
        if self.listener is not None and not self.listener.closed and self.listener.empty():
            self.listener.close()
        return self.listener is None or self.listener.closed

    def owes(self) -> bool:
        """Reads every connection once more: a request that lies unread at the end would be reset with it."""
        emptied = self.drain_listener()
        for connection in [*self.connections, *self.closing]:
            connection.read_on()
        return not emptied or any(connection.unsent for connection in [*self.connections, *self.closing])

    def open(self) -> list[PendingRequest]:
        """All requests without a final answer."""
        return [pending for connection in self.connections for pending in connection.requests.values()]

    def end(self) -> None:
        """Close every connection at once."""
        if self.listener is not None:
            self.listener.close()
        for connection in [*self.connections, *self.closing]:
            connection.close_now("the dispatcher ends")

    # connections

    def client_connected(self, sock: socket.socket) -> None:
        """A client has connected."""
        assert self.listener is not None
        has_room = self.has_room()
        connection = ClientConnection(self, sock)
        connection.waited = int(self.listener.waited() * SECOND)
        if has_room:
            self.connections[connection] = self.idle[connection] = None
        else:
            self.core.counts["turned away"] += 1
            self.answer_over_limit(connection)
        connection.begin()
        # in this look: it may have come, with all it brings and its end, during a standstill
        connection.doRead()

    def has_room(self) -> bool:
        """Whether one more connection may be served; one that carries nothing makes room."""
        return len(self.connections) < self.max_connections or self.evict_idle()

    def answer_over_limit(self, connection: ClientConnection) -> None:
        """One for which there is no room: its first request, which may be on its way, is answered still."""
        self.connections.pop(connection, None)
        self.idle.pop(connection, None)
        connection.is_over_limit = True
        connection.phase = Phase.REJECTING
        connection.phase_since = self.core.clock()
        self.keep_closing(connection)

    def admit(self, connection: ClientConnection) -> None:
        """A connection over the limit has brought a request: it is served if there is room by now."""
        connection.is_over_limit = False
        del self.closing[connection]
        if self.has_room():
            connection.phase = Phase.SERVING
            self.connections[connection] = self.idle[connection] = None
        else:
            self.keep_closing(connection)

    def half_closed(self, connection: ClientConnection) -> None:
        """One has been half closed, and is read until its client closes."""
        self.connections.pop(connection, None)
        if connection not in self.closing:
            self.keep_closing(connection)

    def keep_closing(self, connection: ClientConnection) -> None:
        """Keep one that is being closed, for a while; not too many of them."""
        if len(self.closing) >= self.max_closing:
            next(iter(self.closing)).close_now("others need the room")
        self.closing[connection] = self.core.clock() + CLOSING_TIME_OUT

    def free_descriptor(self) -> bool:
        """Free one descriptor."""
        if not self.closing and not self.evict_idle():
            return False
        if self.closing:
            next(iter(self.closing)).close_now("others need the room")
        return True

    def evict_idle(self) -> bool:
        """Serve one connection less that carries nothing: one that never asked, else the longest idle. One
        that may be about to ask goes only where there is no other, and counts as over the limit.
        """
        now = self.core.clock()
        free = [connection for connection in self.idle if not connection.reader.partial]
        old = [
            connection
            for connection in free
            if connection.has_sent_request or now - connection.since > FIRST_REQUEST_TIME
        ]
        never_used = [connection for connection in old if not connection.has_sent_request]
        for connection in never_used or old or free or list(self.idle):
            if self.is_unused(connection):
                if connection.has_sent_request or now - connection.since > FIRST_REQUEST_TIME:
                    connection.drop("others need the room")
                else:
                    self.answer_over_limit(connection)
                return True
            if connection.dead:
                return True
        return False

    def is_unused(self, connection: ClientConnection) -> bool:
        """Whether nothing has come on it meanwhile: guards what lies unread, which a close would reset
        together with the answers before it.
        """
        if connection.unsent:
            return False
        before = connection.oldest_partial, connection.has_sent_request
        connection.doRead()
        after = connection.oldest_partial, connection.has_sent_request
        return not connection.dead and not connection.requests and after == before

    def sweep(self, _: object) -> None:
        """Close what is silent or idles, now and again."""
        now = self.core.clock()
        for connection in list(self.connections):
            self.check_connection(connection, now)
        while self.closing and next(iter(self.closing.values())) <= now:
            next(iter(self.closing)).close_now("it stays open")
        over = [
            tag for tag, pending in self.unfinished.items() if pending.is_closed and not pending.in_flight
        ]
        for tag in over:
            self.unfinished.pop(tag).attempts.clear()  # they point to each other
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def check_connection(self, connection: ClientConnection, now: int) -> None:
        """Close one that does not read, does not finish what it began, or idles."""
        if connection.unread_time(now) > IDLE_TIME_OUT:
            connection.drop("does not read")
        elif connection.phase is Phase.DISCARDING and now - connection.phase_since > DISCARDING_TIME_OUT:
            self.core.host.abort_all(list(connection.requests.values()))
        elif connection.oldest_partial and now - connection.partial_since > FIRST_REQUEST_TIME_OUT:
            connection.reject_partial(408)
            connection.begin_close(Phase.REJECTING)
        elif connection.requests or connection.oldest_partial:
            return
        elif now - connection.since > self.idle_limit(connection) and self.is_unused(connection):
            connection.drop("idle" if connection.has_sent_request else "silence")

    def idle_limit(self, connection: ClientConnection) -> int:
        """How long it may be without an open request."""
        return IDLE_TIME_OUT if connection.has_sent_request else FIRST_REQUEST_TIME_OUT

    def seen_recently(self, tag: str) -> bool:
        """Whether a request of this id came within the window of orders, where an id counts once: guards the
        ration against clients that send the same again as soon as it is turned away.
        """
        now = self.core.clock()
        window_start = now - self.core.settings.preload_window
        while self.recent_ids and next(iter(self.recent_ids.values())) <= window_start:
            self.recent_ids.popitem(last=False)
        known = tag in self.recent_ids
        self.recent_ids.setdefault(tag, now)
        return known

    # requests

    def request(self, connection: ClientConnection, request: fastcgi.Request) -> None:
        """A complete request came: the health check, or a call."""
        if connection.is_over_limit:
            self.admit(connection)
        path = request.fields.get(b"SCRIPT_NAME", b"")
        if path == b"/_health":
            connection.reply(request.number, 200 if self.ready() and not self.leaving else 503)
            return
        try:
            self.invoke(connection, request, path)
        except InvalidRequestError as error:
            self.core.counts["unreadable"] += 1
            connection.reply(request.number, error.status, error.message.encode())

    def takes_requests(self, connection: ClientConnection) -> bool:
        """Whether a further request of a connection may be taken now."""
        if self.core.stopping or connection.phase >= Phase.REJECTING:
            return False
        return self.core.host.open_requests < self.max_open_requests and self.ready()

    def invoke(self, connection: ClientConnection, request: fastcgi.Request, path: bytes) -> None:
        """Hand a call to the host. Raises InvalidRequestError where the request can't be used."""
        call = self.parser.parse(request, path)
        tag = call.id.decode()
        if tag in self.unfinished:
            raise InvalidRequestError(
                409, "X-Call-Id is in use", "X-Call-Id", call.id, "an id of no open call"
            )
        time_left = int(call.patience * MILLISECOND) - DEADLINE_MARGIN - connection.unread
        if time_left <= 0 or not self.takes_requests(connection):
            self.core.counts["turned away"] += 1
            connection.reply(request.number, 503)
            return
        self.idle.pop(connection, None)
        pending = self.core.host.request_received(
            client=connection,
            message=RunRequest.of(call, request),
            tag=tag,
            function_name=call.function.decode(),
            method=call.method.number,
            customer=call.customer,
            time_left=time_left,
            memory_mb=call.memory,
            lanes=call.lanes,
            repeat=call.repeat,
            work=None if call.work is None else max(1, int(call.work * MILLISECOND)),
            load_time=None if call.load is None else int(call.load * MILLISECOND),
            already_counted=self.seen_recently(tag),
            arrived_at=self.core.earliest_arrival(),
        )
        if not pending.is_closed:
            connection.requests[request.number] = pending
        if not pending.is_closed or pending.in_flight:
            self.unfinished[tag] = pending
