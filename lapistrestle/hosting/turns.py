"""When timers may fire after the program stood still.

A reactor that wakes from a pause runs its timers before it reads what came meanwhile, so an answer that lay
in the socket would lose against its own time-out. Timers that are late therefore wait for the first turn in
which nothing more was read. That could harm where input never ends: it is bounded by a number of turns.
"""

from enum import Enum, auto


class Pace(Enum):
    """Whether the loop keeps up with its timers, or catches up after a standstill."""

    STEADY = auto()
    BEHIND = auto()


class Turn(Enum):
    """What one turn of the reactor shows."""

    ON_TIME = auto()
    LATE = auto()  # the earliest timer is overdue by more than a standstill
    INPUT = auto()  # something was read since the last turn
    QUIET = auto()  # nothing was
    LIMIT = auto()  # timers have waited as many turns as they may


class Verdict(Enum):
    """What is done with the timers that are due."""

    FIRE = auto()
    WAIT = auto()


STANDSTILL = 50  # tenths of a millisecond; a turn that comes later than this stood still
MAX_WAITED_TURNS = 20  # turns

TRANSITIONS: dict[tuple[Pace, Turn], tuple[Pace, Verdict]] = {
    (Pace.STEADY, Turn.ON_TIME): (Pace.STEADY, Verdict.FIRE),
    (Pace.STEADY, Turn.LATE): (Pace.BEHIND, Verdict.WAIT),
    (Pace.BEHIND, Turn.INPUT): (Pace.BEHIND, Verdict.WAIT),
    (Pace.BEHIND, Turn.QUIET): (Pace.STEADY, Verdict.FIRE),
    (Pace.BEHIND, Turn.LIMIT): (Pace.STEADY, Verdict.FIRE),
}


class Turns:
    """One verdict for each turn of the reactor in which a timer is due."""

    def __init__(self) -> None:
        self.pace, self.waited, self.inputs = Pace.STEADY, 0, 0

    def may_fire(self, now: int, due: int, inputs: int) -> bool:
        """`due`: when the earliest timer was due; `inputs`: inputs so far, a running count."""
        if self.pace is Pace.STEADY:
            turn = Turn.LATE if now - due > STANDSTILL else Turn.ON_TIME
        elif self.waited >= MAX_WAITED_TURNS:
            turn = Turn.LIMIT
        else:
            turn = Turn.QUIET if inputs == self.inputs else Turn.INPUT
        self.pace, verdict = TRANSITIONS[self.pace, turn]
        self.waited = self.waited + 1 if verdict is Verdict.WAIT else 0
        self.inputs = inputs
        return verdict is Verdict.FIRE
