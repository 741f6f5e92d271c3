"""Framing: one message a line over Twisted's LineReceiver, greetings, limits and back-pressure."""

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lapistrestle.wire.messages import VERSION, Goodbye, Hello, Message, encode


@dataclass(frozen=True)
class LineLimits:
    """Limits of one connection, in bytes and calls."""

    max_line_bytes: int = 262_144  # longest line taken
    max_unsent_bytes: int = 8_388_608  # unsent bytes towards a slow reader; beyond it the connection is cut
    max_open_calls: int = 4_096  # RPCs of one client connection at once; further ones are denied


class LineConnection(LineReceiver):
    """One end of a connection that says and hears messages; a subclass gives `heard`.

    The first line each way is a greeting. A peer with another protocol or version is told so and left. A line
    that can't be read goes to `unreadable`. While the peer reads too slowly nothing more is read from it.
    """

    transport: Any
    paused: bool
    delimiter = b"\n"
    protocol = ""
    decoder: msgspec.json.Decoder[Any]
    greets_first = True

    def __init__(self, bounds: LineLimits) -> None:
        self.limits, self.MAX_LENGTH = bounds, bounds.max_line_bytes
        self.is_greeted = self.closed = False
        self.unsent_bytes = 0  # bytes written since the transport last said that it was empty
        self.partial_line: list[bytes] = []  # of a line whose end has not come
        self.partial_bytes = 0  # bytes in them

    def greeting(self) -> Hello:
        return Hello(self.protocol, VERSION)

    def connectionMade(self) -> None:
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(WriteBackpressure(self), True)
        if self.greets_first:
            self.send_message(self.greeting())

    def send_message(self, message: Message) -> None:
        self.send_line(encode(message) + b"\n")

    def send_line(self, line: bytes) -> None:
        """Hand over a whole encoded line. Cuts a connection whose reader lets too much wait."""
        if self.closed:
            return
        self.transport.write(line)
        if self.paused:
            self.unsent_bytes += len(line)
            if self.unsent_bytes > self.limits.max_unsent_bytes:
                self.close_with_reason("reads too slowly")

    def dataReceived(self, data: bytes) -> None:
        """Pieces without an end of a line are kept apart and joined once: the base class would search and
        copy all that it has at each of them, and a roster's whole list comes in hundreds."""
        if data and self.delimiter not in data:
            self.partial_line.append(data)
            self.partial_bytes += len(data)
            if self.partial_bytes <= self.MAX_LENGTH:
                return
            data = b""
        if self.partial_line and (data or self.partial_bytes > self.MAX_LENGTH):
            data = b"".join([*self.partial_line, data])
            self.partial_line, self.partial_bytes = [], 0
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        if self.closed:
            return
        try:
            message = self.decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            if not self.is_greeted:
                return self.close_with_reason(f"no greeting: {trouble}")
            return self.unreadable_line_received(line, str(trouble))
        if isinstance(message, Hello):
            self.handle_greeting(message)
        elif isinstance(message, Goodbye):
            self.goodbye_received(message.reason)
        elif not self.is_greeted:
            self.close_with_reason("the first line is no hello")
        else:
            self.message_received(message)

    def handle_greeting(self, hello: Hello) -> None:
        if self.is_greeted:
            return self.close_with_reason("a second hello")
        if (hello.protocol, hello.version) != (self.protocol, VERSION):
            wanted = f"{self.protocol} version {VERSION}"
            return self.close_with_reason(
                f"{wanted} is spoken here, not {hello.protocol} version {hello.version}"
            )
        self.is_greeted = True
        if not self.greets_first:
            self.send_message(self.greeting())
        self.greeting_received(hello)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close_with_reason(f"a line longer than {self.limits.max_line_bytes} bytes")

    def close_with_reason(self, why: str) -> None:
        """Say why and close, at once if the peer does not read."""
        if not self.closed:
            self.transport.write(encode(Goodbye(why)) + b"\n")
            self.closed = True
            self.transport.unregisterProducer()
            if self.paused:
                self.transport.abortConnection()
            else:
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.closed = True
        self.connection_lost()

    # for subclasses

    def greeting_received(self, hello: Hello) -> None: ...

    def message_received(self, message: Any) -> None:
        raise NotImplementedError

    def goodbye_received(self, why: str) -> None:
        """The peer says goodbye; its close follows."""

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        self.close_with_reason(f"unreadable line: {why}")

    def connection_lost(self) -> None: ...

    def write_blocked(self, slow: bool) -> None:
        """The peer has begun, or ceased, to read more slowly than is written."""


@implementer(IPushProducer)
class WriteBackpressure:
    """Told by a transport whose buffer is full: stops reading, so that no more answers come to be owed."""

    def __init__(self, speaker: LineConnection) -> None:
        self.speaker = speaker

    def pauseProducing(self) -> None:
        self.speaker.pauseProducing()  # type: ignore[no-untyped-call]
        self.speaker.write_blocked(True)

    def resumeProducing(self) -> None:
        if not self.speaker.closed:
            self.speaker.unsent_bytes = 0
            self.speaker.write_blocked(False)
            self.speaker.resumeProducing()  # type: ignore[no-untyped-call]

    def stopProducing(self) -> None: ...


def message_decoder(types: Any) -> msgspec.json.Decoder[Any]:
    """A decoder of the messages of one direction."""
    return msgspec.json.Decoder(types)
