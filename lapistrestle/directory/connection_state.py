"""A watcher's state for each shard, for its connection to a replica, and for each watched function.

Times are ticks of 0.1 ms on the watcher's clock.
"""

from collections import deque
from dataclasses import dataclass, field

from lapistrestle.directory.assignment import ShardReplica
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.messages import RosterEntry


@dataclass(eq=False, slots=True)
class CachedFunction:
    """A function that this dispatcher calls, with its prefix."""

    name: str
    method: str
    shard: int
    count: int  # serving instances requested
    used_at: int
    has_prefix: bool = False  # a snapshot was received from some holder
    names: tuple[str, ...] = ()  # the prefix as received from the holder
    complete: bool = False
    published: tuple[str, ...] = ()  # the prefix as last sent to the edge: without instances that are gone
    published_complete: bool = False
    watch: int = -1  # id of the watch whose changes are applied; -1: none, the prefix may be outdated
    pending_watch: int = -1  # id of the watch request without an answer; -1: none
    retry_at: int = NEVER  # when the watch is requested again
    deadline: int = NEVER  # of the lookup that calls wait for; `NEVER`: no lookup is pending
    furthest_used: int = 0  # positions used, counted from the first, since the last review of the length
    extended_at: int = -NEVER  # when a longer prefix was last requested


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A watch request that was sent and not answered yet."""

    function: CachedFunction
    sent_at: int
    entries: tuple[RosterEntry, ...] = ()  # of the cached prefix whose digest was sent with the request
    complete: bool = False


@dataclass(eq=False, slots=True)
class HolderConnection:
    """A connection to a replica, from dialling on."""

    number: int
    shard: int
    replica: ShardReplica
    dialled_at: int
    is_ready: bool = False  # both ends have greeted
    has_answered: bool = False  # a snapshot received on it was accepted
    sequence: int = 0  # sequence number of the last batch or snapshot
    source: str | None = None  # the roster's epoch in the holder's last message
    lease_until: int = NEVER  # counted from when the request was sent; `NEVER`: none was granted yet
    renew_at: int = 0
    renewals: deque[int] = field(default_factory=deque)  # when each unanswered renewal was sent
    pending_requests: dict[int, PendingRequest] = field(default_factory=dict)  # by watch id, oldest first
    watches: dict[int, CachedFunction] = field(default_factory=dict)  # answered ones, by watch id
    silence_counted_from: int = 0  # silence before this time is not counted
    outdated_snapshots: int = 0  # consecutive snapshots that were older than the cache
    rebalance_at: int = NEVER  # when the preferred replica is tried again

    def silent_since(self) -> int:
        """Since when the oldest unanswered request waits; `NEVER` if none does."""
        sent = [self.renewals[0]] if self.renewals else []
        if self.pending_requests:
            sent.append(next(iter(self.pending_requests.values())).sent_at)
        return max(min(sent), self.silence_counted_from) if sent else NEVER

    def record_renewal(self, sent_at: int, lease: int) -> None:
        """Handle the answer to a renewal, which answers all earlier ones, too."""
        while self.renewals and self.renewals[0] <= sent_at:
            self.renewals.popleft()
        self.extend_lease(sent_at, lease)

    def extend_lease(self, sent_at: int, lease: int) -> None:
        """Extend the lease to `lease` ticks after the request was sent, however late the answer is."""
        until = sent_at + lease
        self.lease_until = until if self.lease_until == NEVER else max(until, self.lease_until)


@dataclass(eq=False, slots=True)
class Shard:
    """A shard with at least one function that this dispatcher calls."""

    number: int
    replicas: tuple[ShardReplica, ...]  # in the order in which they are tried
    replica_index: int = 0  # index of the replica that is connected or tried next
    connection: HolderConnection | None = None
    functions: dict[str, CachedFunction] = field(default_factory=dict)
    dial_at: int = NEVER
    failures: int = 0  # consecutive
    freshness_moves: int = 0  # consecutive changes of replica that found no fresher one
    next_freshness_move_at: int = 0  # earliest time of the next change of replica for freshness
    floor: Revision | None = None  # of the last message accepted; older snapshots are rejected
    avoided: dict[ShardReplica, int] = field(default_factory=dict)  # stale or unreachable, since when

    @property
    def unreachable(self) -> bool:
        """Whether every replica has failed since the last success."""
        return self.failures >= len(self.replicas)

    def select_next_replica(self) -> None:
        """Select the next replica, cyclically."""
        self.replica_index = (self.replica_index + 1) % len(self.replicas)
