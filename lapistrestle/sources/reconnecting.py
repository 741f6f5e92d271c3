"""A client that reconnects whenever its connection is lost."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.wire.json_lines import LineConnection
from lapistrestle.wire.messages import Message

RECONNECT_DELAY = 2_000  # ticks of 0.1 ms


class Source(ClientFactory):
    """Keeps one connection to a port on loopback. A subclass implements `speak`, and may override `down`."""

    noisy = False

    def __init__(self, edge: Any, port: int) -> None:
        self.edge = edge
        self.port = port
        self.speaker: LineConnection | None = None
        self.stopped = False

    def follow(self) -> None:
        """Request the list again, if the protocol supports that."""

    def read_now(self) -> None:
        """Read pending data now, without waiting for the reactor, which handles the end of the connection."""
        read = getattr(self.speaker.transport, "doRead", None) if self.speaker is not None else None
        if read is not None:
            read()

    def is_current(self) -> bool:
        """Whether new calls may be started by the last list: always, as workers report drains themselves."""
        return True

    def start(self, _: object = None) -> None:
        """Connect, unless the client was stopped."""
        if not self.stopped:
            time_out = self.edge.connect_timeout / 10_000
            self.edge.reactor.connectTCP("127.0.0.1", self.port, self, timeout=time_out)

    def stop(self) -> None:
        """Close the connection and don't reconnect."""
        self.stopped = True
        if self.speaker is not None:
            self.speaker.transport.loseConnection()

    def buildProtocol(self, addr: Any) -> LineConnection:
        """Our end of a new connection; the peer has to greet within the connect time-out."""
        self.speaker = self.speak()
        self.edge.after(self.edge.connect_timeout, self.unmet, self.speaker)
        return self.speaker

    def unmet(self, speaker: LineConnection) -> None:
        """Abort a connection on which the peer has not greeted in time; it is then dialled again."""
        if self.speaker is speaker and not speaker.is_greeted:
            speaker.transport.abortConnection()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Reconnect after a delay."""
        self.down(False)
        self.edge.after(RECONNECT_DELAY, self.start, None)

    def lost(self, speaker: LineConnection) -> None:
        """Handle the end of a connection: reconnect after a delay."""
        if self.speaker is speaker:
            self.speaker = None
            self.down(True)
            self.edge.after(RECONNECT_DELAY, self.start, None)

    def say(self, message: Message) -> None:
        """Send a message, if both ends have greeted; else it is dropped."""
        if self.speaker is not None and self.speaker.is_greeted:
            self.speaker.send_message(message)

    def speak(self) -> LineConnection:
        """Build our end of a new connection."""
        raise NotImplementedError

    def down(self, was_up: bool) -> None:
        """The connection was lost (`was_up`) or could not be established."""
