"""Further attempts, and what follows where a function was not loaded."""

from math import inf

import pytest
from helpers import acts, dispatcher, front_end_of_many, last_act, request, state

from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    Outcome,
    State,
)
from lapistrestle.ticks import SECOND


def test_a_miss_is_answered_by_one_order_and_the_rpc_waits_for_it() -> None:
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    assert state(one) is State.PARKED and acts(made, "preload")[0][3] == 1
    made.on_preload_finished(made.endpoints.workers[0], one.function, Outcome.OK, 1, 6_000)
    assert state(one) is State.OUT and len(one.attempts) == 2


def test_rpcs_that_wait_for_a_load_go_on_when_the_copy_turns_out_to_stand() -> None:
    made = dispatcher(1)
    one, two = request(made), request(made)
    two.function = one.function
    made.on_request(one)
    made.on_request(two)
    assert state(two) is State.PARKED
    made.on_attempt_finished(one.attempts[0], Outcome.OK, AttemptResult(900, over=True))
    assert state(two) is State.OUT


def test_a_parked_rpc_is_answered_when_its_time_is_up() -> None:
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    made.on_timer(one)
    assert one.over and acts(made, "reject")
    made.on_preload_finished(made.endpoints.workers[0], one.function, Outcome.OK, 1, 6_000)
    assert len(one.attempts) == 1


@pytest.mark.parametrize(("tries", "further", "went_on"), [(1, 0, True), (3, 0, False), (1, 9, False)])
def test_further_call_outs_end_with_the_tries_and_with_failing_ones(
    tries: int, further: int, went_on: bool
) -> None:
    made = dispatcher(4, **{"when-absent": "load"})
    one = request(made)
    made.on_request(one)
    one.attempts[:0] = one.attempts * (tries - 1)
    for _ in range(further):
        made.retry_budget.results.add(made.now, 0)
    made.on_attempt_finished(one.attempts[-1], Outcome.REJECTED, AttemptResult(5))
    assert one.over != went_on


def test_after_a_miss_away_from_home_the_home_is_tried_and_nothing_is_loaded_for_it() -> None:
    made = front_end_of_many(**{"says-company": True})
    one = request(made)
    one.deadline = made.now + 30_000
    home, second = made.orders.function_order(one.function)[:2]
    one.state = State.PLACING
    made.attempts.send(one, one.function.replica(second))
    one.state = State.OUT
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert [c.worker for c in one.attempts] == [second, home] and not acts(made, "preload")
    made.on_attempt_finished(one.attempts[1], Outcome.NOT_LOADED, AttemptResult(10))
    assert acts(made, "preload") and one.function.replica(home).waiters == [one]


def test_a_miss_at_the_first_that_may_be_used_does_not_go_on_along_the_order() -> None:
    made = front_end_of_many()
    one = request(made)
    first, second = made.orders.function_order(one.function)[:2]
    first.ejected, first.next_trial_at, made.health.ejected_count = (
        True,
        made.now + 9 * SECOND,
        1,
    )  # the home is out of use
    one.attempts = [Attempt(one, second, made.now, outcome=Outcome.NOT_LOADED)]
    assert made.retries.on_not_loaded(
        one, one.function.replica(second)
    ) is RequestEvent.WAITS_FOR_LOAD and not acts(made, "send_attempt")
    assert [o[1] for o in acts(made, "preload")] == [second]


@pytest.mark.parametrize(("stretch", "within"), [(1.0, 6_667), (3.0, 10_000)])
def test_who_meets_workers_seldom_waits_to_the_soft_deadline(stretch: float, within: int) -> None:
    made = dispatcher()
    one, made.throughput.memory_factor = request(made), stretch
    one.began, replica = made.now, one.function.replica(made.endpoints.workers[0])
    one.function.isolated_latency = 500.0
    assert abs(made.attempts.timeout(one, replica, False) - within) <= 1


@pytest.mark.parametrize(
    ("told", "made_lately", "word"),
    [(None, 20, "send_attempt"), (2.0, 20, "reject"), (2.0, 5, "send_attempt")],
)
def test_the_budget_of_the_fleet_bounds_further_call_outs_where_it_is_told(
    told: float | None, made_lately: int, word: str
) -> None:
    made = dispatcher()
    made.fleet.retries_per_second = inf if told is None else told
    one = request(made)
    made.on_request(one)
    made.throughput.ok_answers.add(made.now, 100)
    for _ in range(made_lately):
        made.retry_budget.results.add(made.now, 1)
    made.on_attempt_finished(one.attempts[0], Outcome.ERROR, AttemptResult(5))
    assert last_act(made) == word


def test_a_miss_that_comes_when_no_worker_is_left_is_denied_at_once() -> None:
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_endpoints([], snapshot=True)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert one.over and len(acts(made, "reject")) == 1 and not acts(made, "preload")


def test_an_rpc_that_a_load_cannot_reach_neither_orders_nor_waits() -> None:
    made = front_end_of_many(**{"says-company": True})
    one = request(made)
    one.function.load, one.deadline = 20_000, made.now + 5_000
    one.state = State.PLACING
    home = made.orders.function_order(one.function)[0]
    made.attempts.send(one, one.function.replica(home))
    one.state = State.OUT
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert not acts(made, "preload") and not one.function.replica(home).waiters


@pytest.mark.parametrize("stands", [False, True])
def test_a_miss_without_order_budget_goes_on_only_where_a_copy_is_believed(stands: bool) -> None:
    """Sent on blindly one in twenty met a copy, and six call-outs were paid for each denial (calm+mass)."""
    made = dispatcher(3, **{"free-loads": 0, "load-share": 0.0})
    one = request(made)
    last = one.function.replica(made.orders.function_order(one.function)[2])
    made.on_request(one)
    last.copies, last.confirmed_at = int(stands), made.now
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    assert [c.worker for c in one.attempts[1:]] == [last.worker] * stands
    assert one.over is not stands and len(acts(made, "reject")) == int(not stands)


def test_what_missed_at_home_is_loaded_there_and_not_where_it_missed_last() -> None:
    made = front_end_of_many()
    one = request(made)
    home, second = made.orders.function_order(one.function)[:2]
    one.attempts = [Attempt(one, worker, made.now, outcome=Outcome.NOT_LOADED) for worker in (home, second)]
    assert made.retries.on_not_loaded(one, one.function.replica(second)) is RequestEvent.WAITS_FOR_LOAD
    assert [o[1] for o in acts(made, "preload")] == [home] and one.function.replica(home).waiters == [one]
