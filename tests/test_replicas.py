"""Replicas that a rollout needs before its weight grows: their number, placement and order of preloads."""

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


class PreloadRecorder:
    """Records preloads, and refuses those beyond `most`."""

    def __init__(self, most: int = 100) -> None:
        self.most = most
        self.given: list[tuple[WorkerCapacity, int]] = []

    def __call__(self, worker: WorkerCapacity, count: int) -> bool:
        if len(self.given) >= self.most:
            return False
        self.given.append((worker, count))
        return True


def test_required_replicas_are_the_busy_ones_plus_their_square_root() -> None:
    assert required_replicas(concurrency=4.0, weight=0.25, lanes=1, edges=1) == 2
    assert required_replicas(concurrency=4.0, weight=1.0, lanes=1, edges=4) == 16 + 4
    assert required_replicas(concurrency=4.0, weight=1.0, lanes=4, edges=4) == 5
    assert (
        required_replicas(concurrency=0.0, weight=1.0, lanes=1, edges=4)
        == required_replicas(1.0, 0.0, 1, 4)
        == 0
    )


def test_a_heavy_function_needs_more_replicas_up_to_a_bound() -> None:
    assert demand_factor(isolated_latency=150, usual_latency=100) == 1.5 and demand_factor(50, 100) == 1.0
    assert demand_factor(isolated_latency=25_000, usual_latency=980) == MAX_DEMAND_FACTOR


def test_a_far_slower_candidate_holds_the_step_with_a_reason() -> None:
    assert slowdown_reason(900, 400) == "an answer takes 2.2 times as long as the settled version's"
    assert (
        slowdown_reason(SLOWDOWN_LIMIT * 400 - 1, 400)
        == slowdown_reason(None, 400)
        == slowdown_reason(900, None)
        == ""
    )


def test_the_replica_limit_is_a_fraction_of_memory_and_bounded() -> None:
    assert replica_limit(memory=8_000, replica_memory=1_000) == int(MEMORY_FRACTION * 8_000 / 1_000)
    assert (
        replica_limit(memory=80_000, replica_memory=500)
        == replica_limit(memory=0, replica_memory=500)
        == MAX_REPLICAS_PER_WORKER
    )  # without a known size
    assert replica_limit(memory=8_000, replica_memory=6_000) == 1  # above the fraction, but it fits
    assert replica_limit(memory=8_000, replica_memory=9_000) == 0


def test_the_target_rises_at_once_and_falls_with_hysteresis() -> None:
    target = ReplicaTarget()
    assert [target.update(n) for n in (3, 5, 4, 3, 5, 2, 3, 0)] == [3, 5, 5, 5, 5, 2, 3, 0]


@given(
    limits=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=8),
    wanted=st.integers(0, 20),
)
def test_placement_respects_limits_and_counts_unplaced_replicas(
    limits: list[tuple[int, bool]], wanted: int
) -> None:
    workers = [WorkerCapacity(0, size, warming_up=cold) for size, cold in limits]
    placement, unplaced = place_replicas(workers, wanted)
    assert all(0 < count <= worker.limit for worker, count in placement.items())
    assert sum(placement.values()) + unplaced == (max(wanted, MIN_WORKERS) if wanted else 0)
    warm = [s for s in workers if not s.warming_up and s.limit]
    if any(s.warming_up for s in placement):
        assert all(s in placement for s in warm)  # workers in slow start only once no warm one is left


def test_a_version_is_always_placed_on_two_workers() -> None:
    workers = [WorkerCapacity(0, 4), WorkerCapacity(0, 4), WorkerCapacity(0, 4)]
    assert place_replicas(workers, 1)[0] == {workers[0]: 1, workers[1]: 1}
    assert place_replicas(workers, 6)[0] == {workers[0]: 3, workers[1]: 3}


def test_a_complete_version_needs_no_preloads() -> None:
    preloads = PreloadRecorder()
    status = maintain_replicas(
        [WorkerCapacity(2, 4), WorkerCapacity(3, 4)], 4, loads_available=9, preload=preloads
    )
    assert status.is_sufficient and (status.wanted, status.loaded) == (4, 4) and not preloads.given


def test_preloads_stay_within_the_available_loads() -> None:
    workers, preloads = [WorkerCapacity(0, 2) for _ in range(6)], PreloadRecorder()
    status = maintain_replicas(workers, 12, loads_available=3.5, preload=preloads)
    assert (
        preloads.given == [(workers[0], 2), (workers[1], 2)] and status.shortage is Shortage.LOADS_IN_PROGRESS
    )
    for worker, _ in preloads.given:
        worker.preload_pending = True
    maintain_replicas(
        workers, 12, loads_available=3.5, preload=preloads
    )  # those four loads are still in progress
    assert len(preloads.given) == 2


