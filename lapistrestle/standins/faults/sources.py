"""Faults of the package store and of the roster."""

from lapistrestle.standins.faults.effects import EndFault, increase, multiply, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND

JUMP = 2  # changes by which the roster's number goes back


def store_slow(world: World, fault: ScriptedFault) -> EndFault:
    """Fetching packages takes longer."""
    return multiply(world.store, "factor", fault.factor)


def discovery_stale(world: World, fault: ScriptedFault) -> EndFault:
    """The roster publishes changes late."""
    return increase(world.roster, "extra_delay", fault.delay / SECOND)


def roster_back(world: World, fault: ScriptedFault) -> EndFault:
    """The roster's number goes back."""
    world.roster.jump_back(JUMP)
    return nothing


def roster_gap(world: World, fault: ScriptedFault) -> EndFault:
    """The roster skips a change."""
    world.roster.skip_number()
    return nothing


def roster_restart(world: World, fault: ScriptedFault) -> EndFault:
    """The roster restarts with a new epoch."""
    world.roster.restart()
    return nothing
