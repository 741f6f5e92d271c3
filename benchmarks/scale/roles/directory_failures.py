"""The directory through failures: a zone of dispatchers back at once, a lost copy, a region cut off.

Watchers and holders are the program's decisions in virtual time; a holder is busy for as long as its work
took this machine. Sizes are stated among the figures; what the target would take is worked out from them.
"""

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.calls import Caller, percentile
from benchmarks.scale.directory_fleet import HolderNode, Region, WatcherNode, to_ticks
from benchmarks.scale.roles import register
from benchmarks.scale.roles.dispatcher_directory import region_of
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.directory.connection_state import HolderConnection
from lapistrestle.directory.shard_holder import UNCHANGED_COST

CUT = 20.0  # seconds without the roster
LEAVES = 10.0  # seconds that a lost copy is followed for
ADMITTED = 4_000  # look-ups a second of all, under what the holders admit
SETTLED = 20.0  # seconds until all must be watched
STEP = 0.25  # seconds between two looks


def calls_of(
    nodes: list[WatcherNode], given: Assumptions, seed: int, seconds: float, reach: int | None = None
) -> list[tuple[float, int, str]]:
    """Every call of every dispatcher, in order of time: after how many seconds, whose, for what."""
    made = []
    for number, _ in enumerate(nodes):
        caller = Caller(given, seed * 10_000 + number, reach=reach)
        made += [(at, number, caller.function()) for at in caller.times(seconds)]
    return sorted(made)


def play(
    region: Region, nodes: list[WatcherNode], calls: list[tuple[float, int, str]], seconds: float
) -> None:
    began = region.reactor.seconds()
    for at, number, function in calls:
        region.reactor.run(began + at)
        nodes[number].call(function)
    region.reactor.run(began + seconds)


def busy(region: Region, before: dict[int, float], seconds: float) -> float:
    """The part of the time that the busiest holder worked."""
    spent = [node.processor - before[number] for number, node in enumerate(region.holders.values())]
    return max(spent) / seconds


