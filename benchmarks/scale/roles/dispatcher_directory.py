"""A dispatcher with the directory: it holds prefixes of the functions it calls, whatever the fleet's size.

`state_bytes` is what the watcher holds, by a recursive `sys.getsizeof`; `processor` is what it spends on the
directory alone: look-ups, changes, renewals. Before it is measured a dispatcher lives for as long as a
function that is not called stays watched, so that it watches what the assumed spread of calls gives.
"""

from collections.abc import Iterator
from itertools import count

from msgspec import structs

from benchmarks.scale import hollow, measuring
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.calls import Caller, percentile
from benchmarks.scale.directory_fleet import MICROSECONDS, HolderNode, Region, WatcherNode
from benchmarks.scale.roles import register
from benchmarks.scale.samples import Budget, Dimension, Sample, Scene, Sweep
from lapistrestle.directory.effects import WatcherSettings
from lapistrestle.standins.virtual import VirtualReactor
from lapistrestle.ticks import SECOND
from lapistrestle.wire.messages import RosterEntry

FLEET = 5_000  # instances, where something else grows
MOST_PER_FUNCTION = 24  # instances for each function in view, so that their prefixes have little in common
SECONDS = 5.0  # simulated and measured
SETTLED = 0.15  # seconds in which a look-up and word of a drain arrive, no renewal among them
QUICK_INSTANCES = (500, 1_000, 2_000, 4_000)
STRANGERS = (VirtualReactor, HolderNode, Region)  # no part of a watcher


class DispatcherWithDirectory:
    """The role `dispatcher-directory`."""

    name = "dispatcher-directory"
    text = "a dispatcher that watches the functions it calls"
    sweeps = (
        Sweep(Dimension.INSTANCES, (9_500, 19_000, 38_000, 76_000), 380_000, 380_000, QUICK_INSTANCES, 8_000),
        Sweep(Dimension.FUNCTIONS, (200, 400, 800, 1_600), 6_400, 1_580, (50, 100, 200, 400), 800),
        Sweep(Dimension.CHANGES, (5, 10, 20, 40), 160, 11, (5, 10, 20, 40), 80),
        Sweep(Dimension.CALLS, (35, 70, 140, 280), 1_120, 141, (10, 20, 40, 80), 160),
    )
    budgets = (
        Budget("state_bytes", 64e6, "64 MB of a dispatcher's memory for control"),
        Budget("processor", 0.015, "1.5% of a core for control"),
        Budget("bytes_in", 8_000.0, "8 KB a second for control"),
        Budget("look-up p99, s", 0.63, "a cold start within 0.63 s, of which this is only the look-up"),
    )
    scenes: tuple[Scene, ...] = ()

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        given, target = assumptions, assumptions.target
        match dimension:
            case Dimension.INSTANCES:
                changes = given.instance_changes_per_second(size)
                return lived(size, target.calls_per_dispatcher, changes, seed, given)
            case Dimension.CALLS:
                changes = given.instance_changes_per_second(FLEET)
                return lived(FLEET, size, changes, seed, given)
            case Dimension.CHANGES:
                return lived(FLEET, target.calls_per_dispatcher, size, seed, given)
            case Dimension.FUNCTIONS:
                return viewed(size, seed, given)
        raise NotImplementedError(dimension)


def region_of(instances: int, holders: int, seed: int, given: Assumptions) -> Region:
    one_way = round(given.network.in_region_seconds * MICROSECONDS)
    settings = WatcherSettings(
        first_count=given.prefix, idle_timeout=round(given.directory.watch_idle_seconds * SECOND)
    )
    shards = given.directory.shards
    return Region(hollow.entries(instances), holders, shards, seed, one_way, watcher_settings=settings)


def lives(instances: int) -> Iterator[RosterEntry]:
    """Changes without end: one instance begins, another drains, and goes."""
    for number in count():
        yield hollow.entry(instances + number)
        yield hollow.entry(number, "draining")
        yield hollow.entry(number, "gone")


def lived(instances: int, calls: float, changes: float, seed: int, given: Assumptions) -> Sample:
    """A dispatcher that has lived for a while under calls of the assumed spread."""
    region = region_of(instances, 1, seed, given)
    node = region.watcher(seed)
    caller, life = Caller(given, seed, rate=calls), lives(instances)
    play(region, node, caller, life, changes, given.directory.watch_idle_seconds)
    return measured(region, node, caller, life, changes)


def viewed(functions: int, seed: int, given: Assumptions) -> Sample:
    """A dispatcher with so many functions in view, all of them watched before and none called."""
    region = region_of(max(FLEET, MOST_PER_FUNCTION * functions), 1, seed, given)
    node = region.watcher(seed)
    for number in range(functions):
        node.call(f"function-{number:06d}")
        region.run(0.002)
    region.run(1.0)
    instances = len(region.listed)
    return measured(region, node, None, lives(instances), given.instance_changes_per_second(instances))


def measured(
    region: Region, node: WatcherNode, caller: Caller | None, life: Iterator[RosterEntry], changes: float
) -> Sample:
    before = spent(node)
    node.ready.clear()
    play(region, node, caller, life, changes, SECONDS)
    rates = [(after - earlier) / SECONDS for after, earlier in zip(spent(node), before, strict=True)]
    messages_in, messages_out, bytes_in, bytes_out, processor = rates
    figures = {
        "functions watched": float(len(node.watcher.functions)),
        "instances known": float(len(node.watcher.instances.known)),
        "look-ups, a second": len(node.ready) / SECONDS,
        "look-up p50, s": percentile(node.ready, 0.5),
        "look-up p99, s": percentile(node.ready, 0.99),
    }
    return Sample(
        state_bytes=measuring.deep_size(node.watcher, STRANGERS),
        messages_in=messages_in,
        messages_out=messages_out,
        bytes_in=bytes_in,
        bytes_out=bytes_out,
        processor=processor,
        processor_low=processor,
        processor_high=processor,
        steps=steps_of(region, node).instructions,
        messages=round((messages_in + messages_out) * SECONDS),
        simulated_seconds=SECONDS,
        figures=figures,
    )


def spent(node: WatcherNode) -> tuple[float, ...]:
    return node.messages_in, node.messages_out, node.bytes_in, node.bytes_out, node.processor


def play(
    region: Region,
    node: WatcherNode,
    caller: Caller | None,
    life: Iterator[RosterEntry],
    changes: float,
    seconds: float,
) -> None:
    wanted = [(at, True) for at in caller.times(seconds)] if caller is not None else []
    wanted += [(number / changes, False) for number in range(int(changes * seconds))]
    began = region.reactor.seconds()
    for at, is_call in sorted(wanted):
        region.reactor.run(began + at)
        if is_call and caller is not None:
            node.call(caller.function())
        else:
            region.change(next(life))
    region.reactor.run(began + seconds)


def steps_of(region: Region, node: WatcherNode) -> measuring.Steps:
    """The dispatcher's part of one look-up, and of the news that one of the found instances drains."""
    function = "function-counted"
    with node.hold_lines() as held:
        asked = measuring.count_steps(lambda: node.call(function))
        region.run(SETTLED)
    answered = measuring.count_steps(lambda: node.deliver_held(held))
    entry = region.listed[node.watcher.functions[function].names[0]]
    with node.hold_lines() as held:
        region.change(structs.replace(entry, listing="draining"))
        region.run(SETTLED)
    told = measuring.count_steps(lambda: node.deliver_held(held))
    return measuring.Steps(
        asked.instructions + answered.instructions + told.instructions,
        max(asked.peak_bytes, answered.peak_bytes, told.peak_bytes),
    )


register(DispatcherWithDirectory())
