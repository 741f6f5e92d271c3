"""How sure a holder may be that what it knows of the region is what the roster knows now.

A holder that has stood still can't tell what it missed, so it answers no look-up and renews no lease until
the roster has answered a question that was asked afterwards. A roster that has been silent for long is asked,
too, since a connection that was cut looks like one on which nothing happens.
"""

from collections.abc import Callable
from enum import Enum

from lapistrestle.directory.effects import HolderSettings

FreshnessState = Enum("FreshnessState", "BLANK FRESH CUT CATCHING_UP")
FreshnessEvent = Enum("FreshnessEvent", "CURRENT_LIST ROSTER_LOST STOOD_STILL")

TRANSITIONS: dict[tuple[FreshnessState, FreshnessEvent], FreshnessState] = {
    (FreshnessState.BLANK, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.BLANK, FreshnessEvent.ROSTER_LOST): FreshnessState.BLANK,
    (FreshnessState.BLANK, FreshnessEvent.STOOD_STILL): FreshnessState.BLANK,
    (FreshnessState.FRESH, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.FRESH, FreshnessEvent.ROSTER_LOST): FreshnessState.CUT,
    (FreshnessState.FRESH, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
    (FreshnessState.CUT, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.CUT, FreshnessEvent.ROSTER_LOST): FreshnessState.CUT,
    (FreshnessState.CUT, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.CATCHING_UP, FreshnessEvent.ROSTER_LOST): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
}

TICKS_PER_ENTRY_READ = 0.05  # tenths of a millisecond that the program may need to read each entry of a list
TICKS_PER_NEW_INSTANCE = 1.0  # and to enter each new instance


class RosterFreshness:
    """The mode, the questions that the roster has not answered, and what follows for watchers."""

    def __init__(
        self, settings: HolderSettings, now: int, ask: Callable[[], None], log: Callable[[str], None]
    ) -> None:
        self.settings, self.ask_roster, self.log = settings, ask, log
        self.state = FreshnessState.BLANK
        self.last_call_at = now
        self.extra_allowance = 0  # further time until the next call, for work that a call has made
        self.last_heard_at = now  # the last list or change
        self.outdated_since = now  # from when on it may be old
        self.is_connected = False  # to the roster, as far as is known
        self.open_requests = 0  # questions; a list answers one
        self.requested_at = now

    @property
    def may_answer(self) -> bool:
        """Whether look-ups may be answered and leases renewed."""
        return self.state is FreshnessState.FRESH or self.state is FreshnessState.CUT

    def age(self, now: int) -> int:
        return 0 if self.state is FreshnessState.FRESH else max(0, now - self.outdated_since)

    def step(self, event: FreshnessEvent, now: int, outdated_since: int) -> None:
        """An event; if the mode is lost by it, knowledge may be old from `since` on."""
        before = self.state
        self.state = TRANSITIONS[before, event]
        if self.state is not before:
            if before is FreshnessState.FRESH:
                self.outdated_since = outdated_since
            text = f"knowledge {self.state.name.lower()}: {event.name.lower().replace('_', ' ')}"
            self.log(f"{text}, {(now - self.last_heard_at) / 10:.0f} ms after the last word of the roster")

    def called(self, now: int, entries: int = 0) -> None:
        """The program calls, with so many entries to tell: it comes late if it stood still."""
        extra_allowance = (
            self.settings.standstill + self.extra_allowance + int(entries * TICKS_PER_ENTRY_READ)
        )
        if now - self.last_call_at > extra_allowance:
            self.step(FreshnessEvent.STOOD_STILL, now, self.last_call_at)
            if self.is_connected:
                self.ask(now)
        self.last_call_at, self.extra_allowance = max(now, self.last_call_at), 0

    def ask(self, now: int) -> None:
        self.asked(now)
        self.ask_roster()

    def asked(self, now: int) -> None:
        """One more whole list is to come."""
        self.is_connected = True
        self.open_requests, self.requested_at = self.open_requests + 1, now

    def told(self, whole: bool, entries: int, entered: int, now: int) -> None:
        """A list or a change was taken."""
        self.last_heard_at, self.is_connected = now, True
        self.extra_allowance = int(entries * TICKS_PER_ENTRY_READ + entered * TICKS_PER_NEW_INSTANCE)
        if whole:
            self.open_requests = max(0, self.open_requests - 1)
            if not self.open_requests:
                self.step(FreshnessEvent.CURRENT_LIST, now, now)

    def passed(self, now: int) -> None:
        """A whole list was not taken: one question is answered by it, and the last one is asked again."""
        if not self.open_requests:
            return
        self.open_requests -= 1
        if not self.open_requests:
            self.ask(now)

    def lost(self, now: int) -> None:
        """The connection to the roster is over, and every question on it."""
        self.open_requests, self.is_connected = 0, False
        self.step(FreshnessEvent.ROSTER_LOST, now, now)

    def tick(self, now: int) -> None:
        if self.state is not FreshnessState.FRESH:
            return
        if self.open_requests:
            if now - self.requested_at >= self.settings.roster_patience:
                self.step(FreshnessEvent.ROSTER_LOST, now, self.last_heard_at)
        elif now - self.last_heard_at >= self.settings.roster_silence:
            self.ask(now)

    def next_due(self) -> int:
        """When to be called at the latest, so that a late call means a standstill, and a silent roster is
        noticed however often others call."""
        due = self.last_call_at + self.settings.standstill // 3
        if self.state is not FreshnessState.FRESH:
            return due
        if self.open_requests:
            return min(due, self.requested_at + self.settings.roster_patience)
        return min(due, self.last_heard_at + self.settings.roster_silence)
