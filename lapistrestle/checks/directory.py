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
Tell = Callable[[int, float, str, str, bool], None]


@dataclass(eq=False)
class Held:
    """A period in which an edge knew a runner's start as serving, by the latest message of one connection.

    Times in milliseconds.
    """

    edge: str
    holder: str
    start: str
    at: float
    line: int
    until: float = NEVER
    told: bool = False  # ended by a message about a drain or removal, not by leaving the watched prefixes


@dataclass(eq=False)
class Watching:
    """State of one connection between an edge and a holder, as both ends know it."""

    edge: str
    holder: str
    functions: dict[int, str] = field(default_factory=dict)  # by watch id
    prefixes: dict[int, dict[str, None]] = field(default_factory=dict)  # runner names, by watch id
    held: dict[str, Held] = field(default_factory=dict)  # by runner name
    serving: dict[str, str] = field(default_factory=dict)  # start by runner name, also outside the prefixes
    asked: float = NEVER  # when the edge last renewed its watches or added one
    lease: float = NEVER  # milliseconds

    def lapses(self) -> float:
        """When the lease of its watches expires unless it is renewed."""
        return self.asked + self.lease


class Epochs:
    """The roster's epochs in the order in which they first appear on the tape, whoever received them."""

    def __init__(self) -> None:
        self.order: dict[str, int] = {}

    def met(self, epoch: str) -> None:
        self.order.setdefault(epoch, len(self.order))

    def age(self, revision: wire.Revision) -> tuple[int, int]:
        """Sort key of a revision: older ones are smaller."""
        return self.order.get(revision.source, -1), revision.number


