"""Whether a holder's copy of the roster's list is current.

A holder whose process has stalled can't tell what it missed, so it answers no lookup and renews no lease
until the roster has answered a request that was sent after the stall. A roster that has been silent for too
long is sent a request, too, since a broken connection can't be distinguished from one without traffic.
"""

from collections.abc import Callable
from enum import Enum

from lapistrestle.directory.effects import HolderSettings
from lapistrestle.ticks import MILLISECOND


class FreshnessState(Enum):
    """Whether the holder's list is current; the values appear in reports to operators and in the log."""

    EMPTY = "blank"  # no list received yet
    FRESH = "fresh"
    DISCONNECTED = "cut"  # from the roster: the list may be outdated
    CATCHING_UP = "catching_up"  # after a stall, until the roster has answered


class FreshnessEvent(Enum):
    """An event that may change the state; the values appear in the log."""

    CURRENT_LIST = "current list"
    ROSTER_LOST = "roster lost"
    STALLED = "stood still"


TRANSITIONS: dict[tuple[FreshnessState, FreshnessEvent], FreshnessState] = {
    (FreshnessState.EMPTY, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.EMPTY, FreshnessEvent.ROSTER_LOST): FreshnessState.EMPTY,
    (FreshnessState.EMPTY, FreshnessEvent.STALLED): FreshnessState.EMPTY,
    (FreshnessState.FRESH, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.FRESH, FreshnessEvent.ROSTER_LOST): FreshnessState.DISCONNECTED,
    (FreshnessState.FRESH, FreshnessEvent.STALLED): FreshnessState.CATCHING_UP,
    (FreshnessState.DISCONNECTED, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.DISCONNECTED, FreshnessEvent.ROSTER_LOST): FreshnessState.DISCONNECTED,
    (FreshnessState.DISCONNECTED, FreshnessEvent.STALLED): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.CURRENT_LIST): FreshnessState.FRESH,
    (FreshnessState.CATCHING_UP, FreshnessEvent.ROSTER_LOST): FreshnessState.CATCHING_UP,
    (FreshnessState.CATCHING_UP, FreshnessEvent.STALLED): FreshnessState.CATCHING_UP,
}

TICKS_PER_ENTRY_READ = 0.05  # allowance for decoding each entry of a list
TICKS_PER_NEW_INSTANCE = 1.0  # allowance for adding each new instance


class RosterFreshness:
    """The state, and the requests that the roster has not answered yet. Times are ticks of 0.1 ms."""

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
        self.work_allowance = 0  # added to the stall threshold for the work of the last call
        self.last_received_at = now  # when the last list or change was received
        self.outdated_since = now  # since when the list may be outdated
        self.is_connected = False  # to the roster, as far as known
        self.open_requests = 0  # unanswered requests; each complete list answers one
        self.requested_at = now

    @property
    def may_answer(self) -> bool:
        """Whether lookups may be answered and leases renewed."""
        return self.state is FreshnessState.FRESH or self.state is FreshnessState.DISCONNECTED

    def age(self, now: int) -> int:
        """Ticks since the list was last known to be current; 0 while it is."""
        return 0 if self.state is FreshnessState.FRESH else max(0, now - self.outdated_since)

    def transition(self, event: FreshnessEvent, now: int, outdated_since: int) -> None:
        """Handle an event; if the list ceases to be current, `outdated_since` says since when."""
        before = self.state
        self.state = TRANSITIONS[before, event]
        if self.state is not before:
            if before is FreshnessState.FRESH:
                self.outdated_since = outdated_since
            text = f"knowledge {self.state.value}: {event.value}"
            self.log(
                f"{text}, {(now - self.last_received_at) / MILLISECOND:.0f} ms after the last roster message"
            )

    def detect_stall(self, now: int, entries: int = 0) -> None:
        """Detect a stall of the process by a late call; `entries` is the length of the list received."""
        allowance = self.settings.stall_threshold + self.work_allowance + int(entries * TICKS_PER_ENTRY_READ)
        if now - self.last_call_at > allowance:
            self.transition(FreshnessEvent.STALLED, now, self.last_call_at)
            if self.is_connected:
                self.request_snapshot(now)
        self.last_call_at = max(now, self.last_call_at)
        self.work_allowance = 0

    def request_snapshot(self, now: int) -> None:
        """Request the complete list from the roster."""
        self.snapshot_requested(now)
        self.request_from_roster()

    def snapshot_requested(self, now: int) -> None:
        """Record that a complete list was requested from the roster."""
        self.is_connected = True
        self.open_requests = self.open_requests + 1
        self.requested_at = now

    def list_applied(self, complete: bool, entries: int, entered: int, now: int) -> None:
        """Record that a list or a change was applied; `entered`: new instances in it."""
        self.last_received_at = now
        self.is_connected = True
        self.work_allowance = int(entries * TICKS_PER_ENTRY_READ + entered * TICKS_PER_NEW_INSTANCE)
        if complete:
            self.open_requests = max(0, self.open_requests - 1)
            if not self.open_requests:
                self.transition(FreshnessEvent.CURRENT_LIST, now, now)

    def snapshot_discarded(self, now: int) -> None:
        """Record that a complete list was discarded; if it answered the last open request, send a new one."""
        if not self.open_requests:
            return
        self.open_requests -= 1
        if not self.open_requests:
            self.request_snapshot(now)

    def roster_lost(self, now: int) -> None:
        """Handle the end of the connection to the roster, and of all requests on it."""
        self.open_requests = 0
        self.is_connected = False
        self.transition(FreshnessEvent.ROSTER_LOST, now, now)

    def tick(self, now: int) -> None:
        """Detect a roster that is silent or does not answer."""
        if self.state is not FreshnessState.FRESH:
            return
        if self.open_requests:
            if now - self.requested_at >= self.settings.roster_response_timeout:
                self.transition(FreshnessEvent.ROSTER_LOST, now, self.last_received_at)
        elif now - self.last_received_at >= self.settings.roster_idle_timeout:
            self.request_snapshot(now)

    def next_due(self) -> int:
        """The latest time of the next call: early enough that a late one means a stall, and no later than
        the time-outs of the roster.
        """
        due = self.last_call_at + self.settings.stall_threshold // 3
        if self.state is not FreshnessState.FRESH:
            return due
        if self.open_requests:
            return min(due, self.requested_at + self.settings.roster_response_timeout)
        return min(due, self.last_received_at + self.settings.roster_idle_timeout)
