"""The watcher's cache of instances: those in its prefixes, and a bounded number that were in one before.

Holders of different shards may be at different revisions, and several of them may send the same instance: the
entry with the newest revision wins. Instances that are in no prefix any more are retired, not removed,
so that a holder that is behind can't bring back an older incarnation. When too many are retired, the oldest
is evicted, and from then on snapshots older than its revision are rejected (`floor`).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lapistrestle.directory.digests import without_up_for
from lapistrestle.directory.revisions import Revisions
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.directory import LONGEST_UP_FOR, Revision
from lapistrestle.wire.messages import RosterEntry


@dataclass(eq=False, slots=True)
class CachedInstance:
    """An instance entry with the revision that it was received at."""

    entry: RosterEntry
    revision: Revision
    up_for_at: int  # when `entry.up_for` was correct, on the watcher's clock
    functions: set[str] = field(default_factory=set)  # functions whose prefix contains the instance

    @property
    def gone(self) -> bool:
        """Whether a holder has reported that the instance is gone."""
        return self.entry.listing == "gone"


@dataclass(slots=True)
class CacheChanges:
    """Changes in the cache since the last `take_event`; the dicts are ordered sets of names."""

    changed: dict[str, RosterEntry] = field(default_factory=dict)
    gone: dict[str, None] = field(default_factory=dict)
    evicted: dict[str, None] = field(default_factory=dict)
    functions: dict[str, None] = field(default_factory=dict)  # functions whose prefix has to be published


class CachedInstances:
    """All instances that a watcher has cached."""

    def __init__(self, revisions: Revisions, most_retired: int) -> None:
        self.revisions = revisions
        self.max_retired = most_retired
        self.known = dict[str, CachedInstance]()
        self.retired = dict[str, CachedInstance]()  # in no prefix any more, oldest first
        self.floor: Revision | None = None  # snapshots of an older revision are rejected
        self.changes = CacheChanges()

    def take_changes(self) -> CacheChanges:
        """Return the changes since the last call."""
        changes = self.changes
        self.changes = CacheChanges()
        return changes

    def apply_entry(self, entry: RosterEntry, revision: Revision, now: int) -> None:
        """Apply an entry received from a holder; one with an older revision is ignored."""
        known = self.known.get(entry.name) or self.restore(entry.name, now)
        if known is None:
            self.known[entry.name] = CachedInstance(entry, revision, now)
            self.changes.changed[entry.name] = entry
            return
        if self.revisions.is_older(revision, known.revision):
            return
        before = known.entry
        known.entry = entry
        known.revision = revision
        known.up_for_at = now
        if without_up_for(before) == without_up_for(entry):
            return
        self.changes.changed[entry.name] = entry
        self.changes.gone.pop(entry.name, None)
        if before.listing == "gone":
            self.changes.functions.update(dict.fromkeys(known.functions))

    def restore(self, name: str, now: int) -> CachedInstance | None:
        """Move an instance back from `retired` to `known`; `None` if it was not retired."""
        known = self.retired.pop(name, None)
        if known is None:
            return None
        self.known[name] = known
        self.changes.evicted.pop(name, None)
        known.entry = advance_up_for(known.entry, now - known.up_for_at)
        known.up_for_at = now
        if not known.gone:
            self.changes.changed[name] = known.entry
        return known

    def current_entries(self, names: Iterable[str], now: int) -> tuple[RosterEntry, ...]:
        """The entries of these instances, as of now; empty if one of them is unknown or gone."""
        entries = list[RosterEntry]()
        for name in names:
            known = self.known.get(name)
            if known is None or known.gone:
                return ()
            entries.append(advance_up_for(known.entry, now - known.up_for_at))
        return tuple(entries)

    def mark_gone(self, name: str, revision: Revision) -> None:
        """Mark an instance as gone, unless a newer revision of it is cached."""
        known = self.known.get(name) or self.retired.get(name)
        if known is None or known.gone or self.revisions.is_older(revision, known.revision):
            return
        known.entry = msgspec.structs.replace(known.entry, listing="gone")
        known.revision = revision
        self.changes.gone[name] = None
        self.changes.changed.pop(name, None)
        self.changes.functions.update(dict.fromkeys(known.functions))

    def replace_prefix(
        self, function: str, before: Iterable[str], after: Iterable[str], revision: Revision, now: int
    ) -> None:
        """Update which instances the prefix of a function contains, as of this revision."""
        old, new = set(before), set(after)
        for name in new - old:
            known = self.known.get(name) or self.restore(name, now)
            if known is None:  # in the prefix, but gone by the time the holder made the batch
                known = self.known[name] = CachedInstance(RosterEntry(name, listing="gone"), revision, now)
            known.functions.add(function)
        for name in old - new:
            known = self.known.get(name)
            if known is not None:
                known.functions.discard(function)

    def retire(self, names: Iterable[str]) -> None:
        """Retire those of these instances that are in no prefix any more, within `max_retired`."""
        for name in names:
            known = self.known.get(name)
            if known is None or known.functions:
                continue
            self.retired[name] = self.known.pop(name)
            self.changes.changed.pop(name, None)
            if not known.gone:
                self.changes.evicted[name] = None
        while len(self.retired) > self.max_retired:
            oldest = self.retired.pop(next(iter(self.retired)))
            if self.floor is None or self.revisions.is_older(self.floor, oldest.revision):
                self.floor = oldest.revision

    def names_not_gone(self, names: Iterable[str]) -> tuple[str, ...]:
        """Those of these names that are known and not gone, in the same order."""
        return tuple(name for name in names if name in self.known and not self.known[name].gone)


def advance_up_for(entry: RosterEntry, age: int) -> RosterEntry:
    """An entry with `up_for` advanced by `age` ticks."""
    if entry.up_for is None or age <= 0:
        return entry
    return msgspec.structs.replace(entry, up_for=min(LONGEST_UP_FOR, entry.up_for + age / MILLISECOND))
