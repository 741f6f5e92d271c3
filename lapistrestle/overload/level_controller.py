"""The fleet's admission level, computed by the same rule at every dispatcher from statistics seconds old.

The dispatchers need no shared state: the current rate of admission is one of the fleet's statistics, and each
step starts from it. A step is not repeated until the statistics show its effect: growth is bounded by
`GROWTH_PER_LAG` within each age of the statistics. A cut sets the capacity below the goodput, so that queues
drain; after that the capacity returns to nearly the best recent goodput and grows from there in steps.
Little's law (Little, 1961) gives the sojourn time from the requests in flight, so that a growing queue is
detected long before requests are late (docs/overload.md).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from lapistrestle.overload.priorities import AdmissionLevel, level_for
from lapistrestle.ticks import SECOND

MAX_BAD_FRACTION = 0.12  # of the finished requests; a greater one with long sojourn times is overload
CUT_FACTOR = 0.95  # fraction of the goodput admitted under overload
GROWTH_PER_LAG = 0.25  # relative growth of the capacity within each healthy lag
MIN_GROWTH_STEP = 0.25  # of a lag; smaller steps would be lost to rounding
MIN_FINISHED = 20.0  # requests in a window; fewer give no meaningful fraction
FLOOR_FACTOR = 0.3  # of the best goodput, the least capacity: a jam without goodput is no lack of capacity
PEAK_WINDOW = 15 * SECOND  # for the best goodput and the shortest sojourn time
RECOVERY_FACTOR = 0.9  # fraction of the best goodput admitted once the overload is over
LONG_SOJOURN = 0.4  # of a soft deadline: sojourn times are long above this and above
LONG_OVER_SHORTEST = 2.0  # times the shortest of the window, as requests queue then
MIN_COMPLETION_RATIO = 0.9  # finished to admitted requests; below it requests queue
DRAIN_FACTOR = 0.85  # fraction of the finishing rate admitted while requests queue
MIN_LAG = 2 * SECOND  # the statistics are rates over a window, which adds to their age


class SheddingState(Enum):
    """The state of the controller; the values appear in logs and in `fleet show`."""

    NORMAL = "calm"  # everything is admitted
    SHEDDING = "shedding"  # under overload
    RECOVERING = "easing"  # overload is over and the capacity grows


class Condition(Enum):
    """What the statistics show."""

    OVERLOADED = 1  # sojourn times are long, and many requests are late or fail
    QUEUEING = 2  # sojourn times are long, or fewer requests finish than are admitted
    HEALTHY = 3
    UNDER_CAPACITY = 4  # the capacity suffices for the whole demand


@dataclass(frozen=True)
class Traffic:
    """Rates in requests a second, of the fleet or one dispatcher, without those that the policy rejected."""

    demand: tuple[float, ...]  # by priority
    admitted: float
    good: float  # finished in time
    bad: float  # finished late or failed
    in_flight: float  # admitted and not finished; a count, not a rate
    age: int  # of the oldest snapshot, in ticks

    @property
    def finished(self) -> float:
        """Requests a second that finished, in time or not."""
        return self.good + self.bad

    @property
    def sojourn_time(self) -> float:
        """The mean sojourn time of a request by Little's law, in ticks."""
        return self.in_flight * SECOND / max(self.finished, 1.0)


class WindowExtreme:
    """The greatest of the values added within the last `PEAK_WINDOW`: a monotonic queue."""

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque()  # time and value, with decreasing values

    def add(self, value: float, now: int) -> None:
        """Add a value and drop those out of the window."""
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now, value))
        while self.samples[0][0] <= now - PEAK_WINDOW:
            self.samples.popleft()

    def reset(self, value: float, now: int) -> None:
        """Forget all values but this one."""
        self.samples = deque([(now, value)])

    @property
    def greatest(self) -> float:
        """The greatest value; at least one must have been added."""
        return self.samples[0][1]


