"""How a runner executes calls: cores, queue, memory, copies, loads, slow start and collapse. No sockets.

A copy of a function takes memory and runs `lanes` calls at once; a call also needs a core while it runs. A
call without a loaded copy waits for a load or is answered `miss`, depending on the deployment. A runner that
has just started is slower; if it is sent too much in that time it collapses and stays down.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lapistrestle.standins.store import Fetch, PackageStore

WARM_AGE = 1e6  # seconds since the start of a runner that is not in slow start: past any ramp
SWEEP_INTERVAL = 0.5  # seconds between two looks for copies that have been idle for too long
REPEAT_TIME = 0.001  # seconds to answer a repeat, which does not run


@dataclass
class RunnerSpec:
    """Capacity and behaviour of a runner."""

    cores: int = 4
    speed: float = 1.0  # of a core
    memory: float = 14_000.0  # MB
    queue: int = 100  # calls waiting at most; further ones are rejected
    loads: int = 4  # at once
    absent: str = "load"  # what happens to a call without a copy: "load" or "miss"
    idle_timeout: float = 10.0  # seconds after which an unused copy is unloaded
    cold_share: float = 1.0  # part of the full speed at the start
    ramp: float = 0.0  # seconds from the start to full speed
    collapse_multiple: float = 4.0  # more work than this multiple of its present capacity
    collapse_time: float = 3.0  # within so many seconds makes a runner in slow start collapse
    fetch_share: float = 0.7  # part of a load's time for fetching the package; the rest starts the copy
    cancels_waiting: bool = True  # a cancel drops a waiting call
    cancels_running: bool = False  # a cancel ends a running call
    token_memory: float = 5.0  # seconds for which a token is remembered


@dataclass(eq=False)
class Task:
    """One call at the runner."""

    function: str
    work: float  # seconds on a core of speed 1
    memory: float  # MB that a copy takes
    lanes: int
    load: float  # seconds to load a copy
    on_finished: Callable[["Task", str, str, dict[str, Any]], None]  # outcome, load state, report
    # called when it starts to run; False: a repeat, which has no work to do
    on_started: Callable[["Task"], bool]
    load_state: str = ""  # as in the protocol: whether a copy was loaded, loading, or had to be loaded
    concurrency: int = 0  # other calls of the function here at its arrival
    running: bool = False
    finished: bool = False


@dataclass(eq=False)
class Copies:
    """The copies of one function."""

    memory: float
    lanes: int
    load: float
    loaded: int = 0  # copies loaded
    loading: int = 0
    busy: int = 0  # calls running
    tasks: int = 0  # calls waiting or running
    last_used: float = 0.0  # when a copy was last used or requested
    preloads: list[tuple[int, Callable[[str, int], None]]] = field(default_factory=list)
    fetches: list[Fetch] = field(default_factory=list)

    def idle(self) -> int:
        """Loaded copies without a call; calls fill one copy after another."""
        return self.loaded - -(-self.busy // self.lanes)


class Engine:
    """The execution of calls by one runner process."""

    def __init__(
        self, reactor: Any, spec: RunnerSpec, store: PackageStore, on_collapse: Callable[[], None], cold: bool
    ) -> None:
        self.reactor, self.spec, self.store, self.on_collapse = reactor, spec, store, on_collapse
        self.booted = reactor.seconds() - (0.0 if cold else WARM_AGE)
        self.copies: dict[str, Copies] = {}
        self.queue: deque[Task] = deque()
        self.load_queue: deque[str] = deque()
        self.running = self.loads = 0
        self.draining = self.dead = self.collapsed = False
        self.slowdown = 1.0  # fault: work takes so many times longer
        self.cores_taken = 0  # fault: cores used by another program
        self.failing = False  # fault: every call fails at once
        self.paused = False  # fault: the process is stopped
        self.deferred: deque[Callable[[], None]] = deque()  # calls deferred by a pause
        # time and work of calls sent in slow start
        self.slow_start_work: deque[tuple[float, float]] = deque()
        self.load_fails: Callable[[str], bool] = lambda function: False  # fault of a version
        self.report_delay = 0.0  # fault: seconds by which load reports are out of date
        self.reports: deque[tuple[float, dict[str, float]]] = deque()
        reactor.callLater(SWEEP_INTERVAL, self.unload_idle)

    # capacity

    def relative_speed(self) -> float:
        spec = self.spec
        if not spec.ramp:
            return 1.0
        age = self.reactor.seconds() - self.booted
        return min(1.0, spec.cold_share + (1 - spec.cold_share) * age / spec.ramp)

    def count_slow_start_work(self, work: float) -> None:
        """Counts the work sent in slow start; too much of it makes the runner collapse.

        Rejected calls count too: what matters is the load that edges send.
        """
        share, spec, now = self.relative_speed(), self.spec, self.reactor.seconds()
        if share >= 1:
            return
        self.slow_start_work.append((now, work))
        while self.slow_start_work[0][0] <= now - spec.collapse_time:
            self.slow_start_work.popleft()
        limit = spec.collapse_multiple * share * spec.cores * spec.speed * spec.collapse_time
        if sum(w for _, w in self.slow_start_work) > limit:
            self.dead = self.collapsed = True
            self.on_collapse()

    def report(self) -> dict[str, float]:
        """The latest load report, or an older one if a fault delays reports."""
        now = self.reactor.seconds()
        busy = sum(c.memory * (c.loaded - c.idle() + c.loading) for c in self.copies.values())
        fresh = {
            "utilization": min(1.0, self.running / self.spec.cores),
            "backlog": float(len(self.queue)),
            "x0": round(busy / self.spec.memory, 4),
            "x1": float(self.loads + len(self.load_queue)),
            "outstanding": float(len(self.queue) + self.running),
        }
        self.reports.append((now, fresh))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay:
            self.reports.popleft()
        return self.reports[0][1]

    # calls

    def run(self, task: Task) -> None:
        copies = self.copies_of(task.function, task.memory, task.lanes, task.load)
        task.concurrency = copies.tasks
        self.count_slow_start_work(task.work)
        if self.dead:
            return
        if self.failing:
            return self.answer(task, "error")
        if self.draining or len(self.queue) >= self.spec.queue:
            return self.answer(task, "full")
        if copies.loaded:
            task.load_state = "stood"
        elif copies.loading:
            task.load_state = "joined load"
        elif self.spec.absent == "miss":
            return self.answer(task, "miss")
        elif self.make_room(task.memory):
            task.load_state = "began load"
        else:
            return self.answer(task, "full")
        copies.tasks += 1
        copies.last_used = self.reactor.seconds()
        self.queue.append(task)
        self.start_waiting()

    def answer(self, task: Task, outcome: str, load_state: str = "") -> None:
        task.finished = True
        details = {"company": task.concurrency, "report": self.report()}
        self.when_running(lambda: task.on_finished(task, outcome, load_state or task.load_state, details))

    def when_running(self, call: Callable[[], None]) -> None:
        if self.paused:
            self.deferred.append(call)
        elif not self.dead:
            call()

    def pause(self, on: bool) -> None:
        self.paused = on
        while self.deferred and not self.paused:
            self.deferred.popleft()()
        self.start_waiting()

    def start_waiting(self) -> None:
        """Starts waiting calls that have a copy and a core; loads a further copy where all are busy."""
        if self.paused or self.dead:
            return
        waiting: deque[Task] = deque()
        cores = max(1, self.spec.cores - self.cores_taken)
        while self.queue:
            task = self.queue.popleft()
            copies = self.copies[task.function]
            if copies.busy < copies.loaded * copies.lanes and self.running < cores:
                self.start(task, copies)
                continue
            if not copies.loading and copies.busy >= copies.loaded * copies.lanes:
                self.load(task.function)
            waiting.append(task)
        self.queue = waiting

    def start(self, task: Task, copies: Copies) -> None:
        self.running += 1
        copies.busy += 1
        copies.last_used = self.reactor.seconds()
        task.running = True
        duration = task.work * self.slowdown / (self.spec.speed * self.relative_speed())
        if not task.on_started(task):
            duration = REPEAT_TIME
        self.reactor.callLater(duration, self.when_running, lambda: self.finish(task, copies))

    def finish(self, task: Task, copies: Copies) -> None:
        self.running -= 1
        copies.busy -= 1
        copies.tasks -= 1
        copies.last_used = self.reactor.seconds()
        if not task.finished:
            self.answer(task, "ok")
        self.start_waiting()

    def cancel(self, task: Task) -> bool:
        """Ends a call as cancelled if the runner supports that in its present state; True if it did."""
        if task.finished:
            return False
        if not task.running and self.spec.cancels_waiting and task in self.queue:
            self.queue.remove(task)
            self.copies[task.function].tasks -= 1
            self.answer(task, "cancelled")
            return True
        if task.running and self.spec.cancels_running:
            self.answer(task, "cancelled")  # a simplification: its core stays busy until its work is done
            return True
        return False

    # copies

    def copies_of(self, function: str, memory: float, lanes: int, load: float) -> Copies:
        if function not in self.copies:
            self.copies[function] = Copies(memory, max(1, lanes), load)
        return self.copies[function]

    def used(self) -> float:
        return sum(c.memory * (c.loaded + c.loading) for c in self.copies.values())

    def make_room(self, memory: float) -> bool:
        """Makes room for one more copy: evicts idle ones of functions without calls, the least recently used
        first.

        False if there is not enough memory.
        """
        if memory > self.spec.memory:
            return False
        for copies in sorted(self.copies.values(), key=lambda c: c.last_used):
            while self.used() + memory > self.spec.memory and copies.idle() > 0 and not copies.tasks:
                copies.loaded -= 1
        return self.used() + memory <= self.spec.memory

    def load(self, function: str) -> bool:
        copies = self.copies[function]
        if not self.make_room(copies.memory):
            return False
        copies.loading += 1
        self.load_queue.append(function)
        self.next_load()
        return True

    def next_load(self) -> None:
        while self.load_queue and self.loads < self.spec.loads and not self.dead:
            function = self.load_queue.popleft()
            self.loads += 1
            self.fetch(function, self.copies[function])

    def fetch(self, function: str, copies: Copies) -> None:
        def done(ok: bool) -> None:
            copies.fetches.remove(fetch)
            if not ok or self.load_fails(function):
                return self.when_running(lambda: self.load_finished(function, False))
            start_time = copies.load * (1 - self.spec.fetch_share) * self.slowdown
            self.reactor.callLater(start_time, self.when_running, lambda: self.load_finished(function, True))

        fetch = self.store.fetch(copies.load * self.spec.fetch_share, done)
        copies.fetches.append(fetch)

    def load_finished(self, function: str, ok: bool) -> None:
        copies = self.copies[function]
        self.loads -= 1
        copies.loading -= 1
        copies.last_used = self.reactor.seconds()
        copies.loaded += ok
        if not ok and not copies.loaded and not copies.loading:
            failed = "miss" if self.spec.absent == "miss" else "error"
            for task in [t for t in self.queue if t.function == function]:
                self.queue.remove(task)
                copies.tasks -= 1
                self.answer(task, failed, "load failed")
        self.answer_preloads(copies, ok)
        self.next_load()
        self.start_waiting()

    def answer_preloads(self, copies: Copies, ok: bool = True) -> None:
        """Answers preloads that have reached their count, or can't any more: "full" if memory lacks, "error"
        if the last load failed (not `ok`)."""
        for preload in list(copies.preloads):
            count, done = preload
            if copies.loaded >= count or copies.loaded + copies.loading < count:
                copies.preloads.remove(preload)
                done("ok" if copies.loaded >= count else "full" if ok else "error", copies.loaded)

    def preload(
        self,
        function: str,
        count: int,
        memory: float,
        lanes: int,
        load: float,
        done: Callable[[str, int], None],
    ) -> None:
        """Preloads copies of a function up to `count`; `done` gets the outcome and the number of loaded
        copies."""
        copies = self.copies_of(function, memory, lanes, load)
        if count and self.draining:
            return done("full", copies.loaded)
        if count:
            copies.last_used = self.reactor.seconds()
        while copies.loaded + copies.loading < count and self.load(function):
            pass
        copies.preloads.append((count, done))
        self.answer_preloads(copies)

    def unload(self, function: str) -> None:
        """Drops idle copies, and loads that wait or are being fetched; a copy that is already starting goes
        on."""
        copies = self.copies.get(function)
        if copies is None or copies.tasks:
            return
        copies.loaded -= copies.idle()
        waiting = self.load_queue.count(function)
        self.load_queue = deque(name for name in self.load_queue if name != function)
        for fetch in copies.fetches:
            self.store.cancel(fetch)
        self.loads -= len(copies.fetches)
        copies.loading -= waiting + len(copies.fetches)
        copies.fetches.clear()
        self.answer_preloads(copies)
        self.next_load()

    def unload_idle(self) -> None:
        """Unloads copies that have been idle for too long."""
        if self.dead:
            return
        now = self.reactor.seconds()
        for function, copies in list(self.copies.items()):
            if now - copies.last_used > self.spec.idle_timeout and not copies.tasks:
                copies.loaded = 0
                if not copies.loading and not copies.preloads:
                    del self.copies[function]
        self.reactor.callLater(SWEEP_INTERVAL, self.unload_idle)
