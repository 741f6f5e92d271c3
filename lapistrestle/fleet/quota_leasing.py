"""Which member is asked for units of an allowance, and when: between `share` and the datagrams.

A dispatcher that uses all of its part asks one of the others, another each time; the one asked lends half
of what it does not need. What was borrowed goes back as soon as it is not needed. No word is waited for: a
lost request is made again elsewhere, a lost answer ends by itself. Free of I/O.
"""

from collections.abc import Callable, Sequence
from zlib import crc32

from lapistrestle.fleet.quota_share import ProcessId, QuotaShare
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord

Send = Callable[[MemberRecord, wire.Message], None]
REQUESTED_PART = 4  # a request is for one's part over this, one unit at the least


class QuotaLeasing:
    """One dispatcher's part in lending. `send` takes the claim of whom to tell, and the word; `in_use` gives
    the units in use now: since the last update they may be more, and what is in use is not lent."""

    def __init__(self, share: QuotaShare, in_use: Callable[[], int], send: Send, seed: int) -> None:
        self.share, self.units_in_use, self.send, self.seed, self.draws = share, in_use, send, seed, 0
        self.shortage = 0  # units that could not be had since the last update

    def available(self, now: int) -> int:
        """Units that may be in use at this moment; ask at each use."""
        return self.share.available(now)

    def record_shortage(self) -> None:
        """One more was wanted than may be used."""
        self.shortage += 1

    def update(self, live: Sequence[MemberRecord], member: bool, now: int) -> None:
        """`live` are the others that count as there; one that is no `member` of its fleet uses nothing, since
        another may have its name and number."""
        share, in_use = self.share, self.units_in_use()
        share.suspended = not member
        share.record_use(in_use, now)
        part = share.available(now)
        short = in_use >= part and self.shortage > 0
        share.demand = in_use + max(1, part // REQUESTED_PART) if short else in_use
        self.shortage = 0
        if short and live:
            self.draws += 1
            lender = live[crc32(f"{self.seed}:lend:{self.draws}".encode()) % len(live)]
            if (
                message := share.request_lease(lender.process_id, max(1, part // REQUESTED_PART), now)
            ) is not None:
                self.send(lender, message)
        holders = {record.process_id: record for record in live}
        for process_id, returned in share.return_unneeded(now):
            if process_id in holders:
                self.send(holders[process_id], returned)

    def on_message(self, sender: MemberRecord, message: wire.Message, now: int) -> None:
        """A word of lending came."""
        process_id: ProcessId = sender.process_id
        self.share.record_use(self.units_in_use(), now)
        match message:
            case wire.LeaseRequest():
                if (lent := self.share.grant_lease(process_id, message, now)) is not None:
                    self.send(sender, lent)
            case wire.LeaseGrant():
                self.share.on_grant(process_id, message, now)
            case wire.LeaseReturn():
                self.share.on_return(process_id, message, now)
