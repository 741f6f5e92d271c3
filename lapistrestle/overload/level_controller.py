"""The fleet's level of admission, worked out alike at every dispatcher from figures that are seconds old.

There is no state that could drift apart: how much is let in now is a figure of the fleet like any other, and
each step is taken from that figure. So the loop's memory is the fleet's own traffic, seen by all, and a step
made on old figures is not made again until they show it: growth is bounded by `EASE` for each age of figures.
Cutting goes under what was done in time, so that what has queued up drains; once it has, the room goes
straight back to nearly the best that was done lately, and on from there in steps. What is let in and has not
ended tells by Little's law how long an RPC stays, so that a queue is seen long before anything is late
(docs/overload.md).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lapistrestle.overload.priorities import AdmissionLevel, level_for

SECOND = 10_000  # in tenths of a millisecond
STRAINED = 0.12  # of what was let in came late or not at all: too much
CUT = 0.95  # of what is done in time is let in under strain
EASE = 0.25  # more is let in for each age of figures that all went well
EASE_QUARTER = 0.25  # steps are made in quarters of an age, so that rounding does not eat small ones
MIN_ENDED = 20.0  # of what ended in a window, under which no share is read off
FLOOR = 0.3  # of the best that was done within PEAK: a jam that wastes all must not pass for no capacity
PEAK = 15 * SECOND
BACK = 0.9  # of that best is let in once the strain is over
LONG = 0.4  # of a soft deadline that an RPC stays, or
LONG_OVER_LEAST = 2.0  # so many times the least of late: something has queued up
QUEUEING = 0.9  # or if less than this part of what is let in ends
DRAIN = 0.85  # of what ends is let in then
LAG = 2 * SECOND  # figures are rates over a window: at least so old whatever their age says

Mode = Enum("Mode", "CALM SHEDDING EASING")
Condition = Enum("Condition", "STRAINED QUEUEING FINE FITS")  # what the figures say


@dataclass(frozen=True)
class Traffic:
    """RPCs a second, of the fleet or of oneself. What the module denied by itself is in none of them."""

    demand: tuple[float, ...]  # by priority
    admitted: float
    good: float  # ended in time
    bad: float  # ended late or not at all
    in_flight: float  # let in and not ended: a count, not a rate
    age: int  # of the oldest figure, in tenths of a millisecond


class LevelController:
    """One dispatcher's working out of the level. `priorities`: how many there are."""

    def __init__(self, priorities: int, soft: int, log: Callable[[str], None], now: int) -> None:
        """`soft`: the usual soft deadline, in tenths of a millisecond."""
        self.priorities, self.soft, self.log = priorities, soft, log
        self.mode, self.level, self.room = Mode.CALM, AdmissionLevel(priorities), float("inf")
        self.stepped = now  # when room was last raised
        self.best: deque[tuple[int, float]] = deque()  # done in time: when, how much; falling
        self.least: deque[tuple[int, float]] = deque()  # how long an RPC stays, by Little's law; rising

    def update(self, traffic: Traffic, now: int) -> AdmissionLevel:
        """New figures: the level from now on."""
        self.remember(traffic, now)
        condition = self.condition(traffic)
        mode, effect = TRANSITIONS[self.mode, condition]
        if effect is not None:
            effect(self, traffic, now)
        if mode is not self.mode:
            self.mode = mode
            ended, asked = traffic.good + traffic.bad, sum(traffic.demand)
            bad = f"{traffic.bad:.0f} of {ended:.0f} a second bad, {asked:.0f} asked"
            self.log(f"shedding {mode.name.lower()}: {bad}, room {self.room:.0f}, figures {traffic.age} old")
        self.level = (
            AdmissionLevel(self.priorities) if mode is Mode.CALM else level_for(traffic.demand, self.room)
        )
        return self.level

    def condition(self, traffic: Traffic) -> Condition:
        """What the figures say. Bad ends without long stays are no overload, but workers or loads that fail:
        letting fewer in would mend nothing, and the share of bad ends would only grow."""
        ended = traffic.good + traffic.bad
        known = ended * LAG / SECOND >= MIN_ENDED
        usual = max(LONG * self.soft, LONG_OVER_LEAST * self.least[0][1])
        long = known and self.stay(traffic) > min(
            self.soft, usual
        )  # a jam that lasts must not pass for usual
        if long and traffic.bad > STRAINED * ended:
            return Condition.STRAINED
        if sum(traffic.demand) <= self.room:
            return Condition.FITS
        return Condition.QUEUEING if long or ended < QUEUEING * traffic.admitted else Condition.FINE

    def stay(self, traffic: Traffic) -> float:
        """How long an RPC stays, by Little's law, in tenths of a millisecond."""
        return traffic.in_flight * SECOND / max(traffic.good + traffic.bad, 1.0)

    def remember(self, traffic: Traffic, now: int) -> None:
        """Keep the best and the least of late."""
        stay = self.stay(traffic)
        while self.best and self.best[-1][1] <= traffic.good:
            self.best.pop()
        while self.least and self.least[-1][1] >= stay:
            self.least.pop()
        self.best.append((now, traffic.good))
        self.least.append((now, stay))
        for kept in (self.best, self.least):
            while kept[0][0] <= now - PEAK:
                kept.popleft()

    def cut(self, traffic: Traffic, now: int) -> None:
        """Under what is done in time, so that what has queued up drains."""
        if self.mode is Mode.EASING:  # the best of before is no more: else it would be tried again and again
            self.best = deque([(now, min(traffic.good + traffic.bad, BACK * self.best[0][1]))])
        self.room = max(min(CUT * traffic.good, self.room), FLOOR * self.best[0][1], 1.0)
        self.stepped = now

    def drain(self, traffic: Traffic, now: int) -> None:
        """To no less than a cut: guards against a level that shuts itself, as what ends falls with what is
        let in, and what is seen of it falls later."""
        least = max(1.0, FLOOR * self.best[0][1])
        self.room = max(least, min(self.room, DRAIN * (traffic.good + traffic.bad)))
        self.stepped = now

    def ease(self, traffic: Traffic, now: int) -> None:
        """More, in proportion to the time in which the figures could show the last step."""
        if self.mode is Mode.SHEDDING:
            self.room, self.stepped = max(self.room, BACK * self.best[0][1]), now
        lag = LAG + traffic.age
        steps = min(1.0, (now - self.stepped) / lag)
        if steps >= EASE_QUARTER:
            shown = max(traffic.admitted, 1.0) * (
                1 + EASE
            )  # no further until the figures show what was let in
            self.room = max(self.room, min(self.room * (1 + EASE * steps), shown))
            self.stepped = now

    def open(self, traffic: Traffic, now: int) -> None:
        """All that is asked fits."""
        self.room = float("inf")


TRANSITIONS: dict[
    tuple[Mode, Condition], tuple[Mode, Callable[[LevelController, Traffic, int], None] | None]
] = {
    (Mode.CALM, Condition.STRAINED): (Mode.SHEDDING, LevelController.cut),
    (Mode.CALM, Condition.FINE): (Mode.CALM, None),
    (Mode.CALM, Condition.FITS): (Mode.CALM, None),
    (Mode.SHEDDING, Condition.STRAINED): (Mode.SHEDDING, LevelController.cut),
    (Mode.CALM, Condition.QUEUEING): (Mode.CALM, None),
    (Mode.SHEDDING, Condition.QUEUEING): (Mode.SHEDDING, None),
    (Mode.SHEDDING, Condition.FINE): (Mode.EASING, LevelController.ease),
    (Mode.SHEDDING, Condition.FITS): (Mode.EASING, LevelController.ease),
    (Mode.EASING, Condition.STRAINED): (Mode.SHEDDING, LevelController.cut),
    (Mode.EASING, Condition.QUEUEING): (Mode.EASING, LevelController.drain),
    (Mode.EASING, Condition.FINE): (Mode.EASING, LevelController.ease),
    (Mode.EASING, Condition.FITS): (Mode.CALM, LevelController.open),
}
