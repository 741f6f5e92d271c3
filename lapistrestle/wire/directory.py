"""Messages between a dispatcher that watches functions and a holder of the directory of instances.

Protocol `lapistrestle.directory`, framed as in `wire/json_lines.py`. Times are whole ticks of 0.1 ms unless
stated otherwise. An instance is sent as a `RosterEntry`, encoded as an array; its `start` identifies an
incarnation, and its `up_for` (milliseconds) is as of the sending of the message.
"""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Raw, Struct, convert, field

from lapistrestle.wire.messages import NO_BODY, Fault, Goodbye, Hello, Message, Name, Number, RosterEntry

DIRECTORY = "lapistrestle.directory"
MOST_SUPERSEDED = 8  # superseded epochs named in a snapshot
LONGEST_PREFIX = 512  # instances of one prefix, so that a snapshot fits the maximum line length
DIGEST_BYTES = 8  # of a digest, written as hexadecimal digits
LONGEST_UP_FOR = 86_400_000.0  # milliseconds, the bound of an entry's `up_for`
MOST_IN_A_BATCH = 512  # entries of one update, so that it fits the maximum line length

Count = Annotated[int, Meta(ge=1, le=LONGEST_PREFIX)]
Duration = Annotated[int, Meta(ge=0, le=864_000_000)]


class Revision(Struct, frozen=True, omit_defaults=True, gc=False):
    """The version of a list: the roster's epoch (`source`) and the number of the last list or change applied.

    Revisions of one source are ordered by number. Those of different sources have no order of their own: a
    watcher remembers which sources were superseded (`directory/revisions.py`).
    """

    source: str = ""
    number: int = -1


class Instance(RosterEntry, array_like=True, gc=False):
    """A `RosterEntry` encoded as an array of its fields, about half the size of an object with field names.

    Entries are most of the traffic towards a dispatcher.
    """


def compact(entry: RosterEntry) -> Instance:
    """Convert an entry to its form in this protocol."""
    return convert(entry, Instance, from_attributes=True)


class RegionSums(Struct, frozen=True, omit_defaults=True, gc=False):
    """Sums over all instances of the region, most of which a dispatcher does not watch."""

    size: float = 0.0  # total size of the serving instances
    warm: float = 0.0  # the same with each instance weighted by its slow start, by the holder's settings
    serving: int = 0  # serving instances
    instances: int = 0  # serving and draining instances
    dispatchers: int = 0  # 0: unknown


# watcher to holder


class Watch(Message, tag="watch"):
    """Watch the shortest prefix of a function's order that contains `count` serving instances.

    Starts a watch or replaces the connection's earlier watch of the same function. `id` is assigned by the
    watcher and grows with each watch. `digest` is that of the prefix that the watcher has cached
    (`directory/digests.py`); if the holder's is the same, the answer is `Unchanged`. `has_prefix`: the
    watcher serves calls from its cache meanwhile, so watches without a prefix are answered first.
    """

    id: Number
    shard: Number
    epoch: Number
    function: Name
    count: Count
    method: str = ""
    digest: str = ""
    has_prefix: bool = field(default=False, name="known")


class Unwatch(Message, tag="unwatch"):
    """End a watch."""

    id: Number


class Renew(Message, tag="renew"):
    """Renew the lease on all watches of this connection.

    `sent_at` is the watcher's clock, returned unchanged in the answer.
    """

    sent_at: Number = field(name="asked")


class InspectRequest(Message, tag="show"):
    """An operator's request for the state of the holder, or of one function."""

    function: str = ""


# holder to watcher; each snapshot and update increments the connection's `sequence`


class Snapshot(Message, tag="snapshot"):
    """A prefix, the answer to a watch. `complete`: it contains all instances of the function's order.

    `lease` counts from when the watcher sent its request. `age` is the time for which the holder may have
    missed updates of its roster; 0 while it is connected. `superseded` are earlier epochs of the roster.
    `up_for_age` is how long before the sending the entries' `up_for` was valid, as encoded lists are cached.
    """

    id: Number
    epoch: Number
    revision: Revision
    sequence: Number
    entries: list[Instance]
    complete: bool = False
    lease: Duration = 0
    age: Duration = 0
    superseded: list[str] = field(default_factory=list)
    up_for_age: Duration = 0


class Unchanged(Message, tag="unchanged"):
    """The answer to a watch with a matching digest: the prefix in the watcher's cache is current.

    The fields are those of `Snapshot`.
    """

    id: Number
    epoch: Number
    revision: Revision
    sequence: Number
    lease: Duration = 0
    age: Duration = 0
    superseded: list[str] = field(default_factory=list)


class PlacedInstance(Struct, omit_defaults=True, gc=False):
    """An instance that enters a prefix, with its position in the new prefix."""

    position: Annotated[int, Meta(ge=0, lt=LONGEST_PREFIX)]
    name: Name


class PrefixChange(Struct, omit_defaults=True, gc=False):
    """A change of one watch's prefix: remove `removed`, then insert `inserted` in order of position.

    `length` is that of the new prefix; if the result has another length, a change was lost.
    """

    id: Number
    length: Number
    removed: list[Name] = field(default_factory=list)
    inserted: list[PlacedInstance] = field(default_factory=list)
    complete: bool = False


class Update(Message, tag="update"):
    """A batch of changes for all watches of the connection.

    `entries` are instances that are new in a prefix or have changed. `gone` names instances that left the
    roster; their prefixes may be updated by a later batch.
    """

    sequence: Number
    revision: Revision
    entries: list[Instance] = field(default_factory=list)
    gone: list[Name] = field(default_factory=list)
    changes: list[PrefixChange] = field(default_factory=list)


class Renewed(Message, tag="renewed"):
    """The answer to a renewal. `sequence` is that of the last batch sent, which reveals lost batches."""

    sent_at: Number = field(name="asked")
    lease: Duration
    sequence: Number
    revision: Revision
    age: Duration = 0
    sums: RegionSums | None = None  # about once a second


class Busy(Message, tag="busy"):
    """The holder has reached its rate limit for snapshots; repeat the watch after `retry_after`."""

    id: Number
    retry_after: Duration


class RefusalReason(StrEnum):
    """Why a holder refuses a watch."""

    OLD_EPOCH = "old epoch"  # the watcher's shard assignment is older than the holder's
    NEW_EPOCH = "new epoch"  # the holder's shard assignment is older than the watcher's
    WRONG_SHARD = "shard"  # the shard is not assigned to the holder
    OUTDATED = "stale"  # the holder has no current list from its roster
    TOO_MANY_WATCHES = "full"


class Refused(Message, tag="refused"):
    """The holder refuses this watch. `epoch` is that of the holder's shard assignment."""

    id: Number
    reason: RefusalReason = field(name="why")
    epoch: Number


class InspectResponse(Message, tag="shown"):
    """The answer to an `InspectRequest`, as JSON for people and tools; later versions may add fields."""

    body: Raw = NO_BODY


# messages after the greeting, by direction
WatcherMessage = Watch | Unwatch | Renew | InspectRequest
HolderMessage = Snapshot | Unchanged | Update | Renewed | Busy | Refused | InspectResponse

FromWatcher = Hello | WatcherMessage | Goodbye
FromHolder = Hello | HolderMessage | Fault | Goodbye
