"""Settings of a day's script: fleet, traffic, rollouts, and which faults are injected when."""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from lapistrestle.deployment.load import (
    DeploymentError,
    convert_value,
    load_deployment,
    read_json5,
    validate_deployment,
)
from lapistrestle.deployment.schema import (
    Deployment,
    Duration,
    Fraction,
    HolderDeployment,
    NonNegative,
    SettingsGroup,
)

FaultKind = Literal[
    "balancer_stall", "burst", "crash", "deploy", "discovery_stale", "fast_errors", "hot_key", "neighbour",
    "pauses", "preempt", "report_late", "retry_abuse", "scan", "slow", "throttle", "zone_loss",
    "refused", "broken", "silent", "delayed", "split", "garbled",
    "edge_kill", "store_slow", "roster_back", "roster_gap", "roster_restart", "unread",
    "planner_stall", "planner_kill",
    "edges_apart", "edges_deaf", "edges_lossy",
    "holder_stall", "holder_kill", "directory_cut",
]  # fmt: skip


class RunnerGroup(SettingsGroup):
    """Runners of one kind, spread over the zones round robin."""

    count: Annotated[int, Meta(ge=1, le=1000)] = 4
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    speed: Annotated[float, Meta(gt=0)] = 1.0
    memory: Annotated[float, Meta(gt=0)] = 14_000.0  # MB
    queue: Annotated[int, Meta(ge=1)] = 100
    loads: Annotated[int, Meta(ge=1)] = 4
    cell_size: Annotated[int, Meta(ge=1)] = field(name="cell_of", default=3)  # runners in a cell


class StoreSettings(SettingsGroup):
    """Capacity of the package store, as in `standins.store`."""

    fetches: Annotated[float, Meta(gt=0)] = 12.0
    limit: Annotated[int, Meta(ge=1)] = 60
    overload_multiple: Annotated[float, Meta(gt=1)] = field(name="tips_at", default=3.0)
    overload_time: Duration = field(name="tips_after", default=Duration(30_000))
    outage_time: Duration = field(name="stops_for", default=Duration(40_000))


class MethodTraffic(SettingsGroup):
    """The RPCs of one method."""

    share: Annotated[float, Meta(gt=0)] = 1.0
    work: Duration = Duration(1_000)  # mean, on a core of speed 1
    memory: tuple[NonNegative, NonNegative] = (200.0, 600.0)  # MB, least and most
    lanes: list[Annotated[int, Meta(ge=1, le=64)]] = field(default_factory=lambda: [1, 2])
    # least and most time to load a copy
    load: tuple[Duration, Duration] = (Duration(4_000), Duration(10_000))


class Traffic(SettingsGroup):
    """Traffic of the clients, and how they behave."""

    rate: Annotated[float, Meta(gt=0)] = 100.0  # RPCs a second
    functions: Annotated[int, Meta(ge=1, le=100_000)] = 40
    popularity: NonNegative = 0.9  # exponent of Zipf's law
    methods: dict[str, MethodTraffic] = field(default_factory=dict)
    # greatest relative error of the hints of work; 1: no hints
    hint_error: Fraction = field(name="hints", default=0.2)
    retries: Annotated[int, Meta(ge=0, le=100)] = 2
    # least retry delay; it is up to twice as long
    retry_delay: Duration = field(name="wait", default=Duration(2_000))
    # part of the deadline after which a client gives an attempt up, least and most
    patience: tuple[Fraction, Fraction] = (0.5, 1.0)
    marks_retries: bool = field(name="marks", default=True)  # clients mark retries
    respects_retry_after: bool = field(name="heeds", default=True)  # clients respect retry_after


class ScriptedFault(SettingsGroup):
    """A fault that starts at `at` and lasts for `duration`; kinds use the other fields as they need."""

    kind: FaultKind
    at: Duration
    duration: Duration = field(name="lasts", default=Duration(50_000))
    share: Fraction = 0.25  # of the runners, edges, holders, or RPCs affected
    factor: NonNegative = 4.0  # factor of the slowdown, or of the traffic
    delay: Duration = field(name="by", default=Duration(20_000))
    zone: str = ""
    on: Literal["runners", "roster", "clients"] = "runners"


