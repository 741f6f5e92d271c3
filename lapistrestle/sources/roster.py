"""The connection to the roster: its lists handed on."""

from typing import Any, Protocol

from lapistrestle.sources.numbered_list import ListAction, ListEvent
from lapistrestle.sources.reconnecting import Source
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder


class RosterSpeaker(LineConnection):
    """Our end of the connection to the roster."""

    protocol = wire.ROSTER
    decoder = message_decoder(wire.FromRoster)

    def __init__(self, source: "RosterSource") -> None:
        super().__init__(source.edge.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        """The follower's greeting."""
        return wire.Hello(self.protocol, wire.VERSION, self.source.edge.name)

    def greeting_received(self, hello: wire.Hello) -> None:
        """The roster has greeted: follow its list."""
        if not self.source.edge.endpoints_polled or self.source.wanted:
            self.send_message(wire.RosterSubscribe())

    def message_received(self, message: Any) -> None:
        """The roster has sent a message."""
        self.source.heard(message)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """A line lost may have been a change: the whole list is asked for anew."""
        self.source.edge.passed_over("roster", why)
        self.send_message(wire.RosterRequest())

    def connection_lost(self) -> None:
        """The connection is over."""
        self.source.lost(self)


class RosterFollower(Protocol):
    """For whom a `RosterSource` follows the roster: an edge, or a holder of the directory."""

    name: str
    bounds: LineLimits  # of the connection
    connect_timeout: int  # ticks
    endpoints_polled: bool  # the list is followed for a time, and then asked for again

    def input(self) -> None:
        """Something has come from the roster."""

    def list_received(self, message: wire.RosterSnapshot | wire.RosterUpdate) -> ListAction:
        """A list or change has come: what is done with it."""

    def list_event(self, news: ListEvent) -> None:
        """The connection is lost, or the roster can't answer."""

    def passed_over(self, name: str, why: str) -> None:
        """A line of this peer could not be read."""


class RosterSource(Source):
    """Follows the roster at one port."""

    edge: RosterFollower
    wanted = False

    def ask(self) -> None:
        """Have the whole list once more."""
        self.say(wire.RosterRequest())

    def speak(self) -> RosterSpeaker:
        """Our end of a new connection."""
        return RosterSpeaker(self)

    def follow(self) -> None:
        """Ask for the list, now and with each new connection."""
        self.wanted = True
        self.say(wire.RosterSubscribe())

    def heard(self, message: Any) -> None:
        """The roster has sent a message."""
        if isinstance(message, wire.RosterSnapshot | wire.RosterUpdate):
            self.edge.input()
            if self.edge.list_received(message) is ListAction.ASK:
                self.say(wire.RosterRequest())
        elif isinstance(message, wire.RosterUnavailable):
            self.edge.list_event(ListEvent.FAILED)

    def down(self, was_up: bool) -> None:
        """The connection is lost (`was_up`), or could not be made."""
        self.edge.list_event(ListEvent.CUT if was_up else ListEvent.FAILED)
