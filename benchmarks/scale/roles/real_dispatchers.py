"""Compares the costs of dispatcher processes on loopback with those of hollow ones under the same load.

Resident memory includes Twisted's transports and the allocator's overhead, which hollow ones do not have.
"""

import asyncio
import statistics
import tempfile
from pathlib import Path

from msgspec import Struct

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.loopback import Group, size_change
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep

FUNCTIONS = 20
CALLS = 40.0  # per second, at each dispatcher
CHANGES = 25.0  # per second
WARM_UP = 2.0  # seconds


class Size(Struct, frozen=True):
    """Number of processes and instances, and duration."""

    dispatchers: int  # processes in each of the two groups
    few: int  # instances in the first group's list
    many: int  # instances in the second group's list
    seconds: float


FULL = Size(12, 20, 100, 5.0)
QUICK = Size(2, 25, 100, 1.0)


class Costs(Struct, frozen=True):
    """The costs of one dispatcher, one figure per process."""

    memory: list[float]  # bytes
    idle: list[float]  # cores
    calls: list[float]
    changes: list[float]


async def measure_real(size: Size, instances: int, folder: Path) -> Costs:
    group = Group(folder, f"edge{instances}", size.dispatchers, instances)
    try:
        await group.start()
        memory = group.memory()
        idle = await group.measure_load(size.seconds / 2, 0, 0, FUNCTIONS)
        await group.measure_load(WARM_UP, CALLS, 0, FUNCTIONS)
        calls = await group.measure_load(size.seconds, CALLS, 0, FUNCTIONS)
        changes = await group.measure_load(size.seconds, 0, CHANGES, FUNCTIONS)
        return Costs(memory, idle, calls, changes)
    finally:
        group.stop()


def measure_hollow(size: Size, instances: int, seed: int) -> Costs:
    """The costs of a hollow dispatcher; its memory is the state it holds."""

    def connected_dispatcher() -> hollow.HollowDispatcher:
        dispatcher = hollow.HollowDispatcher(hollow.entries(instances), seed, size.dispatchers)
        dispatcher.load_full_list()
        return dispatcher

    dispatcher, state = measuring.build_measured(connected_dispatcher)
    idle = measuring.processor_seconds(lambda: dispatcher.run(size.seconds / 2), 1).median / (
        size.seconds / 2
    )
    run_load(dispatcher, WARM_UP, CALLS, 0)
    calls = (
        measuring.processor_seconds(lambda: run_load(dispatcher, size.seconds, CALLS, 0), 3).median
        / size.seconds
    )
    changes = measuring.processor_seconds(lambda: run_load(dispatcher, size.seconds, 0, CHANGES), 3).median
    return Costs([state], [idle], [calls], [changes / size.seconds])


def run_load(dispatcher: hollow.HollowDispatcher, seconds: float, calls: float, changes: float) -> None:
    began = dispatcher.reactor.seconds()
    for number in range(int(seconds * calls)):
        dispatcher.reactor.run(began + number / calls)
        dispatcher.call(f"function-{number % FUNCTIONS}")
    for number in range(int(seconds * changes)):
        dispatcher.reactor.run(began + number / changes)
        dispatcher.roster.send_update(size_change(dispatcher.roster.entries, number))
    dispatcher.reactor.run(began + seconds)


def compare(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    size = QUICK if quick else FULL
    with tempfile.TemporaryDirectory() as folder:
        few, many = (asyncio.run(measure_real(size, n, Path(folder))) for n in (size.few, size.many))
    few_hollow, many_hollow = (measure_hollow(size, n, seed) for n in (size.few, size.many))
    difference = size.many - size.few
    figures = [
        Figure("real dispatchers, processes", 2 * size.dispatchers, "processes"),
        Figure("memory of a real one without instances", memory_without_instances(few, many, size), "bytes"),
        *compare_figure(
            "one instance, memory",
            [(b - statistics.median(few.memory)) / difference for b in many.memory],
            (many_hollow.memory[0] - few_hollow.memory[0]) / difference,
            "bytes",
        ),
    ]
    for label, costs, hollow_costs in [(size.few, few, few_hollow), (size.many, many, many_hollow)]:
        idle = statistics.median(costs.idle)
        calls = [(cores - idle) / CALLS for cores in costs.calls]
        changes = [(cores - idle) / CHANGES for cores in costs.changes]
        figures += compare_figure(f"one call at {label} instances", calls, hollow_costs.calls[0] / CALLS, "s")
        figures += compare_figure(
            f"one change at {label} instances", changes, hollow_costs.changes[0] / CHANGES, "s"
        )
    return figures


def memory_without_instances(few: Costs, many: Costs, size: Size) -> float:
    each = (statistics.median(many.memory) - statistics.median(few.memory)) / (size.many - size.few)
    return statistics.median(few.memory) - each * size.few


def compare_figure(name: str, real_ones: list[float], hollow_costs: float, unit: str) -> list[Figure]:
    """The real figure, the hollow one, and the ratio of real to hollow."""
    middle, low, high = statistics.median(real_ones), min(real_ones), max(real_ones)
    return [
        Figure(f"{name}, real", middle, unit, None, low, high),
        Figure(f"{name}, hollow", hollow_costs, unit),
        Figure(f"{name}, real over hollow", middle / hollow_costs if hollow_costs else 0.0, "times"),
    ]


class RealDispatchers:
    """The role `real-dispatchers`, with scenarios only."""

    name = "real-dispatchers"
    text = "dispatchers as processes on loopback beside hollow ones"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()
    scenes = (Scene("hollow beside real", "the same list, calls and changes", compare),)

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError(f"{self.name} has scenes only")


register(RealDispatchers())
