"""Preloads: their budget, the limit of concurrent loads, and periodic maintenance."""

import pytest
from helpers import change_settings, commands, dispatcher, dispatcher_of_many, request

from lapistrestle.policy.entities import Function, PendingPreload
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.types import (
    AttemptResult,
    LoadState,
    Outcome,
    State,
    Zone,
)


def test_preloads_stay_within_their_budget() -> None:
    module = dispatcher(1)
    module.preload_budget.requests.extend([module.now] * 10)
    replica = Function("f").replica(module.endpoints.workers[0])
    assert [module.preloading.preload(replica, 1) for _ in range(5)] == [True] * 4 + [False]
    module.now += 50_001
    assert not module.preloading.preload(replica, 1)  # unanswered preloads may be about to arrive
    for _ in range(4):
        module.on_preload_finished(module.endpoints.workers[0], replica.function, Outcome.OK, 1, 10)
    assert [module.preloading.preload(replica, 1) for _ in range(3)] == [True, True, False]


def test_a_delayed_preload_counts_from_when_it_may_have_arrived() -> None:
    """After a network partition of seconds, all preloads in transit arrived at once, over the budget."""
    module = dispatcher(1, **{"free-loads": 5})
    function, worker = Function("f"), module.endpoints.workers[0]
    for took in (6_000, 6_000, 40_000):
        assert module.preloading.preload(function.replica(worker), 1)
        module.now += took
        module.on_preload_finished(worker, function, Outcome.OK, 1, took)
    module.now += 20_000  # the first two left the window; the last arrived up to 3.2 s ago
    module.preloading.preload(function.replica(worker), 1)
    assert module.preload_budget.arrivals == [module.now - 32_000]


def test_a_request_that_was_read_late_leaves_the_budget_by_its_arrival() -> None:
    """After a stall of a second, requests that had waited in the sockets counted a second too long."""
    module = dispatcher(1)
    for late in (9_000, 0):
        read = request(module)
        read.arrived_at = module.now - late
        module.on_request(read)
    module.now += 45_000
    module.preloading.preload(Function("g").replica(module.endpoints.workers[0]), 1)
    assert list(module.preload_budget.requests) == [50_000]
    change_settings(module, preload_delay=300)
    module.now += 4_800  # when a preload arrives, the other request has left the window too
    module.preloading.preload(Function("g").replica(module.endpoints.workers[0]), 1)
    assert not module.preload_budget.requests


@pytest.mark.parametrize("window", [0, 50_000])
def test_the_state_of_the_preload_budget_is_bounded(window: int) -> None:
    module = dispatcher(1)
    change_settings(module, preload_window=window, may_preload=False)
    for _ in range(50):
        module.now += 5_000
        module.on_request(request(module))
    assert len(module.preload_budget.requests) == window // 5_000


def test_a_request_that_is_submitted_again_for_another_version_counts_once() -> None:
    module = dispatcher(2)
    module.on_request(request(module))
    again = request(module, name="f@v2")
    again.already_counted = True
    module.on_request(again)
    assert len(module.preload_budget.requests) == 1 and again.attempts


def test_slow_loads_lower_the_load_limit_and_fast_ones_raise_it() -> None:
    module = dispatcher(4)
    before, function = module.load_limit.limit, Function("f")
    module.load_limit.record(function, True, 30_000)
    slow = module.load_limit.limit
    module.load_limit.record(function, True, 6_000)
    assert 1 <= slow < before and module.load_limit.limit > slow


def test_a_slow_cold_attempt_at_a_busy_worker_does_not_lower_the_load_limit() -> None:
    module = dispatcher(1, **{"when-absent": "load"})
    worker, before = module.endpoints.workers[0], 5.0
    module.load_limit.limit = before
    for busy in (True, False):
        req = request(module)
        module.attempts.send(req, req.function.replica(worker))
        worker.latency_sum.add(module.now, 900_000 if busy else -900_000)
        module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(29_000, over=True))
        assert (module.load_limit.limit == before) == busy


