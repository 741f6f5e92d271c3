"""Building blocks of faults. A fault is a function that starts it and returns a function that ends it."""

from collections.abc import Callable, Iterable
from typing import Any

from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World

EndFault = Callable[[], None]
StartFault = Callable[[World, ScriptedFault], EndFault]


def nothing() -> None:
    """The end of a fault that ends by itself."""


def all_of(calls: Iterable[EndFault]) -> EndFault:
    """An end that calls each of these."""
    kept = list(calls)

    def end() -> None:
        for call in kept:
            call()

    return end


def increase(owner: Any, name: str, amount: float) -> EndFault:
    """Adds to an attribute of the owner until the end."""
    setattr(owner, name, getattr(owner, name) + amount)
    return lambda: setattr(owner, name, getattr(owner, name) - amount)


def multiply(owner: Any, name: str, factor: float) -> EndFault:
    """Multiplies an attribute of the owner until the end."""
    setattr(owner, name, getattr(owner, name) * factor)
    return lambda: setattr(owner, name, getattr(owner, name) / factor)


def repeatedly(world: World, every: float, lasts: float, call: Callable[[], None]) -> None:
    """Calls at once and then every `every` seconds, for `lasts` seconds."""
    until = world.reactor.seconds() + lasts

    def call_and_repeat() -> None:
        if world.reactor.seconds() < until:
            call()
            world.reactor.callLater(every, call_and_repeat)

    call_and_repeat()
