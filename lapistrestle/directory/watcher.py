"""A dispatcher's side of the directory: the prefixes of the functions that it calls, and nothing else.

Events in, effects out (`take_effects`), the clock handed in. Times are whole ticks of a tenth of a
millisecond on the dispatcher's own clock; a lease counts from the moment before its request was sent.

The parts: look-ups that calls wait for (`lookups.py`), watches sent to holders (`watch_requests.py`), leases
(`leases.py`), connections and failover (`shard_connections.py`), what is cached (`prefix_cache.py`) and what
of the holders' messages is taken (`holder_messages.py`). Without a holder all that is cached stays, and
look-ups of other functions fail.
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

EXTENSION_THRESHOLD = 0.75  # of a prefix: a call beyond it has a longer one asked for
SHRINK_BELOW = 4  # a prefix of which less than one part in so many is used is cut to half
STANDSTILL_HEARTBEATS = 2  # without a call: the dispatcher itself stood still


class DirectoryWatcher:
    """Decides what is asked of which holder, and what of the answers is believed."""

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
        """`name` spreads watchers over copies; it is the same after a restart. `seed` draws the jitter."""
        self.name = name
        self.settings = settings
        self.log = log
        self.effects = list[WatcherEffect]()
        self.jitter = Jitter(seed)
        self.lookups = Lookups(settings, self.jitter, self.emit)
        self.cache = PrefixCache(settings.most_retired, self.lookups, self.emit)
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
        self.review_at = now + settings.idle

    def emit(self, effect: WatcherEffect) -> None:
        """Add an effect to those that `take_effects` returns."""
        self.effects.append(effect)

    def take_effects(self) -> list[WatcherEffect]:
        """What is to be done since the last call, in order."""
        effects = self.effects
        self.effects = []
        return effects

    # what is known

    @property
    def assignment(self) -> Assignment:
        """The assignment of shards to copies that holds."""
        return self.shard_connections.assignment

    @property
    def shards(self) -> dict[int, Shard]:
        """Shards of which functions are used here, by number."""
        return self.shard_connections.shards

    @property
    def connections(self) -> dict[int, HolderConnection]:
        """Connections that stand or are dialled, by number."""
        return self.shard_connections.connections

    @property
    def functions(self) -> OrderedDict[str, CachedFunction]:
        """Functions that are watched, by name, the one used longest ago first."""
        return self.cache.functions

    @property
    def instances(self) -> CachedInstances:
        """Instances in the prefixes of these functions."""
        return self.cache.instances

    def reachable_shards(self) -> int:
        """Shards with a holder that answers."""
        return self.shard_connections.reachable_shards()

    # calls

    def prefix_for(self, function: str, method: str, now: int) -> Prefix | None:
        """A call needs this function: its prefix if one is cached.

        Else `None`; then exactly one of `PrefixReady` and `LookupFailed` follows among the effects: within
        the look-up time-out, or at once where no holder can be reached. Further calls of the same function
        meanwhile share that look-up.
        """
        self.record_call(now)
        cached = self.functions.get(function)
        if cached is None:
            if len(self.functions) >= self.settings.most_functions:
                self.lookups.fail(function, self.settings.longest_pause)
                return None
            cached = self.watch_function(function, method, now)
        self.cache.record_use(cached, now)
        if cached.has_prefix:
            return Prefix(cached.published, cached.published_complete)
        if cached.deadline == NEVER:
            self.wait_for_prefix(cached, now)
        return None

    def watch_function(self, name: str, method: str, now: int) -> CachedFunction:
        """Begin to watch a function."""
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
        """A call waits for this function from now on; it fails at once where no copy can be reached."""
        shard = self.shards[function.shard]
        if shard.unreachable:
            self.lookups.fail(function.name, max(0, min(shard.dial_at, now + SECOND) - now))
            return
        self.lookups.begin(function, now)

    def function_used(self, function: str, position: int, now: int) -> None:
        """A call went to the instance at this position of the prefix.

        The function stays watched; where the position is near the end, a longer prefix is asked for, and
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
        """The prefix was not enough for a call; whether a longer one is (already) asked for.

        What a longer one brings must show before a yet longer one is asked for: else each jam would have the
        whole fleet listed within a few round trips.
        """
        self.record_call(now)
        cached = self.functions.get(function)
        if cached is None or (cached.has_prefix and cached.complete):
            return False
        if cached.pending_watch >= 0 or cached.retry_at != NEVER or not cached.has_prefix:
            return True
        if cached.count >= LONGEST_PREFIX or cached.watch < 0:
            return False
        if now - cached.extended_at < self.settings.extension_pause:
            return False
        cached.count = min(LONGEST_PREFIX, cached.count * 2)
        cached.extended_at = now
        self.send_watch_if_connected(cached, now)
        return True

    def send_watch_if_connected(self, function: CachedFunction, now: int) -> None:
        """Ask the function's holder for its prefix, if there is a connection to one."""
        self.requests.send_if_connected(self.shards[function.shard].connection, function, now)

    # the assignment, and connections as numbered by `Dial`

    def replace_assignment(self, assignment: Assignment, now: int) -> None:
        """The settings name other copies. An assignment of an older epoch is not taken."""
        self.record_call(now)
        if assignment.epoch <= self.assignment.epoch:
            self.log(f"assignment {assignment.epoch} not taken, {self.assignment.epoch} holds")
            return
        self.log(f"assignment {assignment.epoch} in place of {self.assignment.epoch}")
        self.requests.epoch = assignment.epoch
        self.messages.record_epoch(assignment.epoch)
        self.shard_connections.replace_assignment(assignment, self.functions.values(), now)

    def connection_ready(self, connection: int, now: int) -> None:
        """The connection stands and both ends have greeted."""
        self.record_call(now)
        ready = self.shard_connections.mark_ready(connection, now)
        if ready is not None:
            self.leases.renew(ready, now)
            self.requests.send_all(ready, self.shards[ready.shard].functions.values(), now)

    def connection_failed(self, connection: int, now: int) -> None:
        """The connection could not be opened."""
        self.record_call(now)
        self.shard_connections.fail_connection(connection, "can't be reached", now)

    def connection_lost(self, connection: int, now: int) -> None:
        """The connection broke, or the holder closed it."""
        self.record_call(now)
        self.shard_connections.fail_connection(connection, "connection lost", now)

    def message_received(self, connection: int, message: HolderMessage, now: int) -> None:
        """A holder has sent a message; on a connection that is given up it is passed over."""
        self.record_call(now)
        known = self.connections.get(connection)
        if known is not None:
            self.messages.receive(known, message, now)

    # time

    def record_call(self, now: int) -> None:
        """The program calls. After a standstill of its own it can't count the silence of others."""
        gap = now - self.last_call_at
        self.last_call_at = max(now, self.last_call_at)
        if gap > STANDSTILL_HEARTBEATS * self.settings.heartbeat:
            self.shard_connections.excuse_silence(now)

    def tick(self, now: int) -> None:
        """To be called when `next_due` has come, or soon after."""
        self.record_call(now)
        self.lookups.expire(now)
        self.retry_due_watches(now)
        for shard in list(self.shards.values()):
            self.check_shard(shard, now)
        self.remove_idle_functions(now)
        if now >= self.review_at:
            self.review_at = now + self.settings.idle
            for function in self.functions.values():
                self.shrink_prefix(function, now)
        self.cache.publish()

    def retry_due_watches(self, now: int) -> None:
        """Ask again for the functions whose time has come."""
        for at, name in self.requests.take_due(now):
            function = self.functions.get(name)
            if function is not None and function.retry_at == at:
                function.retry_at = NEVER
                self.send_watch_if_connected(function, now)

    def check_shard(self, shard: Shard, now: int) -> None:
        """What the passing of time means for a shard's connection."""
        connection = shard.connection
        if connection is None:
            self.shard_connections.dial_if_due(shard, now)
            return
        if not connection.is_ready:
            if now - connection.dialled_at >= self.settings.dial_time_out:
                self.shard_connections.fail_over(shard, "no connection in time", now)
            return
        loss = self.leases.loss(connection, now)
        if loss:
            self.shard_connections.fail_over(shard, loss, now)
            return
        if self.shard_connections.rebalance_if_due(shard, connection, now):
            return
        if now >= connection.renew_at:
            self.leases.renew(connection, now)

    def remove_idle_functions(self, now: int) -> None:
        """Watch functions no more that were unused for long."""
        while self.functions:
            function = next(iter(self.functions.values()))
            if now - function.used_at < self.settings.idle:
                break
            self.unwatch_function(function)

    def shrink_prefix(self, function: CachedFunction, now: int) -> None:
        """Ask for a shorter prefix where little of a long one was used since the last review."""
        used = function.furthest_used
        function.furthest_used = 0
        is_long = function.count > self.settings.first_count
        if is_long and used < function.count // SHRINK_BELOW and function.watch >= 0:
            function.count = max(self.settings.first_count, function.count // 2)
            self.send_watch_if_connected(function, now)

    def unwatch_function(self, function: CachedFunction) -> None:
        """Watch a function no more."""
        shard = self.shards[function.shard]
        del self.functions[function.name]
        self.shard_connections.remove_function(function)
        self.lookups.abandon(function)
        if shard.connection is not None and shard.connection.is_ready:
            self.requests.cancel(shard.connection, function)
        self.cache.remove(function, self.last_call_at)
        self.shard_connections.release_if_unused(shard)

    def next_due(self) -> int:
        """When `tick` is to be called next; it may have become earlier after any other call."""
        dues = [self.last_call_at + self.settings.heartbeat, self.review_at]
        if self.functions:
            dues.append(next(iter(self.functions.values())).used_at + self.settings.idle)
        dues.append(self.lookups.next_due())
        dues.append(self.requests.next_due())
        dues.extend(self.shard_due(shard) for shard in self.shards.values())
        return min(dues)

    def shard_due(self, shard: Shard) -> int:
        """When a shard's connection is to be looked after next."""
        connection = shard.connection
        if connection is None:
            return shard.dial_at if shard.functions else NEVER
        if not connection.is_ready:
            return connection.dialled_at + self.settings.dial_time_out
        return min(self.leases.next_due(connection), connection.rebalance_at)
