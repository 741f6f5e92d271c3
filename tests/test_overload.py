"""Who sheds what: decisions over the fleet's figures, and the loop they make in a fluid model."""

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


def seen(
    asked: Sequence[float] = (100.0, 100.0),
    let: float = 100.0,
    good: float = 100.0,
    bad: float = 0.0,
    age: int = 0,
    out: float = 0.0,
) -> Traffic:
    return Traffic(tuple(asked), let, good, bad, out, age)


def strained(good: float, bad: float, asked: Sequence[float] = (2_000.0, 1_000.0)) -> Traffic:
    """Late ends, and a second of work ahead of each new one."""
    return seen(asked, let=good + bad, good=good, bad=bad, out=1.2 * (good + bad))


@pytest.fixture
def one() -> LevelController:
    return LevelController(2, SECOND, lambda text: None, 0)


# priorities


def levels(gains: list[float], over: float = 0.5) -> PriorityLevels:
    return PriorityLevels(gains, over)


def test_what_earns_more_is_denied_later_and_a_repeat_before_a_first_try_of_its_worth() -> None:
    made = levels([1.0, 4.0])
    order = [made.priority_of(m, beyond, repeat) for m, beyond, repeat in
             [(1, False, False), (1, False, True), (1, True, False), (0, False, False), (0, False, True),
              (0, True, False), (0, True, True)]]  # fmt: skip
    assert order == sorted(set(order)) and order[0] == 0


def test_many_worths_share_the_last_rung() -> None:
    made = levels([float(i) for i in range(1, 40)])
    assert made.count == 16 and made.priority_of(0, True, True) == 15


@given(st.lists(st.floats(0, 1e4), min_size=1, max_size=8), st.floats(0, 1e5))
def test_the_level_fits_the_room(asked: Sequence[float], room: float) -> None:
    level = level_for(asked, room)
    let = sum(asked[: level.priority]) + (
        level.fraction * asked[level.priority] if level.priority < len(asked) else 0
    )
    assert let <= room + 1e-6 and (let >= min(room, sum(asked)) - 1e-6)


def test_a_key_lies_alike_everywhere_and_keys_are_spread() -> None:
    level = AdmissionLevel(1, 0.3)
    assert level.admits(0, "x") and not level.admits(2, "x")
    assert 250 < sum(level.admits(1, f"rpc-{i}") for i in range(1_000)) < 350
    assert hash_fraction("x") == hash_fraction("x")


# shedding


def test_every_mode_answers_every_sign() -> None:
    assert set(TRANSITIONS) == {(mode, sign) for mode in SheddingState for sign in Condition}


def test_strain_cuts_under_what_is_done_and_the_best_of_late_is_its_floor(one: LevelController) -> None:
    one.update(seen(good=1_000, let=1_000), 0)
    one.update(strained(500, 500), SECOND)
    assert one.state is SheddingState.SHEDDING and one.capacity == level_controller.CUT_FACTOR * 500
    one.update(strained(10, 990), 2 * SECOND)
    assert one.capacity == level_controller.FLOOR_FACTOR * 1_000
    one.update(strained(10, 990), 20 * SECOND)
    assert one.capacity == level_controller.CUT_FACTOR * 10  # what was done long ago says nothing


def test_few_ends_are_no_strain(one: LevelController) -> None:
    one.update(seen(good=4, bad=4), SECOND)
    assert one.state is SheddingState.NORMAL


def test_bad_ends_without_long_stays_shut_no_door(one: LevelController) -> None:
    """Workers or loads that fail: fewer let in would mend nothing."""
    for now in range(0, 20 * SECOND, SECOND):
        one.update(seen((2_000.0, 1_000.0), let=900, good=500, bad=400, out=90), now)
    assert one.state is SheddingState.NORMAL and one.level == AdmissionLevel(2)


