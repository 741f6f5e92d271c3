"""Sequencing of a roster's messages: which are applied, and when a complete list is requested. Free of I/O.

The roster sends a complete list first, then changes whose numbers rise by one. After a gap the complete list
is requested again. A complete list with a lower number than before is applied only if the roster sends that
number twice or with a new epoch: a single stale reply must not bring back workers that are gone. An empty
complete list is applied like any other, since nothing new may be sent to workers that have left the
list; it is logged.
"""

from collections.abc import Callable
from enum import Enum, auto

from lapistrestle.wire.messages import RosterSnapshot, RosterUpdate


class ListState(Enum):
    """State of the received list. Logs and reports show the names in lower case."""

    BLANK = auto()  # no list received, or the connection was lost before the requested one
    ASKING = auto()  # the complete list is requested
    STEADY = auto()  # each change has followed the last one


class ListEvent(Enum):
    """A message, classified by its number relative to the last one applied, or a change of the connection."""

    WHOLE = auto()  # a complete list with the same or a higher number, or with a new epoch
    BACK = auto()  # a complete list with a lower number
    AGAIN = auto()  # the same lower number a second time
    NEXT = auto()  # the change with the next number
    REPEAT = auto()  # a change with an earlier or the same number
    GAP = auto()  # a change after a missing one, or with another epoch
    CUT = auto()  # the connection was lost
    FAILED = auto()  # the connection could not be established, or the roster can't answer


class ListAction(Enum):
    """What the receiver does after an event."""

    TAKE = auto()  # apply the list or change
    ASK = auto()  # request the complete list
    PASS = auto()  # ignore the message
    TELL_FAILED = auto()  # report that the roster is unavailable


# next state and action by state and event
TRANSITIONS: dict[tuple[ListState, ListEvent], tuple[ListState, ListAction]] = {
    (ListState.BLANK, ListEvent.WHOLE): (ListState.STEADY, ListAction.TAKE),
    (ListState.BLANK, ListEvent.BACK): (ListState.STEADY, ListAction.TAKE),
    (ListState.BLANK, ListEvent.AGAIN): (ListState.STEADY, ListAction.TAKE),
    (ListState.BLANK, ListEvent.NEXT): (ListState.ASKING, ListAction.ASK),
    (ListState.BLANK, ListEvent.REPEAT): (ListState.ASKING, ListAction.ASK),
    (ListState.BLANK, ListEvent.GAP): (ListState.ASKING, ListAction.ASK),
    (ListState.BLANK, ListEvent.CUT): (ListState.BLANK, ListAction.TELL_FAILED),
    (ListState.BLANK, ListEvent.FAILED): (ListState.BLANK, ListAction.TELL_FAILED),
    (ListState.STEADY, ListEvent.WHOLE): (ListState.STEADY, ListAction.TAKE),
    (ListState.STEADY, ListEvent.BACK): (ListState.ASKING, ListAction.ASK),
    (ListState.STEADY, ListEvent.AGAIN): (ListState.STEADY, ListAction.TAKE),
    (ListState.STEADY, ListEvent.NEXT): (ListState.STEADY, ListAction.TAKE),
    (ListState.STEADY, ListEvent.REPEAT): (ListState.STEADY, ListAction.PASS),
    (ListState.STEADY, ListEvent.GAP): (ListState.ASKING, ListAction.ASK),
    (ListState.STEADY, ListEvent.CUT): (ListState.STEADY, ListAction.TELL_FAILED),
    (ListState.STEADY, ListEvent.FAILED): (ListState.STEADY, ListAction.TELL_FAILED),
    (ListState.ASKING, ListEvent.WHOLE): (ListState.STEADY, ListAction.TAKE),
    (ListState.ASKING, ListEvent.BACK): (ListState.ASKING, ListAction.PASS),
    (ListState.ASKING, ListEvent.AGAIN): (ListState.STEADY, ListAction.TAKE),
    (ListState.ASKING, ListEvent.NEXT): (ListState.ASKING, ListAction.TAKE),
    (ListState.ASKING, ListEvent.REPEAT): (ListState.ASKING, ListAction.PASS),
    (ListState.ASKING, ListEvent.GAP): (ListState.ASKING, ListAction.PASS),
    (ListState.ASKING, ListEvent.CUT): (ListState.BLANK, ListAction.TELL_FAILED),
    (ListState.ASKING, ListEvent.FAILED): (ListState.BLANK, ListAction.TELL_FAILED),
}


class NumberedList:
    """Sequence state of one roster's list at one receiver: an edge, or a holder of the directory.

    A subclass stores the entries, and implements `size` for the log.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.mode = ListState.BLANK
        self.number = -1
        self.epoch = ""
        self.back: tuple[str, int] | None = None  # epoch and number of the last list with a lower number

    def size(self) -> int:
        """Number of workers in the list."""
        raise NotImplementedError

    def accept(self, message: RosterSnapshot | RosterUpdate) -> ListAction:
        """Handle a list or change. Returns what is to be done with it; one to be applied sets the number."""
        do = self.step(self.news(message))
        if do is ListAction.TAKE:
            self.number = message.number
            self.epoch = message.epoch
            self.back = None
        return do

    def news(self, message: RosterSnapshot | RosterUpdate) -> ListEvent:
        """Classify a message by its epoch and number."""
        same = message.epoch == self.epoch
        if isinstance(message, RosterSnapshot):
            if not same or message.number >= self.number:
                return ListEvent.WHOLE
            again = self.back == (message.epoch, message.number)
            self.back = (message.epoch, message.number)
            return ListEvent.AGAIN if again else ListEvent.BACK
        if not same:
            return ListEvent.GAP
        step = message.number - self.number
        return ListEvent.NEXT if step == 1 else ListEvent.REPEAT if step <= 0 else ListEvent.GAP

    def step(self, news: ListEvent) -> ListAction:
        """Apply an event to the state and return the action. A change of state is logged."""
        before = self.mode
        self.mode, do = TRANSITIONS[self.mode, news]
        if self.mode is not before:
            mode, why = self.mode.name.lower(), news.name.lower()
            self.log(f"list {mode}: {why} at {self.number}, {self.size()} known")
        return do
