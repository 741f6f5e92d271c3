"""What a watcher keeps for each shard, for its connection to a copy, and for each function it watches."""

from collections import deque
from dataclasses import dataclass, field

from lapistrestle.directory.assignment import Copy
from lapistrestle.wire.directory import Revision
from lapistrestle.wire.messages import Entry

NEVER = 2**62


@dataclass(eq=False, slots=True)
class CachedFunction:
    """A function that is called here."""

    name: str
    method: str
    shard: int
    count: int  # instances that are asked for
    used_at: int
    known: bool = False  # a snapshot has come, from whichever holder
    names: tuple[str, ...] = ()  # the prefix as the holder tells it
    complete: bool = False
    shown: tuple[str, ...] = ()  # the same as the edge was told it: without instances that are gone
    shown_complete: bool = False
    watch: int = -1  # whose changes are taken; -1: none, what is known may be old
    pending_watch: int = -1  # the watch that has no answer yet
    retry_at: int = NEVER  # when it is asked for again
    deadline: int = NEVER  # of the look-up that calls wait for
    reach: int = 0  # the furthest position used since the last look at it
    extended_at: int = -NEVER  # when a longer prefix was asked for last


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A watch that was sent and has no answer."""

    function: CachedFunction
    asked: int
    held: tuple[Entry, ...] = ()  # the prefix whose digest was sent with it
    complete: bool = False


@dataclass(eq=False, slots=True)
class HolderConnection:
    """A connection to a copy, from its dialling on."""

    number: int
    shard: int
    copy: Copy
    dialled: int
    up: bool = False
    proven: bool = False  # it has answered something that was taken
    sequence: int = 0  # of the last batch or snapshot
    source: str | None = None  # that the holder spoke of last
    lease_until: int = NEVER  # by our clock, from before we asked; `NEVER`: none was given yet
    renew_at: int = 0
    renewals: deque[int] = field(default_factory=deque)  # without answer, by when they were sent
    pending_requests: dict[int, PendingRequest] = field(default_factory=dict)  # by watch, the oldest first
    watches: dict[int, CachedFunction] = field(default_factory=dict)  # answered
    patience_from: int = 0  # silence isn't counted from before this moment
    older: int = 0  # snapshots in a row that were older than what is known
    return_at: int = NEVER  # to the copy of the first choice

    def silent_since(self) -> int:
        """Since when the oldest question is without answer; `NEVER`: none is."""
        asked = [self.renewals[0]] if self.renewals else []
        asked.extend(pending.asked for pending in next_values(self.pending_requests))
        return max(min(asked), self.patience_from) if asked else NEVER

    def renewed(self, asked: int, lease: int) -> None:
        """A renewal was answered, and with it all before it."""
        while self.renewals and self.renewals[0] <= asked:
            self.renewals.popleft()
        self.leased(asked, lease)

    def leased(self, asked: int, lease: int) -> None:
        """The lease counts from before the question, whatever the answer took."""
        until = asked + lease
        self.lease_until = until if self.lease_until == NEVER else max(until, self.lease_until)


def next_values(pending_requests: dict[int, PendingRequest]) -> list[PendingRequest]:
    """The oldest question, if there is one."""
    return [next(iter(pending_requests.values()))] if pending_requests else []


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
    moves: int = 0  # to another copy for the sake of freshness, in a row and in vain
    next_move_at: int = 0  # before then no further one
    floor: Revision | None = None  # of the latest word taken; nothing older is
    avoided: dict[Copy, int] = field(
        default_factory=dict
    )  # stale or unreachable ones, and when that was seen

    @property
    def unreachable(self) -> bool:
        """Every copy was tried in vain, one after the other."""
        return self.failures >= len(self.copies)

    def move_on(self) -> None:
        self.at = (self.at + 1) % len(self.copies)
