"""What a runner does with calls: cores, queue, memory, copies, loads, warming up, falling over. No sockets.

A copy of a function holds memory and runs `lanes` calls at once; a call also needs a core for its work. What
finds no copy waits for a load or is answered `miss`, as the fleet's way is. A runner that starts does only
part of its work; sent too much in that time it falls over and stays down.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lapistrestle.standins.store import Fetch, Store


@dataclass
class RunnerFacts:
    cores: int = 4
    speed: float = 1.0  # of a core, the yardstick being 1
    memory: float = 14_000.0  # MB
    queue: int = 100  # calls waiting; further ones are turned away
    loads: int = 4  # at once
    absent: str = "load"
    idle_life: float = 10.0  # seconds
    cold_share: float = 1.0
    ramp: float = 0.0
    fall_multiple: float = 4.0
    fall_time: float = 3.0
    fetch_share: float = 0.7  # of a load; the rest is the start
    drops_waiting: bool = True  # a cancel drops a call that waits
    stops_running: bool = False  # and one that runs
    remembers: float = 5.0  # seconds for which a token is known


@dataclass(eq=False)
class Task:
    """One call-out at the runner."""

    function: str
    work: float  # seconds on a yardstick core
    memory: float
    lanes: int
    load: float  # seconds that a load takes
    end: Callable[["Task", str, str, dict[str, Any]], None]  # outcome, warmth, more
    begin: Callable[["Task"], bool]  # told when it starts to run; False: a repeat, dropped
    warmth: str = ""
    company: int = 0
    running: bool = False
    over: bool = False


@dataclass(eq=False)
class Copies:
    """The copies of one function."""

    memory: float
    lanes: int
    load: float
    standing: int = 0
    loading: int = 0
    busy: int = 0  # calls that run
    tasks: int = 0  # calls here, waiting or running
    used: float = 0.0  # when one was last used or asked for
    orders: list[tuple[int, Callable[[str, int], None]]] = field(default_factory=list)
    fetches: list[Fetch] = field(default_factory=list)

    def idle(self) -> int:
        return self.standing - -(-self.busy // self.lanes)


class Engine:
    """One runner from its start to its end."""

    def __init__(
        self, reactor: Any, facts: RunnerFacts, store: Store, fall: Callable[[], None], cold: bool
    ) -> None:
        self.reactor, self.facts, self.store, self.fall = reactor, facts, store, fall
        self.booted = reactor.seconds() - (0.0 if cold else 1e6)
        self.copies: dict[str, Copies] = {}
        self.queue: deque[Task] = deque()
        self.load_queue: deque[str] = deque()
        self.running = self.loads = 0
        self.draining = self.dead = self.pushed_over = False
        self.slower = 1.0  # troubles: work takes so many times longer,
        self.taken = 0  # so many cores are another program's,
        self.failing = False  # every call fails at once,
        self.paused = False  # nothing moves
        self.kept: deque[Callable[[], None]] = deque()  # what a pause holds up
        self.pushed: deque[tuple[float, float]] = deque()  # work that came, while cold
        self.load_fails: Callable[[str], bool] = lambda function: False
        self.report_late = 0.0
        self.reports: deque[tuple[float, dict[str, float]]] = deque()
        reactor.callLater(0.5, self.sweep)

    # capacity

    def warmth(self) -> float:
        facts = self.facts
        if not facts.ramp:
            return 1.0
        age = self.reactor.seconds() - self.booted
        return min(1.0, facts.cold_share + (1 - facts.cold_share) * age / facts.ramp)

    def push(self, work: float) -> None:
        """All that comes pushes a cold runner, what it turns away too."""
        share, facts, now = self.warmth(), self.facts, self.reactor.seconds()
        if share >= 1:
            return
        self.pushed.append((now, work))
        while self.pushed[0][0] <= now - facts.fall_time:
            self.pushed.popleft()
        most = facts.fall_multiple * share * facts.cores * facts.speed * facts.fall_time
        if sum(w for _, w in self.pushed) > most:
            self.dead = self.pushed_over = True
            self.fall()

    def report(self) -> dict[str, float]:
        """Load as it was told last; troubles make that late."""
        now = self.reactor.seconds()
        busy = sum(c.memory * (c.standing - c.idle() + c.loading) for c in self.copies.values())
        fresh = {
            "utilization": min(1.0, self.running / self.facts.cores),
            "backlog": float(len(self.queue)),
            "x0": round(busy / self.facts.memory, 4),
            "x1": float(self.loads + len(self.load_queue)),
            "outstanding": float(len(self.queue) + self.running),
        }
        self.reports.append((now, fresh))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_late:
            self.reports.popleft()
        return self.reports[0][1]

    # calls

    def run(self, task: Task) -> None:
        copies = self.of(task.function, task.memory, task.lanes, task.load)
        task.company = copies.tasks
        self.push(task.work)
        if self.dead:
            return
        if self.failing:
            return self.answer(task, "error")
        if self.draining or len(self.queue) >= self.facts.queue:
            return self.answer(task, "full")
        if copies.standing:
            task.warmth = "stood"
        elif copies.loading:
            task.warmth = "joined load"
        elif self.facts.absent == "miss":
            return self.answer(task, "miss")
        elif self.room(task.memory):
            task.warmth = "began load"
        else:
            return self.answer(task, "full")
        copies.tasks += 1
        copies.used = self.reactor.seconds()
        self.queue.append(task)
        self.move()

    def answer(self, task: Task, outcome: str, warmth: str = "") -> None:
        task.over = True
        more = {"company": task.company, "report": self.report()}
        self.when_awake(lambda: task.end(task, outcome, warmth or task.warmth, more))

    def when_awake(self, call: Callable[[], None]) -> None:
        if self.paused:
            self.kept.append(call)
        elif not self.dead:
            call()

    def pause(self, on: bool) -> None:
        self.paused = on
        while self.kept and not self.paused:
            self.kept.popleft()()
        self.move()

    def move(self) -> None:
        """Start what has a copy and a core; let full copies have another one loaded."""
        if self.paused or self.dead:
            return
        waiting: deque[Task] = deque()
        cores = max(1, self.facts.cores - self.taken)
        while self.queue:
            task = self.queue.popleft()
            copies = self.copies[task.function]
            if copies.busy < copies.standing * copies.lanes and self.running < cores:
                self.start(task, copies)
                continue
            if not copies.loading and copies.busy >= copies.standing * copies.lanes:
                self.load(task.function)
            waiting.append(task)
        self.queue = waiting

    def start(self, task: Task, copies: Copies) -> None:
        self.running += 1
        copies.busy += 1
        copies.used = self.reactor.seconds()
        task.running = True
        took = task.work * self.slower / (self.facts.speed * self.warmth())
        if not task.begin(task):
            took = 0.001
        self.reactor.callLater(took, self.when_awake, lambda: self.finish(task, copies))

    def finish(self, task: Task, copies: Copies) -> None:
        self.running -= 1
        copies.busy -= 1
        copies.tasks -= 1
        copies.used = self.reactor.seconds()
        if not task.over:
            self.answer(task, "ok")
        self.move()

    def cancel(self, task: Task) -> bool:
        """True if the call is dropped; it ends as cancelled."""
        if task.over:
            return False
        if not task.running and self.facts.drops_waiting and task in self.queue:
            self.queue.remove(task)
            self.copies[task.function].tasks -= 1
            self.answer(task, "cancelled")
            return True
        if task.running and self.facts.stops_running:
            self.answer(task, "cancelled")  # its core is free only when its time is up: a simple stand-in
            return True
        return False

    # copies

    def of(self, function: str, memory: float, lanes: int, load: float) -> Copies:
        if function not in self.copies:
            self.copies[function] = Copies(memory, max(1, lanes), load)
        return self.copies[function]

    def used(self) -> float:
        return sum(c.memory * (c.standing + c.loading) for c in self.copies.values())

    def room(self, memory: float) -> bool:
        """Room for one more copy; idle ones of other functions give way, the longest unused first."""
        if memory > self.facts.memory:
            return False
        for copies in sorted(self.copies.values(), key=lambda c: c.used):
            while self.used() + memory > self.facts.memory and copies.idle() > 0 and not copies.tasks:
                copies.standing -= 1
        return self.used() + memory <= self.facts.memory

    def load(self, function: str) -> bool:
        copies = self.copies[function]
        if not self.room(copies.memory):
            return False
        copies.loading += 1
        self.load_queue.append(function)
        self.next_load()
        return True

    def next_load(self) -> None:
        while self.load_queue and self.loads < self.facts.loads and not self.dead:
            function = self.load_queue.popleft()
            self.loads += 1
            self.fetch(function, self.copies[function])

    def fetch(self, function: str, copies: Copies) -> None:
        def done(ok: bool) -> None:
            copies.fetches.remove(fetch)
            if not ok or self.load_fails(function):
                return self.when_awake(lambda: self.loaded(function, False))
            rest = copies.load * (1 - self.facts.fetch_share) * self.slower
            self.reactor.callLater(rest, self.when_awake, lambda: self.loaded(function, True))

        fetch = self.store.fetch(copies.load * self.facts.fetch_share, done)
        copies.fetches.append(fetch)

    def loaded(self, function: str, ok: bool) -> None:
        copies = self.copies[function]
        self.loads -= 1
        copies.loading -= 1
        copies.used = self.reactor.seconds()
        copies.standing += ok
        if not ok and not copies.standing and not copies.loading:
            failed = "miss" if self.facts.absent == "miss" else "error"
            for task in [t for t in self.queue if t.function == function]:
                self.queue.remove(task)
                copies.tasks -= 1
                self.answer(task, failed, "load failed")
        self.settle(copies, ok)
        self.next_load()
        self.move()

    def settle(self, copies: Copies, ok: bool = True) -> None:
        """Answer the orders that stand, or that are clear not to."""
        for order in list(copies.orders):
            count, done = order
            if copies.standing >= count or copies.standing + copies.loading < count:
                copies.orders.remove(order)
                done("ok" if copies.standing >= count else "full" if ok else "error", copies.standing)

    def hold(
        self,
        function: str,
        count: int,
        memory: float,
        lanes: int,
        load: float,
        done: Callable[[str, int], None],
    ) -> None:
        copies = self.of(function, memory, lanes, load)
        if count and self.draining:
            return done("full", copies.standing)
        if count:
            copies.used = self.reactor.seconds()
        while copies.standing + copies.loading < count and self.load(function):
            pass
        copies.orders.append((count, done))
        self.settle(copies)

    def unload(self, function: str) -> None:
        """Drop idle copies, and loads that wait or are being fetched; a copy that starts already goes on."""
        copies = self.copies.get(function)
        if copies is None or copies.tasks:
            return
        copies.standing -= copies.idle()
        waiting = self.load_queue.count(function)
        self.load_queue = deque(name for name in self.load_queue if name != function)
        for fetch in copies.fetches:
            self.store.call_off(fetch)
        self.loads -= len(copies.fetches)
        copies.loading -= waiting + len(copies.fetches)
        copies.fetches.clear()
        self.settle(copies)
        self.next_load()

    def sweep(self) -> None:
        """Idle copies go after their time."""
        if self.dead:
            return
        now = self.reactor.seconds()
        for function, copies in list(self.copies.items()):
            if now - copies.used > self.facts.idle_life and not copies.tasks:
                copies.standing = 0
                if not copies.loading and not copies.orders:
                    del self.copies[function]
        self.reactor.callLater(0.5, self.sweep)
