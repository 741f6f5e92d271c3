"""The cost of one configuration change for the planner, its journal, and the plans at a dispatcher.

`planner`: the production `Planner` on a real journal, with real `PlannerConnection`s to edges whose
transports only count. `keeper`: the planner's state alone, by functions that have had a rollout. `plans`: the
edge's `PlannerSource` and `Routing`, by functions in the plan.
"""

import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.measuring import build_measured, count_steps, processor_seconds
from benchmarks.scale.roles import register
from benchmarks.scale.roles.control_hollow import SECOND, Traffic, deployment
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.edge.planner_source import PlannerSource
from lapistrestle.planner.connection import PlannerConnection
from lapistrestle.planner.entries import CommandEntry, OutcomeEntry
from lapistrestle.planner.server import Planner
from lapistrestle.planner.state import CommandResult, PlannerState
from lapistrestle.policy.settings import Settings
from lapistrestle.rollout.routing import Routing
from lapistrestle.rollout.state_machine import Rollout, RolloutInput
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit
from lapistrestle.standins.virtual import TRANSPORT_BUFFER
from lapistrestle.store.journal import Journal
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import LineLimits

RETENTION = 0  # clients do not retry in these scenarios
FINISHED_ROLLOUTS = 200  # functions with a finished rollout, where the number of dispatchers grows
CHANGES = 5  # a figure is the median over this many
BURST_RATE = 380 / 60  # changes per second: a tenth of the day's within one minute


def function(number: int) -> str:
    return f"function-{number:06d}"


def start_of(number: int, at: int, version: str = "v2") -> CommandEntry:
    return CommandEntry(
        at=at, id=f"order-{number}-{version}", action="start", function=function(number), operator="operator",
        reason="release of the day", candidate=f"version-{version}", retention=RETENTION,
    )  # fmt: skip


def keeper_of(functions: int) -> PlannerState:
    """A planner's state in which each of these functions has a finished rollout. Assembled directly, since
    applying every entry takes quadratic time (see `planner-restart`)."""
    state = PlannerState()
    for number in range(functions):
        command = start_of(number, 0)
        state.number += 1
        rollout = Rollout(command.function, "", command.candidate, command.steps, command.retention)
        rollout.handle(RolloutInput.START, 0, command.operator, command.reason)
        rollout.handle(RolloutInput.ROLL_BACK, 0, command.operator)
        rollout.handle(RolloutInput.RETENTION_ENDED, 0)
        state.rollouts[command.function] = rollout
        state.changed_at[command.function] = state.number
        state.results[command.id] = CommandResult(
            CommandOutcome.DONE, "none to v2", "warming", 0.0, state.number
        )
    return state


def replay(functions: int) -> PlannerState:
    """The same by applying the entries, as a planner that starts reads them from its journal."""
    state = PlannerState()
    for number in range(functions):
        state.apply(state.number + 1, start_of(number, 0))
    return state


class CountingTransport:
    """A transport that counts what is written to it."""

    disconnecting = False

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic

    def write(self, data: bytes) -> None:
        self.traffic.sent(data)

    def registerProducer(self, producer: Any, streaming: bool) -> None: ...

    def unregisterProducer(self) -> None: ...

    def loseConnection(self) -> None: ...

    def abortConnection(self) -> None: ...


class PausingTransport(CountingTransport):
    """Like a socket's transport, it pauses its producer when a write exceeds its buffer."""

    producer: Any = None

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def write(self, data: bytes) -> None:
        super().write(data)
        if len(data) > TRANSPORT_BUFFER and self.producer is not None:
            self.producer.pauseProducing()

    def pauseProducing(self) -> None: ...


class StubReactor:
    """A reactor on which no scheduled call ever runs."""

    def seconds(self) -> float:
        return 1_000.0

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> None: ...

    def listenTCP(self, port: int, factory: Any, *, interface: str) -> None: ...


