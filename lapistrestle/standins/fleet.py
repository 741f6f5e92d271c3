"""Test rig of the fleet: gossip endpoints in virtual time, and faults on the links between them."""

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
    """Faults on the links between UDP ports: loss, duplication, delays and cuts."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cut: set[tuple[int, int]] = set()  # from port, to port
        self.loss = self.duplication = 0.0
        self.delays = (LATENCY_US, LATENCY_US)

    def fates(self, source: int, target: int) -> list[int]:
        """Draws the delay in microseconds of each copy of one datagram; none if it is lost."""
        if (source, target) in self.cut or self.random.random() < self.loss:
            return []
        copies = 1 + (self.random.random() < self.duplication)
        return [round(self.random.uniform(*self.delays)) for _ in range(copies)]

    def sever(self, some: list[int], others: list[int], both: bool = True) -> None:
        """Cuts the links from `some` ports to `others`, in both directions if `both`."""
        for a in some:
            for b in others:
                self.cut |= {(a, b), (b, a)} if both else {(a, b)}

    def heal(self) -> None:
        self.cut.clear()


def free_udp_ports(count: int) -> list[int]:
    """Returns distinct UDP ports that were free when probed."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports: list[int] = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class DatagramRelay(DatagramProtocol):
    """Forwards datagrams to one edge's port on real sockets, with the delays and faults of their link."""

    transport: Any

    def __init__(self, reactor: Any, links: DatagramLinks, target: int) -> None:
        self.reactor, self.links, self.target = reactor, links, target

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        for delay in self.links.fates(addr[1], self.target):
            self.reactor.callLater(delay / 1e6, self.transport.write, data, ("127.0.0.1", self.target))


def relay(reactor: Any, links: DatagramLinks, ports: list[int]) -> list[int]:
    """Starts a relay in front of each port and returns the relays' ports."""
    listeners = [
        reactor.listenUDP(0, DatagramRelay(reactor, links, port), interface="127.0.0.1") for port in ports
    ]
    return [port.getHost().port for port in listeners]


class VirtualRuntime:
    """Implements `fleet.gossip_endpoint.Runtime` on a virtual process; its clock runs fast by `drift`."""

    def __init__(self, reactor: VirtualReactor, name: str, drift: float = 0.0) -> None:
        self.reactor: Any = VirtualProcess(reactor, name)
        self.drift = drift
        self.logs: list[str] = []
        self.over: list[str] = []  # ignored messages

    def clock(self) -> int:
        return int(self.reactor.seconds() * (1 + self.drift) * SECOND + 0.001)

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = Timer(None, self.clock() + delay, call, arg)
        self.reactor.callLater(delay / SECOND / (1 + self.drift), lambda: timer.call(timer.arg))
        return timer

    def message_ignored(self, name: str, why: str) -> None:
        self.over.append(f"{name}: {why}")

    def log(self, what: str, **figures: Any) -> None:
        self.logs.append(f"{self.clock()} {figures.get('figures', what)}")


class GossipCluster:
    """A fleet of dispatchers that run nothing but their gossip endpoints."""

    def __init__(self, seed: int = 1, **settings_overrides: Any) -> None:
        self.reactor, self.links, self.seed = VirtualReactor(), DatagramLinks(seed), seed
        self.reactor.datagram_delays = self.links.fates
        self.settings_overrides: dict[str, Any] = {"fleet": "f", **settings_overrides}
        self.endpoints: dict[str, GossipEndpoint] = {}
        self.starts = 0

    def port(self, name: str) -> int:
        return int(name.rsplit("-", 1)[1]) + 40_000

    def add(
        self, name: str, seeds: tuple[str, ...] = (), boot: int | None = None, zone: str = "", port: int = 0,
        drift: float = 0.0, **settings_overrides: Any,
    ) -> GossipEndpoint:  # fmt: skip
        self.starts += 1
        runtime = VirtualRuntime(self.reactor, name, drift)
        addresses = tuple(("127.0.0.1", self.port(s)) for s in seeds)
        settings = FleetSettings(
            **{**self.settings_overrides, **settings_overrides}, port=port or self.port(name), seeds=addresses
        )
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
        process: VirtualProcess = self.endpoints[name].runtime.reactor
        return process

    def kill(self, name: str) -> None:
        self.process(name).kill()
        self.reactor.datagrams.pop(self.endpoints.pop(name).settings.port, None)

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)

    def view(self, name: str) -> set[str]:
        """Returns the names of the members that this endpoint considers live."""
        return {m.name for m in self.endpoints[name].membership.live()}

    def agreed(self) -> bool:
        """Whether every endpoint considers exactly the other running endpoints live."""
        names = set(self.endpoints)
        return all(self.view(name) == names - {name} for name in names)

    def until(self, done: Callable[[], bool], within: float, step: float = 0.5) -> float:
        """Runs until `done` holds; returns the seconds it took, or infinity if not `within` that many."""
        started_at = self.reactor.seconds()
        while self.reactor.seconds() - started_at < within:
            if done():
                return self.reactor.seconds() - started_at
            self.run(step)
        return float("inf")
