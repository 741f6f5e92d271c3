"""A dispatcher's side of the directory: the prefixes of the functions that it calls, and nothing else.

Events in, effects out (`take`), the clock handed in. Times are whole tenths of a millisecond on the
dispatcher's own clock; a lease counts from the moment before its question was sent.

Of what is told, an older epoch is not taken, nor a snapshot older than what the shard's holders told before,
nor word of an instance that is older than what is known of it. A batch is taken once and in its turn; a gap
leads to fresh snapshots. Without a holder all that is known stays, and look-ups of other functions fail.
"""

from collections import OrderedDict
from collections.abc import Callable
from heapq import heappop, heappush

from lapistrestle.directory.assignment import Assignment, Copy
from lapistrestle.directory.cached_instances import CachedInstances, aged
from lapistrestle.directory.connection_state import (
    NEVER,
    CachedFunction,
    HolderConnection,
    PendingRequest,
    Shard,
)
from lapistrestle.directory.digests import digest_of
from lapistrestle.directory.effects import (
    MILLISECOND,
    SECOND,
    Dial,
    HangUp,
    InstancesChanged,
    InstancesForgotten,
    InstancesGone,
    LookupFailed,
    PrefixReady,
    Send,
    SumsChanged,
    WatcherEffect,
    WatcherSettings,
)
from lapistrestle.directory.prefixes import Prefix as Prefix
from lapistrestle.directory.prefixes import RevisionGapError, apply_change
from lapistrestle.directory.rate_limits import Jitter
from lapistrestle.directory.revisions import Revisions
from lapistrestle.wire.directory import (
    LONGEST_PREFIX,
    Busy,
    InspectResponse,
    PrefixChange,
    RefusalReason,
    Refused,
    RegionSums,
    Renew,
    Renewed,
    Revision,
    Snapshot,
    Unchanged,
    Unwatch,
    Update,
    Watch,
)

