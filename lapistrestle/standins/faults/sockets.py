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
        return [world.roster.weather]
    if fault.on == "clients":
        lines = world.clients.links
        chosen = world.random.sample(lines, max(1, round(fault.share * len(lines))))
        return [line.faults for line in chosen]
    return [slot.runner.network_faults for slot in world.pick_runners(fault.share, fault.zone)]


def connection_fault(
    change: Callable[[NetworkFaults, ScriptedFault], None], undo: Callable[[NetworkFaults], None]
) -> StartFault:
    """A fault that changes how connections behave."""

    def began(world: World, fault: ScriptedFault) -> EndFault:
        chosen = affected_connections(world, fault)
        for each in chosen:
            change(each, fault)
        return all_of(partial(undo, each) for each in chosen)

    return began


def set_field(name: str, value: Callable[[ScriptedFault], Any], calm: Any) -> StartFault:
    """Sets one field of the connections' faults to `value`, and back to `calm` at the end."""
    return connection_fault(lambda w, t: setattr(w, name, value(t)), lambda w: setattr(w, name, calm))


def refused(world: World, fault: ScriptedFault) -> EndFault:
    """Breaks the connections of runners, and accepts no new ones."""
    chosen = [slot.runner for slot in world.pick_runners(fault.share, fault.zone)]
    for runner in chosen:
        runner.refuse(True)
        for speaker in list(runner.connections):
            speaker.break_off()

    def end() -> None:
        for runner in chosen:
            if not runner.engine.dead:
                runner.refuse(False)

    return end


def unread(world: World, fault: ScriptedFault) -> EndFault:
    """Clients stop reading their answers."""
    lines = world.random.sample(world.clients.links, max(1, round(fault.share * len(world.clients.links))))
    stopped = [line.active_connection for line in lines if line.active_connection is not None]
    for speaker in stopped:
        world.tape.put(speaker.connection, "unread")
        speaker.transport.pauseProducing()

    def end() -> None:
        for speaker in stopped:
            world.tape.put(speaker.connection, "reads")
            if not speaker.closed:
                speaker.transport.resumeProducing()

    return end
