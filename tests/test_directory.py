"""The decisions of the directory's holders (servers) and watchers (clients), without I/O.

First each rule by itself, on a manual clock; then simulated regions with random faults.
"""

from dataclasses import replace
from itertools import pairwise

import msgspec
import pytest

from lapistrestle.directory import effects as directory
from lapistrestle.directory.assignment import Assignment, ShardReplica
from lapistrestle.directory.digests import digest_of, without_up_for
from lapistrestle.directory.effects import HolderSettings, WatcherSettings
from lapistrestle.directory.hash_ring import InstanceRing
from lapistrestle.directory.holder_messages import HolderMessages
from lapistrestle.directory.instances import RegionInstances
from lapistrestle.directory.jitter import Jitter
from lapistrestle.directory.message_sizes import line_bytes
from lapistrestle.directory.prefixes import Prefix, RevisionGapError, apply_change
from lapistrestle.directory.rate_limits import SnapshotRateLimit
from lapistrestle.directory.revisions import SOURCE_REVERSAL_TIMEOUT, Revisions
from lapistrestle.directory.roster_freshness import RosterFreshness
from lapistrestle.directory.sessions import Batches
from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.directory.watch_requests import WatchRequests
from lapistrestle.directory.watched_functions import WatchedFunctions
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.standins.directory_checks import true_prefix
from lapistrestle.standins.directory_world import (
    FREQUENT_FAULTS,
    NO_FAULTS,
    DirectorySimulation,
    SimulationPlan,
    random_simulation,
    run_simulation,
)
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import RosterEntry, encode

COPIES = (ShardReplica("127.0.0.1", 7_001), ShardReplica("127.0.0.1", 7_002))
EPOCH = 3


def entry(number, start="1", listing="serving", size=1.0):
    return RosterEntry(
        f"w{number}", 9_000 + number, "z", size=size, listing=listing, start=start, up_for=1_000.0
    )


class HolderHarness:
    """A `ShardHolder` with a manual clock; collects its effects."""

    def __init__(self, instances=20, **settings):
        self.now = 0
        self.holder = ShardHolder(HolderSettings(epoch=EPOCH, oldest_epoch=EPOCH, **settings), 1, 0)
        self.number = 0
        self.sent = []
        self.closed = {}
        self.list_requests = 0
        self.last_id = 0
        self.send_list([entry(i) for i in range(instances)], whole=True)

    def send_list(self, entries, whole=False, source="e1", number=None):
        self.number = self.number + 1 if number is None else number
        revision = wire.Revision(source, self.number)
        self.holder.instances_changed(entries, whole, revision, self.now)
        self.collect_effects()

    def collect_effects(self):
        for effect in self.holder.take_effects():
            if isinstance(effect, directory.SendTo):
                self.sent.append((self.now, effect.session, effect.message))
            elif isinstance(effect, directory.CloseSession):
                self.closed[effect.session] = self.now
            else:
                self.list_requests += 1

    def watch(self, session, function, count=4, epoch=EPOCH, shard=0):
        self.last_id += 1
        self.receive(session, wire.Watch(self.last_id, shard, epoch, function, count))
        return self.last_id

    def connect(self, session):
        self.holder.session_opened(session, self.now)

    def receive(self, session, message):
        self.holder.message_received(session, message, self.now)
        self.collect_effects()

    def run(self, length, renew=()):
        until = self.now + length
        renewed = self.now
        while self.holder.next_due() <= until:
            self.now = max(self.now, self.holder.next_due())
            self.holder.tick(self.now)
            self.collect_effects()
            if self.now - renewed >= SECOND // 2:
                renewed = self.now
                for session in renew:
                    self.receive(session, wire.Renew(self.now))
        self.now = until

    def collected(self, kind, session=None):
        return [m for _, s, m in self.sent if isinstance(m, kind) and session in (None, s)]


def test_a_watch_is_answered_with_the_expected_prefix():
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", 4)
    (snapshot,) = harness.collected(wire.Snapshot)
    expected = RegionInstances()
    expected.apply([entry(i) for i in range(20)], True, 0)
    assert tuple(e.name for e in snapshot.entries) == true_prefix(expected, "f", 4).names
    assert (snapshot.sequence, snapshot.complete, snapshot.revision) == (1, False, wire.Revision("e1", 1))


def test_draining_instances_keep_their_position_and_the_prefix_is_extended():
    harness = HolderHarness()
    harness.connect(1)
    watch = harness.watch(1, "f", 4)
    before = [e.name for e in harness.collected(wire.Snapshot)[0].entries]
    harness.send_list([entry(int(before[1][1:]), listing="draining")])
    harness.run(SECOND)
    updates = harness.collected(wire.Update)
    assert [e.listing for e in updates[0].entries if e.name == before[1]] == ["draining"]
    (change,) = [change for update in updates for change in update.changes]
    assert (change.id, change.removed, change.length) == (watch, [], 5)
    assert [placed.position for placed in change.inserted] == [4]


def test_drains_and_removals_are_sent_within_100_ms_and_other_changes_in_batches():
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", 4)
    names = [int(e.name[1:]) for e in harness.collected(wire.Snapshot)[0].entries]
    harness.run(SECOND, renew=[1])
    changed_at = harness.now
    harness.send_list([entry(names[0], size=2.0)])
    harness.run(100 * MILLISECOND)
    assert not harness.collected(wire.Update)
    harness.send_list([entry(names[1], listing="draining"), entry(names[2], listing="gone")])
    harness.run(100 * MILLISECOND)
    (update,) = harness.collected(wire.Update)
    assert {e.name: e.listing for e in update.entries}[f"w{names[1]}"] == "draining"
    assert update.gone == [f"w{names[2]}"]
    harness.run(SECOND)
    assert harness.sent[-1][0] - changed_at <= SECOND


