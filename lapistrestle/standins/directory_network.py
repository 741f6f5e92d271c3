"""Virtual time for programs that stand still and are killed, and channels that lose, double, delay and cut.

One step is one event. All chance is drawn from the world's seed.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class NetworkConditions:
    """How rough a day is: chances by message, or events a second."""

    loss: float = 0.003
    doubled: float = 0.003
    delay: tuple[int, int] = (5, 40)
    slow_chance: float = 0.01
    slow: int = 2_000
    changes: float = 4.0
    zone_restarts: float = 0.05
    roster_restarts: float = 0.05
    roster_breaks: float = 0.1
    kills: float = 0.25
    stalls: float = 0.35
    watcher_stalls: float = 0.1
    cuts: float = 0.4
    breaks: float = 0.2
    calls: float = 8.0  # of each watcher


CALM = NetworkConditions(0, 0, (5, 40), 0, 0, 1.0, 0, 0, 0, 0, 0, 0, 0, 0)


class SimulatedClock:
    """What is to happen, in order."""

    def __init__(self) -> None:
        self.now, self.count = 0, 0
        self.queue = list[tuple[int, int, Callable[[], None]]]()

    def at(self, when: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (max(when, self.now), self.count, act))

    def after(self, delay: int, act: Callable[[], None]) -> None:
        self.at(self.now + delay, act)

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until


class SimulationContext(Protocol):
    """What programs and channels need of their world."""

    time: SimulatedClock
    chance: random.Random
    weather: NetworkConditions


class SimulatedProcess:
    """A process: it may stand still, while what arrives waits in the order of its arrival, and be killed."""

    def __init__(self, world: SimulationContext) -> None:
        self.world = world
        self.stalled, self.alive, self.life = False, True, 0
        self.inbox = deque[Callable[[], None]]()
        self.due = -1
        self.stalled_at = self.wakes_at = -1

    def deliver(self, act: Callable[[], None]) -> None:
        if self.stalled:
            self.inbox.append(act)
        elif self.alive:
            act()
            self.after_event()

    def stall(self, length: int) -> None:
        if self.stalled or not self.alive:
            return
        self.stalled, self.stalled_at = True, self.world.time.now
        until = self.stalled_at + length
        self.world.time.at(until, lambda: self.wake(until))
        self.wakes_at = until

    def wake(self, when: int) -> None:
        if not self.stalled or when != self.wakes_at:
            return
        self.stalled = False
        self.woke()
        while self.inbox and self.alive and not self.stalled:
            self.inbox.popleft()()
            self.after_event()
        self.tick_now()

    def plan_tick(self, when: int) -> None:
        if when != self.due:
            self.due = when
            life = self.life
            self.world.time.at(when, lambda: self.tick_at(when, life))

    def tick_at(self, when: int, life: int) -> None:
        if self.alive and not self.stalled and self.due == when and self.life == life:
            self.tick_now()

    def tick_now(self) -> None:
        if self.alive and not self.stalled:
            self.due = -1
            self.tick()
            self.after_event()

    def woke(self) -> None: ...

    def tick(self) -> None: ...

    def after_event(self) -> None: ...


class Channel:
    """One direction of a connection: in order, delayed, and sometimes a message is lost or doubled."""

    def __init__(self, world: SimulationContext, faulty: bool = True) -> None:
        self.world, self.faulty = world, faulty
        self.last = 0
        self.open = True
        self.cut = False
        self.held = deque[tuple[SimulatedProcess, Callable[[], None]]]()

    def send(self, to: SimulatedProcess, act: Callable[[], None]) -> None:
        chance, weather = self.world.chance, self.world.weather
        if not self.open or (self.faulty and chance.random() < weather.loss):
            return
        times = 2 if self.faulty and chance.random() < weather.doubled else 1
        for _ in range(times):
            if self.cut:
                self.held.append((to, act))
            else:
                self.pass_on(to, act)

    def pass_on(self, to: SimulatedProcess, act: Callable[[], None]) -> None:
        chance, weather = self.world.chance, self.world.weather
        delay = chance.randint(*weather.delay)
        if weather.slow and chance.random() < weather.slow_chance:
            delay += chance.randint(0, weather.slow)
        self.last = max(self.last, self.world.time.now + delay)
        self.world.time.at(self.last, lambda: self.arrive(to, act))

    def arrive(self, to: SimulatedProcess, act: Callable[[], None]) -> None:
        if self.cut:
            self.held.append((to, act))
        elif self.open:
            to.deliver(act)

    def heal(self) -> None:
        self.cut = False
        while self.held:
            self.pass_on(*self.held.popleft())
