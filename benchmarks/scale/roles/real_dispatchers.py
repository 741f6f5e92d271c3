"""Hollow beside real: what dispatchers cost as processes on loopback, and what the hollow one costs doing the
same. Resident memory holds Twisted's transports and the allocator's slack, which the hollow one has not.
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
CALLS = 40.0  # a second, of each dispatcher
CHANGES = 25.0  # a second
WARM_UP = 2.0  # seconds


class Size(Struct, frozen=True):
    """How many processes, instances and seconds."""

    dispatchers: int  # in each of the two groups
    few: int  # instances of the one group's list
    many: int
    seconds: float


FULL = Size(12, 20, 100, 5.0)
QUICK = Size(2, 25, 100, 1.0)


class Costs(Struct, frozen=True):
    """What one dispatcher costs; lists hold one figure a process."""

    memory: list[float]  # bytes
    idle: list[float]  # cores
    calls: list[float]
    changes: list[float]


async def real(size: Size, instances: int, folder: Path) -> Costs:
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


def hollowed(size: Size, instances: int, seed: int) -> Costs:
    """The same, hollow; memory is the state that is held."""

    def learnt() -> hollow.HollowDispatcher:
        made = hollow.HollowDispatcher(hollow.entries(instances), seed, size.dispatchers)
        made.load_full_list()
        return made

    made, state = measuring.build_measured(learnt)
    idle = measuring.processor_seconds(lambda: made.run(size.seconds / 2), 1).median / (size.seconds / 2)
    run_load(made, WARM_UP, CALLS, 0)
    calls = (
        measuring.processor_seconds(lambda: run_load(made, size.seconds, CALLS, 0), 3).median / size.seconds
    )
    changes = measuring.processor_seconds(lambda: run_load(made, size.seconds, 0, CHANGES), 3).median
    return Costs([state], [idle], [calls], [changes / size.seconds])


def run_load(made: hollow.HollowDispatcher, seconds: float, calls: float, changes: float) -> None:
    began = made.reactor.seconds()
    for number in range(int(seconds * calls)):
        made.reactor.run(began + number / calls)
        made.call(f"function-{number % FUNCTIONS}")
    for number in range(int(seconds * changes)):
        made.reactor.run(began + number / changes)
        made.roster.send_update(size_change(made.roster.entries, number))
    made.reactor.run(began + seconds)


def beside(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    size = QUICK if quick else FULL
    with tempfile.TemporaryDirectory() as folder:
        few, many = (asyncio.run(real(size, n, Path(folder))) for n in (size.few, size.many))
    few_hollow, many_hollow = (hollowed(size, n, seed) for n in (size.few, size.many))
    apart = size.many - size.few
    figures = [
        Figure("real dispatchers, processes", 2 * size.dispatchers, "processes"),
        Figure("memory of a real one without instances", memory_at_none(few, many, size), "bytes"),
        *pair(
            "one instance, memory",
            [(b - statistics.median(few.memory)) / apart for b in many.memory],
            (many_hollow.memory[0] - few_hollow.memory[0]) / apart,
            "bytes",
        ),
    ]
    for label, costs, imagined in [(size.few, few, few_hollow), (size.many, many, many_hollow)]:
        idle = statistics.median(costs.idle)
        calls = [(cores - idle) / CALLS for cores in costs.calls]
        changes = [(cores - idle) / CHANGES for cores in costs.changes]
        figures += pair(f"one call at {label} instances", calls, imagined.calls[0] / CALLS, "s")
        figures += pair(f"one change at {label} instances", changes, imagined.changes[0] / CHANGES, "s")
    return figures


def memory_at_none(few: Costs, many: Costs, size: Size) -> float:
    each = (statistics.median(many.memory) - statistics.median(few.memory)) / (size.many - size.few)
    return statistics.median(few.memory) - each * size.few


def pair(name: str, real_ones: list[float], imagined: float, unit: str) -> list[Figure]:
    """The real figure, the hollow one, and how many times the hollow one the real one is."""
    middle, low, high = statistics.median(real_ones), min(real_ones), max(real_ones)
    return [
        Figure(f"{name}, real", middle, unit, None, low, high),
        Figure(f"{name}, hollow", imagined, unit),
        Figure(f"{name}, real over hollow", middle / imagined if imagined else 0.0, "times"),
    ]


class RealDispatchers:
    """The role `real-dispatchers`: scenes only."""

    name = "real-dispatchers"
    text = "dispatchers as processes on loopback beside hollow ones"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()
    scenes = (Scene("hollow beside real", "the same list, calls and changes", beside),)

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError(f"{self.name} has scenes only")


register(RealDispatchers())
