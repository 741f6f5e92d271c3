"""The front of the platform's dispatcher: connections of web servers, in FastCGI.

Requests are validated strictly (`invocation`); an invalid one is answered at once and reaches neither the
module nor a runner.
"""

import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest
from lapistrestle.node import client_events, fastcgi
from lapistrestle.node.client_connection import DISCARDING_TIMEOUT, ClientConnection, Phase
from lapistrestle.node.client_memory import ClientMemory
from lapistrestle.node.configuration import Configuration, split_address
from lapistrestle.node.invocation import InvalidRequestError, Invocation, InvocationParser
from lapistrestle.node.listener import Listener
from lapistrestle.node.memory_account import MemoryAccount, request_bytes
from lapistrestle.node.read_turns import ReadTurns
from lapistrestle.node.runner_connection import RunnerConnection
from lapistrestle.node.used_ids import ID_BYTES, UsedIds, retention_for
from lapistrestle.policy.settings import MethodKind
from lapistrestle.ticks import MILLISECOND, SECOND

# Ticks of 0.1 ms:
DEADLINE_MARGIN = 60  # taken off a request's deadline, for the answer's way back and the event loop
FIRST_REQUEST_TRANSIT = 5_000  # for which a new connection's first request may be in transit
FIRST_REQUEST_TIMEOUT = 20_000  # after which a connection without a complete request is closed
IDLE_TIMEOUT = 60_000  # after which idle connections are closed; well-behaved clients close theirs earlier
SWEEP_INTERVAL = 2_500  # between two sweeps for connections to close
CLOSING_TIMEOUT = 10_000  # for which a connection being closed is still read

CLIENT_SOCKETS_SHARE = (9, 20)  # the fraction of the process's sockets for clients
CLOSING_DIVISOR = 8  # one in so many of these is for connections being closed
BYTES_PER_MB = 1e6
USED_IDS_DIVISOR = 32  # one part in so many of the memory limit is for ids that may not run again
ID_IN_USE, ID_USED = "X-Call-Id is in use", "X-Call-Id was used"
MAX_LOGGED_ID = 16  # characters of an id that is refused
RECENT_IDS_DIVISOR = 32  # one part in so many of the memory limit is for ids received recently
RECENT_ID_BYTES = 300  # that an id takes here and in the preload budget


@dataclass(slots=True, eq=False)
class RunRequest:
    """A request with the parts of its line to a runner, which are encoded once for all attempts."""

    number: int  # request id on the client's connection
    keep: bool  # whether the client keeps its connection open after the answer
    id: bytes
    head: bytes  # JSON of the first attributes
    key: bytes  # JSON of the idempotency key's attribute; empty without a key
    body: bytes
    held_bytes: int = 0  # in the account of memory
    used_connections: list[RunnerConnection] = field(default_factory=list)  # of its attempts

    @classmethod
    def of(cls, call: Invocation, request: fastcgi.Request) -> "RunRequest":
        """Make the request of a validated call."""
        head = b'"queue":"%s","path":"%s"' % (call.method.quoted, call.function)
        key = b',"uniq":"%s"' % call.key if call.key else b""
        return cls(request.number, request.keep, call.id, head, key, request.body)


