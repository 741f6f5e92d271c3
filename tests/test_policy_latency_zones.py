"""How near workers are to the latency bound, and for how long that is remembered."""

from helpers import dispatcher, request

from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import (
    AttemptResult,
    Outcome,
    Zone,
)
from lapistrestle.ticks import SECOND


def test_zones_follow_the_window_and_come_back_as_warning() -> None:
    made = dispatcher(1)
    replica = Function("f", isolated_latency=1_000.0).replica(made.endpoints.workers[0])
    replica.window.extend([int(made.latency.bound(replica.function)) * 2] * 10)
    made.zones.update_zone(replica)
    assert made.zones.zone(replica) is Zone.UNSAFE and made.placement.capacity(replica) == 0
    made.now += 2 * SECOND
    assert made.zones.zone(replica) is Zone.WARNING and not replica.window


def test_own_rpcs_beyond_the_pace_of_a_worker_make_it_unsafe_before_any_answer() -> None:
    made = dispatcher(1)
    replica = Function("f").replica(made.endpoints.workers[0])
    replica.copies, replica.confirmed_at = 9, made.now
    for _ in range(6):
        made.attempts.send(request(made), replica)
    assert made.zones.zone(replica) is Zone.UNSAFE


def test_a_front_end_that_meets_workers_seldom_remembers_and_avoids_them_for_longer() -> None:
    often, seldom = dispatcher(4), dispatcher(90)
    for made in (often, seldom):
        made.throughput.ok_answers.add(made.now, 30.0)
        made.on_request(request(made))
    assert often.throughput.memory_factor == 1 and 2 < seldom.throughput.memory_factor < 4
    replica = Function("f", isolated_latency=1_000.0).replica(seldom.endpoints.workers[0])
    replica.window.extend([90_000] * 9)
    seldom.zones.update_zone(replica)
    seldom.now += 3 * SECOND
    assert seldom.zones.zone(replica) is Zone.UNSAFE


def test_a_reported_queue_counts_as_latency_to_come_where_workers_are_met_seldom() -> None:
    for stretch, crowded in ((1.0, False), (3.0, True)):
        made = dispatcher(1)
        made.throughput.memory_factor = stretch
        made.throughput.ok_answers.add(made.now, 15.0)
        one = request(made)
        made.on_request(one)
        made.throughput.memory_factor = stretch
        made.on_attempt_finished(
            one.attempts[0], Outcome.OK, AttemptResult(900, over=True, load_report={"backlog": 20})
        )
        assert (
            made.zones.worker_zone(one.function.replica(made.endpoints.workers[0])) is Zone.UNSAFE
        ) == crowded
