"""The whole dispatcher before and after: the program's edge with the whole list, and with the directory.

State is that of the edge, its module and its connections, by a recursive `sys.getsizeof`, less what hollow
parts hold. The processor time for control is that of the edge under the target's calls, changes and look-ups,
less that of as many calls at a dispatcher that knows `FEW` instances and hears of no change.
"""

from collections.abc import Callable, Iterator

from msgspec import Struct

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.calls import Caller, percentile
from benchmarks.scale.directory_edge import DirectoryDispatcher, Session
from benchmarks.scale.directory_fleet import HolderNode, Region
from benchmarks.scale.roles import register
from benchmarks.scale.roles.dispatcher_directory import lives, region_of
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.standins.virtual import DelayedCall, VirtualProcess, VirtualReactor
from lapistrestle.wire.messages import RosterEntry

FEW = 100  # instances of the dispatcher whose calls alone are timed
SECONDS = 4.0  # simulated and measured
LIFE = 120.0  # seconds, as long as an unused function stays watched
STRANGERS = (
    VirtualReactor, VirtualProcess, DelayedCall, HolderNode, Region, Session, hollow.Workers, hollow.Roster,
    hollow.HollowDispatcher, hollow.HollowTransport,
)  # fmt: skip


class Costs(Struct, frozen=True):
    """What one dispatcher costs, a second."""

    state: int  # bytes
    known: int  # instances
    functions: int
    control: float  # cores
    bytes_in: float
    lookup_seconds: list[float]  # seconds
    served: float  # part of the calls that were ok


def play(
    made: hollow.HollowDispatcher,
    change: Callable[[RosterEntry], object],
    caller: Caller,
    life: Iterator[RosterEntry],
    rate: float,
    seconds: float,
) -> None:
    """Calls by chance at the caller's rate, changes evenly at theirs."""
    wanted = [(at, True) for at in caller.times(seconds)]
    wanted += [(number / rate, False) for number in range(int(rate * seconds))]
    began = made.reactor.seconds()
    for at, is_call in sorted(wanted):
        made.reactor.run(began + at)
        if is_call:
            made.call(caller.function())
        else:
            change(next(life))
    made.reactor.run(began + seconds)


def calls_alone(given: Assumptions, seed: int) -> float:
    """Processor seconds of one call that needs nothing of control."""
    made = hollow.HollowDispatcher(hollow.entries(FEW), seed, given.target.dispatchers_per_region)
    made.load_full_list()
    caller = Caller(given, seed)
    functions = [caller.function() for _ in range(int(caller.rate))]

    def second() -> None:
        for function in functions:
            made.call(function)
            made.run(1 / caller.rate)

    second()
    return measuring.processor_seconds(second, 3).median / len(functions)


def with_directory(
    instances: int, life_seconds: float, seed: int, given: Assumptions, reach: int | None = None
) -> Costs:
    target = given.target
    region = region_of(instances, 1, seed, given)
    idle, count = f"{given.directory.watch_idle_seconds:g} s", given.prefix
    made = DirectoryDispatcher(region, seed, target.dispatchers_per_region, 0, idle=idle, first_count=count)
    caller, life = Caller(given, seed, reach=reach), lives(instances)
    rate = given.instance_changes_per_second(instances)
    play(made, region.change, caller, life, rate, life_seconds)
    (holder,) = region.holders.values()
    made.lookup_seconds.clear()
    before = holder.processor, made.directory.bytes_in, made.count
    answered = dict(made.answers)
    spent = measuring.processor_seconds(lambda: play(made, region.change, caller, life, rate, SECONDS), 1)
    calls = made.count - before[2]
    control = spent.median - (holder.processor - before[0]) - calls * calls_alone(given, seed)
    return Costs(
        state=measuring.deep_size(made.edge, STRANGERS),
        known=len(made.edge.known_workers.known),
        functions=len(made.edge.directory.watcher.functions),
        control=control / SECONDS,
        bytes_in=(made.directory.bytes_in - before[1]) / SECONDS,
        lookup_seconds=list(made.lookup_seconds),
        served=served_since(made, answered),
    )


def with_list(instances: int, life_seconds: float, seed: int, given: Assumptions) -> Costs:
    target = given.target
    made = hollow.HollowDispatcher(hollow.entries(instances), seed, target.dispatchers_per_region)
    made.load_full_list()
    roster = made.roster
    caller, life, rate = Caller(given, seed), lives(instances), given.instance_changes_per_second(instances)
    play(made, roster.send_update, caller, life, rate, life_seconds)
    before = roster.traffic.bytes_in, made.count
    answered = dict(made.answers)
    spent = measuring.processor_seconds(
        lambda: play(made, roster.send_update, caller, life, rate, SECONDS), 1
    )
    calls = made.count - before[1]
    return Costs(
        state=measuring.deep_size(made.edge, STRANGERS),
        known=len(made.edge.known_workers.known),
        functions=len(made.edge.host.registry.functions),
        control=(spent.median - calls * calls_alone(given, seed)) / SECONDS,
        bytes_in=(roster.traffic.bytes_in - before[0]) / SECONDS,
        lookup_seconds=[],
        served=served_since(made, answered),
    )


def served_since(made: hollow.HollowDispatcher, before: dict[str, int]) -> float:
    """The part of the answers since then that were ok."""
    since = {verdict: count - before[verdict] for verdict, count in made.answers.items()}
    return since["ok"] / max(1, sum(since.values()))


def figures(label: str, costs: Costs, given: Assumptions) -> list[Figure]:
    target = given.target
    made = [
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
            made.append(
                Figure(f"{label}: look-up p{part * 100:g}", latencies, "s", target.cold_start_seconds)
            )
    return made


def both(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """After a short life, the list and the directory at a size that both can play."""
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
    """The directory after the same short life at each size."""
    sizes = (1_000, 4_000) if quick else (10_000, 76_000, 380_000)
    seconds = 2.0 if quick else 6.0
    made = []
    for instances in sizes:
        made += figures(f"{instances:,} instances", with_directory(instances, seconds, seed, given), given)
    return made


def lived(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The directory at a region's size, once functions are let go of as fast as others are looked up; where
    calls of a function reach all dispatchers of the region alike, and where they reach few.
    """
    instances, seconds = (1_000, 4.0) if quick else (given.target.instances_per_region, LIFE)
    few = given.dispatchers_per_function
    made = []
    for label, reach in [("calls reach all", None), (f"calls reach {few}", few)]:
        made += figures(label, with_directory(instances, seconds, seed, given, reach), given)
    return made


class BeforeAndAfter:
    """The role `before-after`: scenes only."""

    name = "before-after"
    text = "the whole dispatcher with the list and with the directory"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()
    scenes = (
        Scene("before and after", "one run, the same calls and changes", both),
        Scene("flat", "the directory at growing sizes of the region", flat),
        Scene("at the target", "the directory at a region's size after two minutes", lived),
    )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError(f"{self.name} has scenes only")


register(BeforeAndAfter())
