"""Latency zones of replicas and workers, and how long they last."""

from helpers import dispatcher, request

from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import (
    AttemptResult,
    Outcome,
    Zone,
)
from lapistrestle.ticks import SECOND


def test_a_zone_follows_the_window_and_unsafe_is_followed_by_warning() -> None:
    module = dispatcher(1)
    replica = Function("f", isolated_latency=1_000.0).replica(module.endpoints.workers[0])
    replica.window.extend([int(module.latency.bound(replica.function)) * 2] * 10)
    module.zones.update_zone(replica)
    assert module.zones.zone(replica) is Zone.UNSAFE and module.placement.capacity(replica) == 0
    module.now += 2 * SECOND
    assert module.zones.zone(replica) is Zone.WARNING and not replica.window


def test_own_requests_beyond_the_rate_of_a_worker_make_it_unsafe_before_any_answer() -> None:
    module = dispatcher(1)
    replica = Function("f").replica(module.endpoints.workers[0])
    replica.copies, replica.confirmed_at = 9, module.now
    for _ in range(6):
        module.attempts.send(request(module), replica)
    assert module.zones.zone(replica) is Zone.UNSAFE


def test_a_dispatcher_that_uses_workers_rarely_avoids_unsafe_ones_for_longer() -> None:
    frequent, rare = dispatcher(4), dispatcher(90)
    for module in (frequent, rare):
        module.throughput.ok_answers.add(module.now, 30.0)
        module.on_request(request(module))
    assert frequent.throughput.time_constant_factor == 1 and 2 < rare.throughput.time_constant_factor < 4
    replica = Function("f", isolated_latency=1_000.0).replica(rare.endpoints.workers[0])
    replica.window.extend([90_000] * 9)
    rare.zones.update_zone(replica)
    rare.now += 3 * SECOND
    assert rare.zones.zone(replica) is Zone.UNSAFE


def test_a_reported_queue_counts_as_latency_at_a_dispatcher_that_uses_workers_rarely() -> None:
    for factor, crowded in ((1.0, False), (3.0, True)):
        module = dispatcher(1)
        module.throughput.time_constant_factor = factor
        module.throughput.ok_answers.add(module.now, 15.0)
        req = request(module)
        module.on_request(req)
        module.throughput.time_constant_factor = factor
        module.on_attempt_finished(
            req.attempts[0], Outcome.OK, AttemptResult(900, over=True, load_report={"backlog": 20})
        )
        assert (
            module.zones.worker_zone(req.function.replica(module.endpoints.workers[0])) is Zone.UNSAFE
        ) == crowded
