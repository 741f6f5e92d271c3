"""Faults of the directory of instances: its holders, and their links to edges."""

from functools import partial

import msgspec

from lapistrestle.standins.directory_holders import HolderSlot
from lapistrestle.standins.faults.edges import edges_of
from lapistrestle.standins.faults.effects import End, all_of, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def holders_of(world: World, trouble: ScriptedFault) -> list[HolderSlot]:
    """A random share of the holders, at least one; all in the zone if one is named."""
    if world.directory is None:
        return []
    places = [p for p in world.directory.places.values() if trouble.zone in ("", p.settings.serve.zone)]
    count = len(places) if trouble.zone else max(1, round(trouble.share * len(places)))
    return world.random.sample(places, count)


def holder_stall(world: World, trouble: ScriptedFault) -> End:
    """Stalls holders; they resume with their state."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.stall(place)
    return all_of(partial(rig.resume, place) for place in chosen)


def holder_kill(world: World, trouble: ScriptedFault) -> End:
    """Kills holders; they restart under the same names, without state."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.kill(place)
    return all_of(partial(rig.restart, place) for place in chosen)


def directory_cut(world: World, trouble: ScriptedFault) -> End:
    """Partitions a share of the edges from all holders, or from those of the named zone."""
    rig = world.directory
    if rig is None:
        return nothing
    edges = [world.edges[number].name for number in edges_of(world, trouble.share)]
    holders = holders_of(world, msgspec.structs.replace(trouble, share=1.0))
    pairs = [(edge, place.name) for edge in edges for place in holders]
    for edge, holder in pairs:
        rig.cut(edge, holder)
    return all_of(partial(rig.heal, edge, holder) for edge, holder in pairs)
