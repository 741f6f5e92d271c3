"""The settings of a deployment file: names, types, bounds and defaults.

Durations are written as "250 ms", "1.5 s" or "2 min" and converted to whole ticks of 0.1 ms.
"""

import re
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

TICKS_PER_UNIT = {"ms": 10, "s": 10_000, "min": 600_000, "h": 36_000_000}
DURATION_PATTERN = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(ms|s|min|h)\s*")


class Duration(int):
    """A duration in ticks of 0.1 ms."""

    @classmethod
    def parse(cls, value: Any) -> "Duration":
        """Parse a text with a unit. Raises ValueError if it is not a duration."""
        match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise ValueError('Expected a duration such as "250 ms", "1.5 s" or "2 min"')
        return cls(round(float(match[1]) * TICKS_PER_UNIT[match[2]]))


Fraction = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[float, Meta(ge=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=1, le=100_000)]


class SettingsGroup(Struct, forbid_unknown_fields=True, kw_only=True):
    """A group of settings in the file."""


class DispatcherIdentity(SettingsGroup):
    """The identity of this dispatcher: `number` counts from 0 to `of` - 1."""

    name: str = "edge"
    number: Annotated[int, Meta(ge=0)] = 0
    of: Count = 1
    zone: str = ""
    seed: int = 0
    keep: str = ""  # file that persists the learned figures of the methods over a restart; "": none


class Listen(SettingsGroup):
    """The listening socket for clients, and limits of connections."""

    port: Port = 0
    longest_line: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 262_144  # bytes
    unsent: Annotated[int, Meta(ge=4096)] = 8_388_608  # bytes buffered for a slow reader
    open_calls: Count = 4_096  # of one connection
    margin: Duration = Duration(100)  # an answer is sent this long before the client's deadline


class Method(SettingsGroup):
    """One method: its deadlines, its gain, and how its requests may be repeated."""

    effect: Literal["idempotent", "tokened", "side-effecting"]
    deadline: Duration
    soft_deadline: Duration = Duration(0)  # 0: the deadline
    soft_stretch: NonNegative = 0.0
    repeats_dropped_by: Literal["all", "zone", "cell"] = "cell"
    repeats_remembered: Duration = Duration(0)
    repeats_across_versions: bool = False  # versions of a function share their deduplication tokens
    gain: NonNegative = 1.0
    late_gain: Fraction = 0.0
    streamed: bool = False


class Customer(SettingsGroup):
    """One customer's quota and share of the traffic."""

    quota: NonNegative = 0.0  # RPCs a second over all dispatchers; 0: no quota
    share: Fraction = 0.0


class Workers(SettingsGroup):
    """How workers behave: slow start, drains, unloading, and what they report."""

    size_means: Literal["off", "nominal", "rough", "live"] = "rough"
    memory_by_kind: dict[str, NonNegative] = field(default_factory=dict)  # MB
    drain_grace: Duration = Duration(10_000)
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    ramp: Duration = Duration(0)
    fall_multiple: Annotated[float, Meta(gt=0)] = 1.0
    fall_time: Duration = Duration(0)
    absent: Literal["load", "miss"] = "load"
    idle_life: Duration = Duration(100_000)
    idle_memory_price: NonNegative = 0.0
    tells_warm: bool = False
    tells_company: bool = False
    reports: Literal["inline", "on_probe", "off"] = "off"


class Preloads(SettingsGroup):
    """Preloads and their budget; a `window` of "0 s" means that they are not limited."""

    allowed: bool = False
    window: Duration = Duration(0)
    free: NonNegative = 0.0
    share: Fraction = 0.0
    time_out: Duration = Duration(100_000)


class Allowed(SettingsGroup):
    """What a dispatcher may do for a request, and its time limits."""

    tries: Annotated[int, Meta(ge=1, le=100)] = 3
    dial: Duration = Duration(2_500)
    cancel: bool = True
    probe: bool = False
    parallel: bool = False
    peers: bool = False
    retry_after: Duration = field(
        name="come_back", default=Duration(0)
    )  # longest Retry-After; "0 s": clients are given none
    answer_slack: Duration = Duration(160)


class Roster(SettingsGroup):
    """The roster: "pushed" sends each change, "asked" is polled."""

    port: Port = 0
    mode: Literal["pushed", "asked"] = "pushed"
    ask_within: Duration = Duration(100_000)


