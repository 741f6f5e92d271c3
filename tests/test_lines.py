"""Framing: reassembly of lines from chunks, the length limit, and the cost of long lines."""

import random
from typing import Any

import pytest
from twisted.protocols.basic import LineReceiver

from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder
from lapistrestle.wire.messages import ROSTER, FromRoster, Hello, Message, RosterEntry, RosterUpdate, encode

MAX_LINE_BYTES = 4_096  # the maximum length in these tests


class Transport:
    disconnecting = False

    def __init__(self) -> None:
        self.written = list[bytes]()

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def pauseProducing(self) -> None: ...
    def resumeProducing(self) -> None: ...
    def registerProducer(self, producer: object, streaming: bool) -> None: ...
    def unregisterProducer(self) -> None: ...
    def loseConnection(self) -> None: ...


class ReceivingConnection(LineConnection):
    protocol = ROSTER
    decoder = message_decoder(FromRoster)

    def __init__(self, line: int = MAX_LINE_BYTES) -> None:
        super().__init__(LineLimits(max_line_bytes=line))
        self.messages = list[Message]()
        self.transport = Transport()
        self.connectionMade()
        self.dataReceived(encode(Hello(ROSTER, 1)) + b"\n")

    def message_received(self, message: Message) -> None:
        self.messages.append(message)


def change(number: int, size: int = 1) -> RosterUpdate:
    return RosterUpdate(number, [RosterEntry(f"w{number}-{n}") for n in range(size)])


@pytest.mark.parametrize("seed", range(20))
def test_lines_are_reassembled_from_chunks_of_any_size(seed: int) -> None:
    chance = random.Random(seed)
    sent = [change(number, chance.randrange(1, 60)) for number in range(30)]
    data = b"".join(encode(message) + b"\n" for message in sent)
    connection, at = ReceivingConnection(), 0
    while at < len(data):
        step = chance.choice([1, 7, 100, 3_000, 20_000])
        if chance.random() < 0.1:
            connection.pauseProducing()  # type: ignore[no-untyped-call]  # data received meanwhile is buffered
        connection.dataReceived(data[at : at + step])
        at += step
        if connection.paused:
            connection.resumeProducing()  # type: ignore[no-untyped-call]
    assert connection.messages == sent


@pytest.mark.parametrize("step", [10, 1_000, MAX_LINE_BYTES - 1, MAX_LINE_BYTES + 1, 10 * MAX_LINE_BYTES])
def test_a_line_that_is_too_long_closes_the_connection_before_its_end(step: int) -> None:
    connection, data = ReceivingConnection(), b"x" * (10 * MAX_LINE_BYTES)
    for at in range(0, len(data), step):
        if not connection.closed:
            connection.dataReceived(data[at : at + step])
    assert connection.closed and b"longer than 4096 bytes" in connection.transport.written[-1]
    assert connection.partial_bytes <= MAX_LINE_BYTES


def test_a_line_of_the_maximum_length_is_accepted_in_chunks() -> None:
    message = change(1, 80)
    size = len(encode(message))
    for longest, taken in ((size, True), (size - 1, False)):
        connection = ReceivingConnection(longest)
        for byte in encode(message) + b"\n":
            if not connection.closed:
                connection.dataReceived(bytes([byte]))
        assert (connection.messages == [message]) is taken


def test_receiving_a_long_line_takes_linear_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Copying the buffer at each chunk took 19 s of CPU time for 52 MB (380,000 instances) by 64 KB."""
    copied = list[int]()
    receive: Any = LineReceiver.dataReceived

    def counted(receiver: LineReceiver, data: bytes) -> Any:
        copied.append(len(data))
        return receive(receiver, data)

    monkeypatch.setattr(LineReceiver, "dataReceived", counted)
    connection = ReceivingConnection(1 << 20)
    copied.clear()
    data = encode(change(1, 10_000)) + b"\n"
    for at in range(0, len(data), 1_000):
        connection.dataReceived(data[at : at + 1_000])
    assert len(connection.messages) == 1 and sum(copied) == len(data) and len(copied) == 1
