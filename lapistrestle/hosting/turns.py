"""When timers may fire after the program stood still.

A reactor that wakes from a pause runs its timers before it reads what came meanwhile, so an answer that lay
in the socket would lose against its own time-out. Timers that are late therefore wait for the first turn in
which nothing more was heard. That could harm where input never ends: it is bounded by a number of turns.
"""

from enum import Enum

Pace = Enum("Pace", "STEADY BEHIND")
Turn = Enum("Turn", "ON_TIME LATE HEARD QUIET ENOUGH")
Verdict = Enum("Verdict", "FIRE WAIT")

GAP = 50  # tenths of a millisecond; a turn that comes later than this stood still
MOST = 20  # turns

PACES: dict[tuple[Pace, Turn], tuple[Pace, Verdict]] = {
    (Pace.STEADY, Turn.ON_TIME): (Pace.STEADY, Verdict.FIRE),
    (Pace.STEADY, Turn.LATE): (Pace.BEHIND, Verdict.WAIT),
    (Pace.BEHIND, Turn.HEARD): (Pace.BEHIND, Verdict.WAIT),
    (Pace.BEHIND, Turn.QUIET): (Pace.STEADY, Verdict.FIRE),
    (Pace.BEHIND, Turn.ENOUGH): (Pace.STEADY, Verdict.FIRE),
}


class Turns:
    """One verdict for each turn of the reactor in which a timer is due."""

    def __init__(self) -> None:
        self.pace, self.waited, self.heard = Pace.STEADY, 0, 0

    def may_fire(self, now: int, due: int, heard: int) -> bool:
        """`due`: when the earliest timer was due; `heard`: inputs so far, a running count."""
        if self.pace is Pace.STEADY:
            turn = Turn.LATE if now - due > GAP else Turn.ON_TIME
        elif self.waited >= MOST:
            turn = Turn.ENOUGH
        else:
            turn = Turn.QUIET if heard == self.heard else Turn.HEARD
        self.pace, verdict = PACES[self.pace, turn]
        self.waited = self.waited + 1 if verdict is Verdict.WAIT else 0
        self.heard = heard
        return verdict is Verdict.FIRE
