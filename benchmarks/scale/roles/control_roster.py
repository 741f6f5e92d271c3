"""The list of instances: what a whole list and one change cost a dispatcher, and whoever tells it.

`list`: the edge's `EndpointListFollower` on encoded lines, without the module. `roster`: the stand-in of the
roster that this program's tests and demonstrations run, the only one there is today; it tells every change to
every follower and every starter the whole list.
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
from lapistrestle.sources.roster import RosterConnection as EdgeSpeaker
from lapistrestle.standins.roster import RosterFactory, RosterStandIn
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder

ZONES = [f"zone-{i}" for i in range(12)]
KINDS = ["small", "large"]
DECODER = message_decoder(wire.FromRoster)
CHANGES = 20
FOLLOWED = 1_000  # instances, where followers are what grows


def entry(number: int, listing: Any = "serving", start: str = "s1") -> wire.RosterEntry:
    """One instance, named within the 24 bytes that the assumptions give it."""
    return wire.RosterEntry(
        f"instance-{number:06d}.zone-{number % 12:02d}", 10_000 + number % 50_000, ZONES[number % 12],
        number % 400, KINDS[number % 2], 1.0, listing, start, 60_000.0,
    )  # fmt: skip


def whole_list(instances: int) -> wire.RosterSnapshot:
    return wire.RosterSnapshot(1, [entry(number) for number in range(instances)], "e1")


def whole_line(instances: int) -> bytes:
    return wire.encode(whole_list(instances)) + b"\n"


def following_of(instances: int) -> EndpointListFollower:
    """A dispatcher's list with that many instances."""
    following = EndpointListFollower(ZONES, KINDS, lambda text: None)
    following.message_received(whole_list(instances), SECOND)
    return following


def heard_whole(line: bytes) -> None:
    following = EndpointListFollower(ZONES, KINDS, lambda text: None)
    assert following.message_received(DECODER.decode(line), SECOND).action is ListAction.APPLY


def change_line(number: int, instance: int) -> bytes:
    return wire.encode(wire.RosterUpdate(number, [entry(instance, start="s2")], "e1")) + b"\n"


def heard_change(following: EndpointListFollower, line: bytes) -> None:
    assert following.message_received(DECODER.decode(line), SECOND).action is ListAction.APPLY


def heard_changes(following: EndpointListFollower, lines: list[bytes], count: int) -> None:
    """So many of the lines, each once."""
    for _ in range(count):
        heard_change(following, lines.pop(0))


class ListRole:
    """What a dispatcher holds and hears of instances, without the module's own work for them."""

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
        following, held = build_measured(lambda: following_of(size))
        whole = processor_seconds(lambda: heard_whole(line), 3)
        lines = [change_line(2 + i, i) for i in range(2 * CHANGES)]
        change = processor_seconds(lambda: heard_changes(following, lines, 5), 3)
        steps = count_steps(lambda: heard_change(following, lines.pop(0))).instructions
        rate = assumptions.instance_changes_per_second(size)
        each = [change.median / 5, change.low / 5, change.high / 5]
        return Sample(
            state_bytes=held, messages_in=rate, bytes_in=rate * len(lines[0]), processor=rate * each[0],
            processor_low=rate * each[1], processor_high=rate * each[2], steps=steps, figures={
                "whole list (bytes)": float(len(line)), "whole list, processor (s)": whole.median,
                "one change, processor (s)": each[0], "one change (bytes)": float(len(lines[0])),
            },
        )  # fmt: skip


def held_and_heard(instances: int) -> tuple[bytes, int, float]:
    """The whole list's line, the bytes that it is held in, and the processor time of hearing it."""
    line = whole_line(instances)
    _, held = build_measured(lambda: following_of(instances))
    return line, held, processor_seconds(lambda: heard_whole(line), 1).median


