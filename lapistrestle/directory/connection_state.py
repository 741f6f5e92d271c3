"""What a watcher keeps for each shard, for its connection to a copy, and for each function it watches.

Times are ticks of a tenth of a millisecond on the watcher's clock.
"""

from collections import deque
from dataclasses import dataclass, field

from lapistrestle.directory.assignment import Copy
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.messages import RosterEntry


@dataclass(eq=False, slots=True)
class CachedFunction:
    """A function that is called here, with its prefix."""

    name: str
    method: str
    shard: int
    count: int  # instances that are asked for
    used_at: int
    has_prefix: bool = False  # a snapshot has come, from whichever holder
    names: tuple[str, ...] = ()  # the prefix as the holder has sent it
    complete: bool = False
    published: tuple[str, ...] = ()  # the same as the edge has it: without instances that are gone
    published_complete: bool = False
    watch: int = -1  # whose changes are taken; -1: none, the prefix may be outdated
    pending_watch: int = -1  # the watch that has no answer yet
    retry_at: int = NEVER  # when it is asked for again
    deadline: int = NEVER  # of the look-up that calls wait for
    furthest_used: int = 0  # positions used since the last review of the prefix's length
    extended_at: int = -NEVER  # when a longer prefix was asked for last


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A watch that was sent and has no answer."""

    function: CachedFunction
    sent_at: int
    entries: tuple[RosterEntry, ...] = ()  # of the prefix whose digest was sent with it
    complete: bool = False


@dataclass(eq=False, slots=True)
class HolderConnection:
    """A connection to a copy, from its dialling on."""

    number: int
    shard: int
    copy: Copy
    dialled_at: int
    is_ready: bool = False  # both ends have greeted
    has_answered: bool = False  # a snapshot was taken from it
    sequence: int = 0  # of the last batch or snapshot
    source: str | None = None  # the roster's epoch that the holder spoke of last
    lease_until: int = NEVER  # by our clock, from before we asked; `NEVER`: none was given yet
    renew_at: int = 0
    renewals: deque[int] = field(default_factory=deque)  # without answer, by when they were sent
    pending_requests: dict[int, PendingRequest] = field(default_factory=dict)  # by watch, the oldest first
    watches: dict[int, CachedFunction] = field(default_factory=dict)  # answered
    silence_counted_from: int = 0  # silence isn't counted from before this moment
    outdated_snapshots: int = 0  # in a row that were older than what is cached
    rebalance_at: int = NEVER  # when the copy of the first choice is tried again

    def silent_since(self) -> int:
        """Since when the oldest request is without answer; `NEVER`: none is."""
        sent = [self.renewals[0]] if self.renewals else []
        if self.pending_requests:
            sent.append(next(iter(self.pending_requests.values())).sent_at)
        return max(min(sent), self.silence_counted_from) if sent else NEVER

    def renewed(self, sent_at: int, lease: int) -> None:
        """A renewal was answered, and with it all before it."""
        while self.renewals and self.renewals[0] <= sent_at:
            self.renewals.popleft()
        self.extend_lease(sent_at, lease)

    def extend_lease(self, sent_at: int, lease: int) -> None:
        """Count a lease of so many ticks from before the request, whatever the answer took."""
        until = sent_at + lease
        self.lease_until = until if self.lease_until == NEVER else max(until, self.lease_until)


@dataclass(eq=False, slots=True)
class Shard:
    """A shard of which functions are used here."""

    number: int
    copies: tuple[Copy, ...]  # in the order in which they are tried
    at: int = 0  # the copy that is tried next, or is connected
    connection: HolderConnection | None = None
    functions: dict[str, CachedFunction] = field(default_factory=dict)
    dial_at: int = NEVER
    failures: int = 0  # in a row
    freshness_moves: int = 0  # to another copy for the sake of freshness, in a row and in vain
    next_move_at: int = 0  # before then no further one
    floor: Revision | None = None  # of the latest message taken; nothing older is
    avoided: dict[Copy, int] = field(default_factory=dict)  # stale or unreachable ones, since when

    @property
    def unreachable(self) -> bool:
        """Every copy was tried in vain, one after the other."""
        return self.failures >= len(self.copies)

    def select_next_copy(self) -> None:
        """Try the next copy, after the last one the first."""
        self.at = (self.at + 1) % len(self.copies)
