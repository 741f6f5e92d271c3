"""Copies that are loaded ahead: their budget, the limit of loads, and what is kept."""

import pytest
from helpers import acts, change, dispatcher, front_end_of_many, request

from lapistrestle.policy.entities import Function, PendingPreload
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.types import (
    AttemptResult,
    LoadState,
    Outcome,
    State,
    Zone,
)


def test_orders_stay_within_their_budget() -> None:
    made = dispatcher(1)
    made.preload_budget.requests.extend([made.now] * 10)
    replica = Function("f").replica(made.endpoints.workers[0])
    assert [made.preloading.preload(replica, 1) for _ in range(5)] == [True] * 4 + [False]
    made.now += 50_001
    assert not made.preloading.preload(replica, 1)  # without answer they may be about to cross
    for _ in range(4):
        made.on_preload_finished(made.endpoints.workers[0], replica.function, Outcome.OK, 1, 10)
    assert [made.preloading.preload(replica, 1) for _ in range(3)] == [True, True, False]


def test_an_order_that_was_long_on_the_way_counts_from_when_it_may_have_crossed() -> None:
    """A link that was cut for seconds let all that lay on it through at once (split days)."""
    made = dispatcher(1, **{"free-loads": 5})
    function, worker = Function("f"), made.endpoints.workers[0]
    for took in (6_000, 6_000, 40_000):
        assert made.preloading.preload(function.replica(worker), 1)
        made.now += took
        made.on_preload_finished(worker, function, Outcome.OK, 1, took)
    made.now += 20_000  # the first two have left the window, the last crossed 3.2 s ago at the earliest
    made.preloading.preload(function.replica(worker), 1)
    assert made.preload_budget.arrivals == [made.now - 32_000]


def test_an_rpc_that_was_read_late_leaves_the_ration_when_it_does_at_the_socket() -> None:
    """A dispatcher that stood still for a second counted what lay in its sockets a second too long."""
    made = dispatcher(1)
    for late in (9_000, 0):
        read = request(made)
        read.came = made.now - late
        made.on_request(read)
    made.now += 45_000
    made.preloading.preload(Function("g").replica(made.endpoints.workers[0]), 1)
    assert list(made.preload_budget.requests) == [50_000]
    change(made, preload_delay=300)
    made.now += 4_800  # by the time that an order crosses the other has left too
    made.preloading.preload(Function("g").replica(made.endpoints.workers[0]), 1)
    assert not made.preload_budget.requests


@pytest.mark.parametrize("window", [0, 50_000])
def test_what_is_remembered_for_the_budget_of_orders_does_not_grow_without_end(window: int) -> None:
    made = dispatcher(1)
    change(made, preload_window=window, may_preload=False)
    for _ in range(50):
        made.now += 5_000
        made.on_request(request(made))
    assert len(made.preload_budget.requests) == window // 5_000


def test_an_rpc_that_is_placed_anew_under_another_version_counts_once() -> None:
    made = dispatcher(2)
    made.on_request(request(made))
    again = request(made, name="f@v2")
    again.moved = True
    made.on_request(again)
    assert len(made.preload_budget.requests) == 1 and again.attempts


def test_slow_or_failing_loads_mean_fewer_at_once() -> None:
    made = dispatcher(4)
    before, function = made.load_limit.limit, Function("f")
    made.load_limit.record(function, True, 30_000)
    slow = made.load_limit.limit
    made.load_limit.record(function, True, 6_000)
    assert 1 <= slow < before and made.load_limit.limit > slow


def test_a_queue_behind_a_cold_call_out_does_not_cut_the_load_limit() -> None:
    made = dispatcher(1, **{"when-absent": "load"})
    worker, before = made.endpoints.workers[0], 5.0
    made.load_limit.limit = before
    for crowded in (True, False):
        one = request(made)
        made.attempts.send(one, one.function.replica(worker))
        worker.latency_sum.add(made.now, 900_000 if crowded else -900_000)
        made.on_attempt_finished(one.attempts[0], Outcome.OK, AttemptResult(29_000, over=True))
        assert (made.load_limit.limit == before) == crowded