class Planner(SettingsGroup):
    """The planner of rollouts; port 0: there is none."""

    port: Port = 0
    keep: str = ""  # file that persists the last plan, which an edge uses when it starts without a planner


class Fleet(SettingsGroup):
    """Membership in a fleet of edges that exchange gossip; name "": this edge is in none."""

    name: str = ""
    port: Port = 0
    told_port: Port = 0  # advertised port, if other edges reach this one through another than `port`
    seeds: list[Port] = field(default_factory=list)  # of edges through which this one joins
    period: Duration = Duration(10_000)  # between two probes of the failure detector
    tell: Duration = Duration(5_000)  # between two gossip messages with counters
    shed: bool = True  # reject requests by the fleet's admission level
    loads: int = 0  # concurrent loads of all edges together; 0: only each edge's own limit


class DirectoryCopy(SettingsGroup):
    """The address of one holder of a shard."""

    port: Port
    zone: str = ""
    host: str = "127.0.0.1"


class Directory(SettingsGroup):
    """The directory of instances, configured alike at dispatchers and holders.

    Without `shards` there is no directory, and a dispatcher follows the roster itself.
    """

    epoch: Annotated[int, Meta(ge=1, lt=2**53)] = 1  # of the assignment in `shards`; increment it on a change
    shards: list[list[DirectoryCopy]] = field(default_factory=list)  # the holders of each shard
    lease: Duration = Duration(30_000)  # of a watch, counted from when its request is sent
    silence: Duration = Duration(6_000)  # of a holder, after which a dispatcher connects to the next one
    lookup_time_out: Duration = Duration(2_500)  # of the first look-up of a function
    first_count: Annotated[int, Meta(ge=1, le=512)] = 8  # instances requested at a function's first call
    idle: Duration = Duration(1_200_000)  # without calls, after which the watch of a function ends
    bytes_per_second: Annotated[int, Meta(ge=1_024)] = 4_096  # towards one dispatcher; drains are not delayed


class DirectoryServe(SettingsGroup):
    """The settings of one holder. `shards` are the numbers, from 0, that it serves; empty: all."""

    name: str = "holder"
    port: Port = 0
    zone: str = ""
    shards: list[Annotated[int, Meta(ge=0)]] = field(default_factory=list)
    snapshots_per_second: Annotated[float, Meta(gt=0)] = 10_000.0  # further watches get a `Busy`
    bytes_per_second: Annotated[int, Meta(ge=1_024)] = 8_388_608  # to all dispatchers; drains are not delayed
    connections: Count = 8_192  # of dispatchers at once; further ones are closed
    oldest_epoch: Annotated[int, Meta(ge=0, lt=2**53)] = 0  # oldest epoch still served; 0: only `epoch`
    unsent: Annotated[int, Meta(ge=4096)] = 1_048_576  # bytes buffered for a slow dispatcher


class HolderDeployment(SettingsGroup):
    """The settings file of `lapistrestle directory serve`. Only the slow start of `workers` is used."""

    directory: Directory
    serve: DirectoryServe = field(default_factory=DirectoryServe)
    roster: Roster = field(default_factory=Roster)
    workers: Workers = field(default_factory=Workers)


class Counting(SettingsGroup):
    """How operators score the service; the decision module may read it, and no rule depends on it."""

    by: Literal["rpc", "work"] = "rpc"
    over_share_gain: Fraction = 1.0
    goal: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)


class Deployment(SettingsGroup):
    """The settings file of an edge."""

    methods: dict[str, Method]
    dispatcher: DispatcherIdentity = field(default_factory=DispatcherIdentity)
    listen: Listen = field(default_factory=Listen)
    zones: list[str] = field(default_factory=list)
    customers: dict[str, Customer] = field(default_factory=dict)
    workers: Workers = field(default_factory=Workers)
    orders: Preloads = field(default_factory=Preloads)
    allowed: Allowed = field(default_factory=Allowed)
    roster: Roster = field(default_factory=Roster)
    planner: Planner = field(default_factory=Planner)
    counting: Counting = field(default_factory=Counting)
    fleet: Fleet = field(default_factory=Fleet)
    directory: Directory = field(default_factory=Directory)
    peers: list[Port] = field(default_factory=list)  # ports of all dispatchers, by their numbers
