"""Faults of runners as processes: killed, drained and replaced."""

from lapistrestle.standins.faults.effects import End, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import Slot, World
from lapistrestle.ticks import SECOND

NOTICE = 0.5  # seconds from the notice of a preemption to the end of the process
DRAINING = 3.0  # seconds for which a replaced runner drains


def crash(world: World, trouble: ScriptedFault) -> End:
    """Kills runners without notice; all restart when the fault ends."""
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def return_all(world: World, slots: list[Slot]) -> None:
    """Restarts runners that are down, except those that collapsed."""
    for slot in slots:
        if not slot.up and not slot.runner.engine.pushed_over:
            world.back(slot)


def zone_loss(world: World, trouble: ScriptedFault) -> End:
    """Kills all runners of one zone without notice."""
    zones = world.deployment.zones or [""]
    zone = trouble.zone or world.random.choice(zones)
    slots = [s for s in world.slots if s.up and s.zone == zone]
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def preempt(world: World, trouble: ScriptedFault) -> End:
    """Drains runners, kills them after a short notice, and restarts them when the fault ends."""
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.drain(slot)
        world.reactor.callLater(NOTICE, world.kill, slot)
    return lambda: return_all(world, slots)


def deploy(world: World, trouble: ScriptedFault) -> End:
    """Replaces runners one after another: each drains, ends, and restarts."""
    slots = world.some(trouble.share, trouble.zone)
    step = trouble.lasts / SECOND / max(1, len(slots))
    for number, slot in enumerate(slots):
        world.reactor.callLater(number * step, world.drain, slot)
        world.reactor.callLater(number * step + DRAINING, replace, world, slot)
    return nothing


def replace(world: World, slot: Slot) -> None:
    """Restarts a runner, unless it collapsed."""
    if not slot.runner.engine.pushed_over:
        world.back(slot)
