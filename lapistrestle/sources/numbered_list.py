"""The numbers of a roster's lists: which list or change is taken, and when the whole list is asked for.

No I/O.

A whole list begins, each change counts one up. A number that does not follow means asking for the whole list
anew; a list that jumps back is taken only when the roster says the same twice, or says that its numbers began
anew: one stale reply must not bring back workers that are gone. An empty whole list is taken as it stands,
since being told that a worker is gone binds (rule 3); the log says so.
"""

from collections.abc import Callable
from enum import Enum, auto

from lapistrestle.wire.messages import RosterSnapshot, RosterUpdate


class ListState(Enum):
    """What a follower has of the list. Logs and reports show the names in lower case."""

    BLANK = auto()  # no list yet, or none that can be relied on
    ASKING = auto()  # the whole list is asked for
    STEADY = auto()  # each change follows the last one


class ListEvent(Enum):
    """How a message's number lies to the last one taken, or what has become of the connection."""

    WHOLE = auto()  # a whole list that is not older
    BACK = auto()  # a whole list whose number has jumped back
    AGAIN = auto()  # the same, said a second time
    NEXT = auto()  # the change that follows
    REPEAT = auto()  # a change that was taken before
    GAP = auto()  # a change after one that was lost
    CUT = auto()  # the connection is lost
    FAILED = auto()  # it could not be made, or the roster can't answer


class ListAction(Enum):
    """What a follower does with an event."""

    TAKE = auto()  # the list or change
    ASK = auto()  # for the whole list
    PASS = auto()  # nothing
    TELL_FAILED = auto()  # that the roster can't be relied on


# what is done with a list or a change, by what is known and how its number lies to the last one taken
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
    """The numbers of one roster's lists as one follower has taken them: a front end, or a directory's holder.

    A subclass keeps what the lists say, and tells its `size` for the log.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.mode = ListState.BLANK
        self.number = -1
        self.epoch = ""
        self.back: tuple[str, int] | None = None  # a list that jumped back, seen once

    def size(self) -> int:
        """Workers that are known now."""
        raise NotImplementedError

    def accept(self, message: RosterSnapshot | RosterUpdate) -> ListAction:
        """What is to be done with a list or change; one that is taken is the newest from now on."""
        do = self.step(self.news(message))
        if do is ListAction.TAKE:
            self.number = message.number
            self.epoch = message.epoch
            self.back = None
        return do

    def news(self, message: RosterSnapshot | RosterUpdate) -> ListEvent:
        """How a message's number lies to the last one taken."""
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
        """Note an event: what is to be done with it. A change of mode is logged."""
        before = self.mode
        self.mode, do = TRANSITIONS[self.mode, news]
        if self.mode is not before:
            mode, why = self.mode.name.lower(), news.name.lower()
            self.log(f"list {mode}: {why} at {self.number}, {self.size()} known")
        return do
