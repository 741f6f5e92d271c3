"""A dispatcher without a directory, which subscribes to a roster and holds every instance of its region.

`state_bytes` is that of the edge with all connections open, without that of the hollow peers. `processor` is
for control alone: applying changes of the list at the rate given by the life of an instance. Functions in
use, calls and changes are swept at `FLEET` instances.
"""

from functools import cache
from itertools import count

from msgspec import structs

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.deployment.schema import Listen

FLEET = 500  # instances, where another dimension grows
REGION_INSTANCES = 125  # instances, where regions grow
IN_VIEW = 20  # functions in use, where another dimension grows
WARM_UP = 2.0  # simulated seconds until first calls are answered
REPEATS = 3  # functions and repeats in the scenario of the full list
MODULE_IDLE = 9.0  # seconds without a call until the module forgets a function, by the settings of `hollow`
TRAFFIC_REPEATS = 2
CONTROL = (
    Dimension.INSTANCES,
    Dimension.FUNCTIONS,
    Dimension.CHANGES,
    Dimension.REGIONS,
    Dimension.DISPATCHERS,
)


def whole_list(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The list at the target with a few functions in use, and the extrapolated state of all functions."""
    instances = given.target.instances_per_region // (19 if quick else 1)
    dispatchers = given.target.dispatchers_per_region
    dispatcher, state = measuring.build_measured(lambda: connected_dispatcher(instances, seed, dispatchers))
    numbers = count()
    names, held = measuring.build_measured(
        lambda: [bring_into_view(dispatcher, seed, next(numbers)) for _ in range(REPEATS)]
    )
    first = measuring.processor_seconds(lambda: dispatcher.call(f"function-{seed}-{next(numbers)}"), REPEATS)
    dispatcher.run(WARM_UP)
    instance = count(instances)
    change = measuring.processor_seconds(
        lambda: dispatcher.roster.send_update(hollow.entry(next(instance))), REPEATS
    )
    dispatcher.run(WARM_UP)
    warm = measuring.processor_seconds(lambda: dispatcher.call(f"function-{seed}-0"), REPEATS)
    changes = given.instance_changes_per_second(instances)
    in_view = given.functions_in_view(MODULE_IDLE)
    target = given.target
    each = held / len(names)
    return [
        Figure("instances", instances, "instances"),
        Figure("state without functions", state, "bytes", target.control_bytes),
        Figure("one function in view", each, "bytes"),
        Figure("functions in view", in_view, "functions"),
        Figure("state with all of them, worked out", state + in_view * each, "bytes", target.control_bytes),
        Figure(
            "first call of a function", first.median, "s", target.cold_start_seconds, first.low, first.high
        ),
        Figure("warm call", warm.median, "s", None, warm.low, warm.high),
        Figure("calls, worked out", warm.median * target.calls_per_dispatcher, "cores"),
        Figure("change of the list", change.median, "s", None, change.low, change.high),
        Figure("changes", changes, "changes/s"),
        Figure("changes, worked out", changes * change.median, "cores", target.control_cores),
        Figure("whole list, one line", dispatcher.roster.snapshot_bytes, "bytes", Listen().longest_line),
        Figure("connections to instances", len(dispatcher.edge.runners), "connections"),
    ]


def bring_into_view(dispatcher: hollow.HollowDispatcher, seed: int, number: int) -> str:
    """Calls a new function and waits for the answer; returns its name."""
    name = f"function-{seed}-{number}"
    dispatcher.call(name)
    dispatcher.run(0.02)
    dispatcher.clear_latencies()
    return name


class DispatcherWithList:
    """The role `dispatcher-list`."""

    name = "dispatcher-list"
    text = "a dispatcher that holds every instance of its region"
    sweeps = (
        Sweep(
            Dimension.INSTANCES, (1_250, 2_500, 5_000, 10_000), 40_000, 76_000, (125, 250, 500, 1_000), 4_000
        ),
        Sweep(Dimension.FUNCTIONS, (10, 20, 40, 80), 320, 398, (5, 10, 20, 40), 80),
        Sweep(Dimension.CALLS, (25, 50, 100, 200), 800, 141, (25, 50, 100, 200), 400),
        Sweep(Dimension.CHANGES, (2, 4, 8, 16), 64, 11, (2, 4, 8, 16), 32),
        Sweep(Dimension.DISPATCHERS, (48, 97, 195, 390), 3_900, 3_900, (48, 97, 195, 390), 780),
        Sweep(Dimension.REGIONS, (1, 2, 4, 8), 16, 5),
    )
    budgets = (
        Budget("state_bytes", 64e6, "64 MB of a dispatcher's memory for control"),
        Budget("processor", 0.015, "1.5% of a core for control", CONTROL),
        Budget("bytes_in", 8_000.0, "8 KB a second for control"),
        Budget("first call, s", 0.63, "a cold start within 0.63 s, of which this is only the look-up"),
        Budget("warm call, s", 0.00709, "141 calls a second keep one core busy"),
        Budget("whole list, bytes", 64 * 1024 * 1024, "the longest line that settings allow"),
    )
    scenes = (Scene("a region's whole list", "all instances of one region, none of another", whole_list),)

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        match dimension:
            case Dimension.INSTANCES:
                return by_instances(size, seed, assumptions.target.dispatchers_per_region, assumptions)
            case Dimension.REGIONS:
                return by_instances(
                    FLEET * size, seed, assumptions.target.dispatchers_per_region, assumptions
                )
            case Dimension.DISPATCHERS:
                return by_instances(FLEET, seed, size, assumptions)
            case Dimension.FUNCTIONS:
                return by_functions(size, seed, assumptions)
            case Dimension.CALLS:
                return by_traffic(size, 0, seed, assumptions)
            case Dimension.CHANGES:
                return by_changes(size, seed, assumptions)


def connected_dispatcher(instances: int, seed: int, dispatchers: int) -> hollow.HollowDispatcher:
    """A dispatcher with the full list and all connections open."""
    dispatcher = hollow.HollowDispatcher(hollow.entries(instances), seed, dispatchers, seed % dispatchers)
    dispatcher.load_full_list()
    dispatcher.roster.entries = []
    return dispatcher


def by_instances(instances: int, seed: int, dispatchers: int, given: Assumptions) -> Sample:
    """Measures state, and the costs of a first call, a change of the list, a call after it, a warm call."""
    dispatcher, state = measuring.build_measured(lambda: connected_dispatcher(instances, seed, dispatchers))
    numbers = count()
    first = measuring.processor_seconds(lambda: dispatcher.call(f"function-{seed}-{next(numbers)}"))
    dispatcher.run(WARM_UP)
    numbers = count(instances)
    change = measuring.processor_seconds(lambda: dispatcher.roster.send_update(hollow.entry(next(numbers))))
    dispatcher.run(WARM_UP)
    after_change = measuring.processor_seconds(lambda: call_after_change(dispatcher, seed, numbers))
    dispatcher.run(WARM_UP)
    warm = measuring.processor_seconds(lambda: dispatcher.call(f"function-{seed}-1"))
    dispatcher.run(WARM_UP)
    steps = measuring.count_steps(lambda: control_steps(dispatcher, seed, numbers))
    changes = given.instance_changes_per_second(instances)
    bytes_of_change = dispatcher.roster.send_update(hollow.entry(next(numbers)))
    return Sample(
        state_bytes=state,
        messages_in=changes,
        bytes_in=changes * bytes_of_change,
        processor=changes * change.median,
        processor_low=changes * change.low,
        processor_high=changes * change.high,
        steps=steps.instructions,
        messages=1,
        figures={
            "first call, s": first.median,
            "change of the list, s": change.median,
            "call after a change, s": max(0.0, after_change.median - change.median),
            "warm call, s": warm.median,
            "bytes copied by a first call and a change": steps.peak_bytes,
            "whole list, bytes": dispatcher.roster.snapshot_bytes,
        },
    )


def call_after_change(dispatcher: hollow.HollowDispatcher, seed: int, numbers: "count[int]") -> None:
    dispatcher.roster.send_update(hollow.entry(next(numbers)))
    dispatcher.call(f"function-{seed}-0")


def control_steps(dispatcher: hollow.HollowDispatcher, seed: int, numbers: "count[int]") -> None:
    """One first call and one change of the list."""
    dispatcher.call(f"function-{seed}-counted")
    dispatcher.roster.send_update(hollow.entry(next(numbers)))


def by_functions(functions: int, seed: int, given: Assumptions) -> Sample:
    """Measures what functions in use add to a dispatcher that knows `FLEET` instances."""
    dispatcher = connected_dispatcher(FLEET, seed, given.target.dispatchers_per_region)

    _, state = measuring.build_measured(
        lambda: [bring_into_view(dispatcher, seed, number) for number in range(functions)]
    )
    numbers = count(FLEET)
    change = measuring.processor_seconds(lambda: dispatcher.roster.send_update(hollow.entry(next(numbers))))
    dispatcher.run(WARM_UP)
    steps = measuring.count_steps(lambda: dispatcher.roster.send_update(hollow.entry(next(numbers))))
    changes = given.instance_changes_per_second(FLEET)
    return Sample(
        state_bytes=state,
        processor=changes * change.median,
        processor_low=changes * change.low,
        processor_high=changes * change.high,
        steps=steps.instructions,
        figures={"one function, bytes": state / functions},
    )


@cache
def calls_alone(calls: int, seed: int, given: Assumptions) -> Sample:
    """Measures calls without changes, once per seed."""
    return by_traffic(calls, 0, seed, given)


def by_changes(changes: int, seed: int, given: Assumptions) -> Sample:
    """The cost of changes of the list: the target's calls with them, minus the same calls without them."""
    calls = round(given.target.calls_per_dispatcher)
    with_, without = by_traffic(calls, changes, seed, given), calls_alone(calls, seed, given)
    return structs.replace(
        with_,
        processor=max(0.0, with_.processor - without.processor),
        processor_low=max(0.0, with_.processor_low - without.processor_high),
        processor_high=with_.processor_high - without.processor_low,
        steps=with_.steps - without.steps,
    )


def by_traffic(calls: int, changes: int, seed: int, given: Assumptions, seconds: float = 1.0) -> Sample:
    """Measures calls per second over `IN_VIEW` warm functions, with changes of the list among them."""
    dispatcher = connected_dispatcher(FLEET, seed, given.target.dispatchers_per_region)
    for number in range(IN_VIEW):
        dispatcher.call(f"function-{seed}-{number}")
    dispatcher.run(WARM_UP)
    before = (dispatcher.roster.traffic.messages_in, dispatcher.roster.traffic.bytes_in)

    def play() -> None:
        traffic(dispatcher, calls, changes, seed, seconds)

    spent = measuring.processor_seconds(play, TRAFFIC_REPEATS)
    messages = (dispatcher.roster.traffic.messages_in - before[0]) // TRAFFIC_REPEATS
    size = (dispatcher.roster.traffic.bytes_in - before[1]) / TRAFFIC_REPEATS
    steps = measuring.count_steps(lambda: traffic(dispatcher, calls, changes, seed, seconds / 4))
    return Sample(
        state_bytes=0,
        messages_in=messages / seconds,
        bytes_in=size / seconds,
        processor=spent.median / seconds,
        processor_low=spent.low / seconds,
        processor_high=spent.high / seconds,
        steps=steps.instructions,
        messages=messages,
        simulated_seconds=seconds,
    )


def traffic(dispatcher: hollow.HollowDispatcher, calls: int, changes: int, seed: int, seconds: float) -> None:
    """Runs evenly spaced calls and changes, in order of time."""
    dispatcher.clear_latencies()
    numbers = count(FLEET + dispatcher.roster.number)
    events = [(i / calls, "call") for i in range(int(calls * seconds))]
    events += [(i / changes, "change") for i in range(int(changes * seconds))] if changes else []
    started_at = dispatcher.reactor.seconds()
    for number, (after, kind) in enumerate(sorted(events)):
        dispatcher.reactor.run(started_at + after)
        if kind == "call":
            dispatcher.call(f"function-{seed}-{number % IN_VIEW}")
        else:
            dispatcher.roster.send_update(hollow.entry(next(numbers)))


register(DispatcherWithList())
