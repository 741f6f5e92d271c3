"""The state machine of a request: which input moves it to which state, and what is done then.

An effect may itself give the next input: placing a request gives SENT, WAITS or NOWHERE.
"""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import Final

from lapistrestle.policy.entities import FunctionReplica, Request
from lapistrestle.policy.types import Outcome, State


class Input(Enum):
    """What happens to a request."""

    ARRIVED = auto()  # from its client
    ADMITTED = auto()  # it may be placed
    SENT = auto()  # an attempt is under way
    WAITS = auto()  # for a load
    NOWHERE = auto()  # no worker may have it
    OK = auto()  # an attempt was answered well
    NEVER_RAN = auto()  # an attempt ended, and surely did nothing
    MAY_HAVE_RUN = auto()  # an attempt ended, and may have done something
    NOT_LOADED = auto()  # an attempt found no copy
    LOADED = auto()  # the load that it waited for has ended
    LATE = auto()  # its time is up while it waits


class Effect(Enum):
    """What is done on the way to the next state."""

    NOTHING = auto()
    ADMIT = auto()
    PLACE = auto()
    WAIT_FOR_RETRY = auto()
    RETRY = auto()
    ON_NOT_LOADED = auto()
    REJECT = auto()


# (state, input): (next state, effect). A pair that is not named cannot happen.
TRANSITIONS: Final[Mapping[tuple[State, Input], tuple[State, Effect]]] = {
    (State.NEW, Input.ARRIVED): (State.NEW, Effect.ADMIT),
    (State.NEW, Input.ADMITTED): (State.PLACING, Effect.PLACE),
    (State.NEW, Input.NOWHERE): (State.OVER, Effect.REJECT),
    (State.PLACING, Input.SENT): (State.OUT, Effect.NOTHING),
    (State.PLACING, Input.WAITS): (State.PARKED, Effect.WAIT_FOR_RETRY),
    (State.PLACING, Input.NOWHERE): (State.OVER, Effect.REJECT),
    (State.OUT, Input.OK): (State.OVER, Effect.NOTHING),
    (State.OUT, Input.NEVER_RAN): (State.PLACING, Effect.RETRY),
    (State.OUT, Input.MAY_HAVE_RUN): (State.PLACING, Effect.RETRY),
    (State.OUT, Input.NOT_LOADED): (State.PLACING, Effect.ON_NOT_LOADED),
    (State.PARKED, Input.LOADED): (State.PLACING, Effect.RETRY),
    (State.PARKED, Input.LATE): (State.OVER, Effect.REJECT),
}

# What the end of an attempt means for its request.
INPUT_OF_OUTCOME: Final[Mapping[Outcome, Input]] = {
    Outcome.OK: Input.OK,
    Outcome.ERROR: Input.MAY_HAVE_RUN,
    Outcome.REJECTED: Input.NEVER_RAN,
    Outcome.TIMED_OUT: Input.MAY_HAVE_RUN,
    Outcome.UNREACHABLE: Input.NEVER_RAN,
    Outcome.RESET: Input.MAY_HAVE_RUN,
    Outcome.CANCELLED: Input.MAY_HAVE_RUN,
    Outcome.NOT_SENT: Input.NEVER_RAN,
    Outcome.NOT_LOADED: Input.NOT_LOADED,
}

Handler = Callable[[Request, FunctionReplica | None], Input | None]


class RequestStateMachine:
    """Moves requests along `TRANSITIONS`; `handlers` carry out the effects."""

    def __init__(self, handlers: Mapping[Effect, Handler]) -> None:
        self.transitions = {
            key: (state, handlers.get(effect)) for key, (state, effect) in TRANSITIONS.items()
        }

    def drive(self, request: Request, given: Input | None, replica: FunctionReplica | None = None) -> None:
        """Move the request by an input, and by those that its effects give, until there is none. `replica`:
        where the input comes from, if from a worker. One that is over takes no input.
        """
        while given is not None and not request.over:
            request.state, handler = self.transitions[request.state, given]
            request.over = request.state is State.OVER
            given = handler(request, replica) if handler else None
