"""Gossiped counters of dispatchers: properties and limits."""

from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.fleet.gossip_counters import MAX_OVER_MEDIAN, CounterSettings, GossipCounters
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import CounterSnapshot

SECOND = 10_000
COLUMNS = ("asked", "ok")


def is_always_present(name: str) -> bool:
    return True


def counters_of(name: str = "a", boot: int = 1, now: int = 0, **settings: Any) -> GossipCounters:
    return GossipCounters(COLUMNS, (name, boot, 1), CounterSettings(**settings), now)


def snapshot(
    name: str = "b",
    boot: int = 1,
    seq: int = 1,
    at: int = 0,
    age: int = 0,
    counts: tuple[int, ...] = (0, 0),
    nonce: int = 1,
) -> CounterSnapshot:
    return CounterSnapshot(name, boot, nonce, seq, at, age, counts)


def report_steadily(
    counters: GossipCounters,
    name: str,
    rate: int,
    until: int,
    seed: int = 0,
    boot: int = 1,
    drift: float = 1.0,
) -> None:
    """Snapshots of a process that counts `rate` per second, received each second."""
    for second in range(until + 1):
        at = 10**6 + int(second * SECOND * drift)
        counters.on_snapshots(
            counters.layout, [snapshot(name, boot, second + 1, at, 0, (rate * second, 0))], second * SECOND
        )


arrivals = st.tuples(st.integers(1, 20), st.integers(0, 3 * SECOND))


@given(st.lists(arrivals, min_size=1, max_size=40), st.randoms())
def test_lost_duplicated_late_and_reordered_snapshots_count_nothing_twice(
    arrivals: list[tuple[int, int]], random: Random
) -> None:
    """Whatever snapshots arrive of a process that counts 50 per second, its rate is 50 or unknown."""
    counters = counters_of()
    received = [(seq, seq * SECOND + delay) for seq, delay in arrivals]
    received.sort(key=lambda arrival: arrival[1] + random.randrange(SECOND))
    for seq, _ in received:
        counters.on_snapshots(
            counters.layout, [snapshot(seq=seq, at=seq * SECOND, age=0, counts=(50 * seq, seq))], 20 * SECOND
        )
    statistics = counters.statistics(20 * SECOND, is_always_present, 2)
    assert statistics.rates["asked"] in (0, pytest.approx(50))
    assert statistics.counted == 1 + (statistics.rates["asked"] > 0)


def test_rates_are_computed_by_the_reporters_clock() -> None:
    counters = counters_of()
    report_steadily(counters, "b", 100, 8)
    report_steadily(counters, "c", 100, 8, drift=1.05)
    rates = counters.statistics(8 * SECOND, is_always_present, 3).rates
    assert rates["asked"] == pytest.approx(100 + 100 / 1.05)


def test_a_restarted_process_counts_from_zero_and_replaces_its_predecessor() -> None:
    counters = counters_of()
    report_steadily(counters, "b", 100, 8)
    counters.on_snapshots(counters.layout, [snapshot("b", 2, 1, 5, 0, (7, 0))], 8 * SECOND)
    counters.on_snapshots(
        counters.layout, [snapshot("b", 1, 99, 10**7, 0, (10**6, 0))], 8 * SECOND
    )  # late, of the previous process
    counters.on_snapshots(counters.layout, [snapshot("b", 2, 2, 5 + SECOND, 0, (17, 0))], 9 * SECOND)
    assert counters.statistics(9 * SECOND, is_always_present, 2).rates["asked"] == pytest.approx(10)


def test_snapshots_expire_and_absent_members_are_ignored() -> None:
    counters = counters_of()
    report_steadily(counters, "b", 100, 8)
    seen = [
        counters.statistics((8 + s) * SECOND, is_always_present, 2).rates["asked"] for s in (0, 3, 6, 9, 10)
    ]
    assert seen[:2] == [100, 100] and seen[1] > seen[2] > seen[3] > seen[4] == 0
    assert counters.statistics(8 * SECOND, lambda name: False, 2).rates["asked"] == 0


def test_ages_grow_when_forwarded_and_a_shorter_path_lowers_them() -> None:
    counters = counters_of()
    counters.on_snapshots(counters.layout, [snapshot(seq=1, at=1, age=4 * SECOND)], 10 * SECOND)
    assert counters.reporters["b"].taken_at == 6 * SECOND
    assert [r.age for r in counters.snapshots_to_send(11 * SECOND, 500) if r.name == "b"] == [5 * SECOND]
    counters.on_snapshots(counters.layout, [snapshot(seq=1, at=1, age=2 * SECOND)], 11 * SECOND)
    assert counters.reporters["b"].taken_at == 9 * SECOND


@pytest.mark.parametrize(("at", "counts"), [(10**7, (3, 0)), (1, (10**6, 10**6)), (10**7, (10**6,))])
def test_invalid_snapshots_are_rejected(at: int, counts: tuple[int, ...]) -> None:
    counters = counters_of()
    report_steadily(counters, "b", 100, 6)
    counters.on_snapshots(counters.layout, [snapshot(seq=9, at=at, counts=counts)], 6 * SECOND)
    assert counters.statistics(6 * SECOND, is_always_present, 2).rates["asked"] == pytest.approx(100)


def test_a_faulty_reporter_contributes_no_more_than_its_limit() -> None:
    counters = counters_of(max_rate=5_000.0)
    for name in "bcdefg":
        report_steadily(counters, name, 10, 8)
    before = counters.statistics(8 * SECOND, is_always_present, 8).rates["asked"]
    report_steadily(counters, "h", 10**9, 8)
    after = counters.statistics(8 * SECOND, is_always_present, 8).rates["asked"]
    assert before == pytest.approx(60) and after - before <= MAX_OVER_MEDIAN * 10
    small = counters_of(max_rate=5_000.0)
    report_steadily(small, "b", 10**9, 8)
    assert small.statistics(8 * SECOND, is_always_present, 2).rates["asked"] == 5_000


def test_fifty_times_the_traffic_of_the_others_counts_in_full() -> None:
    counters = counters_of()
    for name in "bcdefg":
        report_steadily(counters, name, 10, 8)
    report_steadily(counters, "h", 500, 8)
    assert counters.statistics(8 * SECOND, is_always_present, 8).rates["asked"] == pytest.approx(560)


def test_another_layout_is_refused() -> None:
    counters = counters_of()
    counters.on_snapshots(counters.layout + 1, [snapshot(seq=1)], 0)
    assert counters.rejected == 1 and "b" not in counters.reporters


def test_datagrams_fit_their_size_and_forward_the_least_transmitted() -> None:
    counters = counters_of()
    for i in range(100):
        counters.on_snapshots(counters.layout, [snapshot(f"m{i:02d}", seq=1, at=1, counts=(2**60, 2**60))], 0)
    seen = []
    for _ in range(30):
        snapshots = counters.snapshots_to_send(10, 1_000)
        assert sum(map(wire.encoded_size, snapshots)) <= 1_000 and snapshots[0].name == "a"
        seen += [r.name for r in snapshots[1:]]
    assert max(map(seen.count, seen)) == min(map(seen.count, seen)) and len(set(seen)) == 100


def test_the_number_of_datagrams_is_bounded() -> None:
    counters = counters_of()
    assert [counters.datagrams_per_round(n, 150) for n in (2, 40, 200, 500, 5_000)] == [1, 5, 10, 10, 10]
