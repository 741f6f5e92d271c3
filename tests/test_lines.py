"""Framing: lines in any pieces, and what a long one costs."""

import random
from typing import Any

import pytest
from twisted.protocols.basic import LineReceiver

from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder
from lapistrestle.wire.messages import ROSTER, FromRoster, Hello, Message, RosterEntry, RosterUpdate, encode

LINE = 4_096  # the longest that is taken here


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


class Hearing(LineConnection):
    protocol = ROSTER
    decoder = message_decoder(FromRoster)

    def __init__(self, line: int = LINE) -> None:
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
def test_lines_arrive_whole_in_whatever_pieces_they_come(seed: int) -> None:
    chance = random.Random(seed)
    sent = [change(number, chance.randrange(1, 60)) for number in range(30)]
    data = b"".join(encode(message) + b"\n" for message in sent)
    hearing, at = Hearing(), 0
    while at < len(data):
        step = chance.choice([1, 7, 100, 3_000, 20_000])
        if chance.random() < 0.1:
            hearing.pauseProducing()  # type: ignore[no-untyped-call]  # what comes meanwhile is kept
        hearing.dataReceived(data[at : at + step])
        at += step
        if hearing.paused:
            hearing.resumeProducing()  # type: ignore[no-untyped-call]
    assert hearing.messages == sent


@pytest.mark.parametrize("step", [10, 1_000, LINE - 1, LINE + 1, 10 * LINE])
def test_a_line_too_long_is_cut_before_its_end_has_come(step: int) -> None:
    hearing, data = Hearing(), b"x" * (10 * LINE)
    for at in range(0, len(data), step):
        if not hearing.closed:
            hearing.dataReceived(data[at : at + step])
    assert hearing.closed and b"longer than 4096 bytes" in hearing.transport.written[-1]
    assert hearing.partial_bytes <= LINE


def test_the_longest_line_is_taken_also_in_pieces() -> None:
    message = change(1, 80)
    size = len(encode(message))
    for longest, taken in ((size, True), (size - 1, False)):
        hearing = Hearing(longest)
        for byte in encode(message) + b"\n":
            if not hearing.closed:
                hearing.dataReceived(bytes([byte]))
        assert (hearing.messages == [message]) is taken


def test_a_long_line_costs_by_its_length_and_not_by_its_square(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was: 19 s of processor time to receive the 52 MB of 380,000 instances in pieces of 64 KB."""
    copied = list[int]()
    receive: Any = LineReceiver.dataReceived

    def counted(receiver: LineReceiver, data: bytes) -> Any:
        copied.append(len(data))
        return receive(receiver, data)

    monkeypatch.setattr(LineReceiver, "dataReceived", counted)
    hearing = Hearing(1 << 20)
    copied.clear()
    data = encode(change(1, 10_000)) + b"\n"
    for at in range(0, len(data), 1_000):
        hearing.dataReceived(data[at : at + 1_000])
    assert len(hearing.messages) == 1 and sum(copied) == len(data) and len(copied) == 1
