"""What is learned of functions is bounded by the memory of the process, and keeps what is used longest."""

import gc
import random
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import pytest
from helpers import SETTINGS, change_settings, commands, dispatcher, request
from node_harness import FN, harnesses

from lapistrestle.deployment import translation
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.node.front import BYTES_PER_MB, RECENT_IDS_DIVISOR
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.function_retention import GUARANTEED_FRACTION, TARGET_FRACTION
from lapistrestle.policy.types import AttemptResult, EndpointState, Outcome, WorkerInfo
from lapistrestle.ticks import SECOND

LIMIT = 4_000_000  # bytes
FUNCTIONS_PER_SECOND = 500
CONNECTIONS, OPEN = 4, 25  # of a bad client, and its requests at a time on each

__all__ = ["harnesses"]  # the fixture


class FakeTransport:
    """A transport that records the attempts to be sent."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def send_call(self, worker_call: Any) -> None:
        self.calls.append(worker_call)

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **figures: None


class Flood:
    """A host whose clients call functions once, and workers that answer with `outcome`."""

    def __init__(self, workers: int, outcome: Outcome, dispatchers: int = 2) -> None:
        self.now, self.outcome, self.transport, self.called = 50_000, outcome, FakeTransport(), 0
        settings = replace(
            translation.to_settings({**SETTINGS, "balancers": dispatchers}), memory_limit=LIMIT
        )
        self.host = ModuleHost(self.transport, settings, 7, lambda: self.now)
        self.host.endpoints_received(
            [WorkerInfo(f"s-{i:08x}", cell=i // 4) for i in range(workers)], is_snapshot=True
        )
        self.retention = self.host.module.retention

    def use_all_workers(self) -> None:
        """Use every worker once, so that what is held of workers does not grow later."""
        function = Function("used everywhere")
        for worker in self.host.module.endpoints.workers:
            function.replica(worker)
            function.drop(worker)
            worker.add_latency(self.now, 1.0, 1.0)
            self.host.module.health.record(worker, False, self.now)

    def call(self, function: str, outcome: Outcome) -> None:
        """Call a function, and have its attempts and preloads answered."""
        self.host.request_received(
            client=None, message=None, tag=function, function_name=function, method=0, customer=0,
            time_left=2 * SECOND,
        )  # fmt: skip
        while self.transport.calls or self.host.tasks:
            if self.transport.calls:
                self.host.attempt_finished(self.transport.calls.pop().number, outcome)
            for number in list(self.host.tasks):
                self.host.preload_finished(number, Outcome.ERROR, 0)

    def run(self, functions: int) -> None:
        """Call so many functions that were not called before."""
        for _ in range(functions):
            self.call(f"{self.called:016x}", self.outcome)
            self.called += 1
            self.now += SECOND // FUNCTIONS_PER_SECOND
            self.host.fire_timers()


@contextmanager
def traced() -> Iterator[Any]:
    """Trace allocations; yields a function that returns the bytes allocated since."""
    gc.collect()
    tracemalloc.start()
    try:
        yield lambda: (gc.collect(), tracemalloc.get_traced_memory()[0])[1]
    finally:
        tracemalloc.stop()


def call_unknown_functions(harness: Any, clients: list[Any], draw: random.Random) -> None:
    """Send requests for functions that were never called before, and wait for the answers."""
    numbers = [
        (
            client,
            client.send_request(id=f"{draw.getrandbits(64):016x}", function=f"{draw.getrandbits(64):016x}"),
        )
        for client in clients
        for _ in range(OPEN)
    ]
    harness.reactor.until(lambda: all(client.status(number) for client, number in numbers))
    for client in clients:
        client.finished_requests.clear()
        client.responses.clear()
        client.protocol_statuses.clear()


def test_unknown_functions_do_not_take_the_dispatcher_over_its_memory(harnesses: Any) -> None:
    """Guards against learned state without a tie to the limit of memory: unknown ids took 64 of 64 MB."""
    memory_mb = 16
    harness = harnesses(runners=12, memory_mb=memory_mb)
    for runner in harness.runners:
        runner.loaded = {}
        runner.message_received = lambda line, message: line.send_message(
            "404" if message["verb"] == "RUN" else "500", message["rid"], slots_up=0
        )
    clients = [harness.connect_client() for _ in range(CONNECTIONS)]
    draw = random.Random(8)
    call_unknown_functions(harness, clients, draw)
    with traced() as allocated:
        for _ in range(20):
            call_unknown_functions(harness, clients, draw)
        harness.node.front.sweep(None)  # lets go of finished requests, as it does each 2.5 s
        part = GUARANTEED_FRACTION + 1 / RECENT_IDS_DIVISOR
        assert allocated() < part * memory_mb * BYTES_PER_MB


@pytest.mark.parametrize("outcome", [Outcome.NOT_LOADED, Outcome.OK])
@pytest.mark.parametrize(("workers", "dispatchers"), [(12, 2), (40, 2), (120, 2), (3_200, 2), (40, 60)])
def test_functions_called_once_take_no_more_than_their_part(
    workers: int, dispatchers: int, outcome: Outcome
) -> None:
    """Guards against a bound by a count, under which a function costs more with each worker."""
    flood = Flood(workers, outcome, dispatchers)
    flood.use_all_workers()
    flood.run(50)
    with traced() as allocated:
        flood.run(250)
        assert allocated() < GUARANTEED_FRACTION * LIMIT
    assert len(flood.host.registry.functions) < 250


def test_functions_that_are_used_again_outlast_those_called_once() -> None:
    """Guards against a flood that evicts what usual requests need."""
    flood = Flood(40, Outcome.OK)
    usual = [f"usual {i}" for i in range(50)]
    for _ in range(2):
        for name in usual:
            flood.call(name, Outcome.OK)
    known = [flood.host.registry.functions[name] for name in usual]
    flood.run(1_500)
    assert [flood.host.registry.functions.get(name) for name in usual] == known
    assert all(function.replicas for function in known)
    flood.outcome = Outcome.NOT_LOADED
    flood.run(1_500)
    assert [flood.host.registry.functions.get(name) for name in usual] == known


def limited_dispatcher(workers: int = 3) -> Dispatcher:
    """A dispatcher with a limit of memory that leaves room for no function that is not in use."""
    module = dispatcher(workers)
    change_settings(module, memory_limit=1)
    module.retention.limit = 1
    return module


def test_a_function_in_use_is_not_evicted() -> None:
    """Guards against an eviction under an attempt: its end would find no replica and no request."""
    module = limited_dispatcher()
    first, second = request(module, name="f"), request(module, name="g")
    module.on_request(first)
    module.on_request(second)
    assert first.function.replicas and second.function.replicas
    assert not commands(module, "forget_function")
    (attempt,) = first.attempts
    module.on_attempt_finished(attempt, Outcome.OK, AttemptResult(500, True))
    assert commands(module, "forget_function") == [("forget_function", first.function)]
    assert not first.function.replicas and first.function not in attempt.worker.replicas
    assert second.function.replicas and second.function in module.preloading.functions


def test_the_maintenance_of_an_evicted_function_stops() -> None:
    """Guards against a timer that keeps an evicted function for the rest of its period."""
    module = limited_dispatcher()
    req = request(module)
    module.on_request(req)
    module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(500, True))
    (timer,) = (token for _, _, token in commands(module, "set_timer"))
    assert timer.function is None
    module.on_timer(timer)
    assert len(commands(module, "set_timer")) == 1


def test_an_eviction_leaves_what_rules_need_of_the_worker() -> None:
    """Guards against an eviction of the budgets of slow start and of loads, which rules 4 and 5 need."""
    module = limited_dispatcher()
    (worker,) = module.endpoints.workers[:1]
    cold = WorkerInfo(worker.name, booted_at=module.now - SECOND)
    module.on_endpoints([(worker, cold)], snapshot=False)
    req = request(module)
    module.attempts.send(req, req.function.replica(worker))
    module.preload_budget.add_request(req)
    sent = worker.weight_sent_since(0)
    module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(500, True))
    assert commands(module, "forget_function")
    assert sent > 0 and worker.weight_sent_since(0) == sent
    assert len(module.preload_budget.requests) == 1 and worker.endpoint_state is EndpointState.SERVING


@pytest.mark.parametrize(("used", "allowed"), [(0.5e6, 1.5e6), (1.9e6, 0.25e6), (5e6, 0.25e6)])
def test_functions_may_use_what_the_rest_of_the_process_leaves(used: float, allowed: float) -> None:
    """Up to the target for the whole process, and a guaranteed part whatever the rest uses."""
    flood = Flood(3, Outcome.OK)
    flood.host.memory_measured(int(used))
    assert flood.retention.allowed_bytes == allowed
    assert TARGET_FRACTION * LIMIT == 2e6 and GUARANTEED_FRACTION * LIMIT == 0.25e6


def test_evictions_are_logged_once_in_a_while() -> None:
    module = limited_dispatcher()
    for name in ("f", "g", "h"):
        req = request(module, name=name)
        module.on_request(req)
        module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(500, True))
    module.on_memory(1_000)
    module.on_memory(1_000)
    (line,) = (text for _, text in commands(module, "log") if text.startswith("functions evicted"))
    assert line.startswith("functions evicted: 3, held 0 of 0 bytes, process 1000 of 1")


def test_without_a_limit_of_memory_nothing_is_evicted() -> None:
    module = dispatcher(3)
    for i in range(3_000):
        req = request(module, name=f"f{i}")
        module.on_request(req)
        module.on_attempt_finished(req.attempts[0], Outcome.OK, AttemptResult(500, True))
        module.now += 10
    assert len(module.preloading.functions) == 3_000 and not commands(module, "forget_function")


def expected_order(module: Dispatcher, function: Function) -> list[Worker]:
    """The order of a function, computed from nothing."""
    ring = module.endpoints.ring
    scores = {worker: module.orders.score(function, worker) for worker in ring}
    if module.settings.dispatcher_count > len(ring):
        return sorted(ring, key=scores.__getitem__)
    home = ring.index(min(ring, key=scores.__getitem__)) if ring else 0
    return ring[home:] + ring[:home]


@pytest.mark.parametrize("dispatchers", [1, 9, 60])
def test_orders_that_follow_changes_equal_orders_computed_anew(dispatchers: int) -> None:
    """Guards against dispatchers with different orders: each brings its own up to date at other times."""
    module, draw = dispatcher(6), random.Random(dispatchers)
    change_settings(module, dispatcher_count=dispatchers)
    workers = {worker.name: worker for worker in module.endpoints.workers}
    functions = [Function(f"f{i}") for i in range(12)]
    for step in range(300):
        names = [f"w{draw.randrange(16)}" for _ in range(draw.randrange(1, 4))]
        infos = [
            WorkerInfo(name, endpoint_state=draw.choice([EndpointState.SERVING, EndpointState.REMOVED]))
            for name in dict.fromkeys(names)
        ]
        module.on_endpoints(
            [(workers.setdefault(info.name, Worker(info.name)), info) for info in infos],
            snapshot=step % 50 == 49,
        )
        for function in functions:
            if draw.random() < 0.4:
                assert module.orders.function_order(function) == expected_order(module, function)


def test_a_request_whose_client_left_before_it_was_placed_leaves_no_function() -> None:
    """Guards against a function that the module never saw, and so never evicts."""
    flood = Flood(3, Outcome.OK)
    with flood.host.batched():
        pending = flood.host.request_received(
            client=None, message=None, tag="r", function_name=FN, method=0, customer=0, time_left=SECOND
        )
        flood.host.client_gone(pending)
    assert not flood.host.registry.functions and isinstance(pending, Request)
