"""The watcher: a dispatcher's client of the directory, which caches the prefixes of the functions it calls.

Functions are divided into shards; holders serve the shards, and send changes of watched functions to
watchers. Watches are valid under a lease, which the watcher renews and which starts when its request is sent.

Free of I/O: events are method calls that get the current time, and their results are the effects returned by
`take_effects`. Times are whole ticks of 0.1 ms on the dispatcher's own clock.

Its parts: lookups that calls wait for (`lookups.py`), watch requests (`watch_requests.py`), leases
(`leases.py`), connections and failover (`shard_connections.py`), the cache (`prefix_cache.py`) and the
validation of holders' messages (`holder_messages.py`). Without a reachable holder the cache stays in use, and
lookups of other functions fail.
"""

from collections import OrderedDict
from collections.abc import Callable

from lapistrestle.directory.assignment import Assignment
from lapistrestle.directory.cached_instances import CachedInstances
from lapistrestle.directory.connection_state import CachedFunction, HolderConnection, Shard
from lapistrestle.directory.effects import WatcherEffect, WatcherSettings
from lapistrestle.directory.holder_messages import HolderMessages
from lapistrestle.directory.jitter import Jitter
from lapistrestle.directory.leases import LeaseRenewal
from lapistrestle.directory.lookups import Lookups
from lapistrestle.directory.prefix_cache import PrefixCache
from lapistrestle.directory.prefixes import Prefix
from lapistrestle.directory.shard_connections import ShardConnections
from lapistrestle.directory.watch_requests import WatchRequests
from lapistrestle.ticks import NEVER, SECOND
from lapistrestle.wire.directory import LONGEST_PREFIX, HolderMessage

EXTENSION_THRESHOLD = 0.75  # of a prefix; a call beyond it triggers the request of a longer one
SHRINK_DIVISOR = 4  # a prefix of which less than 1/4 was used since the last review is halved
STALL_HEARTBEATS = 2  # a longer gap between events means that the dispatcher itself was stalled
MAX_UNREACHABLE_RETRY = SECOND  # longest retry time of a lookup while no replica can be reached


