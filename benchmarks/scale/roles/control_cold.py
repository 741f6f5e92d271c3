"""What the budget of a cold instance leaves each dispatcher, by number of dispatchers.

Every dispatcher is the program's own module, which knows some warm instances and one that is cold; what it
was answered of late is set to its even part of the target's calls. `Dispatcher.cold_room` is then asked in
each window until it says no, as if all its calls went to the cold one.
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

WARM = 8  # instances that each knows as warm
WINDOWS = 20
MOST = 50  # call-outs of one dispatcher in one window: guards against a budget without end
NOW = 1_000 * SECOND


class Quiet:
    """A host that does nothing."""

    def __getattr__(self, word: str) -> Any:
        return lambda *given: None


def dispatcher_of(number: int, dispatchers: int, calls_an_instance: float) -> tuple[Dispatcher, Worker]:
    """One of so many, with its even part of the calls that each instance answers in a second."""
    made = Dispatcher(Quiet(), module_settings(dispatchers, number), number, 0)
    made.now = NOW
    cold = Worker("cold")
    listed = [(Worker(f"warm-{i}"), WorkerInfo(f"warm-{i}", booted_at=0)) for i in range(WARM)]
    made.on_endpoints([*listed, (cold, WorkerInfo("cold", booted_at=NOW))], snapshot=True)
    pace = calls_an_instance / dispatchers / SECOND  # of one dispatcher's calls, at each unit of size
    made.slow_start.ok_work.add(NOW, pace * made.latency.typical(0) * made.slow_start.ok_work.time_constant)
    return made, cold


def sent_in(made: Dispatcher, cold: Worker, now: int) -> int:
    """Call-outs that it may send to the cold instance at this moment, if all its calls went there."""
    made.now = now
    made.slow_start.ok_work.updated_at = now  # steady: what is answered goes on
    cold.booted_at = now  # still as cold as on its first day
    cold.sent_in_slow_start.clear()
    count = 0
    request = Request("r", FUNCTION, 0, 0, now + 3 * SECOND)
    while count < MOST and made.slow_start.has_capacity(cold, request):
        cold.sent_in_slow_start.append((now, made.slow_start.weight(request)))
        count += 1
    return count


FUNCTION = Function("f", 0, 100.0, 1)


def windows_of(dispatchers: int, calls_an_instance: float) -> tuple[list[int], list[int]]:
    """Call-outs of all in each window, and in how many of the windows each had a turn."""
    all_ = [dispatcher_of(number, dispatchers, calls_an_instance) for number in range(dispatchers)]
    window = all_[0][0].settings.overload_window
    sums, turns = [0] * WINDOWS, [0] * dispatchers
    for index in range(WINDOWS):
        for number, (made, cold) in enumerate(all_):
            count = sent_in(made, cold, NOW + index * window)
            sums[index] += count
            turns[number] += bool(count)
    return sums, turns


class ColdRole:
    """One cold instance that all dispatchers know."""

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
        (made, cold), held = build_measured(lambda: dispatcher_of(0, size, calls))
        request = Request("r", FUNCTION, 0, 0, NOW + 3 * SECOND)
        asked = processor_seconds(
            lambda: [made.slow_start.has_capacity(cold, request) for _ in range(1_000)], 3
        )
        steps = count_steps(lambda: made.slow_start.has_capacity(cold, request)).instructions
        sums, turns = windows_of(size, calls)
        return Sample(
            state_bytes=held, steps=steps, figures={
                "one question of room (s)": asked.median / 1_000,
                "call-outs of all in a window": statistics.mean(sums),
                "most call-outs of all in a window": float(max(sums)),
                "windows between two turns of one": WINDOWS * size / max(1, sum(turns)),
            },
        )  # fmt: skip


def reach(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """How often one dispatcher may send anything to a cold instance, by how many share it: at the target's
    calls for each instance, and at those of a function that is called once a minute.
    """
    target = assumptions.target
    made = []
    for label, calls in (
        ("mean calls", target.calls_per_second / target.instances),
        ("one a minute", 1 / 60),
    ):
        for count in (1, 2, 4, 8, 16, 64, target.dispatchers_per_region):
            _, turns = windows_of(count, calls)
            part = sum(turns) / WINDOWS / count
            made.append(Figure(f"part of windows with a turn, {count} dispatchers, {label}", part, "part"))
    return made


register(ColdRole())
