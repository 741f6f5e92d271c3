"""Runs a day: in virtual time on in-memory connections, or on real sockets with each edge a separate
process."""

import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO

from lapistrestle.deployment.load import DeploymentError
from lapistrestle.deployment.schema import Deployment, HolderDeployment
from lapistrestle.edge.program import Edge
from lapistrestle.planner.server import Planner
from lapistrestle.standins.child_processes import ChildProcess, free_tcp_ports
from lapistrestle.standins.faults.kinds import schedule_faults
from lapistrestle.standins.script import Day, to_plain
from lapistrestle.standins.virtual import VirtualProcess, VirtualReactor
from lapistrestle.standins.world import World
from lapistrestle.store.journal import Journal
from lapistrestle.ticks import SECOND

START_TIMEOUT = 20.0  # seconds that programs may take to start
FINAL_TRAFFIC = 1.0  # seconds of traffic at the end, after all programs are up again

Log = Callable[..., None]
EdgeMaker = Callable[[Any, Deployment, Log], Edge]


def no_log(what: str, **figures: Any) -> None:
    """A log that discards everything."""


class VirtualProgram:
    """A program as an object, in a virtual process that can be stalled or killed. Subclasses define
    `start`."""

    def __init__(self, reactor: VirtualReactor, name: str) -> None:
        self.name = name
        self.process = VirtualProcess(reactor, name)
        self.listening_port = 0

    def start(self) -> None:
        raise NotImplementedError

    def port(self) -> int:
        """The port where it listens; 0 once it is dead."""
        return 0 if self.process.dead else self.listening_port

    def stall(self) -> None:
        self.process.stall()

    def resume(self) -> None:
        self.process.resume()

    def kill(self) -> None:
        self.process.kill()


class VirtualEdge(VirtualProgram):
    """An edge in virtual time."""

    def __init__(self, reactor: VirtualReactor, deployment: Deployment, log: Log, make: EdgeMaker) -> None:
        super().__init__(reactor, deployment.dispatcher.name)
        self.edge = make(self.process, deployment, log)

    def start(self) -> None:
        self.listening_port = self.edge.start()


def play_virtual(
    day: Day, deployment: Deployment, sink: BinaryIO, log: Log = no_log, make: EdgeMaker = Edge,
    prepare: Callable[[VirtualReactor], None] | None = None, started: Callable[[World], None] | None = None,
) -> World:  # fmt: skip
    """Runs the whole day in virtual time. The same seed gives the same tape, byte for byte.

    `prepare` is called before anything is built, `started` once the day has started.
    """
    require_module(day)
    reactor = VirtualReactor()
    outside = VirtualProcess(reactor, "stand-ins")
    if prepare is not None:
        prepare(reactor)

    def make_edge(deployment: Deployment, start: int) -> VirtualEdge:
        return VirtualEdge(reactor, deployment, log, make)

    with tempfile.TemporaryDirectory() as folder:
        make_planner = virtual_planners(reactor, Path(folder) / "journal", log)
        holders = VirtualHolders(reactor, log)
        world = World(outside, day, deployment, sink, make_edge, make_planner, Path(folder), holders=holders)
        reactor.datagram_delays = world.links.fates
        run_virtual(reactor, world, started)
    return world


def require_module(day: Day) -> None:
    """Raises DeploymentError for a baseline policy, which only the model has."""
    if day.policy != "module":
        raise DeploymentError(
            f'policy: is "{day.policy}"; other policies than the module are in the model only'
        )


def run_virtual(reactor: VirtualReactor, world: World, started: Callable[[World], None] | None) -> None:
    day, deployment = world.day, world.deployment
    began = reactor.seconds()
    world.start()
    world.start_traffic()
    schedule_faults(world)
    if started is not None:
        started(world)
    reactor.run(began + day.length / SECOND)
    world.traffic_stopped = True
    longest = max(m.deadline for m in deployment.methods.values()) / SECOND
    reactor.run(began + day.length / SECOND + longest + 1.0)
    for line in world.clients.links:
        line.stopped = True


class VirtualPlanner(VirtualProgram):
    """A planner in virtual time, which listens at the same port after each start."""

    def __init__(self, reactor: VirtualReactor, port: int, journal: Path, log: Log) -> None:
        super().__init__(reactor, "planner")
        self.fixed_port = port
        self.planner = Planner(self.process, Journal(journal), log)

    def start(self) -> None:
        self.planner.start(self.fixed_port)

    def port(self) -> int:
        """The port, also while it is dead: edges go on connecting to it."""
        return self.fixed_port

    def kill(self) -> None:
        super().kill()
        self.planner.journal.close()


def virtual_planners(reactor: VirtualReactor, journal: Path, log: Log) -> Callable[[], VirtualPlanner]:
    port = reactor.free_port()
    return lambda: VirtualPlanner(reactor, port, journal, log)


