"""What can go wrong in a day, by kind: how it begins and how it ends. Each may overlap any other."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec

from lapistrestle.standins.directories import HolderPlace
from lapistrestle.standins.script import Trouble
from lapistrestle.standins.taped import Weather
from lapistrestle.standins.world import SECOND, Slot, World

End = Callable[[], None]
Begin = Callable[[World, Trouble], End]


def nothing() -> None: ...


def all_of(calls: Iterable[End]) -> End:
    """One end that calls each of these."""
    kept = list(calls)

    def end() -> None:
        for call in kept:
            call()

    return end


def schedule(world: World) -> None:
    """Set off every trouble of the day at its time."""
    for trouble in world.day.troubles:
        world.reactor.callLater(trouble.at / SECOND, begin, world, trouble)


def begin(world: World, trouble: Trouble) -> None:
    world.tape.put("day", "trouble", kind=trouble.kind, lasts=trouble.lasts / 10)
    end = TROUBLES[trouble.kind](world, trouble)
    world.reactor.callLater(trouble.lasts / SECOND, finish, world, trouble, end)


def finish(world: World, trouble: Trouble, end: End) -> None:
    end()
    world.tape.put("day", "trouble ends", kind=trouble.kind)


def repeatedly(world: World, every: float, lasts: float, call: Callable[[], None]) -> None:
    """Call now and again, for as long as the trouble lasts."""
    until = world.reactor.seconds() + lasts

    def again() -> None:
        if world.reactor.seconds() < until:
            call()
            world.reactor.callLater(every, again)

    again()


# edges


def edges_of(world: World, share: float) -> list[int]:
    numbers = range(len(world.edges))
    return world.random.sample(numbers, max(1, round(share * len(numbers))))


def balancer_stall(world: World, trouble: Trouble) -> End:
    """Two of these may meet on one edge: it goes on when the last is over."""
    chosen = [world.edges[n] for n in edges_of(world, trouble.share)]
    for edge in chosen:
        world.still[edge] += 1
        if world.still[edge] == 1:
            world.tape.put(edge.name, "stalled")
            edge.stall()

    def end() -> None:
        for edge in chosen:
            if edge not in world.still:
                continue  # killed meanwhile
            world.still[edge] -= 1
            if not world.still[edge]:
                world.tape.put(edge.name, "resumed")
                edge.resume()

    return end


def edge_kill(world: World, trouble: Trouble) -> End:
    chosen = edges_of(world, trouble.share)
    for number in chosen:
        edge = world.edges[number]
        if world.still.pop(edge, 0):  # the one that follows under its name does not stand still
            world.tape.put(edge.name, "resumed")
        world.tape.put(edge.name, "killed")
        edge.kill()
    return all_of(partial(world.restart_edge, n) for n in chosen)


def edges_apart(world: World, trouble: Trouble) -> End:
    """Nothing passes between a share of the edges and the others."""
    return sever(world, trouble, both=True)


def edges_deaf(world: World, trouble: Trouble) -> End:
    """What the others say does not reach a share of the edges; what these say gets through."""
    return sever(world, trouble, both=False)


def sever(world: World, trouble: Trouble, both: bool) -> End:
    chosen = edges_of(world, trouble.share)
    ports = world.fleet_ports
    others = [port for n, port in enumerate(ports) if n not in chosen]
    before = set(world.links.cut)
    world.links.sever(others, [ports[n] for n in chosen], both)
    cut = world.links.cut - before

    def end() -> None:
        world.links.cut -= cut

    return end


def edges_lossy(world: World, trouble: Trouble) -> End:
    """Between edges a share of the datagrams is lost, as many are doubled, and all are up to `by` late."""
    links = world.links
    links.lost, links.doubled = links.lost + trouble.share, links.doubled + trouble.share
    links.delays = (links.delays[0], links.delays[1] + int(trouble.by) * 100)

    def end() -> None:
        links.lost, links.doubled = links.lost - trouble.share, links.doubled - trouble.share
        links.delays = (links.delays[0], links.delays[1] - int(trouble.by) * 100)

    return end


def planner_stall(world: World, trouble: Trouble) -> End:
    planner = world.planner
    if planner is None:
        return nothing
    planner.stall()
    return planner.resume


def planner_kill(world: World, trouble: Trouble) -> End:
    """It comes back at the same port, on the same journal."""
    if world.planner is None:
        return nothing
    world.planner.kill()
    return world.begin_planner


# the directory


def holders_of(world: World, trouble: Trouble) -> list[HolderPlace]:
    """A share of the holders, one at least; all of a zone where one is named."""
    if world.directory is None:
        return []
    places = [p for p in world.directory.places.values() if trouble.zone in ("", p.settings.serve.zone)]
    count = len(places) if trouble.zone else max(1, round(trouble.share * len(places)))
    return world.random.sample(places, count)


def holder_stall(world: World, trouble: Trouble) -> End:
    """Holders stand still; they wake with what they knew."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.stall(place)
    return all_of(partial(rig.resume, place) for place in chosen)


