"""The state machines of holder and watcher, each rule by itself and in random schedules."""

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
    CALM,
    WILD,
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


class Directory:
    """A `ShardHolder` with a manual clock; collects its effects."""

    def __init__(self, instances=20, **settings):
        self.now = 0
        self.holder = ShardHolder(HolderSettings(epoch=EPOCH, oldest_epoch=EPOCH, **settings), 1, 0)
        self.number = 0
        self.sent = []
        self.closed = {}
        self.asked = 0
        self.last_id = 0
        self.tell([entry(i) for i in range(instances)], whole=True)

    def tell(self, entries, whole=False, source="e1", number=None):
        self.number = self.number + 1 if number is None else number
        revision = wire.Revision(source, self.number)
        self.holder.instances_changed(entries, whole, revision, self.now)
        self.collect()

    def collect(self):
        for effect in self.holder.take_effects():
            if isinstance(effect, directory.SendTo):
                self.sent.append((self.now, effect.session, effect.message))
            elif isinstance(effect, directory.CloseSession):
                self.closed[effect.session] = self.now
            else:
                self.asked += 1

    def watch(self, session, function, count=4, epoch=EPOCH, shard=0):
        self.last_id += 1
        self.say(session, wire.Watch(self.last_id, shard, epoch, function, count))
        return self.last_id

    def connect(self, session):
        self.holder.session_opened(session, self.now)

    def say(self, session, message):
        self.holder.message_received(session, message, self.now)
        self.collect()

    def run(self, length, renew=()):
        until = self.now + length
        renewed = self.now
        while self.holder.next_due() <= until:
            self.now = max(self.now, self.holder.next_due())
            self.holder.tick(self.now)
            self.collect()
            if self.now - renewed >= SECOND // 2:
                renewed = self.now
                for session in renew:
                    self.say(session, wire.Renew(self.now))
        self.now = until

    def of(self, kind, session=None):
        return [m for _, s, m in self.sent if isinstance(m, kind) and session in (None, s)]


def test_a_watch_is_answered_with_the_expected_prefix():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", 4)
    (snapshot,) = made.of(wire.Snapshot)
    truth = RegionInstances()
    truth.apply([entry(i) for i in range(20)], True, 0)
    assert tuple(e.name for e in snapshot.entries) == true_prefix(truth, "f", 4).names
    assert (snapshot.sequence, snapshot.complete, snapshot.revision) == (1, False, wire.Revision("e1", 1))


def test_draining_instances_keep_their_position_and_the_prefix_is_extended():
    made = Directory()
    made.connect(1)
    watch = made.watch(1, "f", 4)
    before = [e.name for e in made.of(wire.Snapshot)[0].entries]
    made.tell([entry(int(before[1][1:]), listing="draining")])
    made.run(SECOND)
    updates = made.of(wire.Update)
    assert [e.listing for e in updates[0].entries if e.name == before[1]] == ["draining"]
    (change,) = [change for update in updates for change in update.changes]
    assert (change.id, change.removed, change.length) == (watch, [], 5)
    assert [placed.position for placed in change.inserted] == [4]


def test_drains_and_removals_are_sent_within_100_ms_and_other_changes_in_batches():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", 4)
    names = [int(e.name[1:]) for e in made.of(wire.Snapshot)[0].entries]
    made.run(SECOND, renew=[1])
    began = made.now
    made.tell([entry(names[0], size=2.0)])
    made.run(100 * MILLISECOND)
    assert not made.of(wire.Update)
    made.tell([entry(names[1], listing="draining"), entry(names[2], listing="gone")])
    made.run(100 * MILLISECOND)
    (update,) = made.of(wire.Update)
    assert {e.name: e.listing for e in update.entries}[f"w{names[1]}"] == "draining"
    assert update.gone == [f"w{names[2]}"]
    made.run(SECOND)
    assert made.sent[-1][0] - began <= SECOND


