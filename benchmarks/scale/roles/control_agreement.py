"""Members of a replicated log (Raft): the cost of one change, by changes per second and by length of the log.

Members of `agreement.raft` run in one process and virtual time. Messages are encoded here, since the package
has no transport yet, and each `Persist` counts the bytes to be written to disk before the next effects. The
leader and one follower are metered separately.
"""

import statistics
from collections.abc import Callable, Sequence

import msgspec

from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.measuring import build_measured, processor_seconds
from benchmarks.scale.roles import register
from benchmarks.scale.roles.control_hollow import SECOND, Clock, Meter, Traffic
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample, Scene, Sweep
from lapistrestle.agreement.messages import (
    AppendEntries,
    Committed,
    Effect,
    LogEntry,
    Message,
    Persist,
    PersistentState,
    Send,
)
from lapistrestle.agreement.raft import RaftNode, RaftSettings, Role
from lapistrestle.planner.entries import CommandEntry, encode_entry

DELAY = 10  # ticks of 0.1 ms between two members in one region
FAR_DELAY = 500  # ticks of 0.1 ms between two members in different regions
DURATION = 20  # seconds
LOG_ENTRIES = 10_000  # initial length of the log, where changes per second grow
PIPELINED_CHANGES = 64  # changes per second: ten times those of the worst minute
CHANGES_PER_SECOND = 3_800 / 10 / 60  # a tenth of the day's within one minute
ENCODER = msgspec.msgpack.Encoder()


def change_entry(number: int) -> str:
    """An operator's command to start a rollout, as the planner's journal stores it."""
    command = CommandEntry(
        at=SECOND * number, id=f"order-{number:08d}", action="start", function=f"function-{number:06d}",
        operator="operator", reason="release of the day", candidate=f"version-{number:06d}",
    )  # fmt: skip
    return encode_entry(command).decode()


def make_node(name: str, names: Sequence[str], entries: Sequence[LogEntry], seed: int, now: int) -> RaftNode:
    """Creates a member whose disk holds these entries."""
    return RaftNode(name, names, PersistentState(1, "", list(entries)), RaftSettings(), seed, now)


