"""The UDP socket for messages between dispatchers, and the timer of membership and gossip."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol

from lapistrestle.fleet.gossip_counters import GossipCounters
from lapistrestle.fleet.member_table import LocalState, Member
from lapistrestle.fleet.membership import Membership
from lapistrestle.fleet.quota_leasing import QuotaLeasing
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Datagram, MemberRecord, MemberStatus

MAX_VERDICTS = 4  # in one datagram
INTERFACE = "127.0.0.1"  # on which datagrams are received


class VerdictGossip(Protocol):
    """Gossips the results of workers' health checks (`overload.worker_verdicts`)."""

    def on_verdicts(self, verdicts: Iterable[wire.WorkerVerdict], now: int) -> None:
        """Handle verdicts of other dispatchers."""

    def to_send(self, now: int, limit: int) -> tuple[wire.WorkerVerdict, ...]:
        """At most `limit` verdicts that are still to be forwarded."""


class Timer(Protocol):
    """A scheduled call."""

    def stop(self) -> None:
        """Cancel it."""


class Runtime(Protocol):
    """What the process provides: an edge, or a test's stand-in for one. Times are whole ticks of 0.1 ms."""

    reactor: Any  # of Twisted, or a virtual one with the same methods

    def clock(self) -> int:
        """The current time."""

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        """Call once with `arg`, after `delay` ticks."""

    def message_ignored(self, name: str, reason: str) -> None:
        """Input from `name` could not be decoded."""

    def log(self, what: str, **figures: Any) -> None:
        """Write one log line."""


class GossipEndpoint(DatagramProtocol):
    """One dispatcher's connection to its fleet.

    `counters`, `verdicts` and `quota_leasing` are set by an owner that uses more than membership.
    """

    transport: Any  # set by Twisted while the port is open

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
        """`boot` rises and `nonce` differs with each start of a process."""
        self.runtime = runtime
        self.settings = settings
        self.seed = seed
        self.random = SeededRandom(seed, "tell")  # selects the receivers of counters
        port = settings.advertised_port or settings.port
        me = MemberRecord(name, boot, nonce, 0, MemberStatus.ALIVE, settings.host, port, zone)
        self.membership = Membership(self, settings, me, seed, runtime.clock())
        self.counters: GossipCounters | None = None
        self.verdicts: VerdictGossip | None = None
        self.quota_leasing: QuotaLeasing | None = None
        self.counters_sent_at = runtime.clock()
        self.timer: Timer | None = None
        self.timer_at = -1
        self.datagrams_sent = 0
        self.bytes_sent = 0
        self.datagrams_received = 0
        self.datagrams_rejected = 0

    def start(self) -> None:
        """Listen, and join the fleet through the seeds."""
        self.runtime.reactor.listenUDP(self.settings.port, self, interface=INTERFACE)
        self.membership.start(self.runtime.clock())
        self.schedule()

    def leave(self) -> None:
        """Notify other members that this process leaves."""
        self.membership.leave(self.runtime.clock())

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; one that can't be decoded is counted and ignored."""
        self.datagrams_received += 1
        try:
            datagram = wire.decode(data, self.settings.fleet)
        except wire.DatagramError as error:
            self.datagrams_rejected += 1
            self.runtime.message_ignored(f"fleet datagram from port {addr[1]}", str(error))
            return
        now = self.runtime.clock()
        self.membership.on_message(datagram.sender, datagram.message, datagram.records, now)
        self.dispatch(datagram.sender, datagram.message, now)
        self.schedule()

    def dispatch(self, sender: MemberRecord, message: wire.Message, now: int) -> None:
        """Pass on a message that is not about membership."""
        if isinstance(message, wire.CounterGossip) and self.counters is not None:
            self.counters.on_snapshots(message.layout, message.snapshots, now)
            if self.verdicts is not None:
                self.verdicts.on_verdicts(message.verdicts, now)
        if isinstance(message, wire.LeaseMessage) and self.quota_leasing is not None:
            self.quota_leasing.on_message(sender, message, now)

    def schedule(self) -> None:
        """Schedule `run_due` for the next deadline; there is one timer at a time."""
        due = self.membership.next_deadline
        if self.counters is not None:
            due = min(due, self.counters_sent_at + self.counters.settings.send_interval)
        if self.timer is not None and self.timer_at <= due:
            return
        if self.timer is not None:
            self.timer.stop()
        self.timer_at = due
        self.timer = self.runtime.after(max(1, due - self.runtime.clock()), self.run_due, None)

    def run_due(self, _: object = None) -> None:
        """Do what is due: membership, and sending of counters."""
        self.timer = None
        now = self.runtime.clock()
        if now >= self.membership.next_deadline:
            self.membership.tick(now)
        counters = self.counters
        if counters is not None and now >= self.counters_sent_at + counters.settings.send_interval:
            self.counters_sent_at = now
            self.send_counters(counters, now)
        self.schedule()

    def send_counters(self, counters: GossipCounters, now: int) -> None:
        """Send counters to a few members, selected at random each time."""
        is_member = self.membership.state is LocalState.MEMBER
        receivers = list(self.membership.live()) if is_member else []
        own = counters.reporters[counters.process_id[0]].snapshot
        count = counters.datagrams_per_round(len(receivers) + 1, wire.encoded_size(own))
        for _ in range(min(len(receivers), count)):
            receiver = receivers.pop(self.random.below(len(receivers)))
            verdicts = self.verdicts.to_send(now, MAX_VERDICTS) if self.verdicts is not None else ()
            reserved = wire.ENVELOPE_BYTES + sum(map(wire.encoded_size, verdicts))
            snapshots = counters.snapshots_to_send(now, wire.MAX_DATAGRAM_BYTES - reserved)
            message = wire.CounterGossip(counters.layout, tuple(snapshots), verdicts)
            self.send(receiver.record.host, receiver.record.port, message, ())

    # dissemination.MembershipTransport

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
        """Send one datagram."""
        me = self.membership.me
        data = wire.encode(Datagram(self.settings.fleet, wire.VERSION, me, message, records))
        if self.transport is not None:
            self.datagrams_sent += 1
            self.bytes_sent += len(data)
            self.transport.write(data, (host, port))

    def send_lease_message(self, receiver: MemberRecord, message: wire.LeaseMessage) -> None:
        """Send a lease message."""
        self.send(receiver.host, receiver.port, message, ())

    def on_member_changed(self, member: Member) -> None:
        """Remove the counters of a member that was forgotten."""
        if self.counters is not None and not member.is_known:
            self.counters.forget(member.name)

    def is_present(self, name: str) -> bool:
        """Whether a member counts as present."""
        member = self.membership.members.get(name)
        return member is not None and member.is_live

    def log(self, text: str) -> None:
        """Write one log line of membership."""
        self.runtime.log("fleet", figures=text)
