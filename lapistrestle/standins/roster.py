"""The roster: publishes with a delay which processes run, as numbered lists and changes."""

from typing import Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.standins.tape import Tape
from lapistrestle.standins.taped_connection import NetworkFaults, TapedConnection
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder

MAX_UP_FOR = 86_400_000.0  # milliseconds; a longer time since the start is published as this


class RosterStandIn:
    """Changes are recorded when they happen and published `lag` seconds later, with `up_for` as of then."""

    def __init__(self, reactor: Any, lag: float, tape: Tape | None = None, port: int = 0) -> None:
        self.reactor, self.lag, self.tape = reactor, lag, tape
        self.published: dict[
            str, tuple[wire.RosterEntry, float]
        ] = {}  # entry and time of the process's start, by name
        self.number, self.epoch, self.count = 0, "e1", 0
        self.network_faults = NetworkFaults(seed=99)
        self.extra_delay = 0.0  # fault: seconds of additional delay
        self.next_publication = 0.0  # when the latest change is published: changes stay in order
        self.subscribers: dict[RosterServerConnection, None] = {}
        self.port: int = reactor.listenTCP(port, RosterFactory(self), interface="127.0.0.1").getHost().port

    def record(self, entry: wire.RosterEntry, booted_at: float, now: bool = False) -> None:
        """Records a change, to be published after the delay."""
        if now:
            return self.publish(entry, booted_at)
        at = self.next_publication = max(
            self.next_publication, self.reactor.seconds() + self.lag + self.extra_delay
        )
        self.reactor.callLater(max(0.0, at - self.reactor.seconds()), self.publish, entry, booted_at)

    def publish(self, entry: wire.RosterEntry, booted_at: float) -> None:
        if entry.listing == "gone":
            self.published.pop(entry.name, None)
        else:
            self.published[entry.name] = (entry, booted_at)
        self.number += 1
        change = wire.RosterUpdate(self.number, [self.with_up_for(entry, booted_at)], self.epoch)
        for follower in self.subscribers:
            follower.send_message(change)

    def with_up_for(self, entry: wire.RosterEntry, booted_at: float) -> wire.RosterEntry:
        up_for = round(min(MAX_UP_FOR, max(0.0, self.reactor.seconds() - booted_at) * 1000), 1)
        return wire.RosterEntry(
            entry.name, entry.port, entry.zone, entry.cell, entry.kind, entry.size, entry.listing,
            entry.start, up_for,
        )  # fmt: skip

    def snapshot(self) -> wire.RosterSnapshot:
        return wire.RosterSnapshot(
            self.number, [self.with_up_for(*published) for published in self.published.values()], self.epoch
        )

    # faults of the roster

    def send_to_all(self, message: wire.Message) -> None:
        for follower in list(self.subscribers):
            follower.send_message(message)

    def jump_back(self, by: int) -> None:
        """Sends a snapshot with a number that is too low."""
        current = self.snapshot()
        self.send_to_all(wire.RosterSnapshot(max(0, self.number - by), current.workers, self.epoch))

    def skip_number(self) -> None:
        """Skips a number, so that subscribers miss a change."""
        self.number += 1

    def restart(self) -> None:
        """Restarts: numbers start again in a new epoch, and connections break."""
        self.epoch, self.number = f"e{int(self.epoch[1:]) + 1}", 0
        for follower in list(self.subscribers):
            follower.break_off()


class RosterFactory(ServerFactory):
    noisy = False

    def __init__(self, roster: RosterStandIn) -> None:
        self.roster = roster

    def buildProtocol(self, addr: Any) -> "RosterServerConnection":
        self.roster.count += 1
        return RosterServerConnection(self.roster, f"roster/{self.roster.count}")


class RosterServerConnection(TapedConnection):
    protocol = wire.ROSTER
    decoder = message_decoder(wire.ToRoster)
    greets_first = False

    def __init__(self, roster: RosterStandIn, name: str) -> None:
        super().__init__(LineLimits(), roster.reactor, roster.tape, roster.network_faults, name)
        self.roster = roster

    def connectionMade(self) -> None:
        self.record_open(roster=True)
        super().connectionMade()

    def message_received(self, message: Any) -> None:
        if isinstance(message, wire.RosterSubscribe):
            self.roster.subscribers[self] = None
        if isinstance(message, wire.RosterSubscribe | wire.RosterRequest):
            self.send_message(self.roster.snapshot())

    def connection_lost(self) -> None:
        self.roster.subscribers.pop(self, None)
