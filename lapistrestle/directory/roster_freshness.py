"""How sure a holder may be that what it knows of the region is what the roster knows now.

A holder that has stood still can't tell what it missed, so it answers no look-up and renews no lease until
the roster has answered a request that was sent afterwards. A roster that has been silent for long is asked,
too, since a connection that was cut looks like one on which nothing happens.
"""

from collections.abc import Callable
from enum import Enum

from lapistrestle.directory.effects import HolderSettings
from lapistrestle.ticks import MILLISECOND


class FreshnessState(Enum):
    """How sure the holder may be; the values are those of reports to operators and of the log."""

    EMPTY = "blank"  # no list has come yet
    FRESH = "fresh"
    DISCONNECTED = "cut"  # from the roster: what is known may be old
    CATCHING_UP = "catching_up"  # after a standstill, until the roster has answered


class FreshnessEvent(Enum):
    """What changes the state; the values are those of the log."""

    CURRENT_LIST = "current list"
    ROSTER_LOST = "roster lost"
    STOOD_STILL = "stood still"


TRANSITIONS: dict[tuple[FreshnessState, FreshnessEvent], FreshnessState] = {
    (FreshnessState.EMPTY, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.EMPTY, FreshnessEvent.ROSTER_LOST): FreshnessState.EMPTY,
    (FreshnessState.EMPTY, FreshnessEvent.STOOD_STILL): FreshnessState.EMPTY,
    (FreshnessState.FRESH, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.FRESH, FreshnessEvent.ROSTER_LOST): FreshnessState.DISCONNECTED,
    (FreshnessState.FRESH, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
    (FreshnessState.DISCONNECTED, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.DISCONNECTED, FreshnessEvent.ROSTER_LOST): FreshnessState.DISCONNECTED,
    (FreshnessState.DISCONNECTED, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.CATCHING_UP, FreshnessEvent.ROSTER_LOST): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.STOOD_STILL): FreshnessState.CATCHING_UP,
}

TICKS_PER_ENTRY_READ = 0.05  # tenths of a millisecond that the program may need to read each entry of a list
TICKS_PER_NEW_INSTANCE = 1.0  # and to enter each new instance


class RosterFreshness:
    """The state, the requests that the roster has not answered, and what follows for watchers."""

    def __init__(
        self,
        settings: HolderSettings,
        now: int,
        request_from_roster: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.request_from_roster = request_from_roster
        self.log = log
        self.state = FreshnessState.EMPTY
        self.last_call_at = now
        self.extra_allowance = 0  # further time until the next call, for work that a call has made
        self.last_heard_at = now  # when the last list or change came
        self.outdated_since = now  # from when on it may be old
        self.is_connected = False  # to the roster, as far as is known
        self.open_requests = 0  # requests without answer; a list answers one
        self.requested_at = now

    @property
    def may_answer(self) -> bool:
        """Whether look-ups may be answered and leases renewed."""
        return self.state is FreshnessState.FRESH or self.state is FreshnessState.DISCONNECTED

    def age(self, now: int) -> int:
        """Ticks for which the holder has not been sure to hear its roster; 0 while it hears it."""
        return 0 if self.state is FreshnessState.FRESH else max(0, now - self.outdated_since)

    def transition(self, event: FreshnessEvent, now: int, outdated_since: int) -> None:
        """Note an event; if freshness ends with it, what is known may be old from `outdated_since` on."""
        before = self.state
        self.state = TRANSITIONS[before, event]
        if self.state is not before:
            if before is FreshnessState.FRESH:
                self.outdated_since = outdated_since
            text = f"knowledge {self.state.value}: {event.value}"
            self.log(
                f"{text}, {(now - self.last_heard_at) / MILLISECOND:.0f} ms after the last word of the roster"
            )

    def record_call(self, now: int, entries: int = 0) -> None:
        """The program calls, with so many entries: it comes late if it stood still."""
        extra_allowance = (
            self.settings.standstill + self.extra_allowance + int(entries * TICKS_PER_ENTRY_READ)
        )
        if now - self.last_call_at > extra_allowance:
            self.transition(FreshnessEvent.STOOD_STILL, now, self.last_call_at)
            if self.is_connected:
                self.request_snapshot(now)
        self.last_call_at = max(now, self.last_call_at)
        self.extra_allowance = 0

    def request_snapshot(self, now: int) -> None:
        """Request the complete list from the roster."""
        self.snapshot_requested(now)
        self.request_from_roster()

    def snapshot_requested(self, now: int) -> None:
        """One more complete list is to come."""
        self.is_connected = True
        self.open_requests = self.open_requests + 1
        self.requested_at = now

    def list_applied(self, complete: bool, entries: int, entered: int, now: int) -> None:
        """A list or a change was taken."""
        self.last_heard_at = now
        self.is_connected = True
        self.extra_allowance = int(entries * TICKS_PER_ENTRY_READ + entered * TICKS_PER_NEW_INSTANCE)
        if complete:
            self.open_requests = max(0, self.open_requests - 1)
            if not self.open_requests:
                self.transition(FreshnessEvent.CURRENT_LIST, now, now)

    def snapshot_discarded(self, now: int) -> None:
        """A complete list was not taken: one request is answered by it, and the last one is sent again."""
        if not self.open_requests:
            return
        self.open_requests -= 1
        if not self.open_requests:
            self.request_snapshot(now)

    def roster_lost(self, now: int) -> None:
        """The connection to the roster is over, and every question on it."""
        self.open_requests = 0
        self.is_connected = False
        self.transition(FreshnessEvent.ROSTER_LOST, now, now)

    def tick(self, now: int) -> None:
        """Notice a roster that is silent or does not answer."""
        if self.state is not FreshnessState.FRESH:
            return
        if self.open_requests:
            if now - self.requested_at >= self.settings.roster_patience:
                self.transition(FreshnessEvent.ROSTER_LOST, now, self.last_heard_at)
        elif now - self.last_heard_at >= self.settings.roster_silence:
            self.request_snapshot(now)

    def next_due(self) -> int:
        """When to be called at the latest, so that a late call means a standstill, and a silent roster is
        noticed however often others call.
        """
        due = self.last_call_at + self.settings.standstill // 3
        if self.state is not FreshnessState.FRESH:
            return due
        if self.open_requests:
            return min(due, self.requested_at + self.settings.roster_patience)
        return min(due, self.last_heard_at + self.settings.roster_silence)
