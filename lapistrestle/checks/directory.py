"""What a directory's holders sent to edges, read from the tape of the relays between them.

With a directory, an edge learns about a runner from a holder, so the rule that nothing new goes to a draining
or removed runner counts from the holder's message. Each holder has one second to pass a roster change on to
the edges that know the runner.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import RosterEntry

NEVER = float("inf")
TENTHS = 10  # leases are in tenths of a millisecond, times on the tape in milliseconds
# line, time, edge, start of the runner, whether it drains or is gone
Notify = Callable[[int, float, str, str, bool], None]


@dataclass(eq=False)
class KnownPeriod:
    """A period in which an edge knew a runner's start as serving, by the latest message of one connection.

    Times in milliseconds.
    """

    edge: str
    holder: str
    start: str
    started_at: float
    line: int
    ended_at: float = NEVER
    # ended by a message about a drain or removal, not by leaving the watched prefixes
    ended_by_message: bool = False


@dataclass(eq=False)
class WatchConnection:
    """State of one connection between an edge and a holder, as both ends know it."""

    edge: str
    holder: str
    functions: dict[int, str] = field(default_factory=dict)  # by watch id
    prefixes: dict[int, dict[str, None]] = field(default_factory=dict)  # runner names, by watch id
    known: dict[str, KnownPeriod] = field(default_factory=dict)  # by runner name
    serving: dict[str, str] = field(default_factory=dict)  # start by runner name, also outside the prefixes
    renewed_at: float = NEVER  # when the edge last renewed its watches or added one
    lease: float = NEVER  # milliseconds

    def expires_at(self) -> float:
        """When the lease of its watches expires unless it is renewed."""
        return self.renewed_at + self.lease


class EpochOrder:
    """The roster's epochs in the order in which they first appear on the tape, whoever received them."""

    def __init__(self) -> None:
        self.order: dict[str, int] = {}

    def add(self, epoch: str) -> None:
        self.order.setdefault(epoch, len(self.order))

    def sort_key(self, revision: wire.Revision) -> tuple[int, int]:
        """Sort key of a revision: older ones are smaller."""
        return self.order.get(revision.source, -1), revision.number


