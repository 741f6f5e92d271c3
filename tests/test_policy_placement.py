"""To which worker a request goes."""

import pytest
from helpers import acts, dispatcher, front_end_of_many, last_act, request

from lapistrestle.policy.types import (
    AttemptResult,
    EndpointState,
    Outcome,
    State,
    WorkerInfo,
)


@pytest.mark.parametrize(
    ("method", "outcome", "word"),
    [(2, Outcome.ERROR, "abort"), (2, Outcome.REJECTED, "send_attempt"), (0, Outcome.ERROR, "send_attempt")],
)
def test_what_may_have_run_goes_out_again_only_where_the_method_allows(
    method: int, outcome: Outcome, word: str
) -> None:
    made = dispatcher()
    one = request(made, method)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], outcome, AttemptResult(5))
    assert last_act(made) == word and one.over == (word == "abort")


def test_a_tokened_repeat_stays_in_its_cell_and_window() -> None:
    made = dispatcher(6)
    one = request(made, 1)
    made.on_request(one)
    one.may_have_run_on, one.may_have_run_at = one.attempts[0].worker, made.now
    assert {s.cell for s in made.endpoints.workers if made.candidates.allows_repeat(one, s)} == {
        one.may_have_run_on.cell
    }
    made.now += 20_000
    assert not any(made.candidates.allows_repeat(one, s) for s in made.endpoints.workers)


def test_nothing_goes_to_a_draining_worker_nor_is_ordered_there() -> None:
    made = dispatcher(1)
    one, worker = request(made), made.endpoints.workers[0]
    made.on_endpoints([(worker, WorkerInfo(worker.name, listing=EndpointState.DRAINING))], snapshot=False)
    made.on_request(one)
    assert one.state is State.OVER and acts(made, "reject") and not acts(made, "send_attempt")
    assert not made.preloading.preload(one.function.replica(worker), 1) and not acts(made, "preload")


def test_the_last_resort_denies_what_would_wait_past_its_soft_deadline() -> None:
    made = dispatcher(1)
    worker, first = made.endpoints.workers[0], request(made)
    replica = first.function.replica(worker)
    replica.copies, replica.confirmed_at = 1, made.now
    for _ in range(6):
        last = request(made)
        last.function = first.function
        made.on_request(last)
    assert last.over and not last.attempts and acts(made, "reject")


def test_a_client_that_gives_up_before_the_wait_ends_is_denied_at_once() -> None:
    made = dispatcher(1)
    first, patient, one = request(made), request(made), request(made)
    replica = first.function.replica(made.endpoints.workers[0])
    replica.copies, replica.confirmed_at = 1, made.now
    patient.function = one.function = first.function
    one.deadline = made.now + 3_000
    for each in (first, one, patient):
        made.on_request(each)
    assert one.over and len(acts(made, "reject")) == 1 and patient.attempts


def test_where_the_only_warm_worker_is_full_the_next_of_the_order_is_used() -> None:
    """Seen at surplus-main: denied with 30 of 50 workers open, as the one known warm was full."""
    made = front_end_of_many(**{"when-absent": "load"})
    one = request(made)
    home, second = made.orders.function_order(one.function)[:2]
    replica = one.function.replica(home)
    replica.copies, replica.confirmed_at, home.rejecting_until = 1, made.now, made.now + 100
    one.deadline = made.now + 30_000
    made.on_request(one)
    assert [c.worker for c in one.attempts] == [second]


def test_many_own_loads_do_not_deny_where_a_miss_costs_little() -> None:
    made = front_end_of_many()
    one = request(made)
    one.deadline = made.now + 30_000
    for worker in made.endpoints.workers:
        one.function.replica(worker).not_loaded_at = made.now
    made.load_limit.in_progress, made.load_limit.limit = 18, 1.0
    made.on_request(one)
    assert not one.over and one.attempts


def test_a_worker_only_looked_at_is_not_one_used_before() -> None:
    """Each was taken as warm, as others share the order, and half of all call-outs missed (calm+mass)."""
    made = front_end_of_many()
    one = request(made)
    home, second, third = made.orders.function_order(one.function)[:3]
    home.loads_rejected_until = second.loads_rejected_until = made.now + 1
    replica = made.candidates.first_without_copy(one, made.orders.function_order(one.function))
    assert replica is not None and replica.worker is third and set(one.function.replicas) == {third}


def test_the_home_in_the_order_is_the_last_resort_where_all_look_unsafe() -> None:
    made = dispatcher(2, **{"when-absent": "load"})
    one, made.load_limit.limit = request(made), 1.0
    for worker in made.endpoints.workers:
        worker.add_latency(made.now, 900_000.0, 1_000.0)
    made.on_request(one)
    assert one.attempts[0].worker is made.orders.function_order(one.function)[0]
