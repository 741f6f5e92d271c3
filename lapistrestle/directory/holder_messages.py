"""Validation of the messages that holders send to a watcher, and their effect on its cache.

Snapshots of an older epoch, or older than what the shard's holders sent before, are rejected. Each batch is
applied once and in sequence; after a gap new snapshots are requested.
"""

from collections.abc import Callable

from lapistrestle.directory.cached_instances import advance_up_for
from lapistrestle.directory.connection_state import CachedFunction, HolderConnection, PendingRequest, Shard
from lapistrestle.directory.effects import RegionSumsChanged, WatcherEffect, WatcherSettings
from lapistrestle.directory.lookups import Lookups
from lapistrestle.directory.prefix_cache import PrefixCache
from lapistrestle.directory.prefixes import RevisionGapError, apply_change
from lapistrestle.directory.shard_connections import ShardConnections
from lapistrestle.directory.watch_requests import WatchRequests
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.directory import (
    Busy,
    HolderMessage,
    InspectResponse,
    PrefixChange,
    RefusalReason,
    Refused,
    RegionSums,
    Renewed,
    Revision,
    Snapshot,
    Unchanged,
    Update,
)
from lapistrestle.wire.messages import RosterEntry

MAX_OUTDATED_SNAPSHOTS = 3  # consecutive ones, before another replica is tried
OUTDATED_RETRY_DELAY = 100 * MILLISECOND  # before a watch is requested again from a holder that is behind


