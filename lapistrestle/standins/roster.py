"""The roster: knows, late, which processes run, and tells edges by numbered lists."""

from typing import Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.standins.tape import Tape
from lapistrestle.standins.taped import TapedSpeaker, Weather
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder


class RosterStandIn:
    """Entries are noted when they happen and told `lag` seconds later, with `up_for` as of then."""

    def __init__(self, reactor: Any, lag: float, tape: Tape | None = None, port: int = 0) -> None:
        self.reactor, self.lag, self.tape = reactor, lag, tape
        self.told: dict[str, tuple[wire.RosterEntry, float]] = {}  # with the time of its start
        self.number, self.epoch, self.count = 0, "e1", 0
        self.weather = Weather(seed=99)
        self.stale = 0.0  # a trouble: further behind
        self.due = 0.0  # news is told in order
        self.followers: dict[RosterSpeaker, None] = {}
        self.port: int = reactor.listenTCP(port, RosterFactory(self), interface="127.0.0.1").getHost().port

    def note(self, entry: wire.RosterEntry, booted: float, now: bool = False) -> None:
        """Something changed; edges hear of it later."""
        if now:
            return self.tell(entry, booted)
        at = self.due = max(self.due, self.reactor.seconds() + self.lag + self.stale)
        self.reactor.callLater(max(0.0, at - self.reactor.seconds()), self.tell, entry, booted)

    def tell(self, entry: wire.RosterEntry, booted: float) -> None:
        if entry.listing == "gone":
            self.told.pop(entry.name, None)
        else:
            self.told[entry.name] = (entry, booted)
        self.number += 1
        change = wire.RosterUpdate(self.number, [self.dated(entry, booted)], self.epoch)
        for follower in self.followers:
            follower.send_message(change)

    def dated(self, entry: wire.RosterEntry, booted: float) -> wire.RosterEntry:
        up_for = round(min(86_400_000.0, max(0.0, self.reactor.seconds() - booted) * 1000), 1)
        return wire.RosterEntry(
            entry.name, entry.port, entry.zone, entry.cell, entry.kind, entry.size, entry.listing,
            entry.start, up_for,
        )  # fmt: skip

    def whole(self) -> wire.RosterSnapshot:
        return wire.RosterSnapshot(
            self.number, [self.dated(*told) for told in self.told.values()], self.epoch
        )

    # troubles of its own

    def say_all(self, message: wire.Message) -> None:
        for follower in list(self.followers):
            follower.send_message(message)

    def jump_back(self, by: int) -> None:
        """Sends a list numbered as if it were older."""
        whole = self.whole()
        self.say_all(wire.RosterSnapshot(max(0, self.number - by), whole.workers, self.epoch))

    def skip(self) -> None:
        """Loses a number: the next change does not follow."""
        self.number += 1

    def begin_anew(self) -> None:
        """Restarts: numbers begin anew under another epoch, connections break."""
        self.epoch, self.number = f"e{int(self.epoch[1:]) + 1}", 0
        for follower in list(self.followers):
            follower.break_off()


class RosterFactory(ServerFactory):
    noisy = False

    def __init__(self, roster: RosterStandIn) -> None:
        self.roster = roster

    def buildProtocol(self, addr: Any) -> "RosterSpeaker":
        self.roster.count += 1
        return RosterSpeaker(self.roster, f"roster/{self.roster.count}")


class RosterSpeaker(TapedSpeaker):
    protocol = wire.ROSTER
    decoder = message_decoder(wire.ToRoster)
    greets_first = False

    def __init__(self, roster: RosterStandIn, name: str) -> None:
        super().__init__(LineLimits(), roster.reactor, roster.tape, roster.weather, name)
        self.roster = roster

    def connectionMade(self) -> None:
        self.opened(roster=True)
        super().connectionMade()

    def message_received(self, message: Any) -> None:
        if isinstance(message, wire.RosterSubscribe):
            self.roster.followers[self] = None
        if isinstance(message, wire.RosterSubscribe | wire.RosterRequest):
            self.send_message(self.roster.whole())

    def connection_lost(self) -> None:
        self.roster.followers.pop(self, None)