class DirectoryTrace:
    """Follows the lines of all relayed connections in order."""

    def __init__(self, epochs: EpochOrder, known_starts: dict[str, dict[str, str]], notify: Notify) -> None:
        """`known_starts`: for each edge, the latest known start of each runner."""
        self.epochs, self.known_starts, self.notify = epochs, known_starts, notify
        self.connections: dict[str, WatchConnection] = {}
        # age of the latest revision, by edge and runner name
        self.revisions: dict[tuple[str, str], tuple[int, int]] = {}
        # names in the latest prefix, by edge and function
        self.prefixes: dict[tuple[str, str], dict[str, None]] = {}
        self.entries: dict[tuple[str, str], wire.Instance] = {}  # the latest entry, by edge and name
        self.known_periods: list[KnownPeriod] = []
        self.line_number, self.at = 0, 0.0  # line number and time of the line being processed

    def on_opened(self, connection: str, edge: str, holder: str) -> None:
        self.connections[connection] = WatchConnection(edge, holder)

    def on_closed(self, connection: str, at: float) -> None:
        connection_state = self.connections.pop(connection, None)
        if connection_state is not None:
            self.end_all_watches(connection_state, min(at, connection_state.expires_at()))

    def add_line(self, number: int, at: float, connection: str, message: Any) -> None:
        connection_state = self.connections.get(connection)
        if connection_state is None:
            return
        self.line_number, self.at = number, at
        if at > connection_state.expires_at():
            self.end_all_watches(connection_state, connection_state.expires_at())
        match message:
            case wire.Watch():
                connection_state.renewed_at = at
                connection_state.functions[message.id] = message.function
            case wire.Renew():
                connection_state.renewed_at = at
            case wire.Unwatch():
                self.end_watch(connection_state, message.id)
            case wire.Renewed():
                connection_state.lease = message.lease / TENTHS
            case wire.Snapshot():
                self.on_snapshot(connection_state, message)
            case wire.Unchanged():
                self.on_unchanged(connection_state, message)
            case wire.Update():
                self.on_update(connection_state, message)

    def on_unchanged(self, connection_state: WatchConnection, message: wire.Unchanged) -> None:
        """The edge has the prefix already: the same as a snapshot of what it last received on any
        connection."""
        function = connection_state.functions.get(message.id, "")
        names = self.prefixes.get((connection_state.edge, function), {})
        known = (self.entries.get((connection_state.edge, name)) for name in names)
        entries = [entry for entry in known if entry is not None]
        snapshot = wire.Snapshot(message.id, message.epoch, message.revision, message.sequence, entries)
        snapshot.lease = message.lease
        self.on_snapshot(connection_state, snapshot)

    def on_snapshot(self, connection_state: WatchConnection, message: wire.Snapshot) -> None:
        connection_state.lease = message.lease / TENTHS
        function = connection_state.functions.get(message.id)
        before = [
            id_ for id_, name in connection_state.functions.items() if name == function and id_ < message.id
        ]
        connection_state.prefixes[message.id] = {entry.name: None for entry in message.entries}
        if function is not None:
            self.prefixes[connection_state.edge, function] = connection_state.prefixes[message.id]
        for id_ in before:
            self.end_watch(connection_state, id_)
        age = self.epochs.sort_key(message.revision)
        for entry in message.entries:
            self.on_entry(connection_state, entry, age)
        if message.complete:
            named = connection_state.prefixes[message.id]
            for name in [n for n in self.known_starts.get(connection_state.edge, {}) if n not in named]:
                self.on_gone(connection_state, name, age)

    def on_update(self, connection_state: WatchConnection, message: wire.Update) -> None:
        age = self.epochs.sort_key(message.revision)
        for name in message.gone:
            self.on_gone(connection_state, name, age)
        for change in message.changes:
            prefix = connection_state.prefixes.get(change.id)
            if prefix is None:
                continue  # the edge has ended this watch in the meantime
            for name in change.removed:
                prefix.pop(name, None)
            prefix.update((placed.name, None) for placed in change.inserted)
        for entry in message.entries:
            self.on_entry(connection_state, entry, age)
        for name in [n for n in connection_state.known if not self.in_prefix(connection_state, n)]:
            self.end_period(connection_state, name, self.at, by_message=False)
        for name, start in connection_state.serving.items():
            if name not in connection_state.known and self.in_prefix(connection_state, name):
                self.start_period(connection_state, name, start)

    def on_entry(self, connection_state: WatchConnection, entry: RosterEntry, age: tuple[int, int]) -> None:
        """Applies the state of one runner. An edge ignores revisions older than the one that it has."""
        serves = entry.listing == "serving"
        period = connection_state.known.get(entry.name)
        if period is not None and (period.start != entry.start or not serves):
            self.end_period(connection_state, entry.name, self.at, by_message=True)
        if serves:
            connection_state.serving[entry.name] = entry.start
            if entry.name not in connection_state.known and self.in_prefix(connection_state, entry.name):
                self.start_period(connection_state, entry.name, entry.start)
        else:
            connection_state.serving.pop(entry.name, None)
        if not self.record_revision(connection_state.edge, entry.name, age):
            return
        self.entries[connection_state.edge, entry.name] = wire.compact(entry)
        known = self.known_starts.setdefault(connection_state.edge, {})
        before = known.get(entry.name, entry.start)
        if before != entry.start:
            self.notify(self.line_number, self.at, connection_state.edge, before, True)
        known[entry.name] = entry.start
        self.notify(self.line_number, self.at, connection_state.edge, entry.start, not serves)
        if entry.listing == "gone":
            del known[entry.name]

    def on_gone(self, connection_state: WatchConnection, name: str, age: tuple[int, int]) -> None:
        if name in connection_state.known:
            self.end_period(connection_state, name, self.at, by_message=True)
        connection_state.serving.pop(name, None)
        if self.record_revision(connection_state.edge, name, age):
            self.entries.pop((connection_state.edge, name), None)
            start = self.known_starts.get(connection_state.edge, {}).pop(name, None)
            if start is not None:
                self.notify(self.line_number, self.at, connection_state.edge, start, True)

    def record_revision(self, edge: str, name: str, age: tuple[int, int]) -> bool:
        """Records a revision; False if this edge already had a newer one about that runner."""
        if age < self.revisions.get((edge, name), age):
            return False
        self.revisions[edge, name] = age
        return True

    def in_prefix(self, connection_state: WatchConnection, name: str) -> bool:
        return any(name in prefix for prefix in connection_state.prefixes.values())

    def start_period(self, connection_state: WatchConnection, name: str, start: str) -> None:
        period = connection_state.known[name] = KnownPeriod(
            connection_state.edge, connection_state.holder, start, self.at, self.line_number
        )
        self.known_periods.append(period)

    def end_period(self, connection_state: WatchConnection, name: str, at: float, by_message: bool) -> None:
        period = connection_state.known.pop(name)
        period.ended_at, period.ended_by_message = at, by_message

    def end_watch(self, connection_state: WatchConnection, id_: int) -> None:
        """Ends one watch."""
        connection_state.functions.pop(id_, None)
        connection_state.prefixes.pop(id_, None)
        for name in [n for n in connection_state.known if not self.in_prefix(connection_state, n)]:
            self.end_period(connection_state, name, self.at, by_message=False)

    def end_all_watches(self, connection_state: WatchConnection, at: float) -> None:
        """Ends all watches of a connection."""
        connection_state.functions.clear()
        connection_state.prefixes.clear()
        connection_state.serving.clear()
        for name in list(connection_state.known):
            self.end_period(connection_state, name, at, by_message=False)

    def finish(self, end: float) -> None:
        for connection in list(self.connections):
            self.on_closed(connection, end)
