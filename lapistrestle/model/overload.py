"""A fluid model of admission control: the fleet is one queue, time goes in steps of a tenth of a second.

It is coarser than `model.world`: no placement, no copies, one kind of work. It shows only the control loop,
with any number of dispatchers whose figures have different ages, and clients that retry. Other ways to shed
load can be compared on the same scenarios (docs/overload.md).
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
EVERY = 5  # steps between two updates of the level
TRIES = 3  # attempts of a client at most


@dataclass(frozen=True)
class Scenario:
    """`load(t)` is the demand relative to the capacity; `worths`: the gain of each method and its part of
    it."""

    dispatchers: int = 12
    seconds: float = 90.0
    capacity: float = 1_000.0  # RPCs a second
    load: Callable[[float], float] = lambda t: 1.0
    up: Callable[[float], float] = lambda t: 1.0  # part of the capacity that is available
    worths: tuple[tuple[float, float], ...] = ((4.0, 0.2), (2.0, 0.3), (1.0, 0.5))
    soft: float = 1.0  # seconds after which an answer has no gain
    patience: float = 3.0  # seconds after which the client is gone
    age: float = 2.0  # seconds: greatest age of a dispatcher's figures
    uneven: float = 1.0  # traffic of the first dispatcher relative to that of another
    wait: tuple[float, float] = (0.2, 1.0)  # seconds before a client retries
    seed: int = 1


@dataclass
class RunRecord:
    """Figures of a simulated scenario, one for each step."""

    asked: list[float] = field(default_factory=list)  # gain of the first attempts
    served: list[float] = field(default_factory=list)  # gain served in time
    could: list[float] = field(default_factory=list)  # gain that an optimal choice would have served
    let: list[float] = field(default_factory=list)  # RPCs admitted
    spread: list[float] = field(default_factory=list)  # highest less lowest admission level

    def service_ratio(self, since: float, until: float) -> float:
        """Gain served from `since` to `until` seconds, relative to that of an optimal choice."""
        window = slice(int(since / STEP), int(until / STEP))
        return sum(self.served[window]) / max(1e-9, sum(self.could[window]))


Policy = Callable[[Scenario, int], Any]  # per dispatcher: an object with look(fleet, own, now)


class SharedLevel:
    """The program's own controller, with figures of all dispatchers."""

    def __init__(self, day: Scenario, rungs: int) -> None:
        self.logs: list[str] = []
        self.shedding = LevelController(rungs, int(day.soft * SECOND), self.logs.append, 0)

    def look(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.shedding.update(fleet, now)


class NoLimit:
    """Everything is admitted."""

    def __init__(self, day: Scenario, rungs: int) -> None:
        self.level = AdmissionLevel(rungs)

    def look(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.level


class FixedLimit:
    """Each dispatcher admits an equal part of the full capacity, the greatest gain first."""

    def __init__(self, day: Scenario, rungs: int) -> None:
        self.room = day.capacity / day.dispatchers

    def look(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return level_for(own.demand, self.room)


class LocalLevel(SharedLevel):
    """The program's controller with figures of its own dispatcher only."""

    def look(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        return self.shedding.update(own, now)


class RetryBudget(NoLimit):
    """Each dispatcher rejects retries above a fifth of what it admitted lately, and nothing else."""

    def look(self, fleet: Traffic, own: Traffic, now: int) -> AdmissionLevel:
        repeats = sum(own.demand[1::2])
        part = min(1.0, 0.2 * own.admitted / repeats) if repeats else 1.0
        return RepeatsOnly(len(own.demand), part)


@dataclass(frozen=True)
class RepeatsOnly(AdmissionLevel):
    """All first attempts and a part of the retries, whatever their gain."""


def simulate(day: Scenario, policy: Policy) -> RunRecord:
    """Simulates a scenario. Priorities go by gain and, within a gain, first attempts before retries."""
    rng, rungs, count = np.random.default_rng(day.seed), 2 * len(day.worths), day.dispatchers
    worth = np.repeat([w for w, _ in day.worths], 2)
    mix = np.array([part for _, part in day.worths])
    shares = np.ones(count)
    shares[0] = day.uneven
    shares /= shares.sum()
    lags = rng.uniform(0.2, 1.0, count) * day.age / STEP
    phases = rng.integers(0, EVERY, count)
    made, levels = [policy(day, rungs) for _ in range(count)], [AdmissionLevel(rungs) for _ in range(count)]
    steps = int(day.seconds / STEP)
    # RPCs that arrive, by step, dispatcher, gain and attempt
    back = np.zeros((steps + 200, count, len(mix), TRIES))
    asked = np.zeros((steps, count, rungs))
    let, good, bad = (np.zeros((steps, count)) for _ in range(3))
    queue: deque[list[Any]] = deque()  # step of arrival, and RPCs waiting by dispatcher, gain and attempt
    story = RunRecord()

    def again(step: int, lost: Any) -> None:
        """Schedules the retries of RPCs that failed, if they have an attempt left."""
        for n in range(TRIES - 1):
            if lost[:, :, n].any():
                after = rng.uniform(*day.wait, 4) / STEP
                for wait in after:
                    back[step + 1 + int(wait), :, :, n + 1] += lost[:, :, n] / 4

    for step in range(steps):
        t = step * STEP
        first = rng.poisson(day.load(t) * day.capacity * STEP * np.outer(shares, mix))
        came = back[step]
        came[:, :, 0] = first
        now = int(t * SECOND)
        asked[step, :, 0::2], asked[step, :, 1::2] = came[:, :, 0], came[:, :, 1:].sum(2)
        for i in range(count):
            if (step + phases[i]) % EVERY == 0 and step > WINDOW:
                end = max(1, step - int(lags[i]))
                begin = max(0, end - WINDOW)
                lasts = (end - begin) * STEP
                fleet = Traffic(
                    tuple(asked[begin:end].sum((0, 1)) / lasts), let[begin:end].sum() / lasts,
                    good[begin:end].sum() / lasts, bad[begin:end].sum() / lasts,
                    float((let - good - bad)[:end].sum()), int(lags[i] * STEP * SECOND),
                )  # fmt: skip
                since = max(0, step - WINDOW)
                lasts = (step - since) * STEP
                own = Traffic(
                    tuple(asked[since:step, i].sum(0) / lasts), let[since:step, i].sum() / lasts,
                    good[since:step, i].sum() / lasts, bad[since:step, i].sum() / lasts,
                    float((let - good - bad)[:step, i].sum()), 0,
                )  # fmt: skip
                levels[i] = made[i].look(fleet, own, now)
        gates = np.array([gate(level, rungs) for level in levels])
        admitted = came * np.stack([gates[:, 0::2], *[gates[:, 1::2]] * (TRIES - 1)], 2)
        let[step] = admitted.sum((1, 2))
        again(step, came - admitted)
        queue.append([step, admitted])
        room, done = day.capacity * day.up(t) * STEP, 0.0
        while queue and room > 1e-6:
            began, waiting = queue[0]
            total = waiting.sum()
            age = (step - began) * STEP
            if age > day.patience or total <= 1e-9:
                if total > 1e-9:
                    bad[step] += waiting.sum((1, 2))
                    again(step, waiting)
                queue.popleft()
                continue
            part = min(1.0, room / total)
            ran = waiting * part
            room -= ran.sum()
            if age <= day.soft:
                good[step] += ran.sum((1, 2))
                done += float((ran.sum((0, 2)) * worth[0::2]).sum())
            else:
                bad[step] += ran.sum((1, 2))
            queue[0][1] = waiting - ran
            if part >= 1:
                queue.popleft()
        story.served.append(done)
        story.asked.append(float((first.sum(0) * worth[0::2]).sum()))
        story.could.append(best(first.sum(0), worth[0::2], day.capacity * day.up(t) * STEP))
        story.let.append(float(let[step].sum()))
        heights = [level.value for level in levels]
        story.spread.append(max(heights) - min(heights))
    return story


def gate(level: AdmissionLevel, rungs: int) -> list[float]:
    """The part of each priority that is admitted."""
    if isinstance(level, RepeatsOnly):
        return [level.fraction if rung % 2 else 1.0 for rung in range(rungs)]
    at = level.priority
    return [1.0 if rung < at else level.fraction if rung == at else 0.0 for rung in range(rungs)]


def best(first: Any, worth: Any, room: float) -> float:
    """The greatest gain that fits into the capacity."""
    total = 0.0
    for amount, each in zip(first, worth, strict=True):
        fits = min(float(amount), room)
        total, room = total + fits * float(each), room - fits
    return total
