"""Fault-injection simulation of a Raft group in virtual time, with checks of its invariants.

A step is one event of one member: a message, a timer, a command or a read. Members are killed between any two
effects, with or without the loss of their disk; links lose, duplicate and delay messages, and are cut in one
or both directions.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from lapistrestle.agreement.messages import (
    AppendEntries,
    AppendEntriesReply,
    Committed,
    Effect,
    LogEntry,
    Message,
    Persist,
    PersistentState,
    ReadResult,
    RequestVote,
    RequestVoteReply,
    Send,
)
from lapistrestle.agreement.raft import RaftNode, RaftSettings, Role
from lapistrestle.ticks import SECOND


@dataclass(frozen=True)
class FaultRates:
    """Probabilities per message, and events per second; times are in ticks of 0.1 ms."""

    loss: float = 0.05
    duplicated: float = 0.05
    late: float = 0.02  # messages with a delay of up to `slow` instead of `delay`
    delay: tuple[int, int] = (5, 60)
    slow: int = 6_000
    kills: float = 0.3  # a second
    cuts: float = 0.3
    stalls: float = 0.2
    requests: float = 20.0
    downtime: tuple[int, int] = (100, 3 * SECOND)  # time until a killed member restarts


@dataclass
class Invariants:
    """Invariants across all members, whichever are killed; `breaches` lists those that were violated."""

    agreed: dict[int, LogEntry] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    breaches: list[str] = field(default_factory=list)

    @property
    def acknowledged(self) -> int:
        """The highest committed index. Members commit in order, so there are no gaps below it."""
        return len(self.agreed)

    def check_leader(self, name: str, term: int) -> None:
        if self.leaders.setdefault(term, name) != name:
            self.breaches.append(f"term {term} has two leaders: {self.leaders[term]} and {name}")

    def check_commit(self, name: str, index: int, entry: LogEntry) -> None:
        if self.agreed.setdefault(index, entry) != entry:
            self.breaches.append(f"{name} commits {entry} at {index}, another member {self.agreed[index]}")

    def check_message(self, name: str, to: str, message: Message, disk: PersistentState) -> None:
        """Checks that what a message claims is on disk before it is sent: a kill may follow at once."""
        match message:
            case RequestVoteReply(granted=True, pre_vote=False):
                is_persisted = (disk.term, disk.voted_for) == (message.term, to)
            case RequestVote(pre_vote=False):
                is_persisted = (disk.term, disk.voted_for) == (message.term, name)
            case AppendEntriesReply(success=True):
                is_persisted = len(disk.entries) >= message.index
            case AppendEntries():
                is_persisted = len(disk.entries) >= message.prev_log_index + len(message.entries)
            case _:
                is_persisted = True
        if not is_persisted:
            self.breaches.append(f"{name} sends {message}, which its disk does not back")

    def check_own_term(self, name: str, term: int, commits: Sequence[Committed]) -> None:
        """Checks that a leader commits entries of earlier terms only together with one of its own term."""
        if commits and commits[-1].entry.term != term:
            self.breaches.append(f"{name}, leader of term {term}, commits {commits[-1]} by counting copies")

    def check_read(self, name: str, index: int, commit_index: int) -> None:
        if index < commit_index:
            self.breaches.append(
                f"{name} reads at {index}; the commit index was {commit_index} at the request"
            )


MakeNode = Callable[..., RaftNode]


class RaftCluster:
    """`make` creates a member; `faults` and `seed` determine all events."""

    def __init__(
        self, count: int, seed: int, faults: FaultRates, make: MakeNode = RaftNode,
        settings: RaftSettings | None = None,
    ) -> None:  # fmt: skip
        self.names = [f"m{i}" for i in range(count)]
        self.random, self.faults, self.make = random.Random(seed), faults, make
        self.settings = settings or RaftSettings()
        self.now, self.event_count, self.starts = 0, 0, 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.disks = {name: PersistentState() for name in self.names}
        self.members: dict[str, RaftNode] = {}
        self.stalled: dict[str, int] = {}
        self.cut_links = set[tuple[str, str]]()
        self.invariants = Invariants()
        self.pending_reads: dict[Any, int] = {}  # commit index at the request, by read
        self.done_reads = self.commands = self.kills = 0
        self.effects_until_kill: dict[str, int] = {}  # members that are killed after so many more effects
        for name in self.names:
            self.start(name)

    # time

    def at(self, delay: int, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay, self.event_count, call))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until and not self.invariants.breaches:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = max(self.now, until)

    # members

    def start(self, name: str) -> None:
        self.starts += 1
        disk = self.disks[name]
        persisted = PersistentState(disk.term, disk.voted_for, list(disk.entries))
        node = self.members[name] = self.make(
            name, self.names, persisted, self.settings, self.starts, self.now
        )
        self.schedule_tick(name, node)

    def schedule_tick(self, name: str, node: RaftNode) -> None:
        def turn() -> None:
            if self.members.get(name) is node:
                self.step(name, lambda: node.tick(self.now))
                self.schedule_tick(name, node)

        self.at(max(1, node.next_deadline - self.now, self.stalled.get(name, 0) - self.now), turn)

    def step(self, name: str, event: Callable[[], Sequence[Effect]]) -> None:
        """Runs one event of a member and performs its effects, unless it is killed between two of them."""
        node = self.members[name]
        effects = event()
        if node.role is Role.LEADER:
            self.invariants.check_leader(name, node.term)
            self.invariants.check_own_term(name, node.term, [e for e in effects if isinstance(e, Committed)])
        for effect in effects:
            effects_left = self.effects_until_kill.get(name, 1)
            if not effects_left:
                return self.kill(name)
            if name in self.effects_until_kill:
                self.effects_until_kill[name] = effects_left - 1
            self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        disk = self.disks[name]
        match effect:
            case Persist():
                disk.term, disk.voted_for = effect.term, effect.voted_for
                if effect.first_index:
                    disk.entries[effect.first_index - 1 :] = effect.entries
            case Send():
                self.invariants.check_message(name, effect.to, effect.message, disk)
                self.send(name, effect.to, effect.message)
            case Committed():
                self.invariants.check_commit(name, effect.index, effect.entry)
            case ReadResult():
                commit_index = self.pending_reads.pop(effect.request_id)
                if effect.index is not None:
                    self.done_reads += 1
                    self.invariants.check_read(name, effect.index, commit_index)

    def kill(self, name: str, disk: bool = True) -> None:
        if self.members.pop(name, None) is None:
            return
        self.kills += 1
        self.effects_until_kill.pop(name, None)
        if not disk:
            self.disks[name] = PersistentState()
        self.at(self.random.randint(*self.faults.downtime), lambda: self.start(name))

    # messages

    def send(self, sender: str, to: str, message: Any) -> None:
        faults, chance = self.faults, self.random.random
        if (sender, to) in self.cut_links or chance() < faults.loss:
            return
        for _ in range(1 + (chance() < faults.duplicated)):
            low, high = faults.delay if chance() >= faults.late else (faults.delay[1], faults.slow)
            self.at(self.random.randint(low, high), lambda: self.deliver(sender, to, message))

    def deliver(self, sender: str, to: str, message: Any) -> None:
        delay = self.stalled.get(to, 0) - self.now
        if delay > 0:
            return self.at(delay, lambda: self.deliver(sender, to, message))
        if (node := self.members.get(to)) is not None:
            self.step(to, lambda: node.on_message(sender, message, self.now))

    # random events

    def day(self, seconds: float) -> None:
        for chance, event in (
            (self.faults.kills, self.random_kill), (self.faults.cuts, self.random_cut),
            (self.faults.stalls, self.random_stall), (self.faults.requests, self.random_request),
        ):  # fmt: skip
            if chance:
                self.schedule_repeatedly(chance, event)
        self.run(int(seconds * SECOND))

    def schedule_repeatedly(self, chance: float, event: Callable[[], None]) -> None:
        def turn() -> None:
            event()
            self.schedule_repeatedly(chance, event)

        self.at(1 + int(self.random.expovariate(chance) * SECOND), turn)

    def random_kill(self) -> None:
        name = self.random.choice(self.names)
        if self.random.random() < 0.5:
            self.effects_until_kill[name] = self.random.randint(0, 6)
        else:
            self.kill(name)

    def random_cut(self) -> None:
        isolated = set(self.random.sample(self.names, self.random.randint(1, len(self.names) // 2)))
        pairs = {(a, b) for a in isolated for b in self.names if b not in isolated}
        if self.random.random() < 0.5:
            pairs |= {(b, a) for a, b in pairs}
        self.cut_links |= pairs
        self.at(self.random.randint(SECOND // 5, 3 * SECOND), lambda: self.cut_links.difference_update(pairs))

    def random_stall(self) -> None:
        self.stalled[self.random.choice(self.names)] = self.now + self.random.randint(1_000, 4 * SECOND)

    def random_request(self) -> None:
        """Sends a command or a read to any running member, also one that wrongly believes it leads."""
        name = self.random.choice([*self.members] or [""])
        node = self.members.get(name)
        if node is None or self.stalled.get(name, 0) > self.now:
            return
        self.commands += 1
        command = self.commands
        if self.random.random() < 0.5:
            self.step(name, lambda: node.propose(command, self.now)[1])
        else:
            self.pending_reads[command] = self.invariants.acknowledged
            self.step(name, lambda: node.read(command, self.now))

    # recovery

    def run_without_faults(self, seconds: float) -> None:
        """Ends all faults, restarts killed members and runs for `seconds`."""
        self.faults = FaultRates(0, 0, 0, self.faults.delay, 0, 0, 0, 0, 0)
        self.cut_links.clear()
        self.stalled.clear()
        # drops the timers and random events, whose callbacks are called "turn"; messages in flight stay
        self.queue = [item for item in self.queue if getattr(item[2], "__name__", "") != "turn"]
        heapq.heapify(self.queue)
        for name, node in list(self.members.items()):
            self.schedule_tick(name, node)
        for name in self.names:
            if name not in self.members:
                self.start(name)
        self.run(self.now + int(seconds * SECOND))

    def leading(self) -> list[str]:
        return [name for name, node in self.members.items() if node.role is Role.LEADER]