def holder_kill(world: World, trouble: Trouble) -> End:
    """Holders are killed; others start under their names and know nothing."""
    rig, chosen = world.directory, holders_of(world, trouble)
    if rig is None:
        return nothing
    for place in chosen:
        rig.kill(place)
    return all_of(partial(rig.restart, place) for place in chosen)


def directory_cut(world: World, trouble: Trouble) -> End:
    """Nothing passes between a share of the edges and any holder; between them and one zone's, if named."""
    rig = world.directory
    if rig is None:
        return nothing
    edges = [world.edges[number].name for number in edges_of(world, trouble.share)]
    holders = holders_of(world, msgspec.structs.replace(trouble, share=1.0))
    pairs = [(edge, place.name) for edge in edges for place in holders]
    for edge, holder in pairs:
        rig.cut(edge, holder)
    return all_of(partial(rig.heal, edge, holder) for edge, holder in pairs)


# traffic


def burst(world: World, trouble: Trouble) -> End:
    world.rate *= trouble.factor

    def end() -> None:
        world.rate /= trouble.factor

    return end


def hot_key(world: World, trouble: Trouble) -> End:
    for method in world.day.traffic.methods:
        world.one_offs += 1
        world.hot_functions.append(world.function(f"hot-{world.one_offs}", method))
    world.hot += trouble.share

    def end() -> None:
        world.hot -= trouble.share

    return end


def scan(world: World, trouble: Trouble) -> End:
    world.scan += trouble.share

    def end() -> None:
        world.scan -= trouble.share

    return end


def retry_abuse(world: World, trouble: Trouble) -> End:
    habits = world.crowd.habits
    habits.abuse += trouble.share

    def end() -> None:
        habits.abuse -= trouble.share

    return end


# runners


def crash(world: World, trouble: Trouble) -> End:
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def return_all(world: World, slots: list[Slot]) -> None:
    for slot in slots:
        if not slot.up and not slot.runner.engine.pushed_over:
            world.back(slot)


def zone_loss(world: World, trouble: Trouble) -> End:
    zones = world.deployment.zones or [""]
    zone = trouble.zone or world.random.choice(zones)
    slots = [s for s in world.slots if s.up and s.zone == zone]
    for slot in slots:
        world.kill(slot)
    return lambda: return_all(world, slots)


def preempt(world: World, trouble: Trouble) -> End:
    """Short notice, then gone; a successor comes."""
    slots = world.some(trouble.share, trouble.zone)
    for slot in slots:
        world.drain(slot)
        world.reactor.callLater(0.5, world.kill, slot)
    return lambda: return_all(world, slots)


def deploy(world: World, trouble: Trouble) -> End:
    """Runners are replaced in turn: each drains for 3 s, ends, and starts anew."""
    slots = world.some(trouble.share, trouble.zone)
    step = trouble.lasts / SECOND / max(1, len(slots))
    for number, slot in enumerate(slots):
        world.reactor.callLater(number * step, world.drain, slot)
        world.reactor.callLater(number * step + 3.0, replace, world, slot)
    return nothing


def replace(world: World, slot: Slot) -> None:
    """One that fell over stays down."""
    if not slot.runner.engine.pushed_over:
        world.back(slot)


def engines(change: Callable[[Any, Trouble], End]) -> Begin:
    """A trouble of the runners' machines; one that restarts is rid of it."""

    def began(world: World, trouble: Trouble) -> End:
        chosen = world.some(trouble.share, trouble.zone)
        return all_of([change(slot.runner.engine, trouble) for slot in chosen])

    return began


def slow(engine: Any, trouble: Trouble) -> End:
    engine.slower *= trouble.factor

    def end() -> None:
        engine.slower /= trouble.factor

    return end


def fast_errors(engine: Any, trouble: Trouble) -> End:
    engine.failing = True

    def end() -> None:
        engine.failing = False

    return end


def report_late(engine: Any, trouble: Trouble) -> End:
    engine.report_late += trouble.by / SECOND

    def end() -> None:
        engine.report_late -= trouble.by / SECOND

    return end


