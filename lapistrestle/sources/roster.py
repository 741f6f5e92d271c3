"""Client of the roster: passes its lists on to a `RosterFollower`."""

from typing import Any, Protocol

from lapistrestle.sources.numbered_list import ListAction, ListEvent
from lapistrestle.sources.reconnecting import ReconnectingSource
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder


class RosterConnection(LineConnection):
    """Our end of the connection to the roster."""

    protocol = wire.ROSTER
    decoder = message_decoder(wire.FromRoster)

    def __init__(self, source: "RosterSource") -> None:
        super().__init__(source.owner.bounds)
        self.source = source

    def greeting(self) -> wire.Hello:
        """The client's greeting."""
        return wire.Hello(self.protocol, wire.VERSION, self.source.owner.name)

    def greeting_received(self, hello: wire.Hello) -> None:
        """The roster has greeted: subscribe to its list; if subscriptions expire, only if one is wanted."""
        if not self.source.owner.endpoints_polled or self.source.is_subscribed:
            self.send_message(wire.RosterSubscribe())

    def message_received(self, message: Any) -> None:
        """The roster has sent a message."""
        self.source.heard(message)

    def unreadable_line_received(self, line: bytes, reason: str) -> None:
        """The undecodable line may have been a change: request the complete list."""
        self.source.owner.message_ignored("roster", reason)
        self.send_message(wire.RosterRequest())

    def connection_lost(self) -> None:
        """The connection has ended."""
        self.source.connection_lost(self)


class RosterFollower(Protocol):
    """The owner of a `RosterSource`: an edge, or a holder of the directory."""

    name: str
    bounds: LineLimits  # of the connection
    connect_timeout: int  # ticks
    endpoints_polled: bool  # subscriptions expire, and `follow` renews them

    def list_received(self, message: wire.RosterSnapshot | wire.RosterUpdate) -> ListAction:
        """Handle a list or change. Returns what is to be done with it."""

    def list_event(self, event: ListEvent) -> None:
        """Handle a lost or failed connection, or a roster that can't answer."""

    def message_ignored(self, name: str, reason: str) -> None:
        """A line of this peer could not be decoded."""


class RosterSource(ReconnectingSource):
    """A client of the roster at one port."""

    owner: RosterFollower
    is_subscribed = False

    def request_snapshot(self) -> None:
        """Request the complete list."""
        self.send_message(wire.RosterRequest())

    def make_connection(self) -> RosterConnection:
        """Build our end of a new connection."""
        return RosterConnection(self)

    def follow(self) -> None:
        """Subscribe to the list, now and on each new connection."""
        self.is_subscribed = True
        self.send_message(wire.RosterSubscribe())

    def heard(self, message: Any) -> None:
        """The roster has sent a message."""
        if isinstance(message, wire.RosterSnapshot | wire.RosterUpdate):
            if self.owner.list_received(message) is ListAction.REQUEST_SNAPSHOT:
                self.send_message(wire.RosterRequest())
        elif isinstance(message, wire.RosterUnavailable):
            self.owner.list_event(ListEvent.FAILED)

    def on_disconnected(self, was_up: bool) -> None:
        """The connection was lost (`was_up`) or could not be established."""
        self.owner.list_event(ListEvent.DISCONNECTED if was_up else ListEvent.FAILED)
