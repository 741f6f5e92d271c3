"""A client that reconnects whenever its connection is lost."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.wire.json_lines import LineConnection
from lapistrestle.wire.messages import Message

RECONNECT_DELAY = 2_000  # ticks of 0.1 ms


class ReconnectingSource(ClientFactory):
    """Keeps one connection to a port on loopback. Subclasses implement `make_connection`."""

    noisy = False

    def __init__(self, owner: Any, port: int) -> None:
        self.owner = owner
        self.port = port
        self.connection: LineConnection | None = None
        self.stopped = False

    def follow(self) -> None:
        """Request the list again, if the protocol supports that."""

    def read_now(self) -> None:
        """Read pending data now, without waiting for the reactor, which handles the end of the connection."""
        read = getattr(self.connection.transport, "doRead", None) if self.connection is not None else None
        if read is not None:
            read()

    def is_current(self) -> bool:
        """Whether new calls may be started by the last list: always, as workers report drains themselves."""
        return True

    def gap(self) -> None:
        """Always None: a worker's greeting tells when it started, before any work is sent to it."""

    def start(self, _: object = None) -> None:
        """Connect, unless the client was stopped."""
        if not self.stopped:
            timeout = self.owner.connect_timeout / 10_000
            self.owner.reactor.connectTCP("127.0.0.1", self.port, self, timeout=timeout)

    def stop(self) -> None:
        """Close the connection and don't reconnect."""
        self.stopped = True
        if self.connection is not None:
            self.connection.transport.loseConnection()

    def buildProtocol(self, addr: Any) -> LineConnection:
        """Our end of a new connection; the peer has to greet within the connect time-out."""
        self.connection = self.make_connection()
        self.owner.after(self.owner.connect_timeout, self.abort_unless_greeted, self.connection)
        return self.connection

    def abort_unless_greeted(self, connection: LineConnection) -> None:
        """Abort a connection on which the peer has not greeted in time; it is then dialled again."""
        if self.connection is connection and not connection.is_greeted:
            connection.transport.abortConnection()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Reconnect after a delay."""
        self.on_disconnected(False)
        self.owner.after(RECONNECT_DELAY, self.start, None)

    def connection_lost(self, connection: LineConnection) -> None:
        """Handle the end of a connection: reconnect after a delay."""
        if self.connection is connection:
            self.connection = None
            self.on_disconnected(True)
            self.owner.after(RECONNECT_DELAY, self.start, None)

    def send_message(self, message: Message) -> None:
        """Send a message, if both ends have greeted; else it is dropped."""
        if self.connection is not None and self.connection.is_greeted:
            self.connection.send_message(message)

    def make_connection(self) -> LineConnection:
        """Build our end of a new connection."""
        raise NotImplementedError

    def on_disconnected(self, was_up: bool) -> None:
        """The connection was lost (`was_up`) or could not be established."""
