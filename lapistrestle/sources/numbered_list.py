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
    """State of the received list. The values are shown in logs and reports."""

    UNKNOWN = "blank"  # no list received, or the connection was lost before the requested one
    REQUESTED = "asking"  # the complete list is requested
    IN_SEQUENCE = "steady"  # each change has followed the last one


class ListEvent(Enum):
    """A message, classified by its number relative to the last one applied, or a change of the connection."""

    SNAPSHOT = "whole"  # a complete list with the same or a higher number, or with a new epoch
    NUMBER_WENT_BACK = "back"  # a complete list with a lower number
    WENT_BACK_AGAIN = "again"  # the same lower number a second time
    NEXT_CHANGE = "next"  # the change with the next number
    DUPLICATE_CHANGE = "repeat"  # a change with an earlier or the same number
    GAP = "gap"  # a change after a missing one, or with another epoch
    DISCONNECTED = "cut"  # the connection was lost
    FAILED = "failed"  # the connection could not be established, or the roster can't answer


class ListAction(Enum):
    """What the receiver does after an event."""

    APPLY = auto()  # apply the list or change
    REQUEST_SNAPSHOT = auto()  # request the complete list
    IGNORE = auto()  # ignore the message
    REPORT_FAILURE = auto()  # report that the roster is unavailable


# next state and action by state and event
TRANSITIONS: dict[tuple[ListState, ListEvent], tuple[ListState, ListAction]] = {
    (ListState.UNKNOWN, ListEvent.SNAPSHOT): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.UNKNOWN, ListEvent.NUMBER_WENT_BACK): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.UNKNOWN, ListEvent.WENT_BACK_AGAIN): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.UNKNOWN, ListEvent.NEXT_CHANGE): (ListState.REQUESTED, ListAction.REQUEST_SNAPSHOT),
    (ListState.UNKNOWN, ListEvent.DUPLICATE_CHANGE): (ListState.REQUESTED, ListAction.REQUEST_SNAPSHOT),
    (ListState.UNKNOWN, ListEvent.GAP): (ListState.REQUESTED, ListAction.REQUEST_SNAPSHOT),
    (ListState.UNKNOWN, ListEvent.DISCONNECTED): (ListState.UNKNOWN, ListAction.REPORT_FAILURE),
    (ListState.UNKNOWN, ListEvent.FAILED): (ListState.UNKNOWN, ListAction.REPORT_FAILURE),
    (ListState.IN_SEQUENCE, ListEvent.SNAPSHOT): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.IN_SEQUENCE, ListEvent.NUMBER_WENT_BACK): (ListState.REQUESTED, ListAction.REQUEST_SNAPSHOT),
    (ListState.IN_SEQUENCE, ListEvent.WENT_BACK_AGAIN): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.IN_SEQUENCE, ListEvent.NEXT_CHANGE): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.IN_SEQUENCE, ListEvent.DUPLICATE_CHANGE): (ListState.IN_SEQUENCE, ListAction.IGNORE),
    (ListState.IN_SEQUENCE, ListEvent.GAP): (ListState.REQUESTED, ListAction.REQUEST_SNAPSHOT),
    (ListState.IN_SEQUENCE, ListEvent.DISCONNECTED): (ListState.IN_SEQUENCE, ListAction.REPORT_FAILURE),
    (ListState.IN_SEQUENCE, ListEvent.FAILED): (ListState.IN_SEQUENCE, ListAction.REPORT_FAILURE),
    (ListState.REQUESTED, ListEvent.SNAPSHOT): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.REQUESTED, ListEvent.NUMBER_WENT_BACK): (ListState.REQUESTED, ListAction.IGNORE),
    (ListState.REQUESTED, ListEvent.WENT_BACK_AGAIN): (ListState.IN_SEQUENCE, ListAction.APPLY),
    (ListState.REQUESTED, ListEvent.NEXT_CHANGE): (ListState.REQUESTED, ListAction.APPLY),
    (ListState.REQUESTED, ListEvent.DUPLICATE_CHANGE): (ListState.REQUESTED, ListAction.IGNORE),
    (ListState.REQUESTED, ListEvent.GAP): (ListState.REQUESTED, ListAction.IGNORE),
    (ListState.REQUESTED, ListEvent.DISCONNECTED): (ListState.UNKNOWN, ListAction.REPORT_FAILURE),
    (ListState.REQUESTED, ListEvent.FAILED): (ListState.UNKNOWN, ListAction.REPORT_FAILURE),
}


class NumberedList:
    """Sequence state of one roster's list at one receiver: an edge, or a holder of the directory.

    A subclass stores the entries, and implements `size` for the log.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.state = ListState.UNKNOWN
        self.number = -1
        self.epoch = ""
        self.pending_reversal: tuple[str, int] | None = None  # epoch and number of the last lower one

    def size(self) -> int:
        """Number of workers in the list."""
        raise NotImplementedError

    def accept(self, message: RosterSnapshot | RosterUpdate) -> ListAction:
        """Handle a list or change. Returns what is to be done with it; one to be applied sets the number."""
        action = self.handle_event(self.classify(message))
        if action is ListAction.APPLY:
            self.number = message.number
            self.epoch = message.epoch
            self.pending_reversal = None
        return action

    def classify(self, message: RosterSnapshot | RosterUpdate) -> ListEvent:
        """Classify a message by its epoch and number."""
        same = message.epoch == self.epoch
        if isinstance(message, RosterSnapshot):
            if not same or message.number >= self.number:
                return ListEvent.SNAPSHOT
            again = self.pending_reversal == (message.epoch, message.number)
            self.pending_reversal = (message.epoch, message.number)
            return ListEvent.WENT_BACK_AGAIN if again else ListEvent.NUMBER_WENT_BACK
        if not same:
            return ListEvent.GAP
        step = message.number - self.number
        return (
            ListEvent.NEXT_CHANGE if step == 1 else ListEvent.DUPLICATE_CHANGE if step <= 0 else ListEvent.GAP
        )

    def handle_event(self, event: ListEvent) -> ListAction:
        """Apply an event to the state and return the action. A change of state is logged."""
        before = self.state
        self.state, action = TRANSITIONS[self.state, event]
        if self.state is not before:
            state, event_text = self.state.value, event.value
            self.log(f"list {state}: {event_text} at {self.number}, {self.size()} known")
        return action
