"""The endpoint list: the cost of a full list and of one change, for a dispatcher and for the roster.

`list`: the edge's `EndpointListFollower` on encoded lines, without the decision module. `roster`: the roster
stand-in of the tests and demonstrations, the only implementation there is; it sends every change to every
subscriber, and the full list to every new one.
"""

from collections.abc import Callable
from typing import Any

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.measuring import build_measured, count_steps, processor_seconds
from benchmarks.scale.roles import register
from benchmarks.scale.roles.control_hollow import SECOND, Traffic
from benchmarks.scale.roles.control_rollout import CountingTransport
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.edge.known_workers import EndpointListFollower
from lapistrestle.sources.numbered_list import ListAction
from lapistrestle.sources.roster import RosterConnection as EdgeConnection
from lapistrestle.standins.roster import RosterFactory, RosterStandIn
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder

ZONES = [f"zone-{i}" for i in range(12)]
KINDS = ["small", "large"]
DECODER = message_decoder(wire.FromRoster)
CHANGES = 20
LISTED_INSTANCES = 1_000  # instances, where the number of subscribers grows


def entry(number: int, listing: Any = "serving", start: str = "s1") -> wire.RosterEntry:
    """One instance; its name fits in the 24 bytes of the assumptions."""
    return wire.RosterEntry(
        f"instance-{number:06d}.zone-{number % 12:02d}", 10_000 + number % 50_000, ZONES[number % 12],
        number % 400, KINDS[number % 2], 1.0, listing, start, 60_000.0,
    )  # fmt: skip


def whole_list(instances: int) -> wire.RosterSnapshot:
    return wire.RosterSnapshot(1, [entry(number) for number in range(instances)], "e1")


def whole_line(instances: int) -> bytes:
    return wire.encode(whole_list(instances)) + b"\n"


def following_of(instances: int) -> EndpointListFollower:
    """A dispatcher's list with this many instances."""
    follower = EndpointListFollower(ZONES, KINDS, lambda text: None)
    follower.message_received(whole_list(instances), SECOND)
    return follower


def apply_snapshot(line: bytes) -> None:
    follower = EndpointListFollower(ZONES, KINDS, lambda text: None)
    assert follower.message_received(DECODER.decode(line), SECOND).action is ListAction.APPLY


def change_line(number: int, instance: int) -> bytes:
    return wire.encode(wire.RosterUpdate(number, [entry(instance, start="s2")], "e1")) + b"\n"


def heard_change(follower: EndpointListFollower, line: bytes) -> None:
    assert follower.message_received(DECODER.decode(line), SECOND).action is ListAction.APPLY


def apply_changes(follower: EndpointListFollower, lines: list[bytes], count: int) -> None:
    """Removes this many lines from the list and applies each."""
    for _ in range(count):
        heard_change(follower, lines.pop(0))


class ListRole:
    """A dispatcher's state and traffic for the list, without the work of the decision module."""

    name = "list"
    text = "the edge's list of instances: a whole list, one change, and all changes by the instances' lives"
    sweeps: tuple[Sweep, ...] = (
        Sweep(Dimension.INSTANCES, (1_000, 2_000, 4_000, 8_000, 16_000), 32_000, 76_000),
    )
    budgets: tuple[Budget, ...] = (
        Budget(
            "whole list (bytes)",
            LineLimits().max_line_bytes,
            "the longest line that an edge takes by default",
        ),
        Budget("state_bytes", 64e6, "64 MB for all control"),
        Budget("bytes_in", 8_000, "8 KB a second for all control"),
        Budget("processor", 0.015, "1.5% of a core for all control"),
    )

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("longest-line", "a whole list over the default bound of a line", longest_line),
            Scene("at-target", "the whole list of all instances at one dispatcher", list_at_target),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        line = whole_line(size)
        follower, held = build_measured(lambda: following_of(size))
        whole = processor_seconds(lambda: apply_snapshot(line), 3)
        lines = [change_line(2 + i, i) for i in range(2 * CHANGES)]
        change = processor_seconds(lambda: apply_changes(follower, lines, 5), 3)
        steps = count_steps(lambda: heard_change(follower, lines.pop(0))).instructions
        rate = assumptions.instance_changes_per_second(size)
        each = [change.median / 5, change.low / 5, change.high / 5]
        return Sample(
            state_bytes=held, messages_in=rate, bytes_in=rate * len(lines[0]), processor=rate * each[0],
            processor_low=rate * each[1], processor_high=rate * each[2], steps=steps, figures={
                "whole list (bytes)": float(len(line)), "whole list, processor (s)": whole.median,
                "one change, processor (s)": each[0], "one change (bytes)": float(len(lines[0])),
            },
        )  # fmt: skip


def snapshot_costs(instances: int) -> tuple[bytes, int, float]:
    """The full list's line, the bytes of state it takes, and the processor time of applying it."""
    line = whole_line(instances)
    _, held = build_measured(lambda: following_of(instances))
    return line, held, processor_seconds(lambda: apply_snapshot(line), 1).median


