"""A holder's connections to watchers and operators, one session each.

Times are ticks of 0.1 ms on the process's clock.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ServerFactory

from lapistrestle.directory.byte_rate import ByteRateMeter
from lapistrestle.directory.holder_counts import HolderCounts
from lapistrestle.wire import directory as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder
from lapistrestle.wire.messages import VERSION, Hello, Message, encode

Log = Callable[..., None]


class SessionListener(Protocol):
    """Receives the events of sessions; implemented by the holder's process."""

    stopping: bool

    def clock(self) -> int:
        """Now, in ticks."""

    def session_opened(self, session: int) -> None:
        """A watcher has connected and greeted."""

    def session_message(self, session: int, message: wire.WatcherMessage) -> None:
        """A watcher has sent a message."""

    def session_closed(self, session: int) -> None:
        """A watcher's connection has ended that the holder did not close itself."""

    def connection_ended(self) -> None:
        """A connection has ended, whoever closed it."""

    def inspect(self, function: str) -> wire.InspectResponse:
        """The answer to an operator's request."""

    def message_ignored(self, name: str, reason: str) -> None:
        """A line of a peer could not be decoded."""


class WatcherSessions:
    """Sessions by number; no number is used twice."""

    def __init__(
        self, listener: SessionListener, holder: str, unsent_bytes: int, counts: HolderCounts, log: Log
    ) -> None:
        """`holder`: name in greetings. `unsent_bytes`: a connection with more unsent bytes is closed."""
        self.listener = listener
        self.holder = holder
        self.unsent_bytes = unsent_bytes
        self.counts = counts
        self.log = log
        self.connections = dict[int, WatcherConnection]()
        self.opened = 0  # since the start
        self.slow = set[int]()  # sessions that read more slowly than the holder writes
        self.meter = ByteRateMeter(listener.clock())

    def __len__(self) -> int:
        """Number of open sessions."""
        return len(self.connections)

    def send(self, session: int, message: Message) -> None:
        """Send a message if the session is still open."""
        connection = self.connections.get(session)
        if connection is not None:
            connection.send_message(message)

    def close(self, session: int, reason: str) -> None:
        """Close a session at the holder's request; `session_closed` is not called for it."""
        connection = self.connections.pop(session, None)
        if connection is not None:
            self.counts.closed_sessions += 1
            connection.close_with_reason(reason)

    def close_all(self, reason: str) -> None:
        """Close all connections with a reason."""
        for connection in list(self.connections.values()):
            connection.close_with_reason(reason)

    # events of the connections

    def connection_greeted(self, connection: "WatcherConnection") -> None:
        """Both ends have greeted: open a session, unless the holder is stopping."""
        if self.listener.stopping:
            connection.close_with_reason("the holder stops")
            return
        self.opened += 1
        connection.session = self.opened
        self.connections[connection.session] = connection
        self.listener.session_opened(connection.session)

    def message_received(self, connection: "WatcherConnection", message: Any) -> None:
        """Handle a message; requests of operators are answered here."""
        if isinstance(message, wire.InspectRequest):
            connection.send_message(self.listener.inspect(message.function))
            return
        self.listener.session_message(connection.session, message)

    def connection_ended(self, connection: "WatcherConnection") -> None:
        """A connection has ended."""
        self.slow.discard(connection.session)
        if self.connections.pop(connection.session, None) is not None:
            self.listener.session_closed(connection.session)
        self.listener.connection_ended()

    def write_blocked(self, connection: "WatcherConnection", slow: bool) -> None:
        """A watcher has started or ceased to read more slowly than the holder writes."""
        self.slow.discard(connection.session)
        if slow:
            self.slow.add(connection.session)
        figures = {"slow": len(self.slow), "sessions": len(self.connections)}
        self.log("watcher slow" if slow else "watcher reads", watcher=connection.name, **figures)

    def record_slow_disconnect(self, connection: "WatcherConnection", reason: str) -> None:
        """Count and log a connection that is closed because of too many unsent bytes."""
        self.counts.slow_connections_cut += 1
        self.log("watcher cut", watcher=connection.name, why=reason, waiting=connection.unsent_bytes)


class WatcherConnection(LineConnection):
    """The holder's end of a connection to a dispatcher or an operator."""

    protocol = wire.DIRECTORY
    decoder = message_decoder(wire.FromWatcher)
    greets_first = False

    def __init__(self, sessions: WatcherSessions) -> None:
        super().__init__(LineLimits(max_unsent_bytes=sessions.unsent_bytes))
        self.sessions = sessions
        self.session = 0  # 0 before the greeting
        self.name = ""

    def greeting(self) -> Hello:
        """The holder's greeting."""
        return Hello(self.protocol, VERSION, self.sessions.holder)

    def greeting_received(self, hello: Hello) -> None:
        """The peer has greeted."""
        self.name = hello.name
        self.sessions.connection_greeted(self)

    def message_received(self, message: Any) -> None:
        """The peer has sent a message."""
        self.sessions.message_received(self, message)

    def send_message(self, message: Message) -> None:
        """Send a message, and count its bytes."""
        if self.closed:
            return
        line = encode(message) + b"\n"
        self.sessions.meter.add(len(line), self.sessions.listener.clock())
        self.send_line(line)

    def close_with_reason(self, reason: str) -> None:
        """Close the connection with a reason."""
        if not self.closed and self.unsent_bytes > self.limits.max_unsent_bytes:
            self.sessions.record_slow_disconnect(self, reason)
        super().close_with_reason(reason)

    def unreadable_line_received(self, line: bytes, reason: str) -> None:
        """Close the connection: the undecodable line may have been a watch request."""
        self.sessions.listener.message_ignored(self.name, reason)
        super().unreadable_line_received(line, reason)

    def write_blocked(self, slow: bool) -> None:
        """The peer has started or ceased to read too slowly."""
        if self.session:
            self.sessions.write_blocked(self, slow)

    def connection_lost(self) -> None:
        """The connection has ended."""
        self.sessions.connection_ended(self)


class WatcherFactory(ServerFactory):
    """Builds the holder's ends of connections."""

    noisy = False

    def __init__(self, sessions: WatcherSessions) -> None:
        self.sessions = sessions

    def buildProtocol(self, addr: Any) -> WatcherConnection:
        """A protocol for an accepted connection."""
        return WatcherConnection(self.sessions)
