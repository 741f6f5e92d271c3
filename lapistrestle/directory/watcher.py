"""A dispatcher's side of the directory: the prefixes of the functions that it calls, and nothing else.

Events in, effects out (`take`), the clock handed in. Times are whole tenths of a millisecond on the
dispatcher's own clock; a lease counts from the moment before its question was sent.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lapistrestle.directory.assignment import Assignment
from lapistrestle.directory.effects import WatcherEffect, WatcherSettings
from lapistrestle.wire.directory import Busy, Refused, Renewed, Shown, Snapshot, Update


@dataclass(frozen=True, slots=True)
class Prefix:
    """The known beginning of a function's order: names in order, and whether there are no further ones."""

    names: tuple[str, ...]
    complete: bool


class DirectoryWatcher:
    """Decides what is asked of which holder, and what of the answers is believed."""

    def __init__(
        self,
        name: str,
        zone: str,
        assignment: Assignment,
        settings: WatcherSettings,
        seed: int,
        now: int,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`name` spreads watchers over copies; it is the same after a restart. `seed` draws the jitter."""
        raise NotImplementedError

    def take(self) -> list[WatcherEffect]:
        """What is to be done since the last call, in order."""
        raise NotImplementedError

    # calls

    def wanted(self, function: str, method: str, now: int) -> Prefix | None:
        """A call needs this function: its prefix if one is known.

        Else `None`; then exactly one of `PrefixReady` and `LookupFailed` follows among the effects: within
        the look-up time-out, or at once where no holder can be reached. Further calls of the same function
        meanwhile share that look-up.
        """
        raise NotImplementedError

    def used(self, function: str, position: int, now: int) -> None:
        """A call went to the instance at this position of the prefix.

        The function stays watched; where the position is near the end, a longer prefix is asked for, and
        `PrefixReady` follows if there is one.
        """
        raise NotImplementedError

    def more(self, function: str, now: int) -> bool:
        """The prefix was not enough for a call; whether a longer one is (already) asked for."""
        raise NotImplementedError

    def assign(self, assignment: Assignment, now: int) -> None:
        """The settings name other copies. An assignment of an older epoch is not taken."""
        raise NotImplementedError

    # connections, as numbered by `Dial`

    def connected(self, connection: int, now: int) -> None:
        """The connection stands and both ends have greeted."""
        raise NotImplementedError

    def refused(self, connection: int, now: int) -> None:
        """It could not be opened."""
        raise NotImplementedError

    def disconnected(self, connection: int, now: int) -> None:
        """It broke, or the holder closed it."""
        raise NotImplementedError

    def heard(
        self, connection: int, message: Snapshot | Update | Renewed | Busy | Refused | Shown, now: int
    ) -> None:
        """A holder says something."""
        raise NotImplementedError

    # time

    def tick(self, now: int) -> None:
        """To be called when `next_due` has come, or soon after."""
        raise NotImplementedError

    def next_due(self) -> int:
        """When `tick` is to be called next; it may have become earlier after any other call."""
        raise NotImplementedError

    # for operators

    def shards_reached(self) -> int:
        """Shards with a holder that answers."""
        raise NotImplementedError
