"""Which clients are not read, and which requests are refused, so that memory stays within its account.

A connection that holds more than its share is not read until it holds less (backpressure): its open requests
end, and its answers are read. Incomplete requests may hold memory for as long as their clients like, so they
are refused when memory is short, those that are incomplete for longest first.
"""

from collections import OrderedDict
from typing import TYPE_CHECKING

from lapistrestle.edge.core import Core
from lapistrestle.node import fastcgi
from lapistrestle.node.memory_account import MemoryAccount, request_bytes

if TYPE_CHECKING:
    from lapistrestle.node.client_connection import ClientConnection

RESUME_INTERVAL = 100  # ticks of 0.1 ms between two looks at the connections that are not read
# what one request of any size may take while it is incomplete, besides what its connection takes
MAX_PARTIAL_BYTES = fastcgi.MAX_PARAMS_BYTES + 2 * fastcgi.MAX_BODY_BYTES
SHORT_EVENT = "memory short"


class ClientMemory:
    """The connections that hold incomplete requests, and those that are not read."""

    def __init__(self, core: Core, account: MemoryAccount) -> None:
        self.core = core
        self.account = account
        self.buffered_bytes = 0  # of incomplete requests, on all connections
        # with an incomplete request, or many ids of rejected ones; the one that has it for longest first
        self.incomplete = OrderedDict["ClientConnection", None]()
        self.paused: dict[ClientConnection, None] = {}
        self.is_resuming = False  # a look at the paused connections is scheduled

    def is_over_share(self, connection: "ClientConnection") -> bool:
        """Whether a connection holds more than its share."""
        return connection.held_bytes > self.account.share

    def has_room_for(self, body: bytes) -> bool:
        """Whether a request with this body may be accepted, if need be instead of incomplete ones."""
        size = request_bytes(body)
        while not self.account.has_room(size) and self.incomplete:
            self.refuse_oldest()
        return self.account.has_room(size)

    def enforce(self, connection: "ClientConnection") -> None:
        """Keep to the account after data of this connection was read."""
        if self.account.is_short:
            self.refuse_incomplete()
        if connection.dead or not self.is_over_share(connection):
            return
        if connection.requests or connection.unsent:
            self.pause(connection)
        elif len(connection.reader.partial) > 1 or connection.buffered_bytes > MAX_PARTIAL_BYTES:
            connection.refuse_for_memory()

    def refuse_incomplete(self) -> None:
        """Refuse incomplete requests until memory is no longer short."""
        self.core.count_and_log(SHORT_EVENT, held=self.account.held, budget=int(self.account.budget))
        while self.account.is_short and self.incomplete:
            self.refuse_oldest()

    def refuse_oldest(self) -> None:
        """Refuse the incomplete requests of the connection that has one for longest."""
        connection, _ = self.incomplete.popitem(last=False)
        connection.refuse_for_memory()

    def note_incomplete(self, connection: "ClientConnection", is_incomplete: bool) -> None:
        """A connection's oldest incomplete request is another one, or there is none any more."""
        self.incomplete.pop(connection, None)
        if is_incomplete:
            self.incomplete[connection] = None

    def pause(self, connection: "ClientConnection") -> None:
        """Stop reading a connection until it holds less."""
        connection.pause_reading()
        self.paused[connection] = None
        if not self.is_resuming:
            self.is_resuming = True
            self.core.after(RESUME_INTERVAL, self.resume, None)

    def resume(self, _: object) -> None:
        """Read those of the paused connections again that hold less than their share now."""
        for connection in list(self.paused):
            connection.resume_reading()
        self.is_resuming = bool(self.paused)
        if self.is_resuming:
            self.core.after(RESUME_INTERVAL, self.resume, None)

    def forget(self, connection: "ClientConnection") -> None:
        """A connection was closed."""
        self.incomplete.pop(connection, None)
        self.paused.pop(connection, None)
