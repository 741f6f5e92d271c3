"""Requests sent to a worker in slow start."""

import pytest
from helpers import change_settings, dispatcher, request

from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    EndpointState,
    Outcome,
    State,
    WorkerInfo,
)


@pytest.mark.parametrize("dispatchers", [1, 3, 200])
def test_all_dispatchers_together_send_a_cold_worker_its_budget_and_no_more(dispatchers: int) -> None:
    sent, budget = 0, 0.0
    for index in range(dispatchers):
        module = dispatcher(2)
        change_settings(module, instance_index=index, dispatcher_count=dispatchers)
        cold, warm = module.endpoints.workers
        cold.booted_at = module.now
        module.slow_start.ok_work.add(module.now, 400_000.0 / 1.2 / dispatchers)
        budget += (
            module.throughput.rate(module.slow_start.ok_work)
            * 0.7
            * 2.0
            * 0.2
            * 20_000
            / module.latency.typical(0)
        )
        while module.slow_start.has_capacity(cold, request(module)):
            cold.sent_in_slow_start.append((module.now, module.latency.typical(0)))
            sent += 1
        assert module.slow_start.has_capacity(warm, request(module))
    assert budget - 1 <= sent <= budget + 1.5


@pytest.mark.parametrize("share", [0.0, 0.17, 0.2, 0.83, 1.0])
@pytest.mark.parametrize("duration", [0, 7, 10_000, 99_999])
def test_the_warm_size_is_the_sum_of_sizes_each_times_its_share(share: float, duration: int) -> None:
    """To the last bit, so that the same seed and events lead to the same decisions."""
    ages = [0, 1, duration // 2, max(0, duration - 1), duration, duration + 1, 2 * duration, 3 * duration]
    module = dispatcher(len(ages) + 1)
    change_settings(module, slow_start_share=share, slow_start_duration=duration)
    module.now = 1_000_000
    for number, (worker, age) in enumerate(zip(module.endpoints.workers, ages, strict=False)):
        worker.booted_at, worker.size = module.now - age, 0.1 + number / 7
    module.slow_start.endpoints_changed()
    serving = module.endpoints.serving
    assert len(serving) == len(ages) + 1
    assert module.slow_start.warm_size() == sum(w.size * module.slow_start.share(w) for w in serving)


def test_workers_that_warm_up_together_do_not_inflate_the_slow_start_budget() -> None:
    module = dispatcher(4)
    module.slow_start.ok_work.add(module.now, 40_000.0 / 1.6)
    for worker in module.endpoints.workers[:3]:
        worker.booted_at = module.now
        worker.sent_in_slow_start.append((module.now, 10_000.0))
    assert not module.slow_start.has_capacity(module.endpoints.workers[0], request(module))


def test_a_function_heavier_than_its_method_uses_the_slow_start_budget_faster() -> None:
    """A version five times slower than the others of its method overloaded workers in slow start."""
    module = dispatcher(2)
    light, heavy = request(module), request(module, name="heavy")
    assert module.slow_start.weight(heavy) == module.slow_start.weight(light) == module.latency.typical(0)
    heavy.function.replica(module.endpoints.workers[0]).window.extend([20_000, 24_000])
    assert module.slow_start.weight(heavy) == 22_000
    heavy.function.isolated_latency, heavy.scale = 15_000.0, 2.0
    assert module.slow_start.weight(heavy) == 30_000 and module.slow_start.weight(
        light
    ) == module.latency.typical(0)
    module.slow_start.ok_work.add(module.now, 100_000.0)
    module.endpoints.workers[0].booted_at = module.now
    sent = {}
    for req in (light, heavy):
        module.endpoints.workers[0].sent_in_slow_start.clear()
        while module.slow_start.has_capacity(module.endpoints.workers[0], req):
            module.endpoints.workers[0].sent_in_slow_start.append((module.now, module.slow_start.weight(req)))
        sent[req.function.name] = len(module.endpoints.workers[0].sent_in_slow_start)
    assert 0 <= sent["heavy"] < sent["f"]


@pytest.mark.parametrize("state", [EndpointState.REMOVED, EndpointState.DRAINING])
def test_a_sudden_loss_of_workers_does_not_inflate_the_slow_start_budget(state: EndpointState) -> None:
    """Four of five workers left and one restarted: it was overloaded by the traffic of all five."""
    module = dispatcher(10)
    module.latency.by_method[0].add(module.now, 2_000)

    def capacity() -> int:
        cold = module.endpoints.workers[0]
        cold.booted_at, sent = module.now, 0
        cold.sent_in_slow_start.clear()
        while module.slow_start.has_capacity(cold, request(module)):
            cold.sent_in_slow_start.append((module.now, module.latency.typical(0)))
            sent += 1
        return sent

    for _ in range(200):
        req = request(module)
        module.on_request(req)
        module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(2_000))
    before = capacity()
    remaining = [(module.endpoints.workers[0], WorkerInfo("w0", booted_at=module.now))]
    leaver = module.endpoints.workers[5]
    module.on_endpoints(
        remaining + [(s, WorkerInfo(s.name, endpoint_state=state)) for s in module.endpoints.workers[1:]],
        snapshot=False,
    )
    late = request(module)
    late.state = State.OUT
    late.attempts.append(Attempt(late, leaver, module.now))
    late.function.replica(leaver).start(late.attempts[0])
    module.on_attempt_finished(late.attempts[0], Outcome.OK, AttemptResult(2_000))
    assert 1 <= capacity() <= before