def zone_restart(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """Calls of each function reach all dispatchers."""
    return restarted(seed, given, quick, None)


def zone_restart_of_few(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """Calls of each seldom called function reach few dispatchers."""
    return restarted(seed, given, quick, given.dispatchers_per_function)


def restarted(seed: int, given: Assumptions, quick: bool, reach: int | None) -> list[Figure]:
    """All dispatchers of a zone start at once, knowing nothing, beside those of the region's other zones."""
    share = 20 if quick else 1
    instances = given.target.instances_per_region // share
    cold = given.target.dispatchers_per_zone // share
    others = given.target.dispatchers_per_region // share - cold
    holders = given.directory.holders_per_region
    region = region_of(instances, holders, seed, given)
    steady = [region.watcher(number) for number in range(others)]
    for number, node in enumerate(steady):
        for rank in range(given.directory.shards * 2):  # enough to be connected to every shard
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
    took = [one for node in nodes for one in node.ready]
    failed = [at - began for node in nodes for at, _ in node.failed]
    known_calls = sum(node.known_calls for node in nodes)
    waited = len(calls) - known_calls
    return [
        Figure("instances", instances, "instances"),
        Figure("dispatchers that start", cold, "dispatchers"),
        Figure("dispatchers beside them", others, "dispatchers"),
        Figure("holders", holders, "processes"),
        Figure("calls in the first seconds", len(calls), "calls"),
        Figure("look-ups answered", len(took), "look-ups"),
        Figure("look-ups failed", len(failed), "look-ups"),
        Figure("part of the calls that waited for a look-up", waited / len(calls), "part"),
        Figure("part of the calls whose look-up failed, at least", len(failed) / len(calls), "part"),
        Figure("last failed look-up after", max(failed, default=0.0), "s"),
        Figure("look-up p50", percentile(took, 0.5), "s"),
        Figure("look-up p99", percentile(took, 0.99), "s", given.target.cold_start_seconds),
        Figure("busiest holder", busy(region, before, seconds + 1.0), "cores", 1.0),
        Figure("bytes to one dispatcher", sum(n.bytes_in for n in nodes) / cold / seconds, "bytes/s"),
    ]


def lost_copy(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """One of a region's holders dies; its watchers go to the others and ask for all their functions anew."""
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
    calls = calls_of(nodes, given, seed, LEAVES)
    gap, look_at = 0.0, STEP
    for at, number, function in calls:
        if at > look_at:
            look_at += STEP
            gap = at if behind(nodes, watched) else gap
        region.reactor.run(died + at)
        nodes[number].call(function)
    took = [one for node in nodes for one in node.ready]
    failed = sum(len(node.failed) for node in nodes)
    rate = holder_rate(region) * (holders - 1)
    in_view = given.functions_in_view(given.directory.watch_idle_seconds)
    at_target = given.target.dispatchers_per_region * in_view / holders / rate
    return [
        Figure("dispatchers", dispatchers, "dispatchers"),
        Figure("functions watched by each", functions, "functions"),
        Figure("watches of the lost copy", moved, "watches"),
        Figure("until every function is watched again, within a quarter", gap + STEP, "s"),
        Figure("the same at the target, worked out", at_target, "s", 1.0),
        Figure("look-ups answered meanwhile", len(took), "look-ups"),
        Figure("look-ups failed meanwhile", failed, "look-ups"),
        Figure("look-up p50", percentile(took, 0.5), "s"),
        Figure("look-up p99", percentile(took, 0.99), "s", given.target.cold_start_seconds),
    ]


def watch_all(region: Region, nodes: list[WatcherNode], functions: int) -> None:
    """Every dispatcher calls the same functions, as fast as the holders admit."""
    for rank in range(functions):
        for node in nodes:
            node.call(f"function-{rank:06d}")
        region.run(len(nodes) / ADMITTED)
    settle(region, nodes, SETTLED)


def watches_at(nodes: list[WatcherNode], holder: HolderNode) -> int:
    """Of all these dispatchers together."""
    return sum(len(connection.watches) for node in nodes for connection in of_holder(node, holder))


def of_holder(node: WatcherNode, holder: HolderNode) -> list[HolderConnection]:
    linked = [number for number, (at, _) in node.links.items() if at is holder]
    return [node.watcher.connections[number] for number in linked if number in node.watcher.connections]


def holder_rate(region: Region) -> float:
    """Watches a second that one holder admits of watchers that have the prefix already."""
    node = next(iter(region.holders.values()))
    return node.holder.settings.snapshot_rate / UNCHANGED_COST


def behind(nodes: list[WatcherNode], watched: list[frozenset[str]]) -> bool:
    """Whether some function that was watched is not watched at present."""
    pairs = zip(nodes, watched, strict=True)
    return any(
        node.watcher.functions[name].watch < 0
        for node, names in pairs
        for name in names
        if name in node.watcher.functions
    )


def settle(region: Region, nodes: list[WatcherNode], limit: float) -> None:
    """Run until every function is watched, or the limit."""
    ends = region.reactor.seconds() + limit
    while region.reactor.seconds() < ends:
        if not behind(nodes, [frozenset(node.watcher.functions) for node in nodes]):
            return
        region.run(STEP)


def regions_apart(seed: int, given: Assumptions, quick: bool) -> list[Figure]:
    """The roster is cut off from all holders of a region, as where it is told from another region."""
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
    cut = traffic(region, nodes, CUT)
    for node in nodes:
        node.ready.clear()
        node.failed.clear()
        node.call(f"function-unknown-{node.watcher.name}")
    region.run(1.0)
    took = [one for node in nodes for one in node.ready]
    budget = given.target.control_bytes_per_second
    return [
        Figure("dispatchers", dispatchers, "dispatchers"),
        Figure("functions watched by each", functions, "functions"),
        Figure("bytes to one dispatcher when calm", calm, "bytes/s", budget),
        Figure("bytes to one dispatcher when cut off", cut, "bytes/s", budget),
        Figure("bytes for each watched function when cut off", (cut - calm) / functions, "bytes/s"),
        Figure("new functions looked up when cut off", len(took) / dispatchers, "part"),
        Figure("look-up p99 when cut off", percentile(took, 0.99), "s", given.target.cold_start_seconds),
    ]


def traffic(region: Region, nodes: list[WatcherNode], seconds: float) -> float:
    """Bytes a second to one dispatcher."""
    before = sum(node.bytes_in for node in nodes)
    region.run(seconds)
    return (sum(node.bytes_in for node in nodes) - before) / len(nodes) / seconds


class DirectoryFailures:
    """The role `directory-failures`: scenes only."""

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
