"""A day: the fleet, the edges, the clients and the faults, on one reactor, with everything recorded on a
tape."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path
from typing import Any, BinaryIO, Protocol

import msgspec

from lapistrestle.deployment.schema import Deployment, DispatcherIdentity, Planner
from lapistrestle.standins.client import ClientBehaviour, ClientPool, ClientRequest, EdgeLink
from lapistrestle.standins.directory_holders import DirectoryHolders, HolderFactory, holder_names
from lapistrestle.standins.engine import RunnerSpec
from lapistrestle.standins.fleet import DatagramLinks, free_udp_ports, relay
from lapistrestle.standins.operator import Operator
from lapistrestle.standins.roster import RosterStandIn
from lapistrestle.standins.runner import RunnerStandIn, TokenRegistry, VersionFault
from lapistrestle.standins.script import Day, RunnerGroup
from lapistrestle.standins.store import PackageStore, StoreSpec
from lapistrestle.standins.tape import Tape
from lapistrestle.ticks import SECOND
from lapistrestle.wire.messages import RosterEntry
from lapistrestle.wire.plans import RolloutCommand

FIRST_REQUEST_DELAY = 0.5  # seconds from the start of the traffic to the first request
FIRST_GOSSIP_PORT = 46_000  # first port for gossip between edges, in virtual time


class EdgeHandle(Protocol):
    """What a day needs of an edge: an object in virtual time, or a process."""

    name: str

    def start(self) -> None: ...
    def port(self) -> int: ...  # 0 while it does not listen
    def stall(self) -> None: ...
    def resume(self) -> None: ...
    def kill(self) -> None: ...


MakeEdge = Callable[[Deployment, int], EdgeHandle]  # with the number of the start
MakePlanner = Callable[[], EdgeHandle]


@dataclass(eq=False)
class Slot:
    """A runner of the fleet by name, whichever process it is at present."""

    name: str
    kind: str
    machines: RunnerGroup
    zone: str
    cell: int
    spec: RunnerSpec
    tokens: TokenRegistry
    runner: RunnerStandIn
    start_count: int = 0

    @property
    def up(self) -> bool:
        return not self.runner.engine.dead


@dataclass
class Function:
    """A function that clients call."""

    name: str
    method: str
    memory: float
    lanes: int
    load: float  # milliseconds to load a copy


class World:
    """Builds and runs one day.

    `make_edge` decides whether edges are objects or processes. With `relayed`, gossip between edges passes
    through relays, which inject its faults. `holders` makes the holders of a directory of instances, if the
    deployment has one.
    """

    def __init__(
        self, reactor: Any, day: Day, deployment: Deployment, sink: BinaryIO, make_edge: MakeEdge,
        make_planner: MakePlanner | None = None, folder: Path | None = None, relayed: bool = False,
        holders: HolderFactory | None = None,
    ) -> None:  # fmt: skip
        self.reactor, self.day, self.deployment = reactor, day, deployment
        self.random = random.Random(day.seed)
        self.tape = Tape(sink, reactor.seconds, header(day, deployment))
        store = day.store
        self.store = PackageStore(
            reactor,
            StoreSpec(
                store.fetches,
                store.limit,
                store.overload_multiple,
                store.overload_time / SECOND,
                store.outage_time / SECOND,
            ),
        )
        self.roster = RosterStandIn(reactor, day.roster_lag / SECOND, self.tape)
        self.load_times: dict[str, float] = {}
        self.version_faults: dict[str, VersionFault] = {}
        self.slots = self.make_slots()
        self.functions = self.make_functions()
        weights = [1 / (i + 1) ** day.traffic.popularity for i in range(len(self.functions))]
        self.weights = list(accumulate(weights))
        traffic = day.traffic
        wait = traffic.retry_delay / SECOND
        behaviour = ClientBehaviour(
            traffic.retries, wait, traffic.patience, traffic.marks_retries, traffic.respects_retry_after
        )
        self.clients = ClientPool(reactor, behaviour, day.seed + 1, self.tape)
        self.make_planner, self.folder = make_planner, folder
        self.links = DatagramLinks(day.seed + 2)  # gossip between edges
        self.gossip_ports = self.announced_ports = [FIRST_GOSSIP_PORT + i for i in range(day.edges)]
        if relayed and deployment.fleet.name:
            self.gossip_ports = free_udp_ports(day.edges)
            self.announced_ports = relay(reactor, self.links, self.gossip_ports)
        self.directory: DirectoryHolders | None = None
        if deployment.directory.shards and holders is not None:
            self.directory = DirectoryHolders(reactor, self.tape, deployment, self.roster.port, holders)
        self.planner: EdgeHandle | None = None
        if day.rollouts and make_planner is not None:
            self.start_planner()
        self.edges = [make_edge(self.edge_deployment(i), 0) for i in range(day.edges)]
        self.make_edge = make_edge
        self.stall_counts: Counter[EdgeHandle] = Counter()  # number of faults by which each edge is stalled
        self.rate_factor, self.hot_share, self.scan_share = 1.0, 0.0, 0.0  # faults of the traffic
        self.hot_functions: list[Function] = []
        self.count = self.one_offs = 0
        self.traffic_stopped = False
        self.operator: Operator | None = None

    # building

    def start_planner(self) -> None:
        assert self.make_planner is not None
        self.planner = self.make_planner()
        self.planner.start()
        self.deployment.planner = Planner(port=self.planner.port())

    def schedule_rollouts(self) -> None:
        """Schedules the commands of the day's rollouts; an operator sends each until it is answered."""
        operator = self.operator = Operator(self.reactor, lambda: self.deployment.planner.port, self.tape)
        for version in self.day.rollouts:
            defects, name = version.defects, f"{version.function}@{version.candidate}"
            at, revert_at = version.at / SECOND, version.revert_at / SECOND
            self.version_faults[name] = VersionFault(
                defects.errors, defects.slower, defects.load_errors, defects.when_busy, defects.customer,
                self.reactor.seconds() + at + defects.after / SECOND,
            )  # fmt: skip
            orders: list[tuple[float, Any]] = [(at, "start"), *([(revert_at, "back")] if revert_at else [])]
            orders += [(when / SECOND, "advance") for when in version.advance]
            steps = tuple(step / 100 for step in version.steps)
            for when, what in orders:
                order = RolloutCommand(
                    f"{what} {name} at {when}",
                    what,
                    version.function,
                    "script",
                    "",
                    version.candidate,
                    steps,
                    version.remembered / 10,
                )
                self.reactor.callLater(when, operator.give, order)

    def edge_deployment(self, number: int) -> Deployment:
        settings = msgspec.structs.replace(self.deployment)
        zones = settings.zones
        settings.dispatcher = DispatcherIdentity(
            name=f"edge-{number}", number=number, of=self.day.edges,
            zone=zones[number % len(zones)] if zones else "", seed=self.day.seed * 100 + number,
        )  # fmt: skip
        settings.roster = msgspec.structs.replace(settings.roster, port=self.roster.port)
        settings.listen = msgspec.structs.replace(settings.listen, port=0)
        if settings.fleet.name:
            port, announced, seeds = (
                self.gossip_ports[number],
                self.announced_ports[number],
                self.announced_ports[:2],
            )
            settings.fleet = msgspec.structs.replace(
                settings.fleet, port=port, told_port=announced, seeds=seeds
            )
        if self.directory is not None:
            settings.directory = self.directory.directory_of(settings.dispatcher.name)
        if self.folder is not None:
            plan_file = str(self.folder / f"edge-{number}.plan")
            settings.planner = msgspec.structs.replace(settings.planner, keep=plan_file)
        return settings

    def make_slots(self) -> list[Slot]:
        day, workers = self.day, self.deployment.workers
        methods = self.deployment.methods.values()
        scope = next((m.repeats_dropped_by for m in methods if m.effect == "tokened"), "")
        remembered = max(m.repeats_remembered for m in methods)
        groups: dict[str, TokenRegistry] = {}
        slots: list[Slot] = []
        for kind, machines in day.fleet.items():
            for _ in range(machines.count):
                number = len(slots)
                zones = self.deployment.zones or [""]
                zone, cell = zones[number % len(zones)], number // machines.cell_size
                spec = RunnerSpec(
                    machines.cores, machines.speed, machines.memory, machines.queue, machines.loads,
                    workers.absent, workers.idle_life / SECOND, workers.cold_share, workers.ramp / SECOND,
                    workers.fall_multiple, workers.fall_time / SECOND, day.fetch_share, day.cancels_waiting,
                    day.cancels_running, remembered / SECOND,
                )  # fmt: skip
                group = {"all": "all", "zone": zone}.get(scope, f"cell {cell}")
                tokens = groups.setdefault(group, TokenRegistry())
                name = f"{kind}-{number}"
                runner = self.start_runner(name, 0, spec, tokens, cold=False)
                slots.append(Slot(name, kind, machines, zone, cell, spec, tokens, runner))
                self.record_status(slots[-1], "serving", now=True)
                self.tape.put(runner.start, "place", runner=name, zone=zone, cell=cell)
        return slots

    def start_runner(
        self, name: str, start: int, spec: RunnerSpec, tokens: TokenRegistry, cold: bool
    ) -> RunnerStandIn:
        workers = self.deployment.workers
        reported: set[str] = {workers.reports}
        reported |= {"warm"} if workers.tells_warm else set()
        reported |= {"company"} if workers.tells_company else set()
        runner = RunnerStandIn(
            self.reactor, name, start, spec, self.store, tokens, self.tape, cold, 0, frozenset(reported),
            self.load_times, lambda runner: self.on_collapse(runner),
        )  # fmt: skip
        runner.version_faults = self.version_faults
        return runner

    def on_collapse(self, runner: RunnerStandIn) -> None:
        """A runner collapsed: the roster records that its process is gone."""
        for slot in self.slots:
            if slot.runner is runner:
                self.record_status(slot, "gone")

    def record_status(self, slot: Slot, listing: Any, now: bool = False) -> None:
        size = slot.machines.cores * slot.machines.speed
        entry = RosterEntry(
            slot.name, slot.runner.port, slot.zone, slot.cell, slot.kind, size, listing, slot.runner.start
        )
        self.roster.record(entry, slot.runner.engine.booted, now)

    def make_functions(self) -> list[Function]:
        traffic, functions = self.day.traffic.methods, []
        methods = self.random.choices(
            list(traffic),
            [m.share for m in traffic.values()],
            k=max(self.day.traffic.functions, len(traffic)),
        )
        methods[: len(traffic)] = list(traffic)  # each method has at least one function
        for number, method in enumerate(methods):
            functions.append(self.function(f"fn-{number}", method))
        return functions

    def function(self, name: str, method: str) -> Function:
        method_traffic = self.day.traffic.methods[method]
        load = self.random.uniform(*method_traffic.load) / 10
        function = Function(
            name,
            method,
            round(self.random.uniform(*method_traffic.memory), 1),
            self.random.choice(method_traffic.lanes),
            load,
        )
        self.load_times[name] = load
        return function

    # running

    def start(self) -> None:
        if self.directory is not None:
            self.directory.start()
        for edge in self.edges:
            edge.start()
        self.clients.links = self.make_links()

    def start_traffic(self) -> None:
        """Starts the clients' traffic and schedules the rollouts."""
        self.reactor.callLater(FIRST_REQUEST_DELAY, self.submit_and_schedule)
        if self.planner is not None:
            self.schedule_rollouts()

    def up(self) -> bool:
        """Whether clients are connected to every edge, and every holder listens."""
        lines = all(line.active_connection is not None for line in self.clients.links)
        return lines and (self.directory is None or self.directory.up())

    def make_links(self) -> list[EdgeLink]:
        return [EdgeLink(self.clients, e.name, e.port) for e in self.edges]

    def submit_and_schedule(self) -> None:
        """Submits a client's request and schedules the next: Poisson arrivals."""
        if self.traffic_stopped:
            return
        self.submit_request()
        gap = self.random.expovariate(self.day.traffic.rate * self.rate_factor)
        self.reactor.callLater(gap, self.submit_and_schedule)

    def pick_function(self) -> Function:
        draw = self.random.random()
        if draw < self.scan_share:
            self.one_offs += 1
            return self.function(f"once-{self.one_offs}", self.random.choice(self.functions).method)
        if draw < self.scan_share + self.hot_share and self.hot_functions:
            return self.random.choice(self.hot_functions)
        return self.random.choices(self.functions, cum_weights=self.weights)[0]

    def submit_request(self) -> None:
        function, deployment = self.pick_function(), self.deployment
        method, method_traffic = (
            deployment.methods[function.method],
            self.day.traffic.methods[function.method],
        )
        self.count += 1
        work = self.random.gammavariate(4.0, method_traffic.work / 10 / 4.0)
        spread = self.day.traffic.hint_error
        hint = round(work * self.random.uniform(1 - spread, 1 + spread), 1) if spread < 1 else None
        customers = deployment.customers
        shares = [max(c.share, 1e-9) for c in customers.values()]
        customer = self.random.choices(list(customers), shares)[0] if customers else ""
        request = ClientRequest(
            f"op{self.count}",
            function.name,
            function.method,
            customer,
            function.memory,
            function.lanes,
            round(work, 2),
            hint,
            self.count if method.effect == "tokened" else None,
            method.effect,
            method.repeats_dropped_by,
            method.deadline / SECOND,
            self.reactor.seconds(),
            retries_at_once=bool(self.clients.behaviour.abuse)
            and self.random.random() < self.clients.behaviour.abuse,
        )
        self.clients.submit(request)

    # used by faults

    def pick_runners(self, share: float, zone: str = "") -> list[Slot]:
        """A random share of the running runners, at least one; all in the zone if one is named."""
        up = [s for s in self.slots if s.up and zone in ("", s.zone)]
        return up if zone else self.random.sample(up, min(len(up), max(1, round(share * len(up)))))

    def kill(self, slot: Slot) -> None:
        if slot.up:
            slot.runner.kill()
            self.record_status(slot, "gone")

    def drain(self, slot: Slot) -> None:
        if slot.up and not slot.runner.engine.draining:
            slot.runner.drain()
            self.record_status(slot, "draining")

    def restart(self, slot: Slot) -> None:
        """Restarts a runner under the same name, cold and on another port."""
        if slot.up:
            self.kill(slot)
        slot.start_count += 1
        slot.runner = self.start_runner(slot.name, slot.start_count, slot.spec, slot.tokens, cold=True)
        self.tape.put(slot.runner.start, "place", runner=slot.name, zone=slot.zone, cell=slot.cell)
        self.record_status(slot, "serving")

    def restart_edge(self, number: int) -> None:
        deployment = self.edge_deployment(number)
        deployment.dispatcher.seed += 7
        self.edges[number] = self.make_edge(deployment, 1)
        self.edges[number].start()
        self.clients.links[number].port = self.edges[number].port


