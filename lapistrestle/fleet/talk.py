"""The socket between dispatchers: datagrams in and out, and the timer of what is decided in this package."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol

from lapistrestle.fleet.members import Facts, Member, Members
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim, Datagram, Rank


class Ground(Protocol):
    """What the program gives: an edge, or a test's stand-in for one. Times in tenths of a millisecond."""

    reactor: Any

    def clock(self) -> int: ...
    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Any: ...
    def input(self) -> None: ...
    def passed_over(self, name: str, why: str) -> None: ...
    def log(self, what: str, **figures: Any) -> None: ...


class Talk(DatagramProtocol):
    """One dispatcher's part in its fleet.

    `facts`: "fleet" is the fleet's name, "port" where this one listens, "told_port" where others reach it if
    that is another, "seeds" a list of (host, port); the rest is in `members.DEFAULTS`.
    """

    transport: Any

    def __init__(
        self, ground: Ground, facts: Facts, name: str, zone: str, boot: int, nonce: int, seed: int
    ) -> None:  # fmt: skip
        self.ground, self.facts, self.fleet = ground, facts, facts["fleet"]
        port = facts.get("told_port") or facts["port"]
        me = Claim(name, boot, nonce, 0, Rank.ALIVE, facts.get("host", "127.0.0.1"), port, zone)
        self.members = Members(self, facts, me, seed, ground.clock())
        self.timer: Any = None
        self.timer_at = -1
        self.sent = self.sent_bytes = self.came = self.refused = 0

    def start(self) -> None:
        self.ground.reactor.listenUDP(self.facts["port"], self, interface="127.0.0.1")
        self.members.start(self.ground.clock())
        self.wake()

    def leave(self) -> None:
        self.members.leave(self.ground.clock())

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.ground.input()
        self.came += 1
        try:
            datagram = wire.unpack(data, self.fleet)
        except wire.Unreadable as trouble:
            self.refused += 1
            return self.ground.passed_over(f"fleet datagram from port {addr[1]}", str(trouble))
        self.members.heard(datagram.sender, datagram.word, datagram.claims, self.ground.clock())
        self.wake()

    def wake(self) -> None:
        """Have `turn` called when something is due next; one timer at a time."""
        due = self.members.due
        if self.timer is not None and self.timer_at <= due:
            return
        if self.timer is not None:
            self.timer.stop()
        self.timer_at = due
        self.timer = self.ground.after(max(1, due - self.ground.clock()), self.turn, None)

    def turn(self, _: object = None) -> None:
        self.timer = None
        self.members.tick(self.ground.clock())
        self.wake()

    # what membership asks (members.Outside)

    def send(self, host: str, port: int, word: wire.AnyWord, claims: tuple[Claim, ...]) -> None:
        data = wire.pack(Datagram(self.fleet, wire.VERSION, self.members.me, word, claims))
        if self.transport is not None:
            self.sent += 1
            self.sent_bytes += len(data)
            self.transport.write(data, (host, port))

    def changed(self, member: Member) -> None: ...

    def log(self, text: str) -> None:
        self.ground.log("fleet", figures=text)
