"""Requests and grants of quota leases among dispatchers. Free of I/O.

A dispatcher that uses its whole share requests units from another member, selected at random each time; that
one leases out half of what it does not need. Borrowed units are returned as soon as they are not needed. No
answer is awaited: a lost request is repeated to another member, and the lease of a lost grant expires.
"""

from collections.abc import Callable, Sequence

from lapistrestle.fleet.quota_share import QuotaShare
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord

SendLeaseMessage = Callable[[MemberRecord, wire.LeaseMessage], None]  # receiver, message
REQUESTED_PART = 4  # a request is for 1/4 of the available units, at least for one


class QuotaLeasing:
    """One dispatcher's share of a quota, with its leases to and from other members."""

    def __init__(
        self, share: QuotaShare, units_in_use: Callable[[], int], send: SendLeaseMessage, seed: int
    ) -> None:
        """`units_in_use` is called at each request, so that units in use are not leased out."""
        self.share = share
        self.units_in_use = units_in_use
        self.send = send
        self.random = SeededRandom(seed, "lend")
        self.shortage = 0  # units wanted but not available since the last update

    def available(self, now: int) -> int:
        """Units that may be in use now; to be checked at each use."""
        return self.share.available(now)

    def record_shortage(self) -> None:
        """Record that a unit was wanted but not available."""
        self.shortage += 1

    def update(self, live: Sequence[MemberRecord], is_member: bool, now: int) -> None:
        """Request units if they are short, and return unneeded ones.

        `live` are the other members present. A process that is not a member of its fleet uses no units, since
        another process may have its name and member index.
        """
        share = self.share
        in_use = self.units_in_use()
        share.is_suspended = not is_member
        share.record_use(in_use, now)
        available = share.available(now)
        is_short = in_use >= available and self.shortage > 0
        requested = max(1, available // REQUESTED_PART)
        share.demand = in_use + requested if is_short else in_use
        self.shortage = 0
        if is_short and live:
            lender = live[self.random.below(len(live))]
            request = share.request_lease(lender.process_id, requested, now)
            if request is not None:
                self.send(lender, request)
        live_by_id = {record.process_id: record for record in live}
        for process_id, message in share.return_unneeded(now):
            if process_id in live_by_id:
                self.send(live_by_id[process_id], message)

    def on_message(self, sender: MemberRecord, message: wire.LeaseMessage, now: int) -> None:
        """Handle a lease message."""
        process_id = sender.process_id
        self.share.record_use(self.units_in_use(), now)
        match message:
            case wire.LeaseRequest():
                grant = self.share.grant_lease(process_id, message, now)
                if grant is not None:
                    self.send(sender, grant)
            case wire.LeaseGrant():
                self.share.on_grant(process_id, message, now)
            case wire.LeaseReturn():
                self.share.on_return(process_id, message)
