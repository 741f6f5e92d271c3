"""The tape: every line that crossed every connection, recorded at the sockets of the stand-ins.

One JSON object per line. The first is the header: the participants and the limits of the rules. Then events
in order of time: `open` and `close` of a connection, lines `>` towards the edge and `<` from it, and others
that stand-ins record.
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

CUT_LINE_LENGTH = 2_000  # characters recorded of an incomplete last line
ENCODE = msgspec.json.Encoder(order="deterministic").encode


class Tape:
    """Writes events in the order in which they happen. Times are whole microseconds since the day's start."""

    def __init__(self, sink: BinaryIO, seconds: Callable[[], float], header: dict[str, Any]) -> None:
        self.sink, self.seconds, self.started_at = sink, seconds, seconds()
        sink.write(ENCODE({"tape": 1, **header}) + b"\n")

    def put(self, connection: str, what: str, **more: Any) -> None:
        at = self.to_microseconds(self.seconds())
        self.sink.write(ENCODE({"at": at, "on": connection, "is": what, **more}) + b"\n")

    def to_microseconds(self, seconds: float) -> int:
        """A time of the reactor, in seconds, as the tape has it: microseconds since the day's start."""
        return max(0, round((seconds - self.started_at) * 1e6))


class Recorder:
    """Splits the bytes of one direction of a connection into lines for the tape."""

    def __init__(self, tape: Tape, connection: str, sign: str) -> None:
        self.tape, self.connection, self.direction, self.partial_line = tape, connection, sign, b""

    def data_received(self, data: bytes) -> None:
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self.tape.put(self.connection, self.direction, line=line.decode("utf-8", "backslashreplace"))

    def end(self) -> None:
        """Records an incomplete last line as cut off."""
        if self.partial_line:
            text = self.partial_line.decode("utf-8", "backslashreplace")[:CUT_LINE_LENGTH]
            self.tape.put(self.connection, self.direction, line=text, cut=True)
            self.partial_line = b""


def read_tape(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the header and the events. Skips an incomplete last line; raises ValueError for any other bad
    line."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            if not line.endswith(b"\n"):
                return
            try:
                yield decode(line)
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}:{number}: no line of a tape: {error}") from None
