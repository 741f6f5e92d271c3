"""Faults of the planner."""

from lapistrestle.standins.faults.effects import EndFault, nothing
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def planner_stall(world: World, fault: ScriptedFault) -> EndFault:
    """Stalls the planner; it resumes with its state."""
    planner = world.planner
    if planner is None:
        return nothing
    planner.stall()
    return planner.resume


def planner_kill(world: World, fault: ScriptedFault) -> EndFault:
    """Kills the planner; it restarts at the same port, on the same journal."""
    if world.planner is None:
        return nothing
    world.planner.kill()
    return world.start_planner
