"""A fluid model of admission control: the fleet is one queue, and time advances in steps of 0.1 s.

Numbers of RPCs are fractions, not single RPCs. It is coarser than `model.world`: no placement, no copies, one
kind of work. It models only the control loop, with any number of dispatchers whose figures have different
ages, and clients that retry. Other ways to shed load can be compared on the same scenarios
(docs/overload.md).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from lapistrestle.overload.level_controller import LevelController, Traffic
from lapistrestle.overload.priorities import AdmissionLevel, level_for
from lapistrestle.ticks import SECOND

STEP = 0.1  # seconds
WINDOW = 20  # steps over which rates are measured, as in `fleet.gossip_counters`
UPDATE_INTERVAL = 5  # steps between two updates of the level
MAX_ATTEMPTS = 3  # attempts of a client at most


@dataclass(frozen=True)
class Scenario:
    """A fleet and its traffic.

    `load(t)`: first attempts at second `t` relative to the capacity; `gains`: for each method the gain of an
    answer in time, and its part of the first attempts.
    """

    dispatchers: int = 12
    seconds: float = 90.0
    capacity: float = 1_000.0  # RPCs a second
    load: Callable[[float], float] = lambda t: 1.0
    up: Callable[[float], float] = lambda t: 1.0  # part of the capacity that is available
    gains: tuple[tuple[float, float], ...] = ((4.0, 0.2), (2.0, 0.3), (1.0, 0.5))
    soft_deadline: float = 1.0  # seconds after which an answer has no gain
    patience: float = 3.0  # seconds after which a client gives up an attempt
    age: float = 2.0  # seconds: greatest age of the fleet's figures at a dispatcher
    uneven: float = 1.0  # traffic of the first dispatcher relative to that of another
    wait: tuple[float, float] = (0.2, 1.0)  # least and greatest delay of a retry in seconds
    seed: int = 1


@dataclass
class RunRecord:
    """Figures of a simulated scenario, one for each step."""

    requested: list[float] = field(default_factory=list)  # gain of the first attempts
    served: list[float] = field(default_factory=list)  # gain served in time
    optimal: list[float] = field(
        default_factory=list
    )  # gain that an optimal choice among first attempts would have served
    admitted: list[float] = field(default_factory=list)  # RPCs admitted
    spread: list[float] = field(default_factory=list)  # highest less lowest admission level

    def service_ratio(self, since: float, until: float) -> float:
        """Gain served from `since` to `until` seconds, relative to that of an optimal choice."""
        window = slice(int(since / STEP), int(until / STEP))
        return sum(self.served[window]) / max(1e-9, sum(self.optimal[window]))


Policy = Callable[
    [Scenario, int], Any
]  # makes a dispatcher's controller: an object with update(fleet, own, now)


class SharedLevel:
    """The program's controller, with the figures of the whole fleet."""

    def __init__(self, scenario: Scenario, priorities: int) -> None:
        self.logs: list[str] = []
        self.controller = LevelController(
            priorities, int(scenario.soft_deadline * SECOND), self.logs.append, 0
        )

    def update(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.controller.update(fleet, now)


class NoLimit:
    """Everything is admitted."""

    def __init__(self, scenario: Scenario, priorities: int) -> None:
        self.level = AdmissionLevel(priorities)

    def update(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.level


class FixedLimit:
    """Each dispatcher admits an equal part of the full capacity, the greatest gain first."""

    def __init__(self, scenario: Scenario, priorities: int) -> None:
        self.capacity = scenario.capacity / scenario.dispatchers

    def update(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return level_for(own.demand, self.capacity)


class LocalLevel(SharedLevel):
    """The program's controller, with the figures of its own dispatcher only."""

    def update(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.controller.update(own, now)


class RetryBudget(NoLimit):
    """Each dispatcher rejects only retries above a fifth of the RPCs that it admitted in the window."""

    def update(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        repeats = sum(own.demand[1::2])
        part = min(1.0, 0.2 * own.admitted / repeats) if repeats else 1.0
        return RetriesOnly(len(own.demand), part)


@dataclass(frozen=True)
class RetriesOnly(AdmissionLevel):
    """Admits all first attempts and `fraction` of the retries, regardless of their gain."""


def simulate(scenario: Scenario, policy: Policy) -> RunRecord:
    """Simulate a scenario. Priorities are ordered by gain; within a gain, first attempts precede retries."""
    rng, priorities, count = (
        np.random.default_rng(scenario.seed),
        2 * len(scenario.gains),
        scenario.dispatchers,
    )
    gains = np.repeat([w for w, _ in scenario.gains], 2)
    parts = np.array([part for _, part in scenario.gains])
    shares = np.ones(count)
    shares[0] = scenario.uneven
    shares /= shares.sum()
    lags = rng.uniform(0.2, 1.0, count) * scenario.age / STEP
    phases = rng.integers(0, UPDATE_INTERVAL, count)
    controllers, levels = (
        [policy(scenario, priorities) for _ in range(count)],
        [AdmissionLevel(priorities) for _ in range(count)],
    )
    steps = int(scenario.seconds / STEP)
    # RPCs that arrive, by step, dispatcher, gain and attempt
    arriving = np.zeros((steps + 200, count, len(parts), MAX_ATTEMPTS))
    requested = np.zeros((steps, count, priorities))
    admitted_rpcs, in_time, failed = (np.zeros((steps, count)) for _ in range(3))
    queue: deque[list[Any]] = deque()  # step of arrival, and RPCs waiting by dispatcher, gain and attempt
    record = RunRecord()

    def schedule_retries(step: int, failed_now: Any) -> None:
        """Schedule the retries of failed RPCs with attempts left, a quarter at each of four delays."""
        for attempt in range(MAX_ATTEMPTS - 1):
            if failed_now[:, :, attempt].any():
                delays = rng.uniform(*scenario.wait, 4) / STEP
                for delay in delays:
                    arriving[step + 1 + int(delay), :, :, attempt + 1] += failed_now[:, :, attempt] / 4

    for step in range(steps):
        now_seconds = step * STEP
        first_attempts = rng.poisson(
            scenario.load(now_seconds) * scenario.capacity * STEP * np.outer(shares, parts)
        )
        arrivals = arriving[step]
        arrivals[:, :, 0] = first_attempts
        now = int(now_seconds * SECOND)
        requested[step, :, 0::2], requested[step, :, 1::2] = arrivals[:, :, 0], arrivals[:, :, 1:].sum(2)
        for dispatcher in range(count):
            if (step + phases[dispatcher]) % UPDATE_INTERVAL == 0 and step > WINDOW:
                end = max(1, step - int(lags[dispatcher]))
                begin = max(0, end - WINDOW)
                seconds = (end - begin) * STEP
                fleet = Traffic(
                    tuple(requested[begin:end].sum((0, 1)) / seconds),
                    admitted_rpcs[begin:end].sum() / seconds,
                    in_time[begin:end].sum() / seconds,
                    failed[begin:end].sum() / seconds,
                    float((admitted_rpcs - in_time - failed)[:end].sum()),
                    int(lags[dispatcher] * STEP * SECOND),
                )
                since = max(0, step - WINDOW)
                seconds = (step - since) * STEP
                own = Traffic(
                    tuple(requested[since:step, dispatcher].sum(0) / seconds),
                    admitted_rpcs[since:step, dispatcher].sum() / seconds,
                    in_time[since:step, dispatcher].sum() / seconds,
                    failed[since:step, dispatcher].sum() / seconds,
                    float((admitted_rpcs - in_time - failed)[:step, dispatcher].sum()),
                    0,
                )
                levels[dispatcher] = controllers[dispatcher].update(fleet, own, now)
        fractions = np.array([admitted_fractions(level, priorities) for level in levels])
        admitted = arrivals * np.stack([fractions[:, 0::2], *[fractions[:, 1::2]] * (MAX_ATTEMPTS - 1)], 2)
        admitted_rpcs[step] = admitted.sum((1, 2))
        schedule_retries(step, arrivals - admitted)
        queue.append([step, admitted])
        capacity, served_gain = scenario.capacity * scenario.up(now_seconds) * STEP, 0.0
        while queue and capacity > 1e-6:
            arrived, waiting = queue[0]
            waiting_rpcs = waiting.sum()
            age = (step - arrived) * STEP
            if age > scenario.patience or waiting_rpcs <= 1e-9:
                if waiting_rpcs > 1e-9:
                    failed[step] += waiting.sum((1, 2))
                    schedule_retries(step, waiting)
                queue.popleft()
                continue
            part = min(1.0, capacity / waiting_rpcs)
            completed = waiting * part
            capacity -= completed.sum()
            if age <= scenario.soft_deadline:
                in_time[step] += completed.sum((1, 2))
                served_gain += float((completed.sum((0, 2)) * gains[0::2]).sum())
            else:
                failed[step] += completed.sum((1, 2))
            queue[0][1] = waiting - completed
            if part >= 1:
                queue.popleft()
        record.served.append(served_gain)
        record.requested.append(float((first_attempts.sum(0) * gains[0::2]).sum()))
        record.optimal.append(
            optimal_gain(
                first_attempts.sum(0), gains[0::2], scenario.capacity * scenario.up(now_seconds) * STEP
            )
        )
        record.admitted.append(float(admitted_rpcs[step].sum()))
        values = [level.value for level in levels]
        record.spread.append(max(values) - min(values))
    return record


def admitted_fractions(level: AdmissionLevel, priorities: int) -> list[float]:
    """The part of each priority that is admitted."""
    if isinstance(level, RetriesOnly):
        return [level.fraction if priority % 2 else 1.0 for priority in range(priorities)]
    limit = level.priority
    return [
        1.0 if priority < limit else level.fraction if priority == limit else 0.0
        for priority in range(priorities)
    ]


def optimal_gain(amounts: Any, gains: Any, capacity: float) -> float:
    """The greatest total gain of RPCs that fit into the capacity. `gains` must be in descending order."""
    total = 0.0
    for amount, gain in zip(amounts, gains, strict=True):
        fits = min(float(amount), capacity)
        total, capacity = total + fits * float(gain), capacity - fits
    return total
