"""Troubles of edges: they stand still, are killed, or lose one another."""

from functools import partial

from lapistrestle.standins.script import Trouble
from lapistrestle.standins.troubles.effects import End, all_of
from lapistrestle.standins.world import World


def edges_of(world: World, share: float) -> list[int]:
    """Numbers of that share of the edges, one at least."""
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
    """Edges are killed; others start under their names when it is over."""
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
    """Cut links from the other edges to some, and back where `both`."""
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