def test_a_flapping_instance_is_sent_at_most_once_per_batch():
    """Guards against an urgent update at each change of an instance that drains and serves in turn."""
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", 4)
    name = int(harness.collected(wire.Snapshot)[0].entries[0].name[1:])
    for i in range(200):  # twenty seconds
        harness.send_list([entry(name, listing="draining" if i % 2 else "serving")])
        harness.run(SECOND // 10, renew=[1] if i % 10 == 0 else [])
        harness.receive(1, wire.Renew(harness.now))
    updates = [u for u in harness.collected(wire.Update) if any(e.name == f"w{name}" for e in u.entries)]
    assert 10 <= len(updates) <= 20 * SECOND // harness.holder.settings.batch_delay + 2


def test_a_drain_of_a_flapping_instance_is_sent_within_a_second():
    """Guards against postponing the drain without limit because the instance has just changed."""
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", 4)
    name = int(harness.collected(wire.Snapshot)[0].entries[0].name[1:])
    harness.send_list([entry(name, listing="draining")])
    harness.run(60 * MILLISECOND)
    harness.send_list([entry(name, listing="serving")])
    harness.send_list([entry(name, listing="draining")])
    drained_at = harness.now
    harness.send_list([entry(name, listing="draining", start="2")])
    harness.run(SECOND)
    at, _, update = [x for x in harness.sent if isinstance(x[2], wire.Update)][-1]
    assert at - drained_at < SECOND and update.entries[0].start == "2"


def test_changes_outside_a_prefix_cause_no_recomputation_and_no_update():
    harness = HolderHarness(200)
    harness.connect(1)
    harness.watch(1, "f", 4)
    watched = {e.name for e in harness.collected(wire.Snapshot)[0].entries}
    others = [i for i in range(200) if f"w{i}" not in watched]
    before = harness.holder.watched.recomputation_count
    harness.send_list([entry(i, listing="draining") for i in others[:100]])
    harness.send_list([entry(i, listing="gone") for i in others[:50]])
    harness.run(SECOND)
    assert harness.holder.watched.recomputation_count == before and not harness.collected(wire.Update)


def cost_of_changes(instances, ring=InstanceRing):
    """Numbers of prefixes computed and of ring entries visited while 100 instances are replaced."""
    harness = HolderHarness(instances, snapshot_burst=10_000)
    harness.connect(1)
    for i in range(200):
        harness.watch(1, f"f{i}", 4)
    watched = harness.holder.watched
    before = watched.recomputation_count, harness.holder.instances.ring.steps + watched.positions.steps
    for i in range(100):
        harness.send_list([entry(i, listing="gone")])
        harness.send_list([entry(i, start="2")])
    steps = harness.holder.instances.ring.steps + watched.positions.steps
    return watched.recomputation_count - before[0], steps - before[1]


def test_the_cost_of_a_change_is_proportional_to_the_affected_prefixes():
    """200 functions of 4 instances: with ten times the instances a change affects a tenth of the prefixes,
    and the remaining steps, inserting and removing 16 points, don't grow.
    """
    small, large = cost_of_changes(400), cost_of_changes(4_000)
    assert large[0] < small[0] / 4
    assert large[1] < 1.5 * small[1]


def test_the_cost_measure_detects_a_scan_over_all_watches(monkeypatch):
    """Checks the test above: with a scan over all watches its first assertion fails."""
    monkeypatch.setattr(WatchedFunctions, "affected_functions", lambda self, changes: set(self.functions))
    small, large = cost_of_changes(400), cost_of_changes(1_000)
    assert large[0] >= small[0] / 4


def test_prefixes_after_each_change_equal_recomputed_ones():
    harness = HolderHarness(30, snapshot_burst=10_000)
    harness.connect(1)
    for i in range(30):
        harness.watch(1, f"f{i}", 1 + i % 6)
    jitter = Jitter(5)
    expected = RegionInstances()
    expected.apply([entry(i) for i in range(30)], True, 0)
    for step in range(400):
        number, listing_index = jitter.below(40), jitter.below(4)
        listing = ("serving", "draining", "gone", "serving")[listing_index]
        changed = entry(number, str(step), listing, (0.5, 1.0, 3.0)[jitter.below(3)])
        harness.send_list([changed])
        expected.apply([changed], False, 0)
        harness.receive(1, wire.Renew(harness.now))
        for name, known in harness.holder.watched.functions.items():
            for count, prefix in known.prefixes.items():
                assert prefix == true_prefix(expected, name, count)


def test_bytes_per_second_are_limited_except_for_urgent_changes():
    """Drains are urgent: they are sent at once although the limit has been reached."""
    harness = HolderHarness(300, session_bytes=1_000, snapshot_burst=10_000)
    harness.connect(1)
    for i in range(60):
        harness.watch(1, f"f{i}", 4)
    harness.sent.clear()
    for step in range(300):  # thirty seconds, ten changes each tenth of one
        harness.send_list(
            [entry(i, size=1.0 + step % 7 / 10) for i in range(step % 30 * 10, step % 30 * 10 + 10)]
        )
        harness.receive(1, wire.Renew(harness.now))
        harness.run(SECOND // 10)
    sent = sum(len(encode(update)) for update in harness.collected(wire.Update))
    assert 20_000 < sent < 1.25 * 1_000 * (30 + 4)
    harness.sent.clear()
    harness.send_list([entry(i, listing="draining") for i in range(300)])
    harness.run(150 * MILLISECOND)
    drained_names = {
        e.name for update in harness.collected(wire.Update) for e in update.entries if e.listing == "draining"
    }
    watched_names = {
        name
        for known in harness.holder.watched.functions.values()
        for p in known.prefixes.values()
        for name in p.names
    }
    assert len(watched_names) > 100 and len(drained_names) > 100


def test_the_estimated_size_is_close_to_the_encoded_length():
    harness = HolderHarness(100, snapshot_burst=1_000)
    harness.connect(1)
    for i in range(20):
        harness.watch(1, f"f{i}", 8)
    harness.send_list(
        [entry(i, listing="gone") for i in range(0, 100, 7)] + [entry(i, "2") for i in range(3, 100, 7)]
    )
    harness.run(SECOND)
    messages = harness.collected(wire.Snapshot) + harness.collected(wire.Update)
    assert len(messages) > 20
    encoded, estimated = sum(len(encode(m)) for m in messages), sum(map(line_bytes, messages))
    assert encoded == pytest.approx(estimated, rel=0.25)


def test_batches_are_limited_in_entries_without_losing_changes(monkeypatch):
    """Guards against dropping the changes beyond the limit, which belong in the next batches."""
    monkeypatch.setattr("lapistrestle.directory.sessions.MOST_IN_A_BATCH", 10)
    harness = HolderHarness(200, snapshot_burst=1_000, session_bytes=10**7)
    harness.connect(1)
    ids = {harness.watch(1, f"f{i}", 4): f"f{i}" for i in range(50)}
    names = {s.id: tuple(e.name for e in s.entries) for s in harness.collected(wire.Snapshot)}
    harness.send_list([entry(i, listing="gone") for i in range(60)])
    harness.run(2 * SECOND)
    for update in harness.collected(wire.Update):
        assert len(update.entries) + len(update.gone) <= 30
        for change in update.changes:
            names[change.id] = apply_change(names[change.id], change)
    for watch, function in ids.items():
        assert names[watch] == harness.holder.watched.functions[function].prefixes[4].names


def test_snapshots_are_admitted_at_the_rate_and_retry_times_are_spread():
    snapshot_limit = SnapshotRateLimit(1_000, 100, 2 * SECOND, 0, Jitter(1))
    waits = [snapshot_limit.retry_after(0) for _ in range(5_000)]
    assert waits.count(0) == 100
    retry_times = sorted(wait for wait in waits if wait)
    assert retry_times[-1] <= 2 * SECOND
    for interval in range(1, 10):  # of the second after the burst: 100 each, the admitted rate
        assert 90 <= sum(interval * 1_000 <= wait < (interval + 1) * 1_000 for wait in retry_times) <= 110
    in_half = sum(wait < 15_000 for wait in retry_times if wait > SECOND)
    assert 0.3 < in_half / sum(wait > SECOND for wait in retry_times) < 0.7


def test_a_busy_holder_sends_a_retry_time_and_keeps_the_earlier_watch():
    """Guards against dropping a watch when its extension can't be served yet."""
    harness = HolderHarness(snapshot_burst=1, snapshot_rate=10)
    harness.connect(1)
    first = harness.watch(1, "f", 2)
    second = harness.watch(1, "f", 8)
    (busy,) = harness.collected(wire.Busy)
    assert busy.id == second and 0 < busy.retry_after <= 2 * SECOND
    assert harness.holder.watched.functions["f"].watches[1].id == first


def test_an_unrenewed_watch_expires_with_its_session():
    harness = HolderHarness()
    for session in (1, 2):
        harness.connect(session)
        harness.watch(session, "f", 4)
    harness.run(5 * SECOND, renew=[2])
    assert list(harness.closed) == [1] and harness.closed[1] <= 3 * SECOND + 1_000
    assert list(harness.holder.watched.functions["f"].watches) == [2]
    harness.holder.session_closed(2, harness.now)
    assert not harness.holder.watched.functions and not harness.holder.watched.functions_by_instance
    assert not len(harness.holder.watched.positions) and not harness.holder.watched.by_length


def test_a_silent_connection_is_closed_after_the_lease():
    harness = HolderHarness()
    harness.connect(1)
    harness.run(4 * SECOND)
    assert 1 in harness.closed and not harness.holder.sessions.all


@pytest.mark.parametrize(
    ("epoch", "shard", "why"), [(2, 0, "old epoch"), (4, 0, "new epoch"), (EPOCH, 5, "shard")]
)
def test_a_watch_of_another_epoch_or_shard_is_refused(epoch, shard, why):
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", epoch=epoch, shard=shard)
    assert [(m.reason, m.epoch) for m in harness.collected(wire.Refused)] == [
        (why, EPOCH)
    ] and not harness.collected(wire.Snapshot)


def test_lookups_of_waiting_calls_take_precedence_over_other_watches():
    snapshot_limit = SnapshotRateLimit(1_000, 100, 2 * SECOND, 0, Jitter(1))
    renewed = [snapshot_limit.retry_after(0, waiting=False) for _ in range(1_000)]
    assert renewed.count(0) == 50
    waiting = [snapshot_limit.retry_after(0) for _ in range(100)]
    assert waiting[:50] == [0] * 50 and max(waiting) <= 500  # not queued behind the others
    assert SnapshotRateLimit(10, 1, SECOND, 0, Jitter(1)).retry_after(0, waiting=False) == 0


def test_snapshots_are_postponed_over_the_byte_limit():
    harness = HolderHarness(snapshot_burst=1_000, total_bytes=10_000)
    harness.connect(1)
    for i in range(200):
        harness.watch(1, f"f{i}", 8)
    assert 40 < len(harness.collected(wire.Snapshot)) < 100 and harness.collected(wire.Busy)
    assert len(harness.collected(wire.Snapshot)) + len(harness.collected(wire.Busy)) == 200


def digest_for(harness, session, function, count=4):
    """A snapshot and the digest that a watcher with this prefix would send."""
    harness.watch(session, function, count)
    snapshot = harness.collected(wire.Snapshot, session)[-1]
    return snapshot, digest_of(snapshot.entries, snapshot.complete)


def watch_again(harness, function, digest, count=4):
    harness.last_id += 1
    harness.receive(1, wire.Watch(harness.last_id, 0, EPOCH, function, count, "", digest, True))
    return harness.sent[-1][2]


def test_a_watcher_with_the_same_digest_is_sent_unchanged_and_later_updates():
    harness = HolderHarness()
    harness.connect(1)
    harness.connect(2)
    snapshot, digest = digest_for(harness, 2, "f")
    harness.run(SECOND)
    answer = watch_again(harness, "f", digest)
    assert isinstance(answer, wire.Unchanged) and answer.sequence == 1
    assert (answer.revision, answer.lease) == (snapshot.revision, 3 * SECOND)
    harness.send_list([entry(int(snapshot.entries[0].name[1:]), listing="draining")])
    harness.run(SECOND)
    (update,) = harness.collected(wire.Update, 1)
    assert [e.listing for e in update.entries][:1] == ["draining"]
    assert [change.id for change in update.changes] == [harness.last_id]


@pytest.mark.parametrize("change", ["draining", "gone", "replaced", "moved", "resized"])
def test_a_prefix_with_any_change_is_sent_as_a_snapshot(change):
    harness = HolderHarness()
    harness.connect(1)
    harness.connect(2)
    snapshot, digest = digest_for(harness, 2, "f")
    changed_entry = entry(int(snapshot.entries[1].name[1:]))
    changed_entry = {
        "draining": replace_entry(changed_entry, listing="draining"),
        "gone": replace_entry(changed_entry, listing="gone"),
        "replaced": replace_entry(changed_entry, start="2"),
        "moved": replace_entry(changed_entry, port=12_345),
        "resized": replace_entry(changed_entry, size=1.01),
    }[change]
    harness.send_list([changed_entry])
    answer = watch_again(harness, "f", digest)
    assert isinstance(answer, wire.Snapshot)
    known = {e.name: e for e in answer.entries}
    assert change == "gone" or without_up_for(known[changed_entry.name]) == without_up_for(changed_entry)


def replace_entry(entry, **fields):
    return msgspec.structs.replace(entry, **fields)


def test_a_shared_answer_states_the_age_of_its_entries():
    harness = HolderHarness()
    harness.connect(1)
    harness.connect(2)
    harness.watch(1, "f", 4)
    harness.run(SECOND, renew=[1, 2])
    harness.watch(2, "f", 4)
    first, second = harness.collected(wire.Snapshot)
    assert [e.up_for + second.up_for_age / 10 for e in second.entries] == [2_000.0] * 4
    assert first.entries == second.entries and (first.up_for_age, second.up_for_age) == (0, SECOND)


def test_an_older_epoch_is_served_during_a_change_of_assignment_and_refused_later():
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", epoch=EPOCH)
    newer = replace(harness.holder.settings, epoch=EPOCH + 1)
    harness.holder.replace_settings(newer, harness.now)
    harness.watch(1, "g", epoch=EPOCH)
    harness.watch(1, "h", epoch=EPOCH + 1)
    assert [m.epoch for m in harness.collected(wire.Snapshot)] == [EPOCH, EPOCH, EPOCH + 1]
    harness.holder.replace_settings(replace(newer, oldest_epoch=EPOCH + 1), harness.now)
    harness.collect_effects()
    assert 1 in harness.closed
    harness.holder.replace_settings(replace(newer, epoch=EPOCH), harness.now)
    assert harness.holder.settings.epoch == EPOCH + 1


def test_a_stalled_holder_answers_only_after_a_new_list_from_its_roster():
    """Guards against serving an outdated list after a stall, in which events may have been missed."""
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f")
    harness.run(SECOND, renew=[1])
    harness.sent.clear()
    harness.now += 2 * SECOND
    harness.receive(1, wire.Renew(harness.now))
    harness.watch(1, "g")
    assert harness.list_requests == 1
    assert not harness.collected(wire.Renewed) and not harness.collected(wire.Snapshot)
    assert [m.reason for m in harness.collected(wire.Refused)] == ["stale"]
    harness.send_list([entry(0, listing="draining")])
    harness.watch(1, "g")
    assert not harness.collected(wire.Snapshot)
    harness.send_list([entry(i) for i in range(20)], whole=True)
    harness.watch(1, "g")
    harness.receive(1, wire.Renew(harness.now))
    assert harness.collected(wire.Snapshot) and harness.collected(wire.Renewed)


def test_a_list_requested_before_a_stall_does_not_end_the_stall():
    """Guards against taking a list that was requested before the stall for a recent one."""
    harness = HolderHarness()
    harness.connect(1)
    harness.holder.snapshot_requested(harness.now)
    harness.now += 2 * SECOND
    harness.send_list([entry(i) for i in range(20)], whole=True)
    harness.watch(1, "f")
    assert harness.list_requests == 1 and not harness.collected(wire.Snapshot)
    harness.send_list([entry(i) for i in range(20)], whole=True)
    harness.watch(1, "f")
    assert harness.collected(wire.Snapshot)


def test_a_holder_disconnected_from_its_roster_reports_the_age_of_its_data():
    harness = HolderHarness()
    harness.connect(1)
    harness.run(SECOND, renew=[1])
    harness.holder.roster_lost(harness.now)
    harness.run(SECOND // 2, renew=[1])
    harness.watch(1, "f")
    assert harness.collected(wire.Snapshot)[-1].age == SECOND // 2
    harness.send_list([entry(i) for i in range(20)], whole=True)
    harness.watch(1, "g")
    assert harness.collected(wire.Snapshot)[-1].age == 0


def test_a_silent_roster_is_sent_a_request_and_counts_as_lost_without_an_answer():
    harness = HolderHarness()
    harness.connect(1)
    harness.run(6 * SECOND, renew=[1])
    assert harness.list_requests == 1
    harness.run(2 * SECOND, renew=[1])
    harness.receive(1, wire.Renew(harness.now))
    assert harness.collected(wire.Renewed)[-1].age >= 7 * SECOND


def test_decoding_a_long_list_does_not_count_as_a_stall():
    """Guards against requesting the list again and again because decoding it looks like a stall."""
    harness = HolderHarness()
    harness.run(SECOND)
    many = [entry(i) for i in range(60_000)]
    harness.now += 3_200  # a third of a second, which decoding so many entries may take
    harness.send_list(many, whole=True)
    assert harness.list_requests == 0
    harness.now += 30_000
    harness.send_list([entry(0, listing="draining")])
    assert harness.list_requests == 0
    harness.now += 30_000
    harness.send_list([entry(1, listing="draining")])
    assert harness.list_requests == 1


def test_a_lower_number_within_an_epoch_closes_all_sessions():
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f")
    harness.send_list([entry(1)], whole=True, number=0)
    assert 1 in harness.closed and harness.holder.revision.number == 0


def test_region_sums_are_updated_by_each_change():
    harness = HolderHarness(10, ramp_time=10 * SECOND, cold_share=0.2)
    assert harness.holder.instances.sums(0) == wire.RegionSums(10.0, pytest.approx(2.8, abs=0.9), 10, 10)
    harness.send_list([entry(0, listing="draining"), entry(1, size=3.0), entry(2, listing="gone")])
    sums = harness.holder.instances.sums(60 * SECOND)
    assert (sums.size, sums.warm, sums.serving, sums.instances) == (10.0, 10.0, 8, 9)
    harness.connect(1)
    for _ in range(20):
        harness.receive(1, wire.Renew(harness.now))
        harness.run(SECOND // 10)
    assert sum(m.sums is not None for m in harness.collected(wire.Renewed)) == 2


def test_inspect_returns_a_functions_order_and_the_holders_figures():
    harness = HolderHarness()
    harness.connect(1)
    harness.watch(1, "f", 4)
    harness.receive(1, wire.InspectRequest("f"))
    inspection = msgspec.json.decode(harness.collected(wire.InspectResponse)[0].body)
    names = [e.name for e in harness.collected(wire.Snapshot)[0].entries]
    assert [e["name"] for e in inspection["order"]][:4] == names and inspection["watchers"] == 1
    assert harness.holder.inspect()["watches"] == 1


# the watcher


class WatcherHarness:
    """A `DirectoryWatcher` with a manual clock and scripted holders."""

    def __init__(self, copies=COPIES, **settings):
        self.now = 0
        self.watcher = DirectoryWatcher(
            "d", "", Assignment(EPOCH, (copies,)), WatcherSettings(**settings), 1, 0, self.log
        )
        self.effects, self.logs = [], []
        self.sequence = {}

    def log(self, text):
        self.logs.append(text)

    def collect_effects(self):
        self.effects += [(self.now, effect) for effect in self.watcher.take_effects()]

    def collected(self, kind):
        return [effect for _, effect in self.effects if isinstance(effect, kind)]

    def sent(self, kind):
        return [send.message for send in self.collected(directory.Send) if isinstance(send.message, kind)]

    def run(self, length):
        until = self.now + length
        while self.watcher.next_due() <= until:
            self.now = max(self.now + 1, self.watcher.next_due())
            self.watcher.tick(self.now)
            self.collect_effects()
        self.now = until

    def request_prefix(self, function="f"):
        prefix = self.watcher.prefix_for(function, "m", self.now)
        self.collect_effects()
        return prefix

    def connect(self):
        number = self.collected(directory.Dial)[-1].connection
        self.watcher.connection_ready(number, self.now)
        self.sequence[number] = 0
        self.collect_effects()
        return number

    def receive(self, connection, message):
        self.watcher.message_received(connection, message, self.now)
        self.collect_effects()

    def snapshot(self, connection, names, number=1, source="e1", start="1", id=None, epoch=EPOCH, **more):
        id = self.sent(wire.Watch)[-1].id if id is None else id
        self.sequence[connection] += 1
        entries = [wire.compact(entry(n, start)) for n in names]
        revision = wire.Revision(source, number)
        more = {"lease": 3 * SECOND, **more}
        self.receive(
            connection, wire.Snapshot(id, epoch, revision, self.sequence[connection], entries, **more)
        )

    def update(self, connection, number, entries=(), gone=(), changes=(), skip=0):
        self.sequence[connection] += 1 + skip
        entries = [wire.compact(e) for e in entries]
        revision = wire.Revision("e1", number)
        self.receive(
            connection, wire.Update(self.sequence[connection], revision, entries, list(gone), list(changes))
        )

    def answer_renewals(self, connection, lease=3 * SECOND, **more):
        sent_at = self.sent(wire.Renew)[-1].sent_at
        revision = wire.Revision("e1", 1)
        self.receive(connection, wire.Renewed(sent_at, lease, self.sequence[connection], revision, **more))


def cache_prefix(harness):
    """Have the watcher cache the prefix of f. Returns the connection."""
    assert harness.request_prefix() is None
    connection = harness.connect()
    harness.snapshot(connection, [1, 2, 3])
    return connection


def answer_unchanged(harness, connection, number=1, source="e1", **more):
    """Answer the last watch with `Unchanged`."""
    harness.sequence[connection] += 1
    id, revision = harness.sent(wire.Watch)[-1].id, wire.Revision(source, number)
    sequence = harness.sequence[connection]
    harness.receive(connection, wire.Unchanged(id, EPOCH, revision, sequence, 3 * SECOND, **more))


def fail_over(harness, connection):
    """Lose the connection and connect to another replica, with the cache intact."""
    harness.watcher.connection_lost(connection, harness.now)
    harness.collect_effects()
    harness.run(100 * MILLISECOND)
    return harness.connect()


def test_after_a_failover_an_unchanged_prefix_is_not_sent_again():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    first = harness.sent(wire.Watch)[0]
    assert (first.digest, first.has_prefix) == ("", False)
    cached_digest = digest_of([wire.compact(entry(n)) for n in (1, 2, 3)], False)
    other = fail_over(harness, connection)
    assert (harness.sent(wire.Watch)[-1].digest, harness.sent(wire.Watch)[-1].has_prefix) == (
        cached_digest,
        True,
    )
    counts_before = (
        len(harness.collected(directory.InstancesChanged)),
        len(harness.collected(directory.PrefixReady)),
    )
    answer_unchanged(harness, other, number=2)
    assert (
        len(harness.collected(directory.InstancesChanged)),
        len(harness.collected(directory.PrefixReady)),
    ) == counts_before
    watch = harness.sent(wire.Watch)[-1].id
    harness.update(other, 3, changes=[wire.PrefixChange(watch, 2, ["w1"])])
    assert harness.request_prefix() == Prefix(("w2", "w3"), False)


def test_unchanged_of_an_older_revision_is_rejected():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.update(connection, 9)
    other = fail_over(harness, connection)
    answer_unchanged(harness, other, number=8)
    assert harness.watcher.functions["f"].watch < 0 and harness.request_prefix() == Prefix(
        ("w1", "w2", "w3"), False
    )


def test_unchanged_refers_to_the_entries_cached_when_the_watch_was_sent():
    harness = WatcherHarness()
    other = fail_over(harness, cache_prefix(harness))
    known = harness.watcher.instances
    known.apply_entry(wire.compact(entry(1, "2")), wire.Revision("e1", 5), harness.now)  # by another shard
    known.apply_entry(wire.compact(entry(2, "2")), wire.Revision("e1", 3), harness.now)
    answer_unchanged(harness, other, number=4)
    assert [known.known[f"w{n}"].entry.start for n in (1, 2, 3)] == ["2", "1", "1"]
    assert [known.known[f"w{n}"].revision.number for n in (1, 2, 3)] == [5, 4, 4]


def test_up_for_is_advanced_by_its_age_in_the_message():
    harness = WatcherHarness()
    assert harness.request_prefix() is None
    harness.snapshot(harness.connect(), [1], up_for_age=5_000)
    (changed,) = harness.collected(directory.InstancesChanged)
    assert changed.entries[0].up_for == 1_500.0


def test_a_first_call_dials_and_requests_its_prefix():
    harness = WatcherHarness()
    cache_prefix(harness)
    assert harness.collected(directory.PrefixReady) == [directory.PrefixReady("f", ("w1", "w2", "w3"), False)]
    kinds = [type(effect) for _, effect in harness.effects]
    assert kinds.index(directory.InstancesChanged) < kinds.index(directory.PrefixReady)
    assert harness.request_prefix() == Prefix(("w1", "w2", "w3"), False)
    (watch,) = harness.sent(wire.Watch)
    assert (watch.function, watch.count, watch.epoch, watch.method) == ("f", 8, EPOCH, "m")


def test_an_unanswered_lookup_fails_once_after_its_time_out():
    harness = WatcherHarness()
    harness.request_prefix()
    harness.connect()
    harness.request_prefix()
    harness.run(SECOND // 2)
    failed = [(at, e) for at, e in harness.effects if isinstance(e, directory.LookupFailed)]
    assert len(failed) == 1 and 2_500 <= failed[0][0] <= 2_510 and failed[0][1].retry_after > 0


def test_without_a_holder_cached_prefixes_stay_and_other_lookups_fail_at_once():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.watcher.connection_lost(connection, harness.now)
    harness.collect_effects()
    for _ in range(2):
        harness.run(SECOND // 2)
        harness.watcher.connection_failed(harness.collected(directory.Dial)[-1].connection, harness.now)
        harness.collect_effects()
    assert harness.request_prefix("f") == Prefix(("w1", "w2", "w3"), False)
    before = len(harness.collected(directory.LookupFailed))
    assert harness.request_prefix("g") is None
    assert [e.function for e in harness.collected(directory.LookupFailed)[before:]] == ["g"]
    harness.run(3 * SECOND)
    back = harness.connect()
    ids = {watch.function: watch.id for watch in harness.sent(wire.Watch)}
    harness.snapshot(back, [4, 5], id=ids["g"])
    assert harness.request_prefix("g") == Prefix(("w4", "w5"), False)


def test_failed_dials_back_off_with_jitter_that_differs_between_watchers():
    times = []
    for seed in range(2):
        harness = WatcherHarness()
        harness.watcher.jitter.seed = seed
        harness.request_prefix()
        for _ in range(12):
            harness.watcher.connection_failed(harness.collected(directory.Dial)[-1].connection, harness.now)
            harness.run(3 * SECOND)
        dials = [at for at, e in harness.effects if isinstance(e, directory.Dial)]
        assert len(dials) < 40 and {e.replica for e in harness.collected(directory.Dial)} == set(COPIES)
        times.append(dials)
    assert times[0] != times[1]


def test_a_lease_starts_when_its_request_is_sent():
    harness = WatcherHarness(heartbeat=SECOND // 5, silence_timeout=10 * SECOND)
    connection = cache_prefix(harness)
    requested_at = harness.sent(wire.Renew)[-1].sent_at
    harness.now += SECOND // 4
    harness.receive(connection, wire.Renewed(requested_at, 3 * SECOND, 1, wire.Revision("e1", 1)))
    assert harness.watcher.connections[connection].lease_until == requested_at + 3 * SECOND


def test_an_answer_after_the_end_of_its_lease_is_ignored():
    """Guards against extending a lease that has expired."""
    harness = WatcherHarness(silence_timeout=10 * SECOND)
    connection = cache_prefix(harness)
    requested_at = harness.sent(wire.Renew)[-1].sent_at
    harness.run(29_000)
    harness.now += 2_000
    harness.receive(connection, wire.Renewed(requested_at, 3 * SECOND, 1, wire.Revision("e1", 1)))
    harness.run(10)
    assert harness.watcher.connections.get(connection) is None and "the lease expired" in harness.logs[-1]


def test_a_silent_holder_is_failed_over_from_within_a_second():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.answer_renewals(connection)
    silent_since = harness.now
    harness.run(SECOND)
    dials = [(at, e) for at, e in harness.effects if isinstance(e, directory.Dial)]
    assert dials[1][0] - silent_since < 9_000 and dials[1][1].replica != dials[0][1].replica
    other = harness.connect()
    harness.snapshot(other, [1, 2, 3], number=2)
    assert harness.collected(directory.PrefixReady) == [directory.PrefixReady("f", ("w1", "w2", "w3"), False)]


def test_a_snapshot_of_an_older_epoch_is_rejected():
    harness = WatcherHarness()
    harness.request_prefix()
    connection = harness.connect()
    harness.snapshot(connection, [1], epoch=EPOCH - 1)
    assert not harness.collected(directory.PrefixReady) and harness.collected(directory.CloseConnection)


def test_snapshots_are_rejected_once_a_higher_epoch_was_reported():
    harness = WatcherHarness()
    harness.request_prefix()
    connection = harness.connect()
    harness.receive(
        connection, wire.Refused(harness.sent(wire.Watch)[-1].id, wire.RefusalReason.OLD_EPOCH, EPOCH + 1)
    )
    harness.run(SECOND // 5)
    other = harness.connect()
    harness.snapshot(other, [1])
    assert not harness.collected(directory.PrefixReady)
    harness.watcher.replace_assignment(Assignment(EPOCH + 1, (COPIES,)), harness.now)
    harness.collect_effects()
    third = harness.connect()
    harness.snapshot(third, [1], epoch=EPOCH + 1)
    assert harness.collected(directory.PrefixReady)
    harness.watcher.replace_assignment(Assignment(EPOCH, ((),)), harness.now)
    assert harness.watcher.assignment.epoch == EPOCH + 1


def test_a_snapshot_of_an_older_revision_is_rejected_after_a_failover():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.update(connection, 9, [entry(1, start="2")])
    harness.watcher.connection_lost(connection, harness.now)
    harness.run(SECOND // 10)
    other = harness.connect()
    harness.snapshot(other, [1, 4], number=8)
    assert harness.request_prefix() == Prefix(("w1", "w2", "w3"), False)
    harness.run(SECOND // 5)
    harness.snapshot(other, [1, 4], number=9, start="2")
    assert harness.request_prefix() == Prefix(("w1", "w4"), False)


def test_a_replica_that_stays_behind_is_failed_over_from():
    """Its snapshots have an older revision than the watcher has from the previous replica."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.update(connection, 9)
    harness.watcher.connection_lost(connection, harness.now)
    harness.run(SECOND // 10)
    other = harness.connect()
    for _ in range(3):
        harness.snapshot(other, [1, 4], number=8)
        harness.answer_renewals(other)
        harness.run(SECOND // 8)
    assert harness.watcher.connections.get(other) is None


def test_a_snapshot_of_a_superseded_source_is_rejected():
    """The source e2 was seen after e1, so e1 is superseded whatever its numbers."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.watcher.connection_lost(connection, harness.now)
    harness.run(SECOND // 10)
    second = harness.connect()
    harness.snapshot(second, [5, 6], number=1, source="e2")
    harness.watcher.connection_lost(second, harness.now)
    harness.run(SECOND // 10)
    third = harness.connect()
    harness.snapshot(third, [1, 2, 3], number=100, source="e1")
    assert harness.request_prefix() == Prefix(("w5", "w6"), False)


def test_after_a_gap_new_snapshots_are_requested_and_the_batch_is_not_applied():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    watch = harness.sent(wire.Watch)[-1].id
    change = wire.PrefixChange(watch, 2, ["w3"], [])
    harness.update(connection, 2, changes=[change], skip=1)
    assert harness.request_prefix() == Prefix(("w1", "w2", "w3"), False)
    assert harness.sent(wire.Watch)[-1].id > watch
    harness.update(connection, 3, changes=[change])
    assert harness.request_prefix() == Prefix(("w1", "w2", "w3"), False)
    harness.snapshot(connection, [1, 2], number=3)
    assert harness.request_prefix() == Prefix(("w1", "w2"), False)


def test_a_batch_is_applied_once():
    """Guards against inserting an instance twice when a batch is received twice."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    watch = harness.sent(wire.Watch)[-1].id
    inserted = wire.PrefixChange(watch, 4, [], [wire.PlacedInstance(0, "w9")])
    message = wire.Update(2, wire.Revision("e1", 2), [wire.compact(entry(9))], [], [inserted])
    harness.receive(connection, message)
    harness.receive(connection, message)
    assert harness.request_prefix() == Prefix(("w9", "w1", "w2", "w3"), False)


def test_a_lost_last_batch_is_detected_at_the_next_renewal():
    """No later batch shows the gap, but the answer to a renewal carries the last sequence number."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.sequence[connection] += 1
    harness.answer_renewals(connection)
    assert len(harness.sent(wire.Watch)) == 2


def test_a_change_that_does_not_fit_causes_a_new_request():
    """The change removes an instance that the known prefix does not have."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    change = wire.PrefixChange(harness.sent(wire.Watch)[-1].id, 3, ["w7"], [])
    harness.update(connection, 2, changes=[change])
    assert len(harness.sent(wire.Watch)) == 2 and harness.request_prefix() == Prefix(
        ("w1", "w2", "w3"), False
    )


def test_a_gone_instance_is_reported_at_once_and_an_older_entry_does_not_restore_it():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.request_prefix("g")
    harness.update(connection, 9, gone=["w2"])
    assert harness.collected(directory.InstancesGone) == [directory.InstancesGone(("w2",))]
    assert harness.request_prefix() == Prefix(("w1", "w3"), False)
    second = DirectoryWatcher("d", "", Assignment(EPOCH, (COPIES, COPIES)), WatcherSettings(), 1, 0)
    second.instances.apply_entry(entry(2), wire.Revision("e1", 3), 0)
    second.instances.replace_prefix("f", (), ("w2",), wire.Revision("e1", 3), 0)
    second.instances.mark_gone("w2", wire.Revision("e1", 9))
    second.instances.apply_entry(entry(2), wire.Revision("e1", 8), 0)
    assert second.instances.names_not_gone(["w2"]) == ()
    second.instances.apply_entry(entry(2, "2"), wire.Revision("e1", 10), 0)
    assert second.instances.names_not_gone(["w2"]) == ("w2",)


def test_an_instance_restarted_at_its_address_is_published_as_changed():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.update(connection, 2, [entry(2, "2")])
    last = harness.collected(directory.InstancesChanged)[-1].entries
    assert [(e.name, e.start) for e in last] == [("w2", "2")]


def test_an_unchanged_entry_is_not_published_again():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    before = len(harness.effects)
    harness.update(connection, 2, [entry(2)])
    assert len(harness.effects) == before


def test_use_near_the_end_doubles_the_prefix_unless_it_is_complete():
    harness = WatcherHarness(first_count=4)
    assert harness.request_prefix() is None
    connection = harness.connect()
    harness.snapshot(connection, [1, 2, 3, 4])
    harness.watcher.function_used("f", 1, harness.now)
    harness.collect_effects()
    assert len(harness.sent(wire.Watch)) == 1
    harness.watcher.function_used("f", 3, harness.now)
    harness.collect_effects()
    assert harness.sent(wire.Watch)[-1].count == 8
    assert harness.watcher.extend_prefix("f", harness.now)
    harness.collect_effects()
    assert len(harness.sent(wire.Watch)) == 2
    harness.snapshot(connection, [1, 2, 3, 4, 5], complete=True)
    assert harness.collected(directory.PrefixReady)[-1].complete
    assert not harness.watcher.extend_prefix("f", harness.now)


def test_a_function_unused_for_the_idle_time_is_unwatched():
    harness = WatcherHarness(idle_timeout=5 * SECOND)
    connection = cache_prefix(harness)
    while harness.now < 6 * SECOND:
        harness.run(SECOND // 10)
        if harness.watcher.connections:
            harness.answer_renewals(connection)
    assert harness.sent(wire.Unwatch) and harness.collected(directory.CloseConnection)
    assert harness.collected(directory.InstancesEvicted)[-1].names == ("w1", "w2", "w3")
    assert not harness.watcher.functions and not harness.watcher.instances.known


def test_cached_state_is_bounded():
    harness = WatcherHarness(max_retired=3, max_functions=5, max_pending=2)
    connection = cache_prefix(harness)
    for i in range(10):
        harness.request_prefix(f"g{i}")
    assert len(harness.watcher.functions) == 5 and len(harness.watcher.lookups.pending) <= 2
    assert len(harness.collected(directory.LookupFailed)) == 8
    watch = harness.sent(wire.Watch)[0].id
    for i in range(20):
        insert = wire.PrefixChange(watch, 3, [f"w{3 + i}"], [wire.PlacedInstance(2, f"w{4 + i}")])
        harness.update(connection, 10 + i, [entry(4 + i)], changes=[insert])
    assert len(harness.watcher.instances.retired) == 3
    assert harness.watcher.instances.floor == wire.Revision("e1", 25)


def test_busy_fails_a_lookup_that_would_time_out_and_schedules_a_retry():
    harness = WatcherHarness()
    harness.request_prefix()
    connection = harness.connect()
    harness.receive(connection, wire.Busy(harness.sent(wire.Watch)[-1].id, SECOND))
    assert harness.collected(directory.LookupFailed)[-1].retry_after >= SECOND
    for _ in range(11):
        harness.run(SECOND // 10)
        harness.answer_renewals(connection)
    assert len(harness.sent(wire.Watch)) == 2
    harness.snapshot(connection, [1])
    assert harness.request_prefix() == Prefix(("w1",), False)


def test_a_stale_holder_is_left_for_another_replica_without_flapping():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.answer_renewals(connection, age=2 * SECOND)
    assert [d.replica for d in harness.collected(directory.Dial)] == list(harness.watcher.shards[0].replicas)
    other = harness.connect()
    harness.snapshot(other, [1, 2, 3], age=2 * SECOND)
    for _ in range(20):
        harness.run(SECOND // 10)
        harness.answer_renewals(other, age=3 * SECOND)
    assert len(harness.collected(directory.Dial)) == 2


def run_with_stale_replicas(harness, connection, seconds):
    """Run with all replicas cut off from the roster.

    Returns the times, in ticks, at which the watcher changed its replica, and the last connection.
    """
    moves, started_at = [], harness.now
    while harness.now - started_at < seconds * SECOND:
        harness.run(SECOND // 10)
        age = 2 * SECOND + harness.now - started_at
        harness.answer_renewals(connection, age=age)
        if connection not in harness.watcher.connections:
            moves.append(harness.now)
            connection = harness.connect()
            answer_unchanged(harness, connection, age=age)
    return moves, connection


def test_when_all_replicas_are_stale_moves_back_off_and_are_logged_once():
    harness = WatcherHarness(idle_timeout=1_000 * SECOND, rebalance_interval=1_000 * SECOND)
    moves, _ = run_with_stale_replicas(harness, cache_prefix(harness), 400)
    gaps = [after - before for before, after in pairwise(moves)]
    assert moves[0] <= SECOND // 5  # a replica that may be fresher is tried at once
    assert 10 * SECOND <= gaps[0] <= 20.1 * SECOND <= 2 * gaps[1] + SECOND
    assert all(40 * SECOND <= gap <= 80.1 * SECOND for gap in gaps[2:]) and len(moves) <= 10
    assert sum("no more for" in line for line in harness.logs) == 1
    assert harness.request_prefix() == Prefix(("w1", "w2", "w3"), False)


def test_after_a_fresh_replica_the_next_stale_one_is_left_at_once():
    harness = WatcherHarness()
    _, connection = run_with_stale_replicas(harness, cache_prefix(harness), 60)
    harness.answer_renewals(connection)
    harness.run(SECOND // 10)
    for _ in range(120):
        harness.answer_renewals(connection)
        harness.run(SECOND // 10)
    harness.answer_renewals(connection, age=2 * SECOND)
    assert connection not in harness.watcher.connections


def test_a_stalled_dispatcher_does_not_count_the_silence_of_holders():
    """Guards against closing connections after a stall of the watcher's own process."""
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    harness.answer_renewals(connection)
    harness.run(SECOND // 4)
    harness.now += 2 * SECOND
    harness.watcher.tick(harness.now)
    harness.collect_effects()
    assert connection in harness.watcher.connections
    harness.answer_renewals(connection)
    harness.run(SECOND // 2)
    harness.answer_renewals(connection)
    assert connection in harness.watcher.connections


def test_region_sums_are_published_when_they_change():
    harness = WatcherHarness()
    connection = cache_prefix(harness)
    sums = wire.RegionSums(10.0, 9.0, 8, 11)
    harness.answer_renewals(connection, sums=sums)
    harness.run(SECOND // 5)
    harness.answer_renewals(connection, sums=sums)
    assert harness.collected(directory.RegionSumsChanged) == [directory.RegionSumsChanged(sums)]


def test_sources_are_ordered_by_the_supersessions_that_holders_report():
    known = Revisions()
    known.record_seen("e1", 0)
    known.record_seen("e3", 0)
    known.record_superseded(["e1", "e2"], "e3", 0)
    assert known.order == ["e1", "e2", "e3"]
    assert not known.is_acceptable("e2", 0, 100) and known.is_acceptable("e3", 900, 100)
    assert known.is_acceptable("e4", 0, 100) and not known.is_acceptable("e4", 900, 100)
    late = Revisions()  # meets the newer source first, as by a replica that is ahead
    late.record_seen("e2", 0)
    late.record_seen("e1", 0)
    assert late.is_older(wire.Revision("e2", 9), wire.Revision("e1", 1))
    late.record_superseded(["e1"], "e2", 0)
    assert late.is_older(wire.Revision("e1", 1), wire.Revision("e2", 9))
    assert not late.is_acceptable("e1", 0, SOURCE_REVERSAL_TIMEOUT - 1) and late.is_acceptable(
        "e1", 0, SOURCE_REVERSAL_TIMEOUT
    )


# simulated regions; `breaches` collects what violates a rule of the directory


def drain(world, name):
    """Drain an instance. Returns the watchers whose prefixes contain it."""
    world.roster.note(msgspec.structs.replace(world.roster.entries[name], listing="draining"))
    return [w for w in world.watchers if any(name in f.names for f in w.decisions.functions.values())]


@pytest.mark.parametrize("fault", ["none", "stall", "kill", "cut", "cut from roster"])
@pytest.mark.parametrize("seed", range(4))
def test_a_drain_reaches_its_watchers_within_a_second_despite_a_holder_fault(fault, seed):
    world = DirectorySimulation(seed, SimulationPlan(copies=2), NO_FAULTS)
    world.conditions = replace(NO_FAULTS, calls=8.0, changes=0)
    world.day(4)
    holder = list(world.holders.values())[seed % 2]
    if fault == "stall":
        holder.stall(5 * SECOND)
    elif fault == "kill":
        holder.kill()
    elif fault == "cut":
        for watcher in world.watchers:
            world.cut_pairs.add((watcher.name, holder.copy))
            for connection in watcher.connections.values():
                if connection.holder is holder:
                    connection.cut(True)
    elif fault == "cut from roster":
        world.roster.break_off(holder)
        world.cut_from_roster.add(holder.copy)
        world.day(2.5)  # the holder reports it, and watchers switch to the other replica
    name = next(iter(world.watchers[0].decisions.functions.values())).names[0]
    drained_at = world.time.now
    watching = drain(world, name)
    world.day(1)
    assert watching
    for watcher in watching:
        notified_at = watcher.view.told_of[name, int(world.roster.entries[name].start), "draining"]
        assert notified_at - drained_at < SECOND
    assert not world.breaches.found


def test_all_dispatchers_of_a_zone_starting_at_once_are_served_by_both_replicas():
    """Guards against failed look-ups when 325 watchers of 6 functions each start within 100 ms.

    A replica sends at most 1,000 snapshots per second.
    """
    holder = HolderSettings(snapshot_rate=1_000, snapshot_burst=100)
    world = DirectorySimulation(
        1, SimulationPlan(watchers=325, copies=2, shards=1, functions=12, holder=holder), NO_FAULTS
    )
    world.conditions = replace(NO_FAULTS, calls=0, changes=0)
    for watcher in world.watchers:
        when = world.chance.randrange(SECOND // 10)
        for function in world.used[watcher.name]:
            world.time.at(when, lambda w=watcher, f=function: (w.call(f"f{f}"), w.after_event()))
    world.day(4)
    assert all(f.has_prefix for w in world.watchers for f in w.decisions.functions.values())
    assert all(len(w.decisions.functions) == 6 for w in world.watchers)
    connected = [len(h.decisions.sessions.all) for h in world.holders.values()]
    assert min(connected) > 100 and sum(connected) == 325
    assert not world.breaches.found
    lookups = sorted(length for w in world.watchers for length in w.view.lookups)
    failed = sum(w.view.failed for w in world.watchers)
    assert len(lookups) + failed == 325 * 6 and lookups[-1] <= 2_500


def test_a_watchers_state_does_not_grow_with_instances_or_functions_of_others():
    def state_sizes(instances, functions):
        plan = SimulationPlan(watchers=2, instances=instances, functions=functions)
        world = DirectorySimulation(3, plan, NO_FAULTS)
        world.used = {w.name: range(4) if w.name == "d0" else range(functions) for w in world.watchers}
        world.conditions = replace(NO_FAULTS, calls=10.0, changes=0)
        world.day(3)
        decisions = world.watchers[0].decisions
        return len(decisions.functions), len(decisions.instances.known), len(decisions.instances.retired)

    small, large = state_sizes(100, 8), state_sizes(1_600, 32)
    assert large[0] == small[0] == 4
    assert large[1] <= 1.5 * small[1] + 4 and large[2] <= small[2] + 4


@pytest.mark.parametrize("seed", range(24))
def test_random_schedules_converge_without_violations(seed):
    world = run_simulation(seed, fault_seconds=8, recovery_seconds=18)
    assert world.breaches.found == []
    assert sum(world.counts.values()) >= 4


def violations_of(seeds):
    return [
        violation
        for seed in seeds
        for violation in run_simulation(seed, fault_seconds=8, recovery_seconds=18).breaches.found
    ]


def test_checks_detect_a_lost_change(monkeypatch):
    original = Batches.full_update

    def drop_a_change(self, session, revision, now):
        update = original(self, session, revision, now)
        if update is not None and update.sequence % 7 == 3:
            update.changes = update.changes[1:]
        return update

    monkeypatch.setattr(Batches, "full_update", drop_a_change)
    assert any(
        " after batch " in violation or " ends as " in violation for violation in violations_of(range(3))
    )


def run_with_late_renewals():
    """Answers to renewals are delayed by 2.4 s; later requests are lost, so that leases expire."""
    settings = WatcherSettings(first_count=4, silence_timeout=20 * SECOND)
    world = DirectorySimulation(2, SimulationPlan(watchers=2, settings=settings), NO_FAULTS)
    world.conditions = replace(NO_FAULTS, calls=8.0, changes=0)
    world.day(2.03)
    connections = [connection for watcher in world.watchers for connection in watcher.connections.values()]
    for connection in connections:
        connection.to_watcher.cut = True
    world.day(0.25)
    for connection in connections:
        connection.to_holder.cut = True
    world.day(2.2)
    for connection in connections:
        connection.to_watcher.heal()
    world.day(0.1)
    for connection in connections:
        connection.to_watcher.cut = True  # the holder's close does not arrive
    world.day(2)
    assert connections
    for connection in connections:
        assert connection.session not in connection.holder.decisions.sessions.all
    return world


def test_a_lease_starts_at_its_request_even_if_answers_are_late():
    assert run_with_late_renewals().breaches.found == []


def test_checks_detect_a_lease_counted_from_the_answer(monkeypatch):
    original = HolderMessages.apply_renewal

    def count_lease_from_answer(self, connection, message, now):
        original(self, connection, message, now)
        connection.lease_until = now + message.lease

    monkeypatch.setattr(HolderMessages, "apply_renewal", count_lease_from_answer)
    assert any("lease that lapsed" in violation for violation in run_with_late_renewals().breaches.found)


def test_checks_detect_an_accepted_older_epoch(monkeypatch):
    original = HolderMessages.apply_snapshot
    original_send = WatchRequests.send

    def accept_any_epoch(self, connection, message, now):
        self.epoch_seen = 0
        original(self, connection, message, now)

    def send_with_old_epoch(self, connection, function, now):
        epoch = self.epoch
        self.epoch = 1 if connection.replica.port == 6_999 else epoch
        original_send(self, connection, function, now)
        self.epoch = epoch

    monkeypatch.setattr(HolderMessages, "apply_snapshot", accept_any_epoch)
    monkeypatch.setattr(WatchRequests, "send", send_with_old_epoch)
    assert any("older epoch" in violation for violation in violations_of(range(0, 9, 3)))


def test_checks_detect_a_batch_applied_out_of_sequence(monkeypatch):
    def accept_any_sequence(self, connection, sequence, now):
        connection.sequence = sequence
        return True

    def apply_without_checks(names, change):
        remaining = [name for name in names if name not in change.removed]
        for placed in change.inserted:
            remaining.insert(placed.position, placed.name)
        return tuple(dict.fromkeys(remaining))

    monkeypatch.setattr(HolderMessages, "in_sequence", accept_any_sequence)
    monkeypatch.setattr("lapistrestle.directory.holder_messages.apply_change", apply_without_checks)
    found = []
    for seed in range(3):
        world = random_simulation(seed)
        world.conditions = replace(FREQUENT_FAULTS, loss=0.15, duplicated=0.15)
        world.day(8)
        found += world.breaches.found
    assert any(" after batch " in violation for violation in found)


def test_checks_detect_a_holder_that_answers_right_after_a_stall(monkeypatch):
    def detect_nothing(self, now, entries=0):
        self.last_call_at = now

    monkeypatch.setattr(RosterFreshness, "detect_stall", detect_nothing)
    assert any("before it stood still" in violation for violation in violations_of(range(3)))


def test_checks_detect_an_accepted_older_revision(monkeypatch):
    monkeypatch.setattr(Revisions, "is_older", lambda self, one, other: False)
    monkeypatch.setattr(Revisions, "is_acceptable", lambda self, source, age, now: True)
    assert any(" goes back " in violation for violation in violations_of(range(6)))


def test_checks_detect_a_wrong_unchanged(monkeypatch):
    for module in ("watched_functions", "watch_requests"):
        monkeypatch.setattr(f"lapistrestle.directory.{module}.digest_of", lambda entries, complete: "same")
    assert any(" after batch " in violation for violation in violations_of(range(6)))


def test_a_lost_change_is_detected_by_the_prefix_length():
    with pytest.raises(RevisionGapError):
        apply_change(("a", "b"), wire.PrefixChange(1, 3, ["a"], [wire.PlacedInstance(0, "c")]))
