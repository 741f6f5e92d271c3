"""Faults of the directory of instances: its holders, and their links to edges."""

from functools import partial

import msgspec

from lapistrestle.standins.directory_holders import HolderSlot
from lapistrestle.standins.faults.edges import edges_of
from lapistrestle.standins.faults.effects import EndFault, all_of, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def holders_of(world: World, fault: ScriptedFault) -> list[HolderSlot]:
    """A random share of the holders, at least one; all in the zone if one is named."""
    if world.directory is None:
        return []
    places = [p for p in world.directory.places.values() if fault.zone in ("", p.settings.serve.zone)]
    count = len(places) if fault.zone else max(1, round(fault.share * len(places)))
    return world.random.sample(places, count)


def holder_stall(world: World, fault: ScriptedFault) -> EndFault:
    """Stalls holders; they resume with their state."""
    directory_holders, chosen = world.directory, holders_of(world, fault)
    if directory_holders is None:
        return nothing
    for place in chosen:
        directory_holders.stall(place)
    return all_of(partial(directory_holders.resume, place) for place in chosen)


def holder_kill(world: World, fault: ScriptedFault) -> EndFault:
    """Kills holders; they restart under the same names, without state."""
    directory_holders, chosen = world.directory, holders_of(world, fault)
    if directory_holders is None:
        return nothing
    for place in chosen:
        directory_holders.kill(place)
    return all_of(partial(directory_holders.restart, place) for place in chosen)


def directory_cut(world: World, fault: ScriptedFault) -> EndFault:
    """Partitions a share of the edges from all holders, or from those of the named zone."""
    directory_holders = world.directory
    if directory_holders is None:
        return nothing
    edges = [world.edges[number].name for number in edges_of(world, fault.share)]
    holders = holders_of(world, msgspec.structs.replace(fault, share=1.0))
    pairs = [(edge, place.name) for edge in edges for place in holders]
    for edge, holder in pairs:
        directory_holders.cut(edge, holder)
    return all_of(partial(directory_holders.heal, edge, holder) for edge, holder in pairs)
