"""Runs a day (a scripted scenario) in the model, with the same script, clients and edges as on sockets."""

import io
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, BinaryIO

from lapistrestle.checks.service import answer_gain
from lapistrestle.deployment.load import DeploymentError
from lapistrestle.deployment.schema import Deployment
from lapistrestle.edge.connection_state import ConnectionEvent
from lapistrestle.edge.program import Edge
from lapistrestle.model.baselines import Baseline
from lapistrestle.model.clock import Clock
from lapistrestle.model.links import Latencies, ModelLink, RunnerLink, Subscription
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.standins.client import ClientRequest, EdgeLink
from lapistrestle.standins.engine import RunnerSpec
from lapistrestle.standins.faults.kinds import schedule_faults
from lapistrestle.standins.runner import RunnerStandIn, TokenRegistry
from lapistrestle.standins.script import Day
from lapistrestle.standins.tape import Tape
from lapistrestle.standins.world import World, header
from lapistrestle.ticks import SECOND

# faults that need a socket, or a process that can be stopped; the model rejects them
SOCKET_FAULTS = frozenset(
    ("balancer_stall", "refused", "broken", "silent", "delayed", "split", "garbled", "edge_kill", "unread",
     "planner_stall", "planner_kill", "holder_stall", "holder_kill", "directory_cut")
)  # fmt: skip


class ModelEdge(Edge):
    """The edge program with links of the model as its connections; the rest is unchanged.

    Its decision module is a `Baseline` where the day's `policy` names one.
    """

    def __init__(self, world: "ModelWorld", deployment: Deployment, log: Any) -> None:
        self.world = world
        self.subscription: Subscription | None = None
        policy = world.day.policy
        make = (
            Dispatcher
            if policy == "module"
            else partial(Baseline, policy=policy, true_state=world.true_state)
        )
        super().__init__(world.reactor, deployment, log, make=make)

    def start(self) -> int:
        """Subscribe to the roster, unless the list is polled and not wanted yet. Returns a dummy port."""
        self.subscription = Subscription(
            self, self.world.roster, self.world.latencies.same_zone, self.world.recorded_tape
        )
        if not self.settings.endpoints_polled or self.endpoints_wanted:
            self.subscription.start()
        return 1

    endpoints_wanted = False  # whether the module has asked for the list
    link_count = 0  # links created so far; part of their names on the tape

    def watch_endpoints(self) -> None:
        self.endpoints_wanted = True
        if self.subscription is not None:
            self.subscription.start()

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send to another edge by its index, or to all others, with the latency across zones."""
        me = self.settings.instance_index
        for number, handle in enumerate(self.world.edges):
            if number != me and peer in (None, number):
                receive: Any = handle.edge.host.gossip_received  # type: ignore[attr-defined]
                self.reactor.callLater(self.world.latencies.across_zones, receive, me, text)

    def address_received(self, name: str, address: Any, start: str = "") -> None:
        """Replace the link if the address changed: as on sockets, another address is another process.

        Address 0 removes the link.
        """
        link: Any = self.runners.get(name)
        at = self.world.runners.get(address)
        if link is not None and (address == 0 or link.runner is not at):
            del self.runners[name]
            link.step(ConnectionEvent.REMOVED)
            link = None
        if link is None and address:
            latency = self.world.latencies.one_way(self.name, name)
            self.link_count += 1
            new_link: Any = RunnerLink(self, name, at, latency, self.world.recorded_tape)
            self.runners[name] = new_link


class ModelEdgeHandle:
    """An edge of the model as the day controls it (`standins.world.EdgeHandle`).

    It has no process, so stalls and kills do nothing: ModelWorld rejects days with such faults.
    """

    def __init__(self, edge: ModelEdge) -> None:
        self.edge, self.name = edge, edge.name

    def start(self) -> None:
        self.edge.start()

    def port(self) -> int:
        return 1

    def stall(self) -> None: ...
    def resume(self) -> None: ...
    def kill(self) -> None: ...


@dataclass
class DayResult:
    """Result of a day's client requests; times in milliseconds."""

    client_requests: int = 0
    gained: float = 0.0  # gain of the answers
    requested: float = 0.0  # gain that answers to all requests in time would have had
    windows: dict[int, list[float]] = field(
        default_factory=dict
    )  # by second of start: gain requested, gained
    latencies: list[float] = field(default_factory=list)  # of requests that were answered ok

    @property
    def service(self) -> float:
        """Gain of the answers relative to the gain requested; 1 without requests."""
        return self.gained / self.requested if self.requested else 1.0

    def worst(self, seconds: int = 10) -> float:
        """Lowest service over any `seconds` in a row, where a request counts in the second it started in."""
        last = max(self.windows, default=0)
        lowest = 1.0
        for begin in range(max(1, last - seconds + 2)):
            inside = [self.windows[s] for s in range(begin, begin + seconds) if s in self.windows]
            requested = sum(r for r, _ in inside)
            lowest = min(lowest, sum(g for _, g in inside) / requested) if requested else lowest
        return lowest


