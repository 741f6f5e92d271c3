"""The directory under failures: a restart of a zone's dispatchers, the loss of a holder, a cut-off region.

Watchers and holders run the production state machines in virtual time; a holder is busy for as long as its
work took on this machine. Sizes are among the figures; those at the target are extrapolated from them.
"""

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.calls import Caller, percentile
from benchmarks.scale.directory_fleet import HolderNode, Region, WatcherNode, to_ticks
from benchmarks.scale.roles import register
from benchmarks.scale.roles.dispatcher_directory import region_of
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.directory.connection_state import HolderConnection
from lapistrestle.directory.shard_holder import UNCHANGED_COST

CUT_SECONDS = 20.0  # seconds without the roster
FOLLOW_SECONDS = 10.0  # observation time after the loss of a holder
LOOKUPS_PER_SECOND = 4_000  # by all dispatchers, below the holders' admission rate
SETTLE_TIMEOUT = 20.0  # until every function must be watched
CHECK_INTERVAL = 0.25  # seconds between two checks


def calls_of(
    nodes: list[WatcherNode], given: Assumptions, seed: int, seconds: float, reach: int | None = None
) -> list[tuple[float, int, str]]:
    """Every call of every dispatcher as (seconds from now, dispatcher, function), in order of time."""
    calls = []
    for number, _ in enumerate(nodes):
        caller = Caller(given, seed * 10_000 + number, reach=reach)
        calls += [(at, number, caller.function()) for at in caller.times(seconds)]
    return sorted(calls)


def play(
    region: Region, nodes: list[WatcherNode], calls: list[tuple[float, int, str]], seconds: float
) -> None:
    began = region.reactor.seconds()
    for at, number, function in calls:
        region.reactor.run(began + at)
        nodes[number].call(function)
    region.reactor.run(began + seconds)


def max_utilization(region: Region, before: dict[int, float], seconds: float) -> float:
    """The utilization of the busiest holder."""
    spent = [node.processor - before[number] for number, node in enumerate(region.holders.values())]
    return max(spent) / seconds


