"""Faults of runners as processes: killed, drained and replaced."""

from lapistrestle.standins.faults.effects import EndFault, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import Slot, World
from lapistrestle.ticks import SECOND

NOTICE = 0.5  # seconds from the notice of a preemption to the end of the process
DRAINING = 3.0  # seconds for which a replaced runner drains


def crash(world: World, fault: ScriptedFault) -> EndFault:
    """Kills runners without notice; all restart when the fault ends."""
    slots = world.pick_runners(fault.share, fault.zone)
    for slot in slots:
        world.kill(slot)
    return lambda: restart_all(world, slots)


def restart_all(world: World, slots: list[Slot]) -> None:
    """Restarts runners that are down, except those that collapsed."""
    for slot in slots:
        if not slot.up and not slot.runner.engine.collapsed:
            world.restart(slot)


def zone_loss(world: World, fault: ScriptedFault) -> EndFault:
    """Kills all runners of one zone without notice."""
    zones = world.deployment.zones or [""]
    zone = fault.zone or world.random.choice(zones)
    slots = [s for s in world.slots if s.up and s.zone == zone]
    for slot in slots:
        world.kill(slot)
    return lambda: restart_all(world, slots)


def preempt(world: World, fault: ScriptedFault) -> EndFault:
    """Drains runners, kills them after a short notice, and restarts them when the fault ends."""
    slots = world.pick_runners(fault.share, fault.zone)
    for slot in slots:
        world.drain(slot)
        world.reactor.callLater(NOTICE, world.kill, slot)
    return lambda: restart_all(world, slots)


def deploy(world: World, fault: ScriptedFault) -> EndFault:
    """Replaces runners one after another: each drains, ends, and restarts."""
    slots = world.pick_runners(fault.share, fault.zone)
    step = fault.duration / SECOND / max(1, len(slots))
    for number, slot in enumerate(slots):
        world.reactor.callLater(number * step, world.drain, slot)
        world.reactor.callLater(number * step + DRAINING, replace, world, slot)
    return nothing


def replace(world: World, slot: Slot) -> None:
    """Restarts a runner, unless it collapsed."""
    if not slot.runner.engine.collapsed:
        world.restart(slot)
