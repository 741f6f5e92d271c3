"""A watcher's connections to replicas of shards: dialling, failover, and choice of fresher replicas."""

from collections.abc import Callable, Iterable

from lapistrestle.directory.assignment import Assignment, ShardReplica
from lapistrestle.directory.connection_state import CachedFunction, HolderConnection, Shard
from lapistrestle.directory.effects import CloseConnection, Dial, WatcherEffect, WatcherSettings
from lapistrestle.directory.jitter import Jitter
from lapistrestle.directory.lookups import Lookups
from lapistrestle.ticks import MILLISECOND, NEVER, SECOND

AVOIDANCE_TIME = 10 * SECOND  # for which a replica found stale or unreachable is not switched to
MAX_MOVE_DOUBLINGS = 2  # of the delay between two changes of replica for freshness, when all are stale
MAX_DIAL_DOUBLINGS = 16  # of the dial backoff; `max_backoff` bounds it long before


class ShardConnections:
    """The shards with functions used here, each with at most one connection.

    Connections are numbered in `Dial`; no number is used twice.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        assignment: Assignment,
        settings: WatcherSettings,
        jitter: Jitter,
        lookups: Lookups,
        emit: Callable[[WatcherEffect], None],
        log: Callable[[str], None],
    ) -> None:
        """`name` and `zone` determine the order of replicas; `jitter` spreads delays."""
        self.name = name
        self.zone = zone
        self.assignment = assignment
        self.settings = settings
        self.jitter = jitter
        self.lookups = lookups
        self.emit = emit
        self.log = log
        self.shards = dict[int, Shard]()
        self.connections = dict[int, HolderConnection]()
        self.last_connection = 0

    # functions of a shard

    def add_function(self, function: CachedFunction) -> Shard:
        """Add a function to its shard, which is created for its first function."""
        shard = self.shards.get(function.shard)
        if shard is None:
            replicas = self.assignment.replicas_for(function.shard, self.name, self.zone)
            shard = self.shards[function.shard] = Shard(function.shard, replicas)
        shard.functions[function.name] = function
        return shard

    def remove_function(self, function: CachedFunction) -> None:
        """Remove a function from its shard."""
        self.shards[function.shard].functions.pop(function.name, None)

    def release_if_unused(self, shard: Shard) -> None:
        """Close the connection of a shard that has no functions."""
        if not shard.functions:
            self.disconnect(shard)
            shard.dial_at = NEVER

    def replace_assignment(
        self, assignment: Assignment, functions: Iterable[CachedFunction], now: int
    ) -> None:
        """Close all connections, redistribute the functions over the new shards, and dial their replicas."""
        for shard in self.shards.values():
            self.disconnect(shard)
        self.assignment = assignment
        self.shards = {}
        for function in functions:
            function.shard = assignment.shard_of(function.name)
            if function.shard not in self.shards:
                self.add_function(function).dial_at = now
            else:
                self.add_function(function)
        for shard in self.shards.values():
            self.dial_if_due(shard, now)

    # opening and closing connections

    def dial_if_due(self, shard: Shard, now: int) -> None:
        """Dial the selected replica, unless the shard has a connection, is in backoff or has no functions."""
        if shard.connection is not None or shard.dial_at > now or not shard.functions:
            return
        self.last_connection += 1
        replica = shard.replicas[shard.replica_index]
        connection = HolderConnection(self.last_connection, shard.number, replica, now)
        shard.connection = connection
        shard.dial_at = NEVER
        self.connections[connection.number] = connection
        self.emit(Dial(connection.number, shard.number, replica))

    def disconnect(self, shard: Shard) -> None:
        """Close the shard's connection; cached prefixes stay."""
        connection = shard.connection
        shard.connection = None
        if connection is not None and self.connections.pop(connection.number, None) is not None:
            self.emit(CloseConnection(connection.number))
        for function in shard.functions.values():
            function.watch = -1
            function.pending_watch = -1

    def mark_ready(self, number: int, now: int) -> HolderConnection | None:
        """Mark a connection as established; `None` if it is unknown or was established before.

        If the replica is not the preferred one, a random time is chosen at which that one is tried again.
        """
        connection = self.connections.get(number)
        if connection is None or connection.is_ready:
            return None
        connection.is_ready = True
        connection.silence_counted_from = now
        if self.shards[connection.shard].replica_index:
            rebalance = self.settings.rebalance_interval
            connection.rebalance_at = now + rebalance // 2 + self.jitter.below(rebalance)
        return connection

    def ignore_earlier_silence(self, now: int) -> None:
        """Ignore silence before now, after the dispatcher itself was stalled."""
        for connection in self.connections.values():
            connection.silence_counted_from = now
            connection.dialled_at = now

    # failover

    def fail_connection(self, number: int, reason: str, now: int) -> None:
        """Handle the end of a connection; an unknown one is ignored."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            self.fail_over(self.shards[connection.shard], reason, now)

    def fail_over(self, shard: Shard, reason: str, now: int) -> None:
        """Switch to the next replica after a failure, with exponential backoff and jitter."""
        connection = shard.connection
        self.disconnect(shard)
        shard.failures += 1
        doublings = min(MAX_DIAL_DOUBLINGS, shard.failures - 1)
        backoff = min(self.settings.max_backoff, self.settings.initial_backoff << doublings)
        shard.dial_at = now + backoff // 2 + self.jitter.below(backoff // 2 + 1)
        if connection is not None:
            shard.avoided[connection.replica] = now
            known = sum(function.has_prefix for function in shard.functions.values())
            figures = f"{known} of {len(shard.functions)} functions cached, {shard.failures} failures"
            self.log(f"shard {shard.number}: leaving {address_of(connection.replica)}: {reason}; {figures}")
        shard.select_next_replica()
        if shard.unreachable:
            self.lookups.fail_pending(shard.functions, shard.dial_at - now)

    def switch_replica(self, shard: Shard, to: int, reason: str, now: int) -> None:
        """Switch to the replica with index `to`, which may be better, though the current one answers."""
        self.log(f"shard {shard.number}: switching from replica {shard.replica_index} to {to}: {reason}")
        self.disconnect(shard)
        shard.replica_index = to
        shard.dial_at = now
        self.dial_if_due(shard, now)

    def rebalance_if_due(self, shard: Shard, connection: HolderConnection, now: int) -> bool:
        """Return to the preferred replica if that is due. Returns whether it was done."""
        if now < connection.rebalance_at:
            return False
        connection.rebalance_at = NEVER
        if self.is_avoided(shard, shard.replicas[0], now):
            return False
        self.switch_replica(shard, 0, "trying the preferred replica again", now)
        return True

    # freshness

    def switch_if_stale(self, connection: HolderConnection, age: int, now: int) -> None:
        """Switch to another replica if the holder's data is stale.

        Replicas that were recently found stale or unreachable are skipped. `age`: ticks since the holder's
        list was last known to be current.
        """
        shard = self.shards[connection.shard]
        if not age:
            shard.freshness_moves = 0
            shard.next_freshness_move_at = 0
        if age < self.settings.stale_age:
            return
        shard.avoided[connection.replica] = now
        if now < shard.next_freshness_move_at:
            return
        for step in range(1, len(shard.replicas)):
            at = (shard.replica_index + step) % len(shard.replicas)
            if not self.is_avoided(shard, shard.replicas[at], now):
                self.count_freshness_move(shard, now)
                self.switch_replica(shard, at, f"data {age / MILLISECOND:.0f} ms old", now)
                return

    def is_avoided(self, shard: Shard, replica: ShardReplica, now: int) -> bool:
        """Whether a replica was recently found stale or unreachable."""
        return now - shard.avoided.get(replica, -NEVER) < AVOIDANCE_TIME

    def count_freshness_move(self, shard: Shard, now: int) -> None:
        """Count a change of replica. After all were tried in vain, the delay before the next one doubles."""
        shard.freshness_moves += 1
        rounds = shard.freshness_moves - len(shard.replicas) + 1
        if rounds < 0:
            return
        delay = AVOIDANCE_TIME << min(rounds, MAX_MOVE_DOUBLINGS)
        shard.next_freshness_move_at = now + delay + self.jitter.below(delay)
        if not rounds:
            text = f"trying the last of {len(shard.replicas)} replicas for fresher data, then no more for"
            self.log(f"shard {shard.number}: {text} {(shard.next_freshness_move_at - now) / SECOND:.0f} s")

    # for operators

    def reachable_shards(self) -> int:
        """Number of shards with a holder that answers."""
        shards = self.shards.values()
        return sum(shard.connection is not None and shard.connection.has_answered for shard in shards)


def address_of(replica: ShardReplica) -> str:
    """Host and port of a replica, for the log."""
    return f"{replica.host}:{replica.port}"
