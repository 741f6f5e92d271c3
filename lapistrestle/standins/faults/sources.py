"""Faults of the package store and of the roster."""

from lapistrestle.standins.faults.effects import End, increase, multiply, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND

JUMP = 2  # changes by which the roster's number goes back


def store_slow(world: World, trouble: ScriptedFault) -> End:
    """Fetching packages takes longer."""
    return multiply(world.store, "factor", trouble.factor)


def discovery_stale(world: World, trouble: ScriptedFault) -> End:
    """The roster publishes changes late."""
    return increase(world.roster, "stale", trouble.by / SECOND)


def roster_back(world: World, trouble: ScriptedFault) -> End:
    """The roster's number goes back."""
    world.roster.jump_back(JUMP)
    return nothing


def roster_gap(world: World, trouble: ScriptedFault) -> End:
    """The roster skips a change."""
    world.roster.skip()
    return nothing


def roster_restart(world: World, trouble: ScriptedFault) -> End:
    """The roster restarts with a new epoch."""
    world.roster.restart()
    return nothing
