"""Defers overdue timers after the event loop was stalled.

After a stall, the reactor runs timers before it reads its sockets, so that an answer that is ready in a
socket would lose to its own timeout. Overdue timers are therefore deferred until an iteration that reads
nothing more, or for at most `MAX_DEFERRED_ITERATIONS`, as input may never end.
"""

from enum import Enum, auto


class LoopState(Enum):
    """Whether the event loop is on schedule, or catches up after a stall."""

    ON_SCHEDULE = auto()
    CATCHING_UP = auto()


class Iteration(Enum):
    """Result of one iteration of the event loop."""

    ON_TIME = auto()
    OVERDUE = auto()  # the earliest timer is overdue by more than `STALL_THRESHOLD`
    INPUT = auto()  # something was read since the last iteration
    NO_INPUT = auto()  # nothing was read since the last iteration
    LIMIT = auto()  # timers were deferred for the maximum number of iterations


class TimerAction(Enum):
    """What to do with the timers that are due."""

    FIRE = auto()
    DEFER = auto()


STALL_THRESHOLD = 50  # ticks; a timer that is overdue by more than this indicates a stall
MAX_DEFERRED_ITERATIONS = 20

TRANSITIONS: dict[tuple[LoopState, Iteration], tuple[LoopState, TimerAction]] = {
    (LoopState.ON_SCHEDULE, Iteration.ON_TIME): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
    (LoopState.ON_SCHEDULE, Iteration.OVERDUE): (LoopState.CATCHING_UP, TimerAction.DEFER),
    (LoopState.CATCHING_UP, Iteration.INPUT): (LoopState.CATCHING_UP, TimerAction.DEFER),
    (LoopState.CATCHING_UP, Iteration.NO_INPUT): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
    (LoopState.CATCHING_UP, Iteration.LIMIT): (LoopState.ON_SCHEDULE, TimerAction.FIRE),
}


class TimerGate:
    """Decides in each iteration of the event loop whether the timers that are due may fire."""

    def __init__(self) -> None:
        self.state, self.deferred_iterations, self.inputs = LoopState.ON_SCHEDULE, 0, 0

    def may_fire(self, now: int, due: int, inputs: int) -> bool:
        """Whether to fire timers; `due` is the tick of the earliest, `inputs` the count of inputs so far."""
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
