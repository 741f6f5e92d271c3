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
from lapistrestle.standins.faults.effects import EndFault, StartFault
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World
from lapistrestle.ticks import SECOND


def schedule_faults(world: World) -> None:
    """Schedules every fault of the day."""
    for fault in world.day.faults:
        world.reactor.callLater(fault.at / SECOND, start_fault, world, fault)


def start_fault(world: World, fault: ScriptedFault) -> None:
    """Starts a fault and schedules its end."""
    world.tape.put("day", "trouble", kind=fault.kind, lasts=fault.duration / 10)
    end = FAULTS[fault.kind](world, fault)
    world.reactor.callLater(fault.duration / SECOND, end_fault, world, fault, end)


def end_fault(world: World, fault: ScriptedFault, end: EndFault) -> None:
    end()
    world.tape.put("day", "trouble ends", kind=fault.kind)


SHARE_LINES = 20  # lines over which a share is spread: each line is affected with 1/20 of the probability

FAULTS: dict[str, StartFault] = {
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
    "slow": machines.engine_fault(machines.slow),
    "fast_errors": machines.engine_fault(machines.fast_errors),
    "report_late": machines.engine_fault(machines.report_late),
    "neighbour": machines.neighbour,
    "pauses": machines.periodic_stops(every=2.5, lasts=0.35),
    "throttle": machines.periodic_stops(every=0.1, lasts=0.06),
    "store_slow": sources.store_slow,
    "discovery_stale": sources.discovery_stale,
    "roster_back": sources.roster_back,
    "roster_gap": sources.roster_gap,
    "roster_restart": sources.roster_restart,
    "refused": sockets.refused,
    "broken": sockets.set_field("cut", lambda t: t.share / SHARE_LINES, 0.0),
    "silent": sockets.set_field("silent", lambda t: True, False),
    "delayed": sockets.set_field("delay", lambda t: t.delay / SECOND, 0.0),
    "split": sockets.set_field("split", lambda t: True, False),
    "garbled": sockets.set_field("garble", lambda t: t.share / SHARE_LINES, 0.0),
    "unread": sockets.unread,
    "planner_stall": planner.planner_stall,
    "planner_kill": planner.planner_kill,
    "holder_stall": directory.holder_stall,
    "holder_kill": directory.holder_kill,
    "directory_cut": directory.directory_cut,
}
