"""A dispatcher as it is without a directory: it follows a roster and holds every instance of its region.

`state_bytes` is the whole edge with all its connections greeted, less what the hollow parts hold. `processor`
is for control alone: taking changes of the list at the rate that the life of an instance gives. Functions in
view, calls and changes are swept at `FLEET` instances.
"""

from functools import cache
from itertools import count

from msgspec import structs

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.deployment.schema import Listen

FLEET = 500  # instances, where something else grows
OF_A_REGION = 125  # instances, where regions grow
IN_VIEW = 20  # functions, where something else grows
WARM_UP = 2.0  # simulated seconds until first calls have their answers
VIEWED = 3  # functions and repeats in the scene of the whole list
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
    """The list at the target, a few functions in view, and what all functions in view would add."""
    instances = given.target.instances_per_region // (19 if quick else 1)
    dispatchers = given.target.dispatchers_per_region
    made, state = measuring.build_measured(lambda: learnt(instances, seed, dispatchers))
    numbers = count()
    names, held = measuring.build_measured(lambda: [view(made, seed, next(numbers)) for _ in range(VIEWED)])
    first = measuring.processor_seconds(lambda: made.call(f"function-{seed}-{next(numbers)}"), VIEWED)
    made.run(WARM_UP)
    instance = count(instances)
    change = measuring.processor_seconds(
        lambda: made.roster.send_update(hollow.entry(next(instance))), VIEWED
    )
    made.run(WARM_UP)
    warm = measuring.processor_seconds(lambda: made.call(f"function-{seed}-0"), VIEWED)
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
        Figure("whole list, one line", made.roster.snapshot_bytes, "bytes", Listen().longest_line),
        Figure("connections to instances", len(made.edge.runners), "connections"),
    ]


def view(made: hollow.HollowDispatcher, seed: int, number: int) -> str:
    """A function comes into view, and its answer back."""
    name = f"function-{seed}-{number}"
    made.call(name)
    made.run(0.02)
    made.clear_latencies()
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


def learnt(instances: int, seed: int, dispatchers: int) -> hollow.HollowDispatcher:
    """A dispatcher that has the whole list, all connections up."""
    made = hollow.HollowDispatcher(hollow.entries(instances), seed, dispatchers, seed % dispatchers)
    made.load_full_list()
    made.roster.entries = []
    return made


def by_instances(instances: int, seed: int, dispatchers: int, given: Assumptions) -> Sample:
    """State, and the cost of a first call, a change of the list, a call after it, and a warm call."""
    made, state = measuring.build_measured(lambda: learnt(instances, seed, dispatchers))
    numbers = count()
    first = measuring.processor_seconds(lambda: made.call(f"function-{seed}-{next(numbers)}"))
    made.run(WARM_UP)
    numbers = count(instances)
    change = measuring.processor_seconds(lambda: made.roster.send_update(hollow.entry(next(numbers))))
    made.run(WARM_UP)
    after_change = measuring.processor_seconds(lambda: call_after_change(made, seed, numbers))
    made.run(WARM_UP)
    warm = measuring.processor_seconds(lambda: made.call(f"function-{seed}-1"))
    made.run(WARM_UP)
    steps = measuring.count_steps(lambda: control_steps(made, seed, numbers))
    changes = given.instance_changes_per_second(instances)
    bytes_of_change = made.roster.send_update(hollow.entry(next(numbers)))
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
            "whole list, bytes": made.roster.snapshot_bytes,
        },
    )


def call_after_change(made: hollow.HollowDispatcher, seed: int, numbers: "count[int]") -> None:
    made.roster.send_update(hollow.entry(next(numbers)))
    made.call(f"function-{seed}-0")


def control_steps(made: hollow.HollowDispatcher, seed: int, numbers: "count[int]") -> None:
    """One first call and one change of the list."""
    made.call(f"function-{seed}-counted")
    made.roster.send_update(hollow.entry(next(numbers)))


def by_functions(functions: int, seed: int, given: Assumptions) -> Sample:
    """What functions in view add to a dispatcher that knows `FLEET` instances."""
    made = learnt(FLEET, seed, given.target.dispatchers_per_region)

    _, state = measuring.build_measured(lambda: [view(made, seed, number) for number in range(functions)])
    numbers = count(FLEET)
    change = measuring.processor_seconds(lambda: made.roster.send_update(hollow.entry(next(numbers))))
    made.run(WARM_UP)
    steps = measuring.count_steps(lambda: made.roster.send_update(hollow.entry(next(numbers))))
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
    """Calls without a change, played once for each seed."""
    return by_traffic(calls, 0, seed, given)


def by_changes(changes: int, seed: int, given: Assumptions) -> Sample:
    """What changes of the list cost beside the calls of the target: with them, less without them."""
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
    """Calls a second over `IN_VIEW` warm functions, with changes of the list among them."""
    made = learnt(FLEET, seed, given.target.dispatchers_per_region)
    for number in range(IN_VIEW):
        made.call(f"function-{seed}-{number}")
    made.run(WARM_UP)
    before = (made.roster.traffic.messages_in, made.roster.traffic.bytes_in)

    def play() -> None:
        traffic(made, calls, changes, seed, seconds)

    spent = measuring.processor_seconds(play, TRAFFIC_REPEATS)
    messages = (made.roster.traffic.messages_in - before[0]) // TRAFFIC_REPEATS
    size = (made.roster.traffic.bytes_in - before[1]) / TRAFFIC_REPEATS
    steps = measuring.count_steps(lambda: traffic(made, calls, changes, seed, seconds / 4))
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


def traffic(made: hollow.HollowDispatcher, calls: int, changes: int, seed: int, seconds: float) -> None:
    """Calls and changes evenly over the time, in one order of time."""
    made.clear_latencies()
    numbers = count(FLEET + made.roster.number)
    wanted = [(i / calls, "call") for i in range(int(calls * seconds))]
    wanted += [(i / changes, "change") for i in range(int(changes * seconds))] if changes else []
    began = made.reactor.seconds()
    for number, (after, what) in enumerate(sorted(wanted)):
        made.reactor.run(began + after)
        if what == "call":
            made.call(f"function-{seed}-{number % IN_VIEW}")
        else:
            made.roster.send_update(hollow.entry(next(numbers)))


register(DispatcherWithList())
