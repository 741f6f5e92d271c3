"""The state machine of a directory holder: all instances of its region, and the watches on functions.

Free of I/O: events are method calls that get the current time, and their results are the effects returned by
`take_effects`. Times are whole ticks of 0.1 ms on the holder's own clock.

The cost of a change of an instance is proportional to the number of watches that were sent the instance or
have to be sent it (`watched_functions.py`); the cost of a lookup is independent of the number of instances
(`hash_ring.py`).
"""

from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import msgspec

from lapistrestle.directory.assignment import shard_of
from lapistrestle.directory.effects import (
    CloseSession,
    HolderEffect,
    HolderSettings,
    RequestRosterSnapshot,
    SendTo,
)
from lapistrestle.directory.instances import Changes, RegionInstances
from lapistrestle.directory.jitter import Jitter
from lapistrestle.directory.message_sizes import LINE_BYTES, line_bytes
from lapistrestle.directory.rate_limits import SnapshotRateLimit, TokenBucket
from lapistrestle.directory.roster_freshness import RosterFreshness
from lapistrestle.directory.sessions import Batches, Session, Sessions
from lapistrestle.directory.watched_functions import SessionWatch, WatchedFunctions
from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import (
    MOST_SUPERSEDED,
    Busy,
    InspectResponse,
    RefusalReason,
    Refused,
    RegionSums,
    Renew,
    Renewed,
    Revision,
    Snapshot,
    Unchanged,
    Unwatch,
    Watch,
    WatcherMessage,
)
from lapistrestle.wire.messages import Message, RosterEntry

BURST_SECONDS = 2.0  # burst of all sessions together, in seconds of the byte rate
MAX_BYTE_LIMIT_WAIT = SECOND  # if longer, even lookups that calls wait for are postponed
UNCHANGED_COST = 0.6  # in snapshots: it takes 12 us of processor time, a snapshot 20
MAX_INSPECTED_INSTANCES = 64  # instances listed in an answer to an operator