class Front:
    """Accepts FastCGI connections, validates their requests and hands them to the host."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core = core
        self.host_port = split_address(configuration.file.listen)
        self.connections: dict[ClientConnection, None] = {}
        self.idle = OrderedDict[ClientConnection, None]()  # without an open request, longest idle first
        sockets = configuration.file.limits.sockets * CLIENT_SOCKETS_SHARE[0] // CLIENT_SOCKETS_SHARE[1]
        self.max_closing = max(1, sockets // CLOSING_DIVISOR)
        self.max_connections = max(1, sockets - self.max_closing)
        # half closed, or over the limit, each with the time to close it at last; oldest first
        self.closing = OrderedDict[ClientConnection, int]()
        memory = configuration.file.limits.memory_mb * BYTES_PER_MB
        self.memory = ClientMemory(core, MemoryAccount(memory))
        self.read_turns = ReadTurns(core)
        self.max_open_requests = configuration.platform.limits.max_open
        self.listener: Listener | None = None
        self.ready: Callable[[], bool] = lambda: False  # whether there is a usable worker list
        self.shutting_down = False
        self.recent_ids = OrderedDict[str, int]()  # ids received within the preload window, with the time
        self.max_recent_ids = int(memory / RECENT_IDS_DIVISOR / RECENT_ID_BYTES)
        self.unfinished: dict[str, PendingRequest] = {}  # by call id, until the last attempt has ended
        self.used_ids = UsedIds(retention_for(core.settings), int(memory / USED_IDS_DIVISOR / ID_BYTES))
        core.on_request_finished = self.request_finished
        self.parser = InvocationParser(configuration, core.settings)
        self.accepted = 0  # connections, ever
        client_events.register(core)

    # core.Front

    def listen(self) -> int:
        """Start listening. Returns the port."""
        self.listener = Listener(
            self.core.reactor, *self.host_port, self.client_connected, self.free_descriptor
        )
        self.core.after(SWEEP_INTERVAL, self.sweep, None)
        port: int = self.listener.sock.getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening, once all connections in the accept queue are accepted: closing would reset them."""
        self.drain_listener()

    def drain_listener(self) -> bool:
        """Accept the waiting connections and close the listener; False if it has to stay for others."""
        if self.listener is not None and not self.listener.closed and self.listener.accept_all():
            self.listener.close()
        return self.listener is None or self.listener.closed

    def has_pending_io(self) -> bool:
        """Whether answers are unsent or connections not accepted.

        Reads every connection once more, as closing a connection with an unread request would reset it.
        """
        emptied = self.drain_listener()
        for connection in [*self.connections, *self.closing]:
            connection.read_on()
        return not emptied or any(connection.unsent for connection in [*self.connections, *self.closing])

    def open_requests(self) -> list[PendingRequest]:
        """The requests without a final answer."""
        return [pending for connection in self.connections for pending in connection.requests.values()]

    def close_all(self) -> None:
        """Close every connection immediately."""
        if self.listener is not None:
            self.listener.close()
        for connection in [*self.connections, *self.closing]:
            connection.close_now("the dispatcher ends")

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete requests on all connections."""
        return self.memory.buffered_bytes

    def memory_measured(self, used: int) -> None:
        """The process uses so many bytes."""
        self.memory.account.measured(used)

    def memory_figures(self) -> dict[str, int]:
        """The connections, the requests and the bytes of incomplete requests that are held, for the log."""
        return {
            "connections": len(self.connections),
            "closing": len(self.closing),
            "requests": len(self.unfinished),
            "used_ids": self.used_ids.count,
            "used_ids_dropped": self.used_ids.dropped_early,
            "paused": len(self.memory.paused),
            "buffered": self.buffered_bytes,
            "held": self.memory.account.held,
            "budget": int(self.memory.account.budget),
        }

    # connections

    def next_connection_number(self) -> int:
        """Return a number by which the log knows a connection."""
        self.accepted += 1
        return self.accepted

    def client_connected(self, sock: socket.socket) -> None:
        """Handle a new connection, and read it at once."""
        assert self.listener is not None
        has_room = self.has_room()
        connection = ClientConnection(self, sock)
        connection.accept_wait = int(self.listener.max_wait() * SECOND)
        if has_room:
            self.connections[connection] = self.idle[connection] = None
        else:
            self.core.counts["turned away"] += 1
            self.answer_over_limit(connection)
        connection.start()
        # in this poll: its first request may have arrived with it
        connection.doRead()

    def has_room(self) -> bool:
        """Whether one more connection may be served, if need be by evicting an idle one."""
        return len(self.connections) < self.max_connections or self.evict_idle()

    def answer_over_limit(self, connection: ClientConnection) -> None:
        """Keep a connection beyond the limit for a while, and reject its first request if that arrives."""
        self.connections.pop(connection, None)
        self.idle.pop(connection, None)
        connection.is_over_limit = True
        connection.phase = Phase.REJECTING
        connection.phase_since = self.core.clock()
        self.keep_closing(connection)

    def admit(self, connection: ClientConnection) -> None:
        """Serve a connection that was over the limit if there is room when its first request arrives."""
        connection.is_over_limit = False
        del self.closing[connection]
        if self.has_room():
            connection.phase = Phase.SERVING
            self.connections[connection] = self.idle[connection] = None
        else:
            self.keep_closing(connection)

    def half_closed(self, connection: ClientConnection) -> None:
        """Handle that a connection was half closed; it is read until its client closes."""
        self.connections.pop(connection, None)
        if connection not in self.closing:
            self.keep_closing(connection)

    def keep_closing(self, connection: ClientConnection) -> None:
        """Keep a connection for CLOSING_TIMEOUT while it closes; if there are too many, drop the oldest."""
        if len(self.closing) >= self.max_closing:
            next(iter(self.closing)).close_now("evicted for another connection")
        self.closing[connection] = self.core.clock() + CLOSING_TIMEOUT

    def free_descriptor(self) -> bool:
        """Close one connection to free a descriptor; False if there is none to close."""
        if not self.closing and not self.evict_idle():
            return False
        if self.closing:
            next(iter(self.closing)).close_now("evicted for another connection")
        return True

    def evict_idle(self) -> bool:
        """Evict one connection without requests; False if there is none.

        Preferred are connections that never sent a request, then the longest idle. A new connection, whose
        first request may be in transit, is evicted only if there is no other, and treated as over the limit.
        """
        now = self.core.clock()
        without_partial = [connection for connection in self.idle if not connection.reader.partial]
        settled = [
            connection
            for connection in without_partial
            if connection.has_sent_request or now - connection.idle_since > FIRST_REQUEST_TRANSIT
        ]
        never_used = [connection for connection in settled if not connection.has_sent_request]
        for connection in never_used or settled or without_partial or list(self.idle):
            if self.is_unused(connection):
                if connection.has_sent_request or now - connection.idle_since > FIRST_REQUEST_TRANSIT:
                    connection.drop("evicted for another connection")
                else:
                    self.answer_over_limit(connection)
                return True
            if connection.dead:
                return True
        return False

    def is_unused(self, connection: ClientConnection) -> bool:
        """Whether the connection can be closed: it has no unsent data and, read once more, no new request.

        Closing a connection with unread data would reset it, and the client would lose earlier answers.
        """
        if connection.unsent:
            return False
        before = connection.oldest_partial, connection.has_sent_request
        connection.read_once()
        after = connection.oldest_partial, connection.has_sent_request
        return not connection.dead and not connection.requests and after == before

    def sweep(self, _: object) -> None:
        """Close silent and idle connections, every SWEEP_INTERVAL."""
        now = self.core.clock()
        for connection in list(self.connections):
            self.check_connection(connection, now)
        while self.closing and next(iter(self.closing.values())) <= now:
            next(iter(self.closing)).close_now("not closed by the client in time")
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def check_connection(self, connection: ClientConnection, now: int) -> None:
        """Close a connection that does not read, does not complete its request, or is idle for too long."""
        if connection.unread_time(now) > IDLE_TIMEOUT:
            connection.drop("does not read")
        elif connection.phase is Phase.DISCARDING and now - connection.phase_since > DISCARDING_TIMEOUT:
            self.core.host.abort_all(list(connection.requests.values()))
        elif connection.oldest_partial and now - connection.partial_since > FIRST_REQUEST_TIMEOUT:
            connection.reject_partial(408)
            connection.begin_close(Phase.REJECTING)
        elif connection.requests or connection.oldest_partial:
            return
        elif now - connection.idle_since > self.idle_limit(connection) and self.is_unused(connection):
            connection.drop("idle" if connection.has_sent_request else "silence")

    def idle_limit(self, connection: ClientConnection) -> int:
        """How long a connection may be without an open request, in ticks."""
        return IDLE_TIMEOUT if connection.has_sent_request else FIRST_REQUEST_TIMEOUT

    def seen_recently(self, tag: str) -> bool:
        """Whether a request of this id was received within the preload window.

        An id counts once towards the preload budget, so that clients which resend a rejected call immediately
        do not increase it. Beyond `max_recent_ids` an id counts as seen, as the budget must not be exceeded.
        """
        now = self.core.clock()
        window_start = now - self.core.settings.preload_window
        while self.recent_ids and next(iter(self.recent_ids.values())) <= window_start:
            self.recent_ids.popitem(last=False)
        if tag in self.recent_ids or len(self.recent_ids) >= self.max_recent_ids:
            return True
        self.recent_ids[tag] = now
        return False

    # requests

    def request(self, connection: ClientConnection, request: fastcgi.Request) -> None:
        """Handle a complete request: the health check, or a call."""
        if connection.is_over_limit:
            self.admit(connection)
        path = request.fields.get(b"SCRIPT_NAME", b"")
        if path == b"/_health":
            connection.reply(request.number, 200 if self.ready() and not self.shutting_down else 503)
            return
        try:
            self.invoke(connection, request, path)
        except InvalidRequestError as error:
            self.core.counts["unreadable"] += 1
            call_id = request.fields.get(b"HTTP_X_CALL_ID", b"")[:MAX_LOGGED_ID].decode(errors="replace")
            connection.refused(request.number, error.status, error.message, call_id)
            connection.reply(request.number, error.status, error.message.encode())

    def rejection(self, connection: ClientConnection, time_left: int, body: bytes) -> str:
        """The reason why a request of this connection is not accepted now; empty if it is."""
        if time_left <= 0:
            return "no time left"
        if self.core.stopping:
            return "the dispatcher ends"
        if connection.phase >= Phase.REJECTING:
            return "the connection is being closed"
        if self.core.host.open_requests >= self.max_open_requests:
            return "too many open requests"
        if not self.memory.has_room_for(body):
            return "no memory for another request"
        return "" if self.ready() else "no list of workers that is recent enough"

    def check_id(self, call_id: bytes, tag: str) -> None:
        """Raises InvalidRequestError if a request of this id is open, or may have run and must not again."""
        if tag in self.unfinished:
            raise InvalidRequestError(409, ID_IN_USE, "X-Call-Id", call_id, "an id of no open call")
        if self.used_ids.contains(tag, self.core.clock()):
            raise InvalidRequestError(409, ID_USED, "X-Call-Id", call_id, "an id that is new")

    def request_finished(self, pending: PendingRequest) -> None:
        """Handle that a request is closed and none of its attempts is in flight."""
        if self.unfinished.get(pending.tag) is not pending:
            return
        del self.unfinished[pending.tag]
        self.hold(pending, 0)
        kind = self.core.settings.methods[pending.method].kind
        if kind is not MethodKind.IDEMPOTENT and pending.has_perhaps_run():
            self.used_ids.add(pending.tag, self.core.clock())

    def hold(self, pending: PendingRequest, size: int) -> None:
        """Count what an unfinished request takes now, also after its connection was closed."""
        more = size - pending.message.held_bytes
        pending.message.held_bytes = size
        pending.client.request_bytes += more
        self.memory.account.add(more)

    def drop_body(self, pending: PendingRequest) -> None:
        """Release the body of a request of which no further attempt is made."""
        pending.message.body = b""
        if pending.message.held_bytes:
            self.hold(pending, request_bytes(b""))

    def invoke(self, connection: ClientConnection, request: fastcgi.Request, path: bytes) -> None:
        """Validate a call and hand it to the host. Raises InvalidRequestError."""
        call = self.parser.parse(request, path)
        tag = call.id.decode()
        self.check_id(call.id, tag)
        time_left = int(call.patience * MILLISECOND) - DEADLINE_MARGIN - connection.receive_delay
        reason = self.rejection(connection, time_left, request.body)
        if reason:
            self.core.counts["turned away"] += 1
            connection.refused(request.number, 503, reason, tag)
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
            connection.accepted += 1
            self.unfinished[tag] = pending
            self.hold(pending, request_bytes(pending.message.body))