def list_at_target(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """Measured at the target's instances."""
    target = assumptions.target
    made = []
    for named in (target.instances_per_region, target.instances):
        instances = named // 10 if quick else named
        line, held, whole = held_and_heard(instances)
        rate = assumptions.instance_changes_per_second(instances) * len(change_line(2, 1))
        label = f"{instances} instances"
        made += [
            Figure(f"state, {label}", held, "bytes", target.control_bytes),
            Figure(f"whole list, {label}", len(line), "bytes", LineLimits().max_line_bytes),
            Figure(f"whole list, processor, {label}", whole, "s", target.cold_start_seconds),
            Figure(f"changes, {label}, at the rate of their lives", rate, "bytes/s",
                   target.control_bytes_per_second),
        ]  # fmt: skip
    return made


def longest_line(seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
    """The most instances whose whole list an edge takes under the default bound."""
    each = len(whole_line(2_000)) / 2_000
    below, above = 1, int(2 * LineLimits().max_line_bytes / each)
    while above - below > 1:
        middle = (below + above) // 2
        below, above = (middle, above) if takes(middle) else (below, middle)
    return [
        Figure("most instances in a whole list", below, "instances"),
        Figure("bytes of each", each, "bytes"),
        Figure("instances at the target", assumptions.target.instances, "instances", float(below)),
    ]


class HeardBy:
    """As much of an edge as its end of the roster's connection looks at."""

    def __init__(self) -> None:
        self.bounds = LineLimits()
        self.name, self.is_subscribed = "dispatcher-00001", False
        self.endpoints_polled = False
        self.owner = self
        self.instances = 0

    def heard(self, message: Any) -> None:
        self.instances = len(message.workers)

    def connection_lost(self, speaker: Any) -> None: ...


def takes(instances: int) -> bool:
    """Whether an edge's speaker takes the whole list of so many instances as it comes."""
    source = HeardBy()
    speaker = EdgeSpeaker(source)  # type: ignore[arg-type]
    speaker.makeConnection(CountingTransport(Traffic()))  # type: ignore[no-untyped-call]
    speaker.paused = False
    hello = wire.Hello(wire.ROSTER, wire.VERSION, "roster")
    speaker.dataReceived(wire.encode(hello) + b"\n" + whole_line(instances))
    return source.instances == instances


class Listening:
    def getHost(self) -> Any:
        return self

    port = 1


class RosterReactor:
    """The roster's reactor: time stands still, nothing is due."""

    def seconds(self) -> float:
        return 1_000.0

    def listenTCP(self, port: int, factory: Any, interface: str = "") -> Listening:
        return Listening()

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> None: ...


class HollowRoster:
    """A roster with that many instances and followers."""

    def __init__(self, instances: int, followers: int) -> None:
        self.traffic = Traffic()
        self.roster = RosterStandIn(RosterReactor(), 0.0)
        for number in range(instances):
            self.roster.publish(entry(number), 900.0)
        self.factory = RosterFactory(self.roster)
        self.ends = [self.connect() for _ in range(followers)]

    def connect(self) -> Any:
        end = self.factory.buildProtocol(None)
        end.makeConnection(CountingTransport(self.traffic))  # type: ignore[no-untyped-call]
        end.paused = False
        end.dataReceived(wire.encode(wire.Hello(wire.ROSTER, wire.VERSION, "dispatcher")) + b"\n")
        self.roster.subscribers[end] = None
        return end

    def whole_for_one(self) -> None:
        self.ends[0].dataReceived(wire.encode(wire.RosterRequest()) + b"\n")

    def changes(self, count: int) -> None:
        for number in range(count):
            self.change(number)

    def change(self, number: int) -> None:
        self.roster.publish(entry(number % FOLLOWED, start=f"s{number}"), 950.0)


class RosterRole:
    """Whoever tells dispatchers of instances."""

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
        instances, followers = (FOLLOWED, size) if by_dispatchers else (size, 20)
        hollow, held = build_measured(lambda: HollowRoster(instances, followers))
        hollow.traffic.messages_out = hollow.traffic.bytes_out = 0
        change = processor_seconds(lambda: hollow.changes(5), 3)
        told = 15
        sent, sent_bytes = hollow.traffic.messages_out / told, hollow.traffic.bytes_out / told
        whole = processor_seconds(hollow.whole_for_one, 3)
        steps = count_steps(lambda: hollow.change(told)).instructions
        changing = assumptions.target.instances_per_region if by_dispatchers else size
        rate = assumptions.instance_changes_per_second(changing)
        seconds = [change.median / 5, change.low / 5, change.high / 5]
        return Sample(
            state_bytes=held, messages_out=sent * rate, bytes_out=sent_bytes * rate,
            processor=seconds[0] * rate, processor_low=seconds[1] * rate,
            processor_high=seconds[2] * rate, steps=steps, messages=round(sent * told), figures={
                "one change to all, processor (s)": seconds[0],
                "bytes sent a change": sent_bytes,
                "whole list, processor (s)": whole.median,
            },
        )  # fmt: skip


register(ListRole())
register(RosterRole())