def header(day: Day, deployment: Deployment) -> dict[str, Any]:
    """The tape's header: participants, methods and the limits of the rules; times in milliseconds."""
    workers, orders, allowed = deployment.workers, deployment.orders, deployment.allowed
    holders = holder_names(deployment.directory)
    return {
        **({"holders": list(holders.values())} if holders else {}),
        "day": day.name,
        "seed": day.seed,
        "edges": [f"edge-{i}" for i in range(day.edges)],
        "length": day.length / 10,
        "rules": {
            "answer_slack": allowed.answer_slack / 10,
            "drain_grace": workers.drain_grace / 10,
            "cold_share": workers.cold_share,
            "ramp": workers.ramp / 10,
            "fall_multiple": workers.fall_multiple,
            "fall_time": workers.fall_time / 10,
            "order_window": orders.window / 10,
            "orders_free": orders.free,
            "orders_share": orders.share,
            "tries": allowed.tries,
            "parallel": allowed.parallel,
        },
        "methods": {
            name: {
                "effect": m.effect,
                "scope": m.repeats_dropped_by,
                "window": m.repeats_remembered / 10,
                "deadline": m.deadline / 10,
                "soft": (m.soft_deadline or m.deadline) / 10,
                "stretch": m.soft_stretch,
                "gain": m.gain,
                "late_gain": m.late_gain,
                "streamed": m.streamed,
            }
            for name, m in deployment.methods.items()
        },
    }
