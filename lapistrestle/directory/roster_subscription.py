"""A holder's subscription to the roster: its numbered lists, handed on to the holder's decisions.

Times are ticks of a tenth of a millisecond on the program's clock.
"""

from collections.abc import Callable
from typing import Any

from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.sources.numbered_list import ListAction, ListEvent, NumberedList
from lapistrestle.sources.roster import RosterSource, RosterSpeaker
from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.json_lines import LineLimits
from lapistrestle.wire.messages import Hello, RosterEntry, RosterSnapshot, RosterUpdate

DIAL_TIME_OUT = 2_500  # ticks for the connection to the roster and its greeting
LONGEST_LINE = 134_217_728  # bytes: a complete list of 380,000 instances is 50 MB


class RosterInstances(NumberedList):
    """The roster's list by its numbers; the entries themselves are kept by the decisions."""

    def __init__(self, log: Callable[[str], None]) -> None:
        super().__init__(log)
        self.names = set[str]()

    def size(self) -> int:
        """Instances that are known now."""
        return len(self.names)

    def record(self, entries: list[RosterEntry], complete: bool) -> None:
        """Note who is there, after a list or change was accepted. `complete`: whom it omits is gone."""
        if complete:
            if not entries and self.names:
                self.log(f"list empty at {self.number}: all {len(self.names)} count as gone")
            self.names.clear()
        for entry in entries:
            if entry.listing == "gone":
                self.names.discard(entry.name)
            else:
                self.names.add(entry.name)


class RosterSubscription:
    """Follows the roster for a holder: what a `RosterSource` asks of a `RosterFollower`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        port: int,
        holder: ShardHolder,
        clock: Callable[[], int],
        act: Callable[[], None],
        passed_over: Callable[[str, str], None],
        log: Callable[[str], None],
    ) -> None:
        """`act` carries out what the holder decided; `passed_over` counts lines that can't be read."""
        self.reactor = reactor
        self.name = name
        self.holder = holder
        self.clock = clock
        self.act = act
        self.passed_over = passed_over
        self.list = RosterInstances(log)
        self.bounds = LineLimits(max_line_bytes=LONGEST_LINE)
        self.connect_timeout = DIAL_TIME_OUT
        self.endpoints_polled = False
        self.source = HolderRosterSource(self, port)
        self.stopped = False

    def start(self) -> None:
        """Connect to the roster."""
        self.source.start()

    def stop(self) -> None:
        """Leave the roster; the end of the connection is no loss then."""
        self.stopped = True
        self.source.stop()

    def request_snapshot(self) -> None:
        """Ask the roster for the complete list."""
        self.source.ask()

    # what a `RosterSource` asks of whoever follows the roster

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Any:
        """Have a function called after so many ticks; the reactor's handle of it."""
        return self.reactor.callLater(delay / SECOND, call, arg)

    def input(self) -> None:
        """Something has come from the roster; the holder notes its calls itself."""

    def list_received(self, message: RosterSnapshot | RosterUpdate) -> ListAction:
        """A list or change has come: what is done with it."""
        do = self.list.accept(message)
        complete = isinstance(message, RosterSnapshot)
        now = self.clock()
        if do is ListAction.TAKE:
            self.list.record(message.workers, complete)
            revision = Revision(message.epoch, message.number)
            self.holder.instances_changed(message.workers, complete, revision, now)
        elif do is ListAction.ASK and not complete:  # a complete one answers a request: as many stay open
            self.holder.snapshot_requested(now)
        elif do is ListAction.PASS and complete:
            self.holder.snapshot_discarded(now)
        self.act()
        return do

    def list_followed(self) -> None:
        """The connection to the roster stands, and the complete list was asked for."""
        self.holder.snapshot_requested(self.clock())
        self.act()

    def list_event(self, news: ListEvent) -> None:
        """The connection is lost, or the roster can't answer."""
        if self.stopped:
            return
        if self.list.step(news) is ListAction.TELL_FAILED:
            self.holder.roster_lost(self.clock())
            self.act()


class HolderRosterSpeaker(RosterSpeaker):
    """The holder's end of the connection to the roster."""

    source: "HolderRosterSource"

    def greeting_received(self, hello: Hello) -> None:
        """The roster has greeted."""
        super().greeting_received(hello)
        self.source.edge.list_followed()

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """What can't be read may have answered a request: only a new connection has none open."""
        self.source.edge.passed_over("roster", why)
        self.close_with_reason(f"unreadable line: {why}")


class HolderRosterSource(RosterSource):
    """Follows the roster, and notifies the decisions whenever a complete list is asked for."""

    edge: RosterSubscription

    def speak(self) -> HolderRosterSpeaker:
        """The holder's end of a new connection."""
        return HolderRosterSpeaker(self)