@pytest.mark.parametrize(("concurrency", "latency", "preloads"), [(0, 9_000, 0), (1, 100, 0), (1, 9_000, 1)])
def test_the_next_worker_loads_a_copy_if_answers_report_waiting_requests(
    concurrency: int, latency: int, preloads: int
) -> None:
    module = dispatcher_of_many(**{"says-company": True, "tells-warm": True})
    module.load_limit.limit = 5.0
    for _ in range(3):
        module.latency.by_method[0].add(module.now, 1_000)
    req = request(module)
    module.on_request(req)
    home = req.attempts[0].worker
    module.on_attempt_finished(
        req.attempts[0], Outcome.OK, AttemptResult(latency, True, LoadState.LOADED, concurrency)
    )
    loads = commands(module, "preload")
    assert len(loads) == preloads and all(
        o[1] is module.orders.function_order(req.function)[1] and home is not o[1] for o in loads
    )


def test_maintenance_preloads_the_used_copies_and_a_share_of_the_headroom() -> None:
    module = dispatcher(2)
    change_settings(module, dispatcher_count=1)
    module.preload_budget.requests.extend([module.now] * 50)
    function = Function("f")
    module.preloading.start_maintenance(function)
    home = function.replica(module.orders.function_order(function)[0])
    home.peak_in_flight, home.copies, home.confirmed_at = 4, 4, module.now
    module.preloading.maintain_replicas(function)
    assert commands(module, "preload") == [("preload", home.worker, function, 4 + 2)]
    module.preloading.maintain_replicas(function)
    assert function in module.preloading.functions  # a copy is still loaded
    module.now += 2 * module.settings.idle_timeout
    home.pending_preloads.clear()
    module.preloading.maintain_replicas(function)
    assert function not in module.preloading.functions and not function.has_state


def test_a_preload_whose_connection_was_reset_counts_as_loaded_and_its_waiters_are_sent() -> None:
    """Preloads that lost their connection were sent again, ten a second, although the workers had loaded the
    copies.
    """
    module = dispatcher(2)
    module.preload_budget.requests.extend([module.now] * 100)
    req = request(module)
    home = module.orders.function_order(req.function)[0]
    replica = req.function.replica(home)
    module.preloading.preload(replica, 1)
    req.state = State.PARKED
    replica.waiters.append(req)
    module.on_preload_finished(home, req.function, Outcome.RESET, 0, 6_000)
    assert req.attempts[0].worker is home and not req.attempts[0].cold and home.emptied_at < 0


def test_a_worker_with_a_full_load_queue_gets_no_load_until_one_ends_there() -> None:
    module = dispatcher(3)
    module.preload_budget.requests.extend([module.now] * 100)
    req, other = request(module, name="f"), request(module, name="g")
    home, next_, _ = module.orders.function_order(req.function)
    replica, second = req.function.replica(home), other.function.replica(home)
    module.preloading.preload(replica, 1)
    module.on_preload_finished(home, req.function, Outcome.REJECTED, 0, 5)
    # the budget is saved for other workers
    assert not module.preloading.preload(second, 1) and len(module.preload_budget.arrivals) == 1
    req.state = State.OUT
    module.attempts.send(req, replica)
    module.on_attempt_finished(req.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert req in req.function.replica(next_).waiters and commands(module, "preload")[-1][1] is next_
    home.loads_rejected_until = module.now + 1
    second.pending_preloads.append(PendingPreload(module.now, True))
    second.change_loading(1)
    module.load_limit.in_progress += 1
    module.on_preload_finished(home, other.function, Outcome.OK, 1, 8_000)
    assert module.preloading.preload(replica, 1)


@pytest.mark.parametrize("shedding", [False, True])
def test_while_the_fleet_sheds_load_no_additional_copy_is_loaded(shedding: bool) -> None:
    module = dispatcher(3, **{"when-absent": "load", "load-share": 1.0, "free-loads": 50})
    module.fleet.shedding = shedding
    call = request(module)
    call.accepted_at = module.now
    warm = call.function.replica(module.orders.function_order(call.function)[0])
    warm.copies, warm.confirmed_at, warm.zone, warm.backoff_until = (
        1,
        module.now,
        Zone.WARNING,
        module.now + 50_000,
    )
    warm.in_flight = 1  # the capacity of a replica in Warning
    assert module.placement.place(call, None) is RequestEvent.SENT
    assert len(commands(module, "preload")) == (not shedding)