EXTENSION_THRESHOLD = 0.75  # of a prefix: a call there has a longer one asked for
MOST_OLDER = 3  # snapshots in a row that are too old, before another copy is tried
OLDER_PAUSE = 100 * MILLISECOND  # before a holder that is behind is asked again
AVOIDED_FOR = (
    10 * SECOND
)  # a copy found stale or unreachable is not changed over to for the sake of freshness
MOST_DOUBLINGS = 2  # of the pause between two such changes where all copies are as stale
STANDSTILL_BEATS = 2  # heartbeats without a call: the dispatcher itself stood still


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
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`name` spreads watchers over copies; it is the same after a restart. `seed` draws the jitter."""
        self.name, self.zone, self.assignment, self.settings = name, zone, assignment, settings
        self.log, self.jitter = log, Jitter(seed)
        self.effects = list[WatcherEffect]()
        self.revisions = Revisions()
        self.instances = CachedInstances(self.revisions, settings.most_retired)
        self.functions = OrderedDict[str, CachedFunction]()  # the one used longest ago first
        self.shards = dict[int, Shard]()
        self.connections = dict[int, HolderConnection]()
        self.pending = dict[str, None]()  # functions that calls wait for, the oldest look-up first
        self.retries = list[tuple[int, str]]()  # a heap: when a function is asked for again
        self.sums = RegionSums()
        self.epoch_seen = assignment.epoch
        self.last_connection = self.last_watch = 0
        self.called_at = now
        self.review_at = now + settings.idle

    def take_effects(self) -> list[WatcherEffect]:
        """What is to be done since the last call, in order."""
        effects, self.effects = self.effects, []
        return effects

    # calls

    def prefix_for(self, function: str, method: str, now: int) -> Prefix | None:
        """A call needs this function: its prefix if one is known.

        Else `None`; then exactly one of `PrefixReady` and `LookupFailed` follows among the effects: within
        the look-up time-out, or at once where no holder can be reached. Further calls of the same function
        meanwhile share that look-up.
        """
        self.called(now)
        known = self.functions.get(function)
        if known is None:
            if len(self.functions) >= self.settings.most_functions:
                self.fail(function, self.settings.longest_pause)
                return None
            known = self.start(function, method, now)
        self.functions.move_to_end(function)
        known.used_at = now
        if known.known:
            return Prefix(known.shown, known.shown_complete)
        if known.deadline == NEVER:
            self.look_up(known, now)
        return None

    def start(self, name: str, method: str, now: int) -> CachedFunction:
        """Begin to watch a function."""
        number = self.assignment.shard_of(name)
        shard = self.shards.get(number)
        if shard is None:
            copies = self.assignment.copies_for(number, self.name, self.zone)
            shard = self.shards[number] = Shard(number, copies)
        function = CachedFunction(name, method, number, self.settings.first_count, now)
        self.functions[name] = shard.functions[name] = function
        if shard.connection is None:
            shard.dial_at = now if shard.dial_at == NEVER else shard.dial_at
            self.dial_due(shard, now)
        elif shard.connection.up:
            self.ask(shard.connection, function, now)
        return function

    def look_up(self, function: CachedFunction, now: int) -> None:
        """A call waits for this function from now on."""
        shard = self.shards[function.shard]
        if shard.unreachable:
            return self.fail(function.name, max(0, min(shard.dial_at, now + SECOND) - now))
        if len(self.pending) >= self.settings.most_pending:
            return self.fail(function.name, self.settings.lookup_time_out)
        function.deadline = now + self.settings.lookup_time_out
        self.pending[function.name] = None

    def fail(self, function: str, retry_after: int) -> None:
        """A look-up is over without a prefix."""
        if function in self.pending:
            del self.pending[function]
            self.functions[function].deadline = NEVER
        spread = self.jitter.below(self.settings.lookup_time_out)
        self.effects.append(LookupFailed(function, max(self.settings.first_pause, retry_after) + spread))

    def function_used(self, function: str, position: int, now: int) -> None:
        """A call went to the instance at this position of the prefix.

        The function stays watched; where the position is near the end, a longer prefix is asked for, and
        `PrefixReady` follows if there is one.
        """
        known = self.functions.get(function)
        if known is None:
            return
        self.functions.move_to_end(function)
        known.used_at, known.reach = now, max(known.reach, position + 1)
        if position + 1 > EXTENSION_THRESHOLD * len(known.shown):
            self.extend_prefix(function, now)

    def extend_prefix(self, function: str, now: int) -> bool:
        """The prefix was not enough for a call; whether a longer one is (already) asked for.

        What a longer one brings must show before a yet longer one is asked for: else each jam would have the
        whole fleet listed within a few round trips.
        """
        self.called(now)
        known = self.functions.get(function)
        if known is None or (known.known and known.complete):
            return False
        if known.pending_watch >= 0 or known.retry_at != NEVER or not known.known:
            return True
        if known.count >= LONGEST_PREFIX or known.watch < 0:
            return False
        if now - known.extended_at < self.settings.extension_pause:
            return False
        known.count, known.extended_at = min(LONGEST_PREFIX, known.count * 2), now
        self.ask_if_up(known, now)
        return True

    def replace_assignment(self, assignment: Assignment, now: int) -> None:
        """The settings name other copies. An assignment of an older epoch is not taken."""
        self.called(now)
        if assignment.epoch <= self.assignment.epoch:
            return self.log(f"assignment {assignment.epoch} not taken, {self.assignment.epoch} holds")
        self.log(f"assignment {assignment.epoch} in place of {self.assignment.epoch}")
        for shard in self.shards.values():
            self.part(shard)
        self.assignment, self.shards = assignment, {}
        self.epoch_seen = max(self.epoch_seen, assignment.epoch)
        for name, function in self.functions.items():
            function.shard = assignment.shard_of(name)
            if function.shard not in self.shards:
                copies = assignment.copies_for(function.shard, self.name, self.zone)
                self.shards[function.shard] = Shard(function.shard, copies, dial_at=now)
            self.shards[function.shard].functions[name] = function
        for shard in self.shards.values():
            self.dial_due(shard, now)

    # connections, as numbered by `Dial`

    def dial_due(self, shard: Shard, now: int) -> None:
        if shard.connection is not None or shard.dial_at > now or not shard.functions:
            return
        self.last_connection += 1
        copy = shard.copies[shard.at]
        connection = HolderConnection(self.last_connection, shard.number, copy, now)
        shard.connection, shard.dial_at = connection, NEVER
        self.connections[connection.number] = connection
        self.effects.append(Dial(connection.number, shard.number, copy))

    def part(self, shard: Shard) -> None:
        """Give up the shard's connection; what is known stays known."""
        connection, shard.connection = shard.connection, None
        if connection is not None and self.connections.pop(connection.number, None) is not None:
            self.effects.append(HangUp(connection.number))
        for function in shard.functions.values():
            function.watch = function.pending_watch = -1

    def connection_ready(self, connection: int, now: int) -> None:
        """The connection stands and both ends have greeted."""
        self.called(now)
        known = self.connections.get(connection)
        if known is None or known.up:
            return
        known.up, known.patience_from = True, now
        shard = self.shards[known.shard]
        if shard.at:
            rebalance = self.settings.rebalance
            known.return_at = now + rebalance // 2 + self.jitter.below(rebalance)
        self.renew(known, now)
        self.ask_all(known, now)

    def ask_all(self, connection: HolderConnection, now: int) -> None:
        """Ask for a snapshot of each function, those that calls wait for first."""
        functions = self.shards[connection.shard].functions.values()
        for function in sorted(functions, key=lambda function: (function.known, function.deadline)):
            self.ask(connection, function, now)

    def ask(self, connection: HolderConnection, function: CachedFunction, now: int) -> None:
        self.last_watch += 1
        function.pending_watch, function.retry_at = self.last_watch, NEVER
        pending = connection.pending_requests[self.last_watch] = PendingRequest(function, now)
        watch = Watch(
            self.last_watch, function.shard, self.assignment.epoch, function.name, function.count,
            function.method, self.digest(pending, now), function.known,
        )  # fmt: skip
        self.effects.append(Send(connection.number, watch))

    def digest(self, pending: PendingRequest, now: int) -> str:
        """Of the prefix that is known from before, where it is to be watched again; else nothing."""
        function = pending.function
        if not function.known or function.watch >= 0:
            return ""
        pending.held, pending.complete = self.instances.held(function.names, now), function.complete
        return digest_of(pending.held, pending.complete) if pending.held else ""

    def ask_if_up(self, function: CachedFunction, now: int) -> None:
        """Else it is asked for once there is a connection."""
        connection = self.shards[function.shard].connection
        if connection is not None and connection.up and function.pending_watch < 0:
            self.ask(connection, function, now)

    def ask_later(self, function: CachedFunction, at: int) -> None:
        function.retry_at = at
        heappush(self.retries, (at, function.name))

    def renew(self, connection: HolderConnection, now: int) -> None:
        connection.renewals.append(now)
        connection.renew_at = now + self.settings.heartbeat
        self.effects.append(Send(connection.number, Renew(now)))

    def connection_failed(self, connection: int, now: int) -> None:
        """It could not be opened."""
        self.called(now)
        self.lost(connection, "can't be reached", now)

    def connection_lost(self, connection: int, now: int) -> None:
        """It broke, or the holder closed it."""
        self.called(now)
        self.lost(connection, "connection lost", now)

    def lost(self, connection: int, why: str, now: int) -> None:
        known = self.connections.pop(connection, None)
        if known is not None:
            self.hop(self.shards[known.shard], why, now)

    def hop(self, shard: Shard, why: str, now: int) -> None:
        """On to the next copy after a failure; the pause before it grows with failures in a row."""
        connection = shard.connection
        self.part(shard)
        shard.failures += 1
        pause = min(self.settings.longest_pause, self.settings.first_pause << min(16, shard.failures - 1))
        shard.dial_at = now + pause // 2 + self.jitter.below(pause // 2 + 1)
        if connection is not None:
            shard.avoided[connection.copy] = now
            known = sum(function.known for function in shard.functions.values())
            figures = f"{known} of {len(shard.functions)} functions known, {shard.failures} failures"
            self.log(f"shard {shard.number} leaves {place_of(connection.copy)}: {why}; {figures}")
        shard.move_on()
        if shard.unreachable:
            for name in [name for name in self.pending if name in shard.functions]:
                self.fail(name, shard.dial_at - now)

    def change_over(self, shard: Shard, to: int, why: str, now: int) -> None:
        """To another copy that may be better, though this one answers."""
        self.log(f"shard {shard.number} changes over from copy {shard.at} to {to}: {why}")
        self.part(shard)
        shard.at, shard.dial_at = to, now
        self.dial_due(shard, now)

    # what holders say

    def message_received(
        self,
        connection: int,
        message: Snapshot | Unchanged | Update | Renewed | Busy | Refused | InspectResponse,
        now: int,
    ) -> None:
        """A holder says something."""
        self.called(now)
        known = self.connections.get(connection)
        if known is None:
            return
        if isinstance(message, Snapshot | Unchanged):
            self.snapshot(known, message, now)
        elif isinstance(message, Update):
            self.update(known, message, now)
        elif isinstance(message, Renewed):
            self.renewed(known, message, now)
        elif isinstance(message, Busy):
            self.busy(known, message, now)
        elif isinstance(message, Refused):
            self.turned_away(known, message, now)

    def in_turn(self, connection: HolderConnection, sequence: int, now: int) -> bool:
        """Whether a batch follows the last one. A gap has all functions asked for anew."""
        if sequence == connection.sequence + 1:
            connection.sequence = sequence
            return True
        if sequence > connection.sequence:
            self.resync(connection, f"batch {sequence} after {connection.sequence}", now)
            connection.sequence = sequence
        return False

    def resync(self, connection: HolderConnection, why: str, now: int) -> None:
        self.log(f"shard {connection.shard} asks for all {len(connection.watches)} watches anew: {why}")
        connection.watches.clear()
        connection.pending_requests.clear()
        for function in self.shards[connection.shard].functions.values():
            function.watch = -1
            self.ask(connection, function, now)

    def spoke(self, connection: HolderConnection, revision: Revision, now: int) -> None:
        """A holder told how new its knowledge is."""
        if connection.source is not None and connection.source != revision.source:
            self.revisions.superseded([connection.source], revision.source, now)
        connection.source = revision.source

    def snapshot(self, connection: HolderConnection, snapshot: Snapshot | Unchanged, now: int) -> None:
        """A prefix as a whole: told now, or what was held when the watch was sent, whatever came since."""
        if not self.in_turn(connection, snapshot.sequence, now):
            return
        pending = connection.pending_requests.pop(snapshot.id, None)
        if pending is None:
            return
        function = pending.function
        function.pending_watch = -1
        if snapshot.epoch < self.epoch_seen:
            return self.hop_from(connection, f"epoch {snapshot.epoch}, not {self.epoch_seen}", now)
        self.spoke(connection, snapshot.revision, now)
        self.revisions.superseded(snapshot.superseded, snapshot.revision.source, now)
        shard = self.shards[connection.shard]
        if self.is_older(shard, snapshot.revision, snapshot.age, now):
            return self.too_old(connection, function, snapshot.revision, now)
        connection.older = 0
        self.revisions.seen(snapshot.revision.source, now)
        shard.floor, shard.failures, connection.proven = snapshot.revision, 0, True
        connection.leased(pending.asked, snapshot.lease)
        connection.watches.pop(function.watch, None)
        connection.watches[snapshot.id], function.watch = function, snapshot.id
        if isinstance(snapshot, Snapshot):
            entries = [aged(entry, snapshot.up_for_age) for entry in snapshot.entries]
            complete = snapshot.complete
        else:
            entries = [aged(entry, now - pending.asked) for entry in pending.held]
            complete = pending.complete
        for entry in entries:
            self.instances.told(entry, snapshot.revision, now)
        function.known = True
        names = tuple(entry.name for entry in entries)
        self.set_names(function, names, complete, snapshot.revision, now)
        self.tell()
        self.weigh_age(connection, snapshot.age, now)

    def is_older(self, shard: Shard, revision: Revision, age: int, now: int) -> bool:
        if not self.revisions.acceptable(revision.source, age, now):
            return True
        floors = (shard.floor, self.instances.floor)
        return any(floor is not None and self.revisions.older(revision, floor) for floor in floors)

    def too_old(
        self, connection: HolderConnection, function: CachedFunction, revision: Revision, now: int
    ) -> None:
        """The holder is behind what another told: it is asked again soon, and left if it stays so."""
        connection.older += 1
        if connection.older >= MOST_OLDER + len(connection.pending_requests):
            text = f"its knowledge is older: {revision.source} {revision.number}"
            return self.hop_from(connection, text, now)
        self.ask_later(function, now + OLDER_PAUSE)

    def hop_from(self, connection: HolderConnection, why: str, now: int) -> None:
        self.hop(self.shards[connection.shard], why, now)

    def set_names(
        self, function: CachedFunction, names: tuple[str, ...], complete: bool, revision: Revision, now: int
    ) -> None:
        before, function.names, function.complete = function.names, names, complete
        self.instances.used_by(function.name, before, names, revision, now)
        self.instances.retire(before)
        self.instances.news.functions[function.name] = None

    def update(self, connection: HolderConnection, update: Update, now: int) -> None:
        following = update.sequence > connection.sequence
        in_turn = self.in_turn(connection, update.sequence, now)
        if not following or not connection.proven:
            return
        self.spoke(connection, update.revision, now)
        self.revisions.seen(update.revision.source, now)
        for entry in update.entries:
            self.instances.told(entry, update.revision, now)
        for name in update.gone:
            self.instances.told_gone(name, update.revision)
        if in_turn:
            self.shards[connection.shard].floor = update.revision
            for change in update.changes:
                self.apply(connection, change, update.revision, now)
        self.instances.retire(entry.name for entry in update.entries)
        self.tell()

    def apply(self, connection: HolderConnection, change: PrefixChange, revision: Revision, now: int) -> None:
        function = connection.watches.get(change.id)
        if function is None:
            return
        try:
            names = apply_change(function.names, change)
        except RevisionGapError as error:
            self.log(f"{function.name} is asked for anew: {error}")
            del connection.watches[change.id]
            function.watch = -1
            return self.ask_if_up(function, now)
        self.set_names(function, names, change.complete, revision, now)

    def renewed(self, connection: HolderConnection, renewed: Renewed, now: int) -> None:
        connection.renewed(renewed.sent_at, renewed.lease)
        self.spoke(connection, renewed.revision, now)
        if renewed.sequence != connection.sequence:
            self.resync(connection, f"batch {renewed.sequence} lost after {connection.sequence}", now)
            connection.sequence = max(connection.sequence, renewed.sequence)
        if renewed.sums is not None and renewed.sums != self.sums:
            self.sums = renewed.sums
            self.effects.append(SumsChanged(renewed.sums))
        if connection.proven:
            self.revisions.seen(renewed.revision.source, now)
        self.weigh_age(connection, renewed.age, now)

    def weigh_age(self, connection: HolderConnection, age: int, now: int) -> None:
        """The holder may not hear its roster: another copy is tried, if none was lately found no better."""
        shard = self.shards[connection.shard]
        if not age:
            shard.moves = shard.next_move_at = 0
        if age < self.settings.stale:
            return
        shard.avoided[connection.copy] = now
        if now < shard.next_move_at:
            return
        for step in range(1, len(shard.copies)):
            at = (shard.at + step) % len(shard.copies)
            if now - shard.avoided.get(shard.copies[at], -NEVER) >= AVOIDED_FOR:
                self.moved(shard, now)
                return self.change_over(shard, at, f"knowledge {age / 10:.0f} ms old", now)

    def moved(self, shard: Shard, now: int) -> None:
        """After a round of all copies in vain each further move waits for about twice as long."""
        shard.moves += 1
        rounds = shard.moves - len(shard.copies) + 1
        if rounds < 0:
            return
        pause = AVOIDED_FOR << min(rounds, MOST_DOUBLINGS)
        shard.next_move_at = now + pause + self.jitter.below(pause)
        if not rounds:
            text = f"the last of {len(shard.copies)} copies is tried for fresher knowledge, then no more for"
            self.log(f"shard {shard.number}: {text} {(shard.next_move_at - now) / SECOND:.0f} s")

    def busy(self, connection: HolderConnection, busy: Busy, now: int) -> None:
        """The holder has more to send than it may: again later, and calls that can't wait so long fail."""
        pending = connection.pending_requests.pop(busy.id, None)
        if pending is None:
            return
        function = pending.function
        function.pending_watch = -1
        self.ask_later(function, now + busy.retry_after)
        if function.name in self.pending and now + busy.retry_after >= function.deadline:
            self.fail(function.name, busy.retry_after)

    def turned_away(self, connection: HolderConnection, refused: Refused, now: int) -> None:
        pending = connection.pending_requests.pop(refused.id, None)
        if pending is None:
            return
        function = pending.function
        function.pending_watch = -1
        if refused.reason == RefusalReason.TOO_MANY_WATCHES:
            self.ask_later(function, now + self.settings.longest_pause)
            if function.name in self.pending:
                self.fail(function.name, self.settings.longest_pause)
            return
        if refused.reason == RefusalReason.OLD_EPOCH:
            self.epoch_seen = max(self.epoch_seen, refused.epoch)
        self.hop_from(connection, f"refused as {refused.reason}, epoch {refused.epoch}", now)

    def tell(self) -> None:
        """Tell the edge what has changed: instances ahead of the prefixes that name them."""
        news = self.instances.take_news()
        if news.changed:
            self.effects.append(InstancesChanged(tuple(news.changed.values())))
        if news.gone:
            self.effects.append(InstancesGone(tuple(news.gone)))
        for name in news.functions:
            function = self.functions.get(name)
            if function is not None and function.known:
                self.show(function)
        if news.forgotten:
            self.effects.append(InstancesForgotten(tuple(news.forgotten)))

    def show(self, function: CachedFunction) -> None:
        names = self.instances.usable(function.names)
        waited = function.name in self.pending
        self.pending.pop(function.name, None)
        function.deadline = NEVER
        if waited or (names, function.complete) != (function.shown, function.shown_complete):
            function.shown, function.shown_complete = names, function.complete
            self.effects.append(PrefixReady(function.name, names, function.complete))

    # time

    def called(self, now: int) -> None:
        """The program calls. After a standstill of its own it can't count the silence of others."""
        gap = now - self.called_at
        self.called_at = max(now, self.called_at)
        if gap > STANDSTILL_BEATS * self.settings.heartbeat:
            for connection in self.connections.values():
                connection.patience_from = connection.dialled = now

    def tick(self, now: int) -> None:
        """To be called when `next_due` has come, or soon after."""
        self.called(now)
        self.time_out(now)
        self.ask_again(now)
        for shard in list(self.shards.values()):
            self.attend(shard, now)
        self.lapse(now)

    def time_out(self, now: int) -> None:
        for name in list(self.pending):
            if self.functions[name].deadline > now:
                break
            self.fail(name, self.settings.lookup_time_out)

    def ask_again(self, now: int) -> None:
        while self.retries and self.retries[0][0] <= now:
            at, name = heappop(self.retries)
            function = self.functions.get(name)
            if function is not None and function.retry_at == at:
                function.retry_at = NEVER
                self.ask_if_up(function, now)

    def attend(self, shard: Shard, now: int) -> None:
        """What the passing of time means for a shard's connection."""
        connection = shard.connection
        if connection is None:
            return self.dial_due(shard, now)
        if not connection.up:
            if now - connection.dialled >= self.settings.dial_time_out:
                self.hop(shard, "no connection in time", now)
            return
        if now >= connection.lease_until:
            return self.hop(shard, "the lease is over", now)
        silent = now - connection.silent_since()
        if silent >= self.settings.silence:
            return self.hop(shard, f"silent for {silent / 10:.0f} ms", now)
        if now >= connection.return_at:
            connection.return_at = NEVER
            if now - shard.avoided.get(shard.copies[0], -NEVER) >= AVOIDED_FOR:
                return self.change_over(shard, 0, "the first choice is tried again", now)
        if now >= connection.renew_at:
            self.renew(connection, now)

    def lapse(self, now: int) -> None:
        """Functions unused for long are watched no more; now and then long prefixes are cut to their use."""
        while self.functions:
            function = next(iter(self.functions.values()))
            if now - function.used_at < self.settings.idle:
                break
            self.stop(function)
        if now >= self.review_at:
            self.review_at = now + self.settings.idle
            for function in self.functions.values():
                self.review(function, now)
        self.tell()

    def review(self, function: CachedFunction, now: int) -> None:
        reach, function.reach = function.reach, 0
        if function.count > self.settings.first_count and reach < function.count // 4 and function.watch >= 0:
            function.count = max(self.settings.first_count, function.count // 2)
            self.ask_if_up(function, now)

    def stop(self, function: CachedFunction) -> None:
        """Watch a function no more."""
        shard = self.shards[function.shard]
        del self.functions[function.name], shard.functions[function.name]
        if function.name in self.pending:
            self.pending.pop(function.name)
            self.effects.append(LookupFailed(function.name, self.settings.lookup_time_out))
        connection = shard.connection
        if connection is not None and connection.up:
            for watch in (function.watch, function.pending_watch):
                if watch >= 0:
                    self.effects.append(Send(connection.number, Unwatch(watch)))
            connection.watches.pop(function.watch, None)
            connection.pending_requests.pop(function.pending_watch, None)
        self.instances.used_by(function.name, function.names, (), Revision(), self.called_at)
        self.instances.retire(function.names)
        if not shard.functions:
            self.part(shard)
            shard.dial_at = NEVER

    def next_due(self) -> int:
        """When `tick` is to be called next; it may have become earlier after any other call."""
        dues = [self.called_at + self.settings.heartbeat, self.review_at]
        if self.functions:
            dues.append(next(iter(self.functions.values())).used_at + self.settings.idle)
        if self.pending:
            dues.append(self.functions[next(iter(self.pending))].deadline)
        if self.retries:
            dues.append(self.retries[0][0])
        dues.extend(self.shard_due(shard) for shard in self.shards.values())
        return min(dues)

    def shard_due(self, shard: Shard) -> int:
        connection = shard.connection
        if connection is None:
            return shard.dial_at if shard.functions else NEVER
        if not connection.up:
            return connection.dialled + self.settings.dial_time_out
        silence = connection.silent_since() + self.settings.silence
        return min(connection.renew_at, connection.lease_until, silence, connection.return_at)

    # for operators

    def reachable_shards(self) -> int:
        """Shards with a holder that answers."""
        shards = self.shards.values()
        return sum(shard.connection is not None and shard.connection.proven for shard in shards)


def place_of(copy: Copy) -> str:
    return f"{copy.host}:{copy.port}"