class DirectoryWatcher:
    """Decides what is requested from which holder, and which answers are accepted."""

    def __init__(
        self,
        name: str,
        zone: str,
        assignment: Assignment,
        settings: WatcherSettings,
        seed: int,
        now: int,
        log: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`name` spreads watchers over replicas and must survive a restart. `seed` is for jitter."""
        self.name = name
        self.settings = settings
        self.log = log
        self.effects = list[WatcherEffect]()
        self.jitter = Jitter(seed)
        self.lookups = Lookups(settings, self.jitter, self.emit)
        self.cache = PrefixCache(settings.max_retired, self.lookups, self.emit)
        self.requests = WatchRequests(self.cache.instances, assignment.epoch, self.emit)
        self.leases = LeaseRenewal(settings, self.emit)
        self.shard_connections = ShardConnections(
            name, zone, assignment, settings, self.jitter, self.lookups, self.emit, log
        )
        self.messages = HolderMessages(
            settings, assignment.epoch, self.cache, self.shard_connections, self.requests, self.lookups,
            self.emit, log,
        )  # fmt: skip
        self.last_call_at = now
        self.review_at = now + settings.idle_timeout  # next review of the prefixes' lengths

    def emit(self, effect: WatcherEffect) -> None:
        """Add an effect to those that `take_effects` returns."""
        self.effects.append(effect)

    def take_effects(self) -> list[WatcherEffect]:
        """Return the effects since the last call, in order."""
        effects = self.effects
        self.effects = []
        return effects

    # state

    @property
    def assignment(self) -> Assignment:
        """The current assignment of shards to replicas."""
        return self.shard_connections.assignment

    @property
    def shards(self) -> dict[int, Shard]:
        """Shards with functions used here, by number."""
        return self.shard_connections.shards

    @property
    def connections(self) -> dict[int, HolderConnection]:
        """Established and pending connections, by number."""
        return self.shard_connections.connections

    @property
    def functions(self) -> OrderedDict[str, CachedFunction]:
        """Watched functions by name, least recently used first."""
        return self.cache.functions

    @property
    def instances(self) -> CachedInstances:
        """Instances in the prefixes of the watched functions."""
        return self.cache.instances

    def reachable_shards(self) -> int:
        """Number of shards with a holder that answers."""
        return self.shard_connections.reachable_shards()

    # calls

    def prefix_for(self, function: str, method: str, now: int) -> Prefix | None:
        """The cached prefix of a function that a call needs, or `None` if there is none.

        In the latter case exactly one of the effects `PrefixReady` and `LookupFailed` follows: within the
        lookup time-out, or at once if no holder can be reached. Further calls of the same function share the
        pending lookup.
        """
        self.detect_stall(now)
        cached = self.functions.get(function)
        if cached is None:
            if len(self.functions) >= self.settings.max_functions:
                self.lookups.fail(function, self.settings.max_backoff)
                return None
            cached = self.watch_function(function, method, now)
        self.cache.record_use(cached, now)
        if cached.has_prefix:
            return Prefix(cached.published, cached.published_complete)
        if cached.lookup_deadline == NEVER:
            self.wait_for_prefix(cached, now)
        return None

    def watch_function(self, name: str, method: str, now: int) -> CachedFunction:
        """Start watching a function; without a ready connection the request is sent once there is one."""
        number = self.assignment.shard_of(name)
        function = CachedFunction(name, method, number, self.settings.first_count, now)
        self.functions[name] = function
        shard = self.shard_connections.add_function(function)
        if shard.connection is None:
            shard.dial_at = now if shard.dial_at == NEVER else shard.dial_at
            self.shard_connections.dial_if_due(shard, now)
        elif shard.connection.is_ready:
            self.requests.send(shard.connection, function, now)
        return function

    def wait_for_prefix(self, function: CachedFunction, now: int) -> None:
        """Start a lookup of this function; it fails at once if no replica can be reached."""
        shard = self.shards[function.shard]
        if shard.unreachable:
            self.lookups.fail(function.name, max(0, min(shard.dial_at, now + MAX_UNREACHABLE_RETRY) - now))
            return
        self.lookups.start(function, now)

    def function_used(self, function: str, position: int, now: int) -> None:
        """Record that a call was sent to the instance at this position of the prefix.

        The function stays watched. If the position is near the end, a longer prefix is requested, and
        `PrefixReady` follows if there is one.
        """
        cached = self.functions.get(function)
        if cached is None:
            return
        self.cache.record_use(cached, now)
        cached.furthest_used = max(cached.furthest_used, position + 1)
        if position + 1 > EXTENSION_THRESHOLD * len(cached.published):
            self.extend_prefix(function, now)

    def extend_prefix(self, function: str, now: int) -> bool:
        """Request a longer prefix, since this one was not enough for a call.

        Returns whether a longer one is (already) requested. Extensions are spaced by `extension_interval`, so
        that each takes effect before the next one: otherwise an overload would extend the prefix to all
        instances within a few round trips.
        """
        self.detect_stall(now)
        cached = self.functions.get(function)
        if cached is None or (cached.has_prefix and cached.complete):
            return False
        if cached.pending_watch >= 0 or cached.retry_at != NEVER or not cached.has_prefix:
            return True
        if cached.count >= LONGEST_PREFIX or cached.watch < 0:
            return False
        if now - cached.extended_at < self.settings.extension_interval:
            return False
        cached.count = min(LONGEST_PREFIX, cached.count * 2)
        cached.extended_at = now
        self.send_watch_if_connected(cached, now)
        return True

    def send_watch_if_connected(self, function: CachedFunction, now: int) -> None:
        """Request the function's prefix from its shard's holder, if one is connected."""
        self.requests.send_if_connected(self.shards[function.shard].connection, function, now)

    # assignment, and events of the connections numbered by `Dial`

    def replace_assignment(self, assignment: Assignment, now: int) -> None:
        """Switch to a new assignment; one that is not of a higher epoch is ignored."""
        self.detect_stall(now)
        if assignment.epoch <= self.assignment.epoch:
            self.log(f"assignment {assignment.epoch} ignored: epoch {self.assignment.epoch} is current")
            return
        self.log(f"assignment {assignment.epoch} replaces {self.assignment.epoch}")
        self.requests.epoch = assignment.epoch
        self.messages.record_epoch(assignment.epoch)
        self.shard_connections.replace_assignment(assignment, self.functions.values(), now)

    def connection_ready(self, connection: int, now: int) -> None:
        """A connection is established: both ends have greeted."""
        self.detect_stall(now)
        ready = self.shard_connections.mark_ready(connection, now)
        if ready is not None:
            self.leases.renew(ready, now)
            self.requests.send_all(ready, self.shards[ready.shard_number].functions.values(), now)

    def connection_failed(self, connection: int, now: int) -> None:
        """A connection could not be opened."""
        self.detect_stall(now)
        self.shard_connections.fail_connection(connection, "connection failed", now)

    def connection_lost(self, connection: int, now: int) -> None:
        """A connection broke, or the holder closed it."""
        self.detect_stall(now)
        self.shard_connections.fail_connection(connection, "connection lost", now)

    def message_received(self, connection: int, message: HolderMessage, now: int) -> None:
        """A holder has sent a message; on a closed connection it is ignored."""
        self.detect_stall(now)
        known = self.connections.get(connection)
        if known is not None:
            self.messages.receive(known, message, now)

    # time

    def detect_stall(self, now: int) -> None:
        """Detect a stall by the time since the last event; silence of holders in that time doesn't count."""
        gap = now - self.last_call_at
        self.last_call_at = max(now, self.last_call_at)
        if gap > STALL_HEARTBEATS * self.settings.heartbeat:
            self.shard_connections.ignore_earlier_silence(now)

    def tick(self, now: int) -> None:
        """Handle time-outs and retries; to be called at `next_due` or soon after."""
        self.detect_stall(now)
        self.lookups.expire(now)
        self.retry_due_watches(now)
        for shard in list(self.shards.values()):
            self.check_shard(shard, now)
        self.remove_idle_functions(now)
        if now >= self.review_at:
            self.review_at = now + self.settings.idle_timeout
            for function in self.functions.values():
                self.shrink_prefix(function, now)
        self.cache.publish()

    def retry_due_watches(self, now: int) -> None:
        """Request the functions again whose retry is due."""
        for at, name in self.requests.take_due(now):
            function = self.functions.get(name)
            if function is not None and function.retry_at == at:
                function.retry_at = NEVER
                self.send_watch_if_connected(function, now)

    def check_shard(self, shard: Shard, now: int) -> None:
        """Handle the deadlines of a shard's connection: dial, fail over, rebalance or renew the lease."""
        connection = shard.connection
        if connection is None:
            self.shard_connections.dial_if_due(shard, now)
            return
        if not connection.is_ready:
            if now - connection.dialled_at >= self.settings.dial_timeout:
                self.shard_connections.fail_over(shard, "connection timed out", now)
            return
        loss = self.leases.loss_reason(connection, now)
        if loss:
            self.shard_connections.fail_over(shard, loss, now)
            return
        if self.shard_connections.rebalance_if_due(shard, connection, now):
            return
        if now >= connection.renew_at:
            self.leases.renew(connection, now)

    def remove_idle_functions(self, now: int) -> None:
        """Unwatch functions that have been unused for the idle time."""
        while self.functions:
            function = next(iter(self.functions.values()))
            if now - function.last_used_at < self.settings.idle_timeout:
                break
            self.unwatch_function(function)

    def shrink_prefix(self, function: CachedFunction, now: int) -> None:
        """Request a shorter prefix if little of a long one was used since the last review."""
        used = function.furthest_used
        function.furthest_used = 0
        was_extended = function.count > self.settings.first_count
        if was_extended and used < function.count // SHRINK_DIVISOR and function.watch >= 0:
            function.count = max(self.settings.first_count, function.count // 2)
            self.send_watch_if_connected(function, now)

    def unwatch_function(self, function: CachedFunction) -> None:
        """Stop watching a function."""
        shard = self.shards[function.shard]
        del self.functions[function.name]
        self.shard_connections.remove_function(function)
        self.lookups.cancel(function)
        if shard.connection is not None and shard.connection.is_ready:
            self.requests.cancel(shard.connection, function)
        self.cache.remove(function, self.last_call_at)
        self.shard_connections.release_if_unused(shard)

    def next_due(self) -> int:
        """When `tick` is to be called next; any other call may make it earlier."""
        dues = [self.last_call_at + self.settings.heartbeat, self.review_at]
        if self.functions:
            dues.append(next(iter(self.functions.values())).last_used_at + self.settings.idle_timeout)
        dues.append(self.lookups.next_due())
        dues.append(self.requests.next_due())
        dues.extend(self.shard_due(shard) for shard in self.shards.values())
        return min(dues)

    def shard_due(self, shard: Shard) -> int:
        """When a shard's connection has its next deadline."""
        connection = shard.connection
        if connection is None:
            return shard.dial_at if shard.functions else NEVER
        if not connection.is_ready:
            return connection.dialled_at + self.settings.dial_timeout
        return min(self.leases.next_due(connection), connection.rebalance_at)
