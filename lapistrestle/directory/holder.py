"""A holder of shards of the directory: all instances of its region, and the watches on its functions.

Events in, effects out (`take`), the clock handed in. Every call returns nothing; what is to be done stands in
`take()` afterwards. Times are whole tenths of a millisecond on the holder's own clock.
"""

from collections.abc import Callable, Iterable
from typing import Any

from lapistrestle.directory.effects import HolderEffect, HolderSettings
from lapistrestle.wire.directory import Renew, Revision, Show, Unwatch, Watch
from lapistrestle.wire.messages import Entry


class ShardHolder:
    """Decides what each watcher is sent."""

    def __init__(
        self, settings: HolderSettings, seed: int, now: int, log: Callable[[str], None] = lambda text: None
    ) -> None:
        """`seed` spreads the times at which busy watchers are told to come back."""
        raise NotImplementedError

    def take(self) -> list[HolderEffect]:
        """What is to be done since the last call, in order."""
        raise NotImplementedError

    # the roster

    def instances_changed(self, entries: Iterable[Entry], whole: bool, revision: Revision, now: int) -> None:
        """A list (`whole`: one not named is gone) or a change was taken from the roster.

        Called for what `edge/following.py` says to take only, so in order and without gaps.
        """
        raise NotImplementedError

    def roster_lost(self, now: int) -> None:
        """The connection to the roster is gone, or the roster says that it can't answer.

        Until the next whole list the age of the holder's knowledge grows, and watchers are told so.
        """
        raise NotImplementedError

    # watchers

    def connected(self, session: int, now: int) -> None:
        """A watcher has connected and greeted; the program numbers its sessions and uses no number twice."""
        raise NotImplementedError

    def disconnected(self, session: int, now: int) -> None:
        """A session is over; one that is not known (any more) does no harm."""
        raise NotImplementedError

    def heard(self, session: int, message: Watch | Unwatch | Renew | Show, now: int) -> None:
        """A watcher says something."""
        raise NotImplementedError

    # time

    def tick(self, now: int) -> None:
        """To be called when `next_due` has come, or soon after: leases lapse, batches are sent."""
        raise NotImplementedError

    def next_due(self) -> int:
        """When `tick` is to be called next; it may have become earlier after any other call."""
        raise NotImplementedError

    # for operators

    def show(self, function: str = "") -> dict[str, Any]:
        """What is known, as plain values: of one function, or figures of the whole."""
        raise NotImplementedError
