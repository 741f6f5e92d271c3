"""How long an edge may go on sending to a candidate without word from the planner.

A rollback must hold at every edge within a second, also where the connection is stalled and not closed, so
an edge may use an unsettled share only while a lease lasts. The planner renews leases by its beats. Two
clocks never meet: an edge counts from when it *sent* the request that a beat answers, so a beat that lay in
a socket grants nothing.

An edge whose lease has run out sends all to the settled version, whose copies are kept. It takes the
candidate up again only after some beats in a row, so that a planner that restarts or a link that flaps
moves the traffic over and back once and not with every gap.
"""

from dataclasses import dataclass
from enum import Enum

LeaseState = Enum("LeaseState", "ACTIVE EXPIRED RECOVERING")
LeaseEvent = Enum("LeaseEvent", "FRESH_HEARTBEAT STALE_HEARTBEAT LEASE_EXPIRED RECOVERY_COMPLETE")
LEASE_DURATION = 8_000  # tenths of a millisecond: with a request on its way it stays under the second
RECOVERY_PERIOD = 30_000  # beats must have come for so long before the share is used again

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


@dataclass
class Lease:
    """One edge's; times are of its own clock."""

    state: LeaseState = LeaseState.EXPIRED
    expires_at: int = -1
    recovering_since: int = 0  # when it began to return

    def on_heartbeat(self, asked: int, now: int) -> None:
        """The answer to a request of the time `asked`."""
        self.update(now)
        fresh = asked + LEASE_DURATION > now
        self.expires_at = max(self.expires_at, asked + LEASE_DURATION)
        before = self.state
        self.state = LEASE_TRANSITIONS[
            self.state, LeaseEvent.FRESH_HEARTBEAT if fresh else LeaseEvent.STALE_HEARTBEAT
        ]
        if before is LeaseState.EXPIRED and self.state is LeaseState.RECOVERING:
            self.recovering_since = now

    def update(self, now: int) -> None:
        if now >= self.expires_at:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.LEASE_EXPIRED]
        elif self.state is LeaseState.RECOVERING and now - self.recovering_since >= RECOVERY_PERIOD:
            self.state = LEASE_TRANSITIONS[self.state, LeaseEvent.RECOVERY_COMPLETE]

    def is_usable(self, now: int) -> bool:
        """Whether an unsettled share may be used at this moment; asked for each RPC, with the clock of now,
        so that an edge that stood still and wakes with an old plan sends nothing by it."""
        self.update(now)
        return self.state is LeaseState.ACTIVE
