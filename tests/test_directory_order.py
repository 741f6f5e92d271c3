"""The order of instances: deterministic, stable under changes, proportional to size, and cheap to compute."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapistrestle.directory.assignment import Assignment, ShardReplica, shard_of
from lapistrestle.directory.hash_ring import INSTANCE, InstanceRing, draws, points_for
from lapistrestle.directory.prefixes import Prefix, RevisionGapError, apply_change, change_message, difference
from lapistrestle.directory.ring_positions import RING, RingPositions

SIZES = st.sampled_from([0.25, 0.5, 1.0, 2.0, 4.0])
FLEETS = st.dictionaries(st.integers(0, 10_000).map(lambda n: f"w{n}"), SIZES, min_size=1, max_size=40)
FIRST_DRAW, NINTH_DRAW = 9464461232804495405, 3085767342465976735
BERTH_SHARD, BERTH_ORDER = 5, ["w5", "w2", "w1", "w7"]
FUNCTION = st.integers(0, 1_000).map(lambda n: f"f{n}")


def ring_of(fleet):
    ring = InstanceRing()
    for name, size in fleet.items():
        ring.insert(name, size)
    return ring


def many(count, size=1.0):
    return ring_of({f"w{i}": size for i in range(count)})


@given(FLEETS, FUNCTION, st.randoms(use_true_random=False))
def test_the_order_is_independent_of_the_history_of_the_fleet(fleet, function, random):
    """Insert in another order, and add, resize and remove other instances in between."""
    names = list(fleet)
    random.shuffle(names)
    other = ring_of({f"x{i}": 1.0 for i in range(5)})
    for name in names:
        other.insert(name, random.choice([0.25, 1.0, 8.0]))
    for i in range(5):
        other.remove(f"x{i}")
    for name in names:
        other.insert(name, fleet[name])
    assert other.prefix(function, len(fleet)) == ring_of(fleet).prefix(function, len(fleet))
    assert len(other.points) == sum(points_for(size) for size in fleet.values())


@given(FLEETS, FUNCTION)
def test_an_order_has_each_instance_once_and_prefixes_are_nested(fleet, function):
    ring = ring_of(fleet)
    whole = ring.prefix(function, len(fleet) + 3)
    assert sorted(whole) == sorted(fleet)
    for count in range(len(fleet)):
        assert ring.prefix(function, count) == whole[:count]


@given(FLEETS, FUNCTION, st.integers(1, 10), st.data())
def test_a_removed_instance_changes_only_prefixes_that_contained_it(fleet, function, count, data):
    leaver = data.draw(st.sampled_from(sorted(fleet)))
    ring = ring_of(fleet)
    before = ring.prefix(function, count)
    ring.remove(leaver)
    after = ring.prefix(function, count)
    if leaver not in before:
        assert after == before
    else:
        assert leaver not in after
        ring.insert(leaver, fleet[leaver])
        assert ring.prefix(function, count) == before


@given(FLEETS, FUNCTION, st.integers(1, 10), SIZES)
def test_an_added_instance_changes_only_prefixes_that_it_enters(fleet, function, count, size):
    ring = ring_of(fleet)
    before = ring.prefix(function, count)
    ring.insert("newcomer", size)
    after = ring.prefix(function, count)
    assert after == before or "newcomer" in after


def test_one_change_in_a_large_fleet_affects_few_prefixes_and_little_in_them():
    ring = many(1_000)
    functions = [f"f{i}" for i in range(2_000)]
    before = {function: ring.prefix(function, 8) for function in functions}
    ring.remove("w500")
    after = {function: ring.prefix(function, 8) for function in functions}
    moved = [function for function in functions if before[function] != after[function]]
    assert {function for function in functions if "w500" in before[function]} == set(moved)
    assert len(moved) < 4 * 8 * len(functions) / 1_000  # four times the mean
    for function in moved:
        kept = [name for name in before[function] if name != "w500"]
        in_both = [name for name in after[function] if name in kept]
        assert len(in_both) >= 6
    moved_within = sum(
        [n for n in before[f] if n in after[f]] != [n for n in after[f] if n in before[f]] for f in moved
    )
    assert moved_within <= len(moved) // 5


@given(FLEETS, st.sampled_from([0.25, 0.5, 2.0, 4.0]), FUNCTION)
def test_each_changed_prefix_was_searched_from_an_arc_of_a_new_point(fleet, size, function):
    """The holder's index of ring positions relies on this."""
    ring = ring_of(fleet)
    before = [place for place, _ in zip(ring.places(function), range(4), strict=False)]
    ring.insert("newcomer", size)
    after = ring.prefix(function, len(before))
    if after == [place.name for place in before]:
        return
    arcs = list(ring.arcs("newcomer"))
    searched_from = [position for place in before for position in place.searched_from]
    assert any((position - arc.first) % RING <= (arc.last - arc.first) % RING or arc.first == arc.last
               for arc in arcs for position in searched_from)  # fmt: skip


