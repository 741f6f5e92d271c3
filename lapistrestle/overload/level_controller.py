"""The fleet's admission level, computed alike at every dispatcher from statistics that are seconds old.

There is no state that could drift apart: how much is admitted now is a statistic of the fleet like any other,
and each step starts from it. So the loop's memory is the fleet's own traffic, seen by all, and a step made on
old statistics is not made again until they show it: growth is bounded by `GROWTH_PER_LAG` for each age of the
statistics. A cut goes under what is served in time, so that the queue drains; once it has, the capacity goes
straight back to nearly the best goodput of late, and on from there in steps. Little's law (Little, 1961)
gives the sojourn time from what is in flight, so that a queue is seen long before anything is late
(docs/overload.md).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from lapistrestle.overload.priorities import AdmissionLevel, level_for
from lapistrestle.ticks import SECOND

MAX_BAD_FRACTION = 0.12  # of what finished; with long sojourn times more is overload
CUT_FACTOR = 0.95  # of the goodput is admitted under overload
GROWTH_PER_LAG = 0.25  # by which the capacity grows within each lag in which all went well
MIN_GROWTH_STEP = 0.25  # of a lag: steps are no smaller, so that rounding does not eat them
MIN_FINISHED = 20.0  # requests in a window, under which no fraction is read off
FLOOR_FACTOR = 0.3  # of the best goodput within the window: a jam that wastes all is no lack of capacity
PEAK_WINDOW = 15 * SECOND  # within which the best goodput and the shortest sojourn time count
RECOVERY_FACTOR = 0.9  # of the best goodput is admitted once the overload is over
LONG_SOJOURN = 0.4  # of a soft deadline is a long sojourn time, or
LONG_OVER_SHORTEST = 2.0  # so many times the shortest of late: something has queued up
MIN_COMPLETION_RATIO = 0.9  # if less of what is admitted finishes, it queues up
DRAIN_FACTOR = 0.85  # of what finishes is admitted then
MIN_LAG = 2 * SECOND  # statistics are rates over a window: at least so old whatever their age


class SheddingState(Enum):
    """What the controller does; the values are in log lines and in what operators are shown."""

    NORMAL = "calm"  # everything is admitted
    SHEDDING = "shedding"  # under overload
    RECOVERING = "easing"  # overload is over, the capacity grows


class Condition(Enum):
    """What the statistics show."""

    OVERLOADED = 1  # requests stay long, and many finish late or not at all
    QUEUEING = 2  # they stay long, or fewer finish than are admitted
    HEALTHY = 3
    UNDER_CAPACITY = 4  # the whole demand fits


@dataclass(frozen=True)
class Traffic:
    """Requests a second, of the fleet or of oneself, without those that the policy itself rejected."""

    demand: tuple[float, ...]  # by priority
    admitted: float
    good: float  # finished in time
    bad: float  # finished late or not at all
    in_flight: float  # admitted and not finished: a count, not a rate
    age: int  # of the oldest snapshot, in ticks

    @property
    def finished(self) -> float:
        """Requests that finished, in time or not."""
        return self.good + self.bad

    @property
    def sojourn_time(self) -> float:
        """How long a request stays, by Little's law, in ticks."""
        return self.in_flight * SECOND / max(self.finished, 1.0)


class WindowExtreme:
    """The greatest of the values added within the last `PEAK_WINDOW`: a monotonic queue."""

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque()  # when and what; values falling

    def add(self, value: float, now: int) -> None:
        """Add a value, and drop those that are too old."""
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
        """The greatest value; one was added before."""
        return self.samples[0][1]


class LevelController:
    """One dispatcher's computation of the admission level."""

    def __init__(
        self, priorities: int, soft_deadline: int, log_line: Callable[[str], None], now: int
    ) -> None:
        """`priorities` is their count, `soft_deadline` the usual one in ticks."""
        self.priorities = priorities
        self.soft_deadline = soft_deadline
        self.log_line = log_line
        self.state = SheddingState.NORMAL
        self.level = AdmissionLevel(priorities)
        self.capacity = inf  # requests a second to admit
        self.stepped_at = now  # when the capacity was last set
        self.goodput = WindowExtreme()
        self.negative_sojourn = WindowExtreme()  # negated, so that its greatest is the shortest

    def update(self, traffic: Traffic, now: int) -> AdmissionLevel:
        """The level from now on, given new statistics."""
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
        bad = f"{traffic.bad:.0f} of {traffic.finished:.0f} a second bad, {demand:.0f} asked"
        capacity = f"room {self.capacity:.0f}, figures {traffic.age} old"
        self.log_line(f"shedding {self.state.value}: {bad}, {capacity}")

    def condition(self, traffic: Traffic) -> Condition:
        """What the statistics show.

        Bad ends without long sojourn times are no overload, but workers or loads that fail: admitting less
        would mend nothing, and the fraction of bad ends would only grow.
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
        """Whether requests stay long; past the soft deadline always, as a jam that lasts is not normal."""
        if traffic.finished * MIN_LAG / SECOND < MIN_FINISHED:
            return False
        shortest = -self.negative_sojourn.greatest
        normal = max(LONG_SOJOURN * self.soft_deadline, LONG_OVER_SHORTEST * shortest)
        return traffic.sojourn_time > min(self.soft_deadline, normal)

    # effects of the transitions

    def cut(self, traffic: Traffic, now: int) -> None:
        """Set the capacity under the goodput, so that the queue drains."""
        if self.state is SheddingState.RECOVERING:  # a relapse: else the best would be tried again and again
            self.goodput.reset(min(traffic.finished, RECOVERY_FACTOR * self.goodput.greatest), now)
        reduced = min(CUT_FACTOR * traffic.good, self.capacity)
        self.capacity = max(reduced, FLOOR_FACTOR * self.goodput.greatest, 1.0)
        self.stepped_at = now

    def drain(self, traffic: Traffic, now: int) -> None:
        """Reduce the capacity, but to no less than a cut would.

        Guards against a level that shuts itself, as what finishes falls with what is admitted, and what is
        seen of it falls later.
        """
        floor = max(1.0, FLOOR_FACTOR * self.goodput.greatest)
        self.capacity = max(floor, min(self.capacity, DRAIN_FACTOR * traffic.finished))
        self.stepped_at = now

    def grow(self, traffic: Traffic, now: int) -> None:
        """Raise the capacity in proportion to the time in which the statistics could show the last step."""
        if self.state is SheddingState.SHEDDING:
            self.capacity = max(self.capacity, RECOVERY_FACTOR * self.goodput.greatest)
            self.stepped_at = now
        lag = MIN_LAG + traffic.age
        lags = min(1.0, (now - self.stepped_at) / lag)
        if lags >= MIN_GROWTH_STEP:
            # no further until the statistics show what was admitted
            bound = max(traffic.admitted, 1.0) * (1 + GROWTH_PER_LAG)
            grown = min(self.capacity * (1 + GROWTH_PER_LAG * lags), bound)
            self.capacity = max(self.capacity, grown)
            self.stepped_at = now

    def lift(self, _traffic: Traffic, _now: int) -> None:
        """Admit everything: the whole demand fits."""
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
