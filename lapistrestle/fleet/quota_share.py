"""Parts of one whole whose sum never passes it, at any moment, free of I/O (docs/fleet.md).

The whole is cut by number: each dispatcher owns its cut, and no other ever counts on it. A cut follows
need by loans. The lender uses less before it says that it lends, and more again only when the loan is over by
its own clock, counted from when it was asked; the borrower counts the loan from when *it* asked, and both
leave room for clocks that run wrong. So nothing that is lost, late or doubled, no death and no standstill
makes two use the same unit. What dies with a dispatcher is the use of its cut, until it is back.

A process that starts does not know what the one before it has lent. It keeps part of its cut that is never
lent, and has the rest when the longest loan is over.
"""

from collections import deque
from dataclasses import dataclass

from lapistrestle.wire.fleet import LeaseGrant, LeaseRequest, LeaseReturn

SECOND = 10_000  # in tenths of a millisecond
MOST_OPEN = 8  # own requests that may be open at once
MOST_LOANS = 256  # given at once: guards against one that asks without end

ProcessId = tuple[str, int, int]  # name, boot and nonce: one start of one process


@dataclass(frozen=True)
class QuotaSettings:
    """Spans are whole tenths of a millisecond."""

    lease_duration: int = 4 * SECOND  # a loan
    settling_time: int = SECOND  # use counts for so long after it: a window of the limit, or work under way
    clock_drift: float = 0.1  # no clock is wrong by more than this part
    reserved: float = 0.5  # part of one's cut which is never lent


@dataclass(frozen=True)
class Lease:
    """Units lent or borrowed, until a moment."""

    units: int
    until: int  # by the clock of whoever holds this record


class QuotaShare:
    """One dispatcher's part of `total_units`, divided over `members` of which it is number `member_index`."""

    def __init__(
        self, name: str, total_units: int, members: int, member_index: int, settings: QuotaSettings, now: int
    ) -> None:
        self.name, self.settings = name, settings
        self.own_units = (
            total_units * (member_index + 1) // members - total_units * member_index // members
            if 0 <= member_index < members
            else 0
        )
        self.reserved = int(self.own_units * self.settings.reserved)
        self.full_from = now + self.longest_lease()
        self.leased_out: dict[tuple[ProcessId, int], Lease] = {}
        self.borrowed: dict[tuple[ProcessId, int], Lease] = {}
        self.open_requests: dict[int, tuple[ProcessId, int]] = {}  # own asks by number: of whom, and when
        self.uses: deque[tuple[int, int]] = deque()  # when, how many units
        self.last_number, self.demand = now, 0  # so that no number of the process before comes again
        self.suspended = False  # displaced or left: nothing may be used

    def longest_lease(self) -> int:
        """After so long by one's own clock no loan that was asked for before is used by anybody."""
        return int(self.settings.lease_duration * (1 + self.settings.clock_drift)) + 1

    def available(self, now: int) -> int:
        """Units that may be in use at this moment. Ask at each use: a process that stood still has less."""
        if self.suspended:
            return 0
        own = self.own_units if now >= self.full_from else self.reserved
        self.leased_out = {key: loan for key, loan in self.leased_out.items() if now < loan.until}
        self.borrowed = {key: loan for key, loan in self.borrowed.items() if now < loan.until}
        return own - self.leased_out_units() + sum(loan.units for loan in self.borrowed.values())

    def leased_out_units(self) -> int:
        """Units lent to others."""
        return sum(loan.units for loan in self.leased_out.values())

    def record_use(self, used: int, now: int) -> None:
        """So many units are in use now."""
        while self.uses and self.uses[-1][1] <= used:
            self.uses.pop()
        self.uses.append((now, used))

    def peak_use(self, now: int) -> int:
        """The most in use within the time that use settles in."""
        while len(self.uses) > 1 and self.uses[1][0] <= now - self.settings.settling_time:
            self.uses.popleft()
        return max((used for _, used in self.uses), default=0)

    def headroom(self, now: int) -> int:
        """Units that were not in use of late."""
        return max(0, self.available(now) - self.peak_use(now))

    # as a borrower

    def request_lease(self, lender: ProcessId, units: int, now: int) -> LeaseRequest | None:
        """Ask for units; None where too many asks are open."""
        self.open_requests = {
            n: (who, at)
            for n, (who, at) in self.open_requests.items()
            if now < at + self.settings.lease_duration
        }
        if units <= 0 or len(self.open_requests) >= MOST_OPEN or self.suspended:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = (lender, now)
        return LeaseRequest(self.name, self.last_number, now, units)

    def on_grant(self, lender: ProcessId, message: LeaseGrant, now: int) -> None:
        """An answer. It counts once, and from when we asked. One to the process before us, under a number of
        ours, is told apart by when that one asked."""
        waited = self.open_requests.get(message.number)
        if waited != (lender, message.requested_at) or message.quota != self.name:
            return
        del self.open_requests[message.number]
        lease_duration = (
            min(message.duration, self.settings.lease_duration) * (1 - self.settings.clock_drift)
            - self.settings.settling_time
        )
        until = waited[1] + int(lease_duration)
        if now < until:
            self.borrowed[lender, message.number] = Lease(message.units, until)

    def return_unneeded(self, now: int) -> list[tuple[ProcessId, LeaseReturn]]:
        """Loans that are not needed, and were not in use of late; they are given up before this is said."""
        spare, ends = self.headroom(now), list[tuple[ProcessId, LeaseReturn]]()
        for (lender, number), loan in list(self.borrowed.items()):
            if loan.units <= spare and self.demand <= self.available(now) - loan.units:
                spare -= loan.units
                del self.borrowed[lender, number]
                ends.append((lender, LeaseReturn(self.name, number)))
        return ends

    # as a lender

    def grant_lease(self, borrower: ProcessId, message: LeaseRequest, now: int) -> LeaseGrant | None:
        """Lend half of what is spare and not kept; None: nothing. Asked twice, it is lent once."""
        known = self.leased_out.get((borrower, message.number))
        if known is not None and now < known.until:
            return LeaseGrant(
                self.name, message.number, message.requested_at, known.units, self.settings.lease_duration
            )
        if (
            message.quota != self.name
            or now < self.full_from
            or len(self.leased_out) >= MOST_LOANS
            or self.suspended
        ):
            return None
        part = self.available(now)
        own = min(
            self.own_units - self.reserved - self.leased_out_units(),
            part - max(self.peak_use(now), self.demand),
        )
        units = min(message.units, (own + 1) // 2)
        if units <= 0:
            return None
        self.leased_out[borrower, message.number] = Lease(units, now + self.longest_lease())
        return LeaseGrant(
            self.name, message.number, message.requested_at, units, self.settings.lease_duration
        )

    def on_return(self, borrower: ProcessId, message: LeaseReturn, now: int) -> None:
        """A loan is over before its time."""
        if message.quota == self.name:
            self.leased_out.pop((borrower, message.number), None)
