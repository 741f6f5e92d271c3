"""The UDP socket between dispatchers: datagrams in and out, and the timer of what this package decides."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol
from zlib import crc32

from twisted.internet.protocol import DatagramProtocol

from lapistrestle.fleet.digests import Digests
from lapistrestle.fleet.lending import Lending
from lapistrestle.fleet.members import Members
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.fleet.table import Member, SelfState
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim, Datagram, Rank

VERDICTS = 4  # in one datagram
INTERFACE = "127.0.0.1"  # where datagrams are heard
LOANS = (wire.Lend, wire.Lent, wire.Returned)


class Verdicts(Protocol):
    """What passes on what was found of workers (`overload.probers`)."""

    def heard(self, verdicts: Iterable[wire.Verdict], now: int) -> None:
        """Findings of others came."""

    def to_send(self, now: int, most: int) -> tuple[wire.Verdict, ...]:
        """Those that are news, so many at the most."""


class Runtime(Protocol):
    """What the program gives: an edge, or a test's stand-in for one. Times in tenths of a millisecond."""

    reactor: Any

    def clock(self) -> int:
        """Now."""

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Any:
        """Call once, after so long; the timer has `stop`."""

    def input(self) -> None:
        """Something came from a socket."""

    def passed_over(self, name: str, why: str) -> None:
        """What came under that name can not be used."""

    def log(self, what: str, **figures: Any) -> None:
        """One log line."""


class FleetEndpoint(DatagramProtocol):
    """One dispatcher's end of its fleet. `boot` grows with each start of a process, `nonce` differs at each;
    `digests`, `verdicts` and `lending` are set by whoever has something to tell beside who is there."""

    transport: Any

    def __init__(
        self,
        runtime: Runtime,
        settings: FleetSettings,
        name: str,
        zone: str,
        boot: int,
        nonce: int,
        seed: int,
    ) -> None:
        self.runtime, self.settings, self.seed = runtime, settings, seed
        port = settings.advertised_port or settings.port
        me = Claim(name, boot, nonce, 0, Rank.ALIVE, settings.host, port, zone)
        self.members = Members(self, settings, me, seed, runtime.clock())
        self.digests: Digests | None = None
        self.verdicts: Verdicts | None = None
        self.lending: Lending | None = None
        self.sent_at = runtime.clock()
        self.draws = 0
        self.timer: Any = None
        self.timer_at = -1
        self.sent = self.sent_bytes = self.came = self.refused = 0

    def start(self) -> None:
        """Listen, and join through the seeds."""
        self.runtime.reactor.listenUDP(self.settings.port, self, interface=INTERFACE)
        self.members.start(self.runtime.clock())
        self.wake()

    def leave(self) -> None:
        """Say that this process ends."""
        self.members.leave(self.runtime.clock())

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """A datagram came; one that can not be read is counted and passed over."""
        self.runtime.input()
        self.came += 1
        try:
            datagram = wire.unpack(data, self.settings.fleet)
        except wire.Unreadable as trouble:
            self.refused += 1
            return self.runtime.passed_over(f"fleet datagram from port {addr[1]}", str(trouble))
        now = self.runtime.clock()
        self.members.heard(datagram.sender, datagram.word, datagram.claims, now)
        if isinstance(datagram.word, wire.Rows) and self.digests is not None:
            self.digests.heard(datagram.word.layout, datagram.word.rows, now)
            if self.verdicts is not None:
                self.verdicts.heard(datagram.word.verdicts, now)
        if isinstance(datagram.word, LOANS) and self.lending is not None:
            self.lending.heard(datagram.sender, datagram.word, now)
        self.wake()

    def wake(self) -> None:
        """Have `turn` called when something is due next; one timer at a time."""
        due = self.members.due
        if self.digests is not None:
            due = min(due, self.sent_at + self.digests.settings.send_every)
        if self.timer is not None and self.timer_at <= due:
            return
        if self.timer is not None:
            self.timer.stop()
        self.timer_at = due
        self.timer = self.runtime.after(max(1, due - self.runtime.clock()), self.turn, None)

    def turn(self, _: object = None) -> None:
        """Do what is due: probes, and rows to others."""
        self.timer = None
        now = self.runtime.clock()
        if now >= self.members.due:
            self.members.tick(now)
        if self.digests is not None and now >= self.sent_at + self.digests.settings.send_every:
            self.sent_at = now
            self.send_rows(self.digests, now)
        self.wake()

    def send_rows(self, digests: Digests, now: int) -> None:
        """Counters to a few, drawn anew each time."""
        live = list(self.members.live()) if self.members.state is SelfState.MEMBER else []
        own = wire.size(digests.reporters[digests.life[0]].row)
        for _ in range(min(len(live), digests.datagrams(len(live) + 1, own))):
            self.draws += 1
            member = live.pop(crc32(f"{self.seed}:tell:{self.draws}".encode()) % len(live))
            verdicts = self.verdicts.to_send(now, VERDICTS) if self.verdicts is not None else ()
            room = wire.MOST - wire.HEAD - sum(map(wire.size, verdicts))
            word = wire.Rows(digests.layout, tuple(digests.rows_to_send(now, room)), verdicts)
            self.send(member.claim.host, member.claim.port, word, ())

    # what membership asks (dissemination.MembershipTransport)

    def send(self, host: str, port: int, word: wire.AnyWord, claims: tuple[Claim, ...]) -> None:
        """Send one datagram."""
        data = wire.pack(Datagram(self.settings.fleet, wire.VERSION, self.members.me, word, claims))
        if self.transport is not None:
            self.sent += 1
            self.sent_bytes += len(data)
            self.transport.write(data, (host, port))

    def lend(self, to: Claim, word: wire.AnyWord) -> None:
        """Send a word of lending."""
        self.send(to.host, to.port, word, ())

    def changed(self, member: Member) -> None:
        """Counters of one that is known no more are dropped."""
        if self.digests is not None and not member.known:
            self.digests.forget(member.name)

    def present(self, name: str) -> bool:
        """Whether that one counts as there."""
        member = self.members.members.get(name)
        return member is not None and member.live

    def log(self, text: str) -> None:
        """One log line of membership."""
        self.runtime.log("fleet", figures=text)
