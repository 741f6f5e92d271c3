"""Discrete-event simulation: a virtual clock, processes that stall and crash, and faulty channels.

Channels lose, duplicate, delay and block messages. All random choices come from the simulation's seed.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class NetworkConditions:
    """Fault rates: probabilities per message, and events per second. Delays are in ticks of 0.1 ms."""

    loss: float = 0.003
    duplicated: float = 0.003  # duplicated messages
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
    calls: float = 8.0  # per watcher


NO_FAULTS = NetworkConditions(0, 0, (5, 40), 0, 0, 1.0, 0, 0, 0, 0, 0, 0, 0, 0)


class SimulatedClock:
    """A virtual clock with a queue of scheduled events; times are in ticks of 0.1 ms."""

    def __init__(self) -> None:
        self.now, self.event_count = 0, 0
        self.queue = list[tuple[int, int, Callable[[], None]]]()

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (max(when, self.now), self.event_count, action))

    def after(self, delay: int, action: Callable[[], None]) -> None:
        self.at(self.now + delay, action)

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until


class SimulationContext(Protocol):
    """The parts of a simulation that processes and channels use."""

    time: SimulatedClock
    chance: random.Random
    conditions: NetworkConditions


class SimulatedProcess:
    """A process that can stall or be killed; messages that arrive during a stall are queued in order."""

    def __init__(self, world: SimulationContext) -> None:
        self.world = world
        self.stalled, self.alive, self.incarnation = False, True, 0
        self.inbox = deque[Callable[[], None]]()
        self.next_tick_at = -1
        self.stalled_at = self.resumes_at = -1

    def deliver(self, action: Callable[[], None]) -> None:
        if self.stalled:
            self.inbox.append(action)
        elif self.alive:
            action()
            self.after_event()

    def stall(self, length: int) -> None:
        if self.stalled or not self.alive:
            return
        self.stalled, self.stalled_at = True, self.world.time.now
        until = self.stalled_at + length
        self.world.time.at(until, lambda: self.resume(until))
        self.resumes_at = until

    def resume(self, when: int) -> None:
        if not self.stalled or when != self.resumes_at:
            return
        self.stalled = False
        self.on_resume()
        while self.inbox and self.alive and not self.stalled:
            self.inbox.popleft()()
            self.after_event()
        self.run_tick()

    def schedule_tick(self, when: int) -> None:
        if when != self.next_tick_at:
            self.next_tick_at = when
            incarnation = self.incarnation
            self.world.time.at(when, lambda: self.tick_at(when, incarnation))

    def tick_at(self, when: int, incarnation: int) -> None:
        if self.alive and not self.stalled and self.next_tick_at == when and self.incarnation == incarnation:
            self.run_tick()

    def run_tick(self) -> None:
        if self.alive and not self.stalled:
            self.next_tick_at = -1
            self.tick()
            self.after_event()

    def on_resume(self) -> None: ...

    def tick(self) -> None: ...

    def after_event(self) -> None: ...


class Channel:
    """One direction of a connection: ordered and delayed; a message may be lost or duplicated.

    While it is cut, messages are held back and delivered once it heals.
    """

    def __init__(self, world: SimulationContext, faulty: bool = True) -> None:
        self.world, self.faulty = world, faulty
        self.last_arrival = 0
        self.open = True
        self.cut = False
        self.held_messages = deque[tuple[SimulatedProcess, Callable[[], None]]]()

    def send(self, to: SimulatedProcess, action: Callable[[], None]) -> None:
        chance, conditions = self.world.chance, self.world.conditions
        if not self.open or (self.faulty and chance.random() < conditions.loss):
            return
        copies = 2 if self.faulty and chance.random() < conditions.duplicated else 1
        for _ in range(copies):
            if self.cut:
                self.held_messages.append((to, action))
            else:
                self.schedule_delivery(to, action)

    def schedule_delivery(self, to: SimulatedProcess, action: Callable[[], None]) -> None:
        chance, conditions = self.world.chance, self.world.conditions
        delay = chance.randint(*conditions.delay)
        if conditions.slow and chance.random() < conditions.slow_chance:
            delay += chance.randint(0, conditions.slow)
        self.last_arrival = max(self.last_arrival, self.world.time.now + delay)
        self.world.time.at(self.last_arrival, lambda: self.deliver_or_hold(to, action))

    def deliver_or_hold(self, to: SimulatedProcess, action: Callable[[], None]) -> None:
        if self.cut:
            self.held_messages.append((to, action))
        elif self.open:
            to.deliver(action)

    def heal(self) -> None:
        self.cut = False
        while self.held_messages:
            self.schedule_delivery(*self.held_messages.popleft())