class LevelController:
    """One dispatcher's computation of the admission level."""

    def __init__(
        self, priorities: int, soft_deadline: int, log_line: Callable[[str], None], now: int
    ) -> None:
        """`priorities` is the number of priorities, `soft_deadline` the mean over the methods, in ticks."""
        self.priorities = priorities
        self.soft_deadline = soft_deadline
        self.log_line = log_line
        self.state = SheddingState.NORMAL
        self.level = AdmissionLevel(priorities)
        self.capacity = inf  # requests a second to admit
        self.stepped_at = now  # time of the last change of the capacity
        self.goodput = WindowExtreme()
        self.negative_sojourn = WindowExtreme()  # negated, so that the greatest value is the shortest time

    def update(self, traffic: Traffic, now: int) -> AdmissionLevel:
        """Return the level from now on, given new statistics."""
        self.goodput.add(traffic.good, now)
        self.negative_sojourn.add(-traffic.sojourn_time, now)
        state, effect = TRANSITIONS[self.state, self.condition(traffic)]
        if effect is not None:
            effect(self, traffic, now)
        if state is not self.state:
            self.state = state
            self.log_transition(traffic)
        if state is SheddingState.NORMAL:
            self.level = AdmissionLevel(self.priorities)
        else:
            self.level = level_for(traffic.demand, self.capacity)
        return self.level

    def log_transition(self, traffic: Traffic) -> None:
        """Write a log line for a change of the state."""
        demand = sum(traffic.demand)
        bad = f"{traffic.bad:.0f} of {traffic.finished:.0f} a second bad, {demand:.0f} requested"
        capacity = f"capacity {self.capacity:.0f}, statistics {traffic.age} ticks old"
        self.log_line(f"shedding {self.state.value}: {bad}, {capacity}")

    def condition(self, traffic: Traffic) -> Condition:
        """Return what the statistics show.

        Failures without long sojourn times are not overload, but failing workers or loads: admitting fewer
        requests would not help, and the fraction of failures would only grow.
        """
        is_long = self.is_sojourn_long(traffic)
        if is_long and traffic.bad > MAX_BAD_FRACTION * traffic.finished:
            return Condition.OVERLOADED
        if sum(traffic.demand) <= self.capacity:
            return Condition.UNDER_CAPACITY
        if is_long or traffic.finished < MIN_COMPLETION_RATIO * traffic.admitted:
            return Condition.QUEUEING
        return Condition.HEALTHY

    def is_sojourn_long(self, traffic: Traffic) -> bool:
        """Whether sojourn times are long; always if above the soft deadline, however long that lasts."""
        if traffic.finished * MIN_LAG / SECOND < MIN_FINISHED:
            return False
        shortest = -self.negative_sojourn.greatest
        normal = max(LONG_SOJOURN * self.soft_deadline, LONG_OVER_SHORTEST * shortest)
        return traffic.sojourn_time > min(self.soft_deadline, normal)

    # effects of the transitions

    def cut(self, traffic: Traffic, now: int) -> None:
        """Set the capacity below the goodput, so that queues drain."""
        if self.state is SheddingState.RECOVERING:  # a relapse; else the same best goodput would be retried
            self.goodput.reset(min(traffic.finished, RECOVERY_FACTOR * self.goodput.greatest), now)
        reduced = min(CUT_FACTOR * traffic.good, self.capacity)
        self.capacity = max(reduced, FLOOR_FACTOR * self.goodput.greatest, 1.0)
        self.stepped_at = now

    def drain(self, traffic: Traffic, now: int) -> None:
        """Reduce the capacity, but not below the floor of a cut.

        The floor prevents a downward spiral: the finishing rate falls with the admitted rate, and the
        statistics show it later.
        """
        floor = max(1.0, FLOOR_FACTOR * self.goodput.greatest)
        self.capacity = max(floor, min(self.capacity, DRAIN_FACTOR * traffic.finished))
        self.stepped_at = now

    def grow(self, traffic: Traffic, now: int) -> None:
        """Raise the capacity in proportion to the time since the last step, at most by one lag."""
        if self.state is SheddingState.SHEDDING:
            self.capacity = max(self.capacity, RECOVERY_FACTOR * self.goodput.greatest)
            self.stepped_at = now
        lag = MIN_LAG + traffic.age
        lags = min(1.0, (now - self.stepped_at) / lag)
        if lags >= MIN_GROWTH_STEP:
            # no further growth until the statistics show that the last one was used
            bound = max(traffic.admitted, 1.0) * (1 + GROWTH_PER_LAG)
            grown = min(self.capacity * (1 + GROWTH_PER_LAG * lags), bound)
            self.capacity = max(self.capacity, grown)
            self.stepped_at = now

    def lift(self, _traffic: Traffic, _now: int) -> None:
        """Admit everything, as the capacity suffices for the whole demand."""
        self.capacity = inf


Effect = Callable[[LevelController, Traffic, int], None]
TRANSITIONS: dict[tuple[SheddingState, Condition], tuple[SheddingState, Effect | None]] = {
    (SheddingState.NORMAL, Condition.OVERLOADED): (SheddingState.SHEDDING, LevelController.cut),
    (SheddingState.NORMAL, Condition.QUEUEING): (SheddingState.NORMAL, None),
    (SheddingState.NORMAL, Condition.HEALTHY): (SheddingState.NORMAL, None),
    (SheddingState.NORMAL, Condition.UNDER_CAPACITY): (SheddingState.NORMAL, None),
    (SheddingState.SHEDDING, Condition.OVERLOADED): (SheddingState.SHEDDING, LevelController.cut),
    (SheddingState.SHEDDING, Condition.QUEUEING): (SheddingState.SHEDDING, None),
    (SheddingState.SHEDDING, Condition.HEALTHY): (SheddingState.RECOVERING, LevelController.grow),
    (SheddingState.SHEDDING, Condition.UNDER_CAPACITY): (SheddingState.RECOVERING, LevelController.grow),
    (SheddingState.RECOVERING, Condition.OVERLOADED): (SheddingState.SHEDDING, LevelController.cut),
    (SheddingState.RECOVERING, Condition.QUEUEING): (SheddingState.RECOVERING, LevelController.drain),
    (SheddingState.RECOVERING, Condition.HEALTHY): (SheddingState.RECOVERING, LevelController.grow),
    (SheddingState.RECOVERING, Condition.UNDER_CAPACITY): (SheddingState.NORMAL, LevelController.lift),
}
