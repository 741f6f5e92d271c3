"""A holder of shards of the directory: all instances of its region, and the watches on its functions.

Events in, effects out (`take`), the clock handed in. Every call returns nothing; what is to be done stands in
`take()` afterwards. Times are whole tenths of a millisecond on the holder's own clock.

What a change of an instance costs is in proportion to the watches that were told the instance, or are to be
told it now (`watched_functions.py`); what a look-up costs does not depend on the number of instances
(`hash_ring.py`).
"""

from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import msgspec

from lapistrestle.directory.assignment import shard_of
from lapistrestle.directory.effects import AskRoster, CloseSession, HolderEffect, HolderSettings, SendTo
from lapistrestle.directory.instances import Changes, RegionInstances
from lapistrestle.directory.message_sizes import LINE_BYTES, line_bytes
from lapistrestle.directory.rate_limits import SECOND, Jitter, SnapshotRateLimit, TokenBucket
from lapistrestle.directory.roster_freshness import RosterFreshness
from lapistrestle.directory.sessions import Batches, Session, Sessions
from lapistrestle.directory.watched_functions import SessionWatch, WatchedFunctions
from lapistrestle.wire.directory import (
    MOST_SUPERSEDED,
    Busy,
    InspectRequest,
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
)
from lapistrestle.wire.messages import Entry, Message

BURST = 2.0  # seconds of the holder's bytes that may be saved up
LONGEST_DEBT = SECOND  # of sending, before look-ups that calls wait for are put off, too
UNCHANGED_COST = 0.6  # of a snapshot: 12 us of decisions and coding, where a snapshot takes 20
MOST_INSPECTED = 64  # instances in an answer to an operator


