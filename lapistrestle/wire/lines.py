"""Framing: one message a line over Twisted's LineReceiver, greetings, limits and back-pressure."""

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lapistrestle.wire.messages import VERSION, Bye, Hello, Message, encode


@dataclass(frozen=True)
class LineBounds:
    """Limits of one connection, in bytes and calls."""

    line: int = 262_144  # longest line taken
    waiting: int = 8_388_608  # unsent bytes towards a slow reader; beyond it the connection is cut
    open_calls: int = 4_096  # RPCs of one client connection at once; further ones are denied


class Speaker(LineReceiver):
    """One end of a connection that says and hears messages; a subclass gives `heard`.

    The first line each way is a greeting. A peer with another protocol or version is told so and left. A line
    that can't be read goes to `unreadable`. While the peer reads too slowly nothing more is read from it.
    """

    transport: Any
    paused: bool
    delimiter = b"\n"
    protocol = ""
    decoder: msgspec.json.Decoder[Any]
    speaks_first = True

    def __init__(self, bounds: LineBounds) -> None:
        self.bounds, self.MAX_LENGTH = bounds, bounds.line
        self.greeted = self.closed = False
        self.waiting = 0  # bytes written since the transport last said that it was empty
        self.pieces: list[bytes] = []  # of a line whose end has not come
        self.held = 0  # bytes in them

    def greeting(self) -> Hello:
        return Hello(self.protocol, VERSION)

    def connectionMade(self) -> None:
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(Brake(self), True)
        if self.speaks_first:
            self.say(self.greeting())

    def say(self, message: Message) -> None:
        self.say_line(encode(message) + b"\n")

    def say_line(self, line: bytes) -> None:
        """Hand over a whole encoded line. Cuts a connection whose reader lets too much wait."""
        if self.closed:
            return
        self.transport.write(line)
        if self.paused:
            self.waiting += len(line)
            if self.waiting > self.bounds.waiting:
                self.cut("reads too slowly")

    def dataReceived(self, data: bytes) -> None:
        """Pieces without an end of a line are kept apart and joined once: the base class would search and
        copy all that it has at each of them, and a roster's whole list comes in hundreds."""
        if data and self.delimiter not in data:
            self.pieces.append(data)
            self.held += len(data)
            if self.held <= self.MAX_LENGTH:
                return
            data = b""
        if self.pieces and (data or self.held > self.MAX_LENGTH):
            data = b"".join([*self.pieces, data])
            self.pieces, self.held = [], 0
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        if self.closed:
            return
        try:
            message = self.decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            if not self.greeted:
                return self.cut(f"no greeting: {trouble}")
            return self.unreadable(line, str(trouble))
        if isinstance(message, Hello):
            self.meet(message)
        elif isinstance(message, Bye):
            self.left(message.why)
        elif not self.greeted:
            self.cut("the first line is no hello")
        else:
            self.heard(message)

    def meet(self, hello: Hello) -> None:
        if self.greeted:
            return self.cut("a second hello")
        if (hello.protocol, hello.version) != (self.protocol, VERSION):
            wanted = f"{self.protocol} version {VERSION}"
            return self.cut(f"{wanted} is spoken here, not {hello.protocol} version {hello.version}")
        self.greeted = True
        if not self.speaks_first:
            self.say(self.greeting())
        self.met(hello)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.cut(f"a line longer than {self.bounds.line} bytes")

    def cut(self, why: str) -> None:
        """Say why and close, at once if the peer does not read."""
        if not self.closed:
            self.transport.write(encode(Bye(why)) + b"\n")
            self.closed = True
            self.transport.unregisterProducer()
            if self.paused:
                self.transport.abortConnection()
            else:
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.closed = True
        self.lost()

    # for subclasses

    def met(self, hello: Hello) -> None: ...

    def heard(self, message: Any) -> None:
        raise NotImplementedError

    def left(self, why: str) -> None:
        """The peer says goodbye; its close follows."""

    def unreadable(self, line: bytes, why: str) -> None:
        self.cut(f"unreadable line: {why}")

    def lost(self) -> None: ...

    def slowed(self, slow: bool) -> None:
        """The peer has begun, or ceased, to read more slowly than is written."""


@implementer(IPushProducer)
class Brake:
    """Told by a transport whose buffer is full: stops reading, so that no more answers come to be owed."""

    def __init__(self, speaker: Speaker) -> None:
        self.speaker = speaker

    def pauseProducing(self) -> None:
        self.speaker.pauseProducing()  # type: ignore[no-untyped-call]
        self.speaker.slowed(True)

    def resumeProducing(self) -> None:
        if not self.speaker.closed:
            self.speaker.waiting = 0
            self.speaker.slowed(False)
            self.speaker.resumeProducing()  # type: ignore[no-untyped-call]

    def stopProducing(self) -> None: ...


def union(types: Any) -> msgspec.json.Decoder[Any]:
    """A decoder of the messages of one direction."""
    return msgspec.json.Decoder(types)
