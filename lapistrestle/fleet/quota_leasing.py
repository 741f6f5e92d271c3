"""Which member is asked for units of a quota, and when: between `quota_share` and the datagrams.

A dispatcher that uses its whole share requests units from another member, drawn anew each time; that one
leases out half of what it does not need. What was borrowed goes back as soon as it is not needed. No message
is waited for: a lost request is made again elsewhere, the lease of a lost grant ends by itself. Free of I/O.
"""

from collections.abc import Callable, Sequence

from lapistrestle.fleet.quota_share import QuotaShare
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord

SendLeaseMessage = Callable[[MemberRecord, wire.LeaseMessage], None]  # to whom, and what
REQUESTED_PART = 4  # a request is for the share over this, one unit at the least


class QuotaLeasing:
    """One dispatcher's share of a quota, with its leases to and from other members."""

    def __init__(
        self, share: QuotaShare, units_in_use: Callable[[], int], send: SendLeaseMessage, seed: int
    ) -> None:
        """`units_in_use` counts at the moment of a request: what is in use by then is not leased out."""
        self.share = share
        self.units_in_use = units_in_use
        self.send = send
        self.random = SeededRandom(seed, "lend")
        self.shortage = 0  # units that could not be had since the last update

    def available(self, now: int) -> int:
        """Units that may be in use now; to be asked at each use."""
        return self.share.available(now)

    def record_shortage(self) -> None:
        """Record that one more unit was wanted than may be used."""
        self.shortage += 1

    def update(self, live: Sequence[MemberRecord], is_member: bool, now: int) -> None:
        """Request units that are short, and return unneeded ones.

        `live` are the other members that count as present. One that is itself no member of its fleet uses
        nothing, since another process may have its name and number.
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
        """A lease message arrived."""
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
