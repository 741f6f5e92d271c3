"""A shard's holder, with all instances of a region and the watches of the dispatchers connected to this copy.

`state_bytes` is by `tracemalloc` where instances grow and by a recursive `sys.getsizeof` elsewhere.
`processor` is all of the holder's work: lists, look-ups, renewals, changes to watchers, and encoding.
"""

from itertools import count

from benchmarks.scale import measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.directory_fleet import MICROSECONDS, HolderNode, Region, WatcherNode, to_ticks
from benchmarks.scale.roles import register
from benchmarks.scale.roles.dispatcher_directory import instance_changes, region_of
from benchmarks.scale.samples import Budget, Dimension, Sample, Scene, Sweep
from lapistrestle.standins.virtual import VirtualReactor
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import Message, encode

FLEET = 5_000  # instances, where another dimension grows
QUICK_INSTANCES = (500, 1_000, 2_000, 4_000)
SECONDS = 2.0  # simulated time of a measurement
SHARED_NAMES = [
    f"function-{number:06d}" for number in range(100)
]  # watched by all, where the number of watchers grows
WATCH_INTERVAL = 0.0006  # seconds between two new watches; within the holder's admission rate
CHANGES_TIMED = 9
HEARTBEAT = 0.2  # seconds between a watcher's renewals
EXCLUDED_TYPES = (VirtualReactor, Region, WatcherNode)


class LightWatcher:
    """A connection that sends a watcher's messages and discards those it receives, at little cost."""

    def __init__(self, region: Region, holder: HolderNode, number: int) -> None:
        self.region, self.holder, self.number = region, holder, number
        self.watches = count(1)
        self.session = -1
        self.messages_received = 0
        holder.connect(self, 0)  # type: ignore[arg-type]
        region.reactor.schedule(round(number * 7_919 % (HEARTBEAT * MICROSECONDS)), self.renew)

    def after(self, delay: int, call: object, *args: object) -> None:
        """Called by the holder with a message, or once it has accepted the connection."""
        if len(args) == 3:
            self.session = args[2]  # type: ignore[assignment]
        self.messages_received += 1

    def connected(self, *args: object) -> None: ...
    def refused(self, *args: object) -> None: ...
    def connection_lost(self, *args: object) -> None: ...
    def arrive(self, *args: object) -> None: ...

    def renew(self) -> None:
        self.send(wire.Renew(to_ticks(self.region.reactor)))
        self.region.reactor.schedule(round(HEARTBEAT * MICROSECONDS), self.renew)

    def watch(self, function: str, prefix: int) -> None:
        shard = self.region.assignment.shard_of(function)
        self.send(wire.Watch(next(self.watches), shard, 1, function, prefix, "check"))

    def send(self, message: Message) -> None:
        self.holder.arrive(self.session, encode(message) + b"\n")


class ShardHolderRole:
    """The role `shard-holder`."""

    name = "shard-holder"
    text = "a holder with all instances of a region and a third of its dispatchers' watches"
    sweeps = (
        Sweep(Dimension.INSTANCES, (2_375, 4_750, 9_500, 19_000), 76_000, 76_000, QUICK_INSTANCES, 8_000),
        Sweep(
            Dimension.FUNCTIONS,
            (1_000, 2_000, 4_000, 8_000),
            32_000,
            110_000,
            (250, 500, 1_000, 2_000),
            4_000,
        ),
        Sweep(Dimension.DISPATCHERS, (25, 50, 100, 200), 780, 780, (10, 20, 40, 80), 160),
        Sweep(Dimension.CALLS, (100, 200, 400, 800), 1_600, 1_760, (50, 100, 200, 400), 800),
        Sweep(Dimension.CHANGES, (5, 10, 20, 40), 160, 11, (5, 10, 20, 40), 80),
    )
    budgets = (
        Budget("state_bytes", 16e9, "an eighth of one machine's memory"),
        Budget("processor", 0.5, "half of the core that its one thread can use"),
    )
    scenes: tuple[Scene, ...] = ()

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        given = assumptions
        ordinary = given.instance_changes_per_second(FLEET)
        match dimension:
            case Dimension.INSTANCES:
                return measure_instances(size, given.instance_changes_per_second(size), seed, given)
            case Dimension.FUNCTIONS:
                function_groups = [
                    [f"function-{n:06d}" for n in range(first, size, 10)] for first in range(10)
                ]
                return measure_watchers(function_groups, 0, ordinary, seed, given)
            case Dimension.DISPATCHERS:
                return measure_watchers([SHARED_NAMES] * size, 0, ordinary, seed, given)
            case Dimension.CALLS:
                return measure_watchers([SHARED_NAMES] * 50, size, 0, seed, given)
            case Dimension.CHANGES:
                return measure_watchers([SHARED_NAMES] * 50, 0, size, seed, given)
        raise NotImplementedError(dimension)