class VirtualHolder(VirtualProgram):
    """A holder of the directory in virtual time."""

    def __init__(self, reactor: VirtualReactor, settings: HolderDeployment, log: Log, seed: int) -> None:
        from lapistrestle.directory.server import HolderProgram  # only days with a directory import it

        super().__init__(reactor, settings.serve.name)
        self.program = HolderProgram(self.process, settings, log, seed)

    def start(self) -> None:
        self.listening_port = self.program.start()


class VirtualHolders:
    """Makes holders in virtual time."""

    def __init__(self, reactor: VirtualReactor, log: Log) -> None:
        self.reactor, self.log = reactor, log

    def ports(self, count: int) -> list[int]:
        return [self.reactor.free_port() for _ in range(count)]

    def make(self, settings: HolderDeployment, start: int) -> VirtualHolder:
        return VirtualHolder(self.reactor, settings, self.log, start)


class ProcessHolder(ChildProcess):
    """A holder as a separate process, which listens at the same port after each start."""

    def __init__(self, folder: Path, settings: HolderDeployment) -> None:
        name = settings.serve.name
        file = folder / f"{name}-{time.monotonic_ns()}.json5"
        file.write_text(json.dumps(to_plain(settings)))
        super().__init__(folder, name, "directory", "serve", str(file), "--json")


class ProcessHolders:
    """Makes holders that are processes; `made` has all of them, killed ones included."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.made: list[ProcessHolder] = []

    def ports(self, count: int) -> list[int]:
        return free_tcp_ports(count)

    def make(self, settings: HolderDeployment, start: int) -> ProcessHolder:
        self.made.append(ProcessHolder(self.folder, settings))
        return self.made[-1]


class ProcessPlanner(ChildProcess):
    """A planner as a separate process, which listens at the same port after each start."""

    def __init__(self, folder: Path, port: int) -> None:
        super().__init__(folder, "planner", "planner", str(folder / "journal"), "--port", str(port), "--json")

    def start(self) -> None:
        super().start()
        self.wait_port()


class ProcessEdge(ChildProcess):
    """An edge as a separate process: stalled by SIGSTOP, killed by SIGKILL."""

    def __init__(self, folder: Path, deployment: Deployment) -> None:
        name = deployment.dispatcher.name
        file = folder / f"{name}-{time.monotonic_ns()}.json5"
        file.write_text(json.dumps(to_plain(deployment)))
        super().__init__(folder, name, "edge", str(file), "--json")


def play_real(day: Day, deployment: Deployment, sink: BinaryIO, log: Log = no_log) -> World:
    """Runs the day on loopback sockets in real time. Edges are processes; stand-ins run in this one."""
    require_module(day)
    from twisted.internet import reactor as default

    reactor: Any = default
    reactor.seconds = time.monotonic  # a change of the system clock must not move a timer
    made: list[ProcessEdge] = []
    worlds: list[World] = []
    planners: list[ProcessPlanner] = []
    holders: list[ProcessHolder] = []
    with tempfile.TemporaryDirectory() as folder:

        def make_edge(deployment: Deployment, start: int) -> ProcessEdge:
            made.append(ProcessEdge(Path(folder), deployment))
            return made[-1]

        def make_planner() -> ProcessPlanner:
            planners.append(ProcessPlanner(Path(folder), planners[0].known_port if planners else 0))
            return planners[-1]

        def begin() -> None:
            makers = ProcessHolders(Path(folder))
            makers.made = holders
            world = World(
                reactor, day, deployment, sink, make_edge, make_planner, Path(folder), relayed=True,
                holders=makers,
            )  # fmt: skip
            worlds.append(world)
            world.start()
            when_up(world, reactor.seconds() + START_TIMEOUT, begin_day)

        def when_up(world: World, until: float, then: Callable[[World], None]) -> None:
            """Waits until all programs are up; they take seconds to start on a busy machine."""
            if world.up() or reactor.seconds() >= until:
                return then(world)
            reactor.callLater(0.05, when_up, world, until, then)

        def begin_day(world: World) -> None:
            """Starts the traffic. Requests from before all edges are up would reach the first one late, in a
            burst."""
            world.tape.put("day", "begins")
            world.start_traffic()
            schedule_faults(world)
            length = day.length / SECOND
            reactor.callLater(length, when_up, world, reactor.seconds() + length + START_TIMEOUT, end_day)

        def end_day(world: World) -> None:
            """Runs on for a moment, so that programs that restarted late also get traffic, then stops."""
            longest = max(m.deadline for m in deployment.methods.values()) / SECOND
            reactor.callLater(FINAL_TRAFFIC, setattr, world, "traffic_stopped", True)
            reactor.callLater(FINAL_TRAFFIC + longest + 1.0, reactor.stop)

        reactor.callWhenRunning(begin)
        try:
            reactor.run()
        finally:
            children: list[ChildProcess] = [*made, *planners, *holders]
            for child in children:
                child.stop()
            for child in children:
                for line in child.log_lines():
                    log("edge", name=child.name, line=line)
    return worlds[0]
