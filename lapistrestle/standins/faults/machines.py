"""Faults of the machines that runners run on: slow, failing, shared, or stopped."""

from collections.abc import Callable
from typing import Any

from lapistrestle.standins.faults.effects import (
    EndFault,
    StartFault,
    all_of,
    increase,
    multiply,
    nothing,
    repeatedly,
)
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND

NEIGHBOUR_EVERY = 1.5  # seconds between two starts of another program's load
NEIGHBOUR_HELD = 0.9  # seconds for which it uses the cores


def engine_fault(change: Callable[[Any, ScriptedFault], EndFault]) -> StartFault:
    """A fault of runner processes; a runner that restarts no longer has it."""

    def start(world: World, fault: ScriptedFault) -> EndFault:
        chosen = world.pick_runners(fault.share, fault.zone)
        return all_of([change(slot.runner.engine, fault) for slot in chosen])

    return start


def slow(engine: Any, fault: ScriptedFault) -> EndFault:
    """Everything takes longer."""
    return multiply(engine, "slowdown", fault.factor)


def fast_errors(engine: Any, fault: ScriptedFault) -> EndFault:
    """Every call fails at once."""
    engine.failing = True

    def end() -> None:
        engine.failing = False

    return end


def report_late(engine: Any, fault: ScriptedFault) -> EndFault:
    """Load reports are out of date."""
    return increase(engine, "report_delay", fault.delay / SECOND)


def neighbour(world: World, fault: ScriptedFault) -> EndFault:
    """Another program periodically takes half of the cores."""
    chosen = [slot.runner.engine for slot in world.pick_runners(fault.share, fault.zone)]
    held = [max(1, engine.spec.cores // 2) for engine in chosen]

    def take() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.cores_taken += cores
        world.reactor.callLater(NEIGHBOUR_HELD, give)

    def give() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.cores_taken -= cores
            engine.start_waiting()

    repeatedly(world, NEIGHBOUR_EVERY, fault.duration / SECOND, take)
    return nothing


def periodic_stops(every: float, lasts: float) -> StartFault:
    """Machines stop every `every` seconds, each time for `lasts` seconds."""

    def start(world: World, fault: ScriptedFault) -> EndFault:
        chosen = [slot.runner.engine for slot in world.pick_runners(fault.share, fault.zone)]

        def stop() -> None:
            for engine in chosen:
                engine.pause(True)
            world.reactor.callLater(lasts, go)

        def go() -> None:
            for engine in chosen:
                engine.pause(False)

        repeatedly(world, every, fault.duration / SECOND, stop)
        return nothing

    return start
