"""Many dispatchers' endpoints in virtual time, and faults between them: the rig of the fleet's tests."""

import random
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from lapistrestle.fleet.gossip_endpoint import GossipEndpoint
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.hosting.timers import Timer
from lapistrestle.standins.virtual import LATENCY_US, VirtualProcess, VirtualReactor
from lapistrestle.ticks import SECOND


class DatagramLinks:
    """Every link between two ports: how long a datagram takes, whether it is lost, doubled or late.

    `fates` gives for one datagram the microseconds after which copies of it arrive; none: it is lost.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cut: set[tuple[int, int]] = set()  # from port, to port
        self.loss = self.duplication = 0.0
        self.delays = (LATENCY_US, LATENCY_US)

    def fates(self, source: int, target: int) -> list[int]:
        if (source, target) in self.cut or self.random.random() < self.loss:
            return []
        copies = 1 + (self.random.random() < self.duplication)
        return [round(self.random.uniform(*self.delays)) for _ in range(copies)]

    def sever(self, some: list[int], others: list[int], both: bool = True) -> None:
        """Nothing from `some` reaches `others` any more, nor back where `both`."""
        for a in some:
            for b in others:
                self.cut |= {(a, b), (b, a)} if both else {(a, b)}

    def heal(self) -> None:
        self.cut.clear()


def free_udp_ports(count: int) -> list[int]:
    """Ports at which no datagrams are heard now, each another."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Relay(DatagramProtocol):
    """Stands before one edge's port on real sockets, and does to each datagram what its link does."""

    transport: Any

    def __init__(self, reactor: Any, links: DatagramLinks, target: int) -> None:
        self.reactor, self.links, self.target = reactor, links, target

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        for delay in self.links.fates(addr[1], self.target):
            self.reactor.callLater(delay / 1e6, self.transport.write, data, ("127.0.0.1", self.target))


def relay(reactor: Any, links: DatagramLinks, ports: list[int]) -> list[int]:
    """The ports of relays before these ports."""
    made = [reactor.listenUDP(0, Relay(reactor, links, port), interface="127.0.0.1") for port in ports]
    return [port.getHost().port for port in made]


class VirtualRuntime:
    """What a `GossipEndpoint` needs of its program (`fleet.gossip_endpoint.Runtime`), on a process of the
    virtual reactor whose clock may run wrong."""

    def __init__(self, reactor: VirtualReactor, name: str, drift: float = 0.0) -> None:
        self.reactor: Any = VirtualProcess(reactor, name)
        self.drift = drift
        self.logs: list[str] = []
        self.over: list[str] = []

    def clock(self) -> int:
        return int(self.reactor.seconds() * (1 + self.drift) * SECOND + 0.001)

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = Timer(self.clock() + delay, call, arg)
        self.reactor.callLater(delay / SECOND / (1 + self.drift), lambda: timer.call(timer.arg))
        return timer

    def input_received(self) -> None: ...

    def message_ignored(self, name: str, why: str) -> None:
        self.over.append(f"{name}: {why}")

    def log(self, what: str, **figures: Any) -> None:
        self.logs.append(f"{self.clock()} {figures.get('figures', what)}")


class GossipCluster:
    """Dispatchers that only endpoint. `make` builds one, by default a plain `GossipEndpoint`."""

    def __init__(self, seed: int = 1, **facts: Any) -> None:
        self.reactor, self.links, self.seed = VirtualReactor(), DatagramLinks(seed), seed
        self.reactor.datagram_delays = self.links.fates
        self.facts: dict[str, Any] = {"fleet": "f", **facts}
        self.endpoints: dict[str, GossipEndpoint] = {}
        self.starts = 0

    def port(self, name: str) -> int:
        return int(name.rsplit("-", 1)[1]) + 40_000

    def add(
        self, name: str, seeds: tuple[str, ...] = (), boot: int | None = None, zone: str = "", port: int = 0,
        drift: float = 0.0, **facts: Any,
    ) -> GossipEndpoint:  # fmt: skip
        self.starts += 1
        runtime = VirtualRuntime(self.reactor, name, drift)
        addresses = tuple(("127.0.0.1", self.port(s)) for s in seeds)
        settings = FleetSettings(**{**self.facts, **facts}, port=port or self.port(name), seeds=addresses)
        boot = round(self.reactor.seconds() * 1000) if boot is None else boot
        endpoint = GossipEndpoint(
            runtime, settings, name, zone, boot, self.seed * 1_000 + self.starts, self.seed + self.starts
        )
        self.endpoints[name] = endpoint
        endpoint.start()
        return endpoint

    def many(self, count: int, zones: int = 1) -> list[GossipEndpoint]:
        return [self.add(f"e-{i}", ("e-0", "e-1")[: max(1, i)], zone=f"z{i % zones}") for i in range(count)]

    def process(self, name: str) -> VirtualProcess:
        made: VirtualProcess = self.endpoints[name].runtime.reactor
        return made

    def kill(self, name: str) -> None:
        self.process(name).kill()
        self.reactor.datagrams.pop(self.endpoints.pop(name).settings.port, None)

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)

    def view(self, name: str) -> set[str]:
        """Who counts as there, in that one's eyes."""
        return {m.name for m in self.endpoints[name].membership.live()}

    def agreed(self) -> bool:
        """Whether each sees all the others that run, and nobody else."""
        names = set(self.endpoints)
        return all(self.view(name) == names - {name} for name in names)

    def until(self, done: Callable[[], bool], within: float, step: float = 0.5) -> float:
        """Run until it is so; the seconds it took, or infinity."""
        began = self.reactor.seconds()
        while self.reactor.seconds() - began < within:
            if done():
                return self.reactor.seconds() - began
            self.run(step)
        return float("inf")
