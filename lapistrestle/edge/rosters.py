"""The connection to the roster: kept, remade, and its lists handed on."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.edge.following import Do, News
from lapistrestle.wire import messages as wire
from lapistrestle.wire.lines import Speaker, union

PAUSE = 2_000  # tenths of a millisecond between two dials of the roster


class RosterSpeaker(Speaker):
    protocol = wire.ROSTER
    decoder = union(wire.FromRoster)

    def __init__(self, source: "RosterSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name)

    def met(self, hello: wire.Hello) -> None:
        self.source.met()

    def heard(self, message: Any) -> None:
        self.source.heard(message)

    def unreadable(self, line: bytes, why: str) -> None:
        """A line lost may have been a change: the whole list is asked for anew."""
        self.source.edge.passed_over("roster", why)
        self.say(wire.Ask())

    def lost(self) -> None:
        self.source.lost(self)


class RosterSource(ClientFactory):
    """Follows the roster at one port."""

    noisy = False

    def __init__(self, edge: Any, port: int) -> None:
        self.edge, self.port = edge, port
        self.speaker: RosterSpeaker | None = None
        self.wanted = self.stopped = False
        self.patience: Any = None

    def start(self) -> None:
        if not self.stopped:
            time_out = self.edge.facts["dial_time_out"] / 10_000
            self.edge.reactor.connectTCP("127.0.0.1", self.port, self, timeout=time_out)

    def stop(self) -> None:
        self.stopped = True
        if self.speaker is not None:
            self.speaker.transport.loseConnection()

    def buildProtocol(self, addr: Any) -> RosterSpeaker:
        self.speaker = RosterSpeaker(self)
        time_out = self.edge.facts["dial_time_out"]
        self.edge.after(time_out, self.unmet, self.speaker)
        return self.speaker

    def unmet(self, speaker: RosterSpeaker) -> None:
        """Half open and silent: dial anew."""
        if self.speaker is speaker and not speaker.greeted:
            speaker.transport.abortConnection()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.edge.list_news(News.FAILED)
        self.edge.after(PAUSE, lambda _: self.start(), None)

    def met(self) -> None:
        if not self.edge.facts["list_asked"] or self.wanted:
            self.say(wire.Follow())

    def follow(self) -> None:
        self.wanted = True
        if self.speaker is not None and self.speaker.greeted:
            self.say(wire.Follow())

    def say(self, message: wire.Message) -> None:
        if self.speaker is not None:
            self.speaker.say(message)

    def heard(self, message: Any) -> None:
        if isinstance(message, wire.Whole | wire.Change):
            self.edge.input()
            if self.edge.list_told(message) is Do.ASK:
                self.say(wire.Ask())
        elif isinstance(message, wire.Failed):
            self.edge.list_news(News.FAILED)

    def lost(self, speaker: RosterSpeaker) -> None:
        if self.speaker is speaker:
            self.speaker = None
            self.edge.list_news(News.CUT)
            self.edge.after(PAUSE, lambda _: self.start(), None)
