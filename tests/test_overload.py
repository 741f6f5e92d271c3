"""Overload control: decisions by the fleet's statistics, and their control loop in a fluid model."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.model.overload import LocalLevel, NoLimit, RetryBudget, Scenario, SharedLevel, simulate
from lapistrestle.overload import level_controller
from lapistrestle.overload.level_controller import (
    TRANSITIONS,
    Condition,
    LevelController,
    SheddingState,
    Traffic,
)
from lapistrestle.overload.priorities import AdmissionLevel, PriorityLevels, hash_fraction, level_for
from lapistrestle.overload.retry_after import HEADROOM, SLOT, RetryReservations
from lapistrestle.overload.retry_budget import MIN_RATE, RETRY_RATIO, RetryTraffic, retry_rate
from lapistrestle.overload.statistics_source import SourceSelector, StatisticsSource
from lapistrestle.overload.unused_capacity import UnusedCapacityBucket
from lapistrestle.overload.worker_verdicts import (
    EXPIRY_AGE,
    PROBERS_PER_WORKER,
    WorkerVerdicts,
    select_probers,
)
from lapistrestle.wire.fleet import WorkerVerdict

SECOND = 10_000


def traffic(
    demand: Sequence[float] = (100.0, 100.0),
    admitted: float = 100.0,
    good: float = 100.0,
    bad: float = 0.0,
    age: int = 0,
    in_flight: float = 0.0,
) -> Traffic:
    return Traffic(tuple(demand), admitted, good, bad, in_flight, age)


def overloaded(good: float, bad: float, demand: Sequence[float] = (2_000.0, 1_000.0)) -> Traffic:
    """Traffic with late requests and sojourn times above one second."""
    return traffic(demand, admitted=good + bad, good=good, bad=bad, in_flight=1.2 * (good + bad))


@pytest.fixture
def controller() -> LevelController:
    return LevelController(2, SECOND, lambda text: None, 0)


# priorities


def levels(gains: list[float], over: float = 0.5) -> PriorityLevels:
    return PriorityLevels(gains, over)


def test_greater_gain_is_shed_later_and_a_retry_before_a_first_request() -> None:
    made = levels([1.0, 4.0])
    order = [made.priority_of(m, beyond, repeat) for m, beyond, repeat in
             [(1, False, False), (1, False, True), (1, True, False), (0, False, False), (0, False, True),
              (0, True, False), (0, True, True)]]  # fmt: skip
    assert order == sorted(set(order)) and order[0] == 0


def test_surplus_priorities_share_the_last_one() -> None:
    made = levels([float(i) for i in range(1, 40)])
    assert made.count == 16 and made.priority_of(0, True, True) == 15


@given(st.lists(st.floats(0, 1e4), min_size=1, max_size=8), st.floats(0, 1e5))
def test_the_level_fits_the_capacity(demand: Sequence[float], capacity: float) -> None:
    level = level_for(demand, capacity)
    admitted = sum(demand[: level.priority]) + (
        level.fraction * demand[level.priority] if level.priority < len(demand) else 0
    )
    assert admitted <= capacity + 1e-6 and (admitted >= min(capacity, sum(demand)) - 1e-6)


def test_key_hashes_are_deterministic_and_uniform() -> None:
    level = AdmissionLevel(1, 0.3)
    assert level.admits(0, "x") and not level.admits(2, "x")
    assert 250 < sum(level.admits(1, f"rpc-{i}") for i in range(1_000)) < 350
    assert hash_fraction("x") == hash_fraction("x")


# shedding


def test_the_transition_table_is_complete() -> None:
    assert set(TRANSITIONS) == {(state, condition) for state in SheddingState for condition in Condition}


def test_overload_cuts_below_the_goodput_but_not_below_the_floor(controller: LevelController) -> None:
    controller.update(traffic(good=1_000, admitted=1_000), 0)
    controller.update(overloaded(500, 500), SECOND)
    assert (
        controller.state is SheddingState.SHEDDING
        and controller.capacity == level_controller.CUT_FACTOR * 500
    )
    controller.update(overloaded(10, 990), 2 * SECOND)
    assert controller.capacity == level_controller.FLOOR_FACTOR * 1_000
    controller.update(overloaded(10, 990), 20 * SECOND)
    assert (
        controller.capacity == level_controller.CUT_FACTOR * 10
    )  # goodput out of the window no longer counts


def test_too_few_finished_requests_are_no_overload(controller: LevelController) -> None:
    controller.update(traffic(good=4, bad=4), SECOND)
    assert controller.state is SheddingState.NORMAL


def test_failures_without_long_sojourn_times_shed_nothing(controller: LevelController) -> None:
    """Failing workers or loads are not overload: admitting fewer requests would not help."""
    for now in range(0, 20 * SECOND, SECOND):
        controller.update(traffic((2_000.0, 1_000.0), admitted=900, good=500, bad=400, in_flight=90), now)
    assert controller.state is SheddingState.NORMAL and controller.level == AdmissionLevel(2)


def test_capacity_recovers_to_the_best_goodput_and_lower_after_a_relapse(controller: LevelController) -> None:
    controller.update(traffic(good=1_000), 0)
    jam, fine = overloaded(300, 700), traffic((3_000, 0), 300, 300, 0)
    controller.update(jam, SECOND)
    controller.update(fine, 2 * SECOND)
    assert controller.capacity == level_controller.RECOVERY_FACTOR * 1_000
    controller.update(jam, 3 * SECOND)
    assert controller.capacity == pytest.approx(level_controller.CUT_FACTOR * 300)
    controller.update(fine, 4 * SECOND)
    assert controller.capacity == pytest.approx(
        level_controller.RECOVERY_FACTOR * level_controller.RECOVERY_FACTOR * 1_000
    )  # lower with every relapse


def test_growth_is_bounded_until_the_statistics_show_the_last_step(controller: LevelController) -> None:
    controller.update(overloaded(500, 500), 0)
    fine = traffic((3_000, 0), 600, 600, 0, age=2 * SECOND)
    controller.update(fine, 10)
    before = controller.capacity
    for now in range(20, 4 * SECOND, 1_000):  # one lag: a window of 2 s plus an age of 2 s
        controller.update(fine, now)
    assert before < controller.capacity <= before * (1 + level_controller.GROWTH_PER_LAG) * 1.05
    fresh, stale = (
        LevelController(2, SECOND, lambda text: None, 0),
        LevelController(2, SECOND, lambda text: None, 0),
    )
    for made, age in ((fresh, 0), (stale, 8 * SECOND)):
        made.update(overloaded(500, 500), 0)
        for now in range(10, 6 * SECOND, 1_000):
            made.update(traffic((3_000, 0), made.capacity, made.capacity, 0, age=age), now)
    assert stale.capacity < fresh.capacity


def test_a_growing_queue_is_detected_before_requests_are_late(controller: LevelController) -> None:
    controller.update(overloaded(500, 500), 0)
    controller.update(traffic((3_000, 0), 1_000, 1_000, 0), SECOND)
    controller.update(traffic((3_000, 0), 1_000, 900, 0, in_flight=0.5 * 900), 2 * SECOND)
    assert controller.state is SheddingState.RECOVERING and controller.capacity == pytest.approx(
        level_controller.DRAIN_FACTOR * 900
    )


def over(t: float) -> float:
    return 0.7 if t < 15 else 3.0 if t < 75 else 0.5


def day(count: int, **more: Any) -> Scenario:
    return Scenario(**{"dispatchers": count, "seconds": 95, "load": over, **more})


@pytest.mark.parametrize(("count", "age"), [(3, 1.0), (12, 2.0), (40, 3.0)])
def test_threefold_overload_is_shed_without_oscillation(count: int, age: float) -> None:
    story = simulate(day(count, age=age), SharedLevel)
    assert story.service_ratio(5, 15) > 0.995  # nothing is lost without overload
    assert story.service_ratio(35, 75) > 0.9
    windows = [story.service_ratio(t, t + 5) for t in range(35, 75, 5)]
    assert min(windows) > 0.75
    assert story.service_ratio(80, 90) > 0.95  # 5 s after the overload


def test_without_shedding_or_with_a_retry_budget_alone_goodput_collapses() -> None:
    for policy in (NoLimit, RetryBudget):
        assert simulate(day(12), policy).service_ratio(35, 75) < 0.1


def test_a_controller_that_ignores_the_age_of_statistics_oscillates(monkeypatch: pytest.MonkeyPatch) -> None:
    """The controller is patched to grow at each update, whether or not the statistics are new."""

    def grow_at_once(self: LevelController, traffic: Traffic, now: int) -> None:
        self.capacity = max(self.capacity, traffic.admitted) * (1 + level_controller.GROWTH_PER_LAG)

    good = simulate(day(12, age=3.0), SharedLevel).service_ratio(35, 75)
    table = {
        key: (state, grow_at_once if effect is LevelController.grow else effect)
        for key, (state, effect) in TRANSITIONS.items()
    }
    monkeypatch.setattr(level_controller, "TRANSITIONS", table)
    assert simulate(day(12, age=3.0), SharedLevel).service_ratio(35, 75) < good - 0.15


def test_loss_of_half_the_capacity_in_an_uneven_fleet() -> None:
    story = simulate(day(12, up=lambda t: 0.5 if 30 < t < 60 else 1.0, uneven=50.0), SharedLevel)
    assert story.service_ratio(42, 60) > 0.8 and story.service_ratio(70, 75) > 0.85
    alone = simulate(day(12, uneven=50.0), LocalLevel)
    assert alone.service_ratio(35, 75) > 0.8  # the fallback to the dispatcher's own statistics


# sources of statistics


def test_the_source_steps_down_at_once_and_up_with_delay() -> None:
    made = SourceSelector(lambda text: None, 0)
    assert made.update(12, 12, 50.0, SECOND) is StatisticsSource.NONE
    assert made.update(12, 12, 50.0, 4 * SECOND) is StatisticsSource.OWN
    assert made.update(12, 12, 50.0, 8 * SECOND) is StatisticsSource.FLEET
    assert made.update(5, 12, 50.0, 8 * SECOND + 1) is StatisticsSource.OWN
    assert made.update(12, 12, 50.0, 9 * SECOND) is StatisticsSource.OWN
    assert made.update(1, 1, 0.5, 9 * SECOND + 1) is StatisticsSource.NONE


def test_draining_does_not_spiral_below_the_floor(controller: LevelController) -> None:
    controller.update(traffic(good=1_000, admitted=1_000), 0)
    controller.update(overloaded(500, 500), SECOND)
    controller.update(traffic((2_000.0, 1_000.0), admitted=400, good=400), 2 * SECOND)
    assert controller.state is SheddingState.RECOVERING
    for step in range(1, 20):  # 10 s in which half of the admitted requests finish, with long sojourn times
        admitted = controller.capacity
        controller.update(
            traffic((2_000.0, 1_000.0), admitted=admitted, good=admitted / 2, in_flight=admitted),
            2 * SECOND + step * SECOND // 2,
        )
        assert (
            controller.capacity >= level_controller.FLOOR_FACTOR * 1_000
        )  # of the best goodput of the last 15 s


# unused capacity


@given(st.lists(st.tuples(st.integers(0, 300), st.booleans()), max_size=300), st.floats(1, 500))
def test_the_bucket_never_exceeds_its_rate(requests: list[tuple[int, bool]], rate: float) -> None:
    """In any sequence of requests that the level admits and rejects."""
    made, now, taken = UnusedCapacityBucket(0), 0, 0
    made.set_rate(rate, 0)
    for gap, admitted in requests:
        now += gap
        if admitted:
            made.charge(now)
        taken += not admitted and made.try_take(now)
        assert taken <= max(1.0, rate / 2) + rate * now / SECOND + 1e-6


def test_only_capacity_unused_by_the_level_is_filled() -> None:
    made = UnusedCapacityBucket(0)
    made.set_rate(10.0, 0)
    assert sum(made.try_take(now) for now in range(0, 10 * SECOND, 100)) in (99, 100)
    for now in range(10 * SECOND, 20 * SECOND, SECOND // 10):  # the level uses all of the capacity
        made.charge(now)
    assert sum(made.try_take(now) for now in range(20 * SECOND, 21 * SECOND, 100)) in (9, 10, 14)
    made.set_rate(float("inf"), 21 * SECOND)
    assert not made.try_take(30 * SECOND)


def test_own_part_compares_demand_of_the_same_time() -> None:
    made = UnusedCapacityBucket(0)
    for second in range(10):  # a burst ended 3 s ago; the fleet's statistics do not show that yet
        part = made.own_part(120.0 if second < 7 else 10.0, 960.0, 4 * SECOND, second * SECOND)
    assert part == 120 / 960


# Retry-After, retry budgets, probers


@given(st.lists(st.tuples(st.integers(0, 400), st.floats(0, 0.999)), max_size=200), st.floats(0.1, 200))
def test_no_slot_is_reserved_beyond_its_capacity(
    rejections: list[tuple[int, float]], capacity: float
) -> None:
    reservations, now = RetryReservations(5 * SECOND, 0), 0
    reserved: dict[int, int] = {}
    for gap, chance in rejections:
        now += gap
        delay = reservations.reserve(now, 500, capacity, chance)
        assert delay == 0 or 500 <= delay + SLOT <= 6 * SECOND
        if delay:
            slot = (now + delay) // SLOT
            reserved[slot] = reserved.get(slot, 0) + 1
    span = max(1, round(1 / (HEADROOM * capacity * SLOT / SECOND)))
    for slot in reserved:
        total = sum(reserved.get(s, 0) for s in range(slot, slot + span))
        assert total <= max(1, HEADROOM * capacity * SLOT / SECOND * span + 1e-9)


def test_no_retry_after_without_capacity() -> None:
    assert RetryReservations(5 * SECOND, 0).reserve(0, 0, 0.0, 0.5) == 0


rates = st.floats(0, 1e4)


@given(st.lists(st.tuples(rates, rates, rates), min_size=1, max_size=60))
def test_retry_rates_of_all_members_stay_within_the_budget(
    members: list[tuple[float, float, float]],
) -> None:
    """Apart from minimum rates; if all needs fit the budget, each member gets what it needs."""
    rows = [RetryTraffic(*row) for row in members]
    fleet = RetryTraffic(*(sum(column) for column in zip(*members, strict=True)))
    whole = max(0.0, RETRY_RATIO * fleet.good - fleet.client_retries)
    parts = [retry_rate(fleet, row, True) for row in rows]
    assert all(part >= MIN_RATE for part in parts)
    if fleet.retries > whole:
        assert sum(part for part in parts if part > MIN_RATE) <= whole * (1 + 1e-9)
    else:
        assert all(part >= row.retries * (1 - 1e-9) for part, row in zip(parts, rows, strict=True))


def test_the_retry_budget_follows_need_and_is_unlimited_without_statistics() -> None:
    fleet = RetryTraffic(1_000.0, 400.0, 0.0)
    parts = [retry_rate(fleet, RetryTraffic(333.0, x), True) for x in (300.0, 80.0, 20.0)]
    assert sum(parts) == pytest.approx(RETRY_RATIO * 1_000) and parts == sorted(parts, reverse=True)
    assert retry_rate(fleet, RetryTraffic(333.0, 300.0), False) == float("inf")


def test_client_retries_reduce_the_retry_budget() -> None:
    own = RetryTraffic(500.0, 100.0)
    fleet = RetryTraffic(1_000.0, 200.0)
    assert retry_rate(replace(fleet, client_retries=150.0), own, True) == pytest.approx(25.0)
    assert retry_rate(replace(fleet, client_retries=900.0), own, True) == MIN_RATE


def test_few_members_probe_each_worker_and_few_assignments_move() -> None:
    members = [f"e-{i}" for i in range(50)]
    workers = [f"w-{i}" for i in range(200)]
    before = {w: select_probers(w, members) for w in workers}
    after = {w: select_probers(w, [m for m in members if m != "e-7"]) for w in workers}
    assert all(len(names) == PROBERS_PER_WORKER for names in before.values())
    moved = [w for w in workers if before[w] != after[w]]
    assert moved and all("e-7" in before[w] for w in moved)


def test_probes_of_a_worker_are_bounded_also_in_a_partition() -> None:
    members = [f"e-{i}" for i in range(30)]
    held = {m: WorkerVerdicts(m) for m in members}
    for views, most in (
        ([members], PROBERS_PER_WORKER),
        ([members[:15], members[15:]], 2 * PROBERS_PER_WORKER),
    ):
        for second in range(10, 20):
            asks = [(m, view, second * SECOND + k) for view in views for m in view for k in (0, 9)]
            count = sum(held[m].should_probe("w", view, now) for m, view, now in asks)
            assert 0 < count <= most


def test_the_newest_verdict_wins_until_it_expires() -> None:
    made = WorkerVerdicts("a")
    made.record("w", True, 0)
    made.on_verdicts([WorkerVerdict("w", False, 1_000, "b")], SECOND)
    assert made.is_unhealthy("w", SECOND)
    made.on_verdicts([WorkerVerdict("w", True, 9_900, "c")], SECOND)  # older than b's
    assert made.is_unhealthy("w", SECOND) and not made.is_unhealthy("w", 1_000 + 9_000 + EXPIRY_AGE)
    made.on_verdicts([WorkerVerdict("w", False, EXPIRY_AGE, "d")], 10 * SECOND)
    assert not made.is_unhealthy("w", 10 * SECOND)
    assert [v.worker for v in made.to_send(SECOND, 5)] == ["w"]
