"""The connection to the roster: its lists handed on."""

from typing import Any, Protocol

from lapistrestle.edge.following import Do, News
from lapistrestle.edge.sources import Source
from lapistrestle.wire import messages as wire
from lapistrestle.wire.lines import LineBounds, Speaker, union


class RosterSpeaker(Speaker):
    protocol = wire.ROSTER
    decoder = union(wire.FromRoster)

    def __init__(self, source: "RosterSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name)

    def met(self, hello: wire.Hello) -> None:
        if not self.source.edge.endpoints_polled or self.source.wanted:
            self.say(wire.Follow())

    def heard(self, message: Any) -> None:
        self.source.heard(message)

    def unreadable(self, line: bytes, why: str) -> None:
        """A line lost may have been a change: the whole list is asked for anew."""
        self.source.edge.passed_over("roster", why)
        self.say(wire.Ask())

    def lost(self) -> None:
        self.source.lost(self)


class RosterFollower(Protocol):
    """For whom a `RosterSource` follows the roster: an edge, or a holder of the directory."""

    name: str
    bounds: LineBounds  # of the connection
    connect_timeout: int  # ticks
    endpoints_polled: bool  # the list is followed for a time, and then asked for again

    def input(self) -> None: ...  # something is heard
    def list_told(self, message: wire.Whole | wire.Change) -> Do: ...
    def list_news(self, news: News) -> None: ...
    def passed_over(self, name: str, why: str) -> None: ...


class RosterSource(Source):
    """Follows the roster at one port."""

    edge: RosterFollower
    wanted = False

    def ask(self) -> None:
        """Have the whole list once more."""
        self.say(wire.Ask())

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
