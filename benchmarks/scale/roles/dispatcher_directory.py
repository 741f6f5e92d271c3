"""A dispatcher with the directory, which holds prefixes of the functions it calls, at any size of the fleet.

`state_bytes` is the watcher's state, by a recursive `sys.getsizeof`; `processor` is its time for the
directory alone: look-ups, changes, renewals. Before the measurement a dispatcher runs for as long as an
uncalled function stays watched, so that its watches are those of the assumed distribution of calls.
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

FLEET = 5_000  # instances, where another dimension grows
INSTANCES_PER_FUNCTION = 24  # per function in use, so that the prefixes share few instances
SECONDS = 5.0  # simulated time of a measurement
SETTLE_SECONDS = 0.15  # enough for a look-up or the notice of a drain, but before the next renewal
QUICK_INSTANCES = (500, 1_000, 2_000, 4_000)
EXCLUDED_TYPES = (VirtualReactor, HolderNode, Region)  # not part of a watcher


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
                return measure_under_load(size, target.calls_per_dispatcher, changes, seed, given)
            case Dimension.CALLS:
                changes = given.instance_changes_per_second(FLEET)
                return measure_under_load(FLEET, size, changes, seed, given)
            case Dimension.CHANGES:
                return measure_under_load(FLEET, target.calls_per_dispatcher, size, seed, given)
            case Dimension.FUNCTIONS:
                return measure_in_view(size, seed, given)
        raise NotImplementedError(dimension)


def region_of(instances: int, holders: int, seed: int, given: Assumptions) -> Region:
    one_way = round(given.network.in_region_seconds * MICROSECONDS)
    settings = WatcherSettings(
        first_count=given.prefix, idle_timeout=round(given.directory.watch_idle_seconds * SECOND)
    )
    shards = given.directory.shards
    return Region(hollow.entries(instances), holders, shards, seed, one_way, watcher_settings=settings)


def instance_changes(instances: int) -> Iterator[RosterEntry]:
    """Yields changes endlessly: one instance starts, another drains and is gone."""
    for number in count():
        yield hollow.entry(instances + number)
        yield hollow.entry(number, "draining")
        yield hollow.entry(number, "gone")


def measure_under_load(instances: int, calls: float, changes: float, seed: int, given: Assumptions) -> Sample:
    """Measures a dispatcher after a period of calls with the assumed distribution."""
    region = region_of(instances, 1, seed, given)
    node = region.watcher(seed)
    caller, list_changes = Caller(given, seed, rate=calls), instance_changes(instances)
    play(region, node, caller, list_changes, changes, given.directory.watch_idle_seconds)
    return measure_watcher(region, node, caller, list_changes, changes)


def measure_in_view(functions: int, seed: int, given: Assumptions) -> Sample:
    """Measures a dispatcher that watches this many functions and calls none of them."""
    region = region_of(max(FLEET, INSTANCES_PER_FUNCTION * functions), 1, seed, given)
    node = region.watcher(seed)
    for number in range(functions):
        node.call(f"function-{number:06d}")
        region.run(0.002)
    region.run(1.0)
    instances = len(region.listed)
    return measure_watcher(
        region, node, None, instance_changes(instances), given.instance_changes_per_second(instances)
    )


def measure_watcher(
    region: Region,
    node: WatcherNode,
    caller: Caller | None,
    list_changes: Iterator[RosterEntry],
    changes: float,
) -> Sample:
    before = usage(node)
    node.ready.clear()
    play(region, node, caller, list_changes, changes, SECONDS)
    rates = [(after - earlier) / SECONDS for after, earlier in zip(usage(node), before, strict=True)]
    messages_in, messages_out, bytes_in, bytes_out, processor = rates
    figures = {
        "functions watched": float(len(node.watcher.functions)),
        "instances known": float(len(node.watcher.instances.known)),
        "look-ups, a second": len(node.ready) / SECONDS,
        "look-up p50, s": percentile(node.ready, 0.5),
        "look-up p99, s": percentile(node.ready, 0.99),
    }
    return Sample(
        state_bytes=measuring.deep_size(node.watcher, EXCLUDED_TYPES),
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


def usage(node: WatcherNode) -> tuple[float, ...]:
    return node.messages_in, node.messages_out, node.bytes_in, node.bytes_out, node.processor


def play(
    region: Region,
    node: WatcherNode,
    caller: Caller | None,
    list_changes: Iterator[RosterEntry],
    changes: float,
    seconds: float,
) -> None:
    events = [(at, True) for at in caller.times(seconds)] if caller is not None else []
    events += [(number / changes, False) for number in range(int(changes * seconds))]
    started_at = region.reactor.seconds()
    for at, is_call in sorted(events):
        region.reactor.run(started_at + at)
        if is_call and caller is not None:
            node.call(caller.function())
        else:
            region.change(next(list_changes))
    region.reactor.run(started_at + seconds)


def steps_of(region: Region, node: WatcherNode) -> measuring.Steps:
    """Steps of the dispatcher for one look-up, and for the notice that one of the found instances drains."""
    function = "function-counted"
    with node.hold_lines() as held:
        call_steps = measuring.count_steps(lambda: node.call(function))
        region.run(SETTLE_SECONDS)
    reply_steps = measuring.count_steps(lambda: node.deliver_held(held))
    entry = region.listed[node.watcher.functions[function].names[0]]
    with node.hold_lines() as held:
        region.change(structs.replace(entry, listing="draining"))
        region.run(SETTLE_SECONDS)
    drain_steps = measuring.count_steps(lambda: node.deliver_held(held))
    return measuring.Steps(
        call_steps.instructions + reply_steps.instructions + drain_steps.instructions,
        max(call_steps.peak_bytes, reply_steps.peak_bytes, drain_steps.peak_bytes),
    )


register(DispatcherWithDirectory())
