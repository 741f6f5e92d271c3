"""What a holder keeps for each connection of a watcher, and the batches that it sends there."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from lapistrestle.directory.instances import RegionInstances
from lapistrestle.directory.prefixes import change_message
from lapistrestle.directory.rate_limits import TokenBucket
from lapistrestle.directory.watched_functions import WatchedFunctions
from lapistrestle.wire.directory import (
    MOST_IN_A_BATCH,
    Instance,
    PrefixChange,
    Revision,
    Update,
)

NEVER = 2**62
BURST_SECONDS = 4  # of a session's bytes that may be saved up


@dataclass(eq=False, slots=True)
class Session:
    """One connection of a watcher."""

    number: int
    lease_until: int
    bytes: TokenBucket
    sequence: int = 0  # of the last snapshot or batch
    watches: dict[int, str] = field(default_factory=dict)  # functions by watch id
    ids: dict[str, int] = field(default_factory=dict)  # and the other way round
    names: dict[str, bool] = field(default_factory=dict)  # instances to tell of, and whether that is urgent
    behind: dict[str, None] = field(default_factory=dict)  # functions whose prefix is to be told
    due: int = NEVER  # the next batch
    sums_at: int = -NEVER  # when sums were sent last

    def next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    @property
    def idle(self) -> bool:
        """Nothing is to be told."""
        return not self.names and not self.behind


class Sessions:
    """All sessions, those whose lease ends first ahead, and when each is to be sent its next batch."""

    def __init__(self) -> None:
        self.all = OrderedDict[int, Session]()
        self.dues = list[tuple[int, int]]()  # a heap; an item that is not its session's `due` is void

    def open(self, number: int, lease_until: int, bytes_per_second: int, now: int) -> Session:
        bucket = TokenBucket.full(bytes_per_second, bytes_per_second * BURST_SECONDS, now)
        session = self.all[number] = Session(number, lease_until, bucket)
        return session

    def renewed(self, session: Session, lease_until: int) -> None:
        session.lease_until = lease_until
        self.all.move_to_end(session.number)

    def lapsed(self, now: int) -> list[Session]:
        """Sessions whose lease is over."""
        found = list[Session]()
        for session in self.all.values():
            if session.lease_until > now:
                break
            found.append(session)
        return found

    def due_by(self, session: Session, at: int) -> None:
        """Let this session's next batch be sent at this time at the latest."""
        if at < session.due:
            session.due = at
            heappush(self.dues, (at, session.number))

    def take_due(self, now: int) -> list[Session]:
        """Sessions whose batch is due, which is then none's any more."""
        due = list[Session]()
        while self.dues and self.dues[0][0] <= now:
            at, number = heappop(self.dues)
            session = self.all.get(number)
            if session is not None and session.due == at:
                session.due = NEVER
                due.append(session)
        return due

    def next_due(self) -> int:
        while self.dues:
            at, number = self.dues[0]
            session = self.all.get(number)
            if session is not None and session.due == at:
                return at
            heappop(self.dues)
        return NEVER

    def next_lapse(self) -> int:
        return next(iter(self.all.values())).lease_until if self.all else NEVER


class Batches:
    """Makes the updates of sessions."""

    def __init__(self, instances: RegionInstances, watched: WatchedFunctions) -> None:
        self.instances, self.watched = instances, watched

    def urgent(self, session: Session, revision: Revision, now: int) -> Update | None:
        """Drains and departures alone, for a session that may not be sent more."""
        names = [name for name, urgent in session.names.items() if urgent][:MOST_IN_A_BATCH]
        return self.update(session, names, [], revision, now) if names else None

    def all(self, session: Session, revision: Revision, now: int) -> Update | None:
        """Everything that there is to tell, as far as it fits one batch."""
        if session.idle:
            return None
        urgent_first = sorted(session.names, key=lambda name: not session.names[name])
        names = dict.fromkeys(urgent_first[:MOST_IN_A_BATCH])
        changes, size = list[PrefixChange](), len(names)
        for function in list(session.behind):
            if size >= MOST_IN_A_BATCH:
                break
            known = self.watched.functions[function]
            watch = known.watches[session.number]
            prefix = known.prefixes[watch.count]
            change = known.difference(watch.told, prefix)
            if changes and size + change.size > MOST_IN_A_BATCH:
                break
            size += change.size
            if watch.told != prefix:
                changes.append(change_message(watch.id, change, prefix))
                names.update(dict.fromkeys(name for _, name in change.inserted))
            watch.told = prefix
            del session.behind[function]
            self.watched.caught_up(known, session.number)
        return self.update(session, names, changes, revision, now) if names or changes else None

    def update(
        self,
        session: Session,
        names: Iterable[str],
        changes: list[PrefixChange],
        revision: Revision,
        now: int,
    ) -> Update:
        entries, gone = list[Instance](), list[str]()
        for name in names:
            session.names.pop(name, None)
            instance = self.instances.known.get(name)
            if instance is None:
                gone.append(name)
            else:
                entries.append(instance.entry_at(now))
        return Update(session.next_sequence(), revision, entries, gone, changes)