def test_the_room_goes_back_to_the_best_of_late_once_but_not_after_a_relapse(one: LevelController) -> None:
    one.update(seen(good=1_000), 0)
    jam, fine = strained(300, 700), seen((3_000, 0), 300, 300, 0)
    one.update(jam, SECOND)
    one.update(fine, 2 * SECOND)
    assert one.capacity == level_controller.RECOVERY_FACTOR * 1_000
    one.update(jam, 3 * SECOND)
    assert one.capacity == pytest.approx(level_controller.CUT_FACTOR * 300)
    one.update(fine, 4 * SECOND)
    assert one.capacity == pytest.approx(
        level_controller.RECOVERY_FACTOR * level_controller.RECOVERY_FACTOR * 1_000
    )  # less with every relapse


def test_a_step_is_not_made_again_until_the_figures_can_show_it(one: LevelController) -> None:
    one.update(strained(500, 500), 0)
    fine = seen((3_000, 0), 600, 600, 0, age=2 * SECOND)
    one.update(fine, 10)
    before = one.capacity
    for now in range(20, 4 * SECOND, 1_000):  # one lag: the window of two seconds and the age of two
        one.update(fine, now)
    assert before < one.capacity <= before * (1 + level_controller.GROWTH_PER_LAG) * 1.05
    hasty, slow = (
        LevelController(2, SECOND, lambda text: None, 0),
        LevelController(2, SECOND, lambda text: None, 0),
    )
    for made, age in ((hasty, 0), (slow, 8 * SECOND)):
        made.update(strained(500, 500), 0)
        for now in range(10, 6 * SECOND, 1_000):
            made.update(seen((3_000, 0), made.capacity, made.capacity, 0, age=age), now)
    assert slow.capacity < hasty.capacity


def test_what_piles_up_is_seen_before_anything_is_late(one: LevelController) -> None:
    one.update(strained(500, 500), 0)
    one.update(seen((3_000, 0), 1_000, 1_000, 0), SECOND)
    one.update(seen((3_000, 0), 1_000, 900, 0, out=0.5 * 900), 2 * SECOND)
    assert one.state is SheddingState.RECOVERING and one.capacity == pytest.approx(
        level_controller.DRAIN_FACTOR * 900
    )


def over(t: float) -> float:
    return 0.7 if t < 15 else 3.0 if t < 75 else 0.5


def day(count: int, **more: Any) -> Scenario:
    return Scenario(**{"dispatchers": count, "seconds": 95, "load": over, **more})


@pytest.mark.parametrize(("count", "age"), [(3, 1.0), (12, 2.0), (40, 3.0)])
def test_three_times_the_capacity_is_shed_without_swinging_and_left_behind(count: int, age: float) -> None:
    story = simulate(day(count, age=age), SharedLevel)
    assert story.service_ratio(5, 15) > 0.995  # nothing lost on calm days
    assert story.service_ratio(35, 75) > 0.9
    windows = [story.service_ratio(t, t + 5) for t in range(35, 75, 5)]
    assert min(windows) > 0.75
    assert story.service_ratio(80, 90) > 0.95  # five seconds after


def test_doing_nothing_at_the_door_or_budgets_of_repeats_alone_serve_next_to_nothing() -> None:
    for policy in (NoLimit, RetryBudget):
        assert simulate(day(12), policy).service_ratio(35, 75) < 0.1


