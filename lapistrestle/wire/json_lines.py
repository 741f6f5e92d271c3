"""Framing of one JSON message per line on Twisted's LineReceiver, with greetings, limits and backpressure."""

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
    """Limits of one connection."""

    max_line_bytes: int = 262_144  # a longer received line closes the connection
    max_unsent_bytes: int = 8_388_608  # more bytes buffered for a slow reader close the connection
    max_open_calls: int = 4_096  # concurrent RPCs of a client connection; further ones are denied


class LineConnection(LineReceiver):
    """One end of a connection that sends and receives messages; a subclass implements `message_received`.

    The first line in each direction is a greeting. A peer that speaks another protocol or version gets a
    `Goodbye` and is disconnected. A line that can't be decoded is passed to `unreadable_line_received`. While
    the peer reads more slowly than this end writes, nothing is read from it.
    """

    transport: Any
    paused: bool
    delimiter = b"\n"
    protocol = ""
    decoder: msgspec.json.Decoder[Any]
    greets_first = True

    def __init__(self, limits: LineLimits) -> None:
        self.limits, self.MAX_LENGTH = limits, limits.max_line_bytes
        self.is_greeted = self.closed = False
        self.unsent_bytes = 0  # written since the transport's buffer filled up
        self.partial_line: list[bytes] = []  # chunks received of a line without its delimiter
        self.partial_bytes = 0  # total size of these chunks

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
        """Write an encoded line with its delimiter; disconnect a peer that exceeds `max_unsent_bytes`."""
        if self.closed:
            return
        self.transport.write(line)
        if self.paused:
            self.unsent_bytes += len(line)
            if self.unsent_bytes > self.limits.max_unsent_bytes:
                self.close_with_reason("reads too slowly")

    def dataReceived(self, data: bytes) -> None:
        """Collect chunks without a delimiter and join them once.

        The base class searches and copies its whole buffer for every chunk, which takes quadratic time for a
        roster snapshot that arrives in hundreds of chunks.
        """
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
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            if not self.is_greeted:
                return self.close_with_reason(f"no greeting: {error}")
            return self.unreadable_line_received(line, str(error))
        if isinstance(message, Hello):
            self.handle_greeting(message)
        elif isinstance(message, Goodbye):
            self.goodbye_received(message.reason)
        elif not self.is_greeted:
            self.close_with_reason("the first line is no hello")
        else:
            self.message_received(message)

    def handle_greeting(self, hello: Hello) -> None:
        """Check the peer's protocol and version."""
        if self.is_greeted:
            return self.close_with_reason("a second hello")
        if (hello.protocol, hello.version) != (self.protocol, VERSION):
            expected = f"{self.protocol} version {VERSION}"
            return self.close_with_reason(
                f"{expected} is spoken here, not {hello.protocol} version {hello.version}"
            )
        self.is_greeted = True
        if not self.greets_first:
            self.send_message(self.greeting())
        self.greeting_received(hello)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close_with_reason(f"a line longer than {self.limits.max_line_bytes} bytes")

    def close_with_reason(self, reason: str) -> None:
        """Send a `Goodbye` with the reason and close; abort at once if the peer does not read."""
        if not self.closed:
            self.transport.write(encode(Goodbye(reason)) + b"\n")
            self.closed = True
            self.transport.unregisterProducer()
            if self.paused:
                self.transport.abortConnection()
            else:
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.closed = True
        self.connection_lost()

    # hooks for subclasses

    def greeting_received(self, hello: Hello) -> None:
        """Handle a greeting of the right protocol and version."""

    def message_received(self, message: Any) -> None:
        """Handle a message after the greeting."""
        raise NotImplementedError

    def goodbye_received(self, reason: str) -> None:
        """Handle the peer's announcement that it closes the connection."""

    def unreadable_line_received(self, line: bytes, reason: str) -> None:
        """Handle a line that can't be decoded; disconnects the peer by default."""
        self.close_with_reason(f"unreadable line: {reason}")

    def connection_lost(self) -> None:
        """Handle the end of the connection, by either side or by an error."""

    def write_blocked(self, slow: bool) -> None:
        """The transport's write buffer has filled up (`slow`) or has drained."""


@implementer(IPushProducer)
class WriteBackpressure:
    """Stops reading from a peer while its write buffer is full, so that it adds no more answers to it."""

    def __init__(self, connection: LineConnection) -> None:
        self.connection = connection

    def pauseProducing(self) -> None:
        self.connection.pauseProducing()  # type: ignore[no-untyped-call]
        self.connection.write_blocked(True)

    def resumeProducing(self) -> None:
        if not self.connection.closed:
            self.connection.unsent_bytes = 0
            self.connection.write_blocked(False)
            self.connection.resumeProducing()  # type: ignore[no-untyped-call]

    def stopProducing(self) -> None: ...


def message_decoder(types: Any) -> msgspec.json.Decoder[Any]:
    """Return a decoder for the messages of one direction, a union of message types."""
    return msgspec.json.Decoder(types)
