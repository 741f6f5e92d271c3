"""Messages between a dispatcher that watches functions and a holder of the directory of instances.

Protocol `lapistrestle.directory`, framed like the others (`wire/json_lines.py`). Unless stated otherwise
times are whole tenths of a millisecond. An instance is sent as the roster's `RosterEntry`, written as an
array; its `start` tells one incarnation from the next, and its `up_for` (milliseconds) is as of the sending
of the message.
"""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Raw, Struct, convert, field

from lapistrestle.wire.messages import NO_BODY, Fault, Goodbye, Hello, Message, Name, Number, RosterEntry

DIRECTORY = "lapistrestle.directory"
MOST_SUPERSEDED = 8  # sources named in a snapshot
LONGEST_PREFIX = 512  # instances of one prefix, so that a snapshot fits the longest line
DIGEST_BYTES = 8  # of a digest, written as hexadecimal digits
LONGEST_UP_FOR = 86_400_000.0  # milliseconds, the bound of an entry's `up_for`
MOST_IN_A_BATCH = 512  # entries of one update, for the same reason

Count = Annotated[int, Meta(ge=1, le=LONGEST_PREFIX)]
Duration = Annotated[int, Meta(ge=0, le=864_000_000)]


class Revision(Struct, frozen=True, omit_defaults=True, gc=False):
    """How new knowledge is: the roster's epoch (`source`) and the number of the last list or change applied.

    Within one source the number orders. Between sources nothing does: a watcher remembers which it saw
    superseded (`directory/revisions.py`).
    """

    source: str = ""
    number: int = -1


class Instance(RosterEntry, array_like=True, gc=False):
    """An entry, on the wire an array of its fields in their order: about half as long as with their names.

    Entries are most of what a dispatcher is sent.
    """


def compact(entry: RosterEntry) -> Instance:
    """An entry as it crosses this wire."""
    return convert(entry, Instance, from_attributes=True)


class RegionSums(Struct, frozen=True, omit_defaults=True, gc=False):
    """Sums over all instances of the region, for what a dispatcher doesn't hold one by one."""

    size: float = 0.0  # of the instances that serve
    warm: float = 0.0  # the same, each times its warmth, by the holder's settings of the ramp
    serving: int = 0  # instances
    instances: int = 0  # those that drain among them
    dispatchers: int = 0  # 0: unknown


# watcher to holder


class Watch(Message, tag="watch"):
    """Watch the first instances of a function's order: as many as hold `count` that serve.

    Starts a watch, or takes the place of the connection's earlier watch of the same function. `id` is the
    watcher's and grows with each. `digest`: of the prefix that the watcher holds already
    (`directory/digests.py`); where the holder's is the same, `Unchanged` is the answer. `has_prefix`: calls
    are served by what the watcher holds meanwhile; those that wait for a prefix are answered first.
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
    """The watch is not needed any more."""

    id: Number


class Renew(Message, tag="renew"):
    """Renew the lease on all watches of this connection.

    `sent_at`: the watcher's clock, sent back as it is.
    """

    sent_at: Number = field(name="asked")


class InspectRequest(Message, tag="show"):
    """An operator asks what the holder knows, of one function or in all."""

    function: str = ""


# holder to watcher; each snapshot and update counts the connection's `sequence` one up


class Snapshot(Message, tag="snapshot"):
    """A complete prefix, the answer to a watch. `complete`: it is the complete order, there are no more.

    `lease` counts from when the watcher sent its request. `age`: for how long the holder has not been sure
    to hear its roster; 0 while it hears it. `superseded`: the roster's earlier epochs that it saw end.
    `up_for_age`: how long before the sending the `up_for` of the entries was true; such lists are shared.
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
    """The answer to a watch whose digest fits: what the watcher had when it asked is the whole prefix.

    The other fields are those of `Snapshot`.
    """

    id: Number
    epoch: Number
    revision: Revision
    sequence: Number
    lease: Duration = 0
    age: Duration = 0
    superseded: list[str] = field(default_factory=list)


class PlacedInstance(Struct, omit_defaults=True, gc=False):
    """An instance that enters a prefix, at this position of the new prefix."""

    position: Annotated[int, Meta(ge=0, lt=LONGEST_PREFIX)]
    name: Name


class PrefixChange(Struct, omit_defaults=True, gc=False):
    """How one watch's prefix changes: `removed` leave, then `inserted` enter, by rising position.

    `length` is that of the new prefix. A result of another length means that a change was lost.
    """

    id: Number
    length: Number
    removed: list[Name] = field(default_factory=list)
    inserted: list[PlacedInstance] = field(default_factory=list)
    complete: bool = False


class Update(Message, tag="update"):
    """One batch of changes for all watches of the connection.

    `entries`: instances that are new in a prefix or have changed; those gone are named in `gone`, and may
    leave their prefixes in a later batch only.
    """

    sequence: Number
    revision: Revision
    entries: list[Instance] = field(default_factory=list)
    gone: list[Name] = field(default_factory=list)
    changes: list[PrefixChange] = field(default_factory=list)


class Renewed(Message, tag="renewed"):
    """The answer to a renewal. `sequence`: that of the last batch sent before it, so that a loss shows."""

    sent_at: Number = field(name="asked")
    lease: Duration
    sequence: Number
    revision: Revision
    age: Duration = 0
    sums: RegionSums | None = None  # about once a second


class Busy(Message, tag="busy"):
    """No snapshot now: more are asked for than the holder sends in a second. Ask again after a while."""

    id: Number
    retry_after: Duration


class RefusalReason(StrEnum):
    """Why a holder does not serve a watch."""

    OLD_EPOCH = "old epoch"  # the watcher's assignment is older than the holder's
    NEW_EPOCH = "new epoch"  # the holder's assignment is the older one
    WRONG_SHARD = "shard"  # the holder does not hold the shard
    OUTDATED = "stale"  # the holder has not heard its roster yet, or not again
    TOO_MANY_WATCHES = "full"


class Refused(Message, tag="refused"):
    """The holder doesn't serve this watch. `epoch`: that of the holder."""

    id: Number
    reason: RefusalReason = field(name="why")
    epoch: Number


class InspectResponse(Message, tag="shown"):
    """The answer to `show`, as JSON for people and tools; its names may grow."""

    body: Raw = NO_BODY


# what follows the greeting, each way
WatcherMessage = Watch | Unwatch | Renew | InspectRequest
HolderMessage = Snapshot | Unchanged | Update | Renewed | Busy | Refused | InspectResponse

FromWatcher = Hello | WatcherMessage | Goodbye
FromHolder = Hello | HolderMessage | Fault | Goodbye