def neighbour(world: World, trouble: Trouble) -> End:
    """Another program takes cores, on and off."""
    chosen = [slot.runner.engine for slot in world.some(trouble.share, trouble.zone)]
    held = [max(1, engine.facts.cores // 2) for engine in chosen]

    def take() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.taken += cores
        world.reactor.callLater(0.9, give)

    def give() -> None:
        for engine, cores in zip(chosen, held, strict=True):
            engine.taken -= cores
            engine.move()

    repeatedly(world, 1.5, trouble.lasts / SECOND, take)
    return nothing


def stops(every: float, lasts: float) -> Begin:
    """Machines stand still for a while, again and again."""

    def began(world: World, trouble: Trouble) -> End:
        chosen = [slot.runner.engine for slot in world.some(trouble.share, trouble.zone)]

        def stop() -> None:
            for engine in chosen:
                engine.pause(True)
            world.reactor.callLater(lasts, go)

        def go() -> None:
            for engine in chosen:
                engine.pause(False)

        repeatedly(world, every, trouble.lasts / SECOND, stop)
        return nothing

    return began


# store and roster


def store_slow(world: World, trouble: Trouble) -> End:
    world.store.factor *= trouble.factor

    def end() -> None:
        world.store.factor /= trouble.factor

    return end


def discovery_stale(world: World, trouble: Trouble) -> End:
    world.roster.stale += trouble.by / SECOND

    def end() -> None:
        world.roster.stale -= trouble.by / SECOND

    return end


def roster_back(world: World, trouble: Trouble) -> End:
    world.roster.jump_back(2)
    return nothing


def roster_gap(world: World, trouble: Trouble) -> End:
    world.roster.skip()
    return nothing


def roster_restart(world: World, trouble: Trouble) -> End:
    world.roster.begin_anew()
    return nothing


# sockets


def weathers(world: World, trouble: Trouble) -> list[Weather]:
    if trouble.on == "roster":
        return [world.roster.weather]
    if trouble.on == "clients":
        lines = world.crowd.lines
        chosen = world.random.sample(lines, max(1, round(trouble.share * len(lines))))
        return [line.weather for line in chosen]
    return [slot.runner.weather for slot in world.some(trouble.share, trouble.zone)]


def weather(change: Callable[[Weather, Trouble], None], undo: Callable[[Weather], None]) -> Begin:
    def began(world: World, trouble: Trouble) -> End:
        chosen = weathers(world, trouble)
        for each in chosen:
            change(each, trouble)
        return all_of(partial(undo, each) for each in chosen)

    return began


def set_to(name: str, value: Callable[[Trouble], Any], calm: Any) -> Begin:
    return weather(lambda w, t: setattr(w, name, value(t)), lambda w: setattr(w, name, calm))


def refused(world: World, trouble: Trouble) -> End:
    """Connections break and no new ones are accepted."""
    chosen = [slot.runner for slot in world.some(trouble.share, trouble.zone)]
    for runner in chosen:
        runner.refuse(True)
        for speaker in list(runner.speakers):
            speaker.break_off()

    def end() -> None:
        for runner in chosen:
            if not runner.engine.dead:
                runner.refuse(False)

    return end


def unread(world: World, trouble: Trouble) -> End:
    """Clients stop reading their answers."""
    lines = world.random.sample(world.crowd.lines, max(1, round(trouble.share * len(world.crowd.lines))))
    stopped = [line.up for line in lines if line.up is not None]
    for speaker in stopped:
        world.tape.put(speaker.connection, "unread")
        speaker.transport.pauseProducing()

    def end() -> None:
        for speaker in stopped:
            world.tape.put(speaker.connection, "reads")
            if not speaker.closed:
                speaker.transport.resumeProducing()

    return end


TROUBLES: dict[str, Begin] = {
    "balancer_stall": balancer_stall,
    "edge_kill": edge_kill,
    "edges_apart": edges_apart,
    "edges_deaf": edges_deaf,
    "edges_lossy": edges_lossy,
    "burst": burst,
    "hot_key": hot_key,
    "scan": scan,
    "retry_abuse": retry_abuse,
    "crash": crash,
    "zone_loss": zone_loss,
    "preempt": preempt,
    "deploy": deploy,
    "slow": engines(slow),
    "fast_errors": engines(fast_errors),
    "report_late": engines(report_late),
    "neighbour": neighbour,
    "pauses": stops(2.5, 0.35),
    "throttle": stops(0.1, 0.06),
    "store_slow": store_slow,
    "discovery_stale": discovery_stale,
    "roster_back": roster_back,
    "roster_gap": roster_gap,
    "roster_restart": roster_restart,
    "refused": refused,
    "broken": set_to("cut", lambda t: t.share / 20, 0.0),
    "silent": set_to("silent", lambda t: True, False),
    "delayed": set_to("delay", lambda t: t.by / SECOND, 0.0),
    "split": set_to("split", lambda t: True, False),
    "garbled": set_to("garble", lambda t: t.share / 20, 0.0),
    "unread": unread,
    "planner_stall": planner_stall,
    "planner_kill": planner_kill,
    "holder_stall": holder_stall,
    "holder_kill": holder_kill,
    "directory_cut": directory_cut,
}