def test_a_level_that_ignores_the_age_of_its_figures_swings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: steps as if each look at the figures were news."""

    def hasty(self: LevelController, now_seen: Traffic, now: int) -> None:
        self.capacity = max(self.capacity, now_seen.admitted) * (1 + level_controller.GROWTH_PER_LAG)

    good = simulate(day(12, age=3.0), SharedLevel).service_ratio(35, 75)
    table = {
        key: (mode, hasty if do is LevelController.grow else do) for key, (mode, do) in TRANSITIONS.items()
    }
    monkeypatch.setattr(level_controller, "TRANSITIONS", table)
    assert simulate(day(12, age=3.0), SharedLevel).service_ratio(35, 75) < good - 0.15


def test_half_of_the_capacity_lost_and_an_uneven_fleet() -> None:
    story = simulate(day(12, up=lambda t: 0.5 if 30 < t < 60 else 1.0, uneven=50.0), SharedLevel)
    assert story.service_ratio(42, 60) > 0.8 and story.service_ratio(70, 75) > 0.85
    alone = simulate(day(12, uneven=50.0), LocalLevel)
    assert alone.service_ratio(35, 75) > 0.8  # what one falls back to


# steps down


def test_figures_that_age_lead_down_at_once_and_up_in_steps() -> None:
    made = SourceSelector(lambda text: None, 0)
    assert made.update(12, 12, 50.0, SECOND) is StatisticsSource.NONE
    assert made.update(12, 12, 50.0, 4 * SECOND) is StatisticsSource.OWN
    assert made.update(12, 12, 50.0, 8 * SECOND) is StatisticsSource.FLEET
    assert made.update(5, 12, 50.0, 8 * SECOND + 1) is StatisticsSource.OWN
    assert made.update(12, 12, 50.0, 9 * SECOND) is StatisticsSource.OWN
    assert made.update(1, 1, 0.5, 9 * SECOND + 1) is StatisticsSource.NONE


def test_what_ends_falls_with_what_is_let_in_and_that_shuts_nothing(one: LevelController) -> None:
    one.update(seen(good=1_000, let=1_000), 0)
    one.update(strained(500, 500), SECOND)
    one.update(seen((2_000.0, 1_000.0), let=400, good=400), 2 * SECOND)
    assert one.state is SheddingState.RECOVERING
    for step in range(1, 20):  # ten seconds in which half of what is let in ends, and stays long
        let = one.capacity
        one.update(seen((2_000.0, 1_000.0), let=let, good=let / 2, out=let), 2 * SECOND + step * SECOND // 2)
        assert one.capacity >= level_controller.FLOOR_FACTOR * 1_000  # the best of the last 15 s


# room that the level leaves unused


@given(st.lists(st.tuples(st.integers(0, 300), st.booleans()), max_size=300), st.floats(1, 500))
def test_no_more_is_filled_in_than_there_is_room_for(asks: list[tuple[int, bool]], rate: float) -> None:
    """However the level and what it denies take turns."""
    made, now, taken = UnusedCapacityBucket(0), 0, 0
    made.set_rate(rate, 0)
    for gap, admitted in asks:
        now += gap
        if admitted:
            made.charge(now)
        taken += not admitted and made.try_take(now)
        assert taken <= max(1.0, rate / 2) + rate * now / SECOND + 1e-6


def test_room_that_the_level_leaves_unused_is_filled_and_what_it_uses_is_not() -> None:
    made = UnusedCapacityBucket(0)
    made.set_rate(10.0, 0)
    assert sum(made.try_take(now) for now in range(0, 10 * SECOND, 100)) in (99, 100)
    for now in range(10 * SECOND, 20 * SECOND, SECOND // 10):  # all of the room by the level
        made.charge(now)
    assert sum(made.try_take(now) for now in range(20 * SECOND, 21 * SECOND, 100)) in (9, 10, 14)
    made.set_rate(float("inf"), 21 * SECOND)
    assert not made.try_take(30 * SECOND)


def test_ones_part_is_taken_of_figures_of_one_moment() -> None:
    made = UnusedCapacityBucket(0)
    for second in range(10):  # a burst that ended three seconds ago, which the fleet's figures don't show yet
        part = made.own_part(120.0 if second < 7 else 10.0, 960.0, 4 * SECOND, second * SECOND)
    assert part == 120 / 960


# come-backs, budgets, probers


@given(st.lists(st.tuples(st.integers(0, 400), st.floats(0, 0.999)), max_size=200), st.floats(0.1, 200))
def test_no_moment_is_promised_to_more_than_fit_in_it(denials: list[tuple[int, float]], room: float) -> None:
    calendar, now = RetryReservations(5 * SECOND, 0), 0
    promised: dict[int, int] = {}
    for gap, chance in denials:
        now += gap
        stay = calendar.reserve(now, 500, room, chance)
        assert stay == 0 or 500 <= stay + SLOT <= 6 * SECOND
        if stay:
            slot = (now + stay) // SLOT
            promised[slot] = promised.get(slot, 0) + 1
    span = max(1, round(1 / (HEADROOM * room * SLOT / SECOND)))
    for slot in promised:
        together = sum(promised.get(s, 0) for s in range(slot, slot + span))
        assert together <= max(1, HEADROOM * room * SLOT / SECOND * span + 1e-9)


def test_nothing_is_promised_without_room() -> None:
    assert RetryReservations(5 * SECOND, 0).reserve(0, 0, 0.0, 0.5) == 0


rates = st.floats(0, 1e4)


@given(st.lists(st.tuples(rates, rates, rates), min_size=1, max_size=60))
def test_budgets_of_all_stay_within_the_whole_whoever_wishes_more(
    members: list[tuple[float, float, float]],
) -> None:
    """Beyond what each may make at the least; and where all wishes fit, each may make what it wishes."""
    rows = [RetryTraffic(*row) for row in members]
    fleet = RetryTraffic(*(sum(column) for column in zip(*members, strict=True)))
    whole = max(0.0, RETRY_RATIO * fleet.good - fleet.client_retries)
    parts = [retry_rate(fleet, row, True) for row in rows]
    assert all(part >= MIN_RATE for part in parts)
    if fleet.retries > whole:
        assert sum(part for part in parts if part > MIN_RATE) <= whole * (1 + 1e-9)
    else:
        assert all(part >= row.retries * (1 - 1e-9) for part, row in zip(parts, rows, strict=True))


def test_a_budget_follows_need_and_without_figures_there_is_none() -> None:
    fleet = RetryTraffic(1_000.0, 400.0, 0.0)
    parts = [retry_rate(fleet, RetryTraffic(333.0, x), True) for x in (300.0, 80.0, 20.0)]
    assert sum(parts) == pytest.approx(RETRY_RATIO * 1_000) and parts == sorted(parts, reverse=True)
    assert retry_rate(fleet, RetryTraffic(333.0, 300.0), False) == float("inf")


def test_what_clients_repeat_by_themselves_leaves_less_to_try_again() -> None:
    own = RetryTraffic(500.0, 100.0)
    fleet = RetryTraffic(1_000.0, 200.0)
    assert retry_rate(replace(fleet, client_retries=150.0), own, True) == pytest.approx(25.0)
    assert retry_rate(replace(fleet, client_retries=900.0), own, True) == MIN_RATE


def test_few_probe_each_worker_and_little_changes_hands() -> None:
    members = [f"e-{i}" for i in range(50)]
    workers = [f"w-{i}" for i in range(200)]
    before = {w: select_probers(w, members) for w in workers}
    after = {w: select_probers(w, [m for m in members if m != "e-7"]) for w in workers}
    assert all(len(names) == PROBERS_PER_WORKER for names in before.values())
    moved = [w for w in workers if before[w] != after[w]]
    assert moved and all("e-7" in before[w] for w in moved)


def test_a_worker_gets_a_bounded_count_of_probes_and_twice_that_in_a_split() -> None:
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


def test_the_newest_verdict_holds_and_an_old_one_says_nothing() -> None:
    made = WorkerVerdicts("a")
    made.record("w", True, 0)
    made.on_verdicts([WorkerVerdict("w", False, 1_000, "b")], SECOND)
    assert made.is_unhealthy("w", SECOND)
    made.on_verdicts([WorkerVerdict("w", True, 9_900, "c")], SECOND)  # older than b's
    assert made.is_unhealthy("w", SECOND) and not made.is_unhealthy("w", 1_000 + 9_000 + EXPIRY_AGE)
    made.on_verdicts([WorkerVerdict("w", False, EXPIRY_AGE, "d")], 10 * SECOND)
    assert not made.is_unhealthy("w", 10 * SECOND)
    assert [v.worker for v in made.to_send(SECOND, 5)] == ["w"]
