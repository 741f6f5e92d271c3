"""The instances that a watcher knows: those of its prefixes, and a bounded memory of those it knew before.

Holders of different shards may be at different revisions, and each instance may be sent by several of them.
The entry of the newest revision holds for each. What is remembered of an instance that left all prefixes
keeps a holder that is behind from bringing back an older incarnation; where that memory is full, its oldest
item goes, and nothing older than that item's revision is taken from any holder from then on.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lapistrestle.directory.digests import undated
from lapistrestle.directory.revisions import Revisions
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.directory import LONGEST_UP_FOR, Revision
from lapistrestle.wire.messages import RosterEntry


@dataclass(eq=False, slots=True)
class CachedInstance:
    """An instance, and from which revision this is known."""

    entry: RosterEntry
    revision: Revision
    dated_at: int  # when `up_for` was true, on the watcher's clock
    functions: set[str] = field(default_factory=set)  # that have it in their prefix

    @property
    def gone(self) -> bool:
        """Whether a holder has said that it is gone."""
        return self.entry.listing == "gone"


@dataclass(slots=True)
class WatchEvent:
    """What one message has changed."""

    changed: dict[str, RosterEntry] = field(default_factory=dict)
    gone: dict[str, None] = field(default_factory=dict)
    forgotten: dict[str, None] = field(default_factory=dict)
    functions: dict[str, None] = field(default_factory=dict)  # whose prefixes may be shown otherwise now


class CachedInstances:
    """All instances that a watcher knows."""

    def __init__(self, revisions: Revisions, most_retired: int) -> None:
        self.revisions = revisions
        self.most_retired = most_retired
        self.known = dict[str, CachedInstance]()
        self.retired = dict[str, CachedInstance]()  # in no prefix any more, the oldest first
        self.floor: Revision | None = None  # nothing older is taken
        self.event = WatchEvent()

    def take_event(self) -> WatchEvent:
        """What has changed since the last call."""
        event = self.event
        self.event = WatchEvent()
        return event

    def apply_entry(self, entry: RosterEntry, revision: Revision, now: int) -> None:
        """Take an entry that a holder has sent; one of an older revision is passed over."""
        known = self.known.get(entry.name) or self.restore(entry.name, now)
        if known is None:
            self.known[entry.name] = CachedInstance(entry, revision, now)
            self.event.changed[entry.name] = entry
            return
        if self.revisions.is_older(revision, known.revision):
            return
        before = known.entry
        known.entry = entry
        known.revision = revision
        known.dated_at = now
        if undated(before) == undated(entry):
            return
        self.event.changed[entry.name] = entry
        self.event.gone.pop(entry.name, None)
        if before.listing == "gone":
            self.event.functions.update(dict.fromkeys(known.functions))

    def restore(self, name: str, now: int) -> CachedInstance | None:
        """Bring back what is remembered of an instance that is named again."""
        known = self.retired.pop(name, None)
        if known is None:
            return None
        self.known[name] = known
        self.event.forgotten.pop(name, None)
        known.entry = aged(known.entry, now - known.dated_at)
        known.dated_at = now
        if not known.gone:
            self.event.changed[name] = known.entry
        return known

    def current_entries(self, names: Iterable[str], now: int) -> tuple[RosterEntry, ...]:
        """These instances as of now; nothing where one of them is not known or gone."""
        entries = list[RosterEntry]()
        for name in names:
            known = self.known.get(name)
            if known is None or known.gone:
                return ()
            entries.append(aged(known.entry, now - known.dated_at))
        return tuple(entries)

    def mark_gone(self, name: str, revision: Revision) -> None:
        """Take from a holder that an instance is gone, unless something newer is known."""
        known = self.known.get(name) or self.retired.get(name)
        if known is None or known.gone or self.revisions.is_older(revision, known.revision):
            return
        known.entry = msgspec.structs.replace(known.entry, listing="gone")
        known.revision = revision
        self.event.gone[name] = None
        self.event.changed.pop(name, None)
        self.event.functions.update(dict.fromkeys(known.functions))

    def replace_prefix(
        self, function: str, before: Iterable[str], after: Iterable[str], revision: Revision, now: int
    ) -> None:
        """A function's prefix has become another one, at this revision."""
        old, new = set(before), set(after)
        for name in new - old:
            known = self.known.get(name) or self.restore(name, now)
            if known is None:  # named, but gone by the time the batch was made
                known = self.known[name] = CachedInstance(RosterEntry(name, listing="gone"), revision, now)
            known.functions.add(function)
        for name in old - new:
            known = self.known.get(name)
            if known is not None:
                known.functions.discard(function)

    def retire(self, names: Iterable[str]) -> None:
        """Those of these instances that no prefix has any more go into the memory."""
        for name in names:
            known = self.known.get(name)
            if known is None or known.functions:
                continue
            self.retired[name] = self.known.pop(name)
            self.event.changed.pop(name, None)
            if not known.gone:
                self.event.forgotten[name] = None
        while len(self.retired) > self.most_retired:
            oldest = self.retired.pop(next(iter(self.retired)))
            if self.floor is None or self.revisions.is_older(self.floor, oldest.revision):
                self.floor = oldest.revision

    def usable(self, names: Iterable[str]) -> tuple[str, ...]:
        """Those that are known and not gone."""
        return tuple(name for name in names if name in self.known and not self.known[name].gone)


def aged(entry: RosterEntry, age: int) -> RosterEntry:
    """An entry whose `up_for` was true so long ago, with that of now."""
    if entry.up_for is None or age <= 0:
        return entry
    return msgspec.structs.replace(entry, up_for=min(LONGEST_UP_FOR, entry.up_for + age / MILLISECOND))
