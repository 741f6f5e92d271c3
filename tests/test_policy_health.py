"""Workers that get no requests: ejected, silent, with a full queue, or removed."""

import pytest
from helpers import change_settings, dispatcher, dispatcher_of_many, request

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


def test_a_failing_worker_is_ejected_and_readmitted_by_a_trial() -> None:
    module = dispatcher(3)
    bad = module.endpoints.workers[0]
    for worker in module.endpoints.workers[1:] * 10:
        module.health.record(worker, False, module.now)
    for _ in range(3):
        module.health.record(bad, True, module.now)
    assert bad.ejected and not module.health.healthy(bad)
    module.now += SECOND
    assert module.health.healthy(bad)
    module.health.record(bad, False, module.now)
    assert not bad.ejected and module.health.ejected_count == 0


def test_a_load_does_not_make_a_worker_look_silent() -> None:
    module = dispatcher(1)
    req = request(module)
    module.on_request(req)
    module.now += 10 * SECOND
    assert req.attempts[0].cold and module.health.healthy(module.endpoints.workers[0])


def test_an_immediate_rejection_excludes_the_worker_until_its_next_ok_answer() -> None:
    module = dispatcher(1, **{"when-absent": "load"})
    req, two = request(module), request(module, name="g")
    (
        two.function.replica(module.endpoints.workers[0]).copies,
        two.function.replicas[module.endpoints.workers[0]].confirmed_at,
    ) = 1, module.now
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], Outcome.REJECTED, AttemptResult(5))
    module.on_request(two)
    assert two.over and not two.attempts
    module.endpoints.workers[0].rejecting_until = 0
    three = request(module)
    three.function = two.function
    module.on_request(three)
    assert three.attempts


def test_a_worker_with_a_full_queue_is_used_again_after_half_a_second_however_rarely_it_is_used() -> None:
    module = dispatcher_of_many()
    req = request(module)
    module.on_request(req)
    worker = req.attempts[0].worker
    module.on_attempt_finished(req.attempts[0], Outcome.REJECTED, AttemptResult(5))
    assert module.now < worker.rejecting_until <= module.now + SECOND // 2


def test_removed_workers_are_dropped_once_nothing_is_in_flight_there() -> None:
    module = dispatcher(2)
    stays, busy = module.endpoints.workers
    req = request(module)
    module.preloading.start_maintenance(req.function)
    req.attempts.append(Attempt(req, busy, module.now))
    req.function.replica(busy).start(req.attempts[0])
    module.on_endpoints([(busy, WorkerInfo("w1", endpoint_state=EndpointState.REMOVED))], snapshot=False)
    assert module.endpoints.workers == [stays, busy]
    req.function.replica(busy).finish(req.attempts[0])
    for i in range(2_000):
        new = Worker(f"n{i}")
        module.on_endpoints([(new, WorkerInfo(new.name))], snapshot=False)
        module.orders.function_order(req.function)
        req.function.replica(new)
        module.on_endpoints(
            [(new, WorkerInfo(new.name, endpoint_state=EndpointState.REMOVED))], snapshot=False
        )
    assert (
        module.endpoints.workers == [stays]
        and len(req.function.sorted_order) < 3
        and len(req.function.sorted_scores) < 3
        and len(req.function.replicas) < 3
    )


@pytest.mark.parametrize(
    ("customers", "excluded"), [((), False), ((CustomerSettings(2.0), CustomerSettings(9.0)), True)]
)
def test_a_late_rejection_excludes_a_worker_for_a_customer_only_if_there_are_others(
    customers: tuple[CustomerSettings, ...], excluded: bool
) -> None:
    """With a single customer it excluded the worker for two seconds, and three of six workers were idle."""
    module = dispatcher(2)
    change_settings(module, customers=customers)
    req = request(module)
    home = module.orders.function_order(req.function)[0]
    req.state = State.OUT
    module.attempts.send(req, req.function.replica(home))
    module.now += 1_600
    module.on_attempt_finished(req.attempts[0], Outcome.REJECTED, AttemptResult(1_600))
    assert (home.customer_rejected_until.get(0, 0) > module.now) is excluded
    module.now += SECOND // 2
    assert (home in module.candidates.eligible(request(module), module.endpoints.ring)) is not excluded


def test_a_worker_whose_last_attempt_timed_out_is_tried_again() -> None:
    module = dispatcher(1)
    req = request(module)
    home = module.endpoints.workers[0]
    req.function.replica(home).copies, req.function.replica(home).confirmed_at = 1, module.now
    req.state = State.OUT
    module.attempts.send(req, req.function.replica(home))
    module.now += 30_000
    assert not module.health.healthy(home)
    module.on_attempt_finished(req.attempts[0], Outcome.TIMED_OUT, AttemptResult(30_000))
    home.ejected = False
    assert not module.health.healthy(home)
    module.now += 100_000
    assert module.health.healthy(home)
    module.attempts.send(request(module), req.function.replica(home))
    assert not module.health.healthy(home)  # one attempt at a time until it answers


def test_a_late_rejection_excludes_the_worker_for_that_customer_only() -> None:
    module = dispatcher(1, **{"when-absent": "load"})
    change_settings(module, customers=(CustomerSettings(), CustomerSettings()))
    module.admission.demand_by_customer = [DecayingSum(50_000), DecayingSum(50_000)]
    req, same, other = request(module), request(module), request(module)
    other.customer = 1
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], Outcome.REJECTED, AttemptResult(2_000))
    for later in (same, other):
        module.on_request(later)
    assert same.over and not same.attempts and other.attempts


def test_an_ejected_worker_that_others_try_waits_for_their_verdict_or_ten_seconds() -> None:
    module = dispatcher(3)
    worker = module.endpoints.workers[0]
    worker.ejected, worker.next_trial_at, worker.trials_assigned_here, module.health.ejected_count = (
        True,
        module.now,
        False,
        1,
    )
    assert not module.health.healthy(worker)
    module.on_peer_verdict(worker, module.now - worker.ejection_backoff)  # older than the ejection
    assert worker.ejected
    module.now += 10 * SECOND
    assert module.health.healthy(worker)  # no verdict received: this dispatcher tries it
    module.on_peer_verdict(worker, module.now)
    assert not worker.ejected and module.health.ejected_count == 0
