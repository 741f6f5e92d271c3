"""Compares the complete dispatcher with the full endpoint list ("before") and with the directory ("after").

State is that of the edge, its decision module and its connections, by a recursive `sys.getsizeof`, without
that of the hollow peers. The processor time for control is that of the edge under the target's calls, changes
and look-ups, minus that of the same number of calls at a dispatcher with `FEW` instances and no changes.
"""

from collections.abc import Callable, Iterator

from msgspec import Struct

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.calls import Caller, percentile
from benchmarks.scale.directory_edge import DirectoryDispatcher, Session
from benchmarks.scale.directory_fleet import HolderNode, Region
from benchmarks.scale.roles import register
from benchmarks.scale.roles.dispatcher_directory import instance_changes, region_of
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.standins.virtual import DelayedCall, VirtualProcess, VirtualReactor
from lapistrestle.wire.messages import RosterEntry

FEW = 100  # instances of the dispatcher that is timed without changes
SECONDS = 4.0  # simulated time of a measurement
LIFE = 120.0  # seconds; an unused function stays watched this long
EXCLUDED_TYPES = (
    VirtualReactor, VirtualProcess, DelayedCall, HolderNode, Region, Session, hollow.Workers, hollow.Roster,
    hollow.HollowDispatcher, hollow.HollowTransport,
)  # fmt: skip


class Costs(Struct, frozen=True):
    """The costs of one dispatcher; rates are per second."""

    state: int  # bytes
    known: int  # instances
    functions: int
    control: float  # cores
    bytes_in: float
    lookup_seconds: list[float]  # seconds
    served: float  # share of the calls that were ok


def play(
    dispatcher: hollow.HollowDispatcher,
    change: Callable[[RosterEntry], object],
    caller: Caller,
    list_changes: Iterator[RosterEntry],
    rate: float,
    seconds: float,
) -> None:
    """Runs Poisson calls at the caller's rate, and evenly spaced changes at `rate` per second."""
    events = [(at, True) for at in caller.times(seconds)]
    events += [(number / rate, False) for number in range(int(rate * seconds))]
    started_at = dispatcher.reactor.seconds()
    for at, is_call in sorted(events):
        dispatcher.reactor.run(started_at + at)
        if is_call:
            dispatcher.call(caller.function())
        else:
            change(next(list_changes))
    dispatcher.reactor.run(started_at + seconds)


def calls_alone(given: Assumptions, seed: int) -> float:
    """Processor seconds of one call that causes no work for control."""
    dispatcher = hollow.HollowDispatcher(hollow.entries(FEW), seed, given.target.dispatchers_per_region)
    dispatcher.load_full_list()
    caller = Caller(given, seed)
    functions = [caller.function() for _ in range(int(caller.rate))]

    def second() -> None:
        for function in functions:
            dispatcher.call(function)
            dispatcher.run(1 / caller.rate)

    second()
    return measuring.processor_seconds(second, 3).median / len(functions)


def with_directory(
    instances: int, life_seconds: float, seed: int, given: Assumptions, reach: int | None = None
) -> Costs:
    target = given.target
    region = region_of(instances, 1, seed, given)
    idle, count = f"{given.directory.watch_idle_seconds:g} s", given.prefix
    dispatcher = DirectoryDispatcher(
        region, seed, target.dispatchers_per_region, 0, idle=idle, first_count=count
    )
    caller, list_changes = Caller(given, seed, reach=reach), instance_changes(instances)
    rate = given.instance_changes_per_second(instances)
    play(dispatcher, region.change, caller, list_changes, rate, life_seconds)
    (holder,) = region.holders.values()
    dispatcher.lookup_seconds.clear()
    before = holder.processor, dispatcher.directory.bytes_in, dispatcher.count
    answered = dict(dispatcher.answers)
    spent = measuring.processor_seconds(
        lambda: play(dispatcher, region.change, caller, list_changes, rate, SECONDS), 1
    )
    calls = dispatcher.count - before[2]
    control = spent.median - (holder.processor - before[0]) - calls * calls_alone(given, seed)
    return Costs(
        state=measuring.deep_size(dispatcher.edge, EXCLUDED_TYPES),
        known=len(dispatcher.edge.known_workers.known),
        functions=len(dispatcher.edge.directory.watcher.functions),
        control=control / SECONDS,
        bytes_in=(dispatcher.directory.bytes_in - before[1]) / SECONDS,
        lookup_seconds=list(dispatcher.lookup_seconds),
        served=served_since(dispatcher, answered),
    )