class ShardHolder:
    """Decides which messages each watcher is sent."""

    def __init__(
        self, settings: HolderSettings, seed: int, now: int, log: Callable[[str], None] = lambda _: None
    ) -> None:
        """`seed` is for the jitter of retry times given to watchers while the holder is busy."""
        self.settings = settings
        self.log = log
        self.effects = list[HolderEffect]()
        self.instances = RegionInstances(settings.ramp_time, settings.cold_share)
        self.watched = WatchedFunctions(self.instances)
        self.sessions = Sessions()
        self.batches = Batches(self.instances, self.watched)
        self.freshness = RosterFreshness(
            settings, now, lambda: self.effects.append(RequestRosterSnapshot()), log
        )
        self.revision = Revision()
        self.superseded = list[str]()  # earlier sources (epochs of the roster), oldest first
        rate, burst, max_retry_after = (
            settings.snapshot_rate,
            settings.snapshot_burst,
            settings.max_retry_after,
        )
        self.snapshot_limit = SnapshotRateLimit(rate, burst, max_retry_after, now, Jitter(seed))
        self.byte_limit = TokenBucket.full(settings.total_bytes, settings.total_bytes * BURST_SECONDS, now)

    def take_effects(self) -> list[HolderEffect]:
        """Return the effects since the last call, in order."""
        effects = self.effects
        self.effects = []
        return effects

    # the roster

    def instances_changed(
        self, entries: Iterable[RosterEntry], complete: bool, revision: Revision, now: int
    ) -> None:
        """Apply a list (`complete`: instances not in it are gone) or a change from the roster.

        Called in order and without gaps, which `sources/numbered_list.py` ensures.
        """
        listed = list(entries)
        self.freshness.detect_stall(now, len(listed))
        if revision.source == self.revision.source and revision.number < self.revision.number:
            self.close_all_sessions(revision)
        if self.revision.source not in ("", revision.source):  # the roster was restarted
            self.superseded = [*self.superseded, self.revision.source][-MOST_SUPERSEDED:]
        self.revision = revision
        changes = self.instances.apply(listed, complete, now)
        self.queue_changes(changes, now)
        self.freshness.list_applied(complete, len(listed), len(changes.added), now)

    def close_all_sessions(self, revision: Revision) -> None:
        """Close all sessions: the roster's number went back within its epoch, which no watcher may see."""
        self.log(
            f"roster back from {self.revision.number} to {revision.number}: {len(self.sessions.all)} closed"
        )
        for session in list(self.sessions.all.values()):
            self.close(session, "the roster went back")

    def snapshot_requested(self, now: int) -> None:
        """The process itself requested a complete list, on connecting or because of a gap.

        Not to be called for `RequestRosterSnapshot`. Without this call, a list that was in flight during a
        stall would be mistaken for the answer to the request that the holder sends after the stall.
        """
        self.freshness.detect_stall(now)
        self.freshness.snapshot_requested(now)

    def snapshot_discarded(self, now: int) -> None:
        """A complete list was received but discarded, so the request that it answered stays unanswered."""
        self.freshness.detect_stall(now)
        self.freshness.snapshot_discarded(now)

    def roster_lost(self, now: int) -> None:
        """The connection to the roster was lost, or the roster can't answer.

        Until the next complete list the age of the holder's data grows, and the age is sent to watchers.
        """
        self.freshness.detect_stall(now)
        self.freshness.roster_lost(now)

    def queue_changes(self, changes: Changes, now: int) -> None:
        """Queue these changes on the sessions concerned, with the time by which they are sent."""
        for function, watch in self.watched.recompute_changed(self.watched.affected_functions(changes)):
            session = self.sessions.all[watch.session]
            session.changed_functions[function.name] = None
            self.sessions.schedule_batch(session, now + self.settings.batch_delay)
        for name in changes.removed:
            self.notify_of(name, now + self.settings.urgent_delay, True)
        for name in changes.urgent:
            self.notify_of(name, self.urgent_due(name, now), True)
        for name in (*changes.other, *changes.added):
            self.notify_of(name, now + self.settings.batch_delay, False)

    def urgent_due(self, name: str, now: int) -> int:
        """When an urgent change is sent: after `urgent_delay`, at most one per instance and `batch_delay`."""
        instance = self.instances.known.get(name)
        if instance is None:
            return now + self.settings.urgent_delay
        due = max(now + self.settings.urgent_delay, instance.last_urgent_due + self.settings.batch_delay)
        instance.last_urgent_due = due
        return due

    def notify_of(self, name: str, due: int, urgent: bool) -> None:
        """Queue an instance on each session that was sent it before, to be sent by `due`."""
        for watch in self.watched.watches_sent(name):
            session = self.sessions.all[watch.session]
            session.changed_instances[name] = urgent or session.changed_instances.get(name, False)
            self.sessions.schedule_batch(session, due)

    # watchers

    def session_opened(self, number: int, now: int) -> None:
        """A watcher has connected and greeted. Session numbers must be unique."""
        self.freshness.detect_stall(now)
        if len(self.sessions.all) >= self.settings.max_sessions:
            self.effects.append(CloseSession(number, f"{self.settings.max_sessions} watchers are connected"))
            return
        self.sessions.open(number, now + self.settings.lease, self.settings.session_bytes, now)

    def session_closed(self, number: int, now: int) -> None:
        """A session has ended; an unknown one is ignored."""
        self.freshness.detect_stall(now)
        session = self.sessions.all.get(number)
        if session is not None:
            self.remove_session(session)

    def remove_session(self, session: Session) -> None:
        """Remove a session and its watches."""
        del self.sessions.all[session.number]
        for function in session.watch_ids:
            self.watched.unwatch(function, session.number)

    def close(self, session: Session, reason: str) -> None:
        """Remove a session, and have its connection closed."""
        self.remove_session(session)
        self.effects.append(CloseSession(session.number, reason))

    def message_received(self, number: int, message: WatcherMessage, now: int) -> None:
        """A watcher has sent a message."""
        self.freshness.detect_stall(now)
        session = self.sessions.all.get(number)
        if session is None:
            return
        if isinstance(message, Watch):
            self.watch(session, message, now)
        elif isinstance(message, Unwatch):
            self.unwatch(session, message.id)
        elif isinstance(message, Renew):
            self.renew(session, message, now)
        else:
            self.send(
                session, InspectResponse(msgspec.Raw(msgspec.json.encode(self.inspect(message.function))))
            )

    def send(self, session: Session, message: Message) -> None:
        """Send a message on a session."""
        self.effects.append(SendTo(session.number, message))

    def watch(self, session: Session, request: Watch, now: int) -> None:
        """Answer a watch: with a snapshot, `Unchanged`, a retry time, or a refusal."""
        if request.id in session.watches:
            return  # answered already
        refused = self.refusal_for(session, request)
        if refused is not None:
            self.send(session, refused)
            return
        cost = UNCHANGED_COST if request.digest else 1.0
        # a watcher without the prefix has calls that wait for it
        wait = self.snapshot_limit.retry_after(
            now, cost, not request.has_prefix, self.exceeds_byte_limit(request, now)
        )
        if wait:
            self.send(session, Busy(request.id, wait))
            return
        self.unwatch(session, session.watch_ids.get(request.function, -1), replaced=True)
        session.watch_ids[request.function] = request.id
        session.watches[request.id] = request.function
        watch = SessionWatch(session.number, request.id, request.shard, request.epoch, request.count)
        self.watched.watch(request.function, watch)
        session.changed_functions.pop(request.function, None)
        self.sessions.renew(session, now + self.settings.lease)
        self.answer(session, request, now)

    def exceeds_byte_limit(self, request: Watch, now: int) -> bool:
        """Whether this snapshot has to wait because of the byte limit."""
        allowed = MAX_BYTE_LIMIT_WAIT if not request.has_prefix else 0
        return not request.digest and self.byte_limit.wait(now) > allowed

    def answer(self, session: Session, request: Watch, now: int) -> None:
        """Send the prefix of a watch, or `Unchanged` if the watcher has it already."""
        answer = self.watched.answer(request.function, request.count, now)
        sequence, lease, age = session.next_sequence(), self.settings.lease, self.freshness.age(now)
        if answer.digest == request.digest:
            self.byte_limit.take(LINE_BYTES, now)
            self.send(
                session,
                Unchanged(request.id, request.epoch, self.revision, sequence, lease, age, self.superseded),
            )
            return
        if request.digest:
            self.snapshot_limit.bucket.take(1 - UNCHANGED_COST, now)
        snapshot = Snapshot(
            request.id, request.epoch, self.revision, sequence, answer.entries, answer.complete,
            lease, age, self.superseded, now - answer.made_at,
        )  # fmt: skip
        self.byte_limit.take(LINE_BYTES + answer.estimated_bytes, now)
        self.send(session, snapshot)

    def refusal_for(self, session: Session, request: Watch) -> Refused | None:
        """The refusal of a watch; `None` if it can be served."""
        settings = self.settings
        if request.epoch > settings.epoch:
            return Refused(request.id, RefusalReason.NEW_EPOCH, settings.epoch)
        if request.epoch < settings.oldest_epoch:
            return Refused(request.id, RefusalReason.OLD_EPOCH, settings.epoch)
        elsewhere = shard_of(request.function, settings.shard_count) != request.shard
        if request.shard not in settings.shards or (request.epoch == settings.epoch and elsewhere):
            return Refused(request.id, RefusalReason.WRONG_SHARD, settings.epoch)
        if not self.freshness.may_answer:
            return Refused(request.id, RefusalReason.OUTDATED, settings.epoch)
        if len(session.watch_ids) >= settings.max_watches and request.function not in session.watch_ids:
            return Refused(request.id, RefusalReason.TOO_MANY_WATCHES, settings.epoch)
        return None

    def unwatch(self, session: Session, watch: int, replaced: bool = False) -> None:
        """End a watch; `replaced`: a later one of the same function takes its place."""
        function = session.watches.pop(watch, None)
        if function is None:
            return
        del session.watch_ids[function]
        if not replaced:
            session.changed_functions.pop(function, None)
            self.watched.unwatch(function, session.number)

    def renew(self, session: Session, request: Renew, now: int) -> None:
        """Renew a lease. While watches are refused as outdated, no answer is sent: the watcher fails over."""
        if not self.freshness.may_answer:
            return
        self.sessions.renew(session, now + self.settings.lease)
        sums: RegionSums | None = None
        if now - session.sums_sent_at >= SECOND:
            sums = self.instances.sums(now)
            session.sums_sent_at = now
        age = self.freshness.age(now)
        lease, sequence = self.settings.lease, session.sequence
        self.send(session, Renewed(request.sent_at, lease, sequence, self.revision, age, sums))

    def replace_settings(self, settings: HolderSettings, now: int) -> None:
        """Apply new settings; those of an older epoch are ignored."""
        self.freshness.detect_stall(now)
        if settings.epoch < self.settings.epoch:
            self.log(f"settings of epoch {settings.epoch} ignored: epoch {self.settings.epoch} is current")
            return
        self.log(f"epoch {settings.epoch} replaces {self.settings.epoch}")
        self.settings = settings
        for session in list(self.sessions.all.values()):
            if any(self.is_unserved(session, function) for function in session.watch_ids):
                self.close(session, f"epoch {settings.epoch} holds")

    def is_unserved(self, session: Session, function: str) -> bool:
        """Whether a session's watch is not served any more under the current settings."""
        watch = self.watched.functions[function].watches[session.number]
        return watch.epoch < self.settings.oldest_epoch or watch.shard not in self.settings.shards

    # time

    def tick(self, now: int) -> None:
        """Expire leases and send batches; to be called at `next_due` or soon after."""
        self.freshness.detect_stall(now)
        self.freshness.tick(now)
        for session in self.sessions.expired(now):
            self.close(session, "no renewal within the lease")
        for session in self.sessions.take_due(now):
            self.flush(session, now)

    def flush(self, session: Session, now: int) -> None:
        """Send a batch within the byte limits; urgent changes are sent regardless of them."""
        limit_wait = max(session.byte_limit.wait(now), self.byte_limit.wait(now))
        make = self.batches.urgent_update if limit_wait else self.batches.full_update
        update = make(session, self.revision, now)
        if update is not None:
            size = line_bytes(update)
            session.byte_limit.take(size, now)
            self.byte_limit.take(size, now)
            self.send(session, update)
        if not session.idle:
            wait = max(session.byte_limit.wait(now), self.byte_limit.wait(now), self.settings.urgent_delay)
            urgent = any(session.changed_instances.values())
            self.sessions.schedule_batch(session, now + (self.settings.urgent_delay if urgent else wait))

    def next_due(self) -> int:
        """When `tick` is to be called next; any other call may make it earlier."""
        return min(self.sessions.next_due(), self.sessions.next_expiry(), self.freshness.next_due())

    # for operators

    def inspect(self, function: str = "") -> dict[str, Any]:
        """The state as plain values: of one function, or of the whole holder."""
        report: dict[str, Any] = {
            "revision": msgspec.to_builtins(self.revision),
            "knowledge": self.freshness.state.value,
            "epoch": self.settings.epoch,
            "shards": sorted(self.settings.shards),
            "instances": len(self.instances.known),
        }
        if not function:
            report["sessions"] = len(self.sessions.all)
            report["functions"] = len(self.watched.functions)
            report["watches"] = sum(len(session.watch_ids) for session in self.sessions.all.values())
            report["snapshots refused as busy"] = self.snapshot_limit.rejected
            return report
        known = self.watched.functions.get(function)
        report["function"], report["shard"] = function, shard_of(function, self.settings.shard_count)
        report["watchers"] = len(known.watches) if known is not None else 0
        places = islice(self.instances.ring.places(function), MAX_INSPECTED_INSTANCES)
        names = [place.name for place in places]
        report["order"] = [msgspec.structs.asdict(self.instances.known[name].entry) for name in names]
        return report
