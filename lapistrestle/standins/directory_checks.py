"""What must hold for watchers and holders of the directory in every schedule, whatever breaks."""

from dataclasses import dataclass, field

from lapistrestle.directory import effects as directory
from lapistrestle.directory.instances import RegionInstances
from lapistrestle.directory.prefixes import Prefix
from lapistrestle.directory.watched_functions import max_prefix_length
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.messages import RosterEntry

LOOKUP_SLACK = 600  # tenths of a millisecond after its time-out by which a look-up must have ended


@dataclass
class Breaches:
    """Everything that went wrong, with its time."""

    found: list[str] = field(default_factory=list)

    def add(self, now: int, text: str) -> None:
        self.found.append(f"{now / 10_000:.4f} s: {text}")


@dataclass
class SessionRecord:
    """What a holder sent on one connection: the prefixes after each numbered message, by watch."""

    prefixes: dict[tuple[int, int], tuple[str, ...]] = field(default_factory=dict)  # by sequence and watch
    latest: dict[int, tuple[str, ...]] = field(default_factory=dict)
    lapsed_at: int = NEVER


@dataclass
class WatcherView:
    """What an edge knows by the effects of its watcher, and whether these are in order."""

    name: str
    breaches: Breaches
    entries: dict[str, RosterEntry] = field(default_factory=dict)
    prefixes: dict[str, tuple[tuple[str, ...], bool]] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)  # the latest incarnation of each instance
    gone: dict[str, int] = field(default_factory=dict)  # the latest incarnation that was told as gone
    waiting: dict[str, int] = field(default_factory=dict)  # look-ups by the time of their call
    lookups: list[int] = field(default_factory=list)  # how long those took that ended in a prefix
    failed: int = 0
    told_of: dict[tuple[str, int, str], int] = field(default_factory=dict)  # when a listing was first heard

    def take(self, effect: directory.WatcherEffect, now: int) -> None:
        if isinstance(effect, directory.InstancesChanged):
            for entry in effect.entries:
                self.changed(entry, now)
        elif isinstance(effect, directory.InstancesGone):
            for name in effect.names:
                self.told_gone(name, now)
        elif isinstance(effect, directory.InstancesEvicted):
            for name in effect.names:
                self.entries.pop(name, None)
        elif isinstance(effect, directory.PrefixReady):
            self.ready(effect, now)
        elif isinstance(effect, directory.LookupFailed):
            self.failed += 1
            if self.waiting.pop(effect.function, None) is None:
                self.breaches.add(
                    now, f"{self.name}: a failed look-up of {effect.function} that nobody waits for"
                )

    def changed(self, entry: RosterEntry, now: int) -> None:
        incarnation = int(entry.start)
        if incarnation < self.newest.get(entry.name, -1):
            self.breaches.add(now, f"{self.name}: {entry.name} goes back to incarnation {incarnation}")
        if incarnation <= self.gone.get(entry.name, -1):
            self.breaches.add(
                now, f"{self.name}: {entry.name} is back as incarnation {incarnation}, gone before"
            )
        self.newest[entry.name] = incarnation
        self.entries[entry.name] = entry
        self.told_of.setdefault((entry.name, incarnation, entry.listing), now)

    def told_gone(self, name: str, now: int) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.gone[name] = int(entry.start)
            self.told_of.setdefault((name, int(entry.start), "gone"), now)

    def ready(self, effect: directory.PrefixReady, now: int) -> None:
        unknown = [name for name in effect.names if name not in self.entries]
        if unknown:
            self.breaches.add(now, f"{self.name}: the prefix of {effect.function} names unknown {unknown}")
        self.prefixes[effect.function] = effect.names, effect.complete
        since = self.waiting.pop(effect.function, None)
        if since is not None:
            self.lookups.append(now - since)

    def check_waiting(self, time_out: int, now: int) -> None:
        for function, since in list(self.waiting.items()):
            if now > since + time_out + LOOKUP_SLACK:
                self.breaches.add(
                    now, f"{self.name}: the look-up of {function} had no end after its time-out"
                )
                del self.waiting[function]


def check_floors(
    watcher: DirectoryWatcher, before: dict[int, Revision], order: list[str], now: int, breaches: Breaches
) -> None:
    """No shard's knowledge goes back, in the order in which the roster's epochs truly began."""
    for number, shard in watcher.shards.items():
        floor = shard.floor
        if floor is None:
            continue
        old = before.get(number)
        if old is not None and place(floor, order) < place(old, order):
            breaches.add(now, f"{watcher.name}: shard {number} goes back from {old} to {floor}")
        before[number] = floor


def place(revision: Revision, order: list[str]) -> tuple[int, int]:
    return order.index(revision.source), revision.number


def true_prefix(truth: RegionInstances, function: str, count: int) -> Prefix:
    """The prefix by its definition, from a ring that was made anew."""
    names, serving = list[str](), 0
    for known in truth.ring.places(function):
        if serving >= count or len(names) >= max_prefix_length(count):
            break
        names.append(known.name)
        serving += truth.serves(known.name)
    return Prefix(tuple(names), len(names) == len(truth.ring))


def check_end(
    watcher: DirectoryWatcher, view: WatcherView, truth: RegionInstances, now: int, breaches: Breaches
) -> None:
    """Once all faults are over a watcher knows what is true, of each function that it uses."""
    for name, function in watcher.functions.items():
        prefix = true_prefix(truth, name, function.count)
        if not function.has_prefix or (function.names, function.complete) != (prefix.names, prefix.complete):
            text = f"{function.names} {function.complete}, not {prefix.names} {prefix.complete}"
            breaches.add(now, f"{watcher.name}: {name} ends as {text}")
            continue
        if view.prefixes[name] != (prefix.names, prefix.complete):
            breaches.add(
                now, f"{watcher.name}: {name} was shown as {view.prefixes[name]}, not {prefix.names}"
            )
        for member in prefix.names:
            shown, true = view.entries.get(member), truth.known[member].entry
            if shown is None or (shown.start, shown.listing, shown.size) != (
                true.start,
                true.listing,
                true.size,
            ):
                breaches.add(now, f"{watcher.name}: {member} is shown as {shown}, not {true}")