class HolderMessages:
    """Applies holders' messages to the cache, and fails over from holders that are behind or refuse."""

    def __init__(
        self,
        settings: WatcherSettings,
        epoch: int,
        cache: PrefixCache,
        connections: ShardConnections,
        requests: WatchRequests,
        lookups: Lookups,
        emit: Callable[[WatcherEffect], None],
        log: Callable[[str], None],
    ) -> None:
        """`epoch`: of the assignment."""
        self.settings = settings
        self.epoch_seen = epoch  # the highest seen; snapshots of an older epoch are rejected
        self.cache = cache
        self.connections = connections
        self.requests = requests
        self.lookups = lookups
        self.emit = emit
        self.log = log
        self.sums = RegionSums()

    def receive(self, connection: HolderConnection, message: HolderMessage, now: int) -> None:
        """Apply a message of a holder."""
        match message:
            case Snapshot() | Unchanged():
                self.apply_snapshot(connection, message, now)
            case Update():
                self.apply_update(connection, message, now)
            case Renewed():
                self.apply_renewal(connection, message, now)
            case Busy():
                self.apply_busy(connection, message, now)
            case Refused():
                self.apply_refusal(connection, message, now)
            case InspectResponse():
                pass  # answers operators only

    def record_epoch(self, epoch: int) -> None:
        """Record that an assignment of this epoch exists."""
        self.epoch_seen = max(self.epoch_seen, epoch)

    # the sequence of batches

    def in_sequence(self, connection: HolderConnection, sequence: int, now: int) -> bool:
        """Whether a batch follows the last one. After a gap all functions are requested again."""
        if sequence == connection.sequence + 1:
            connection.sequence = sequence
            return True
        if sequence > connection.sequence:
            self.resync(connection, f"batch {sequence} after {connection.sequence}", now)
            connection.sequence = sequence
        return False

    def resync(self, connection: HolderConnection, reason: str, now: int) -> None:
        """Request new snapshots of all functions of a connection."""
        self.log(
            f"shard {connection.shard_number}: requesting all {len(connection.watches)} watches: {reason}"
        )
        connection.watches.clear()
        connection.pending_requests.clear()
        for function in self.shard_of(connection).functions.values():
            function.watch = -1
            self.requests.send(connection, function, now)

    def record_source(self, connection: HolderConnection, revision: Revision, now: int) -> None:
        """Record the roster's epoch in a holder's message; a holder never returns to an earlier epoch."""
        if connection.source is not None and connection.source != revision.source:
            self.cache.revisions.record_superseded([connection.source], revision.source, now)
        connection.source = revision.source

    # snapshots

    def apply_snapshot(self, connection: HolderConnection, snapshot: Snapshot | Unchanged, now: int) -> None:
        """Apply the answer to a watch: a snapshot, or that the prefix cached at the request is current."""
        if not self.in_sequence(connection, snapshot.sequence, now):
            return
        pending = self.requests.take_request(connection, snapshot.id)
        if pending is None:
            return
        if snapshot.epoch < self.epoch_seen:
            reason = f"epoch {snapshot.epoch}, not {self.epoch_seen}"
            self.connections.fail_over(self.shard_of(connection), reason, now)
            return
        self.record_source(connection, snapshot.revision, now)
        self.cache.revisions.record_superseded(snapshot.superseded, snapshot.revision.source, now)
        if self.is_outdated(self.shard_of(connection), snapshot.revision, snapshot.age, now):
            self.retry_outdated(connection, pending.function, snapshot.revision, now)
            return
        self.accept_snapshot(connection, pending, snapshot, now)
        self.store_prefix(pending, snapshot, now)
        self.cache.publish()
        self.connections.switch_if_stale(connection, snapshot.age, now)

    def is_outdated(self, shard: Shard, revision: Revision, age: int, now: int) -> bool:
        """Whether a snapshot is older than what the shard's holders sent before."""
        revisions = self.cache.revisions
        if not revisions.is_acceptable(revision.source, age, now):
            return True
        floors = (shard.floor, self.cache.instances.floor)
        return any(floor is not None and revisions.is_older(revision, floor) for floor in floors)

    def retry_outdated(
        self, connection: HolderConnection, function: CachedFunction, revision: Revision, now: int
    ) -> None:
        """Retry a holder that is behind after a short delay; fail over if it stays behind."""
        connection.outdated_snapshots += 1
        most = MAX_OUTDATED_SNAPSHOTS + len(connection.pending_requests)
        if connection.outdated_snapshots >= most:
            reason = f"its data is older: {revision.source} {revision.number}"
            self.connections.fail_over(self.shard_of(connection), reason, now)
            return
        self.requests.schedule_retry(function, now + OUTDATED_RETRY_DELAY)

    def accept_snapshot(
        self,
        connection: HolderConnection,
        pending: PendingRequest,
        snapshot: Snapshot | Unchanged,
        now: int,
    ) -> None:
        """Record the lease and the revision, and apply changes of this watch from now on."""
        function = pending.function
        shard = self.shard_of(connection)
        connection.outdated_snapshots = 0
        self.cache.revisions.record_seen(snapshot.revision.source, now)
        shard.floor = snapshot.revision
        shard.failures = 0
        connection.has_answered = True
        connection.extend_lease(pending.sent_at, snapshot.lease)
        connection.watches.pop(function.watch, None)
        connection.watches[snapshot.id] = function
        function.watch = snapshot.id

    def store_prefix(self, pending: PendingRequest, snapshot: Snapshot | Unchanged, now: int) -> None:
        """Store the instances and the prefix in the cache."""
        if isinstance(snapshot, Snapshot):
            entries: list[RosterEntry] = [
                advance_up_for(entry, snapshot.up_for_age) for entry in snapshot.entries
            ]
            complete = snapshot.complete
        else:
            entries = [advance_up_for(entry, now - pending.sent_at) for entry in pending.entries]
            complete = pending.complete
        for entry in entries:
            self.cache.instances.apply_entry(entry, snapshot.revision, now)
        pending.function.has_prefix = True
        names = tuple(entry.name for entry in entries)
        self.cache.replace_prefix(pending.function, names, complete, snapshot.revision, now)

    # changes

    def apply_update(self, connection: HolderConnection, update: Update, now: int) -> None:
        """Apply a batch of changes. After a gap, instances are applied but not changes of prefixes."""
        is_new = update.sequence > connection.sequence
        in_sequence = self.in_sequence(connection, update.sequence, now)
        if not is_new or not connection.has_answered:
            return
        self.record_source(connection, update.revision, now)
        self.cache.revisions.record_seen(update.revision.source, now)
        for entry in update.entries:
            self.cache.instances.apply_entry(entry, update.revision, now)
        for name in update.gone:
            self.cache.instances.mark_gone(name, update.revision)
        if in_sequence:
            self.shard_of(connection).floor = update.revision
            for change in update.changes:
                self.apply_prefix_change(connection, change, update.revision, now)
        self.cache.instances.retire(entry.name for entry in update.entries)
        self.cache.publish()

    def apply_prefix_change(
        self, connection: HolderConnection, change: PrefixChange, revision: Revision, now: int
    ) -> None:
        """Apply a change to one watch's prefix; if it doesn't fit, request a new snapshot."""
        function = connection.watches.get(change.id)
        if function is None:
            return
        try:
            names = apply_change(function.names, change)
        except RevisionGapError as error:
            self.log(f"requesting {function.name} again: {error}")
            del connection.watches[change.id]
            function.watch = -1
            current = self.connections.shards[function.shard].connection
            self.requests.send_if_connected(current, function, now)
            return
        self.cache.replace_prefix(function, names, change.complete, revision, now)

    # other answers

    def apply_renewal(self, connection: HolderConnection, renewed: Renewed, now: int) -> None:
        """Handle the answer to a renewal; its sequence number shows whether a batch was lost."""
        connection.record_renewal(renewed.sent_at, renewed.lease)
        self.record_source(connection, renewed.revision, now)
        if renewed.sequence != connection.sequence:
            reason = f"batch {renewed.sequence} lost after {connection.sequence}"
            self.resync(connection, reason, now)
            connection.sequence = max(connection.sequence, renewed.sequence)
        if renewed.sums is not None and renewed.sums != self.sums:
            self.sums = renewed.sums
            self.emit(RegionSumsChanged(renewed.sums))
        if connection.has_answered:
            self.cache.revisions.record_seen(renewed.revision.source, now)
        self.connections.switch_if_stale(connection, renewed.age, now)

    def apply_busy(self, connection: HolderConnection, busy: Busy, now: int) -> None:
        """Schedule a retry at an overloaded holder; fail the lookup if its deadline is earlier."""
        pending = self.requests.take_request(connection, busy.id)
        if pending is None:
            return
        function = pending.function
        self.requests.schedule_retry(function, now + busy.retry_after)
        if function.name in self.lookups.pending and now + busy.retry_after >= function.lookup_deadline:
            self.lookups.fail(function.name, busy.retry_after)

    def apply_refusal(self, connection: HolderConnection, refused: Refused, now: int) -> None:
        """Fail over from a holder that does not serve a watch; retry later if it has too many watches."""
        pending = self.requests.take_request(connection, refused.id)
        if pending is None:
            return
        function = pending.function
        if refused.reason == RefusalReason.TOO_MANY_WATCHES:
            self.requests.schedule_retry(function, now + self.settings.max_backoff)
            if function.name in self.lookups.pending:
                self.lookups.fail(function.name, self.settings.max_backoff)
            return
        if refused.reason == RefusalReason.OLD_EPOCH:
            self.record_epoch(refused.epoch)
        reason = f"refused as {refused.reason.value}, epoch {refused.epoch}"
        self.connections.fail_over(self.shard_of(connection), reason, now)

    def shard_of(self, connection: HolderConnection) -> Shard:
        """The shard of a connection."""
        return self.connections.shards[connection.shard_number]