@pytest.mark.parametrize(("company", "took", "orders"), [(0, 9_000, 0), (1, 100, 0), (1, 9_000, 1)])
def test_where_answers_tell_that_others_wait_the_next_worker_loads(
    company: int, took: int, orders: int
) -> None:
    made = front_end_of_many(**{"says-company": True, "tells-warm": True})
    made.load_limit.limit = 5.0
    for _ in range(3):
        made.latency.by_method[0].add(made.now, 1_000)
    one = request(made)
    made.on_request(one)
    home = one.attempts[0].worker
    made.on_attempt_finished(
        one.attempts[0], Outcome.OK, AttemptResult(took, True, LoadState.LOADED, company)
    )
    loads = acts(made, "preload")
    assert len(loads) == orders and all(
        o[1] is made.orders.function_order(one.function)[1] and home is not o[1] for o in loads
    )


def test_a_hold_asks_for_what_was_used_and_a_share_of_the_spare() -> None:
    made = dispatcher(2)
    change(made, dispatcher_count=1)
    made.preload_budget.requests.extend([made.now] * 50)
    function = Function("f")
    made.preloading.functions[function] = None
    home = function.replica(made.orders.function_order(function)[0])
    home.peak_in_flight, home.copies, home.confirmed_at = 4, 4, made.now
    made.preloading.maintain_replicas(function)
    assert acts(made, "preload") == [("preload", home.worker, function, 4 + 2)]
    made.preloading.maintain_replicas(function)
    assert function in made.preloading.functions  # a copy still stands
    made.now += 2 * made.settings.idle_timeout
    home.pending_preloads.clear()
    made.preloading.maintain_replicas(function)
    assert function not in made.preloading.functions and not function.scores


def test_an_order_whose_connection_broke_stands_and_its_waiters_go_there() -> None:
    """Seen on sockets: ten orders a second lost their connection, and what they loaded was ordered anew."""
    made = dispatcher(2)
    made.preload_budget.requests.extend([made.now] * 100)
    one = request(made)
    home = made.orders.function_order(one.function)[0]
    replica = one.function.replica(home)
    made.preloading.preload(replica, 1)
    one.state = State.PARKED
    replica.waiters.append(one)
    made.on_preload_finished(home, one.function, Outcome.RESET, 0, 6_000)
    assert one.attempts[0].worker is home and not one.attempts[0].cold and home.emptied_at < 0


def test_a_worker_whose_line_of_loads_is_full_gets_no_load_until_one_ends_there() -> None:
    made = dispatcher(3)
    made.preload_budget.requests.extend([made.now] * 100)
    one, other = request(made, name="f"), request(made, name="g")
    home, next_, _ = made.orders.function_order(one.function)
    replica, second = one.function.replica(home), other.function.replica(home)
    made.preloading.preload(replica, 1)
    made.on_preload_finished(home, one.function, Outcome.REJECTED, 0, 5)
    assert (
        not made.preloading.preload(second, 1) and len(made.preload_budget.arrivals) == 1
    )  # the ration is kept for those that may
    one.state = State.OUT
    made.attempts.send(one, replica)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, AttemptResult(10))
    assert one in one.function.replica(next_).waiters and acts(made, "preload")[-1][1] is next_
    home.loads_rejected_until = made.now + 1
    second.pending_preloads.append(PendingPreload(made.now, True))
    second.change_loading(1)
    made.load_limit.in_progress += 1
    made.on_preload_finished(home, other.function, Outcome.OK, 1, 8_000)
    assert made.preloading.preload(replica, 1)


@pytest.mark.parametrize("shedding", [False, True])
def test_while_the_fleet_sheds_no_copy_is_added_beside_one(shedding: bool) -> None:
    made = dispatcher(3, **{"when-absent": "load", "load-share": 1.0, "free-loads": 50})
    made.fleet.shedding = shedding
    call = request(made)
    call.began = made.now
    warm = call.function.replica(made.orders.function_order(call.function)[0])
    warm.copies, warm.confirmed_at, warm.zone, warm.backoff_until = (
        1,
        made.now,
        Zone.WARNING,
        made.now + 50_000,
    )
    warm.in_flight = 1  # all that a worker in Warning takes
    assert made.placement.place(call, None) is RequestEvent.SENT
    assert len(acts(made, "preload")) == (not shedding)
