"""Troubles of runners as processes: they are killed, drained and replaced."""

from lapistrestle.standins.script import Trouble
from lapistrestle.standins.troubles.effects import End, nothing
from lapistrestle.standins.world import Slot, World
from lapistrestle.ticks import SECOND

NOTICE = 0.5  # seconds between the word of a preemption and its end
DRAINING = 3.0  # seconds that a replaced runner drains


def crash(world: World, trouble: Trouble) -> End:
    """Runners end without notice; all return when it is over."""
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def return_all(world: World, slots: list[Slot]) -> None:
    """Start those anew that are down; one that fell over stays down."""
    for slot in slots:
        if not slot.up and not slot.runner.engine.pushed_over:
            world.back(slot)


def zone_loss(world: World, trouble: Trouble) -> End:
    """All runners of one zone end without notice."""
    zones = world.deployment.zones or [""]
    zone = trouble.zone or world.random.choice(zones)
    slots = [s for s in world.slots if s.up and s.zone == zone]
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def preempt(world: World, trouble: Trouble) -> End:
    """Short notice, then gone; a successor comes."""
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.drain(slot)
        world.reactor.callLater(NOTICE, world.kill, slot)
    return lambda: return_all(world, slots)


def deploy(world: World, trouble: Trouble) -> End:
    """Runners are replaced in turn: each drains, ends, and starts anew."""
    slots = world.some(trouble.share, trouble.zone)
    step = trouble.lasts / SECOND / max(1, len(slots))
    for number, slot in enumerate(slots):
        world.reactor.callLater(number * step, world.drain, slot)
        world.reactor.callLater(number * step + DRAINING, replace, world, slot)
    return nothing


def replace(world: World, slot: Slot) -> None:
    """One that fell over stays down."""
    if not slot.runner.engine.pushed_over:
        world.back(slot)
