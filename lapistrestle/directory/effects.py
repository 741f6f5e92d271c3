"""Effects of the directory's state machines (`ShardHolder` and `DirectoryWatcher`), and their settings.

The process around a state machine performs its effects in order. Times are whole ticks of 0.1 ms.
"""

from dataclasses import dataclass

from lapistrestle.directory.assignment import ShardReplica
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire.directory import RegionSums
from lapistrestle.wire.messages import Message, RosterEntry

# effects of a holder; a session is one connection of a watcher, numbered by the holder's process


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message on a session."""

    session: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session. The holder has removed it already: `session_closed` need not be called."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class RequestRosterSnapshot:
    """Request the complete list from the roster: the holder can't tell whether its data is current."""


HolderEffect = SendTo | CloseSession | RequestRosterSnapshot


# effects of a watcher; connections are numbered by the watcher


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a connection to a replica; to be answered by `connection_ready` or `connection_failed`."""

    connection: int
    shard: int
    replica: ShardReplica


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection. The watcher has removed it already: its events need not be reported."""

    connection: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a connection."""

    connection: int
    message: Message


@dataclass(frozen=True, slots=True)
class InstancesChanged:
    """Instances that are new to this dispatcher or have changed. Precedes any prefix that contains them."""

    entries: tuple[RosterEntry, ...]


@dataclass(frozen=True, slots=True)
class PrefixReady:
    """A function's prefix was received or has changed: names of its instances in order.

    All of them were sent with `InstancesChanged`; some may drain. `complete`: no further instances exist.
    """

    function: str
    names: tuple[str, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class InstancesGone:
    """The directory reports these as gone: nothing new may be sent to them from now on, preloads included."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InstancesEvicted:
    """No prefix contains these any more. They may still serve, and open calls there may finish."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LookupFailed:
    """No prefix is available for this function now; it may be requested again after `retry_after` ticks."""

    function: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class RegionSumsChanged:
    """New sums over the region's instances; sent about once a second."""

    sums: RegionSums


WatcherEffect = (
    Dial
    | CloseConnection
    | Send
    | InstancesChanged
    | PrefixReady
    | InstancesGone
    | InstancesEvicted
    | LookupFailed
    | RegionSumsChanged
)


# settings


@dataclass(frozen=True, slots=True)
class HolderSettings:
    """Settings of a holder. Bytes are estimates of the encoded lines' length (`message_sizes`)."""

    shards: frozenset[int] = frozenset({0})  # served by this holder
    shard_count: int = 1  # of the whole assignment
    epoch: int = 1  # of the assignment
    oldest_epoch: int = 1  # watches of older epochs are refused; below `epoch` during a change of assignment
    lease: int = 3 * SECOND
    urgent_delay: int = 50 * MILLISECOND  # before drains and removals are sent
    batch_delay: int = 500 * MILLISECOND  # for which other changes are coalesced
    session_bytes: int = 4_000  # per second and session, for changes that are not urgent
    total_bytes: int = 8_000_000  # per second over all sessions
    snapshot_rate: int = 10_000  # per second; at 20 us each they take a fifth of a core
    snapshot_burst: int = 2_500
    max_retry_after: int = 2 * SECOND  # longest `retry_after` of a `Busy` answer
    stall_threshold: int = 300 * MILLISECOND  # a longer gap between calls: the process itself stalled
    roster_idle_timeout: int = 5 * SECOND  # without a message from the roster: a complete list is requested
    roster_response_timeout: int = 2 * SECOND  # time-out of that request; then the roster counts as lost
    max_sessions: int = 8_192
    max_watches: int = 8_192  # per session
    ramp_time: int = 0  # slow start: time until an instance has its full capacity; 0: at once
    cold_share: float = 1.0  # fraction of its capacity that an instance has when it starts


@dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Settings of a watcher."""

    first_count: int = 8  # instances requested by the first lookup of a function
    lookup_timeout: int = 250 * MILLISECOND
    heartbeat: int = 200 * MILLISECOND  # interval of lease renewals
    silence_timeout: int = 600 * MILLISECOND  # for an answer, before the next replica is tried
    stale_age: int = 1 * SECOND  # age of a holder's data at which another replica is tried
    dial_timeout: int = 300 * MILLISECOND
    idle_timeout: int = 120 * SECOND  # a function unused for so long is unwatched
    extension_interval: int = 500 * MILLISECOND  # minimum interval between two extensions of one prefix
    rebalance_interval: int = 300 * SECOND  # mean time until the preferred replica is tried again
    initial_backoff: int = 50 * MILLISECOND  # upper bound of the first backoff before dialling; it doubles
    max_backoff: int = 2 * SECOND  # upper bound of the backoff
    max_functions: int = 16_384  # watched at once; a lookup of a further one fails
    max_pending: int = 4_096  # lookups without an answer
    max_retired: int = 4_096  # instances remembered after they left all prefixes, to reject older entries