def zone_restart(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """A restart of a zone, with calls of each function spread over all dispatchers."""
    return measure_zone_restart(seed, given, quick, None)


def zone_restart_of_few(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """A restart of a zone, with calls of each rarely called function at few dispatchers."""
    return measure_zone_restart(seed, given, quick, given.dispatchers_per_function)


def measure_zone_restart(seed: int, given: Assumptions, quick: bool, reach: int | None) -> list[Figure]:
    """All dispatchers of a zone start at once without state, while those of the region's other zones run."""
    share = 20 if quick else 1
    instances = given.target.instances_per_region // share
    cold = given.target.dispatchers_per_zone // share
    others = given.target.dispatchers_per_region // share - cold
    holders = given.directory.holders_per_region
    region = region_of(instances, holders, seed, given)
    steady = [region.watcher(number) for number in range(others)]
    for number, node in enumerate(steady):
        for rank in range(given.directory.shards * 2):  # enough to connect to every shard
            node.call(f"function-{rank:06d}")
        if number % 20 == 0:
            region.run(0.05)
    region.run(3.0)
    seconds = 2.0 if quick else 4.0
    nodes = [region.watcher(others + number) for number in range(cold)]
    calls = calls_of(nodes, given, seed, seconds, reach)
    before = {number: node.processor for number, node in enumerate(region.holders.values())}
    began = region.reactor.seconds()
    play(region, nodes, calls, seconds)
    region.run(1.0)
    latencies = [latency for node in nodes for latency in node.ready]
    failed = [at - began for node in nodes for at, _ in node.failed]
    known_calls = sum(node.known_calls for node in nodes)
    waited = len(calls) - known_calls
    return [
        Figure("instances", instances, "instances"),
        Figure("dispatchers that start", cold, "dispatchers"),
        Figure("dispatchers beside them", others, "dispatchers"),
        Figure("holders", holders, "processes"),
        Figure("calls in the first seconds", len(calls), "calls"),
        Figure("look-ups answered", len(latencies), "look-ups"),
        Figure("look-ups failed", len(failed), "look-ups"),
        Figure("part of the calls that waited for a look-up", waited / len(calls), "part"),
        Figure("part of the calls whose look-up failed, at least", len(failed) / len(calls), "part"),
        Figure("last failed look-up after", max(failed, default=0.0), "s"),
        Figure("look-up p50", percentile(latencies, 0.5), "s"),
        Figure("look-up p99", percentile(latencies, 0.99), "s", given.target.cold_start_seconds),
        Figure("busiest holder", max_utilization(region, before, seconds + 1.0), "cores", 1.0),
        Figure("bytes to one dispatcher", sum(n.bytes_in for n in nodes) / cold / seconds, "bytes/s"),
    ]


def lost_copy(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """One of a region's holders is killed; its watchers switch to others and watch their functions there."""
    dispatchers, functions = (12, 60) if quick else (60, 500)
    holders = given.directory.holders_per_region
    region = region_of(given.target.instances_per_region // (20 if quick else 1), holders, seed, given)
    nodes = [region.watcher(number) for number in range(dispatchers)]
    watch_all(region, nodes, functions)
    dead = max(region.holders.values(), key=lambda holder: watches_at(nodes, holder))
    moved = watches_at(nodes, dead)
    died = region.reactor.seconds()
    dead.kill()
    for node in nodes:
        node.ready.clear()
        node.failed.clear()
    watched = [frozenset(node.watcher.functions) for node in nodes]
    calls = calls_of(nodes, given, seed, FOLLOW_SECONDS)
    gap, next_check = 0.0, CHECK_INTERVAL
    for at, number, function in calls:
        if at > next_check:
            next_check += CHECK_INTERVAL
            gap = at if has_unwatched(nodes, watched) else gap
        region.reactor.run(died + at)
        nodes[number].call(function)
    latencies = [latency for node in nodes for latency in node.ready]
    failed = sum(len(node.failed) for node in nodes)
    rate = holder_rate(region) * (holders - 1)
    in_view = given.functions_in_view(given.directory.watch_idle_seconds)
    at_target = given.target.dispatchers_per_region * in_view / holders / rate
    return [
        Figure("dispatchers", dispatchers, "dispatchers"),
        Figure("functions watched by each", functions, "functions"),
        Figure("watches of the lost copy", moved, "watches"),
        Figure("until every function is watched again, within a quarter", gap + CHECK_INTERVAL, "s"),
        Figure("the same at the target, worked out", at_target, "s", 1.0),
        Figure("look-ups answered meanwhile", len(latencies), "look-ups"),
        Figure("look-ups failed meanwhile", failed, "look-ups"),
        Figure("look-up p50", percentile(latencies, 0.5), "s"),
        Figure("look-up p99", percentile(latencies, 0.99), "s", given.target.cold_start_seconds),
    ]


def watch_all(region: Region, nodes: list[WatcherNode], functions: int) -> None:
    """Every dispatcher calls the same functions, at the rate that the holders admit."""
    for rank in range(functions):
        for node in nodes:
            node.call(f"function-{rank:06d}")
        region.run(len(nodes) / LOOKUPS_PER_SECOND)
    wait_until_watched(region, nodes, SETTLE_TIMEOUT)


def watches_at(nodes: list[WatcherNode], holder: HolderNode) -> int:
    """The number of watches that these dispatchers have at a holder."""
    return sum(len(connection.watches) for node in nodes for connection in of_holder(node, holder))


def of_holder(node: WatcherNode, holder: HolderNode) -> list[HolderConnection]:
    linked = [number for number, (at, _) in node.links.items() if at is holder]
    return [node.watcher.connections[number] for number in linked if number in node.watcher.connections]


def holder_rate(region: Region) -> float:
    """Watches per second that one holder admits from watchers that already have the prefix."""
    node = next(iter(region.holders.values()))
    return node.holder.settings.snapshot_rate / UNCHANGED_COST


def has_unwatched(nodes: list[WatcherNode], watched: list[frozenset[str]]) -> bool:
    """Whether any function that was watched is currently not watched."""
    pairs = zip(nodes, watched, strict=True)
    return any(
        node.watcher.functions[name].watch < 0
        for node, names in pairs
        for name in names
        if name in node.watcher.functions
    )


def wait_until_watched(region: Region, nodes: list[WatcherNode], limit: float) -> None:
    """Runs until every function is watched, for at most `limit` seconds."""
    ends = region.reactor.seconds() + limit
    while region.reactor.seconds() < ends:
        if not has_unwatched(nodes, [frozenset(node.watcher.functions) for node in nodes]):
            return
        region.run(CHECK_INTERVAL)


def regions_apart(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The roster is cut off from all holders of a region, as if it were in another region."""
    dispatchers, functions = (6, 50) if quick else (30, 400)
    region = region_of(
        given.target.instances_per_region // 20, given.directory.holders_per_region, seed, given
    )
    nodes = [region.watcher(number) for number in range(dispatchers)]
    watch_all(region, nodes, functions)
    region.run(2.0)
    calm = traffic(region, nodes, 5.0)
    for holder in region.holders.values():
        holder.roster = None
        holder.enqueue(holder.holder.roster_lost, to_ticks(region.reactor))
    cut = traffic(region, nodes, CUT_SECONDS)
    for node in nodes:
        node.ready.clear()
        node.failed.clear()
        node.call(f"function-unknown-{node.watcher.name}")
    region.run(1.0)
    latencies = [latency for node in nodes for latency in node.ready]
    budget = given.target.control_bytes_per_second
    return [
        Figure("dispatchers", dispatchers, "dispatchers"),
        Figure("functions watched by each", functions, "functions"),
        Figure("bytes to one dispatcher when calm", calm, "bytes/s", budget),
        Figure("bytes to one dispatcher when cut off", cut, "bytes/s", budget),
        Figure("bytes for each watched function when cut off", (cut - calm) / functions, "bytes/s"),
        Figure("new functions looked up when cut off", len(latencies) / dispatchers, "part"),
        Figure("look-up p99 when cut off", percentile(latencies, 0.99), "s", given.target.cold_start_seconds),
    ]


def traffic(region: Region, nodes: list[WatcherNode], seconds: float) -> float:
    """Bytes per second to one dispatcher, on average."""
    before = sum(node.bytes_in for node in nodes)
    region.run(seconds)
    return (sum(node.bytes_in for node in nodes) - before) / len(nodes) / seconds


class DirectoryFailures:
    """The role `directory-failures`, with scenarios only."""

    name = "directory-failures"
    text = "the directory through failures"
    sweeps: tuple[Sweep, ...] = ()
    budgets: tuple[Budget, ...] = ()
    scenes = (
        Scene("a zone restarts", "all dispatchers of a zone start at once", zone_restart),
        Scene(
            "a zone restarts, calls reach few", "the same, few dispatchers a function", zone_restart_of_few
        ),
        Scene("a copy is lost", "one of a region's holders dies", lost_copy),
        Scene("regions apart", "the roster is cut off from a region's holders", regions_apart),
    )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        raise NotImplementedError(f"{self.name} has scenes only")


register(DirectoryFailures())
