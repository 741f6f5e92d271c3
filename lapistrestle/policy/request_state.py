"""State machine of a request: next state and action for each state and event.

An action may return the next event: placing a request returns SENT, WAITS_FOR_LOAD or NO_WORKER.
"""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import Final

from lapistrestle.policy.entities import FunctionReplica, Request
from lapistrestle.policy.types import Outcome, State


class RequestEvent(Enum):
    """An event in the life of a request."""

    RECEIVED = auto()  # from its client
    ADMITTED = auto()  # by admission control
    SENT = auto()  # an attempt was sent
    WAITS_FOR_LOAD = auto()  # it is parked until a load finishes
    NO_WORKER = auto()  # rejected by admission control, or no worker can take it
    OK = auto()  # an attempt succeeded
    NEVER_RAN = auto()  # an attempt failed, and certainly did not run
    MAY_HAVE_RUN = auto()  # an attempt failed, and may have run
    NOT_LOADED = auto()  # the worker of an attempt had no loaded copy
    LOADED = auto()  # the load that it waited for has finished
    WAIT_EXPIRED = auto()  # no time is left to run it while it is parked


class Action(Enum):
    """Action taken on a transition."""

    NOTHING = auto()
    ADMIT = auto()
    PLACE = auto()
    WAIT_FOR_RETRY = auto()
    RETRY = auto()
    ON_NOT_LOADED = auto()
    REJECT = auto()


# (state, event): (next state, action). Pairs that are not listed cannot occur.
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

# Event of the request for each outcome of an attempt.
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
    """Applies `TRANSITIONS` to requests; `handlers` carry out the actions."""

    def __init__(self, handlers: Mapping[Action, Handler]) -> None:
        self.transitions = {
            key: (state, handlers.get(action)) for key, (state, action) in TRANSITIONS.items()
        }

    def handle(
        self, request: Request, event: RequestEvent | None, replica: FunctionReplica | None = None
    ) -> None:
        """Apply an event, and those that the actions return, until there is none. `replica` is the origin of
        the event, if it comes from a worker. Events of a request that is over are ignored.
        """
        while event is not None and not request.over:
            request.state, handler = self.transitions[request.state, event]
            request.over = request.state is State.OVER
            event = handler(request, replica) if handler else None
