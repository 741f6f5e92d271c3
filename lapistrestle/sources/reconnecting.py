"""A connection that the edge keeps to one program, dialled anew whenever it breaks."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.wire.json_lines import LineConnection
from lapistrestle.wire.messages import Message

PAUSE = 2_000  # tenths of a millisecond between two dials


class Source(ClientFactory):
    """A subclass gives `speak`, and hears of `up` and `down`."""

    noisy = False

    def __init__(self, edge: Any, port: int) -> None:
        self.edge = edge
        self.port = port
        self.speaker: LineConnection | None = None
        self.stopped = False

    def follow(self) -> None:
        """Ask for the list anew, where the protocol knows of that."""

    def read_now(self) -> None:
        """Read what lies unread, ahead of the reactor's turn. The end of the connection is left to that."""
        read = getattr(self.speaker.transport, "doRead", None) if self.speaker is not None else None
        if read is not None:
            read()

    def is_current(self) -> bool:
        """A worker's own word on its connection, which says that it drains, goes before any list."""
        return True

    def start(self, _: object = None) -> None:
        """Dial, unless it was stopped."""
        if not self.stopped:
            time_out = self.edge.connect_timeout / 10_000
            self.edge.reactor.connectTCP("127.0.0.1", self.port, self, timeout=time_out)

    def stop(self) -> None:
        """Close the connection, and dial no more."""
        self.stopped = True
        if self.speaker is not None:
            self.speaker.transport.loseConnection()

    def buildProtocol(self, addr: Any) -> LineConnection:
        """Our end of a connection that was made; it has the dial time-out to greet."""
        self.speaker = self.speak()
        self.edge.after(self.edge.connect_timeout, self.unmet, self.speaker)
        return self.speaker

    def unmet(self, speaker: LineConnection) -> None:
        """Half open and silent: dial anew."""
        if self.speaker is speaker and not speaker.is_greeted:
            speaker.transport.abortConnection()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Dial again after a pause."""
        self.down(False)
        self.edge.after(PAUSE, self.start, None)

    def lost(self, speaker: LineConnection) -> None:
        """The connection is over: dial again after a pause."""
        if self.speaker is speaker:
            self.speaker = None
            self.down(True)
            self.edge.after(PAUSE, self.start, None)

    def say(self, message: Message) -> None:
        """Send a message, where both ends have greeted."""
        if self.speaker is not None and self.speaker.is_greeted:
            self.speaker.send_message(message)

    def speak(self) -> LineConnection:
        """Our end of a new connection."""
        raise NotImplementedError

    def down(self, was_up: bool) -> None:
        """The connection is lost (`was_up`), or could not be made."""
