"""The UDP socket between dispatchers: datagrams in and out, and the timer of what this package decides."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol
from zlib import crc32

from twisted.internet.protocol import DatagramProtocol

from lapistrestle.fleet.gossip_counters import GossipCounters
from lapistrestle.fleet.member_table import LocalState, Member
from lapistrestle.fleet.membership import Membership
from lapistrestle.fleet.quota_leasing import QuotaLeasing
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Datagram, MemberRecord, MemberStatus

VERDICTS = 4  # in one datagram
INTERFACE = "127.0.0.1"  # where datagrams are heard
LOANS = (wire.LeaseRequest, wire.LeaseGrant, wire.LeaseReturn)


class WorkerVerdicts(Protocol):
    """What passes on what was found of workers (`overload.probers`)."""

    def on_verdicts(self, verdicts: Iterable[wire.WorkerVerdict], now: int) -> None:
        """Findings of others came."""

    def to_send(self, now: int, most: int) -> tuple[wire.WorkerVerdict, ...]:
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


class GossipEndpoint(DatagramProtocol):
    """One dispatcher's end of its fleet. `boot` grows with each start of a process, `nonce` differs at each;
    `counters`, `verdicts` and `quota_leasing` are set by whoever has more to tell than who is there."""

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
        me = MemberRecord(name, boot, nonce, 0, MemberStatus.ALIVE, settings.host, port, zone)
        self.members = Membership(self, settings, me, seed, runtime.clock())
        self.counters: GossipCounters | None = None
        self.verdicts: WorkerVerdicts | None = None
        self.quota_leasing: QuotaLeasing | None = None
        self.sent_at = runtime.clock()
        self.draws = 0
        self.timer: Any = None
        self.timer_at = -1
        self.sent = self.sent_bytes = self.received = self.rejected = 0

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
        self.received += 1
        try:
            datagram = wire.decode(data, self.settings.fleet)
        except wire.DatagramError as trouble:
            self.rejected += 1
            return self.runtime.passed_over(f"fleet datagram from port {addr[1]}", str(trouble))
        now = self.runtime.clock()
        self.members.on_message(datagram.sender, datagram.message, datagram.records, now)
        if isinstance(datagram.message, wire.CounterGossip) and self.counters is not None:
            self.counters.on_snapshots(datagram.message.layout, datagram.message.snapshots, now)
            if self.verdicts is not None:
                self.verdicts.on_verdicts(datagram.message.verdicts, now)
        if isinstance(datagram.message, LOANS) and self.quota_leasing is not None:
            self.quota_leasing.on_message(datagram.sender, datagram.message, now)
        self.wake()

    def wake(self) -> None:
        """Have `turn` called when something is due next; one timer at a time."""
        due = self.members.due
        if self.counters is not None:
            due = min(due, self.sent_at + self.counters.settings.send_interval)
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
        if self.counters is not None and now >= self.sent_at + self.counters.settings.send_interval:
            self.sent_at = now
            self.send_rows(self.counters, now)
        self.wake()

    def send_rows(self, counters: GossipCounters, now: int) -> None:
        """Counters to a few, drawn anew each time."""
        live = list(self.members.live()) if self.members.state is LocalState.MEMBER else []
        own = wire.encoded_size(counters.reporters[counters.process_id[0]].snapshot)
        for _ in range(min(len(live), counters.datagrams_per_round(len(live) + 1, own))):
            self.draws += 1
            member = live.pop(crc32(f"{self.seed}:tell:{self.draws}".encode()) % len(live))
            verdicts = self.verdicts.to_send(now, VERDICTS) if self.verdicts is not None else ()
            room = wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES - sum(map(wire.encoded_size, verdicts))
            message = wire.CounterGossip(
                counters.layout, tuple(counters.snapshots_to_send(now, room)), verdicts
            )
            self.send(member.record.host, member.record.port, message, ())

    # what membership asks (dissemination.MembershipTransport)

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
        """Send one datagram."""
        data = wire.encode(Datagram(self.settings.fleet, wire.VERSION, self.members.me, message, records))
        if self.transport is not None:
            self.sent += 1
            self.sent_bytes += len(data)
            self.transport.write(data, (host, port))

    def send_lease_message(self, to: MemberRecord, message: wire.Message) -> None:
        """Send a word of lending."""
        self.send(to.host, to.port, message, ())

    def changed(self, member: Member) -> None:
        """Counters of one that is known no more are dropped."""
        if self.counters is not None and not member.known:
            self.counters.forget(member.name)

    def is_present(self, name: str) -> bool:
        """Whether that one counts as there."""
        member = self.members.members.get(name)
        return member is not None and member.live

    def log(self, text: str) -> None:
        """One log line of membership."""
        self.runtime.log("fleet", figures=text)
