"""Faults of connections: refused, broken, silent, delayed, split, garbled, or not read."""

from collections.abc import Callable
from functools import partial
from typing import Any

from lapistrestle.standins.faults.effects import Begin, End, all_of
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.taped_connection import NetworkFaults
from lapistrestle.standins.world import World


def weathers(world: World, trouble: ScriptedFault) -> list[NetworkFaults]:
    """The connections that a fault affects: those of the roster, of some clients or of some runners."""
    if trouble.on == "roster":
        return [world.roster.weather]
    if trouble.on == "clients":
        lines = world.clients.links
        chosen = world.random.sample(lines, max(1, round(trouble.share * len(lines))))
        return [line.weather for line in chosen]
    return [slot.runner.weather for slot in world.some(trouble.share, trouble.zone)]


def weather(
    change: Callable[[NetworkFaults, ScriptedFault], None], undo: Callable[[NetworkFaults], None]
) -> Begin:
    """A fault that changes how connections behave."""

    def began(world: World, trouble: ScriptedFault) -> End:
        chosen = weathers(world, trouble)
        for each in chosen:
            change(each, trouble)
        return all_of(partial(undo, each) for each in chosen)

    return began


def set_to(name: str, value: Callable[[ScriptedFault], Any], calm: Any) -> Begin:
    """Sets one field of the connections' faults to `value`, and back to `calm` at the end."""
    return weather(lambda w, t: setattr(w, name, value(t)), lambda w: setattr(w, name, calm))


def refused(world: World, trouble: ScriptedFault) -> End:
    """Breaks the connections of runners, and accepts no new ones."""
    chosen = [slot.runner for slot in world.some(trouble.share, trouble.zone)]
    for runner in chosen:
        runner.refuse(True)
        for speaker in list(runner.speakers):
            speaker.break_off()

    def end() -> None:
        for runner in chosen:
            if not runner.engine.dead:
                runner.refuse(False)

    return end


def unread(world: World, trouble: ScriptedFault) -> End:
    """Clients stop reading their answers."""
    lines = world.random.sample(world.clients.links, max(1, round(trouble.share * len(world.clients.links))))
    stopped = [line.up for line in lines if line.up is not None]
    for speaker in stopped:
        world.tape.put(speaker.connection, "unread")
        speaker.transport.pauseProducing()

    def end() -> None:
        for speaker in stopped:
            world.tape.put(speaker.connection, "reads")
            if not speaker.closed:
                speaker.transport.resumeProducing()

    return end
