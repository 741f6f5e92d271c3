"""What a worker that has just booted is sent."""

import pytest
from helpers import change, dispatcher, request

from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    EndpointState,
    Outcome,
    State,
    WorkerInfo,
)


@pytest.mark.parametrize("front_ends", [1, 3, 200])
def test_a_cold_worker_gets_its_part_from_all_together_and_no_more(front_ends: int) -> None:
    sent, budget = 0, 0.0
    for me in range(front_ends):
        made = dispatcher(2)
        change(made, instance_index=me, dispatcher_count=front_ends)
        cold, warm = made.endpoints.workers
        cold.booted = made.now
        made.slow_start.ok_work.add(made.now, 400_000.0 / 1.2 / front_ends)
        budget += (
            made.throughput.rate(made.slow_start.ok_work) * 0.7 * 2.0 * 0.2 * 20_000 / made.latency.typical(0)
        )
        while made.slow_start.has_capacity(cold, request(made)):
            cold.sent_in_slow_start.append((made.now, made.latency.typical(0)))
            sent += 1
        assert made.slow_start.has_capacity(warm, request(made))
    assert budget - 1 <= sent <= budget + 1.5


def test_a_fleet_that_ramps_together_does_not_inflate_the_cold_budget() -> None:
    made = dispatcher(4)
    made.slow_start.ok_work.add(made.now, 40_000.0 / 1.6)
    for worker in made.endpoints.workers[:3]:
        worker.booted = made.now
        worker.sent_in_slow_start.append((made.now, 10_000.0))
    assert not made.slow_start.has_capacity(made.endpoints.workers[0], request(made))


def test_a_function_heavier_than_its_method_fills_a_cold_worker_sooner() -> None:
    """A version five times slower than the others of its method pushed cold workers over."""
    made = dispatcher(2)
    light, heavy = request(made), request(made, name="heavy")
    assert made.slow_start.weight(heavy) == made.slow_start.weight(light) == made.latency.typical(0)
    heavy.function.replica(made.endpoints.workers[0]).window.extend([20_000, 24_000])
    assert made.slow_start.weight(heavy) == 22_000
    heavy.function.isolated_latency, heavy.scale = 15_000.0, 2.0
    assert made.slow_start.weight(heavy) == 30_000 and made.slow_start.weight(light) == made.latency.typical(
        0
    )
    made.slow_start.ok_work.add(made.now, 100_000.0)
    made.endpoints.workers[0].booted = made.now
    sent = {}
    for one in (light, heavy):
        made.endpoints.workers[0].sent_in_slow_start.clear()
        while made.slow_start.has_capacity(made.endpoints.workers[0], one):
            made.endpoints.workers[0].sent_in_slow_start.append((made.now, made.slow_start.weight(one)))
        sent[one.function.name] = len(made.endpoints.workers[0].sent_in_slow_start)
    assert 0 <= sent["heavy"] < sent["f"]


@pytest.mark.parametrize("left", [EndpointState.REMOVED, EndpointState.DRAINING])
def test_a_fleet_that_shrinks_at_once_does_not_inflate_the_cold_budget(left: EndpointState) -> None:
    """Four fifths went and one came back cold: it was sent what the five had taken, and fell over."""
    made = dispatcher(10)
    made.latency.by_method[0].add(made.now, 2_000)

    def room() -> int:
        cold = made.endpoints.workers[0]
        cold.booted, sent = made.now, 0
        cold.sent_in_slow_start.clear()
        while made.slow_start.has_capacity(cold, request(made)):
            cold.sent_in_slow_start.append((made.now, made.latency.typical(0)))
            sent += 1
        return sent

    for _ in range(200):
        one = request(made)
        made.on_request(one)
        made.on_attempt_finished(one.attempts[0], Outcome.OK, AttemptResult(2_000))
    before = room()
    stays = [(made.endpoints.workers[0], WorkerInfo("w0", booted=made.now))]
    leaver = made.endpoints.workers[5]
    made.on_endpoints(
        stays + [(s, WorkerInfo(s.name, listing=left)) for s in made.endpoints.workers[1:]], snapshot=False
    )
    late = request(made)
    late.state = State.OUT
    late.attempts.append(Attempt(late, leaver, made.now))
    late.function.replica(leaver).start(late.attempts[0])
    made.on_attempt_finished(late.attempts[0], Outcome.OK, AttemptResult(2_000))
    assert 1 <= room() <= before
