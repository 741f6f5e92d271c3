"""Invariants of the directory's watchers and holders that hold in every schedule, under every fault."""

from dataclasses import dataclass, field

from lapistrestle.directory import effects as directory
from lapistrestle.directory.instances import RegionInstances
from lapistrestle.directory.prefixes import Prefix
from lapistrestle.directory.watched_functions import max_prefix_length
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.messages import RosterEntry

LOOKUP_SLACK = 600  # ticks of 0.1 ms: a look-up must end within its time-out plus this


@dataclass
class Violations:
    """Violated invariants, each as a message with its time in seconds."""

    found: list[str] = field(default_factory=list)

    def add(self, now: int, text: str) -> None:
        self.found.append(f"{now / 10_000:.4f} s: {text}")


@dataclass
class SessionRecord:
    """The prefixes that a holder sent on one connection, after each numbered message and for each watch."""

    prefixes: dict[tuple[int, int], tuple[str, ...]] = field(default_factory=dict)  # by (sequence, watch)
    latest: dict[int, tuple[str, ...]] = field(default_factory=dict)
    expired_at: int = NEVER


@dataclass
class WatcherView:
    """An edge's state built from the effects of its watcher; checks the order of the effects."""

    name: str
    breaches: Violations
    entries: dict[str, RosterEntry] = field(default_factory=dict)
    prefixes: dict[str, tuple[tuple[str, ...], bool]] = field(default_factory=dict)
    latest_incarnations: dict[str, int] = field(default_factory=dict)  # by instance
    gone_incarnations: dict[str, int] = field(default_factory=dict)  # latest one reported as gone
    pending_lookups: dict[str, int] = field(default_factory=dict)  # start time by function
    lookups: list[int] = field(default_factory=list)  # durations of the successful look-ups, in ticks
    failed: int = 0
    told_of: dict[tuple[str, int, str], int] = field(default_factory=dict)  # first report, by listing

    def take(self, effect: directory.WatcherEffect, now: int) -> None:
        if isinstance(effect, directory.InstancesChanged):
            for entry in effect.entries:
                self.instance_changed(entry, now)
        elif isinstance(effect, directory.InstancesGone):
            for name in effect.names:
                self.instance_gone(name, now)
        elif isinstance(effect, directory.InstancesEvicted):
            for name in effect.names:
                self.entries.pop(name, None)
        elif isinstance(effect, directory.PrefixReady):
            self.prefix_ready(effect, now)
        elif isinstance(effect, directory.LookupFailed):
            self.failed += 1
            if self.pending_lookups.pop(effect.function, None) is None:
                self.breaches.add(
                    now, f"{self.name}: a failed look-up of {effect.function} that is not pending"
                )

    def instance_changed(self, entry: RosterEntry, now: int) -> None:
        incarnation = int(entry.start)
        if incarnation < self.latest_incarnations.get(entry.name, -1):
            self.breaches.add(now, f"{self.name}: {entry.name} goes back to incarnation {incarnation}")
        if incarnation <= self.gone_incarnations.get(entry.name, -1):
            self.breaches.add(
                now, f"{self.name}: {entry.name} returns as incarnation {incarnation}, which was gone"
            )
        self.latest_incarnations[entry.name] = incarnation
        self.entries[entry.name] = entry
        self.told_of.setdefault((entry.name, incarnation, entry.listing), now)

    def instance_gone(self, name: str, now: int) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.gone_incarnations[name] = int(entry.start)
            self.told_of.setdefault((name, int(entry.start), "gone"), now)

    def prefix_ready(self, effect: directory.PrefixReady, now: int) -> None:
        unknown = [name for name in effect.names if name not in self.entries]
        if unknown:
            self.breaches.add(now, f"{self.name}: the prefix of {effect.function} names unknown {unknown}")
        self.prefixes[effect.function] = effect.names, effect.complete
        started_at = self.pending_lookups.pop(effect.function, None)
        if started_at is not None:
            self.lookups.append(now - started_at)

    def check_lookup_timeouts(self, time_out: int, now: int) -> None:
        for function, started_at in list(self.pending_lookups.items()):
            if now > started_at + time_out + LOOKUP_SLACK:
                self.breaches.add(
                    now, f"{self.name}: the look-up of {function} did not end after its time-out"
                )
                del self.pending_lookups[function]


def check_revisions(
    watcher: DirectoryWatcher,
    last_revisions: dict[int, Revision],
    epochs: list[str],
    now: int,
    breaches: Violations,
) -> None:
    """Checks that no shard's revision decreases; `epochs` is the order in which the roster's epochs began."""
    for number, shard in watcher.shards.items():
        revision = shard.floor
        if revision is None:
            continue
        old = last_revisions.get(number)
        if old is not None and revision_position(revision, epochs) < revision_position(old, epochs):
            breaches.add(now, f"{watcher.name}: shard {number} goes back from {old} to {revision}")
        last_revisions[number] = revision


def revision_position(revision: Revision, epochs: list[str]) -> tuple[int, int]:
    return epochs.index(revision.source), revision.number


def true_prefix(truth: RegionInstances, function: str, count: int) -> Prefix:
    """Computes the expected prefix by its definition, from a complete ring."""
    names, serving = list[str](), 0
    for known in truth.ring.places(function):
        if serving >= count or len(names) >= max_prefix_length(count):
            break
        names.append(known.name)
        serving += truth.serves(known.name)
    return Prefix(tuple(names), len(names) == len(truth.ring))


def check_end(
    watcher: DirectoryWatcher, view: WatcherView, truth: RegionInstances, now: int, breaches: Violations
) -> None:
    """Checks that a watcher has the correct prefix of each function in use once all faults are over."""
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