@pytest.mark.parametrize("count", [50, 1_000])
def test_first_positions_are_distributed_by_size(count):
    """With 16 points per unit of size the share of one instance has a relative deviation of about a quarter:
    none has 2.2 times its share, and half of the size has half of the functions within a tenth."""
    fleet = {f"w{i}": (0.5, 1.0, 2.0, 4.0)[i % 4] for i in range(count)}
    ring = ring_of(fleet)
    functions = 40 * count
    homes = Counter(ring.prefix(f"f{i}", 1)[0] for i in range(functions))
    for size in (0.5, 1.0, 2.0, 4.0):
        part = size / sum(fleet.values()) * count / 4
        got = sum(homes[name] for name in fleet if fleet[name] == size) / functions
        assert got == pytest.approx(part, rel=0.3 if count == 50 else 0.1)
    each = [homes[name] / functions * sum(fleet.values()) / fleet[name] for name in fleet]
    deviation = (sum((x - 1) ** 2 for x in each) / len(each)) ** 0.5
    assert deviation < 0.45
    large = [homes[name] / functions * sum(fleet.values()) / 4.0 for name in fleet if fleet[name] == 4.0]
    assert max(large) < 1.6 and min(large) > 0.5


def steps_of_look_ups(ring, count=8, functions=300):
    before = ring.steps
    for i in range(functions):
        ring.prefix(f"f{i}", count)
    return (ring.steps - before) / functions


def test_the_cost_of_a_lookup_is_independent_of_the_fleets_size():
    steps = [steps_of_look_ups(many(count)) for count in (100, 1_000, 10_000)]
    assert max(steps) < 1.5 * min(steps)
    assert max(steps) < 4 * 8


def test_the_step_count_detects_a_scan():
    class Scanning(InstanceRing):
        def next_instance(self, probes, seen):
            list(self.points.clockwise(0))
            return super().next_instance(probes, seen)

    rings = []
    for count in (100, 1_000):
        ring = Scanning()
        for i in range(count):
            ring.insert(f"w{i}", 1.0)
        rings.append(ring)
    assert steps_of_look_ups(rings[1], 8, 10) > 5 * steps_of_look_ups(rings[0], 8, 10)


def test_the_cost_of_a_prefix_is_proportional_to_its_length():
    ring = many(5_000)
    assert steps_of_look_ups(ring, 64, 50) < 12 * steps_of_look_ups(ring, 8, 50)


