"""What the directory's decisions want done, and their settings. Times are whole tenths of a millisecond.

The program around a decision carries its effects out in the order in which they stand.
"""

from dataclasses import dataclass

from lapistrestle.directory.assignment import Copy
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire.directory import RegionSums
from lapistrestle.wire.messages import Message, RosterEntry

# effects of a holder; a session is one connection of a watcher, numbered by the program


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message on a session."""

    session: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session; it is forgotten already, and `disconnected` need not be called for it."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class AskRoster:
    """Ask the roster for the complete list: the holder can't tell how old its knowledge is."""


HolderEffect = SendTo | CloseSession | AskRoster


# effects of a watcher; a connection is numbered by the watcher


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a connection to a copy of a shard: `connected`, or `refused`, is to follow."""

    connection: int
    shard: int
    copy: Copy


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close a connection; it is forgotten already, and no event of it need be reported any more."""

    connection: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a connection."""

    connection: int
    message: Message


@dataclass(frozen=True, slots=True)
class InstancesChanged:
    """Instances that are new to this dispatcher, or have changed. Comes before a prefix that names them."""

    entries: tuple[RosterEntry, ...]


@dataclass(frozen=True, slots=True)
class PrefixReady:
    """A function's prefix is known, or has changed: names of its instances in order.

    All of them came with `InstancesChanged`, some may drain. `complete`: there are no further ones.
    """

    function: str
    names: tuple[str, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class InstancesGone:
    """The directory says that these are gone: rule 3 holds from here on."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InstancesForgotten:
    """No prefix in use names these any more. They may serve on; what is open there may end there."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LookupFailed:
    """No prefix can be had for this function now; after `retry_after` it may be asked for again."""

    function: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class SumsChanged:
    """Sums of the region, about once a second."""

    sums: RegionSums


WatcherEffect = (
    Dial
    | HangUp
    | Send
    | InstancesChanged
    | PrefixReady
    | InstancesGone
    | InstancesForgotten
    | LookupFailed
    | SumsChanged
)


# settings


@dataclass(frozen=True, slots=True)
class HolderSettings:
    """What a holder keeps to. Bytes are those of encoded lines, as estimated before they are encoded."""

    shards: frozenset[int] = frozenset({0})  # those that it holds
    shard_count: int = 1  # of all
    epoch: int = 1  # of the assignment
    oldest_epoch: int = 1  # of watchers that are still served, while an assignment is replaced
    lease: int = 3 * SECOND
    urgent_delay: int = 50 * MILLISECOND  # before drains and departures are sent
    batch_delay: int = 500 * MILLISECOND  # before other changes are sent, coalesced
    session_bytes: int = 4_000  # a second, for changes that are not urgent
    total_bytes: int = 8_000_000  # a second, the same over all sessions
    snapshot_rate: int = 10_000  # snapshots a second: 20 us of decisions each, a fifth of a core
    snapshot_burst: int = 2_500
    longest_retry: int = 2 * SECOND  # that a watcher is asked to wait for a snapshot
    standstill: int = 300 * MILLISECOND  # without a call: the holder itself stood still
    roster_silence: int = 5 * SECOND  # of the roster: it is asked for the complete list
    roster_patience: int = 2 * SECOND  # for that list; then the roster counts as lost
    most_sessions: int = 8_192
    most_watches: int = 8_192  # of one session
    ramp_time: int = 0  # until a started instance has its whole capacity; 0: at once
    cold_share: float = 1.0  # of its capacity when it has just started


@dataclass(frozen=True, slots=True)
class WatcherSettings:
    """What a watcher keeps to."""

    first_count: int = 8  # instances that a first look-up asks for
    lookup_time_out: int = 250 * MILLISECOND
    heartbeat: int = 200 * MILLISECOND  # between two renewals
    silence: int = 600 * MILLISECOND  # without a message: the next copy is tried
    stale: int = 1 * SECOND  # age of a holder's knowledge at which another copy is looked for
    dial_time_out: int = 300 * MILLISECOND
    idle: int = 120 * SECOND  # a function unused for so long is watched no more
    extension_pause: int = 500 * MILLISECOND  # between two extensions of one prefix
    rebalance: int = 300 * SECOND  # about so long with another copy, then the first choice is tried again
    first_pause: int = 50 * MILLISECOND  # at the most, before the next copy is dialled; doubles
    longest_pause: int = 2 * SECOND
    most_functions: int = 16_384  # watched at once; a look-up of a further one fails
    most_pending: int = 4_096  # look-ups without answer
    most_retired: int = 4_096  # instances remembered so that older entries of them are not believed
