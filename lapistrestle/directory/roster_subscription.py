"""A holder's subscription to the roster: passes lists and changes on to its `ShardHolder`.

Times are ticks of 0.1 ms on the process's clock.
"""

from collections.abc import Callable
from typing import Any

from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.sources.numbered_list import ListAction, ListEvent, NumberedList
from lapistrestle.sources.roster import RosterConnection, RosterSource
from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.json_lines import LineLimits
from lapistrestle.wire.messages import Hello, RosterEntry, RosterSnapshot, RosterUpdate

CONNECT_TIMEOUT = 2_500  # ticks for the connection to the roster and its greeting
MAX_LINE_BYTES = 134_217_728  # bytes; a complete list of 380,000 instances takes 50 MB


class RosterInstances(NumberedList):
    """Tracks the numbers of the roster's lists; the entries themselves are stored by `ShardHolder`."""

    def __init__(self, log: Callable[[str], None]) -> None:
        super().__init__(log)
        self.names = set[str]()

    def size(self) -> int:
        """Number of instances known now."""
        return len(self.names)

    def update_names(self, entries: list[RosterEntry], complete: bool) -> None:
        """Update the names after a list or change was accepted. `complete`: names not in it are gone."""
        if complete:
            if not entries and self.names:
                self.log(f"empty list at {self.number}: all {len(self.names)} instances count as gone")
            self.names.clear()
        for entry in entries:
            if entry.listing == "gone":
                self.names.discard(entry.name)
            else:
                self.names.add(entry.name)


class RosterSubscription:
    """Subscribes a holder to the roster; implements `RosterFollower`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        port: int,
        holder: ShardHolder,
        clock: Callable[[], int],
        act: Callable[[], None],
        message_ignored: Callable[[str, str], None],
        log: Callable[[str], None],
    ) -> None:
        """`act` performs the holder's effects; `message_ignored` counts lines that can't be decoded."""
        self.reactor = reactor
        self.name = name
        self.holder = holder
        self.clock = clock
        self.perform_effects = act
        self.message_ignored = message_ignored
        self.list = RosterInstances(log)
        self.bounds = LineLimits(max_line_bytes=MAX_LINE_BYTES)
        self.connect_timeout = CONNECT_TIMEOUT
        self.endpoints_polled = False
        self.source = HolderRosterSource(self, port)
        self.stopped = False

    def start(self) -> None:
        """Connect to the roster."""
        self.source.start()

    def stop(self) -> None:
        """Close the connection; its end does not count as a loss of the roster."""
        self.stopped = True
        self.source.stop()

    def request_snapshot(self) -> None:
        """Request the complete list from the roster."""
        self.source.request_snapshot()

    # RosterFollower

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Any:
        """Call a function after `delay` ticks. Returns the reactor's handle."""
        return self.reactor.callLater(delay / SECOND, call, arg)

    def list_received(self, message: RosterSnapshot | RosterUpdate) -> ListAction:
        """Handle a list or change. Returns what is to be done with it."""
        action = self.list.accept(message)
        complete = isinstance(message, RosterSnapshot)
        now = self.clock()
        if action is ListAction.APPLY:
            self.list.update_names(message.workers, complete)
            revision = Revision(message.epoch, message.number)
            self.holder.instances_changed(message.workers, complete, revision, now)
        elif (
            action is ListAction.REQUEST_SNAPSHOT and not complete
        ):  # a complete one answers a request: as many stay open
            self.holder.snapshot_requested(now)
        elif action is ListAction.IGNORE and complete:
            self.holder.snapshot_discarded(now)
        self.perform_effects()
        return action

    def list_requested(self) -> None:
        """The connection is established, and the complete list was requested."""
        self.holder.snapshot_requested(self.clock())
        self.perform_effects()

    def list_event(self, event: ListEvent) -> None:
        """Handle a lost connection, or a roster that can't answer."""
        if self.stopped:
            return
        if self.list.handle_event(event) is ListAction.REPORT_FAILURE:
            self.holder.roster_lost(self.clock())
            self.perform_effects()


class HolderRosterConnection(RosterConnection):
    """The holder's end of the connection to the roster."""

    source: "HolderRosterSource"

    def greeting_received(self, hello: Hello) -> None:
        """The roster has greeted."""
        super().greeting_received(hello)
        self.source.owner.list_requested()

    def unreadable_line_received(self, line: bytes, reason: str) -> None:
        """Reconnect: the line may have answered a request, and only a new connection has none open."""
        self.source.owner.message_ignored("roster", reason)
        self.close_with_reason(f"unreadable line: {reason}")


class HolderRosterSource(RosterSource):
    """The holder's client of the roster; its owner also learns when a complete list is requested."""

    owner: RosterSubscription

    def make_connection(self) -> HolderRosterConnection:
        """The holder's end of a new connection."""
        return HolderRosterConnection(self)