def test_unconfirmed_replicas_are_renewed_before_new_preloads() -> None:
    workers = [
        WorkerCapacity(0, 2),
        WorkerCapacity(2, 2, recently_confirmed=False),
        WorkerCapacity(2, 2, recently_confirmed=False, preload_pending=True),
    ]
    preloads = PreloadRecorder()
    maintain_replicas(workers, 6, loads_available=9, preload=preloads)
    assert preloads.given == [(workers[1], 2), (workers[0], 2)]


def test_part_of_the_spare_may_be_missing_but_not_the_second_worker() -> None:
    assert maintain_replicas(
        [WorkerCapacity(2, 4), WorkerCapacity(1, 4)], 4, 0, PreloadRecorder()
    ).is_sufficient
    assert not maintain_replicas(
        [WorkerCapacity(1, 4), WorkerCapacity(1, 4)], 4, 0, PreloadRecorder()
    ).is_sufficient
    assert not maintain_replicas(
        [WorkerCapacity(1, 4), WorkerCapacity(0, 4)], 1, 0, PreloadRecorder()
    ).is_sufficient


@pytest.mark.parametrize(
    ("workers", "loads", "most", "shortage"),
    [
        ([], 9, 9, Shortage.WORKERS),
        ([WorkerCapacity(1, 1)], 9, 9, Shortage.MEMORY),
        ([WorkerCapacity(0, 4), WorkerCapacity(0, 4)], 9, 0, Shortage.PRELOAD_BUDGET),
        ([WorkerCapacity(0, 4), WorkerCapacity(0, 4)], 0, 9, Shortage.LOADS_IN_PROGRESS),
    ],
)
def test_the_shortage_is_reported(
    workers: list[WorkerCapacity], loads: float, most: int, shortage: Shortage
) -> None:
    status = maintain_replicas(workers, 4, loads, PreloadRecorder(most))
    assert status.shortage is shortage and not status.is_sufficient


def test_the_phase_determines_the_target_weights() -> None:
    loading = TrafficSplit("f", "v1", "v2", 0.1, 0.1, next_weight=0.5)
    assert rollout_phase(loading) is RolloutPhase.LOADING
    assert TARGET_WEIGHTS[RolloutPhase.LOADING] == TargetWeights(None, 1.0)
    assert rollout_phase(TrafficSplit("f", "v1", "v2", 1.0, 1.0, promoted=True)) is RolloutPhase.RETAINED
    assert rollout_phase(TrafficSplit("f", "v1", "v2", 0.0, 1.0, withdrawn=True)) is RolloutPhase.ROLLING_BACK
    assert set(TARGET_WEIGHTS) == set(RolloutPhase)
    assert {weights.settled for weights in TARGET_WEIGHTS.values()} == {1.0}


def test_edges_that_share_an_order_preload_the_same_replicas() -> None:
    """Each edge preloads for the whole fleet on the same workers, so the largest one counts, not the sum."""
    asked: Counter[int] = Counter()
    for busy in (2.0, 2.5, 1.5):  # three edges with about a third of the traffic each
        preloads = PreloadRecorder()
        maintain_replicas(
            [WorkerCapacity(0, 3) for _ in range(8)], required_replicas(busy, 1.0, 1, 3), 99, preloads
        )
        for place, (_, count) in enumerate(preloads.given):
            asked[place] = max(asked[place], count)
    assert required_replicas(2.0, 1.0, 1, 3) <= sum(asked.values()) <= required_replicas(2.5, 1.0, 1, 3) + 2


# readiness, at the planner


def test_readiness_needs_recent_reports_of_all_connected_edges() -> None:
    ready = Readiness()
    assert not ready.is_ready("f", "v2", 0.1, [], 0)  # without edges nothing is ready
    ready.on_report("f", "v2", "a", EdgeReport(0.5, "", 0))
    assert ready.is_ready("f", "v2", 0.5, ["a"], 100) and not ready.is_ready("f", "v2", 0.6, ["a"], 100)
    assert set(ready.shortages("f", "v2", 0.5, ["a", "b"], 100)) == {"b"}
    assert not ready.is_ready("f", "v2", 0.5, ["a"], ready.report_lifetime + 1)
    ready.on_report("f", "v2", "b", EdgeReport(0.1, "no order is free", 100))
    assert ready.shortages("f", "v2", 0.5, ["a", "b"], 200) == {"b": "no order is free"}
    ready.on_edge_gone("b")
    assert "b" in ready.shortages("f", "v2", 0.5, ["b"], 200)
