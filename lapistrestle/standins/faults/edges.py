"""Faults of edges: stalls, kills, and losses between them."""

from functools import partial

from lapistrestle.standins.faults.effects import EndFault, all_of
from lapistrestle.standins.script import ScriptedFault
from lapistrestle.standins.world import World


def edges_of(world: World, share: float) -> list[int]:
    """Numbers of a random share of the edges, at least one."""
    numbers = range(len(world.edges))
    return world.random.sample(numbers, max(1, round(share * len(numbers))))


def balancer_stall(world: World, fault: ScriptedFault) -> EndFault:
    """Stalls edges. Two of these faults may overlap on one edge: it resumes when the last is over."""
    chosen = [world.edges[n] for n in edges_of(world, fault.share)]
    for edge in chosen:
        world.stall_counts[edge] += 1
        if world.stall_counts[edge] == 1:
            world.tape.put(edge.name, "stalled")
            edge.stall()

    def end() -> None:
        for edge in chosen:
            if edge not in world.stall_counts:
                continue  # killed in the meantime
            world.stall_counts[edge] -= 1
            if not world.stall_counts[edge]:
                world.tape.put(edge.name, "resumed")
                edge.resume()

    return end


def edge_kill(world: World, fault: ScriptedFault) -> EndFault:
    """Kills edges; they restart under the same names when the fault ends."""
    chosen = edges_of(world, fault.share)
    for number in chosen:
        edge = world.edges[number]
        if world.stall_counts.pop(edge, 0):  # its successor is not stalled
            world.tape.put(edge.name, "resumed")
        world.tape.put(edge.name, "killed")
        edge.kill()
    return all_of(partial(world.restart_edge, n) for n in chosen)


def edges_apart(world: World, fault: ScriptedFault) -> EndFault:
    """Partitions a share of the edges from the others, for gossip."""
    return cut_links(world, fault, both=True)


def edges_deaf(world: World, fault: ScriptedFault) -> EndFault:
    """One-way partition: a share of the edges receives no gossip of the others, but can still send."""
    return cut_links(world, fault, both=False)


def cut_links(world: World, fault: ScriptedFault, both: bool) -> EndFault:
    """Cuts the links from the other edges to a share of them, and back where `both`."""
    chosen = edges_of(world, fault.share)
    ports = world.gossip_ports
    others = [port for n, port in enumerate(ports) if n not in chosen]
    before = set(world.links.cut)
    world.links.sever(others, [ports[n] for n in chosen], both)
    cut = world.links.cut - before

    def end() -> None:
        world.links.cut -= cut

    return end


def edges_lossy(world: World, fault: ScriptedFault) -> EndFault:
    """Loses a share of the datagrams between edges, duplicates as many, and delays all by up to `by`."""
    links = world.links
    links.loss, links.duplication = links.loss + fault.share, links.duplication + fault.share
    links.delays = (links.delays[0], links.delays[1] + int(fault.delay) * 100)

    def end() -> None:
        links.loss, links.duplication = links.loss - fault.share, links.duplication - fault.share
        links.delays = (links.delays[0], links.delays[1] - int(fault.delay) * 100)

    return end
