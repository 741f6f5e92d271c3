"""The lease that allows an edge to send to a candidate while it is connected to the planner.

A rollback must take effect at every edge within a second, even if a connection is stalled but not closed, so
an edge may use an unsettled weight only while it has a lease. The planner renews leases by its heartbeats.
The clocks need not be synchronized: an edge counts from when it *sent* the request that a heartbeat answers,
so that a heartbeat delayed in a socket grants nothing (C. Gray and D. Cheriton, *Leases*, SOSP 1989).

An edge without a lease sends all requests to the settled version, whose replicas are retained. It returns to
the candidate only after heartbeats have arrived for some time, so that a restarting planner or a flapping
link moves the traffic once and not with every gap.

Times are ticks of 0.1 ms on the edge's own clock.
"""

from dataclasses import dataclass
from enum import Enum, auto

LEASE_DURATION = 8_000
"""Ticks counted from when the request was sent; with requests still in transit, below 1 s in all."""

RECOVERY_PERIOD = 30_000
"""Ticks of uninterrupted heartbeats after which an edge uses the weight again."""

NEVER = -1
"""A time before any reading of the clock."""


class LeaseState(Enum):
    """Whether an edge may use unsettled weights."""

    ACTIVE = auto()
    EXPIRED = auto()
    RECOVERING = auto()  # heartbeats arrive again, but not for RECOVERY_PERIOD yet


class LeaseEvent(Enum):
    """An event that may change a lease's state."""

    FRESH_HEARTBEAT = auto()  # answers a request sent within LEASE_DURATION
    STALE_HEARTBEAT = auto()  # answers an older request
    LEASE_EXPIRED = auto()
    RECOVERY_COMPLETE = auto()  # after RECOVERY_PERIOD


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
"""The next state for each state and event."""


@dataclass
class Lease:
    """One edge's lease. `recovering_since` is valid only in state RECOVERING."""

    state: LeaseState = LeaseState.EXPIRED
    expires_at: int = NEVER
    recovering_since: int = 0

    def on_heartbeat(self, requested_at: int, now: int) -> None:
        """Handle a heartbeat that answers a request sent at `requested_at`."""
        self.update(now)
        expires_at = requested_at + LEASE_DURATION
        self.expires_at = max(self.expires_at, expires_at)
        event = LeaseEvent.FRESH_HEARTBEAT if expires_at > now else LeaseEvent.STALE_HEARTBEAT
        before = self.state
        self.state = LEASE_TRANSITIONS[before, event]
        if before is LeaseState.EXPIRED and self.state is LeaseState.RECOVERING:
            self.recovering_since = now

    def update(self, now: int) -> None:
        """Apply the expiry of the lease or the end of its recovery."""
        if now >= self.expires_at:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.LEASE_EXPIRED]
        elif self.state is LeaseState.RECOVERING and now - self.recovering_since >= RECOVERY_PERIOD:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.RECOVERY_COMPLETE]

    def is_usable(self, now: int) -> bool:
        """Return whether an unsettled weight may be used now.

        Checked for each request, so that an edge that resumes after a stall does not use an outdated plan.
        """
        self.update(now)
        return self.state is LeaseState.ACTIVE
