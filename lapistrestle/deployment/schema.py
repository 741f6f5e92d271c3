"""What a deployment file may say, in plain units: names, types, bounds and defaults.

Durations are written "250 ms", "1.5 s" or "2 min" and become whole tenths of a millisecond.
"""

import re
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

UNITS = {"ms": 10, "s": 10_000, "min": 600_000, "h": 36_000_000}
SPAN = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(ms|s|min|h)\s*")


class Duration(int):
    """A duration in tenths of a millisecond."""

    @classmethod
    def parse(cls, said: Any) -> "Duration":
        """From text. Raises ValueError where it is no duration."""
        match = SPAN.fullmatch(said) if isinstance(said, str) else None
        if match is None:
            raise ValueError('Expected a duration such as "250 ms", "1.5 s" or "2 min"')
        return cls(round(float(match[1]) * UNITS[match[2]]))


Fraction = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[float, Meta(ge=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=1, le=100_000)]


class SettingsGroup(Struct, forbid_unknown_fields=True, kw_only=True):
    """A group of the file."""


class DispatcherIdentity(SettingsGroup):
    """Which front end this is: `number` from 0 among `of`."""

    name: str = "edge"
    number: Annotated[int, Meta(ge=0)] = 0
    of: Count = 1
    zone: str = ""
    seed: int = 0
    keep: str = ""  # file for what it has learnt of the methods, from which it starts; "": none is kept


class Listen(SettingsGroup):
    port: Port = 0
    longest_line: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 262_144  # bytes
    unsent: Annotated[int, Meta(ge=4096)] = 8_388_608  # bytes waiting towards a slow reader
    open_calls: Count = 4_096  # of one connection
    margin: Duration = Duration(100)  # answers are out this long before the client gives up


class Method(SettingsGroup):
    effect: Literal["idempotent", "tokened", "side-effecting"]
    deadline: Duration
    soft_deadline: Duration = Duration(0)  # 0: the deadline
    soft_stretch: NonNegative = 0.0
    repeats_dropped_by: Literal["all", "zone", "cell"] = "cell"
    repeats_remembered: Duration = Duration(0)
    repeats_across_versions: bool = False  # a version of a function knows the tokens of another
    gain: NonNegative = 1.0
    late_gain: Fraction = 0.0
    streamed: bool = False


class Customer(SettingsGroup):
    quota: NonNegative = 0.0  # RPCs a second over all front ends; 0: none stated
    share: Fraction = 0.0


class Workers(SettingsGroup):
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
    """Orders to hold copies; `window` "0 s" means that they are not rationed."""

    allowed: bool = False
    window: Duration = Duration(0)
    free: NonNegative = 0.0
    share: Fraction = 0.0
    time_out: Duration = Duration(100_000)


class Allowed(SettingsGroup):
    tries: Annotated[int, Meta(ge=1, le=100)] = 3
    dial: Duration = Duration(2_500)
    cancel: bool = True
    probe: bool = False
    parallel: bool = False
    peers: bool = False
    retry_after: Duration = field(
        name="come_back", default=Duration(0)
    )  # longest time told to stay away; "0 s": none is told
    answer_slack: Duration = Duration(160)


class Roster(SettingsGroup):
    port: Port = 0
    mode: Literal["pushed", "asked"] = "pushed"
    ask_within: Duration = Duration(100_000)


class Planner(SettingsGroup):
    """Where versions of functions are planned; port 0: nowhere."""

    port: Port = 0
    keep: str = ""  # file for the last plan, from which an edge goes on when it starts without a planner


class Fleet(SettingsGroup):
    """What this edge tells other edges, and hears of them; name "": nothing."""

    name: str = ""
    port: Port = 0
    told_port: Port = 0  # where others reach it, if that is another
    seeds: list[Port] = field(default_factory=list)  # of edges through which it joins
    period: Duration = Duration(10_000)  # between two looks at whether another is there
    tell: Duration = Duration(5_000)  # between two tellings of what was counted
    shed: bool = True  # deny at the door by what all tell
    loads: int = 0  # under way at once, of all edges together; 0: no bound but each edge's own


class DirectoryCopy(SettingsGroup):
    """Where one holder of a shard answers."""

    port: Port
    zone: str = ""
    host: str = "127.0.0.1"


class Directory(SettingsGroup):
    """The directory of instances, told alike to dispatchers and to holders; no `shards`: there is none, and a
    dispatcher follows the roster itself."""

    epoch: Annotated[int, Meta(ge=1, lt=2**53)] = 1  # of the assignment below; a change of it counts one up
    shards: list[list[DirectoryCopy]] = field(default_factory=list)  # the copies of each shard
    lease: Duration = Duration(30_000)  # of a watch, from before its holder was asked
    silence: Duration = Duration(6_000)  # of a holder, after which a dispatcher goes to the next copy
    lookup_time_out: Duration = Duration(2_500)  # of the first look-up of a function
    first_count: Annotated[int, Meta(ge=1, le=512)] = 8  # instances asked for at a function's first call
    idle: Duration = Duration(1_200_000)  # a function not called for this long is watched no more
    bytes_per_second: Annotated[int, Meta(ge=1_024)] = 4_096  # towards one dispatcher; drains are not held up


class DirectoryServe(SettingsGroup):
    """What one holder answers for. `shards` are numbers from 0; none named: all of them."""

    name: str = "holder"
    port: Port = 0
    zone: str = ""
    shards: list[Annotated[int, Meta(ge=0)]] = field(default_factory=list)
    snapshots_per_second: Annotated[float, Meta(gt=0)] = 10_000.0  # further ones are told when to come back
    bytes_per_second: Annotated[int, Meta(ge=1_024)] = 8_388_608  # to all dispatchers; drains aren't held up
    connections: Count = 8_192  # of dispatchers at once; a further one is closed
    oldest_epoch: Annotated[int, Meta(ge=0, lt=2**53)] = 0  # still served besides `epoch`; 0: none
    unsent: Annotated[int, Meta(ge=4096)] = 1_048_576  # bytes waiting towards a slow dispatcher


class HolderDeployment(SettingsGroup):
    """The settings file of a holder: `lapistrestle directory serve`. Of `workers` only the ramp counts."""

    directory: Directory
    serve: DirectoryServe = field(default_factory=DirectoryServe)
    roster: Roster = field(default_factory=Roster)
    workers: Workers = field(default_factory=Workers)


class Counting(SettingsGroup):
    """How the operators count service; the module may read it, no rule depends on it."""

    by: Literal["rpc", "work"] = "rpc"
    over_share_gain: Fraction = 1.0
    goal: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)


class Deployment(SettingsGroup):
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
    peers: list[Port] = field(default_factory=list)  # ports of the other front ends, by number
