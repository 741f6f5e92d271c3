"""Which workers are passed over: ejected, silent, full, or gone."""

import pytest
from helpers import change, dispatcher, front_end_of_many, request

from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.settings import CustomerSettings
from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    EndpointState,
    Outcome,
    State,
    WorkerInfo,
)
from lapistrestle.ticks import SECOND


def test_a_failing_worker_is_suspect_and_tried_again_by_a_trickle() -> None:
    made = dispatcher(3)
    bad = made.endpoints.workers[0]
    for worker in made.endpoints.workers[1:] * 10:
        made.health.record(worker, False, made.now)
    for _ in range(3):
        made.health.record(bad, True, made.now)
    assert bad.ejected and not made.health.healthy(bad)
    made.now += SECOND
    assert made.health.healthy(bad)
    made.health.record(bad, False, made.now)
    assert not bad.ejected and made.health.ejected_count == 0


def test_a_load_does_not_make_a_worker_look_silent() -> None:
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.now += 10 * SECOND
    assert one.attempts[0].cold and made.health.healthy(made.endpoints.workers[0])


def test_a_full_answer_closes_the_whole_worker_until_its_next_ok_answer() -> None:
    made = dispatcher(1, **{"when-absent": "load"})
    one, two = request(made), request(made, name="g")
    (
        two.function.replica(made.endpoints.workers[0]).copies,
        two.function.replicas[made.endpoints.workers[0]].confirmed_at,
    ) = 1, made.now
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, AttemptResult(5))
    made.on_request(two)
    assert two.over and not two.attempts
    made.endpoints.workers[0].rejecting_until = 0
    three = request(made)
    three.function = two.function
    made.on_request(three)
    assert three.attempts


def test_a_full_worker_is_open_again_after_half_a_second_however_seldom_it_is_met() -> None:
    made = front_end_of_many()
    one = request(made)
    made.on_request(one)
    worker = one.attempts[0].worker
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, AttemptResult(5))
    assert made.now < worker.rejecting_until <= made.now + SECOND // 2


def test_workers_that_left_are_let_go_once_nothing_is_out_there() -> None:
    made = dispatcher(2)
    stays, busy = made.endpoints.workers
    one = request(made)
    made.preloading.functions[one.function] = None
    one.attempts.append(Attempt(one, busy, made.now))
    one.function.replica(busy).start(one.attempts[0])
    made.on_endpoints([(busy, WorkerInfo("w1", listing=EndpointState.REMOVED))], snapshot=False)
    assert made.endpoints.workers == [stays, busy]
    one.function.replica(busy).finish(one.attempts[0])
    for i in range(2_000):
        new = Worker(f"n{i}")
        made.on_endpoints([(new, WorkerInfo(new.name))], snapshot=False)
        made.orders.function_order(one.function)
        one.function.replica(new)
        made.on_endpoints([(new, WorkerInfo(new.name, listing=EndpointState.REMOVED))], snapshot=False)
    assert (
        made.endpoints.workers == [stays] and len(one.function.scores) < 3 and len(one.function.replicas) < 3
    )


@pytest.mark.parametrize(
    ("customers", "closed"), [((), False), ((CustomerSettings(2.0), CustomerSettings(9.0)), True)]
)
def test_a_late_full_answer_bars_a_customer_only_where_there_is_another(
    customers: tuple[CustomerSettings, ...], closed: bool
) -> None:
    """Without customers it barred everything for two seconds, and three of six workers stood idle."""
    made = dispatcher(2)
    change(made, customers=customers)
    one = request(made)
    home = made.orders.function_order(one.function)[0]
    one.state = State.OUT
    made.attempts.send(one, one.function.replica(home))
    made.now += 1_600
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, AttemptResult(1_600))
    assert (home.customer_rejected_until.get(0, 0) > made.now) is closed
    made.now += SECOND // 2
    assert (home in made.candidates.usable(request(made), made.endpoints.ring)) is not closed


def test_a_worker_whose_last_call_out_timed_out_is_not_silent_for_good() -> None:
    made = dispatcher(1)
    one = request(made)
    home = made.endpoints.workers[0]
    one.function.replica(home).copies, one.function.replica(home).confirmed_at = 1, made.now
    one.state = State.OUT
    made.attempts.send(one, one.function.replica(home))
    made.now += 30_000
    assert not made.health.healthy(home)
    made.on_attempt_finished(one.attempts[0], Outcome.TIMED_OUT, AttemptResult(30_000))
    home.ejected = False
    assert not made.health.healthy(home)
    made.now += 100_000
    assert made.health.healthy(home)
    made.attempts.send(request(made), one.function.replica(home))
    assert not made.health.healthy(home)  # one at a time, until it is heard from


def test_a_full_answer_that_took_long_holds_back_that_customer_alone() -> None:
    made = dispatcher(1, **{"when-absent": "load"})
    change(made, customers=(CustomerSettings(), CustomerSettings()))
    made.admission.demand_by_customer = [DecayingSum(50_000), DecayingSum(50_000)]
    one, same, other = request(made), request(made), request(made)
    other.customer = 1
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, AttemptResult(2_000))
    for late in (same, other):
        made.on_request(late)
    assert same.over and not same.attempts and other.attempts


def test_a_suspect_that_others_try_waits_for_their_word_or_ten_seconds() -> None:
    made = dispatcher(3)
    worker = made.endpoints.workers[0]
    worker.ejected, worker.next_trial_at, worker.tried_here, made.health.ejected_count = (
        True,
        made.now,
        False,
        1,
    )
    assert not made.health.healthy(worker)
    made.on_peer_verdict(worker, made.now - worker.ejection_backoff)  # from before we judged it
    assert worker.ejected
    made.now += 10 * SECOND
    assert made.health.healthy(worker)  # nobody told: we try it ourselves
    made.on_peer_verdict(worker, made.now)
    assert not worker.ejected and made.health.ejected_count == 0