class HollowPlanner:
    """A planner with this many connected edges and functions with finished rollouts."""

    def __init__(self, edges: int, functions: int, folder: Path) -> None:
        self.traffic = Traffic()
        self.planner = Planner(StubReactor(), Journal(folder / "journal"), lambda what, **figures: None)
        self.planner.state = keeper_of(functions)
        self.planner.journal.append([b"{}"] * self.planner.state.number)
        self.connections = [self.connect(number) for number in range(edges)]

    def connect(self, number: int) -> PlannerConnection:
        connection = PlannerConnection(self.planner)
        connection.makeConnection(CountingTransport(self.traffic))  # type: ignore[no-untyped-call]
        connection.paused = False
        hello = wire.Hello(plans.PLANNER, wire.VERSION, f"dispatcher-{number:05d}", start=f"start-{number}")
        self.receive(connection, hello)
        return connection

    def receive(self, connection: PlannerConnection, message: wire.Message) -> None:
        connection.dataReceived(wire.encode(message) + b"\n")

    def submit(self, number: int, candidate: str = "v3") -> None:
        command = plans.RolloutCommand(
            id=f"burst-{candidate}-{number}", action="start", function=function(number), operator="operator",
            reason="release of the day", candidate=f"version-{candidate}", retention=0.0,
        )  # fmt: skip
        self.planner.state.results.pop(command.id, None)
        self.receive(self.connections[-1], command)

    def report_counts(self, number: int) -> None:
        """Delivers one edge's counts for the rollout of one function."""
        count = plans.OutcomeReport(function(number), "version-v3", -1, 1, (10, 0, 1, 0))
        self.receive(self.connections[0], count)

    def send_heartbeat(self, number: int) -> None:
        self.receive(self.connections[number % len(self.connections)], plans.Heartbeat(1, 1))

    def close(self) -> None:
        self.planner.journal.close()


def time_each(work: Callable[[int], None], times: int = CHANGES) -> list[float]:
    """Processor time of each of some runs of `work`."""
    seconds = []
    for number in range(times):
        began = time.process_time()
        work(number)
        seconds.append(time.process_time() - began)
    return seconds


def planner_sample(edges: int, functions: int) -> Sample:
    """The cost of one change with its messages to all edges, and of edges' reports and heartbeats."""
    with tempfile.TemporaryDirectory() as folder:
        hollow, held = build_measured(lambda: HollowPlanner(edges, functions, Path(folder)))
        hollow.traffic.bytes_out = hollow.traffic.messages_out = 0
        changes = time_each(lambda number: hollow.submit(2 * number))
        sent, sent_bytes = hollow.traffic.messages_out, hollow.traffic.bytes_out
        assert sent >= CHANGES * (edges + 1), "a change was not sent to every edge"
        counts, heartbeats = time_each(hollow.report_counts, 10), time_each(hollow.send_heartbeat, 50)
        steps = count_steps(lambda: hollow.submit(2 * CHANGES + 1)).instructions
        hollow.close()
    change, count, send_heartbeat = map(statistics.median, (changes, counts, heartbeats))
    return Sample(
        state_bytes=held, messages_out=sent / CHANGES * BURST_RATE,
        bytes_out=sent_bytes / CHANGES * BURST_RATE, processor=change * BURST_RATE,
        processor_low=min(changes) * BURST_RATE, processor_high=max(changes) * BURST_RATE,
        steps=steps, messages=sent, figures={
            "one change, processor (s)": change,
            "bytes sent a change": sent_bytes / CHANGES,
            "one report of counts, processor (s)": count,
            "reports of one open rollout (cores)": count * edges,
            "beats of all edges (cores)": send_heartbeat * edges * 5,
        },
    )  # fmt: skip