def list_at_target(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """The list at the target's number of instances."""
    target = assumptions.target
    figures = []
    for named in (target.instances_per_region, target.instances):
        instances = named // 10 if quick else named
        line, held, whole = snapshot_costs(instances)
        rate = assumptions.instance_changes_per_second(instances) * len(change_line(2, 1))
        label = f"{instances} instances"
        figures += [
            Figure(f"state, {label}", held, "bytes", target.control_bytes),
            Figure(f"whole list, {label}", len(line), "bytes", LineLimits().max_line_bytes),
            Figure(f"whole list, processor, {label}", whole, "s", target.cold_start_seconds),
            Figure(f"changes, {label}, at the rate of their lives", rate, "bytes/s",
                   target.control_bytes_per_second),
        ]  # fmt: skip
    return figures


def longest_line(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """The largest list that an edge accepts under the default line length."""
    each = len(whole_line(2_000)) / 2_000
    below, above = 1, int(2 * LineLimits().max_line_bytes / each)
    while above - below > 1:
        candidate_size = (below + above) // 2
        below, above = (candidate_size, above) if accepts(candidate_size) else (below, candidate_size)
    return [
        Figure("most instances in a whole list", below, "instances"),
        Figure("bytes of each", each, "bytes"),
        Figure("instances at the target", assumptions.target.instances, "instances", float(below)),
    ]


class StubSource:
    """A stub of the parts of `RosterSource` and its owner that the connection uses."""

    def __init__(self) -> None:
        self.bounds = LineLimits()
        self.name, self.is_subscribed = "dispatcher-00001", False
        self.endpoints_polled = False
        self.owner = self
        self.instances = 0

    def heard(self, message: Any) -> None:
        self.instances = len(message.workers)

    def connection_lost(self, connection: Any) -> None: ...


def accepts(instances: int) -> bool:
    """Whether an edge's connection accepts the full list of this many instances."""
    source = StubSource()
    connection = EdgeConnection(source)  # type: ignore[arg-type]
    connection.makeConnection(CountingTransport(Traffic()))  # type: ignore[no-untyped-call]
    connection.paused = False
    hello = wire.Hello(wire.ROSTER, wire.VERSION, "roster")
    connection.dataReceived(wire.encode(hello) + b"\n" + whole_line(instances))
    return source.instances == instances


class StubListener:
    def getHost(self) -> Any:
        return self

    port = 1


class RosterReactor:
    """A stub reactor of the roster: time does not advance and no call is due."""

    def seconds(self) -> float:
        return 1_000.0

    def listenTCP(self, port: int, factory: Any, interface: str = "") -> StubListener:
        return StubListener()

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> None: ...


class HollowRoster:
    """A roster with this many instances and subscribers."""

    def __init__(self, instances: int, followers: int) -> None:
        self.traffic = Traffic()
        self.roster = RosterStandIn(RosterReactor(), 0.0)
        for number in range(instances):
            self.roster.publish(entry(number), 900.0)
        self.factory = RosterFactory(self.roster)
        self.connections = [self.connect() for _ in range(followers)]

    def connect(self) -> Any:
        connection = self.factory.buildProtocol(None)
        connection.makeConnection(CountingTransport(self.traffic))  # type: ignore[no-untyped-call]
        connection.paused = False
        connection.dataReceived(wire.encode(wire.Hello(wire.ROSTER, wire.VERSION, "dispatcher")) + b"\n")
        self.roster.subscribers[connection] = None
        return connection

    def request_snapshot(self) -> None:
        self.connections[0].dataReceived(wire.encode(wire.RosterRequest()) + b"\n")

    def publish_changes(self, count: int) -> None:
        for number in range(count):
            self.change(number)

    def change(self, number: int) -> None:
        self.roster.publish(entry(number % LISTED_INSTANCES, start=f"s{number}"), 950.0)


class RosterRole:
    """The roster, which sends the endpoint list to dispatchers."""

    name = "roster"
    text = "the roster's stand-in: one change to all followers, the whole list to one"
    sweeps: tuple[Sweep, ...] = (
        Sweep(Dimension.DISPATCHERS, (50, 100, 200, 400), 800, 780),
        Sweep(Dimension.INSTANCES, (1_000, 2_000, 4_000, 8_000), 16_000, 76_000),
    )
    budgets: tuple[Budget, ...] = (
        Budget("processor", 1.0, "one core of one control machine, at the target's changes"),
        Budget("whole list, processor (s)", 0.63, "a dispatcher that starts waits for it"),
    )
    scenes: tuple[Scene, ...] = ()

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        by_dispatchers = dimension is Dimension.DISPATCHERS
        instances, followers = (LISTED_INSTANCES, size) if by_dispatchers else (size, 20)
        hollow, held = build_measured(lambda: HollowRoster(instances, followers))
        hollow.traffic.messages_out = hollow.traffic.bytes_out = 0
        change = processor_seconds(lambda: hollow.publish_changes(5), 3)
        changes_sent = 15
        sent, sent_bytes = hollow.traffic.messages_out / changes_sent, hollow.traffic.bytes_out / changes_sent
        whole = processor_seconds(hollow.request_snapshot, 3)
        steps = count_steps(lambda: hollow.change(changes_sent)).instructions
        changing = assumptions.target.instances_per_region if by_dispatchers else size
        rate = assumptions.instance_changes_per_second(changing)
        seconds = [change.median / 5, change.low / 5, change.high / 5]
        return Sample(
            state_bytes=held, messages_out=sent * rate, bytes_out=sent_bytes * rate,
            processor=seconds[0] * rate, processor_low=seconds[1] * rate,
            processor_high=seconds[2] * rate, steps=steps, messages=round(sent * changes_sent), figures={
                "one change to all, processor (s)": seconds[0],
                "bytes sent a change": sent_bytes,
                "whole list, processor (s)": whole.median,
            },
        )  # fmt: skip


register(ListRole())
register(RosterRole())
