"""An edge's connections to holders of the directory, identified by numbers that the watcher assigns."""

from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.directory.effects import Dial, Send
from lapistrestle.ticks import SECOND
from lapistrestle.wire import directory as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder
from lapistrestle.wire.messages import VERSION, Fault, Hello


class ConnectionListener(Protocol):
    """Receives the events of the connections."""

    def connected(self, connection: int) -> None: ...  # both ends have greeted
    def connect_failed(self, connection: int) -> None: ...  # it ended before both ends had greeted
    def disconnected(self, connection: int) -> None: ...
    def message_received(self, connection: int, message: Any) -> None: ...


class HolderConnection(LineConnection):
    """The edge's end of one connection to a holder."""

    protocol = wire.DIRECTORY
    decoder = message_decoder(wire.FromHolder)

    def __init__(self, dial: "HolderDial") -> None:
        super().__init__(LineLimits())
        self.dial = dial

    def greeting(self) -> Hello:
        return Hello(self.protocol, VERSION, self.dial.connections.edge.name)

    def greeting_received(self, hello: Hello) -> None:
        self.dial.connections.connected(self.dial)

    def message_received(self, message: Any) -> None:
        self.dial.connections.message_received(self.dial, message)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Close the connection: the line may have announced a drain. On a new one the watches start again."""
        self.dial.connections.edge.message_ignored("holder", why)
        super().unreadable_line_received(line, why)

    def connection_lost(self) -> None:
        self.dial.connections.lost(self.dial, self.is_greeted)


class HolderDial(ClientFactory):
    """An attempt to connect to one replica of a shard, and its connection once established."""

    noisy = False

    def __init__(self, connections: "HolderConnections", number: int) -> None:
        self.connections, self.number = connections, number
        self.connection: HolderConnection | None = None
        self.connector: Any = None

    def buildProtocol(self, addr: Any) -> HolderConnection:
        self.connection = HolderConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connections.lost(self, greeted=False)

    def abort(self) -> None:
        """Abort the connection: unsent data is of no use any more, and the holder may not read it."""
        if self.connection is None:
            self.connector.disconnect()
        elif not self.connection.closed:
            self.connection.closed = True
            self.connection.transport.unregisterProducer()
            self.connection.transport.abortConnection()


class HolderConnections:
    """All connections to holders. Events of a connection that was closed by this edge are ignored."""

    def __init__(self, edge: Any, listener: ConnectionListener) -> None:
        self.edge, self.listener = edge, listener
        self.dials: dict[int, HolderDial] = {}

    def __len__(self) -> int:
        """The number of connections that are open or being made."""
        return len(self.dials)

    # the watcher's effects

    def dial(self, effect: Dial) -> None:
        """Open a connection; the listener gets `connected` or `connect_failed`."""
        dial = self.dials[effect.connection] = HolderDial(self, effect.connection)
        timeout = self.edge.connect_timeout / SECOND
        replica = effect.replica
        dial.connector = self.edge.reactor.connectTCP(replica.host, replica.port, dial, timeout=timeout)

    def close_connection(self, connection: int) -> None:
        """Close a connection; no more events of it are reported."""
        if (dial := self.dials.pop(connection, None)) is not None:
            dial.abort()

    def send(self, effect: Send) -> None:
        """Send a message, or drop it if its connection is not open."""
        dial = self.dials.get(effect.connection)
        if dial is not None and dial.connection is not None:
            dial.connection.send_message(effect.message)

    def close(self) -> None:
        """Close all connections; no more events are reported."""
        for dial in self.dials.values():
            dial.abort()
        self.dials.clear()

    # events of the connections

    def connected(self, dial: HolderDial) -> None:
        """Both ends have greeted."""
        if dial.number in self.dials:
            self.listener.connected(dial.number)

    def lost(self, dial: HolderDial, greeted: bool) -> None:
        """A connection ended, or could not be made."""
        if self.dials.pop(dial.number, None) is None:
            return
        if greeted:
            self.listener.disconnected(dial.number)
        else:
            self.listener.connect_failed(dial.number)

    def message_received(self, dial: HolderDial, message: Any) -> None:
        """Pass a message of a holder to the listener; a fault is only logged."""
        if dial.number not in self.dials:
            return
        if isinstance(message, Fault):
            return self.edge.message_ignored("holder", f"the peer rejected a line: {message.reason}")
        self.listener.message_received(dial.number, message)