def with_list(instances: int, life_seconds: float, seed: int, given: Assumptions) -> Costs:
    target = given.target
    dispatcher = hollow.HollowDispatcher(hollow.entries(instances), seed, target.dispatchers_per_region)
    dispatcher.load_full_list()
    roster = dispatcher.roster
    caller, list_changes, rate = (
        Caller(given, seed),
        instance_changes(instances),
        given.instance_changes_per_second(instances),
    )
    play(dispatcher, roster.send_update, caller, list_changes, rate, life_seconds)
    before = roster.traffic.bytes_in, dispatcher.count
    answered = dict(dispatcher.answers)
    spent = measuring.processor_seconds(
        lambda: play(dispatcher, roster.send_update, caller, list_changes, rate, SECONDS), 1
    )
    calls = dispatcher.count - before[1]
    return Costs(
        state=measuring.deep_size(dispatcher.edge, EXCLUDED_TYPES),
        known=len(dispatcher.edge.known_workers.known),
        functions=len(dispatcher.edge.host.registry.functions),
        control=(spent.median - calls * calls_alone(given, seed)) / SECONDS,
        bytes_in=(roster.traffic.bytes_in - before[0]) / SECONDS,
        lookup_seconds=[],
        served=served_since(dispatcher, answered),
    )


def served_since(dispatcher: hollow.HollowDispatcher, before: dict[str, int]) -> float:
    """The share of the answers since `before` that were ok."""
    since = {verdict: count - before[verdict] for verdict, count in dispatcher.answers.items()}
    return since["ok"] / max(1, sum(since.values()))


def figures(label: str, costs: Costs, given: Assumptions) -> list[Figure]:
    target = given.target
    found = [
        Figure(f"{label}: instances known", costs.known, "instances"),
        Figure(f"{label}: functions in view", costs.functions, "functions"),
        Figure(f"{label}: state", costs.state, "bytes", target.control_bytes),
        Figure(f"{label}: processor time for control", costs.control, "cores", target.control_cores),
        Figure(f"{label}: bytes in for control", costs.bytes_in, "bytes/s", target.control_bytes_per_second),
        Figure(f"{label}: calls that were ok", costs.served, "part"),
    ]
    if costs.lookup_seconds:
        for part in (0.5, 0.99):
            latencies = percentile(costs.lookup_seconds, part)
            found.append(
                Figure(f"{label}: look-up p{part * 100:g}", latencies, "s", target.cold_start_seconds)
            )
    return found


def compare(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The list and the directory, after a short warm-up, at a size that both can simulate."""
    instances, seconds = (500, 2.0) if quick else (9_500, 6.0)
    before, after = (
        with_list(instances, seconds, seed, given),
        with_directory(instances, seconds, seed, given),
    )
    return [
        *figures(f"whole list, {instances:,}", before, given),
        *figures(f"directory, {instances:,}", after, given),
    ]


def flat(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The directory at several sizes, after the same short warm-up."""
    sizes = (1_000, 4_000) if quick else (10_000, 76_000, 380_000)
    seconds = 2.0 if quick else 6.0
    found = []
    for instances in sizes:
        found += figures(f"{instances:,} instances", with_directory(instances, seconds, seed, given), given)
    return found


def at_target(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The directory at a region's size, once watches expire as fast as functions are looked up; with calls of
    a function spread over all dispatchers of the region, and over few.
    """
    instances, seconds = (1_000, 4.0) if quick else (given.target.instances_per_region, LIFE)
    few = given.dispatchers_per_function
    found = []
    for label, reach in [("calls reach all", None), (f"calls reach {few}", few)]:
        found += figures(label, with_directory(instances, seconds, seed, given, reach), given)
    return found


class BeforeAndAfter:
    """The role `before-after`, with scenarios only."""

    name = "before-after"
    text = "the whole dispatcher with the list and with the directory"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()
    scenes = (
        Scene("before and after", "one run, the same calls and changes", compare),
        Scene("flat", "the directory at growing sizes of the region", flat),
        Scene("at the target", "the directory at a region's size after two minutes", at_target),
    )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError(f"{self.name} has scenes only")


register(BeforeAndAfter())