class PlannerRole:
    """The planner, which sends plans to edges."""

    name = "planner"
    text = "the planner: one change with its journal and its words to all edges; rates at the worst minute"
    sweeps: tuple[Sweep, ...] = (
        Sweep(Dimension.DISPATCHERS, (50, 100, 200, 400), 800, 3_900),
        Sweep(Dimension.FUNCTIONS, (500, 1_000, 2_000, 4_000), 8_000, 110_000),
    )
    budgets: tuple[Budget, ...] = (
        Budget("processor", 1.0, "the planner decides on one core"),
        Budget("one change, processor (s)", 4.0, "a change is in force within 4 s"),
        Budget("reports of one open rollout (cores)", 1.0, "the planner decides on one core"),
        Budget("beats of all edges (cores)", 1.0, "the planner decides on one core"),
    )
    scenes: tuple[Scene, ...] = ()

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        if dimension is Dimension.DISPATCHERS:
            return planner_sample(size, FINISHED_ROLLOUTS)
        return planner_sample(20, size)


class PlannerStateRole:
    """The planner's state, by functions that have had a rollout."""

    name = "keeper"
    text = "the planner's state alone: one entry, one look, and what a restart reads"
    sweeps: tuple[Sweep, ...] = (Sweep(Dimension.FUNCTIONS, (1_000, 2_000, 4_000, 8_000), 16_000, 110_000),)
    budgets: tuple[Budget, ...] = (
        Budget("one entry, processor (s)", 1 / BURST_RATE, "the worst minute's changes"),
    )

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("at-target", "one entry and one edge's plan with all functions", self.at_target),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        state, held = build_measured(lambda: keeper_of(size))
        report = OutcomeEntry(
            at=SECOND, edge="dispatcher-00001", start="start-1", function=function(0), candidate="version-v2",
            step=-1, minute=1, counts=(10, 0, 1, 0),
        )  # fmt: skip
        entry = processor_seconds(lambda: state.apply(state.number + 1, report), 3)
        whole = processor_seconds(lambda: state.splits_changed_after(), 3)
        steps = count_steps(lambda: state.apply(state.number + 1, report)).instructions
        return Sample(
            state_bytes=held, processor=entry.median * BURST_RATE, processor_low=entry.low * BURST_RATE,
            processor_high=entry.high * BURST_RATE, steps=steps,
            figures={"one entry, processor (s)": entry.median, "one whole plan, processor (s)": whole.median},
        )  # fmt: skip

    def at_target(self, seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
        """Measured at the target's functions, and extrapolated to all dispatchers."""
        target = assumptions.target
        functions = target.functions // (10 if quick else 1)
        state, held = build_measured(lambda: keeper_of(functions))
        entry = processor_seconds(lambda: state.apply(state.number + 1, start_of(0, 1, "v2")), 3).median
        plan = processor_seconds(lambda: state.splits_changed_after(state.number), 3).median
        whole = processor_seconds(lambda: state.splits_changed_after(), 3).median
        return [
            Figure(f"state of {functions} rollouts", held, "bytes"),
            Figure(f"one entry, {functions} rollouts", entry, "s", 1 / BURST_RATE),
            Figure(f"what changed, for one edge, {functions} rollouts", plan, "s"),
            Figure(f"what changed, for {target.dispatchers} edges, worked out", plan * target.dispatchers,
                   "s", target.change_within_seconds),
            Figure(f"the whole plan, for one edge, {functions} rollouts", whole, "s"),
            Figure(f"whole plans for the {target.dispatchers_per_zone} edges of a zone, worked out",
                   whole * target.dispatchers_per_zone, "s"),
        ]  # fmt: skip


class PlannerRestartRole:
    """The start of a planner, which applies all entries of its journal."""

    name = "planner-restart"
    text = "a planner's start: every entry of its journal taken anew, by functions with one rollout each"
    sweeps: tuple[Sweep, ...] = (Sweep(Dimension.FUNCTIONS, (125, 250, 500, 1_000), 2_000, 110_000),)
    budgets: tuple[Budget, ...] = (Budget("start, processor (s)", 4.0, "a change is in force within 4 s"),)
    scenes: tuple[Scene, ...] = ()

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        start = processor_seconds(lambda: replay(size), 1)
        return Sample(state_bytes=0.0, figures={"start, processor (s)": start.median})


# the edge's side


class HollowPlannedEdge:
    """A stub of the parts of an edge that `PlannerSource` uses."""

    def __init__(self, keep: str = "") -> None:
        self.name = "dispatcher-00001"
        self.deployment = deployment(3_900)
        self.deployment.planner.keep = keep
        self.connect_timeout = SECOND
        self.settings = Settings(connect_timeout=SECOND, may_preload=True, idle_timeout=SECOND)
        self.bounds = LineLimits()
        self.routing = Routing()
        self.now = 1_000 * SECOND
        self.client_connections: dict[Any, None] = {}
        self.host = SimpleNamespace(registry=SimpleNamespace(functions={}), module=SimpleNamespace())

    def clock(self) -> int:
        return self.now

    def after(self, delay: int, call: Any, argument: object) -> None: ...

    def log(self, what: str, **figures: Any) -> None: ...


def split_at(number: int, share: float = 0.25) -> TrafficSplit:
    """The split of a function during its rollout."""
    return TrafficSplit(function(number), "version-v1", "version-v2", share, share, False, 1, 1.0)


def settled_split(number: int) -> TrafficSplit:
    return TrafficSplit(function(number), "version-v2")


def whole_plan(functions: int) -> plans.Plan:
    splits = [plans.to_message(settled_split(number)) for number in range(functions)]
    return plans.Plan(functions, 1, splits, True)


def whole_line(functions: int) -> bytes:
    return wire.encode(whole_plan(functions)) + b"\n"


def source_with(functions: int, keep: str = "") -> PlannerSource:
    source = PlannerSource(HollowPlannedEdge(keep), 1)
    source.plan_received(whole_plan(functions))
    return source


class PlansRole:
    """The plan at a dispatcher."""

    name = "plans"
    text = "plans at a dispatcher: the whole plan, one change of it, the kept file, by functions it names"
    sweeps: tuple[Sweep, ...] = (
        Sweep(Dimension.FUNCTIONS, (1_000, 2_000, 4_000, 8_000, 16_000), 32_000, 110_000),
    )
    budgets: tuple[Budget, ...] = (
        Budget(
            "whole plan (bytes)",
            LineLimits().max_line_bytes,
            "the longest line that an edge takes by default",
        ),
        Budget("state_bytes", 64e6, "64 MB for all control"),
        Budget("processor", 0.015, "1.5% of a core for all control, at the worst minute"),
    )

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("longest-line", "a whole plan over the default bound of a line", longest_line),
            Scene("at-target", "plans of all functions at one dispatcher", plans_at_target),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        return plans_sample(size)


def plans_sample(size: int) -> Sample:
    """Measures a dispatcher whose plan has this many functions."""
    line = whole_line(size)
    source, held = build_measured(lambda: source_with(size))
    changes = time_each(lambda number: change_told(source, number))
    steps = count_steps(lambda: change_told(source, CHANGES)).instructions
    each_second = processor_seconds(lambda: source.send_reports(None), 3)
    with tempfile.TemporaryDirectory() as folder:
        persisting_source = source_with(size, f"{folder}/plan")
        persisted = time_each(lambda number: change_told(persisting_source, number))
    whole = processor_seconds(lambda: apply_plan_line(line), 3)
    change, persisted_change = statistics.median(changes), statistics.median(persisted)
    cores = change * BURST_RATE + each_second.median
    return Sample(
        state_bytes=held, processor=cores, processor_low=min(changes) * BURST_RATE,
        processor_high=max(changes) * BURST_RATE + each_second.high, steps=steps, figures={
            "whole plan (bytes)": float(len(line)),
            "whole plan, processor (s)": whole.median,
            "one change, processor (s)": change,
            "one change with the kept file, processor (s)": persisted_change,
            "kept plans in the worst minute (cores)": persisted_change * BURST_RATE,
            "telling, processor a second (cores)": each_second.median,
        },
    )  # fmt: skip


def change_told(source: PlannerSource, number: int) -> None:
    """Applies one change of the plan, as on arrival of its line."""
    routing = source.routing
    plan = plans.Plan(routing.number + 1, routing.epoch, [plans.to_message(split_at(number))])
    source.plan_received(plans.Plan(plan.number, plan.epoch, plan.splits))


def apply_plan_line(line: bytes) -> None:
    """Decodes and applies the line of a full plan."""
    source = PlannerSource(HollowPlannedEdge(), 1)
    connection = source.make_connection()
    message = connection.decoder.decode(line)
    source.plan_received(message)


def longest_line(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """The largest plan that an edge accepts; with one more function it closes the connection."""
    bytes_each = len(whole_line(2_000)) / 2_000
    below, above = 1, int(2 * LineLimits().max_line_bytes / bytes_each)
    while above - below > 1:
        candidate_size = (below + above) // 2
        below, above = (candidate_size, above) if accepts(candidate_size) else (below, candidate_size)
    sent, unsent = 1, 2 * int(LineLimits().max_unsent_bytes / bytes_each)
    while unsent - sent > 1:
        candidate_size = (sent + unsent) // 2
        sent, unsent = (
            (candidate_size, unsent) if is_sent(candidate_size, bytes_each) else (sent, candidate_size)
        )
    return [
        Figure("most functions in a whole plan that an edge takes", below, "functions", None),
        Figure("most in one that a planner sends to an edge that has not read yet", sent, "functions"),
        Figure("bytes of each", bytes_each, "bytes"),
        Figure("functions at the target", assumptions.target.functions, "functions", float(below)),
    ]


def plans_at_target(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """The plan at the target's number of functions."""
    target = assumptions.target
    functions = target.functions // (10 if quick else 1)
    sample = plans_sample(functions)
    figures, label = sample.figures, f"{functions} functions"
    change, persisted = (
        figures["one change, processor (s)"],
        figures["one change with the kept file, processor (s)"],
    )
    return [
        Figure(f"state, {label}", sample.state_bytes, "bytes", target.control_bytes),
        Figure(f"whole plan, {label}", figures["whole plan (bytes)"], "bytes"),
        Figure(f"whole plan at 8 KB a second, {label}",
               figures["whole plan (bytes)"] / target.control_bytes_per_second, "s",
               target.change_within_seconds),
        Figure(f"whole plan, processor, {label}", figures["whole plan, processor (s)"], "s"),
        Figure(f"one change, processor, {label}", change, "s"),
        Figure(f"one change with the kept file, processor, {label}", persisted, "s"),
        Figure(f"the worst minute with the kept file, {label}", persisted * BURST_RATE, "cores",
               target.control_cores),
        Figure(f"telling each second, {label}", figures["telling, processor a second (cores)"], "cores",
               target.control_cores),
    ]  # fmt: skip


def is_sent(functions: int, bytes_each: float) -> bool:
    """Whether a planner's connection stays open after a line with this many functions of that size."""
    connection = PlannerConnection(SimpleNamespace(state=PlannerState()))  # type: ignore[arg-type]
    connection.makeConnection(PausingTransport(Traffic()))  # type: ignore[no-untyped-call]
    connection.paused = False
    connection.send_line(bytes(int(functions * bytes_each)))
    return not connection.closed


def accepts(functions: int) -> bool:
    """Whether an edge's connection accepts the full plan of this many functions."""
    edge = HollowPlannedEdge()
    source = PlannerSource(edge, 1)
    connection = source.make_connection()
    connection.makeConnection(CountingTransport(Traffic()))  # type: ignore[no-untyped-call]
    connection.paused = False
    hello = wire.Hello(plans.PLANNER, wire.VERSION, "planner")
    connection.dataReceived(wire.encode(hello) + b"\n" + whole_line(functions))
    return not connection.closed and len(edge.routing.splits) == functions


register(PlannerRole())
register(PlannerStateRole())
register(PlannerRestartRole())
register(PlansRole())
