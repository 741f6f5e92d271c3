"""Each dispatcher's share of the slow-start budget of a cold instance, by number of dispatchers.

Every dispatcher runs the production decision module, with some warm instances and one that is cold; its
recent throughput is set to an equal share of the target's calls. In each window calls are sent to the cold
instance until `SlowStart.has_capacity` refuses, as if all calls went to it.
"""

import statistics
from typing import Any

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.measuring import build_measured, count_steps, processor_seconds
from benchmarks.scale.roles import register
from benchmarks.scale.roles.control_hollow import SECOND, module_settings
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import WorkerInfo

WARM_INSTANCES = 8  # known to each dispatcher
WINDOWS = 20
MAX_CALLS_PER_WINDOW = 50  # of one dispatcher: guards against an unlimited budget
NOW = 1_000 * SECOND


class NullHost:
    """A stub host that does nothing."""

    def __getattr__(self, word: str) -> Any:
        return lambda *given: None


def dispatcher_of(number: int, dispatchers: int, calls_per_instance: float) -> tuple[Dispatcher, Worker]:
    """Creates one of `dispatchers`, with an equal share of the calls per second of each instance."""
    dispatcher = Dispatcher(NullHost(), module_settings(dispatchers, number), number, 0)
    dispatcher.now = NOW
    cold = Worker("cold")
    listed = [(Worker(f"warm-{i}"), WorkerInfo(f"warm-{i}", booted_at=0)) for i in range(WARM_INSTANCES)]
    dispatcher.on_endpoints([*listed, (cold, WorkerInfo("cold", booted_at=NOW))], snapshot=True)
    rate = calls_per_instance / dispatchers / SECOND  # calls per tick from one dispatcher, per unit of size
    dispatcher.slow_start.ok_work.add(
        NOW, rate * dispatcher.latency.typical(0) * dispatcher.slow_start.ok_work.time_constant
    )
    return dispatcher, cold


def calls_in_window(dispatcher: Dispatcher, cold: Worker, now: int) -> int:
    """Calls that a dispatcher may send to the cold instance now, if all its calls went there."""
    dispatcher.now = now
    dispatcher.slow_start.ok_work.updated_at = now  # steady throughput: no decay
    cold.booted_at = now  # as cold as at its start
    cold.sent_in_slow_start.clear()
    count = 0
    request = Request("r", FUNCTION, 0, 0, now + 3 * SECOND)
    while count < MAX_CALLS_PER_WINDOW and dispatcher.slow_start.has_capacity(cold, request):
        cold.sent_in_slow_start.append((now, dispatcher.slow_start.weight(request)))
        count += 1
    return count


FUNCTION = Function("f", 0, 100.0, 1)


def windows_of(dispatchers: int, calls_per_instance: float) -> tuple[list[int], list[int]]:
    """Calls of all dispatchers in each window, and the number of windows in which each could send."""
    pairs = [dispatcher_of(number, dispatchers, calls_per_instance) for number in range(dispatchers)]
    window = pairs[0][0].settings.overload_window
    totals, turns = [0] * WINDOWS, [0] * dispatchers
    for index in range(WINDOWS):
        for number, (dispatcher, cold) in enumerate(pairs):
            count = calls_in_window(dispatcher, cold, NOW + index * window)
            totals[index] += count
            turns[number] += bool(count)
    return totals, turns


class ColdRole:
    """One cold instance that is known to all dispatchers."""

    name = "cold"
    text = "the budget of one cold instance, divided over dispatchers that each know it"
    sweeps: tuple[Sweep, ...] = (Sweep(Dimension.DISPATCHERS, (50, 100, 200, 400, 800), 1_600, 3_900),)
    budgets: tuple[Budget, ...] = (
        Budget("windows between two turns of one", 5.0, "a cold instance is warm after five windows"),
    )

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("reach", "the same where only so many dispatchers know the instance", reach),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        calls = assumptions.target.calls_per_second / assumptions.target.instances
        (dispatcher, cold), held = build_measured(lambda: dispatcher_of(0, size, calls))
        request = Request("r", FUNCTION, 0, 0, NOW + 3 * SECOND)
        check_cost = processor_seconds(
            lambda: [dispatcher.slow_start.has_capacity(cold, request) for _ in range(1_000)], 3
        )
        steps = count_steps(lambda: dispatcher.slow_start.has_capacity(cold, request)).instructions
        totals, turns = windows_of(size, calls)
        return Sample(
            state_bytes=held, steps=steps, figures={
                "one question of room (s)": check_cost.median / 1_000,
                "call-outs of all in a window": statistics.mean(totals),
                "most call-outs of all in a window": float(max(totals)),
                "windows between two turns of one": WINDOWS * size / max(1, sum(turns)),
            },
        )  # fmt: skip


def reach(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """How often one dispatcher may send to a cold instance, by number of dispatchers that know it: at the
    target's calls per instance, and at those of a function that is called once a minute.
    """
    target = assumptions.target
    figures = []
    for label, calls in (
        ("mean calls", target.calls_per_second / target.instances),
        ("one a minute", 1 / 60),
    ):
        for count in (1, 2, 4, 8, 16, 64, target.dispatchers_per_region):
            _, turns = windows_of(count, calls)
            share = sum(turns) / WINDOWS / count
            figures.append(
                Figure(f"part of windows with a turn, {count} dispatchers, {label}", share, "part")
            )
    return figures


register(ColdRole())
