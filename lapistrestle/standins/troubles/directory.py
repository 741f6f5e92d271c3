"""Troubles of the directory of instances: its holders, and their links to edges."""

from functools import partial

import msgspec

from lapistrestle.standins.directories import HolderPlace
from lapistrestle.standins.script import Trouble
from lapistrestle.standins.troubles.edges import edges_of
from lapistrestle.standins.troubles.effects import End, all_of, nothing
from lapistrestle.standins.world import World


def holders_of(world: World, trouble: Trouble) -> list[HolderPlace]:
    """A share of the holders, one at least; all of a zone where one is named."""
    if world.directory is None:
        return []
    places = [p for p in world.directory.places.values() if trouble.zone in ("", p.settings.serve.zone)]
    count = len(places) if trouble.zone else max(1, round(trouble.share * len(places)))
    return world.random.sample(places, count)


def holder_stall(world: World, trouble: Trouble) -> End:
    """Holders stand still; they wake with what they knew."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.stall(place)
    return all_of(partial(rig.resume, place) for place in chosen)


def holder_kill(world: World, trouble: Trouble) -> End:
    """Holders are killed; others start under their names and know nothing."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.kill(place)
    return all_of(partial(rig.restart, place) for place in chosen)


def directory_cut(world: World, trouble: Trouble) -> End:
    """Nothing passes between a share of the edges and any holder; between them and one zone's, if named."""
    rig = world.directory
    if rig is None:
        return nothing
    edges = [world.edges[number].name for number in edges_of(world, trouble.share)]
    holders = holders_of(world, msgspec.structs.replace(trouble, share=1.0))
    pairs = [(edge, place.name) for edge in edges for place in holders]
    for edge, holder in pairs:
        rig.cut(edge, holder)
    return all_of(partial(rig.heal, edge, holder) for edge, holder in pairs)
