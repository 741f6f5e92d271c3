"""The connection to the roster: its lists handed on."""

from typing import Any

from lapistrestle.edge.following import Do, News
from lapistrestle.edge.sources import Source
from lapistrestle.wire import messages as wire
from lapistrestle.wire.lines import Speaker, union


class RosterSpeaker(Speaker):
    protocol = wire.ROSTER
    decoder = union(wire.FromRoster)

    def __init__(self, source: "RosterSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name)

    def met(self, hello: wire.Hello) -> None:
        if not self.source.edge.facts["list_asked"] or self.source.wanted:
            self.say(wire.Follow())

    def heard(self, message: Any) -> None:
        self.source.heard(message)

    def unreadable(self, line: bytes, why: str) -> None:
        """A line lost may have been a change: the whole list is asked for anew."""
        self.source.edge.passed_over("roster", why)
        self.say(wire.Ask())

    def lost(self) -> None:
        self.source.lost(self)


class RosterSource(Source):
    """Follows the roster at one port."""

    wanted = False

    def speak(self) -> RosterSpeaker:
        return RosterSpeaker(self)

    def follow(self) -> None:
        self.wanted = True
        self.say(wire.Follow())

    def heard(self, message: Any) -> None:
        if isinstance(message, wire.Whole | wire.Change):
            self.edge.input()
            if self.edge.list_told(message) is Do.ASK:
                self.say(wire.Ask())
        elif isinstance(message, wire.Failed):
            self.edge.list_news(News.FAILED)

    def down(self, was_up: bool) -> None:
        self.edge.list_news(News.CUT if was_up else News.FAILED)