class VersionDefects(SettingsGroup):
    """Defects of a version, and the conditions under which they show."""

    errors: Fraction = 0.0  # share of its calls that fail
    slower: NonNegative = 1.0  # factor on the work of its calls
    load_errors: Fraction = 0.0  # share of its loads that fail
    when_busy: Fraction = 0.0  # only on runners with at least this part of the cores busy
    customer: str = ""  # only for this customer
    after: Duration = Duration(0)  # only this long after the rollout's start


class ScriptedRollout(SettingsGroup):
    """A rollout: started at `at`, advanced by the operator at each `advance`, reverted at `revert_at`
    (0: never)."""

    function: str = field(name="fn", default="fn-0")
    candidate: str = "v2"
    at: Duration = Duration(20_000)
    revert_at: Duration = field(name="back", default=Duration(0))
    advance: list[Duration] = field(default_factory=list)
    remembered: Duration = Duration(600_000)
    steps: list[Annotated[float, Meta(gt=0, le=100)]] = field(default_factory=lambda: [5.0, 30.0, 100.0])
    defects: VersionDefects = field(name="wrong", default_factory=VersionDefects)


class Day(SettingsGroup):
    """A day's script."""

    name: str
    deployment: Any  # inline, or the path of a file beside the script
    length: Duration = Duration(200_000)
    seed: int = 1
    edges: Annotated[int, Meta(ge=1, le=1000)] = 3
    # what decides: the decision module or, in the model only, a baseline policy
    policy: Literal["module", "random", "round robin", "fewest of two", "fewest", "hash", "greedy"] = "module"
    fleet: dict[str, RunnerGroup] = field(default_factory=lambda: {"plain": RunnerGroup(count=8)})
    fetch_share: Fraction = 0.7
    cancels_waiting: bool = field(name="drops_waiting", default=True)
    cancels_running: bool = field(name="stops_running", default=False)
    store: StoreSettings = field(default_factory=StoreSettings)
    roster_lag: Duration = Duration(10_000)
    traffic: Traffic = field(default_factory=Traffic)
    rollouts: list[ScriptedRollout] = field(default_factory=list)
    faults: list[ScriptedFault] = field(name="troubles", default_factory=list)


def read_day(path: Path) -> tuple[Day, Deployment]:
    """Reads and checks a script and its deployment. Raises DeploymentError."""
    value, text = read_json5(path)
    return parse_day(value, text, path)


def parse_day(value: Any, text: str = "", path: Path | None = None) -> tuple[Day, Deployment]:
    """Checks a script given as a value. Files are found relative to `path`, which errors name.

    Raises DeploymentError.
    """
    source = str(path) if path else "the day"
    day = convert_value(value, Day, text, source)
    if isinstance(day.deployment, str):
        deployment = load_deployment((path.parent if path else Path()) / day.deployment)
    else:
        deployment = convert_value(day.deployment, Deployment, text, f"{source} (deployment)")
        validate_deployment(deployment, text, f"{source} (deployment)")
    if not day.traffic.methods:
        day.traffic.methods = {name: MethodTraffic() for name in deployment.methods}
    for name in day.traffic.methods:
        if name not in deployment.methods:
            known = ", ".join(deployment.methods)
            raise DeploymentError(f"{source}: traffic.methods.{name}: no such method; known: {known}")
    for number, fault in enumerate(day.faults):
        if fault.zone and fault.zone not in deployment.zones:
            raise DeploymentError(
                f'{source}: troubles.{number}.zone: is "{fault.zone}"; known: {deployment.zones}'
            )
        if fault.at >= day.length:
            raise DeploymentError(f"{source}: troubles.{number}.at: is past the day's length")
    return day, deployment


def to_plain(deployment: Deployment | HolderDeployment) -> Any:
    """The deployment as plain values, which can be loaded again."""

    def span(value: Any) -> Any:
        if isinstance(value, Duration):
            return f"{value / 10} ms"
        raise NotImplementedError(type(value))

    return msgspec.to_builtins(deployment, enc_hook=span)