class Agreed:
    """A Raft group in virtual time; `delay` is the one-way latency in ticks of 0.1 ms."""

    def __init__(self, count: int, log: int, delay: int, seed: int) -> None:
        self.clock, self.delay = Clock(), delay
        self.names = [f"member-{i}" for i in range(count)]
        entries = [LogEntry(1, change_entry(i)) for i in range(log)]
        self.members = {
            name: RaftNode(
                name,
                self.names,
                PersistentState(1, "", list(entries)),
                RaftSettings(),
                seed * 10 + i,
                self.clock.now,
            )
            for i, name in enumerate(self.names)
        }
        self.meters = {name: Meter() for name in self.names}
        self.traffic = {name: Traffic() for name in self.names}
        self.persisted_bytes = 0
        self.proposed_at: dict[int, int] = {}
        self.took: list[int] = []  # ticks from proposal to commit, at the leader
        for name in self.names:
            self.schedule_tick(name)
        self.clock.run(self.clock.now + 10 * SECOND)

    @property
    def leader(self) -> str:
        return next(name for name, member in self.members.items() if member.role is Role.LEADER)

    @property
    def follower(self) -> str:
        return next(name for name in self.names if name != self.leader)

    def schedule_tick(self, name: str) -> None:
        member = self.members[name]

        def run_tick() -> None:
            self.step(name, lambda: member.tick(self.clock.now))
            self.schedule_tick(name)

        self.clock.at(max(member.next_deadline, self.clock.now + 1), run_tick)

    def step(self, name: str, event: Callable[[], Sequence[Effect]]) -> None:
        effects: list[Effect] = []
        self.meters[name].run(lambda: effects.extend(event()))
        for effect in effects:
            self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.send(name, effect.to, effect.message)
        elif isinstance(effect, Persist) and name == self.names[0]:
            self.persisted_bytes += len(ENCODER.encode(effect))
        elif isinstance(effect, Committed) and effect.index in self.proposed_at and name == self.leader:
            self.took.append(self.clock.now - self.proposed_at.pop(effect.index))

    def send(self, sender: str, to: str, message: Message) -> None:
        data: list[bytes] = []
        self.meters[sender].run(lambda: data.append(ENCODER.encode(message)))
        self.traffic[sender].sent(data[0])
        self.traffic[to].received(data[0])
        self.clock.at(self.clock.now + self.delay, self.deliver, sender, to, message)

    def deliver(self, sender: str, to: str, message: Message) -> None:
        self.step(to, lambda: self.members[to].on_message(sender, message, self.clock.now))

    def propose(self, number: int) -> None:
        leader = self.leader
        member = self.members[leader]
        at = member.last_index + 1
        self.proposed_at[at] = self.clock.now
        self.step(leader, lambda: member.propose(change_entry(number), self.clock.now)[1])

    def load(self, changes: int, seconds: int) -> None:
        """Proposes this many changes per second, evenly spaced."""
        start = self.clock.now
        for i in range(changes * seconds):
            self.clock.at(start + SECOND * i // changes, self.propose, i)
        self.clock.run(start + seconds * SECOND)
        self.clock.run(self.clock.now + 4 * self.delay + 1)

    def reset_counts(self) -> None:
        for name in self.names:
            self.meters[name].seconds, self.meters[name].steps, self.traffic[name] = 0.0, 0, Traffic()
        self.persisted_bytes, self.took = 0, []


def by_changes(count: int, changes: int, delay: int, seed: int) -> Sample:
    """Measures the leader at this many changes per second."""
    agreed = Agreed(count, LOG_ENTRIES, delay, seed)
    agreed.reset_counts()
    agreed.load(changes, DURATION)
    leader, follower = agreed.leader, agreed.follower
    traffic, meter = agreed.traffic[leader], agreed.meters[leader]
    done = changes * DURATION
    committed = len(agreed.took)
    cores, figures = meter.seconds / DURATION, {
        "processor of a follower (cores)": agreed.meters[follower].seconds / DURATION,
        "bytes sent a change": traffic.bytes_out / done,
        "bytes to disk a change": agreed.persisted_bytes / done,
        "agreed of proposed": committed / done,
        "proposal to agreement (ms)": statistics.median(agreed.took) / 10,
    }  # fmt: skip
    messages = traffic.messages_in + traffic.messages_out
    meter.counts_steps = True
    agreed.load(changes, 1)
    return Sample(
        state_bytes=0.0, messages_in=traffic.messages_in / DURATION,
        messages_out=traffic.messages_out / DURATION,
        bytes_in=traffic.bytes_in / DURATION, bytes_out=traffic.bytes_out / DURATION, processor=cores,
        processor_low=cores, processor_high=cores, steps=meter.steps, messages=messages,
        simulated_seconds=DURATION, figures=figures,
    )  # fmt: skip


class AgreementChanges:
    """The leader's cost by changes per second."""

    budgets: tuple[Budget, ...] = (Budget("processor", 1.0, "a core of a control machine"),)

    def __init__(self, count: int, delay: int, where: str) -> None:
        self.count, self.delay = count, delay
        scene = Scene("several in a round trip", "ten times the changes of the worst minute", self.pipelined)
        self.scenes: tuple[Scene, ...] = (scene,)
        sizes, beyond = ((1, 4, 16, 64), 256) if delay == DELAY else ((1, 2, 4, 8), 16)
        self.sweeps: tuple[Sweep, ...] = (Sweep(Dimension.CHANGES, sizes, beyond, CHANGES_PER_SECOND),)
        self.name = f"agreement-{count}-{where}"
        self.text = (
            f"the leader of {count} members of an agreed log, {delay / 10:g} ms apart, by changes a second"
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        return by_changes(self.count, size, self.delay, seed)

    def pipelined(self, seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
        """With distant members several changes are in flight at once."""
        rate = 16 if quick else PIPELINED_CHANGES
        sample = by_changes(self.count, rate, self.delay, seed)
        bytes_each = sample.figures["bytes sent a change"]
        return [
            Figure(f"bytes sent a change, {rate} a second", bytes_each, "bytes"),
            Figure(f"messages of the leader, {rate} a second", sample.messages_out, "messages/s"),
            Figure(f"processor of the leader, {rate} a second", sample.processor, "cores", 1.0),
        ]


def restart_seconds(entries: list[LogEntry]) -> float:
    """Processor time of a member that restarts with this log and commits it again."""

    def restart() -> None:
        member = RaftNode(
            "member-0", ["member-0"], PersistentState(1, "", list(entries)), RaftSettings(), 1, 0
        )
        member.tick(member.next_deadline)
        assert member.commit_index >= len(entries)

    return processor_seconds(restart, 3).median


def handle_message(meter: Meter, member: RaftNode, sender: str, message: Message, now: int) -> list[Effect]:
    """Runs a member's handling of a message under the meter."""
    effects: list[Effect] = []
    meter.run(lambda: effects.extend(member.on_message(sender, message, now)))
    return effects


def catch_up(entries: list[LogEntry]) -> tuple[float, float, float]:
    """Catch-up of a follower without a log; returns processor seconds of both, bytes and virtual seconds."""
    clock, meter, traffic = Clock(), Meter(), Traffic()
    names = ["member-0", "member-1", "member-2"]
    leader = make_node(names[0], names, entries, 1, clock.now)
    follower = make_node(names[1], names, (), 2, clock.now)
    leader.start_election(clock.now, pre_vote=False)
    leader.votes.add(names[2])
    leader.count_votes(clock.now)
    outbox = [effect for effect in leader.take_effects() if isinstance(effect, Send)]
    start, last = clock.now, leader.last_index
    while outbox and follower.last_index < last:
        appends = [
            effect for effect in outbox if effect.to == names[1] and isinstance(effect.message, AppendEntries)
        ]
        effects: list[Effect] = []
        for effect in appends:
            traffic.sent(ENCODER.encode(effect.message))
            effects += handle_message(meter, follower, names[0], effect.message, clock.now)
        answers = [effect for effect in effects if isinstance(effect, Send)]
        clock.run(clock.now + 2 * DELAY)
        back: list[Effect] = []
        for answer in answers:
            back += handle_message(meter, leader, names[1], answer.message, clock.now)
        outbox = [effect for effect in back if isinstance(effect, Send)]
    assert follower.last_index == last, "the follower did not catch up"
    return meter.seconds, float(traffic.bytes_out), (clock.now - start) / SECOND


class AgreementLog:
    """A log without compaction, by its length, which grows with the changes of functions."""

    name = "agreement-log"
    text = "one member's log without compaction, by entries (3,800 a day)"
    sweeps: tuple[Sweep, ...] = (
        Sweep(Dimension.FUNCTIONS, (2_000, 4_000, 8_000, 16_000), 32_000, 3_800 * 365),
    )
    budgets: tuple[Budget, ...] = (Budget("catch-up (s)", 4.0, "a change is in force within 4 s"),)

    def __init__(self) -> None:
        self.scenes: tuple[Scene, ...] = (
            Scene("proposal", "one change at the target's worst minute, by members", self.proposal),
        )

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample:
        entries, state_bytes_held = build_measured(
            lambda: [LogEntry(1, change_entry(i)) for i in range(size)]
        )
        processor, data, catch_up_seconds = catch_up(entries)
        return Sample(
            state_bytes=state_bytes_held, bytes_out=data, figures={
                "restart, processor (s)": restart_seconds(entries), "catch-up (s)": catch_up_seconds,
                "catch-up, processor (s)": processor,
            },
        )  # fmt: skip

    def proposal(self, seed: int, assumptions: Assumptions, quick: bool) -> list[Figure]:
        """Latency and cost at the changes of the worst minute, with members in one region and in several."""
        target = assumptions.target
        rate = max(1, round(target.changes_per_day * assumptions.restarts.burst_changes_part / 60))
        figures = []
        for count in (3, 5, 15):  # fifteen: three in each region
            for where, delay in (("one region", DELAY), ("several regions", FAR_DELAY)):
                sample = by_changes(count, rate, delay, seed)
                label = f"{count} members, {where}, {rate} changes a second"
                figures += [
                    Figure(
                        f"proposal to agreement, {label}", sample.figures["proposal to agreement (ms)"], "ms"
                    ),
                    Figure(f"processor of the leader, {label}", sample.processor, "cores", 1.0),
                    Figure(f"bytes sent a change, {label}", sample.figures["bytes sent a change"], "bytes"),
                ]
        return figures


for members in (3, 5):
    register(AgreementChanges(members, DELAY, "near"))
register(AgreementChanges(5, FAR_DELAY, "far"))
register(AgreementLog())
