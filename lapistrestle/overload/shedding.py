"""The fleet's level of admission, worked out alike at every dispatcher from figures that are seconds old.

There is no state that could drift apart: how much is let in now is a figure of the fleet like any other, and
each step is taken from that figure. So the loop's memory is the fleet's own traffic, seen by all, and a step
made on old figures is not made again until they show it: growth is bounded by `EASE` for each age of figures.
Cutting goes under what was done in time, so that what has piled up drains; once it has, the room goes
straight back to nearly the best that was done lately, and on from there in steps. What is let in and has not
ended tells by Little's law how long an RPC stays, so that what piles up is seen long before anything is late
(docs/overload.md).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lapistrestle.overload.ladder import Level, level_for

SECOND = 10_000  # in tenths of a millisecond
STRAINED = 0.12  # of what was let in came late or not at all: too much
CUT = 0.95  # of what is done in time is let in under strain
EASE = 0.25  # more is let in for each age of figures that all went well
FEW = 20.0  # of what ended in a window, under which no share is read off
FLOOR = 0.3  # of the best that was done within PEAK: a jam that wastes all must not pass for no capacity
PEAK = 15 * SECOND
BACK = 0.9  # of that best is let in once the strain is over
LONG = 0.4  # of a soft deadline that an RPC stays, or
TWICE = 2.0  # so many times the least of late: something has piled up
PILING = 0.9  # or if less than this part of what is let in ends
DRAINS = 0.85  # of what ends is let in then
LAG = 2 * SECOND  # figures are rates over a window: at least so old whatever their age says

Mode = Enum("Mode", "CALM SHEDDING EASING")
Sign = Enum("Sign", "STRAINED PILES FINE FITS")  # what the figures say


@dataclass(frozen=True)
class Seen:
    """The fleet's traffic a second: `asked` by rung, `let` in, of that `good` and `bad` ended; `out`: RPCs
    let in and not ended. What the module denied by itself is in none of them. `age` of the oldest figure, in
    tenths of a millisecond."""

    asked: tuple[float, ...]
    let: float
    good: float
    bad: float
    out: float
    age: int


class Shedding:
    """One dispatcher's reading of the level."""

    def __init__(self, rungs: int, soft: int, log: Callable[[str], None], now: int) -> None:
        """`soft`: the usual soft deadline, in tenths of a millisecond."""
        self.rungs, self.soft, self.log = rungs, soft, log
        self.mode, self.level, self.room = Mode.CALM, Level(rungs), float("inf")
        self.stepped = now  # when room was last raised
        self.best: deque[tuple[int, float]] = deque()  # done in time: when, how much; falling
        self.least: deque[tuple[int, float]] = deque()  # how long an RPC stays, by Little's law; rising

    def see(self, seen: Seen, now: int) -> Level:
        """New figures: the level from now on."""
        self.remember(seen, now)
        sign = self.sign(seen)
        mode, effect = MODES[self.mode, sign]
        if effect is not None:
            effect(self, seen, now)
        if mode is not self.mode:
            self.mode = mode
            bad = f"{seen.bad:.0f} of {seen.good + seen.bad:.0f} a second bad, {sum(seen.asked):.0f} asked"
            self.log(f"shedding {mode.name.lower()}: {bad}, room {self.room:.0f}, figures {seen.age} old")
        self.level = Level(self.rungs) if mode is Mode.CALM else level_for(seen.asked, self.room)
        return self.level

    def sign(self, seen: Seen) -> Sign:
        """Bad ends without long stays are no overload, but workers or loads that fail: letting fewer in would
        mend nothing, and the share of bad ends would only grow as fewer are let in."""
        ended = seen.good + seen.bad
        known = ended * LAG / SECOND >= FEW
        usual = max(LONG * self.soft, TWICE * self.least[0][1])
        long = known and self.stay(seen) > min(self.soft, usual)  # a jam that lasts must not pass for usual
        if long and seen.bad > STRAINED * ended:
            return Sign.STRAINED
        if sum(seen.asked) <= self.room:
            return Sign.FITS
        return Sign.PILES if long or ended < PILING * seen.let else Sign.FINE

    def stay(self, seen: Seen) -> float:
        """In tenths of a millisecond."""
        return seen.out * SECOND / max(seen.good + seen.bad, 1.0)

    def remember(self, seen: Seen, now: int) -> None:
        stay = self.stay(seen)
        while self.best and self.best[-1][1] <= seen.good:
            self.best.pop()
        while self.least and self.least[-1][1] >= stay:
            self.least.pop()
        self.best.append((now, seen.good))
        self.least.append((now, stay))
        for kept in (self.best, self.least):
            while kept[0][0] <= now - PEAK:
                kept.popleft()

    def cut(self, seen: Seen, now: int) -> None:
        if self.mode is Mode.EASING:  # the best of before is no more: else it would be tried again and again
            self.best = deque([(now, min(seen.good + seen.bad, BACK * self.best[0][1]))])
        self.room = max(min(CUT * seen.good, self.room), FLOOR * self.best[0][1], 1.0)
        self.stepped = now

    def drain(self, seen: Seen, now: int) -> None:
        """To no less than a cut: guards against a level that shuts itself, as what ends falls with what is
        let in, and what is seen of it falls later."""
        least = max(1.0, FLOOR * self.best[0][1])
        self.room = max(least, min(self.room, DRAINS * (seen.good + seen.bad)))
        self.stepped = now

    def ease(self, seen: Seen, now: int) -> None:
        """More, in proportion to the time in which the figures could show the last step."""
        if self.mode is Mode.SHEDDING:
            self.room, self.stepped = max(self.room, BACK * self.best[0][1]), now
        lag = LAG + seen.age
        steps = min(1.0, (now - self.stepped) / lag)
        if steps >= 0.25:  # in quarters, so that rounding does not eat small steps
            shown = max(seen.let, 1.0) * (1 + EASE)  # no further until the figures show what was let in
            self.room = max(self.room, min(self.room * (1 + EASE * steps), shown))
            self.stepped = now

    def open(self, seen: Seen, now: int) -> None:
        self.room = float("inf")


MODES: dict[tuple[Mode, Sign], tuple[Mode, Callable[[Shedding, Seen, int], None] | None]] = {
    (Mode.CALM, Sign.STRAINED): (Mode.SHEDDING, Shedding.cut),
    (Mode.CALM, Sign.FINE): (Mode.CALM, None),
    (Mode.CALM, Sign.FITS): (Mode.CALM, None),
    (Mode.SHEDDING, Sign.STRAINED): (Mode.SHEDDING, Shedding.cut),
    (Mode.CALM, Sign.PILES): (Mode.CALM, None),
    (Mode.SHEDDING, Sign.PILES): (Mode.SHEDDING, None),
    (Mode.SHEDDING, Sign.FINE): (Mode.EASING, Shedding.ease),
    (Mode.SHEDDING, Sign.FITS): (Mode.EASING, Shedding.ease),
    (Mode.EASING, Sign.STRAINED): (Mode.SHEDDING, Shedding.cut),
    (Mode.EASING, Sign.PILES): (Mode.EASING, Shedding.drain),
    (Mode.EASING, Sign.FINE): (Mode.EASING, Shedding.ease),
    (Mode.EASING, Sign.FITS): (Mode.CALM, Shedding.open),
}
