"""How sure a holder may be that what it knows of the region is what the roster knows now.

A holder that has stood still can't tell what it missed, so it answers no look-up and renews no lease until
the roster has answered a question that was asked afterwards. A roster that has been silent for long is asked,
too, since a connection that was cut looks like one on which nothing happens.
"""

from collections.abc import Callable
from enum import Enum

from lapistrestle.directory.effects import HolderSettings

Mode = Enum("Mode", "BLANK FRESH CUT CATCHING_UP")
Event = Enum("Event", "CURRENT_LIST ROSTER_LOST STOOD_STILL")

MODES: dict[tuple[Mode, Event], Mode] = {
    (Mode.BLANK, Event.CURRENT_LIST): Mode.FRESH,
    (Mode.BLANK, Event.ROSTER_LOST): Mode.BLANK,
    (Mode.BLANK, Event.STOOD_STILL): Mode.BLANK,
    (Mode.FRESH, Event.CURRENT_LIST): Mode.FRESH,
    (Mode.FRESH, Event.ROSTER_LOST): Mode.CUT,
    (Mode.FRESH, Event.STOOD_STILL): Mode.CATCHING_UP,
    (Mode.CUT, Event.CURRENT_LIST): Mode.FRESH,
    (Mode.CUT, Event.ROSTER_LOST): Mode.CUT,
    (Mode.CUT, Event.STOOD_STILL): Mode.CATCHING_UP,
    (Mode.CATCHING_UP, Event.CURRENT_LIST): Mode.FRESH,
    (Mode.CATCHING_UP, Event.ROSTER_LOST): Mode.CATCHING_UP,
    (Mode.CATCHING_UP, Event.STOOD_STILL): Mode.CATCHING_UP,
}

READING = 0.05  # tenths of a millisecond that the program may need to read each entry of a list
BUILDING = 1.0  # and to enter each new instance


class Knowledge:
    """The mode, the questions that the roster has not answered, and what follows for watchers."""

    def __init__(
        self, settings: HolderSettings, now: int, ask: Callable[[], None], log: Callable[[str], None]
    ) -> None:
        self.settings, self.ask_roster, self.log = settings, ask, log
        self.mode = Mode.BLANK
        self.called_at = now
        self.allowed = 0  # further time until the next call, for work that a call has made
        self.heard_at = now  # the last list or change
        self.since = now  # from when on it may be old
        self.connected = False  # to the roster, as far as is known
        self.unanswered = 0  # questions; a list answers one
        self.asked_at = now

    @property
    def may_answer(self) -> bool:
        """Whether look-ups may be answered and leases renewed."""
        return self.mode is Mode.FRESH or self.mode is Mode.CUT

    def age(self, now: int) -> int:
        return 0 if self.mode is Mode.FRESH else max(0, now - self.since)

    def step(self, event: Event, now: int, since: int) -> None:
        """An event; if the mode is lost by it, knowledge may be old from `since` on."""
        before = self.mode
        self.mode = MODES[before, event]
        if self.mode is not before:
            if before is Mode.FRESH:
                self.since = since
            text = f"knowledge {self.mode.name.lower()}: {event.name.lower().replace('_', ' ')}"
            self.log(f"{text}, {(now - self.heard_at) / 10:.0f} ms after the last word of the roster")

    def called(self, now: int, entries: int = 0) -> None:
        """The program calls, with so many entries to tell: it comes late if it stood still."""
        allowed = self.settings.standstill + self.allowed + int(entries * READING)
        if now - self.called_at > allowed:
            self.step(Event.STOOD_STILL, now, self.called_at)
            if self.connected:
                self.ask(now)
        self.called_at, self.allowed = max(now, self.called_at), 0

    def ask(self, now: int) -> None:
        self.asked(now)
        self.ask_roster()

    def asked(self, now: int) -> None:
        """One more whole list is to come."""
        self.connected = True
        self.unanswered, self.asked_at = self.unanswered + 1, now

    def told(self, whole: bool, entries: int, entered: int, now: int) -> None:
        """A list or a change was taken."""
        self.heard_at, self.connected = now, True
        self.allowed = int(entries * READING + entered * BUILDING)
        if whole:
            self.unanswered = max(0, self.unanswered - 1)
            if not self.unanswered:
                self.step(Event.CURRENT_LIST, now, now)

    def passed(self, now: int) -> None:
        """A whole list was not taken: one question is answered by it, and the last one is asked again."""
        if not self.unanswered:
            return
        self.unanswered -= 1
        if not self.unanswered:
            self.ask(now)

    def lost(self, now: int) -> None:
        """The connection to the roster is over, and every question on it."""
        self.unanswered, self.connected = 0, False
        self.step(Event.ROSTER_LOST, now, now)

    def tick(self, now: int) -> None:
        if self.mode is not Mode.FRESH:
            return
        if self.unanswered:
            if now - self.asked_at >= self.settings.roster_patience:
                self.step(Event.ROSTER_LOST, now, self.heard_at)
        elif now - self.heard_at >= self.settings.roster_silence:
            self.ask(now)

    def next_due(self) -> int:
        """When to be called at the latest, so that a late call means a standstill, and a silent roster is
        noticed however often others call."""
        due = self.called_at + self.settings.standstill // 3
        if self.mode is not Mode.FRESH:
            return due
        if self.unanswered:
            return min(due, self.asked_at + self.settings.roster_patience)
        return min(due, self.heard_at + self.settings.roster_silence)
