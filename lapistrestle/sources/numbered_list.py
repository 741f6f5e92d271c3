"""The numbers of a roster's lists: which list or change is taken, and when the whole list is asked for.

No I/O.

A whole list begins, each change counts one up. A number that does not follow means asking for the whole list
anew; a list that jumps back is taken only when the roster says the same twice, or says that its numbers began
anew: one stale reply must not bring back workers that are gone. An empty whole list is taken as it stands,
since being told that a worker is gone binds (rule 3); the log says so.
"""

from collections.abc import Callable
from enum import Enum

from lapistrestle.wire.messages import Change, Whole

Mode = Enum("Mode", "BLANK ASKING STEADY")
News = Enum("News", "WHOLE BACK AGAIN NEXT REPEAT GAP CUT FAILED")
Do = Enum("Do", "TAKE ASK PASS TELL_FAILED")

# what is done with a list or a change, by what is known and how its number lies to the last one taken
FOLLOWING: dict[tuple[Mode, News], tuple[Mode, Do]] = {
    (Mode.BLANK, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.BACK): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.NEXT): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.REPEAT): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.GAP): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.CUT): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.BLANK, News.FAILED): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.STEADY, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.BACK): (Mode.ASKING, Do.ASK),
    (Mode.STEADY, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.NEXT): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.REPEAT): (Mode.STEADY, Do.PASS),
    (Mode.STEADY, News.GAP): (Mode.ASKING, Do.ASK),
    (Mode.STEADY, News.CUT): (Mode.STEADY, Do.TELL_FAILED),
    (Mode.STEADY, News.FAILED): (Mode.STEADY, Do.TELL_FAILED),
    (Mode.ASKING, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.ASKING, News.BACK): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.ASKING, News.NEXT): (Mode.ASKING, Do.TAKE),
    (Mode.ASKING, News.REPEAT): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.GAP): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.CUT): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.ASKING, News.FAILED): (Mode.BLANK, Do.TELL_FAILED),
}


class NumberedList:
    """The numbers of one roster's lists as one follower has taken them: a front end, or a directory's holder.

    A subclass keeps what the lists say, and tells its `size` for the log.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.mode = Mode.BLANK
        self.number = -1
        self.epoch = ""
        self.back: tuple[str, int] | None = None  # a list that jumped back, seen once

    def size(self) -> int:
        """Workers that are known now."""
        raise NotImplementedError

    def accept(self, message: Whole | Change) -> Do:
        """What is to be done with a list or change; one that is taken is the newest from now on."""
        do = self.step(self.news(message))
        if do is Do.TAKE:
            self.number = message.number
            self.epoch = message.epoch
            self.back = None
        return do

    def news(self, message: Whole | Change) -> News:
        """How a message's number lies to the last one taken."""
        same = message.epoch == self.epoch
        if isinstance(message, Whole):
            if not same or message.number >= self.number:
                return News.WHOLE
            again = self.back == (message.epoch, message.number)
            self.back = (message.epoch, message.number)
            return News.AGAIN if again else News.BACK
        if not same:
            return News.GAP
        step = message.number - self.number
        return News.NEXT if step == 1 else News.REPEAT if step <= 0 else News.GAP

    def step(self, news: News) -> Do:
        """Note an event: what is to be done with it. A change of mode is logged."""
        before = self.mode
        self.mode, do = FOLLOWING[self.mode, news]
        if self.mode is not before:
            mode, why = self.mode.name.lower(), news.name.lower()
            self.log(f"list {mode}: {why} at {self.number}, {self.size()} known")
        return do
