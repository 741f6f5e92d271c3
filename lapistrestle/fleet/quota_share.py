"""Shares of a quota whose sum never exceeds it, at any moment, free of I/O (docs/fleet.md).

The quota is divided by number: each dispatcher owns its units, and no other ever counts on them. Units follow
demand by leases (Gray, Cheriton, SOSP 1989). The lender uses less before it sends the grant, and more again
only when the lease is over by its own clock, counted from when the request came; the borrower counts the
lease from when it *sent* the request, and both allow for clock drift. So nothing that is lost, late or
doubled, no crash and no standstill makes two use the same unit. While a dispatcher is down, its own units
are unused.

A process that starts does not know what the one before it has leased out. It has only the reserved part of
its units, which is never leased, until the longest lease is over.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from lapistrestle.ticks import SECOND
from lapistrestle.wire.fleet import LeaseGrant, LeaseRequest, LeaseReturn, ProcessId

MAX_OPEN_REQUESTS = 8  # of one's own
MAX_LEASES = 256  # granted at once: guards against one that requests without end

LeaseKey = tuple[ProcessId, int]  # the other side, and the number of the borrower's request


@dataclass(frozen=True)
class QuotaSettings:
    """How long leases last. Durations are whole ticks of 0.1 ms."""

    lease_duration: int = 4 * SECOND
    settling_time: int = SECOND  # use counts for so long after it: a rate's window, or work in flight
    clock_drift: float = 0.1  # no clock is wrong by more than this part
    reserved_part: float = 0.5  # of one's own units: never leased out


@dataclass(frozen=True)
class Lease:
    """Units leased out or borrowed, until a moment of the clock of whoever holds this record."""

    units: int
    until: int


class OpenRequest(NamedTuple):
    """A request of one's own that was not answered yet."""

    lender: ProcessId
    requested_at: int


class UseSample(NamedTuple):
    """Units in use at one moment."""

    at: int
    units: int


class QuotaShare:
    """One dispatcher's share of a quota."""

    def __init__(
        self, name: str, total_units: int, members: int, member_index: int, settings: QuotaSettings, now: int
    ) -> None:
        """`total_units` are divided over `members`; an index outside them owns none."""
        self.name = name
        self.settings = settings
        self.own_units = 0
        if 0 <= member_index < members:
            next_start = total_units * (member_index + 1) // members
            self.own_units = next_start - total_units * member_index // members
        self.reserved = int(self.own_units * settings.reserved_part)
        self.full_from = now + self.longest_lease()  # before it, the process before us may have leases out
        self.leased_out: dict[LeaseKey, Lease] = {}
        self.borrowed: dict[LeaseKey, Lease] = {}
        self.open_requests: dict[int, OpenRequest] = {}  # by number
        self.uses: deque[UseSample] = deque()  # units falling, so that the first is the peak
        self.last_number = now  # so that no number of the process before comes again
        self.demand = 0  # units wanted
        self.is_suspended = False  # displaced or left: nothing may be used

    def longest_lease(self) -> int:
        """After so long by one's own clock no lease that was requested before is used by anybody."""
        return int(self.settings.lease_duration * (1 + self.settings.clock_drift)) + 1

    def available(self, now: int) -> int:
        """Units that may be in use now. To be asked at each use: after a standstill there are fewer."""
        if self.is_suspended:
            return 0
        own = self.own_units if now >= self.full_from else self.reserved
        self.leased_out = {key: lease for key, lease in self.leased_out.items() if now < lease.until}
        self.borrowed = {key: lease for key, lease in self.borrowed.items() if now < lease.until}
        return own - self.leased_out_units() + self.borrowed_units()

    def leased_out_units(self) -> int:
        """Units leased to others."""
        return sum(lease.units for lease in self.leased_out.values())

    def borrowed_units(self) -> int:
        """Units leased from others."""
        return sum(lease.units for lease in self.borrowed.values())

    def record_use(self, units: int, now: int) -> None:
        """Record that so many units are in use now."""
        while self.uses and self.uses[-1].units <= units:
            self.uses.pop()
        self.uses.append(UseSample(now, units))

    def peak_use(self, now: int) -> int:
        """The most units in use within the settling time."""
        while len(self.uses) > 1 and self.uses[1].at <= now - self.settings.settling_time:
            self.uses.popleft()
        return max((sample.units for sample in self.uses), default=0)

    def headroom(self, now: int) -> int:
        """Units available that were not in use within the settling time."""
        return max(0, self.available(now) - self.peak_use(now))

    # as a borrower

    def request_lease(self, lender: ProcessId, units: int, now: int) -> LeaseRequest | None:
        """A request for units; None where too many requests are open."""
        duration = self.settings.lease_duration
        self.open_requests = {
            number: request
            for number, request in self.open_requests.items()
            if now < request.requested_at + duration
        }
        if units <= 0 or len(self.open_requests) >= MAX_OPEN_REQUESTS or self.is_suspended:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = OpenRequest(lender, now)
        return LeaseRequest(self.name, self.last_number, now, units)

    def on_grant(self, lender: ProcessId, grant: LeaseGrant, now: int) -> None:
        """Borrow the units of a grant, once, and counted from when they were requested.

        A grant to the process before us, under a number of ours, is told apart by when that one requested it.
        """
        request = self.open_requests.get(grant.number)
        if request != (lender, grant.requested_at) or grant.quota != self.name:
            return
        del self.open_requests[grant.number]
        settings = self.settings
        longest = min(grant.duration, settings.lease_duration) * (1 - settings.clock_drift)
        until = grant.requested_at + int(longest - settings.settling_time)
        if now < until:
            self.borrowed[lender, grant.number] = Lease(grant.units, until)

    def return_unneeded(self, now: int) -> list[tuple[ProcessId, LeaseReturn]]:
        """Give up leases that are neither needed nor were in use of late; returns what to send to whom."""
        headroom = self.headroom(now)
        returns = list[tuple[ProcessId, LeaseReturn]]()
        for (lender, number), lease in list(self.borrowed.items()):
            if lease.units <= headroom and self.demand <= self.available(now) - lease.units:
                headroom -= lease.units
                del self.borrowed[lender, number]
                returns.append((lender, LeaseReturn(self.name, number)))
        return returns

    # as a lender

    def grant_lease(self, borrower: ProcessId, request: LeaseRequest, now: int) -> LeaseGrant | None:
        """Lease out half of what is neither needed nor reserved; None: nothing.

        A request that comes twice is granted once.
        """
        known = self.leased_out.get((borrower, request.number))
        if known is not None and now < known.until:
            return self.grant(request, known.units)
        if request.quota != self.name or now < self.full_from or self.is_suspended:
            return None
        if len(self.leased_out) >= MAX_LEASES:
            return None
        unneeded = self.available(now) - max(self.peak_use(now), self.demand)
        leasable = min(self.own_units - self.reserved - self.leased_out_units(), unneeded)
        units = min(request.units, (leasable + 1) // 2)
        if units <= 0:
            return None
        self.leased_out[borrower, request.number] = Lease(units, now + self.longest_lease())
        return self.grant(request, units)

    def grant(self, request: LeaseRequest, units: int) -> LeaseGrant:
        """The answer to a request that leases out so many units."""
        duration = self.settings.lease_duration
        return LeaseGrant(self.name, request.number, request.requested_at, units, duration)

    def on_return(self, borrower: ProcessId, message: LeaseReturn) -> None:
        """A lease is over before its time."""
        if message.quota == self.name:
            self.leased_out.pop((borrower, message.number), None)