class ShardHolder:
    """Decides what each watcher is sent."""

    def __init__(
        self, settings: HolderSettings, seed: int, now: int, log: Callable[[str], None] = lambda text: None
    ) -> None:
        """`seed` spreads the times at which busy watchers are told to come back."""
        self.settings, self.log = settings, log
        self.effects = list[HolderEffect]()
        self.instances = RegionInstances(settings.ramp_time, settings.cold_share)
        self.watched = WatchedFunctions(self.instances)
        self.sessions = Sessions()
        self.batches = Batches(self.instances, self.watched)
        self.freshness = RosterFreshness(settings, now, lambda: self.effects.append(AskRoster()), log)
        self.revision = Revision()
        self.superseded = list[str]()  # sources before the present one
        rate, burst, longest = settings.snapshot_rate, settings.snapshot_burst, settings.longest_retry
        self.snapshot_limit = SnapshotRateLimit(rate, burst, longest, now, Jitter(seed))
        self.bytes = TokenBucket.full(settings.total_bytes, settings.total_bytes * BURST, now)

    def take_effects(self) -> list[HolderEffect]:
        """What is to be done since the last call, in order."""
        effects, self.effects = self.effects, []
        return effects

    # the roster

    def instances_changed(self, entries: Iterable[Entry], whole: bool, revision: Revision, now: int) -> None:
        """A list (`whole`: one not named is gone) or a change was taken from the roster.

        Called for what `sources/numbered_list.py` says to take only, so in order and without gaps.
        """
        told = list(entries)
        self.freshness.called(now, len(told))
        if revision.source == self.revision.source and revision.number < self.revision.number:
            self.start_over(revision)
        if self.revision.source not in ("", revision.source):
            self.superseded = [*self.superseded, self.revision.source][-MOST_SUPERSEDED:]
        self.revision = revision
        changes = self.instances.apply(told, whole, now)
        self.pass_on(changes, now)
        self.freshness.told(whole, len(told), len(changes.entered), now)

    def start_over(self, revision: Revision) -> None:
        """The roster's numbers went back under the same epoch: no session may see its revision go back."""
        self.log(
            f"roster back from {self.revision.number} to {revision.number}: {len(self.sessions.all)} closed"
        )
        for session in list(self.sessions.all.values()):
            self.close(session, "the roster went back")

    def snapshot_requested(self, now: int) -> None:
        """The program itself has asked the roster for a whole list: on connecting, or because of a gap.

        Not to be called for `AskRoster`. Without it a list that was on its way while the holder stood still
        would pass for the answer to what the holder asks when it wakes.
        """
        self.freshness.called(now)
        self.freshness.asked(now)

    def snapshot_discarded(self, now: int) -> None:
        """A whole list has come that is not taken; it is no answer that the holder can go by."""
        self.freshness.called(now)
        self.freshness.passed(now)

    def roster_lost(self, now: int) -> None:
        """The connection to the roster is gone, or the roster says that it can't answer.

        Until the next whole list the age of the holder's knowledge grows, and watchers are told so.
        """
        self.freshness.called(now)
        self.freshness.lost(now)

    def pass_on(self, changes: Changes, now: int) -> None:
        """Note for each session what it is to be told of these changes, and by when."""
        for function, watch in self.watched.renew(self.watched.touched(changes)):
            session = self.sessions.all[watch.session]
            session.behind[function.name] = None
            self.sessions.due_by(session, now + self.settings.batch_delay)
        for name in changes.left:
            self.tell_of(name, now + self.settings.urgent_delay, True)
        for name in changes.urgent:
            self.tell_of(name, self.urgent_due(name, now), True)
        for name in (*changes.other, *changes.entered):
            self.tell_of(name, now + self.settings.batch_delay, False)

    def urgent_due(self, name: str, now: int) -> int:
        """When word of a drain is sent: soon, but of one that flaps no more often than other words."""
        instance = self.instances.known.get(name)
        if instance is None:
            return now + self.settings.urgent_delay
        due = max(now + self.settings.urgent_delay, instance.urgent_at + self.settings.batch_delay)
        instance.urgent_at = due
        return due

    def tell_of(self, name: str, due: int, urgent: bool) -> None:
        for watch in self.watched.having_told(name):
            session = self.sessions.all[watch.session]
            session.names[name] = urgent or session.names.get(name, False)
            self.sessions.due_by(session, due)

    # watchers

    def session_opened(self, session: int, now: int) -> None:
        """A watcher has connected and greeted; the program numbers its sessions and uses no number twice."""
        self.freshness.called(now)
        if len(self.sessions.all) >= self.settings.most_sessions:
            self.effects.append(
                CloseSession(session, f"{self.settings.most_sessions} watchers are connected")
            )
            return
        self.sessions.open(session, now + self.settings.lease, self.settings.session_bytes, now)

    def session_closed(self, session: int, now: int) -> None:
        """A session is over; one that is not known (any more) does no harm."""
        self.freshness.called(now)
        known = self.sessions.all.get(session)
        if known is not None:
            self.forget(known)

    def forget(self, session: Session) -> None:
        del self.sessions.all[session.number]
        for function in session.ids:
            self.watched.unwatch(function, session.number)

    def close(self, session: Session, why: str) -> None:
        self.forget(session)
        self.effects.append(CloseSession(session.number, why))

    def message_received(
        self, session: int, message: Watch | Unwatch | Renew | InspectRequest, now: int
    ) -> None:
        """A watcher says something."""
        self.freshness.called(now)
        known = self.sessions.all.get(session)
        if known is None:
            return
        if isinstance(message, Watch):
            self.watch(known, message, now)
        elif isinstance(message, Unwatch):
            self.unwatch(known, message.id)
        elif isinstance(message, Renew):
            self.renew(known, message, now)
        else:
            self.send(
                known, InspectResponse(msgspec.Raw(msgspec.json.encode(self.inspect(message.function))))
            )

    def send(self, session: Session, message: Message) -> None:
        self.effects.append(SendTo(session.number, message))

    def watch(self, session: Session, asked: Watch, now: int) -> None:
        if asked.id in session.watches:
            return  # answered already
        refused = self.refusal(session, asked)
        if refused is not None:
            return self.send(session, refused)
        cost = UNCHANGED_COST if asked.digest else 1.0
        wait = self.snapshot_limit.retry_after(now, cost, not asked.known, self.in_debt(asked, now))
        if wait:
            return self.send(session, Busy(asked.id, wait))
        self.unwatch(session, session.ids.get(asked.function, -1), replaced=True)
        session.ids[asked.function], session.watches[asked.id] = asked.id, asked.function
        watch = SessionWatch(session.number, asked.id, asked.shard, asked.epoch, asked.count)
        self.watched.watch(asked.function, watch)
        session.behind.pop(asked.function, None)
        self.sessions.renewed(session, now + self.settings.lease)
        self.answer(session, asked, now)

    def in_debt(self, asked: Watch, now: int) -> bool:
        """Whether so many bytes were sent lately that this snapshot has to wait."""
        allowed = LONGEST_DEBT if not asked.known else 0
        return not asked.digest and self.bytes.wait(now) > allowed

    def answer(self, session: Session, asked: Watch, now: int) -> None:
        """Tell a watch its prefix, or that the watcher has it."""
        answer = self.watched.answer(asked.function, asked.count, now)
        sequence, lease, age = session.next_sequence(), self.settings.lease, self.freshness.age(now)
        if answer.digest == asked.digest:
            self.bytes.take(LINE_BYTES, now)
            return self.send(
                session,
                Unchanged(asked.id, asked.epoch, self.revision, sequence, lease, age, self.superseded),
            )
        if asked.digest:
            self.snapshot_limit.bucket.take(1 - UNCHANGED_COST, now)
        snapshot = Snapshot(
            asked.id, asked.epoch, self.revision, sequence, answer.entries, answer.complete,
            lease, age, self.superseded, now - answer.at,
        )  # fmt: skip
        self.bytes.take(LINE_BYTES + answer.size, now)
        self.send(session, snapshot)

    def refusal(self, session: Session, asked: Watch) -> Refused | None:
        settings = self.settings
        if asked.epoch > settings.epoch:
            return Refused(asked.id, RefusalReason.NEW_EPOCH, settings.epoch)
        if asked.epoch < settings.oldest_epoch:
            return Refused(asked.id, RefusalReason.OLD_EPOCH, settings.epoch)
        elsewhere = shard_of(asked.function, settings.shard_count) != asked.shard
        if asked.shard not in settings.shards or (asked.epoch == settings.epoch and elsewhere):
            return Refused(asked.id, RefusalReason.WRONG_SHARD, settings.epoch)
        if not self.freshness.may_answer:
            return Refused(asked.id, RefusalReason.OUTDATED, settings.epoch)
        if len(session.ids) >= settings.most_watches and asked.function not in session.ids:
            return Refused(asked.id, RefusalReason.TOO_MANY_WATCHES, settings.epoch)
        return None

    def unwatch(self, session: Session, watch: int, replaced: bool = False) -> None:
        function = session.watches.pop(watch, None)
        if function is None:
            return
        del session.ids[function]
        if not replaced:
            session.behind.pop(function, None)
            self.watched.unwatch(function, session.number)

    def renew(self, session: Session, asked: Renew, now: int) -> None:
        """A holder that doesn't know how old its knowledge is keeps silent, so that the watcher leaves it."""
        if not self.freshness.may_answer:
            return
        self.sessions.renewed(session, now + self.settings.lease)
        sums: RegionSums | None = None
        if now - session.sums_at >= SECOND:
            sums, session.sums_at = self.instances.sums(now), now
        age = self.freshness.age(now)
        lease, sequence = self.settings.lease, session.sequence
        self.send(session, Renewed(asked.sent_at, lease, sequence, self.revision, age, sums))

    def configure(self, settings: HolderSettings, now: int) -> None:
        """Settings of another epoch; of an older one they aren't taken."""
        self.freshness.called(now)
        if settings.epoch < self.settings.epoch:
            return self.log(f"settings of epoch {settings.epoch} not taken, {self.settings.epoch} holds")
        self.log(f"epoch {settings.epoch} in place of {self.settings.epoch}")
        self.settings = settings
        for session in list(self.sessions.all.values()):
            if any(self.outdated(session, function) for function in session.ids):
                self.close(session, f"epoch {settings.epoch} holds")

    def outdated(self, session: Session, function: str) -> bool:
        watch = self.watched.functions[function].watches[session.number]
        return watch.epoch < self.settings.oldest_epoch or watch.shard not in self.settings.shards

    # time

    def tick(self, now: int) -> None:
        """To be called when `next_due` has come, or soon after: leases lapse, batches are sent."""
        self.freshness.called(now)
        self.freshness.tick(now)
        for session in self.sessions.lapsed(now):
            self.close(session, "no renewal within the lease")
        for session in self.sessions.take_due(now):
            self.flush(session, now)

    def flush(self, session: Session, now: int) -> None:
        """Send what is due, as far as the bounds on bytes allow; what is urgent goes in any case."""
        wait = max(session.bytes.wait(now), self.bytes.wait(now))
        make = self.batches.urgent if wait else self.batches.all
        update = make(session, self.revision, now)
        if update is not None:
            size = line_bytes(update)
            session.bytes.take(size, now)
            self.bytes.take(size, now)
            self.send(session, update)
        if not session.idle:
            wait = max(session.bytes.wait(now), self.bytes.wait(now), self.settings.urgent_delay)
            urgent = any(session.names.values())
            self.sessions.due_by(session, now + (self.settings.urgent_delay if urgent else wait))

    def next_due(self) -> int:
        """When `tick` is to be called next; it may have become earlier after any other call."""
        return min(self.sessions.next_due(), self.sessions.next_lapse(), self.freshness.next_due())

    # for operators

    def inspect(self, function: str = "") -> dict[str, Any]:
        """What is known, as plain values: of one function, or figures of the whole."""
        report: dict[str, Any] = {
            "revision": msgspec.to_builtins(self.revision),
            "knowledge": self.freshness.state.name.lower(),
            "epoch": self.settings.epoch,
            "shards": sorted(self.settings.shards),
            "instances": len(self.instances.known),
        }
        if not function:
            report["sessions"] = len(self.sessions.all)
            report["functions"] = len(self.watched.functions)
            report["watches"] = sum(len(session.ids) for session in self.sessions.all.values())
            report["snapshots refused as busy"] = self.snapshot_limit.turned_away
            return report
        known = self.watched.functions.get(function)
        report["function"], report["shard"] = function, shard_of(function, self.settings.shard_count)
        report["watchers"] = len(known.watches) if known is not None else 0
        places = islice(self.instances.ring.places(function), MOST_INSPECTED)
        names = [place.name for place in places]
        report["order"] = [msgspec.structs.asdict(self.instances.known[name].entry) for name in names]
        return report
