"""All kinds of faults by their names in a day's script, and the scheduling of a day's faults."""

from lapistrestle.standins.faults import (
    directory,
    edges,
    machines,
    planner,
    runners,
    sockets,
    sources,
    traffic,
)
from lapistrestle.standins.faults.effects import Begin, End
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND


def schedule(world: World) -> None:
    """Schedules every fault of the day."""
    for trouble in world.day.faults:
        world.reactor.callLater(trouble.at / SECOND, begin, world, trouble)


def begin(world: World, trouble: ScriptedFault) -> None:
    """Starts a fault and schedules its end."""
    world.tape.put("day", "trouble", kind=trouble.kind, lasts=trouble.lasts / 10)
    end = FAULTS[trouble.kind](world, trouble)
    world.reactor.callLater(trouble.lasts / SECOND, finish, world, trouble, end)


def finish(world: World, trouble: ScriptedFault, end: End) -> None:
    end()
    world.tape.put("day", "trouble ends", kind=trouble.kind)


LINES = 20  # lines over which a share is spread: each line is affected with 1/20 of the probability

FAULTS: dict[str, Begin] = {
    "balancer_stall": edges.balancer_stall,
    "edge_kill": edges.edge_kill,
    "edges_apart": edges.edges_apart,
    "edges_deaf": edges.edges_deaf,
    "edges_lossy": edges.edges_lossy,
    "burst": traffic.burst,
    "hot_key": traffic.hot_key,
    "scan": traffic.scan,
    "retry_abuse": traffic.retry_abuse,
    "crash": runners.crash,
    "zone_loss": runners.zone_loss,
    "preempt": runners.preempt,
    "deploy": runners.deploy,
    "slow": machines.engines(machines.slow),
    "fast_errors": machines.engines(machines.fast_errors),
    "report_late": machines.engines(machines.report_late),
    "neighbour": machines.neighbour,
    "pauses": machines.stops(every=2.5, lasts=0.35),
    "throttle": machines.stops(every=0.1, lasts=0.06),
    "store_slow": sources.store_slow,
    "discovery_stale": sources.discovery_stale,
    "roster_back": sources.roster_back,
    "roster_gap": sources.roster_gap,
    "roster_restart": sources.roster_restart,
    "refused": sockets.refused,
    "broken": sockets.set_to("cut", lambda t: t.share / LINES, 0.0),
    "silent": sockets.set_to("silent", lambda t: True, False),
    "delayed": sockets.set_to("delay", lambda t: t.by / SECOND, 0.0),
    "split": sockets.set_to("split", lambda t: True, False),
    "garbled": sockets.set_to("garble", lambda t: t.share / LINES, 0.0),
    "unread": sockets.unread,
    "planner_stall": planner.planner_stall,
    "planner_kill": planner.planner_kill,
    "holder_stall": directory.holder_stall,
    "holder_kill": directory.holder_kill,
    "directory_cut": directory.directory_cut,
}
