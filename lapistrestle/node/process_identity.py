"""Whether the process that a connection reaches is the one that the worker list names. No I/O.

A process that dies may be replaced at once by another one at its address, of another cell or zone, and the
list may tell later. A connection reaches the process that accepted it for as long as it is open. So that
process is known once the connection, or an earlier one to the same process, is older than the list is late.
Times are ticks of 0.1 ms.
"""

from collections.abc import Iterable
from typing import Final, Protocol

from lapistrestle.ticks import SECOND

# How late the list may tell of a process at the latest: what a silent board would tell counts as notified
# after the same time.
MAX_LIST_DELAY: Final = 4 * SECOND


class Connection(Protocol):
    """A connection to a worker."""

    established_at: int
    last_received_at: int

    @property
    def is_established(self) -> bool:
        """Whether the worker has accepted the connection."""


def process_since(connection: Connection, others: Iterable[Connection]) -> int | None:
    """Return the tick since which the process that a connection reaches has run at least; None: unknown.

    `others` are the connections to the same address. One that has delivered after this one was established
    reaches the same process.
    """
    if not connection.is_established:
        return None
    same_process = [
        other.established_at
        for other in others
        if other.is_established and other.last_received_at > connection.established_at
    ]
    return min([connection.established_at, *same_process])


def is_listed_process(since: int | None, complete_until: int) -> bool:
    """Whether a process that has run since then is the listed one.

    `complete_until` is the tick until which no event of the list is missing.
    """
    return since is not None and since + MAX_LIST_DELAY <= complete_until
