"""What kinds of trouble are made of: a function that begins one and returns a function that ends it."""

from collections.abc import Callable, Iterable
from typing import Any

from lapistrestle.standins.script import Trouble
from lapistrestle.standins.world import World

End = Callable[[], None]
Begin = Callable[[World, Trouble], End]


def nothing() -> None:
    """The end of a trouble that ends by itself."""


def all_of(calls: Iterable[End]) -> End:
    """One end that calls each of these."""
    kept = list(calls)

    def end() -> None:
        for call in kept:
            call()

    return end


def increase(owner: Any, name: str, amount: float) -> End:
    """Add to a figure of the owner, until the end."""
    setattr(owner, name, getattr(owner, name) + amount)
    return lambda: setattr(owner, name, getattr(owner, name) - amount)


def multiply(owner: Any, name: str, factor: float) -> End:
    """Multiply a figure of the owner, until the end."""
    setattr(owner, name, getattr(owner, name) * factor)
    return lambda: setattr(owner, name, getattr(owner, name) / factor)


def repeatedly(world: World, every: float, lasts: float, call: Callable[[], None]) -> None:
    """Call now and again, `every` so many seconds, for as many as the trouble `lasts`."""
    until = world.reactor.seconds() + lasts

    def again() -> None:
        if world.reactor.seconds() < until:
            call()
            world.reactor.callLater(every, again)

    again()
