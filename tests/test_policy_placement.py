"""The worker that a request is sent to."""

import pytest
from helpers import commands, dispatcher, dispatcher_of_many, last_command, request

from lapistrestle.policy.types import (
    AttemptResult,
    EndpointState,
    Outcome,
    State,
    WorkerInfo,
)


@pytest.mark.parametrize(
    ("method", "outcome", "command"),
    [(2, Outcome.ERROR, "abort"), (2, Outcome.REJECTED, "send_attempt"), (0, Outcome.ERROR, "send_attempt")],
)
def test_a_request_that_may_have_run_is_retried_only_if_its_method_allows(
    method: int, outcome: Outcome, command: str
) -> None:
    module = dispatcher()
    req = request(module, method)
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], outcome, AttemptResult(5))
    assert last_command(module) == command and req.over == (command == "abort")


def test_a_retry_of_a_deduplicated_method_stays_in_its_cell_and_window() -> None:
    module = dispatcher(6)
    req = request(module, 1)
    module.on_request(req)
    req.may_have_run_on, req.may_have_run_at = req.attempts[0].worker, module.now
    assert {
        worker.cell for worker in module.endpoints.workers if module.candidates.allows_repeat(req, worker)
    } == {req.may_have_run_on.cell}
    module.now += 20_000
    assert not any(module.candidates.allows_repeat(req, worker) for worker in module.endpoints.workers)


def test_a_draining_worker_gets_no_requests_and_no_preloads() -> None:
    module = dispatcher(1)
    req, worker = request(module), module.endpoints.workers[0]
    module.on_endpoints(
        [(worker, WorkerInfo(worker.name, endpoint_state=EndpointState.DRAINING))], snapshot=False
    )
    module.on_request(req)
    assert req.state is State.OVER and commands(module, "reject") and not commands(module, "send_attempt")
    assert not module.preloading.preload(req.function.replica(worker), 1) and not commands(module, "preload")


def test_a_request_that_would_wait_past_its_latency_objective_is_rejected() -> None:
    module = dispatcher(1)
    worker, first = module.endpoints.workers[0], request(module)
    replica = first.function.replica(worker)
    replica.copies, replica.confirmed_at = 1, module.now
    for _ in range(6):
        last = request(module)
        last.function = first.function
        module.on_request(last)
    assert last.over and not last.attempts and commands(module, "reject")


def test_a_request_whose_deadline_is_before_the_end_of_its_wait_is_rejected_at_once() -> None:
    module = dispatcher(1)
    first, patient, req = request(module), request(module), request(module)
    replica = first.function.replica(module.endpoints.workers[0])
    replica.copies, replica.confirmed_at = 1, module.now
    patient.function = req.function = first.function
    req.deadline = module.now + 3_000
    for each in (first, req, patient):
        module.on_request(each)
    assert req.over and len(commands(module, "reject")) == 1 and patient.attempts


def test_if_the_only_warm_worker_is_full_the_next_of_the_order_is_used() -> None:
    """Requests were rejected with 30 of 50 workers available, as the only one known as warm was full."""
    module = dispatcher_of_many(**{"when-absent": "load"})
    req = request(module)
    home, second = module.orders.function_order(req.function)[:2]
    replica = req.function.replica(home)
    replica.copies, replica.confirmed_at, home.rejecting_until = 1, module.now, module.now + 100
    req.deadline = module.now + 30_000
    module.on_request(req)
    assert [attempt.worker for attempt in req.attempts] == [second]


def test_many_own_loads_lead_to_no_rejection_if_workers_report_not_loaded() -> None:
    module = dispatcher_of_many()
    req = request(module)
    req.deadline = module.now + 30_000
    for worker in module.endpoints.workers:
        req.function.replica(worker).not_loaded_at = module.now
    module.load_limit.in_progress, module.load_limit.limit = 18, 1.0
    module.on_request(req)
    assert not req.over and req.attempts


def test_a_worker_that_is_only_inspected_gets_no_replica() -> None:
    """Inspected workers were presumed warm, as others share the order, and half of all attempts found no
    copy.
    """
    module = dispatcher_of_many()
    req = request(module)
    home, second, third = module.orders.function_order(req.function)[:3]
    home.loads_rejected_until = second.loads_rejected_until = module.now + 1
    replica = module.candidates.first_without_copy(req, module.orders.function_order(req.function))
    assert replica is not None and replica.worker is third and set(req.function.replicas) == {third}


def test_the_home_is_the_last_resort_if_all_workers_are_unsafe() -> None:
    module = dispatcher(2, **{"when-absent": "load"})
    req, module.load_limit.limit = request(module), 1.0
    for worker in module.endpoints.workers:
        worker.add_latency(module.now, 900_000.0, 1_000.0)
    module.on_request(req)
    assert req.attempts[0].worker is module.orders.function_order(req.function)[0]
