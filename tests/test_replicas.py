"""Copies that a rollout wants before its share grows: how many, where, and in what order. No I/O."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.rollout.readiness import EdgeReport, Readiness
from lapistrestle.rollout.replicas import (
    MAX_DEMAND_FACTOR,
    MAX_REPLICAS_PER_WORKER,
    MEMORY_FRACTION,
    MIN_WORKERS,
    SLOWDOWN_LIMIT,
    TARGET_WEIGHTS,
    ReplicaTarget,
    RolloutPhase,
    Shortage,
    TargetWeights,
    WorkerCapacity,
    demand_factor,
    maintain_replicas,
    place_replicas,
    replica_limit,
    required_replicas,
    rollout_phase,
    slowdown_reason,
)
from lapistrestle.rollout_types import TrafficSplit


class Orders:
    """Takes so many orders."""

    def __init__(self, most: int = 100) -> None:
        self.most = most
        self.given: list[tuple[WorkerCapacity, int]] = []

    def __call__(self, worker: WorkerCapacity, count: int) -> bool:
        if len(self.given) >= self.most:
            return False
        self.given.append((worker, count))
        return True


def test_what_the_share_keeps_busy_and_its_square_root() -> None:
    assert required_replicas(concurrency=4.0, weight=0.25, lanes=1, edges=1) == 2
    assert required_replicas(concurrency=4.0, weight=1.0, lanes=1, edges=4) == 16 + 4
    assert required_replicas(concurrency=4.0, weight=1.0, lanes=4, edges=4) == 5
    assert (
        required_replicas(concurrency=0.0, weight=1.0, lanes=1, edges=4)
        == required_replicas(1.0, 0.0, 1, 4)
        == 0
    )


def test_a_heavy_function_counts_for_more_but_a_jam_does_not_count_for_all() -> None:
    assert demand_factor(isolated_latency=150, usual_latency=100) == 1.5 and demand_factor(50, 100) == 1.0
    assert demand_factor(isolated_latency=25_000, usual_latency=980) == MAX_DEMAND_FACTOR


def test_a_far_slower_candidate_holds_the_step_and_says_so() -> None:
    assert slowdown_reason(900, 400) == "an answer takes 2.2 times as long as the settled version's"
    assert (
        slowdown_reason(SLOWDOWN_LIMIT * 400 - 1, 400)
        == slowdown_reason(None, 400)
        == slowdown_reason(900, None)
        == ""
    )


def test_room_is_a_part_of_memory_and_few() -> None:
    assert replica_limit(memory=8_000, replica_memory=1_000) == int(MEMORY_FRACTION * 8_000 / 1_000)
    assert (
        replica_limit(memory=80_000, replica_memory=500)
        == replica_limit(memory=0, replica_memory=500)
        == MAX_REPLICAS_PER_WORKER
    )  # not told
    assert replica_limit(memory=8_000, replica_memory=6_000) == 1  # above the part, but it fits
    assert replica_limit(memory=8_000, replica_memory=9_000) == 0


def test_a_want_follows_up_at_once_and_down_only_when_it_is_clearly_less() -> None:
    target = ReplicaTarget()
    assert [target.update(n) for n in (3, 5, 4, 3, 5, 2, 3, 0)] == [3, 5, 5, 5, 5, 2, 3, 0]


@given(
    limits=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=8),
    wanted=st.integers(0, 20),
)
def test_a_spread_keeps_to_rooms_and_says_what_is_short(limits: list[tuple[int, bool]], wanted: int) -> None:
    workers = [WorkerCapacity(0, size, warming_up=cold) for size, cold in limits]
    placement, unplaced = place_replicas(workers, wanted)
    assert all(0 < count <= worker.limit for worker, count in placement.items())
    assert sum(placement.values()) + unplaced == (max(wanted, MIN_WORKERS) if wanted else 0)
    warm = [s for s in workers if not s.warming_up and s.limit]
    if any(s.warming_up for s in placement):
        assert all(s in placement for s in warm)  # cold workers only once no warm one is left


def test_even_one_copy_is_kept_on_two_workers() -> None:
    workers = [WorkerCapacity(0, 4), WorkerCapacity(0, 4), WorkerCapacity(0, 4)]
    assert place_replicas(workers, 1)[0] == {workers[0]: 1, workers[1]: 1}
    assert place_replicas(workers, 6)[0] == {workers[0]: 3, workers[1]: 3}


def test_it_is_whole_once_all_stand_and_orders_nothing_then() -> None:
    orders = Orders()
    status = maintain_replicas(
        [WorkerCapacity(2, 4), WorkerCapacity(3, 4)], 4, loads_available=9, preload=orders
    )
    assert status.is_sufficient and (status.wanted, status.loaded) == (4, 4) and not orders.given


def test_what_is_missing_is_ordered_no_faster_than_loads_may_be_under_way() -> None:
    workers, orders = [WorkerCapacity(0, 2) for _ in range(6)], Orders()
    status = maintain_replicas(workers, 12, loads_available=3.5, preload=orders)
    assert (
        orders.given == [(workers[0], 2), (workers[1], 2)] and status.shortage is Shortage.LOADS_IN_PROGRESS
    )
    for worker, _ in orders.given:
        worker.preload_pending = True
    maintain_replicas(workers, 12, loads_available=3.5, preload=orders)  # those four are still under way
    assert len(orders.given) == 2


def test_copies_not_confirmed_lately_are_asked_for_again_before_any_load() -> None:
    workers = [
        WorkerCapacity(0, 2),
        WorkerCapacity(2, 2, recently_confirmed=False),
        WorkerCapacity(2, 2, recently_confirmed=False, preload_pending=True),
    ]
    orders = Orders()
    maintain_replicas(workers, 6, loads_available=9, preload=orders)
    assert orders.given == [(workers[1], 2), (workers[0], 2)]


def test_a_part_of_the_spare_may_lack_but_never_the_second_worker() -> None:
    assert maintain_replicas([WorkerCapacity(2, 4), WorkerCapacity(1, 4)], 4, 0, Orders()).is_sufficient
    assert not maintain_replicas([WorkerCapacity(1, 4), WorkerCapacity(1, 4)], 4, 0, Orders()).is_sufficient
    assert not maintain_replicas([WorkerCapacity(1, 4), WorkerCapacity(0, 4)], 1, 0, Orders()).is_sufficient


@pytest.mark.parametrize(
    ("workers", "loads", "most", "shortage"),
    [
        ([], 9, 9, Shortage.WORKERS),
        ([WorkerCapacity(1, 1)], 9, 9, Shortage.MEMORY),
        ([WorkerCapacity(0, 4), WorkerCapacity(0, 4)], 9, 0, Shortage.PRELOAD_BUDGET),
        ([WorkerCapacity(0, 4), WorkerCapacity(0, 4)], 0, 9, Shortage.LOADS_IN_PROGRESS),
    ],
)
def test_it_says_what_is_lacking(
    workers: list[WorkerCapacity], loads: float, most: int, shortage: Shortage
) -> None:
    status = maintain_replicas(workers, 4, loads, Orders(most))
    assert status.shortage is shortage and not status.is_sufficient


def test_the_phase_says_what_each_version_is_loaded_for() -> None:
    loading = TrafficSplit("f", "v1", "v2", 0.1, 0.1, next_weight=0.5)
    assert rollout_phase(loading) is RolloutPhase.LOADING
    assert TARGET_WEIGHTS[RolloutPhase.LOADING] == TargetWeights(None, 1.0)
    assert rollout_phase(TrafficSplit("f", "v1", "v2", 1.0, 1.0, promoted=True)) is RolloutPhase.RETAINED
    assert rollout_phase(TrafficSplit("f", "v1", "v2", 0.0, 1.0, withdrawn=True)) is RolloutPhase.ROLLING_BACK
    assert set(TARGET_WEIGHTS) == set(RolloutPhase)
    assert {weights.settled for weights in TARGET_WEIGHTS.values()} == {1.0}


def test_edges_that_share_an_order_ask_for_the_same_copies() -> None:
    """Each holds the whole fleet's need on the same workers: the largest wish counts, nothing adds up."""
    asked: Counter[int] = Counter()
    for busy in (2.0, 2.5, 1.5):  # three edges with about a third of the traffic each
        orders = Orders()
        maintain_replicas(
            [WorkerCapacity(0, 3) for _ in range(8)], required_replicas(busy, 1.0, 1, 3), 99, orders
        )
        for place, (_, count) in enumerate(orders.given):
            asked[place] = max(asked[place], count)
    assert required_replicas(2.0, 1.0, 1, 3) <= sum(asked.values()) <= required_replicas(2.5, 1.0, 1, 3) + 2


# readiness, at the planner


def test_all_connected_edges_must_have_said_so_lately() -> None:
    ready = Readiness()
    assert not ready.is_ready("f", "v2", 0.1, [], 0)  # nobody serves
    ready.on_report("f", "v2", "a", EdgeReport(0.5, "", 0))
    assert ready.is_ready("f", "v2", 0.5, ["a"], 100) and not ready.is_ready("f", "v2", 0.6, ["a"], 100)
    assert set(ready.shortages("f", "v2", 0.5, ["a", "b"], 100)) == {"b"}
    assert not ready.is_ready("f", "v2", 0.5, ["a"], ready.report_lifetime + 1)
    ready.on_report("f", "v2", "b", EdgeReport(0.1, "no order is free", 100))
    assert ready.shortages("f", "v2", 0.5, ["a", "b"], 200) == {"b": "no order is free"}
    ready.on_edge_gone("b")
    assert "b" in ready.shortages("f", "v2", 0.5, ["b"], 200)
