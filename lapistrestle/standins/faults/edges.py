"""Faults of edges: stalls, kills, and losses between them."""

from functools import partial

from lapistrestle.standins.faults.effects import End, all_of
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def edges_of(world: World, share: float) -> list[int]:
    """Numbers of a random share of the edges, at least one."""
    numbers = range(len(world.edges))
    return world.random.sample(numbers, max(1, round(share * len(numbers))))


def balancer_stall(world: World, trouble: ScriptedFault) -> End:
    """Stalls edges. Two of these faults may overlap on one edge: it resumes when the last is over."""
    chosen = [world.edges[n] for n in edges_of(world, trouble.share)]
    for edge in chosen:
        world.still[edge] += 1
        if world.still[edge] == 1:
            world.tape.put(edge.name, "stalled")
            edge.stall()

    def end() -> None:
        for edge in chosen:
            if edge not in world.still:
                continue  # killed in the meantime
            world.still[edge] -= 1
            if not world.still[edge]:
                world.tape.put(edge.name, "resumed")
                edge.resume()

    return end


def edge_kill(world: World, trouble: ScriptedFault) -> End:
    """Kills edges; they restart under the same names when the fault ends."""
    chosen = edges_of(world, trouble.share)
    for number in chosen:
        edge = world.edges[number]
        if world.still.pop(edge, 0):  # its successor is not stalled
            world.tape.put(edge.name, "resumed")
        world.tape.put(edge.name, "killed")
        edge.kill()
    return all_of(partial(world.restart_edge, n) for n in chosen)


def edges_apart(world: World, trouble: ScriptedFault) -> End:
    """Partitions a share of the edges from the others, for gossip."""
    return sever(world, trouble, both=True)


def edges_deaf(world: World, trouble: ScriptedFault) -> End:
    """One-way partition: a share of the edges receives no gossip of the others, but can still send."""
    return sever(world, trouble, both=False)


def sever(world: World, trouble: ScriptedFault, both: bool) -> End:
    """Cuts the links from the other edges to a share of them, and back where `both`."""
    chosen = edges_of(world, trouble.share)
    ports = world.fleet_ports
    others = [port for n, port in enumerate(ports) if n not in chosen]
    before = set(world.links.cut)
    world.links.sever(others, [ports[n] for n in chosen], both)
    cut = world.links.cut - before

    def end() -> None:
        world.links.cut -= cut

    return end


def edges_lossy(world: World, trouble: ScriptedFault) -> End:
    """Loses a share of the datagrams between edges, duplicates as many, and delays all by up to `by`."""
    links = world.links
    links.loss, links.duplication = links.loss + trouble.share, links.duplication + trouble.share
    links.delays = (links.delays[0], links.delays[1] + int(trouble.by) * 100)

    def end() -> None:
        links.loss, links.duplication = links.loss - trouble.share, links.duplication - trouble.share
        links.delays = (links.delays[0], links.delays[1] - int(trouble.by) * 100)

    return end
