"""A stand-in's end of a connection: records every line on the tape and injects network faults."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from lapistrestle.standins.tape import Recorder, Tape
from lapistrestle.wire.json_lines import LineConnection, LineLimits
from lapistrestle.wire.messages import Message


@dataclass
class NetworkFaults:
    """Faults injected into what a stand-in writes, on all of its connections."""

    silent: bool = False  # half open: nothing is written, and what arrives is dropped
    delay: float = 0.0  # seconds by which bytes are delayed
    split: bool = False  # lines are written in two pieces
    garble: float = 0.0  # share of lines with a corrupted byte
    cut: float = 0.0  # share of lines in the middle of which the connection breaks
    seed: int = 0
    draw_count: int = 0

    def draw(self, part: float) -> bool:
        """True with probability `part`. A probability of 0 uses up no draw, so that days without the fault
        keep their sequence of random numbers."""
        if not part:
            return False
        self.draw_count += 1
        return crc32(f"{self.seed}:{self.draw_count}".encode()) % 10_000 < part * 10_000


class TapedConnection(LineConnection):
    """A connection that records what crosses its socket, after the injected faults."""

    def __init__(
        self, bounds: LineLimits, reactor: Any, tape: Tape | None, faults: NetworkFaults, name: str
    ) -> None:
        super().__init__(bounds)
        self.reactor, self.tape, self.faults, self.connection = reactor, tape, faults, name
        self.sent = self.received = None
        if tape is not None:
            self.sent, self.received = Recorder(tape, name, ">"), Recorder(tape, name, "<")
        self.delayed_until = 0.0

    def record_open(self, **who: Any) -> None:
        if self.tape is not None:
            self.tape.put(self.connection, "open", **who)

    def send_message(self, message: Message) -> None:
        if not self.faults.silent:
            super().send_message(message)

    def send_line(self, line: bytes) -> None:
        faults = self.faults
        if self.closed or faults.silent:
            return
        if faults.draw(faults.garble):
            middle = len(line) // 2
            line = line[:middle] + b"\xff{" + line[middle + 1 :]
        if faults.draw(faults.cut):
            self.schedule_write(line[: len(line) // 2], self.break_off)
        elif faults.split:
            middle = len(line) // 2
            self.schedule_write(line[:middle])
            self.schedule_write(line[middle:])
        else:
            self.schedule_write(line)

    def schedule_write(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        """Writes at once or, where bytes are delayed, after those before them; then calls `then`."""
        now = self.reactor.seconds()
        at = max(self.delayed_until, now + self.faults.delay + (0.001 if self.faults.split else 0.0))
        if at <= now:
            return self.write_now(data, then)
        self.delayed_until = at
        self.reactor.callLater(at - now, self.write_now, data, then)

    def write_now(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        if self.closed:
            return
        if self.sent is not None:
            self.sent.data_received(data)
        super().send_line(data)
        if then is not None:
            then()

    def break_off(self) -> None:
        if not self.closed:
            self.closed = True
            self.transport.unregisterProducer()
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.received is not None:
            self.received.data_received(data)
        if not self.faults.silent:
            super().dataReceived(data)

    def connectionLost(self, reason: Any = None) -> None:
        for recorder in (self.sent, self.received):
            if recorder is not None:
                recorder.end()
        if self.tape is not None:
            self.tape.put(self.connection, "close")
        super().connectionLost(reason)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Ignored: stand-ins skip a bad line, as the systems that they replace do."""
