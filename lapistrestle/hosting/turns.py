"""When timers may fire after the program stood still.

A reactor that wakes from a pause runs its timers before it reads what came meanwhile, so an answer that lay
in the socket would lose against its own time-out. Timers that are late therefore wait for the first turn in
which nothing more was read. That could harm where input never ends: it is bounded by a number of turns.
"""

from enum import Enum, auto


class LoopState(Enum):
    """Whether the loop keeps up with its timers, or catches up after a standstill."""

    ON_SCHEDULE = auto()
    CATCHING_UP = auto()


class Iteration(Enum):
    """What one turn of the reactor shows."""

    ON_TIME = auto()
    OVERDUE = auto()  # the earliest timer is overdue by more than a standstill
    INPUT = auto()  # something was read since the last turn
    NO_INPUT = auto()  # nothing was
    LIMIT = auto()  # timers have waited as many turns as they may


class TimerAction(Enum):
    """What is done with the timers that are due."""

    FIRE = auto()
    DEFER = auto()


STALL_THRESHOLD = 50  # tenths of a millisecond; a turn that comes later than this stood still
MAX_DEFERRED_ITERATIONS = 20  # turns

TRANSITIONS: dict[tuple[LoopState, Iteration], tuple[LoopState, TimerAction]] = {
    (LoopState.ON_SCHEDULE, Iteration.ON_TIME): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
    (LoopState.ON_SCHEDULE, Iteration.OVERDUE): (LoopState.CATCHING_UP, TimerAction.DEFER),
    (LoopState.CATCHING_UP, Iteration.INPUT): (LoopState.CATCHING_UP, TimerAction.DEFER),
    (LoopState.CATCHING_UP, Iteration.NO_INPUT): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
    (LoopState.CATCHING_UP, Iteration.LIMIT): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
}


class Turns:
    """One verdict for each turn of the reactor in which a timer is due."""

    def __init__(self) -> None:
        self.state, self.deferred_iterations, self.inputs = LoopState.ON_SCHEDULE, 0, 0

    def may_fire(self, now: int, due: int, inputs: int) -> bool:
        """`due`: when the earliest timer was due; `inputs`: inputs so far, a running count."""
        if self.state is LoopState.ON_SCHEDULE:
            iteration = Iteration.OVERDUE if now - due > STALL_THRESHOLD else Iteration.ON_TIME
        elif self.deferred_iterations >= MAX_DEFERRED_ITERATIONS:
            iteration = Iteration.LIMIT
        else:
            iteration = Iteration.NO_INPUT if inputs == self.inputs else Iteration.INPUT
        self.state, action = TRANSITIONS[self.state, iteration]
        self.deferred_iterations = self.deferred_iterations + 1 if action is TimerAction.DEFER else 0
        self.inputs = inputs
        return action is TimerAction.FIRE