def test_a_flapping_instance_is_sent_at_most_once_per_batch():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", 4)
    name = int(made.of(wire.Snapshot)[0].entries[0].name[1:])
    for i in range(200):  # twenty seconds
        made.tell([entry(name, listing="draining" if i % 2 else "serving")])
        made.run(SECOND // 10, renew=[1] if i % 10 == 0 else [])
        made.say(1, wire.Renew(made.now))
    told = [u for u in made.of(wire.Update) if any(e.name == f"w{name}" for e in u.entries)]
    assert 10 <= len(told) <= 20 * SECOND // made.holder.settings.batch_delay + 2


def test_a_drain_of_a_flapping_instance_is_sent_within_a_second():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", 4)
    name = int(made.of(wire.Snapshot)[0].entries[0].name[1:])
    made.tell([entry(name, listing="draining")])
    made.run(60 * MILLISECOND)
    made.tell([entry(name, listing="serving")])
    made.tell([entry(name, listing="draining")])
    began = made.now
    made.tell([entry(name, listing="draining", start="2")])
    made.run(SECOND)
    at, _, update = [x for x in made.sent if isinstance(x[2], wire.Update)][-1]
    assert at - began < SECOND and update.entries[0].start == "2"


def test_changes_outside_a_prefix_cause_no_recomputation_and_no_update():
    made = Directory(200)
    made.connect(1)
    made.watch(1, "f", 4)
    watched = {e.name for e in made.of(wire.Snapshot)[0].entries}
    others = [i for i in range(200) if f"w{i}" not in watched]
    before = made.holder.watched.recomputation_count
    made.tell([entry(i, listing="draining") for i in others[:100]])
    made.tell([entry(i, listing="gone") for i in others[:50]])
    made.run(SECOND)
    assert made.holder.watched.recomputation_count == before and not made.of(wire.Update)


def work_of_one_change(instances, ring=InstanceRing):
    """Prefixes computed and ring entries visited while 100 instances are removed and added again."""
    made = Directory(instances, snapshot_burst=10_000)
    made.connect(1)
    for i in range(200):
        made.watch(1, f"f{i}", 4)
    watched = made.holder.watched
    before = watched.recomputation_count, made.holder.instances.ring.steps + watched.positions.steps
    for i in range(100):
        made.tell([entry(i, listing="gone")])
        made.tell([entry(i, start="2")])
    steps = made.holder.instances.ring.steps + watched.positions.steps
    return watched.recomputation_count - before[0], steps - before[1]


def test_the_cost_of_a_change_is_proportional_to_the_affected_prefixes():
    """200 functions of 4 instances: with ten times the instances a change affects a tenth of the prefixes,
    and the remaining steps, inserting and removing 16 points, don't grow.
    """
    small, large = work_of_one_change(400), work_of_one_change(4_000)
    assert large[0] < small[0] / 4
    assert large[1] < 1.5 * small[1]


def test_the_cost_measure_detects_a_scan_over_all_watches(monkeypatch):
    monkeypatch.setattr(WatchedFunctions, "affected_functions", lambda self, changes: set(self.functions))
    small, large = work_of_one_change(400), work_of_one_change(1_000)
    assert large[0] >= small[0] / 4


def test_prefixes_after_each_change_equal_recomputed_ones():
    made = Directory(30, snapshot_burst=10_000)
    made.connect(1)
    for i in range(30):
        made.watch(1, f"f{i}", 1 + i % 6)
    jitter = Jitter(5)
    truth = RegionInstances()
    truth.apply([entry(i) for i in range(30)], True, 0)
    for step in range(400):
        number, what = jitter.below(40), jitter.below(4)
        listing = ("serving", "draining", "gone", "serving")[what]
        changed = entry(number, str(step), listing, (0.5, 1.0, 3.0)[jitter.below(3)])
        made.tell([changed])
        truth.apply([changed], False, 0)
        made.say(1, wire.Renew(made.now))
        for name, known in made.holder.watched.functions.items():
            for count, prefix in known.prefixes.items():
                assert prefix == true_prefix(truth, name, count)


def test_bytes_per_second_are_limited_except_for_urgent_changes():
    made = Directory(300, session_bytes=1_000, snapshot_burst=10_000)
    made.connect(1)
    for i in range(60):
        made.watch(1, f"f{i}", 4)
    made.sent.clear()
    for step in range(300):  # thirty seconds, ten changes each tenth of one
        made.tell([entry(i, size=1.0 + step % 7 / 10) for i in range(step % 30 * 10, step % 30 * 10 + 10)])
        made.say(1, wire.Renew(made.now))
        made.run(SECOND // 10)
    sent = sum(len(encode(update)) for update in made.of(wire.Update))
    assert 20_000 < sent < 1.25 * 1_000 * (30 + 4)
    made.sent.clear()
    made.tell([entry(i, listing="draining") for i in range(300)])
    made.run(150 * MILLISECOND)
    told = {e.name for update in made.of(wire.Update) for e in update.entries if e.listing == "draining"}
    mine = {
        name
        for known in made.holder.watched.functions.values()
        for p in known.prefixes.values()
        for name in p.names
    }
    assert len(mine) > 100 and len(told) > 100


def test_the_estimated_size_is_close_to_the_encoded_length():
    made = Directory(100, snapshot_burst=1_000)
    made.connect(1)
    for i in range(20):
        made.watch(1, f"f{i}", 8)
    made.tell(
        [entry(i, listing="gone") for i in range(0, 100, 7)] + [entry(i, "2") for i in range(3, 100, 7)]
    )
    made.run(SECOND)
    messages = made.of(wire.Snapshot) + made.of(wire.Update)
    assert len(messages) > 20
    encoded, estimated = sum(len(encode(m)) for m in messages), sum(map(line_bytes, messages))
    assert encoded == pytest.approx(estimated, rel=0.25)


def test_batches_are_limited_in_entries_without_losing_changes(monkeypatch):
    monkeypatch.setattr("lapistrestle.directory.sessions.MOST_IN_A_BATCH", 10)
    made = Directory(200, snapshot_burst=1_000, session_bytes=10**7)
    made.connect(1)
    ids = {made.watch(1, f"f{i}", 4): f"f{i}" for i in range(50)}
    names = {s.id: tuple(e.name for e in s.entries) for s in made.of(wire.Snapshot)}
    made.tell([entry(i, listing="gone") for i in range(60)])
    made.run(2 * SECOND)
    for update in made.of(wire.Update):
        assert len(update.entries) + len(update.gone) <= 30
        for change in update.changes:
            names[change.id] = apply_change(names[change.id], change)
    for watch, function in ids.items():
        assert names[watch] == made.holder.watched.functions[function].prefixes[4].names


def test_snapshots_are_admitted_at_the_rate_and_retry_times_are_spread():
    snapshot_limit = SnapshotRateLimit(1_000, 100, 2 * SECOND, 0, Jitter(1))
    waits = [snapshot_limit.retry_after(0) for _ in range(5_000)]
    assert waits.count(0) == 100
    told = sorted(wait for wait in waits if wait)
    assert told[-1] <= 2 * SECOND
    for tenth in range(1, 10):  # of the second after the burst: 100 each, the admitted rate
        assert 90 <= sum(tenth * 1_000 <= wait < (tenth + 1) * 1_000 for wait in told) <= 110
    in_half = sum(wait < 15_000 for wait in told if wait > SECOND)
    assert 0.3 < in_half / sum(wait > SECOND for wait in told) < 0.7


def test_a_busy_holder_sends_a_retry_time_and_keeps_the_earlier_watch():
    made = Directory(snapshot_burst=1, snapshot_rate=10)
    made.connect(1)
    first = made.watch(1, "f", 2)
    second = made.watch(1, "f", 8)
    (busy,) = made.of(wire.Busy)
    assert busy.id == second and 0 < busy.retry_after <= 2 * SECOND
    assert made.holder.watched.functions["f"].watches[1].id == first


def test_an_unrenewed_watch_expires_with_its_session():
    made = Directory()
    for session in (1, 2):
        made.connect(session)
        made.watch(session, "f", 4)
    made.run(5 * SECOND, renew=[2])
    assert list(made.closed) == [1] and made.closed[1] <= 3 * SECOND + 1_000
    assert list(made.holder.watched.functions["f"].watches) == [2]
    made.holder.session_closed(2, made.now)
    assert not made.holder.watched.functions and not made.holder.watched.functions_by_instance
    assert not len(made.holder.watched.positions) and not made.holder.watched.by_length


def test_a_silent_connection_is_closed_after_the_lease():
    made = Directory()
    made.connect(1)
    made.run(4 * SECOND)
    assert 1 in made.closed and not made.holder.sessions.all


@pytest.mark.parametrize(
    ("epoch", "shard", "why"), [(2, 0, "old epoch"), (4, 0, "new epoch"), (EPOCH, 5, "shard")]
)
def test_a_watch_of_another_epoch_or_shard_is_refused(epoch, shard, why):
    made = Directory()
    made.connect(1)
    made.watch(1, "f", epoch=epoch, shard=shard)
    assert [(m.reason, m.epoch) for m in made.of(wire.Refused)] == [(why, EPOCH)] and not made.of(
        wire.Snapshot
    )


def test_lookups_of_waiting_calls_take_precedence_over_other_watches():
    snapshot_limit = SnapshotRateLimit(1_000, 100, 2 * SECOND, 0, Jitter(1))
    renewed = [snapshot_limit.retry_after(0, waiting=False) for _ in range(1_000)]
    assert renewed.count(0) == 50
    waiting = [snapshot_limit.retry_after(0) for _ in range(100)]
    assert waiting[:50] == [0] * 50 and max(waiting) <= 500  # not queued behind the others
    assert SnapshotRateLimit(10, 1, SECOND, 0, Jitter(1)).retry_after(0, waiting=False) == 0


def test_snapshots_are_postponed_over_the_byte_limit():
    made = Directory(snapshot_burst=1_000, total_bytes=10_000)
    made.connect(1)
    for i in range(200):
        made.watch(1, f"f{i}", 8)
    assert 40 < len(made.of(wire.Snapshot)) < 100 and made.of(wire.Busy)
    assert len(made.of(wire.Snapshot)) + len(made.of(wire.Busy)) == 200


def digest_for(made, session, function, count=4):
    """A snapshot and the digest that a watcher with this prefix would send."""
    made.watch(session, function, count)
    snapshot = made.of(wire.Snapshot, session)[-1]
    return snapshot, digest_of(snapshot.entries, snapshot.complete)


def watch_again(made, function, digest, count=4):
    made.last_id += 1
    made.say(1, wire.Watch(made.last_id, 0, EPOCH, function, count, "", digest, True))
    return made.sent[-1][2]


def test_a_watcher_with_the_same_digest_is_sent_unchanged_and_later_updates():
    made = Directory()
    made.connect(1)
    made.connect(2)
    snapshot, digest = digest_for(made, 2, "f")
    made.run(SECOND)
    answer = watch_again(made, "f", digest)
    assert isinstance(answer, wire.Unchanged) and answer.sequence == 1
    assert (answer.revision, answer.lease) == (snapshot.revision, 3 * SECOND)
    made.tell([entry(int(snapshot.entries[0].name[1:]), listing="draining")])
    made.run(SECOND)
    (update,) = made.of(wire.Update, 1)
    assert [e.listing for e in update.entries][:1] == ["draining"]
    assert [change.id for change in update.changes] == [made.last_id]


@pytest.mark.parametrize("change", ["draining", "gone", "replaced", "moved", "resized"])
def test_a_prefix_with_any_change_is_sent_as_a_snapshot(change):
    made = Directory()
    made.connect(1)
    made.connect(2)
    snapshot, digest = digest_for(made, 2, "f")
    told = entry(int(snapshot.entries[1].name[1:]))
    told = {
        "draining": replace_entry(told, listing="draining"),
        "gone": replace_entry(told, listing="gone"),
        "replaced": replace_entry(told, start="2"),
        "moved": replace_entry(told, port=12_345),
        "resized": replace_entry(told, size=1.01),
    }[change]
    made.tell([told])
    answer = watch_again(made, "f", digest)
    assert isinstance(answer, wire.Snapshot)
    known = {e.name: e for e in answer.entries}
    assert change == "gone" or without_up_for(known[told.name]) == without_up_for(told)


def replace_entry(told, **fields):
    return msgspec.structs.replace(told, **fields)


def test_a_shared_answer_states_the_age_of_its_entries():
    made = Directory()
    made.connect(1)
    made.connect(2)
    made.watch(1, "f", 4)
    made.run(SECOND, renew=[1, 2])
    made.watch(2, "f", 4)
    first, second = made.of(wire.Snapshot)
    assert [e.up_for + second.up_for_age / 10 for e in second.entries] == [2_000.0] * 4
    assert first.entries == second.entries and (first.up_for_age, second.up_for_age) == (0, SECOND)


def test_an_older_epoch_is_served_during_a_change_of_assignment_and_refused_later():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", epoch=EPOCH)
    newer = replace(made.holder.settings, epoch=EPOCH + 1)
    made.holder.configure(newer, made.now)
    made.watch(1, "g", epoch=EPOCH)
    made.watch(1, "h", epoch=EPOCH + 1)
    assert [m.epoch for m in made.of(wire.Snapshot)] == [EPOCH, EPOCH, EPOCH + 1]
    made.holder.configure(replace(newer, oldest_epoch=EPOCH + 1), made.now)
    made.collect()
    assert 1 in made.closed
    made.holder.configure(replace(newer, epoch=EPOCH), made.now)
    assert made.holder.settings.epoch == EPOCH + 1


def test_a_stalled_holder_answers_only_after_a_new_list_from_its_roster():
    made = Directory()
    made.connect(1)
    made.watch(1, "f")
    made.run(SECOND, renew=[1])
    made.sent.clear()
    made.now += 2 * SECOND
    made.say(1, wire.Renew(made.now))
    made.watch(1, "g")
    assert made.asked == 1
    assert not made.of(wire.Renewed) and not made.of(wire.Snapshot)
    assert [m.reason for m in made.of(wire.Refused)] == ["stale"]
    made.tell([entry(0, listing="draining")])
    made.watch(1, "g")
    assert not made.of(wire.Snapshot)
    made.tell([entry(i) for i in range(20)], whole=True)
    made.watch(1, "g")
    made.say(1, wire.Renew(made.now))
    assert made.of(wire.Snapshot) and made.of(wire.Renewed)


def test_a_list_requested_before_a_stall_does_not_end_the_stall():
    made = Directory()
    made.connect(1)
    made.holder.snapshot_requested(made.now)
    made.now += 2 * SECOND
    made.tell([entry(i) for i in range(20)], whole=True)
    made.watch(1, "f")
    assert made.asked == 1 and not made.of(wire.Snapshot)
    made.tell([entry(i) for i in range(20)], whole=True)
    made.watch(1, "f")
    assert made.of(wire.Snapshot)


def test_a_holder_disconnected_from_its_roster_reports_the_age_of_its_data():
    made = Directory()
    made.connect(1)
    made.run(SECOND, renew=[1])
    made.holder.roster_lost(made.now)
    made.run(SECOND // 2, renew=[1])
    made.watch(1, "f")
    assert made.of(wire.Snapshot)[-1].age == SECOND // 2
    made.tell([entry(i) for i in range(20)], whole=True)
    made.watch(1, "g")
    assert made.of(wire.Snapshot)[-1].age == 0


def test_a_silent_roster_is_sent_a_request_and_counts_as_lost_without_an_answer():
    made = Directory()
    made.connect(1)
    made.run(6 * SECOND, renew=[1])
    assert made.asked == 1
    made.run(2 * SECOND, renew=[1])
    made.say(1, wire.Renew(made.now))
    assert made.of(wire.Renewed)[-1].age >= 7 * SECOND


def test_decoding_a_long_list_does_not_count_as_a_stall():
    made = Directory()
    made.run(SECOND)
    many = [entry(i) for i in range(60_000)]
    made.now += 3_200  # a third of a second, which decoding so many entries may take
    made.tell(many, whole=True)
    assert made.asked == 0
    made.now += 30_000
    made.tell([entry(0, listing="draining")])
    assert made.asked == 0
    made.now += 30_000
    made.tell([entry(1, listing="draining")])
    assert made.asked == 1


def test_a_lower_number_within_an_epoch_closes_all_sessions():
    made = Directory()
    made.connect(1)
    made.watch(1, "f")
    made.tell([entry(1)], whole=True, number=0)
    assert 1 in made.closed and made.holder.revision.number == 0


def test_region_sums_are_updated_by_each_change():
    made = Directory(10, ramp_time=10 * SECOND, cold_share=0.2)
    assert made.holder.instances.sums(0) == wire.RegionSums(10.0, pytest.approx(2.8, abs=0.9), 10, 10)
    made.tell([entry(0, listing="draining"), entry(1, size=3.0), entry(2, listing="gone")])
    sums = made.holder.instances.sums(60 * SECOND)
    assert (sums.size, sums.warm, sums.serving, sums.instances) == (10.0, 10.0, 8, 9)
    made.connect(1)
    for _ in range(20):
        made.say(1, wire.Renew(made.now))
        made.run(SECOND // 10)
    assert sum(m.sums is not None for m in made.of(wire.Renewed)) == 2


def test_inspect_returns_a_functions_order_and_the_holders_figures():
    made = Directory()
    made.connect(1)
    made.watch(1, "f", 4)
    made.say(1, wire.InspectRequest("f"))
    shown = msgspec.json.decode(made.of(wire.InspectResponse)[0].body)
    names = [e.name for e in made.of(wire.Snapshot)[0].entries]
    assert [e["name"] for e in shown["order"]][:4] == names and shown["watchers"] == 1
    assert made.holder.inspect()["watches"] == 1


# the watcher


class Dispatcher:
    """A `DirectoryWatcher` with a manual clock and scripted holders."""

    def __init__(self, copies=COPIES, **settings):
        self.now = 0
        self.watcher = DirectoryWatcher(
            "d", "", Assignment(EPOCH, (copies,)), WatcherSettings(**settings), 1, 0, self.note
        )
        self.effects, self.logs = [], []
        self.sequence = {}

    def note(self, text):
        self.logs.append(text)

    def collect(self):
        self.effects += [(self.now, effect) for effect in self.watcher.take_effects()]

    def of(self, kind):
        return [effect for _, effect in self.effects if isinstance(effect, kind)]

    def sent(self, kind):
        return [send.message for send in self.of(directory.Send) if isinstance(send.message, kind)]

    def run(self, length):
        until = self.now + length
        while self.watcher.next_due() <= until:
            self.now = max(self.now + 1, self.watcher.next_due())
            self.watcher.tick(self.now)
            self.collect()
        self.now = until

    def wanted(self, function="f"):
        prefix = self.watcher.prefix_for(function, "m", self.now)
        self.collect()
        return prefix

    def connect(self):
        number = self.of(directory.Dial)[-1].connection
        self.watcher.connection_ready(number, self.now)
        self.sequence[number] = 0
        self.collect()
        return number

    def hear(self, connection, message):
        self.watcher.message_received(connection, message, self.now)
        self.collect()

    def snapshot(self, connection, names, number=1, source="e1", start="1", id=None, epoch=EPOCH, **more):
        id = self.sent(wire.Watch)[-1].id if id is None else id
        self.sequence[connection] += 1
        entries = [wire.compact(entry(n, start)) for n in names]
        revision = wire.Revision(source, number)
        more = {"lease": 3 * SECOND, **more}
        self.hear(connection, wire.Snapshot(id, epoch, revision, self.sequence[connection], entries, **more))

    def update(self, connection, number, entries=(), gone=(), changes=(), skip=0):
        self.sequence[connection] += 1 + skip
        entries = [wire.compact(e) for e in entries]
        revision = wire.Revision("e1", number)
        self.hear(
            connection, wire.Update(self.sequence[connection], revision, entries, list(gone), list(changes))
        )

    def answer_renewals(self, connection, lease=3 * SECOND, **more):
        asked = self.sent(wire.Renew)[-1].sent_at
        revision = wire.Revision("e1", 1)
        self.hear(connection, wire.Renewed(asked, lease, self.sequence[connection], revision, **more))


def ready(dispatcher):
    """Have the watcher cache the prefix of f. Returns the connection."""
    assert dispatcher.wanted() is None
    connection = dispatcher.connect()
    dispatcher.snapshot(connection, [1, 2, 3])
    return connection


def unchanged(made, connection, number=1, source="e1", **more):
    """Answer the last watch with `Unchanged`."""
    made.sequence[connection] += 1
    id, revision = made.sent(wire.Watch)[-1].id, wire.Revision(source, number)
    sequence = made.sequence[connection]
    made.hear(connection, wire.Unchanged(id, EPOCH, revision, sequence, 3 * SECOND, **more))


def moved(made, connection):
    """Lose the connection and connect to another replica, with the cache intact."""
    made.watcher.connection_lost(connection, made.now)
    made.collect()
    made.run(100 * MILLISECOND)
    return made.connect()


def test_after_a_failover_an_unchanged_prefix_is_not_sent_again():
    made = Dispatcher()
    connection = ready(made)
    first = made.sent(wire.Watch)[0]
    assert (first.digest, first.has_prefix) == ("", False)
    held = digest_of([wire.compact(entry(n)) for n in (1, 2, 3)], False)
    other = moved(made, connection)
    assert (made.sent(wire.Watch)[-1].digest, made.sent(wire.Watch)[-1].has_prefix) == (held, True)
    told = len(made.of(directory.InstancesChanged)), len(made.of(directory.PrefixReady))
    unchanged(made, other, number=2)
    assert (len(made.of(directory.InstancesChanged)), len(made.of(directory.PrefixReady))) == told
    watch = made.sent(wire.Watch)[-1].id
    made.update(other, 3, changes=[wire.PrefixChange(watch, 2, ["w1"])])
    assert made.wanted() == Prefix(("w2", "w3"), False)


def test_unchanged_of_an_older_revision_is_rejected():
    made = Dispatcher()
    connection = ready(made)
    made.update(connection, 9)
    other = moved(made, connection)
    unchanged(made, other, number=8)
    assert made.watcher.functions["f"].watch < 0 and made.wanted() == Prefix(("w1", "w2", "w3"), False)


def test_unchanged_refers_to_the_entries_cached_when_the_watch_was_sent():
    made = Dispatcher()
    other = moved(made, ready(made))
    known = made.watcher.instances
    known.apply_entry(wire.compact(entry(1, "2")), wire.Revision("e1", 5), made.now)  # by another shard
    known.apply_entry(wire.compact(entry(2, "2")), wire.Revision("e1", 3), made.now)
    unchanged(made, other, number=4)
    assert [known.known[f"w{n}"].entry.start for n in (1, 2, 3)] == ["2", "1", "1"]
    assert [known.known[f"w{n}"].revision.number for n in (1, 2, 3)] == [5, 4, 4]


def test_up_for_is_advanced_by_its_age_in_the_message():
    made = Dispatcher()
    assert made.wanted() is None
    made.snapshot(made.connect(), [1], up_for_age=5_000)
    (told,) = made.of(directory.InstancesChanged)
    assert told.entries[0].up_for == 1_500.0


def test_a_first_call_dials_and_requests_its_prefix():
    made = Dispatcher()
    ready(made)
    assert made.of(directory.PrefixReady) == [directory.PrefixReady("f", ("w1", "w2", "w3"), False)]
    kinds = [type(effect) for _, effect in made.effects]
    assert kinds.index(directory.InstancesChanged) < kinds.index(directory.PrefixReady)
    assert made.wanted() == Prefix(("w1", "w2", "w3"), False)
    (watch,) = made.sent(wire.Watch)
    assert (watch.function, watch.count, watch.epoch, watch.method) == ("f", 8, EPOCH, "m")


def test_an_unanswered_lookup_fails_once_after_its_time_out():
    made = Dispatcher()
    made.wanted()
    made.connect()
    made.wanted()
    made.run(SECOND // 2)
    failed = [(at, e) for at, e in made.effects if isinstance(e, directory.LookupFailed)]
    assert len(failed) == 1 and 2_500 <= failed[0][0] <= 2_510 and failed[0][1].retry_after > 0


def test_without_a_holder_cached_prefixes_stay_and_other_lookups_fail_at_once():
    made = Dispatcher()
    connection = ready(made)
    made.watcher.connection_lost(connection, made.now)
    made.collect()
    for _ in range(2):
        made.run(SECOND // 2)
        made.watcher.connection_failed(made.of(directory.Dial)[-1].connection, made.now)
        made.collect()
    assert made.wanted("f") == Prefix(("w1", "w2", "w3"), False)
    before = len(made.of(directory.LookupFailed))
    assert made.wanted("g") is None
    assert [e.function for e in made.of(directory.LookupFailed)[before:]] == ["g"]
    made.run(3 * SECOND)
    back = made.connect()
    ids = {watch.function: watch.id for watch in made.sent(wire.Watch)}
    made.snapshot(back, [4, 5], id=ids["g"])
    assert made.wanted("g") == Prefix(("w4", "w5"), False)


def test_failed_dials_back_off_with_jitter_that_differs_between_watchers():
    times = []
    for seed in range(2):
        made = Dispatcher()
        made.watcher.jitter.seed = seed
        made.wanted()
        for _ in range(12):
            made.watcher.connection_failed(made.of(directory.Dial)[-1].connection, made.now)
            made.run(3 * SECOND)
        dials = [at for at, e in made.effects if isinstance(e, directory.Dial)]
        assert len(dials) < 40 and {e.replica for e in made.of(directory.Dial)} == set(COPIES)
        times.append(dials)
    assert times[0] != times[1]


def test_a_lease_starts_when_its_request_is_sent():
    made = Dispatcher(heartbeat=SECOND // 5, silence_timeout=10 * SECOND)
    connection = ready(made)
    asked = made.sent(wire.Renew)[-1].sent_at
    made.now += SECOND // 4
    made.hear(connection, wire.Renewed(asked, 3 * SECOND, 1, wire.Revision("e1", 1)))
    assert made.watcher.connections[connection].lease_until == asked + 3 * SECOND


def test_an_answer_after_the_end_of_its_lease_is_ignored():
    made = Dispatcher(silence_timeout=10 * SECOND)
    connection = ready(made)
    asked = made.sent(wire.Renew)[-1].sent_at
    made.run(29_000)
    made.now += 2_000
    made.hear(connection, wire.Renewed(asked, 3 * SECOND, 1, wire.Revision("e1", 1)))
    made.run(10)
    assert made.watcher.connections.get(connection) is None and "the lease expired" in made.logs[-1]


def test_a_silent_holder_is_failed_over_from_within_a_second():
    made = Dispatcher()
    connection = ready(made)
    made.answer_renewals(connection)
    silent = made.now
    made.run(SECOND)
    dials = [(at, e) for at, e in made.effects if isinstance(e, directory.Dial)]
    assert dials[1][0] - silent < 9_000 and dials[1][1].replica != dials[0][1].replica
    other = made.connect()
    made.snapshot(other, [1, 2, 3], number=2)
    assert made.of(directory.PrefixReady) == [directory.PrefixReady("f", ("w1", "w2", "w3"), False)]


def test_a_snapshot_of_an_older_epoch_is_rejected():
    made = Dispatcher()
    made.wanted()
    connection = made.connect()
    made.snapshot(connection, [1], epoch=EPOCH - 1)
    assert not made.of(directory.PrefixReady) and made.of(directory.CloseConnection)


def test_snapshots_are_rejected_once_a_higher_epoch_was_reported():
    made = Dispatcher()
    made.wanted()
    connection = made.connect()
    made.hear(connection, wire.Refused(made.sent(wire.Watch)[-1].id, wire.RefusalReason.OLD_EPOCH, EPOCH + 1))
    made.run(SECOND // 5)
    other = made.connect()
    made.snapshot(other, [1])
    assert not made.of(directory.PrefixReady)
    made.watcher.replace_assignment(Assignment(EPOCH + 1, (COPIES,)), made.now)
    made.collect()
    third = made.connect()
    made.snapshot(third, [1], epoch=EPOCH + 1)
    assert made.of(directory.PrefixReady)
    made.watcher.replace_assignment(Assignment(EPOCH, ((),)), made.now)
    assert made.watcher.assignment.epoch == EPOCH + 1


def test_a_snapshot_of_an_older_revision_is_rejected_after_a_failover():
    made = Dispatcher()
    connection = ready(made)
    made.update(connection, 9, [entry(1, start="2")])
    made.watcher.connection_lost(connection, made.now)
    made.run(SECOND // 10)
    other = made.connect()
    made.snapshot(other, [1, 4], number=8)
    assert made.wanted() == Prefix(("w1", "w2", "w3"), False)
    made.run(SECOND // 5)
    made.snapshot(other, [1, 4], number=9, start="2")
    assert made.wanted() == Prefix(("w1", "w4"), False)


def test_a_replica_that_stays_behind_is_failed_over_from():
    made = Dispatcher()
    connection = ready(made)
    made.update(connection, 9)
    made.watcher.connection_lost(connection, made.now)
    made.run(SECOND // 10)
    other = made.connect()
    for _ in range(3):
        made.snapshot(other, [1, 4], number=8)
        made.answer_renewals(other)
        made.run(SECOND // 8)
    assert made.watcher.connections.get(other) is None


def test_a_snapshot_of_a_superseded_source_is_rejected():
    made = Dispatcher()
    connection = ready(made)
    made.watcher.connection_lost(connection, made.now)
    made.run(SECOND // 10)
    second = made.connect()
    made.snapshot(second, [5, 6], number=1, source="e2")
    made.watcher.connection_lost(second, made.now)
    made.run(SECOND // 10)
    third = made.connect()
    made.snapshot(third, [1, 2, 3], number=100, source="e1")
    assert made.wanted() == Prefix(("w5", "w6"), False)


def test_after_a_gap_new_snapshots_are_requested_and_the_batch_is_not_applied():
    made = Dispatcher()
    connection = ready(made)
    watch = made.sent(wire.Watch)[-1].id
    change = wire.PrefixChange(watch, 2, ["w3"], [])
    made.update(connection, 2, changes=[change], skip=1)
    assert made.wanted() == Prefix(("w1", "w2", "w3"), False)
    assert made.sent(wire.Watch)[-1].id > watch
    made.update(connection, 3, changes=[change])
    assert made.wanted() == Prefix(("w1", "w2", "w3"), False)
    made.snapshot(connection, [1, 2], number=3)
    assert made.wanted() == Prefix(("w1", "w2"), False)


def test_a_batch_is_applied_once():
    made = Dispatcher()
    connection = ready(made)
    watch = made.sent(wire.Watch)[-1].id
    inserted = wire.PrefixChange(watch, 4, [], [wire.PlacedInstance(0, "w9")])
    message = wire.Update(2, wire.Revision("e1", 2), [wire.compact(entry(9))], [], [inserted])
    made.hear(connection, message)
    made.hear(connection, message)
    assert made.wanted() == Prefix(("w9", "w1", "w2", "w3"), False)


def test_a_lost_last_batch_is_detected_at_the_next_renewal():
    made = Dispatcher()
    connection = ready(made)
    made.sequence[connection] += 1
    made.answer_renewals(connection)
    assert len(made.sent(wire.Watch)) == 2


def test_a_change_that_does_not_fit_causes_a_new_request():
    made = Dispatcher()
    connection = ready(made)
    change = wire.PrefixChange(made.sent(wire.Watch)[-1].id, 3, ["w7"], [])
    made.update(connection, 2, changes=[change])
    assert len(made.sent(wire.Watch)) == 2 and made.wanted() == Prefix(("w1", "w2", "w3"), False)


def test_a_gone_instance_is_reported_at_once_and_an_older_entry_does_not_restore_it():
    made = Dispatcher()
    connection = ready(made)
    made.wanted("g")
    made.update(connection, 9, gone=["w2"])
    assert made.of(directory.InstancesGone) == [directory.InstancesGone(("w2",))]
    assert made.wanted() == Prefix(("w1", "w3"), False)
    second = DirectoryWatcher("d", "", Assignment(EPOCH, (COPIES, COPIES)), WatcherSettings(), 1, 0)
    second.instances.apply_entry(entry(2), wire.Revision("e1", 3), 0)
    second.instances.replace_prefix("f", (), ("w2",), wire.Revision("e1", 3), 0)
    second.instances.mark_gone("w2", wire.Revision("e1", 9))
    second.instances.apply_entry(entry(2), wire.Revision("e1", 8), 0)
    assert second.instances.usable(["w2"]) == ()
    second.instances.apply_entry(entry(2, "2"), wire.Revision("e1", 10), 0)
    assert second.instances.usable(["w2"]) == ("w2",)


def test_an_instance_restarted_at_its_address_is_published_as_changed():
    made = Dispatcher()
    connection = ready(made)
    made.update(connection, 2, [entry(2, "2")])
    last = made.of(directory.InstancesChanged)[-1].entries
    assert [(e.name, e.start) for e in last] == [("w2", "2")]


def test_an_unchanged_entry_is_not_published_again():
    made = Dispatcher()
    connection = ready(made)
    before = len(made.effects)
    made.update(connection, 2, [entry(2)])
    assert len(made.effects) == before


def test_use_near_the_end_doubles_the_prefix_unless_it_is_complete():
    made = Dispatcher(first_count=4)
    assert made.wanted() is None
    connection = made.connect()
    made.snapshot(connection, [1, 2, 3, 4])
    made.watcher.function_used("f", 1, made.now)
    made.collect()
    assert len(made.sent(wire.Watch)) == 1
    made.watcher.function_used("f", 3, made.now)
    made.collect()
    assert made.sent(wire.Watch)[-1].count == 8
    assert made.watcher.extend_prefix("f", made.now)
    made.collect()
    assert len(made.sent(wire.Watch)) == 2
    made.snapshot(connection, [1, 2, 3, 4, 5], complete=True)
    assert made.of(directory.PrefixReady)[-1].complete
    assert not made.watcher.extend_prefix("f", made.now)


def test_a_function_unused_for_the_idle_time_is_unwatched():
    made = Dispatcher(idle_timeout=5 * SECOND)
    connection = ready(made)
    while made.now < 6 * SECOND:
        made.run(SECOND // 10)
        if made.watcher.connections:
            made.answer_renewals(connection)
    assert made.sent(wire.Unwatch) and made.of(directory.CloseConnection)
    assert made.of(directory.InstancesEvicted)[-1].names == ("w1", "w2", "w3")
    assert not made.watcher.functions and not made.watcher.instances.known


def test_cached_state_is_bounded():
    made = Dispatcher(max_retired=3, max_functions=5, max_pending=2)
    connection = ready(made)
    for i in range(10):
        made.wanted(f"g{i}")
    assert len(made.watcher.functions) == 5 and len(made.watcher.lookups.pending) <= 2
    assert len(made.of(directory.LookupFailed)) == 8
    watch = made.sent(wire.Watch)[0].id
    for i in range(20):
        insert = wire.PrefixChange(watch, 3, [f"w{3 + i}"], [wire.PlacedInstance(2, f"w{4 + i}")])
        made.update(connection, 10 + i, [entry(4 + i)], changes=[insert])
    assert len(made.watcher.instances.retired) == 3
    assert made.watcher.instances.floor == wire.Revision("e1", 25)


def test_busy_fails_a_lookup_that_would_time_out_and_schedules_a_retry():
    made = Dispatcher()
    made.wanted()
    connection = made.connect()
    made.hear(connection, wire.Busy(made.sent(wire.Watch)[-1].id, SECOND))
    assert made.of(directory.LookupFailed)[-1].retry_after >= SECOND
    for _ in range(11):
        made.run(SECOND // 10)
        made.answer_renewals(connection)
    assert len(made.sent(wire.Watch)) == 2
    made.snapshot(connection, [1])
    assert made.wanted() == Prefix(("w1",), False)


def test_a_stale_holder_is_left_for_another_replica_without_flapping():
    made = Dispatcher()
    connection = ready(made)
    made.answer_renewals(connection, age=2 * SECOND)
    assert [d.replica for d in made.of(directory.Dial)] == list(made.watcher.shards[0].replicas)
    other = made.connect()
    made.snapshot(other, [1, 2, 3], age=2 * SECOND)
    for _ in range(20):
        made.run(SECOND // 10)
        made.answer_renewals(other, age=3 * SECOND)
    assert len(made.of(directory.Dial)) == 2


def stale_days(made, connection, seconds):
    """All replicas are cut off from the roster. Returns the times of moves, in ticks, and the connection."""
    moves, began = [], made.now
    while made.now - began < seconds * SECOND:
        made.run(SECOND // 10)
        age = 2 * SECOND + made.now - began
        made.answer_renewals(connection, age=age)
        if connection not in made.watcher.connections:
            moves.append(made.now)
            connection = made.connect()
            unchanged(made, connection, age=age)
    return moves, connection


def test_when_all_replicas_are_stale_moves_back_off_and_are_logged_once():
    made = Dispatcher(idle_timeout=1_000 * SECOND, rebalance_interval=1_000 * SECOND)
    moves, _ = stale_days(made, ready(made), 400)
    gaps = [after - before for before, after in pairwise(moves)]
    assert moves[0] <= SECOND // 5  # a replica that may be fresher is tried at once
    assert 10 * SECOND <= gaps[0] <= 20.1 * SECOND <= 2 * gaps[1] + SECOND
    assert all(40 * SECOND <= gap <= 80.1 * SECOND for gap in gaps[2:]) and len(moves) <= 10
    assert sum("no more for" in line for line in made.logs) == 1
    assert made.wanted() == Prefix(("w1", "w2", "w3"), False)


def test_after_a_fresh_replica_the_next_stale_one_is_left_at_once():
    made = Dispatcher()
    _, connection = stale_days(made, ready(made), 60)
    made.answer_renewals(connection)
    made.run(SECOND // 10)
    for _ in range(120):
        made.answer_renewals(connection)
        made.run(SECOND // 10)
    made.answer_renewals(connection, age=2 * SECOND)
    assert connection not in made.watcher.connections


def test_a_stalled_dispatcher_does_not_count_the_silence_of_holders():
    made = Dispatcher()
    connection = ready(made)
    made.answer_renewals(connection)
    made.run(SECOND // 4)
    made.now += 2 * SECOND
    made.watcher.tick(made.now)
    made.collect()
    assert connection in made.watcher.connections
    made.answer_renewals(connection)
    made.run(SECOND // 2)
    made.answer_renewals(connection)
    assert connection in made.watcher.connections


def test_region_sums_are_published_when_they_change():
    made = Dispatcher()
    connection = ready(made)
    sums = wire.RegionSums(10.0, 9.0, 8, 11)
    made.answer_renewals(connection, sums=sums)
    made.run(SECOND // 5)
    made.answer_renewals(connection, sums=sums)
    assert made.of(directory.RegionSumsChanged) == [directory.RegionSumsChanged(sums)]


def test_sources_are_ordered_by_the_supersessions_that_holders_report():
    known = Revisions()
    known.record_seen("e1", 0)
    known.record_seen("e3", 0)
    known.record_superseded(["e1", "e2"], "e3", 0)
    assert known.order == ["e1", "e2", "e3"]
    assert not known.is_acceptable("e2", 0, 100) and known.is_acceptable("e3", 900, 100)
    assert known.is_acceptable("e4", 0, 100) and not known.is_acceptable("e4", 900, 100)
    late = Revisions()  # sees the new source first
    late.record_seen("e2", 0)
    late.record_seen("e1", 0)
    assert late.is_older(wire.Revision("e2", 9), wire.Revision("e1", 1))
    late.record_superseded(["e1"], "e2", 0)
    assert late.is_older(wire.Revision("e1", 1), wire.Revision("e2", 9))
    assert not late.is_acceptable("e1", 0, SOURCE_REVERSAL_TIMEOUT - 1) and late.is_acceptable(
        "e1", 0, SOURCE_REVERSAL_TIMEOUT
    )


# whole regions in virtual time


def drained(world, name):
    """Drain an instance. Returns the watchers whose prefixes contain it."""
    world.roster.note(msgspec.structs.replace(world.roster.entries[name], listing="draining"))
    return [w for w in world.watchers if any(name in f.names for f in w.decisions.functions.values())]


@pytest.mark.parametrize("trouble", ["none", "stall", "kill", "cut", "cut from roster"])
@pytest.mark.parametrize("seed", range(4))
def test_a_drain_reaches_its_watchers_within_a_second_despite_a_holder_fault(trouble, seed):
    world = DirectorySimulation(seed, SimulationPlan(copies=2), CALM)
    world.weather = replace(CALM, calls=8.0, changes=0)
    world.day(4)
    holder = list(world.holders.values())[seed % 2]
    if trouble == "stall":
        holder.stall(5 * SECOND)
    elif trouble == "kill":
        holder.kill()
    elif trouble == "cut":
        for watcher in world.watchers:
            world.cut_pairs.add((watcher.name, holder.copy))
            for connection in watcher.connections.values():
                if connection.holder is holder:
                    connection.cut(True)
    elif trouble == "cut from roster":
        world.roster.break_off(holder)
        world.cut_from_roster.add(holder.copy)
        world.day(2.5)  # the holder reports it, and watchers switch to the other replica
    name = next(iter(world.watchers[0].decisions.functions.values())).names[0]
    started = world.time.now
    watching = drained(world, name)
    world.day(1)
    assert watching
    for watcher in watching:
        told = watcher.view.told_of[name, int(world.roster.entries[name].start), "draining"]
        assert told - started < SECOND
    assert not world.breaches.found


def test_all_dispatchers_of_a_zone_starting_at_once_are_served_by_both_replicas():
    """325 start within 100 ms, with 6 functions each; a replica sends 1,000 snapshots per second."""
    holder = HolderSettings(snapshot_rate=1_000, snapshot_burst=100)
    world = DirectorySimulation(
        1, SimulationPlan(watchers=325, copies=2, shards=1, functions=12, holder=holder), CALM
    )
    world.weather = replace(CALM, calls=0, changes=0)
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
    def held(instances, functions):
        plan = SimulationPlan(watchers=2, instances=instances, functions=functions)
        world = DirectorySimulation(3, plan, CALM)
        world.used = {w.name: range(4) if w.name == "d0" else range(functions) for w in world.watchers}
        world.weather = replace(CALM, calls=10.0, changes=0)
        world.day(3)
        decisions = world.watchers[0].decisions
        return len(decisions.functions), len(decisions.instances.known), len(decisions.instances.retired)

    small, large = held(100, 8), held(1_600, 32)
    assert large[0] == small[0] == 4
    assert large[1] <= 1.5 * small[1] + 4 and large[2] <= small[2] + 4


@pytest.mark.parametrize("seed", range(24))
def test_random_schedules_converge_without_violations(seed):
    world = run_simulation(seed, rough=8, calm=18)
    assert world.breaches.found == []
    assert sum(world.counts.values()) >= 4


def breaches_of(seeds):
    return [breach for seed in seeds for breach in run_simulation(seed, rough=8, calm=18).breaches.found]


def test_checks_detect_a_lost_change(monkeypatch):
    made = Batches.full_update

    def lose(self, session, revision, now):
        update = made(self, session, revision, now)
        if update is not None and update.sequence % 7 == 3:
            update.changes = update.changes[1:]
        return update

    monkeypatch.setattr(Batches, "full_update", lose)
    assert any(" after batch " in breach or " ends as " in breach for breach in breaches_of(range(3)))


def held_answers():
    """Answers to renewals are delayed by 2.4 s; later requests are lost, so that leases expire."""
    settings = WatcherSettings(first_count=4, silence_timeout=20 * SECOND)
    world = DirectorySimulation(2, SimulationPlan(watchers=2, settings=settings), CALM)
    world.weather = replace(CALM, calls=8.0, changes=0)
    world.day(2.03)
    made = [connection for watcher in world.watchers for connection in watcher.connections.values()]
    for connection in made:
        connection.to_watcher.cut = True
    world.day(0.25)
    for connection in made:
        connection.to_holder.cut = True
    world.day(2.2)
    for connection in made:
        connection.to_watcher.heal()
    world.day(0.1)
    for connection in made:
        connection.to_watcher.cut = True  # the holder's close does not arrive
    world.day(2)
    assert made
    for connection in made:
        assert connection.session not in connection.holder.decisions.sessions.all
    return world


def test_a_lease_starts_at_its_request_even_if_answers_are_late():
    assert held_answers().breaches.found == []


def test_checks_detect_a_lease_counted_from_the_answer(monkeypatch):
    made = HolderMessages.apply_renewal

    def renewed(self, connection, message, now):
        made(self, connection, message, now)
        connection.lease_until = now + message.lease

    monkeypatch.setattr(HolderMessages, "apply_renewal", renewed)
    assert any("lease that lapsed" in breach for breach in held_answers().breaches.found)


def test_checks_detect_an_accepted_older_epoch(monkeypatch):
    made = HolderMessages.apply_snapshot
    ask = WatchRequests.send

    def snapshot(self, connection, message, now):
        self.epoch_seen = 0
        made(self, connection, message, now)

    def asked(self, connection, function, now):
        kept = self.epoch
        self.epoch = 1 if connection.replica.port == 6_999 else kept
        ask(self, connection, function, now)
        self.epoch = kept

    monkeypatch.setattr(HolderMessages, "apply_snapshot", snapshot)
    monkeypatch.setattr(WatchRequests, "send", asked)
    assert any("older epoch" in breach for breach in breaches_of(range(0, 9, 3)))


def test_checks_detect_a_batch_applied_out_of_sequence(monkeypatch):
    def in_turn(self, connection, sequence, now):
        connection.sequence = sequence
        return True

    def careless(names, change):
        kept = [name for name in names if name not in change.removed]
        for placed in change.inserted:
            kept.insert(placed.position, placed.name)
        return tuple(dict.fromkeys(kept))

    monkeypatch.setattr(HolderMessages, "in_sequence", in_turn)
    monkeypatch.setattr("lapistrestle.directory.holder_messages.apply_change", careless)
    found = []
    for seed in range(3):
        world = random_simulation(seed)
        world.weather = replace(WILD, loss=0.15, doubled=0.15)
        world.day(8)
        found += world.breaches.found
    assert any(" after batch " in breach for breach in found)


def test_checks_detect_a_holder_that_answers_right_after_a_stall(monkeypatch):
    def called(self, now, entries=0):
        self.last_call_at = now

    monkeypatch.setattr(RosterFreshness, "record_call", called)
    assert any("before it stood still" in breach for breach in breaches_of(range(3)))


def test_checks_detect_an_accepted_older_revision(monkeypatch):
    monkeypatch.setattr(Revisions, "is_older", lambda self, one, other: False)
    monkeypatch.setattr(Revisions, "is_acceptable", lambda self, source, age, now: True)
    assert any(" goes back " in breach for breach in breaches_of(range(6)))


def test_checks_detect_a_wrong_unchanged(monkeypatch):
    for module in ("watched_functions", "watch_requests"):
        monkeypatch.setattr(f"lapistrestle.directory.{module}.digest_of", lambda entries, complete: "same")
    assert any(" after batch " in breach for breach in breaches_of(range(6)))


def test_a_lost_change_is_detected_by_the_prefix_length():
    with pytest.raises(RevisionGapError):
        apply_change(("a", "b"), wire.PrefixChange(1, 3, ["a"], [wire.PlacedInstance(0, "c")]))
