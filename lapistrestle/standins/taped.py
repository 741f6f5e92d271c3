"""A stand-in's end of a connection: every line goes to the tape, and the socket's own troubles act here."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from lapistrestle.standins.tape import Recorder, Tape
from lapistrestle.wire.json_lines import LineConnection, LineLimits
from lapistrestle.wire.messages import Message


@dataclass
class Weather:
    """What the wire does to the lines that a stand-in writes, on all of its connections."""

    silent: bool = False  # nothing is written and nothing heard: half open
    delay: float = 0.0  # seconds that bytes are held
    split: bool = False  # lines come in two pieces
    garble: float = 0.0  # share of lines with broken bytes
    cut: float = 0.0  # share of lines in the middle of which the connection breaks
    seed: int = 0
    draws: int = 0

    def chance(self, part: float) -> bool:
        """Drawn only where there is something to draw, so that other days stay as they are."""
        if not part:
            return False
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % 10_000 < part * 10_000


class TapedSpeaker(LineConnection):
    """A LineConnection that records what crosses its socket, after what the weather does to it."""

    def __init__(
        self, bounds: LineLimits, reactor: Any, tape: Tape | None, weather: Weather, name: str
    ) -> None:
        super().__init__(bounds)
        self.reactor, self.tape, self.weather, self.connection = reactor, tape, weather, name
        self.sent = self.got = None
        if tape is not None:
            self.sent, self.got = Recorder(tape, name, ">"), Recorder(tape, name, "<")
        self.held_until = 0.0

    def opened(self, **who: Any) -> None:
        if self.tape is not None:
            self.tape.put(self.connection, "open", **who)

    def send_message(self, message: Message) -> None:
        if not self.weather.silent:
            super().send_message(message)

    def send_line(self, line: bytes) -> None:
        weather = self.weather
        if self.closed or weather.silent:
            return
        if weather.chance(weather.garble):
            middle = len(line) // 2
            line = line[:middle] + b"\xff{" + line[middle + 1 :]
        if weather.chance(weather.cut):
            self.later(line[: len(line) // 2], self.break_off)
        elif weather.split:
            middle = len(line) // 2
            self.later(line[:middle])
            self.later(line[middle:])
        else:
            self.later(line)

    def later(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        """Write now or, where bytes are held, when those before have gone."""
        now = self.reactor.seconds()
        at = max(self.held_until, now + self.weather.delay + (0.001 if self.weather.split else 0.0))
        if at <= now:
            return self.put(data, then)
        self.held_until = at
        self.reactor.callLater(at - now, self.put, data, then)

    def put(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        if self.closed:
            return
        if self.sent is not None:
            self.sent.bytes(data)
        super().send_line(data)
        if then is not None:
            then()

    def break_off(self) -> None:
        if not self.closed:
            self.closed = True
            self.transport.unregisterProducer()
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.got is not None:
            self.got.bytes(data)
        if not self.weather.silent:
            super().dataReceived(data)

    def connectionLost(self, reason: Any = None) -> None:
        for recorder in (self.sent, self.got):
            if recorder is not None:
                recorder.end()
        if self.tape is not None:
            self.tape.put(self.connection, "close")
        super().connectionLost(reason)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Stand-ins pass a bad line over, as their counterparts do."""
