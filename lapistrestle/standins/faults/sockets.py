"""Faults of connections: refused, broken, silent, delayed, split, garbled, or not read."""

from collections.abc import Callable
from functools import partial
from typing import Any

from lapistrestle.standins.faults.effects import EndFault, StartFault, all_of
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.taped_connection import NetworkFaults
from lapistrestle.standins.world import World


def affected_connections(world: World, fault: ScriptedFault) -> list[NetworkFaults]:
    """The connections that a fault affects: those of the roster, of some clients or of some runners."""
    if fault.on == "roster":
        return [world.roster.network_faults]
    if fault.on == "clients":
        links = world.clients.links
        chosen = world.random.sample(links, max(1, round(fault.share * len(links))))
        return [link.faults for link in chosen]
    return [slot.runner.network_faults for slot in world.pick_runners(fault.share, fault.zone)]


def connection_fault(
    change: Callable[[NetworkFaults, ScriptedFault], None], undo: Callable[[NetworkFaults], None]
) -> StartFault:
    """A fault that changes how connections behave."""

    def start(world: World, fault: ScriptedFault) -> EndFault:
        chosen = affected_connections(world, fault)
        for faults in chosen:
            change(faults, fault)
        return all_of(partial(undo, faults) for faults in chosen)

    return start


def set_field(name: str, value: Callable[[ScriptedFault], Any], normal: Any) -> StartFault:
    """Sets one field of the connections' faults to `value`, and back to `normal` at the end."""
    return connection_fault(
        lambda faults, fault: setattr(faults, name, value(fault)),
        lambda faults: setattr(faults, name, normal),
    )


def refused(world: World, fault: ScriptedFault) -> EndFault:
    """Breaks the connections of runners, and accepts no new ones."""
    chosen = [slot.runner for slot in world.pick_runners(fault.share, fault.zone)]
    for runner in chosen:
        runner.refuse(True)
        for connection in list(runner.connections):
            connection.break_off()

    def end() -> None:
        for runner in chosen:
            if not runner.engine.dead:
                runner.refuse(False)

    return end


def unread(world: World, fault: ScriptedFault) -> EndFault:
    """Clients stop reading their answers."""
    links = world.random.sample(world.clients.links, max(1, round(fault.share * len(world.clients.links))))
    stopped = [link.active_connection for link in links if link.active_connection is not None]
    for connection in stopped:
        world.tape.put(connection.connection, "unread")
        connection.transport.pauseProducing()

    def end() -> None:
        for connection in stopped:
            world.tape.put(connection.connection, "reads")
            if not connection.closed:
                connection.transport.resumeProducing()

    return end
