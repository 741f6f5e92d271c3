"""Members of a Raft group in virtual time, faults between them, and the invariants that must hold.

One step is one event: a word arrives, a member's time has come, something is asked of one. Members are killed
between any two effects, with or without their disk; links lose, double, delay and cut, also one way.
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
    """Chances by message or by second; spans in tenths of a millisecond."""

    loss: float = 0.05
    doubled: float = 0.05
    late: float = 0.02  # of words that take up to `slow` instead of `delay`
    delay: tuple[int, int] = (5, 60)
    slow: int = 6_000
    kills: float = 0.3  # a second
    cuts: float = 0.3
    stalls: float = 0.2
    asks: float = 20.0
    back: tuple[int, int] = (100, 3 * SECOND)  # after which one that was killed is there again


@dataclass
class Invariants:
    """What must hold for all members together, whoever was killed; `breaches` says what did not."""

    agreed: dict[int, LogEntry] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    breaches: list[str] = field(default_factory=list)

    @property
    def acknowledged(self) -> int:
        """Up to this index something was answered as taken: members agree in order, so none is left out."""
        return len(self.agreed)

    def check_leader(self, name: str, term: int) -> None:
        if self.leaders.setdefault(term, name) != name:
            self.breaches.append(f"term {term} is led by {self.leaders[term]} and {name}")

    def check_commit(self, name: str, index: int, entry: LogEntry) -> None:
        if self.agreed.setdefault(index, entry) != entry:
            self.breaches.append(f"{name} agrees on {entry} at {index}, another on {self.agreed[index]}")

    def check_message(self, name: str, to: str, message: Message, disk: PersistentState) -> None:
        """What is said has to be on disk by then: a kill may follow at once."""
        match message:
            case RequestVoteReply(granted=True, pre_vote=False):
                stands = (disk.term, disk.voted_for) == (message.term, to)
            case RequestVote(pre_vote=False):
                stands = (disk.term, disk.voted_for) == (message.term, name)
            case AppendEntriesReply(success=True):
                stands = len(disk.entries) >= message.index
            case AppendEntries():
                stands = len(disk.entries) >= message.prev_log_index + len(message.entries)
            case _:
                stands = True
        if not stands:
            self.breaches.append(f"{name} says {message} and its disk stands for something else")

    def check_own_term(self, name: str, term: int, commits: Sequence[Committed]) -> None:
        """A leader agrees on entries of earlier terms only beneath one of its own."""
        if commits and commits[-1].entry.term != term:
            self.breaches.append(f"{name}, leading term {term}, agrees on {commits[-1]} by its copies")

    def check_read(self, name: str, index: int, asked_at: int) -> None:
        if index < asked_at:
            self.breaches.append(f"{name} reads at {index}, agreed was {asked_at} when it was asked")


MakeNode = Callable[..., RaftNode]


class RaftCluster:
    """`make` makes a member; `faults` and `seed` decide the day."""

    def __init__(
        self, count: int, seed: int, faults: FaultRates, make: MakeNode = RaftNode,
        settings: RaftSettings | None = None,
    ) -> None:  # fmt: skip
        self.names = [f"m{i}" for i in range(count)]
        self.random, self.faults, self.make = random.Random(seed), faults, make
        self.settings = settings or RaftSettings()
        self.now, self.order, self.starts = 0, 0, 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.disks = {name: PersistentState() for name in self.names}
        self.members: dict[str, RaftNode] = {}
        self.stalled: dict[str, int] = {}
        self.cut = set[tuple[str, str]]()
        self.invariants = Invariants()
        self.asked: dict[Any, int] = {}  # reads: up to where it was agreed when they were asked
        self.done_reads = self.commands = self.kills = 0
        self.dying: dict[str, int] = {}  # killed after so many more effects
        for name in self.names:
            self.start(name)

    # time

    def at(self, delay: int, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, call))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until and not self.invariants.breaches:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = max(self.now, until)

    # members

    def start(self, name: str) -> None:
        self.starts += 1
        disk = self.disks[name]
        held = PersistentState(disk.term, disk.voted_for, list(disk.entries))
        made = self.members[name] = self.make(name, self.names, held, self.settings, self.starts, self.now)
        self.wake(name, made)

    def wake(self, name: str, made: RaftNode) -> None:
        def turn() -> None:
            if self.members.get(name) is made:
                self.step(name, lambda: made.tick(self.now))
                self.wake(name, made)

        self.at(max(1, made.next_deadline - self.now, self.stalled.get(name, 0) - self.now), turn)

    def step(self, name: str, event: Callable[[], Sequence[Effect]]) -> None:
        """One event at one member, and its effects, unless it is killed between two of them."""
        made = self.members[name]
        effects = event()
        if made.role is Role.LEADER:
            self.invariants.check_leader(name, made.term)
            self.invariants.check_own_term(name, made.term, [e for e in effects if isinstance(e, Committed)])
        for effect in effects:
            left = self.dying.get(name, 1)
            if not left:
                return self.kill(name)
            if name in self.dying:
                self.dying[name] = left - 1
            self.do(name, effect)

    def do(self, name: str, effect: Effect) -> None:
        disk = self.disks[name]
        match effect:
            case Persist():
                disk.term, disk.voted_for = effect.term, effect.voted_for
                if effect.first_index:
                    disk.entries[effect.first_index - 1 :] = effect.entries
            case Send():
                self.invariants.check_message(name, effect.to, effect.message, disk)
                self.post(name, effect.to, effect.message)
            case Committed():
                self.invariants.check_commit(name, effect.index, effect.entry)
            case ReadResult():
                asked_at = self.asked.pop(effect.request_id)
                if effect.index is not None:
                    self.done_reads += 1
                    self.invariants.check_read(name, effect.index, asked_at)

    def kill(self, name: str, disk: bool = True) -> None:
        if self.members.pop(name, None) is None:
            return
        self.kills += 1
        self.dying.pop(name, None)
        if not disk:
            self.disks[name] = PersistentState()
        self.at(self.random.randint(*self.faults.back), lambda: self.start(name))

    # words

    def post(self, sender: str, to: str, message: Any) -> None:
        faults, chance = self.faults, self.random.random
        if (sender, to) in self.cut or chance() < faults.loss:
            return
        for _ in range(1 + (chance() < faults.doubled)):
            low, high = faults.delay if chance() >= faults.late else (faults.delay[1], faults.slow)
            self.at(self.random.randint(low, high), lambda: self.arrive(sender, to, message))

    def arrive(self, sender: str, to: str, message: Any) -> None:
        held = self.stalled.get(to, 0) - self.now
        if held > 0:
            return self.at(held, lambda: self.arrive(sender, to, message))
        if (made := self.members.get(to)) is not None:
            self.step(to, lambda: made.on_message(sender, message, self.now))

    # the day

    def day(self, seconds: float) -> None:
        for chance, event in (
            (self.faults.kills, self.some_kill), (self.faults.cuts, self.some_cut),
            (self.faults.stalls, self.some_stall), (self.faults.asks, self.some_ask),
        ):  # fmt: skip
            if chance:
                self.again(chance, event)
        self.run(int(seconds * SECOND))

    def again(self, chance: float, event: Callable[[], None]) -> None:
        def turn() -> None:
            event()
            self.again(chance, event)

        self.at(1 + int(self.random.expovariate(chance) * SECOND), turn)

    def some_kill(self) -> None:
        name = self.random.choice(self.names)
        if self.random.random() < 0.5:
            self.dying[name] = self.random.randint(0, 6)
        else:
            self.kill(name)

    def some_cut(self) -> None:
        some = set(self.random.sample(self.names, self.random.randint(1, len(self.names) // 2)))
        pairs = {(a, b) for a in some for b in self.names if b not in some}
        if self.random.random() < 0.5:
            pairs |= {(b, a) for a, b in pairs}
        self.cut |= pairs
        self.at(self.random.randint(SECOND // 5, 3 * SECOND), lambda: self.cut.difference_update(pairs))

    def some_stall(self) -> None:
        self.stalled[self.random.choice(self.names)] = self.now + self.random.randint(1_000, 4 * SECOND)

    def some_ask(self) -> None:
        """A command or a read, at whoever is there: also at one that only thinks that it leads."""
        name = self.random.choice([*self.members] or [""])
        made = self.members.get(name)
        if made is None or self.stalled.get(name, 0) > self.now:
            return
        self.commands += 1
        command = self.commands
        if self.random.random() < 0.5:
            self.step(name, lambda: made.propose(command, self.now)[1])
        else:
            self.asked[command] = self.invariants.acknowledged
            self.step(name, lambda: made.read(command, self.now))

    # what follows a day

    def calm(self, seconds: float) -> None:
        """All members return and faults end."""
        self.faults = FaultRates(0, 0, 0, self.faults.delay, 0, 0, 0, 0, 0)
        self.cut.clear()
        self.stalled.clear()
        self.queue = [item for item in self.queue if getattr(item[2], "__name__", "") != "turn"]
        heapq.heapify(self.queue)
        for name, made in list(self.members.items()):
            self.wake(name, made)
        for name in self.names:
            if name not in self.members:
                self.start(name)
        self.run(self.now + int(seconds * SECOND))

    def leading(self) -> list[str]:
        return [name for name, made in self.members.items() if made.role is Role.LEADER]
