"""Faults of the machines that runners run on: slow, failing, shared, or stopped."""

from collections.abc import Callable
from typing import Any

from lapistrestle.standins.faults.effects import Begin, End, all_of, increase, multiply, nothing, repeatedly
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND

NEIGHBOUR_EVERY = 1.5  # seconds between two starts of another program's load
NEIGHBOUR_HELD = 0.9  # seconds for which it uses the cores


def engines(change: Callable[[Any, ScriptedFault], End]) -> Begin:
    """A fault of runner processes; a runner that restarts no longer has it."""

    def began(world: World, trouble: ScriptedFault) -> End:
        chosen = world.some(trouble.share, trouble.zone)
        return all_of([change(slot.runner.engine, trouble) for slot in chosen])

    return began


def slow(engine: Any, trouble: ScriptedFault) -> End:
    """Everything takes longer."""
    return multiply(engine, "slower", trouble.factor)


def fast_errors(engine: Any, trouble: ScriptedFault) -> End:
    """Every call fails at once."""
    engine.failing = True

    def end() -> None:
        engine.failing = False

    return end


def report_late(engine: Any, trouble: ScriptedFault) -> End:
    """Load reports are out of date."""
    return increase(engine, "report_late", trouble.by / SECOND)


def neighbour(world: World, trouble: ScriptedFault) -> End:
    """Another program periodically takes half of the cores."""
    chosen = [slot.runner.engine for slot in world.some(trouble.share, trouble.zone)]
    held = [max(1, engine.facts.cores // 2) for engine in chosen]

    def take() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.taken += cores
        world.reactor.callLater(NEIGHBOUR_HELD, give)

    def give() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.taken -= cores
            engine.move()

    repeatedly(world, NEIGHBOUR_EVERY, trouble.lasts / SECOND, take)
    return nothing


def stops(every: float, lasts: float) -> Begin:
    """Machines stop every `every` seconds, each time for `lasts` seconds."""

    def began(world: World, trouble: ScriptedFault) -> End:
        chosen = [slot.runner.engine for slot in world.some(trouble.share, trouble.zone)]

        def stop() -> None:
            for engine in chosen:
                engine.pause(True)
            world.reactor.callLater(lasts, go)

        def go() -> None:
            for engine in chosen:
                engine.pause(False)

        repeatedly(world, every, trouble.lasts / SECOND, stop)
        return nothing

    return began
