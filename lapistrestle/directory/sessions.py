"""A holder's sessions (connections of watchers), and the batches of changes sent on them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from lapistrestle.directory.instances import RegionInstances
from lapistrestle.directory.prefixes import change_message
from lapistrestle.directory.rate_limits import TokenBucket
from lapistrestle.directory.watched_functions import WatchedFunctions
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import (
    MOST_IN_A_BATCH,
    Instance,
    PrefixChange,
    Revision,
    Update,
)

BURST_SECONDS = 4  # burst of a session, in seconds of its byte rate


@dataclass(eq=False, slots=True)
class Session:
    """One connection of a watcher."""

    number: int
    lease_until: int
    byte_limit: TokenBucket
    sequence: int = 0  # number of the last snapshot or batch
    watches: dict[int, str] = field(default_factory=dict)  # function by watch id
    watch_ids: dict[str, int] = field(default_factory=dict)  # watch id by function
    changed_instances: dict[str, bool] = field(default_factory=dict)  # to be sent; whether urgently
    changed_functions: dict[str, None] = field(default_factory=dict)  # functions whose prefix is to be sent
    due: int = NEVER  # when the next batch is sent
    sums_at: int = -NEVER  # when the region's sums were last sent

    def next_sequence(self) -> int:
        """Return the number of the next snapshot or batch."""
        self.sequence += 1
        return self.sequence

    @property
    def idle(self) -> bool:
        """Whether there is nothing to send."""
        return not self.changed_instances and not self.changed_functions


class Sessions:
    """All sessions ordered by the end of their lease, and a heap of the times of their next batches."""

    def __init__(self) -> None:
        self.all = OrderedDict[int, Session]()
        self.due_heap = list[tuple[int, int]]()  # a heap of (time, session), stale unless the session's `due`

    def open(self, number: int, lease_until: int, bytes_per_second: int, now: int) -> Session:
        """Open a session, whose lease ends at `lease_until` unless renewed."""
        bucket = TokenBucket.full(bytes_per_second, bytes_per_second * BURST_SECONDS, now)
        session = self.all[number] = Session(number, lease_until, bucket)
        return session

    def renew(self, session: Session, lease_until: int) -> None:
        """Extend a session's lease to `lease_until`."""
        session.lease_until = lease_until
        self.all.move_to_end(session.number)

    def expired(self, now: int) -> list[Session]:
        """Sessions whose lease has expired."""
        found = list[Session]()
        for session in self.all.values():
            if session.lease_until > now:
                break
            found.append(session)
        return found

    def schedule_batch(self, session: Session, at: int) -> None:
        """Schedule this session's next batch for `at`, unless it is due earlier."""
        if at < session.due:
            session.due = at
            heappush(self.due_heap, (at, session.number))

    def take_due(self, now: int) -> list[Session]:
        """Return the sessions whose batch is due, and clear their due times."""
        due = list[Session]()
        while self.due_heap and self.due_heap[0][0] <= now:
            at, number = heappop(self.due_heap)
            session = self.all.get(number)
            if session is not None and session.due == at:
                session.due = NEVER
                due.append(session)
        return due

    def next_due(self) -> int:
        """When the next batch is due; `NEVER` if none is scheduled."""
        while self.due_heap:
            at, number = self.due_heap[0]
            session = self.all.get(number)
            if session is not None and session.due == at:
                return at
            heappop(self.due_heap)
        return NEVER

    def next_expiry(self) -> int:
        """When the next lease ends; `NEVER` without sessions."""
        return next(iter(self.all.values())).lease_until if self.all else NEVER


class Batches:
    """Builds the updates sent on sessions."""

    def __init__(self, instances: RegionInstances, watched: WatchedFunctions) -> None:
        self.instances = instances
        self.watched = watched

    def urgent_update(self, session: Session, revision: Revision, now: int) -> Update | None:
        """An update with drains and removals only, for a session over its byte limit."""
        names = [name for name, urgent in session.changed_instances.items() if urgent][:MOST_IN_A_BATCH]
        return self.make_update(session, names, [], revision, now) if names else None

    def full_update(self, session: Session, revision: Revision, now: int) -> Update | None:
        """An update with everything to be sent, as far as it fits in one batch; urgent changes first."""
        if session.idle:
            return None
        urgent_first = sorted(session.changed_instances, key=lambda name: not session.changed_instances[name])
        names = dict.fromkeys(urgent_first[:MOST_IN_A_BATCH])
        changes, size = list[PrefixChange](), len(names)
        for function_name in list(session.changed_functions):
            if size >= MOST_IN_A_BATCH:
                break
            function = self.watched.functions[function_name]
            watch = function.watches[session.number]
            prefix = function.prefixes[watch.count]
            change = function.difference(watch.sent_prefix, prefix)
            if changes and size + change.size > MOST_IN_A_BATCH:
                break
            size += change.size
            if watch.sent_prefix != prefix:
                changes.append(change_message(watch.id, change, prefix))
                names.update(dict.fromkeys(name for _, name in change.inserted))
            watch.sent_prefix = prefix
            del session.changed_functions[function_name]
            self.watched.mark_current(function, session.number)
        return self.make_update(session, names, changes, revision, now) if names or changes else None

    def make_update(
        self,
        session: Session,
        names: Iterable[str],
        changes: list[PrefixChange],
        revision: Revision,
        now: int,
    ) -> Update:
        """Build an update from these instances and prefix changes, and clear the instances as sent."""
        entries, gone = list[Instance](), list[str]()
        for name in names:
            session.changed_instances.pop(name, None)
            instance = self.instances.known.get(name)
            if instance is None:
                gone.append(name)
            else:
                entries.append(instance.entry_at(now))
        return Update(session.next_sequence(), revision, entries, gone, changes)
