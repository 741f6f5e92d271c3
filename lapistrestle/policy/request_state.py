"""The state machine of a request: which input moves it to which state, and what is done then.

An effect may itself give the next input: placing a request gives SENT, WAITS or NOWHERE.
"""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import Final

from lapistrestle.policy.entities import FunctionReplica, Request
from lapistrestle.policy.types import Outcome, State


class RequestEvent(Enum):
    """What happens to a request."""

    RECEIVED = auto()  # from its client
    ADMITTED = auto()  # it may be placed
    SENT = auto()  # an attempt is under way
    WAITS_FOR_LOAD = auto()  # for a load
    NO_WORKER = auto()  # no worker may have it
    OK = auto()  # an attempt was answered well
    NEVER_RAN = auto()  # an attempt ended, and surely did nothing
    MAY_HAVE_RUN = auto()  # an attempt ended, and may have done something
    NOT_LOADED = auto()  # an attempt found no copy
    LOADED = auto()  # the load that it waited for has ended
    WAIT_EXPIRED = auto()  # its time is up while it waits


class Action(Enum):
    """What is done on the way to the next state."""

    NOTHING = auto()
    ADMIT = auto()
    PLACE = auto()
    WAIT_FOR_RETRY = auto()
    RETRY = auto()
    ON_NOT_LOADED = auto()
    REJECT = auto()


# (state, input): (next state, effect). A pair that is not named cannot happen.
TRANSITIONS: Final[Mapping[tuple[State, RequestEvent], tuple[State, Action]]] = {
    (State.NEW, RequestEvent.RECEIVED): (State.NEW, Action.ADMIT),
    (State.NEW, RequestEvent.ADMITTED): (State.PLACING, Action.PLACE),
    (State.NEW, RequestEvent.NO_WORKER): (State.OVER, Action.REJECT),
    (State.PLACING, RequestEvent.SENT): (State.OUT, Action.NOTHING),
    (State.PLACING, RequestEvent.WAITS_FOR_LOAD): (State.PARKED, Action.WAIT_FOR_RETRY),
    (State.PLACING, RequestEvent.NO_WORKER): (State.OVER, Action.REJECT),
    (State.OUT, RequestEvent.OK): (State.OVER, Action.NOTHING),
    (State.OUT, RequestEvent.NEVER_RAN): (State.PLACING, Action.RETRY),
    (State.OUT, RequestEvent.MAY_HAVE_RUN): (State.PLACING, Action.RETRY),
    (State.OUT, RequestEvent.NOT_LOADED): (State.PLACING, Action.ON_NOT_LOADED),
    (State.PARKED, RequestEvent.LOADED): (State.PLACING, Action.RETRY),
    (State.PARKED, RequestEvent.WAIT_EXPIRED): (State.OVER, Action.REJECT),
}

# What the end of an attempt means for its request.
EVENT_OF_OUTCOME: Final[Mapping[Outcome, RequestEvent]] = {
    Outcome.OK: RequestEvent.OK,
    Outcome.ERROR: RequestEvent.MAY_HAVE_RUN,
    Outcome.REJECTED: RequestEvent.NEVER_RAN,
    Outcome.TIMED_OUT: RequestEvent.MAY_HAVE_RUN,
    Outcome.UNREACHABLE: RequestEvent.NEVER_RAN,
    Outcome.RESET: RequestEvent.MAY_HAVE_RUN,
    Outcome.CANCELLED: RequestEvent.MAY_HAVE_RUN,
    Outcome.NOT_SENT: RequestEvent.NEVER_RAN,
    Outcome.NOT_LOADED: RequestEvent.NOT_LOADED,
}

Handler = Callable[[Request, FunctionReplica | None], RequestEvent | None]


class RequestStateMachine:
    """Moves requests along `TRANSITIONS`; `handlers` carry out the effects."""

    def __init__(self, handlers: Mapping[Action, Handler]) -> None:
        self.transitions = {
            key: (state, handlers.get(effect)) for key, (state, effect) in TRANSITIONS.items()
        }

    def handle(
        self, request: Request, given: RequestEvent | None, replica: FunctionReplica | None = None
    ) -> None:
        """Move the request by an input, and by those that its effects give, until there is none. `replica`:
        where the input comes from, if from a worker. One that is over takes no input.
        """
        while given is not None and not request.over:
            request.state, handler = self.transitions[request.state, given]
            request.over = request.state is State.OVER
            given = handler(request, replica) if handler else None
