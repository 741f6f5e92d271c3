"""All instances of a region as received from the roster: entries, start times and sums."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from lapistrestle.directory.digests import without_up_for
from lapistrestle.directory.hash_ring import InstanceRing
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire.directory import LONGEST_UP_FOR, RegionSums
from lapistrestle.wire.directory import Instance as WireInstance
from lapistrestle.wire.messages import RosterEntry


class ChangeKind(Enum):
    """How an entry differs from the instance known so far."""

    NEW = auto()
    URGENT = auto()  # drains, restarted, or has another address
    CHANGED = auto()
    SAME = auto()


@dataclass(eq=False, slots=True)
class RegionInstance:
    """One instance. `entry` has no `up_for`: it is computed from `started_at`, on the holder's clock."""

    entry: WireInstance
    started_at: int | None
    last_urgent_due: int = -(10**15)  # when its last urgent change is sent, at the earliest
    sent_entry_at: int = -1  # when `sent_entry` was made
    sent_entry: WireInstance | None = None  # with `up_for`, shared by all messages of one moment

    def entry_at(self, now: int) -> WireInstance:
        """The entry as sent now, with `up_for`."""
        if self.started_at is None:
            return self.entry
        if self.sent_entry is None or self.sent_entry_at != now:
            e = self.entry
            up_for = min(LONGEST_UP_FOR, max(0, now - self.started_at) / MILLISECOND)
            self.sent_entry = WireInstance(
                e.name, e.port, e.zone, e.cell, e.kind, e.size, e.listing, e.start, up_for
            )  # fmt: skip
            self.sent_entry_at = now
        return self.sent_entry


@dataclass(slots=True)
class Changes:
    """Names of the instances that a list or a change affected, by kind."""

    added: list[str] = field(default_factory=list)  # new, or of another size: points on the ring changed
    removed: list[str] = field(default_factory=list)
    urgent: list[str] = field(default_factory=list)  # drain, restarted, or have another address
    other: list[str] = field(default_factory=list)


class RegionCapacity:
    """Sums over the serving instances: count, size, and size weighted by slow start.

    Instances in slow start are grouped by the second of their start, so that computing the warm size takes as
    many steps as the ramp has seconds.
    """

    def __init__(self, ramp_time: int, cold_share: float) -> None:
        self.ramp_time = ramp_time
        self.cold_share = cold_share
        self.serving = 0
        self.size = 0.0
        self.by_second = dict[int, float]()  # sum of sizes by second of start, within the ramp

    def count(self, instance: RegionInstance, sign: int) -> None:
        """Add (`sign` 1) or subtract (-1) an instance, if it serves."""
        if instance.entry.listing != "serving":
            return
        self.serving += sign
        self.size += sign * instance.entry.size
        if instance.started_at is not None and self.ramp_time:
            second = instance.started_at // SECOND
            self.by_second[second] = self.by_second.get(second, 0.0) + sign * instance.entry.size

    def warm(self, now: int) -> float:
        """The sum of the sizes of serving instances, each times its current fraction of capacity."""
        unavailable = 0.0
        for second in [s for s in self.by_second if now - s * SECOND >= self.ramp_time + SECOND]:
            del self.by_second[second]
        for second, size in self.by_second.items():
            age = min(self.ramp_time, max(0, now - second * SECOND))
            unavailable += size * (1 - self.cold_share) * (1 - age / self.ramp_time)
        return max(0.0, self.size - unavailable)


class RegionInstances:
    """The region's instances and their hash ring."""

    def __init__(self, ramp_time: int = 0, cold_share: float = 1.0) -> None:
        self.ring = InstanceRing()
        self.known = dict[str, RegionInstance]()
        self.capacity = RegionCapacity(ramp_time, cold_share)

    def serves(self, name: str) -> bool:
        """Whether a known instance serves and does not drain."""
        return self.known[name].entry.listing == "serving"

    def sums(self, now: int) -> RegionSums:
        """Sums over all instances, as sent to watchers."""
        capacity = self.capacity
        size, warm = round(capacity.size, 3), round(capacity.warm(now), 3)
        return RegionSums(size, warm, capacity.serving, len(self.known))

    def apply(self, entries: Iterable[RosterEntry], complete: bool, now: int) -> Changes:
        """Apply a complete list or a change. After a complete list, instances not in it are removed."""
        changes = Changes()
        named = set[str]()
        for entry in entries:
            named.add(entry.name)
            self.apply_entry(entry, now, changes)
        if complete:
            for name in [name for name in self.known if name not in named]:
                self.remove(name, changes)
        return changes

    def apply_entry(self, entry: RosterEntry, now: int, changes: Changes) -> None:
        """Apply one entry, and record the result in `changes`."""
        known = self.known.get(entry.name)
        if entry.listing == "gone":
            if known is not None:
                self.remove(entry.name, changes)
            return
        change_kind = self.change_kind(known, entry)
        if change_kind is ChangeKind.SAME:
            return
        is_resized = known is None or known.entry.size != entry.size
        if known is None:
            known = self.known[entry.name] = RegionInstance(without_up_for(entry), start_time(entry, now))
        else:
            self.capacity.count(known, -1)
            if entry.start != known.entry.start or known.started_at is None:
                known.started_at = start_time(entry, now)
            known.entry = without_up_for(entry)
            known.sent_entry = None
        self.capacity.count(known, +1)
        if is_resized:
            self.ring.insert(entry.name, entry.size)
            changes.added.append(entry.name)
        if change_kind is not ChangeKind.NEW:
            (changes.urgent if change_kind is ChangeKind.URGENT else changes.other).append(entry.name)

    def change_kind(self, known: RegionInstance | None, entry: RosterEntry) -> ChangeKind:
        """How an entry differs from the instance known so far, if any."""
        if known is None:
            return ChangeKind.NEW
        old = known.entry
        if entry.start != old.start or (entry.port, entry.zone) != (old.port, old.zone):
            return ChangeKind.URGENT
        if entry.listing != old.listing:
            return ChangeKind.URGENT if entry.listing == "draining" else ChangeKind.CHANGED
        same = (entry.size, entry.cell, entry.kind) == (old.size, old.cell, old.kind)
        return ChangeKind.SAME if same else ChangeKind.CHANGED

    def remove(self, name: str, changes: Changes) -> None:
        """Remove an instance that is gone."""
        self.capacity.count(self.known.pop(name), -1)
        self.ring.remove(name)
        changes.removed.append(name)


def start_time(entry: RosterEntry, now: int) -> int | None:
    """When the instance started, on the clock of `now`; `None` if unknown."""
    return None if entry.up_for is None else now - int(entry.up_for * MILLISECOND)