class DirectoryStory:
    """Follows the lines of all relayed connections in order."""

    def __init__(self, epochs: Epochs, lists: dict[str, dict[str, str]], tell: Tell) -> None:
        """`lists`: for each edge, the latest known start of each runner."""
        self.epochs, self.lists, self.tell = epochs, lists, tell
        self.watching: dict[str, Watching] = {}
        # age of the latest revision, by edge and runner name
        self.words: dict[tuple[str, str], tuple[int, int]] = {}
        # names in the latest prefix, by edge and function
        self.prefixes: dict[tuple[str, str], dict[str, None]] = {}
        self.entries: dict[tuple[str, str], wire.Instance] = {}  # the latest entry, by edge and name
        self.holds: list[Held] = []
        self.number, self.at = 0, 0.0  # line number and time of the line being processed

    def opened(self, connection: str, edge: str, holder: str) -> None:
        self.watching[connection] = Watching(edge, holder)

    def closed(self, connection: str, at: float) -> None:
        watching = self.watching.pop(connection, None)
        if watching is not None:
            self.drop(watching, min(at, watching.lapses()))

    def line(self, number: int, at: float, connection: str, message: Any) -> None:
        watching = self.watching.get(connection)
        if watching is None:
            return
        self.number, self.at = number, at
        if at > watching.lapses():
            self.drop(watching, watching.lapses())
        match message:
            case wire.Watch():
                watching.asked = at
                watching.functions[message.id] = message.function
            case wire.Renew():
                watching.asked = at
            case wire.Unwatch():
                self.forget(watching, message.id)
            case wire.Renewed():
                watching.lease = message.lease / TENTHS
            case wire.Snapshot():
                self.snapshot(watching, message)
            case wire.Unchanged():
                self.unchanged(watching, message)
            case wire.Update():
                self.update(watching, message)

    def unchanged(self, watching: Watching, message: wire.Unchanged) -> None:
        """The edge has the prefix already: the same as a snapshot of what it last received on any
        connection."""
        function = watching.functions.get(message.id, "")
        names = self.prefixes.get((watching.edge, function), {})
        known = (self.entries.get((watching.edge, name)) for name in names)
        entries = [entry for entry in known if entry is not None]
        snapshot = wire.Snapshot(message.id, message.epoch, message.revision, message.sequence, entries)
        snapshot.lease = message.lease
        self.snapshot(watching, snapshot)

    def snapshot(self, watching: Watching, message: wire.Snapshot) -> None:
        watching.lease = message.lease / TENTHS
        function = watching.functions.get(message.id)
        before = [id_ for id_, name in watching.functions.items() if name == function and id_ < message.id]
        watching.prefixes[message.id] = {entry.name: None for entry in message.entries}
        if function is not None:
            self.prefixes[watching.edge, function] = watching.prefixes[message.id]
        for id_ in before:
            self.forget(watching, id_)
        age = self.epochs.age(message.revision)
        for entry in message.entries:
            self.entry(watching, entry, age)
        if message.complete:
            named = watching.prefixes[message.id]
            for name in [n for n in self.lists.get(watching.edge, {}) if n not in named]:
                self.gone(watching, name, age)

    def update(self, watching: Watching, message: wire.Update) -> None:
        age = self.epochs.age(message.revision)
        for name in message.gone:
            self.gone(watching, name, age)
        for change in message.changes:
            prefix = watching.prefixes.get(change.id)
            if prefix is None:
                continue  # the edge has ended this watch in the meantime
            for name in change.removed:
                prefix.pop(name, None)
            prefix.update((placed.name, None) for placed in change.inserted)
        for entry in message.entries:
            self.entry(watching, entry, age)
        for name in [n for n in watching.held if not self.in_prefix(watching, n)]:
            self.over(watching, name, self.at, told=False)
        for name, start in watching.serving.items():
            if name not in watching.held and self.in_prefix(watching, name):
                self.hold(watching, name, start)

    def entry(self, watching: Watching, entry: RosterEntry, age: tuple[int, int]) -> None:
        """Applies the state of one runner. An edge ignores revisions older than the one that it has."""
        serves = entry.listing == "serving"
        held = watching.held.get(entry.name)
        if held is not None and (held.start != entry.start or not serves):
            self.over(watching, entry.name, self.at, told=True)
        if serves:
            watching.serving[entry.name] = entry.start
            if entry.name not in watching.held and self.in_prefix(watching, entry.name):
                self.hold(watching, entry.name, entry.start)
        else:
            watching.serving.pop(entry.name, None)
        if not self.newest(watching.edge, entry.name, age):
            return
        self.entries[watching.edge, entry.name] = wire.compact(entry)
        known = self.lists.setdefault(watching.edge, {})
        before = known.get(entry.name, entry.start)
        if before != entry.start:
            self.tell(self.number, self.at, watching.edge, before, True)
        known[entry.name] = entry.start
        self.tell(self.number, self.at, watching.edge, entry.start, not serves)
        if entry.listing == "gone":
            del known[entry.name]

    def gone(self, watching: Watching, name: str, age: tuple[int, int]) -> None:
        if name in watching.held:
            self.over(watching, name, self.at, told=True)
        watching.serving.pop(name, None)
        if self.newest(watching.edge, name, age):
            self.entries.pop((watching.edge, name), None)
            start = self.lists.get(watching.edge, {}).pop(name, None)
            if start is not None:
                self.tell(self.number, self.at, watching.edge, start, True)

    def newest(self, edge: str, name: str, age: tuple[int, int]) -> bool:
        """Records a revision; False if this edge already had a newer one about that runner."""
        if age < self.words.get((edge, name), age):
            return False
        self.words[edge, name] = age
        return True

    def in_prefix(self, watching: Watching, name: str) -> bool:
        return any(name in prefix for prefix in watching.prefixes.values())

    def hold(self, watching: Watching, name: str, start: str) -> None:
        made = watching.held[name] = Held(watching.edge, watching.holder, start, self.at, self.number)
        self.holds.append(made)

    def over(self, watching: Watching, name: str, at: float, told: bool) -> None:
        held = watching.held.pop(name)
        held.until, held.told = at, told

    def forget(self, watching: Watching, id_: int) -> None:
        """Ends one watch."""
        watching.functions.pop(id_, None)
        watching.prefixes.pop(id_, None)
        for name in [n for n in watching.held if not self.in_prefix(watching, n)]:
            self.over(watching, name, self.at, told=False)

    def drop(self, watching: Watching, at: float) -> None:
        """Ends all watches of a connection."""
        watching.functions.clear()
        watching.prefixes.clear()
        watching.serving.clear()
        for name in list(watching.held):
            self.over(watching, name, at, told=False)

    def finish(self, end: float) -> None:
        for connection in list(self.watching):
            self.closed(connection, end)
