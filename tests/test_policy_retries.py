"""Retries, and the reaction to "not loaded"."""

from math import inf

import pytest
from helpers import commands, dispatcher, dispatcher_of_many, last_command, request, state

from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    Outcome,
    State,
)
from lapistrestle.ticks import SECOND


def test_not_loaded_sends_one_preload_and_the_request_waits_for_it() -> None:
    module = dispatcher(1)
    req = request(module)
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    assert state(req) is State.PARKED and commands(module, "preload")[0][3] == 1
    module.on_preload_finished(module.endpoints.workers[0], req.function, Outcome.OK, 1, 6_000)
    assert state(req) is State.OUT and len(req.attempts) == 2


def test_requests_that_wait_for_a_load_are_sent_when_a_copy_answers() -> None:
    module = dispatcher(1)
    req, two = request(module), request(module)
    two.function = req.function
    module.on_request(req)
    module.on_request(two)
    assert state(two) is State.PARKED
    module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(900, over=True))
    assert state(two) is State.OUT


def test_a_parked_request_is_rejected_when_its_wait_expires() -> None:
    module = dispatcher(1)
    req = request(module)
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    module.on_timer(req)
    assert req.over and commands(module, "reject")
    module.on_preload_finished(module.endpoints.workers[0], req.function, Outcome.OK, 1, 6_000)
    assert len(req.attempts) == 1


@pytest.mark.parametrize(
    ("attempts", "failed_retries", "retried"), [(1, 0, True), (3, 0, False), (1, 9, False)]
)
def test_retries_end_at_the_attempt_limit_and_when_retries_fail(
    attempts: int, failed_retries: int, retried: bool
) -> None:
    module = dispatcher(4, **{"when-absent": "load"})
    req = request(module)
    module.on_request(req)
    req.attempts[:0] = req.attempts * (attempts - 1)
    for _ in range(failed_retries):
        module.retry_budget.results.add(module.now, 0)
    module.on_attempt_finished(req.attempts[-1], Outcome.REJECTED, AttemptResult(5))
    assert req.over != retried


def test_not_loaded_elsewhere_tries_the_home_without_a_preload() -> None:
    module = dispatcher_of_many(**{"says-company": True})
    req = request(module)
    req.deadline = module.now + 30_000
    home, second = module.orders.function_order(req.function)[:2]
    req.state = State.PLACING
    module.attempts.send(req, req.function.replica(second))
    req.state = State.OUT
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert [attempt.worker for attempt in req.attempts] == [second, home] and not commands(module, "preload")
    module.on_attempt_finished(req.attempts[1], Outcome.NOT_LOADED, AttemptResult(10))
    assert commands(module, "preload") and req.function.replica(home).waiters == [req]


def test_not_loaded_at_the_first_eligible_worker_preloads_there() -> None:
    module = dispatcher_of_many()
    req = request(module)
    first, second = module.orders.function_order(req.function)[:2]
    # the home is ejected
    first.ejected, first.next_trial_at, module.health.ejected_count = (
        True,
        module.now + 9 * SECOND,
        1,
    )
    req.attempts = [Attempt(req, second, module.now, outcome=Outcome.NOT_LOADED)]
    assert module.retries.on_not_loaded(
        req, req.function.replica(second)
    ) is RequestEvent.WAITS_FOR_LOAD and not commands(module, "send_attempt")
    assert [preload[1] for preload in commands(module, "preload")] == [second]


@pytest.mark.parametrize(("factor", "timeout"), [(1.0, 6_667), (3.0, 10_000)])
def test_a_dispatcher_that_uses_workers_rarely_waits_until_the_latency_objective(
    factor: float, timeout: int
) -> None:
    module = dispatcher()
    req, module.throughput.time_constant_factor = request(module), factor
    req.accepted_at, replica = module.now, req.function.replica(module.endpoints.workers[0])
    req.function.isolated_latency = 500.0
    assert abs(module.attempts.timeout(req, replica, False) - timeout) <= 1


@pytest.mark.parametrize(
    ("fleet_budget", "recent_retries", "command"),
    [(None, 20, "send_attempt"), (2.0, 20, "reject"), (2.0, 5, "send_attempt")],
)
def test_the_retry_budget_of_the_fleet_limits_retries_if_it_is_set(
    fleet_budget: float | None, recent_retries: int, command: str
) -> None:
    module = dispatcher()
    module.fleet.retries_per_second = inf if fleet_budget is None else fleet_budget
    req = request(module)
    module.on_request(req)
    module.throughput.ok_answers.add(module.now, 100)
    for _ in range(recent_retries):
        module.retry_budget.results.add(module.now, 1)
    module.on_attempt_finished(req.attempts[0], Outcome.ERROR, AttemptResult(5))
    assert last_command(module) == command


def test_not_loaded_is_rejected_at_once_if_no_worker_is_left() -> None:
    module = dispatcher(1)
    req = request(module)
    module.on_request(req)
    module.on_endpoints([], snapshot=True)
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert req.over and len(commands(module, "reject")) == 1 and not commands(module, "preload")


def test_a_request_whose_load_would_miss_its_deadline_neither_preloads_nor_waits() -> None:
    module = dispatcher_of_many(**{"says-company": True})
    req = request(module)
    req.function.load_time, req.deadline = 20_000, module.now + 5_000
    req.state = State.PLACING
    home = module.orders.function_order(req.function)[0]
    module.attempts.send(req, req.function.replica(home))
    req.state = State.OUT
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert not commands(module, "preload") and not req.function.replica(home).waiters


@pytest.mark.parametrize("loaded", [False, True])
def test_not_loaded_without_preload_budget_is_retried_only_at_a_believed_copy(loaded: bool) -> None:
    """Of retries at workers without a known copy, one in twenty found one, at six attempts per rejected
    request.
    """
    module = dispatcher(3, **{"free-loads": 0, "load-share": 0.0})
    req = request(module)
    last = req.function.replica(module.orders.function_order(req.function)[2])
    module.on_request(req)
    last.copies, last.confirmed_at = int(loaded), module.now
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(30))
    assert [attempt.worker for attempt in req.attempts[1:]] == [last.worker] * loaded
    assert req.over is not loaded and len(commands(module, "reject")) == int(not loaded)


def test_not_loaded_at_home_and_elsewhere_preloads_at_home() -> None:
    module = dispatcher_of_many()
    req = request(module)
    home, second = module.orders.function_order(req.function)[:2]
    req.attempts = [Attempt(req, worker, module.now, outcome=Outcome.NOT_LOADED) for worker in (home, second)]
    assert module.retries.on_not_loaded(req, req.function.replica(second)) is RequestEvent.WAITS_FOR_LOAD
    assert [preload[1] for preload in commands(module, "preload")] == [home] and req.function.replica(
        home
    ).waiters == [req]