@settings(max_examples=50)
@given(st.lists(st.tuples(st.integers(0, RING - 1), st.sampled_from("abc"), st.booleans()), max_size=300))
def test_the_table_of_positions_is_a_sorted_set(steps):
    table, pairs = RingPositions(), set()
    for position, owner, add in steps:
        if add:
            table.add(position, owner)
            pairs.add((position, owner))
        else:
            old = sorted(pairs)[position % len(pairs)] if pairs else (position, owner)
            table.discard(*old)
            pairs.discard(old)
    assert list(table.clockwise(0)) == sorted(pairs)
    assert len(table) == len(pairs)
    for position, owner in sorted(pairs)[:5]:
        others = sorted(pairs)
        assert table.predecessor(position, owner) == others[others.index((position, owner)) - 1][0]
        assert list(table.clockwise(position)) == [
            *[pair for pair in others if pair[0] >= position],
            *[pair for pair in others if pair[0] < position],
        ]


def test_the_table_splits_and_merges_its_buckets():
    table = RingPositions()
    positions = [position for position, _ in zip(draws("w", INSTANCE), range(20_000), strict=False)]
    for position in positions:
        table.add(position, "w")
    assert len(table.buckets) >= 256 and [p for p, _ in table.clockwise(0)] == sorted(positions)
    for position in positions[100:]:
        table.discard(position, "w")
    assert len(table.buckets) <= 64 and [p for p, _ in table.clockwise(0)] == sorted(positions[:100])


def test_hash_positions_are_stable_across_releases():
    """Processes of different releases must compute the same order, so these numbers may not change."""
    first = [position for position, _ in zip(draws("w1", INSTANCE), range(9), strict=False)]
    assert (first[0], first[8]) == (FIRST_DRAW, NINTH_DRAW)
    assert shard_of("berth", 7) == BERTH_SHARD
    assert many(10).prefix("berth", 4) == BERTH_ORDER


NAMES = st.lists(st.integers(0, 30).map(str), unique=True, max_size=20)


@given(NAMES, NAMES)
def test_applying_a_difference_yields_the_other_prefix(before, after):
    change = difference(before, after)
    message = change_message(3, change, Prefix(tuple(after), True))
    assert apply_change(tuple(before), message) == tuple(after)


@given(NAMES, st.integers(0, 20), st.integers(0, 20))
def test_a_difference_of_one_move_is_small(names, source, target):
    if names:
        moved = list(names)
        moved.insert(target % len(names), moved.pop(source % len(names)))
        assert difference(names, moved).size <= 4


@given(NAMES, NAMES, NAMES)
def test_a_change_for_another_prefix_is_rejected_or_has_the_right_length(before, after, other):
    """A change that was made for another prefix is accepted only if the result has the length that the sender
    stated."""
    message = change_message(3, difference(before, after), Prefix(tuple(after), True))
    try:
        assert len(apply_change(tuple(other), message)) == len(after)
    except RevisionGapError:
        assert other != before


def test_watchers_are_spread_over_replicas_and_keep_their_order_if_one_is_removed():
    copies = tuple(ShardReplica("127.0.0.1", 7_000 + i, "abc"[i]) for i in range(3))
    assignment, smaller = Assignment(1, (copies,)), Assignment(2, (copies[:2],))
    first = {i: assignment.replicas_for(0, f"edge-{i}") for i in range(900)}
    chosen = Counter(order[0] for order in first.values())
    assert all(230 < chosen[copy] < 370 for copy in copies)
    for i, order in first.items():
        left = tuple(copy for copy in order if copy is not copies[2])
        assert smaller.replicas_for(0, f"edge-{i}") == left


def test_a_replica_in_the_own_zone_comes_first_twice_as_often():
    copies = tuple(ShardReplica("127.0.0.1", 7_000 + i, "abc"[i]) for i in range(3))
    own = sum(Assignment(1, (copies,)).replicas_for(0, f"edge-{i}", "b")[0].zone == "b" for i in range(2_000))
    assert 900 < own < 1_100


def test_functions_are_distributed_evenly_over_shards():
    assignment = Assignment(1, ((), (), (), ()))
    counts = Counter(assignment.shard_of(f"function-{i}") for i in range(8_000))
    assert sorted(counts) == [0, 1, 2, 3] and all(1_800 < count < 2_200 for count in counts.values())
