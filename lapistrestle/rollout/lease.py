"""How long an edge may go on sending to a candidate when the planner is silent.

A rollback must hold at every edge within a second, also where the connection is stalled and not closed, so
an edge may use an unsettled weight only while a lease lasts. The planner renews leases by its heartbeats.
The two clocks never meet: an edge counts from when it *sent* the request that a heartbeat answers, so one
that lay in a socket grants nothing (C. Gray and D. Cheriton, *Leases*, SOSP 1989).

An edge whose lease has run out sends all to the settled version, whose replicas are retained. It takes the
candidate up again only after some heartbeats in a row, so that a planner that restarts or a link that flaps
moves the traffic over and back once and not with every gap.

Times are ticks of 0.1 ms on the edge's own clock.
"""

from dataclasses import dataclass
from enum import Enum, auto

LEASE_DURATION = 8_000
"""Ticks from the request on; with a request on its way it stays under the second."""

RECOVERY_PERIOD = 30_000
"""Ticks for which heartbeats must have come before the weight is used again."""

NEVER = -1
"""Before any time of the clock."""


class LeaseState(Enum):
    """Whether an edge may use unsettled weights."""

    ACTIVE = auto()
    EXPIRED = auto()
    RECOVERING = auto()  # heartbeats come again, not yet for long enough


class LeaseEvent(Enum):
    """What moves a lease."""

    FRESH_HEARTBEAT = auto()  # answers a request within LEASE_DURATION
    STALE_HEARTBEAT = auto()  # answers an older one
    LEASE_EXPIRED = auto()
    RECOVERY_COMPLETE = auto()  # RECOVERY_PERIOD is over


LEASE_TRANSITIONS: dict[tuple[LeaseState, LeaseEvent], LeaseState] = {
    (LeaseState.ACTIVE, LeaseEvent.FRESH_HEARTBEAT): LeaseState.ACTIVE,
    (LeaseState.ACTIVE, LeaseEvent.STALE_HEARTBEAT): LeaseState.ACTIVE,
    (LeaseState.ACTIVE, LeaseEvent.LEASE_EXPIRED): LeaseState.EXPIRED,
    (LeaseState.ACTIVE, LeaseEvent.RECOVERY_COMPLETE): LeaseState.ACTIVE,
    (LeaseState.EXPIRED, LeaseEvent.FRESH_HEARTBEAT): LeaseState.RECOVERING,
    (LeaseState.EXPIRED, LeaseEvent.STALE_HEARTBEAT): LeaseState.EXPIRED,
    (LeaseState.EXPIRED, LeaseEvent.LEASE_EXPIRED): LeaseState.EXPIRED,
    (LeaseState.EXPIRED, LeaseEvent.RECOVERY_COMPLETE): LeaseState.EXPIRED,
    (LeaseState.RECOVERING, LeaseEvent.FRESH_HEARTBEAT): LeaseState.RECOVERING,
    (LeaseState.RECOVERING, LeaseEvent.STALE_HEARTBEAT): LeaseState.RECOVERING,
    (LeaseState.RECOVERING, LeaseEvent.LEASE_EXPIRED): LeaseState.EXPIRED,
    (LeaseState.RECOVERING, LeaseEvent.RECOVERY_COMPLETE): LeaseState.ACTIVE,
}
"""The state after each event; complete."""


@dataclass
class Lease:
    """One edge's lease. `recovering_since` means something only in state RECOVERING."""

    state: LeaseState = LeaseState.EXPIRED
    expires_at: int = NEVER
    recovering_since: int = 0

    def on_heartbeat(self, requested_at: int, now: int) -> None:
        """Take a heartbeat that answers a request of the time `requested_at`."""
        self.update(now)
        expires_at = requested_at + LEASE_DURATION
        self.expires_at = max(self.expires_at, expires_at)
        event = LeaseEvent.FRESH_HEARTBEAT if expires_at > now else LeaseEvent.STALE_HEARTBEAT
        before = self.state
        self.state = LEASE_TRANSITIONS[before, event]
        if before is LeaseState.EXPIRED and self.state is LeaseState.RECOVERING:
            self.recovering_since = now

    def update(self, now: int) -> None:
        """Let the lease expire, or its recovery end, by the clock."""
        if now >= self.expires_at:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.LEASE_EXPIRED]
        elif self.state is LeaseState.RECOVERING and now - self.recovering_since >= RECOVERY_PERIOD:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.RECOVERY_COMPLETE]

    def is_usable(self, now: int) -> bool:
        """Return whether an unsettled weight may be used at this moment.

        Asked for each request with the clock of that moment, so that an edge that stood still and wakes with
        an old plan sends nothing by it.
        """
        self.update(now)
        return self.state is LeaseState.ACTIVE