class SingleHolder:
    """A single holder that handles one event at a time."""

    def __init__(self, region: Region, prefix: int) -> None:
        self.region, self.prefix, self.numbers = region, prefix, count()
        (self.holder,) = region.holders.values()
        self.watcher = LightWatcher(region, self.holder, 0)
        self.list_changes = instance_changes(len(region.listed))
        region.run(0.1)

    def look_up(self) -> None:
        self.watcher.watch(f"function-looked-up-{next(self.numbers)}", self.prefix)
        self.holder.work()

    def change(self) -> None:
        self.region.change(next(self.list_changes))
        self.holder.work()

    def look_up_and_change(self) -> None:
        self.look_up()
        self.change()


def measure_instances(instances: int, changes: float, seed: int, given: Assumptions) -> Sample:
    """Measures the cost of the instances: their state, one look-up among them, one change."""
    region, state = measuring.build_measured(lambda: region_of(instances, 1, seed, given))
    bench = SingleHolder(region, given.prefix)
    look = measuring.processor_seconds(bench.look_up)
    change = measuring.processor_seconds(bench.change, CHANGES_TIMED)
    return Sample(
        state_bytes=state,
        messages_in=changes,
        processor=changes * change.median,
        processor_low=changes * change.low,
        processor_high=changes * change.high,
        steps=measuring.count_steps(bench.look_up_and_change).instructions,
        figures={"look-up, s": look.median, "change, s": change.median},
    )


def measure_watchers(
    watched: list[list[str]], lookups: float, changes: float, seed: int, given: Assumptions
) -> Sample:
    """Measures the cost of watchers: renewals, look-ups per second, and changes sent to them. `watched`: the
    functions of each watcher.
    """
    region = region_of(FLEET, 1, seed, given)
    (holder,) = region.holders.values()
    watchers = [LightWatcher(region, holder, number) for number in range(len(watched))]
    region.run(0.1)
    for watcher, functions in zip(watchers, watched, strict=True):
        for function in functions:
            watcher.watch(function, given.prefix)
            region.run(WATCH_INTERVAL)
    region.run(1.0)
    state = measuring.deep_size(holder.holder, EXCLUDED_TYPES)
    before = usage(holder)
    play(region, watchers, lookups, changes, given.prefix)
    rates = [(after - earlier) / SECONDS for after, earlier in zip(usage(holder), before, strict=True)]
    messages_in, messages_out, bytes_in, bytes_out, processor = rates
    return Sample(
        state_bytes=state,
        messages_in=messages_in,
        messages_out=messages_out,
        bytes_in=bytes_in,
        bytes_out=bytes_out,
        processor=processor,
        processor_low=processor,
        processor_high=processor,
        messages=round((messages_in + messages_out) * SECONDS),
        simulated_seconds=SECONDS,
    )


def play(region: Region, watchers: list[LightWatcher], lookups: float, changes: float, prefix: int) -> None:
    list_changes, numbers = instance_changes(FLEET), count()
    events = [(number / lookups, True) for number in range(int(lookups * SECONDS))]
    events += [(number / changes, False) for number in range(int(changes * SECONDS))]
    started_at = region.reactor.seconds()
    for at, is_lookup in sorted(events):
        region.reactor.run(started_at + at)
        if is_lookup:
            number = next(numbers)
            watchers[number % len(watchers)].watch(f"function-new-{number}", prefix)
        else:
            region.change(next(list_changes))
    region.reactor.run(started_at + SECONDS)


def usage(holder: HolderNode) -> tuple[float, ...]:
    return holder.messages_in, holder.messages_out, holder.bytes_in, holder.bytes_out, holder.processor


register(ShardHolderRole())
