"""Faults of traffic: bursts and unusual patterns."""

from lapistrestle.standins.faults.effects import EndFault, increase, multiply
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def burst(world: World, fault: ScriptedFault) -> EndFault:
    """More traffic of the same kind."""
    return multiply(world, "rate_factor", fault.factor)


def hot_key(world: World, fault: ScriptedFault) -> EndFault:
    """A share of the calls goes to one new function of each method."""
    for method in world.day.traffic.methods:
        world.one_offs += 1
        world.hot_functions.append(world.function(f"hot-{world.one_offs}", method))
    return increase(world, "hot_share", fault.share)


def scan(world: World, fault: ScriptedFault) -> EndFault:
    """A share of the calls goes to functions that are called only once."""
    return increase(world, "scan_share", fault.share)


def retry_abuse(world: World, fault: ScriptedFault) -> EndFault:
    """A share of the clients retries at once, whatever the answer says."""
    return increase(world.clients.behaviour, "abuse", fault.share)