class ModelWorld(World):
    """One day in the model. Raises DeploymentError for a script with faults or rollouts that it can't run.

    Without a `sink` no tape is recorded.
    """

    def __init__(
        self, day: Day, deployment: Deployment, sink: BinaryIO | None = None, log: Any = None
    ) -> None:
        for number, fault in enumerate(day.faults):
            if fault.kind in SOCKET_FAULTS:
                raise DeploymentError(
                    f"troubles.{number}.kind: {fault.kind} needs sockets; the model has none"
                )
        if day.rollouts:
            raise DeploymentError("rollouts: the model has no planner yet")
        self.runners: dict[int, RunnerStandIn] = {}
        self.latencies = Latencies()
        self.log = log or (lambda what, **figures: None)
        self.result = DayResult()
        make: Callable[..., Any] = lambda spec, start: ModelEdgeHandle(ModelEdge(self, spec, self.log))  # noqa: E731
        self.methods = header(day, deployment)["methods"]
        self.no_tape = sink is None
        super().__init__(Clock(), day, deployment, sink or io.BytesIO(), make)
        self.day_started_at = self.reactor.seconds()
        if self.no_tape:
            self.tape.put = lambda *what, **more: None  # type: ignore[method-assign]
        for edge, handle in enumerate(self.edges):
            zones = deployment.zones
            self.latencies.zones[handle.name] = zones[edge % len(zones)] if zones else ""
        self.slots_by_name = {slot.name: slot for slot in self.slots}
        self.latencies.zones |= {slot.name: slot.zone for slot in self.slots}
        self.clients.on_finished = self.record_request

    @property
    def recorded_tape(self) -> Tape | None:
        """The tape, if one is recorded."""
        return None if self.no_tape else self.tape

    def start_runner(
        self, name: str, start: int, spec: RunnerSpec, tokens: TokenRegistry, cold: bool
    ) -> RunnerStandIn:
        runner = super().start_runner(name, start, spec, tokens, cold)
        runner.tape = self.recorded_tape
        self.runners[runner.port] = runner
        return runner

    def true_state(self, name: str, function: str) -> tuple[float, float]:
        """The state of a runner as no edge can know it: `baselines.TrueState`.

        Returns 1 if a copy of the function is loaded, 0.5 if one is loading, else 0; and the calls in flight
        of all edges per free core at its present speed, with 1e9 added for a runner that is dead or failing.
        """
        slot = self.slots_by_name[name]
        engine, copies = slot.runner.engine, slot.runner.engine.copies.get(function)
        calls = sum(
            handle.edge.host.module.in_flight.get(  # type: ignore[attr-defined]
                handle.edge.host.registry.worker(name),  # type: ignore[attr-defined]
                0,
            )
            for handle in self.edges
        )
        load = calls * engine.slowdown / (max(1, engine.spec.cores - engine.cores_taken) * engine.spec.speed)
        copy = 0.0 if copies is None else 1.0 if copies.loaded else 0.5 if copies.loading else 0.0
        return copy, load + (1e9 if engine.dead or engine.failing else 0)

    def make_links(self) -> list[EdgeLink]:
        return [
            ModelLink(self.clients, handle.edge, number, self.latencies.same_zone, self.recorded_tape)  # type: ignore[attr-defined]
            for number, handle in enumerate(self.edges)
        ]

    def record_request(self, request: ClientRequest, ok: bool) -> None:
        """Add a client's request to the result: it was answered (`ok`) or failed."""
        method, result = self.methods[request.method], self.result
        latency = (self.reactor.seconds() - request.started_at) * 1000
        gain = answer_gain(method, latency, request.work) if ok else 0.0
        result.client_requests += 1
        result.requested += method["gain"]
        result.gained += gain
        window = result.windows.setdefault(int(request.started_at - self.day_started_at), [0.0, 0.0])
        window[0] += method["gain"]
        window[1] += gain
        if ok:
            result.latencies.append(latency)

    def play(self) -> DayResult:
        """Run the whole day, and then 1 s longer than the longest deadline, so that every request ends."""
        self.start()
        self.start_traffic()
        schedule_faults(self)
        self.reactor.run(self.day.length / SECOND)
        self.traffic_stopped = True
        self.reactor.run(max(m.deadline for m in self.deployment.methods.values()) / SECOND + 1.0)
        return self.result
